//! Replay of recovered log records after a restart.

use super::WriteBackBuffer;
use super::write_outs::PriorAttempt;
use crate::config::BufferingMode;
use crate::order::{BufferedWrite, Stage};
use crate::record::Seq;
use crate::recover::{LiveRecord, LiveWrite};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use tracing::{info, warn};

impl WriteBackBuffer {
    /// Restores the recovered records. `torn_bytes`: unsynced bytes that were discarded at the end of the
    /// log.
    pub(super) fn replay(&mut self, live: BTreeMap<Seq, LiveRecord>, torn_bytes: u64, now: Micros) {
        for (seq, record) in live {
            match record {
                LiveRecord::Write(live) => self.replay_write(seq, live, now),
                LiveRecord::Barrier { volume } => {
                    if !self.order.add_barrier(seq, volume) {
                        self.log.release(seq);
                    }
                }
            }
        }
        if self.counts.replayed > 0 || torn_bytes > 0 {
            let (writes, bytes) = (self.counts.replayed, self.order.bytes());
            info!(writes, bytes, torn = torn_bytes, "write-back log recovered; its writes are written out");
        }
        for extent_id in self.order.buffered_extents() {
            if let Some(first) = self.order.restore_in_flight(extent_id) {
                self.prior_attempts.insert(first, PriorAttempt::EarlierProcess);
            }
            self.advance_extent(extent_id, now);
        }
    }

    fn replay_write(&mut self, seq: Seq, live: LiveWrite, now: Micros) {
        let LiveWrite { accepted: accepted_wall, started, parked, write } = live;
        self.counts.replayed += 1;
        let age = self.config.wall_clock(now).since(accepted_wall).unwrap_or_default();
        let accepted = Micros(now.0.saturating_sub(age.0));
        let mut stage = if parked { Stage::Parked } else { Stage::Ready };
        if self.buffering(write.class) == BufferingMode::Never && !parked {
            warn!(
                seq = seq.0,
                class = write.class,
                "recovered write is of a class that is no longer buffered; parked for an operator's decision"
            );
            stage = Stage::Parked;
        }
        self.order.add_write(seq, BufferedWrite { write, accepted, accepted_wall, started, stage });
    }
}
