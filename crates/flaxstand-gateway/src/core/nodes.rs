//! Storage nodes: one connection to each, opened by the first attempt, closed when idle or when the node
//! is gone. What is known of an attempt whose connection broke depends on how much of it had left.

use super::Core;
use super::clients::Fault;
use super::endpoint_table::EndpointName;
use super::plumbing::{Conn, Peer, Protocol, Stage, Timer};
use super::pool::Carried;
use super::requests::{AttemptId, Owner};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{AttemptNo, Event, ListScope, NodeId, Outcome, Readiness, RequestId};
use flaxstand_proto::{
    Attempt, CloseReason, Code, Done, Frame, Inbox, Role, VERSION, VERSION_OLDEST, Welcome,
};
use tracing::{debug, info};

impl Core {
    pub(super) fn send_attempt(&mut self, attempt: AttemptId, at: NodeId, now: Micros) {
        if self.nodes.get(at).is_none() {
            return;
        }
        self.upstream.start_attempt(at, attempt);
        if self.on_platform() {
            return self.carry(at, Carried::Attempt(attempt), now);
        }
        let open = match self.upstream.framed(at) {
            Some(conn) => self.plumbing.is_open(conn).then_some(conn),
            None => {
                self.dial(at, now);
                None
            }
        };
        match open {
            Some(conn) => self.hand_over(attempt, conn, now),
            None => self.upstream.queue_attempt(at, attempt),
        }
    }

    /// A probe, at the module's word. It goes where a connection stands: it is asked for what is out there.
    pub(super) fn probe(&mut self, at: NodeId, now: Micros) {
        let ends = now.after(self.config.site.timeouts.connect_timeout);
        let token = self.upstream.next_probe_token();
        self.plumbing.at(ends, Timer::Probe(at, token));
        if self.nodes.get(at).is_none() {
            return;
        }
        self.upstream.start_probe(at, token, ends);
        if !self.node_takes_work(at, now) {
            return self.probed(at, token, Outcome::NotSent);
        }
        if self.on_platform() {
            return self.carry(at, Carried::Probe(at, token), now);
        }
        if let Some(conn) = self.upstream.framed(at).filter(|conn| self.plumbing.is_open(*conn)) {
            self.plumbing.push(conn, &Frame::Probe { token });
        }
    }

    /// A probe has been out for long enough.
    pub(super) fn probe_times_out(&mut self, at: NodeId, token: u64, now: Micros) {
        let conn = self.upstream.take_probe_connection(at, token);
        self.probed(at, token, Outcome::TimedOut);
        if let Some(conn) = conn {
            self.hang_up_probe(conn, at, token, now);
        }
    }

    /// The probe that is out ended.
    pub(super) fn probed(&mut self, at: NodeId, token: u64, outcome: Outcome) {
        if let Some(times_out_at) = self.upstream.end_probe(at, token) {
            self.plumbing.cancel(times_out_at, Timer::Probe(at, token));
            self.events.push_back(Event::ProbeEnded(at, outcome));
        }
    }

    fn dial(&mut self, at: NodeId, now: Micros) {
        let Some(node) = self.nodes.get(at) else { return };
        let by = now.after(self.config.site.timeouts.connect_timeout);
        let protocol = Protocol::Frames(Inbox::default());
        let conn = self.plumbing.dial(Peer::Node(at), protocol, node.address.clone(), by);
        self.upstream.set_framed(at, conn);
        debug!(node = %node.name, address = %node.address, conn = conn.0, "calling a node");
    }

    fn hand_over(&mut self, attempt: AttemptId, conn: ConnId, now: Micros) {
        let full =
            self.plumbing.get(conn).is_some_and(|c| c.outbox.len() > self.config.bounds.max_node_bytes);
        if full {
            // What waits for this node is at its bound; it never left, so it has not run.
            self.end_attempt(attempt, Outcome::Rejected, now);
            return;
        }
        let Some(held) = self.requests.get_mut(&attempt.request) else { return };
        // The connection has its turn for a moment; the payload must not be copied once more.
        let payload = std::mem::take(&mut held.payload);
        let frame = Frame::Attempt(Attempt {
            request: attempt.request.0,
            attempt: attempt.number.0,
            operation: held.operation,
            class: held.class,
            plan: held.plan,
            write: held.write,
            stream: self.config.site.classes[usize::from(held.class)].is_streamed,
            volume: held.volume,
            extent: held.extent,
            units: held.units,
            at: held.at,
            time_left: u32::try_from(held.expires_at.since(now).0).unwrap_or(u32::MAX),
            payload: &payload,
        });
        let ends = self.plumbing.push(conn, &frame);
        self.counts.attempts += 1;
        if let Some(held) = self.requests.get_mut(&attempt.request) {
            held.payload = payload;
        }
        self.note_handed(attempt, conn, ends);
    }

