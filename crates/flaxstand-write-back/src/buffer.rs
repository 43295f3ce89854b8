//! The buffer: plain calls in, [`Action`]s out. The core calls it for every write (and every read that names
//! a place), tells it how tries and batches ended, and does what it says.

use crate::log::{Kind, Log, LogCounts};
use crate::order::{Entry, Found, Freed, Item, Next, Order, Run, Stage};
use crate::pressure::{Admission, Space, admit};
use crate::record::{ExtentId, Record, Seq, WallClock, Write};
use crate::recover::{LiveRecord, Recovered};
use crate::writeout::{Ended, Urgency, WriteOut, WriteOutRetryBudget};
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// The core's name for a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteHandle(pub u64);

/// A write-out that the core was told to bring about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOutId(pub u64);

/// Whether and how writes of a class may be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferingMode {
    /// They go through.
    Never,
    /// Repeating one is harmless as long as no later one of its place has run.
    Repeatable,
    /// Nodes drop repeats for so long after the first attempt that may have run; none may be sent later.
    Keyed(Micros),
}

/// Bounds and waits. `docs/write-back.md` describes every figure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes that may live in the buffer, as [`Write::cost`] counts them.
    pub bytes: u64,
    /// The same for one volume.
    pub volume_bytes: u64,
    /// A write should be on its node after this.
    pub age: Micros,
    /// A write waits so long for one that overwrites it.
    pub linger: Micros,
    /// Word of what is done waits so long for company before it is written.
    pub record_linger: Micros,
    /// Longest wait of an acknowledgement as space runs out.
    pub slow: Micros,
    /// Requests and barriers that may wait here beside buffered writes.
    pub waiting: usize,
    /// A flush is complete once all before it is durable here, in place of on the nodes.
    pub flush_here: bool,
}

impl Default for BufferLimits {
    fn default() -> Self {
        BufferLimits {
            bytes: 256 << 20,
            volume_bytes: 64 << 20,
            age: Micros(5_000_000),
            linger: Micros(20_000),
            record_linger: Micros(50_000),
            slow: Micros(50_000),
            waiting: 4096,
            flush_here: false,
        }
    }
}

/// What the buffer is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Bounds and waits.
    pub rules: BufferLimits,
    /// Advised wait with a refusal.
    pub refusal_wait: Micros,
    /// A place rests so long after an attempt that may still run.
    pub key_cooldown: Micros,
    /// By class.
    pub classes: Vec<BufferingMode>,
    /// Bound on repeats of write-outs.
    pub repeats: Option<WriteOutRetryBudget>,
    /// The host's calendar when the clock of [`Micros`] was 0.
    pub calendar: WallClock,
}

/// A client's write.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The core's name for it.
    pub handle: WriteHandle,
    /// The write.
    pub write: Write,
}

/// How a try of a write-out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutResult {
    /// The node has it. `lingers`: another attempt of it may still run.
    Confirmed {
        /// See above.
        lingers: bool,
    },
    /// It has not run.
    NotRun {
        /// Come back no earlier than after this.
        wait: Micros,
    },
    /// It was given up at the buffer's own word; no attempt of it had left.
    Withdrawn,
    /// It may have run.
    Unsure,
}

/// What the core is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have this stored, then call [`WriteBackBuffer::stored`].
    Store(Batch),
    /// Answer: durable here.
    Buffered(WriteHandle),
    /// Let it go to its node as an ordinary request.
    Through(WriteHandle),
    /// Answer: refused, it has not run.
    Refused {
        /// Which.
        handle: WriteHandle,
        /// Advised wait.
        wait: Micros,
    },
    /// Answer: the barrier stands.
    Barred(WriteHandle),
    /// Answer: all before the flush is where it should be.
    Flushed(WriteHandle),
    /// Bring this write to its node, then call [`WriteBackBuffer::try_ended`].
    Send {
        /// Its name.
        id: WriteOutId,
        /// The write.
        write: Write,
        /// How urgent it is.
        level: Urgency,
        /// No attempt of it may leave after this, if there is such a moment.
        until: Option<Micros>,
    },
    /// Give it up if no attempt of it has left, and tell so as `Withdrawn`; else let it be.
    Withdraw(WriteOutId),
}

/// What a request is answered whose time is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// It is durable; only its acknowledgement was being slowed.
    Buffered,
    /// It has not run and will not.
    Refuse,
    /// It may have run or may yet run; or what was waited for has not been seen.
    Fail,
    /// It is no longer here: it went through.
    Elsewhere,
}

