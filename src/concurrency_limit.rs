//! How many attempts may be in flight at a node, and how long its queue is.
//!
//! The limit follows AIMD: an answer without queue delay raises it, one that queued lowers it. Requests wait
//! at this initiator, where their order is chosen, and not in a node's queue.

use crate::api::Millis;
use crate::in_flight::InFlightAttempt;
use crate::service_time::{NEW_SAMPLE_WEIGHT, SERVICE_TIME_VARIATION};

/// The most attempts in flight at one node.
pub(crate) const MAX_CONCURRENCY: f64 = 8.0;
/// The limit at a node that nothing was sent to yet.
const INITIAL_CONCURRENCY: f64 = MAX_CONCURRENCY / 2.0;
/// The least that the limit falls to.
const MIN_CONCURRENCY: f64 = 1.0;
/// What is left of the limit after an attempt that queued too long.
const DECREASE_FACTOR: f64 = 0.75;
/// Queue delay that is tolerated, as a share of the tightest latency objective.
pub(crate) const TOLERATED_QUEUE_SHARE: f64 = 0.06;
/// Time constant with which a reported queue delay fades, ms: a queue that nobody feeds is soon gone.
const REPORT_FADE_TIME: Millis = 1000.0;

/// The limit of attempts in flight at one node.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    last_decrease_at: Millis,
}

/// An answer as the limit sees it.
pub(crate) struct AnswerTimes {
    /// From sending to answer, ms.
    pub(crate) latency: Millis,
    /// Part of it beyond the request's own service time, ms.
    pub(crate) queue_delay: Millis,
}

impl AnswerTimes {
    /// By how much the service time itself may vary, ms.
    fn variation(&self) -> Millis {
        SERVICE_TIME_VARIATION * (self.latency - self.queue_delay)
    }

    /// The queue delay that is there even if the service time was as long as it may be, ms.
    pub(crate) fn certain_queue_delay(&self) -> Millis {
        (self.queue_delay - self.variation()).max(0.0)
    }

    fn has_tolerable_queue_delay(&self, latency_objective: Millis) -> bool {
        self.queue_delay <= TOLERATED_QUEUE_SHARE * latency_objective + self.variation()
    }
}

impl ConcurrencyLimit {
    /// For a node that nothing was sent to yet.
    pub(crate) fn new() -> Self {
        ConcurrencyLimit { limit: INITIAL_CONCURRENCY, last_decrease_at: 0.0 }
    }

    /// For a node whose process has just started: one attempt at a time until answers raise the limit.
    pub(crate) fn after_restart() -> Self {
        ConcurrencyLimit { limit: MIN_CONCURRENCY, last_decrease_at: 0.0 }
    }

    /// Whether one more attempt may be sent beside those in flight.
    pub(crate) fn allows_more_than(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit.floor()
    }

    /// Whether the limit, and not a lack of requests, bounds what is in flight. Only then may it rise.
    pub(crate) fn is_reached_by(&self, in_flight: usize) -> bool {
        in_flight as f64 + 1.0 > self.limit
    }

    /// Learns from an answer. Attempts that queued together lower the limit once.
    pub(crate) fn record_answer(
        &mut self,
        answer: &AnswerTimes,
        was_reached: bool,
        objective: Millis,
        now: Millis,
    ) {
        if answer.has_tolerable_queue_delay(objective) {
            if was_reached {
                self.limit = (self.limit + 1.0 / self.limit).min(MAX_CONCURRENCY);
            }
        } else if now - self.last_decrease_at > answer.latency {
            self.decrease();
            self.last_decrease_at = now;
        }
    }

    /// The node's queue was full, or it was too long: fewer attempts from now on.
    pub(crate) fn decrease(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_CONCURRENCY);
    }
}

/// The delay in one node's queue, as it was last reported.
#[derive(Default)]
pub(crate) struct QueueDelay {
    reported: Millis,
    reported_at: Millis,
}

impl QueueDelay {
    /// As last reported, ms, however long ago.
    pub(crate) fn last_reported(&self) -> Millis {
        self.reported
    }

    /// As reported, ms; an old report fades to the delay at a usual node.
    pub(crate) fn estimate(&self, usual: Millis, now: Millis) -> Millis {
        usual + (self.reported - usual) * self.freshness_weight(now)
    }

    /// Takes a report into the running mean; the older the last one, the more this one counts.
    pub(crate) fn record_queue_delay(&mut self, delay: Millis, now: Millis) {
        let weight = (1.0 - self.freshness_weight(now)).max(NEW_SAMPLE_WEIGHT);
        self.reported += weight * (delay - self.reported);
        self.reported_at = now;
    }

    /// Replaces what was reported.
    pub(crate) fn set(&mut self, delay: Millis, now: Millis) {
        self.reported = delay;
        self.reported_at = now;
    }

    /// How much the last report still counts, 0 to 1.
    fn freshness_weight(&self, now: Millis) -> f64 {
        (-(now - self.reported_at) / REPORT_FADE_TIME).exp()
    }
}

/// The queue delay that an unanswered attempt implies, ms. None once overtaken: it is lost or long, not
/// queued.
pub(crate) fn implied_queue_delay(attempt: &InFlightAttempt, service_time: Millis, now: Millis) -> Millis {
    if attempt.is_overtaken() {
        return 0.0;
    }
    now - attempt.sent_at - attempt.max_service_time(service_time)
}
