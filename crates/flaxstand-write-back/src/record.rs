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
pub const VERSION_OLDEST: u16 = 1;
/// Version that it writes.
pub const VERSION: u16 = 1;
/// Bytes of a segment's header.
pub const HEADER: usize = 40;
/// Bytes of a batch before its body.
pub const BATCH_HEAD: usize = 20;
/// Longest body of a batch, bytes.
pub const BATCH_MOST: usize = 64 << 20;
const MAGIC: &[u8; 4] = b"FLXB";
const BATCH: &[u8; 4] = b"BTCH";

/// Place in the order of everything that an initiator took. From 1.
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
    /// What it counts against bounds: its data and a fixed part for everything around it, bytes.
    pub fn cost(&self) -> u64 {
        self.payload.len() as u64 + 256
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

/// One thing that must outlive the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A write was taken.
    Write {
        /// Its place in the order.
        seq: Seq,
        /// When it was taken.
        taken: WallClock,
        /// When its first attempt may have run, if one may.
        started: Option<WallClock>,
        /// It waits for an operator.
        parked: bool,
        /// The write.
        write: Write,
    },
    /// A barrier was taken: nothing of the volume after it before all that is before it.
    Barrier {
        /// Its place in the order.
        seq: Seq,
        /// The volume.
        volume: u64,
    },
    /// An attempt of this write may run from now on.
    Started {
        /// The write.
        seq: Seq,
        /// When.
        at: WallClock,
    },
    /// It may have run and must not be repeated: an operator decides.
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
    /// What it is about.
    pub fn seq(&self) -> Seq {
        match self {
            Record::Write { seq, .. }
            | Record::Barrier { seq, .. }
            | Record::Started { seq, .. }
            | Record::Parked { seq }
            | Record::Done { seq } => *seq,
        }
    }

    /// Adds its bytes.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let kind = match self {
            Record::Write { .. } => 1,
            Record::Barrier { .. } => 2,
            Record::Started { .. } => 3,
            Record::Parked { .. } => 4,
            Record::Done { .. } => 5,
        };
        out.push(kind);
        out.extend_from_slice(&self.seq().0.to_le_bytes());
        match self {
            Record::Write { taken, started, parked, write: w, .. } => {
                out.extend_from_slice(&taken.0.to_le_bytes());
                out.extend_from_slice(&started.map_or(0, |s| s.0.max(1)).to_le_bytes());
                out.push(u8::from(*parked));
                out.extend_from_slice(&w.extent_id.volume.to_le_bytes());
                out.extend_from_slice(&w.extent_id.extent.to_le_bytes());
                out.extend_from_slice(&w.class.to_le_bytes());
                out.extend_from_slice(&w.plan.to_le_bytes());
                out.extend_from_slice(&w.volume_initiators.to_le_bytes());
                out.extend_from_slice(&w.shard.to_le_bytes());
                out.extend_from_slice(&w.units.to_le_bytes());
                out.extend_from_slice(&w.operation.to_le_bytes());
                out.push(u8::from(w.at.is_some()));
                out.extend_from_slice(&w.at.unwrap_or(0).to_le_bytes());
                out.extend_from_slice(&(w.payload.len() as u32).to_le_bytes());
                out.extend_from_slice(&w.payload);
            }
            Record::Barrier { volume, .. } => out.extend_from_slice(&volume.to_le_bytes()),
            Record::Started { at, .. } => out.extend_from_slice(&at.0.to_le_bytes()),
            Record::Parked { .. } | Record::Done { .. } => {}
        }
    }

    fn decode(r: &mut Bytes<'_>) -> Option<Record> {
        let kind = r.u8()?;
        let seq = Seq(r.u64()?);
        Some(match kind {
            1 => Record::Write {
                seq,
                taken: WallClock(r.u64()?),
                started: Some(r.u64()?).filter(|s| *s > 0).map(WallClock),
                parked: r.u8()? != 0,
                write: Write {
                    extent_id: ExtentId { volume: r.u64()?, extent: r.u64()? },
                    class: r.u16()?,
                    plan: r.u16()?,
                    volume_initiators: r.u16()?,
                    shard: r.u32()?,
                    units: r.u32()?,
                    operation: r.u64()?,
                    at: {
                        let there = r.u8()? != 0;
                        let at = r.u32()?;
                        there.then_some(at)
                    },
                    payload: {
                        let len = r.u32()?;
                        r.take(len as usize)?.to_vec()
                    },
                },
            },
            2 => Record::Barrier { seq, volume: r.u64()? },
            3 => Record::Started { seq, at: WallClock(r.u64()?) },
            4 => Record::Parked { seq },
            5 => Record::Done { seq },
            _ => return None,
        })
    }
}

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

