//! All requests without a final response, or with attempts in flight. Requests end only here.

use crate::api::{
    Action, Arrival, AttemptEnd, Class, Millis, NodeId, Outcome, RequestId, Settings, VolumeId,
};
use crate::deadlines::{deadlines_of, final_response, is_due_after_attempt};
use crate::key_order::KeyOrder;
use crate::request::{Attempt, Execution, Request};
use crate::retries::UnservedItems;
use std::collections::BTreeMap;

/// The requests of one initiator.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Number of requests by volume.
    volumes: BTreeMap<VolumeId, usize>,
    key_order: KeyOrder,
    unserved_items: UnservedItems,
}

/// Look-up.
impl RequestTable {
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns whether a volume has a request.
    pub(crate) fn has_volume(&self, volume: VolumeId) -> bool {
        self.volumes.contains_key(&volume)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests that wait for their next attempt, in the order of ids.
    pub(crate) fn held(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(|request| request.is_held())
    }

    /// Mutable variant of [`Self::held`].
    pub(crate) fn held_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.requests.values_mut().filter(|request| request.is_held())
    }

    /// Returns whether the request is next among those with its key; always true for classes without
    /// ordering.
    pub(crate) fn is_next_for_key(&self, request: &Request, class: &Class, now: Millis) -> bool {
        let Some(key) = request.arrival.key.filter(|_| class.in_order) else { return true };
        self.key_order.is_next(key, request.arrival.id, request.has_no_attempt(), now)
    }
}

/// Updates of requests.
impl RequestTable {
    /// Adds a request that arrives now, with a service time of `service_time` ms per unit.
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
        *self.volumes.entry(arrival.volume).or_default() += 1;
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

    /// Records whether an attempt that ended may have been executed. Returns the node it was sent to, or
    /// `None` if the attempt is unknown.
    pub(crate) fn record_execution(&mut self, ended: &AttemptEnd) -> Option<NodeId> {
        let request = self.requests.get_mut(&ended.request)?;
        let attempt = request.attempts.get_mut(ended.attempt.0 as usize)?;
        attempt.execution = match ended.outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => Execution::NotExecuted,
            _ => Execution::Unknown,
        };
        Some(attempt.node)
    }

    /// Starts the cooldown of a key after an attempt that may still be executing. Guards against reordering.
    pub(crate) fn start_key_cooldown(&mut self, ended: &AttemptEnd, settings: &Settings, now: Millis) {
        let Some(request) = self.requests.get(&ended.request) else { return };
        let may_still_run = matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let in_order = settings.classes[request.arrival.class.0].in_order;
        if let (true, Some(key)) = (in_order && may_still_run, request.arrival.key) {
            self.key_order.start_cooldown(key, now + settings.key_cooldown);
        }
    }

    /// Ends a request or leaves it held for its next attempt after one of its attempts ended.
    pub(crate) fn continue_or_end(
        &mut self,
        ended: &AttemptEnd,
        settings: &Settings,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let id = ended.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        // The next placement draws another node for a new object.
        request.node = None;
        let effect = settings.classes[request.arrival.class.0].effect;
        if ended.is_final || request.is_over {
            // Attempts still in flight would block the queue of their key and count against the concurrency
            // limit of a node.
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

/// End of requests.
impl RequestTable {
    /// Sends the final response of an unserved request. Guards against a second final response and against
    /// one after streaming has started.
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
        actions.push(final_response(request, is_expired, effect, settings.max_retry_after));
        self.end(id, settings);
    }

    /// Marks a request as ended. It is removed, along with its place in the queue of its key, once it has no
    /// attempts in flight.
    pub(crate) fn end(&mut self, id: RequestId, settings: &Settings) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_over = true;
        if request.has_attempt_in_flight() {
            return;
        }
        let in_order = settings.classes[request.arrival.class.0].in_order;
        if let (true, Some(key)) = (in_order, request.arrival.key) {
            self.key_order.remove(key, id);
        }
        let volume = request.arrival.volume;
        self.requests.remove(&id);
        if let Some(count) = self.volumes.get_mut(&volume) {
            *count -= 1;
            if *count == 0 {
                self.volumes.remove(&volume);
            }
        }
    }

    /// Removes expired keys and items.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.key_order.prune(now);
        self.unserved_items.prune(now);
    }
}
