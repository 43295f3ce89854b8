//! What is wrong with a message.

use thiserror::Error;

/// Why a connection's bytes can't be read any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Fault {
    /// The head is no HTTP/1 head.
    #[error("the head can't be read: {0}")]
    Head(httparse::Error),
    /// The head has more bytes or fields than are taken.
    #[error("the head is longer than is taken")]
    HeadTooLong,
    /// A length that is missing where one is needed.
    #[error("there is a body, or may be one, without a Content-Length")]
    NoLength,
    /// A length that is no plain decimal number, or a second one.
    #[error("Content-Length is not one plain number")]
    Length,
    /// The body has more bytes than are taken.
    #[error("the body is longer than is taken")]
    BodyTooLong,
    /// `Transfer-Encoding` where only a length is taken, or one that is not known.
    #[error("this Transfer-Encoding is not taken")]
    Encoding,
    /// A chunk of a body that can't be read.
    #[error("a chunk of the body can't be read")]
    Chunk,
    /// Bytes behind a request that can't begin another: its length may be wrong.
    #[error("what follows the request is no request")]
    Behind,
}

impl Fault {
    /// The status that tells a client of it.
    pub fn status(self) -> u16 {
        match self {
            Fault::Head(_) | Fault::Length | Fault::Chunk | Fault::Behind => 400,
            Fault::HeadTooLong => 431,
            Fault::NoLength => 411,
            Fault::BodyTooLong => 413,
            Fault::Encoding => 501,
        }
    }
}

impl From<httparse::Error> for Fault {
    fn from(e: httparse::Error) -> Self {
        if e == httparse::Error::TooManyHeaders { Fault::HeadTooLong } else { Fault::Head(e) }
    }
}
