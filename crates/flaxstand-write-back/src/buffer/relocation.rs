//! Log compaction: live records of the oldest segment are appended again at the end of the log, so that the
//! segment can be removed.

use super::WriteBackBuffer;
use crate::order::{Item, Stage};
use crate::record::{Record, Seq};
use flaxstand_proto::Micros;

impl WriteBackBuffer {
    pub(super) fn relocate(&mut self, now: Micros) {
        if !self.log.has_capacity() || self.log.is_failing() || !self.relocating.is_empty() {
            return;
        }
        for seq in self.log.records_to_relocate(self.order.bytes()) {
            let Some(record) = self.record_of(seq) else { continue };
            self.relocating.insert(seq);
            self.log.append(&record, now);
            if !self.log.has_capacity() {
                break;
            }
        }
    }

    fn record_of(&self, seq: Seq) -> Option<Record> {
        match self.order.item(seq)? {
            Item::Write(buffered) => Some(Record::Write {
                seq,
                accepted: buffered.accepted_wall,
                started: buffered.started,
                parked: buffered.stage == Stage::Parked,
                write: buffered.write.clone(),
            }),
            Item::Barrier { volume } => Some(Record::Barrier { seq, volume: *volume }),
            Item::PassThrough(_) => None,
        }
    }
}
