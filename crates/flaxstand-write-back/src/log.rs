//! State of the log: durable records, the batch in flight, and removable segments. The log produces batches
//! and receives their results; it does no I/O itself.
//!
//! One batch is in flight at a time, and records queued meanwhile form the next one, so that many writes
//! share a sync. After a failure the log abandons the segment after its last durable byte and writes the
//! batch to a new segment. The header of the new segment states the valid length of the old one, so that
//! recovery ignores any bytes that the failed sync may have left there.

use crate::record::{
    BATCH_HEADER_BYTES, HEADER_BYTES, Header, Record, SegmentEnd, Seq, VERSION, WallClock, Write,
    encode_batch, encode_new_write,
};
use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, StorageOp};
use std::collections::{BTreeMap, BTreeSet};

/// Length in bytes at which a segment is closed.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// Body length in bytes at which a batch takes no more records.
pub const BATCH_BYTES: usize = 4 << 20;
/// Initial back-off after a failed batch. Doubles with each further failure.
const MIN_RETRY_BACKOFF: Micros = Micros(10_000);
/// Maximum back-off after a failed batch.
const MAX_RETRY_BACKOFF: Micros = Micros(1_000_000);

#[derive(Debug, Default)]
struct Segment {
    length: u64,
    /// Incomplete writes and barriers whose record is in this segment.
    live: BTreeSet<Seq>,
}

/// Records for the next batch.
#[derive(Debug, Default)]
struct Queue {
    body: Vec<u8>,
    records: Vec<LoggedRecord>,
}

impl Queue {
    fn extend(&mut self, later: &Queue) {
        self.body.extend_from_slice(&later.body);
        self.records.extend_from_slice(&later.records);
    }
}

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// A write or barrier was accepted.
    Accepted,
    /// The first attempt of the write may be sent.
    Started,
    /// The write waits for an operator's decision.
    Parked,
    /// The write or barrier is complete.
    Done,
}

/// Record of a batch, without its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// The write or barrier.
    pub seq: Seq,
    /// Kind of the record.
    pub kind: RecordKind,
}

/// Batch in flight to the disk.
#[derive(Debug)]
enum InFlight {
    /// Records appended to a new or existing segment.
    Records { segment: u64, bytes: u64, queue: Queue },
    /// Removals of segments.
    Removals(Vec<u64>),
}

/// Back-off after a batch of records failed.
#[derive(Clone, Copy, Debug)]
struct RetryBackoff {
    retry_at: Micros,
    backoff: Micros,
}

impl RetryBackoff {
    fn after(previous: Option<RetryBackoff>, now: Micros) -> Self {
        let doubled = |previous: RetryBackoff| Micros(previous.backoff.0 * 2).min(MAX_RETRY_BACKOFF);
        let backoff = previous.map_or(MIN_RETRY_BACKOFF, doubled);
        RetryBackoff { retry_at: now.after(backoff), backoff }
    }
}

/// Counts of the log since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Batches that became durable, with one data sync each.
    pub syncs: u64,
    /// Records in durable batches.
    pub records: u64,
    /// Bytes in durable batches.
    pub bytes: u64,
    /// Batches that failed.
    pub failures: u64,
}

/// Durable state of a log, as recovered at the start.
#[derive(Debug, Default)]
pub(crate) struct DurableLog {
    /// Segments with their valid lengths, oldest first.
    pub(crate) segments: Vec<SegmentEnd>,
    /// Segment of each live write and barrier.
    pub(crate) locations: BTreeMap<Seq, u64>,
    /// Segments without valid content.
    pub(crate) abandoned: Vec<u64>,
    /// Highest segment number in use.
    pub(crate) last_segment: u64,
    /// Highest batch number in use.
    pub(crate) last_batch: u64,
}

/// State of the log.
#[derive(Debug)]
pub struct Log {
    segments: BTreeMap<u64, Segment>,
    /// Segment of each live write and barrier.
    locations: BTreeMap<Seq, u64>,
    /// Live writes and barriers whose record is queued or in flight.
    unwritten: BTreeSet<Seq>,
    /// Segments that were abandoned before any of their content was durable.
    abandoned: Vec<u64>,
    /// The segment that is appended to, if its header is durable.
    current: Option<u64>,
    next_segment: u64,
    next_batch: u64,
    queue: Queue,
    in_flight: Option<InFlight>,
    /// The queue is due immediately; otherwise it waits for more records.
    is_urgent: bool,
    queued_since: Option<Micros>,
    retry: Option<RetryBackoff>,
    /// Removing segments failed; it is retried after the next batch of records was stored.
    removal_failed: bool,
    counts: LogCounts,
}

