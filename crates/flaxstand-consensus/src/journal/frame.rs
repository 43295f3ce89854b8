//! Encoding of one batch in a segment: magic bytes, length, number, checksum, records.

use super::record::Record;

const MAGIC: [u8; 4] = *b"fag1";
/// Size of the header: magic bytes (4), body length (4), frame number (8), checksum (4).
const HEADER_BYTES: usize = 4 + 4 + 8 + 4;

/// A decoded frame.
#[derive(Debug)]
pub(super) struct Frame {
    /// Frame number; counts from 1 at each start.
    pub(super) number: u64,
    pub(super) records: Vec<Record>,
    /// Size of the encoded frame in bytes.
    pub(super) length: usize,
}

/// Encodes a batch of records.
pub(super) fn encode(number: u64, records: &[Record]) -> Vec<u8> {
    let body = postcard::to_stdvec(records).expect("records can be serialised");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&bytes[4..]), &body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the frame at the start of `bytes`; `None` if there is no intact frame.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let field = |from: usize, to: usize| header.get(from..to);
    let body_length = u32::from_le_bytes(field(4, 8)?.try_into().ok()?) as usize;
    let number = u64::from_le_bytes(field(8, 16)?.try_into().ok()?);
    let checksum = u32::from_le_bytes(field(16, 20)?.try_into().ok()?);
    let body = rest.get(..body_length)?;
    let is_intact =
        header.starts_with(&MAGIC) && crc32c::crc32c_append(crc32c::crc32c(&header[4..16]), body) == checksum;
    if !is_intact {
        return None;
    }
    let records = postcard::from_bytes(body).ok()?;
    Some(Frame { number, records, length: HEADER_BYTES + body_length })
}

/// Whether an intact frame with a number greater than `number` starts anywhere after the first byte.
pub(super) fn has_later_frame(bytes: &[u8], number: u64) -> bool {
    let has_magic = |at: &usize| bytes[*at..].starts_with(&MAGIC);
    let is_later = |at: usize| decode(&bytes[at..]).is_some_and(|frame| frame.number > number);
    (1..bytes.len()).filter(has_magic).any(is_later)
}
