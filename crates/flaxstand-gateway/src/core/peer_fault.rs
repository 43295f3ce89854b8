//! Protocol faults of peers.

use flaxstand_proto::{CloseReason, Frame};
use thiserror::Error;

/// A fault of a peer for which its connection is closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{text}")]
pub(super) struct PeerFault {
    /// Reason given to the peer in the `Bye` frame.
    pub(super) close_reason: CloseReason,
    pub(super) text: String,
}

impl PeerFault {
    /// Creates a fault with this reason and text.
    pub(super) fn new(close_reason: CloseReason, text: impl Into<String>) -> Self {
        PeerFault { close_reason, text: text.into() }
    }

    /// Creates a fault for a protocol violation.
    pub(super) fn protocol(text: impl Into<String>) -> Self {
        Self::new(CloseReason::Protocol, text)
    }

    /// Creates a fault for a frame that is not allowed from this peer or at this stage.
    pub(super) fn unexpected(frame: &Frame<'_>) -> Self {
        Self::protocol(format!("a frame that has no place here: {frame:?}"))
    }
}
