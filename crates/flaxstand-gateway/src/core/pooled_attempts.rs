//! Attempts and probes on connections that carry one request each: a pool for every node, the newest idle
//! connection used first. A response is buffered whole before anything of it is passed on; a connection whose
//! response is invalid, or brings more than belongs to it, is not used again. Abandoning an attempt closes
//! its connection.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::pending_request::{AttemptId, HandOver};
use super::pooled_connection::{PooledConnection, PooledExchange, RESPONSE_STALL_TIMEOUT, ResponseMatch};
use super::timers::{ProbeId, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome, Readiness, RequestId};
use flaxstand_http::{Response, write_request};
use flaxstand_platform::{HEALTH_PATH, attempt_outcome, field};
use std::fmt::Display;
use tracing::{debug, info};

/// How often idle connections are checked.
const SWEEP_INTERVAL: Micros = Micros(1_000_000);
/// A removed node is kept for this long: lists may flap.
const REMOVED_NODE_RETENTION: Micros = Micros(30_000_000);

impl Core {
    /// The state of a pooled connection.
    pub(super) fn pooled_connection(&mut self, conn: ConnId) -> Option<&mut PooledConnection> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(pooled), .. }) => Some(pooled),
            _ => None,
        }
    }

    /// Sends by the newest idle connection to the node, by one whose last response can't be repeated any more
    /// if there is one, or by a new one.
    pub(super) fn send_pooled(&mut self, at: NodeId, exchange: PooledExchange, now: Micros) {
        let Some(address) = self.nodes.get(at).map(|node| node.address.clone()) else { return };
        let is_preferred = |conn: &ConnId| match self.connections.get(*conn).map(|c| &c.protocol) {
            Some(Protocol::HttpClient(pooled)) => pooled.is_reuse_preferred(now),
            _ => false,
        };
        if let Some(conn) = self.upstream.take_idle(at, is_preferred) {
            self.reuse_connection(conn, exchange);
            return self.write_exchange(conn, now);
        }
        if self.upstream.pooled() >= self.config.bounds.max_node_connections && !self.evict_longest_idle(now)
        {
            debug!(connections = self.upstream.pooled(), "no upstream connection available");
            return self.end_exchange(exchange, Outcome::NotSent, now);
        }
        self.upstream.pooled_opened();
        let (protocol, by) = (
            Protocol::HttpClient(PooledConnection::new(exchange, now)),
            now.after(self.config.site.timeouts.connect_timeout),
        );
        let conn = self.connections.dial(&mut self.timers, Peer::Node(at), protocol, address, by);
        match exchange {
            PooledExchange::Attempt(attempt) => self.requests.record_hand_over(attempt, conn, u64::MAX),
            PooledExchange::Probe(..) => self.record_probe_connection(exchange, conn),
        }
    }

    /// An idle connection has something to carry.
    fn reuse_connection(&mut self, conn: ConnId, exchange: PooledExchange) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let idle_since = pooled.reuse(exchange);
        self.upstream.mark_busy(conn, idle_since);
        self.record_probe_connection(exchange, conn);
    }

    /// Which connection carries a probe.
    fn record_probe_connection(&mut self, exchange: PooledExchange, conn: ConnId) {
        if let PooledExchange::Probe(probe) = exchange {
            self.upstream.set_probe_connection(probe, conn);
        }
    }

    /// What a connection carried has ended without being served.
    fn end_exchange(&mut self, exchange: PooledExchange, outcome: Outcome, now: Micros) {
        match exchange {
            PooledExchange::Attempt(attempt) => self.end_attempt(attempt, outcome, now),
            PooledExchange::Probe(probe) => self.probe_ended(probe, outcome),
        }
    }

    /// A new connection is open.
    pub(super) fn pooled_connected(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer, protocol: Protocol::HttpClient(pooled), .. }) =
            self.connections.get(conn)
        else {
            return;
        };
        let Peer::Node(at) = *peer else { return };
        // It may have been opened late: what held when it was dialled may hold no longer.
        let Some(exchange) = pooled.exchange() else { return };
        let may = match exchange {
            PooledExchange::Attempt(attempt) => self.may_send(attempt, now),
            PooledExchange::Probe(..) => self.node_accepts_work(at, now),
        };
        if may {
            return self.write_exchange(conn, now);
        }
        self.release_connection(conn, now);
        self.end_exchange(exchange, Outcome::NotSent, now);
    }

    /// Puts what a connection carries into its outbox.
    fn write_exchange(&mut self, conn: ConnId, now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        pooled.start_request(now);
        match pooled.exchange() {
            Some(PooledExchange::Attempt(attempt)) => self.write_attempt(conn, attempt, now),
            Some(PooledExchange::Probe(_)) => self.write_probe(conn),
            None => {}
        }
    }

    fn write_attempt(&mut self, conn: ConnId, attempt: AttemptId, now: Micros) {
        let host = self.host_of(conn);
        let Some(pending) = self.requests.get_mut(attempt.request) else { return };
        let Some(origin) = pending.origin.take() else { return };
        let payload = std::mem::take(&mut pending.payload);
        let expires_at = pending.expires_at;
        let seconds_left = expires_at.since(now).ms().max(1.0) / 1000.0;
        let timeout = format_args!("{seconds_left:.3}");
        let mut fields: Vec<(&str, &dyn Display)> =
            vec![("Host", &host), (field::ID, &origin.id), (field::TIMEOUT, &timeout)];
        if let Some(key) = &origin.key {
            fields.push((field::KEY, key));
        }
        let body = pending.is_write.then_some(payload.as_slice());
        let end_offset = self.connections.write(conn, |bytes| {
            write_request(bytes, origin.method, &origin.target, &fields, body);
        });
        self.counts.attempts += 1;
        if let Some(pending) = self.requests.get_mut(attempt.request) {
            (pending.origin, pending.payload) = (Some(origin), payload);
        }
        self.requests.record_hand_over(attempt, conn, end_offset);
        let send_before = self.requests.attempt(attempt).map(|in_flight| in_flight.send_before);
        if let Some(send_before) = send_before.filter(|send_before| *send_before < expires_at) {
            self.timers.set(send_before, Timer::SendWindowEnds(conn));
        }
    }

    fn write_probe(&mut self, conn: ConnId) {
        let host = self.host_of(conn);
        self.connections
            .write(conn, |bytes| write_request(bytes, "GET", HEALTH_PATH, &[("Host", &host)], None));
    }

    /// The `Host` field of requests on a connection.
    fn host_of(&self, conn: ConnId) -> String {
        let node = self.connections.get(conn).and_then(|c| c.peer.node());
        node.and_then(|node| self.nodes.get(node)).map(|node| node.address.to_string()).unwrap_or_default()
    }

    /// Bytes of a response came.
    pub(super) fn pooled_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        if pooled.exchange().is_none() {
            return self.close(conn, "bytes that nobody asked for", now);
        }
        let part = pooled.receive(bytes, now);
        self.connections.record_response_bytes(part.partial_bytes_before, part.partial_bytes_after);
        match part.response {
            Ok(Some(answer)) => self.pooled_answered(conn, &answer, now),
            Ok(None) if self.connections.response_bytes() > self.config.bounds.max_response_bytes => {
                self.response_invalid(conn, &"too much is on its way in from nodes", now);
            }
            Ok(None) if part.is_first => {
                self.timers.set(now.after(RESPONSE_STALL_TIMEOUT), Timer::StallCheck(conn));
            }
            Ok(None) => {}
            Err(fault) => self.response_invalid(conn, &fault, now),
        }
    }

    /// The peer ended its stream in good order: a response that states no length is whole.
    pub(super) fn pooled_finished(&mut self, conn: ConnId, now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let before = pooled.partial_bytes();
        let Some(answer) = pooled.finish() else { return };
        self.connections.record_response_bytes(before, 0);
        self.pooled_answered(conn, &answer, now);
    }

    /// What came is no valid response; what was asked may have run.
    fn response_invalid(&mut self, conn: ConnId, why: &dyn Display, now: Micros) {
        self.counts.protocol_faults += 1;
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let exchange = pooled.take_exchange();
        debug!(conn = conn.0, %why, begins = pooled.response_beginning(), ?exchange, "invalid response");
        self.close(conn, "invalid response", now);
        if let Some(exchange) = exchange {
            self.end_exchange(exchange, Outcome::Error, now);
        }
    }

    fn pooled_answered(&mut self, conn: ConnId, answer: &Response, now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let exchange = match pooled.match_response(answer, now) {
            ResponseMatch::ResponseReader(exchange) => exchange,
            ResponseMatch::Duplicate => {
                return self.response_invalid(conn, &"the last answer once more", now);
            }
            ResponseMatch::Unrequested => return,
        };
        // Released first: what the response leads to may use the connection again.
        if answer.keeps_alive {
            self.release_connection(conn, now)
        } else {
            self.close(conn, "it is not kept", now)
        }
        match (exchange, attempt_outcome(answer)) {
            (PooledExchange::Attempt(attempt), Outcome::Served) => {
                // Clients on this wire do not learn the shard.
                self.attempt_served(attempt, 0, &answer.body, now);
            }
            (exchange, outcome) => self.end_exchange(exchange, outcome, now),
        }
    }

    /// A connection has nothing to carry.
    fn release_connection(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer: Peer::Node(at), protocol: Protocol::HttpClient(pooled), .. }) =
            self.connections.get_mut(conn)
        else {
            return;
        };
        pooled.release(now);
        let at = *at;
        if self.nodes.get(at).is_some_and(|node| node.readiness() != Readiness::Removed) {
            self.upstream.mark_idle(at, conn, now);
        } else {
            self.close(conn, "node is removed", now);
        }
    }

    /// A pooled connection is closed. What it carried can't have run unless all of it had been sent.
    pub(super) fn pooled_closed(
        &mut self,
        conn: ConnId,
        at: NodeId,
        pooled: &PooledConnection,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        self.upstream.pooled_closed(at, conn, pooled.since());
        match pooled.exchange() {
            Some(PooledExchange::Attempt(attempt)) => {
                debug!(request = attempt.request.0, cause, "an attempt's connection is lost");
                self.attempt_connection_lost(attempt, conn, written, now);
            }
            Some(exchange) => self.end_exchange(exchange, Outcome::ConnectFailed, now),
            None => {}
        }
    }

    /// Abandons an attempt: its connection is closed, and nothing else of the node's.
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
        self.close_with_exchange(conn, PooledExchange::Attempt(attempt), "attempt abandoned", outcome, now);
    }

    /// Its client has disconnected: an attempt that was not sent whole is withdrawn. Its connection is
    /// closed; one that is still being opened is kept, and carries nothing.
    pub(super) fn withdraw_unsent_of_request(&mut self, id: RequestId, now: Micros) {
        let Some(pending) = self.requests.get(id).filter(|_| self.on_platform()) else { return };
        let is_being_sent = |handed_over: &HandOver| {
            let conn = self.connections.get(handed_over.conn);
            conn.is_some_and(|c| c.stage == Stage::Open && c.outbox.written() < handed_over.end_offset)
        };
        let handed_over = pending
            .in_flight
            .iter()
            .filter_map(|f| Some((f.number, f.handed_over.filter(is_being_sent)?.conn)));
        for (number, conn) in handed_over.collect::<Vec<_>>() {
            let exchange = PooledExchange::Attempt(AttemptId { request: id, number });
            self.close_with_exchange(conn, exchange, "its client has disconnected", Outcome::NotSent, now);
        }
    }

    /// Closes a connection under what it carries, which ends so.
    pub(super) fn close_with_exchange(
        &mut self,
        conn: ConnId,
        exchange: PooledExchange,
        why: &str,
        outcome: Outcome,
        now: Micros,
    ) {
        if let Some(pooled) = self.pooled_connection(conn) {
            pooled.take_exchange();
        }
        self.close(conn, why, now);
        self.end_exchange(exchange, outcome, now);
    }

    /// A probe is not waited for any longer.
    pub(super) fn close_abandoned_probe(&mut self, conn: ConnId, probe: ProbeId, now: Micros) {
        let exchange = Some(PooledExchange::Probe(probe));
        if self.pooled_connection(conn).is_some_and(|pooled| pooled.exchange() == exchange) {
            self.close(conn, "a probe took too long", now);
        }
    }

    /// Checks whether a connection has made no progress for too long.
    pub(super) fn check_stalled(&mut self, conn: ConnId, now: Micros) {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(pooled), .. }) => match pooled.stalls_at() {
                Some(due) if due <= now => self.response_invalid(conn, &"it does not end", now),
                Some(due) => self.timers.set(due, Timer::StallCheck(conn)),
                None => {}
            },
            Some(_) => self.check_http_stalled(conn, now),
            None => {}
        }
    }

    fn evict_longest_idle(&mut self, now: Micros) -> bool {
        let longest = self.upstream.longest_idle();
        if let Some(conn) = longest {
            self.close(conn, "its slot is needed", now);
        }
        longest.is_some()
    }

    /// Closes what has idled for long, before its node does, and drops nodes that were removed long ago.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.close_expired_idle(now);
        self.remove_expired_nodes(now);
        self.timers.set(now.after(SWEEP_INTERVAL), Timer::Sweep);
    }

    fn close_expired_idle(&mut self, now: Micros) {
        let idle = self.config.site.timeouts.node_idle_timeout;
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
                info!(node = %node.name, "removed node dropped");
            }
        }
    }

    /// Closes a node's idle connections: its address is no longer what they lead to.
    pub(super) fn close_idle_connections(&mut self, at: NodeId, now: Micros) {
        self.upstream
            .take_all_idle(at)
            .into_iter()
            .for_each(|conn| self.close(conn, "its node has moved or is removed", now));
    }
}
