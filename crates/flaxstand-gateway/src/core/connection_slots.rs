//! Which client that speaks HTTP gives its connection slot to a new one, when connections are as many as may be.
//!
//! Connections are queued by since when they have waited, as far as that was known when they were last looked
//! at. A later request makes that stale, never too late: whoever looks puts a stale one back where it belongs. So
//! each request costs at most one step of a later look, and none while it is served.

use super::connection_table::{Connection, ConnectionTable, Peer, Protocol};
use crate::machine::{ConnId, Micros};
use std::collections::BTreeSet;

/// A connection that has sent nothing yet, among as many as may be, is closed for a new one after this.
pub(super) const SILENT_EVICTABLE_AFTER: Micros = Micros(250_000);
/// One that has asked before and waits to ask again: it comes back by a new connection, which costs it little.
const IDLE_EVICTABLE_AFTER: Micros = Micros(100_000);

/// Connections of clients that speak HTTP.
#[derive(Debug, Default)]
pub(super) struct ConnectionSlots {
    /// Those that may ask.
    waiting: BTreeSet<(Micros, ConnId)>,
    /// Those whose last answer was an error, or said so: what they send is dropped.
    lingering: BTreeSet<(Micros, ConnId)>,
}

/// Which connections are looked through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    Waiting,
    Lingering,
}

impl ConnectionSlots {
    /// A connection is open.
    pub(super) fn add(&mut self, conn: ConnId, now: Micros) {
        self.waiting.insert((now, conn));
    }

    /// A connection had its last answer.
    pub(super) fn start_lingering(&mut self, conn: ConnId, queued: Micros, now: Micros) {
        self.remove(conn, queued);
        self.lingering.insert((now, conn));
    }

    /// A connection is closed.
    pub(super) fn remove(&mut self, conn: ConnId, queued: Micros) {
        self.waiting.remove(&(queued, conn));
        self.lingering.remove(&(queued, conn));
    }

    /// The connection to close for a new one: the one that has waited longest without a whole request, those that
    /// had an error first. Guards against clients that hold connections for nothing, also by the hundred a second.
    pub(super) fn evictable(&mut self, connections: &mut ConnectionTable, now: Micros) -> Option<ConnId> {
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

    /// Queues a connection by since when it waits, if it is queued by an earlier moment.
    fn requeue_if_stale(
        &mut self,
        queue: Queue,
        queued: Micros,
        conn: ConnId,
        connections: &mut ConnectionTable,
    ) -> bool {
        connections.count_walked();
        let Some(Connection { protocol: Protocol::HttpServer(http), .. }) = connections.get_mut(conn) else {
            return false;
        };
        let since = http.since;
        if since == queued {
            return false;
        }
        http.queued = since;
        let queue = self.queue(queue);
        queue.remove(&(queued, conn));
        queue.insert((since, conn));
        true
    }
}

/// Whether a connection has waited for so long that it may be closed for another.
fn is_evictable(c: &Connection, now: Micros) -> bool {
    let (Peer::Client(client), Protocol::HttpServer(http)) = (&c.peer, &c.protocol) else { return false };
    let min_wait = match (http.is_lingering(), http.requests) {
        (true, _) => Micros(0),
        (false, 0) => SILENT_EVICTABLE_AFTER,
        (false, _) => IDLE_EVICTABLE_AFTER,
    };
    let has_nothing_owed = client.owed.is_empty() && c.outbox.is_empty();
    has_nothing_owed && now.since(http.since) >= min_wait && (http.requests == 0 || http.reader.is_empty())
}
