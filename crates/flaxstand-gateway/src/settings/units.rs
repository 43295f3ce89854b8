//! Value ranges shared by several blocks.

use std::ops::RangeInclusive;

/// Milliseconds, up to an hour.
pub(super) const MILLISECONDS: RangeInclusive<f64> = 0.0..=3_600_000.0;
/// Milliseconds, up to an hour, excluding 0.
pub(super) const POSITIVE_MILLISECONDS: RangeInclusive<f64> = 0.1..=3_600_000.0;
/// Units per second.
pub(super) const RATE: RangeInclusive<f64> = 0.0..=1e9;
