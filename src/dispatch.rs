//! Which request leaves next at a node, and the gate before each send.
//!
//! Held requests leave earliest due first, of those that can make their objective. The exception is the queue
//! that a request may join at the node: the less it counts, the shorter.

use crate::admission::{VolumeQuota, VolumeQuotas};
use crate::api::{Action, AttemptNo, Class, Millis, NodeId, RequestId, Settings, VolumeId};
use crate::concurrency_limit::TOLERATED_QUEUE_SHARE;
use crate::estimates::FleetEstimates;
use crate::node::{Node, NodeTable, SentAttempt};
use crate::request::{Attempt, Execution, Request};
use crate::request_table::RequestTable;
use crate::retries::{RetryWindow, effect_allows, may_be_sent_until};
use std::collections::BTreeMap;

/// Queue that a request of the largest weight may join beyond the tolerated one, in tightest latency
/// objectives.
const MAX_QUEUE_SHARE: f64 = 2.5;
/// Share of the expected latency within which an answer may well arrive.
const OPTIMISM_FACTOR: f64 = 0.7;
/// Factor on the weight of a client's retry.
const CLIENT_RETRY_WEIGHT: f64 = 0.3;

/// Everything that the sends of one evaluation depend on and change.
pub(crate) struct Dispatch<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a FleetEstimates,
    pub(crate) nodes: &'a mut NodeTable,
    pub(crate) requests: &'a mut RequestTable,
    pub(crate) quotas: &'a mut VolumeQuotas,
    pub(crate) retry_window: &'a mut RetryWindow,
    /// Whether anything may be sent on the endpoint list that is known.
    pub(crate) endpoints_trusted: bool,
    pub(crate) now: Millis,
    pub(crate) actions: &'a mut Vec<Action>,
}

/// A held request as the order at one node sees it.
struct RankedRequest {
    id: RequestId,
    due_at: Millis,
    expires_at: Millis,
    /// Time that it takes the node, ms.
    service_time: Millis,
    /// Expected time from its sending to its answer, ms.
    latency: Millis,
    /// The longest queue at the node that it may join, ms.
    max_queue_delay: Millis,
}

/// What a request counts against others, as factors from 0 to 1.
struct Weights {
    /// By what is left of its volume's reserve.
    reserve: f64,
    /// By its class and plan.
    priority: f64,
}

impl RankedRequest {
    fn is_timely(&self, now: Millis) -> bool {
        now + self.latency <= self.due_at
    }

    fn is_answered_before_expiry(&self, start_at: Millis) -> bool {
        start_at + self.latency <= self.expires_at
    }
}