/// What a read finds here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferedRead {
    /// Nothing: the node's answer is right as it is.
    Plain,
    /// Everything.
    Whole {
        /// The shard that will hold it.
        shard: u32,
        /// The data.
        data: Vec<u8>,
    },
    /// A part: the node's answer goes to [`WriteBackBuffer::merge`].
    Merge,
}

/// Figures for operators. Bytes and counts of now, then what only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Buffered writes that are not on their nodes.
    pub writes: usize,
    /// Bytes of them.
    pub bytes: u64,
    /// Bytes that may be.
    pub bytes_most: u64,
    /// Bytes of the log's segments.
    pub log_bytes: u64,
    /// Age of the oldest that no operator is waited for.
    pub oldest: Micros,
    /// Writes that wait for an operator.
    pub parked: usize,
    /// Requests and barriers that wait here.
    pub waiting: usize,
    /// The log fails.
    pub failing: bool,
    /// Write-outs with the module or out.
    pub out: usize,
    /// Writes acknowledged as buffered.
    pub acknowledged: u64,
    /// Writes that could have been buffered and went through or were refused.
    pub turned_through: u64,
    /// Writes brought to their nodes, those that a later one replaced included.
    pub written_out: u64,
    /// Write-outs that brought them: fewer, as writes are merged.
    pub write_outs: u64,
    /// Write-outs repeated after an attempt that may have run.
    pub repeats: u64,
    /// Writes found in the log at the start.
    pub replayed: u64,
    /// The log's own.
    pub log: LogCounts,
}

#[derive(Debug)]
enum Role {
    Write(Seq),
    Through(Seq),
    Barrier(Seq),
    Flush,
    Read(ExtentId),
}

/// When a run that may have run was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Earlier {
    /// In this life: to send it again is a repeat.
    ThisLife,
    /// In an earlier one, perhaps.
    EarlierLife,
}

#[derive(Debug)]
struct Try {
    run: Run,
    level: Urgency,
    /// An earlier try of it may have run.
    earlier: Option<Earlier>,
    /// Waits for the log to know that it starts.
    marking: bool,
}

/// The buffer.
#[derive(Debug)]
pub struct WriteBackBuffer {
    config: Config,
    log: Log,
    order: Order,
    out: WriteOut,
    tries: BTreeMap<WriteOutId, Try>,
    /// Runs that may have run and wait to go again, by the first write of each.
    unsure: BTreeMap<Seq, Earlier>,
    roles: BTreeMap<WriteHandle, Role>,
    /// The volume, or all, and up to where.
    flushes: BTreeMap<WriteHandle, (Option<u64>, Seq)>,
    /// Durable writes whose acknowledgement is being slowed, and all whose disk is waited for.
    acks: BTreeSet<(Micros, Seq)>,
    tickets: BTreeMap<Seq, (WriteHandle, Micros)>,
    /// Done, and the log does not know it for sure.
    unrecorded: BTreeMap<Seq, ExtentId>,
    /// Being copied to the log's end.
    relocating: BTreeSet<Seq>,
    next_seq: u64,
    next_try: u64,
    draining: bool,
    actions: Vec<Action>,
    status: Status,
}

impl WriteBackBuffer {
    /// A buffer that goes on with what was read back.
    pub fn new(config: Config, recovered: Recovered, now: Micros) -> Self {
        // Attempts of an earlier life may still run, also where nothing of it is in the log.
        let begins = now.after(config.key_cooldown);
        let mut buffer = WriteBackBuffer {
            log: recovered.log,
            order: Order::new(begins),
            out: WriteOut::new(config.repeats),
            tries: BTreeMap::new(),
            unsure: BTreeMap::new(),
            roles: BTreeMap::new(),
            flushes: BTreeMap::new(),
            acks: BTreeSet::new(),
            tickets: BTreeMap::new(),
            unrecorded: BTreeMap::new(),
            relocating: BTreeSet::new(),
            next_seq: recovered.last.0 + 1,
            next_try: 0,
            draining: false,
            actions: Vec::new(),
            status: Status::default(),
            config,
        };
        for (seq, live) in recovered.live {
            match live {
                LiveRecord::Write { taken, started, parked, write } => {
                    buffer.replay(seq, taken, started, parked, write, now)
                }
                LiveRecord::Barrier { volume } => {
                    if !buffer.order.add_barrier(seq, volume) {
                        buffer.log.forget(seq);
                    }
                }
            }
        }
        if buffer.status.replayed > 0 || recovered.torn > 0 {
            let (writes, bytes) = (buffer.status.replayed, buffer.order.bytes());
            info!(writes, bytes, torn = recovered.torn, "log read back: its writes go out again");
        }
        let places: BTreeSet<ExtentId> = buffer.order.writes().map(|(_, e)| e.write.extent_id).collect();
        for extent_id in places {
            if let Some(first) = buffer.order.freeze_started(extent_id) {
                buffer.unsure.insert(first, Earlier::EarlierLife);
            }
            buffer.consider(extent_id, now);
        }
        buffer
    }

