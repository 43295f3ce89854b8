//! The frame of one batch in a segment: marker, length, number, checksum, records.

use super::record::Record;

const MARKER: [u8; 4] = *b"fag1";
/// Bytes of marker (4), length of the body (4), frame number (8) and checksum (4).
const HEADER_BYTES: usize = 4 + 4 + 8 + 4;

/// A frame that was read.
#[derive(Debug)]
pub(super) struct Frame {
    /// Its number, from 1 at each start.
    pub(super) number: u64,
    pub(super) records: Vec<Record>,
    /// Bytes that it takes.
    pub(super) length: usize,
}

/// Writes a frame.
pub(super) fn encode(number: u64, records: &[Record]) -> Vec<u8> {
    let body = postcard::to_stdvec(records).expect("plain values can be written");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[4..]), &body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads the frame at the start of `bytes`; none if there is no intact one.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let field = |from: usize, to: usize| header.get(from..to);
    let body_length = u32::from_le_bytes(field(4, 8)?.try_into().ok()?) as usize;
    let number = u64::from_le_bytes(field(8, 16)?.try_into().ok()?);
    let checksum = u32::from_le_bytes(field(16, 20)?.try_into().ok()?);
    let body = rest.get(..body_length)?;
    let is_intact = header.starts_with(&MARKER)
        && crc32c::crc32c_append(crc32c::crc32c(&header[4..16]), body) == checksum;
    if !is_intact {
        return None;
    }
    let records = postcard::from_bytes(body).ok()?;
    Some(Frame { number, records, length: HEADER_BYTES + body_length })
}

/// Whether an intact frame with a number above `number` stands anywhere after the first byte.
pub(super) fn has_later_frame(bytes: &[u8], number: u64) -> bool {
    let is_marked = |at: &usize| bytes[*at..].starts_with(&MARKER);
    let is_later = |at: usize| decode(&bytes[at..]).is_some_and(|frame| frame.number > number);
    (1..bytes.len()).filter(is_marked).any(is_later)
}
