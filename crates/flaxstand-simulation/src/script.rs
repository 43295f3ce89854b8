//! Timeline of a day's faults, which both the process driver and the virtual-time driver execute.

use crate::day::{Day, FaultKind};
use flaxstand_consensus::rules::Value;
use std::collections::BTreeMap;

/// A step of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends lines to a node's standard input.
    NodeLines(usize, String),
    /// Sends lines to the list service's standard input.
    ListLines(String),
    /// Kills a node.
    KillNode(usize),
    /// Restarts a node, cold.
    RestartNode(usize),
    /// Drains a node.
    DrainNode(usize),
    /// Removes a node, and starts another machine on its shard.
    ReplaceNode(usize),
    /// Kills an initiator (true), or asks it to stop (false).
    KillInitiator(usize, bool),
    /// Restarts an initiator.
    RestartInitiator(usize),
    /// Isolates an initiator from all others, or reconnects it.
    IsolateInitiator(usize, bool),
    /// Suspends an initiator's process, or resumes it.
    PauseInitiator(usize, bool),
    /// Proposes a change of the rules.
    ProposeRules(BTreeMap<String, Value>),
}

/// Returns the steps of a day that lasts `seconds`, in the order of their times.
pub fn script(day: &Day, seconds: f64) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    for fault in &day.faults {
        let (from, until) = (fault.at, fault.at + fault.length);
        for slot in fault.nodes.iter().map(|n| *n as usize) {
            match &fault.kind {
                FaultKind::Node(on, off) => {
                    steps.push((from, Step::NodeLines(slot, on.clone())));
                    steps.push((until, Step::NodeLines(slot, off.clone())));
                }
                FaultKind::Crash => {
                    steps.push((from, Step::KillNode(slot)));
                    steps.push((until, Step::RestartNode(slot)));
                }
                FaultKind::Replace => {
                    steps.push((from, Step::DrainNode(slot)));
                    steps.push((until, Step::ReplaceNode(slot)));
                }
                _ => {}
            }
        }
        for index in fault.initiators.iter().map(|i| *i as usize) {
            let (on, off) = match fault.kind {
                FaultKind::CutInitiator => {
                    (Step::IsolateInitiator(index, true), Step::IsolateInitiator(index, false))
                }
                FaultKind::PauseInitiator => {
                    (Step::PauseInitiator(index, true), Step::PauseInitiator(index, false))
                }
                _ => {
                    let immediately = fault.kind == FaultKind::KillInitiator;
                    (Step::KillInitiator(index, immediately), Step::RestartInitiator(index))
                }
            };
            steps.push((from, on));
            steps.push((until, off));
        }
        if let FaultKind::Change(sets) = &fault.kind {
            steps.push((from, Step::ProposeRules(sets.clone())));
        }
        if let FaultKind::List(on, off) = &fault.kind {
            steps.push((from, Step::ListLines(on.clone())));
            steps.push((until, Step::ListLines(off.clone())));
        }
    }
    steps.retain(|(at, _)| *at <= seconds);
    steps.sort_by(|x, y| x.0.total_cmp(&y.0));
    steps
}
