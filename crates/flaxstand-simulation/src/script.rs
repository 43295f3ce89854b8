//! Timeline of a day's faults, which both the process driver and the virtual-time driver execute.

use crate::day::{Day, Trouble};
use flaxstand_consensus::rules::Value;
use std::collections::BTreeMap;

/// A step of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends lines to a node's standard input.
    Tell(usize, String),
    /// Sends lines to the list service's standard input.
    TellList(String),
    /// Kills a node.
    Kill(usize),
    /// Restarts a node, cold.
    Return(usize),
    /// Drains a node.
    Drain(usize),
    /// Removes a node, and starts another machine on its shard.
    Succeed(usize),
    /// Kills an initiator (true), or asks it to stop (false).
    KillInitiator(usize, bool),
    /// Restarts an initiator.
    ReturnInitiator(usize),
    /// Isolates an initiator from all others, or reconnects it.
    Cut(usize, bool),
    /// Suspends an initiator's process, or resumes it.
    Pause(usize, bool),
    /// Proposes a change of the rules.
    Propose(BTreeMap<String, Value>),
}

/// Returns the steps of a day that lasts `seconds`, in the order of their times.
pub fn script(day: &Day, seconds: f64) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    for fault in &day.faults {
        let (from, until) = (fault.at, fault.at + fault.length);
        for slot in fault.nodes.iter().map(|n| *n as usize) {
            match &fault.trouble {
                Trouble::Node(on, off) => {
                    steps.push((from, Step::Tell(slot, on.clone())));
                    steps.push((until, Step::Tell(slot, off.clone())));
                }
                Trouble::Crash => {
                    steps.push((from, Step::Kill(slot)));
                    steps.push((until, Step::Return(slot)));
                }
                Trouble::Replace => {
                    steps.push((from, Step::Drain(slot)));
                    steps.push((until, Step::Succeed(slot)));
                }
                _ => {}
            }
        }
        for index in fault.initiators.iter().map(|i| *i as usize) {
            let (on, off) = match fault.trouble {
                Trouble::CutInitiator => (Step::Cut(index, true), Step::Cut(index, false)),
                Trouble::PauseInitiator => (Step::Pause(index, true), Step::Pause(index, false)),
                _ => {
                    let outright = fault.trouble == Trouble::KillInitiator;
                    (Step::KillInitiator(index, outright), Step::ReturnInitiator(index))
                }
            };
            steps.push((from, on));
            steps.push((until, off));
        }
        if let Trouble::Change(sets) = &fault.trouble {
            steps.push((from, Step::Propose(sets.clone())));
        }
        if let Trouble::List(on, off) = &fault.trouble {
            steps.push((from, Step::TellList(on.clone())));
            steps.push((until, Step::TellList(off.clone())));
        }
    }
    steps.retain(|(at, _)| *at <= seconds);
    steps.sort_by(|x, y| x.0.total_cmp(&y.0));
    steps
}
