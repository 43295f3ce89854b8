//! A second, deliberately independent implementation of the decisions in `src/`: the reference for
//! `tests/equivalence.rs`. One file without indexes; each evaluation iterates over and sorts all listed
//! nodes.
//!
//! It shares no code with `src/` but the interface, since a fault in shared code would occur in both and stay
//! undetected. Change it by hand, from the rule; never copy from `src/`.

use crate::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Maximum concurrency limit of a node.
const MAX_CONCURRENCY: f64 = 8.0;
/// Queue delay that a request of the largest weight may join, as a multiple of the tightest latency
/// objective.
const MAX_QUEUE_SHARE: f64 = 2.5;
/// Base of the exponential usage term.
const USAGE_PENALTY_BASE: f64 = 1.05;
/// Recently sent units above which this initiator counts a node as in use.
const IN_USE_UNITS: f64 = 0.1;
/// Lower bound of the fitness of a candidate.
const MIN_FITNESS: f64 = 0.01;
/// Decay time constant of sums of recent events, ms.
const RECENT_TIME: Millis = 2000.0;
/// Queue delay that is tolerated at a node, as a multiple of the tightest latency objective.
const TOLERATED_QUEUE_SHARE: f64 = 0.06;
/// Maximum deviation of an unqueued attempt above its expected service time, as a share of it.
const SERVICE_TIME_VARIATION: f64 = 0.5;
/// Multiplicative decrease of the concurrency limit after a queue delay beyond the tolerated one.
const DECREASE_FACTOR: f64 = 0.75;
/// Weight of a new sample in running means.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Decay time constant of a reported queue delay, ms.
const REPORT_FADE_TIME: Millis = 1000.0;
/// Multiple of its expected latency after which an attempt in flight makes its node unresponsive.
const UNRESPONSIVE_LATENCY_FACTOR: f64 = 4.0;
/// Share of the expected latency that a request may take in the best case.
const BEST_CASE_LATENCY_FACTOR: f64 = 0.7;
/// Upper bound of the ratio of actual to expected latency of one response.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Decayed count of lost responses from which further losses are expected.
const FREQUENT_LOSSES: f64 = 0.05;
/// Number of consecutive failures that eject a node.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Minimum back-off between trial requests, ms.
const MIN_TRIAL_BACKOFF: Millis = 50.0;
/// Maximum back-off between trial requests, ms.
const MAX_TRIAL_BACKOFF: Millis = 400.0;
/// Share of the tolerated load of a warming node that is used.
const SLOW_START_SHARE: f64 = 0.7;
/// Maximum interval between evaluations while a request waits, ms.
const EVALUATION_INTERVAL: Millis = 10.0;
/// Margin by which a held request ends before its deadline, ms, in addition to one evaluation interval and
/// one tick.
const FINAL_RESPONSE_MARGIN: Millis = 4.0;
/// Share of a client's time for which a request without attempts is held.
const HOLD_SHARE: f64 = 0.5;
/// Period in which a client with an unserved request is expected to retry, ms.
const CLIENT_RETRY_TIMEOUT: Millis = 2000.0;
/// Weight factor of retries by clients.
const CLIENT_RETRY_WEIGHT: f64 = 0.3;
/// Minimum back-off after a failed poll, ms.
const MIN_POLL_BACKOFF: Millis = 200.0;
/// Maximum back-off after a failed poll, ms.
const MAX_POLL_BACKOFF: Millis = 1300.0;

/// An exponentially decaying sum with time constant `RECENT_TIME`.
#[derive(Clone, Copy, Default)]
struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    fn get(&self, now: Millis) -> f64 {
        self.value * (-(now - self.at) / RECENT_TIME).exp()
    }
    fn add(&mut self, amount: f64, now: Millis) {
        *self = DecayingSum { value: self.get(now) + amount, at: now };
    }
}

/// Mean work of a request, in units. Its size is rounded up to whole units, so the mean is half a unit less.
fn mean_work(units: f64) -> f64 {
    (units - 0.5).max(0.5)
}

/// Returns the tightest latency objective, ms, and the largest weight of a request over classes and plans.
fn objective_and_max_weight(settings: &Settings) -> (Millis, f64) {
    let latency_objective =
        settings.classes.iter().map(|c| c.latency_objective).fold(Millis::INFINITY, Millis::min);
    let priority_factor = settings.plans.iter().map(|p| p.priority_factor).fold(0.0, f64::max);
    (
        latency_objective,
        settings.classes.iter().map(|c| c.priority_weight * priority_factor).fold(0.0, f64::max),
    )
}

