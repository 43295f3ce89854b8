//! What may be sent to a node now. All that an initiator accepts has a number, and:
//!
//! - of what is for one extent, one item is in flight at a time, in the order of numbers; after an attempt
//!   that may still run the extent has a cooldown;
//! - nothing of a volume is sent before all that lies before a barrier of that volume is over;
//! - before the next is sent to an extent, the log knows for sure that the one before is done: a replay after a
//!   crash repeats at most the last that was sent there, and never overwrites newer data with older.
//!
//! The order of one extent is in `extent_queue`, barriers are in `volume_order`, what is sent in `sending`,
//! reads in `reads`.

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
pub use reads::Found;
use std::collections::{BTreeMap, BTreeSet};
use volume_order::VolumeOrder;

/// What the first item of an extent may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing, until something else happens.
    Blocked,
    /// Nothing before this time.
    WaitUntil(Micros),
    /// This buffered write may be written out.
    WriteOut(Seq),
    /// This request may be passed through.
    PassThrough(Seq),
}

/// The order of all that an initiator accepted.
#[derive(Debug, Default)]
pub struct Order {
    items: BTreeMap<Seq, Item>,
    volumes: BTreeMap<u64, VolumeOrder>,
    extents: BTreeMap<ExtentId, ExtentQueue>,
    /// Buffered writes that are not confirmed.
    buffered: BTreeSet<Seq>,
    parked: BTreeSet<Seq>,
    /// Requests that were not released yet, and barriers.
    waiting: BTreeSet<Seq>,
    /// Bytes of buffered writes.
    bytes: u64,
    /// Nothing of any extent is sent before this: an attempt of an earlier process may still run.
    starts_at: Micros,
}

/// What the end of an item unblocked.
#[derive(Debug, Default)]
pub struct Unblocked {
    /// Barriers that are passed.
    pub barriers: Vec<Seq>,
    /// Extents whose first item may have become free to go.
    pub extents: BTreeSet<ExtentId>,
    /// Requests without an extent that may be passed through now.
    pub pass_throughs: Vec<Seq>,
}

impl Order {
    /// An empty order. Nothing of an extent is sent before `starts_at`.
    pub fn new(starts_at: Micros) -> Self {
        Order { starts_at, ..Order::default() }
    }

    /// Bytes of buffered writes, as [`Write::cost`](crate::Write::cost) counts them.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The same for one volume.
    pub fn volume_bytes(&self, volume: u64) -> u64 {
        self.volumes.get(&volume).map_or(0, |order| order.bytes)
    }

    /// Number of buffered writes that are not confirmed, parked ones included.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }

    /// Number of writes that wait for an operator.
    pub fn parked(&self) -> usize {
        self.parked.len()
    }

    /// Number of requests that are not buffered and wait here, and of barriers.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// When the oldest buffered write was accepted that isn't parked.
    pub fn oldest(&self) -> Option<Micros> {
        let seq = self.buffered.iter().find(|seq| !self.parked.contains(seq))?;
        self.buffered_write(*seq).map(|write| write.accepted)
    }

    /// A buffered write.
    pub fn buffered_write(&self, seq: Seq) -> Option<&BufferedWrite> {
        match self.items.get(&seq) {
            Some(Item::Write(write)) => Some(write),
            _ => None,
        }
    }

    /// A buffered write, to be changed.
    pub fn buffered_write_mut(&mut self, seq: Seq) -> Option<&mut BufferedWrite> {
        match self.items.get_mut(&seq) {
            Some(Item::Write(write)) => Some(write),
            _ => None,
        }
    }

    /// What has this number.
    pub fn item(&self, seq: Seq) -> Option<&Item> {
        self.items.get(&seq)
    }

    /// Extents of all buffered writes.
    pub fn buffered_extents(&self) -> BTreeSet<ExtentId> {
        let writes = self.buffered.iter().filter_map(|seq| self.buffered_write(*seq));
        writes.map(|buffered| buffered.write.extent_id).collect()
    }

