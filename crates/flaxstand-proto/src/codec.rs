//! Bytes of a frame: a header of 12 bytes, then the body. All numbers are little-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..4 | length of the body |
//! | 4..8 | crc32c of bytes 0..4, 8..12 and the body |
//! | 8 | version |
//! | 9 | kind of frame |
//! | 10..12 | zero |

use crate::frame::*;
use thiserror::Error;

/// Bytes of a header.
pub const HEADER: usize = 12;
/// Longest body, bytes: a payload of 1 MiB and the fields around it.
pub const MAX_BODY: usize = (1 << 20) + 4096;
/// Longest text, bytes.
const MAX_TEXT: usize = 255;
/// Entries that a node list may hold: room for the 25,000 nodes of `docs/CAPACITY.md` and a fifth more.
pub const MAX_ENTRIES: usize = 32_768;
/// Bytes of a list's extent, revisions and count of entries.
const LIST_HEAD: usize = 1 + 8 + 8 + 2;
/// Most bytes of one entry: its numbers and the longest address.
const MAX_ENTRY: usize = 8 + 8 + 1 + 9 + 4 + 4 + 4 + 5 + 1 + MAX_TEXT;
/// Longest body of a node list, bytes. Only a peer that may tell the list may send one beyond [`MAX_BODY`].
pub const MAX_LIST_BODY: usize = LIST_HEAD + MAX_ENTRIES * MAX_ENTRY;
/// The byte of the header that tells the kind of frame.
const KIND_AT: usize = 9;
/// The kind of a node list.
const KIND_LIST: u8 = 50;

/// Which bodies a reader takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyLimit {
    /// Up to [`MAX_BODY`], whatever the frame.
    #[default]
    Message,
    /// Up to [`MAX_LIST_BODY`] for a node list, [`MAX_BODY`] for all else: connections to the list service, saved lists.
    NodeList,
}

impl BodyLimit {
    /// The longest body of a frame of this kind, bytes.
    fn longest(self, kind: u8) -> usize {
        match (self, kind) {
            (BodyLimit::NodeList, KIND_LIST) => MAX_LIST_BODY,
            _ => MAX_BODY,
        }
    }
}

/// Why bytes are no frame. The connection that brought them is closed; nothing else is touched.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The header states a longer body than is taken.
    #[error(
        "frame of {0} bytes, at most {MAX_BODY} are taken ({MAX_LIST_BODY} of a node list from its service)"
    )]
    TooLong(usize),
    /// The checksum differs.
    #[error("checksum {found:#010x}, expected {expected:#010x}")]
    Checksum {
        /// As computed.
        expected: u32,
        /// As sent.
        found: u32,
    },
    /// A version that this build does not read.
    #[error("version {0}, this build reads {VERSION_READ} to {VERSION}")]
    Version(u8),
    /// A kind that this version does not know.
    #[error("unknown kind of frame {0}")]
    Kind(u8),
    /// The body ends inside a field.
    #[error("body ends inside {0}")]
    Truncated(&'static str),
    /// The body goes on after its last field.
    #[error("{0} bytes after the last field")]
    Trailing(usize),
    /// A field holds what it may not.
    #[error("{field} holds {value}")]
    Value {
        /// The field.
        field: &'static str,
        /// What it holds.
        value: u64,
    },
    /// A text that is not UTF-8.
    #[error("{0} is not UTF-8")]
    Text(&'static str),
}

struct Writer<'a>(&'a mut Vec<u8>);

