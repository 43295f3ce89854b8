//! The real buffer and log between a disk and a node that do their worst, and clients that write down what
//! they are told.

use crate::model::{Data, Promises, Told, cells};
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Batch, Storage as _, StorageOp, perform};
use flaxstand_write_back::image::lay;
use flaxstand_write_back::offline;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::retry_budget::WriteOutRetryBudget;
use flaxstand_write_back::*;
use std::collections::BTreeMap;

pub const REPEATABLE: u16 = 0;
pub const KEYED: u16 = 1;
pub const THROUGH: u16 = 2;
pub const KEY_REST: Micros = Micros(50_000);
pub const WINDOW: Micros = Micros(400_000);
const REMEMBERED: Micros = Micros(100_000);

/// A fault of the buffer itself, planted to see it caught.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    #[default]
    None,
    /// Data is acknowledged without having been synced.
    SyncLeftOut,
    /// A failed sync is taken for a good one.
    FailureIgnored,
    /// A barrier is acknowledged and forgotten.
    BarrierIgnored,
    /// Recovery does not read the last batch.
    TailSkipped,
    /// A place does not rest after an attempt that may still run.
    NoRest,
    /// The repeat of a keyed write pays no heed to its window.
    WindowIgnored,
}

/// What a node does with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Runs it and says so.
    Confirmed,
    /// Turns it away unseen.
    Refused,
    /// Runs it, and the answer is lost.
    AnswerLost,
    /// Never gets it, and nobody knows.
    Lost,
    /// Runs it after its sender has given it up.
    Late,
}

pub struct Node {
    pub data: Data,
    /// Keyed operations: when the first attempt that may have run was sent, and whether one ran.
    keys: BTreeMap<u64, (Micros, bool)>,
    /// Repeatable operations that ran lately: their repeats change nothing, as long as this is remembered.
    ran: BTreeMap<u64, Micros>,
    /// Attempts that will run, by then at the latest.
    late: Vec<(Micros, Write)>,
}

impl Node {
    fn attempted(&mut self, write: &Write, now: Micros) {
        if write.class == KEYED {
            let (first, _) = self.keys.entry(write.operation).or_insert((now, false));
            let gone = now.since(*first);
            assert!(
                gone <= WINDOW,
                "keyed write {} is repeated {gone:?} after its first attempt",
                write.operation
            );
        }
    }

    fn run(&mut self, write: &Write, promises: &Promises, now: Micros) {
        if write.class == KEYED {
            let (_, ran) = self.keys.get_mut(&write.operation).expect("it was attempted");
            if std::mem::replace(ran, true) {
                return;
            }
        } else {
            self.ran.retain(|_, at| now.since(*at) <= REMEMBERED);
            if self.ran.insert(write.operation, now).is_some() {
                return;
            }
        }
        let last = cells(&write.payload).into_iter().max().unwrap_or(0);
        promises.check_barriers(&self.data, last, write.extent_id.volume);
        let held = self.data.entry(write.extent_id).or_default();
        let mut bytes: Vec<u8> = held.iter().flat_map(|c| c.to_le_bytes()).collect();
        lay(&mut bytes, write);
        *held = cells(&bytes);
    }
}

#[derive(Debug)]
enum Asked {
    Write(u32),
    Barrier { volume: u64, last: u32 },
    Flush { volume: Option<u64>, last: u32 },
}

pub struct Rig {
    pub buffer: WriteBackBuffer,
    pub disk: FaultyDisk,
    pub node: Node,
    pub promises: Promises,
    pub now: Micros,
    plant: Plant,
    config: Config,
    batch: Option<Batch>,
    tries: BTreeMap<WriteOutId, Write>,
    throughs: BTreeMap<WriteHandle, Write>,
    asked: BTreeMap<WriteHandle, Asked>,
    offered: BTreeMap<WriteHandle, Write>,
    next: u64,
    pub numbers: u32,
    pub crashes: u64,
    pub answers: BTreeMap<&'static str, u64>,
}

