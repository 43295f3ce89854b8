//! A storage node as this initiator knows it: its entry in the endpoint list, what is in flight there, and
//! the parts that learn from it.

use crate::api::{
    AttemptEnd, AttemptNo, Millis, NodeEntry, NodeId, Outcome, Readiness, RequestId, Settings, ShardId,
};
use crate::concurrency_limit::{AnswerTimes, ConcurrencyLimit, QueueDelay, implied_queue_delay};
use crate::estimates::{FleetEstimates, IN_USE_UNITS, NodeReports, REPORTED_FOR};
use crate::in_flight::InFlightAttempt;
use crate::loss_detection::{LossProbe, is_overdue, is_presumed_lost, mark_overtaken};
use crate::node_health::{NodeHealth, ResponseBounds, unresponsive_trial_is_due};
use crate::recent::RecentSum;
use crate::service_time::{ServiceTime, mean_work};
use crate::slow_start::{SlowStart, WarmingNode};
use flaxstand_index::{Membership, Record, Table};

/// All nodes that are listed, or that something is still in flight at.
pub(crate) type NodeTable = Table<NodeId, Node>;

/// One storage node.
#[derive(Default)]
pub(crate) struct Node {
    entry: NodeEntry,
    in_flight: Vec<InFlightAttempt>,
    /// When the last attempt was sent; 0 before the first.
    last_sent_at: Millis,
    /// Units sent recently.
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

    /// A shard is served by the ready node that holds it; of several by the one that started last.
    fn membership(&self) -> Option<Membership<ShardId>> {
        let NodeEntry { shard: group, started_at, size: weight, .. } = self.entry;
        self.is_serving().then_some(Membership { group, rank: started_at.unwrap_or(0.0), weight })
    }

    fn sample(&self) -> Option<Millis> {
        self.service_time.learnt()
    }
}

/// The endpoint list and what it says of the node.
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

    /// Takes an entry of the endpoint list. A new process makes all void that was learnt of the old one;
    /// attempts in flight are still to end.
    pub(crate) fn apply_entry(&mut self, entry: &NodeEntry, now: Millis) {
        if entry.started_at.is_some() && entry.started_at != self.entry.started_at {
            let in_flight = std::mem::take(&mut self.in_flight);
            let concurrency = ConcurrencyLimit::after_restart();
            *self = Node { in_flight, concurrency, ..Node::new(entry, now) };
        }
        self.entry = entry.clone();
    }

    /// The endpoint list no longer has the node.
    pub(crate) fn mark_removed(&mut self) {
        self.entry.readiness = Readiness::Removed;
    }

    pub(crate) fn entry(&self) -> &NodeEntry {
        &self.entry
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.entry.readiness == Readiness::Serving
    }

    /// Whether nothing refers to the node any more.
    pub(crate) fn is_disposable(&self) -> bool {
        self.entry.readiness == Readiness::Removed && self.in_flight.is_empty()
    }

    /// Whether no evaluation depends on the node until it changes: nothing is in flight, nothing was sent
    /// recently, it does not count as in use, and it need not be dropped.
    pub(crate) fn is_at_rest(&self, now: Millis) -> bool {
        let was_sent_to = self.was_sent_to_recently(now) || self.recent_units.get(now) > IN_USE_UNITS / 2.0;
        self.entry.readiness != Readiness::Removed && self.in_flight.is_empty() && !was_sent_to
    }

    fn was_sent_to_recently(&self, now: Millis) -> bool {
        now - self.last_sent_at < REPORTED_FOR
    }

    /// Whether this initiator counts the node among those that it uses.
    fn is_in_use(&self, now: Millis) -> bool {
        self.is_serving() && self.recent_units.get(now) > IN_USE_UNITS
    }

    /// Its nominal size as a multiple of the mean of those that take work; 1 where none is stated.
    pub(crate) fn relative_size(&self, fleet: &FleetEstimates) -> f64 {
        if self.entry.size > 0.0 && fleet.node_size > 0.0 { self.entry.size / fleet.node_size } else { 1.0 }
    }
}