fn random(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// An attempt that is in flight.
struct InFlightAttempt {
    request: RequestId,
    number: AttemptNo,
    sent_at: Millis,
    units: f64,
    /// Expected latency when it was sent, ms.
    expected: Millis,
    /// When the response to a later attempt or probe arrived. Nodes start work in order of arrival, so this
    /// attempt had been started by then.
    overtaken_at: Option<Millis>,
}

/// One storage node.
#[derive(Default)]
struct Node {
    entry: NodeEntry,
    in_flight: Vec<InFlightAttempt>,
    concurrency_limit: f64,
    last_decrease_at: Millis,
    last_sent_at: Millis,
    /// When the list first contained the current process, or its restart was inferred.
    process_seen_at: Millis,
    /// Time of a restart that the list has not reported, and how long it is assumed.
    inferred_restart_at: Millis,
    restart_assumed_until: Millis,
    /// Running estimate of the service time of a unit, ms; falls fast, rises slowly.
    unit_service_time: Option<f64>,
    /// Last reported queue delay, ms, and when it was reported.
    reported_queue_delay: Millis,
    reported_at: Millis,
    consecutive_failures: u32,
    next_trial_at: Millis,
    /// When the probe in flight was sent, and the earliest time of the next one.
    probe_sent_at: Option<Millis>,
    next_probe_at: Millis,
    /// Decayed sum of sent units, for the usage term.
    recent_units: DecayingSum,
    /// Sends within the slow-start window: time and units.
    recent_sends: VecDeque<(Millis, f64)>,
}

impl Node {
    fn new(entry: &NodeEntry, now: Millis) -> Self {
        let (concurrency_limit, unit_service_time) = (MAX_CONCURRENCY / 2.0, entry.service_time);
        Node {
            entry: entry.clone(),
            concurrency_limit,
            process_seen_at: now,
            unit_service_time,
            ..Node::default()
        }
    }

    /// Applies an entry of the list. A new process resets all estimates.
    fn apply_entry(&mut self, entry: &NodeEntry, now: Millis) {
        if entry.started_at.is_some() && entry.started_at != self.entry.started_at {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Node { in_flight, concurrency_limit: 1.0, ..Node::new(entry, now) };
        }
        self.entry = entry.clone();
    }

    /// Nominal size relative to the mean of the serving nodes.
    fn relative_size(&self, fleet: &FleetEstimates) -> f64 {
        if self.entry.size > 0.0 && fleet.node_size > 0.0 { self.entry.size / fleet.node_size } else { 1.0 }
    }

    /// Minimum share of its capacity that the node has; 1 once it is warm.
    fn capacity_share(&self, settings: &Settings, now: Millis) -> f64 {
        match (now < self.restart_assumed_until).then_some(self.inferred_restart_at).or(self.entry.started_at)
        {
            Some(at) if now < at + settings.warm_up_time => {
                settings.initial_capacity
                    + (1.0 - settings.initial_capacity) * ((now - at).max(0.0) / settings.warm_up_time)
            }
            _ => 1.0,
        }
    }

    /// Applies slow start: per window, this initiator sends at most its share, calculated with the service
    /// time of a typical node. A larger request is sent alone after as many windows as it needs shares; the
    /// phase of the initiator offsets the first one.
    fn slow_start_allows(
        &self,
        units: f64,
        fleet: &FleetEstimates,
        settings: &Settings,
        now: Millis,
    ) -> bool {
        let capacity_share = self.capacity_share(settings, now);
        if capacity_share >= 1.0 || settings.slow_start_window <= 0.0 {
            return true;
        }
        let within = self.recent_sends.iter().filter(|(at, _)| now - at < settings.slow_start_window);
        let recent: f64 = within.map(|(_, u)| mean_work(*u)).sum();
        let units = mean_work(units);
        let tolerated = (settings.overload_multiple * capacity_share * settings.slow_start_window
            / fleet.unit_service_time)
            .max(settings.slow_start_min_units * mean_work(1.0));
        // Sends of an earlier process of this host are unknown: the share grows over the first window.
        let started_before_host = self.entry.started_at.is_some_and(|at| at < fleet.started_at);
        let window_share_elapsed = if started_before_host {
            ((now - fleet.started_at) / settings.slow_start_window).min(1.0)
        } else {
            1.0
        };
        let share = window_share_elapsed * SLOW_START_SHARE * tolerated * self.relative_size(fleet)
            / fleet.initiators_per_node;
        let wait = settings.slow_start_window * units / share;
        recent + units <= share
            || now >= self.last_sent_at + wait
                && now >= self.process_seen_at + fleet.phase * wait
                && recent == 0.0
    }

    /// Whether an attempt that was not overtaken exceeds its response time-out.
    fn is_unresponsive(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let queue_delay = self.reported_queue_delay.max(fleet.queue_delay);
        self.in_flight.iter().any(|attempt| {
            now - attempt.sent_at > self.response_timeout(queue_delay, attempt, fleet)
                && attempt.overtaken_at.is_none()
        })
    }

    /// Whether a trial request to an unresponsive node is due; the intervals grow.
    fn trial_is_due(&self, now: Millis) -> bool {
        let oldest = self.in_flight.iter().map(|attempt| attempt.sent_at).fold(now, Millis::min);
        now - self.last_sent_at >= (self.last_sent_at - oldest).max(MAX_TRIAL_BACKOFF)
    }

    /// Returns the time in flight that a queue delay of `queue_delay` cannot explain.
    fn response_timeout(
        &self,
        queue_delay: Millis,
        attempt: &InFlightAttempt,
        fleet: &FleetEstimates,
    ) -> Millis {
        (UNRESPONSIVE_LATENCY_FACTOR * (self.max_service_time(attempt, fleet) + queue_delay))
            .max(fleet.latency_objective)
    }

    /// Marks earlier attempts as overtaken after a response to something sent at `sent_at`.
    fn mark_overtaken(&mut self, sent_at: Millis, now: Millis) {
        let older = self
            .in_flight
            .iter_mut()
            .filter(|attempt| attempt.sent_at < sent_at && attempt.overtaken_at.is_none());
        older.for_each(|attempt| attempt.overtaken_at = Some(now));
    }

    /// Whether the response to an attempt is presumed lost: it was overtaken longer ago than its maximum
    /// service time.
    fn is_presumed_lost(&self, attempt: &InFlightAttempt, fleet: &FleetEstimates, now: Millis) -> bool {
        attempt.overtaken_at.is_some_and(|at| now - at > self.max_service_time(attempt, fleet))
    }

    /// Whether to send a probe that distinguishes a lost response from a queue: an attempt is overdue.
    fn probe_is_due(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        let estimate = self.estimated_queue_delay(fleet, now);
        let is_overdue = |attempt: &InFlightAttempt| {
            attempt.overtaken_at.is_none()
                && now - attempt.sent_at > self.max_service_time(attempt, fleet) + estimate
        };
        let is_serving = self.entry.readiness == Readiness::Serving;
        is_serving
            && self.probe_sent_at.is_none()
            && now >= self.next_probe_at
            && self.in_flight.iter().any(is_overdue)
    }

    fn is_outlier(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES || self.is_unresponsive(fleet, now)
    }

    /// Whether concurrency limit and health allow another attempt. Attempts that are presumed lost do not
    /// count.
    fn has_capacity(&self, fleet: &FleetEstimates, now: Millis) -> bool {
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            return self.in_flight.is_empty() && now >= self.next_trial_at;
        }
        let pending_attempts =
            self.in_flight.iter().filter(|attempt| !self.is_presumed_lost(attempt, fleet, now)).count();
        (pending_attempts as f64) < self.concurrency_limit.floor()
            && (!self.is_unresponsive(fleet, now) || self.trial_is_due(now))
    }

    /// Returns the estimated queue delay, ms: the last report, decaying towards that of a typical node.
    fn estimated_queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Millis {
        fleet.queue_delay + (self.reported_queue_delay - fleet.queue_delay) * self.freshness_weight(now)
    }

    /// Returns the queue delay, ms, from the last report and from attempts in flight. An attempt in flight
    /// for far longer indicates an unhealthy node or a lost response rather than a queue.
    fn queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Millis {
        let may_be_queued = |attempt: &&InFlightAttempt| {
            now - attempt.sent_at
                < UNRESPONSIVE_LATENCY_FACTOR * (self.max_service_time(attempt, fleet) + fleet.queue_delay)
        };
        let estimate = self.estimated_queue_delay(fleet, now);
        self.in_flight
            .iter()
            .filter(may_be_queued)
            .map(|attempt| self.implied_queue_delay(attempt, fleet, now))
            .fold(estimate, f64::max)
    }

    /// Returns the queue delay implied by the attempt sent last, if it was sent recently and already provides
    /// a value. One report per node; none from an attempt that has been in flight for far longer than the
    /// queue delay reported here.
    fn reported_queue_delay(&self, fleet: &FleetEstimates, now: Millis) -> Option<Millis> {
        let has_recent_sends = now - self.last_sent_at < 2.0 * RECENT_TIME;
        let Some(last) = self.in_flight.iter().find(|attempt| attempt.sent_at == self.last_sent_at) else {
            return has_recent_sends.then_some(self.reported_queue_delay);
        };
        let implied = self.implied_queue_delay(last, fleet, now);
        let is_within_bounds =
            now - last.sent_at < self.response_timeout(self.reported_queue_delay, last, fleet);
        (has_recent_sends && implied > 0.0 && is_within_bounds).then_some(implied)
    }

    /// Returns the remaining weight of the last queue delay report.
    fn freshness_weight(&self, now: Millis) -> f64 {
        (-(now - self.reported_at) / REPORT_FADE_TIME).exp()
    }

    /// Returns the service time of a unit here, ms; that of a typical node if none has been measured.
    fn service_time(&self, fleet: &FleetEstimates) -> Millis {
        self.unit_service_time.map_or(fleet.unit_service_time, |t| t.max(fleet.unit_service_time))
    }

    /// Returns the service time of a request here, ms, without queueing.
    fn expected_service_time(&self, units: f64, fleet: &FleetEstimates) -> Millis {
        mean_work(units) * self.service_time(fleet)
    }

    /// Returns the maximum time that an attempt takes without queueing, ms.
    fn max_service_time(&self, attempt: &InFlightAttempt, fleet: &FleetEstimates) -> Millis {
        (1.0 + SERVICE_TIME_VARIATION) * self.expected_service_time(attempt.units, fleet)
    }

    /// Returns the queue delay implied by an attempt in flight; 0 once overtaken, as it is then lost or slow
    /// rather than queued.
    fn implied_queue_delay(&self, attempt: &InFlightAttempt, fleet: &FleetEstimates, now: Millis) -> Millis {
        if attempt.overtaken_at.is_some() {
            0.0
        } else {
            now - attempt.sent_at - self.max_service_time(attempt, fleet)
        }
    }

    /// Records a queue delay. The older the last report, the greater the weight of this one.
    fn record_queue_delay(&mut self, wait: Millis, now: Millis) {
        let weight = (1.0 - self.freshness_weight(now)).max(NEW_SAMPLE_WEIGHT);
        self.reported_queue_delay += weight * (wait - self.reported_queue_delay);
        self.reported_at = now;
    }

    fn record_sent(
        &mut self,
        request: RequestId,
        number: AttemptNo,
        units: f64,
        fleet: &FleetEstimates,
        slow_start_window: Millis,
        now: Millis,
    ) {
        let expected = self.queue_delay(fleet, now) + self.expected_service_time(units, fleet);
        self.in_flight.push(InFlightAttempt {
            request,
            number,
            sent_at: now,
            units,
            expected,
            overtaken_at: None,
        });
        self.recent_units.add(units, now);
        self.last_sent_at = now;
        self.recent_sends.push_back((now, units));
        self.recent_sends.retain(|(at, _)| now - at < slow_start_window);
    }

    /// Records the end of a probe. Its latency is a queue delay; everything sent before it had been started
    /// by its end.
    fn record_probe_end(&mut self, outcome: Outcome, now: Millis) {
        let Some(sent_at) = self.probe_sent_at.take() else { return };
        if outcome == Outcome::Served {
            self.mark_overtaken(sent_at, now);
            self.record_queue_delay(now - sent_at, now);
        } else {
            self.next_probe_at = now + MAX_TRIAL_BACKOFF;
        }
    }

    /// Updates the node from the end of an attempt: health from failures, service time and concurrency limit
    /// from latency.
    fn record_attempt_end(&mut self, index: usize, ended: &AttemptEnd, fleet: &FleetEstimates, now: Millis) {
        let limit_was_reached = self.in_flight.len() as f64 + 1.0 > self.concurrency_limit;
        let queue_delay = self.queue_delay(fleet, now);
        let timeout = self.response_timeout(
            self.reported_queue_delay.max(fleet.queue_delay),
            &self.in_flight[index],
            fleet,
        );
        let attempt = self.in_flight.swap_remove(index);
        // An unresponsive node may come back cold before the list reports it, while all initiators hold
        // requests for it and their connections break at the same time.
        if ended.outcome == Outcome::Reset && ended.latency > timeout && now >= self.restart_assumed_until {
            self.inferred_restart_at = now;
            self.restart_assumed_until = now + RECENT_TIME * (0.5 + fleet.phase);
            self.process_seen_at = now;
        }
        match ended.outcome {
            Outcome::Served => {
                self.consecutive_failures = 0;
                self.mark_overtaken(attempt.sent_at, now);
                let service_time = ended.latency / mean_work(attempt.units);
                let weight = if self.unit_service_time.is_none_or(|t| service_time < t) {
                    NEW_SAMPLE_WEIGHT
                } else {
                    NEW_SAMPLE_WEIGHT / 100.0
                };
                self.unit_service_time =
                    Some(self.unit_service_time.map_or(service_time, |t| t + weight * (service_time - t)));
                let response_queue_delay = ended.latency - self.expected_service_time(attempt.units, fleet);
                self.record_queue_delay(
                    (response_queue_delay - SERVICE_TIME_VARIATION * (ended.latency - response_queue_delay))
                        .max(0.0),
                    now,
                );
                if response_queue_delay
                    <= TOLERATED_QUEUE_SHARE * fleet.latency_objective
                        + SERVICE_TIME_VARIATION * (ended.latency - response_queue_delay)
                {
                    if limit_was_reached {
                        self.concurrency_limit =
                            (self.concurrency_limit + 1.0 / self.concurrency_limit).min(MAX_CONCURRENCY);
                    }
                } else if now - self.last_decrease_at > ended.latency {
                    self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(1.0);
                    self.last_decrease_at = now;
                }
            }
            // A full queue exceeds every latency objective.
            Outcome::Rejected => {
                self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(1.0);
                (self.reported_queue_delay, self.reported_at) =
                    (queue_delay.max(fleet.latency_objective), now);
            }
            Outcome::NotSent => {}
            // An early time-out of a client says nothing about the health of the node, nor does a lost
            // response.
            Outcome::TimedOut if ended.latency < timeout => {
                (self.reported_queue_delay, self.reported_at) = (queue_delay, now)
            }
            Outcome::TimedOut | Outcome::Cancelled if attempt.overtaken_at.is_some() => {}
            _ => {
                self.consecutive_failures = (self.consecutive_failures + 1).min(16);
                let wait = MIN_TRIAL_BACKOFF
                    * f64::from(1 << self.consecutive_failures.saturating_sub(EJECT_AFTER_FAILURES).min(8));
                self.next_trial_at = now + wait.min(MAX_TRIAL_BACKOFF);
            }
        }
    }
}

