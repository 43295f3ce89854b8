//! Bookkeeping of connections to storage nodes: the connections of each node, the attempts in flight on them,
//! and the idle pooled connections. Opens and closes no connections itself.

use super::pending_request::AttemptId;
use super::timers::ProbeId;
use crate::machine::{ConnId, Micros};
use flaxstand::api::NodeId;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// An unanswered probe.
#[derive(Clone, Copy, Debug)]
struct OutstandingProbe {
    token: u64,
    /// Time at which it times out.
    times_out_at: Micros,
}

/// Connections to a node, and its attempts and probes in flight.
#[derive(Debug, Default)]
struct NodeConnections {
    /// The frame connection.
    framed: Option<ConnId>,
    /// Idle pooled connections, the one idle for longest first.
    idle: Vec<ConnId>,
    /// Attempts queued until the frame connection is open, in sending order.
    waiting: Vec<AttemptId>,
    /// Attempts in flight, including queued ones.
    in_flight: BTreeSet<AttemptId>,
    probe: Option<OutstandingProbe>,
    /// Pooled connections that carry probes, by probe token.
    probe_connections: BTreeMap<u64, ConnId>,
    /// Time since which no attempt has been in flight.
    idle_since: Micros,
}

/// Connections to storage nodes.
#[derive(Debug, Default)]
pub(super) struct UpstreamPool {
    nodes: BTreeMap<NodeId, NodeConnections>,
    /// Number of pooled connections.
    pooled: usize,
    /// Idle pooled connections, ordered by the start of the idle time.
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