    fn replay(
        &mut self,
        seq: Seq,
        taken_wall: WallClock,
        started: Option<WallClock>,
        parked: bool,
        write: Write,
        now: Micros,
    ) {
        self.status.replayed += 1;
        let age = self.wall(now).since(taken_wall).unwrap_or_default();
        let taken = Micros(now.0.saturating_sub(age.0));
        let mut stage = if parked { Stage::Parked } else { Stage::Ready };
        if self.buffering(write.class) == BufferingMode::Never && !parked {
            warn!(
                seq = seq.0,
                class = write.class,
                "a buffered write of a class that is buffered no more is parked"
            );
            stage = Stage::Parked;
        }
        self.order.add_write(seq, Entry { write, taken, taken_wall, started, stage });
    }

    fn wall(&self, now: Micros) -> WallClock {
        WallClock(self.config.calendar.0.saturating_add(now.0))
    }

    /// Whether a class may be buffered.
    pub fn buffering(&self, class: u16) -> BufferingMode {
        self.config.classes.get(usize::from(class)).copied().unwrap_or(BufferingMode::Never)
    }

    fn next_seq(&mut self) -> Seq {
        let seq = Seq(self.next_seq);
        self.next_seq += 1;
        seq
    }

    /// A write that names its shard and extent. It is buffered, goes through, or is refused.
    pub fn offer(&mut self, offer: WriteRequest, now: Micros) {
        let WriteRequest { handle, write } = offer;
        if self.buffering(write.class) != BufferingMode::Never && !self.draining {
            let blocked = !self.order.clear(write.extent_id);
            let space = Space {
                used: self.order.bytes(),
                most: self.config.rules.bytes,
                volume_used: self.order.volume_bytes(write.extent_id.volume),
                volume_most: self.config.rules.volume_bytes,
            };
            let healthy = !self.log.failing() && self.log.room();
            match admit(space, write.cost(), blocked, healthy, self.config.rules.slow) {
                Admission::WriteBackBuffer { slowed } => {
                    return self.take(handle, write, now.after(slowed), now);
                }
                Admission::Through => self.status.turned_through += 1,
                Admission::Refuse => {
                    self.status.turned_through += 1;
                    return self.refuse(handle);
                }
            }
        }
        self.pass(handle, write.extent_id.volume, Some(write.extent_id), now);
    }

    fn refuse(&mut self, handle: WriteHandle) {
        self.actions.push(Action::Refused { handle, wait: self.config.refusal_wait });
    }

    fn take(&mut self, handle: WriteHandle, write: Write, ack_at: Micros, now: Micros) {
        let seq = self.next_seq();
        let taken_wall = self.wall(now);
        let record = Record::Write { seq, taken: taken_wall, started: None, parked: false, write };
        self.log.append(&record, now);
        let Record::Write { write, .. } = record else { unreachable!("made above") };
        self.order
            .add_write(seq, Entry { write, taken: now, taken_wall, started: None, stage: Stage::Logging });
        self.tickets.insert(seq, (handle, ack_at));
        self.roles.insert(handle, Role::Write(seq));
    }

    /// A request that is not buffered but that barriers of its volume concern; `extent_id`: where it writes.
    pub fn pass(&mut self, handle: WriteHandle, volume: u64, extent_id: Option<ExtentId>, now: Micros) {
        if self.order.waiting() >= self.config.rules.waiting {
            return self.refuse(handle);
        }
        let seq = self.next_seq();
        self.roles.insert(handle, Role::Through(seq));
        if self.order.add_through(seq, handle, volume, extent_id, now) {
            self.let_through(seq);
        } else if let Some(extent_id) = extent_id {
            self.consider(extent_id, now);
        }
    }

