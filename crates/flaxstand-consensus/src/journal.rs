//! Write-ahead journal of a replica: makes its state durable before any message that depends on it is sent.
//! Queues records, hands the storage one batch at a time, and reports up to which record everything is
//! durable.
//!
//! A segment starts with a checkpoint of the complete state; each further batch is one frame of records.
//! The first batch after a start, after a failed write and after a compaction starts a new segment; older
//! segments are removed only after that.
//!
//! - `record`: the durable state and the records of its changes
//! - `frame`: encoding of a batch
//! - `recovery`: reads a journal directory after a start

mod frame;
mod record;
mod recovery;

pub use record::{DurableState, Record};
pub use recovery::{RecoveredState, recover};

use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, StorageOp};

/// A segment is closed once it holds this many bytes after its checkpoint.
const MAX_SEGMENT_BYTES: usize = 1 << 20;
/// Initial delay before a failed batch is retried.
const MIN_RETRY_DELAY: Micros = Micros(10_000);
/// Maximum delay before a failed batch is retried.
const MAX_RETRY_DELAY: Micros = Micros(1_000_000);

/// The batch that the storage is writing.
#[derive(Clone, Debug)]
struct WriteInFlight {
    /// All records up to this number are durable if the write succeeds.
    last_record: u64,
    /// Index of the last log entry that is stored if the write succeeds.
    last_index: u64,
    /// Bytes that the write adds to the segment, excluding a checkpoint.
    bytes: usize,
    /// Whether the write starts a new segment that replaces all others.
    begins_segment: bool,
}

/// Retry state after a failed batch; the delay doubles with each failure.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Micros,
    delay: Micros,
}

/// The journal of one replica.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Vec<Record>,
    /// Number of the last queued record. A checkpoint counts as one record.
    queued_records: u64,
    /// Number of the last durable record.
    durable_records: u64,
    /// Index of the last log entry that is durable and has not been overwritten since.
    durable_index: u64,
    write_in_flight: Option<WriteInFlight>,
    /// Existing segments; the last one is the current one. After a failed write no existing segment is
    /// appended to.
    segments: Vec<u64>,
    next_segment: u64,
    next_frame: u64,
    /// Bytes in the current segment after its checkpoint. `None` if the next batch starts a new segment.
    segment_bytes: Option<usize>,
    retry: Option<Retry>,
    failures: u64,
}

impl Journal {
    /// Creates a journal on a storage that holds these segments. Its first batch is a checkpoint.
    pub fn new(segments: Vec<u64>) -> Journal {
        let next_segment = segments.iter().max().map_or(1, |newest| newest + 1);
        Journal {
            queue: Vec::new(),
            queued_records: 0,
            durable_records: 0,
            durable_index: 0,
            write_in_flight: None,
            segments,
            next_segment,
            next_frame: 1,
            segment_bytes: None,
            retry: None,
            failures: 0,
        }
    }

    /// Queues a record to be written.
    pub fn append(&mut self, record: Record) {
        if let Record::Entries { first_index, .. } = &record {
            self.invalidate_from(*first_index);
        }
        self.queue.push(record);
        self.queued_records += 1;
    }

    /// Requests a checkpoint: the next batch writes the complete state, with a log that ends at
    /// `last_index`, to a new segment.
    pub fn request_checkpoint(&mut self, last_index: u64) {
        self.segment_bytes = None;
        self.queued_records += 1;
        self.invalidate_from(last_index + 1);
    }

    /// Marks the entries from an index on as replaced by others that are not durable yet. Prevents a quorum
    /// from counting an overwritten entry.
    fn invalidate_from(&mut self, first_index: u64) {
        self.durable_index = self.durable_index.min(first_index - 1);
        if let Some(write_in_flight) = &mut self.write_in_flight {
            write_in_flight.last_index = write_in_flight.last_index.min(first_index - 1);
        }
    }

    /// Number of the last queued record. A message created now may be sent once this record is durable.
    pub fn queued_records(&self) -> u64 {
        self.queued_records
    }

