//! Recovery of a log. Recovery itself writes nothing: the first segment of the new process states the valid
//! length of the last segment.

use crate::log::{DurableLog, Log};
use crate::record::{
    HEADER_BYTES, Header, OLDEST_VERSION, Record, SegmentEnd, Seq, VERSION, WallClock, Write, decode_batch,
    encode_batch, next_batch,
};
use flaxstand_storage::Storage;
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Failure to read or write a log. Recovery itself never changes the log.
#[derive(Debug, Error)]
pub enum RecoverError {
    /// Reading or writing the storage failed.
    #[error("write-back log I/O failed: {0}")]
    Io(#[from] io::Error),
    /// A later build wrote the segment.
    #[error("segment {segment:016x} has version {version}, this build reads {OLDEST_VERSION} to {VERSION}")]
    UnsupportedVersion {
        /// Number of the segment.
        segment: u64,
        /// Format version of the segment.
        version: u16,
    },
    /// Durable data is missing or invalid.
    #[error("segment {segment:016x} is damaged at byte {at}: {reason}")]
    Damaged {
        /// Number of the segment.
        segment: u64,
        /// Offset of the damage.
        at: u64,
        /// Description of the damage.
        reason: &'static str,
    },
}

/// A write whose completion is not recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveWrite {
    /// Time of acceptance.
    pub accepted: WallClock,
    /// Earliest time at which an attempt may have been executed, if a start is recorded.
    pub started: Option<WallClock>,
    /// Whether the write waits for an operator's decision.
    pub parked: bool,
    /// The write.
    pub write: Write,
}

/// A write or barrier whose completion is not recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LiveRecord {
    /// A write.
    Write(LiveWrite),
    /// A barrier.
    Barrier {
        /// Volume of the barrier.
        volume: u64,
    },
}

/// A recovered log.
#[derive(Debug)]
pub struct Recovered {
    /// The log, ready for new records.
    pub log: Log,
    /// Live writes and barriers in order.
    pub live: BTreeMap<Seq, LiveRecord>,
    /// Highest sequence number in the log.
    pub last: Seq,
    /// Segments with their valid lengths, oldest first.
    pub segments: Vec<SegmentEnd>,
    /// Number of records read.
    pub records: u64,
    /// Number of unsynced bytes at the end, which are discarded.
    pub torn_bytes: u64,
}

fn damaged(segment: u64, at: usize, reason: &'static str) -> RecoverError {
    RecoverError::Damaged { segment, at: at as u64, reason }
}

/// A segment with a valid header.
struct Segment {
    number: u64,
    /// Valid length according to the next segment's header; `None` for the newest segment.
    valid_length: Option<u64>,
    bytes: Vec<u8>,
}

impl Segment {
    /// Returns the valid bytes.
    fn valid(&self) -> Result<&[u8], RecoverError> {
        let end = self.valid_length.map_or(self.bytes.len(), |length| length as usize);
        let too_short = || {
            damaged(self.number, self.bytes.len(), "it is shorter than the valid length in the next header")
        };
        self.bytes.get(..end).ok_or_else(too_short)
    }

    /// Applies the batches to `state`. Returns the offset of their end.
    fn replay(&self, state: &mut ReplayState) -> Result<usize, RecoverError> {
        let bytes = self.valid()?;
        let mut at = HEADER_BYTES;
        while at < bytes.len() {
            let Some(batch) = decode_batch(&bytes[at..]) else {
                if self.valid_length.is_some() || next_batch(bytes, at + 1).is_some() {
                    let reason = "a batch is invalid although later ones are durable";
                    return Err(damaged(self.number, at, reason));
                }
                break;
            };
            if batch.number <= state.last_batch {
                return Err(damaged(self.number, at, "the batch number is not higher than the previous one"));
            }
            state.last_batch = batch.number;
            batch.records.into_iter().for_each(|record| state.apply(record, self.number));
            at += batch.length;
        }
        Ok(at)
    }
}

/// Chain of segments, followed by their headers from the newest one back.
#[derive(Default)]
struct Headers {
    /// Segments, oldest first; each is referenced by the next one's header.
    chain: Vec<Segment>,
    /// Segments without valid content.
    abandoned: Vec<u64>,
    /// Bytes of newest segments without a durable header.
    torn_bytes: u64,
}

fn read_headers(storage: &mut dyn Storage, numbers: &[u64]) -> Result<Headers, RecoverError> {
    let mut headers = Headers::default();
    let mut expected: Option<SegmentEnd> = None;
    for &number in numbers.iter().rev() {
        // A segment skipped by the chain of headers was abandoned before it was durable.
        let expected_number = expected.map_or(0, |expected| expected.number);
        if !headers.chain.is_empty() && number > expected_number {
            headers.abandoned.push(number);
            continue;
        }
        if number < expected_number {
            return Err(damaged(expected_number, 0, "it is missing although an older one exists"));
        }
        let bytes = storage.read(number)?;
        let Some(header) = Header::decode(&bytes).filter(|header| header.number == number) else {
            let body = bytes.len().min(HEADER_BYTES);
            if headers.chain.is_empty() && next_batch(&bytes, body).is_none() {
                // The process crashed or power was lost before the header was durable.
                headers.torn_bytes += bytes.len() as u64;
                headers.abandoned.push(number);
                continue;
            }
            return Err(damaged(number, 0, "its header is invalid"));
        };
        if !(OLDEST_VERSION..=VERSION).contains(&header.version) {
            return Err(RecoverError::UnsupportedVersion { segment: number, version: header.version });
        }
        headers.chain.push(Segment { number, valid_length: expected.map(|expected| expected.length), bytes });
        expected = header.previous;
    }
    headers.chain.reverse();
    Ok(headers)
}

