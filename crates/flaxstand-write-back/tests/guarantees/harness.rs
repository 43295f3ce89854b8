//! Test harness: the real buffer and log with a faulty disk and a faulty node, and clients that record the
//! responses.

use crate::model::{Data, Guarantees, Response, cells};
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Batch, Storage as _, StorageOp, perform};
use flaxstand_write_back::merge::apply_write;
use flaxstand_write_back::offline;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::retry_budget::WriteOutRetryBudget;
use flaxstand_write_back::*;
use std::collections::BTreeMap;

pub const IDEMPOTENT: u16 = 0;
pub const KEYED: u16 = 1;
pub const PASS_THROUGH: u16 = 2;
pub const KEY_COOLDOWN: Micros = Micros(50_000);
pub const KEY_WINDOW: Micros = Micros(400_000);
const DUPLICATE_MEMORY: Micros = Micros(100_000);

/// Bug injected into the system under test, to check that the guarantees detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    #[default]
    None,
    /// Data is acknowledged without having been synced.
    SyncOmitted,
    /// A failed batch is reported as stored.
    FailedSyncIgnored,
    /// A barrier is acknowledged but not enforced.
    BarrierIgnored,
    /// Recovery ignores the last batch.
    LastBatchSkipped,
    /// An extent has no cooldown after an attempt that may still run.
    NoCooldown,
    /// A keyed write is retried after its idempotency window.
    KeyWindowIgnored,
}

/// Outcome of an attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node executes and confirms it.
    Confirmed,
    /// The node rejects it without executing it.
    Rejected,
    /// The node executes it, but the response is lost.
    ResponseLost,
    /// The request is lost, and the sender gets no response.
    RequestLost,
    /// The node executes it after the sender has abandoned it.
    ExecutedLate,
}

pub struct Node {
    pub data: Data,
    /// Keyed operations: time of the first attempt, and whether an attempt was executed.
    keys: BTreeMap<u64, (Micros, bool)>,
    /// Recently executed idempotent operations, whose duplicates are dropped for [`DUPLICATE_MEMORY`].
    ran: BTreeMap<u64, Micros>,
    /// Abandoned attempts that will still be executed, with the latest time of execution.
    late: Vec<(Micros, Write)>,
}

impl Node {
    fn attempted(&mut self, write: &Write, now: Micros) {
        if write.class == KEYED {
            let (first, _) = self.keys.entry(write.operation).or_insert((now, false));
            let elapsed = now.since(*first);
            assert!(
                elapsed <= KEY_WINDOW,
                "keyed write {} is retried {elapsed:?} after its first attempt",
                write.operation
            );
        }
    }

    fn run(&mut self, write: &Write, guarantees: &Guarantees, now: Micros) {
        if write.class == KEYED {
            let (_, ran) = self.keys.get_mut(&write.operation).expect("an attempt was sent");
            if std::mem::replace(ran, true) {
                return;
            }
        } else {
            self.ran.retain(|_, at| now.since(*at) <= DUPLICATE_MEMORY);
            if self.ran.insert(write.operation, now).is_some() {
                return;
            }
        }
        let last = cells(&write.payload).into_iter().max().unwrap_or(0);
        guarantees.check_barriers(&self.data, last, write.extent_id.volume);
        let held = self.data.entry(write.extent_id).or_default();
        let mut bytes: Vec<u8> = held.iter().flat_map(|c| c.to_le_bytes()).collect();
        apply_write(&mut bytes, write);
        *held = cells(&bytes);
    }
}

#[derive(Debug)]
enum PendingRequest {
    Write(u32),
    Barrier { volume: u64, last: u32 },
    Flush { volume: Option<u64>, last: u32 },
}

