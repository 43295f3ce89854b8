//! Connections to nodes that carry one request each: a pool for every node, the newest idle one used first. An
//! response is held whole before anything of it goes on; a connection whose answer is
//! spoilt, or brings more than belongs to it, is not used again. Giving up an attempt closes its connection.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::pending_request::{AttemptId, HandOver};
use super::timers::{ProbeId, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome, Readiness, RequestId};
use flaxstand_http::{Answer, Answers, write_request};
use flaxstand_platform::{HEALTH, field, outcome_of};
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use tracing::{debug, info};

/// A head of an answer that is not whole so long after it began, or a body of which nothing more came for so
/// long, is spoilt.
const RESPONSE_STALL_TIMEOUT: Micros = Micros(250_000);
/// So long after an answer a second copy of it may follow (4 ms were seen). Until then a connection is used again only
/// if no other rests, and what is the last answer once more, head and body, and came in less than half the time that
/// any took there, is taken for such a copy: served, it would be another request's answer.
const DUPLICATE_RESPONSE_WINDOW: Micros = Micros(20_000);
/// How often idle connections are looked through.
const SWEEP_INTERVAL: Micros = Micros(1_000_000);
/// A node that is gone is remembered for so long: lists may flap.
const REMOVED_NODE_RETENTION: Micros = Micros(30_000_000);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PooledExchange {
    Attempt(AttemptId),
    Probe(ProbeId),
}

/// HTTP that we ask.
#[derive(Debug)]
pub(super) struct PooledConnection {
    reader: Answers,
    carries: Option<PooledExchange>,
    /// When its answer began, or in a body when it last went on; or when it fell idle.
    since: Micros,
    /// It was idle, and nothing has been written of what it carries now.
    pub(super) rested: bool,
    /// The first byte of what it carries has left.
    pub(super) begun: bool,
    /// When it was asked.
    asked: Micros,
    /// When the last answer came whole, and its fingerprint.
    last: Option<(Micros, u64)>,
    /// The shortest time that an answer took.
    shortest: Micros,
}

impl PooledConnection {
    fn new(carries: PooledExchange, now: Micros) -> Self {
        PooledConnection {
            reader: Answers::default(),
            carries: Some(carries),
            since: now,
            rested: false,
            begun: false,
            asked: now,
            last: None,
            shortest: Micros(u64::MAX),
        }
    }

    /// What it carries now.
    pub(super) fn carries(&self) -> Option<PooledExchange> {
        self.carries
    }

    /// Bytes of an answer that was read in part.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.len()
    }
}

/// Tells answers apart.
fn response_fingerprint(answer: &Answer) -> u64 {
    let mut hasher = DefaultHasher::new();
    answer.hash(&mut hasher);
    hasher.finish()
}

