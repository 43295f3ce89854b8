//! The timed actions of a step: proposals at a steady rate, and the start and end of faults.

use super::plan::{FaultKind, Step};

/// An action that a step runs at a scheduled time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action {
    /// Propose a change of the rules.
    Propose,
    /// Start a fault.
    StartFault(FaultKind),
    /// Make the list service accept connections again.
    RestoreList,
}

/// Returns the actions of a step in order of time, in seconds since the start of the measurement.
pub(super) fn schedule(step: &Step) -> Vec<(f64, Action)> {
    let mut actions = Vec::new();
    let rate = step.size.rule_changes;
    if rate > 0.0 {
        let count = (step.size.seconds * rate).floor() as u32;
        // The first proposal follows after half an interval, so that a short step also has one.
        let times = (0..count.max(1)).map(|nth| (f64::from(nth) + 0.5) / rate);
        actions.extend(times.filter(|at| *at < step.size.seconds).map(|at| (at, Action::Propose)));
    }
    for fault in &step.faults {
        actions.push((fault.at, Action::StartFault(fault.kind)));
        if let FaultKind::ListAway { seconds } = fault.kind {
            actions.push((fault.at + seconds, Action::RestoreList));
        }
    }
    actions.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    actions
}