    /// Returns the number of node lookups since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Removes the state of a node that is no longer listed and has nothing in flight.
    pub(super) fn remove_node(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Records an attempt as in flight at a node.
    pub(super) fn start_attempt(&mut self, node: NodeId, attempt: AttemptId) {
        self.nodes.entry(node).or_default().in_flight.insert(attempt);
    }

    /// Queues an attempt until the node's frame connection is open.
    pub(super) fn queue_attempt(&mut self, node: NodeId, attempt: AttemptId) {
        if let Some(node) = self.node_mut(node) {
            node.waiting.push(attempt);
        }
    }

    /// Removes an ended attempt. Returns whether no other attempt is in flight at the node.
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

    /// Returns the attempts in flight at a node, ordered by id.
    pub(super) fn in_flight(&self, node: NodeId) -> Vec<AttemptId> {
        self.node(node).map(|node| node.in_flight.iter().copied().collect()).unwrap_or_default()
    }

    /// Returns whether an attempt is in flight at a node.
    pub(super) fn has_in_flight(&self, node: NodeId) -> bool {
        self.node(node).is_some_and(|node| !node.in_flight.is_empty())
    }

    /// Returns a node's frame connection.
    pub(super) fn framed(&self, node: NodeId) -> Option<ConnId> {
        self.node(node)?.framed
    }

    /// Sets a node's frame connection, which is being opened.
    pub(super) fn set_framed(&mut self, node: NodeId, conn: ConnId) {
        self.nodes.entry(node).or_default().framed = Some(conn);
    }

    /// Clears a node's frame connection, which is about to be closed.
    pub(super) fn clear_framed(&mut self, node: NodeId) {
        if let Some(node) = self.node_mut(node) {
            node.framed = None;
        }
    }

    /// Records that a node's frame connection is open. Returns the attempts queued for it.
    pub(super) fn framed_opened(&mut self, node: NodeId, now: Micros) -> Vec<AttemptId> {
        let Some(node) = self.node_mut(node) else { return Vec::new() };
        node.idle_since = now;
        std::mem::take(&mut node.waiting)
    }

    /// Records that a frame connection was closed. Returns the attempts in flight on it, or `None` if it is
    /// no longer the node's connection.
    pub(super) fn framed_closed(&mut self, node: NodeId, conn: ConnId) -> Option<Vec<AttemptId>> {
        let node = self.node_mut(node).filter(|node| node.framed == Some(conn))?;
        node.framed = None;
        node.waiting.clear();
        Some(node.in_flight.iter().copied().collect())
    }

    /// Returns since when no attempt has been in flight at a node; `now` if one is.
    pub(super) fn idle_since(&self, node: NodeId, now: Micros) -> Option<Micros> {
        let node = self.node(node)?;
        Some(if node.in_flight.is_empty() { node.idle_since } else { now })
    }

    /// Returns the token for the next probe.
    pub(super) fn next_probe_token(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }

    /// Records a probe as outstanding; it replaces an earlier one.
    pub(super) fn start_probe(&mut self, probe: ProbeId, times_out_at: Micros) {
        let outstanding = OutstandingProbe { token: probe.token, times_out_at };
        self.nodes.entry(probe.node).or_default().probe = Some(outstanding);
    }

    /// Records the end of a probe. Returns when it would have timed out, if it was the outstanding one.
    pub(super) fn end_probe(&mut self, ended: ProbeId) -> Option<Micros> {
        let node = self.node_mut(ended.node)?;
        node.probe_connections.remove(&ended.token);
        Some(node.probe.take_if(|probe| probe.token == ended.token)?.times_out_at)
    }

    /// Records which connection carries a probe.
    pub(super) fn set_probe_connection(&mut self, probe: ProbeId, conn: ConnId) {
        if let Some(node) = self.node_mut(probe.node) {
            node.probe_connections.insert(probe.token, conn);
        }
    }

    /// Takes the connection that carries a probe, after the probe has timed out.
    pub(super) fn take_probe_connection(&mut self, probe: ProbeId) -> Option<ConnId> {
        self.node_mut(probe.node)?.probe_connections.remove(&probe.token)
    }

    /// Iterates over the probes on pooled connections to a node, with their connections.
    pub(super) fn probe_connections(&self, node: NodeId) -> impl Iterator<Item = (ProbeId, ConnId)> {
        let connections = self.node(node).into_iter().flat_map(|node| &node.probe_connections);
        connections.map(move |(token, conn)| (ProbeId { node, token: *token }, *conn))
    }

    /// Returns the number of pooled connections, including those being opened.
    pub(super) fn pooled(&self) -> usize {
        self.pooled
    }

    /// Counts a pooled connection that is being opened.
    pub(super) fn pooled_opened(&mut self) {
        self.pooled += 1;
    }

    /// Removes a pooled connection that was closed.
    pub(super) fn pooled_closed(&mut self, node: NodeId, conn: ConnId, idle_since: Micros) {
        self.pooled -= 1;
        self.idle.remove(&(idle_since, conn));
        if let Some(node) = self.node_mut(node) {
            node.idle.retain(|idle| *idle != conn);
        }
    }

    /// Takes the most recently used idle connection that is reusable.
    pub(super) fn take_idle(
        &mut self,
        node: NodeId,
        is_reusable: impl Fn(&ConnId) -> bool,
    ) -> Option<ConnId> {
        let idle = &mut self.node_mut(node)?.idle;
        let index = idle.iter().rposition(is_reusable)?;
        Some(idle.remove(index))
    }

    /// Records that a connection taken from the pool is no longer idle.
    pub(super) fn mark_busy(&mut self, conn: ConnId, idle_since: Micros) {
        self.idle.remove(&(idle_since, conn));
    }

    /// Adds a connection without an exchange to the idle ones.
    pub(super) fn mark_idle(&mut self, node: NodeId, conn: ConnId, now: Micros) {
        self.nodes.entry(node).or_default().idle.push(conn);
        self.idle.insert((now, conn));
    }

    /// Returns the connection that has been idle for longest, over all nodes.
    pub(super) fn longest_idle(&self) -> Option<ConnId> {
        self.idle.first().map(|(_, conn)| *conn)
    }

    /// Returns the connections that have been idle for at least `age`, the longest idle first.
    pub(super) fn idle_for(&self, age: Micros, now: Micros) -> Vec<ConnId> {
        let is_old = |(since, _): &&(Micros, ConnId)| now.since(*since) >= age;
        self.idle.iter().take_while(is_old).map(|(_, conn)| *conn).collect()
    }

    /// Takes all idle connections of a node, for closing.
    pub(super) fn take_all_idle(&mut self, node: NodeId) -> Vec<ConnId> {
        self.node_mut(node).map(|node| std::mem::take(&mut node.idle)).unwrap_or_default()
    }
}
