//! Errors of reading HTTP messages.

use crate::{MAX_FIELDS, MAX_HEAD_BYTES};
use thiserror::Error;

/// Reason why no further messages can be read from a connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The head is not a valid HTTP/1 message head.
    #[error("invalid message head: {0}")]
    InvalidHead(httparse::Error),
    /// The head or the trailers exceed [`MAX_HEAD_BYTES`] or [`MAX_FIELDS`].
    #[error("message head or trailers exceed {MAX_HEAD_BYTES} bytes or {MAX_FIELDS} fields")]
    HeadTooLong,
    /// The message may have a body but does not state its length.
    #[error("missing Content-Length in a message that may have a body")]
    MissingLength,
    /// `Content-Length` is not a plain decimal number, or occurs more than once.
    #[error("invalid Content-Length: expected a single decimal number")]
    InvalidLength,
    /// The body exceeds the length limit of the reader.
    #[error("message body exceeds the length limit")]
    BodyTooLong,
    /// `Transfer-Encoding` is unknown, not allowed in this message, or combined with `Content-Length`.
    #[error("unsupported Transfer-Encoding")]
    UnsupportedEncoding,
    /// The chunked coding of the body is malformed.
    #[error("malformed chunk in the message body")]
    InvalidChunk,
    /// The bytes after a request cannot start another one, so the request's length may be wrong.
    #[error("unexpected bytes after the request: they do not start another request")]
    TrailingBytes,
}

impl MessageError {
    /// Returns the HTTP status of the error response to the client.
    pub fn status(self) -> u16 {
        match self {
            MessageError::InvalidHead(_)
            | MessageError::InvalidLength
            | MessageError::InvalidChunk
            | MessageError::TrailingBytes => 400,
            MessageError::HeadTooLong => 431,
            MessageError::MissingLength => 411,
            MessageError::BodyTooLong => 413,
            MessageError::UnsupportedEncoding => 501,
        }
    }
}

impl From<httparse::Error> for MessageError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => MessageError::HeadTooLong,
            other => MessageError::InvalidHead(other),
        }
    }
}