/// What is in flight, and what it implies.
impl Node {
    pub(crate) fn in_flight(&self) -> &[InFlightAttempt] {
        &self.in_flight
    }

    pub(crate) fn position_of(&self, request: RequestId, attempt: AttemptNo) -> Option<usize> {
        self.in_flight.iter().position(|other| other.request == request && other.number == attempt)
    }

    /// Units sent to the node recently.
    pub(crate) fn recent_units(&self, now: Millis) -> f64 {
        self.recent_units.get(now)
    }

    /// Service time of a unit, ms, if an answer of this or an earlier process of the host told it.
    pub(crate) fn learnt_service_time(&self) -> Option<Millis> {
        self.service_time.learnt()
    }

    /// Service time of a unit to reckon with, ms.
    pub(crate) fn unit_service_time(&self, fleet: &FleetEstimates) -> Millis {
        self.service_time.or_usual(fleet.service_time)
    }

    /// Time that a request's own work takes here without queueing, ms.
    pub(crate) fn service_time_of(&self, units: f64, fleet: &FleetEstimates) -> Millis {
        mean_work(units) * self.unit_service_time(fleet)
    }

    /// Delay in the node's queue, ms, as reported and as the attempts in flight imply it. Guards against
    /// queues that other initiators make.
    pub(crate) fn queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Millis {
        let bounds = self.response_bounds(fleet.queue_delay, fleet);
        let queued = self.in_flight.iter().filter(|attempt| bounds.may_be_queued(attempt, now));
        let implied = queued.map(|attempt| implied_queue_delay(attempt, bounds.service_time, now));
        implied.fold(self.queue_delay.estimate(fleet.queue_delay, now), f64::max)
    }

    /// The node's part in the queue delay of all nodes, ms: what the attempt sent last tells, if it was sent
    /// recently and tells anything yet. One report a node, and none of an attempt that has been in flight far
    /// too long.
    fn reported_queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Option<Millis> {
        let was_sent_to = self.was_sent_to_recently(now);
        let Some(last) = self.in_flight.iter().find(|attempt| attempt.sent_at == self.last_sent_at) else {
            return was_sent_to.then_some(self.queue_delay.last_reported());
        };
        let bounds = self.response_bounds(self.queue_delay.last_reported(), fleet);
        let implied = implied_queue_delay(last, bounds.service_time, now);
        let is_within_bounds = now - last.sent_at < bounds.timeout_of(last);
        (was_sent_to && implied > 0.0 && is_within_bounds).then_some(implied)
    }

    fn response_bounds(&self, queue_delay: Millis, fleet: &FleetEstimates) -> ResponseBounds {
        ResponseBounds {
            service_time: self.unit_service_time(fleet),
            queue_delay,
            latency_objective: fleet.latency_objective,
        }
    }

    /// The bounds beyond which the node is unresponsive: behind the longest queue that was reported, here or
    /// at a usual node.
    fn unresponsive_bounds(&self, fleet: &FleetEstimates) -> ResponseBounds {
        self.response_bounds(self.queue_delay.last_reported().max(fleet.queue_delay), fleet)
    }
}

/// Whether the node may be sent more.
impl Node {
    /// Whether an attempt has been in flight far too long: the node hangs, or is gone and still listed.
    fn is_unresponsive(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let bounds = self.unresponsive_bounds(fleet);
        self.in_flight.iter().any(|attempt| bounds.is_exceeded_by(attempt, now))
    }

    /// Whether the node is ejected or unresponsive, so that new objects avoid it.
    pub(crate) fn is_outlier(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        self.health.is_ejected() || self.is_unresponsive(fleet, now)
    }

