//! State of a storage node: its entry in the endpoint list, its attempts in flight, and estimates from past
//! attempts.

use crate::api::{
    AttemptEnd, AttemptNo, Millis, NodeEntry, NodeId, Outcome, Readiness, RequestId, Settings, ShardId,
};
use crate::concurrency_limit::{ConcurrencyLimit, QueueDelay, ResponseTimes, implied_queue_delay};
use crate::estimates::{FleetEstimates, IN_USE_UNITS, NodeReports, QUEUE_DELAY_REPORT_TIMEOUT};
use crate::in_flight::InFlightAttempt;
use crate::loss_detection::{LossProbe, is_overdue, is_presumed_lost, mark_overtaken};
use crate::node_health::{NodeHealth, ResponseBounds, unresponsive_trial_is_due};
use crate::recent::RecentSum;
use crate::service_time::{ServiceTime, mean_work};
use crate::slow_start::{SlowStart, WarmingNode};
use flaxstand_index::{Membership, Record, Table};

/// All nodes that are listed or have attempts in flight.
pub(crate) type NodeTable = Table<NodeId, Node>;

/// One storage node.
#[derive(Default)]
pub(crate) struct Node {
    entry: NodeEntry,
    in_flight: Vec<InFlightAttempt>,
    /// When the last attempt was sent; 0 if none was sent.
    last_sent_at: Millis,
    /// Decayed sum of recently sent units.
    recent_units: RecentSum,
    service_time: ServiceTime,
    queue_delay: QueueDelay,
    concurrency: ConcurrencyLimit,
    health: NodeHealth,
    slow_start: SlowStart,
    loss_probe: LossProbe,
}

impl Record for Node {
    type Group = ShardId;

    /// A shard is served by the serving node that holds it; if there are several, by the one that started
    /// last.
    fn membership(&self) -> Option<Membership<ShardId>> {
        let NodeEntry { shard: group, started_at, size: weight, .. } = self.entry;
        self.is_serving().then_some(Membership { group, rank: started_at.unwrap_or(0.0), weight })
    }

    fn sample(&self) -> Option<Millis> {
        self.service_time.measured()
    }
}

/// Entry in the endpoint list.
impl Node {
    pub(crate) fn new(entry: &NodeEntry, now: Millis) -> Self {
        Node {
            entry: entry.clone(),
            service_time: ServiceTime::new(entry.service_time),
            concurrency: ConcurrencyLimit::new(),
            slow_start: SlowStart::new(now),
            ..Node::default()
        }
    }

    /// Applies an entry of the endpoint list. If the node process has restarted, all estimates from the old
    /// process are reset; attempts in flight are kept until they end.
    pub(crate) fn apply_entry(&mut self, entry: &NodeEntry, now: Millis) {
        if entry.started_at.is_some() && entry.started_at != self.entry.started_at {
            let in_flight = std::mem::take(&mut self.in_flight);
            let concurrency = ConcurrencyLimit::after_restart();
            *self = Node { in_flight, concurrency, ..Node::new(entry, now) };
        }
        self.entry = entry.clone();
    }

    /// Marks the node as no longer listed.
    pub(crate) fn mark_removed(&mut self) {
        self.entry.readiness = Readiness::Removed;
    }

    pub(crate) fn entry(&self) -> &NodeEntry {
        &self.entry
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.entry.readiness == Readiness::Serving
    }

    /// Returns whether the node is unlisted and has no attempts in flight.
    pub(crate) fn is_removable(&self) -> bool {
        self.entry.readiness == Readiness::Removed && self.in_flight.is_empty()
    }

    /// Returns whether evaluations may skip the node until it changes: no attempts in flight, no recent
    /// sends, not counted as in use, and not due for removal.
    pub(crate) fn is_idle(&self, now: Millis) -> bool {
        let has_recent_sends =
            self.was_sent_to_recently(now) || self.recent_units.get(now) > IN_USE_UNITS / 2.0;
        self.entry.readiness != Readiness::Removed && self.in_flight.is_empty() && !has_recent_sends
    }

    fn was_sent_to_recently(&self, now: Millis) -> bool {
        now - self.last_sent_at < QUEUE_DELAY_REPORT_TIMEOUT
    }

    /// Returns whether this initiator uses the node.
    fn is_in_use(&self, now: Millis) -> bool {
        self.is_serving() && self.recent_units.get(now) > IN_USE_UNITS
    }

    /// Returns its nominal size relative to the mean of the serving nodes; 1 if not specified.
    pub(crate) fn relative_size(&self, fleet: &FleetEstimates) -> f64 {
        if self.entry.size > 0.0 && fleet.node_size > 0.0 { self.entry.size / fleet.node_size } else { 1.0 }
    }
}

/// Attempts in flight and the delays derived from them.
impl Node {
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    pub(crate) fn position_of(&self, request: RequestId, attempt: AttemptNo) -> Option<usize> {
        self.in_flight.iter().position(|other| other.request == request && other.number == attempt)
    }

