//! The only source of random numbers of the scheduler. The host provides the seed, so that runs are
//! reproducible.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded pseudo-random number generator.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    pub(crate) fn seeded(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns the next number, uniformly distributed in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
