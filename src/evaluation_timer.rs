//! Schedules the next evaluation.

use crate::api::{Action, Millis};

/// Interval between evaluations while a request is held or may be hedged, ms.
pub(crate) const EVALUATION_INTERVAL: Millis = 10.0;
/// Interval while attempts are in flight and no request is held or may be hedged, as a share of the tightest
/// latency objective.
const IDLE_INTERVAL_SHARE: f64 = 1.0 / 4.0;

/// The timer that was requested last.
#[derive(Default)]
pub(crate) struct EvaluationTimer {
    due_at: Option<Millis>,
}

impl EvaluationTimer {
    /// Requests a timer for the next evaluation, at `next_poll_at` at the latest, unless the timer requested
    /// last is due by then. `is_waiting`: whether a request is held or may be hedged.
    pub(crate) fn schedule(
        &mut self,
        is_waiting: bool,
        latency_objective: Millis,
        next_poll_at: Option<Millis>,
        now: Millis,
    ) -> Option<Action> {
        let interval = if is_waiting { EVALUATION_INTERVAL } else { latency_objective * IDLE_INTERVAL_SHARE };
        let next = now + interval;
        let at = next.min(next_poll_at.unwrap_or(next));
        if self.due_at.is_some_and(|due_at| now < due_at && due_at <= at) {
            return None;
        }
        self.due_at = Some(at);
        Some(Action::SetTimer { after: at - now })
    }
}
