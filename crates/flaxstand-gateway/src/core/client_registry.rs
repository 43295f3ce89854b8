//! The number of connected clients, and the eviction order of HTTP clients.

use super::connection_slots::ConnectionSlots;
use super::unread_responses::UnreadResponses;

/// Client connections.
#[derive(Debug, Default)]
pub(super) struct ClientRegistry {
    connected: usize,
    /// HTTP clients, in eviction order.
    pub(super) slots: ConnectionSlots,
    /// HTTP clients that have not read a response.
    pub(super) unread: UnreadResponses,
}

impl ClientRegistry {
    /// Returns the number of connected clients.
    pub(super) fn len(&self) -> usize {
        self.connected
    }

    /// Counts a client that has connected.
    pub(super) fn connected(&mut self) {
        self.connected += 1;
    }

    /// Counts a client whose connection is closed.
    pub(super) fn disconnected(&mut self) {
        self.connected -= 1;
    }
}