pub struct Harness {
    pub buffer: WriteBackBuffer,
    pub disk: FaultyDisk,
    pub node: Node,
    pub guarantees: Guarantees,
    pub now: Micros,
    bug: InjectedBug,
    config: Config,
    pending_batch: Option<Batch>,
    write_outs: BTreeMap<WriteOutId, Write>,
    pass_throughs: BTreeMap<WriteHandle, Write>,
    pending: BTreeMap<WriteHandle, PendingRequest>,
    submitted: BTreeMap<WriteHandle, Write>,
    last_handle: u64,
    pub last_number: u32,
    pub crashes: u64,
    pub response_counts: BTreeMap<&'static str, u64>,
}

pub fn config(bug: InjectedBug) -> Config {
    let limits = BufferLimits {
        max_bytes: 6_000,
        max_volume_bytes: 4_000,
        target_age: Micros(500_000),
        merge_delay: Micros(5_000),
        record_delay: Micros(20_000),
        max_ack_delay: Micros(20_000),
        max_waiting: 20,
        flush_when_durable: false,
    };
    Config {
        limits,
        retry_after: Micros(1000),
        key_cooldown: if bug == InjectedBug::NoCooldown { Micros(0) } else { KEY_COOLDOWN },
        classes: vec![
            BufferingMode::Idempotent,
            if bug == InjectedBug::KeyWindowIgnored {
                BufferingMode::Idempotent
            } else {
                BufferingMode::IdempotencyKey(KEY_WINDOW)
            },
            BufferingMode::Never,
        ],
        retry_budget: Some(WriteOutRetryBudget { floor: 5.0, ratio: 0.5, span: Micros(1_000_000) }),
        wall_clock_origin: WallClock(1_000_000_000),
    }
}

impl Harness {
    pub fn new(seed: u64, bug: InjectedBug) -> Self {
        let mut disk = FaultyDisk::new(seed);
        let (config, now) = (config(bug), Micros(1_000_000));
        let recovered = recover(&mut disk).expect("an empty disk");
        let (data, keys, ran) = Default::default();
        Harness {
            buffer: WriteBackBuffer::new(config.clone(), recovered, now),
            disk,
            node: Node { data, keys, ran, late: Vec::new() },
            guarantees: Guarantees::default(),
            now,
            bug,
            config,
            pending_batch: None,
            write_outs: BTreeMap::new(),
            pass_throughs: BTreeMap::new(),
            pending: BTreeMap::new(),
            submitted: BTreeMap::new(),
            last_handle: 0,
            last_number: 0,
            crashes: 0,
            response_counts: BTreeMap::new(),
        }
    }

    fn next_handle(&mut self) -> WriteHandle {
        self.last_handle += 1;
        WriteHandle(self.last_handle)
    }

    fn count(&mut self, response: &'static str) {
        *self.response_counts.entry(response).or_default() += 1;
    }

    /// Submits a write of `len` cells, from cell `at` on or replacing the whole extent.
    pub fn write(&mut self, extent_id: ExtentId, class: u16, at: Option<u32>, len: usize) {
        self.last_number += 1;
        let number = self.last_number;
        let payload: Vec<u8> = (0..len).flat_map(|_| number.to_le_bytes()).collect();
        let write = Write {
            extent_id,
            class,
            plan: 0,
            volume_initiators: 1,
            shard: (extent_id.extent % 2) as u32,
            units: 1,
            operation: number.into(),
            at: at.map(|cell| cell * 4),
            payload,
        };
        let handle = self.next_handle();
        self.guarantees.record_submission(number, &write);
        self.pending.insert(handle, PendingRequest::Write(number));
        self.submitted.insert(handle, write.clone());
        self.buffer.submit_write(WriteRequest { handle, write }, self.now);
        self.settle();
    }

    pub fn barrier(&mut self, volume: u64) {
        let handle = self.next_handle();
        self.pending.insert(handle, PendingRequest::Barrier { volume, last: self.last_number });
        if self.bug == InjectedBug::BarrierIgnored {
            self.guarantees.record_barrier(volume, self.last_number);
            return;
        }
        self.buffer.submit_barrier(handle, volume, self.now);
        self.settle();
    }

