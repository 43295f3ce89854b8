//! Storage nodes: one connection to each, opened by the first attempt, closed when idle or when the node
//! is gone. What is known of an attempt whose connection broke depends on how much of it had left.

use super::Core;
use super::clients::Fault;
use super::endpoint_table::{Endpoint, EndpointName};
use super::plumbing::{Conn, Peer, Protocol, Stage, Timer};
use super::pool::Carried;
use super::requests::Owner;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{AttemptNo, Event, ListScope, NodeId, Outcome, Readiness, RequestId};
use flaxstand_proto::{
    Attempt, CloseReason, Code, Done, Frame, Inbox, Role, VERSION, VERSION_OLDEST, Welcome,
};
use tracing::{debug, info};

impl Core {
    pub(super) fn node(&mut self, node: NodeId) -> Option<&mut Endpoint> {
        self.nodes.get_mut(node)
    }

    pub(super) fn send_attempt(&mut self, id: RequestId, attempt: AttemptNo, at: NodeId, now: Micros) {
        let Some(node) = self.node(at) else { return };
        node.out.insert((id, attempt));
        let conn = node.conn;
        if self.on_platform() {
            return self.carry(at, Carried::Attempt(id, attempt), now);
        }
        let open = match conn {
            Some(conn) => self.plumbing.is_open(conn).then_some(conn),
            None => {
                self.dial(at, now);
                None
            }
        };
        match open {
            Some(conn) => self.hand_over(id, attempt, conn, now),
            None => {
                if let Some(node) = self.node(at) {
                    node.waiting.push((id, attempt));
                }
            }
        }
    }

    /// A probe, at the module's word. It goes where a connection stands: it is asked for what is out there.
    pub(super) fn probe(&mut self, at: NodeId, now: Micros) {
        let ends = now.after(self.config.site.timeouts.connect_timeout);
        self.next_probe += 1;
        let token = self.next_probe;
        self.plumbing.at(ends, Timer::Probe(at, token));
        let Some(node) = self.node(at) else { return };
        node.probe = Some((token, ends));
        let conn = node.conn;
        if !self.node_takes_work(at, now) {
            return self.probed(at, token, Outcome::NotSent);
        }
        if self.on_platform() {
            return self.carry(at, Carried::Probe(at, token), now);
        }
        if let Some(conn) = conn.filter(|conn| self.plumbing.is_open(*conn)) {
            self.plumbing.push(conn, &Frame::Probe { token });
        }
    }

    /// A probe has been out for long enough.
    pub(super) fn probe_times_out(&mut self, at: NodeId, token: u64, now: Micros) {
        let link = self.node(at).and_then(|node| node.probe_links.remove(&token));
        self.probed(at, token, Outcome::TimedOut);
        if let Some(conn) = link {
            self.hang_up_probe(conn, at, token, now);
        }
    }

    /// The probe that is out ended.
    pub(super) fn probed(&mut self, at: NodeId, token: u64, outcome: Outcome) {
        let Some(node) = self.node(at) else { return };
        node.probe_links.remove(&token);
        if let Some((_, ends)) = node.probe.take_if(|(out, _)| *out == token) {
            self.plumbing.cancel(ends, Timer::Probe(at, token));
            self.events.push_back(Event::ProbeEnded(at, outcome));
        }
    }

    fn dial(&mut self, at: NodeId, now: Micros) {
        let Some(address) = self.nodes.get(at).map(|n| n.address.clone()) else { return };
        let by = now.after(self.config.site.timeouts.connect_timeout);
        let conn = self.plumbing.dial(Peer::Node(at), Protocol::Frames(Inbox::default()), address, by);
        if let Some(node) = self.node(at) {
            node.conn = Some(conn);
            debug!(node = %node.name, address = %node.address, conn = conn.0, "calling a node");
        }
    }

