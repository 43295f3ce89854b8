//! All requests without a final answer, or with attempts in flight, and the one place where a request ends.

use crate::api::{Action, Arrival, AttemptEnd, Class, Millis, NodeId, Outcome, RequestId, Settings};
use crate::deadlines::{deadlines_of, final_answer, is_due_after_attempt};
use crate::key_order::KeyOrder;
use crate::request::{Attempt, Execution, Request};
use crate::retries::UnservedItems;
use std::collections::BTreeMap;

/// The requests of one initiator.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    key_order: KeyOrder,
    unserved_items: UnservedItems,
}

/// Look-up.
impl RequestTable {
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests that wait here for their next attempt, in the order of ids.
    pub(crate) fn held(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(|request| request.is_held())
    }

    /// The same, to be changed.
    pub(crate) fn held_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.requests.values_mut().filter(|request| request.is_held())
    }

    /// Whether it is the request's turn among those of its key, where its class is executed in order.
    pub(crate) fn is_turn_of(&self, request: &Request, class: &Class, now: Millis) -> bool {
        let Some(key) = request.arrival.key.filter(|_| class.in_order) else { return true };
        self.key_order.is_turn_of(key, request.arrival.id, request.has_no_attempt(), now)
    }
}

/// What happens to requests.
impl RequestTable {
    /// Takes a request that arrives now, at nodes that need `service_time` ms a unit.
    pub(crate) fn insert(
        &mut self,
        arrival: Arrival,
        settings: &Settings,
        service_time: Millis,
        now: Millis,
    ) {
        let class = &settings.classes[arrival.class.0];
        if let (true, Some(key)) = (class.in_order, arrival.key) {
            self.key_order.enqueue(key, arrival.id);
        }
        let is_client_retry =
            arrival.key.is_some_and(|key| self.unserved_items.take_retry(arrival.volume, key, now));
        let deadlines = deadlines_of(&arrival, class, service_time, now);
        self.requests.insert(arrival.id, Request::new(arrival, deadlines, is_client_retry));
    }

    pub(crate) fn set_streaming(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.is_streaming = true);
    }

    pub(crate) fn set_node(&mut self, id: RequestId, node: NodeId) {
        self.requests.entry(id).and_modify(|request| request.node = Some(node));
    }

    pub(crate) fn record_sent(&mut self, id: RequestId, attempt: Attempt) {
        self.requests.entry(id).and_modify(|request| request.attempts.push(attempt));
    }

    /// Notes what an attempt's end tells of its execution. Gives the node it was sent to; none if the attempt
    /// is not known.
    pub(crate) fn record_execution(&mut self, ended: &AttemptEnd) -> Option<NodeId> {
        let request = self.requests.get_mut(&ended.request)?;
        let attempt = request.attempts.get_mut(ended.attempt.0 as usize)?;
        attempt.execution = match ended.outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => Execution::NotExecuted,
            _ => Execution::Unknown,
        };
        Some(attempt.node)
    }

    /// Guards against reordering by an attempt that may still be executed: its key pauses.
    pub(crate) fn start_key_cooldown(&mut self, ended: &AttemptEnd, settings: &Settings, now: Millis) {
        let Some(request) = self.requests.get(&ended.request) else { return };
        let may_still_run = matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let in_order = settings.classes[request.arrival.class.0].in_order;
        if let (true, Some(key)) = (in_order && may_still_run, request.arrival.key) {
            self.key_order.start_cooldown(key, now + settings.key_cooldown);
        }
    }

    /// Decides how a request goes on after the end of one of its attempts.
    pub(crate) fn continue_or_end(
        &mut self,
        ended: &AttemptEnd,
        settings: &Settings,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let id = ended.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        // A new object that failed is drawn again.
        request.node = None;
        let effect = settings.classes[request.arrival.class.0].effect;
        if ended.is_final || request.is_over {
            // What is still in flight would keep its key's turn, and count against a node's concurrency
            // limit.
            if settings.may_cancel && !request.is_over {
                actions.extend(request.in_flight().map(|attempt| Action::Cancel { request: id, attempt }));
            }
            self.end(id, settings);
        } else if is_due_after_attempt(request, effect, settings.max_attempts, now) {
            let is_expired = now >= request.deadlines.expires_at;
            self.end_unserved(id, is_expired, settings, actions);
        }
    }
}

/// The end of requests.
impl RequestTable {
    /// Gives the final answer to a request that is not served. Guards against a second final answer, and
    /// against one after the answer has started.
    pub(crate) fn end_unserved(
        &mut self,
        id: RequestId,
        is_expired: bool,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_over || request.is_streaming {
            return;
        }
        if let Some(key) = request.arrival.key {
            self.unserved_items.record(request.arrival.volume, key, request.deadlines.expires_at);
        }
        let effect = settings.classes[request.arrival.class.0].effect;
        actions.push(final_answer(request, is_expired, effect, settings.max_retry_after));
        self.end(id, settings);
    }

    /// Nothing more is to be sent for a request. It is forgotten once nothing of it is in flight; only then
    /// its key's turn passes on.
    pub(crate) fn end(&mut self, id: RequestId, settings: &Settings) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_over = true;
        if request.has_attempt_in_flight() {
            return;
        }
        let in_order = settings.classes[request.arrival.class.0].in_order;
        if let (true, Some(key)) = (in_order, request.arrival.key) {
            self.key_order.leave(key, id);
        }
        self.requests.remove(&id);
    }

    /// Forgets keys and items that no longer matter.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.key_order.prune(now);
        self.unserved_items.prune(now);
    }
}