pub fn config(plant: Plant) -> Config {
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
        key_cooldown: if plant == Plant::NoRest { Micros(0) } else { KEY_REST },
        classes: vec![
            BufferingMode::Idempotent,
            if plant == Plant::WindowIgnored {
                BufferingMode::Idempotent
            } else {
                BufferingMode::IdempotencyKey(WINDOW)
            },
            BufferingMode::Never,
        ],
        retry_budget: Some(WriteOutRetryBudget { floor: 5.0, ratio: 0.5, span: Micros(1_000_000) }),
        calendar: WallClock(1_000_000_000),
    }
}

impl Rig {
    pub fn new(seed: u64, plant: Plant) -> Self {
        let mut disk = FaultyDisk::new(seed);
        let (config, now) = (config(plant), Micros(1_000_000));
        let recovered = recover(&mut disk).expect("an empty disk");
        let (data, keys, ran) = Default::default();
        Rig {
            buffer: WriteBackBuffer::new(config.clone(), recovered, now),
            disk,
            node: Node { data, keys, ran, late: Vec::new() },
            promises: Promises::default(),
            now,
            plant,
            config,
            batch: None,
            tries: BTreeMap::new(),
            throughs: BTreeMap::new(),
            asked: BTreeMap::new(),
            offered: BTreeMap::new(),
            next: 0,
            numbers: 0,
            crashes: 0,
            answers: BTreeMap::new(),
        }
    }

    fn handle(&mut self) -> WriteHandle {
        self.next += 1;
        WriteHandle(self.next)
    }

    fn count(&mut self, what: &'static str) {
        *self.answers.entry(what).or_default() += 1;
    }

    /// A client writes `len` cells from cell `at` on, or the whole extent.
    pub fn write(&mut self, extent_id: ExtentId, class: u16, at: Option<u32>, len: usize) {
        self.numbers += 1;
        let number = self.numbers;
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
        let handle = self.handle();
        self.promises.offered(number, &write);
        self.asked.insert(handle, Asked::Write(number));
        self.offered.insert(handle, write.clone());
        self.buffer.submit_write(WriteRequest { handle, write }, self.now);
        self.settle();
    }

    pub fn barrier(&mut self, volume: u64) {
        let handle = self.handle();
        self.asked.insert(handle, Asked::Barrier { volume, last: self.numbers });
        if self.plant == Plant::BarrierIgnored {
            self.promises.barrier_stands(volume, self.numbers);
            return;
        }
        self.buffer.submit_barrier(handle, volume, self.now);
        self.settle();
    }

    pub fn flush(&mut self, volume: Option<u64>) {
        let handle = self.handle();
        self.asked.insert(handle, Asked::Flush { volume, last: self.numbers });
        self.buffer.submit_flush(handle, volume);
        self.settle();
    }

    /// A read that is answered at once: by the buffer, or by the node and the buffer together.
    pub fn read(&mut self, extent_id: ExtentId) {
        let handle = self.handle();
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
        self.promises.check_place(extent_id, &data, u32::MAX, "a read");
        self.settle();
    }

    pub fn settle(&mut self) {
        self.buffer.settle(self.now);
        let mut actions = self.buffer.take_actions();
        while !actions.is_empty() {
            actions.into_iter().for_each(|action| self.take(action));
            self.buffer.settle(self.now);
            actions = self.buffer.take_actions();
        }
    }

    fn answer(&mut self, handle: WriteHandle, told: Told) {
        match self.asked.remove(&handle) {
            Some(Asked::Write(number)) => self.promises.told(number, told),
            other => panic!("{told:?} of {other:?}"),
        }
        self.offered.remove(&handle);
    }

