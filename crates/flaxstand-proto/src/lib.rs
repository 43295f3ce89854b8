//! Frames between clients, initiators, storage nodes and the list service.
//!
//! [`frame`] has the frames themselves, [`codec`] turns them into bytes and back, [`link`] holds what a
//! connection has received in part and what waits to be written. Nothing here does I/O or decides anything.
//! `docs/protocol.md` describes the bytes.
#![forbid(unsafe_code)]

pub mod codec;
pub mod frame;
pub mod link;
pub mod time;

pub use codec::{BodyLimit, FrameError, MAX_BODY, MAX_ENTRIES, MAX_LIST_BODY, decode, decode_within, encode};
pub use frame::*;
pub use link::{Inbox, Outbox};
pub use time::Micros;
