//! Binary encoding of frames: a 12-byte header followed by the body. All numbers are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..4 | length of the body |
//! | 4..8 | crc32c of bytes 0..4, 8..12 and the body |
//! | 8 | version |
//! | 9 | frame kind |
//! | 10..12 | reserved, zero |
//!
//! `bodies` declares the fields of each frame, `fields` the encoding of each field type.

mod bodies;
mod fields;

use crate::frame::{Frame, VERSION, VERSION_READ};
pub use bodies::MAX_LIST_ENTRIES;
use bodies::{decode_body, encode_body, kind, kind_of};
use fields::{Reader, Writer};
use thiserror::Error;

/// Header length, bytes.
pub const HEADER_BYTES: usize = 12;
/// Maximum body length, bytes: a 1 MiB payload plus 4 KiB for the other fields.
pub const MAX_BODY_BYTES: usize = (1 << 20) + 4096;
/// Maximum length of a string field, bytes.
const MAX_TEXT_BYTES: usize = 255;
/// Encoded length of a list's extent, two revisions and entry count, bytes.
const LIST_HEADER_BYTES: usize = 1 + 8 + 8 + 2;
/// Maximum encoded length of a list entry, bytes: its numeric fields and the longest address.
const MAX_ENTRY_BYTES: usize = 8 + 8 + 1 + 9 + 4 + 4 + 4 + 5 + 1 + MAX_TEXT_BYTES;
/// Maximum body length of a node list, bytes. Only the discovery service may send bodies longer than
/// [`MAX_BODY_BYTES`].
pub const MAX_LIST_BODY_BYTES: usize = LIST_HEADER_BYTES + MAX_LIST_ENTRIES * MAX_ENTRY_BYTES;
/// Offset of the checksum in the header.
const CHECKSUM_AT: usize = 4;
/// Offset of the bytes that the checksum covers in addition to the length: version, kind, reserved bytes and
/// body.
const CHECKED_FROM: usize = 8;

/// Body length limit of a decoder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyLimit {
    /// [`MAX_BODY_BYTES`] for every kind of frame.
    #[default]
    Message,
    /// [`MAX_LIST_BODY_BYTES`] for node lists, [`MAX_BODY_BYTES`] for other frames. Used for connections to
    /// the discovery service and for saved lists.
    NodeList,
}

impl BodyLimit {
    /// Maximum body length of a frame of this kind, bytes.
    fn max_bytes(self, frame_kind: u8) -> usize {
        match (self, frame_kind) {
            (BodyLimit::NodeList, kind::LIST) => MAX_LIST_BODY_BYTES,
            _ => MAX_BODY_BYTES,
        }
    }
}

/// Errors of decoding a frame. The receiver closes the affected connection only.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The header declares a body longer than the limit.
    #[error(
        "frame body of {0} bytes exceeds the limit of {MAX_BODY_BYTES} bytes \
         ({MAX_LIST_BODY_BYTES} bytes for node lists from the discovery service)"
    )]
    TooLong(usize),
    /// The checksum does not match the content.
    #[error("frame checksum mismatch: expected {expected:#010x}, found {found:#010x}")]
    Checksum {
        /// Checksum computed from the received bytes.
        expected: u32,
        /// Checksum in the header.
        found: u32,
    },
    /// The frame version is not supported.
    #[error("unsupported frame version {0}, expected {VERSION_READ} to {VERSION}")]
    Version(u8),
    /// The frame kind is not defined in this version.
    #[error("unknown frame kind {0}")]
    Kind(u8),
    /// The body ends inside a field.
    #[error("frame body truncated in field \"{0}\"")]
    Truncated(&'static str),
    /// The body continues after its last field.
    #[error("frame body has {0} unexpected bytes after its last field")]
    Trailing(usize),
    /// A field has a value outside its domain.
    #[error("frame field \"{field}\" has invalid value {value}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Value found.
        value: u64,
    },
    /// A string field is not valid UTF-8.
    #[error("frame field \"{0}\" is not valid UTF-8")]
    Text(&'static str),
}

fn checksum(length: [u8; 4], rest: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&length), rest)
}

/// Appends the encoded frame to `out`. Limits are the caller's responsibility: peers reject a frame with a
/// payload above 1 MiB, and list entries beyond [`MAX_LIST_ENTRIES`] are omitted.
pub fn encode(frame: &Frame<'_>, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; CHECKED_FROM]);
    out.extend_from_slice(&[VERSION, kind_of(frame), 0, 0]);
    encode_body(frame, &mut Writer(out));
    let length = ((out.len() - start - HEADER_BYTES) as u32).to_le_bytes();
    let crc = checksum(length, &out[start + CHECKED_FROM..]).to_le_bytes();
    out[start..start + CHECKSUM_AT].copy_from_slice(&length);
    out[start + CHECKSUM_AT..start + CHECKED_FROM].copy_from_slice(&crc);
}

/// Decodes the frame at the start of `bytes`. Returns it with its encoded length, or `None` if it is
/// incomplete.
///
/// # Errors
/// The bytes are not a valid frame. A length above [`MAX_BODY_BYTES`] is rejected as soon as the header is
/// complete.
pub fn decode(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    decode_within(bytes, BodyLimit::Message)
}

/// Like [`decode`], with the body length limit `limit`.
///
/// # Errors
/// The bytes are not a valid frame, or its body is longer than `limit`.
pub fn decode_within(bytes: &[u8], limit: BodyLimit) -> Result<Option<(Frame<'_>, usize)>, FrameError> {
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let [l0, l1, l2, l3, c0, c1, c2, c3, version, number, zeros @ ..] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    if length > limit.max_bytes(number) {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let found = u32::from_le_bytes([c0, c1, c2, c3]);
    let expected = checksum([l0, l1, l2, l3], &bytes[CHECKED_FROM..HEADER_BYTES + length]);
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
    Ok(Some((frame, HEADER_BYTES + length)))
}
