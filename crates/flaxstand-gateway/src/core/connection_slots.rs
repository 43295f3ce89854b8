//! Selects the HTTP client connection that is evicted for a new one when the connection limit is reached.
//!
//! Connections are queued by the start of their current wait, as known when they were last inspected. After a
//! later request the queued time is too early, never too late; a search requeues the stale entries that it
//! meets. So each request adds at most one step to a later search, and no work while it is served.

use super::connection_table::{Connection, ConnectionTable, Peer, Protocol};
use crate::machine::{ConnId, Micros};
use std::collections::BTreeSet;

/// Time after which a connection that has sent no complete request may be evicted for a new one.
pub(super) const UNUSED_EVICTABLE_AFTER: Micros = Micros(250_000);
/// Time after which an idle keep-alive connection may be evicted. Shorter, since its client can reconnect at
/// little cost.
const IDLE_EVICTABLE_AFTER: Micros = Micros(100_000);

/// HTTP client connections, in eviction order.
#[derive(Debug, Default)]
pub(super) struct ConnectionSlots {
    /// Connections that may send requests.
    waiting: BTreeSet<(Micros, ConnId)>,
    /// Connections that have sent their last response and discard further input.
    lingering: BTreeSet<(Micros, ConnId)>,
}

/// Queue to search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    Waiting,
    Lingering,
}

impl ConnectionSlots {
    /// Adds a connection that was opened.
    pub(super) fn add(&mut self, conn: ConnId, now: Micros) {
        self.waiting.insert((now, conn));
    }

    /// Moves a connection whose last response was sent to the lingering queue.
    pub(super) fn start_lingering(&mut self, conn: ConnId, queued: Micros, now: Micros) {
        self.remove(conn, queued);
        self.lingering.insert((now, conn));
    }

    /// Removes a connection that was closed.
    pub(super) fn remove(&mut self, conn: ConnId, queued: Micros) {
        self.waiting.remove(&(queued, conn));
        self.lingering.remove(&(queued, conn));
    }

    /// Returns the connection to evict for a new one: the one that has waited longest without a complete
    /// request, lingering ones first. Protects against clients that hold connections without using them, even
    /// if they open hundreds per second.
    pub(super) fn find_evictable(
        &mut self,
        connections: &mut ConnectionTable,
        now: Micros,
    ) -> Option<ConnId> {
        let lingering = self.longest_waiting(Queue::Lingering, connections, now);
        lingering.or_else(|| self.longest_waiting(Queue::Waiting, connections, now))
    }

    fn queue(&mut self, queue: Queue) -> &mut BTreeSet<(Micros, ConnId)> {
        match queue {
            Queue::Waiting => &mut self.waiting,
            Queue::Lingering => &mut self.lingering,
        }
    }

    fn longest_waiting(
        &mut self,
        queue: Queue,
        connections: &mut ConnectionTable,
        now: Micros,
    ) -> Option<ConnId> {
        let min_wait = match queue {
            Queue::Waiting => IDLE_EVICTABLE_AFTER,
            Queue::Lingering => Micros(0),
        };
        let mut from = (Micros(0), ConnId(0));
        loop {
            let (queued, conn) = *self.queue(queue).range(from..).next()?;
            if now.since(queued) < min_wait {
                return None;
            }
            if self.requeue_if_stale(queue, queued, conn, connections) {
                continue;
            }
            if connections.get(conn).is_some_and(|c| is_evictable(c, now)) {
                return Some(conn);
            }
            from = (queued, ConnId(conn.0 + 1));
        }
    }

    /// Requeues a connection whose queued time is stale. Returns whether it was.
    fn requeue_if_stale(
        &mut self,
        queue: Queue,
        queued: Micros,
        conn: ConnId,
        connections: &mut ConnectionTable,
    ) -> bool {
        connections.count_visited();
        let Some(Connection { protocol: Protocol::HttpServer(http), .. }) = connections.get_mut(conn) else {
            return false;
        };
        let since = http.since();
        if since == queued {
            return false;
        }
        http.queued_at = since;
        let queue = self.queue(queue);
        queue.remove(&(queued, conn));
        queue.insert((since, conn));
        true
    }
}

/// Returns whether a connection has waited long enough to be evicted.
fn is_evictable(c: &Connection, now: Micros) -> bool {
    let (Peer::Client(client), Protocol::HttpServer(http)) = (&c.peer, &c.protocol) else { return false };
    let min_wait = match (http.is_lingering(), http.requests()) {
        (true, _) => Micros(0),
        (false, 0) => UNUSED_EVICTABLE_AFTER,
        (false, _) => IDLE_EVICTABLE_AFTER,
    };
    let is_idle = client.unanswered.is_empty() && c.outbox.is_empty();
    is_idle && now.since(http.since()) >= min_wait && (http.requests() == 0 || !http.has_partial_request())
}
