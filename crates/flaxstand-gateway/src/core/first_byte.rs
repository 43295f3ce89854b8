//! The one gate that the first byte of an attempt or a probe passes. Between the module's decision and the turn in
//! which the byte would leave, its client may have left, its time may be over, its node may have begun to drain,
//! or the list of nodes may have grown too old to act on. What waits in a connection's buffer when one of these
//! happens is taken back.

use super::Core;
use super::plumbing::{Conn, Protocol, Stage, Timer};
use super::pool::Carried;
use super::requests::AttemptId;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// What the gate knows of the list's age.
#[derive(Debug, Default)]
pub(super) struct ListTrust {
    /// The moment at which it is looked at next: what the module said last.
    ends: Option<Micros>,
    /// It has been logged that the list is too old.
    lost: bool,
}

impl Core {
    /// Whether the first byte of an attempt may leave now. Asked in the turn in which it would.
    pub(super) fn may_begin(&self, attempt: AttemptId, now: Micros) -> bool {
        let Some(held) = self.requests.get(&attempt.request) else { return false };
        let Some(flight) = self.flight(attempt) else { return false };
        let in_time = now < flight.until && now < held.expires_at;
        held.owner.is_some() && in_time && self.node_takes_work(flight.node, now)
    }

    /// Whether anything may be begun at a node: it serves, as far as the list held may be trusted.
    pub(super) fn node_takes_work(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.serves(node) && self.list_is_trusted(now)
    }

    fn list_is_trusted(&self, now: Micros) -> bool {
        now.ms() < self.decider.endpoints_trusted_until()
    }

    /// Looks at the age of the list once the module has heard all that happened, and again when it becomes too old.
    pub(super) fn watch_list_trust(&mut self, now: Micros) {
        let until = self.decider.endpoints_trusted_until();
        if until.is_infinite() {
            return;
        }
        let trusted = self.list_is_trusted(now);
        // Rounded up: woken a moment early it would be found in trust, and looked at again at that same moment.
        self.arm_list_trust(trusted.then(|| Micros::from_ms(until).after(Micros(1))));
        if trusted == self.list_trust.lost {
            self.list_trust.lost = !trusted;
            self.log_list_trust(trusted);
            if !trusted {
                self.call_back_from_all(now);
            }
        }
    }

    fn arm_list_trust(&mut self, ends: Option<Micros>) {
        if self.list_trust.ends == ends {
            return;
        }
        if let Some(before) = self.list_trust.ends.take() {
            self.plumbing.cancel(before, Timer::ListTrust);
        }
        if let Some(ends) = ends {
            self.plumbing.at(ends, Timer::ListTrust);
        }
        self.list_trust.ends = ends;
    }

    fn log_list_trust(&self, trusted: bool) {
        let revision = self.discovery.revision();
        if trusted {
            info!(revision, "the list of nodes is heard again: requests are sent");
        } else {
            let held = self.requests.len();
            warn!(revision, held, "the list of nodes is too old to act on: requests are refused");
        }
    }

    /// The moment has come at which the list may be too old. It is looked at at the end of this turn.
    pub(super) fn list_trust_due(&mut self) {
        self.list_trust.ends = None;
    }

    /// The list has grown too old: what has not begun does not begin.
    fn call_back_from_all(&mut self, now: Micros) {
        let all: BTreeSet<NodeId> = self.plumbing.to_nodes().filter_map(|(_, c)| c.peer.node()).collect();
        self.call_back_from(&all, "the list is too old", now);
    }

    /// What has been handed to connections of these nodes, those of them that take nothing new, and of which no byte
    /// has left, does not begin.
    pub(super) fn call_back_from_drained(&mut self, nodes: &BTreeSet<NodeId>, now: Micros) {
        let drained = nodes.iter().copied().filter(|at| !self.nodes.serves(*at)).collect();
        self.call_back_from(&drained, "its node takes nothing new", now);
    }

    fn call_back_from(&mut self, nodes: &BTreeSet<NodeId>, why: &str, now: Micros) {
        let mut waiting: Vec<(ConnId, Carried)> = nodes.iter().flat_map(|at| self.not_begun(*at)).collect();
        waiting.sort_by_key(|(conn, _)| *conn);
        for (conn, carried) in waiting {
            self.close_under(conn, carried, why, Outcome::NotSent, now);
        }
    }

    /// Pooled connections to a node that stand, and of which nothing has been written of what they carry.
    fn not_begun(&self, at: NodeId) -> Vec<(ConnId, Carried)> {
        let handed = |attempt| Some((self.flight(attempt)?.handed?.conn, Carried::Attempt(attempt)));
        let attempts = self.upstream.in_flight(at).into_iter().filter_map(handed);
        let probes =
            self.upstream.probe_connections(at).map(|(token, conn)| (conn, Carried::Probe(at, token)));
        let waits = |(conn, carried): &(ConnId, Carried)| match self.plumbing.get(*conn) {
            Some(Conn { stage: Stage::Open, protocol: Protocol::HttpClient(link), .. }) => {
                !link.begun && link.carries() == Some(*carried)
            }
            _ => false,
        };
        attempts.chain(probes).filter(waits).collect()
    }

    /// A repeat that has waited to be written until its window was over does not begin.
    pub(super) fn begin_ends(&mut self, conn: ConnId, now: Micros) {
        let carried = self.link(conn).filter(|link| !link.begun).and_then(|link| link.carries());
        if let Some(Carried::Attempt(attempt)) = carried
            && !self.may_begin(attempt, now)
        {
            let carried = Carried::Attempt(attempt);
            self.close_under(conn, carried, "its window is over", Outcome::NotSent, now);
        }
    }
}
