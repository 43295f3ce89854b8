//! Parts of scale runs that need no processes: plans, frame counts, and the lag until changes are in force.

use flaxstand_proto::{Frame, encode};
use flaxstand_simulation::scale::hollow::Activation;
use flaxstand_simulation::scale::lags::{Change, Lags};
use flaxstand_simulation::scale::plan::{FaultKind, Plan};
use flaxstand_simulation::scale::traffic::FrameCounter;
use std::path::Path;

const SITE: &str = "site {\n initiators 20\n}\nclass \"read\" {\n effect \"repeatable\"\n aim-ms 100\n \
                    deadline-ms 500\n}\nplan \"basic\"\n";

fn problems(plan: &str) -> Vec<(usize, String)> {
    let text = format!("{plan}\n{SITE}");
    let error = Plan::read("plan", &text).expect_err("the plan has problems");
    error.problems.into_iter().map(|problem| (problem.line, problem.message)).collect()
}

#[test]
fn every_plan_of_the_repository_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scale");
    let mut read = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let plan = Plan::read(&path.display().to_string(), &text).unwrap_or_else(|error| panic!("{error}"));
        assert!(!plan.steps.is_empty(), "{}", path.display());
        read += 1;
    }
    assert!(read >= 5, "{read} plans, expected at least 5");
}

#[test]
fn a_step_overrides_the_base() {
    let text = format!(
        "scale \"a\"\nbase {{\n hollow 5\n nodes 7\n}}\nstep \"one\" nodes=9\nstep \"two\" {{\n \
         fault \"list-away\" at=1 for=2\n}}\n{SITE}"
    );
    let plan = Plan::read("plan", &text).unwrap();
    assert_eq!((plan.steps[0].size.hollow, plan.steps[0].size.nodes), (5, 9));
    assert_eq!((plan.steps[1].size.hollow, plan.steps[1].size.nodes), (5, 7));
    assert_eq!(plan.steps[1].faults[0].kind, FaultKind::ListAway { seconds: 2.0 });
}

#[test]
fn errors_have_their_line() {
    let all = problems("scale \"a\"\nstep \"x\" keepers=2\nstep \"y\" hollow=30");
    assert_eq!(all.iter().map(|(line, _)| *line).collect::<Vec<_>>(), [2, 3], "{all:?}");
    assert!(all[0].1.contains("keepers is 2, expected 0, 1, 3 or 5"), "{all:?}");
    assert!(all[1].1.contains("31 participants, expected at most the site's 20"), "{all:?}");

    let all = problems("scale \"a\"\nstep \"x\" rule-changes=1 connections=3");
    assert!(all.iter().any(|(_, message)| message.contains("expected keepers")), "{all:?}");
    assert!(
        all.iter().any(|(_, message)| message.contains("expected a real initiator and requests")),
        "{all:?}"
    );

    let all = problems("scale \"a\"\nstep \"x\" {\n fault \"kill-leader\" at=1\n fault \"flood\" at=1\n}");
    assert_eq!(all.iter().map(|(line, _)| *line).collect::<Vec<_>>(), [3, 4], "{all:?}");

    let all = problems("scale \"a\"");
    assert!(all[0].1.contains("there is no step"), "{all:?}");
}

#[test]
fn frames_are_counted_across_fragments() {
    let mut bytes = Vec::new();
    for _ in 0..3 {
        encode(&Frame::GetList, &mut bytes);
        encode(&Frame::Agreement { bytes: &[7; 300] }, &mut bytes);
    }
    for part in [1, 2, 3, 7, 100, bytes.len()] {
        let mut counter = FrameCounter::default();
        let counted: u64 = bytes.chunks(part).map(|chunk| counter.count(chunk)).sum();
        assert_eq!(counted, 6, "fragments of {part} bytes");
    }
}

fn arrival(initiator: u32, number: u64, at: u64) -> Activation {
    Activation { initiator, number, at }
}

#[test]
fn a_change_is_in_force_once_it_or_a_later_one_is_applied() {
    let changes = [Change { number: 11, at: 1_000 }, Change { number: 12, at: 2_000 }];
    // The second initiator went from 10 to 12 directly.
    let arrivals =
        [arrival(1, 11, 3_000), arrival(1, 12, 5_000), arrival(2, 10, 1_500), arrival(2, 12, 9_000)];
    let lags = Lags::of(&changes, &arrivals, 2);
    assert_eq!((lags.changes, lags.initiators, lags.reached), (2, 2, 4));
    assert!(lags.complete());
    assert_eq!((lags.p50_ms, lags.p99_ms, lags.last_ms), (3.0, 8.0, 8.0));
}

#[test]
fn a_change_that_misses_an_initiator_is_not_complete() {
    let changes = [Change { number: 11, at: 1_000 }];
    let lags = Lags::of(&changes, &[arrival(1, 11, 2_000), arrival(2, 10, 2_000)], 2);
    assert_eq!(lags.reached, 1);
    assert!(!lags.complete());
}
