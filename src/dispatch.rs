//! Selects the request that is sent next at a node, and checks every send against all rules.
//!
//! Held requests are sent earliest due first, among those that can still meet their objective. In addition,
//! each request may only join a queue up to a maximum delay: the lower its weight, the shorter the queue.

use crate::admission::{VolumeQuota, VolumeQuotas};
use crate::api::{Action, AttemptNo, Class, Millis, NodeId, RequestId, Settings, VolumeId};
use crate::concurrency_limit::TOLERATED_QUEUE_SHARE;
use crate::estimates::FleetEstimates;
use crate::node::{Node, NodeTable, SentAttempt};
use crate::request::{Attempt, Execution, Request};
use crate::request_table::RequestTable;
use crate::retries::{RetryWindow, effect_allows, may_be_sent_until};
use std::collections::BTreeMap;

/// Queue delay that a request of the largest weight may join in addition to the tolerated one, in multiples
/// of the tightest latency objective.
const MAX_QUEUE_SHARE: f64 = 2.5;
/// Latency of a fast response as a share of the expected latency.
const BEST_CASE_LATENCY_FACTOR: f64 = 0.7;
/// Factor on the weight of a client's retry.
const CLIENT_RETRY_WEIGHT: f64 = 0.3;

/// State that the sends of one evaluation read and update.
pub(crate) struct Dispatch<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) nodes: &'a mut NodeTable,
    pub(crate) requests: &'a mut RequestTable,
    pub(crate) quotas: &'a mut VolumeQuotas,
    pub(crate) retry_window: &'a mut RetryWindow,
    /// Whether the endpoint list is recent enough to send requests.
    pub(crate) endpoints_trusted: bool,
    pub(crate) now: Millis,
    pub(crate) actions: &'a mut Vec<Action>,
}

/// A held request in the send order of one node.
struct RankedRequest {
    id: RequestId,
    due_at: Millis,
    expires_at: Millis,
    /// Service time at the node, ms.
    service_time: Millis,
    /// Expected time from sending to response, ms.
    latency: Millis,
    /// Maximum queue delay at the node that it may join, ms.
    max_queue_delay: Millis,
}

/// Weight factors of a request relative to others, 0 to 1.
struct Weights {
    /// From the remaining reserve of its volume.
    reserve: f64,
    /// From its class and plan.
    priority: f64,
}

impl RankedRequest {
    fn is_on_time(&self, now: Millis) -> bool {
        now + self.latency <= self.due_at
    }

    fn is_answered_before_expiry(&self, start_at: Millis) -> bool {
        start_at + self.latency <= self.expires_at
    }
}