    pub fn flush(&mut self, volume: Option<u64>) {
        let handle = self.next_handle();
        self.pending.insert(handle, PendingRequest::Flush { volume, last: self.last_number });
        self.buffer.submit_flush(handle, volume);
        self.settle();
    }

    /// Reads an extent and checks the result, which comes from the buffer, the node or both.
    pub fn read(&mut self, extent_id: ExtentId) {
        let handle = self.next_handle();
        let data = match self.buffer.read(handle, extent_id) {
            BufferedRead::Miss => self.node.data.get(&extent_id).cloned().unwrap_or_default(),
            BufferedRead::Complete { data, .. } => cells(&data),
            BufferedRead::Partial => {
                let held = self.node.data.get(&extent_id).into_iter().flatten();
                let mut bytes: Vec<u8> = held.flat_map(|c| c.to_le_bytes()).collect();
                self.buffer.merge_read(handle, &mut bytes, self.now);
                cells(&bytes)
            }
        };
        self.guarantees.check_extent(extent_id, &data, u32::MAX, "a read");
        self.settle();
    }

    pub fn settle(&mut self) {
        self.buffer.settle(self.now);
        let mut actions = self.buffer.take_actions();
        while !actions.is_empty() {
            actions.into_iter().for_each(|action| self.execute(action));
            self.buffer.settle(self.now);
            actions = self.buffer.take_actions();
        }
    }

