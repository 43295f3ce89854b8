//! How the body of a message is delimited (RFC 9112, section 6).

use crate::{Fields, MessageError};

/// How a message's body ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    /// After this many bytes.
    Length(usize),
    /// With the last chunk of a chunked transfer coding.
    Chunked,
    /// When the peer closes the connection.
    UntilClose,
}

/// The value of `Content-Length`, or `None` without such a field.
///
/// # Errors
/// The field is repeated, is not a plain decimal number, or is greater than `most`.
pub(crate) fn content_length(fields: &Fields, most: usize) -> Result<Option<usize>, MessageError> {
    let mut values = fields.values("content-length");
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::InvalidLength);
    }
    let too_long = most as u64 + 1;
    let append = |number: u64, digit: &u8| {
        number.saturating_mul(10).saturating_add(u64::from(digit - b'0')).min(too_long)
    };
    let length = value.iter().fold(0, append);
    if length == too_long { Err(MessageError::BodyTooLong) } else { Ok(Some(length as usize)) }
}

/// Whether the connection stays open after a message of this version with these fields.
pub(crate) fn is_persistent(version: Option<u8>, fields: &Fields) -> bool {
    version == Some(1) && !fields.lists_token("connection", "close")
}

/// How the body of a response with this head ends.
///
/// # Errors
/// The head contradicts itself, does not tell the end of the body, or announces more than `max_body_bytes`
/// bytes.
pub(crate) fn response_framing(
    status: u16,
    keeps_alive: bool,
    fields: &Fields,
    max_body_bytes: usize,
) -> Result<Framing, MessageError> {
    let is_chunked =
        || fields.single("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    match (content_length(fields, max_body_bytes)?, fields.contains("transfer-encoding")) {
        // The head tells the end of the body twice, and one of the two is wrong.
        (Some(_), true) => Err(MessageError::UnsupportedEncoding),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) if is_chunked() => Ok(Framing::Chunked),
        (None, true) => Err(MessageError::UnsupportedEncoding),
        (None, false) if status == 204 || status == 304 => Ok(Framing::Length(0)),
        // Only when the head announces that the connection closes after it (RFC 9112, 6.3).
        (None, false) if !keeps_alive => Ok(Framing::UntilClose),
        (None, false) => Err(MessageError::MissingLength),
    }
}