impl Log {
    /// Creates a log from the recovered state. The first batch begins a new segment.
    pub(crate) fn new(durable: DurableLog) -> Log {
        let segment = |end: &SegmentEnd| (end.number, Segment { length: end.length, ..Segment::default() });
        let mut log = Log {
            segments: durable.segments.iter().map(segment).collect(),
            locations: durable.locations,
            unwritten: BTreeSet::new(),
            abandoned: durable.abandoned,
            current: None,
            next_segment: durable.last_segment + 1,
            next_batch: durable.last_batch + 1,
            queue: Queue::default(),
            in_flight: None,
            is_urgent: false,
            queued_since: None,
            retry: None,
            removal_failed: false,
            counts: LogCounts::default(),
        };
        for (seq, segment) in &log.locations {
            if let Some(segment) = log.segments.get_mut(segment) {
                segment.live.insert(*seq);
            }
        }
        log
    }

    /// Queues a record. Completion records wait for other records, for at most the delay passed to
    /// [`next_batch`](Log::next_batch).
    pub fn append(&mut self, record: &Record, now: Micros) {
        let kind = match record {
            Record::Write { .. } | Record::Barrier { .. } => RecordKind::Accepted,
            Record::Started { .. } => RecordKind::Started,
            Record::Parked { .. } => RecordKind::Parked,
            Record::Done { .. } => RecordKind::Done,
        };
        record.encode(&mut self.queue.body);
        self.enqueue(LoggedRecord { seq: record.seq(), kind }, now);
    }

    /// Queues the [`Record::Write`] of a newly accepted write, which is neither started nor parked.
    pub fn append_write(&mut self, seq: Seq, accepted: WallClock, write: &Write, now: Micros) {
        encode_new_write(seq, accepted, write, &mut self.queue.body);
        self.enqueue(LoggedRecord { seq, kind: RecordKind::Accepted }, now);
    }

    fn enqueue(&mut self, record: LoggedRecord, now: Micros) {
        if record.kind == RecordKind::Accepted {
            self.unwritten.insert(record.seq);
        }
        self.queue.records.push(record);
        self.is_urgent |= record.kind != RecordKind::Done;
        self.queued_since = self.queued_since.or(Some(now));
    }

    /// Makes the queued records due immediately.
    pub fn expedite(&mut self) {
        self.is_urgent |= !self.queue.records.is_empty();
    }

    /// Releases a write or barrier that is complete or needs no record: it no longer keeps its segment from
    /// being removed.
    pub fn release(&mut self, seq: Seq) {
        self.unwritten.remove(&seq);
        self.forget_location(seq);
    }

    fn forget_location(&mut self, seq: Seq) {
        if let Some(segment) = self.locations.remove(&seq)
            && let Some(segment) = self.segments.get_mut(&segment)
        {
            segment.live.remove(&seq);
        }
    }

    /// Returns whether the last batch of records failed. It is retried.
    pub fn is_failing(&self) -> bool {
        self.retry.is_some()
    }

    /// Returns whether the queue takes more records. Keeps a batch within its limit even after a failure,
    /// when it is retried together with newer records.
    pub fn has_capacity(&self) -> bool {
        self.queue.body.len() + BATCH_HEADER_BYTES < BATCH_BYTES
    }

