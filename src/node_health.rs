//! Outlier detection: ejected and unresponsive nodes, and the trial requests that they get until they
//! recover.
//!
//! A node with several consecutive failures is ejected. It gets one trial request at a time, with exponential
//! back-off. A node with an attempt that has been in flight far too long is unresponsive. It gets trial
//! requests at increasing intervals.

use crate::api::Millis;
use crate::in_flight::InFlightAttempt;

/// Consecutive failures after which a node is ejected.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Cap on the failure count. The back-off reaches its maximum earlier.
const MAX_COUNTED_FAILURES: u32 = 16;
/// Maximum number of doublings of the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Initial back-off between trial requests after ejection, ms.
const MIN_TRIAL_BACKOFF: Millis = 50.0;
/// Maximum back-off, ms: about the time after which the endpoint list drops a node that has terminated.
pub(crate) const MAX_TRIAL_BACKOFF: Millis = 400.0;
/// A node is unresponsive when an attempt has been in flight for this multiple of its expected latency.
const UNRESPONSIVE_LATENCY_FACTOR: f64 = 4.0;

/// Health of one node, derived from consecutive failures.
#[derive(Default)]
pub(crate) struct NodeHealth {
    consecutive_failures: u32,
    /// Earliest time of the next trial request to an ejected node.
    next_trial_at: Millis,
}

impl NodeHealth {
    pub(crate) fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
    }

    /// Returns whether an ejected node may get a trial request.
    pub(crate) fn allows_trial(&self, in_flight: usize, now: Millis) -> bool {
        in_flight == 0 && now >= self.next_trial_at
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_COUNTED_FAILURES);
        let beyond_ejection = self.consecutive_failures.saturating_sub(EJECT_AFTER_FAILURES);
        let backoff = MIN_TRIAL_BACKOFF * f64::from(1 << beyond_ejection.min(MAX_BACKOFF_DOUBLINGS));
        self.next_trial_at = now + backoff.min(MAX_TRIAL_BACKOFF);
    }
}

/// Parameters that bound the latency of attempts at one node.
#[derive(Clone, Copy)]
pub(crate) struct ResponseBounds {
    /// Service time of a unit, ms.
    pub(crate) service_time: Millis,
    /// Queue delay of the node, ms.
    pub(crate) queue_delay: Millis,
    /// The tightest latency objective of all classes, ms.
    pub(crate) latency_objective: Millis,
}

impl ResponseBounds {
    /// Returns the time in flight that queueing cannot explain, ms. At least the tightest objective, since a
    /// short pause of a node is not a fault.
    pub(crate) fn timeout_of(&self, attempt: &InFlightAttempt) -> Millis {
        (UNRESPONSIVE_LATENCY_FACTOR * self.expected_latency(attempt)).max(self.latency_objective)
    }

    /// Returns whether an attempt indicates that its node hangs, or has terminated and is still listed.
    pub(crate) fn is_exceeded_by(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        now - attempt.sent_at > self.timeout_of(attempt) && !attempt.is_overtaken()
    }

    /// Returns whether an attempt may still be queued. After a longer time in flight, the node is unhealthy
    /// or the response is lost.
    pub(crate) fn may_be_queued(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        now - attempt.sent_at < UNRESPONSIVE_LATENCY_FACTOR * self.expected_latency(attempt)
    }

    /// Returns the maximum expected latency of an attempt, ms.
    fn expected_latency(&self, attempt: &InFlightAttempt) -> Millis {
        attempt.max_service_time(self.service_time) + self.queue_delay
    }
}

/// Returns whether an unresponsive node may get a trial request. The back-off grows with the age that its
/// oldest attempt had at the last send.
pub(crate) fn unresponsive_trial_is_due(
    in_flight: &[InFlightAttempt],
    last_sent_at: Millis,
    now: Millis,
) -> bool {
    let oldest_sent_at = in_flight.iter().map(|attempt| attempt.sent_at).fold(now, Millis::min);
    now - last_sent_at >= (last_sent_at - oldest_sent_at).max(MAX_TRIAL_BACKOFF)
}
