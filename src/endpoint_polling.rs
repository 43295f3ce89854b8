//! When the endpoint list is polled, and how long a failed poll waits.

use crate::api::Millis;
use crate::random::Random;

/// Back-off after the first failed poll, ms; doubles with each that fails after it.
const MIN_POLL_BACKOFF: Millis = 200.0;
/// The longest back-off, ms. A rejected poll costs the discovery service too: polls of all initiators each
/// second may keep it from answering.
const MAX_POLL_BACKOFF: Millis = 1300.0;
/// The back-off doubles this many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The polls of the endpoint list.
pub(crate) struct EndpointPolling {
    next_poll_at: Option<Millis>,
    consecutive_failures: u32,
}

impl EndpointPolling {
    /// For an initiator that starts now; the first poll is due at once where the list is polled.
    pub(crate) fn new(polls_list: bool, now: Millis) -> Self {
        EndpointPolling { next_poll_at: polls_list.then_some(now), consecutive_failures: 0 }
    }

    /// When the next poll is due, if one is.
    pub(crate) fn next_poll_at(&self) -> Option<Millis> {
        self.next_poll_at
    }

    /// Whether a poll is to be made now; it is due no more then.
    pub(crate) fn take_due(&mut self, now: Millis) -> bool {
        self.next_poll_at.take_if(|at| now >= *at).is_some()
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Schedules the next poll after a back-off with jitter: between half of it and all of it.
    pub(crate) fn record_failure(&mut self, random: &mut Random, now: Millis) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (MIN_POLL_BACKOFF * f64::from(1 << doublings)).min(MAX_POLL_BACKOFF);
        self.consecutive_failures += 1;
        self.next_poll_at = Some(now + backoff * (0.5 + 0.5 * random.unit()));
    }
}
