//! What must be durable before it is told. The journal queues records, makes batches of them for the storage,
//! one at a time, and says up to which record all is durable.
//!
//! A segment begins with the whole state; each further batch is one frame: marker, length, number, checksum,
//! records. The first batch of a life, the one after a failure and the one after a compaction begin a new
//! segment, and only then the older ones go. A frame at the end that does not check out was never told; one with
//! an intact later frame behind it was, so what is there can't be trusted and the keeper has lost its disk.

use crate::log::{Entry, Log};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, Storage, StorageOp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// A segment is closed once it is as long as this beyond its first state, bytes.
const SEGMENT: usize = 1 << 20;
/// First and longest wait before a failed batch is tried again.
const AGAIN: (Micros, Micros) = (Micros(10_000), Micros(1_000_000));
const MARKER: [u8; 4] = *b"fag1";
/// Marker, length, number, checksum.
const HEAD: usize = 4 + 4 + 8 + 4;

/// All that a keeper must not forget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Who it is.
    pub me: ReplicaId,
    /// Its newest life.
    pub incarnation: Incarnation,
    /// The agreement it belongs to; 0: none yet.
    pub cluster: u64,
    /// Its term.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted: Option<ReplicaId>,
    /// Its log.
    pub log: Log,
    /// How many promises it has written down, over all lives of this incarnation.
    pub written: u64,
    /// The newest of each other keeper that it acted on.
    pub seen: BTreeMap<ReplicaId, LastSeen>,
}

/// A change of that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All of it.
    State(Box<State>),
    /// Term and vote.
    Term(u64, Option<ReplicaId>),
    /// The entries from an index on are these.
    Entries(u64, Vec<Entry>),
    /// The newest of another keeper.
    LastSeen(ReplicaId, LastSeen),
}

impl State {
    /// A keeper with nothing behind it.
    pub fn fresh(me: ReplicaId, incarnation: Incarnation) -> State {
        State {
            me,
            incarnation,
            cluster: 0,
            term: 0,
            voted: None,
            log: Log::default(),
            written: 0,
            seen: BTreeMap::new(),
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::State(state) => *self = *state,
            Record::Term(term, voted) => {
                (self.term, self.voted) = (term, voted);
                self.written += 1;
            }
            Record::Entries(from, entries) => {
                self.log.truncate(from);
                self.log.entries.extend(entries);
                self.written += 1;
            }
            Record::LastSeen(member, seen) => drop(self.seen.insert(member, seen)),
        }
    }
}

/// What a folder held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovered {
    /// Nothing that was ever told: a keeper that is new.
    Nothing,
    /// Its state.
    State(Box<State>),
    /// Something that was told is gone: in words, where and why.
    Damaged(String),
}

fn frame(number: u64, records: &[Record]) -> Vec<u8> {
    let body = postcard::to_stdvec(records).expect("plain values can be written");
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes[4..]), &body);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// The frame at the start of `bytes`: its number, its records and its length.
fn unframe(bytes: &[u8]) -> Option<(u64, Vec<Record>, usize)> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    let field = |from: usize, to: usize| head.get(from..to);
    let len = u32::from_le_bytes(field(4, 8)?.try_into().ok()?) as usize;
    let number = u64::from_le_bytes(field(8, 16)?.try_into().ok()?);
    let sum = u32::from_le_bytes(field(16, 20)?.try_into().ok()?);
    let body = rest.get(..len)?;
    let whole = head.starts_with(&MARKER) && crc32c::crc32c_append(crc32c::crc32c(&head[4..16]), body) == sum;
    let records = whole.then(|| postcard::from_bytes(body).ok()).flatten()?;
    Some((number, records, HEAD + len))
}

/// An intact frame of a number above `number` somewhere in `bytes`.
fn later(bytes: &[u8], number: u64) -> bool {
    let marked = |at: &usize| bytes[*at..].starts_with(&MARKER);
    (1..bytes.len()).filter(marked).any(|at| unframe(&bytes[at..]).is_some_and(|(n, ..)| n > number))
}

/// Reads a folder back.
///
/// # Errors
/// The storage can't be read at all. That says nothing of what is on it: try again, or look at the disk.
pub fn recover(storage: &mut dyn Storage) -> io::Result<Recovered> {
    let mut segments = storage.segments()?;
    segments.sort_unstable();
    for segment in segments.into_iter().rev() {
        let bytes = storage.read(segment)?;
        let (mut at, mut last, mut state) = (0, 0, None::<State>);
        while let Some((number, records, len)) = unframe(&bytes[at..]) {
            for record in records {
                match (&mut state, record) {
                    (Some(state), record) => state.apply(record),
                    (none, Record::State(first)) => *none = Some(*first),
                    (None, _) => {
                        return Ok(Recovered::Damaged(format!("segment {segment} begins with no state")));
                    }
                }
            }
            (at, last) = (at + len, number);
        }
        if later(&bytes[at..], last) {
            return Ok(Recovered::Damaged(format!("segment {segment} is damaged at byte {at}")));
        }
        if let Some(state) = state {
            return Ok(Recovered::State(Box::new(state)));
        }
        // Begun and never durable: nothing was told since the one before it.
    }
    Ok(Recovered::Nothing)
}

