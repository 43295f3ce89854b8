//! Errors of reading messages.

use thiserror::Error;

/// Why the bytes of a connection can't be read any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The head is no HTTP/1 head.
    #[error("the head can't be read: {0}")]
    InvalidHead(httparse::Error),
    /// The head has more bytes or fields than allowed.
    #[error("the head is longer than is taken")]
    HeadTooLong,
    /// There may be a body, and no length.
    #[error("there is a body, or may be one, without a Content-Length")]
    MissingLength,
    /// A length that is no plain decimal number, or a second one.
    #[error("Content-Length is not one plain number")]
    InvalidLength,
    /// The body has more bytes than allowed.
    #[error("the body is longer than is taken")]
    BodyTooLong,
    /// `Transfer-Encoding` where only a length is allowed, or one that is unknown.
    #[error("this Transfer-Encoding is not taken")]
    UnsupportedEncoding,
    /// A chunk of a body is malformed.
    #[error("a chunk of the body can't be read")]
    InvalidChunk,
    /// Bytes follow a request that can't begin another: its length may be wrong.
    #[error("what follows the request is no request")]
    TrailingBytes,
}

impl MessageError {
    /// The HTTP status of the response to the client.
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
