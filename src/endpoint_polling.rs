//! Schedules polls of the endpoint list, with back-off after failures.

use crate::api::Millis;
use crate::random::Random;

/// Back-off after the first failed poll, ms. It doubles with each further failure.
const MIN_POLL_BACKOFF: Millis = 200.0;
/// Maximum back-off, ms. Rejected polls also load the discovery service: if all initiators poll every second,
/// it may not be able to respond at all.
const MAX_POLL_BACKOFF: Millis = 1300.0;
/// Maximum number of doublings of the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Schedule of the polls of the endpoint list.
pub(crate) struct EndpointPolling {
    next_poll_at: Option<Millis>,
    consecutive_failures: u32,
}

impl EndpointPolling {
    /// Creates the schedule of an initiator that starts now. If the list is polled, the first poll is due
    /// immediately.
    pub(crate) fn new(polls_list: bool, now: Millis) -> Self {
        EndpointPolling { next_poll_at: polls_list.then_some(now), consecutive_failures: 0 }
    }

    /// Returns when the next poll is due, if one is scheduled.
    pub(crate) fn next_poll_at(&self) -> Option<Millis> {
        self.next_poll_at
    }

    /// Returns whether a poll is due now, and removes it from the schedule.
    pub(crate) fn take_due(&mut self, now: Millis) -> bool {
        self.next_poll_at.take_if(|at| now >= *at).is_some()
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Schedules the next poll after a back-off with jitter, between half and all of the back-off.
    pub(crate) fn record_failure(&mut self, random: &mut Random, now: Millis) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_POLL_BACKOFF * f64::from(1 << doublings)).min(MAX_POLL_BACKOFF);
        self.consecutive_failures += 1;
        self.next_poll_at = Some(now + backoff * (0.5 + 0.5 * random.unit()));
    }
}
