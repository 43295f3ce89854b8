//! Attempts and probes on frame connections: one connection per node, opened by the first attempt, closed
//! when idle or when the node is removed. When a connection breaks, an attempt may have been executed if it
//! had been sent completely.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::endpoint_table::EndpointName;
use super::peer_fault::PeerFault;
use super::pending_request::{AttemptId, Owner, StreamedParts};
use super::pooled_connection::PooledExchange;
use super::timers::{ProbeId, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{AttemptNo, Event, ListScope, NodeId, Outcome, Readiness, RequestId};
use flaxstand_proto::{
    Attempt, CloseReason, Code, Done, Frame, Inbox, Role, VERSION, VERSION_OLDEST, Welcome,
};
use tracing::{debug, info};

impl Core {
    /// Sends an attempt to its node, immediately or once the connection is open.
    pub(super) fn send_attempt(&mut self, attempt: AttemptId, node_id: NodeId, now: Micros) {
        if self.nodes.get(node_id).is_none() {
            return;
        }
        self.upstream.start_attempt(node_id, attempt);
        if self.on_platform() {
            return self.send_pooled(node_id, PooledExchange::Attempt(attempt), now);
        }
        let open = match self.upstream.framed(node_id) {
            Some(conn) => self.connections.is_open(conn).then_some(conn),
            None => {
                self.connect_node(node_id, now);
                None
            }
        };
        match open {
            Some(conn) => self.hand_over(attempt, conn, now),
            None => self.upstream.queue_attempt(node_id, attempt),
        }
    }

    /// Sends a probe on behalf of the module. On the frame protocol it is sent only if a connection is open.
    pub(super) fn start_probe(&mut self, node_id: NodeId, now: Micros) {
        let ends = now.after(self.config.site.timeouts.connect_timeout);
        let probe = ProbeId { node: node_id, token: self.upstream.next_probe_token() };
        self.timers.set(ends, Timer::ProbeTimeout(probe));
        if self.nodes.get(node_id).is_none() {
            return;
        }
        self.upstream.start_probe(probe, ends);
        if !self.node_accepts_work(node_id, now) {
            return self.probe_ended(probe, Outcome::NotSent);
        }
        if self.on_platform() {
            return self.send_pooled(node_id, PooledExchange::Probe(probe), now);
        }
        if let Some(conn) = self.upstream.framed(node_id).filter(|conn| self.connections.is_open(*conn)) {
            self.connections.send_frame(conn, &Frame::Probe { token: probe.token });
        }
    }

    /// Handles the time-out of a probe.
    pub(super) fn probe_timed_out(&mut self, probe: ProbeId, now: Micros) {
        let conn = self.upstream.take_probe_connection(probe);
        self.probe_ended(probe, Outcome::TimedOut);
        if let Some(conn) = conn {
            self.close_abandoned_probe(conn, probe, now);
        }
    }

    /// Reports the end of a probe to the module. Ignored unless it is the outstanding one.
    pub(super) fn probe_ended(&mut self, probe: ProbeId, outcome: Outcome) {
        if let Some(times_out_at) = self.upstream.end_probe(probe) {
            self.timers.cancel(times_out_at, Timer::ProbeTimeout(probe));
            self.events.push_back(Event::ProbeEnded(probe.node, outcome));
        }
    }

    fn connect_node(&mut self, node_id: NodeId, now: Micros) {
        let Some(node) = self.nodes.get(node_id) else { return };
        let by = now.after(self.config.site.timeouts.connect_timeout);
        let protocol = Protocol::Frames(Inbox::default());
        let conn =
            self.connections.dial(&mut self.timers, Peer::Node(node_id), protocol, node.address.clone(), by);
        self.upstream.set_framed(node_id, conn);
        debug!(node = %node.name, address = %node.address, conn = conn.0, "connecting to a node");
    }

    fn hand_over(&mut self, attempt: AttemptId, conn: ConnId, now: Micros) {
        let is_full =
            self.connections.get(conn).is_some_and(|c| c.outbox.len() > self.config.bounds.max_node_bytes);
        if is_full {
            // Bounds the memory taken by a node that does not read. The attempt was not sent, so it was not
            // executed.
            self.end_attempt(attempt, Outcome::Rejected, now);
            return;
        }
        let Some(pending) = self.requests.get_mut(attempt.request) else { return };
        // Moved out for the call, to avoid another copy.
        let payload = std::mem::take(&mut pending.payload);
        let frame = Frame::Attempt(Attempt {
            request: attempt.request.0,
            attempt: attempt.number.0,
            operation: pending.operation,
            class: pending.class,
            plan: pending.plan,
            write: pending.is_write,
            stream: self.config.site.classes[usize::from(pending.class)].is_streamed,
            volume: pending.volume,
            extent: pending.extent,
            units: pending.units,
            at: pending.offset,
            time_left: pending.expires_at.since(now).saturating_u32(),
            payload: &payload,
        });
        let ends = self.connections.send_frame(conn, &frame);
        self.counts.attempts += 1;
        if let Some(pending) = self.requests.get_mut(attempt.request) {
            pending.payload = payload;
        }
        self.requests.record_hand_over(attempt, conn, ends);
    }

    /// Handles a node's reply to the greeting.
    ///
    /// # Errors
    /// The protocol version was not offered, or the peer is not the expected node or incarnation.
    pub(super) fn node_greeted(
        &mut self,
        conn: ConnId,
        node_id: NodeId,
        w: &Welcome<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        if !(VERSION_OLDEST..=VERSION).contains(&w.version) {
            return Err(PeerFault::new(
                CloseReason::Version,
                format!("version {} was not offered", w.version),
            ));
        }
        let idle = self.config.site.timeouts.node_idle_timeout;
        let Some(node) = self.nodes.get_mut(node_id) else { return Ok(()) };
        if w.role != Role::Node || EndpointName::Number(w.id) != node.name {
            let text = format!("expected node {}, met {:?} {}", node.name, w.role, w.id);
            return Err(PeerFault::new(CloseReason::WrongPeer, text));
        }
        if w.epoch < node.incarnation {
            let text = format!("expected incarnation {} of node {}, met {}", node.incarnation, w.id, w.epoch);
            return Err(PeerFault::new(CloseReason::WrongPeer, text));
        }
        let waiting = self.upstream.framed_opened(node_id, now);
        // Preserves slow start: hundreds of initiators whose attempts wait for a failed node would otherwise
        // all send at once to a node that has just restarted, before the endpoint list reports the restart.
        let restarted = w.epoch > node.incarnation;
        if restarted {
            info!(
                node = %node.name,
                incarnation = w.epoch,
                "node has restarted before the endpoint list reports it; its queued attempts are not sent"
            );
            (node.incarnation, node.started_at) = (w.epoch, Some(now.ms()));
            let entry = node.entry(node_id);
            self.discovery.record_restart(node_id);
            self.events.push_back(Event::EndpointList(ListScope::Changes, vec![entry]));
        }
        self.connections.set_stage(conn, Stage::Open);
        self.timers.set(now.after(idle), Timer::IdleTimeout(conn));
        for attempt in waiting {
            if restarted || !self.may_send(attempt, now) {
                // The module decides whether and when it is sent again.
                self.end_attempt(attempt, Outcome::NotSent, now);
            } else {
                self.hand_over(attempt, conn, now);
            }
        }
        Ok(())
    }

    /// Handles a closed connection to a node and ends the attempts in flight on it.
    pub(super) fn node_disconnected(
        &mut self,
        conn: ConnId,
        node_id: NodeId,
        stage: Stage,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        let Some(in_flight) = self.upstream.framed_closed(node_id, conn) else { return };
        if let Some(node) = self.nodes.get(node_id)
            && (!in_flight.is_empty() || stage != Stage::Open)
        {
            info!(node = %node.name, cause, in_flight = in_flight.len(), ?stage, "connection to a node lost");
        }
        for attempt in in_flight {
            self.attempt_connection_lost(attempt, conn, written, now);
        }
    }

    /// Returns the attempt that a frame refers to, if it is in flight on this connection.
    fn in_flight_on(&mut self, conn: ConnId, request: u64, attempt: u32) -> Option<AttemptId> {
        let id = AttemptId { request: RequestId(request), number: AttemptNo(attempt) };
        let handed_over = self.requests.attempt(id).and_then(|attempt| attempt.handed_over);
        if handed_over.is_some_and(|handed_over| handed_over.conn == conn) {
            return Some(id);
        }
        self.counts.late_outcomes += 1;
        debug!(request, attempt, "outcome of an attempt that is not in flight ignored");
        None
    }

    /// Handles the outcome of an attempt.
    pub(super) fn attempt_done(&mut self, conn: ConnId, d: &Done<'_>, now: Micros) {
        let Some(attempt) = self.in_flight_on(conn, d.request, d.attempt) else { return };
        match d.code {
            Code::Served => {
                let Some(Connection { peer: Peer::Node(node_id), .. }) = self.connections.get(conn) else {
                    return;
                };
                let shard = self.nodes.get(*node_id).map_or(0, |n| n.shard);
                self.attempt_served(attempt, shard, d.payload, now);
            }
            Code::Error => self.end_attempt(attempt, Outcome::Error, now),
            Code::Rejected => self.end_attempt(attempt, Outcome::Rejected, now),
        }
    }

    /// Handles part of an attempt's streamed response.
    pub(super) fn attempt_chunk(&mut self, conn: ConnId, request: u64, attempt: u32, payload: &[u8]) {
        let Some(id) = self.in_flight_on(conn, request, attempt) else { return };
        let Some(pending) = self.requests.get_mut(id.request) else { return };
        if pending.merge_extent.is_some() {
            // Buffered writes can be overlaid only on the complete response.
            if pending.streamed.attempt != id.number {
                pending.streamed = StreamedParts { attempt: id.number, bytes: Vec::new() };
            }
            pending.streamed.bytes.extend_from_slice(payload);
            return;
        }
        if !std::mem::replace(&mut pending.is_streaming, true) {
            self.events.push_back(Event::ResponseStarted(id.request));
        }
        if let Some(Owner::Client { conn: client, client_id }) = pending.owner {
            self.connections.send_frame(client, &Frame::Part { id: client_id, payload });
        }
    }

    /// Removes an ended attempt from those in flight at its node.
    pub(super) fn remove_from_node(&mut self, node_id: NodeId, attempt: AttemptId, now: Micros) {
        if self.upstream.end_attempt(node_id, attempt, now) {
            self.close_if_removed(node_id, now);
        }
    }

    /// Closes the connection to a node that was removed from the list, unless an attempt is in flight on it.
    pub(super) fn close_if_removed(&mut self, node_id: NodeId, now: Micros) {
        let is_removed = self.nodes.get(node_id).is_some_and(|node| node.readiness() == Readiness::Removed);
        if !is_removed || self.upstream.has_in_flight(node_id) {
            return;
        }
        if let Some(conn) = self.upstream.framed(node_id) {
            self.upstream.clear_framed(node_id);
            self.close(conn, "node was removed from the list", now);
        }
    }

    /// Closes a connection to a node if its idle time-out has expired, or sets the timer again.
    pub(super) fn check_idle(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection { peer: Peer::Node(node_id), .. }) = self.connections.get(conn) else { return };
        let (node_id, idle) = (*node_id, self.config.site.timeouts.node_idle_timeout);
        let Some(since) = self.upstream.idle_since(node_id, now) else { return };
        if now.since(since) >= idle {
            self.upstream.clear_framed(node_id);
            self.close(conn, "idle", now);
        } else {
            self.timers.set(since.after(idle), Timer::IdleTimeout(conn));
        }
    }
}
