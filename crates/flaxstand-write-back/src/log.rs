//! The log's state: what is durable, what is on its way to the disk, which segments may go. It decides what
//! is to be stored and is told how that went; it stores nothing itself.
//!
//! One batch is under way at a time, and what comes meanwhile makes the next: many writes share a sync.
//! After a failure the segment is given up at its last durable byte and the batch is written to a new one;
//! the new header says where the old one ends, so what the failed sync may have left there counts for nothing.

use crate::record::{BATCH_HEAD, HEADER, Header, Record, Seq, VERSION, encode_batch};
use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, StorageOp};
use std::collections::{BTreeMap, BTreeSet};

/// A segment is closed once it is as long as this, bytes.
pub const SEGMENT: u64 = 8 << 20;
/// A batch takes no more records once its body is as long as this, bytes.
pub const BATCH: usize = 4 << 20;
/// First and longest wait before a failed batch is tried again.
const AGAIN: (Micros, Micros) = (Micros(10_000), Micros(1_000_000));

#[derive(Debug, Default)]
struct Segment {
    len: u64,
    /// Writes and barriers that are not done and whose record lies here.
    live: BTreeSet<Seq>,
}

/// What is queued for the next batch.
#[derive(Debug, Default)]
struct Queue {
    body: Vec<u8>,
    /// What each record is about, in order, and whether it places a write or barrier in the log.
    about: Vec<(Seq, Kind)>,
}

/// What a record that became durable says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A write or a barrier is in the log.
    Placed,
    /// The write's first attempt may leave.
    Started,
    /// It waits for an operator.
    Parked,
    /// Done.
    Done,
}

/// What is under way.
#[derive(Debug)]
enum Flight {
    /// Records, to this segment, which begins with the batch or goes on.
    Records { segment: u64, bytes: u64, queue: Queue },
    /// Nothing but removals.
    Removals(Vec<u64>),
}

/// Figures of the log. All but the sizes only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Batches that became durable: each one sync of data.
    pub syncs: u64,
    /// Records in them.
    pub records: u64,
    /// Bytes in them.
    pub bytes: u64,
    /// Batches that failed.
    pub failures: u64,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    segments: BTreeMap<u64, Segment>,
    /// Where each live write and barrier lies.
    placed: BTreeMap<Seq, u64>,
    /// Writes and barriers whose record is queued or under way and still matters.
    coming: BTreeSet<Seq>,
    /// Segments that count for nothing: given up before they were durable.
    void: Vec<u64>,
    /// The segment that is written to, if its header is durable.
    current: Option<u64>,
    next_segment: u64,
    next_batch: u64,
    queue: Queue,
    flight: Option<Flight>,
    /// Something in the queue waits for the disk; else it may wait for company.
    urgent: bool,
    lazy_since: Option<Micros>,
    /// The last batch of records failed: when to try again, and the wait that led there.
    failing: Option<(Micros, Micros)>,
    /// Segments could not be removed: not tried again before a batch of records went well.
    stuck: bool,
    counts: LogCounts,
}

impl Log {
    /// A log that goes on after what was read back: segments with their valid lengths, and where each live
    /// write and barrier lies. The first batch begins a new segment.
    pub(crate) fn new(
        segments: &[(u64, u64)],
        placed: BTreeMap<Seq, u64>,
        void: Vec<u64>,
        highest: u64,
        batch: u64,
    ) -> Log {
        let mut log = Log {
            coming: BTreeSet::new(),
            void,
            segments: segments
                .iter()
                .map(|(n, len)| (*n, Segment { len: *len, ..Segment::default() }))
                .collect(),
            placed,
            current: None,
            next_segment: highest + 1,
            next_batch: batch + 1,
            queue: Queue::default(),
            flight: None,
            urgent: false,
            lazy_since: None,
            failing: None,
            stuck: false,
            counts: LogCounts::default(),
        };
        for (seq, segment) in &log.placed {
            if let Some(s) = log.segments.get_mut(segment) {
                s.live.insert(*seq);
            }
        }
        log
    }

    /// Queues a record. Lazy ones wait for others, up to the time that `batch` is told.
    pub fn append(&mut self, record: &Record, now: Micros) {
        let kind = match record {
            Record::Write { .. } | Record::Barrier { .. } => Kind::Placed,
            Record::Started { .. } => Kind::Started,
            Record::Parked { .. } => Kind::Parked,
            Record::Done { .. } => Kind::Done,
        };
        if kind == Kind::Placed {
            self.coming.insert(record.seq());
        }
        record.encode(&mut self.queue.body);
        self.queue.about.push((record.seq(), kind));
        self.urgent |= kind != Kind::Done;
        self.lazy_since = self.lazy_since.or(Some(now));
    }

    /// What is queued is waited for.
    pub fn hurry(&mut self) {
        self.urgent |= !self.queue.about.is_empty();
    }

    /// A write or barrier is done, or its record will never be asked for: it holds no segment any longer.
    pub fn forget(&mut self, seq: Seq) {
        self.coming.remove(&seq);
        self.unplace(seq);
    }

    fn unplace(&mut self, seq: Seq) {
        if let Some(segment) = self.placed.remove(&seq)
            && let Some(s) = self.segments.get_mut(&segment)
        {
            s.live.remove(&seq);
        }
    }