    fn take(&mut self, action: Action) {
        match action {
            Action::Store(batch) => assert!(self.batch.replace(batch).is_none(), "two batches at once"),
            Action::Buffered(handle) => {
                assert_ne!(self.offered[&handle].class, THROUGH, "its class may not be buffered");
                self.count("buffered");
                self.answer(handle, Told::Kept);
            }
            Action::Rejected { handle, .. } => {
                self.count("refused");
                match self.asked.get(&handle) {
                    Some(Asked::Write(_)) => self.answer(handle, Told::Refused),
                    _ => drop(self.asked.remove(&handle)),
                }
            }
            Action::PassThrough(handle) => {
                let write = self.offered.get(&handle).expect("it was offered").clone();
                self.node.attempted(&write, self.now);
                self.throughs.insert(handle, write);
            }
            Action::BarrierSet(handle) => {
                self.count("barred");
                match self.asked.remove(&handle) {
                    Some(Asked::Barrier { volume, last }) => self.promises.barrier_stands(volume, last),
                    other => panic!("a barrier in answer to {other:?}"),
                }
            }
            Action::Flushed(handle) => {
                self.count("flushed");
                match self.asked.remove(&handle) {
                    Some(Asked::Flush { volume, last }) => {
                        self.promises.check_reached(&self.node.data, volume, last, "a flush");
                    }
                    other => panic!("a flush in answer to {other:?}"),
                }
            }
            Action::SendWriteOut { id, write, .. } => {
                self.node.attempted(&write, self.now);
                self.tries.insert(id, write);
            }
            Action::CancelWriteOut(id) => {
                // The module never holds anything here: it has left.
                assert!(self.tries.contains_key(&id));
            }
        }
    }

    /// The disk does what it was asked to.
    pub fn disk(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        let well = match self.plant {
            Plant::SyncLeftOut => {
                let sync = |op: &StorageOp| matches!(op, StorageOp::Sync(_));
                let ops = batch.ops.into_iter().filter(|op| !sync(op)).collect();
                perform(&mut self.disk, &Batch { ops }).is_ok()
            }
            Plant::FailureIgnored => perform(&mut self.disk, &batch).is_ok() || !self.disk.dead(),
            _ => perform(&mut self.disk, &batch).is_ok(),
        };
        if self.disk.dead() {
            return self.crash(true);
        }
        self.buffer.batch_stored(well, self.now);
        self.settle();
    }

    /// The so manieth attempt that is out meets its fate.
    pub fn node(&mut self, which: usize, fate: Fate) {
        let out = self.tries.len() + self.throughs.len();
        if out == 0 {
            return;
        }
        let which = which % out;
        let write = match self.tries.values().nth(which) {
            Some(write) => write.clone(),
            None => self.throughs.values().nth(which - self.tries.len()).expect("counted").clone(),
        };
        match fate {
            Fate::Confirmed | Fate::AnswerLost => self.node.run(&write, &self.promises, self.now),
            Fate::Late => {
                let lingers = if which < self.tries.len() { REMEMBERED } else { KEY_REST };
                self.node.late.push((self.now.after(lingers), write.clone()));
            }
            Fate::Refused | Fate::Lost => {}
        }
        match self.tries.iter().nth(which).map(|(id, _)| *id) {
            Some(id) => {
                self.tries.remove(&id);
                let end = match fate {
                    Fate::Confirmed => WriteOutResult::Confirmed { may_still_run: false },
                    Fate::Refused => WriteOutResult::NotExecuted { retry_after: Micros(1000) },
                    _ => WriteOutResult::Unknown,
                };
                self.buffer.write_out_ended(id, end, self.now);
            }
            None => {
                let at = which - self.tries.len();
                let handle = *self.throughs.keys().nth(at).expect("counted");
                self.throughs.remove(&handle);
                match fate {
                    Fate::Confirmed => self.answer(handle, Told::Kept),
                    Fate::Refused => self.answer(handle, Told::Refused),
                    // "Failed": its client knows nothing.
                    _ => drop((self.asked.remove(&handle), self.offered.remove(&handle))),
                }
                self.buffer.pass_through_ended(
                    handle,
                    !matches!(fate, Fate::Confirmed | Fate::Refused),
                    self.now,
                );
            }
        }
        self.settle();
    }

    /// An attempt that was given up runs after all.
    pub fn late(&mut self, which: usize) {
        if !self.node.late.is_empty() {
            let (_, write) = self.node.late.swap_remove(which % self.node.late.len());
            self.node.run(&write, &self.promises, self.now);
        }
    }

    pub fn pass(&mut self, time: Micros) {
        self.now = self.now.after(time);
        let due: Vec<Write> =
            self.node.late.iter().filter(|(by, _)| *by <= self.now).map(|(_, w)| w.clone()).collect();
        self.node.late.retain(|(by, _)| *by > self.now);
        due.iter().for_each(|write| self.node.run(write, &self.promises, self.now));
        self.settle();
    }

