//! HTTP/1.1 as the platform speaks it, without I/O: bytes go in as they arrive, complete messages come out.
//!
//! Messages are small and are held in memory; a head or a body beyond its limit is an error as soon as it
//! shows. Where framing is ambiguous the message is an error too, never a guess (request smuggling): a second
//! length, a length that is no plain number, `Transfer-Encoding` in a request, bytes behind a request that
//! can't begin another.
//!
//! - [`RequestReader`], [`ResponseReader`]: readers, one a connection
//! - [`write_request`], [`write_response`]: writers
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod chunked;
mod error;
mod framing;
mod message;
mod request_reader;
mod response_reader;
mod write;

pub use error::MessageError;
pub use message::{Fields, Request, Response};
pub use request_reader::RequestReader;
pub use response_reader::ResponseReader;
pub use write::{reason, write_request, write_response};

/// Longest head, bytes, its empty line included.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest body of a request, bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Longest body of a response, bytes: targets may send several times what a request may bring.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// Largest number of header fields of a message.
pub const MAX_FIELDS: usize = 64;