    /// Whether health and concurrency limit leave room for one more attempt. One presumed lost takes no room.
    pub(crate) fn has_capacity(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        if self.health.is_ejected() {
            return self.health.allows_trial(self.in_flight.len(), now);
        }
        let service_time = self.unit_service_time(fleet);
        let is_waited_for = |attempt: &&InFlightAttempt| !is_presumed_lost(attempt, service_time, now);
        self.concurrency.allows_more_than(self.in_flight.iter().filter(is_waited_for).count())
            && (!self.is_unresponsive(fleet, now)
                || unresponsive_trial_is_due(&self.in_flight, self.last_sent_at, now))
    }

    /// Whether the node's warm-up leaves room for a request.
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

    /// Share of its capacity that the node has at least, 0 to 1; 1 once it is warm.
    pub(crate) fn capacity_share(&self, settings: &Settings, now: Millis) -> f64 {
        self.slow_start.capacity_share(self.entry.started_at, settings, now)
    }

    /// Whether the answer of the attempt at `index` is presumed lost.
    pub(crate) fn is_presumed_lost(&self, index: usize, fleet: &FleetEstimates, now: Millis) -> bool {
        is_presumed_lost(&self.in_flight[index], self.unit_service_time(fleet), now)
    }

    /// Attempts whose answers are presumed lost.
    pub(crate) fn presumed_lost(
        &self,
        fleet: &FleetEstimates,
        now: Millis,
    ) -> impl Iterator<Item = &InFlightAttempt> {
        let service_time = self.unit_service_time(fleet);
        self.in_flight.iter().filter(move |attempt| is_presumed_lost(attempt, service_time, now))
    }

    /// Whether a probe would tell a lost answer from a queue: an attempt has been in flight for longer than
    /// it should.
    pub(crate) fn is_loss_probe_due(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let service_time = self.unit_service_time(fleet);
        let queue_delay = self.queue_delay.estimate(fleet.queue_delay, now);
        self.is_serving()
            && self.loss_probe.may_be_sent(now)
            && self.in_flight.iter().any(|attempt| is_overdue(attempt, service_time, queue_delay, now))
    }
}

/// An attempt that leaves for the node.
pub(crate) struct SentAttempt {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNo,
    pub(crate) units: f64,
}

/// What happens at the node.
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

    /// A probe's latency is the queue delay, and what was sent before it has begun by its end.
    pub(crate) fn record_probe_end(&mut self, outcome: Outcome, now: Millis) {
        if let Some(sent_at) = self.loss_probe.record_end(outcome, now) {
            mark_overtaken(&mut self.in_flight, sent_at, now);
            self.queue_delay.record_queue_delay(now - sent_at, now);
        }
    }

    /// Learns from the end of the attempt at `index`.
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
            Outcome::Served => self.record_answer(&attempt, ended.latency, limit_was_reached, fleet, now),
            Outcome::Rejected => {
                // A full queue holds more than any latency objective allows.
                self.concurrency.decrease();
                self.queue_delay.set(queue_delay.max(fleet.latency_objective), now);
            }
            Outcome::NotSent => {}
            // A client that left early says nothing about the node's health, nor does an answer that was
            // lost.
            Outcome::TimedOut if ended.latency < timeout => self.queue_delay.set(queue_delay, now),
            Outcome::TimedOut | Outcome::Cancelled if attempt.is_overtaken() => {}
            _ => self.health.record_failure(now),
        }
    }

    fn record_answer(
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
        let answer = AnswerTimes { latency, queue_delay };
        self.queue_delay.record_queue_delay(answer.certain_queue_delay(), now);
        self.concurrency.record_answer(&answer, limit_was_reached, fleet.latency_objective, now);
    }
}

/// What all nodes report together.
pub(crate) fn reports<'a>(nodes: &'a NodeTable, fleet: &FleetEstimates, now: Millis) -> NodeReports<'a> {
    NodeReports {
        queue_delays: nodes.active().filter_map(|(_, node)| node.reported_queue_delay(fleet, now)).collect(),
        service_times: nodes.samples(),
        serving: nodes.members(),
        serving_size: nodes.weight(),
        in_use: nodes.active().filter(|(_, node)| node.is_in_use(now)).count(),
    }
}
