//! A sum whose terms decay exponentially with time.

/// A sum that decays exponentially with a time constant of `TIME` units of the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum<const TIME: u64> {
    value: f64,
    at: f64,
}

impl<const TIME: u64> DecayingSum<TIME> {
    /// The decayed sum at a time that is not before the last addition.
    pub fn get(&self, now: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * (-(now - self.at) / TIME as f64).exp()
    }

    /// Adds a term at a time that is not before the last addition.
    pub fn add(&mut self, amount: f64, now: f64) {
        *self = DecayingSum { value: self.get(now) + amount, at: now };
    }
}
