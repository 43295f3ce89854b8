//! Times and durations.

/// A point in time on a monotonic clock, or a duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// The duration as encoded in frames; values above `u32::MAX` saturate.
    pub fn saturating_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// Converts from milliseconds; negative values and NaN become 0.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1000.0) as u64)
    }
    /// Converts to milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// Returns the time `duration` later, saturating.
    #[must_use]
    pub fn after(self, duration: Micros) -> Self {
        Micros(self.0.saturating_add(duration.0))
    }
    /// Returns the duration since `earlier`, or 0 if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Micros) -> Self {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
