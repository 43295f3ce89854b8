//! What may go to a node now. Everything that an initiator takes has a number, and:
//!
//! - of what is for one place, one goes at a time, in the order of numbers; after an attempt that may still
//!   run the place rests;
//! - nothing of a volume goes before all that lies before a barrier of that volume is over;
//! - before the next goes to a place, the log knows for sure that the one before is done: a replay after a
//!   crash repeats at most the last that went there, and never lays old data over newer.

use crate::buffer::WriteHandle;
use crate::image::{merged, whole};
use crate::record::{ExtentId, Seq, WallClock, Write};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How far a buffered write has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// On its way to the disk.
    Logging,
    /// Durable.
    Ready,
    /// It may have run and must not be repeated: an operator decides.
    Parked,
}

/// A buffered write.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The write.
    pub write: Write,
    /// When it was taken.
    pub taken: Micros,
    /// The same on the host's calendar.
    pub taken_wall: WallClock,
    /// When its first attempt may have run, once that is durable.
    pub started: Option<WallClock>,
    /// How far it has come.
    pub stage: Stage,
}

/// What has a number.
#[derive(Clone, Debug)]
pub enum Item {
    /// A buffered write.
    Write(Entry),
    /// A write that goes through, or another request that its volume's barriers concern.
    Through {
        /// The core's name for it.
        handle: WriteHandle,
        /// The volume.
        volume: u64,
        /// Where it writes; none: it names no extent.
        extent_id: Option<ExtentId>,
        /// It was let go.
        out: bool,
    },
    /// A barrier that has not been passed.
    Barrier {
        /// Its volume.
        volume: u64,
    },
}

#[derive(Debug, Default)]
struct Volume {
    /// Writes and throughs that are not over.
    open: BTreeSet<Seq>,
    barriers: BTreeSet<Seq>,
    bytes: u64,
}

/// Writes of one place that go to the node as one.
#[derive(Clone, Debug)]
pub struct Run {
    /// Which.
    pub seqs: Vec<Seq>,
    /// What they come to.
    pub write: Write,
}

/// All that is for one place.
#[derive(Debug, Default)]
pub struct Lane {
    queue: VecDeque<Seq>,
    /// Something of it is out.
    busy: bool,
    /// An attempt that may have run: it goes again as it is, until it is over.
    frozen: Option<Run>,
    /// Nothing goes before this.
    not_before: Micros,
    /// Done, and the log does not know it for sure yet.
    unrecorded: BTreeSet<Seq>,
    /// Reads that will be laid over with what was here.
    readers: BTreeSet<WriteHandle>,
    /// Writes that were done while such reads were out.
    kept: BTreeMap<Seq, Write>,
}

impl Lane {
    fn empty(&self) -> bool {
        self.queue.is_empty() && self.unrecorded.is_empty() && self.readers.is_empty()
    }
}

/// What a place's first in line may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing, until something else happens.
    Nothing,
    /// It rests until then.
    Rest(Micros),
    /// This buffered write may go.
    Write(Seq),
    /// This request may go through.
    Through(Seq),
}

/// The order of all that an initiator took.
#[derive(Debug, Default)]
pub struct Order {
    items: BTreeMap<Seq, Item>,
    volumes: BTreeMap<u64, Volume>,
    lanes: BTreeMap<ExtentId, Lane>,
    /// Buffered writes that are not over.
    buffered: BTreeSet<Seq>,
    parked: BTreeSet<Seq>,
    /// Requests that were not let go yet, and barriers.
    waiting: BTreeSet<Seq>,
    bytes: u64,
    /// Nothing with a place goes before this: an attempt of an earlier life may still run.
    begins: Micros,
}

/// What an end changed.
#[derive(Debug, Default)]
pub struct Freed {
    /// Barriers that are passed by it.
    pub barriers: Vec<Seq>,
    /// Places whose first in line is to be looked at.
    pub places: BTreeSet<ExtentId>,
    /// Requests without a place that may go through now.
    pub throughs: Vec<Seq>,
}

