//! Ordering constraints on requests to nodes. Every accepted item has a sequence number, and:
//!
//! - each extent has one item in flight at a time, in order of sequence numbers; after an attempt that may
//!   still run the extent has a cooldown;
//! - an item after a barrier of its volume is not sent before all items before the barrier are complete;
//! - the next item of an extent is not sent before the completion of the previous one is durable in the log:
//!   a replay after a crash sends at most the last write of each extent again, and never overwrites newer
//!   data with older data.
//!
//! `extent_queue` orders the items of one extent, `volume_order` handles barriers, `sending` merges and
//! returns writes, `reads` serves reads.

mod extent_queue;
mod item;
mod reads;
mod sending;
mod volume_order;

use crate::record::{ExtentId, Seq};
use crate::request::WriteHandle;
use extent_queue::ExtentQueue;
pub use extent_queue::MergedWrite;
use flaxstand_proto::Micros;
pub use item::{BufferedWrite, Item, PassThrough, Stage};
pub use reads::ExtentRead;
use std::collections::{BTreeMap, BTreeSet};
use volume_order::VolumeOrder;

/// Next step for the first item of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// None until another event occurs.
    Blocked,
    /// None before this time.
    WaitUntil(Micros),
    /// Write out this buffered write.
    WriteOut(Seq),
    /// Pass this request through.
    PassThrough(Seq),
}

/// Order of all items that an initiator accepted.
#[derive(Debug, Default)]
pub struct Order {
    items: BTreeMap<Seq, Item>,
    volumes: BTreeMap<u64, VolumeOrder>,
    extents: BTreeMap<ExtentId, ExtentQueue>,
    /// Unconfirmed buffered writes.
    buffered: BTreeSet<Seq>,
    parked: BTreeSet<Seq>,
    /// Unreleased requests, and barriers.
    waiting: BTreeSet<Seq>,
    /// Bytes of buffered writes.
    bytes: u64,
    /// Nothing is sent to any extent earlier, because an attempt of an earlier process may still run.
    starts_at: Micros,
}

/// Items that the completion of an item unblocked.
#[derive(Debug, Default)]
pub struct Unblocked {
    /// Barriers that were passed.
    pub barriers: Vec<Seq>,
    /// Extents whose first item may have been unblocked.
    pub extents: BTreeSet<ExtentId>,
    /// Requests without an extent that may be passed through now.
    pub pass_throughs: Vec<Seq>,
}

impl Order {
    /// Creates an empty order. Nothing is sent to any extent before `starts_at`.
    pub fn new(starts_at: Micros) -> Self {
        Order { starts_at, ..Order::default() }
    }

    /// Returns the bytes of buffered writes, as counted by [`Write::cost`](crate::Write::cost).
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the bytes of the buffered writes of one volume.
    pub fn volume_bytes(&self, volume: u64) -> u64 {
        self.volumes.get(&volume).map_or(0, |order| order.bytes)
    }

    /// Returns the number of unconfirmed buffered writes, including parked ones.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }

    /// Returns the number of writes that wait for an operator's decision.
    pub fn parked(&self) -> usize {
        self.parked.len()
    }

    /// Returns the number of barriers and of unbuffered requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time of acceptance of the oldest buffered write that is not parked.
    pub fn oldest(&self) -> Option<Micros> {
        let seq = self.buffered.iter().find(|seq| !self.parked.contains(seq))?;
        self.buffered_write(*seq).map(|write| write.accepted)
    }

    /// Returns a buffered write.
    pub fn buffered_write(&self, seq: Seq) -> Option<&BufferedWrite> {
        match self.items.get(&seq) {
            Some(Item::Write(write)) => Some(write),
            _ => None,
        }
    }

    /// Returns a mutable reference to a buffered write.
    pub fn buffered_write_mut(&mut self, seq: Seq) -> Option<&mut BufferedWrite> {
        match self.items.get_mut(&seq) {
            Some(Item::Write(write)) => Some(write),
            _ => None,
        }
    }

    /// Returns the item of a sequence number.
    pub fn item(&self, seq: Seq) -> Option<&Item> {
        self.items.get(&seq)
    }