/// A segment's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its version.
    pub version: u16,
    /// Its number, from 1.
    pub number: u64,
    /// The segment before it and how much of that counts, bytes.
    pub before: Option<(u64, u64)>,
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&self.version.to_le_bytes());
        out.extend_from_slice(&[0; 2]);
        let (before, len) = self.before.unwrap_or((0, 0));
        [self.number, before, len].iter().for_each(|n| out.extend_from_slice(&n.to_le_bytes()));
        out.extend_from_slice(&[0; 4]);
        let crc = crc32c::crc32c(&out);
        out.extend_from_slice(&crc.to_le_bytes());
        out
    }

    /// From the first bytes of a segment. None: no header.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let head: &[u8; HEADER] = bytes.first_chunk()?;
        let mut r = Bytes(&head[..]);
        let magic = r.take(4)? == MAGIC;
        let version = r.u16()?;
        r.u16()?;
        let (number, before, len) = (r.u64()?, r.u64()?, r.u64()?);
        r.u32()?;
        let sound = magic && r.u32()? == crc32c::crc32c(&head[..HEADER - 4]);
        sound.then_some(Header { version, number, before: (before > 0).then_some((before, len)) })
    }
}

/// The bytes of a batch around its records' own.
pub fn encode_batch(number: u64, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(BATCH_HEAD + body.len());
    out.extend_from_slice(BATCH);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    let crc = crc32c::crc32c_append(crc32c::crc32c(&out[4..]), body);
    out.extend_from_slice(&crc.to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// A batch that was read: its number, its records, and its length with its head, bytes. None: no sound
/// batch begins there.
pub fn decode_batch(bytes: &[u8]) -> Option<(u64, Vec<Record>, usize)> {
    let mut r = Bytes(bytes);
    if r.take(4)? != BATCH {
        return None;
    }
    let len = r.u32()? as usize;
    let number = r.u64()?;
    let crc = r.u32()?;
    let body = r.take(len).filter(|_| len <= BATCH_MOST)?;
    if crc32c::crc32c_append(crc32c::crc32c(&bytes[4..BATCH_HEAD - 4]), body) != crc {
        return None;
    }
    let mut body = Bytes(body);
    let mut records = Vec::new();
    while !body.0.is_empty() {
        records.push(Record::decode(&mut body)?);
    }
    Some((number, records, BATCH_HEAD + len))
}

/// The first place at or after `from` where a sound batch begins.
pub fn next_batch(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes.get(at..)?.windows(4).position(|w| w == BATCH) {
        at += found;
        if decode_batch(&bytes[at..]).is_some() {
            return Some(at);
        }
        at += 1;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn write(at: Option<u32>) -> Record {
        let extent_id = ExtentId { volume: 7, extent: 9 };
        let payload = vec![1, 2, 3];
        let write = Write {
            extent_id,
            class: 1,
            plan: 2,
            volume_initiators: 3,
            shard: 4,
            units: 5,
            operation: 6,
            at,
            payload,
        };
        Record::Write { seq: Seq(8), taken: WallClock(10), started: Some(WallClock(11)), parked: true, write }
    }

    #[test]
    fn every_record_comes_back() {
        let records = vec![
            write(None),
            write(Some(0)),
            Record::Barrier { seq: Seq(1), volume: 2 },
            Record::Started { seq: Seq(3), at: WallClock(4) },
            Record::Parked { seq: Seq(5) },
            Record::Done { seq: Seq(u64::MAX) },
        ];
        let mut body = Vec::new();
        records.iter().for_each(|r| r.encode(&mut body));
        let bytes = encode_batch(12, &body);
        assert_eq!(decode_batch(&bytes), Some((12, records, bytes.len())));
        for cut in 0..bytes.len() {
            assert_eq!(decode_batch(&bytes[..cut]), None, "cut at {cut}");
        }
        for flipped in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[flipped] ^= 0x10;
            assert_eq!(decode_batch(&bad), None, "byte {flipped} flipped");
        }
    }

    /// A segment as version 1 writes it. A later version must read it still.
    #[test]
    fn version_1_is_read() {
        let header = "464c58420100000002000000000000000100000000000000400000000000000000000000";
        let mut bytes: Vec<u8> = (0..header.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&header[i..i + 2], 16).unwrap())
            .collect();
        let crc = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&crc.to_le_bytes());
        assert_eq!(Header::decode(&bytes), Some(Header { version: 1, number: 2, before: Some((1, 64)) }));
        let done = [b"BTCH".as_slice(), &9u32.to_le_bytes(), &3u64.to_le_bytes()].concat();
        let body = [5, 42, 0, 0, 0, 0, 0, 0, 0];
        let crc = crc32c::crc32c(&[&done[4..], &body[..]].concat());
        let batch = [&done[..], &crc.to_le_bytes(), &body].concat();
        assert_eq!(decode_batch(&batch), Some((3, vec![Record::Done { seq: Seq(42) }], batch.len())));
    }
}
