//! Back-off before retries and before reconnects.

use crate::config::Config;
use crate::jitter::Jitter;
use flaxstand_proto::Micros;

const MAX_DOUBLINGS: u32 = 19;
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

    /// The wait before a retry (the first is 1): uniform from zero to an end that doubles with each.
    pub(crate) fn draw_wait(&self, retry: u32, jitter: &mut Jitter) -> Micros {
        let doublings = retry.saturating_sub(1).min(MAX_DOUBLINGS);
        let end = self.initial.0.saturating_mul(1 << doublings).min(self.max.0);
        Micros((end as f64 * jitter.draw()) as u64)
    }
}

/// Decorrelated back-off between connects: each wait is drawn between the shortest and three times the last.
#[derive(Debug)]
pub(crate) struct ReconnectBackoff {
    min: Micros,
    max: Micros,
    last_wait: Micros,
}

impl ReconnectBackoff {
    pub(crate) fn new(config: &Config) -> Self {
        ReconnectBackoff {
            min: config.min_reconnect_wait,
            max: config.max_reconnect_wait,
            last_wait: Micros(0),
        }
    }

    /// The wait before the next connect. A wait advised by the initiator replaces the back-off; the jitter
    /// added to it guards against clients that were given the same wait.
    pub(crate) fn draw_wait(&mut self, advised_wait: Micros, jitter: &mut Jitter) -> Micros {
        let min = self.min.0 as f64;
        let last = self.last_wait.max(self.min).0 as f64;
        let wait = min + (last * RECONNECT_GROWTH - min) * jitter.draw();
        self.last_wait = Micros(wait as u64).min(self.max);
        if advised_wait > Micros(0) {
            advised_wait.after(Micros((min * jitter.draw()) as u64))
        } else {
            self.last_wait
        }
    }

    /// Starts from the shortest wait again: a connection was established.
    pub(crate) fn reset(&mut self) {
        self.last_wait = Micros(0);
    }
}
