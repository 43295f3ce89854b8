//! Concurrency limit and queue delay estimate of a node.
//!
//! The limit follows AIMD: a response without queue delay raises it, a response that was queued lowers it.
//! Requests queue at this initiator, where their order can be chosen, rather than at the node.

use crate::api::Millis;
use crate::in_flight::InFlightAttempt;
use crate::service_time::{NEW_SAMPLE_WEIGHT, SERVICE_TIME_VARIATION};

/// Upper bound of the limit.
pub(crate) const MAX_CONCURRENCY: f64 = 8.0;
/// Initial limit of a node to which nothing has been sent.
const INITIAL_CONCURRENCY: f64 = MAX_CONCURRENCY / 2.0;
/// Lower bound of the limit.
const MIN_CONCURRENCY: f64 = 1.0;
/// Factor applied to the limit after an attempt that was queued for too long.
const DECREASE_FACTOR: f64 = 0.75;
/// Tolerated queue delay, as a share of the tightest latency objective.
pub(crate) const TOLERATED_QUEUE_SHARE: f64 = 0.06;
/// Time constant with which a reported queue delay decays, ms: a queue without new arrivals drains quickly.
const REPORT_FADE_TIME: Millis = 1000.0;

/// Limit of attempts in flight at one node.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    last_decrease_at: Millis,
}

/// Timing of a response, as input to the limit.
pub(crate) struct ResponseTimes {
    /// From sending the attempt to its response, ms.
    pub(crate) latency: Millis,
    /// Part of the latency beyond the expected service time of the request, ms.
    pub(crate) queue_delay: Millis,
}

impl ResponseTimes {
    /// Returns by how much the service time may exceed its expected value, ms.
    fn variation(&self) -> Millis {
        SERVICE_TIME_VARIATION * (self.latency - self.queue_delay)
    }

    /// Returns the lower bound of the queue delay, assuming the longest plausible service time, ms.
    pub(crate) fn min_queue_delay(&self) -> Millis {
        (self.queue_delay - self.variation()).max(0.0)
    }

    fn has_tolerable_queue_delay(&self, latency_objective: Millis) -> bool {
        self.queue_delay <= TOLERATED_QUEUE_SHARE * latency_objective + self.variation()
    }
}

impl ConcurrencyLimit {
    /// Creates the limit of a node to which nothing has been sent.
    pub(crate) fn new() -> Self {
        ConcurrencyLimit { limit: INITIAL_CONCURRENCY, last_decrease_at: 0.0 }
    }

    /// Creates the limit of a node whose process has just started: one attempt at a time until responses
    /// raise the limit.
    pub(crate) fn after_restart() -> Self {
        ConcurrencyLimit { limit: MIN_CONCURRENCY, last_decrease_at: 0.0 }
    }

    /// Returns whether another attempt may be sent in addition to those in flight.
    pub(crate) fn allows_another(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit.floor()
    }

    /// Returns whether the limit, rather than a lack of requests, bounds the attempts in flight. Only then
    /// may the limit rise.
    pub(crate) fn is_reached_by(&self, in_flight: usize) -> bool {
        in_flight as f64 + 1.0 > self.limit
    }

    /// Updates the limit from a response. Attempts that were queued together lower the limit only once.
    pub(crate) fn record_response(
        &mut self,
        times: &ResponseTimes,
        was_reached: bool,
        objective: Millis,
        now: Millis,
    ) {
        if times.has_tolerable_queue_delay(objective) {
            if was_reached {
                self.limit = (self.limit + 1.0 / self.limit).min(MAX_CONCURRENCY);
            }
        } else if now - self.last_decrease_at > times.latency {
            self.decrease();
            self.last_decrease_at = now;
        }
    }

    /// Lowers the limit after a full or too long queue.
    pub(crate) fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_CONCURRENCY);
    }
}

/// The last reported queue delay of one node.
#[derive(Default)]
pub(crate) struct QueueDelay {
    reported: Millis,
    reported_at: Millis,
}

impl QueueDelay {
    /// Returns the last reported queue delay, ms, regardless of its age.
    pub(crate) fn last_reported(&self) -> Millis {
        self.reported
    }

    /// Returns the estimated queue delay, ms. An old report decays towards the delay at a typical node.
    pub(crate) fn estimate(&self, typical: Millis, now: Millis) -> Millis {
        typical + (self.reported - typical) * self.freshness_weight(now)
    }

    /// Adds a report to the running mean. The older the previous report, the greater the weight of the new
    /// one.
    pub(crate) fn record_queue_delay(&mut self, delay: Millis, now: Millis) {
        let weight = (1.0 - self.freshness_weight(now)).max(NEW_SAMPLE_WEIGHT);
        self.reported += weight * (delay - self.reported);
        self.reported_at = now;
    }

    /// Replaces the reported queue delay.
    pub(crate) fn set(&mut self, delay: Millis, now: Millis) {
        self.reported = delay;
        self.reported_at = now;
    }

    /// Returns the remaining weight of the last report, 0 to 1.
    fn freshness_weight(&self, now: Millis) -> f64 {
        (-(now - self.reported_at) / REPORT_FADE_TIME).exp()
    }
}

/// Returns the queue delay implied by an attempt in flight, ms; 0 once the attempt was overtaken, as it is
/// then lost or slow rather than queued.
pub(crate) fn implied_queue_delay(attempt: &InFlightAttempt, service_time: Millis, now: Millis) -> Millis {
    if attempt.is_overtaken() {
        return 0.0;
    }
    now - attempt.sent_at - attempt.max_service_time(service_time)
}
