//! Frames between clients, initiators, storage nodes and the endpoint discovery service.
//!
//! [`frame`] has the frames themselves, [`codec`] turns them into bytes and back, [`link`] has what a
//! connection has received in part and what waits to be written. Nothing here does I/O or decides anything.
//! `docs/protocol.md` describes the bytes.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod codec;
pub mod frame;
pub mod link;
pub mod time;

pub use codec::{BodyLimit, FrameError, MAX_BODY, MAX_ENTRIES, MAX_LIST_BODY, decode, decode_within, encode};
pub use frame::*;
pub use link::{Inbox, Outbox};
pub use time::Micros;
