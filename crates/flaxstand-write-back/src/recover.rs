//! Reading a log back. Nothing is written: the next process's first segment says where the last one's ends.

use crate::log::{DurableLog, Log};
use crate::record::{
    HEADER_BYTES, Header, OLDEST_VERSION, Record, SegmentEnd, Seq, VERSION, WallClock, Write, decode_batch,
    encode_batch, next_batch,
};
use flaxstand_storage::Storage;
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Why a log can't be used. Nothing of it was touched.
#[derive(Debug, Error)]
pub enum RecoverError {
    /// The system reports a failure.
    #[error("the log can't be read: {0}")]
    Io(#[from] io::Error),
    /// A later build wrote it.
    #[error("segment {segment:016x} has version {version}, this build reads {OLDEST_VERSION} to {VERSION}")]
    Newer {
        /// The segment's number.
        segment: u64,
        /// Its version.
        version: u16,
    },
    /// What once was durable is not there as it was written.
    #[error("segment {segment:016x} is damaged at byte {at}: {how}")]
    Damaged {
        /// The segment's number.
        segment: u64,
        /// Offset of the damage.
        at: u64,
        /// What is wrong.
        how: &'static str,
    },
}

/// A write that is not known to be on its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveWrite {
    /// When it was accepted.
    pub accepted: WallClock,
    /// When its first attempt may have been executed, where that is recorded.
    pub started: Option<WallClock>,
    /// It waits for an operator.
    pub parked: bool,
    /// The write.
    pub write: Write,
}

/// What lives in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LiveRecord {
    /// A write that is not known to be on its node.
    Write(LiveWrite),
    /// A barrier that is not known to have been passed.
    Barrier {
        /// Its volume.
        volume: u64,
    },
}

/// A log that was read back.
#[derive(Debug)]
pub struct Recovered {
    /// The log, ready to go on.
    pub log: Log,
    /// What lives in it, in order.
    pub live: BTreeMap<Seq, LiveRecord>,
    /// The highest number given to anything in it.
    pub last: Seq,
    /// Segments with their valid lengths, oldest first.
    pub segments: Vec<SegmentEnd>,
    /// Records read.
    pub records: u64,
    /// Bytes at the end that were never synced, and are cut off.
    pub torn: u64,
}

fn damaged(segment: u64, at: usize, how: &'static str) -> RecoverError {
    RecoverError::Damaged { segment, at: at as u64, how }
}

/// A segment whose header is sound.
struct Segment {
    number: u64,
    /// Valid length as the next segment's header says it; `None` of the newest.
    valid_length: Option<u64>,
    bytes: Vec<u8>,
}

impl Segment {
    /// Its valid bytes.
    fn valid(&self) -> Result<&[u8], RecoverError> {
        let end = self.valid_length.map_or(self.bytes.len(), |length| length as usize);
        let too_short = || damaged(self.number, self.bytes.len(), "it is shorter than it was");
        self.bytes.get(..end).ok_or_else(too_short)
    }

    /// Reads its batches into `state`. Returns the offset where they end.
    fn replay(&self, state: &mut ReplayState) -> Result<usize, RecoverError> {
        let bytes = self.valid()?;
        let mut at = HEADER_BYTES;
        while at < bytes.len() {
            let Some(batch) = decode_batch(&bytes[at..]) else {
                if self.valid_length.is_some() || next_batch(bytes, at + 1).is_some() {
                    let how = "a batch is not sound, though later ones are durable";
                    return Err(damaged(self.number, at, how));
                }
                break;
            };
            if batch.number <= state.last_batch {
                return Err(damaged(self.number, at, "a batch is out of turn"));
            }
            state.last_batch = batch.number;
            batch.records.into_iter().for_each(|record| state.apply(record, self.number));
            at += batch.length;
        }
        Ok(at)
    }
}

/// What the headers say, followed from the newest segment back.
#[derive(Default)]
struct Headers {
    /// Segments from the oldest, each named by the next one's header.
    chain: Vec<Segment>,
    /// Segments that count for nothing.
    void: Vec<u64>,
    /// Bytes of a newest segment that was never durable.
    torn: u64,
}