impl Dispatch<'_> {
    /// Sends held requests, node by node, as far as the rules allow. No node is removed meanwhile, so
    /// indexing by node id does not fail.
    pub(crate) fn send_held_requests(&mut self) {
        for (node, mut waiting) in self.held_by_node() {
            // The capacity is checked first: at a node without any, the requests are not iterated over.
            while self.nodes[node].has_capacity(self.fleet, self.now) {
                waiting.retain(|id| self.is_held(*id) && self.may_send(*id, node));
                let Some(next) = self.choose_next(&waiting, node) else { break };
                self.send(next, node);
            }
        }
    }

    /// Returns the held requests by assigned node, in the order of ids.
    fn held_by_node(&self) -> BTreeMap<NodeId, Vec<RequestId>> {
        let mut held: BTreeMap<NodeId, Vec<RequestId>> = BTreeMap::new();
        for request in self.requests.held() {
            if let Some(node) = request.node.filter(|node| self.nodes.contains(*node)) {
                held.entry(node).or_default().push(request.arrival.id);
            }
        }
        held
    }

    fn is_held(&self, id: RequestId) -> bool {
        self.requests.get(id).is_some_and(Request::is_held)
    }

    fn class_of(&self, request: &Request) -> &Class {
        &self.settings.classes[request.arrival.class.0]
    }

    /// Returns whether an attempt of a request may be sent to a node now. Every send passes this check.
    pub(crate) fn may_send(&self, id: RequestId, node: NodeId) -> bool {
        let (Some(request), Some(node)) = (self.requests.get(id), self.nodes.get(node)) else { return false };
        self.request_allows(request) && self.node_allows(node, request) && self.rules_allow(node, request)
    }

    /// Guards against attempts for requests that have ended or expired, and against exceeding the attempt
    /// limits.
    fn request_allows(&self, request: &Request) -> bool {
        !request.is_over
            && self.now < request.deadlines.expires_at
            && request.attempts.len() < self.settings.max_attempts as usize
            && request.in_flight().count() < self.settings.max_concurrent_attempts as usize
    }

    /// Guards against sends to a node that is draining, ejected, unresponsive, at its concurrency limit, or
    /// would be overloaded during its warm-up, and against sends based on an expired endpoint list.
    fn node_allows(&self, node: &Node, request: &Request) -> bool {
        node.is_serving()
            && self.endpoints_trusted
            && node.has_capacity(self.fleet, self.now)
            && node.slow_start_allows(request.arrival.units, self.fleet, self.settings, self.now)
    }

    /// Guards against reordering within a key, repeated execution, exceeding the rate limit of a volume, and
    /// retry storms.
    fn rules_allow(&self, node: &Node, request: &Request) -> bool {
        let class = self.class_of(request);
        let (tick, now) = (self.settings.tick, self.now);
        self.requests.is_next_for_key(request, class, now)
            && effect_allows(request, node.entry(), class.effect, tick, now)
            && if request.has_no_attempt() {
                let quota = self.quotas.get(request.arrival.volume);
                quota.limit_allows(request.arrival.units, self.settings, now)
            } else {
                self.retry_window.allows_retry(self.settings.retry_budget, tick, now)
            }
    }

    /// Returns the request to send next. A late request is sent only if this initiator has nothing in flight
    /// at the node. Requests that can no longer be answered before they expire get their final response.
    fn choose_next(&mut self, waiting: &[RequestId], node: NodeId) -> Option<RequestId> {
        let ranked = self.rank(waiting, node);
        let (on_time, mut late): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|request| request.is_on_time(self.now));
        late.sort_by(|one, other| other.max_queue_delay.total_cmp(&one.max_queue_delay));
        let next = self.first_request_allowed_to_join(&on_time, &late, node);
        self.end_requests_that_would_expire(on_time.iter().chain(&late));
        next
    }

    /// Returns the first on-time request that may join the queue of the node, or else the first late one.
    fn first_request_allowed_to_join(
        &self,
        on_time: &[RankedRequest],
        late: &[RankedRequest],
        node: NodeId,
    ) -> Option<RequestId> {
        let node = &self.nodes[node];
        let queue_delay = node.queue_delay(self.fleet, self.now);
        let may_join = |request: &&RankedRequest| queue_delay <= request.max_queue_delay;
        let may_join_late = |request: &&RankedRequest| {
            may_join(request) && node.in_flight().is_empty() && request.is_answered_before_expiry(self.now)
        };
        let next = on_time.iter().find(may_join).or(late.iter().find(may_join_late));
        next.map(|request| request.id)
    }

    /// Ends requests that would expire if they were sent after all requests ranked before them.
    fn end_requests_that_would_expire<'r>(&mut self, ranked: impl Iterator<Item = &'r RankedRequest>) {
        let mut wait = 0.0;
        for request in ranked {
            if request.is_answered_before_expiry(self.now + wait) {
                wait += request.service_time;
            } else {
                self.requests.end_unserved(request.id, false, self.settings, self.actions);
            }
        }
    }

    /// Ranks requests by due time, each with the queue delay that it may join. The reserve of a volume goes
    /// to the requests that are due first.
    fn rank(&self, ids: &[RequestId], node: NodeId) -> Vec<RankedRequest> {
        let node = &self.nodes[node];
        let queue_delay = node.queue_delay(self.fleet, self.now);
        let max_weight = self.settings.max_priority_weight();
        let mut reserves: BTreeMap<VolumeId, f64> = BTreeMap::new();
        let mut by_due: Vec<&Request> = ids.iter().filter_map(|id| self.requests.get(*id)).collect();
        by_due.sort_by(|one, other| {
            let by_due_at = one.deadlines.due_at.total_cmp(&other.deadlines.due_at);
            by_due_at.then(one.arrival.id.cmp(&other.arrival.id))
        });
        let mut ranked = Vec::with_capacity(by_due.len());
        for request in by_due {
            let quota = self.quotas.get(request.arrival.volume);
            let reserve = reserves.entry(request.arrival.volume).or_insert(quota.reserve());
            *reserve -= request.arrival.units;
            let weights = Weights {
                reserve: self.reserve_weight(quota, *reserve),
                priority: self.priority_weight(request, quota, max_weight),
            };
            ranked.push(self.ranked_request(request, node, queue_delay, &weights));
        }
        ranked
    }

    /// Returns the weight factor of a request that leaves `reserve_left` units in the reserve of its volume.
    fn reserve_weight(&self, quota: &VolumeQuota, reserve_left: f64) -> f64 {
        if reserve_left >= 0.0 {
            return 1.0;
        }
        quota.over_reserve_weight(-reserve_left, self.settings, self.now)
    }

    /// Returns the weight factor of a request from its class and the plan of its volume, relative to the
    /// largest weight.
    fn priority_weight(&self, request: &Request, quota: &VolumeQuota, max_weight: f64) -> f64 {
        let retry_weight = if request.is_client_retry { CLIENT_RETRY_WEIGHT } else { 1.0 };
        let plan = &self.settings.plans[quota.plan.0];
        retry_weight * self.class_of(request).priority_weight * plan.priority_factor / max_weight
    }

    /// Computes the ranking inputs of one request at a node.
    fn ranked_request(
        &self,
        request: &Request,
        node: &Node,
        queue_delay: Millis,
        weights: &Weights,
    ) -> RankedRequest {
        let deadlines = &request.deadlines;
        let service_time = node.service_time_of(request.arrival.units, self.fleet);
        let latency = self.expected_latency(request, queue_delay + service_time);
        let is_late = self.now + latency > deadlines.due_at;
        let late_value = if is_late { self.class_of(request).late_value } else { 1.0 };
        let queue_share = TOLERATED_QUEUE_SHARE + MAX_QUEUE_SHARE * weights.reserve * weights.priority;
        RankedRequest {
            id: request.arrival.id,
            due_at: deadlines.due_at,
            expires_at: deadlines.expires_at,
            service_time,
            latency,
            max_queue_delay: queue_share * late_value * self.fleet.latency_objective,
        }
    }

    /// Returns the expected latency, ms, given an `estimate` of queue delay plus service time. A request that
    /// expires before its objective has time for this attempt only, so the estimate is optimistic: it assumes
    /// a fast response.
    fn expected_latency(&self, request: &Request, estimate: Millis) -> Millis {
        let expires_before_objective = request.deadlines.due_at >= request.deadlines.expires_at;
        let factor = if expires_before_objective { BEST_CASE_LATENCY_FACTOR } else { 1.0 };
        factor * self.fleet.latency_ratio(self.now).max(BEST_CASE_LATENCY_FACTOR) * estimate
    }

    /// Sends an attempt. Does nothing for a request that has ended.
    pub(crate) fn send(&mut self, id: RequestId, to: NodeId) {
        let (Some(request), Some(node)) = (self.requests.get(id), self.nodes.get(to)) else { return };
        let number = AttemptNo(request.attempts.len() as u32);
        let (units, volume) = (request.arrival.units, request.arrival.volume);
        let (tick, now) = (self.settings.tick, self.now);
        let until = may_be_sent_until(request, self.class_of(request).effect, tick);
        let (shard, zone) = (node.entry().shard, node.entry().zone);
        if number.0 > 0 {
            self.retry_window.record_retry(id, number, now);
        } else {
            self.quotas.take(volume, units, now);
        }
        self.retry_window.prune(self.settings.retry_budget, tick, now);
        let attempt = Attempt { node: to, shard, zone, sent_at: now, execution: Execution::InFlight };
        self.requests.record_sent(id, attempt);
        let sent = SentAttempt { request: id, number, units };
        let window = self.settings.slow_start_window;
        self.nodes.update(to, |node| node.record_sent(sent, self.fleet, window, now));
        self.actions.push(Action::Send { request: id, node: to, until });
    }
}
