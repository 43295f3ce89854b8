//! Bytes of a frame: a header of 12 bytes, then the body. All numbers are little-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..4 | length of the body |
//! | 4..8 | crc32c of bytes 0..4, 8..12 and the body |
//! | 8 | version |
//! | 9 | kind of frame |
//! | 10..12 | zero |
//!
//! `bodies` has the fields of each frame, `fields` how each type of field is written.

mod bodies;
mod fields;

use crate::frame::{Frame, VERSION, VERSION_READ};
pub use bodies::MAX_ENTRIES;
use bodies::{decode_body, encode_body, kind, kind_of};
use fields::{Reader, Writer};
use thiserror::Error;

/// Bytes of a header.
pub const HEADER: usize = 12;
/// Longest body, bytes: a payload of 1 MiB and the fields around it.
pub const MAX_BODY: usize = (1 << 20) + 4096;
/// Longest text, bytes.
const MAX_TEXT_BYTES: usize = 255;
/// Bytes of a list's extent, revisions and count of entries.
const LIST_HEADER_BYTES: usize = 1 + 8 + 8 + 2;
/// Most bytes of one entry: its numbers and the longest address.
const MAX_ENTRY_BYTES: usize = 8 + 8 + 1 + 9 + 4 + 4 + 4 + 5 + 1 + MAX_TEXT_BYTES;
/// Longest body of a node list, bytes. Only the discovery service may send one beyond [`MAX_BODY`].
pub const MAX_LIST_BODY: usize = LIST_HEADER_BYTES + MAX_ENTRIES * MAX_ENTRY_BYTES;
/// Offset of the checksum in the header.
const CHECKSUM_AT: usize = 4;
/// Offset of what the checksum covers beside the length: version, kind and zeros, then the body.
const CHECKED_FROM: usize = 8;

/// Longest body that a reader accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyLimit {
    /// Up to [`MAX_BODY`], whatever the frame.
    #[default]
    Message,
    /// Up to [`MAX_LIST_BODY`] for a node list, [`MAX_BODY`] for all else: for connections to the discovery
    /// service and saved lists.
    NodeList,
}

impl BodyLimit {
    /// The longest body of a frame of this kind, bytes.
    fn max_bytes(self, frame_kind: u8) -> usize {
        match (self, frame_kind) {
            (BodyLimit::NodeList, kind::LIST) => MAX_LIST_BODY,
            _ => MAX_BODY,
        }
    }
}

/// Why bytes are not a frame. The connection that they came on is closed; nothing else is touched.
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

fn checksum(length: [u8; 4], rest: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length), rest)
}

/// Appends the frame's bytes to `out`. A payload above 1 MiB makes a frame that no peer accepts: who accepts payloads
/// limits them. So does who accepts nodes into a list: entries beyond [`MAX_ENTRIES`] are left out.
pub fn encode(frame: &Frame<'_>, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; CHECKED_FROM]);
    out.extend_from_slice(&[VERSION, kind_of(frame), 0, 0]);
    encode_body(frame, &mut Writer(out));
    let length = ((out.len() - start - HEADER) as u32).to_le_bytes();
    let crc = checksum(length, &out[start + CHECKED_FROM..]).to_le_bytes();
    out[start..start + CHECKSUM_AT].copy_from_slice(&length);
    out[start + CHECKSUM_AT..start + CHECKED_FROM].copy_from_slice(&crc);
}

/// The frame at the start of `bytes` and how many bytes it takes; `None` while it is not complete.
///
/// # Errors
/// What the bytes cannot be: see [`FrameError`]. A length beyond [`MAX_BODY`] is found from the header alone.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    decode_within(bytes, BodyLimit::Message)
}

/// The same, with bodies up to `limit`.
///
/// # Errors
/// As [`decode`].
pub fn decode_within(bytes: &[u8], limit: BodyLimit) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER>() else { return Ok(None) };
    let [l0, l1, l2, l3, c0, c1, c2, c3, version, number, zeros @ ..] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > limit.max_bytes(number) {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let found = u32::from_le_bytes([c0, c1, c2, c3]);
    let expected = checksum([l0, l1, l2, l3], &bytes[CHECKED_FROM..HEADER + length]);
    if found != expected {
        return Err(FrameError::Checksum { expected, found });
    }
    if !(VERSION_READ..=VERSION).contains(&version) {
        return Err(FrameError::Version(version));
    }
    if zeros != [0, 0] {
        return Err(FrameError::Value { field: "reserved", value: zeros[0].max(zeros[1]).into() });
    }
    let mut reader = Reader { rest: body, version };
    let frame = decode_body(number, &mut reader)?;
    if !reader.rest.is_empty() {
        return Err(FrameError::Trailing(reader.rest.len()));
    }
    Ok(Some((frame, HEADER + length)))
}
