//! Binary format of the log. A segment is a header followed by batches; a batch is written and synced as a
//! unit.
//!
//! Header, 40 bytes: `FLXB`, version `u16`, zero `u16`, number `u64`, number and valid length of the previous
//! segment `u64` `u64` (both 0: none), zero `u32`, crc32c of all preceding bytes `u32`. Bytes of the previous
//! segment beyond its valid length, and all segments numbered between the two, were never durable and are
//! ignored.
//!
//! Batch: `BTCH`, length of its body `u32`, number `u64`, crc32c of length, number and body `u32`, body:
//! records. A batch is written only after all earlier ones are durable. An invalid batch that is followed by
//! a valid one of a higher number is therefore damaged; otherwise it is the torn end of an unsynced write.

use flaxstand_proto::Micros;

/// Oldest format version that this build reads.
pub const OLDEST_VERSION: u16 = 1;
/// Format version that this build writes.
pub const VERSION: u16 = 1;
/// Length of a segment header in bytes.
pub const HEADER_BYTES: usize = 40;
/// Length of a batch header in bytes.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Maximum length of a batch body in bytes.
pub const MAX_BATCH_BODY_BYTES: usize = 64 << 20;
const SEGMENT_MAGIC: &[u8; 4] = b"FLXB";
const BATCH_MAGIC: &[u8; 4] = b"BTCH";
/// Bytes that a write is counted in addition to its data.
const WRITE_OVERHEAD_BYTES: u64 = 256;

/// Record kinds, encoded as the first byte of a record.
mod tag {
    pub(super) const WRITE: u8 = 1;
    pub(super) const BARRIER: u8 = 2;
    pub(super) const STARTED: u8 = 3;
    pub(super) const PARKED: u8 = 4;
    pub(super) const DONE: u8 = 5;
}

/// Sequence number of a write or barrier, in the order of acceptance by the initiator. Starts at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// Identifies an extent of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExtentId {
    /// Volume number.
    pub volume: u64,
    /// Extent number within the volume.
    pub extent: u64,
}

/// A write, as submitted by a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Extent to write to.
    pub extent_id: ExtentId,
    /// Index of the class.
    pub class: u16,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Number of initiators that share the volume.
    pub volume_initiators: u16,
    /// Shard that holds the extent.
    pub shard: u32,
    /// Number of units charged for the write.
    pub units: u32,
    /// Idempotency key: nodes drop duplicates by it.
    pub operation: u64,
    /// Byte offset in the extent; `None` if the write replaces the whole extent.
    pub at: Option<u32>,
    /// Data to write.
    pub payload: Vec<u8>,
}

impl Write {
    /// Returns the bytes counted against the limits: the data and a fixed overhead.
    pub fn cost(&self) -> u64 {
        self.payload.len() as u64 + WRITE_OVERHEAD_BYTES
    }
}

/// Wall-clock time of the host, microseconds since 1970. Valid across restarts, but may be set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallClock(pub u64);

impl WallClock {
    /// Returns the time since `earlier`; `None` if `earlier` is later than `self`.
    pub fn since(self, earlier: WallClock) -> Option<Micros> {
        self.0.checked_sub(earlier.0).map(Micros)
    }
}

/// Record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A write was accepted.
    Write {
        /// Sequence number of the write.
        seq: Seq,
        /// Time of acceptance.
        accepted: WallClock,
        /// Earliest time at which an attempt may have been executed, if any was started.
        started: Option<WallClock>,
        /// Whether the write waits for an operator's decision.
        parked: bool,
        /// The write.
        write: Write,
    },
    /// A barrier was accepted: later items of the volume are not sent before all earlier ones are complete.
    Barrier {
        /// Sequence number of the barrier.
        seq: Seq,
        /// Volume of the barrier.
        volume: u64,
    },
    /// From now on an attempt of the write may be executed.
    Started {
        /// Sequence number of the write.
        seq: Seq,
        /// Time of the start.
        at: WallClock,
    },
    /// The write may have been executed and must not be retried: an operator decides.
    Parked {
        /// Sequence number of the write.
        seq: Seq,
    },
    /// The write was confirmed by its node, or the barrier was passed.
    Done {
        /// Sequence number of the write or barrier.
        seq: Seq,
    },
}

