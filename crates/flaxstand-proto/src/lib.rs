//! Frames between clients, initiators, storage nodes and the endpoint discovery service.
//!
//! [`frame`] defines the frames, [`codec`] encodes and decodes them, [`link`] provides receive and send
//! buffers for a connection. The crate performs no I/O and makes no scheduling decisions. `docs/protocol.md`
//! specifies the encoding.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod codec;
pub mod frame;
pub mod link;
pub mod time;

pub use codec::{
    BodyLimit, FrameError, MAX_BODY_BYTES, MAX_LIST_BODY_BYTES, MAX_LIST_ENTRIES, decode, decode_within,
    encode,
};
pub use frame::*;
pub use link::{Inbox, Outbox};
pub use time::Micros;
