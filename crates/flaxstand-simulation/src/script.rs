//! A day's faults as steps in time: what both drivers carry out.

use crate::day::{Day, Trouble};
use flaxstand_consensus::rules::Value;
use std::collections::BTreeMap;

/// What happens at a moment of the day.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A node's standard input takes these lines.
    Tell(usize, String),
    /// So does the list service's.
    TellList(String),
    /// A node is killed.
    Kill(usize),
    /// It comes back cold.
    Return(usize),
    /// It drains.
    Drain(usize),
    /// It is gone, and another machine takes its shard.
    Succeed(usize),
    /// An initiator is killed outright, or told to stop.
    KillInitiator(usize, bool),
    /// It is started again.
    ReturnInitiator(usize),
    /// Nothing passes between an initiator and all others, or it does again.
    Cut(usize, bool),
    /// An initiator's process stands still, or goes on.
    Pause(usize, bool),
    /// A change of the rules is proposed.
    Propose(BTreeMap<String, Value>),
}

/// The steps of a day that lasts so long, by their second.
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
