//! The module makes the same decisions as its independent reference: the same actions in the same order,
//! timers included, over random event sequences. A failure reports its seed, which reproduces the sequence.

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
/// Minimum number of actions of each kind over all sequences.
const MIN_ACTIONS_OF_A_KIND: u64 = 50;
/// Interval at which the service times of all nodes are compared, in events.
const COMPARE_SERVICE_TIMES_EVERY: usize = 50;

/// Returns the kind of an action, for the coverage counts.
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

/// Both implementations, which receive the same events.
struct ComparedSchedulers {
    seed: u64,
    indexed: Scheduler,
    plain: plain::scheduler::Scheduler,
    counts: BTreeMap<&'static str, u64>,
}

impl ComparedSchedulers {
    /// Delivers one event to both, asserts that the actions are equal, and returns them.
    fn handle_event(&mut self, step: usize, event: Event, now: Millis) -> Vec<Action> {
        let (mut actual, mut expected) = (Vec::new(), Vec::new());
        let event_text = format!("{event:?}");
        self.indexed.handle_event(event.clone(), now, &mut actual);
        self.plain.handle_event(event, now, &mut expected);
        assert_eq!(actual, expected, "seed {}, step {step}, at {now}: {event_text}", self.seed);
        actual.iter().for_each(|action| *self.counts.entry(kind(action)).or_default() += 1);
        actual
    }

    fn compare_service_times(&self, step: usize, nodes: u32) {
        for node in (0..nodes + 2).map(NodeId) {
            let (actual, expected) = (self.indexed.service_time(node), self.plain.service_time(node));
            assert_eq!(actual, expected, "seed {}, step {step}: service time of {node:?}", self.seed);
        }
    }
}

/// Runs the sequence of one seed. Returns counts of actions by kind, of retries and of new objects.
fn run_sequence(seed: u64) -> BTreeMap<&'static str, u64> {
    let mut script = Script::new(seed);
    let indexed = Scheduler::start(script.settings(), seed, script.now);
    let plain = plain::scheduler::Scheduler::start(script.settings(), seed, script.now);
    let mut schedulers = ComparedSchedulers { seed, indexed, plain, counts: BTreeMap::new() };
    for step in 0..EVENTS {
        let event = script.next_event();
        let actions = schedulers.handle_event(step, event, script.now);
        script.apply_actions(&actions);
        // Some events are delivered without an evaluation in between.
        if step % 5 != 0 {
            let actions = schedulers.handle_event(step, Event::Evaluate, script.now);
            script.apply_actions(&actions);
        }
        if step % COMPARE_SERVICE_TIMES_EVERY == 0 {
            schedulers.compare_service_times(step, script.nodes);
        }
    }
    schedulers.counts.insert("retry", script.retries);
    schedulers.counts.insert("new object", script.new_objects);
    schedulers.counts
}

#[test]
fn random_sequences_produce_equal_actions() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..SEEDS {
        for (kind, count) in run_sequence(seed) {
            *counts.entry(kind).or_default() += count;
        }
    }
    println!("{counts:?}");
    let kinds = ["send", "cancel", "probe", "reject", "fail", "timer", "poll", "retry", "new object"];
    for kind in kinds {
        let count = counts.get(kind).copied().unwrap_or(0);
        assert!(
            count >= MIN_ACTIONS_OF_A_KIND,
            "{count} actions of kind {kind} in all sequences, expected at least {MIN_ACTIONS_OF_A_KIND}"
        );
    }
}
