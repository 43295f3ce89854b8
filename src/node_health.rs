//! When a node is ejected or taken for unresponsive, and which trial requests it gets until it recovers.
//!
//! A node that failed several times in a row is ejected: it gets one trial request at a time, after a
//! back-off that doubles. A node where an attempt has been in flight far too long is unresponsive: it gets
//! trials ever more rarely.

use crate::api::Millis;
use crate::in_flight::InFlightAttempt;

/// Consecutive failures after which a node is ejected.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Failures beyond these are not counted; the back-off has long reached its maximum.
const MAX_COUNTED_FAILURES: u32 = 16;
/// The back-off doubles this many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Back-off between trial requests after ejection, ms.
const MIN_TRIAL_BACKOFF: Millis = 50.0;
/// The longest back-off, ms: about the time in which the endpoint list drops a node that is gone.
pub(crate) const MAX_TRIAL_BACKOFF: Millis = 400.0;
/// A node is unresponsive when an attempt has been in flight for this multiple of its expected latency.
const UNRESPONSIVE_LATENCY_FACTOR: f64 = 4.0;

/// The health of one node as its failures show it.
#[derive(Default)]
pub(crate) struct NodeHealth {
    consecutive_failures: u32,
    /// When an ejected node may get its next trial request.
    next_trial_at: Millis,
}

impl NodeHealth {
    pub(crate) fn is_ejected(&self) -> bool {
        self.consecutive_failures >= EJECT_AFTER_FAILURES
    }

    /// Whether an ejected node may get a trial request.
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

/// What bounds the latency of attempts at one node.
#[derive(Clone, Copy)]
pub(crate) struct ResponseBounds {
    /// Service time of a unit, ms.
    pub(crate) service_time: Millis,
    /// Delay in the node's queue, ms.
    pub(crate) queue_delay: Millis,
    /// The tightest latency objective of a class, ms.
    pub(crate) latency_objective: Millis,
}

impl ResponseBounds {
    /// How long an attempt may be in flight before more is wrong than the queue, ms. Never less than the
    /// tightest objective: a short pause of a node is no fault.
    pub(crate) fn timeout_of(&self, attempt: &InFlightAttempt) -> Millis {
        (UNRESPONSIVE_LATENCY_FACTOR * self.expected_latency(attempt)).max(self.latency_objective)
    }

    /// Whether an attempt shows that its node hangs, or is gone and still listed.
    pub(crate) fn is_exceeded_by(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        now - attempt.sent_at > self.timeout_of(attempt) && !attempt.is_overtaken()
    }

    /// Whether an attempt has been in flight so short that a queue can be the reason; beyond that the node is
    /// unhealthy or the answer lost.
    pub(crate) fn may_be_queued(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        now - attempt.sent_at < UNRESPONSIVE_LATENCY_FACTOR * self.expected_latency(attempt)
    }

    /// How long an attempt is expected to be in flight, at most, ms.
    fn expected_latency(&self, attempt: &InFlightAttempt) -> Millis {
        attempt.max_service_time(self.service_time) + self.queue_delay
    }
}

/// Whether an unresponsive node may get a trial request: the longer its oldest attempt was in flight at the
/// last send, the longer the back-off.
pub(crate) fn unresponsive_trial_is_due(
    in_flight: &[InFlightAttempt],
    last_sent_at: Millis,
    now: Millis,
) -> bool {
    let oldest_sent_at = in_flight.iter().map(|attempt| attempt.sent_at).fold(now, Millis::min);
    now - last_sent_at >= (last_sent_at - oldest_sent_at).max(MAX_TRIAL_BACKOFF)
}
