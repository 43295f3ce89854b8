//! The log's bytes. A segment is a header, then batches; a batch is written and synced as one.
//!
//! Header, 40 bytes: `FLXB`, version `u16`, zero `u16`, number `u64`, number and valid length of the segment
//! before it `u64` `u64` (both 0: none), zero `u32`, crc32c of all before it `u32`. What lies beyond that length in that segment,
//! and every segment between the two, was never durable and counts for nothing.
//!
//! Batch: `BTCH`, length of its body `u32`, number `u64`, crc32c of length, number and body `u32`, body: records.
//! A batch is written only once all before it are durable. So a bad batch with a good one of a higher number
//! after it is damage; without one it is the torn end of what was never synced.

use flaxstand_proto::Micros;

/// Oldest version of the log that this build reads.
pub const OLDEST_VERSION: u16 = 1;
/// Version that it writes.
pub const VERSION: u16 = 1;
/// Bytes of a segment's header.
pub const HEADER_BYTES: usize = 40;
/// Bytes of a batch before its body.
pub const BATCH_HEADER_BYTES: usize = 20;
/// Longest body of a batch, bytes.
pub const MAX_BATCH_BODY_BYTES: usize = 64 << 20;
const SEGMENT_MAGIC: &[u8; 4] = b"FLXB";
const BATCH_MAGIC: &[u8; 4] = b"BTCH";
/// Bytes that a write takes in the buffer beside its data.
const WRITE_OVERHEAD_BYTES: u64 = 256;

/// First byte of a record: its kind.
mod tag {
    pub(super) const WRITE: u8 = 1;
    pub(super) const BARRIER: u8 = 2;
    pub(super) const STARTED: u8 = 3;
    pub(super) const PARKED: u8 = 4;
    pub(super) const DONE: u8 = 5;
}

/// Number of a write or barrier in the order in which an initiator accepted them. From 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seq(pub u64);

/// Where data lies: an extent of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExtentId {
    /// The volume.
    pub volume: u64,
    /// The extent.
    pub extent: u64,
}

/// A write, as its client asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Where to.
    pub extent_id: ExtentId,
    /// Index of its class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// Initiators that share the volume.
    pub volume_initiators: u16,
    /// The shard that holds the extent.
    pub shard: u32,
    /// Units it counts.
    pub units: u32,
    /// Its key: nodes drop repeats of it.
    pub operation: u64,
    /// The byte of the extent at which it begins; none: it replaces the whole extent.
    pub at: Option<u32>,
    /// The data.
    pub payload: Vec<u8>,
}

impl Write {
    /// What it counts against limits: its data and a fixed overhead, bytes.
    pub fn cost(&self) -> u64 {
        self.payload.len() as u64 + WRITE_OVERHEAD_BYTES
    }
}

/// A moment of the host's calendar, microseconds since 1970. It outlives a restart; it may be set back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallClock(pub u64);

impl WallClock {
    /// Time since `earlier`; none if the calendar says that is later.
    pub fn since(self, earlier: WallClock) -> Option<Micros> {
        self.0.checked_sub(earlier.0).map(Micros)
    }
}

/// One fact that must outlive the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A write was accepted.
    Write {
        /// Its number.
        seq: Seq,
        /// When it was accepted.
        accepted: WallClock,
        /// When its first attempt may have been executed, if one may.
        started: Option<WallClock>,
        /// It waits for an operator.
        parked: bool,
        /// The write.
        write: Write,
    },
    /// A barrier was accepted: nothing of the volume after it is sent before all that is before it is done.
    Barrier {
        /// Its number.
        seq: Seq,
        /// The volume.
        volume: u64,
    },
    /// An attempt of this write may be executed from now on.
    Started {
        /// The write.
        seq: Seq,
        /// When.
        at: WallClock,
    },
    /// It may have been executed and must not be repeated: an operator decides.
    Parked {
        /// The write.
        seq: Seq,
    },
    /// The write is on its node, or the barrier has been passed.
    Done {
        /// Which.
        seq: Seq,
    },
}

impl Record {
    /// The write or barrier that it is about.
    pub fn seq(&self) -> Seq {
        match self {
            Record::Write { seq, .. }
            | Record::Barrier { seq, .. }
            | Record::Started { seq, .. }
            | Record::Parked { seq }
            | Record::Done { seq } => *seq,
        }
    }