impl Core {
    pub(super) fn pooled_connection(&mut self, conn: ConnId) -> Option<&mut PooledConnection> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(link), .. }) => Some(link),
            _ => None,
        }
    }

    /// Sends by the newest idle connection to the node, by one that has rested if there is one, or by a new one.
    pub(super) fn send_pooled(&mut self, at: NodeId, what: PooledExchange, now: Micros) {
        let Some(address) = self.nodes.get(at).map(|node| node.address.clone()) else { return };
        let rested = |conn: &ConnId| match self.connections.get(*conn).map(|c| &c.protocol) {
            Some(Protocol::HttpClient(link)) => now.since(link.since) >= DUPLICATE_RESPONSE_WINDOW,
            _ => false,
        };
        if let Some(conn) = self.upstream.take_idle(at, rested) {
            self.reuse_connection(conn, what);
            return self.write_exchange(conn, now);
        }
        if self.upstream.pooled() >= self.config.bounds.links && !self.evict_longest_idle(now) {
            debug!(links = self.upstream.pooled(), "no connection to be had");
            return self.end_exchange(what, Outcome::NotSent, now);
        }
        self.upstream.pooled_opened();
        let (protocol, by) =
            (Protocol::HttpClient(PooledConnection::new(what, now)), now.after(self.config.site.waits.dial));
        let conn = self.connections.dial(&mut self.timers, Peer::Node(at), protocol, address, by);
        match what {
            PooledExchange::Attempt(attempt) => self.requests.record_hand_over(attempt, conn, u64::MAX),
            PooledExchange::Probe(..) => self.record_probe_connection(what, conn),
        }
    }

    /// An idle connection has something to carry.
    fn reuse_connection(&mut self, conn: ConnId, what: PooledExchange) {
        let Some(link) = self.pooled_connection(conn) else { return };
        let idle_since = link.since;
        (link.carries, link.rested) = (Some(what), true);
        self.upstream.mark_busy(conn, idle_since);
        self.record_probe_connection(what, conn);
    }

    /// Which connection carries a probe.
    fn record_probe_connection(&mut self, what: PooledExchange, conn: ConnId) {
        if let PooledExchange::Probe(probe) = what {
            self.upstream.set_probe_connection(probe, conn);
        }
    }

    /// What a connection carried has ended without being served.
    fn end_exchange(&mut self, what: PooledExchange, outcome: Outcome, now: Micros) {
        match what {
            PooledExchange::Attempt(attempt) => self.end_attempt(attempt, outcome, now),
            PooledExchange::Probe(probe) => self.probe_ended(probe, outcome),
        }
    }

    /// A new connection stands.
    pub(super) fn pooled_connected(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer, protocol: Protocol::HttpClient(link), .. }) = self.connections.get(conn)
        else {
            return;
        };
        let Peer::Node(at) = *peer else { return };
        // It may have come up late: what pending when it was called may hold no longer.
        let Some(carried) = link.carries else { return };
        let may = match carried {
            PooledExchange::Attempt(attempt) => self.may_send(attempt, now),
            PooledExchange::Probe(..) => self.node_accepts_work(at, now),
        };
        if may {
            return self.write_exchange(conn, now);
        }
        self.release_connection(conn, now);
        self.end_exchange(carried, Outcome::NotSent, now);
    }

    fn write_exchange(&mut self, conn: ConnId, now: Micros) {
        if let Some(link) = self.pooled_connection(conn) {
            (link.asked, link.begun) = (now, false);
        }
        let Some(Connection { peer, protocol: Protocol::HttpClient(link), .. }) = self.connections.get(conn)
        else {
            return;
        };
        let Peer::Node(at) = peer else { return };
        let host = self.nodes.get(*at).map(|n| n.address.to_string()).unwrap_or_default();
        let host: (&str, &dyn Display) = ("Host", &host);
        match link.carries {
            Some(PooledExchange::Attempt(attempt)) => {
                let id = attempt.request;
                let Some(pending) = self.requests.get_mut(id) else { return };
                let Some(origin) = pending.origin.take() else { return };
                let payload = std::mem::take(&mut pending.payload);
                let left = pending.expires_at.since(now).ms().max(1.0) / 1000.0;
                let left = format_args!("{left:.3}");
                let mut fields = vec![host, (field::ID, &origin.id), (field::TIMEOUT, &left)];
                if let Some(key) = &origin.key {
                    fields.push((field::KEY, key));
                }
                let body = pending.is_write.then_some(payload.as_slice());
                let ends = self.connections.write(conn, |bytes| {
                    write_request(bytes, origin.method, &origin.target, &fields, body);
                });
                self.counts.attempts += 1;
                if let Some(pending) = self.requests.get_mut(id) {
                    (pending.origin, pending.payload) = (Some(origin), payload);
                }
                self.requests.record_hand_over(attempt, conn, ends);
                let until = self.requests.attempt(attempt).map(|f| f.send_before);
                let expires_at = self.requests.get(id).map(|r| r.expires_at);
                if let Some(until) = until.filter(|until| Some(*until) < expires_at) {
                    self.timers.set(until, Timer::SendWindowEnds(conn));
                }
            }
            Some(PooledExchange::Probe(..)) => {
                self.connections.write(conn, |bytes| write_request(bytes, "GET", HEALTH, &[host], None));
            }
            None => {}
        }
    }

    pub(super) fn pooled_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(link) = self.pooled_connection(conn) else { return };
        if link.carries.is_none() {
            return self.close(conn, "bytes that nobody asked for", now);
        }
        let begins = link.reader.is_empty();
        let before = link.reader.len();
        link.reader.push(bytes);
        let read = link.reader.take();
        if begins || link.reader.in_body() {
            link.since = now;
        }
        let after = link.reader.len();
        self.connections.record_response_bytes(before, after);
        match read {
            Ok(Some(answer)) => self.pooled_answered(conn, &answer, now),
            Ok(None) if self.connections.response_bytes() > self.config.bounds.answer_bytes => {
                self.response_invalid(conn, &"too much is on its way in from nodes", now);
            }
            Ok(None) if begins => {
                self.timers.set(now.after(RESPONSE_STALL_TIMEOUT), Timer::StallCheck(conn));
            }
            Ok(None) => {}
            Err(fault) => self.response_invalid(conn, &fault, now),
        }
    }

    /// The peer ended its stream in good order: an answer that says no length is whole.
    pub(super) fn pooled_finished(&mut self, conn: ConnId, now: Micros) {
        let Some(link) = self.pooled_connection(conn) else { return };
        let before = link.reader.len();
        let Some(answer) = link.reader.end() else { return };
        self.connections.record_response_bytes(before, 0);
        self.pooled_answered(conn, &answer, now);
    }

    /// What came is no answer; what was asked may have run.
    fn response_invalid(&mut self, conn: ConnId, why: &dyn Display, now: Micros) {
        self.counts.protocol_faults += 1;
        let Some(link) = self.pooled_connection(conn) else { return };
        let carried = link.carries.take();
        debug!(conn = conn.0, %why, begins = link.reader.beginning(), ?carried, "a spoilt answer");
        self.close(conn, "a spoilt answer", now);
        if let Some(carried) = carried {
            self.end_exchange(carried, Outcome::Error, now);
        }
    }

    fn pooled_answered(&mut self, conn: ConnId, answer: &Answer, now: Micros) {
        let Some(link) = self.pooled_connection(conn) else { return };
        let Some(carried) = link.carries else { return };
        let print = response_fingerprint(answer);
        let latency = now.since(link.asked);
        let soon = latency.0 < link.shortest.0 / 2;
        if soon
            && link.last.is_some_and(|(at, last)| now.since(at) < DUPLICATE_RESPONSE_WINDOW && last == print)
        {
            return self.response_invalid(conn, &"the last answer once more", now);
        }
        (link.last, link.shortest) = (Some((now, print)), link.shortest.min(latency));
        link.carries = None;
        // Freed first: what the answer leads to may use it again.
        if answer.keeps {
            self.release_connection(conn, now)
        } else {
            self.close(conn, "it is not kept", now)
        }
        match (carried, outcome_of(answer)) {
            (PooledExchange::Attempt(attempt), Outcome::Served) => {
                // Which shard it is from, no client on this wire is told.
                self.attempt_served(attempt, 0, &answer.body, now);
            }
            (carried, outcome) => self.end_exchange(carried, outcome, now),
        }
    }

    /// A connection has nothing to carry.
    fn release_connection(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer: Peer::Node(at), protocol: Protocol::HttpClient(link), .. }) =
            self.connections.get_mut(conn)
        else {
            return;
        };
        (link.carries, link.since) = (None, now);
        let at = *at;
        if self.nodes.get(at).is_some_and(|node| node.readiness() != Readiness::Removed) {
            self.upstream.mark_idle(at, conn, now);
        } else {
            self.close(conn, "node is gone", now);
        }
    }

    /// A pooled connection is no more. What it carried can't have run unless all of it had left.
    pub(super) fn pooled_closed(
        &mut self,
        conn: ConnId,
        at: NodeId,
        link: &PooledConnection,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        self.upstream.pooled_closed(at, conn, link.since);
        match link.carries {
            Some(PooledExchange::Attempt(attempt)) => {
                debug!(request = attempt.request.0, cause, "an attempt's connection is lost");
                self.attempt_connection_lost(attempt, conn, written, now);
            }
            Some(carried) => self.end_exchange(carried, Outcome::ConnectFailed, now),
            None => {}
        }
    }

    /// Gives an attempt up: its connection is closed, and nothing else of the node's.
    pub(super) fn close_abandoned_attempt(
        &mut self,
        handed_over: HandOver,
        attempt: AttemptId,
        outcome: Outcome,
        now: Micros,
    ) {
        let HandOver { conn, end_offset: ends } = handed_over;
        let left = self.connections.get(conn).is_some_and(|c| c.outbox.written() >= ends);
        let outcome = if left { outcome } else { Outcome::ConnectFailed };
        self.close_with_exchange(conn, PooledExchange::Attempt(attempt), "given up", outcome, now);
    }

    /// Its client has gone: an attempt that has not wholly left does not follow it. Its connection is closed; one
    /// that is still coming up is kept, and carries nothing.
    pub(super) fn withdraw_unsent_of_request(&mut self, id: RequestId, now: Micros) {
        let Some(pending) = self.requests.get(id).filter(|_| self.on_platform()) else { return };
        let leaving = |handed_over: &HandOver| {
            let conn = self.connections.get(handed_over.conn);
            conn.is_some_and(|c| c.stage == Stage::Open && c.outbox.written() < handed_over.end_offset)
        };
        let handed_over =
            pending.in_flight.iter().filter_map(|f| Some((f.number, f.handed_over.filter(leaving)?.conn)));
        for (number, conn) in handed_over.collect::<Vec<_>>() {
            let carried = PooledExchange::Attempt(AttemptId { request: id, number });
            self.close_with_exchange(conn, carried, "its client has gone", Outcome::NotSent, now);
        }
    }

    /// Closes a connection under what it carries, which ends so.
    pub(super) fn close_with_exchange(
        &mut self,
        conn: ConnId,
        carried: PooledExchange,
        why: &str,
        outcome: Outcome,
        now: Micros,
    ) {
        if let Some(link) = self.pooled_connection(conn) {
            link.carries = None;
        }
        self.close(conn, why, now);
        self.end_exchange(carried, outcome, now);
    }

    /// A probe is not waited for any longer.
    pub(super) fn close_abandoned_probe(&mut self, conn: ConnId, probe: ProbeId, now: Micros) {
        let exchange = Some(PooledExchange::Probe(probe));
        if self.pooled_connection(conn).is_some_and(|link| link.carries == exchange) {
            self.close(conn, "a probe took too long", now);
        }
    }

    /// Looks whether a connection was at one thing for too long.
    pub(super) fn check_stalled(&mut self, conn: ConnId, now: Micros) {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(link), .. }) => {
                let due = link.since.after(RESPONSE_STALL_TIMEOUT);
                match link.carries.is_some() && !link.reader.is_empty() {
                    true if due <= now => self.response_invalid(conn, &"it does not end", now),
                    true => {
                        self.timers.set(due, Timer::StallCheck(conn));
                    }
                    false => {}
                }
            }
            Some(_) => self.check_http_stalled(conn, now),
            None => {}
        }
    }

    fn evict_longest_idle(&mut self, now: Micros) -> bool {
        let longest = self.upstream.longest_idle();
        if let Some(conn) = longest {
            self.close(conn, "its place is needed", now);
        }
        longest.is_some()
    }

    /// Closes what has idled for long, before its node does, and forgets nodes long gone.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.close_expired_idle(now);
        self.remove_expired_nodes(now);
        self.timers.set(now.after(SWEEP_INTERVAL), Timer::Sweep);
    }

    fn close_expired_idle(&mut self, now: Micros) {
        let idle = self.config.site.waits.idle;
        for conn in self.upstream.idle_for(idle, now) {
            self.close(conn, "idle", now);
        }
    }

    fn remove_expired_nodes(&mut self, now: Micros) {
        for id in self.nodes.gone_for(REMOVED_NODE_RETENTION, now) {
            if self.upstream.has_in_flight(id) {
                continue;
            }
            self.close_idle_connections(id, now);
            self.upstream.remove_node(id);
            if let Some(node) = self.nodes.remove(id) {
                info!(node = %node.name, "forgotten");
            }
        }
    }

    /// Closes a node's idle connections: its address is no longer what they lead to.
    pub(super) fn close_idle_connections(&mut self, at: NodeId, now: Micros) {
        self.upstream
            .take_all_idle(at)
            .into_iter()
            .for_each(|conn| self.close(conn, "its node has moved or is gone", now));
    }
}
