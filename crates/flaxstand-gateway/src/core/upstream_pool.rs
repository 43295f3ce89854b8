//! Bookkeeping of connections to storage nodes: which connection leads to which node, what is in flight on them, and
//! which pooled connections are idle. It opens and closes nothing itself.

use super::pending_request::AttemptId;
use super::timers::ProbeId;
use crate::machine::{ConnId, Micros};
use flaxstand::api::NodeId;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
struct OutstandingProbe {
    token: u64,
    /// When it ends unanswered.
    times_out_at: Micros,
}

/// Connections to one node and what is in flight on them.
#[derive(Debug, Default)]
struct NodeConnections {
    /// The one connection that carries frames.
    framed: Option<ConnId>,
    /// Pooled connections that wait for a request, the longest idle first.
    idle: Vec<ConnId>,
    /// Attempts that wait for the connection, in the order of sending.
    waiting: Vec<AttemptId>,
    /// Attempts without an end, those that wait included.
    in_flight: BTreeSet<AttemptId>,
    probe: Option<OutstandingProbe>,
    /// Pooled connections that carry probes, by the probe's token.
    probe_connections: BTreeMap<u64, ConnId>,
    /// Since when nothing has been in flight.
    idle_since: Micros,
}

/// Connections to storage nodes.
#[derive(Debug, Default)]
pub(super) struct UpstreamPool {
    nodes: BTreeMap<NodeId, NodeConnections>,
    /// Connections that carry one request each.
    pooled: usize,
    /// Those of them that carry nothing, by since when.
    idle: BTreeSet<(Micros, ConnId)>,
    next_probe: u64,
    visited: Cell<u64>,
}

impl UpstreamPool {
    fn node(&self, node: NodeId) -> Option<&NodeConnections> {
        self.visited.set(self.visited.get() + 1);
        self.nodes.get(&node)
    }

    fn node_mut(&mut self, node: NodeId) -> Option<&mut NodeConnections> {
        self.visited.set(self.visited.get() + 1);
        self.nodes.get_mut(&node)
    }

