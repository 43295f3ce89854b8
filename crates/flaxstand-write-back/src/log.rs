//! The log's state: what is durable, what is on its way to the disk, which segments may be removed. It decides what
//! is to be stored and is told how that went; it stores nothing itself.
//!
//! One batch is in flight at a time, and what comes meanwhile makes the next: many writes share a sync.
//! After a failure the segment is given up at its last durable byte and the batch is written to a new one;
//! the new header says where the old one ends, so what the failed sync may have left there counts for nothing.

use crate::record::{
    BATCH_HEADER_BYTES, HEADER_BYTES, Header, Record, SegmentEnd, Seq, VERSION, WallClock, Write,
    encode_batch, encode_new_write,
};
use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, StorageOp};
use std::collections::{BTreeMap, BTreeSet};

/// A segment is closed once it is as long as this, bytes.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// A batch takes no more records once its body is as long as this, bytes.
pub const BATCH_BYTES: usize = 4 << 20;
/// Wait before a batch that failed is tried again. Doubles with each further failure.
const MIN_RETRY_BACKOFF: Micros = Micros(10_000);
/// Longest such wait.
const MAX_RETRY_BACKOFF: Micros = Micros(1_000_000);

#[derive(Debug, Default)]
struct Segment {
    length: u64,
    /// Writes and barriers that are not done and whose record lies here.
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

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// A write or a barrier is in the log.
    Placed,
    /// The write's first attempt may be sent.
    Started,
    /// The write waits for an operator.
    Parked,
    /// The write or barrier is done.
    Done,
}

/// A record of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoggedRecord {
    /// The write or barrier that it is about.
    pub seq: Seq,
    /// What it says of it.
    pub kind: RecordKind,
}

/// What is in flight to the disk.
#[derive(Debug)]
enum InFlight {
    /// Records, to this segment, which begins with the batch or goes on.
    Records { segment: u64, bytes: u64, queue: Queue },
    /// Removals of these segments.
    Removals(Vec<u64>),
}

/// The last batch of records failed.
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
    /// Batches that became durable: each one sync of data.
    pub syncs: u64,
    /// Records in them.
    pub records: u64,
    /// Bytes in them.
    pub bytes: u64,
    /// Batches that failed.
    pub failures: u64,
}

/// What the next process goes on with: the durable part of a log.
#[derive(Debug, Default)]
pub(crate) struct DurableLog {
    /// Segments with their valid lengths, oldest first.
    pub(crate) segments: Vec<SegmentEnd>,
    /// Segment of each live write and barrier.
    pub(crate) placed: BTreeMap<Seq, u64>,
    /// Segments that count for nothing.
    pub(crate) void: Vec<u64>,
    /// Highest number of a segment.
    pub(crate) last_segment: u64,
    /// Highest number of a batch.
    pub(crate) last_batch: u64,
}

/// The log.
#[derive(Debug)]
pub struct Log {
    segments: BTreeMap<u64, Segment>,
    /// Segment of each live write and barrier.
    placed: BTreeMap<Seq, u64>,
    /// Writes and barriers whose record is queued or in flight and still matters.
    unplaced: BTreeSet<Seq>,
    /// Segments that count for nothing: given up before they were durable.
    void: Vec<u64>,
    /// The segment that is written to, if its header is durable.
    current: Option<u64>,
    next_segment: u64,
    next_batch: u64,
    queue: Queue,
    in_flight: Option<InFlight>,
    /// Something in the queue is waited for; else the queue waits for more records.
    is_urgent: bool,
    queued_since: Option<Micros>,
    retry: Option<RetryBackoff>,
    /// Segments could not be removed: not tried again before a batch of records was stored.
    removal_failed: bool,
    counts: LogCounts,
}

