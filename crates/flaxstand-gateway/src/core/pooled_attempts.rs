//! Attempts and probes on pooled HTTP connections, which carry one request at a time. Each node has a pool;
//! the most recently used idle connection is reused first. A response is buffered completely before it is
//! passed on. Abandoning an attempt closes its connection.
//!
//! Nothing in a response names its request, so whatever arrives on a connection must belong to the request
//! that it carries. A connection is therefore reused only once no duplicate of its last response can arrive,
//! and not after an invalid response or excess data, and it is closed when bytes arrive before its request is
//! written.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::pending_request::{AttemptId, HandOver};
use super::pooled_connection::{PooledConnection, PooledExchange, RESPONSE_STALL_TIMEOUT};
use super::timers::{ProbeId, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome, Readiness, RequestId};
use flaxstand_http::{Response, write_request};
use flaxstand_platform::{HEALTH_PATH, attempt_outcome, field};
use std::fmt::Display;
use tracing::{debug, info};

/// Interval at which idle connections and removed nodes are checked.
const SWEEP_INTERVAL: Micros = Micros(1_000_000);
/// Time for which a removed node is kept, since nodes may flap in the list.
const REMOVED_NODE_RETENTION: Micros = Micros(30_000_000);

impl Core {
    /// Returns the state of a pooled connection.
    pub(super) fn pooled_connection(&mut self, conn: ConnId) -> Option<&mut PooledConnection> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(pooled), .. }) => Some(pooled),
            _ => None,
        }
    }

    /// Sends an attempt or probe on the most recently used idle connection to the node that is reusable, or on
    /// a new connection.
    pub(super) fn send_pooled(&mut self, node_id: NodeId, exchange: PooledExchange, now: Micros) {
        let Some(address) = self.nodes.get(node_id).map(|node| node.address.clone()) else { return };
        let is_reusable = |conn: &ConnId| match self.connections.get(*conn).map(|c| &c.protocol) {
            Some(Protocol::HttpClient(pooled)) => pooled.is_reusable(now),
            _ => false,
        };
        if let Some(conn) = self.upstream.take_idle(node_id, is_reusable) {
            self.reuse_connection(conn, exchange);
            return self.write_exchange(conn, now);
        }
        if self.upstream.pooled() >= self.config.bounds.max_node_connections && !self.evict_longest_idle(now)
        {
            self.limit_counts.node_connections += 1;
            debug!(
                connections = self.upstream.pooled(),
                "limit of upstream connections reached and none is idle; not sent"
            );
            return self.end_exchange(exchange, Outcome::NotSent, now);
        }
        self.upstream.pooled_opened();
        let (protocol, by) = (
            Protocol::HttpClient(PooledConnection::new(exchange, now)),
            now.after(self.config.site.timeouts.connect_timeout),
        );
        let conn = self.connections.dial(&mut self.timers, Peer::Node(node_id), protocol, address, by);
        match exchange {
            PooledExchange::Attempt(attempt) => self.requests.record_hand_over(attempt, conn, u64::MAX),
            PooledExchange::Probe(..) => self.record_probe_connection(exchange, conn),
        }
    }

    /// Assigns an exchange to an idle connection.
    fn reuse_connection(&mut self, conn: ConnId, exchange: PooledExchange) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let idle_since = pooled.reuse(exchange);
        self.upstream.mark_busy(conn, idle_since);
        self.record_probe_connection(exchange, conn);
    }

    /// Records which connection carries a probe.
    fn record_probe_connection(&mut self, exchange: PooledExchange, conn: ConnId) {
        if let PooledExchange::Probe(probe) = exchange {
            self.upstream.set_probe_connection(probe, conn);
        }
    }

    /// Ends an exchange that was not served.
    fn end_exchange(&mut self, exchange: PooledExchange, outcome: Outcome, now: Micros) {
        match exchange {
            PooledExchange::Attempt(attempt) => self.end_attempt(attempt, outcome, now),
            PooledExchange::Probe(probe) => self.probe_ended(probe, outcome),
        }
    }

    /// Handles a newly opened connection: sends its exchange, unless that is no longer allowed.
    pub(super) fn pooled_connected(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer, protocol: Protocol::HttpClient(pooled), .. }) =
            self.connections.get(conn)
        else {
            return;
        };
        let Peer::Node(node_id) = *peer else { return };
        // Conditions may have changed while the connection was being opened.
        let Some(exchange) = pooled.exchange() else { return };
        let may_send = match exchange {
            PooledExchange::Attempt(attempt) => self.may_send(attempt, now),
            PooledExchange::Probe(..) => self.node_accepts_work(node_id, now),
        };
        if may_send {
            return self.write_exchange(conn, now);
        }
        self.release_connection(conn, now);
        self.end_exchange(exchange, Outcome::NotSent, now);
    }

    /// Writes a connection's exchange to its outbox.
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
        let Some(forwarded_head) = pending.forwarded_head.take() else { return };
        let payload = std::mem::take(&mut pending.payload);
        let expires_at = pending.expires_at;
        let seconds_left = expires_at.since(now).ms().max(1.0) / 1000.0;
        let timeout = format_args!("{seconds_left:.3}");
        let mut fields: Vec<(&str, &dyn Display)> =
            vec![("Host", &host), (field::ID, &forwarded_head.id), (field::TIMEOUT, &timeout)];
        if let Some(key) = &forwarded_head.key {
            fields.push((field::KEY, key));
        }
        let body = pending.is_write.then_some(payload.as_slice());
        let end_offset = self.connections.write(conn, |bytes| {
            write_request(bytes, forwarded_head.method, &forwarded_head.target, &fields, body);
        });
        self.counts.attempts += 1;
        if let Some(pending) = self.requests.get_mut(attempt.request) {
            (pending.forwarded_head, pending.payload) = (Some(forwarded_head), payload);
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

    /// Returns the `Host` field for requests on a connection.
    fn host_of(&self, conn: ConnId) -> String {
        let node = self.connections.get(conn).and_then(|c| c.peer.node());
        node.and_then(|node| self.nodes.get(node)).map(|node| node.address.to_string()).unwrap_or_default()
    }

    /// Handles received bytes of a response.
    pub(super) fn pooled_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(Connection { protocol: Protocol::HttpClient(pooled), outbox, .. }) =
            self.connections.get_mut(conn)
        else {
            return;
        };
        if pooled.exchange().is_none() {
            return self.close(conn, "received bytes without an outstanding request", now);
        }
        // A node starts a request when its last byte has arrived.
        if !outbox.is_empty() {
            return self.close(conn, "received bytes before the request was written", now);
        }
        let part = pooled.receive(bytes, now);
        self.connections.update_charge(conn);
        match part.response {
            Ok(Some(response)) => self.response_received(conn, &response, now),
            Ok(None) if self.exceeds_response_memory(conn) => {
                self.limit_counts.incomplete_responses += 1;
                self.response_invalid(conn, &"limit on incomplete responses of nodes exceeded", now);
            }
            Ok(None) if part.is_first => {
                self.timers.set(now.after(RESPONSE_STALL_TIMEOUT), Timer::StallCheck(conn));
            }
            Ok(None) => {}
            Err(fault) => self.response_invalid(conn, &fault, now),
        }
    }

    /// Returns whether the incomplete responses of all nodes exceed their limit and this one has a part in it.
    fn exceeds_response_memory(&self, conn: ConnId) -> bool {
        let used = self.connections.memory().incomplete_responses;
        used > self.config.bounds.max_response_bytes
            && self.connections.charge_of(conn).incomplete_responses > 0
    }

    /// Handles the orderly end of the peer's stream, which completes a response without a stated length.
    pub(super) fn pooled_finished(&mut self, conn: ConnId, now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let Some(response) = pooled.finish() else { return };
        self.connections.update_charge(conn);
        self.response_received(conn, &response, now);
    }

    /// Handles an invalid response: closes the connection. The request may have been executed.
    fn response_invalid(&mut self, conn: ConnId, why: &dyn Display, now: Micros) {
        self.counts.protocol_faults += 1;
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let exchange = pooled.take_exchange();
        debug!(
            conn = conn.0,
            %why,
            begins = pooled.response_prefix(),
            ?exchange,
            "invalid response; closing the connection"
        );
        self.close(conn, "invalid response", now);
        if let Some(exchange) = exchange {
            self.end_exchange(exchange, Outcome::Error, now);
        }
    }

    fn response_received(&mut self, conn: ConnId, response: &Response, now: Micros) {
        let Some(pooled) = self.pooled_connection(conn) else { return };
        let Some(completed) = pooled.complete_exchange(now) else { return };
        debug!(
            conn = conn.0,
            exchange = ?completed.exchange,
            status = response.status,
            latency_us = completed.latency.0,
            idle_before_us = completed.idle_before.map(|idle| idle.0),
            "response received"
        );
        // Released first, since handling the response may reuse the connection.
        if response.keeps_alive {
            self.release_connection(conn, now)
        } else {
            self.close(conn, "response does not keep the connection alive", now)
        }
        match (completed.exchange, attempt_outcome(response)) {
            (PooledExchange::Attempt(attempt), Outcome::Served) => {
                // Responses to platform clients do not contain the shard.
                self.attempt_served(attempt, 0, &response.body, now);
            }
            (exchange, outcome) => self.end_exchange(exchange, outcome, now),
        }
    }

    /// Returns a connection without an exchange to the pool.
    fn release_connection(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer: Peer::Node(node_id), protocol: Protocol::HttpClient(pooled), .. }) =
            self.connections.get_mut(conn)
        else {
            return;
        };
        pooled.release(now);
        let node_id = *node_id;
        if self.nodes.get(node_id).is_some_and(|node| node.readiness() != Readiness::Removed) {
            self.upstream.mark_idle(node_id, conn, now);
        } else {
            self.close(conn, "node was removed from the list", now);
        }
    }

    /// Handles a closed pooled connection. Its exchange can't have been executed unless it had been sent
    /// completely.
    pub(super) fn pooled_closed(
        &mut self,
        conn: ConnId,
        node_id: NodeId,
        pooled: &PooledConnection,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        self.upstream.pooled_closed(node_id, conn, pooled.since());
        match pooled.exchange() {
            Some(PooledExchange::Attempt(attempt)) => {
                debug!(request = attempt.request.0, cause, "connection of an attempt lost");
                self.attempt_connection_lost(attempt, conn, written, now);
            }
            Some(exchange) => self.end_exchange(exchange, Outcome::ConnectFailed, now),
            None => {}
        }
    }

    /// Abandons an attempt by closing its connection. Other connections to the node stay open.
    pub(super) fn close_abandoned_attempt(
        &mut self,
        handed_over: HandOver,
        attempt: AttemptId,
        outcome: Outcome,
        now: Micros,
    ) {
        let HandOver { conn, end_offset } = handed_over;
        let was_sent = self.connections.get(conn).is_some_and(|c| c.outbox.written() >= end_offset);
        let outcome = if was_sent { outcome } else { Outcome::ConnectFailed };
        self.close_with_exchange(conn, PooledExchange::Attempt(attempt), "attempt abandoned", outcome, now);
    }

    /// Withdraws the incompletely sent attempts of a request whose client has disconnected, and closes their
    /// connections. A connection that is still being opened is kept and returns to the pool.
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
            self.close_with_exchange(
                conn,
                exchange,
                "client disconnected before its request was sent",
                Outcome::NotSent,
                now,
            );
        }
    }

    /// Closes a connection and ends its exchange with this outcome.
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

    /// Closes the connection of a probe that has timed out.
    pub(super) fn close_abandoned_probe(&mut self, conn: ConnId, probe: ProbeId, now: Micros) {
        let exchange = Some(PooledExchange::Probe(probe));
        if self.pooled_connection(conn).is_some_and(|pooled| pooled.exchange() == exchange) {
            self.close(conn, "probe timed out", now);
        }
    }

    /// Handles a connection that has made no progress for too long.
    pub(super) fn check_stalled(&mut self, conn: ConnId, now: Micros) {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpClient(pooled), .. }) => match pooled.stalls_at() {
                Some(due) if due <= now => self.response_invalid(conn, &"response stalled", now),
                Some(due) => self.timers.set(due, Timer::StallCheck(conn)),
                None => {}
            },
            Some(_) => self.check_http_stalled(conn, now),
            None => {}
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    fn evict_longest_idle(&mut self, now: Micros) -> bool {
        let longest = self.upstream.longest_idle();
        if let Some(conn) = longest {
            self.close(conn, "evicted for a new connection", now);
        }
        longest.is_some()
    }

    /// Closes connections whose idle time-out has expired, before their nodes do, drops nodes removed longer
    /// ago than [`REMOVED_NODE_RETENTION`], and logs the use of resources.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.close_expired_idle(now);
        self.remove_expired_nodes(now);
        self.report_resources(now);
        self.timers.set(now.after(SWEEP_INTERVAL), Timer::Sweep);
    }

    fn close_expired_idle(&mut self, now: Micros) {
        let idle = self.config.site.timeouts.node_idle_timeout;
        for conn in self.upstream.idle_for(idle, now) {
            self.close(conn, "idle", now);
        }
    }

    fn remove_expired_nodes(&mut self, now: Micros) {
        for id in self.nodes.removed_for(REMOVED_NODE_RETENTION, now) {
            if self.upstream.has_in_flight(id) {
                continue;
            }
            self.close_idle_connections(id, now);
            self.upstream.remove_node(id);
            if let Some(node) = self.nodes.remove(id) {
                info!(node = %node.name, "removed node has not been listed again; dropping its state");
            }
        }
    }

    /// Closes a node's idle connections after its address has changed or it was removed.
    pub(super) fn close_idle_connections(&mut self, node_id: NodeId, now: Micros) {
        self.upstream
            .take_all_idle(node_id)
            .into_iter()
            .for_each(|conn| self.close(conn, "node was removed or its address has changed", now));
    }
}
