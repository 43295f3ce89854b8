//! The module decides what its independent reference decides: equal actions, in order, timers included, over
//! drawn sequences of events. A seed that fails is printed and plays the same sequence again.

mod common;
#[path = "common/module.rs"]
mod module;
mod plain;
#[path = "common/script.rs"]
mod script;

use flaxstand::api;
use flaxstand::api::*;
use flaxstand::scheduler::Scheduler;
use module::Module;
use script::Script;
use std::collections::BTreeMap;

const SEEDS: u64 = 400;
const EVENTS: usize = 900;
/// Each kind of action must come up so often over all sequences.
const MIN_ACTIONS_OF_A_KIND: u64 = 50;
/// Service times of all nodes are compared after so many events.
const COMPARE_SERVICE_TIMES_EVERY: usize = 50;

/// One kind of action, for the count of what the sequences made the module do.
fn kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Cancel { .. } => "cancel",
        Action::Probe { .. } => "probe",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        Action::SetTimer { .. } => "timer",
        Action::PollList => "poll",
    }
}

/// Both implementations, which get the same events.
struct Pair {
    seed: u64,
    indexed: Scheduler,
    plain: plain::scheduler::Scheduler,
    counts: BTreeMap<&'static str, u64>,
}

impl Pair {
    /// Hands both one event and gives back the actions, which are equal.
    fn handle_event(&mut self, step: usize, event: Event, now: Millis) -> Vec<Action> {
        let (mut got, mut want) = (Vec::new(), Vec::new());
        let event_text = format!("{event:?}");
        self.indexed.handle_event(event.clone(), now, &mut got);
        self.plain.handle_event(event, now, &mut want);
        assert_eq!(got, want, "seed {}, step {step}, at {now}: {event_text}", self.seed);
        got.iter().for_each(|action| *self.counts.entry(kind(action)).or_default() += 1);
        got
    }

    fn compare_service_times(&self, step: usize, nodes: u32) {
        for node in (0..nodes + 2).map(NodeId) {
            let (got, want) = (self.indexed.service_time(node), self.plain.service_time(node));
            assert_eq!(got, want, "seed {}, step {step}: service time of {node:?}", self.seed);
        }
    }
}

/// Plays one seed's sequence and counts actions by kind, and two more kinds of sends.
fn play(seed: u64) -> BTreeMap<&'static str, u64> {
    let mut script = Script::new(seed);
    let indexed = Scheduler::start(script.settings(), seed, script.now);
    let plain = plain::scheduler::Scheduler::start(script.settings(), seed, script.now);
    let mut pair = Pair { seed, indexed, plain, counts: BTreeMap::new() };
    for step in 0..EVENTS {
        let event = script.next_event();
        let actions = pair.handle_event(step, event, script.now);
        script.take(&actions);
        // Some events of one moment are handed in before an evaluation.
        if step % 5 != 0 {
            let actions = pair.handle_event(step, Event::Evaluate, script.now);
            script.take(&actions);
        }
        if step % COMPARE_SERVICE_TIMES_EVERY == 0 {
            pair.compare_service_times(step, script.nodes);
        }
    }
    pair.counts.insert("retry", script.retries);
    pair.counts.insert("new object", script.new_objects);
    pair.counts
}

#[test]
fn drawn_sequences_give_equal_actions() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..SEEDS {
        for (kind, count) in play(seed) {
            *counts.entry(kind).or_default() += count;
        }
    }
    println!("{counts:?}");
    let kinds = ["send", "cancel", "probe", "reject", "fail", "timer", "poll", "retry", "new object"];
    for kind in kinds {
        let count = counts.get(kind).copied().unwrap_or(0);
        assert!(count >= MIN_ACTIONS_OF_A_KIND, "the sequences hardly ever reach {kind}: {count}");
    }
}