    /// How often a node was looked at since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Drops what is known of a node that is listed no more and has nothing in flight.
    pub(super) fn remove_node(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// An attempt is to go to a node.
    pub(super) fn start_attempt(&mut self, node: NodeId, attempt: AttemptId) {
        self.nodes.entry(node).or_default().in_flight.insert(attempt);
    }

    /// An attempt waits until the node's connection is open.
    pub(super) fn queue_attempt(&mut self, node: NodeId, attempt: AttemptId) {
        if let Some(node) = self.node_mut(node) {
            node.waiting.push(attempt);
        }
    }

    /// An attempt has ended. True: nothing else is in flight at the node.
    pub(super) fn end_attempt(&mut self, node: NodeId, attempt: AttemptId, now: Micros) -> bool {
        let Some(node) = self.node_mut(node) else { return false };
        node.in_flight.remove(&attempt);
        node.waiting.retain(|waiting| *waiting != attempt);
        let is_idle = node.in_flight.is_empty();
        if is_idle {
            node.idle_since = now;
        }
        is_idle
    }

    /// Attempts that have no end yet, in the order of their numbers.
    pub(super) fn in_flight(&self, node: NodeId) -> Vec<AttemptId> {
        self.node(node).map(|node| node.in_flight.iter().copied().collect()).unwrap_or_default()
    }

    /// Whether an attempt has no end yet.
    pub(super) fn has_in_flight(&self, node: NodeId) -> bool {
        self.node(node).is_some_and(|node| !node.in_flight.is_empty())
    }

    /// The connection that carries frames.
    pub(super) fn framed(&self, node: NodeId) -> Option<ConnId> {
        self.node(node)?.framed
    }

    /// A connection for frames is being opened.
    pub(super) fn set_framed(&mut self, node: NodeId, conn: ConnId) {
        self.nodes.entry(node).or_default().framed = Some(conn);
    }

    /// The connection for frames is about to be closed.
    pub(super) fn clear_framed(&mut self, node: NodeId) {
        if let Some(node) = self.node_mut(node) {
            node.framed = None;
        }
    }

    /// The connection for frames is open. Returns the attempts that waited for it.
    pub(super) fn framed_opened(&mut self, node: NodeId, now: Micros) -> Vec<AttemptId> {
        let Some(node) = self.node_mut(node) else { return Vec::new() };
        node.idle_since = now;
        std::mem::take(&mut node.waiting)
    }

    /// The connection for frames is closed. Returns what was in flight on it; none if it is not the node's any more.
    pub(super) fn framed_closed(&mut self, node: NodeId, conn: ConnId) -> Option<Vec<AttemptId>> {
        let node = self.node_mut(node).filter(|node| node.framed == Some(conn))?;
        node.framed = None;
        node.waiting.clear();
        Some(node.in_flight.iter().copied().collect())
    }

    /// Since when the node has had nothing in flight; now if it has.
    pub(super) fn idle_since(&self, node: NodeId, now: Micros) -> Option<Micros> {
        let node = self.node(node)?;
        Some(if node.in_flight.is_empty() { node.idle_since } else { now })
    }

    /// A token for the next probe.
    pub(super) fn next_probe_token(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }

    /// A probe is out from now on, in place of an earlier one.
    pub(super) fn start_probe(&mut self, probe: ProbeId, times_out_at: Micros) {
        let outstanding = OutstandingProbe { token: probe.token, times_out_at };
        self.nodes.entry(probe.node).or_default().probe = Some(outstanding);
    }

    /// A probe has ended. Returns when it would have timed out, if it was the one that is out.
    pub(super) fn end_probe(&mut self, ended: ProbeId) -> Option<Micros> {
        let node = self.node_mut(ended.node)?;
        node.probe_connections.remove(&ended.token);
        Some(node.probe.take_if(|probe| probe.token == ended.token)?.times_out_at)
    }

    /// Which connection carries a probe.
    pub(super) fn set_probe_connection(&mut self, probe: ProbeId, conn: ConnId) {
        if let Some(node) = self.node_mut(probe.node) {
            node.probe_connections.insert(probe.token, conn);
        }
    }

    /// The connection that carries a probe, which is not waited for any more.
    pub(super) fn take_probe_connection(&mut self, probe: ProbeId) -> Option<ConnId> {
        self.node_mut(probe.node)?.probe_connections.remove(&probe.token)
    }

    /// Probes that pooled connections carry, each with its connection.
    pub(super) fn probe_connections(&self, node: NodeId) -> impl Iterator<Item = (ProbeId, ConnId)> {
        let connections = self.node(node).into_iter().flat_map(|node| &node.probe_connections);
        connections.map(move |(token, conn)| (ProbeId { node, token: *token }, *conn))
    }

    /// How many pooled connections there are, those being opened included.
    pub(super) fn pooled(&self) -> usize {
        self.pooled
    }

    /// A pooled connection is being opened.
    pub(super) fn pooled_opened(&mut self) {
        self.pooled += 1;
    }

    /// A pooled connection is closed.
    pub(super) fn pooled_closed(&mut self, node: NodeId, conn: ConnId, idle_since: Micros) {
        self.pooled -= 1;
        self.idle.remove(&(idle_since, conn));
        if let Some(node) = self.node_mut(node) {
            node.idle.retain(|idle| *idle != conn);
        }
    }

    /// Takes the newest idle connection that is `preferred`, or else the newest.
    pub(super) fn take_idle(&mut self, node: NodeId, preferred: impl Fn(&ConnId) -> bool) -> Option<ConnId> {
        let idle = &mut self.node_mut(node)?.idle;
        let index = idle.iter().rposition(preferred).or(idle.len().checked_sub(1))?;
        Some(idle.remove(index))
    }

    /// A connection that was taken is not idle any more.
    pub(super) fn mark_busy(&mut self, conn: ConnId, idle_since: Micros) {
        self.idle.remove(&(idle_since, conn));
    }

    /// A connection carries nothing from now on.
    pub(super) fn mark_idle(&mut self, node: NodeId, conn: ConnId, now: Micros) {
        self.nodes.entry(node).or_default().idle.push(conn);
        self.idle.insert((now, conn));
    }

    /// The connection that has been idle for longest, of all nodes.
    pub(super) fn longest_idle(&self) -> Option<ConnId> {
        self.idle.first().map(|(_, conn)| *conn)
    }

    /// Connections that have been idle for this long or longer, the longest idle first.
    pub(super) fn idle_for(&self, age: Micros, now: Micros) -> Vec<ConnId> {
        let is_old = |(since, _): &&(Micros, ConnId)| now.since(*since) >= age;
        self.idle.iter().take_while(is_old).map(|(_, conn)| *conn).collect()
    }

    /// Takes all idle connections of a node, to be closed.
    pub(super) fn take_all_idle(&mut self, node: NodeId) -> Vec<ConnId> {
        self.node_mut(node).map(|node| std::mem::take(&mut node.idle)).unwrap_or_default()
    }
}