    /// Appends its bytes.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Record::Write { seq, accepted, started, parked, write } => {
                put_head(tag::WRITE, *seq, out);
                put_acceptance(*accepted, *started, *parked, out);
                put_write(write, out);
            }
            Record::Barrier { seq, volume } => {
                put_head(tag::BARRIER, *seq, out);
                out.extend_from_slice(&volume.to_le_bytes());
            }
            Record::Started { seq, at } => {
                put_head(tag::STARTED, *seq, out);
                out.extend_from_slice(&at.0.to_le_bytes());
            }
            Record::Parked { seq } => put_head(tag::PARKED, *seq, out),
            Record::Done { seq } => put_head(tag::DONE, *seq, out),
        }
    }

    fn decode(bytes: &mut Bytes<'_>) -> Option<Record> {
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

/// Appends the bytes of a [`Record::Write`] of a write that is neither started nor parked.
pub fn encode_new_write(seq: Seq, accepted: WallClock, write: &Write, out: &mut Vec<u8>) {
    put_head(tag::WRITE, seq, out);
    put_acceptance(accepted, None, false, out);
    put_write(write, out);
}

fn put_head(kind: u8, seq: Seq, out: &mut Vec<u8>) {
    out.push(kind);
    out.extend_from_slice(&seq.0.to_le_bytes());
}

/// A start of 0 stands for none.
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

fn take_write(bytes: &mut Bytes<'_>) -> Option<Write> {
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

/// A flag whether the offset is there, and the offset. The outer `None`: the bytes end too early.
fn take_offset(bytes: &mut Bytes<'_>) -> Option<Option<u32>> {
    let is_there = bytes.u8()? != 0;
    let at = bytes.u32()?;
    Some(is_there.then_some(at))
}

fn take_payload(bytes: &mut Bytes<'_>) -> Option<Vec<u8>> {
    let length = bytes.u32()?;
    Some(bytes.take(length as usize)?.to_vec())
}

/// Bytes that are still to be read. Each reader returns `None` where they end too early.
struct Bytes<'a>(&'a [u8]);

macro_rules! number {
    ($name:ident, $type:ty) => {
        fn $name(&mut self) -> Option<$type> {
            let (head, tail) = self.0.split_first_chunk()?;
            self.0 = tail;
            Some(<$type>::from_le_bytes(*head))
        }
    };
}

impl<'a> Bytes<'a> {
    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);

    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(len)?;
        self.0 = tail;
        Some(head)
    }
}

/// A segment and how much of it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentEnd {
    /// The segment's number.
    pub number: u64,
    /// Its valid length, bytes.
    pub length: u64,
}

/// A segment's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Version of the segment's format.
    pub version: u16,
    /// The segment's number, from 1.
    pub number: u64,
    /// The segment before it; `None`: it is the first.
    pub before: Option<SegmentEnd>,
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = SEGMENT_MAGIC.to_vec();
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0; 2]);
        let before = self.before.unwrap_or(SegmentEnd { number: 0, length: 0 });
        for value in [self.number, before.number, before.length] {
            out.extend_from_slice(&value.to_le_bytes());
        }
        out.extend_from_slice(&[0; 4]);
        let crc = crc32c::crc32c(&out);
        out.extend_from_slice(&crc.to_le_bytes());
        out
    }

    /// From the first bytes of a segment. `None`: they are no sound header.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let head: &[u8; HEADER_BYTES] = bytes.first_chunk()?;
        let mut bytes = Bytes(&head[..]);
        let is_magic = bytes.take(SEGMENT_MAGIC.len())? == SEGMENT_MAGIC;
        let version = bytes.u16()?;
        bytes.u16()?;
        let number = bytes.u64()?;
        let before = SegmentEnd { number: bytes.u64()?, length: bytes.u64()? };
        bytes.u32()?;
        let is_sound = is_magic && bytes.u32()? == crc32c::crc32c(&head[..HEADER_BYTES - 4]);
        is_sound.then_some(Header { version, number, before: (before.number > 0).then_some(before) })
    }
}

/// The bytes of a batch with these records.
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

/// Checksum of a batch. `head`: its length and number.
fn batch_crc(head: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(head), body)
}

/// A batch that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedBatch {
    /// Its number.
    pub number: u64,
    /// Its records, in order.
    pub records: Vec<Record>,
    /// Its length with its header, bytes.
    pub length: usize,
}

/// Reads the batch that begins with these bytes. `None`: no sound batch begins there.
pub fn decode_batch(bytes: &[u8]) -> Option<DecodedBatch> {
    let mut rest = Bytes(bytes);
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
    let mut body = Bytes(body);
    let mut records = Vec::new();
    while !body.0.is_empty() {
        records.push(Record::decode(&mut body)?);
    }
    Some(DecodedBatch { number, records, length: BATCH_HEADER_BYTES + length })
}

/// Offset of the first sound batch at or after `from`.
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
