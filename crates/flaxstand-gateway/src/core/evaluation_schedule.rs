//! When the decision module evaluates all pending requests: at most once a tick, and only if it was told something
//! or asked to be woken.

use crate::machine::Micros;
use std::collections::BTreeSet;

/// Timers of the module that are kept. Of more the latest are dropped: the module relies on the earliest.
const MAX_TIMERS: usize = 256;

/// When the module evaluates next.
#[derive(Debug)]
pub(super) struct EvaluationSchedule {
    /// When the module asked to be woken: each of these comes. Guards against a timer that is lost where two are set:
    /// at the first the module relies on the second, and sets none.
    timers: BTreeSet<Micros>,
    /// The module was told something that it has not evaluated.
    is_requested: bool,
    last_at: Option<Micros>,
}

impl EvaluationSchedule {
    /// The first evaluation is due at once.
    pub(super) fn new() -> Self {
        EvaluationSchedule { timers: BTreeSet::new(), is_requested: true, last_at: None }
    }

    /// The module was told something that it has not evaluated.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// The module asks for an evaluation `after` this time.
    pub(super) fn set_timer(&mut self, after: Micros, now: Micros) {
        // Rounded up: woken a moment early, the module would find nothing due, take the timer that it set as still to
        // come, and not be woken again.
        self.timers.insert(now.after(after).after(Micros(1)));
        if self.timers.len() > MAX_TIMERS {
            self.timers.pop_last();
        }
    }

    /// Whether to evaluate now. Timers that have come are removed then.
    pub(super) fn take_due(&mut self, tick: Micros, now: Micros) -> bool {
        let has_expired_timer = self.timers.first().is_some_and(|at| *at <= now);
        let is_due = (self.is_requested || has_expired_timer) && now >= self.earliest(tick, now);
        if is_due {
            self.timers = self.timers.split_off(&Micros(now.0 + 1));
        }
        is_due
    }

    /// An evaluation begins.
    pub(super) fn started(&mut self, now: Micros) {
        self.is_requested = false;
        self.last_at = Some(now);
    }

    /// When to look again, if nothing else happens. `has_events`: events wait for the module.
    pub(super) fn next_due(&self, has_events: bool, tick: Micros, now: Micros) -> Option<Micros> {
        let earliest = self.earliest(tick, now).max(Micros(now.0 + 1));
        let requested = (self.is_requested || has_events).then_some(earliest);
        let timer = self.timers.first().map(|at| (*at).max(earliest));
        requested.into_iter().chain(timer).min()
    }

    /// Many requests share one evaluation: the next is a tick after the last at the earliest.
    fn earliest(&self, tick: Micros, now: Micros) -> Micros {
        self.last_at.map_or(now, |at| at.after(tick))
    }
}