    /// The last batch of records failed; it is tried again.
    pub fn failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|s| s.len).sum()
    }

    /// Figures since the start.
    pub fn counts(&self) -> LogCounts {
        self.counts
    }

    /// What to store next, if something is due and nothing is under way. Lazy records are due after `linger`.
    pub fn batch(&mut self, linger: Micros, now: Micros) -> Option<Batch> {
        if self.flight.is_some() || self.failing.is_some_and(|(at, _)| at > now) {
            return None;
        }
        let removals = self.removable();
        if !removals.is_empty() && !self.stuck {
            let removal = |n: &u64| [StorageOp::Remove(*n), StorageOp::SyncFolder];
            // One after the other: a later segment must not go for good before an earlier one, whose writes
            // it says are done.
            let ops = removals.iter().flat_map(removal).collect();
            self.flight = Some(Flight::Removals(removals));
            return Some(Batch { ops });
        }
        let lazy = self.lazy_since.is_some_and(|since| now.since(since) >= linger);
        if self.queue.about.is_empty() || !(self.urgent || lazy) {
            return None;
        }
        let queue = std::mem::take(&mut self.queue);
        (self.urgent, self.lazy_since) = (false, None);
        Some(self.store(queue))
    }

    fn store(&mut self, queue: Queue) -> Batch {
        let bytes = encode_batch(self.next_batch, &queue.body);
        let mut ops = Vec::new();
        let full = |n: u64| self.segments.get(&n).is_none_or(|s| s.len >= SEGMENT);
        let (segment, mut len) = match self.current.filter(|n| !full(*n)) {
            Some(segment) => (segment, 0),
            None => {
                let number = self.next_segment;
                self.next_segment += 1;
                let header = Header { version: VERSION, number, before: self.last() };
                ops.push(StorageOp::Create(number));
                ops.push(StorageOp::Append(number, header.encode()));
                // Its own sync: a batch never lies behind a header that may be lost.
                ops.push(StorageOp::Sync(number));
                ops.push(StorageOp::SyncFolder);
                (number, HEADER as u64)
            }
        };
        len += bytes.len() as u64;
        ops.push(StorageOp::Append(segment, bytes));
        ops.push(StorageOp::Sync(segment));
        self.flight = Some(Flight::Records { segment, bytes: len, queue });
        Batch { ops }
    }

    /// The last segment with a durable header, and how much of it is durable. It is never removed.
    fn last(&self) -> Option<(u64, u64)> {
        self.segments.last_key_value().map(|(n, s)| (*n, s.len))
    }

    /// Oldest segments that nothing needs any more.
    fn removable(&self) -> Vec<u64> {
        let last = self.last().map(|(n, _)| n);
        let idle = |(n, s): &(&u64, &Segment)| s.live.is_empty() && Some(**n) != last;
        // One that was given up holds nothing that was ever acknowledged.
        self.void.iter().chain(self.segments.iter().take_while(idle).map(|(n, _)| n)).copied().collect()
    }

    /// How the batch under way went. Returns what became durable, in order.
    pub fn stored(&mut self, well: bool, now: Micros) -> Vec<(Seq, Kind)> {
        let Some(flight) = self.flight.take() else { return Vec::new() };
        self.counts.failures += u64::from(!well);
        match flight {
            Flight::Removals(removed) => {
                self.stuck = !well;
                if well {
                    removed.iter().for_each(|n| drop(self.segments.remove(n)));
                    self.void.retain(|n| !removed.contains(n));
                }
                Vec::new()
            }
            Flight::Records { segment, queue, .. } if !well => {
                let wait = self.failing.map_or(AGAIN.0, |(_, wait)| Micros(wait.0 * 2).min(AGAIN.1));
                self.failing = Some((now.after(wait), wait));
                self.lazy_since = Some(now);
                // To a new segment, before all that came since.
                if self.current != Some(segment) {
                    self.void.push(segment);
                }
                self.current = None;
                let after = std::mem::replace(&mut self.queue, queue);
                self.queue.body.extend_from_slice(&after.body);
                self.queue.about.extend_from_slice(&after.about);
                self.urgent = true;
                Vec::new()
            }
            Flight::Records { segment, bytes, queue } => {
                (self.failing, self.stuck) = (None, false);
                self.next_batch += 1;
                self.current = Some(segment);
                let s = self.segments.entry(segment).or_default();
                s.len += bytes;
                self.counts.syncs += 1;
                self.counts.records += queue.about.len() as u64;
                self.counts.bytes += bytes;
                for (seq, kind) in &queue.about {
                    if *kind == Kind::Placed && self.coming.remove(seq) {
                        self.unplace(*seq);
                        self.placed.insert(*seq, segment);
                        self.segments.entry(segment).or_default().live.insert(*seq);
                    }
                }
                queue.about
            }
        }
    }

    /// Live writes and barriers of the oldest segment, if the log is much longer than what lives in it:
    /// to be appended anew, so that the segment can go. At most every other segment's worth.
    pub fn stale(&self, live_bytes: u64) -> Vec<Seq> {
        let last = self.last().map(|(n, _)| n);
        let much = self.bytes() > 2 * live_bytes + 4 * SEGMENT;
        match self.segments.first_key_value() {
            Some((n, s)) if much && Some(*n) != last => s.live.iter().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// When to ask for a batch again, if time alone makes one due.
    pub fn wake(&self, linger: Micros) -> Option<Micros> {
        if self.flight.is_some() {
            return None;
        }
        // While a batch fails its records are in the queue.
        let due = self.lazy_since.map(|since| if self.urgent { since } else { since.after(linger) })?;
        Some(self.failing.map_or(due, |(retry, _)| due.max(retry)))
    }

    /// Room in the queue: a batch stays within its bound also after a failure.
    pub fn room(&self) -> bool {
        self.queue.body.len() + BATCH_HEAD < BATCH
    }
}