impl Record {
    /// Returns the sequence number of the write or barrier.
    pub fn seq(&self) -> Seq {
        match self {
            Record::Write { seq, .. }
            | Record::Barrier { seq, .. }
            | Record::Started { seq, .. }
            | Record::Parked { seq }
            | Record::Done { seq } => *seq,
        }
    }

    /// Appends the encoded record to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Record::Write { seq, accepted, started, parked, write } => {
                put_record_header(tag::WRITE, *seq, out);
                put_acceptance(*accepted, *started, *parked, out);
                put_write(write, out);
            }
            Record::Barrier { seq, volume } => {
                put_record_header(tag::BARRIER, *seq, out);
                out.extend_from_slice(&volume.to_le_bytes());
            }
            Record::Started { seq, at } => {
                put_record_header(tag::STARTED, *seq, out);
                out.extend_from_slice(&at.0.to_le_bytes());
            }
            Record::Parked { seq } => put_record_header(tag::PARKED, *seq, out),
            Record::Done { seq } => put_record_header(tag::DONE, *seq, out),
        }
    }

    fn decode(bytes: &mut Reader<'_>) -> Option<Record> {
        let kind = bytes.u8()?;
        let seq = Seq(bytes.u64()?);
        Some(match kind {
            tag::WRITE => Record::Write {
                seq,
                accepted: WallClock(bytes.u64()?),
                started: Some(bytes.u64()?).filter(|started| *started > 0).map(WallClock),
                parked: bytes.u8()? != 0,
                write: take_write(bytes)?,
            },
            tag::BARRIER => Record::Barrier { seq, volume: bytes.u64()? },
            tag::STARTED => Record::Started { seq, at: WallClock(bytes.u64()?) },
            tag::PARKED => Record::Parked { seq },
            tag::DONE => Record::Done { seq },
            _ => return None,
        })
    }
}

/// Appends the encoded [`Record::Write`] of a write that is neither started nor parked.
pub fn encode_new_write(seq: Seq, accepted: WallClock, write: &Write, out: &mut Vec<u8>) {
    put_record_header(tag::WRITE, seq, out);
    put_acceptance(accepted, None, false, out);
    put_write(write, out);
}

fn put_record_header(kind: u8, seq: Seq, out: &mut Vec<u8>) {
    out.push(kind);
    out.extend_from_slice(&seq.0.to_le_bytes());
}

/// Encodes `started: None` as 0.
fn put_acceptance(accepted: WallClock, started: Option<WallClock>, parked: bool, out: &mut Vec<u8>) {
    out.extend_from_slice(&accepted.0.to_le_bytes());
    out.extend_from_slice(&started.map_or(0, |started| started.0.max(1)).to_le_bytes());
    out.push(u8::from(parked));
}

fn put_write(write: &Write, out: &mut Vec<u8>) {
    out.extend_from_slice(&write.extent_id.volume.to_le_bytes());
    out.extend_from_slice(&write.extent_id.extent.to_le_bytes());
    out.extend_from_slice(&write.class.to_le_bytes());
    out.extend_from_slice(&write.plan.to_le_bytes());
    out.extend_from_slice(&write.volume_initiators.to_le_bytes());
    out.extend_from_slice(&write.shard.to_le_bytes());
    out.extend_from_slice(&write.units.to_le_bytes());
    out.extend_from_slice(&write.operation.to_le_bytes());
    out.push(u8::from(write.at.is_some()));
    out.extend_from_slice(&write.at.unwrap_or(0).to_le_bytes());
    out.extend_from_slice(&(write.payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&write.payload);
}

fn take_write(bytes: &mut Reader<'_>) -> Option<Write> {
    Some(Write {
        extent_id: ExtentId { volume: bytes.u64()?, extent: bytes.u64()? },
        class: bytes.u16()?,
        plan: bytes.u16()?,
        volume_initiators: bytes.u16()?,
        shard: bytes.u32()?,
        units: bytes.u32()?,
        operation: bytes.u64()?,
        at: take_offset(bytes)?,
        payload: take_payload(bytes)?,
    })
}

/// Reads a presence flag and the offset. The outer `None` means that the input is too short.
fn take_offset(bytes: &mut Reader<'_>) -> Option<Option<u32>> {
    let is_present = bytes.u8()? != 0;
    let at = bytes.u32()?;
    Some(is_present.then_some(at))
}

fn take_payload(bytes: &mut Reader<'_>) -> Option<Vec<u8>> {
    let length = bytes.u32()?;
    Some(bytes.take(length as usize)?.to_vec())
}

/// Remaining input. Each read returns `None` if the input is too short.
struct Reader<'a>(&'a [u8]);