    pub(super) fn node_greeted(
        &mut self,
        conn: ConnId,
        at: NodeId,
        w: &Welcome<'_>,
        now: Micros,
    ) -> Result<(), Fault> {
        if !(VERSION_OLDEST..=VERSION).contains(&w.version) {
            return Err((CloseReason::Version, format!("version {} was not offered", w.version)));
        }
        let idle = self.config.site.timeouts.node_idle_timeout;
        let Some(node) = self.nodes.get_mut(at) else { return Ok(()) };
        if w.role != Role::Node || EndpointName::Number(w.id) != node.name {
            let text = format!("expected node {}, met {:?} {}", node.name, w.role, w.id);
            return Err((CloseReason::WrongPeer, text));
        }
        if w.epoch < node.incarnation {
            let text = format!("expected incarnation {} of node {}, met {}", node.incarnation, w.id, w.epoch);
            return Err((CloseReason::WrongPeer, text));
        }
        let waiting = self.upstream.framed_opened(at, now);
        // A start that the list has not told yet: the node is as cold as can be. Guards the rule on cold
        // nodes: of hundreds of hosts whose canaries wait for a dead node, each would send one at once.
        let restarted = w.epoch > node.incarnation;
        if restarted {
            info!(node = %node.name, incarnation = w.epoch, "met a start that the list has not told yet");
            (node.incarnation, node.started_at) = (w.epoch, Some(now.ms()));
            let entry = node.entry(at);
            self.discovery.record_restart(at);
            self.events.push_back(Event::EndpointList(ListScope::Changes, vec![entry]));
        }
        self.plumbing.is_at(conn, Stage::Open);
        self.plumbing.at(now.after(idle), Timer::Idle(conn));
        for attempt in waiting {
            if restarted || !self.may_begin(attempt, now) {
                // Not sent: the module sends it when the node bears it, if at all.
                self.end_attempt(attempt, Outcome::NotSent, now);
            } else {
                self.hand_over(attempt, conn, now);
            }
        }
        Ok(())
    }

    /// The connection is no more. An attempt whose last byte had not left can't have run; another may have.
    pub(super) fn node_lost(
        &mut self,
        conn: ConnId,
        at: NodeId,
        stage: Stage,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        let Some(out) = self.upstream.framed_closed(at, conn) else { return };
        if let Some(node) = self.nodes.get(at)
            && (!out.is_empty() || stage != Stage::Open)
        {
            info!(node = %node.name, cause, out = out.len(), ?stage, "connection to a node lost");
        }
        for attempt in out {
            self.broken_off(attempt, conn, written, now);
        }
    }

    /// Whether this word of an attempt comes from where it was sent; else nobody waits for it any more.
    fn flies(&mut self, conn: ConnId, request: u64, attempt: u32) -> Option<AttemptId> {
        let id = AttemptId { request: RequestId(request), number: AttemptNo(attempt) };
        if self.flight(id).and_then(|f| f.handed).is_some_and(|handed| handed.conn == conn) {
            return Some(id);
        }
        self.counts.late_outcomes += 1;
        debug!(request, attempt, "word of an attempt that nobody waits for");
        None
    }

    pub(super) fn attempt_done(&mut self, conn: ConnId, d: &Done<'_>, now: Micros) {
        let Some(attempt) = self.flies(conn, d.request, d.attempt) else { return };
        match d.code {
            Code::Served => {
                let Some(Conn { peer: Peer::Node(at), .. }) = self.plumbing.get(conn) else { return };
                let shard = self.nodes.get(*at).map_or(0, |n| n.shard);
                self.served(attempt, shard, d.payload, now);
            }
            Code::Error => self.end_attempt(attempt, Outcome::Error, now),
            Code::Rejected => self.end_attempt(attempt, Outcome::Rejected, now),
        }
    }

    pub(super) fn attempt_chunk(&mut self, conn: ConnId, request: u64, attempt: u32, payload: &[u8]) {
        let Some(id) = self.flies(conn, request, attempt) else { return };
        let Some(held) = self.requests.get_mut(&id.request) else { return };
        if held.merge.is_some() {
            // Only the whole of it can be laid over; until then the attempt is like any other.
            if held.gathered.0 != id.number {
                held.gathered = (id.number, Vec::new());
            }
            held.gathered.1.extend_from_slice(payload);
            return;
        }
        if !std::mem::replace(&mut held.streaming, true) {
            self.events.push_back(Event::ResponseStarted(id.request));
        }
        if let Some(Owner::Client(client, client_id)) = held.owner {
            self.plumbing.push(client, &Frame::Part { id: client_id, payload });
        }
    }

    pub(super) fn node_flight_ended(&mut self, at: NodeId, attempt: AttemptId, now: Micros) {
        if self.upstream.end_attempt(at, attempt, now) {
            self.close_if_gone(at, now);
        }
    }

    /// A node that is gone from the list and has nothing of ours out needs no connection.
    pub(super) fn close_if_gone(&mut self, at: NodeId, now: Micros) {
        let is_removed = self.nodes.get(at).is_some_and(|node| node.readiness() == Readiness::Removed);
        if !is_removed || self.upstream.has_in_flight(at) {
            return;
        }
        if let Some(conn) = self.upstream.framed(at) {
            self.upstream.clear_framed(at);
            self.lost(conn, "node is gone", true, now);
        }
    }

    pub(super) fn idle(&mut self, conn: ConnId, now: Micros) {
        let Some(Conn { peer: Peer::Node(at), .. }) = self.plumbing.get(conn) else { return };
        let (at, idle) = (*at, self.config.site.timeouts.node_idle_timeout);
        let Some(since) = self.upstream.idle_since(at, now) else { return };
        if now.since(since) >= idle {
            self.upstream.clear_framed(at);
            self.lost(conn, "idle", true, now);
        } else {
            self.plumbing.at(since.after(idle), Timer::Idle(conn));
        }
    }
}
