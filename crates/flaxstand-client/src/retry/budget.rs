//! Retry budget: limits retries to a share of the requests.

use crate::answer::AbandonReason;
use crate::config::Config;
use flaxstand_proto::Micros;
use std::collections::VecDeque;

/// Prevents retry storms: when every request fails, retries multiply the load by at most `1 + ratio`, apart
/// from `min_retries` per window.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    min_retries: f64,
    ratio: f64,
    window: Micros,
    /// Times of the requests submitted within the window, oldest first.
    requests: VecDeque<Micros>,
    /// Times of the retries allowed within the window, oldest first.
    retries: VecDeque<Micros>,
}

impl RetryBudget {
    pub(crate) fn new(config: &Config) -> Self {
        RetryBudget {
            min_retries: config.retry_budget_min_retries,
            ratio: config.retry_budget_ratio,
            window: config.retry_budget_window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a submitted request, which increases the budget.
    pub(crate) fn deposit(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget.
    ///
    /// # Errors
    /// [`AbandonReason::RetryBudgetExhausted`] if none is left.
    pub(crate) fn withdraw(&mut self, now: Micros) -> Result<(), AbandonReason> {
        self.expire(now);
        let allowed = self.min_retries + self.ratio * self.requests.len() as f64;
        if (self.retries.len() + 1) as f64 > allowed {
            return Err(AbandonReason::RetryBudgetExhausted);
        }
        self.retries.push_back(now);
        Ok(())
    }

    fn expire(&mut self, now: Micros) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > self.window) {
                times.pop_front();
            }
        }
    }
}