macro_rules! integer_reader {
    ($name:ident, $type:ty) => {
        fn $name(&mut self) -> Option<$type> {
            let (head, tail) = self.0.split_first_chunk()?;
            self.0 = tail;
            Some(<$type>::from_le_bytes(*head))
        }
    };
}

impl<'a> Reader<'a> {
    integer_reader!(u8, u8);
    integer_reader!(u16, u16);
    integer_reader!(u32, u32);
    integer_reader!(u64, u64);

    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(len)?;
        self.0 = tail;
        Some(head)
    }
}

/// A segment with its valid length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentEnd {
    /// Segment number.
    pub number: u64,
    /// Valid length in bytes.
    pub length: u64,
}

/// Segment header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Format version of the segment.
    pub version: u16,
    /// Segment number, starting at 1.
    pub number: u64,
    /// Previous segment; `None` for the first one.
    pub previous: Option<SegmentEnd>,
}

impl Header {
    /// Encodes the header.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = SEGMENT_MAGIC.to_vec();
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0; 2]);
        let previous = self.previous.unwrap_or(SegmentEnd { number: 0, length: 0 });
        for value in [self.number, previous.number, previous.length] {
            out.extend_from_slice(&value.to_le_bytes());
        }
        out.extend_from_slice(&[0; 4]);
        let crc = crc32c::crc32c(&out);
        out.extend_from_slice(&crc.to_le_bytes());
        out
    }

    /// Decodes the header at the start of a segment. Returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let head: &[u8; HEADER_BYTES] = bytes.first_chunk()?;
        let mut bytes = Reader(&head[..]);
        let is_magic = bytes.take(SEGMENT_MAGIC.len())? == SEGMENT_MAGIC;
        let version = bytes.u16()?;
        bytes.u16()?;
        let number = bytes.u64()?;
        let previous = SegmentEnd { number: bytes.u64()?, length: bytes.u64()? };
        bytes.u32()?;
        let is_valid = is_magic && bytes.u32()? == crc32c::crc32c(&head[..HEADER_BYTES - 4]);
        is_valid.then_some(Header { version, number, previous: (previous.number > 0).then_some(previous) })
    }
}

/// Encodes a batch. `body`: the encoded records.
pub fn encode_batch(number: u64, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(BATCH_HEADER_BYTES + body.len());
    out.extend_from_slice(BATCH_MAGIC);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    let crc = batch_crc(&out[BATCH_MAGIC.len()..], body);
    out.extend_from_slice(&crc.to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// Computes the checksum of a batch. `prefix`: its encoded length and number.
fn batch_crc(prefix: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(prefix), body)
}

/// A decoded batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedBatch {
    /// Batch number.
    pub number: u64,
    /// Records in order.
    pub records: Vec<Record>,
    /// Length in bytes, including the header.
    pub length: usize,
}

/// Decodes the batch at the start of `bytes`. Returns `None` if there is no valid batch.
pub fn decode_batch(bytes: &[u8]) -> Option<DecodedBatch> {
    let mut rest = Reader(bytes);
    if rest.take(BATCH_MAGIC.len())? != BATCH_MAGIC {
        return None;
    }
    let length = rest.u32()? as usize;
    let number = rest.u64()?;
    let crc = rest.u32()?;
    let body = rest.take(length).filter(|_| length <= MAX_BATCH_BODY_BYTES)?;
    if batch_crc(&bytes[BATCH_MAGIC.len()..BATCH_HEADER_BYTES - 4], body) != crc {
        return None;
    }
    let mut body = Reader(body);
    let mut records = Vec::new();
    while !body.0.is_empty() {
        records.push(Record::decode(&mut body)?);
    }
    Some(DecodedBatch { number, records, length: BATCH_HEADER_BYTES + length })
}

/// Returns the offset of the first valid batch at or after `from`.
pub fn next_batch(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes.get(at..)?.windows(BATCH_MAGIC.len()).position(|w| w == BATCH_MAGIC) {
        at += found;
        if decode_batch(&bytes[at..]).is_some() {
            return Some(at);
        }
        at += 1;
    }
    None
}