impl Order {
    /// Nothing is taken yet, and nothing with a place goes before `begins`.
    pub fn new(begins: Micros) -> Self {
        Order { begins, ..Order::default() }
    }
    /// Bytes of buffered writes, as [`Write::cost`] counts them.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
    /// The same for one volume.
    pub fn volume_bytes(&self, volume: u64) -> u64 {
        self.volumes.get(&volume).map_or(0, |v| v.bytes)
    }
    /// Buffered writes that are not over, parked ones included.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }
    /// Writes that wait for an operator.
    pub fn parked(&self) -> usize {
        self.parked.len()
    }
    /// Requests that are not buffered and wait here, and barriers.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
    /// When the oldest buffered write was taken that no operator is waited for.
    pub fn oldest(&self) -> Option<Micros> {
        let seq = self.buffered.iter().find(|seq| !self.parked.contains(seq))?;
        self.entry(*seq).map(|e| e.taken)
    }
    /// A buffered write.
    pub fn entry(&self, seq: Seq) -> Option<&Entry> {
        match self.items.get(&seq) {
            Some(Item::Write(entry)) => Some(entry),
            _ => None,
        }
    }
    /// The same, to be changed.
    pub fn entry_mut(&mut self, seq: Seq) -> Option<&mut Entry> {
        match self.items.get_mut(&seq) {
            Some(Item::Write(entry)) => Some(entry),
            _ => None,
        }
    }
    /// What has this number.
    pub fn item(&self, seq: Seq) -> Option<&Item> {
        self.items.get(&seq)
    }
    /// All that is for a place is over, and the log knows.
    pub fn clear(&self, extent_id: ExtentId) -> bool {
        self.lanes.get(&extent_id).is_none_or(|l| l.queue.is_empty() && l.unrecorded.is_empty())
    }
    /// Whether all of a volume, or of all, up to a number is over.
    pub fn over(&self, volume: Option<u64>, upto: Seq) -> bool {
        let volume_over = |v: &Volume| v.open.first().is_none_or(|first| *first > upto);
        match volume {
            Some(volume) => self.volumes.get(&volume).is_none_or(volume_over),
            None => self.volumes.values().all(volume_over),
        }
    }
    /// Whether every buffered write of a volume, or of all, up to a number is durable here.
    pub fn durable(&self, volume: Option<u64>, upto: Seq) -> bool {
        let durable = |seq: &Seq| match self.items.get(seq) {
            Some(Item::Write(e)) => e.stage != Stage::Logging,
            // Sent through: its client hears of it from the node.
            Some(_) | None => true,
        };
        let volume_durable = |v: &Volume| v.open.range(..=upto).all(durable);
        match volume {
            Some(volume) => self.volumes.get(&volume).is_none_or(volume_durable),
            None => self.volumes.values().all(volume_durable),
        }
    }

    /// A buffered write.
    pub fn add_write(&mut self, seq: Seq, entry: Entry) {
        let extent_id = entry.write.extent_id;
        let volume = self.volumes.entry(extent_id.volume).or_default();
        volume.open.insert(seq);
        volume.bytes += entry.write.cost();
        self.bytes += entry.write.cost();
        self.buffered.insert(seq);
        if entry.stage == Stage::Parked {
            self.parked.insert(seq);
        }
        self.lanes.entry(extent_id).or_default().queue.push_back(seq);
        self.items.insert(seq, Item::Write(entry));
    }

    /// A request that is not buffered. Returns whether it may go at once.
    pub fn add_through(
        &mut self,
        seq: Seq,
        handle: WriteHandle,
        volume: u64,
        extent_id: Option<ExtentId>,
        now: Micros,
    ) -> bool {
        self.volumes.entry(volume).or_default().open.insert(seq);
        self.items.insert(seq, Item::Through { handle, volume, extent_id, out: false });
        self.waiting.insert(seq);
        match extent_id {
            Some(extent_id) => {
                self.lanes.entry(extent_id).or_default().queue.push_back(seq);
                self.next(extent_id, now) == Next::Through(seq)
            }
            None => !self.fenced(seq, volume),
        }
    }

    /// A barrier. Returns false, and keeps nothing, if nothing lies before it.
    pub fn add_barrier(&mut self, seq: Seq, volume: u64) -> bool {
        let Some(v) = self.volumes.get_mut(&volume).filter(|v| !v.open.is_empty()) else { return false };
        v.barriers.insert(seq);
        self.waiting.insert(seq);
        self.items.insert(seq, Item::Barrier { volume });
        true
    }

    /// A barrier lies before it, unpassed.
    fn fenced(&self, seq: Seq, volume: u64) -> bool {
        self.volumes.get(&volume).is_some_and(|v| v.barriers.first().is_some_and(|b| *b < seq))
    }

    /// What a place's first in line may do.
    pub fn next(&self, extent_id: ExtentId, now: Micros) -> Next {
        let Some(lane) = self.lanes.get(&extent_id) else { return Next::Nothing };
        let Some(seq) = lane.queue.front().copied() else { return Next::Nothing };
        if lane.busy || self.fenced(seq, extent_id.volume) {
            return Next::Nothing;
        }
        // The log must know first that all before it is done: a replay never takes a place back, and no node
        // drops as a repeat what a replay of something older has just overwritten.
        if !lane.unrecorded.is_empty() {
            return Next::Nothing;
        }
        let may = match self.items.get(&seq) {
            Some(Item::Write(e)) if e.stage == Stage::Ready => Next::Write(seq),
            Some(Item::Through { out: false, .. }) if lane.readers.is_empty() => Next::Through(seq),
            _ => return Next::Nothing,
        };
        let from = lane.not_before.max(self.begins);
        if from > now { Next::Rest(from) } else { may }
    }