    /// Number of the last durable record.
    pub fn durable_records(&self) -> u64 {
        self.durable_records
    }

    /// Index of the last entry of the log that is durable.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Number of batches that failed so far.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether the last batch failed and is to be retried.
    pub fn is_failing(&self) -> bool {
        self.retry.is_some()
    }

    /// Returns the next batch to store, if there is unwritten data and no batch is in flight.
    pub fn next_batch(&mut self, state: &DurableState, now: Micros) -> Option<Batch> {
        let waits_for_retry = self.retry.is_some_and(|retry| retry.at > now);
        if self.write_in_flight.is_some() || waits_for_retry || self.durable_records == self.queued_records {
            return None;
        }
        let number = self.next_frame;
        self.next_frame += 1;
        let begins_segment = self.segment_bytes.is_none_or(|bytes| bytes >= MAX_SEGMENT_BYTES);
        let (ops, bytes) =
            if begins_segment { (self.checkpoint_ops(number, state), 0) } else { self.append_ops(number)? };
        self.write_in_flight = Some(WriteInFlight {
            last_record: self.queued_records,
            last_index: state.log.last_index(),
            bytes,
            begins_segment,
        });
        Some(Batch { ops })
    }

    /// Appends the queued records to the current segment as one frame. Returns the storage operations and
    /// the size of the frame.
    fn append_ops(&mut self, number: u64) -> Option<(Vec<StorageOp>, usize)> {
        let records = std::mem::take(&mut self.queue);
        let frame = frame::encode(number, &records);
        let segment = self.segments.last().copied()?;
        let bytes = frame.len();
        Some((vec![StorageOp::Append(segment, frame), StorageOp::Sync(segment)], bytes))
    }

    /// Writes the complete state to a new segment that replaces all others.
    fn checkpoint_ops(&mut self, number: u64, state: &DurableState) -> Vec<StorageOp> {
        self.queue.clear();
        let segment = self.next_segment;
        self.next_segment += 1;
        let frame = frame::encode(number, &[Record::State(Box::new(state.clone()))]);
        let mut ops = vec![
            StorageOp::Create(segment),
            StorageOp::Append(segment, frame),
            StorageOp::Sync(segment),
            StorageOp::SyncFolder,
        ];
        // Older segments are removed only after the sync: a power loss must not leave the directory without
        // any checkpoint.
        ops.extend(self.segments.iter().copied().map(StorageOp::Remove));
        ops.push(StorageOp::SyncFolder);
        self.segments.push(segment);
        self.segment_bytes = Some(0);
        ops
    }

    /// Records the outcome of the batch in flight. After a failure the complete state is written to a new
    /// segment, because it is unknown how much of the failed batch was written.
    pub fn batch_stored(&mut self, succeeded: bool, now: Micros) {
        let Some(write_in_flight) = self.write_in_flight.take() else { return };
        if succeeded {
            self.retry = None;
            self.durable_records = write_in_flight.last_record;
            self.durable_index = write_in_flight.last_index;
            self.segment_bytes = self.segment_bytes.map(|bytes| bytes + write_in_flight.bytes);
            if write_in_flight.begins_segment {
                self.segments.drain(..self.segments.len() - 1);
            }
        } else {
            let doubled = |retry: Retry| Micros(retry.delay.0 * 2).min(MAX_RETRY_DELAY);
            let delay = self.retry.map_or(MIN_RETRY_DELAY, doubled);
            self.retry = Some(Retry { at: now.after(delay), delay });
            self.failures += 1;
            self.segment_bytes = None;
        }
    }

    /// When to call [`Journal::next_batch`] again if nothing else happens first: the time of a pending
    /// retry.
    pub fn wake_at(&self) -> Option<Micros> {
        let is_idle = self.write_in_flight.is_none() && self.durable_records != self.queued_records;
        self.retry.filter(|_| is_idle).map(|retry| retry.at)
    }
}
