//! The scheduler's one source of random numbers, seeded by the host so that a run can be repeated.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded generator.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    pub(crate) fn seeded(seed: u64) -> Self {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next number, uniform in 0 to 1, without 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