    fn hand_over(&mut self, id: RequestId, attempt: AttemptNo, conn: ConnId, now: Micros) {
        let full =
            self.plumbing.get(conn).is_some_and(|c| c.outbox.len() > self.config.bounds.max_node_bytes);
        if full {
            // What waits for this node is at its bound; it never left, so it has not run.
            self.end_attempt(id, attempt, Outcome::Rejected, now);
            return;
        }
        let Some(held) = self.requests.get_mut(&id) else { return };
        // The connection has its turn for a moment; the payload must not be copied once more.
        let payload = std::mem::take(&mut held.payload);
        let frame = Frame::Attempt(Attempt {
            request: id.0,
            attempt: attempt.0,
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
        if let Some(held) = self.requests.get_mut(&id) {
            held.payload = payload;
        }
        self.note_handed(id, attempt, conn, ends);
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
        let Some(node) = self.node(at) else { return Ok(()) };
        if w.role != Role::Node || EndpointName::Number(w.id) != node.name {
            let text = format!("expected node {}, met {:?} {}", node.name, w.role, w.id);
            return Err((CloseReason::WrongPeer, text));
        }
        if w.epoch < node.incarnation {
            let text = format!("expected incarnation {} of node {}, met {}", node.incarnation, w.id, w.epoch);
            return Err((CloseReason::WrongPeer, text));
        }
        node.idle_since = now;
        let waiting = std::mem::take(&mut node.waiting);
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
        for (id, attempt) in waiting {
            if restarted || !self.may_begin(id, attempt, now) {
                // Not sent: the module sends it when the node bears it, if at all.
                self.end_attempt(id, attempt, Outcome::NotSent, now);
            } else {
                self.hand_over(id, attempt, conn, now);
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
        let Some(node) = self.node(at) else { return };
        if node.conn != Some(conn) {
            return;
        }
        node.conn = None;
        node.waiting.clear();
        let out: Vec<_> = node.out.iter().copied().collect();
        if !out.is_empty() || stage != Stage::Open {
            info!(node = %node.name, cause, out = out.len(), ?stage, "connection to a node lost");
        }
        for (id, attempt) in out {
            self.broken_off(id, attempt, conn, written, now);
        }
    }

    /// Whether this word of an attempt comes from where it was sent; else nobody waits for it any more.
    fn flies(&mut self, conn: ConnId, request: u64, attempt: u32) -> Option<(RequestId, AttemptNo)> {
        let (id, attempt) = (RequestId(request), AttemptNo(attempt));
        if self.flight(id, attempt).and_then(|f| f.handed).is_some_and(|(c, _)| c == conn) {
            return Some((id, attempt));
        }
        self.counts.late_outcomes += 1;
        debug!(request, attempt = attempt.0, "word of an attempt that nobody waits for");
        None
    }

    pub(super) fn attempt_done(&mut self, conn: ConnId, d: &Done<'_>, now: Micros) {
        let Some((id, attempt)) = self.flies(conn, d.request, d.attempt) else { return };
        match d.code {
            Code::Served => {
                let Some(Conn { peer: Peer::Node(at), .. }) = self.plumbing.get(conn) else { return };
                let shard = self.nodes.get(*at).map_or(0, |n| n.shard);
                self.served(id, attempt, shard, d.payload, now);
            }
            Code::Error => self.end_attempt(id, attempt, Outcome::Error, now),
            Code::Rejected => self.end_attempt(id, attempt, Outcome::Rejected, now),
        }
    }

    pub(super) fn attempt_chunk(&mut self, conn: ConnId, request: u64, attempt: u32, payload: &[u8]) {
        let Some((id, attempt)) = self.flies(conn, request, attempt) else { return };
        let Some(held) = self.requests.get_mut(&id) else { return };
        if held.merge.is_some() {
            // Only the whole of it can be laid over; until then the attempt is like any other.
            if held.gathered.0 != attempt {
                held.gathered = (attempt, Vec::new());
            }
            held.gathered.1.extend_from_slice(payload);
            return;
        }
        if !std::mem::replace(&mut held.streaming, true) {
            self.events.push_back(Event::ResponseStarted(id));
        }
        if let Some(Owner::Client(client, client_id)) = held.owner {
            self.plumbing.push(client, &Frame::Part { id: client_id, payload });
        }
    }

    pub(super) fn node_flight_ended(&mut self, at: NodeId, id: RequestId, attempt: AttemptNo, now: Micros) {
        if let Some(node) = self.node(at) {
            node.out.remove(&(id, attempt));
            node.waiting.retain(|w| *w != (id, attempt));
            if node.out.is_empty() {
                node.idle_since = now;
                self.close_if_gone(at, now);
            }
        }
    }

    /// A node that is gone from the list and has nothing of ours out needs no connection.
    pub(super) fn close_if_gone(&mut self, at: NodeId, now: Micros) {
        let Some(node) = self.node(at) else { return };
        if let (Some(conn), Readiness::Removed, true) = (node.conn, node.readiness(), node.out.is_empty()) {
            node.conn = None;
            self.lost(conn, "node is gone", true, now);
        }
    }

    pub(super) fn idle(&mut self, conn: ConnId, now: Micros) {
        let Some(Conn { peer: Peer::Node(at), .. }) = self.plumbing.get(conn) else { return };
        let (at, idle) = (*at, self.config.site.timeouts.node_idle_timeout);
        let Some(node) = self.node(at) else { return };
        let since = if node.out.is_empty() { node.idle_since } else { now };
        if now.since(since) >= idle {
            node.conn = None;
            self.lost(conn, "idle", true, now);
        } else {
            self.plumbing.at(since.after(idle), Timer::Idle(conn));
        }
    }
}