    /// A barrier on a volume.
    pub fn barrier(&mut self, handle: WriteHandle, volume: u64, now: Micros) {
        if self.order.waiting() >= self.config.rules.waiting {
            return self.refuse(handle);
        }
        let seq = self.next_seq();
        if self.order.add_barrier(seq, volume) {
            self.log.append(&Record::Barrier { seq, volume }, now);
            self.tickets.insert(seq, (handle, now));
            self.roles.insert(handle, Role::Barrier(seq));
        } else {
            self.actions.push(Action::Barred(handle));
        }
    }

    /// A flush of a volume, or of all.
    pub fn flush(&mut self, handle: WriteHandle, volume: Option<u64>) {
        let upto = Seq(self.next_seq - 1);
        self.roles.insert(handle, Role::Flush);
        self.flushes.insert(handle, (volume, upto));
    }

    /// Everything is to go out, and nothing is buffered any more.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Nothing is left but what waits for an operator, and the log knows.
    pub fn drained(&self) -> bool {
        self.order.buffered() == self.order.parked() && self.unrecorded.is_empty() && self.tries.is_empty()
    }

    /// A read of a place.
    pub fn read(&mut self, handle: WriteHandle, extent_id: ExtentId) -> BufferedRead {
        match self.order.read(handle, extent_id) {
            Found::Nothing => BufferedRead::Plain,
            Found::Whole { shard, data } => BufferedRead::Whole { shard, data },
            Found::Part => {
                self.roles.insert(handle, Role::Read(extent_id));
                BufferedRead::Merge
            }
        }
    }

    /// The node's answer to a read that was told to be merged. The read is over.
    pub fn merge(&mut self, handle: WriteHandle, data: &mut Vec<u8>, now: Micros) {
        if let Some(Role::Read(extent_id)) = self.roles.get(&handle) {
            self.order.lay_over(*extent_id, data);
        }
        self.gone(handle, now);
    }

    /// A request that went through is over. `unsure`: an attempt of it may still run.
    pub fn through_ended(&mut self, handle: WriteHandle, unsure: bool, now: Micros) {
        let Some(Role::Through(seq)) = self.roles.remove(&handle) else { return };
        let rest = if unsure { now.after(self.config.key_cooldown) } else { Micros(0) };
        let freed = self.order.finish(seq, rest);
        self.freed(freed, now);
    }

    /// Nobody waits for a request any more, and none of it was sent. Of one that was sent, tell
    /// [`WriteBackBuffer::through_ended`].
    pub fn gone(&mut self, handle: WriteHandle, now: Micros) {
        match self.roles.get(&handle) {
            Some(Role::Through(_)) => self.through_ended(handle, false, now),
            Some(Role::Read(extent_id)) => {
                let extent_id = *extent_id;
                self.roles.remove(&handle);
                self.order.read_ended(handle, extent_id);
                self.consider(extent_id, now);
            }
            Some(Role::Write(seq) | Role::Barrier(seq)) => {
                if let Some((_, at)) = self.tickets.remove(seq) {
                    self.acks.remove(&(at, *seq));
                }
                self.roles.remove(&handle);
            }
            Some(Role::Flush) => {
                self.roles.remove(&handle);
                self.flushes.remove(&handle);
            }
            None => {}
        }
    }

    /// A request's time is up: what to answer. It is gone from here then.
    pub fn expire(&mut self, handle: WriteHandle, now: Micros) -> Expired {
        let expired = match self.roles.get(&handle) {
            None | Some(Role::Read(_)) => return Expired::Elsewhere,
            Some(Role::Through(seq)) => match self.order.item(*seq) {
                Some(Item::Through { out: true, .. }) => return Expired::Elsewhere,
                _ => Expired::Refuse,
            },
            Some(Role::Write(seq)) => match self.order.entry(*seq).map(|e| e.stage) {
                Some(Stage::Logging) => Expired::Fail,
                // Durable, or on its node already.
                _ => {
                    self.status.acknowledged += 1;
                    Expired::Buffered
                }
            },
            Some(Role::Barrier(_) | Role::Flush) => Expired::Fail,
        };
        self.gone(handle, now);
        expired
    }

