//! Codec without I/O for the subset of HTTP/1.1 that the platform uses: readers accept bytes as they arrive
//! and return complete messages.
//!
//! Messages are small and are held in memory. A head or body that exceeds its limit is rejected as soon as
//! this is detectable. Messages with ambiguous framing are rejected to prevent request smuggling: a repeated
//! length, a length that is not a plain decimal number, `Transfer-Encoding` in a request, or bytes after a
//! request that cannot start another one.
//!
//! - [`RequestReader`], [`ResponseReader`]: readers, one per connection
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
pub use write::{reason_phrase, write_request, write_response};

/// Maximum length of a message head including the empty line, bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a request body, bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a response body, bytes. Targets may send several times the length of a request body.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// Maximum number of header fields in a message.
pub const MAX_FIELDS: usize = 64;