impl Log {
    /// A log that goes on after what was recovered. The first batch begins a new segment.
    pub(crate) fn new(durable: DurableLog) -> Log {
        let segment = |end: &SegmentEnd| (end.number, Segment { length: end.length, ..Segment::default() });
        let mut log = Log {
            segments: durable.segments.iter().map(segment).collect(),
            placed: durable.placed,
            unplaced: BTreeSet::new(),
            void: durable.void,
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
        for (seq, segment) in &log.placed {
            if let Some(segment) = log.segments.get_mut(segment) {
                segment.live.insert(*seq);
            }
        }
        log
    }

    /// Queues a record. Records of completion wait for others, up to the delay that
    /// [`next_batch`](Log::next_batch) is given.
    pub fn append(&mut self, record: &Record, now: Micros) {
        let kind = match record {
            Record::Write { .. } | Record::Barrier { .. } => RecordKind::Placed,
            Record::Started { .. } => RecordKind::Started,
            Record::Parked { .. } => RecordKind::Parked,
            Record::Done { .. } => RecordKind::Done,
        };
        record.encode(&mut self.queue.body);
        self.queued(LoggedRecord { seq: record.seq(), kind }, now);
    }

    /// Queues the record of a write that is accepted now: [`Record::Write`] that is neither started nor parked.
    pub fn append_write(&mut self, seq: Seq, accepted: WallClock, write: &Write, now: Micros) {
        encode_new_write(seq, accepted, write, &mut self.queue.body);
        self.queued(LoggedRecord { seq, kind: RecordKind::Placed }, now);
    }

    fn queued(&mut self, record: LoggedRecord, now: Micros) {
        if record.kind == RecordKind::Placed {
            self.unplaced.insert(record.seq);
        }
        self.queue.records.push(record);
        self.is_urgent |= record.kind != RecordKind::Done;
        self.queued_since = self.queued_since.or(Some(now));
    }

    /// What is queued is waited for.
    pub fn expedite(&mut self) {
        self.is_urgent |= !self.queue.records.is_empty();
    }

    /// A write or barrier is done, or its record will never be asked for: it holds no segment any longer.
    pub fn release(&mut self, seq: Seq) {
        self.unplaced.remove(&seq);
        self.unplace(seq);
    }

    fn unplace(&mut self, seq: Seq) {
        if let Some(segment) = self.placed.remove(&seq)
            && let Some(segment) = self.segments.get_mut(&segment)
        {
            segment.live.remove(&seq);
        }
    }

    /// The last batch of records failed; it is tried again.
    pub fn is_failing(&self) -> bool {
        self.retry.is_some()
    }

    /// The queue takes more records: a batch stays within its bound also after a failure.
    pub fn has_capacity(&self) -> bool {
        self.queue.body.len() + BATCH_HEADER_BYTES < BATCH_BYTES
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.length).sum()
    }

    /// Counts since the start.
    pub fn counts(&self) -> LogCounts {
        self.counts
    }

    /// What to store next, if something is due and nothing is in flight. Records that nobody waits for are due
    /// after `delay`.
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
        // Guards against a later segment that goes for good before an earlier one, whose writes it says are
        // done: one after the other.
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
        let header = Header { version: VERSION, number, before: self.last_segment() };
        ops.push(StorageOp::Create(number));
        ops.push(StorageOp::Append(number, header.encode()));
        // Guards against a batch behind a header that is lost: the header has a sync of its own.
        ops.push(StorageOp::Sync(number));
        ops.push(StorageOp::SyncFolder);
        number
    }

    /// The last segment with a durable header, and how much of it is durable. It is never removed.
    fn last_segment(&self) -> Option<SegmentEnd> {
        let (number, segment) = self.segments.last_key_value()?;
        Some(SegmentEnd { number: *number, length: segment.length })
    }

    /// Oldest segments that nothing needs any more.
    fn removable(&self) -> Vec<u64> {
        let last = self.last_segment().map(|last| last.number);
        let is_unused =
            |(number, segment): &(&u64, &Segment)| segment.live.is_empty() && Some(**number) != last;
        let unused = self.segments.iter().take_while(is_unused).map(|(number, _)| number);
        // One that was given up holds nothing that was ever acknowledged.
        self.void.iter().chain(unused).copied().collect()
    }

    /// The batch in flight was stored, or failed. Returns what became durable, in order.
    pub fn batch_stored(&mut self, is_stored: bool, now: Micros) -> Vec<LoggedRecord> {
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        self.counts.failures += u64::from(!is_stored);
        match in_flight {
            InFlight::Removals(segments) => {
                self.removal_failed = !is_stored;
                if is_stored {
                    self.removed(&segments);
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

    fn removed(&mut self, segments: &[u64]) {
        for number in segments {
            self.segments.remove(number);
        }
        self.void.retain(|number| !segments.contains(number));
    }

    /// They go to a new segment, before all that came since.
    fn records_failed(&mut self, segment: u64, queue: Queue, now: Micros) {
        self.retry = Some(RetryBackoff::after(self.retry, now));
        self.queued_since = Some(now);
        if self.current != Some(segment) {
            self.void.push(segment);
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
            if record.kind == RecordKind::Placed && self.unplaced.remove(&record.seq) {
                self.unplace(record.seq);
                self.placed.insert(record.seq, segment);
                self.segments.entry(segment).or_default().live.insert(record.seq);
            }
        }
        queue.records
    }

    /// Live writes and barriers of the oldest segment, if the log is much longer than what lives in it: to be
    /// appended again, so that the segment can be removed.
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

    /// When to ask for a batch again, if time alone makes one due. `delay` as in [`Log::next_batch`].
    pub fn next_wake(&self, delay: Micros) -> Option<Micros> {
        if self.in_flight.is_some() {
            return None;
        }
        // While a batch fails its records are in the queue.
        let queued_since = self.queued_since?;
        let due = if self.is_urgent { queued_since } else { queued_since.after(delay) };
        Some(self.retry.map_or(due, |retry| due.max(retry.retry_at)))
    }
}