    /// How the last batch went.
    pub fn stored(&mut self, well: bool, now: Micros) {
        if !well {
            warn!("the log could not be written: a new segment is begun");
        }
        for (seq, kind) in self.log.stored(well, now) {
            match kind {
                Kind::Placed => self.placed(seq, now),
                Kind::Started => self.started(seq, now),
                Kind::Done => {
                    if let Some(extent_id) = self.unrecorded.remove(&seq) {
                        self.order.recorded(seq, extent_id);
                        self.consider(extent_id, now);
                    }
                }
                Kind::Parked => {}
            }
        }
    }

    fn placed(&mut self, seq: Seq, now: Micros) {
        if self.relocating.remove(&seq) {
            return;
        }
        let waiter = self.tickets.get(&seq).copied();
        match self.order.entry_mut(seq) {
            Some(entry) => {
                entry.stage = Stage::Ready;
                let extent_id = entry.write.extent_id;
                if let Some((_, ack_at)) = waiter {
                    self.acks.insert((ack_at, seq));
                }
                self.consider(extent_id, now);
            }
            // A barrier, or one that has been passed by now.
            None => {
                if let Some((handle, _)) = waiter {
                    self.tickets.remove(&seq);
                    self.roles.remove(&handle);
                    self.actions.push(Action::Barred(handle));
                }
            }
        }
    }

    fn started(&mut self, seq: Seq, now: Micros) {
        let found =
            self.tries.iter().find(|(_, t)| t.marking && t.run.seqs.last() == Some(&seq)).map(|(id, _)| *id);
        if let Some(id) = found {
            self.send(id, now);
        }
    }

    /// Looks at a place's first in line. A place of which nothing is left is dropped, once it has rested.
    fn consider(&mut self, extent_id: ExtentId, now: Micros) {
        match self.order.next(extent_id, now) {
            Next::Nothing => {
                if self.order.waits_for_log(extent_id) {
                    self.log.hurry();
                }
                if let Some(until) = self.order.tidy(extent_id, now) {
                    self.out.rest(extent_id, until);
                }
            }
            Next::Rest(until) => self.out.rest(extent_id, until),
            Next::Write(seq) => {
                if let Some(shard) = self.order.entry(seq).map(|e| e.write.shard) {
                    self.out.line_up(shard, seq, extent_id);
                }
            }
            Next::Through(seq) => self.let_through(seq),
        }
    }

    fn let_through(&mut self, seq: Seq) {
        self.actions.extend(self.order.let_through(seq).map(Action::Through));
    }

    fn freed(&mut self, freed: Freed, now: Micros) {
        for seq in freed.barriers {
            self.log.append(&Record::Done { seq }, now);
            self.log.forget(seq);
            if let Some((handle, _)) = self.tickets.remove(&seq) {
                // All before it is over: that it is durable matters to nobody now.
                self.roles.remove(&handle);
                self.actions.push(Action::Barred(handle));
            }
        }
        freed.throughs.into_iter().for_each(|seq| self.let_through(seq));
        freed.places.into_iter().for_each(|extent_id| self.consider(extent_id, now));
    }

    /// Somebody waits for what is buffered: a flush, a request behind a barrier, or the end.
    fn waited_for(&self) -> bool {
        let flushed = !self.config.rules.flush_here && !self.flushes.is_empty();
        self.draining || self.order.waiting() > 0 || flushed
    }

    fn pick(&mut self, now: Micros) {
        let waited_for = self.waited_for();
        loop {
            let (order, linger) = (&self.order, self.config.rules.linger);
            let due = |seq: Seq| waited_for || order.entry(seq).is_none_or(|e| now.since(e.taken) >= linger);
            let level = |seq: Seq| level(&self.config, order, seq, waited_for, now);
            let Some((shard, seq, extent_id, level)) = self.out.pick(now, level, due) else { return };
            if self.order.next(extent_id, now) != Next::Write(seq) || !self.start(seq, extent_id, level, now)
            {
                self.out.ended(shard, Ended::Withdrawn, now);
            }
        }
    }