    /// What is for a place waits for the log to know what is done there.
    pub fn waits_for_log(&self, extent_id: ExtentId) -> bool {
        self.lanes.get(&extent_id).is_some_and(|lane| !lane.unrecorded.is_empty() && !lane.queue.is_empty())
    }

    /// Lets it go through. Returns the core's name for it.
    pub fn let_through(&mut self, seq: Seq) -> Option<WriteHandle> {
        self.waiting.remove(&seq);
        let Some(Item::Through { out, extent_id, handle, .. }) = self.items.get_mut(&seq) else {
            return None;
        };
        *out = true;
        if let Some(lane) = extent_id.and_then(|p| self.lanes.get_mut(&p)) {
            lane.busy = true;
        }
        Some(*handle)
    }

    /// Takes the first writes of a place as one: those that follow each other durable and may be merged.
    /// One that may have run goes again as it was. `alone`: its effect forbids merging.
    pub fn take_run(&mut self, extent_id: ExtentId, alone: bool) -> Option<Run> {
        let lane = self.lanes.get(&extent_id)?;
        let run = match &lane.frozen {
            Some(run) => run.clone(),
            None => self.merged_run(extent_id, lane, alone)?,
        };
        self.lanes.get_mut(&extent_id)?.busy = true;
        Some(run)
    }

    fn merged_run(&self, extent_id: ExtentId, lane: &Lane, alone: bool) -> Option<Run> {
        let first = *lane.queue.front()?;
        let mut run = Run { seqs: vec![first], write: self.entry(first)?.write.clone() };
        for seq in lane.queue.iter().skip(1) {
            let Some(e) = self.entry(*seq).filter(|e| e.stage == Stage::Ready) else { break };
            let differs = e.write.class != run.write.class || e.write.shard != run.write.shard;
            if alone || differs || self.fenced(*seq, extent_id.volume) {
                break;
            }
            let Some(write) = merged(&run.write, &e.write) else { break };
            run.write = write;
            run.seqs.push(*seq);
        }
        Some(run)
    }

    /// After a start: what may be out of a place since an earlier life goes first, as it went then. Returns its
    /// first write. It is the run up to the last write that was marked as started: one that was known not
    /// to have run was marked again only as part of a longer one.
    pub fn freeze_started(&mut self, extent_id: ExtentId) -> Option<Seq> {
        let lane = self.lanes.get(&extent_id)?;
        let started = |seq: &&Seq| self.entry(**seq).is_some_and(|e| e.started.is_some());
        let last = lane.queue.iter().rfind(started).copied()?;
        let mut run: Option<Run> = None;
        for seq in lane.queue.iter().take_while(|seq| **seq <= last) {
            let write = self.entry(*seq)?.write.clone();
            run = Some(match run {
                None => Run { seqs: vec![*seq], write },
                Some(mut run) => {
                    run.write = merged(&run.write, &write)?;
                    run.seqs.push(*seq);
                    run
                }
            });
        }
        let first = run.as_ref()?.seqs[0];
        self.lanes.get_mut(&extent_id)?.frozen = run;
        Some(first)
    }

    /// What was out of a place is over without being done. `may_have_run`: it goes again as it was, after
    /// a rest. Nothing of the place goes before `not_before`.
    pub fn give_back(&mut self, run: Run, may_have_run: bool, not_before: Micros) {
        if let Some(lane) = self.lanes.get_mut(&run.write.extent_id) {
            lane.busy = false;
            lane.not_before = lane.not_before.max(not_before);
            if may_have_run {
                lane.frozen = Some(run);
            }
        }
    }

    /// A write waits for an operator from now on.
    pub fn park(&mut self, seq: Seq) {
        if let Some(e) = self.entry_mut(seq) {
            e.stage = Stage::Parked;
            let extent_id = e.write.extent_id;
            self.parked.insert(seq);
            if let Some(lane) = self.lanes.get_mut(&extent_id) {
                (lane.busy, lane.frozen) = (false, None);
            }
        }
    }