    /// Returns the decayed sum of recently sent units.
    pub(crate) fn recent_units(&self, now: Millis) -> f64 {
        self.recent_units.get(now)
    }

    /// Returns the service time of a unit, ms, as measured by this or an earlier process of the host.
    pub(crate) fn measured_service_time(&self) -> Option<Millis> {
        self.service_time.measured()
    }

    /// Returns the service time of a unit to assume, ms.
    pub(crate) fn unit_service_time(&self, fleet: &FleetEstimates) -> Millis {
        self.service_time.or_typical(fleet.service_time)
    }

    /// Returns the expected service time of a request, ms, without queueing.
    pub(crate) fn service_time_of(&self, units: f64, fleet: &FleetEstimates) -> Millis {
        mean_work(units) * self.unit_service_time(fleet)
    }

    /// Returns the queue delay of the node, ms: the maximum of the reported delay and the delay implied by
    /// attempts in flight. Guards against queues caused by other initiators.
    pub(crate) fn queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Millis {
        let bounds = self.response_bounds(fleet.queue_delay, fleet);
        let queued = self.in_flight.iter().filter(|attempt| bounds.may_be_queued(attempt, now));
        let implied = queued.map(|attempt| implied_queue_delay(attempt, bounds.service_time, now));
        implied.fold(self.queue_delay.estimate(fleet.queue_delay, now), f64::max)
    }

    /// Returns the contribution of the node to the queue delay of the fleet, ms: that of the attempt sent
    /// last, if it was sent recently and already provides a value. Each node contributes at most one value;
    /// an attempt that exceeds its response time-out contributes none.
    fn reported_queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Option<Millis> {
        let has_recent_sends = self.was_sent_to_recently(now);
        let Some(last) = self.in_flight.iter().find(|attempt| attempt.sent_at == self.last_sent_at) else {
            return has_recent_sends.then_some(self.queue_delay.last_reported());
        };
        let bounds = self.response_bounds(self.queue_delay.last_reported(), fleet);
        let implied = implied_queue_delay(last, bounds.service_time, now);
        let is_within_bounds = now - last.sent_at < bounds.timeout_of(last);
        (has_recent_sends && implied > 0.0 && is_within_bounds).then_some(implied)
    }

    fn response_bounds(&self, queue_delay: Millis, fleet: &FleetEstimates) -> ResponseBounds {
        ResponseBounds {
            service_time: self.unit_service_time(fleet),
            queue_delay,
            latency_objective: fleet.latency_objective,
        }
    }

    /// Returns the bounds beyond which the node is unresponsive, assuming the longer of the queue delays
    /// reported here and at a typical node.
    fn unresponsive_bounds(&self, fleet: &FleetEstimates) -> ResponseBounds {
        self.response_bounds(self.queue_delay.last_reported().max(fleet.queue_delay), fleet)
    }
}

/// Health, capacity and loss detection.
impl Node {
    /// Returns whether an attempt has been in flight far too long: the node hangs, or has terminated and is
    /// still listed.
    fn is_unresponsive(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let bounds = self.unresponsive_bounds(fleet);
        self.in_flight.iter().any(|attempt| bounds.is_exceeded_by(attempt, now))
    }

    /// Returns whether the node is ejected or unresponsive; new objects avoid such nodes.
    pub(crate) fn is_outlier(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        self.health.is_ejected() || self.is_unresponsive(fleet, now)
    }

    /// Returns whether the node's health and its concurrency limit allow another attempt. Attempts whose
    /// responses are presumed lost do not count against the limit.
    pub(crate) fn has_capacity(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        if self.health.is_ejected() {
            return self.health.allows_trial(self.in_flight.len(), now);
        }
        let service_time = self.unit_service_time(fleet);
        let is_expected_to_end = |attempt: &&InFlightAttempt| !is_presumed_lost(attempt, service_time, now);
        self.concurrency.allows_another(self.in_flight.iter().filter(is_expected_to_end).count())
            && (!self.is_unresponsive(fleet, now)
                || unresponsive_trial_is_due(&self.in_flight, self.last_sent_at, now))
    }

    /// Returns whether slow start allows a request.
    pub(crate) fn slow_start_allows(
        &self,
        units: f64,
        fleet: &FleetEstimates,
        settings: &Settings,
        now: Millis,
    ) -> bool {
        let node = WarmingNode {
            started_at: self.entry.started_at,
            last_sent_at: self.last_sent_at,
            relative_size: self.relative_size(fleet),
        };
        self.slow_start.allows(units, &node, fleet, settings, now)
    }

    /// Returns the minimum share of its capacity that the node has, 0 to 1; 1 once it is warm.
    pub(crate) fn capacity_share(&self, settings: &Settings, now: Millis) -> f64 {
        self.slow_start.capacity_share(self.entry.started_at, settings, now)
    }