impl Writer<'_> {
    fn u8(&mut self, v: u8) {
        self.0.push(v);
    }
    fn u16(&mut self, v: u16) {
        self.0.extend_from_slice(&v.to_le_bytes());
    }
    fn u32(&mut self, v: u32) {
        self.0.extend_from_slice(&v.to_le_bytes());
    }
    fn u64(&mut self, v: u64) {
        self.0.extend_from_slice(&v.to_le_bytes());
    }
    fn maybe_u32(&mut self, v: Option<u32>) {
        self.u8(u8::from(v.is_some()));
        self.u32(v.unwrap_or(0));
    }
    fn maybe_u64(&mut self, v: Option<u64>) {
        self.u8(u8::from(v.is_some()));
        self.u64(v.unwrap_or(0));
    }
    /// Texts are for logs and addresses: a longer one is cut at a character.
    fn text(&mut self, v: &str) {
        let mut end = v.len().min(MAX_TEXT);
        while !v.is_char_boundary(end) {
            end -= 1;
        }
        self.u8(end as u8);
        self.0.extend_from_slice(&v.as_bytes()[..end]);
    }
    fn bytes(&mut self, v: &[u8]) {
        self.u32(v.len() as u32);
        self.0.extend_from_slice(v);
    }
    fn report(&mut self, r: &Report) {
        self.maybe_u32(r.used);
        self.u32(r.from_others);
        self.maybe_u32(r.inflight);
        self.maybe_u32(r.queue);
        self.maybe_u32(r.busy);
    }
}

struct Reader<'a> {
    left: &'a [u8],
    version: u8,
}

macro_rules! number {
    ($name:ident, $type:ty) => {
        fn $name(&mut self, field: &'static str) -> Result<$type, FrameError> {
            let (head, tail) = self.left.split_first_chunk().ok_or(FrameError::Truncated(field))?;
            self.left = tail;
            Ok(<$type>::from_le_bytes(*head))
        }
    };
}

impl<'a> Reader<'a> {
    number!(u8, u8);
    number!(u16, u16);
    number!(u32, u32);
    number!(u64, u64);

