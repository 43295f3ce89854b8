//! How many clients are connected, and which of those that speak HTTP gives its slot to a new one.

use super::connection_slots::ConnectionSlots;

/// Connections of clients.
#[derive(Debug, Default)]
pub(super) struct ClientRegistry {
    connected: usize,
    /// Those that speak HTTP, in the order in which they give way to new ones.
    pub(super) slots: ConnectionSlots,
}

impl ClientRegistry {
    /// How many clients are connected.
    pub(super) fn len(&self) -> usize {
        self.connected
    }

    /// One more client is connected.
    pub(super) fn connected(&mut self) {
        self.connected += 1;
    }

    /// A client's connection is closed.
    pub(super) fn disconnected(&mut self) {
        self.connected -= 1;
    }
}