fn read_headers(storage: &mut dyn Storage, numbers: &[u64]) -> Result<Headers, RecoverError> {
    let mut headers = Headers::default();
    let mut wanted: Option<SegmentEnd> = None;
    for &number in numbers.iter().rev() {
        // What a segment does not name as the one before it was given up before it was durable.
        let wanted_number = wanted.map_or(0, |wanted| wanted.number);
        if !headers.chain.is_empty() && number > wanted_number {
            headers.void.push(number);
            continue;
        }
        if number < wanted_number {
            return Err(damaged(wanted_number, 0, "it is missing, though an older one is there"));
        }
        let bytes = storage.read(number)?;
        let Some(header) = Header::decode(&bytes).filter(|header| header.number == number) else {
            let body = bytes.len().min(HEADER_BYTES);
            if headers.chain.is_empty() && next_batch(&bytes, body).is_none() {
                // The process died, or power was lost, before its header was durable.
                headers.torn += bytes.len() as u64;
                headers.void.push(number);
                continue;
            }
            return Err(damaged(number, 0, "its header is not sound"));
        };
        if !(OLDEST_VERSION..=VERSION).contains(&header.version) {
            return Err(RecoverError::Newer { segment: number, version: header.version });
        }
        headers.chain.push(Segment { number, valid_length: wanted.map(|wanted| wanted.length), bytes });
        wanted = header.before;
    }
    headers.chain.reverse();
    Ok(headers)
}

/// Reads a log back.
///
/// # Errors
/// It can't be read, is of a newer version, or is damaged where it was durable. Nothing of it is changed.
pub fn recover(storage: &mut dyn Storage) -> Result<Recovered, RecoverError> {
    let numbers = storage.segments()?;
    let Headers { chain, void, mut torn } = read_headers(storage, &numbers)?;
    let mut state = ReplayState::default();
    let mut segments = Vec::new();
    for segment in &chain {
        let end = segment.replay(&mut state)?;
        torn += (segment.valid()?.len() - end) as u64;
        segments.push(SegmentEnd { number: segment.number, length: end as u64 });
    }
    let log = Log::new(DurableLog {
        segments: segments.clone(),
        placed: state.placed,
        void,
        last_segment: numbers.last().copied().unwrap_or(0),
        last_batch: state.last_batch,
    });
    let ReplayState { live, last, records, .. } = state;
    Ok(Recovered { log, live, last, segments, records, torn })
}

/// What the records read so far come to.
#[derive(Default)]
struct ReplayState {
    live: BTreeMap<Seq, LiveRecord>,
    /// Segment of each live write and barrier.
    placed: BTreeMap<Seq, u64>,
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
                self.placed.insert(seq, segment);
            }
            Record::Barrier { seq, volume } => {
                self.live.insert(seq, LiveRecord::Barrier { volume });
                self.placed.insert(seq, segment);
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
                self.placed.remove(&seq);
            }
        }
    }
}

/// Makes a damaged log usable: everything that can still be read goes to one new segment, the old ones are
/// set aside. Returns how many writes and barriers were kept.
///
/// What a damaged batch held is lost to the log: its writes are not replayed, or, where it held the record of a
/// write's completion, that write is replayed though it is done. An operator decides that this is better than
/// not to start.
///
/// # Errors
/// The storage fails.
pub fn salvage(storage: &mut dyn Storage) -> Result<usize, RecoverError> {
    let numbers = storage.segments()?;
    let mut state = ReplayState::default();
    for number in &numbers {
        salvage_segment(&storage.read(*number)?, *number, &mut state);
    }
    let salvaged = state.live.len();
    let new_segment = numbers.last().copied().unwrap_or(0) + 1;
    write_salvaged(storage, new_segment, state)?;
    // The new one names none before it: the old ones count for nothing from here on.
    for old in &numbers {
        storage.set_aside(*old)?;
    }
    storage.sync_folder()?;
    Ok(salvaged)
}

/// Applies every batch that can be read.
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
    let header = Header { version: VERSION, number, before: None };
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
