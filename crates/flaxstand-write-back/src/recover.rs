//! Reading a log back. Nothing is written: the next life's first segment says where the last one's ends.

use crate::log::Log;
use crate::record::{
    HEADER, Header, Record, Seq, VERSION, VERSION_OLDEST, WallClock, Write, decode_batch, next_batch,
};
use flaxstand_storage::Storage;
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Why a log can't be used. Nothing of it was touched.
#[derive(Debug, Error)]
pub enum RecoverError {
    /// The system says so.
    #[error("the log can't be read: {0}")]
    Io(#[from] io::Error),
    /// A later build wrote it.
    #[error("segment {segment:016x} has version {version}, this build reads {VERSION_OLDEST} to {VERSION}")]
    Newer {
        /// Which segment.
        segment: u64,
        /// Its version.
        version: u16,
    },
    /// What once was durable is not there as it was written.
    #[error("segment {segment:016x} is damaged at byte {at}: {how}")]
    Damaged {
        /// Which segment.
        segment: u64,
        /// Where.
        at: u64,
        /// What is wrong.
        how: &'static str,
    },
}

/// What lives in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LiveRecord {
    /// A write that is not known to be on its node.
    Write {
        /// When it was taken.
        taken: WallClock,
        /// When its first attempt may have run, where that is recorded.
        started: Option<WallClock>,
        /// It waits for an operator.
        parked: bool,
        /// The write.
        write: Write,
    },
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
    /// Segments with their valid lengths, bytes.
    pub segments: Vec<(u64, u64)>,
    /// Records read.
    pub records: u64,
    /// Bytes at the end that were never synced, and are cut off.
    pub torn: u64,
}

/// A sound chain of segments: numbers with valid lengths, from the oldest. None: the length is not told.
type Chain = Vec<(u64, Option<u64>, Vec<u8>)>;

fn damaged(segment: u64, at: usize, how: &'static str) -> RecoverError {
    RecoverError::Damaged { segment, at: at as u64, how }
}

/// What the headers say, followed from the newest segment back.
struct Headers {
    chain: Chain,
    /// Segments that count for nothing.
    void: Vec<u64>,
    torn: u64,
}

fn headers(storage: &mut dyn Storage, numbers: &[u64]) -> Result<Headers, RecoverError> {
    let mut chain: Chain = Vec::new();
    let (mut torn, mut void) = (0, Vec::new());
    let mut next: Option<(u64, u64)> = None;
    for &number in numbers.iter().rev() {
        // What a segment does not name as the one before it was given up before it was durable.
        let wanted = next.map_or(0, |(wanted, _)| wanted);
        if !chain.is_empty() && number > wanted {
            void.push(number);
            continue;
        }
        if number < wanted {
            return Err(damaged(wanted, 0, "it is missing, though an older one is there"));
        }
        let bytes = storage.read(number)?;
        let Some(header) = Header::decode(&bytes).filter(|h| h.number == number) else {
            let head = bytes.len().min(HEADER);
            if chain.is_empty() && next_batch(&bytes, head).is_none() {
                // Its maker died, or lost power, before its header was durable.
                torn += bytes.len() as u64;
                void.push(number);
                continue;
            }
            return Err(damaged(number, 0, "its header is not sound"));
        };
        if !(VERSION_OLDEST..=VERSION).contains(&header.version) {
            return Err(RecoverError::Newer { segment: number, version: header.version });
        }
        chain.push((number, next.map(|(_, len)| len), bytes));
        next = header.before;
    }
    chain.reverse();
    Ok(Headers { chain, void, torn })
}