/// Quota of one volume: the shares of its reserve and of its limit that this initiator has.
struct VolumeQuota {
    plan: PlanId,
    initiators: f64,
    /// Units available at full weight.
    reserve: f64,
    /// Units that the limit allows now.
    limit_tokens: f64,
    refilled_at: Millis,
    /// Units sent beyond the reserve recently.
    recent_over_reserve: DecayingSum,
}

impl VolumeQuota {
    /// Refills reserve and limit with the even share of this initiator. The limit starts empty, since sends
    /// before a restart are unknown.
    fn refill(&mut self, settings: &Settings, now: Millis) {
        let rate = settings.plans[self.plan.0].reserve_rate / self.initiators;
        self.reserve =
            (self.reserve + rate * (now - self.refilled_at) / 1000.0).min(rate + settings.max_units);
        self.limit_tokens = self.tokens_at(settings, now);
        self.refilled_at = now;
    }

    /// Returns the units that the limit allows at `at`, if none are sent until then.
    fn tokens_at(&self, settings: &Settings, at: Millis) -> f64 {
        let plan = &settings.plans[self.plan.0];
        if plan.limit_rate <= 0.0 {
            return f64::INFINITY;
        }
        let filled =
            self.limit_tokens + plan.limit_rate / self.initiators * (at - self.refilled_at).max(0.0) / 1000.0;
        filled.min(plan.limit_burst / self.initiators)
    }