    /// Returns whether the response to the attempt at `index` is presumed lost.
    pub(crate) fn is_presumed_lost(&self, index: usize, fleet: &FleetEstimates, now: Millis) -> bool {
        is_presumed_lost(&self.in_flight[index], self.unit_service_time(fleet), now)
    }

    /// Returns the attempts whose responses are presumed lost.
    pub(crate) fn presumed_lost(
        &self,
        fleet: &FleetEstimates,
        now: Millis,
    ) -> impl Iterator<Item = &InFlightAttempt> {
        let service_time = self.unit_service_time(fleet);
        self.in_flight.iter().filter(move |attempt| is_presumed_lost(attempt, service_time, now))
    }

    /// Returns whether to send a probe that distinguishes a lost response from a queue: an attempt is
    /// overdue.
    pub(crate) fn is_loss_probe_due(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let service_time = self.unit_service_time(fleet);
        let queue_delay = self.queue_delay.estimate(fleet.queue_delay, now);
        self.is_serving()
            && self.loss_probe.may_be_sent(now)
            && self.in_flight.iter().any(|attempt| is_overdue(attempt, service_time, queue_delay, now))
    }
}

/// An attempt that is being sent to the node.
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNo,
    pub(crate) units: f64,
}

/// Events at the node.
impl Node {
    pub(crate) fn record_sent(
        &mut self,
        sent: SentAttempt,
        fleet: &FleetEstimates,
        slow_start_window: Millis,
        now: Millis,
    ) {
        let SentAttempt { request, number, units } = sent;
        self.in_flight.push(InFlightAttempt {
            request,
            number,
            sent_at: now,
            units,
            expected_latency: self.queue_delay(fleet, now) + self.service_time_of(units, fleet),
            overtaken_at: None,
        });
        self.recent_units.add(units, now);
        self.last_sent_at = now;
        self.slow_start.record_sent(units, slow_start_window, now);
    }

    pub(crate) fn record_probe_sent(&mut self, now: Millis) {
        self.loss_probe.record_sent(now);
    }

    /// Records the end of a probe. Its latency is the queue delay, and all attempts sent before it have been
    /// started by its end.
    pub(crate) fn record_probe_end(&mut self, outcome: Outcome, now: Millis) {
        if let Some(sent_at) = self.loss_probe.record_end(outcome, now) {
            mark_overtaken(&mut self.in_flight, sent_at, now);
            self.queue_delay.record_queue_delay(now - sent_at, now);
        }
    }

    /// Updates health, queue delay and limits from the end of the attempt at `index`.
    pub(crate) fn record_attempt_end(
        &mut self,
        index: usize,
        ended: &AttemptEnd,
        fleet: &FleetEstimates,
        now: Millis,
    ) {
        let limit_was_reached = self.concurrency.is_reached_by(self.in_flight.len());
        let queue_delay = self.queue_delay(fleet, now);
        let timeout = self.unresponsive_bounds(fleet).timeout_of(&self.in_flight[index]);
        let attempt = self.in_flight.swap_remove(index);
        if ended.outcome == Outcome::Reset && ended.latency > timeout {
            self.slow_start.infer_restart(fleet.phase, now);
        }
        match ended.outcome {
            Outcome::Served => self.record_response(&attempt, ended.latency, limit_was_reached, fleet, now),
            Outcome::Rejected => {
                // The delay of a full queue exceeds every latency objective.
                self.concurrency.decrease();
                self.queue_delay.set(queue_delay.max(fleet.latency_objective), now);
            }
            Outcome::NotSent => {}
            // A client time-out before the response time-out says nothing about the health of the node, nor
            // does a lost response.
            Outcome::TimedOut if ended.latency < timeout => self.queue_delay.set(queue_delay, now),
            Outcome::TimedOut | Outcome::Cancelled if attempt.is_overtaken() => {}
            _ => self.health.record_failure(now),
        }
    }

    fn record_response(
        &mut self,
        attempt: &InFlightAttempt,
        latency: Millis,
        limit_was_reached: bool,
        fleet: &FleetEstimates,
        now: Millis,
    ) {
        self.health.record_success();
        mark_overtaken(&mut self.in_flight, attempt.sent_at, now);
        self.service_time.record(latency, attempt.units);
        let queue_delay = latency - self.service_time_of(attempt.units, fleet);
        let times = ResponseTimes { latency, queue_delay };
        self.queue_delay.record_queue_delay(times.min_queue_delay(), now);
        self.concurrency.record_response(&times, limit_was_reached, fleet.latency_objective, now);
    }
}

/// Aggregates the reports of all nodes.
pub(crate) fn reports<'a>(nodes: &'a NodeTable, fleet: &FleetEstimates, now: Millis) -> NodeReports<'a> {
    NodeReports {
        queue_delays: nodes.active().filter_map(|(_, node)| node.reported_queue_delay(fleet, now)).collect(),
        service_times: nodes.samples(),
        serving: nodes.members(),
        serving_size: nodes.weight(),
        in_use: nodes.active().filter(|(_, node)| node.is_in_use(now)).count(),
    }
}