    /// The oldest request's client waits no longer.
    pub fn expire(&mut self) {
        let Some(handle) = self.asked.keys().next().copied() else { return };
        match self.buffer.expire(handle, self.now) {
            Expired::NotHere => {}
            Expired::Buffered => self.answer(handle, Told::Kept),
            Expired::Reject => {
                self.count("refused in time");
                self.answer(handle, Told::Refused);
            }
            Expired::Fail => {
                self.count("failed");
                self.asked.remove(&handle);
                self.offered.remove(&handle);
            }
        }
        self.settle();
    }

    /// The process dies, or the machine does; another starts at once.
    pub fn crash(&mut self, power: bool) {
        self.crashes += 1;
        self.batch = None;
        // What is out may run later: a write-out for as long as nodes remember its repeats, any other for as
        // long as a place rests.
        let write_outs = std::mem::take(&mut self.tries).into_values().map(|write| (REMEMBERED, write));
        let throughs = std::mem::take(&mut self.throughs).into_values().map(|write| (KEY_REST, write));
        let now = self.now;
        self.node.late.extend(write_outs.chain(throughs).map(|(lingers, write)| (now.after(lingers), write)));
        (self.asked, self.offered) = Default::default();
        match power {
            true => self.disk.lose_power(),
            false => self.disk.lose_process(),
        }
        if self.plant == Plant::TailSkipped {
            self.skip_tail();
        }
        let recovered = recover(&mut self.disk).expect("what a crash leaves can be read");
        self.buffer = WriteBackBuffer::new(self.config.clone(), recovered, self.now);
        self.settle();
    }

    fn skip_tail(&mut self) {
        use flaxstand_write_back::record::{HEADER_BYTES, next_batch};
        let Some(last) = self.disk.segments().expect("in memory").last().copied() else { return };
        let bytes = self.disk.read(last).expect("it is there");
        let (mut at, mut ends) = (HEADER_BYTES, Vec::new());
        while let Some(found) = next_batch(&bytes, at) {
            ends.push(found);
            at = found + 1;
        }
        if let Some(end) = ends.last() {
            self.disk.create(last).and_then(|()| self.disk.append(last, &bytes[..*end])).expect("in memory");
            self.disk.sync(last).and_then(|()| self.disk.sync_folder()).expect("in memory");
        }
    }

    fn parked(&self) -> bool {
        self.buffer.status(self.now).parked > 0
    }

    /// Operators stop the process, look at the nodes and decide what becomes of parked writes.
    fn decide(&mut self) {
        self.crash(false);
        let live = recover(&mut self.disk).expect("the log is sound").live;
        for (seq, live) in live {
            let LiveRecord::Write(LiveWrite { parked: true, write, .. }) = live else { continue };
            self.count("parked");
            let ran = self.node.keys.get(&write.operation).is_some_and(|(_, ran)| *ran);
            let verdict = if ran { ParkedDecision::Done } else { ParkedDecision::Again };
            if !ran {
                self.node.keys.remove(&write.operation);
            }
            assert!(offline::decide(&mut self.disk, seq, verdict).expect("the log is sound"));
        }
        self.crash(false);
        self.buffer.drain();
    }

    /// No more faults: everything is brought to its end and compared.
    pub fn finish(&mut self) {
        self.disk.set(Faults::default());
        self.buffer.drain();
        for round in 0..3000 {
            self.disk();
            self.node(0, Fate::Confirmed);
            self.pass(Micros(5_000));
            if self.buffer.is_drained() && self.asked.is_empty() && self.batch.is_none() && !self.parked() {
                break;
            }
            if round % 100 == 99 && self.parked() {
                self.decide();
            }
        }
        assert!(self.buffer.is_drained(), "it never drains: {:?}", self.buffer.status(self.now));
        self.promises.check_all(&self.node.data);
        self.crash(true);
        assert_eq!(self.buffer.status(self.now).writes, 0, "a drained log holds nothing");
    }
}