impl Dispatch<'_> {
    /// Sends, node by node, what may leave now. No node is removed while it runs, so indexing a node holds.
    pub(crate) fn send_held_requests(&mut self) {
        for (node, mut waiting) in self.held_by_node() {
            // The node's capacity is asked first, so that a node without any costs no walk over its requests.
            while self.nodes[node].has_capacity(self.fleet, self.now) {
                waiting.retain(|id| self.is_held(*id) && self.may_send(*id, node));
                let Some(next) = self.choose_next(&waiting, node) else { break };
                self.send(next, node);
            }
        }
    }

    /// Held requests by the node that they wait for, in the order of ids.
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

    /// The gate that every send passes.
    pub(crate) fn may_send(&self, id: RequestId, node: NodeId) -> bool {
        let (Some(request), Some(node)) = (self.requests.get(id), self.nodes.get(node)) else { return false };
        self.request_allows(request) && self.node_allows(node, request) && self.rules_allow(node, request)
    }

    /// Guards against attempts for a request that has ended or expired, and beyond the attempts it may have.
    fn request_allows(&self, request: &Request) -> bool {
        !request.is_over
            && self.now < request.deadlines.expires_at
            && request.attempts.len() < self.settings.max_attempts as usize
            && request.in_flight().count() < self.settings.max_concurrent_attempts as usize
    }

    /// Guards against sends to a node that drains, as far as the endpoint list can be trusted; that is
    /// ejected, unresponsive or at its concurrency limit; or that is warming up and would be overloaded.
    fn node_allows(&self, node: &Node, request: &Request) -> bool {
        node.is_serving()
            && self.endpoints_trusted
            && node.has_capacity(self.fleet, self.now)
            && node.slow_start_allows(request.arrival.units, self.fleet, self.settings, self.now)
    }

    /// Guards against reordering within a key, a second execution, a volume beyond its limit, and retry
    /// storms.
    fn rules_allow(&self, node: &Node, request: &Request) -> bool {
        let class = self.class_of(request);
        let (tick, now) = (self.settings.tick, self.now);
        self.requests.is_turn_of(request, class, now)
            && effect_allows(request, node.entry(), class.effect, tick, now)
            && if request.has_no_attempt() {
                let quota = self.quotas.of(request.arrival.volume);
                quota.limit_allows(request.arrival.units, self.settings, now)
            } else {
                self.retry_window.allows_retry(self.settings.retry_budget, tick, now)
            }
    }

    /// The request that leaves next. A late one joins only if nothing of this initiator is in flight there.
    /// What can no more be answered in its client's time gets its final answer.
    fn choose_next(&mut self, waiting: &[RequestId], node: NodeId) -> Option<RequestId> {
        let ranked = self.rank(waiting, node);
        let (timely, mut late): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|request| request.is_timely(self.now));
        late.sort_by(|one, other| other.max_queue_delay.total_cmp(&one.max_queue_delay));
        let next = self.first_that_may_join(&timely, &late, node);
        self.end_hopeless(timely.iter().chain(&late));
        next
    }

    /// The first timely request that may join the node's queue, or else the first late one.
    fn first_that_may_join(
        &self,
        timely: &[RankedRequest],
        late: &[RankedRequest],
        node: NodeId,
    ) -> Option<RequestId> {
        let node = &self.nodes[node];
        let queue_delay = node.queue_delay(self.fleet, self.now);
        let may_join = |request: &&RankedRequest| queue_delay <= request.max_queue_delay;
        let may_join_late = |request: &&RankedRequest| {
            may_join(request) && node.in_flight().is_empty() && request.is_answered_before_expiry(self.now)
        };
        let next = timely.iter().find(may_join).or(late.iter().find(may_join_late));
        next.map(|request| request.id)
    }

    /// Gives the final answer to what would expire if it left after all that are ranked before it.
    fn end_hopeless<'r>(&mut self, ranked: impl Iterator<Item = &'r RankedRequest>) {
        let mut wait = 0.0;
        for request in ranked {
            if request.is_answered_before_expiry(self.now + wait) {
                wait += request.service_time;
            } else {
                self.requests.end_unserved(request.id, false, self.settings, self.actions);
            }
        }
    }

    /// Earliest due first, with the queue that each may join. A volume's reserve goes to those due first.
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
            let quota = self.quotas.of(request.arrival.volume);
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

    /// Factor on a request's weight with `reserve_left` units of its volume's reserve left after it.
    fn reserve_weight(&self, quota: &VolumeQuota, reserve_left: f64) -> f64 {
        if reserve_left >= 0.0 {
            return 1.0;
        }
        quota.over_reserve_weight(-reserve_left, self.settings, self.now)
    }

    /// Weight of a request by its class and its volume's plan, as a share of the largest.
    fn priority_weight(&self, request: &Request, quota: &VolumeQuota, max_weight: f64) -> f64 {
        let retry_weight = if request.is_client_retry { CLIENT_RETRY_WEIGHT } else { 1.0 };
        let plan = &self.settings.plans[quota.plan.0];
        retry_weight * self.class_of(request).priority_weight * plan.priority_factor / max_weight
    }

    /// What order and queue limit at a node depend on, for one request.
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

    /// Latency that is reckoned with, ms, where service and queue take `estimate` ms. A request that came
    /// with less time than its objective has only this chance, so the estimate is taken with optimism.
    fn expected_latency(&self, request: &Request, estimate: Millis) -> Millis {
        let has_one_chance = request.deadlines.due_at >= request.deadlines.expires_at;
        let optimism = if has_one_chance { OPTIMISM_FACTOR } else { 1.0 };
        optimism * self.fleet.latency_ratio(self.now).max(OPTIMISM_FACTOR) * estimate
    }

    /// Sends an attempt; does nothing for a request that has ended.
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
