//! Memory that the data of peers takes, by kind. Each connection is charged for what it holds now; the sums
//! over all connections are compared with the bounds of [`super::Bounds`].

use super::connection_table::{Connection, Protocol};

/// Memory in bytes, by what it holds. Frame connections have their own bounds and are not charged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Incomplete or unprocessed requests of HTTP clients.
    pub incomplete_requests: usize,
    /// Accepted requests: heads that are forwarded, and bodies.
    pub accepted_requests: usize,
    /// Copies of accepted requests that are being sent to HTTP nodes.
    pub outgoing_requests: usize,
    /// Incomplete responses of HTTP nodes.
    pub incomplete_responses: usize,
    /// Responses that HTTP clients have not read.
    pub unread_responses: usize,
}

impl MemoryUse {
    /// Returns what a connection holds. What it holds within `free_bytes`, separately for each kind, is covered by
    /// the memory that is reserved for each connection.
    pub(super) fn of_connection(connection: &Connection, free_bytes: usize) -> Self {
        let beyond = |bytes: usize| bytes.saturating_sub(free_bytes);
        match &connection.protocol {
            Protocol::HttpServer(http) => MemoryUse {
                incomplete_requests: beyond(http.memory_bytes()),
                unread_responses: beyond(connection.outbox.memory_bytes()),
                ..MemoryUse::default()
            },
            Protocol::HttpClient(pooled) => MemoryUse {
                incomplete_responses: beyond(pooled.memory_bytes()),
                outgoing_requests: beyond(connection.outbox.memory_bytes()),
                ..MemoryUse::default()
            },
            Protocol::Frames(_) | Protocol::DiscoveryPoll => MemoryUse::default(),
        }
    }

    /// Replaces one part of the sums.
    pub(super) fn replace(&mut self, before: MemoryUse, after: MemoryUse) {
        let replace = |sum: &mut usize, before: usize, after: usize| *sum = *sum - before + after;
        replace(&mut self.incomplete_requests, before.incomplete_requests, after.incomplete_requests);
        replace(&mut self.accepted_requests, before.accepted_requests, after.accepted_requests);
        replace(&mut self.outgoing_requests, before.outgoing_requests, after.outgoing_requests);
        replace(&mut self.incomplete_responses, before.incomplete_responses, after.incomplete_responses);
        replace(&mut self.unread_responses, before.unread_responses, after.unread_responses);
    }
}
