//! The random numbers of a day: the same seed gives the same day.

use flaxstand_gateway::machine::Micros;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// A seeded random number generator.
pub struct Random(Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A random integer below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound.max(1) as u64) as usize
    }

    /// A random number from `min` to `max`.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// A random duration from `min` to `max` milliseconds.
    pub fn millis(&mut self, min: f64, max: f64) -> Micros {
        Micros::from_ms(self.between(min, max))
    }

    /// Returns `true` with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.between(0.0, 1.0) < probability
    }

    /// A random element.
    pub fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len())]
    }

    /// `count` distinct integers below `bound`, in random order.
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
