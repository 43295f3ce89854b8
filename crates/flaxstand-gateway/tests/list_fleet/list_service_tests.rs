//! Tests of the list service model: cost of calls, long polls and contents of responses.

use super::day::seconds;
use super::list_service::{Answer, Call, CallId, FIRST_REVISION, ListService, Reply, Speed, Style, TargetId};
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::{Listing, TargetState};

const FULL_LIST: Call = Call { since: None, wait: Micros(0) };
const NOW: Micros = Micros(1_000_000_000);

fn after(time: f64) -> Micros {
    NOW.after(seconds(time))
}

fn service(sends_changes: bool, targets: usize) -> ListService {
    let speed = Speed { call_lines: 50.0, lines_per_second: 200.0, sends_changes };
    ListService::new(speed, Style::default(), targets)
}

fn watch(since: u64, wait: f64) -> Call {
    Call { since: Some(since), wait: seconds(wait) }
}

/// The responses that start by `until`, each with its start.
fn answers(service: &mut ListService, until: Micros) -> Vec<(Micros, Reply)> {
    let mut answers = Vec::new();
    while let Some(at) = service.next_due().filter(|at| *at <= until) {
        answers.extend(service.due(at).into_iter().map(|reply| (at, reply)));
    }
    answers
}

fn listing(reply: &Reply) -> Listing {
    let Answer::List { body, .. } = &reply.answer else { panic!("call {} was rejected", reply.call.0) };
    serde_json::from_slice(body).expect("a list")
}

/// Six hosts start together and request a list of twelve targets: the last two are rejected.
#[test]
fn calls_behind_more_than_a_second_of_work_are_rejected() {
    let mut service = service(true, 12);
    (0..6).for_each(|id| service.call(CallId(id), FULL_LIST, NOW));
    let answers = answers(&mut service, after(10.0));
    let rejected: Vec<(Micros, u64)> = answers
        .iter()
        .filter(|(_, reply)| matches!(reply.answer, Answer::Rejected))
        .map(|(at, reply)| (*at, reply.call.0))
        .collect();
    assert_eq!(rejected, [(after(0.005), 4), (after(0.005), 5)]);
    let started: Vec<Micros> = answers.iter().map(|(at, _)| *at).filter(|at| *at != after(0.005)).collect();
    assert_eq!(
        started,
        [0.0, 0.31, 0.62, 0.93].map(after),
        "each call costs 62 lines, and calls run one at a time"
    );
}

#[test]
fn an_answered_call_keeps_the_service_busy_for_its_lines() {
    let mut service = service(true, 350);
    service.call(CallId(0), FULL_LIST, NOW);
    assert_eq!(listing(&answers(&mut service, NOW)[0].1).targets.len(), 350);
    service.call(CallId(1), watch(FIRST_REVISION, 2.0), after(0.9));
    service.call(CallId(2), watch(FIRST_REVISION, 0.5), after(1.1));
    let answers = answers(&mut service, after(5.0));
    assert!(matches!(answers[0].1.answer, Answer::Rejected), "2 s of work are queued");
    let (at, reply) = &answers[1];
    assert_eq!(
        (*at, reply.call),
        (after(2.0625), CallId(2)),
        "its long poll ended while the service was busy with the first list"
    );
    assert!(listing(reply).targets.is_empty() && !listing(reply).is_full);
}

#[test]
fn a_watch_returns_changed_and_removed_targets() {
    let mut service = service(true, 10);
    service.call(CallId(0), watch(FIRST_REVISION, 5.0), NOW);
    assert!(answers(&mut service, after(4.0)).is_empty());
    service.change_one(TargetId(3), TargetState::Draining, after(4.0));
    service.change_one(TargetId(4), TargetState::Removed, after(4.0));
    service.answer_watches(after(4.0));
    let changes = listing(&answers(&mut service, after(4.0))[0].1);
    let states: Vec<TargetState> = changes.targets.iter().map(|target| target.state).collect();
    assert_eq!((changes.revision, changes.is_full), (FIRST_REVISION + 2, false));
    assert_eq!(states, [TargetState::Draining, TargetState::Removed]);
    // The full list contains draining targets and no removed ones.
    service.call(CallId(1), FULL_LIST, after(6.0));
    let full = listing(&answers(&mut service, after(6.0))[0].1);
    assert_eq!((full.is_full, full.targets.len()), (true, 9));
}

#[test]
fn a_service_without_incremental_lists_sends_full_lists() {
    let mut service = service(false, 10);
    service.change_one(TargetId(3), TargetState::Draining, NOW);
    service.call(CallId(0), watch(FIRST_REVISION, 5.0), NOW);
    let changes = listing(&answers(&mut service, NOW)[0].1);
    assert_eq!((changes.is_full, changes.targets.len()), (true, 10));
}

#[test]
fn earlier_lists_are_available_by_revision() {
    let mut service = service(true, 4);
    let new = service.add_target("127.0.0.9:8000".into(), 1);
    service.change_one(TargetId(1), TargetState::Draining, NOW);
    service.change_one(TargetId(1), TargetState::Removed, NOW);
    service.change_one(new, TargetState::Up, NOW);
    let states = |behind: u64| {
        let listing = service.listing_at(FIRST_REVISION + 3 - behind);
        listing.targets.iter().map(|target| (target.shard, target.state)).collect::<Vec<_>>()
    };
    use TargetState::{Draining, Up};
    assert_eq!(states(0), [(0, Up), (2, Up), (3, Up), (1, Up)]);
    assert_eq!(states(1), [(0, Up), (2, Up), (3, Up)]);
    assert_eq!(states(2), [(0, Up), (1, Draining), (2, Up), (3, Up)]);
    assert_eq!(states(3), [(0, Up), (1, Up), (2, Up), (3, Up)]);
}
