//! A request's life: taken, sent at the module's word, answered once, forgotten when its last attempt has
//! ended.

use super::Core;
use super::http_server::Origin;
use super::plumbing::{Peer, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{Action, AttemptEnd, AttemptNo, Event, NodeId, Outcome, RequestId};
use flaxstand_proto::{Frame, Refusal, Scope, Submit};
use flaxstand_write_back::{ExtentId, Write, WriteOutId};
use tracing::{debug, error};

/// An attempt that is out, or waits for its node's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) attempt: AttemptNo,
    pub(super) node: NodeId,
    pub(super) sent: Micros,
    /// Its first byte must leave before this.
    pub(super) until: Micros,
    pub(super) handed: Option<HandedOver>,
}

/// Names an attempt among all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: AttemptNo,
}

/// The connection that an attempt was handed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HandedOver {
    pub(super) conn: ConnId,
    /// Where in its stream the attempt ends, bytes; the last place there is while that is not known.
    pub(super) ends: u64,
}

/// Whom an answer is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A client, by its connection and its own number for the request.
    Client(ConnId, u64),
    /// The write-back buffer.
    Buffer(WriteOutId),
}

/// Who has the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum With {
    /// The module. `through`: the buffer let it go and is told of its end.
    Module { through: bool },
    /// The write-back buffer; the module has not heard of it.
    Buffer,
}

/// What it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing: nobody waited any more.
    None,
    Served,
    /// With the wait that was advised.
    NotRun(Micros),
    Failed,
}

/// A request from its arrival until it is answered and nothing of it is out.
#[derive(Debug)]
pub(super) struct Held {
    /// Whom an answer is owed. None: nobody any more.
    pub(super) owner: Option<Owner>,
    /// Whose it was at first.
    pub(super) owner_was: Owner,
    pub(super) with: With,
    pub(super) verdict: Verdict,
    /// An attempt of it has ended that may still run.
    pub(super) ran: bool,
    /// A read: what is buffered of this place is laid over the node's answer.
    pub(super) merge: Option<ExtentId>,
    /// Parts of a streamed answer that is to be laid over, and of which attempt.
    pub(super) gathered: (AttemptNo, Vec<u8>),
    pub(super) operation: u64,
    pub(super) class: u16,
    pub(super) plan: u16,
    pub(super) write: bool,
    pub(super) try_no: u8,
    /// It is taken for a repeat.
    pub(super) repeats: bool,
    /// The damper knows how it ended.
    pub(super) told: bool,
    /// A barrier or a flush.
    pub(super) mark: bool,
    pub(super) volume: u64,
    pub(super) extent: Option<u64>,
    pub(super) shard: Option<u32>,
    pub(super) units: u32,
    pub(super) volume_initiators: u16,
    pub(super) at: Option<u32>,
    pub(super) expires_at: Micros,
    pub(super) payload: Vec<u8>,
    /// How a client of the platform asked for it.
    pub(super) origin: Option<Box<Origin>>,
    /// How many attempts the module has asked for.
    pub(super) attempts: u32,
    pub(super) flights: Vec<Flight>,
    pub(super) streaming: bool,
}

impl Held {
    fn empty(owner: Owner, with: With, expires_at: Micros) -> Self {
        Held {
            owner: Some(owner),
            owner_was: owner,
            with,
            verdict: Verdict::None,
            ran: false,
            merge: None,
            gathered: (AttemptNo(0), Vec::new()),
            operation: 0,
            class: 0,
            plan: 0,
            write: false,
            try_no: 0,
            repeats: false,
            told: false,
            mark: false,
            volume: 0,
            extent: None,
            shard: None,
            units: 1,
            volume_initiators: 1,
            at: None,
            expires_at,
            payload: Vec::new(),
            origin: None,
            attempts: 0,
            flights: Vec::new(),
            streaming: false,
        }
    }

    /// A client's request.
    pub(super) fn new((conn, id): (ConnId, u64), s: &Submit<'_>, expires_at: Micros) -> Self {
        Held {
            operation: s.operation,
            class: s.class,
            plan: s.plan,
            write: s.write,
            try_no: s.try_no,
            volume: s.volume,
            extent: s.extent,
            shard: s.shard,
            units: s.units,
            volume_initiators: s.volume_initiators,
            at: s.at,
            payload: s.payload.to_vec(),
            ..Self::empty(Owner::Client(conn, id), With::Module { through: false }, expires_at)
        }
    }

    /// A client's barrier or flush.
    pub(super) fn mark((conn, id): (ConnId, u64), expires_at: Micros) -> Self {
        Held { mark: true, ..Self::empty(Owner::Client(conn, id), With::Buffer, expires_at) }
    }