/// Recovers a log.
///
/// # Errors
/// If the log can't be read, has an unsupported version, or is damaged in its durable part. The log is
/// unchanged.
pub fn recover(storage: &mut dyn Storage) -> Result<Recovered, RecoverError> {
    let numbers = storage.segments()?;
    let Headers { chain, abandoned, mut torn_bytes } = read_headers(storage, &numbers)?;
    let mut state = ReplayState::default();
    let mut segments = Vec::new();
    for segment in &chain {
        let end = segment.replay(&mut state)?;
        torn_bytes += (segment.valid()?.len() - end) as u64;
        segments.push(SegmentEnd { number: segment.number, length: end as u64 });
    }
    let log = Log::new(DurableLog {
        segments: segments.clone(),
        locations: state.locations,
        abandoned,
        last_segment: numbers.last().copied().unwrap_or(0),
        last_batch: state.last_batch,
    });
    let ReplayState { live, last, records, .. } = state;
    Ok(Recovered { log, live, last, segments, records, torn_bytes })
}

/// State after the records read so far.
#[derive(Default)]
struct ReplayState {
    live: BTreeMap<Seq, LiveRecord>,
    /// Segment of each live write and barrier.
    locations: BTreeMap<Seq, u64>,
    last: Seq,
    last_batch: u64,
    records: u64,
}

impl ReplayState {
    fn apply(&mut self, record: Record, segment: u64) {
        self.records += 1;
        self.last = self.last.max(record.seq());
        match record {
            Record::Write { seq, accepted, started, parked, write } => {
                self.live.insert(seq, LiveRecord::Write(LiveWrite { accepted, started, parked, write }));
                self.locations.insert(seq, segment);
            }
            Record::Barrier { seq, volume } => {
                self.live.insert(seq, LiveRecord::Barrier { volume });
                self.locations.insert(seq, segment);
            }
            Record::Started { seq, at } => {
                if let Some(LiveRecord::Write(write)) = self.live.get_mut(&seq) {
                    write.started = write.started.or(Some(at));
                }
            }
            Record::Parked { seq } => {
                if let Some(LiveRecord::Write(write)) = self.live.get_mut(&seq) {
                    write.parked = true;
                }
            }
            Record::Done { seq } => {
                self.live.remove(&seq);
                self.locations.remove(&seq);
            }
        }
    }
}

/// Salvages a damaged log: copies all readable live records to one new segment and quarantines the old ones.
/// Returns the number of writes and barriers kept.
///
/// The records of a damaged batch are lost: its writes are not replayed, and a write whose completion it
/// recorded is replayed although it is complete. An operator must decide to accept this in order to start.
///
/// # Errors
/// If the storage fails.
pub fn salvage(storage: &mut dyn Storage) -> Result<usize, RecoverError> {
    let numbers = storage.segments()?;
    let mut state = ReplayState::default();
    for number in &numbers {
        salvage_segment(&storage.read(*number)?, *number, &mut state);
    }
    let salvaged = state.live.len();
    let new_segment = numbers.last().copied().unwrap_or(0) + 1;
    write_salvaged(storage, new_segment, state)?;
    // The new segment references no previous one, so that from here on the old ones are ignored.
    for old in &numbers {
        storage.quarantine(*old)?;
    }
    storage.sync_folder()?;
    Ok(salvaged)
}

/// Applies every valid batch.
fn salvage_segment(bytes: &[u8], number: u64, state: &mut ReplayState) {
    let mut at = 0;
    while let Some(found) = next_batch(bytes, at) {
        let Some(batch) = decode_batch(&bytes[found..]) else { break };
        state.last_batch = state.last_batch.max(batch.number);
        batch.records.into_iter().for_each(|record| state.apply(record, number));
        at = found + batch.length;
    }
}

fn write_salvaged(
    storage: &mut dyn Storage,
    number: u64,
    mut state: ReplayState,
) -> Result<(), RecoverError> {
    let header = Header { version: VERSION, number, previous: None };
    storage.create(number)?;
    storage.append(number, &header.encode())?;
    for (seq, live) in state.live {
        let mut body = Vec::new();
        live.into_record(seq).encode(&mut body);
        state.last_batch += 1;
        storage.append(number, &encode_batch(state.last_batch, &body))?;
    }
    storage.sync(number)?;
    storage.sync_folder()?;
    Ok(())
}

impl LiveRecord {
    fn into_record(self, seq: Seq) -> Record {
        match self {
            LiveRecord::Write(LiveWrite { accepted, started, parked, write }) => {
                Record::Write { seq, accepted, started, parked, write }
            }
            LiveRecord::Barrier { volume } => Record::Barrier { seq, volume },
        }
    }
}
