//! What is done when in a step: proposals at a steady rate, faults and their ends.

use super::plan::{FaultKind, Step};

/// Something to be done at its moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action {
    /// A change of the rules is proposed.
    Propose,
    /// A fault begins.
    Fault(FaultKind),
    /// The list service is there again.
    ListReturns,
}

/// Actions of a step with their times, seconds from the start of the measurement.
pub(super) fn schedule(step: &Step) -> Vec<(f64, Action)> {
    let mut actions = Vec::new();
    let rate = step.size.rule_changes;
    if rate > 0.0 {
        let count = (step.size.seconds * rate).floor() as u32;
        // The first at half a gap, so that a short step has one too.
        let times = (0..count.max(1)).map(|nth| (f64::from(nth) + 0.5) / rate);
        actions.extend(times.filter(|at| *at < step.size.seconds).map(|at| (at, Action::Propose)));
    }
    for fault in &step.faults {
        actions.push((fault.at, Action::Fault(fault.kind)));
        if let FaultKind::ListAway { seconds } = fault.kind {
            actions.push((fault.at + seconds, Action::ListReturns));
        }
    }
    actions.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    actions
}
