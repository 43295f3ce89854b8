//! Message body framing (RFC 9112, section 6).

use crate::{Fields, MessageError};

/// Framing of a message body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    /// The body has this length, bytes.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Returns the value of `Content-Length`, or `None` if the field is absent.
///
/// # Errors
/// The field is repeated, is not a plain decimal number, or is greater than `max_length`.
pub(crate) fn content_length(fields: &Fields, max_length: usize) -> Result<Option<usize>, MessageError> {
    let mut values = fields.values("content-length");
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() || value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MessageError::InvalidLength);
    }
    let too_long = max_length as u64 + 1;
    let append = |number: u64, digit: &u8| {
        number.saturating_mul(10).saturating_add(u64::from(digit - b'0')).min(too_long)
    };
    let length = value.iter().fold(0, append);
    if length == too_long { Err(MessageError::BodyTooLong) } else { Ok(Some(length as usize)) }
}

/// Whether the connection persists after a message with this HTTP/1 minor version and these fields.
pub(crate) fn is_persistent(version: Option<u8>, fields: &Fields) -> bool {
    version == Some(1) && !fields.contains_token("connection", "close")
}

/// Determines the body framing of a response from its head.
///
/// # Errors
/// The framing is contradictory, missing or unsupported, or the length exceeds `max_body_bytes`.
pub(crate) fn response_framing(
    status: u16,
    keeps_alive: bool,
    fields: &Fields,
    max_body_bytes: usize,
) -> Result<Framing, MessageError> {
    let is_chunked =
        || fields.single("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    match (content_length(fields, max_body_bytes)?, fields.contains("transfer-encoding")) {
        // Contradictory: the head specifies two kinds of framing.
        (Some(_), true) => Err(MessageError::UnsupportedEncoding),
        (Some(length), false) => Ok(Framing::Length(length)),
        (None, true) if is_chunked() => Ok(Framing::Chunked),
        (None, true) => Err(MessageError::UnsupportedEncoding),
        (None, false) if status == 204 || status == 304 => Ok(Framing::Length(0)),
        // Allowed only if the head states that the connection closes after the response (RFC 9112, 6.3).
        (None, false) if !keeps_alive => Ok(Framing::UntilClose),
        (None, false) => Err(MessageError::MissingLength),
    }
}
