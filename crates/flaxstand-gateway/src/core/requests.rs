//! A request's life: taken, sent at the module's word, answered once, forgotten when its last attempt has
//! ended.

use super::{Core, Peer, Timer};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{Action, AttemptNo, Ended, Event, NodeId, Outcome, RequestId};
use flaxstand_proto::{Frame, Refusal, Scope, Submit};
use tracing::{debug, error};

/// An attempt that is out, or waits for its node's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flight {
    pub(super) attempt: AttemptNo,
    pub(super) node: NodeId,
    pub(super) sent: Micros,
    /// The connection it was handed to, and where in that one's stream it ends.
    pub(super) handed: Option<(ConnId, u64)>,
}

/// A request from its arrival until it is answered and nothing of it is out.
#[derive(Debug)]
pub(super) struct Held {
    /// Whom an answer is owed, and that client's number for it. None: nobody any more.
    pub(super) client: Option<(ConnId, u64)>,
    pub(super) operation: u64,
    pub(super) class: u16,
    pub(super) plan: u16,
    pub(super) write: bool,
    pub(super) volume: u64,
    pub(super) extent: Option<u64>,
    pub(super) shard: Option<u32>,
    pub(super) units: u32,
    pub(super) valid_until: Micros,
    pub(super) payload: Vec<u8>,
    /// How many attempts the module has asked for.
    pub(super) attempts: u32,
    pub(super) flights: Vec<Flight>,
    pub(super) streaming: bool,
}

impl Held {
    pub(super) fn new(client: (ConnId, u64), s: &Submit<'_>, valid_until: Micros) -> Self {
        Held {
            client: Some(client),
            operation: s.operation,
            class: s.class,
            plan: s.plan,
            write: s.write,
            volume: s.volume,
            extent: s.extent,
            shard: s.shard,
            units: s.units,
            valid_until,
            payload: s.payload.to_vec(),
            attempts: 0,
            flights: Vec::new(),
            streaming: false,
        }
    }
}

impl Core {
    /// Does what the module wants done.
    pub(super) fn perform(&mut self, actions: &mut Vec<Action>, now: Micros) {
        for action in actions.drain(..) {
            match action {
                Action::Send { request, node } => self.send(request, node, now),
                Action::Refuse { request, retry_after } => {
                    let wait = u32::try_from(Micros::from_ms(retry_after).0).unwrap_or(u32::MAX);
                    debug!(request = request.0, wait_us = wait, "refused");
                    self.counts.refused += 1;
                    let (refusal, scope) = (Refusal::Load, Scope::Request);
                    self.answer(request, now, |id| Frame::Refused { id, wait, refusal, scope });
                }
                Action::Fail { request } => {
                    debug!(request = request.0, "failed");
                    self.counts.failed += 1;
                    self.answer(request, now, |id| Frame::Failed { id });
                }
                Action::Wake { after } => {
                    let at = now.after(Micros::from_ms(after));
                    self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
                }
                Action::Subscribe => self.subscribe(now),
            }
        }
    }

    /// An attempt, at the module's word.
    fn send(&mut self, request: RequestId, node: NodeId, now: Micros) {
        let Some(held) = self.requests.get_mut(&request) else {
            error!(request = request.0, "the module sends a request that is not held");
            return;
        };
        let attempt = AttemptNo(held.attempts);
        held.attempts += 1;
        held.flights.push(Flight { attempt, node, sent: now, handed: None });
        debug!(request = request.0, attempt = attempt.0, node = node.0, "sent");
        let listed = self.nodes.get(node.0 as usize);
        let holds = listed.is_some_and(|n| held.shard.is_none_or(|shard| shard == n.shard));
        if held.client.is_none() || now >= held.valid_until || !holds {
            self.end_attempt(request, attempt, Outcome::Moot, now);
        } else {
            self.send_attempt(request, attempt, node, now);
        }
    }