    /// Returns the extents of all buffered writes.
    pub fn buffered_extents(&self) -> BTreeSet<ExtentId> {
        let writes = self.buffered.iter().filter_map(|seq| self.buffered_write(*seq));
        writes.map(|buffered| buffered.write.extent_id).collect()
    }

    /// Returns whether all items of an extent are complete and their completion is durable in the log.
    pub fn is_settled(&self, extent_id: ExtentId) -> bool {
        self.extents.get(&extent_id).is_none_or(ExtentQueue::is_settled)
    }

    /// Returns whether all items of a volume (`None`: of all volumes) up to `up_to` are complete.
    pub fn is_complete(&self, volume: Option<u64>, up_to: Seq) -> bool {
        self.of_volumes(volume, |order| order.is_complete(up_to))
    }

    /// Returns whether all buffered writes of a volume (`None`: of all volumes) up to `up_to` are durable in
    /// the log.
    pub fn is_durable(&self, volume: Option<u64>, up_to: Seq) -> bool {
        let is_durable = |seq: &Seq| match self.items.get(seq) {
            Some(Item::Write(write)) => write.stage != Stage::Logging,
            // A passed-through request is answered by the node.
            Some(_) | None => true,
        };
        self.of_volumes(volume, |order| order.open.range(..=up_to).all(is_durable))
    }

    fn of_volumes(&self, volume: Option<u64>, holds: impl Fn(&VolumeOrder) -> bool) -> bool {
        match volume {
            Some(volume) => self.volumes.get(&volume).is_none_or(holds),
            None => self.volumes.values().all(holds),
        }
    }

    /// Adds a buffered write.
    pub fn add_write(&mut self, seq: Seq, write: BufferedWrite) {
        let (extent_id, cost) = (write.write.extent_id, write.write.cost());
        let volume = self.volumes.entry(extent_id.volume).or_default();
        volume.open.insert(seq);
        volume.bytes += cost;
        self.bytes += cost;
        self.buffered.insert(seq);
        if write.stage == Stage::Parked {
            self.parked.insert(seq);
        }
        self.extents.entry(extent_id).or_default().items.push_back(seq);
        self.items.insert(seq, Item::Write(write));
    }

    /// Adds an unbuffered request. Returns whether it may be released immediately.
    pub fn add_pass_through(&mut self, seq: Seq, request: PassThrough, now: Micros) -> bool {
        let PassThrough { volume, extent_id, .. } = request;
        self.volumes.entry(volume).or_default().open.insert(seq);
        self.items.insert(seq, Item::PassThrough(request));
        self.waiting.insert(seq);
        match extent_id {
            Some(extent_id) => {
                self.extents.entry(extent_id).or_default().items.push_back(seq);
                self.next_step(extent_id, now) == NextStep::PassThrough(seq)
            }
            None => !self.is_fenced(seq, volume),
        }
    }

    /// Adds a barrier. Returns false, and adds nothing, if the volume has no incomplete items.
    pub fn add_barrier(&mut self, seq: Seq, volume: u64) -> bool {
        let Some(order) = self.volumes.get_mut(&volume).filter(|order| !order.open.is_empty()) else {
            return false;
        };
        order.barriers.insert(seq);
        self.waiting.insert(seq);
        self.items.insert(seq, Item::Barrier { volume });
        true
    }

    /// Returns whether an item lies after a barrier of the volume that has not been passed.
    fn is_fenced(&self, seq: Seq, volume: u64) -> bool {
        self.volumes.get(&volume).is_some_and(|order| order.is_fenced(seq))
    }

    /// Returns the next step for the first item of an extent.
    pub fn next_step(&self, extent_id: ExtentId, now: Micros) -> NextStep {
        let Some(queue) = self.extents.get(&extent_id) else { return NextStep::Blocked };
        let Some(seq) = queue.items.front().copied() else { return NextStep::Blocked };
        if queue.is_in_flight || self.is_fenced(seq, extent_id.volume) {
            return NextStep::Blocked;
        }
        // All earlier completions must be durable first. Otherwise a replay could overwrite newer data with
        // older data, and the node would then drop the newer write as a duplicate when it is sent again.
        if !queue.unrecorded.is_empty() {
            return NextStep::Blocked;
        }
        let step = match self.items.get(&seq) {
            Some(Item::Write(write)) if write.stage == Stage::Ready => NextStep::WriteOut(seq),
            Some(Item::PassThrough(request)) if !request.is_released && !queue.has_readers() => {
                NextStep::PassThrough(seq)
            }
            _ => return NextStep::Blocked,
        };
        let not_before = queue.not_before.max(self.starts_at);
        if not_before > now { NextStep::WaitUntil(not_before) } else { step }
    }