    fn respond(&mut self, handle: WriteHandle, response: Response) {
        match self.pending.remove(&handle) {
            Some(PendingRequest::Write(number)) => self.guarantees.record_response(number, response),
            other => panic!("{response:?} for {other:?}"),
        }
        self.submitted.remove(&handle);
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Store(batch) => assert!(
                self.pending_batch.replace(batch).is_none(),
                "a second batch was issued while one was in flight"
            ),
            Action::Buffered(handle) => {
                assert_ne!(
                    self.submitted[&handle].class, PASS_THROUGH,
                    "a write of an unbuffered class was buffered"
                );
                self.count("buffered");
                self.respond(handle, Response::Acknowledged);
            }
            Action::Rejected { handle, .. } => {
                self.count("rejected");
                match self.pending.get(&handle) {
                    Some(PendingRequest::Write(_)) => self.respond(handle, Response::Rejected),
                    _ => drop(self.pending.remove(&handle)),
                }
            }
            Action::PassThrough(handle) => {
                let write = self.submitted.get(&handle).expect("the request was submitted").clone();
                self.node.attempted(&write, self.now);
                self.pass_throughs.insert(handle, write);
            }
            Action::BarrierSet(handle) => {
                self.count("barrier set");
                match self.pending.remove(&handle) {
                    Some(PendingRequest::Barrier { volume, last }) => {
                        self.guarantees.record_barrier(volume, last)
                    }
                    other => panic!("barrier response for {other:?}"),
                }
            }
            Action::Flushed(handle) => {
                self.count("flushed");
                match self.pending.remove(&handle) {
                    Some(PendingRequest::Flush { volume, last }) => {
                        self.guarantees.check_on_node(&self.node.data, volume, last, "a flush");
                    }
                    other => panic!("flush response for {other:?}"),
                }
            }
            Action::SendWriteOut { id, write, .. } => {
                self.node.attempted(&write, self.now);
                self.write_outs.insert(id, write);
            }
            Action::CancelWriteOut(id) => {
                // This harness sends write-outs immediately, so a cancellation comes too late.
                assert!(self.write_outs.contains_key(&id));
            }
        }
    }

    /// Executes the pending batch on the disk and reports the result.
    pub fn complete_batch(&mut self) {
        let Some(batch) = self.pending_batch.take() else { return };
        let is_stored = match self.bug {
            InjectedBug::SyncOmitted => {
                let sync = |op: &StorageOp| matches!(op, StorageOp::Sync(_));
                let ops = batch.ops.into_iter().filter(|op| !sync(op)).collect();
                perform(&mut self.disk, &Batch { ops }).is_ok()
            }
            InjectedBug::FailedSyncIgnored => {
                perform(&mut self.disk, &batch).is_ok() || !self.disk.has_crashed()
            }
            _ => perform(&mut self.disk, &batch).is_ok(),
        };
        if self.disk.has_crashed() {
            return self.crash(true);
        }
        self.buffer.batch_stored(is_stored, self.now);
        self.settle();
    }

    /// Ends one of the attempts in flight with an outcome.
    pub fn end_attempt(&mut self, which: usize, outcome: AttemptOutcome) {
        let out = self.write_outs.len() + self.pass_throughs.len();
        if out == 0 {
            return;
        }
        let which = which % out;
        let write = match self.write_outs.values().nth(which) {
            Some(write) => write.clone(),
            None => self
                .pass_throughs
                .values()
                .nth(which - self.write_outs.len())
                .expect("index is in range")
                .clone(),
        };
        match outcome {
            AttemptOutcome::Confirmed | AttemptOutcome::ResponseLost => {
                self.node.run(&write, &self.guarantees, self.now)
            }
            AttemptOutcome::ExecutedLate => {
                let lifetime = if which < self.write_outs.len() { DUPLICATE_MEMORY } else { KEY_COOLDOWN };
                self.node.late.push((self.now.after(lifetime), write.clone()));
            }
            AttemptOutcome::Rejected | AttemptOutcome::RequestLost => {}
        }
        match self.write_outs.iter().nth(which).map(|(id, _)| *id) {
            Some(id) => {
                self.write_outs.remove(&id);
                let end = match outcome {
                    AttemptOutcome::Confirmed => WriteOutResult::Confirmed { may_still_run: false },
                    AttemptOutcome::Rejected => WriteOutResult::NotExecuted { retry_after: Micros(1000) },
                    _ => WriteOutResult::Unknown,
                };
                self.buffer.write_out_ended(id, end, self.now);
            }
            None => {
                let at = which - self.write_outs.len();
                let handle = *self.pass_throughs.keys().nth(at).expect("index is in range");
                self.pass_throughs.remove(&handle);
                match outcome {
                    AttemptOutcome::Confirmed => self.respond(handle, Response::Acknowledged),
                    AttemptOutcome::Rejected => self.respond(handle, Response::Rejected),
                    // The client gets "failed", which says nothing about the execution.
                    _ => drop((self.pending.remove(&handle), self.submitted.remove(&handle))),
                }
                self.buffer.pass_through_ended(
                    handle,
                    !matches!(outcome, AttemptOutcome::Confirmed | AttemptOutcome::Rejected),
                    self.now,
                );
            }
        }
        self.settle();
    }

    /// Executes one of the abandoned attempts.
    pub fn run_late_attempt(&mut self, which: usize) {
        if !self.node.late.is_empty() {
            let (_, write) = self.node.late.swap_remove(which % self.node.late.len());
            self.node.run(&write, &self.guarantees, self.now);
        }
    }

    pub fn advance_time(&mut self, time: Micros) {
        self.now = self.now.after(time);
        let due: Vec<Write> =
            self.node.late.iter().filter(|(by, _)| *by <= self.now).map(|(_, w)| w.clone()).collect();
        self.node.late.retain(|(by, _)| *by > self.now);
        due.iter().for_each(|write| self.node.run(write, &self.guarantees, self.now));
        self.settle();
    }

    /// Lets the deadline of the oldest pending request pass.
    pub fn expire(&mut self) {
        let Some(handle) = self.pending.keys().next().copied() else { return };
        match self.buffer.expire(handle, self.now) {
            Expired::NotPending => {}
            Expired::Buffered => self.respond(handle, Response::Acknowledged),
            Expired::Reject => {
                self.count("rejected at deadline");
                self.respond(handle, Response::Rejected);
            }
            Expired::Fail => {
                self.count("failed");
                self.pending.remove(&handle);
                self.submitted.remove(&handle);
            }
        }
        self.settle();
    }

    /// Crashes the process or the machine, and restarts it.
    pub fn crash(&mut self, power_lost: bool) {
        self.crashes += 1;
        self.pending_batch = None;
        // Attempts in flight may be executed later: a write-out for as long as nodes detect duplicates, a
        // pass-through for as long as the cooldown of an extent.
        let write_outs =
            std::mem::take(&mut self.write_outs).into_values().map(|write| (DUPLICATE_MEMORY, write));
        let pass_throughs =
            std::mem::take(&mut self.pass_throughs).into_values().map(|write| (KEY_COOLDOWN, write));
        let now = self.now;
        self.node
            .late
            .extend(write_outs.chain(pass_throughs).map(|(lifetime, write)| (now.after(lifetime), write)));
        (self.pending, self.submitted) = Default::default();
        match power_lost {
            true => self.disk.lose_power(),
            false => self.disk.crash_process(),
        }
        if self.bug == InjectedBug::LastBatchSkipped {
            self.remove_last_batch();
        }
        let recovered = recover(&mut self.disk).expect("the log is recoverable after a crash");
        self.buffer = WriteBackBuffer::new(self.config.clone(), recovered, self.now);
        self.settle();
    }

    fn remove_last_batch(&mut self) {
        use flaxstand_write_back::record::{HEADER_BYTES, next_batch};
        let Some(last) = self.disk.segments().expect("in-memory disk").last().copied() else { return };
        let bytes = self.disk.read(last).expect("the segment exists");
        let (mut at, mut ends) = (HEADER_BYTES, Vec::new());
        while let Some(found) = next_batch(&bytes, at) {
            ends.push(found);
            at = found + 1;
        }
        if let Some(end) = ends.last() {
            self.disk
                .create(last)
                .and_then(|()| self.disk.append(last, &bytes[..*end]))
                .expect("in-memory disk");
            self.disk.sync(last).and_then(|()| self.disk.sync_folder()).expect("in-memory disk");
        }
    }

    fn parked(&self) -> bool {
        self.buffer.status(self.now).parked > 0
    }

    /// Simulates an operator: stops the process, checks the node and decides on each parked write.
    fn resolve_parked(&mut self) {
        self.crash(false);
        let live = recover(&mut self.disk).expect("the log is valid").live;
        for (seq, live) in live {
            let LiveRecord::Write(LiveWrite { parked: true, write, .. }) = live else { continue };
            self.count("parked");
            let ran = self.node.keys.get(&write.operation).is_some_and(|(_, ran)| *ran);
            let decision = if ran { ParkedDecision::Done } else { ParkedDecision::Resend };
            if !ran {
                self.node.keys.remove(&write.operation);
            }
            assert!(offline::decide(&mut self.disk, seq, decision).expect("the log is valid"));
        }
        self.crash(false);
        self.buffer.drain();
    }

    /// Clears all faults, drains the buffer and checks the data on the node.
    pub fn drain_and_check(&mut self) {
        self.disk.set(Faults::default());
        self.buffer.drain();
        for round in 0..3000 {
            self.complete_batch();
            self.end_attempt(0, AttemptOutcome::Confirmed);
            self.advance_time(Micros(5_000));
            if self.buffer.is_drained()
                && self.pending.is_empty()
                && self.pending_batch.is_none()
                && !self.parked()
            {
                break;
            }
            if round % 100 == 99 && self.parked() {
                self.resolve_parked();
            }
        }
        assert!(self.buffer.is_drained(), "the buffer does not drain: {:?}", self.buffer.status(self.now));
        self.guarantees.check_all(&self.node.data);
        self.crash(true);
        assert_eq!(self.buffer.status(self.now).writes, 0, "a drained log still holds live writes");
    }
}
