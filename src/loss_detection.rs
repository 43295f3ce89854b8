//! Determines when a response is presumed lost, and when a probe is sent to detect a loss.
//!
//! Nodes start work in order of arrival. An attempt that was overtaken by the response to a later attempt or
//! probe is therefore not queued. If it does not end within its service time after that, its response is
//! lost.

use crate::api::{Millis, Outcome};
use crate::in_flight::InFlightAttempt;
use crate::node_health::MAX_TRIAL_BACKOFF;
use crate::recent::RecentSum;

/// Decayed sum of losses above which more are expected. A single loss counts for about six seconds.
const FREQUENT_LOSSES: f64 = 0.05;
/// Delay until the next probe after a failed one, ms.
const PROBE_RETRY_INTERVAL: Millis = MAX_TRIAL_BACKOFF;

/// Decayed count of recently lost responses, at all nodes.
#[derive(Default)]
pub(crate) struct RecentLosses(RecentSum);

impl RecentLosses {
    /// Records a loss: an overtaken first attempt ended without a response, or was cancelled after its hedged
    /// attempt completed.
    pub(crate) fn record(&mut self, now: Millis) {
        self.0.add(1.0, now);
    }

    /// Returns whether more losses are to be expected.
    pub(crate) fn are_frequent(&self, now: Millis) -> bool {
        self.0.get(now) >= FREQUENT_LOSSES
    }
}

/// Probe of one node that distinguishes a lost response from a queue.
#[derive(Default)]
pub(crate) struct LossProbe {
    sent_at: Option<Millis>,
    not_before: Millis,
}

impl LossProbe {
    pub(crate) fn may_be_sent(&self, now: Millis) -> bool {
        self.sent_at.is_none() && now >= self.not_before
    }

    pub(crate) fn record_sent(&mut self, now: Millis) {
        self.sent_at = Some(now);
    }

    /// Records the end of a probe. Returns when it was sent if it succeeded.
    pub(crate) fn record_end(&mut self, outcome: Outcome, now: Millis) -> Option<Millis> {
        let sent_at = self.sent_at.take()?;
        if outcome == Outcome::Served {
            return Some(sent_at);
        }
        self.not_before = now + PROBE_RETRY_INTERVAL;
        None
    }
}

/// Returns whether the response to an attempt is presumed lost: it was overtaken longer ago than its longest
/// plausible service time.
pub(crate) fn is_presumed_lost(attempt: &InFlightAttempt, service_time: Millis, now: Millis) -> bool {
    attempt.overtaken_at.is_some_and(|at| now - at > attempt.max_service_time(service_time))
}

/// Returns whether an attempt has been in flight for longer than service time and queue delay explain.
pub(crate) fn is_overdue(
    attempt: &InFlightAttempt,
    service_time: Millis,
    queue_delay: Millis,
    now: Millis,
) -> bool {
    let expected_latency = attempt.max_service_time(service_time) + queue_delay;
    !attempt.is_overtaken() && now - attempt.sent_at > expected_latency
}

/// Marks all attempts sent before `sent_at` as overtaken, after a response to something sent at that time.
pub(crate) fn mark_overtaken(in_flight: &mut [InFlightAttempt], sent_at: Millis, now: Millis) {
    for attempt in in_flight {
        if attempt.sent_at < sent_at && attempt.overtaken_at.is_none() {
            attempt.overtaken_at = Some(now);
        }
    }
}
