//! Writes sent to nodes: the first buffered writes of an extent merged into one, or a write that may have
//! been executed, unchanged.

use super::Order;
use super::extent_queue::{ExtentQueue, MergedWrite};
use super::item::{BufferedWrite, Stage};
use crate::merge::merge_writes;
use crate::record::{ExtentId, Seq};
use flaxstand_proto::Micros;

impl Order {
    /// Takes the first writes of an extent, merged into one: the first write and the consecutive durable
    /// writes that can be merged with it. A write that may have been executed is taken unchanged. `is_keyed`:
    /// nothing is merged, because an idempotency key covers one write only.
    pub fn take_merged(&mut self, extent_id: ExtentId, is_keyed: bool) -> Option<MergedWrite> {
        let queue = self.extents.get(&extent_id)?;
        let merged = match &queue.may_have_run {
            Some(merged) => merged.clone(),
            None => self.merge_first(extent_id, queue, is_keyed)?,
        };
        self.extents.get_mut(&extent_id)?.is_in_flight = true;
        Some(merged)
    }

    fn merge_first(&self, extent_id: ExtentId, queue: &ExtentQueue, is_keyed: bool) -> Option<MergedWrite> {
        let first = *queue.items.front()?;
        let mut group = MergedWrite::of(first, self.buffered_write(first)?.write.clone());
        for seq in queue.items.iter().skip(1) {
            let Some(next) = self.buffered_write(*seq).filter(|next| next.stage == Stage::Ready) else {
                break;
            };
            if is_keyed || !can_join(&group, next) || self.is_fenced(*seq, extent_id.volume) {
                break;
            }
            let Some(write) = merge_writes(&group.write, &next.write) else { break };
            group.extend(*seq, write);
        }
        Some(group)
    }

    /// After a restart: reconstructs the merged write of an extent that an earlier process may have sent, so
    /// that it is sent again unchanged before anything else. Returns its first write. It comprises all writes
    /// up to the last one recorded as started: after an attempt that was known not to have been executed, a
    /// further start is recorded only as part of a longer merged write.
    pub fn restore_in_flight(&mut self, extent_id: ExtentId) -> Option<Seq> {
        let queue = self.extents.get(&extent_id)?;
        let is_started = |seq: &&Seq| self.buffered_write(**seq).is_some_and(|w| w.started.is_some());
        let last = queue.items.iter().rfind(is_started).copied()?;
        let mut started = queue.items.iter().take_while(|seq| **seq <= last);
        let first = *started.next()?;
        let mut group = MergedWrite::of(first, self.buffered_write(first)?.write.clone());
        for seq in started {
            let write = merge_writes(&group.write, &self.buffered_write(*seq)?.write)?;
            group.extend(*seq, write);
        }
        self.extents.get_mut(&extent_id)?.may_have_run = Some(group);
        Some(first)
    }

    /// Returns an unconfirmed write that was in flight to its queue. If it may have been executed, it is sent
    /// again unchanged. Nothing is sent to the extent before `not_before`.
    pub fn return_unconfirmed(&mut self, merged: MergedWrite, may_have_run: bool, not_before: Micros) {
        if let Some(queue) = self.extents.get_mut(&merged.extent_id()) {
            queue.return_unconfirmed(merged, may_have_run, not_before);
        }
    }

    /// Parks a write until an operator's decision.
    pub fn park(&mut self, seq: Seq) {
        let Some(write) = self.buffered_write_mut(seq) else { return };
        write.stage = Stage::Parked;
        let extent_id = write.write.extent_id;
        self.parked.insert(seq);
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.park();
        }
    }
}

fn can_join(group: &MergedWrite, next: &BufferedWrite) -> bool {
    next.write.class == group.write.class && next.write.shard == group.write.shard
}