    /// An attempt has ended without being served: the module decides what comes next.
    pub(super) fn end_attempt(&mut self, id: RequestId, attempt: AttemptNo, outcome: Outcome, now: Micros) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(at) = held.flights.iter().position(|f| f.attempt == attempt) else { return };
        let flight = held.flights.swap_remove(at);
        // A stream that broke can't be tried again: its client has a part of it.
        let complete = held.client.is_none() || held.streaming;
        let lag = now.since(flight.sent).ms();
        debug!(request = id.0, attempt = attempt.0, ?outcome, lag_ms = lag, "attempt ended");
        self.events.push_back(Event::Ended(Ended { request: id, attempt, outcome, lag, complete }));
        if complete && self.requests[&id].client.is_some() {
            self.fail(id);
        }
        self.node_flight_ended(flight.node, id, attempt, now);
        self.forget(id);
    }

    /// An attempt was served: its client has the answer before the module hears of it.
    pub(super) fn served(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        shard: u32,
        payload: &[u8],
        now: Micros,
    ) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(at) = held.flights.iter().position(|f| f.attempt == attempt) else { return };
        let flight = held.flights.swap_remove(at);
        let lag = now.since(flight.sent).ms();
        debug!(request = id.0, attempt = attempt.0, lag_ms = lag, "served");
        if held.client.is_some() {
            self.counts.served += 1;
            self.answer(id, now, |id| Frame::Served { id, shard, payload });
        }
        let outcome = Outcome::Served;
        self.events.push_back(Event::Ended(Ended { request: id, attempt, outcome, lag, complete: true }));
        self.node_flight_ended(flight.node, id, attempt, now);
        self.forget(id);
    }

    /// The one place from which a request's final answer leaves.
    fn answer<'a>(&mut self, id: RequestId, now: Micros, frame: impl FnOnce(u64) -> Frame<'a>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some((conn, client_id)) = held.client.take() else { return };
        held.payload = Vec::new();
        if let Some(Peer::Client(client)) = self.conns.get_mut(&conn).map(|c| &mut c.peer) {
            client.owed.remove(&client_id);
        }
        self.push(conn, &frame(client_id));
        self.forget(id);
        self.client_wrote(conn, now);
    }

    /// Fails a request without the module: it is told that nobody waits any more.
    pub(super) fn fail(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some((conn, client_id)) = held.client.take() else { return };
        self.counts.failed += 1;
        if let Some(Peer::Client(client)) = self.conns.get_mut(&conn).map(|c| &mut c.peer) {
            client.owed.remove(&client_id);
        }
        self.push(conn, &Frame::Failed { id: client_id });
        self.events.push_back(Event::ClientGone(id));
        self.forget(id);
    }

    /// The client is about to give up: what is out is not waited for any longer, and what the module has
    /// not ended by now is ended here, so that a fault of its own costs no client its answer.
    pub(super) fn deadline(&mut self, id: RequestId, now: Micros) {
        let Some(held) = self.requests.get(&id) else { return };
        if held.streaming && held.client.is_some() {
            return;
        }
        let flights = held.flights.clone();
        for flight in flights {
            if let Some((conn, _)) = flight.handed {
                self.push(conn, &Frame::Cancel { request: id.0, attempt: flight.attempt.0 });
            }
            // Never handed over: it has not run.
            let outcome = if flight.handed.is_some() { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.end_attempt(id, flight.attempt, outcome, now);
        }
        self.tell(now);
        let owed = |core: &Core| core.requests.get(&id).is_some_and(|r| r.client.is_some());
        if owed(self) {
            // It came with less time than an answer's way takes: the module has not looked at it yet.
            self.decide(now);
        }
        if owed(self) {
            error!(request = id.0, "the module gave no answer in time: failed here");
            self.counts.overdue += 1;
            self.fail(id);
        }
    }

    /// Drops a request that is answered and has nothing out.
    pub(super) fn forget(&mut self, id: RequestId) {
        if let Some(held) = self.requests.get(&id)
            && held.client.is_none()
            && held.flights.is_empty()
        {
            self.timers.remove(&(held.valid_until, Timer::Deadline(id)));
            self.requests.remove(&id);
        }
    }
}
