//! When an answer is presumed lost, and when a probe is sent to find out.
//!
//! Nodes begin work in the order of its arrival. An attempt that was overtaken by an answer or a probe sent
//! later is not waiting in the queue; if it does not end within its service time, its answer is lost.

use crate::api::{Millis, Outcome};
use crate::in_flight::InFlightAttempt;
use crate::node_health::MAX_TRIAL_BACKOFF;
use crate::recent::RecentSum;

/// Recent losses from which more are expected: one loss counts for about six seconds.
const FREQUENT_LOSSES: f64 = 0.05;
/// After a probe that failed the next one waits this long, ms.
const PROBE_RETRY_INTERVAL: Millis = MAX_TRIAL_BACKOFF;

/// Answers that were lost recently, at all nodes.
#[derive(Default)]
pub(crate) struct RecentLosses(RecentSum);

impl RecentLosses {
    /// An overtaken first attempt ended without an answer, or the answer of its hedged attempt came first.
    pub(crate) fn record(&mut self, now: Millis) {
        self.0.add(1.0, now);
    }

    /// Whether more losses are to be expected.
    pub(crate) fn are_frequent(&self, now: Millis) -> bool {
        self.0.get(now) >= FREQUENT_LOSSES
    }
}

/// The probe that tells a lost answer at one node from a queue there.
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

    /// Takes in a probe's end. Gives the time it was sent if it was answered.
    pub(crate) fn record_end(&mut self, outcome: Outcome, now: Millis) -> Option<Millis> {
        let sent_at = self.sent_at.take()?;
        if outcome == Outcome::Served {
            return Some(sent_at);
        }
        self.not_before = now + PROBE_RETRY_INTERVAL;
        None
    }
}

/// Whether an attempt was overtaken so long ago that it should have been served: its answer is lost.
pub(crate) fn is_presumed_lost(attempt: &InFlightAttempt, service_time: Millis, now: Millis) -> bool {
    attempt.overtaken_at.is_some_and(|at| now - at > attempt.max_service_time(service_time))
}

/// Whether an attempt has been in flight for longer than its service and the queue explain.
pub(crate) fn is_overdue(
    attempt: &InFlightAttempt,
    service_time: Millis,
    queue_delay: Millis,
    now: Millis,
) -> bool {
    let explained = attempt.max_service_time(service_time) + queue_delay;
    !attempt.is_overtaken() && now - attempt.sent_at > explained
}

/// Something sent at `sent_at` was answered: what was sent before and is in flight was overtaken.
pub(crate) fn mark_overtaken(in_flight: &mut [InFlightAttempt], sent_at: Millis, now: Millis) {
    for attempt in in_flight {
        if attempt.sent_at < sent_at && attempt.overtaken_at.is_none() {
            attempt.overtaken_at = Some(now);
        }
    }
}