    /// Returns the total length of all segments in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> LogCounts {
        self.counts
    }

    /// Returns the next batch, if one is due and none is in flight. Records that are not urgent are due after
    /// `delay`.
    pub fn next_batch(&mut self, delay: Micros, now: Micros) -> Option<Batch> {
        if self.in_flight.is_some() || self.retry.is_some_and(|retry| retry.retry_at > now) {
            return None;
        }
        let removals = self.removable();
        if !removals.is_empty() && !self.removal_failed {
            return Some(self.remove(removals));
        }
        let is_delay_over = self.queued_since.is_some_and(|since| now.since(since) >= delay);
        if self.queue.records.is_empty() || !(self.is_urgent || is_delay_over) {
            return None;
        }
        let queue = std::mem::take(&mut self.queue);
        self.is_urgent = false;
        self.queued_since = None;
        Some(self.store(queue))
    }

    fn remove(&mut self, segments: Vec<u64>) -> Batch {
        // Segments are removed durably one by one, oldest first. If a later segment were removed first, its
        // completion records for writes of the earlier segment would be lost, and those writes replayed.
        let removal = |number: &u64| [StorageOp::Remove(*number), StorageOp::SyncFolder];
        let ops = segments.iter().flat_map(removal).collect();
        self.in_flight = Some(InFlight::Removals(segments));
        Batch { ops }
    }

    fn store(&mut self, queue: Queue) -> Batch {
        let batch = encode_batch(self.next_batch, &queue.body);
        let mut ops = Vec::new();
        let mut bytes = batch.len() as u64;
        let segment = match self.current.filter(|number| !self.is_full(*number)) {
            Some(segment) => segment,
            None => {
                bytes += HEADER_BYTES as u64;
                self.begin_segment(&mut ops)
            }
        };
        ops.push(StorageOp::Append(segment, batch));
        ops.push(StorageOp::Sync(segment));
        self.in_flight = Some(InFlight::Records { segment, bytes, queue });
        Batch { ops }
    }

    fn is_full(&self, number: u64) -> bool {
        self.segments.get(&number).is_none_or(|segment| segment.length >= SEGMENT_BYTES)
    }

    fn begin_segment(&mut self, ops: &mut Vec<StorageOp>) -> u64 {
        let number = self.next_segment;
        self.next_segment += 1;
        let header = Header { version: VERSION, number, previous: self.last_segment() };
        ops.push(StorageOp::Create(number));
        ops.push(StorageOp::Append(number, header.encode()));
        // The header is synced separately, so that no durable batch can follow a lost header.
        ops.push(StorageOp::Sync(number));
        ops.push(StorageOp::SyncFolder);
        number
    }

    /// Returns the last segment with a durable header, and its durable length. It is never removed.
    fn last_segment(&self) -> Option<SegmentEnd> {
        let (number, segment) = self.segments.last_key_value()?;
        Some(SegmentEnd { number: *number, length: segment.length })
    }

    /// Returns the abandoned segments and the oldest segments without live records.
    fn removable(&self) -> Vec<u64> {
        let last = self.last_segment().map(|last| last.number);
        let is_unused =
            |(number, segment): &(&u64, &Segment)| segment.live.is_empty() && Some(**number) != last;
        let unused = self.segments.iter().take_while(is_unused).map(|(number, _)| number);
        // An abandoned segment holds no acknowledged data.
        self.abandoned.iter().chain(unused).copied().collect()
    }

    /// Reports the result of the batch in flight. Returns the records that became durable, in order.
    pub fn batch_stored(&mut self, is_stored: bool, now: Micros) -> Vec<LoggedRecord> {
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        self.counts.failures += u64::from(!is_stored);
        match in_flight {
            InFlight::Removals(segments) => {
                self.removal_failed = !is_stored;
                if is_stored {
                    self.forget_segments(&segments);
                }
                Vec::new()
            }
            InFlight::Records { segment, bytes, queue } if is_stored => {
                self.records_stored(segment, bytes, queue)
            }
            InFlight::Records { segment, queue, .. } => {
                self.records_failed(segment, queue, now);
                Vec::new()
            }
        }
    }

    fn forget_segments(&mut self, segments: &[u64]) {
        for number in segments {
            self.segments.remove(number);
        }
        self.abandoned.retain(|number| !segments.contains(number));
    }

    /// Puts the records of a failed batch back at the front of the queue. They go to a new segment.
    fn records_failed(&mut self, segment: u64, queue: Queue, now: Micros) {
        self.retry = Some(RetryBackoff::after(self.retry, now));
        self.queued_since = Some(now);
        if self.current != Some(segment) {
            self.abandoned.push(segment);
        }
        self.current = None;
        let later = std::mem::replace(&mut self.queue, queue);
        self.queue.extend(&later);
        self.is_urgent = true;
    }

    fn records_stored(&mut self, segment: u64, bytes: u64, queue: Queue) -> Vec<LoggedRecord> {
        self.retry = None;
        self.removal_failed = false;
        self.next_batch += 1;
        self.current = Some(segment);
        self.segments.entry(segment).or_default().length += bytes;
        self.counts.syncs += 1;
        self.counts.records += queue.records.len() as u64;
        self.counts.bytes += bytes;
        for record in &queue.records {
            if record.kind == RecordKind::Accepted && self.unwritten.remove(&record.seq) {
                self.forget_location(record.seq);
                self.locations.insert(record.seq, segment);
                self.segments.entry(segment).or_default().live.insert(record.seq);
            }
        }
        queue.records
    }

    /// Returns the live writes and barriers of the oldest segment if the log is much longer than its live
    /// data. The caller appends them again, so that the segment can be removed.
    pub fn records_to_relocate(&self, live_bytes: u64) -> Vec<Seq> {
        let last = self.last_segment().map(|last| last.number);
        let is_long = self.bytes() > 2 * live_bytes + 4 * SEGMENT_BYTES;
        match self.segments.first_key_value() {
            Some((number, oldest)) if is_long && Some(*number) != last => {
                oldest.live.iter().copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns when the queued records become due, if any. `delay` as in [`Log::next_batch`].
    pub fn next_wake(&self, delay: Micros) -> Option<Micros> {
        if self.in_flight.is_some() {
            return None;
        }
        // The records of a failed batch are back in the queue.
        let queued_since = self.queued_since?;
        let due = if self.is_urgent { queued_since } else { queued_since.after(delay) };
        Some(self.retry.map_or(due, |retry| due.max(retry.retry_at)))
    }
}
