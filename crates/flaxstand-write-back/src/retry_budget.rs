//! Limit on retries of write-outs that may have been executed.

use flaxstand_proto::Micros;
use std::collections::VecDeque;

/// Limit on retries in a sliding window: a fixed number plus a share of the first attempts.
#[derive(Clone, Copy, Debug)]
pub struct WriteOutRetryBudget {
    /// Retries admitted regardless of the number of first attempts.
    pub floor: f64,
    /// Additional retries admitted per first attempt.
    pub ratio: f64,
    /// Length of the window.
    pub span: Micros,
}

/// Counts attempts against a budget.
#[derive(Debug, Default)]
pub struct RetryLimiter {
    budget: Option<WriteOutRetryBudget>,
    /// Times of first attempts in the window.
    first_attempts: VecDeque<Micros>,
    /// Times of retries in the window.
    retries: VecDeque<Micros>,
}

impl RetryLimiter {
    /// Creates a limiter. With `None` every retry is admitted.
    pub fn new(budget: Option<WriteOutRetryBudget>) -> Self {
        RetryLimiter { budget, ..RetryLimiter::default() }
    }

    /// Counts an attempt and returns true. Returns false, without counting it, for a retry beyond the budget.
    pub fn admit(&mut self, is_retry: bool, now: Micros) -> bool {
        let Some(budget) = self.budget else { return true };
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > budget.span) {
                times.pop_front();
            }
        }
        if !is_retry {
            self.first_attempts.push_back(now);
            return true;
        }
        let admitted = budget.floor + budget.ratio * self.first_attempts.len() as f64;
        let is_admitted = (self.retries.len() + 1) as f64 <= admitted;
        if is_admitted {
            self.retries.push_back(now);
        }
        is_admitted
    }
}