    fn flag(&mut self, field: &'static str) -> Result<bool, FrameError> {
        match self.u8(field)? {
            0 => Ok(false),
            1 => Ok(true),
            value => Err(FrameError::Value { field, value: value.into() }),
        }
    }
    fn maybe_u32(&mut self, field: &'static str) -> Result<Option<u32>, FrameError> {
        let there = self.flag(field)?;
        let value = self.u32(field)?;
        Ok(there.then_some(value))
    }
    fn maybe_u64(&mut self, field: &'static str) -> Result<Option<u64>, FrameError> {
        let there = self.flag(field)?;
        let value = self.u64(field)?;
        Ok(there.then_some(value))
    }
    fn take(&mut self, len: usize, field: &'static str) -> Result<&'a [u8], FrameError> {
        let (head, tail) = self.left.split_at_checked(len).ok_or(FrameError::Truncated(field))?;
        self.left = tail;
        Ok(head)
    }
    fn text(&mut self, field: &'static str) -> Result<&'a str, FrameError> {
        let len = self.u8(field)?;
        std::str::from_utf8(self.take(len.into(), field)?).map_err(|_| FrameError::Text(field))
    }
    fn bytes(&mut self, field: &'static str) -> Result<&'a [u8], FrameError> {
        let len = self.u32(field)?;
        self.take(len as usize, field)
    }
    fn report(&mut self) -> Result<Report, FrameError> {
        Ok(Report {
            used: self.maybe_u32("used")?,
            from_others: self.u32("from_others")?,
            inflight: self.maybe_u32("inflight")?,
            queue: self.maybe_u32("queue")?,
            busy: self.maybe_u32("busy")?,
        })
    }
}

macro_rules! choice {
    ($name:ident, $type:ty, $field:literal, $($variant:ident),+) => {
        fn $name(r: &mut Reader<'_>) -> Result<$type, FrameError> {
            let value = r.u8($field)?;
            $(if value == <$type>::$variant as u8 {
                return Ok(<$type>::$variant);
            })+
            Err(FrameError::Value { field: $field, value: value.into() })
        }
    };
}

choice!(role, Role, "role", Client, Initiator, Node, List);
choice!(code, Code, "code", Served, Error, Rejected);
choice!(refusal, Refusal, "refusal", Load, Held, Client, Stopping, Unbuffered, Buffer, Storm);
choice!(scope, Scope, "scope", Request, Volume, All);
choice!(close_reason, CloseReason, "parting", Version, Protocol, WrongPeer, Bound, Stopping, Turn);
choice!(state, State, "state", Serving, Draining, Removed);
choice!(extent, Extent, "extent of the list", Full, Changes);

fn kind(frame: &Frame<'_>) -> u8 {
    match frame {
        Frame::Hello(_) => 1,
        Frame::Welcome(_) => 2,
        Frame::Bye { .. } => 3,
        Frame::Submit(_) => 16,
        Frame::Served { .. } => 17,
        Frame::Refused { .. } => 18,
        Frame::Failed { .. } => 19,
        Frame::Part { .. } => 20,
        Frame::Buffered { .. } => 21,
        Frame::Barrier { .. } => 22,
        Frame::Barred { .. } => 23,
        Frame::Flush { .. } => 24,
        Frame::Flushed { .. } => 25,
        Frame::AskStatus { .. } => 26,
        Frame::Status { .. } => 27,
        Frame::Attempt(_) => 32,
        Frame::Cancel { .. } => 33,
        Frame::Done(_) => 34,
        Frame::Chunk { .. } => 35,
        Frame::Probe { .. } => 36,
        Frame::Probed { .. } => 37,
        Frame::GetList => 48,
        Frame::Watch => 49,
        Frame::List(_) => KIND_LIST,
        Frame::ListFailed => 51,
        Frame::Agreement { .. } => 64,
    }
}

fn checksum(len: [u8; 4], rest: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&len), rest)
}

/// Adds the frame's bytes to `out`. A payload above 1 MiB makes a frame that no peer takes: whoever lets
/// payloads in bounds them. So does whoever takes nodes into a list: entries beyond [`MAX_ENTRIES`] are left out.
pub fn encode(frame: &Frame<'_>, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 8]);
    out.extend_from_slice(&[VERSION, kind(frame), 0, 0]);
    encode_body(frame, &mut Writer(out));
    let len = ((out.len() - start - HEADER) as u32).to_le_bytes();
    let crc = checksum(len, &out[start + 8..]).to_le_bytes();
    out[start..start + 4].copy_from_slice(&len);
    out[start + 4..start + 8].copy_from_slice(&crc);
}

fn encode_body(frame: &Frame<'_>, w: &mut Writer<'_>) {
    match frame {
        Frame::Hello(h) => {
            w.u8(h.role as u8);
            w.u8(h.versions.0);
            w.u8(h.versions.1);
            w.u64(h.id);
            w.u64(h.epoch);
            w.text(h.name);
        }
        Frame::Welcome(h) => {
            w.u8(h.version);
            w.u8(h.role as u8);
            w.u64(h.id);
            w.u64(h.epoch);
            w.text(h.name);
        }
        Frame::Bye { close_reason, wait, text } => {
            w.u8(*close_reason as u8);
            w.u32(*wait);
            w.text(text);
        }
        Frame::Submit(s) => {
            w.u64(s.id);
            w.u64(s.operation);
            w.u16(s.class);
            w.u16(s.plan);
            w.u16(s.volume_initiators);
            w.u8(s.try_no);
            w.u8(u8::from(s.write));
            w.u64(s.volume);
            w.maybe_u64(s.extent);
            w.maybe_u32(s.shard);
            w.u32(s.units);
            w.maybe_u32(s.at);
            w.u32(s.time_left);
            w.bytes(s.payload);
        }
        Frame::Served { id, shard, payload } => {
            w.u64(*id);
            w.u32(*shard);
            w.bytes(payload);
        }
        Frame::Refused { id, wait, refusal, scope } => {
            w.u64(*id);
            w.u32(*wait);
            w.u8(*refusal as u8);
            w.u8(*scope as u8);
        }
        Frame::Failed { id }
        | Frame::Buffered { id }
        | Frame::Barred { id }
        | Frame::Flushed { id }
        | Frame::AskStatus { id } => w.u64(*id),
        Frame::Barrier { id, volume, time_left } => {
            w.u64(*id);
            w.u64(*volume);
            w.u32(*time_left);
        }
        Frame::Flush { id, volume, time_left } => {
            w.u64(*id);
            w.maybe_u64(*volume);
            w.u32(*time_left);
        }
        Frame::Status { id, json } => {
            w.u64(*id);
            w.bytes(json);
        }
        Frame::Agreement { bytes } => w.bytes(bytes),
        Frame::Part { id, payload } => {
            w.u64(*id);
            w.bytes(payload);
        }
        Frame::Attempt(a) => {
            w.u64(a.request);
            w.u32(a.attempt);
            w.u64(a.operation);
            w.u16(a.class);
            w.u16(a.plan);
            w.u8(u8::from(a.write));
            w.u8(u8::from(a.stream));
            w.u64(a.volume);
            w.maybe_u64(a.extent);
            w.u32(a.units);
            w.maybe_u32(a.at);
            w.u32(a.time_left);
            w.bytes(a.payload);
        }
        Frame::Cancel { request, attempt } => {
            w.u64(*request);
            w.u32(*attempt);
        }
        Frame::Done(d) => {
            w.u64(d.request);
            w.u32(d.attempt);
            w.u8(d.code as u8);
            w.report(&d.report);
            w.bytes(d.payload);
        }
        Frame::Chunk { request, attempt, payload } => {
            w.u64(*request);
            w.u32(*attempt);
            w.bytes(payload);
        }
        Frame::Probe { token } => w.u64(*token),
        Frame::Probed { token, report } => {
            w.u64(*token);
            w.report(report);
        }
        Frame::GetList | Frame::Watch | Frame::ListFailed => {}
        Frame::List(l) => {
            w.u8(l.extent as u8);
            w.u64(l.since);
            w.u64(l.revision);
            w.u16(l.entries.len().min(MAX_ENTRIES) as u16);
            for e in l.entries.iter().take(MAX_ENTRIES) {
                w.u64(e.node);
                w.u64(e.incarnation);
                w.u8(e.state as u8);
                w.maybe_u64(e.age);
                w.u32(e.shard);
                w.u32(e.zone);
                w.u32(e.size);
                w.maybe_u32(e.service_time);
                w.text(e.address);
            }
        }
    }
}

/// The frame at the start of `bytes` and how many bytes it takes; none while it is not all there.
///
/// # Errors
/// What the bytes cannot be: see [`FrameError`]. A length beyond [`MAX_BODY`] is told from the header alone.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    decode_within(bytes, BodyLimit::Message)
}

