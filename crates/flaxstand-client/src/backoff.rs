//! Back-off before retries and before reconnects.

use crate::config::Config;
use crate::jitter::Jitter;
use flaxstand_proto::Micros;

/// Number of retries after which the upper bound of the wait stops doubling.
const MAX_DOUBLINGS: u32 = 19;
/// Largest ratio of a reconnect wait to the previous one.
const RECONNECT_GROWTH: f64 = 3.0;

/// Exponential back-off with full jitter between the attempts of one request.
#[derive(Debug)]
pub(crate) struct RetryBackoff {
    initial: Micros,
    max: Micros,
}

impl RetryBackoff {
    pub(crate) fn new(config: &Config) -> Self {
        RetryBackoff { initial: config.initial_retry_backoff, max: config.max_retry_backoff }
    }

    /// Draws the wait before a retry (the first is 1): uniform from zero to an upper bound that doubles with
    /// each retry.
    pub(crate) fn draw_wait(&self, retry: u32, jitter: &mut Jitter) -> Micros {
        let doublings = retry.saturating_sub(1).min(MAX_DOUBLINGS);
        let upper_bound = self.initial.0.saturating_mul(1 << doublings).min(self.max.0);
        Micros((upper_bound as f64 * jitter.draw()) as u64)
    }
}

/// Decorrelated back-off between connects: each wait is drawn between the minimum and three times the
/// previous one.
#[derive(Debug)]
pub(crate) struct ReconnectBackoff {
    min: Micros,
    max: Micros,
    previous_wait: Micros,
}

impl ReconnectBackoff {
    pub(crate) fn new(config: &Config) -> Self {
        ReconnectBackoff {
            min: config.min_reconnect_wait,
            max: config.max_reconnect_wait,
            previous_wait: Micros(0),
        }
    }

    /// Draws the wait before the next connect. A wait advised by the initiator replaces the back-off; jitter
    /// is added so that clients with the same advised wait do not reconnect simultaneously.
    pub(crate) fn draw_wait(&mut self, advised_wait: Micros, jitter: &mut Jitter) -> Micros {
        let min = self.min.0 as f64;
        let previous = self.previous_wait.max(self.min).0 as f64;
        let wait = min + (previous * RECONNECT_GROWTH - min) * jitter.draw();
        self.previous_wait = Micros(wait as u64).min(self.max);
        if advised_wait > Micros(0) {
            advised_wait.after(Micros((min * jitter.draw()) as u64))
        } else {
            self.previous_wait
        }
    }

    /// Restarts the back-off from the minimum wait, after a connection was established.
    pub(crate) fn reset(&mut self) {
        self.previous_wait = Micros(0);
    }
}