    /// Returns the weight of a unit that is `units_over` units beyond the reserve: the shared weight while
    /// the volume is within its base rate, then falling to the spare weight.
    fn over_reserve_weight(&self, units_over: f64, settings: &Settings, now: Millis) -> f64 {
        let provisioned_units = settings.plans[self.plan.0].base_rate * RECENT_TIME / 1000.0;
        let provisioned_share = (provisioned_units
            / (self.recent_over_reserve.get(now) + units_over).max(provisioned_units))
        .min(1.0);
        settings.spare_weight + (settings.shared_weight - settings.spare_weight) * provisioned_share
    }
}

/// Whether an attempt may have been executed.
#[derive(Clone, Copy, PartialEq)]
enum Execution {
    InFlight,
    NotExecuted,
    Unknown,
}

struct Attempt {
    node: NodeId,
    shard: ShardId,
    zone: ZoneId,
    sent_at: Millis,
    execution: Execution,
}

/// One request with its attempts and deadlines.
struct Request {
    arrival: Arrival,
    due_at: Millis,
    /// Time until which it may be held without an attempt.
    hold_until: Millis,
    attempts: Vec<Attempt>,
    /// Assigned node: the one of its shard, or the one drawn for a new object.
    node: Option<NodeId>,
    is_over: bool,
    is_streaming: bool,
    /// Whether a client retries an item that was recently not served here.
    is_client_retry: bool,
}

impl Request {
    fn in_flight(&self) -> impl Iterator<Item = AttemptNo> {
        let numbered = self.attempts.iter().enumerate();
        numbered
            .filter(|(_, t)| t.execution == Execution::InFlight)
            .map(|(number, _)| AttemptNo(number as u32))
    }
    fn is_held(&self) -> bool {
        !self.is_over && self.in_flight().next().is_none()
    }
    fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|t| t.execution != Execution::NotExecuted)
    }
    /// Returns the time until which another attempt may be sent: the client is waiting and nodes deduplicate.
    fn may_be_sent_until(&self, effect: Effect, tick: Millis) -> Millis {
        let Effect::IdempotencyKey { window, .. } = effect else { return self.arrival.expires_at };
        let window_end =
            self.first_possibly_executed().map_or(Millis::INFINITY, |first| first.sent_at + window - tick);
        window_end.min(self.arrival.expires_at)
    }
    /// Whether another attempt at this node is harmless.
    fn effect_allows(&self, node: &Node, effect: Effect, tick: Millis, now: Millis) -> bool {
        let Some(first) = self.first_possibly_executed() else { return true };
        match effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::IdempotencyKey { group, .. } => {
                let is_deduplicated = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == node.entry.zone,
                    DeduplicationScope::Shard => first.shard == node.entry.shard,
                };
                is_deduplicated && now < self.may_be_sent_until(effect, tick)
            }
        }
    }
    /// Whether a retry by the client is harmless.
    fn is_safe_for_client_to_retry(&self, effect: Effect) -> bool {
        let is_safe_anywhere = matches!(
            effect,
            Effect::Idempotent | Effect::IdempotencyKey { group: DeduplicationScope::All, .. }
        );
        is_safe_anywhere || self.first_possibly_executed().is_none()
    }
}

/// Requests of one key, which run one at a time.
#[derive(Default)]
struct KeyQueue {
    waiting: VecDeque<RequestId>,
    cooldown_until: Millis,
}

/// A held request in the send order of one node.
struct RankedRequest {
    id: RequestId,
    due_at: Millis,
    expires_at: Millis,
    /// Service time at the node, and time from sending to response, ms.
    expected_service_time: Millis,
    latency: Millis,
    /// Maximum queue delay that it may join, ms.
    max_queue_delay: Millis,
}

/// Estimates for a typical node and for the initiators that share the nodes.
struct FleetEstimates {
    /// The tightest latency objective, ms.
    latency_objective: Millis,
    /// Its queue delay, ms.
    queue_delay: Millis,
    /// Service time of a unit, ms.
    unit_service_time: Millis,
    /// Decayed count of lost responses.
    recent_losses: DecayingSum,
    /// Mean nominal size of the serving nodes.
    node_size: f64,
    /// Running mean of (latency / expected latency - 1); decays to 0.
    excess_latency: DecayingSum,
    /// Number of initiators per node, and the random phase of this one, 0 to 1.
    initiators_per_node: f64,
    phase: f64,
    /// When this initiator started.
    started_at: Millis,
}

impl FleetEstimates {
    /// Updates the fleet from the end of an attempt: lost responses, and actual against expected latency.
    fn record_attempt_end(
        &mut self,
        attempt: &InFlightAttempt,
        presumed_lost: bool,
        ended: &AttemptEnd,
        now: Millis,
    ) {
        let has_timed_out = ended.outcome == Outcome::TimedOut;
        if presumed_lost && ended.attempt.0 == 0 && (has_timed_out || ended.outcome == Outcome::Cancelled) {
            self.recent_losses.add(1.0, now);
        }
        let was_queued =
            has_timed_out && attempt.overtaken_at.is_none() && self.recent_losses.get(now) < FREQUENT_LOSSES;
        if was_queued || ended.outcome == Outcome::Served {
            let ratio = (ended.latency / attempt.expected.max(1.0)).min(MAX_LATENCY_RATIO);
            self.excess_latency.add(NEW_SAMPLE_WEIGHT * (ratio - self.latency_ratio(now)), now);
        }
    }
    /// Returns the ratio of actual to expected latency.
    fn latency_ratio(&self, now: Millis) -> f64 {
        1.0 + self.excess_latency.get(now)
    }
}

