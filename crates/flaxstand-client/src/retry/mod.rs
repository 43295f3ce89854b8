//! Retry policy: whether and when a request is retried.

mod advised_waits;
mod budget;

use crate::answer::AbandonReason;
use crate::backoff::RetryBackoff;
use crate::config::Config;
use crate::jitter::Jitter;
use crate::pending::PendingRequest;
use advised_waits::AdvisedWaits;
use budget::RetryBudget;
use flaxstand_proto::{Micros, Scope};

/// Decides on retries from retry safety, deadline, retry budget, back-off and the waits that the initiator
/// advised.
#[derive(Debug)]
pub(crate) struct RetryPolicy {
    backoff: RetryBackoff,
    budget: RetryBudget,
    advised_waits: AdvisedWaits,
    min_attempt_time: Micros,
}

impl RetryPolicy {
    pub(crate) fn new(config: &Config) -> Self {
        RetryPolicy {
            backoff: RetryBackoff::new(config),
            budget: RetryBudget::new(config),
            advised_waits: AdvisedWaits::default(),
            min_attempt_time: config.min_attempt_time,
        }
    }

    /// Records a submitted request, which increases the retry budget.
    pub(crate) fn record_request(&mut self, now: Micros) {
        self.budget.deposit(now);
    }

    /// Records that the initiator advised against attempts within a scope before `until`.
    pub(crate) fn record_advised_wait(&mut self, scope: Scope, volume: u64, until: Micros, now: Micros) {
        match scope {
            Scope::Request => {}
            Scope::Volume => self.advised_waits.hold_volume(volume, until, now),
            Scope::All => self.advised_waits.hold_all(until),
        }
    }

    /// Earliest time at which an attempt for a volume may be sent.
    pub(crate) fn earliest_attempt(&self, volume: u64) -> Micros {
        self.advised_waits.earliest_attempt(volume)
    }

    /// Whether an attempt sent at `at` has enough time left to be answered.
    pub(crate) fn leaves_time_for_attempt(&self, request: &PendingRequest, at: Micros) -> bool {
        at.after(self.min_attempt_time) <= request.retryable_until()
    }

    /// Returns the due time of the next attempt, at least `advised_wait` after `now`.
    ///
    /// # Errors
    /// The reason why the request must not be retried. It is returned immediately, not at the request's
    /// deadline.
    pub(crate) fn schedule_attempt(
        &mut self,
        request: &PendingRequest,
        advised_wait: Micros,
        now: Micros,
        jitter: &mut Jitter,
    ) -> Result<Micros, AbandonReason> {
        let is_retry = request.is_retry();
        let wait = if is_retry {
            advised_wait.after(self.backoff.draw_wait(request.attempts(), jitter))
        } else {
            Micros(0)
        };
        let at = now.after(wait).max(self.earliest_attempt(request.volume()));
        self.check_retry_safety(request)?;
        self.check_deadline(request, at)?;
        if is_retry {
            self.budget.withdraw(now)?;
        }
        Ok(at)
    }

    /// Prevents a second execution of a request that is not idempotent.
    fn check_retry_safety(&self, request: &PendingRequest) -> Result<(), AbandonReason> {
        if request.is_safe_to_execute_again() { Ok(()) } else { Err(AbandonReason::RetryUnsafe) }
    }

    /// Prevents attempts that would be answered too late, or after their idempotency window has ended.
    fn check_deadline(&self, request: &PendingRequest, at: Micros) -> Result<(), AbandonReason> {
        if self.leaves_time_for_attempt(request, at) {
            Ok(())
        } else if request.expires_before_deadline() {
            Err(AbandonReason::RetryUnsafe)
        } else {
            Err(AbandonReason::DeadlineExceeded)
        }
    }
}