    /// Something with a number is over. `rest_until`: an attempt of it may still run.
    pub fn finish(&mut self, seq: Seq, rest_until: Micros) -> Freed {
        let mut freed = Freed::default();
        self.waiting.remove(&seq);
        let (volume, extent_id) = match self.items.remove(&seq) {
            Some(Item::Write(entry)) => {
                let extent_id = entry.write.extent_id;
                let cost = entry.write.cost();
                self.bytes -= cost;
                self.buffered.remove(&seq);
                self.parked.remove(&seq);
                if let Some(v) = self.volumes.get_mut(&extent_id.volume) {
                    v.bytes -= cost;
                }
                let lane = self.lanes.entry(extent_id).or_default();
                lane.unrecorded.insert(seq);
                lane.frozen = None;
                if !lane.readers.is_empty() {
                    lane.kept.insert(seq, entry.write);
                }
                (extent_id.volume, Some(extent_id))
            }
            Some(Item::Through { volume, extent_id, .. }) => (volume, extent_id),
            Some(Item::Barrier { .. }) | None => return freed,
        };
        if let Some(extent_id) = extent_id
            && let Some(lane) = self.lanes.get_mut(&extent_id)
        {
            if lane.queue.front() == Some(&seq) {
                lane.busy = false;
            }
            lane.queue.retain(|s| *s != seq);
            lane.not_before = lane.not_before.max(rest_until);
            freed.places.insert(extent_id);
        }
        if let Some(v) = self.volumes.get_mut(&volume) {
            v.open.remove(&seq);
        }
        self.pass_barriers(volume, &mut freed);
        freed
    }

    fn pass_barriers(&mut self, volume: u64, freed: &mut Freed) {
        let Some(v) = self.volumes.get_mut(&volume) else { return };
        while let Some(first) = v.barriers.first().copied() {
            if v.open.first().is_some_and(|open| *open < first) {
                return;
            }
            v.barriers.remove(&first);
            self.waiting.remove(&first);
            self.items.remove(&first);
            freed.barriers.push(first);
            let until = v.barriers.first().copied().unwrap_or(Seq(u64::MAX));
            for seq in v.open.range(first..until) {
                match self.items.get(seq) {
                    Some(Item::Write(e)) => drop(freed.places.insert(e.write.extent_id)),
                    Some(Item::Through { extent_id: Some(extent_id), .. }) => {
                        freed.places.insert(*extent_id);
                    }
                    Some(Item::Through { .. }) => freed.throughs.push(*seq),
                    Some(Item::Barrier { .. }) | None => {}
                }
            }
        }
        if v.open.is_empty() && v.barriers.is_empty() {
            self.volumes.remove(&volume);
        }
    }

    /// The log knows that a write is done.
    pub fn recorded(&mut self, seq: Seq, extent_id: ExtentId) {
        if let Some(lane) = self.lanes.get_mut(&extent_id) {
            lane.unrecorded.remove(&seq);
        }
    }

    /// Drops what is known of a place if that is nothing. If it only rests: until when.
    pub fn tidy(&mut self, extent_id: ExtentId, now: Micros) -> Option<Micros> {
        let lane = self.lanes.get(&extent_id).filter(|l| l.empty())?;
        if lane.not_before > now {
            return Some(lane.not_before);
        }
        self.lanes.remove(&extent_id);
        None
    }

    /// Durable writes of a place that a read must see, in order.
    fn seen<'a>(&'a self, lane: &'a Lane) -> impl DoubleEndedIterator<Item = &'a Write> + Clone {
        let durable = |seq: &&Seq| self.entry(**seq).is_some_and(|e| e.stage != Stage::Logging);
        lane.queue.iter().filter(durable).filter_map(|seq| self.entry(*seq)).map(|e| &e.write)
    }

    /// What a read of a place finds here: nothing; all of it with its shard; or a part, to be laid over the
    /// node's answer by [`Order::lay_over`].
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> Found {
        let Some(lane) = self.lanes.get(&extent_id) else { return Found::Nothing };
        let seen = self.seen(lane);
        let Some(last) = seen.clone().next_back() else { return Found::Nothing };
        if let Some(data) = whole(seen) {
            return Found::Whole { shard: last.shard, data };
        }
        if let Some(lane) = self.lanes.get_mut(&extent_id) {
            lane.readers.insert(handle);
        }
        Found::Part
    }

    /// Lays what was and is here over a node's answer.
    pub fn lay_over(&self, extent_id: ExtentId, data: &mut Vec<u8>) {
        if let Some(lane) = self.lanes.get(&extent_id) {
            let kept = lane.kept.values();
            kept.chain(self.seen(lane)).for_each(|w| crate::image::lay(data, w));
        }
    }

    /// A read that found a part here is over.
    pub fn read_ended(&mut self, handle: WriteHandle, extent_id: ExtentId) {
        if let Some(lane) = self.lanes.get_mut(&extent_id) {
            lane.readers.remove(&handle);
            if lane.readers.is_empty() {
                lane.kept.clear();
            }
        }
    }

    /// Every buffered write, in order.
    pub fn writes(&self) -> impl Iterator<Item = (Seq, &Entry)> {
        self.buffered.iter().filter_map(|seq| self.entry(*seq).map(|e| (*seq, e)))
    }
}

/// See [`Order::read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing.
    Nothing,
    /// A part of it.
    Part,
    /// All of it.
    Whole {
        /// The shard that will hold it.
        shard: u32,
        /// The data.
        data: Vec<u8>,
    },
}
