//! Schedules the decision module's evaluation of all pending requests: at most once per tick, and only if an
//! event was delivered or a timer of the module has expired.

use crate::machine::Micros;
use std::collections::BTreeSet;

/// Maximum number of the module's timers. Beyond it the latest are dropped: the module relies on the
/// earliest.
const MAX_TIMERS: usize = 256;

/// Schedule of the module's evaluations.
#[derive(Debug)]
pub(super) struct EvaluationSchedule {
    /// Timers set by the module. All are kept, not only the earliest: when the first expires the module
    /// relies on the second one and does not set it again.
    timers: BTreeSet<Micros>,
    /// Events were delivered since the last evaluation.
    is_requested: bool,
    last_at: Option<Micros>,
}

impl EvaluationSchedule {
    /// Creates a schedule whose first evaluation is due at once.
    pub(super) fn new() -> Self {
        EvaluationSchedule { timers: BTreeSet::new(), is_requested: true, last_at: None }
    }

    /// Requests an evaluation after an event was delivered.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Sets a timer of the module, for an evaluation `after` this time.
    pub(super) fn set_timer(&mut self, after: Micros, now: Micros) {
        // Rounded up: if the timer fired a fraction of a microsecond early, the module would find nothing
        // due, consider the timer still set, and not be called again.
        self.timers.insert(now.after(after).after(Micros(1)));
        if self.timers.len() > MAX_TIMERS {
            self.timers.pop_last();
        }
    }

    /// Returns whether an evaluation is due now. If so, removes the expired timers.
    pub(super) fn take_due(&mut self, tick: Micros, now: Micros) -> bool {
        let has_expired_timer = self.timers.first().is_some_and(|at| *at <= now);
        let is_due = (self.is_requested || has_expired_timer) && now >= self.earliest(tick, now);
        if is_due {
            self.timers = self.timers.split_off(&Micros(now.0 + 1));
        }
        is_due
    }

    /// Records that an evaluation starts.
    pub(super) fn started(&mut self, now: Micros) {
        self.is_requested = false;
        self.last_at = Some(now);
    }

    /// Returns when the next evaluation is due if no further event occurs. `has_events`: whether events are
    /// queued for the module.
    pub(super) fn next_due(&self, has_events: bool, tick: Micros, now: Micros) -> Option<Micros> {
        let earliest = self.earliest(tick, now).max(Micros(now.0 + 1));
        let requested = (self.is_requested || has_events).then_some(earliest);
        let timer = self.timers.first().map(|at| (*at).max(earliest));
        requested.into_iter().chain(timer).min()
    }

    /// Returns the earliest time of the next evaluation, one tick after the last, so that many requests share
    /// an evaluation.
    fn earliest(&self, tick: Micros, now: Micros) -> Micros {
        self.last_at.map_or(now, |at| at.after(tick))
    }
}
