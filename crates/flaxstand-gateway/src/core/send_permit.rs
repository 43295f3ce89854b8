//! Permission to send the first byte of an attempt or a probe. Between the module's decision and the moment
//! at which the byte would be sent, its client may have disconnected, its time may be over, its node may have
//! begun to drain, or the endpoint list may have grown too old to act on. What waits in a connection's buffer
//! when one of these happens is withdrawn.

use super::Core;
use super::connection_table::{Connection, Protocol, Stage};
use super::pending_request::AttemptId;
use super::pooled_connection::PooledExchange;
use super::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// For how long the endpoint list may be acted on.
#[derive(Debug, Default)]
pub(super) struct EndpointTrust {
    /// When it is looked at next: what the module said last.
    expires_at: Option<Micros>,
    /// It has been logged that the list is too old.
    is_logged_expired: bool,
}

impl Core {
    /// Whether the first byte of an attempt may be sent now. Asked just before it would be.
    pub(super) fn may_send(&self, attempt: AttemptId, now: Micros) -> bool {
        let Some(pending) = self.requests.get(attempt.request) else { return false };
        let Some(in_flight) = self.requests.attempt(attempt) else { return false };
        let is_in_time = now < in_flight.send_before && now < pending.expires_at;
        pending.owner.is_some() && is_in_time && self.node_accepts_work(in_flight.node, now)
    }

    /// Whether anything may be sent to a node: it serves, as far as the endpoint list may be trusted.
    pub(super) fn node_accepts_work(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.serves(node) && self.endpoints_are_trusted(now)
    }

    fn endpoints_are_trusted(&self, now: Micros) -> bool {
        now.ms() < self.policy.endpoints_trusted_until()
    }

    /// Checks the age of the endpoint list after all events of the turn are delivered to the module, and
    /// again when it becomes too old.
    pub(super) fn watch_endpoint_trust(&mut self, now: Micros) {
        let until = self.policy.endpoints_trusted_until();
        if until.is_infinite() {
            return;
        }
        let trusted = self.endpoints_are_trusted(now);
        // Rounded up: woken a moment early it would be found in trust, and looked at again at that same
        // moment.
        self.set_endpoint_trust_timer(trusted.then(|| Micros::from_ms(until).after(Micros(1))));
        if trusted == self.endpoint_trust.is_logged_expired {
            self.endpoint_trust.is_logged_expired = !trusted;
            self.log_endpoint_trust(trusted);
            if !trusted {
                self.withdraw_all_unsent(now);
            }
        }
    }

    fn set_endpoint_trust_timer(&mut self, expires_at: Option<Micros>) {
        if self.endpoint_trust.expires_at == expires_at {
            return;
        }
        if let Some(before) = self.endpoint_trust.expires_at.take() {
            self.timers.cancel(before, Timer::EndpointsExpire);
        }
        if let Some(expires_at) = expires_at {
            self.timers.set(expires_at, Timer::EndpointsExpire);
        }
        self.endpoint_trust.expires_at = expires_at;
    }

    fn log_endpoint_trust(&self, trusted: bool) {
        let revision = self.discovery.revision();
        if trusted {
            info!(revision, "the endpoint list is received again: requests are sent");
        } else {
            let pending = self.requests.len();
            warn!(revision, pending, "the endpoint list is too old to act on: requests are rejected");
        }
    }

    /// The moment has come at which the list may be too old. It is looked at at the end of this turn.
    pub(super) fn endpoint_trust_due(&mut self) {
        self.endpoint_trust.expires_at = None;
    }

    /// The list has grown too old: withdraws all of which no byte was sent.
    fn withdraw_all_unsent(&mut self, now: Micros) {
        let all: BTreeSet<NodeId> = self.connections.upstream().filter_map(|(_, c)| c.peer.node()).collect();
        self.withdraw_unsent(&all, "the list is too old", now);
    }

    /// Withdraws what was handed to connections of those of these nodes that accept nothing new, and of which
    /// no byte was sent.
    pub(super) fn withdraw_unsent_from_drained(&mut self, nodes: &BTreeSet<NodeId>, now: Micros) {
        let drained = nodes.iter().copied().filter(|at| !self.nodes.serves(*at)).collect();
        self.withdraw_unsent(&drained, "its node takes nothing new", now);
    }

    fn withdraw_unsent(&mut self, nodes: &BTreeSet<NodeId>, why: &str, now: Micros) {
        let mut waiting: Vec<(ConnId, PooledExchange)> =
            nodes.iter().flat_map(|at| self.unsent_exchanges(*at)).collect();
        waiting.sort_by_key(|(conn, _)| *conn);
        for (conn, exchange) in waiting {
            self.close_with_exchange(conn, exchange, why, Outcome::NotSent, now);
        }
    }

    /// Open pooled connections to a node that have sent nothing of what they carry.
    fn unsent_exchanges(&self, at: NodeId) -> Vec<(ConnId, PooledExchange)> {
        let handed_over = |attempt| {
            Some((self.requests.attempt(attempt)?.handed_over?.conn, PooledExchange::Attempt(attempt)))
        };
        let attempts = self.upstream.in_flight(at).into_iter().filter_map(handed_over);
        let probes =
            self.upstream.probe_connections(at).map(|(probe, conn)| (conn, PooledExchange::Probe(probe)));
        let waits = |(conn, exchange): &(ConnId, PooledExchange)| match self.connections.get(*conn) {
            Some(Connection { stage: Stage::Open, protocol: Protocol::HttpClient(pooled), .. }) => {
                !pooled.is_sending() && pooled.exchange() == Some(*exchange)
            }
            _ => false,
        };
        attempts.chain(probes).filter(waits).collect()
    }

    /// A retry that waited to be sent until its window was over is withdrawn. Guards against effects after
    /// the window in which the node remembers the idempotency key.
    pub(super) fn send_window_ended(&mut self, conn: ConnId, now: Micros) {
        let unsent = self.pooled_connection(conn).filter(|pooled| !pooled.is_sending());
        if let Some(exchange @ PooledExchange::Attempt(attempt)) = unsent.and_then(|pooled| pooled.exchange())
            && !self.may_send(attempt, now)
        {
            self.close_with_exchange(conn, exchange, "its window is over", Outcome::NotSent, now);
        }
    }
}
