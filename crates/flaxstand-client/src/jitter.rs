//! Random numbers that spread the retries and reconnects of many clients over time.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const F64_MANTISSA_BITS: u32 = 53;

/// The client's random number generator, shared by retries and reconnects.
#[derive(Debug)]
pub(crate) struct Jitter {
    rng: Pcg64Mcg,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Jitter { rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Draws the next number, uniform in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        let mantissa = self.rng.next_u64() >> (u64::BITS - F64_MANTISSA_BITS);
        mantissa as f64 / (1u64 << F64_MANTISSA_BITS) as f64
    }
}