    /// Begins a write-out. False: not now.
    fn start(&mut self, seq: Seq, extent_id: ExtentId, level: Urgency, now: Micros) -> bool {
        let Some(entry) = self.order.entry(seq) else { return false };
        let (class, started) = (entry.write.class, entry.started);
        let keyed = matches!(self.buffering(class), BufferingMode::Keyed(_));
        if let Some(started) = started
            && self.window_left(class, started, now).is_none()
        {
            self.park(seq, now);
            return false;
        }
        let earlier = self.unsure.get(&seq).copied();
        let repeat = earlier == Some(Earlier::ThisLife);
        if !self.out.count_try(repeat, now) {
            self.out.rest(extent_id, now.after(Micros(100_000)));
            return false;
        }
        let Some(run) = self.order.take_run(extent_id, keyed) else { return false };
        self.unsure.remove(&seq);
        self.next_try += 1;
        self.status.repeats += u64::from(repeat);
        let id = WriteOutId(self.next_try);
        let last = run.seqs.last().copied().unwrap_or(seq);
        let at = self.wall(now);
        let marking = self.order.entry_mut(last).is_some_and(|e| e.started.is_none());
        if marking {
            // Durable before the first attempt leaves: a later life must know what may be out, as what, and
            // from when its key counts. It sends that first, as it was: nodes drop one of the two.
            if let Some(entry) = self.order.entry_mut(last) {
                entry.started = Some(at);
            }
            self.log.append(&Record::Started { seq: last, at }, now);
        }
        self.tries.insert(id, Try { run, level, earlier, marking });
        if !marking {
            self.send(id, now);
        }
        true
    }

    /// What is left of a key's window; none: it is over, or the calendar can't tell.
    fn window_left(&self, class: u16, started: WallClock, now: Micros) -> Option<Micros> {
        let BufferingMode::Keyed(window) = self.buffering(class) else { return Some(Micros(u64::MAX)) };
        let gone = self.wall(now).since(started)?;
        (gone < window).then(|| window.since(gone))
    }