    /// All that is for an extent is over, and the log knows.
    pub fn is_settled(&self, extent_id: ExtentId) -> bool {
        self.extents.get(&extent_id).is_none_or(ExtentQueue::is_settled)
    }

    /// Whether all of a volume (`None`: of all volumes) up to a number is over.
    pub fn is_over(&self, volume: Option<u64>, up_to: Seq) -> bool {
        self.of_volumes(volume, |order| order.is_over(up_to))
    }

    /// Whether every buffered write of a volume (`None`: of all volumes) up to a number is durable here.
    pub fn is_durable(&self, volume: Option<u64>, up_to: Seq) -> bool {
        let is_durable = |seq: &Seq| match self.items.get(seq) {
            Some(Item::Write(write)) => write.stage != Stage::Logging,
            // Passed through: its client hears of it from the node.
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

    /// Adds a request that is not buffered. Returns whether it may be released at once.
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

    /// Adds a barrier. Returns false, and adds nothing, if nothing of the volume is open before it.
    pub fn add_barrier(&mut self, seq: Seq, volume: u64) -> bool {
        let Some(order) = self.volumes.get_mut(&volume).filter(|order| !order.open.is_empty()) else {
            return false;
        };
        order.barriers.insert(seq);
        self.waiting.insert(seq);
        self.items.insert(seq, Item::Barrier { volume });
        true
    }

    /// An unpassed barrier of the volume lies before it.
    fn is_fenced(&self, seq: Seq, volume: u64) -> bool {
        self.volumes.get(&volume).is_some_and(|order| order.is_fenced(seq))
    }

    /// What the first item of an extent may do.
    pub fn next_step(&self, extent_id: ExtentId, now: Micros) -> NextStep {
        let Some(queue) = self.extents.get(&extent_id) else { return NextStep::Blocked };
        let Some(seq) = queue.items.front().copied() else { return NextStep::Blocked };
        if queue.is_in_flight || self.is_fenced(seq, extent_id.volume) {
            return NextStep::Blocked;
        }
        // Guards against a replay that overwrites newer data with older, and against a node that drops as a
        // repeat what such a replay has just overwritten: the log must know first that all before is done.
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

    /// What is queued for an extent waits for the log to record what is done there.
    pub fn waits_for_log(&self, extent_id: ExtentId) -> bool {
        let waits = |queue: &ExtentQueue| !queue.unrecorded.is_empty() && !queue.items.is_empty();
        self.extents.get(&extent_id).is_some_and(waits)
    }

    /// Releases a request to its node. Returns the core's name for it.
    pub fn release_pass_through(&mut self, seq: Seq) -> Option<WriteHandle> {
        self.waiting.remove(&seq);
        let Some(Item::PassThrough(request)) = self.items.get_mut(&seq) else { return None };
        request.is_released = true;
        if let Some(queue) = request.extent_id.and_then(|extent_id| self.extents.get_mut(&extent_id)) {
            queue.is_in_flight = true;
        }
        Some(request.handle)
    }

    /// A write was confirmed or a pass-through is over. Nothing of its extent is sent before `not_before`: an
    /// attempt of it may still run.
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

    /// The log knows that a write is done.
    pub fn completion_recorded(&mut self, seq: Seq, extent_id: ExtentId) {
        if let Some(queue) = self.extents.get_mut(&extent_id) {
            queue.unrecorded.remove(&seq);
        }
    }

    /// Drops an extent's queue if it is empty. If it only has a cooldown left: until when.
    pub fn drop_if_empty(&mut self, extent_id: ExtentId, now: Micros) -> Option<Micros> {
        let queue = self.extents.get(&extent_id).filter(|queue| queue.is_empty())?;
        if queue.not_before > now {
            return Some(queue.not_before);
        }
        self.extents.remove(&extent_id);
        None
    }
}