/// What is under way.
#[derive(Clone, Debug)]
struct WriteInFlight {
    /// All up to this record is durable if it goes well.
    upto: u64,
    /// The log's last entry as it then stands in the storage.
    last: u64,
    bytes: usize,
    /// It begins a segment, in place of all others.
    begins: bool,
}

/// The journal.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Vec<Record>,
    /// Records ever queued, and how many of them are durable.
    queued: u64,
    durable: u64,
    /// The last entry of the log that is durable, as far as none was taken back.
    durable_last: u64,
    write_in_flight: Option<WriteInFlight>,
    /// Segments that are there, the last one written to. None is written to after a failure.
    segments: Vec<u64>,
    next_segment: u64,
    next_frame: u64,
    /// Bytes in the segment since its first state. None: the next batch begins a new one.
    grown: Option<usize>,
    failing: Option<(Micros, Micros)>,
    failures: u64,
}

impl Journal {
    /// A journal on a storage with these segments. Its first batch is the whole state.
    pub fn new(segments: Vec<u64>) -> Journal {
        let next_segment = segments.iter().max().map_or(1, |n| n + 1);
        Journal {
            queue: Vec::new(),
            queued: 0,
            durable: 0,
            durable_last: 0,
            write_in_flight: None,
            segments,
            next_segment,
            next_frame: 1,
            grown: None,
            failing: None,
            failures: 0,
        }
    }

    /// Queues a record.
    pub fn note(&mut self, record: Record) {
        if let Record::Entries(from, _) = &record {
            self.taken_back(*from);
        }
        self.queue.push(record);
        self.queued += 1;
    }

    /// The whole state is to be written to a new segment next.
    pub fn renew(&mut self, last: u64) {
        self.grown = None;
        self.queued += 1;
        self.taken_back(last + 1);
    }

    /// Entries from an index on are others than those that are durable or under way.
    fn taken_back(&mut self, from: u64) {
        self.durable_last = self.durable_last.min(from - 1);
        if let Some(write_in_flight) = &mut self.write_in_flight {
            write_in_flight.last = write_in_flight.last.min(from - 1);
        }
    }

    /// How many records were ever queued: what is told now waits until so many are durable.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// How many of them are durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// The last entry of the log that is durable.
    pub fn durable_last(&self) -> u64 {
        self.durable_last
    }

    /// Batches that failed.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// The last batch failed; it is tried again.
    pub fn failing(&self) -> bool {
        self.failing.is_some()
    }

    /// What to store next, if something is to be stored and nothing is under way.
    pub fn batch(&mut self, state: &State, now: Micros) -> Option<Batch> {
        let waits = self.failing.is_some_and(|(at, _)| at > now);
        if self.write_in_flight.is_some() || waits || self.durable == self.queued {
            return None;
        }
        let number = self.next_frame;
        self.next_frame += 1;
        let mut ops = Vec::new();
        let begins = self.grown.is_none_or(|grown| grown >= SEGMENT);
        let bytes = match self.grown.filter(|grown| *grown < SEGMENT) {
            Some(_) => {
                let records = std::mem::take(&mut self.queue);
                let bytes = frame(number, &records);
                let segment = self.segments.last().copied()?;
                let len = bytes.len();
                ops.push(StorageOp::Append(segment, bytes));
                ops.push(StorageOp::Sync(segment));
                len
            }
            None => {
                self.queue.clear();
                let segment = self.next_segment;
                self.next_segment += 1;
                let bytes = frame(number, &[Record::State(Box::new(state.clone()))]);
                ops.push(StorageOp::Create(segment));
                ops.push(StorageOp::Append(segment, bytes));
                ops.push(StorageOp::Sync(segment));
                ops.push(StorageOp::SyncFolder);
                // Only now: the state is always in one of them.
                ops.extend(self.segments.iter().copied().map(StorageOp::Remove));
                ops.push(StorageOp::SyncFolder);
                self.segments.push(segment);
                self.grown = Some(0);
                0
            }
        };
        self.write_in_flight =
            Some(WriteInFlight { upto: self.queued, last: state.log.last(), bytes, begins });
        Some(Batch { ops })
    }

    /// How the batch under way went. After a failure the whole state goes to a new segment: what the failed one
    /// left behind is not known.
    pub fn stored(&mut self, well: bool, now: Micros) {
        let Some(write_in_flight) = self.write_in_flight.take() else { return };
        if well {
            self.failing = None;
            self.durable = write_in_flight.upto;
            self.durable_last = write_in_flight.last;
            self.grown = self.grown.map(|grown| grown + write_in_flight.bytes);
            if write_in_flight.begins {
                self.segments.drain(..self.segments.len() - 1);
            }
        } else {
            let wait = self.failing.map_or(AGAIN.0, |(_, wait)| Micros(wait.0 * 2).min(AGAIN.1));
            self.failing = Some((now.after(wait), wait));
            self.failures += 1;
            self.grown = None;
        }
    }

    /// When to ask for a batch again, if time alone makes one due.
    pub fn wake(&self) -> Option<Micros> {
        self.failing
            .filter(|_| self.write_in_flight.is_none() && self.durable != self.queued)
            .map(|(at, _)| at)
    }
}
