//! A fixed-point sum whose result does not depend on the order of additions and removals.

/// Number of fraction bits. Numbers of at least 2^-8 are represented exactly, as an `f64` has 53 significant
/// bits.
const FRACTION_BITS: u32 = 60;

/// A sum of numbers that does not depend on the order in which they were added and removed.
///
/// Each number is rounded to a multiple of 2^-60 when it is added, and in the same way when it is removed.
/// The result is correct while the true sum is within ±2^66 (about 7e19). A temporary overflow has no lasting
/// effect, since the arithmetic wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExactSum {
    scaled: i128,
}

impl ExactSum {
    /// Adds a number. Numbers out of range saturate, infinities included; NaN counts as 0.
    pub fn add(&mut self, value: f64) {
        self.scaled = self.scaled.wrapping_add(scale(value));
    }

    /// Removes a number that was added before.
    pub fn remove(&mut self, value: f64) {
        self.scaled = self.scaled.wrapping_sub(scale(value));
    }

    /// Adds a number several times.
    pub fn add_times(&mut self, value: f64, times: usize) {
        self.scaled = self.scaled.wrapping_add(scale(value).wrapping_mul(times as i128));
    }

    /// Adds another sum.
    pub fn add_sum(&mut self, other: ExactSum) {
        self.scaled = self.scaled.wrapping_add(other.scaled);
    }

    /// The sum, rounded once to the nearest `f64`.
    pub fn value(self) -> f64 {
        self.scaled as f64 / scale_factor()
    }
}

/// The scale factor 2^60, which an `f64` represents exactly.
fn scale_factor() -> f64 {
    (1u64 << FRACTION_BITS) as f64
}

/// Converts a number to multiples of 2^-60; the cast saturates and maps NaN to 0.
fn scale(value: f64) -> i128 {
    (value * scale_factor()).round() as i128
}
