//! Exponential backoff with decorrelated jitter: each wait is drawn between the first and three times the
//! last, so that initiators whose calls failed together do not retry together.

use crate::machine::Micros;
use rand_core::RngCore;

/// The backoff of one peer.
#[derive(Debug)]
pub struct Backoff {
    first: Micros,
    longest: Micros,
    last: Micros,
}

impl Backoff {
    /// No wait shorter than `first`, none longer than `longest`.
    pub fn new(first: Micros, longest: Micros) -> Self {
        Backoff { first, longest: longest.max(first), last: first }
    }

    /// The delay before the next call, after one more failure.
    pub fn next_delay(&mut self, rng: &mut impl RngCore) -> Micros {
        let width = (self.last.0.saturating_mul(3)).saturating_sub(self.first.0).max(1);
        let drawn = self.first.0 + rng.next_u64() % width;
        self.last = Micros(drawn.min(self.longest.0));
        self.last
    }

    /// A call succeeded: the next failure waits for the first wait again.
    pub fn reset(&mut self) {
        self.last = self.first;
    }
}