/// The same, with bodies up to `limit`.
///
/// # Errors
/// As [`decode`].
pub fn decode_within(bytes: &[u8], limit: BodyLimit) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER>() else { return Ok(None) };
    let len_bytes = [header[0], header[1], header[2], header[3]];
    let len = u32::from_le_bytes(len_bytes) as usize;
    if len > limit.longest(header[KIND_AT]) {
        return Err(FrameError::TooLong(len));
    }
    let Some(body) = rest.get(..len) else { return Ok(None) };
    let found = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let expected = checksum(len_bytes, &bytes[8..HEADER + len]);
    if found != expected {
        return Err(FrameError::Checksum { expected, found });
    }
    let (version, kind) = (header[8], header[9]);
    if !(VERSION_READ..=VERSION).contains(&version) {
        return Err(FrameError::Version(version));
    }
    if header[10..12] != [0, 0] {
        return Err(FrameError::Value { field: "reserved", value: header[10].max(header[11]).into() });
    }
    let mut r = Reader { left: body, version };
    let frame = decode_body(kind, &mut r)?;
    if !r.left.is_empty() {
        return Err(FrameError::Trailing(r.left.len()));
    }
    Ok(Some((frame, HEADER + len)))
}

fn decode_body<'a>(kind: u8, r: &mut Reader<'a>) -> Result<Frame<'a>, FrameError> {
    Ok(match kind {
        1 => Frame::Hello(Hello {
            role: role(r)?,
            versions: (r.u8("oldest version")?, r.u8("newest version")?),
            id: r.u64("id")?,
            epoch: r.u64("epoch")?,
            name: r.text("name")?,
        }),
        2 => Frame::Welcome(Welcome {
            version: r.u8("version")?,
            role: role(r)?,
            id: r.u64("id")?,
            epoch: r.u64("epoch")?,
            name: r.text("name")?,
        }),
        3 => Frame::Bye { close_reason: close_reason(r)?, wait: r.u32("wait")?, text: r.text("text")? },
        16 => Frame::Submit(Submit {
            id: r.u64("id")?,
            operation: r.u64("operation")?,
            class: r.u16("class")?,
            plan: r.u16("plan")?,
            volume_initiators: r.u16("writers")?,
            try_no: r.u8("try")?,
            write: r.flag("write")?,
            volume: r.u64("volume")?,
            extent: r.maybe_u64("extent")?,
            shard: r.maybe_u32("shard")?,
            units: r.u32("units")?,
            at: r.maybe_u32("at")?,
            time_left: r.u32("time left")?,
            payload: r.bytes("payload")?,
        }),
        17 => Frame::Served { id: r.u64("id")?, shard: r.u32("shard")?, payload: r.bytes("payload")? },
        18 => {
            Frame::Refused { id: r.u64("id")?, wait: r.u32("wait")?, refusal: refusal(r)?, scope: scope(r)? }
        }
        19 => Frame::Failed { id: r.u64("id")? },
        20 => Frame::Part { id: r.u64("id")?, payload: r.bytes("payload")? },
        21 => Frame::Buffered { id: r.u64("id")? },
        22 => Frame::Barrier { id: r.u64("id")?, volume: r.u64("volume")?, time_left: r.u32("time left")? },
        23 => Frame::Barred { id: r.u64("id")? },
        24 => {
            Frame::Flush { id: r.u64("id")?, volume: r.maybe_u64("volume")?, time_left: r.u32("time left")? }
        }
        25 => Frame::Flushed { id: r.u64("id")? },
        26 => Frame::AskStatus { id: r.u64("id")? },
        27 => Frame::Status { id: r.u64("id")?, json: r.bytes("json")? },
        32 => Frame::Attempt(Attempt {
            request: r.u64("request")?,
            attempt: r.u32("attempt")?,
            operation: r.u64("operation")?,
            class: r.u16("class")?,
            plan: r.u16("plan")?,
            write: r.flag("write")?,
            stream: r.flag("stream")?,
            volume: r.u64("volume")?,
            extent: r.maybe_u64("extent")?,
            units: r.u32("units")?,
            at: r.maybe_u32("at")?,
            time_left: r.u32("time left")?,
            payload: r.bytes("payload")?,
        }),
        33 => Frame::Cancel { request: r.u64("request")?, attempt: r.u32("attempt")? },
        34 => Frame::Done(Done {
            request: r.u64("request")?,
            attempt: r.u32("attempt")?,
            code: code(r)?,
            report: r.report()?,
            payload: r.bytes("payload")?,
        }),
        35 => Frame::Chunk {
            request: r.u64("request")?,
            attempt: r.u32("attempt")?,
            payload: r.bytes("payload")?,
        },
        36 => Frame::Probe { token: r.u64("token")? },
        37 => Frame::Probed { token: r.u64("token")?, report: r.report()? },
        48 => Frame::GetList,
        49 => Frame::Watch,
        KIND_LIST => Frame::List(list(r)?),
        51 => Frame::ListFailed,
        64 => Frame::Agreement { bytes: r.bytes("bytes")? },
        other => return Err(FrameError::Kind(other)),
    })
}

fn list<'a>(r: &mut Reader<'a>) -> Result<List<'a>, FrameError> {
    let (extent, since, revision) = (extent(r)?, r.u64("since")?, r.u64("revision")?);
    let count = r.u16("count of entries")?;
    if usize::from(count) > MAX_ENTRIES {
        return Err(FrameError::Value { field: "count of entries", value: count.into() });
    }
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(Entry {
            node: r.u64("node")?,
            incarnation: r.u64("incarnation")?,
            state: state(r)?,
            age: r.maybe_u64("age")?,
            shard: r.u32("shard")?,
            zone: r.u32("zone")?,
            size: if r.version >= 3 { r.u32("size")? } else { 0 },
            service_time: if r.version >= 3 { r.maybe_u32("pace")? } else { None },
            address: r.text("address")?,
        });
    }
    Ok(List { extent, since, revision, entries })
}
