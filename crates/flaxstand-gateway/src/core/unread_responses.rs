//! HTTP clients with a response that is not written completely, in the order in which they last read of it.
//!
//! Clients are queued by the time of their last progress as it was when they were last inspected; a search
//! requeues those that have made progress since.

use super::connection_table::{Connection, ConnectionTable, Protocol};
use crate::machine::{ConnId, Micros};
use std::collections::BTreeSet;

/// The clients, ordered by the queued time.
#[derive(Debug, Default)]
pub(super) struct UnreadResponses {
    queue: BTreeSet<(Micros, ConnId)>,
}

impl UnreadResponses {
    /// Adds a client.
    pub(super) fn add(&mut self, conn: ConnId, since: Micros) {
        self.queue.insert((since, conn));
    }

    /// Removes a client that has read its response or is gone.
    pub(super) fn remove(&mut self, conn: ConnId, queued: Micros) {
        self.queue.remove(&(queued, conn));
    }

    /// Returns the client that has made no progress for the longest time, if that is `min_time` or more.
    pub(super) fn longest_unread(
        &mut self,
        connections: &mut ConnectionTable,
        min_time: Micros,
        now: Micros,
    ) -> Option<ConnId> {
        loop {
            let (queued, conn) = *self.queue.first()?;
            if now.since(queued) < min_time {
                return None;
            }
            connections.count_visited();
            let Some(Connection { protocol: Protocol::HttpServer(http), .. }) = connections.get_mut(conn)
            else {
                return None;
            };
            if http.since() == queued {
                return Some(conn);
            }
            self.queue.remove(&(queued, conn));
            self.queue.insert((http.since(), conn));
            http.unread_since = Some(http.since());
        }
    }
}