    /// A write-out of the buffer's.
    pub(super) fn write_out(id: WriteOutId, w: Write, expires_at: Micros) -> Self {
        Held {
            operation: w.operation,
            class: w.class,
            plan: w.plan,
            write: true,
            volume: w.extent_id.volume,
            extent: Some(w.extent_id.extent),
            shard: Some(w.shard),
            units: w.units,
            volume_initiators: w.volume_initiators,
            at: w.at,
            payload: w.payload,
            ..Self::empty(Owner::Buffer(id), With::Module { through: false }, expires_at)
        }
    }
}

impl Core {
    /// Does what the module wants done.
    pub(super) fn perform(&mut self, actions: &mut Vec<Action>, now: Micros) {
        for action in actions.drain(..) {
            match action {
                Action::Send { request, node, until } => {
                    self.send(request, node, Micros::from_ms(until), now);
                }
                Action::Cancel { request, attempt } => {
                    self.call_off(AttemptId { request, number: attempt }, Outcome::Cancelled, now);
                }
                Action::Probe { node } => self.probe(node, now),
                Action::Reject { request, retry_after } => {
                    let advised = Micros::from_ms(retry_after);
                    let wait = u32::try_from(self.advice(advised).0).unwrap_or(u32::MAX);
                    debug!(request = request.0, wait_us = wait, "refused");
                    self.counts.refused += u64::from(self.of_client(request));
                    let (refusal, scope) = (Refusal::Load, Scope::Request);
                    let verdict = Verdict::NotRun(advised);
                    self.answer(request, verdict, now, |id| Frame::Refused { id, wait, refusal, scope });
                }
                Action::Fail { request } => {
                    debug!(request = request.0, "failed");
                    self.counts.failed += u64::from(self.of_client(request));
                    self.answer(request, Verdict::Failed, now, |id| Frame::Failed { id });
                }
                Action::SetTimer { after } => {
                    // Rounded up: woken a moment early, the module would find nothing due, take the wake that it asked
                    // for as still to come, and not be woken again.
                    self.wakes.insert(now.after(Micros::from_ms(after)).after(Micros(1)));
                    if self.wakes.len() > super::WAKES_MOST {
                        self.wakes.pop_last();
                    }
                }
                Action::PollList => self.request_endpoint_changes(now),
            }
        }
    }