/// Reference scheduler of one initiator.
pub struct Scheduler {
    settings: Settings,
    rng: Pcg64Mcg,
    fleet: FleetEstimates,
    nodes: BTreeMap<NodeId, Node>,
    volumes: BTreeMap<VolumeId, VolumeQuota>,
    requests: BTreeMap<RequestId, Request>,
    key_queues: BTreeMap<Key, KeyQueue>,
    /// Items with an unserved request, by the time the client timed out.
    unserved_items: BTreeMap<(VolumeId, Key), Millis>,
    /// For the retry budget: times of arrivals and of retries.
    arrivals: VecDeque<Millis>,
    retries: VecDeque<(Millis, RequestId, AttemptNo)>,
    /// Largest weight of a request over classes and plans.
    max_priority_weight: f64,
    timer_due_at: Option<Millis>,
    next_poll_at: Option<Millis>,
    failed_polls: u32,
}

impl Scheduler {
    /// Creates a scheduler without endpoints or requests.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let (latency_objective, max_priority_weight) = objective_and_max_weight(&settings);
        let (nodes, volumes, requests, key_queues, unserved_items, arrivals, retries) = Default::default();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let unit_service_time = latency_objective / settings.mean_units.max(1.0) / 4.0;
        let (initiators_per_node, phase) = (f64::from(settings.initiators), random(&mut rng));
        let (recent_losses, excess_latency) = Default::default();
        let (queue_delay, node_size, started_at) = (0.0, 0.0, now);
        let fleet = FleetEstimates {
            latency_objective,
            queue_delay,
            unit_service_time,
            recent_losses,
            node_size,
            excess_latency,
            initiators_per_node,
            phase,
            started_at,
        };
        Scheduler {
            rng,
            fleet,
            nodes,
            volumes,
            requests,
            key_queues,
            unserved_items,
            arrivals,
            retries,
            max_priority_weight,
            timer_due_at: None,
            next_poll_at: settings.polls_list.then_some(now),
            failed_polls: 0,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(scope, entries) => self.apply_endpoint_list(scope, &entries, now),
            // Notification terms are not implemented here: decisions are only compared without them.
            Event::DiscoveryCall(_) => {}
            Event::RequestArrived(arrival) => self.handle_arrival(arrival, now),
            Event::ResponseStarted(id) => {
                self.requests.entry(id).and_modify(|request| request.is_streaming = true);
            }
            Event::AttemptEnded(ended) => self.handle_attempt_end(&ended, now, actions),
            Event::ProbeEnded(id, outcome) => {
                self.nodes.entry(id).and_modify(|node| node.record_probe_end(outcome, now));
            }
            Event::ClientDisconnected(id) => self.end_request(id),
            Event::SettingsChanged(settings) => {
                (self.fleet.latency_objective, self.max_priority_weight) =
                    objective_and_max_weight(&settings);
                self.settings = *settings;
            }
            Event::Evaluate => self.evaluate(now, actions),
        }
    }

    /// Returns the measured service time of a unit at a node, ms.
    pub fn service_time_of(&self, node: NodeId) -> Option<Millis> {
        self.nodes.get(&node)?.unit_service_time
    }

    fn apply_endpoint_list(&mut self, scope: ListScope, entries: &[NodeEntry], now: Millis) {
        if scope == ListScope::Failed {
            let wait = (MIN_POLL_BACKOFF * f64::from(1 << self.failed_polls.min(5))).min(MAX_POLL_BACKOFF);
            self.failed_polls += 1;
            self.next_poll_at = Some(now + wait * (0.5 + 0.5 * random(&mut self.rng)));
            return;
        }
        self.failed_polls = 0;
        if scope != ListScope::Changes {
            self.nodes.values_mut().for_each(|node| node.entry.readiness = Readiness::Removed);
        }
        for entry in entries {
            self.nodes.entry(entry.node).or_insert_with(|| Node::new(entry, now)).apply_entry(entry, now);
        }
        self.nodes.retain(|_, node| node.entry.readiness != Readiness::Removed || !node.in_flight.is_empty());
    }

    fn handle_arrival(&mut self, arrival: Arrival, now: Millis) {
        self.arrivals.push_back(now);
        let class = &self.settings.classes[arrival.class.0];
        let stretch = class.objective_stretch * arrival.units * self.fleet.unit_service_time;
        // If the client times out before the objective, the response is due before that.
        let due_at = (now + (class.latency_objective + stretch).min(class.deadline)).min(arrival.expires_at);
        if let (true, Some(key)) = (class.in_order, arrival.key) {
            self.key_queues.entry(key).or_default().waiting.push_back(arrival.id);
        }
        let (plan, reserve, refilled_at) = (arrival.plan, self.settings.max_units, self.fleet.started_at);
        let new = || VolumeQuota {
            plan,
            initiators: 1.0,
            reserve,
            limit_tokens: 0.0,
            refilled_at,
            recent_over_reserve: DecayingSum::default(),
        };
        let volume = self.volumes.entry(arrival.volume).or_insert_with(new);
        volume.initiators = volume.initiators.max(f64::from(arrival.volume_initiators));
        let hold_until = now + HOLD_SHARE * (arrival.expires_at - now);
        let unserved_expired_at =
            arrival.key.and_then(|key| self.unserved_items.remove(&(arrival.volume, key)));
        let is_client_retry = unserved_expired_at.is_some_and(|at| now < at + CLIENT_RETRY_TIMEOUT);
        let (attempts, node, is_over, is_streaming) = (Vec::new(), None, false, false);
        let request =
            Request { arrival, due_at, hold_until, attempts, node, is_over, is_streaming, is_client_retry };
        self.requests.insert(request.arrival.id, request);
    }

    fn handle_attempt_end(&mut self, ended: &AttemptEnd, now: Millis, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&ended.request) else { return };
        let Some(attempt) = request.attempts.get_mut(ended.attempt.0 as usize) else { return };
        attempt.execution = match ended.outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => Execution::NotExecuted,
            _ => Execution::Unknown,
        };
        let (class, id) = (&self.settings.classes[request.arrival.class.0], ended.request);
        let is_this_attempt =
            |attempt: &InFlightAttempt| attempt.request == id && attempt.number == ended.attempt;
        if let Some(node) = self.nodes.get_mut(&attempt.node)
            && let Some(index) = node.in_flight.iter().position(is_this_attempt)
        {
            let presumed_lost = node.is_presumed_lost(&node.in_flight[index], &self.fleet, now);
            self.fleet.record_attempt_end(&node.in_flight[index], presumed_lost, ended, now);
            node.record_attempt_end(index, ended, &self.fleet, now);
        }
        if ended.outcome == Outcome::NotSent {
            self.retries.retain(|(_, request, number)| (*request, *number) != (id, ended.attempt));
        }
        let may_still_run = matches!(ended.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, Some(key)) = (class.in_order && may_still_run, request.arrival.key) {
            self.key_queues.entry(key).or_default().cooldown_until = now + self.settings.key_cooldown;
        }
        let no_attempts_left = request.attempts.len() >= self.settings.max_attempts as usize;
        let (is_over, is_streaming, is_expired) =
            (request.is_over, request.is_streaming, now >= request.arrival.expires_at);
        let is_retryable = class.effect != Effect::AtMostOnce || request.first_possibly_executed().is_none();
        // A new object is drawn again after a failure.
        request.node = None;
        if ended.is_final || is_over {
            // Other attempts in flight would block their key and count against a concurrency limit.
            if self.settings.may_cancel && !is_over {
                actions.extend(request.in_flight().map(|attempt| Action::Cancel { request: id, attempt }));
            }
            self.end_request(id);
        } else if !is_streaming && (is_expired || request.is_held() && (no_attempts_left || !is_retryable)) {
            self.end_unserved(id, is_expired, actions);
        }
    }

    fn end_request(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.is_over = true);
        self.remove_if_ended(id);
    }

    /// Removes an ended request once it has no attempts in flight; only then the next request of its key may
    /// start.
    fn remove_if_ended(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.is_over || request.in_flight().next().is_some() {
            return;
        }
        if let (true, Some(key)) =
            (self.settings.classes[request.arrival.class.0].in_order, request.arrival.key)
            && let Some(queue) = self.key_queues.get_mut(&key)
        {
            queue.waiting.retain(|w| *w != id);
        }
        self.requests.remove(&id);
    }

    /// Sends all final responses: a rejection if a retry by the client is harmless, otherwise a failure.
    fn end_unserved(&mut self, id: RequestId, is_expired: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.is_over || request.is_streaming {
            return;
        }
        if let Some(key) = request.arrival.key {
            self.unserved_items.insert((request.arrival.volume, key), request.arrival.expires_at);
        }
        if !is_expired
            && request.is_safe_for_client_to_retry(self.settings.classes[request.arrival.class.0].effect)
        {
            actions.push(Action::Reject { request: id, retry_after: self.settings.max_retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.end_request(id);
    }

    fn evaluate(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.next_poll_at.take_if(|at| now >= *at).is_some() {
            actions.push(Action::PollList);
        }
        self.refresh_estimates(now);
        self.volumes.values_mut().for_each(|v| v.refill(&self.settings, now));
        self.key_queues.retain(|_, queue| !queue.waiting.is_empty() || now < queue.cooldown_until);
        self.unserved_items.retain(|_, at| now < *at + CLIENT_RETRY_TIMEOUT);
        self.end_expired_requests(now, actions);
        self.place_requests(now);
        self.send_held_requests(now, actions);
        if !self.requests.is_empty() || self.next_poll_at.is_some() {
            let may_hedge = self.settings.max_concurrent_attempts > 1 && self.hedging_is_enabled(now);
            let is_waiting = may_hedge || self.requests.values().any(Request::is_held);
            let next =
                now + if is_waiting { EVALUATION_INTERVAL } else { self.fleet.latency_objective / 4.0 };
            let at = next.min(self.next_poll_at.unwrap_or(next));
            if self.timer_due_at.is_none_or(|due_at| due_at <= now || due_at > at) {
                self.timer_due_at = Some(at);
                actions.push(Action::SetTimer { after: at - now });
            }
        }
    }

    /// Ends held requests before their deadline; those without an attempt while the client can still retry
    /// elsewhere, and immediately if slow start or the volume limit would hold them for too long.
    fn end_expired_requests(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let margin = EVALUATION_INTERVAL + self.settings.tick + FINAL_RESPONSE_MARGIN;
        let is_due = |request: &Request| {
            let is_first = request.attempts.is_empty();
            let latest_at = if is_first { request.hold_until } else { request.arrival.expires_at } - margin;
            let slow_start_holds = |node: &Node| {
                !node.slow_start_allows(request.arrival.units, &self.fleet, &self.settings, latest_at)
            };
            let is_over_limit = || {
                self.volumes[&request.arrival.volume].tokens_at(&self.settings, latest_at)
                    < request.arrival.units
            };
            let cannot_be_sent = || {
                is_first
                    && (is_over_limit()
                        || request.node.and_then(|id| self.nodes.get(&id)).is_some_and(slow_start_holds))
            };
            request.is_held() && (now >= latest_at || cannot_be_sent())
        };
        let ids: Vec<_> = self
            .requests
            .values()
            .filter(|request| is_due(request))
            .map(|request| request.arrival.id)
            .collect();
        ids.into_iter().for_each(|id| self.end_unserved(id, false, actions));
    }

    /// Updates the fleet-wide estimates. Assumes that each initiator uses the same share of the nodes as this
    /// one; shortly after its start, that every initiator uses every node.
    fn refresh_estimates(&mut self, now: Millis) {
        let mut reports: Vec<Millis> =
            self.nodes.values().filter_map(|node| node.reported_queue_delay(&self.fleet, now)).collect();
        reports.sort_by(f64::total_cmp);
        self.fleet.queue_delay = reports.get(reports.len().saturating_sub(1) / 2).copied().unwrap_or(0.0);
        let mut known_service_times: Vec<Millis> =
            self.nodes.values().filter_map(|node| node.unit_service_time).collect();
        known_service_times.sort_by(f64::total_cmp);
        if let Some(median) = known_service_times.get(known_service_times.len() / 2).copied() {
            // Cap each value, because a slow first response says little about the service time.
            self.fleet.unit_service_time =
                known_service_times.iter().map(|t| t.min(2.0 * median)).sum::<Millis>()
                    / known_service_times.len() as f64;
        }
        let serving = self.nodes.values().filter(|node| node.entry.readiness == Readiness::Serving);
        self.fleet.node_size =
            serving.clone().map(|node| node.entry.size).sum::<f64>() / serving.clone().count().max(1) as f64;
        let in_use =
            serving.clone().filter(|node| node.recent_units.get(now) > IN_USE_UNITS).count().max(1) as f64;
        let share = if now < self.fleet.started_at + 2.0 * RECENT_TIME {
            1.0
        } else {
            in_use / serving.count().max(1) as f64
        };
        self.fleet.initiators_per_node = 1.0 + share * f64::from(self.settings.initiators.saturating_sub(1));
    }

    /// Assigns a node to every held request: that of its shard, or one drawn by fitness.
    fn place_requests(&mut self, now: Millis) {
        let mut by_shard: BTreeMap<ShardId, NodeId> = BTreeMap::new();
        for (id, node) in self.nodes.iter().filter(|(_, node)| node.entry.readiness == Readiness::Serving) {
            let newest = by_shard.entry(node.entry.shard).or_insert(*id);
            if self.nodes[newest].entry.started_at.unwrap_or(0.0) < node.entry.started_at.unwrap_or(0.0) {
                *newest = *id;
            }
        }
        let mut waiting: BTreeMap<NodeId, f64> = BTreeMap::new();
        let mut new_objects = Vec::new();
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.is_held()) {
            let executed = request
                .first_possibly_executed()
                .filter(|_| self.settings.classes[request.arrival.class.0].effect != Effect::Idempotent);
            match request.arrival.shard.or(executed.map(|t| t.shard)) {
                Some(shard) => {
                    request.node = by_shard.get(&shard).copied();
                    if let Some(node) = request.node {
                        *waiting.entry(node).or_default() += 1.0;
                    }
                }
                None => new_objects.push((request.due_at, *id)),
            }
        }
        new_objects.sort_by(|x, y| x.0.total_cmp(&y.0).then(x.1.cmp(&y.1)));
        for (_, id) in new_objects {
            let Some(node) = self.draw(&waiting, now) else { break };
            *waiting.entry(node).or_default() += 1.0;
            self.requests.entry(id).and_modify(|request| request.node = Some(node));
        }
    }

    /// Draws a serving node by fitness, an outlier only if all nodes are; a warming node is weighted by its
    /// available capacity.
    fn draw(&mut self, waiting: &BTreeMap<NodeId, f64>, now: Millis) -> Option<NodeId> {
        let serving: Vec<_> =
            self.nodes.iter().filter(|(_, node)| node.entry.readiness == Readiness::Serving).collect();
        let healthy: Vec<_> =
            serving.iter().filter(|(_, node)| !node.is_outlier(&self.fleet, now)).copied().collect();
        let candidates = if healthy.is_empty() { serving } else { healthy };
        let total: f64 = self.nodes.values().map(|node| node.recent_units.get(now)).sum();
        let fitness = |id: &NodeId, node: &Node| {
            let size = node.relative_size(&self.fleet);
            let others = node.queue_delay(&self.fleet, now)
                / node.service_time(&self.fleet)
                / self.settings.mean_units.max(1.0);
            let requests = node.in_flight.len() as f64 + waiting.get(id).copied().unwrap_or(0.0) + others;
            let usage = if total > 0.0 { 100.0 * node.recent_units.get(now) / total / size } else { 0.0 };
            (size * (1.0 - requests / size / MAX_CONCURRENCY).max(0.0) / USAGE_PENALTY_BASE.powf(usage))
                .max(MIN_FITNESS)
        };
        let measured: Vec<f64> = candidates
            .iter()
            .filter(|(_, node)| node.unit_service_time.is_some())
            .map(|(id, node)| fitness(id, node))
            .collect();
        let average = measured.iter().sum::<f64>() / measured.len().max(1) as f64;
        let node_weight = |(id, node): &(&NodeId, &Node)| {
            let is_unmeasured = node.unit_service_time.is_none() && !measured.is_empty();
            let max_fitness = if is_unmeasured { average.min(fitness(id, node)) } else { fitness(id, node) };
            (**id, max_fitness * node.capacity_share(&self.settings, now))
        };
        let weights: Vec<(NodeId, f64)> = candidates.iter().map(node_weight).collect();
        let mut remaining = random(&mut self.rng) * weights.iter().map(|(_, w)| w).sum::<f64>();
        let contains_drawn_value = |(_, weight): &&(NodeId, f64)| {
            remaining -= weight;
            remaining < 0.0
        };
        weights.iter().find(contains_drawn_value).or(weights.last()).map(|(id, _)| *id)
    }

    fn send_held_requests(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut held: BTreeMap<NodeId, Vec<RequestId>> = BTreeMap::new();
        for (id, request) in self.requests.iter().filter(|(_, request)| request.is_held()) {
            if let Some(node) = request.node.filter(|id| self.nodes.contains_key(id)) {
                held.entry(node).or_default().push(*id);
            }
        }
        for (node, mut ids) in held {
            // Check the capacity first, so that a full node costs no iteration.
            while self.nodes[&node].has_capacity(&self.fleet, now) {
                ids.retain(|id| {
                    self.requests.get(id).is_some_and(Request::is_held) && self.may_send(*id, node, now)
                });
                let Some(next) = self.choose_next(&ids, node, now, actions) else { break };
                self.send(next, node, now, actions);
            }
        }
        self.recover_lost_attempts(now, actions);
    }

    /// Whether responses were lost recently and the settings permit recovery.
    fn hedging_is_enabled(&self, now: Millis) -> bool {
        (self.settings.max_concurrent_attempts > 1 || self.settings.may_cancel)
            && self.fleet.recent_losses.get(now) >= FREQUENT_LOSSES
    }

    /// Probes nodes with overdue attempts. Hedges or cancels attempts that are presumed lost, if another
    /// attempt can still meet the latency objective.
    fn recover_lost_attempts(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.hedging_is_enabled(now) {
            return;
        }
        let mut lost = Vec::new();
        for (id, node) in &mut self.nodes {
            if self.settings.may_probe
                && self.settings.max_concurrent_attempts > 1
                && node.probe_is_due(&self.fleet, now)
            {
                node.probe_sent_at = Some(now);
                actions.push(Action::Probe { node: *id });
            }
            lost.extend(
                node.in_flight
                    .iter()
                    .filter(|attempt| node.is_presumed_lost(attempt, &self.fleet, now))
                    .map(|attempt| (attempt.request, *id)),
            );
        }
        for (id, node) in lost {
            let is_worth_recovering = |request: &&Request| {
                let expected_service_time =
                    self.nodes[&node].expected_service_time(request.arrival.units, &self.fleet);
                request.in_flight().count() == 1
                    && !request.is_over
                    && !request.is_streaming
                    && now + expected_service_time <= request.due_at
            };
            let Some(request) = self.requests.get(&id).filter(is_worth_recovering) else { continue };
            let class = &self.settings.classes[request.arrival.class.0];
            let may_be_sent_again = class.effect == Effect::Idempotent
                && request.attempts.len() < self.settings.max_attempts as usize;
            if self.settings.max_concurrent_attempts > 1 && self.may_send(id, node, now) {
                self.send(id, node, now, actions);
            } else if self.settings.max_concurrent_attempts < 2 && may_be_sent_again {
                actions.extend(request.in_flight().map(|attempt| Action::Cancel { request: id, attempt }));
            }
        }
    }

    /// Checks all rules for a send.
    fn may_send(&self, id: RequestId, at: NodeId, now: Millis) -> bool {
        let (Some(request), Some(node)) = (self.requests.get(&id), self.nodes.get(&at)) else { return false };
        let class = &self.settings.classes[request.arrival.class.0];
        let is_first = request.attempts.is_empty();
        let is_next_for_key =
            match request.arrival.key.filter(|_| class.in_order).and_then(|k| self.key_queues.get(&k)) {
                Some(queue) => {
                    queue.waiting.front() == Some(&id) && (!is_first || now >= queue.cooldown_until)
                }
                None => true,
            };
        let volume = &self.volumes[&request.arrival.volume];
        node.entry.readiness == Readiness::Serving
            && !request.is_over
            && request.in_flight().count() < self.settings.max_concurrent_attempts as usize
            && now < request.arrival.expires_at
            && node.has_capacity(&self.fleet, now)
            && node.slow_start_allows(request.arrival.units, &self.fleet, &self.settings, now)
            && request.attempts.len() < self.settings.max_attempts as usize
            && is_next_for_key
            && (!is_first || volume.tokens_at(&self.settings, now) >= request.arrival.units)
            && request.effect_allows(node, class.effect, self.settings.tick, now)
            && (is_first || self.retry_budget_allows(now))
    }

    fn retry_budget_allows(&self, now: Millis) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        // Both window edges are shifted by one tick to the safe side.
        let arrivals =
            self.arrivals.iter().filter(|at| now - **at < budget.span - self.settings.tick).count() as f64;
        let retries =
            self.retries.iter().filter(|(at, ..)| now - at <= budget.span + self.settings.tick).count()
                as f64;
        retries + 1.0 <= budget.floor + budget.ratio * arrivals
    }

    /// Chooses the request to send next: earliest due first, among those that can meet their objective. A
    /// request of lower weight joins only shorter queues, and a late one is sent only if this initiator has
    /// nothing in flight there. Requests that would expire get their final response.
    fn choose_next(
        &mut self,
        ids: &[RequestId],
        at: NodeId,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> Option<RequestId> {
        let (on_time, mut late): (Vec<_>, Vec<_>) =
            self.rank(ids, at, now).into_iter().partition(|request| now + request.latency <= request.due_at);
        late.sort_by(|x, y| y.max_queue_delay.total_cmp(&x.max_queue_delay));
        let node = &self.nodes[&at];
        let queue_delay = node.queue_delay(&self.fleet, now);
        let may_join_late = |request: &&RankedRequest| {
            now + request.latency <= request.expires_at
                && node.in_flight.is_empty()
                && queue_delay <= request.max_queue_delay
        };
        let next = on_time
            .iter()
            .find(|request| queue_delay <= request.max_queue_delay)
            .or(late.iter().find(may_join_late))
            .map(|request| request.id);
        let mut wait = 0.0;
        for request in on_time.iter().chain(&late) {
            if now + wait + request.latency > request.expires_at {
                self.end_unserved(request.id, false, actions);
            } else {
                wait += request.expected_service_time;
            }
        }
        next
    }

    /// Ranks requests by due time, each with the queue delay that its weight permits.
    fn rank(&self, ids: &[RequestId], at: NodeId, now: Millis) -> Vec<RankedRequest> {
        let node = &self.nodes[&at];
        let queue_delay = node.queue_delay(&self.fleet, now);
        let mut reserves: BTreeMap<VolumeId, f64> = BTreeMap::new();
        let mut by_due: Vec<&Request> = ids.iter().filter_map(|id| self.requests.get(id)).collect();
        by_due.sort_by(|x, y| x.due_at.total_cmp(&y.due_at).then(x.arrival.id.cmp(&y.arrival.id)));
        let rank_one = |request: &Request| {
            let volume = &self.volumes[&request.arrival.volume];
            let reserve = reserves.entry(request.arrival.volume).or_insert(volume.reserve);
            *reserve -= request.arrival.units;
            let reserve_weight = if *reserve >= 0.0 {
                1.0
            } else {
                volume.over_reserve_weight(-*reserve, &self.settings, now)
            };
            let expected_service_time = node.expected_service_time(request.arrival.units, &self.fleet);
            // A request that expires before its objective has no second chance.
            let latency_factor =
                if request.due_at >= request.arrival.expires_at { BEST_CASE_LATENCY_FACTOR } else { 1.0 };
            let latency = latency_factor
                * self.fleet.latency_ratio(now).max(BEST_CASE_LATENCY_FACTOR)
                * (queue_delay + expected_service_time);
            let class = &self.settings.classes[request.arrival.class.0];
            let late_value = if now + latency > request.due_at { class.late_value } else { 1.0 };
            let retry_weight = if request.is_client_retry { CLIENT_RETRY_WEIGHT } else { 1.0 };
            let priority_weight =
                retry_weight * class.priority_weight * self.settings.plans[volume.plan.0].priority_factor
                    / self.max_priority_weight;
            let max_queue_delay = (TOLERATED_QUEUE_SHARE
                + MAX_QUEUE_SHARE * reserve_weight * priority_weight)
                * late_value
                * self.fleet.latency_objective;
            RankedRequest {
                id: request.arrival.id,
                due_at: request.due_at,
                expires_at: request.arrival.expires_at,
                expected_service_time,
                latency,
                max_queue_delay,
            }
        };
        by_due.into_iter().map(rank_one).collect()
    }

    fn send(&mut self, id: RequestId, at: NodeId, now: Millis, actions: &mut Vec<Action>) {
        let (Some(request), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(&at)) else {
            return;
        };
        let attempt = AttemptNo(request.attempts.len() as u32);
        if attempt.0 > 0 {
            self.retries.push_back((now, id, attempt));
        } else if let Some(volume) = self.volumes.get_mut(&request.arrival.volume) {
            volume.limit_tokens -= request.arrival.units;
            if volume.reserve >= request.arrival.units {
                volume.reserve -= request.arrival.units;
            } else {
                volume.recent_over_reserve.add(request.arrival.units, now);
            }
        }
        let span = self.settings.retry_budget.map_or(0.0, |b| b.span) + self.settings.tick;
        self.arrivals.retain(|at| now - at <= span);
        self.retries.retain(|(at, ..)| now - at <= span);
        let (shard, zone) = (node.entry.shard, node.entry.zone);
        let until = request
            .may_be_sent_until(self.settings.classes[request.arrival.class.0].effect, self.settings.tick);
        request.attempts.push(Attempt {
            node: at,
            shard,
            zone,
            sent_at: now,
            execution: Execution::InFlight,
        });
        node.record_sent(
            id,
            attempt,
            request.arrival.units,
            &self.fleet,
            self.settings.slow_start_window,
            now,
        );
        actions.push(Action::Send { request: id, node: at, until });
    }
}