/// Reads a log back.
///
/// # Errors
/// It can't be read, is of a newer version, or is damaged where it was durable. Nothing of it is changed.
pub fn recover(storage: &mut dyn Storage) -> Result<Recovered, RecoverError> {
    let numbers = storage.segments()?;
    let highest = numbers.last().copied().unwrap_or(0);
    let Headers { chain, void, mut torn } = headers(storage, &numbers)?;
    let mut state = State::default();
    let mut segments = Vec::new();
    for (number, told, bytes) in &chain {
        let end = told.map_or(bytes.len(), |len| len as usize);
        if end > bytes.len() {
            return Err(damaged(*number, bytes.len(), "it is shorter than it was"));
        }
        let bytes = &bytes[..end];
        let mut at = HEADER;
        while at < bytes.len() {
            let Some((batch, records, len)) = decode_batch(&bytes[at..]) else {
                if told.is_some() || next_batch(bytes, at + 1).is_some() {
                    return Err(damaged(*number, at, "a batch is not sound, though later ones are durable"));
                }
                break;
            };
            if batch <= state.batch {
                return Err(damaged(*number, at, "a batch is out of turn"));
            }
            state.batch = batch;
            records.into_iter().for_each(|record| state.take(record, *number));
            at += len;
        }
        torn += (bytes.len() - at) as u64;
        segments.push((*number, at as u64));
    }
    let State { live, placed, last, batch, records } = state;
    let log = Log::new(&segments, placed, void, highest, batch);
    Ok(Recovered { log, live, last, segments, records, torn })
}

#[derive(Default)]
struct State {
    live: BTreeMap<Seq, LiveRecord>,
    placed: BTreeMap<Seq, u64>,
    last: Seq,
    batch: u64,
    records: u64,
}

impl State {
    fn take(&mut self, record: Record, segment: u64) {
        self.records += 1;
        self.last = self.last.max(record.seq());
        match record {
            Record::Write { seq, taken, started, parked, write } => {
                self.live.insert(seq, LiveRecord::Write { taken, started, parked, write });
                self.placed.insert(seq, segment);
            }
            Record::Barrier { seq, volume } => {
                self.live.insert(seq, LiveRecord::Barrier { volume });
                self.placed.insert(seq, segment);
            }
            Record::Started { seq, at } => {
                if let Some(LiveRecord::Write { started, .. }) = self.live.get_mut(&seq) {
                    *started = started.or(Some(at));
                }
            }
            Record::Parked { seq } => {
                if let Some(LiveRecord::Write { parked, .. }) = self.live.get_mut(&seq) {
                    *parked = true;
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
/// What a damaged batch held is lost to the log: its writes are not replayed, or, where it held word of a write's
/// end, that write is replayed though it had been. An operator decides that this is better than not to start.
///
/// # Errors
/// The storage fails.
pub fn salvage(storage: &mut dyn Storage) -> Result<usize, RecoverError> {
    let numbers = storage.segments()?;
    let mut state = State::default();
    for number in &numbers {
        let bytes = storage.read(*number)?;
        let mut at = 0;
        while let Some(found) = next_batch(&bytes, at) {
            let Some((batch, records, len)) = decode_batch(&bytes[found..]) else { break };
            state.batch = state.batch.max(batch);
            records.into_iter().for_each(|record| state.take(record, *number));
            at = found + len;
        }
    }
    let kept = state.live.len();
    let number = numbers.last().copied().unwrap_or(0) + 1;
    let header = Header { version: VERSION, number, before: None };
    storage.create(number)?;
    storage.append(number, &header.encode())?;
    for (seq, live) in state.live {
        let record = match live {
            LiveRecord::Write { taken, started, parked, write } => {
                Record::Write { seq, taken, started, parked, write }
            }
            LiveRecord::Barrier { volume } => Record::Barrier { seq, volume },
        };
        let mut body = Vec::new();
        record.encode(&mut body);
        state.batch += 1;
        storage.append(number, &crate::record::encode_batch(state.batch, &body))?;
    }
    storage.sync(number)?;
    storage.sync_folder()?;
    // The new one names none before it: the old ones count for nothing from here on.
    for old in &numbers {
        storage.set_aside(*old)?;
    }
    storage.sync_folder()?;
    Ok(kept)
}
