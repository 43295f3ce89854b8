//! Random draws of a day: the same seed gives the same day.

use flaxstand_gateway::machine::Micros;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A source of random draws.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A whole number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound.max(1) as u64) as usize
    }

    /// A number from `least` to `most`.
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// A duration from `least` to `most` milliseconds.
    pub fn millis(&mut self, least: f64, most: f64) -> Micros {
        Micros::from_ms(self.between(least, most))
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.between(0.0, 1.0) < probability
    }

    /// One of these.
    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len())]
    }

    /// So many different numbers below `bound`, in random order.
    pub fn sample(&mut self, bound: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..bound).collect();
        for at in 0..count.min(bound) {
            let other = at + self.below(bound - at);
            all.swap(at, other);
        }
        all.truncate(count);
        all
    }
}
