//! The life of a request: accepted, handled as the module asks, answered once, and removed when its last
//! attempt has ended.

use super::Core;
use super::connection_table::Peer;
use super::pending_request::{AttemptId, FinalAnswer, Handler, Owner};
use super::timers::Timer;
use crate::machine::Micros;
use flaxstand::api::{Action, AttemptNo, Event, Outcome, RequestId};
use flaxstand_proto::{Frame, Refusal, Scope};
use tracing::{debug, error};

impl Core {
    /// Does what the module wants done.
    pub(super) fn perform_actions(&mut self, actions: &mut Vec<Action>, now: Micros) {
        for action in actions.drain(..) {
            match action {
                Action::Send { request, node, until } => {
                    self.start_attempt(request, node, Micros::from_ms(until), now);
                }
                Action::Cancel { request, attempt } => {
                    self.cancel_attempt(AttemptId { request, number: attempt }, Outcome::Cancelled, now);
                }
                Action::Probe { node } => self.start_probe(node, now),
                Action::Reject { request, retry_after } => {
                    self.reject_request(request, Micros::from_ms(retry_after), now);
                }
                Action::Fail { request } => {
                    debug!(request = request.0, "request failed");
                    self.answer_failed(request, now);
                }
                Action::SetTimer { after } => self.evaluation.set_timer(Micros::from_ms(after), now),
                Action::PollList => self.request_endpoint_changes(now),
            }
        }
    }

    /// Rejects a request. `module_retry_after`: what the module advises.
    fn reject_request(&mut self, request: RequestId, module_retry_after: Micros, now: Micros) {
        let retry_after = match &mut self.gate {
            Some(gate) => gate.retry_after(module_retry_after),
            None => module_retry_after,
        };
        let wait = retry_after.saturating_u32();
        debug!(request = request.0, retry_after_us = wait, "request rejected");
        self.counts.rejected += u64::from(self.is_client_waiting(request));
        let (refusal, scope) = (Refusal::Load, Scope::Request);
        let final_answer = FinalAnswer::NotExecuted(module_retry_after);
        self.send_final_answer(request, final_answer, now, |id| Frame::Refused { id, wait, refusal, scope });
    }

    /// Whether a client waits for it; else the buffer, or nobody.
    pub(super) fn is_client_waiting(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|request| matches!(request.owner, Some(Owner::Client { .. })))
    }

    /// The one place from which a request's final answer is sent.
    pub(super) fn send_final_answer<'a>(
        &mut self,
        id: RequestId,
        final_answer: FinalAnswer,
        now: Micros,
        frame: impl FnOnce(u64) -> Frame<'a>,
    ) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(owner) = pending.owner.take() else { return };
        pending.final_answer = final_answer;
        pending.payload = Vec::new();
        let Owner::Client { conn, client_id } = owner else { return self.remove_if_finished(id, now) };
        if let Some(Peer::Client(client)) = self.connections.get_mut(conn).map(|c| &mut c.peer) {
            client.owed.remove(&client_id);
        }
        self.send_to_client(conn, &frame(client_id), now);
        self.remove_if_finished(id, now);
        self.client_wrote(conn, now);
    }

    fn answer_failed(&mut self, id: RequestId, now: Micros) {
        self.counts.failed += u64::from(self.is_client_waiting(id));
        self.send_final_answer(id, FinalAnswer::Failed, now, |id| Frame::Failed { id });
    }

    /// Fails a request without the module: it is told that nobody waits any more.
    pub(super) fn fail_request(&mut self, id: RequestId, now: Micros) {
        let Some(pending) = self.requests.get(id).filter(|request| request.owner.is_some()) else { return };
        if pending.handler != Handler::Buffer {
            self.events.push_back(Event::ClientDisconnected(id));
        }
        self.answer_failed(id, now);
    }

    /// The client is about to give up: what is in flight is not waited for any longer, and what the module
    /// has not ended by now is ended here. Guards against a fault of the module that would cost clients their
    /// answers.
    pub(super) fn deadline_reached(&mut self, id: RequestId, now: Micros) {
        if self.expire_in_buffer(id, now) {
            return;
        }
        let Some(pending) = self.requests.get(id) else { return };
        if pending.is_streaming && pending.owner.is_some() {
            return;
        }
        let in_flight: Vec<AttemptNo> = pending.in_flight.iter().map(|attempt| attempt.number).collect();
        for number in in_flight {
            self.cancel_attempt(AttemptId { request: id, number }, Outcome::TimedOut, now);
        }
        self.deliver_events(now);
        if self.requests.is_owed(id) {
            // It came with less time than an answer takes to arrive: the module has not evaluated it yet.
            self.evaluate(now);
        }
        if self.requests.is_owed(id) {
            error!(request = id.0, "the module gave no answer in time: request failed");
            self.counts.overdue += 1;
            self.fail_request(id, now);
        }
    }

    /// Removes a request that is answered and has nothing in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId, now: Micros) {
        let Some(finished) = self.requests.remove_if_finished(id) else { return };
        self.timers.cancel(finished.expires_at, Timer::Deadline(id));
        if let Some(gate) = &mut self.gate {
            gate.record_end(&finished, now);
        }
        if let Some(write_back) = &mut self.write_back {
            write_back.record_end(id, &finished, now);
        }
    }
}
