//! Request life cycle: a request is accepted, handled as the module decides, answered exactly once, and
//! removed when its last attempt has ended.

use super::Core;
use super::connection_table::Peer;
use super::pending_request::{AttemptId, FinalResponse, Handler, Owner};
use super::timers::Timer;
use crate::machine::Micros;
use flaxstand::api::{Action, AttemptNo, Event, Outcome, RequestId};
use flaxstand_proto::{Frame, Refusal, Scope};
use tracing::{debug, error};

impl Core {
    /// Performs the module's actions.
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
                    self.send_failed(request, now);
                }
                Action::SetTimer { after } => self.evaluation.set_timer(Micros::from_ms(after), now),
                Action::PollList => self.request_endpoint_changes(now),
            }
        }
    }

    /// Rejects a request. `module_retry_after` is the Retry-After set by the module.
    fn reject_request(&mut self, request: RequestId, module_retry_after: Micros, now: Micros) {
        let retry_after = match &mut self.gate {
            Some(gate) => gate.retry_after(module_retry_after),
            None => module_retry_after,
        };
        let wait = retry_after.saturating_u32();
        debug!(request = request.0, retry_after_us = wait, "request rejected");
        self.counts.rejected += u64::from(self.is_client_waiting(request));
        let (refusal, scope) = (Refusal::Load, Scope::Request);
        let final_response = FinalResponse::NotExecuted(module_retry_after);
        self.send_final_response(request, final_response, now, |id| Frame::Refused {
            id,
            wait,
            refusal,
            scope,
        });
    }

    /// Returns whether a client is waiting for the response, rather than the buffer or nobody.
    pub(super) fn is_client_waiting(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(|request| matches!(request.owner, Some(Owner::Client { .. })))
    }

    /// Sends a request's final response, at most once. All final responses are sent from here.
    pub(super) fn send_final_response<'a>(
        &mut self,
        id: RequestId,
        final_response: FinalResponse,
        now: Micros,
        frame: impl FnOnce(u64) -> Frame<'a>,
    ) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(owner) = pending.owner.take() else { return };
        pending.final_response = final_response;
        self.requests.release_content(id);
        let Owner::Client { conn, client_id } = owner else { return self.remove_if_finished(id, now) };
        if let Some(Peer::Client(client)) = self.connections.get_mut(conn).map(|c| &mut c.peer) {
            client.unanswered.remove(&client_id);
        }
        self.send_to_client(conn, &frame(client_id), now);
        self.remove_if_finished(id, now);
        self.check_client_output(conn, now);
    }

    fn send_failed(&mut self, id: RequestId, now: Micros) {
        self.counts.failed += u64::from(self.is_client_waiting(id));
        self.send_final_response(id, FinalResponse::Failed, now, |id| Frame::Failed { id });
    }

    /// Fails a request without a decision of the module, and notifies the module.
    pub(super) fn fail_request(&mut self, id: RequestId, now: Micros) {
        let Some(pending) = self.requests.get(id).filter(|request| request.owner.is_some()) else { return };
        if pending.handler != Handler::Buffer {
            self.events.push_back(Event::ClientDisconnected(id));
        }
        self.send_failed(id, now);
    }

    /// Handles a request's deadline: cancels its attempts and, if the module does not end the request, fails
    /// it. Ensures that clients get a response despite a fault of the module.
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
        if self.requests.is_unanswered(id) {
            // A request that arrived with too little time left may not have been evaluated by the module yet.
            self.evaluate(now);
        }
        if self.requests.is_unanswered(id) {
            error!(request = id.0, "module did not end the request by its deadline; failing it");
            self.counts.overdue += 1;
            self.fail_request(id, now);
        }
    }

    /// Removes a request if it is answered and has no attempt in flight.
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
