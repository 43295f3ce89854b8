//! The journal: makes a replica's state durable before any message tells of it. It queues records, makes one
//! batch of them at a time for the storage, and says up to which record all is durable.
//!
//! A segment begins with a checkpoint, the whole state; each further batch is one frame of records. The first
//! batch after a start, the one after a failure and the one after a compaction begin a new segment, and only
//! then the older ones are removed.
//!
//! - `record`: the durable state and records of its changes
//! - `frame`: their bytes
//! - `recovery`: reading a folder back

mod frame;
mod record;
mod recovery;

pub use record::{DurableState, Record};
pub use recovery::{RecoveredState, recover};

use flaxstand_proto::Micros;
use flaxstand_storage::{Batch, StorageOp};

/// A segment is closed once it is as long as this beyond its checkpoint, bytes.
const MAX_SEGMENT_BYTES: usize = 1 << 20;
/// First wait before a failed batch is tried again.
const MIN_RETRY_DELAY: Micros = Micros(10_000);
/// Longest wait before a failed batch is tried again.
const MAX_RETRY_DELAY: Micros = Micros(1_000_000);

/// The batch that the storage is writing.
#[derive(Clone, Debug)]
struct WriteInFlight {
    /// All records up to this one are durable if it succeeds.
    last_record: u64,
    /// The log's last entry as it then stands in the storage.
    last_index: u64,
    /// Bytes that it adds to the segment, a checkpoint not counted.
    bytes: usize,
    /// It begins a segment, in place of all others.
    begins_segment: bool,
}

/// The storage refused the last batch.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: Micros,
    delay: Micros,
}

/// The journal.
#[derive(Clone, Debug)]
pub struct Journal {
    queue: Vec<Record>,
    /// Number of the last record that was ever queued. A checkpoint counts as one.
    queued_records: u64,
    /// Number of the last record that is durable.
    durable_records: u64,
    /// The last entry of the log that is durable and was not overwritten since.
    durable_index: u64,
    write_in_flight: Option<WriteInFlight>,
    /// Segments that are there, the last one written to. None is written to after a failure.
    segments: Vec<u64>,
    next_segment: u64,
    next_frame: u64,
    /// Bytes in the segment after its checkpoint. None: the next batch begins a new segment.
    segment_bytes: Option<usize>,
    retry: Option<Retry>,
    failures: u64,
}

impl Journal {
    /// A journal on a storage with these segments. Its first batch is a checkpoint.
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

    /// Queues a record.
    pub fn append(&mut self, record: Record) {
        if let Record::Entries { first_index, .. } = &record {
            self.invalidate_from(*first_index);
        }
        self.queue.push(record);
        self.queued_records += 1;
    }

    /// Has the whole state written to a new segment next; its log then ends at `last_index`.
    pub fn request_checkpoint(&mut self, last_index: u64) {
        self.segment_bytes = None;
        self.queued_records += 1;
        self.invalidate_from(last_index + 1);
    }

    /// Entries from an index on are others than those that are durable or being written. Guards against a
    /// quorum that counts an overwritten entry.
    fn invalidate_from(&mut self, first_index: u64) {
        self.durable_index = self.durable_index.min(first_index - 1);
        if let Some(write_in_flight) = &mut self.write_in_flight {
            write_in_flight.last_index = write_in_flight.last_index.min(first_index - 1);
        }
    }

    /// Number of the last record that was queued: a message made now waits until that many are durable.
    pub fn queued_records(&self) -> u64 {
        self.queued_records
    }

    /// Number of the last record that is durable.
    pub fn durable_records(&self) -> u64 {
        self.durable_records
    }

    /// Index of the last entry of the log that is durable.
    pub fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// How many batches failed so far.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether the last batch failed and is to be tried again.
    pub fn is_failing(&self) -> bool {
        self.retry.is_some()
    }

    /// The next batch to store, if there is something to store and no batch is in flight.
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

    /// Writes the queued records behind the last frame of the segment. Returns the calls and the frame's
    /// bytes.
    fn append_ops(&mut self, number: u64) -> Option<(Vec<StorageOp>, usize)> {
        let records = std::mem::take(&mut self.queue);
        let frame = frame::encode(number, &records);
        let segment = self.segments.last().copied()?;
        let bytes = frame.len();
        Some((vec![StorageOp::Append(segment, frame), StorageOp::Sync(segment)], bytes))
    }

    /// Writes the whole state to a new segment, in place of all others.
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
        // Removed only behind the sync: guards against a loss of power that leaves no segment with a state.
        ops.extend(self.segments.iter().copied().map(StorageOp::Remove));
        ops.push(StorageOp::SyncFolder);
        self.segments.push(segment);
        self.segment_bytes = Some(0);
        ops
    }

    /// Records how the batch in flight ended. After a failure the whole state goes to a new segment: what the
    /// failed batch left behind is not known.
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

    /// When to ask for a batch again, if time alone makes one due.
    pub fn wake_at(&self) -> Option<Micros> {
        let is_idle = self.write_in_flight.is_none() && self.durable_records != self.queued_records;
        self.retry.filter(|_| is_idle).map(|retry| retry.at)
    }
}
