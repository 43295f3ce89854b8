//! HTTP/1.1 as the platform speaks it, without I/O: bytes go in as they come, whole messages come out.
//!
//! Messages are small and are held whole; a head or a body beyond its bound is a fault as soon as it shows.
//! Where framing is in doubt the message is a fault too, never a guess: a second length, a length that is no
//! plain number, `Transfer-Encoding` in a request, bytes behind a request that can't begin another.
//!
//! - [`Requests`], [`Answers`]: readers, one a connection
//! - [`write_request`], [`write_answer`]: writers
#![forbid(unsafe_code)]

mod answers;
mod chunked;
mod fault;
mod framing;
mod message;
mod requests;
mod write;

pub use answers::Answers;
pub use fault::Fault;
pub use message::{Answer, Fields, Request};
pub use requests::Requests;
pub use write::{reason, write_answer, write_request};

/// Most bytes of a head, its empty line included.
pub const HEAD_MOST: usize = 8 * 1024;
/// Most bytes of a request's body.
pub const BODY_MOST: usize = 64 * 1024;
/// Most bytes of an answer's body: targets were seen to send six times what a request may bring.
pub const ANSWER_MOST: usize = 1024 * 1024;
/// Most fields of a head.
pub const FIELDS_MOST: usize = 64;