    /// Whether a client waits for it; else the buffer, or nobody.
    fn of_client(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| matches!(r.owner, Some(Owner::Client(..))))
    }

    /// An attempt that is out, or waits for its node's connection.
    pub(super) fn flight(&self, id: AttemptId) -> Option<&Flight> {
        self.requests.get(&id.request)?.flights.iter().find(|f| f.attempt == id.number)
    }

    /// An attempt is in a connection's outbox, and ends there.
    pub(super) fn note_handed(&mut self, id: AttemptId, conn: ConnId, ends: u64) {
        let flights = self.requests.get_mut(&id.request).map(|r| &mut r.flights);
        if let Some(flight) = flights.and_then(|f| f.iter_mut().find(|f| f.attempt == id.number)) {
            flight.handed = Some(HandedOver { conn, ends });
        }
    }

    /// An attempt's connection is no more, after so many bytes were written: if its last was not among them it
    /// can't have run, else it may have.
    pub(super) fn broken_off(&mut self, id: AttemptId, conn: ConnId, written: u64, now: Micros) {
        let handed = self.flight(id).and_then(|f| f.handed);
        let left = handed.is_some_and(|handed| handed.conn == conn && handed.ends <= written);
        self.end_attempt(id, if left { Outcome::Reset } else { Outcome::ConnectFailed }, now);
    }

    /// An attempt, at the module's word.
    fn send(&mut self, request: RequestId, node: NodeId, until: Micros, now: Micros) {
        let Some(held) = self.requests.get_mut(&request) else {
            error!(request = request.0, "the module sends a request that is not held");
            return;
        };
        let attempt = AttemptNo(held.attempts);
        held.attempts += 1;
        held.flights.push(Flight { attempt, node, sent: now, until, handed: None });
        debug!(request = request.0, attempt = attempt.0, node = node.0, "sent");
        let listed = self.nodes.get(node);
        let holds = listed.is_some_and(|n| held.shard.is_none_or(|shard| shard == n.shard));
        let id = AttemptId { request, number: attempt };
        if !self.may_begin(id, now) || !holds {
            self.end_attempt(id, Outcome::NotSent, now);
        } else {
            self.send_attempt(id, node, now);
        }
    }

    /// An attempt has ended without being served: the module decides what comes next.
    pub(super) fn end_attempt(&mut self, ended: AttemptId, outcome: Outcome, now: Micros) {
        let AttemptId { request: id, number: attempt } = ended;
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(at) = held.flights.iter().position(|f| f.attempt == attempt) else { return };
        let flight = held.flights.swap_remove(at);
        // A stream that broke can't be tried again: its client has a part of it.
        let is_final = held.owner.is_none() || held.streaming;
        held.ran |= match outcome {
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
            Outcome::Served | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        };
        let latency = now.since(flight.sent).ms();
        debug!(request = id.0, attempt = attempt.0, ?outcome, lag_ms = latency, "attempt ended");
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            is_final,
        }));
        if is_final && self.requests[&id].owner.is_some() {
            self.fail(id, now);
        }
        self.node_flight_ended(flight.node, ended, now);
        self.forget(id, now);
    }

    /// An attempt was served: its client has the answer before the module hears of it.
    pub(super) fn served(&mut self, ended: AttemptId, shard: u32, payload: &[u8], now: Micros) {
        let AttemptId { request: id, number: attempt } = ended;
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(at) = held.flights.iter().position(|f| f.attempt == attempt) else { return };
        let flight = held.flights.swap_remove(at);
        let latency = now.since(flight.sent).ms();
        debug!(request = id.0, attempt = attempt.0, lag_ms = latency, bytes = payload.len(), "served");
        if held.owner.is_some() {
            let gathered = std::mem::take(&mut held.gathered.1);
            let laid_over = held.merge.map(|_| [&gathered[..], payload].concat());
            let laid_over = laid_over.map(|data| self.merged(id, &data, now));
            let payload = laid_over.as_deref().unwrap_or(payload);
            self.counts.served += u64::from(self.of_client(id));
            self.answer(id, Verdict::Served, now, |id| Frame::Served { id, shard, payload });
        }
        if !self.on_platform() {
            self.discovery.record_use(flight.node);
        }
        let outcome = Outcome::Served;
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            is_final: true,
        }));
        self.node_flight_ended(flight.node, ended, now);
        self.forget(id, now);
    }

    /// The one place from which a request's final answer leaves.
    pub(super) fn answer<'a>(
        &mut self,
        id: RequestId,
        verdict: Verdict,
        now: Micros,
        frame: impl FnOnce(u64) -> Frame<'a>,
    ) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(owner) = held.owner.take() else { return };
        held.verdict = verdict;
        held.payload = Vec::new();
        let Owner::Client(conn, client_id) = owner else { return self.forget(id, now) };
        if let Some(Peer::Client(client)) = self.plumbing.get_mut(conn).map(|c| &mut c.peer) {
            client.owed.remove(&client_id);
        }
        self.tell_client(conn, &frame(client_id), now);
        self.forget(id, now);
        self.client_wrote(conn, now);
    }

    /// Fails a request without the module: it is told that nobody waits any more.
    pub(super) fn fail(&mut self, id: RequestId, now: Micros) {
        let Some(held) = self.requests.get(&id).filter(|r| r.owner.is_some()) else { return };
        if held.with != With::Buffer {
            self.events.push_back(Event::ClientGone(id));
        }
        self.counts.failed += u64::from(self.of_client(id));
        self.answer(id, Verdict::Failed, now, |id| Frame::Failed { id });
    }

    /// An attempt is not waited for any longer, and its node told; one never handed over has not run.
    pub(super) fn call_off(&mut self, id: AttemptId, outcome: Outcome, now: Micros) {
        let Some(handed) = self.flight(id).map(|f| f.handed) else { return };
        if let Some(handed) = handed.filter(|_| self.on_platform()) {
            return self.hang_up_attempt(handed, id, outcome, now);
        }
        if let Some(HandedOver { conn, .. }) = handed {
            self.plumbing.push(conn, &Frame::Cancel { request: id.request.0, attempt: id.number.0 });
        }
        self.end_attempt(id, if handed.is_some() { outcome } else { Outcome::ConnectFailed }, now);
    }

    /// The client is about to give up: what is out is not waited for any longer, and what the module has
    /// not ended by now is ended here, so that a fault of its own costs no client its answer.
    pub(super) fn deadline(&mut self, id: RequestId, now: Micros) {
        if self.expire_here(id, now) {
            return;
        }
        let Some(held) = self.requests.get(&id) else { return };
        if held.streaming && held.owner.is_some() {
            return;
        }
        let flights: Vec<AttemptNo> = held.flights.iter().map(|f| f.attempt).collect();
        for number in flights {
            self.call_off(AttemptId { request: id, number }, Outcome::TimedOut, now);
        }
        self.tell(now);
        let owed = |core: &Core| core.requests.get(&id).is_some_and(|r| r.owner.is_some());
        if owed(self) {
            // It came with less time than an answer's way takes: the module has not looked at it yet.
            self.decide(now);
        }
        if owed(self) {
            error!(request = id.0, "the module gave no answer in time: failed here");
            self.counts.overdue += 1;
            self.fail(id, now);
        }
    }

    /// Drops a request that is answered and has nothing out.
    pub(super) fn forget(&mut self, id: RequestId, now: Micros) {
        let over = |held: &Held| held.owner.is_none() && held.flights.is_empty();
        if self.requests.get(&id).is_some_and(over)
            && let Some(held) = self.requests.remove(&id)
        {
            self.plumbing.cancel(held.expires_at, Timer::Deadline(id));
            if let Some(origin) = &held.origin {
                self.open_ids.remove(&origin.id);
            }
            self.tell_gate(&held, now);
            self.over(id, &held, now);
        }
    }
}
