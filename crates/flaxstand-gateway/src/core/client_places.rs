//! Which client that speaks HTTP gives its place to a new one, when connections are as many as may be.
//!
//! Connections are queued by since when they have waited, as far as that was known when they were last looked
//! at. A later request makes that stale, never too late: whoever looks puts a stale one back where it belongs. So
//! each request costs at most one step of a later look, and none while it is served.

use super::Core;
use super::plumbing::{Conn, Peer, Protocol};
use crate::machine::{ConnId, Micros};
use std::collections::BTreeSet;

/// A connection that has said nothing yet, among as many as may be, is closed for a new one after this.
pub(super) const MUTE: Micros = Micros(250_000);
/// One that has asked before and waits to ask again: it comes back by a new connection, which costs it little.
const RESTING: Micros = Micros(100_000);

/// Connections of clients that speak HTTP.
#[derive(Debug, Default)]
pub(super) struct ClientPlaces {
    /// Those that may ask.
    waiting: BTreeSet<(Micros, ConnId)>,
    /// Those whose last answer was an error, or said so: what they send is dropped.
    close_reason: BTreeSet<(Micros, ConnId)>,
}

impl ClientPlaces {
    /// A connection stands.
    pub(super) fn add(&mut self, conn: ConnId, now: Micros) {
        self.waiting.insert((now, conn));
    }

    /// It had its last answer.
    pub(super) fn part(&mut self, conn: ConnId, queued: Micros, now: Micros) {
        self.remove(conn, queued);
        self.close_reason.insert((now, conn));
    }

    /// It is no more.
    pub(super) fn remove(&mut self, conn: ConnId, queued: Micros) {
        self.waiting.remove(&(queued, conn));
        self.close_reason.remove(&(queued, conn));
    }

    fn queue(&mut self, close_reason: bool) -> &mut BTreeSet<(Micros, ConnId)> {
        if close_reason { &mut self.close_reason } else { &mut self.waiting }
    }
}

/// Whether a connection has waited for so long that it may be closed for another.
fn gives_way(c: &Conn, now: Micros) -> bool {
    let (Peer::Client(client), Protocol::HttpServer(http)) = (&c.peer, &c.protocol) else { return false };
    let least = match (http.is_parting(), http.asked) {
        (true, _) => Micros(0),
        (false, 0) => MUTE,
        (false, _) => RESTING,
    };
    let free = client.owed.is_empty() && c.outbox.is_empty();
    free && now.since(http.since) >= least && (http.asked == 0 || http.reader.is_empty())
}

impl Core {
    /// Guards against clients that hold connections for nothing, also by the hundred a second: the one that has
    /// waited longest without a whole request is closed, those that had an error first.
    pub(super) fn make_room(&mut self, now: Micros) -> bool {
        let longest = self.longest_waiting(true, now).or_else(|| self.longest_waiting(false, now));
        if let Some(conn) = longest {
            self.lost(conn, "its place is needed", true, now);
        }
        longest.is_some()
    }

    fn longest_waiting(&mut self, close_reason: bool, now: Micros) -> Option<ConnId> {
        let least = if close_reason { Micros(0) } else { RESTING };
        let mut from = (Micros(0), ConnId(0));
        loop {
            let (queued, conn) = *self.places.queue(close_reason).range(from..).next()?;
            if now.since(queued) < least {
                return None;
            }
            if self.requeue_if_stale(close_reason, queued, conn) {
                continue;
            }
            if self.plumbing.get(conn).is_some_and(|c| gives_way(c, now)) {
                return Some(conn);
            }
            from = (queued, ConnId(conn.0 + 1));
        }
    }

    /// Queues a connection by since when it waits, if it is queued by an earlier moment.
    fn requeue_if_stale(&mut self, close_reason: bool, queued: Micros, conn: ConnId) -> bool {
        self.plumbing.count_walked();
        let Some(Conn { protocol: Protocol::HttpServer(http), .. }) = self.plumbing.get_mut(conn) else {
            return false;
        };
        let since = http.since;
        if since == queued {
            return false;
        }
        http.queued = since;
        let queue = self.places.queue(close_reason);
        queue.remove(&(queued, conn));
        queue.insert((since, conn));
        true
    }
}
