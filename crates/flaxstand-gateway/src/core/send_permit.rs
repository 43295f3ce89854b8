//! Checks whether the first byte of an attempt or a probe may be sent. Between the module's decision and the
//! transmission, the client may disconnect, the deadline may pass, the node may start to drain, or the
//! endpoint list may expire. In these cases an unsent exchange in a connection's outbox is withdrawn.

use super::Core;
use super::connection_table::{Connection, Protocol, Stage};
use super::pending_request::AttemptId;
use super::pooled_connection::PooledExchange;
use super::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Tracks when the endpoint list expires.
#[derive(Debug, Default)]
pub(super) struct EndpointTrust {
    /// Time of the timer for the next check, from the expiry time last reported by the module.
    expires_at: Option<Micros>,
    /// The expiry of the list was logged.
    is_logged_expired: bool,
}

impl Core {
    /// Returns whether the first byte of an attempt may be sent now. Called immediately before sending.
    pub(super) fn may_send(&self, attempt: AttemptId, now: Micros) -> bool {
        let Some(pending) = self.requests.get(attempt.request) else { return false };
        let Some(in_flight) = self.requests.attempt(attempt) else { return false };
        let is_in_time = now < in_flight.send_before && now < pending.expires_at;
        pending.owner.is_some() && is_in_time && self.node_accepts_work(in_flight.node, now)
    }

    /// Returns whether new work may be sent to a node: it is serving, and the endpoint list has not expired.
    pub(super) fn node_accepts_work(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.serves(node) && self.endpoints_are_trusted(now)
    }

    fn endpoints_are_trusted(&self, now: Micros) -> bool {
        now.ms() < self.policy.endpoints_trusted_until()
    }

    /// Checks whether the endpoint list has expired. Called after all events of the turn are delivered to the
    /// module; sets a timer for the expiry.
    pub(super) fn watch_endpoint_trust(&mut self, now: Micros) {
        let until = self.policy.endpoints_trusted_until();
        if until.is_infinite() {
            return;
        }
        let trusted = self.endpoints_are_trusted(now);
        // Rounded up: a timer that fires a fraction of a microsecond early would find the list still valid,
        // and be set again for the same time.
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
            info!(revision, "endpoint list is up to date again; resuming requests");
        } else {
            let pending = self.requests.len();
            warn!(revision, pending, "endpoint list is too old; rejecting requests until it is updated");
        }
    }

    /// Handles the timer for the list's expiry. The list is checked at the end of this turn.
    pub(super) fn endpoint_trust_due(&mut self) {
        self.endpoint_trust.expires_at = None;
    }

    /// Withdraws all exchanges of which no byte was sent, after the list has expired.
    fn withdraw_all_unsent(&mut self, now: Micros) {
        let all: BTreeSet<NodeId> = self.connections.upstream().filter_map(|(_, c)| c.peer.node()).collect();
        self.withdraw_unsent(&all, "endpoint list expired before sending", now);
    }

    /// Withdraws the exchanges of which no byte was sent at those of the given nodes that are not serving.
    pub(super) fn withdraw_unsent_from_drained(&mut self, nodes: &BTreeSet<NodeId>, now: Micros) {
        let drained = nodes.iter().copied().filter(|node_id| !self.nodes.serves(*node_id)).collect();
        self.withdraw_unsent(&drained, "node stopped serving before sending", now);
    }

    fn withdraw_unsent(&mut self, nodes: &BTreeSet<NodeId>, why: &str, now: Micros) {
        let mut unsent: Vec<(ConnId, PooledExchange)> =
            nodes.iter().flat_map(|node_id| self.unsent_exchanges(*node_id)).collect();
        unsent.sort_by_key(|(conn, _)| *conn);
        for (conn, exchange) in unsent {
            self.close_with_exchange(conn, exchange, why, Outcome::NotSent, now);
        }
    }

    /// Returns the open pooled connections to a node that have sent no byte of their exchange.
    fn unsent_exchanges(&self, node_id: NodeId) -> Vec<(ConnId, PooledExchange)> {
        let handed_over = |attempt| {
            Some((self.requests.attempt(attempt)?.handed_over?.conn, PooledExchange::Attempt(attempt)))
        };
        let attempts = self.upstream.in_flight(node_id).into_iter().filter_map(handed_over);
        let probes = self
            .upstream
            .probe_connections(node_id)
            .map(|(probe, conn)| (conn, PooledExchange::Probe(probe)));
        let is_unsent = |(conn, exchange): &(ConnId, PooledExchange)| match self.connections.get(*conn) {
            Some(Connection { stage: Stage::Open, protocol: Protocol::HttpClient(pooled), .. }) => {
                !pooled.is_sending() && pooled.exchange() == Some(*exchange)
            }
            _ => false,
        };
        attempts.chain(probes).filter(is_unsent).collect()
    }

    /// Withdraws a retry that was not sent within its send window. Prevents it from being executed after the
    /// node has discarded the idempotency key.
    pub(super) fn send_window_ended(&mut self, conn: ConnId, now: Micros) {
        let unsent = self.pooled_connection(conn).filter(|pooled| !pooled.is_sending());
        if let Some(exchange @ PooledExchange::Attempt(attempt)) = unsent.and_then(|pooled| pooled.exchange())
            && !self.may_send(attempt, now)
        {
            self.close_with_exchange(
                conn,
                exchange,
                "send window ended before sending",
                Outcome::NotSent,
                now,
            );
        }
    }
}
