//! The one gate that the first byte of an attempt or a probe passes. Between the module's decision and the turn in
//! which the byte would leave, its client may have left, its time may be over, its node may have begun to drain,
//! or the list of nodes may have grown too old to act on. What waits in a connection's buffer when one of these
//! happens is taken back.

use super::Core;
use super::connection_table::{Connection, Protocol, Stage};
use super::pending_request::AttemptId;
use super::pooled_attempts::PooledExchange;
use super::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// What the gate knows of the list's age.
#[derive(Debug, Default)]
pub(super) struct EndpointTrust {
    /// The moment at which it is looked at next: what the module said last.
    ends: Option<Micros>,
    /// It has been logged that the list is too old.
    lost: bool,
}

impl Core {
    /// Whether the first byte of an attempt may leave now. Asked in the turn in which it would.
    pub(super) fn may_send(&self, attempt: AttemptId, now: Micros) -> bool {
        let Some(pending) = self.requests.get(attempt.request) else { return false };
        let Some(attempt_in_flight) = self.requests.attempt(attempt) else { return false };
        let in_time = now < attempt_in_flight.send_before && now < pending.expires_at;
        pending.owner.is_some() && in_time && self.node_accepts_work(attempt_in_flight.node, now)
    }

    /// Whether anything may be begun at a node: it serves, as far as the list pending may be trusted.
    pub(super) fn node_accepts_work(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.serves(node) && self.endpoints_are_trusted(now)
    }

    fn endpoints_are_trusted(&self, now: Micros) -> bool {
        now.ms() < self.policy.endpoints_trusted_until()
    }

    /// Looks at the age of the list once the module has heard all that happened, and again when it becomes too old.
    pub(super) fn watch_endpoint_trust(&mut self, now: Micros) {
        let until = self.policy.endpoints_trusted_until();
        if until.is_infinite() {
            return;
        }
        let trusted = self.endpoints_are_trusted(now);
        // Rounded up: woken a moment early it would be found in trust, and looked at again at that same moment.
        self.set_endpoint_trust_timer(trusted.then(|| Micros::from_ms(until).after(Micros(1))));
        if trusted == self.endpoint_trust.lost {
            self.endpoint_trust.lost = !trusted;
            self.log_endpoint_trust(trusted);
            if !trusted {
                self.withdraw_all_unsent(now);
            }
        }
    }

    fn set_endpoint_trust_timer(&mut self, ends: Option<Micros>) {
        if self.endpoint_trust.ends == ends {
            return;
        }
        if let Some(before) = self.endpoint_trust.ends.take() {
            self.timers.cancel(before, Timer::EndpointsExpire);
        }
        if let Some(ends) = ends {
            self.timers.set(ends, Timer::EndpointsExpire);
        }
        self.endpoint_trust.ends = ends;
    }

    fn log_endpoint_trust(&self, trusted: bool) {
        let revision = self.list.revision;
        if trusted {
            info!(revision, "the endpoint list is received again: requests are sent");
        } else {
            let pending = self.requests.len();
            warn!(revision, pending, "the endpoint list is too old to act on: requests are rejected");
        }
    }

    /// The moment has come at which the list may be too old. It is looked at at the end of this turn.
    pub(super) fn endpoint_trust_due(&mut self) {
        self.endpoint_trust.ends = None;
    }

    /// The list has grown too old: what has not begun does not begin.
    fn withdraw_all_unsent(&mut self, now: Micros) {
        let all: BTreeSet<NodeId> = self.connections.upstream().filter_map(|(_, c)| c.peer.node()).collect();
        self.withdraw_unsent(&all, "the list is too old", now);
    }

    /// What has been handed_over to connections of these nodes, those of them that take nothing new, and of which no byte
    /// has left, does not begin.
    pub(super) fn withdraw_unsent_from_drained(&mut self, nodes: &BTreeSet<NodeId>, now: Micros) {
        let drained = nodes.iter().copied().filter(|at| !self.nodes.serves(*at)).collect();
        self.withdraw_unsent(&drained, "its node takes nothing new", now);
    }

    fn withdraw_unsent(&mut self, nodes: &BTreeSet<NodeId>, why: &str, now: Micros) {
        let mut waiting: Vec<(ConnId, PooledExchange)> =
            nodes.iter().flat_map(|at| self.unsent_exchanges(*at)).collect();
        waiting.sort_by_key(|(conn, _)| *conn);
        for (conn, carried) in waiting {
            self.close_with_exchange(conn, carried, why, Outcome::NotSent, now);
        }
    }

    /// Pooled connections to a node that stand, and of which nothing has been written of what they carry.
    fn unsent_exchanges(&self, at: NodeId) -> Vec<(ConnId, PooledExchange)> {
        let handed_over = |attempt| {
            Some((self.requests.attempt(attempt)?.handed_over?.conn, PooledExchange::Attempt(attempt)))
        };
        let attempts = self.upstream.in_flight(at).into_iter().filter_map(handed_over);
        let probes =
            self.upstream.probe_connections(at).map(|(probe, conn)| (conn, PooledExchange::Probe(probe)));
        let waits = |(conn, carried): &(ConnId, PooledExchange)| match self.connections.get(*conn) {
            Some(Connection { stage: Stage::Open, protocol: Protocol::HttpClient(link), .. }) => {
                !link.begun && link.carries() == Some(*carried)
            }
            _ => false,
        };
        attempts.chain(probes).filter(waits).collect()
    }

    /// A repeat that has waited to be written until its window was over does not begin.
    pub(super) fn send_window_ended(&mut self, conn: ConnId, now: Micros) {
        let carried = self.pooled_connection(conn).filter(|link| !link.begun).and_then(|link| link.carries());
        if let Some(PooledExchange::Attempt(attempt)) = carried
            && !self.may_send(attempt, now)
        {
            let carried = PooledExchange::Attempt(attempt);
            self.close_with_exchange(conn, carried, "its window is over", Outcome::NotSent, now);
        }
    }
}
