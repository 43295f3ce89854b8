//! A sum in fixed point, so that additions and removals in any order give one result.

/// Binary digits kept after the point. Numbers of 2^-8 and more are kept exactly, as a float has 53 digits.
const FRACTION_BITS: u32 = 60;

/// A sum of numbers that does not depend on the order in which they were added and removed.
///
/// Each number is rounded to a multiple of 2^-60 when it is added, and in the same way when it is removed. The
/// result is right as long as the true sum stays within ±2^66 (about 7e19); an excursion beyond that does no
/// lasting harm, since arithmetic wraps around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExactSum {
    scaled: i128,
}

impl ExactSum {
    /// Adds one number. One that is not finite counts as the nearest number that fits, and NaN as 0.
    pub fn add(&mut self, value: f64) {
        self.scaled = self.scaled.wrapping_add(scale(value));
    }

    /// Removes a number that was added before.
    pub fn remove(&mut self, value: f64) {
        self.scaled = self.scaled.wrapping_sub(scale(value));
    }

    /// Adds one number several times.
    pub fn add_times(&mut self, value: f64, times: usize) {
        self.scaled = self.scaled.wrapping_add(scale(value).wrapping_mul(times as i128));
    }

    /// Adds all that another sum holds.
    pub fn add_sum(&mut self, other: ExactSum) {
        self.scaled = self.scaled.wrapping_add(other.scaled);
    }

    /// The sum, rounded once to the nearest float.
    pub fn value(self) -> f64 {
        self.scaled as f64 / one()
    }
}

/// The scale: 2^60, exact as a float.
fn one() -> f64 {
    (1u64 << FRACTION_BITS) as f64
}

/// A number in multiples of 2^-60; the cast saturates and maps NaN to 0.
fn scale(value: f64) -> i128 {
    (value * one()).round() as i128
}