    fn send(&mut self, id: WriteOutId, now: Micros) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        t.marking = false;
        let (seq, class, level, write) = (t.run.seqs[0], t.run.write.class, t.level, t.run.write.clone());
        let started = self.order.entry(seq).and_then(|e| e.started);
        let left = started.filter(|_| matches!(self.buffering(class), BufferingMode::Keyed(_)));
        let until = left.map(|s| now.after(self.window_left(class, s, now).unwrap_or_default()));
        self.actions.push(Action::Send { id, write, level, until });
    }

    /// It may have run, and its key counts no more: an operator's list has it from now on.
    fn park(&mut self, seq: Seq, now: Micros) {
        warn!(
            seq = seq.0,
            "a buffered write may have run and must not be repeated: it waits for an operator"
        );
        self.log.append(&Record::Parked { seq }, now);
        self.order.park(seq);
        self.unsure.remove(&seq);
    }

    /// How a try ended.
    pub fn try_ended(&mut self, id: WriteOutId, end: WriteOutResult, now: Micros) {
        let Some(t) = self.tries.remove(&id) else { return };
        let (shard, extent_id) = (t.run.write.shard, t.run.write.extent_id);
        let first = t.run.seqs[0];
        match end {
            WriteOutResult::Confirmed { lingers } => {
                self.out.ended(shard, Ended::Well, now);
                self.status.write_outs += 1;
                let rest = if lingers || t.earlier.is_some() {
                    now.after(self.config.key_cooldown)
                } else {
                    Micros(0)
                };
                // No barrier lies inside a run: nothing is freed before its last.
                let mut freed = Freed::default();
                for seq in &t.run.seqs {
                    self.log.append(&Record::Done { seq: *seq }, now);
                    self.log.forget(*seq);
                    self.relocating.remove(seq);
                    self.unrecorded.insert(*seq, extent_id);
                    self.status.written_out += 1;
                    freed = self.order.finish(*seq, rest);
                }
                self.freed(freed, now);
            }
            WriteOutResult::NotRun { .. } | WriteOutResult::Withdrawn => {
                let how = if let WriteOutResult::NotRun { wait } = end {
                    Ended::Badly(wait)
                } else {
                    Ended::Withdrawn
                };
                self.out.ended(shard, how, now);
                // What may have run before may still have.
                if let Some(earlier) = t.earlier {
                    self.unsure.insert(first, earlier);
                }
                self.order.give_back(t.run, t.earlier.is_some(), now);
                self.consider(extent_id, now);
            }
            WriteOutResult::Unsure => {
                self.out.ended(shard, Ended::Badly(Micros(0)), now);
                self.unsure.insert(first, Earlier::ThisLife);
                self.order.give_back(t.run, true, now.after(self.config.key_cooldown));
                self.consider(extent_id, now);
            }
        }
    }

    /// Everything of this moment has been told. Returns when to call again at the latest.
    pub fn settle(&mut self, now: Micros) -> Option<Micros> {
        for extent_id in self.out.rested(now) {
            self.consider(extent_id, now);
        }
        while let Some((at, seq)) = self.acks.first().copied().filter(|(at, _)| *at <= now) {
            self.acks.remove(&(at, seq));
            if let Some((handle, _)) = self.tickets.remove(&seq) {
                self.roles.remove(&handle);
                self.status.acknowledged += 1;
                self.actions.push(Action::Buffered(handle));
            }
        }
        self.complete_flushes();
        self.pick(now);
        self.rise(now);
        self.relocate(now);
        if let Some(batch) = self.log.batch(self.record_linger(), now) {
            self.actions.push(Action::Store(batch));
        }
        let due = |seq| self.order.entry(seq).map(|e| e.taken.after(self.config.rules.linger));
        let linger = self.out.firsts().filter_map(due).filter(|at| *at > now).min();
        let ack = self.acks.first().map(|(at, _)| *at);
        let log = self.log.wake(self.record_linger());
        // Urgency rises with age alone.
        let age = (!self.tries.is_empty()).then(|| now.after(Micros(self.config.rules.age.0 / 8 + 1)));
        [linger, ack, log, age, self.out.wake(now)].into_iter().flatten().min()
    }

    fn record_linger(&self) -> Micros {
        if self.draining { Micros(0) } else { self.config.rules.record_linger }
    }

    fn complete_flushes(&mut self) {
        let here = self.config.rules.flush_here;
        let complete = |(_, (volume, upto)): &(&WriteHandle, &(Option<u64>, Seq))| match here {
            true => self.order.durable(*volume, *upto),
            false => self.order.over(*volume, *upto),
        };
        let done: Vec<WriteHandle> = self.flushes.iter().filter(complete).map(|(t, _)| *t).collect();
        for handle in done {
            self.flushes.remove(&handle);
            self.roles.remove(&handle);
            self.actions.push(Action::Flushed(handle));
        }
    }

    /// Write-outs that wait with the module at too low a worth are taken back; they go again at once.
    fn rise(&mut self, now: Micros) {
        let waited_for = self.waited_for();
        let risen: Vec<(WriteOutId, Urgency)> = self
            .tries
            .iter()
            .filter(|(_, t)| !t.marking)
            .map(|(id, t)| {
                (*id, level(&self.config, &self.order, t.run.seqs[0], waited_for, now).max(t.level))
            })
            .filter(|(id, level)| *level > self.tries[id].level)
            .collect();
        for (id, level) in risen {
            if let Some(t) = self.tries.get_mut(&id) {
                t.level = level;
                self.actions.push(Action::Withdraw(id));
            }
        }
    }

    /// Old segments that little lives in are emptied by writing that anew.
    fn relocate(&mut self, now: Micros) {
        if !self.log.room() || self.log.failing() || !self.relocating.is_empty() {
            return;
        }
        for seq in self.log.stale(self.order.bytes()) {
            let record = match self.order.item(seq) {
                Some(Item::Write(e)) => Record::Write {
                    seq,
                    taken: e.taken_wall,
                    started: e.started,
                    parked: e.stage == Stage::Parked,
                    write: e.write.clone(),
                },
                Some(Item::Barrier { volume }) => Record::Barrier { seq, volume: *volume },
                Some(Item::Through { .. }) | None => continue,
            };
            self.relocating.insert(seq);
            self.log.append(&record, now);
            if !self.log.room() {
                break;
            }
        }
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Figures for operators.
    pub fn status(&self, now: Micros) -> Status {
        Status {
            writes: self.order.buffered(),
            bytes: self.order.bytes(),
            bytes_most: self.config.rules.bytes,
            log_bytes: self.log.bytes(),
            oldest: self.order.oldest().map_or(Micros(0), |t| now.since(t)),
            parked: self.order.parked(),
            waiting: self.order.waiting(),
            failing: self.log.failing(),
            out: self.tries.len(),
            log: self.log.counts(),
            ..self.status
        }
    }
}

/// How urgent a write is now.
fn level(config: &Config, order: &Order, seq: Seq, waited_for: bool, now: Micros) -> Urgency {
    let fill = order.bytes() as f64 / config.rules.bytes.max(1) as f64;
    let age = order.entry(seq).map_or(Micros(0), |e| now.since(e.taken));
    let part = fill.max(age.0 as f64 / config.rules.age.0.max(1) as f64);
    Urgency::of(part, waited_for)
}
