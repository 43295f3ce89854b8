//! What a peer did wrong on its connection.

use flaxstand_proto::{CloseReason, Frame};
use thiserror::Error;

/// A fault for which a peer's connection is closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text}")]
pub(super) struct PeerFault {
    /// What the peer is told in the `Bye` frame.
    pub(super) close_reason: CloseReason,
    pub(super) text: String,
}

impl PeerFault {
    pub(super) fn new(close_reason: CloseReason, text: impl Into<String>) -> Self {
        PeerFault { close_reason, text: text.into() }
    }

    /// The peer broke the protocol.
    pub(super) fn protocol(text: impl Into<String>) -> Self {
        Self::new(CloseReason::Protocol, text)
    }

    /// A frame that such a peer may not send, or not yet.
    pub(super) fn unexpected(frame: &Frame<'_>) -> Self {
        Self::protocol(format!("a frame that has no place here: {frame:?}"))
    }
}
