//! Exponential back-off with decorrelated jitter: each delay is random between the minimum and three times
//! the previous delay, so that initiators whose calls failed at the same time do not retry in step.

use crate::machine::Micros;
use rand_core::RngCore;

/// Back-off state for calls to one peer.
#[derive(Debug)]
pub struct Backoff {
    min: Micros,
    max: Micros,
    last: Micros,
}

impl Backoff {
    /// Creates a back-off with delays between `min` and `max`.
    pub fn new(min: Micros, max: Micros) -> Self {
        Backoff { min, max: max.max(min), last: min }
    }

    /// Returns the delay before the next call, after another failure.
    pub fn next_delay(&mut self, rng: &mut impl RngCore) -> Micros {
        let width = (self.last.0.saturating_mul(3)).saturating_sub(self.min.0).max(1);
        let drawn = self.min.0 + rng.next_u64() % width;
        self.last = Micros(drawn.min(self.max.0));
        self.last
    }

    /// Resets the delay to the minimum after a successful call.
    pub fn reset(&mut self) {
        self.last = self.min;
    }
}
