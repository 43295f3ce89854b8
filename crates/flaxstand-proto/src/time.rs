//! Times and durations.

/// A time: microseconds on a clock that never goes back. Also a duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// The duration as frames carry it: a longer one counts as the longest.
    pub fn saturating_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }

    /// From milliseconds; what is negative or NaN counts as 0.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1000.0) as u64)
    }
    /// In milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// This much later.
    #[must_use]
    pub fn after(self, duration: Micros) -> Self {
        Micros(self.0.saturating_add(duration.0))
    }
    /// The time since `earlier`; 0 if that is later.
    #[must_use]
    pub fn since(self, earlier: Micros) -> Self {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
