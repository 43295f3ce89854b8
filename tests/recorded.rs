//! Regression test of decisions: compares a checksum of actions over random event sequences with that of an
//! earlier build. `equivalence.rs` compares two implementations that may change together; this test pins both
//! to recorded results.

mod common;
#[path = "common/script.rs"]
mod script;

use flaxstand::api::*;
use flaxstand::scheduler::Scheduler;
use flaxstand_fixture::Fixtures;
use script::Script;

const SEEDS: u64 = 60;
const EVENTS: usize = 900;

/// FNV-1a, 64 bits, over the fields of actions.
struct Checksum(u64);

impl Checksum {
    fn add(&mut self, value: u64) {
        for byte in value.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_action(&mut self, action: &Action) {
        let fields = match *action {
            Action::Send { request, node, until } => [1, request.0, node.0.into(), until.to_bits()],
            Action::Cancel { request, attempt } => [2, request.0, attempt.0.into(), 0],
            Action::Probe { node } => [3, node.0.into(), 0, 0],
            Action::Reject { request, retry_after } => [4, request.0, retry_after.to_bits(), 0],
            Action::Fail { request } => [5, request.0, 0, 0],
            Action::SetTimer { after } => [6, after.to_bits(), 0, 0],
            Action::PollList => [7, 0, 0, 0],
        };
        fields.into_iter().for_each(|field| self.add(field));
    }
}

fn run_sequence(seed: u64) -> (usize, u64) {
    let mut script = Script::new(seed);
    let mut scheduler = Scheduler::new(script.settings(), seed, script.now);
    let (mut count, mut checksum) = (0, Checksum(0xcbf2_9ce4_8422_2325));
    for step in 0..EVENTS {
        let events = [Some(script.next_event()), (step % 5 != 0).then_some(Event::Evaluate)];
        for event in events.into_iter().flatten() {
            let mut actions = Vec::new();
            scheduler.handle(event, script.now, &mut actions);
            actions.iter().for_each(|action| checksum.add_action(action));
            count += actions.len();
            script.apply_actions(&actions);
        }
    }
    let service_times = (0..script.nodes).filter_map(|node| scheduler.service_time_of(NodeId(node)));
    service_times.for_each(|service_time| checksum.add(service_time.to_bits()));
    (count, checksum.0)
}

/// Guards against changes of arithmetic, of the order of random draws, or of the order of actions.
#[test]
fn decisions_for_random_sequences_match_the_recording() {
    let line = |seed| {
        let (count, checksum) = run_sequence(seed);
        format!("seed {seed}: {count} actions, {checksum:016x}\n")
    };
    let text: String = (0..SEEDS).map(line).collect();
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR")).assert_text("decisions.txt", &text);
}