    /// Returns whether queued items of an extent wait until earlier completions are durable in the log.
    pub fn waits_for_log(&self, extent_id: ExtentId) -> bool {
        let waits = |queue: &ExtentQueue| !queue.unrecorded.is_empty() && !queue.items.is_empty();
        self.extents.get(&extent_id).is_some_and(waits)
    }

    /// Releases a request to its node. Returns its handle.
    pub fn release_pass_through(&mut self, seq: Seq) -> Option<WriteHandle> {
        self.waiting.remove(&seq);
        let Some(Item::PassThrough(request)) = self.items.get_mut(&seq) else { return None };
        request.is_released = true;
        if let Some(queue) = request.extent_id.and_then(|extent_id| self.extents.get_mut(&extent_id)) {
            queue.is_in_flight = true;
        }
        Some(request.handle)
    }

    /// Completes a confirmed write or an ended pass-through. Nothing is sent to its extent before
    /// `not_before`, because an attempt may still run.
    pub fn finish(&mut self, seq: Seq, not_before: Micros) -> Unblocked {
        let mut unblocked = Unblocked::default();
        self.waiting.remove(&seq);
        let (volume, extent_id) = match self.items.remove(&seq) {
            Some(Item::Write(write)) => {
                let extent_id = write.write.extent_id;
                self.confirm(seq, write);
                (extent_id.volume, Some(extent_id))
            }
            Some(Item::PassThrough(request)) => (request.volume, request.extent_id),
            Some(Item::Barrier { .. }) | None => return unblocked,
        };
        if let Some(extent_id) = extent_id
            && let Some(queue) = self.extents.get_mut(&extent_id)
        {
            queue.remove(seq, not_before);
            unblocked.extents.insert(extent_id);
        }
        if let Some(order) = self.volumes.get_mut(&volume) {
            order.open.remove(&seq);
        }
        self.pass_barriers(volume, &mut unblocked);
        unblocked
    }

    fn confirm(&mut self, seq: Seq, BufferedWrite { write, .. }: BufferedWrite) {
        let (extent_id, cost) = (write.extent_id, write.cost());
        self.bytes -= cost;
        self.buffered.remove(&seq);
        self.parked.remove(&seq);
        if let Some(order) = self.volumes.get_mut(&extent_id.volume) {
            order.bytes -= cost;
        }
        self.extents.entry(extent_id).or_default().confirm(seq, write);
    }

    fn pass_barriers(&mut self, volume: u64, unblocked: &mut Unblocked) {
        let Some(order) = self.volumes.get_mut(&volume) else { return };
        while let Some(barrier) = order.pass_first_barrier() {
            self.waiting.remove(&barrier);
            self.items.remove(&barrier);
            unblocked.barriers.push(barrier);
            for seq in order.unfenced_by(barrier) {
                match self.items.get(seq) {
                    Some(Item::Write(write)) => {
                        unblocked.extents.insert(write.write.extent_id);
                    }
                    Some(Item::PassThrough(request)) => match request.extent_id {
                        Some(extent_id) => drop(unblocked.extents.insert(extent_id)),
                        None => unblocked.pass_throughs.push(*seq),
                    },
                    Some(Item::Barrier { .. }) | None => {}
                }
            }
        }
        if order.is_empty() {
            self.volumes.remove(&volume);
        }
    }

    /// Handles the completion record of a write that became durable.
    pub fn completion_recorded(&mut self, seq: Seq, extent_id: ExtentId) {
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.unrecorded.remove(&seq);
        }
    }

    /// Removes the queue of an extent if it is empty. If only a cooldown is left, returns its end instead.
    pub fn drop_if_empty(&mut self, extent_id: ExtentId, now: Micros) -> Option<Micros> {
        let queue = self.extents.get(&extent_id).filter(|queue| queue.is_empty())?;
        if queue.not_before > now {
            return Some(queue.not_before);
        }
        self.extents.remove(&extent_id);
        None
    }
}
