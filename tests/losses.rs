//! Lost answers, clients with little time, nodes of several sizes.

mod common;

use common::*;
use flaxstand::api::*;

fn hedging() -> Settings {
    Settings { max_concurrent_attempts: 2, may_probe: true, ..settings() }
}

/// Sends a request, and another after it that is answered first.
fn send_and_overtake(host: &mut Host, first: Arrival) {
    let later = first.id.0 + 1;
    host.arrive(first);
    host.now += 5.0;
    host.arrive(arrival(later, Some(0), host.now + 1500.0));
    host.take_actions();
    host.now += 20.0;
    host.end_attempt(later, 0, Outcome::Served, 20.0);
}

/// A host of one node that has just lost an answer: that of a later request arrived, its own never did.
fn after_a_loss(settings: Settings) -> Host {
    let mut host = Host::new(settings, 1);
    for id in 0..10 {
        host.serve_one(1000 + id, 0, 20.0);
    }
    let first = arrival(1, Some(0), host.now + 1500.0);
    send_and_overtake(&mut host, first);
    host.advance(1475.0);
    host.end_attempt(1, 0, Outcome::TimedOut, 1500.0);
    host.take_actions();
    host
}

fn probes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count()
}

#[test]
fn an_attempt_that_a_probe_overtook_is_hedged_and_then_cancelled() {
    let mut host = after_a_loss(hedging());
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    assert_eq!(host.take_sends(), [(10, 0)]);
    host.advance(80.0);
    assert_eq!(
        probes(&host.take_actions()),
        1,
        "in flight for longer than its service time: a queue, or a lost answer?"
    );
    host.handle(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.handle(Event::Evaluate);
    assert_eq!(host.take_sends(), [], "it had begun by then and may still be served");
    host.advance(80.0);
    assert_eq!(host.take_sends(), [(10, 0)]);
    host.end_attempt(10, 1, Outcome::Served, 20.0);
    assert_eq!(host.take_actions(), [Action::Cancel { request: RequestId(10), attempt: AttemptNo(0) }]);
}

#[test]
fn a_queue_is_not_taken_for_a_lost_answer_while_the_probe_waits_too() {
    let mut host = after_a_loss(hedging());
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.take_actions();
    host.advance(80.0);
    assert_eq!(probes(&host.take_actions()), 1);
    host.handle(Event::ProbeEnded(NodeId(0), Outcome::TimedOut));
    host.advance(100.0);
    assert_eq!(host.take_actions(), []);
}

#[test]
fn without_a_recent_loss_nothing_is_probed_or_hedged() {
    let mut host = Host::new(hedging(), 1);
    host.serve_one(1000, 0, 20.0);
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.take_actions();
    host.advance(150.0);
    assert_eq!(host.take_actions(), []);
}

#[test]
fn with_one_attempt_at_a_time_the_lost_one_is_cancelled_before_the_retry() {
    let mut host = after_a_loss(settings());
    let first = arrival(10, Some(0), host.now + 1500.0);
    send_and_overtake(&mut host, first);
    host.advance(100.0);
    let cancel = Action::Cancel { request: RequestId(10), attempt: AttemptNo(0) };
    assert!(host.take_actions().contains(&cancel));
    host.end_attempt(10, 0, Outcome::Cancelled, 125.0);
    assert_eq!(host.take_sends(), [(10, 0)]);
}

#[test]
fn a_request_that_must_not_run_twice_is_neither_hedged_nor_cancelled() {
    for max_concurrent_attempts in [1, 2] {
        let mut settings = Settings { max_concurrent_attempts, ..hedging() };
        settings.classes[1].effect = Effect::AtMostOnce;
        let mut host = after_a_loss(settings);
        let first = Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 1500.0) };
        send_and_overtake(&mut host, first);
        host.advance(800.0);
        let actions = host.take_actions();
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Cancel { .. })),
            "{actions:?}"
        );
        host.end_attempt(10, 0, Outcome::Error, 830.0);
        assert!(is_failed(&host.take_actions(), 10), "its final answer comes at once");
    }
}

#[test]
fn a_lost_answer_is_not_reported_as_queue_delay() {
    let mut host = Host::new(settings(), 3);
    for id in 0..9 {
        host.serve_one(1000 + id, (id % 3) as i64, 20.0);
    }
    // All three nodes owe an answer that will not come; a queue of a second would reject what has less time.
    for id in 0..3 {
        host.arrive(arrival(id, Some(id as i64), host.now + 1500.0));
    }
    host.take_actions();
    host.advance(900.0);
    host.arrive(arrival(10, Some(0), host.now + 500.0));
    let actions = host.take_actions();
    assert!(!is_rejected(&actions, 10), "{actions:?}");
}

#[test]
fn latencies_beyond_the_expected_raise_what_is_expected_until_they_fade() {
    let takes = |latency: Millis, after: Millis| {
        let mut host = Host::new(settings(), 20);
        for id in 0..12 {
            host.serve_one(1000 + id, id as i64, 20.0);
        }
        // Each at a node of its own: most nodes report no queue.
        for id in 0..3 {
            host.serve_one(2000 + id, 12 + id as i64, latency);
        }
        host.advance(after);
        host.arrive(arrival(10, Some(19), host.now + 45.0));
        !is_rejected(&host.take_actions(), 10)
    };
    assert!(takes(20.0, 5.0), "as expected: it is tried");
    assert!(!takes(160.0, 5.0), "eight times as long as expected: it can't be answered in 45 ms");
    assert!(takes(160.0, 8000.0), "where no answer comes the ratio fades, or it would reject for ever");
}

#[test]
fn a_request_that_slow_start_would_hold_too_long_is_rejected_at_once() {
    let settings = Settings { initiators: 2000, ..settings() };
    let mut host = Host::new(settings, 1);
    let booted = host.now - 100.0;
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(booted))]);
    host.arrive(Arrival { units: 8.0, ..arrival(1, Some(0), host.now + 1500.0) });
    host.advance(20.0);
    assert!(is_rejected(&host.take_actions(), 1), "thousands of initiators: its turn comes minutes later");
}

#[test]
fn a_request_that_the_limit_would_hold_too_long_is_rejected_at_once() {
    let mut settings = settings();
    settings.plans[0] = Plan { limit_rate: 2.0, limit_burst: 40.0, ..plan(0.0) };
    let mut host = Host::new(settings, 1);
    host.serve_one(1000, 0, 10.0);
    host.advance(600.0);
    host.arrive(Arrival { units: 8.0, ..arrival(1, Some(0), host.now + 1500.0) });
    host.arrive(arrival(2, Some(0), host.now + 1500.0));
    host.advance(20.0);
    let actions = host.take_actions();
    assert!(is_rejected(&actions, 1), "four seconds of the limit: {actions:?}");
    assert!(!is_rejected(&actions, 2), "one that the limit will let go waits: {actions:?}");
}

#[test]
fn new_objects_go_to_nodes_by_their_nominal_size() {
    let mut host = Host::new(settings(), 2);
    let sized = |node, size| NodeEntry { size, ..entry(node, Readiness::Serving, None) };
    host.apply_list(ListScope::Full, vec![sized(0, 3.0), sized(1, 1.0)]);
    let mut sent = [0, 0];
    for id in 0..400 {
        host.arrive(arrival(id, None, host.now + 1500.0));
        for (id, node) in host.take_sends() {
            sent[node as usize] += 1;
            host.now += 20.0;
            host.end_attempt(id, 0, Outcome::Served, 20.0);
        }
    }
    assert!(sent[0] > 2 * sent[1] && sent[1] > 40, "{sent:?}");
}

#[test]
fn a_request_with_little_time_is_tried_where_it_has_a_chance() {
    let tries = |left: Millis| {
        let mut host = Host::new(settings(), 1);
        for id in 0..30 {
            host.serve_one(1000 + id, 0, 40.0);
        }
        host.arrive(Arrival { units: 3.0, ..arrival(1, Some(0), host.now + left) });
        !is_rejected(&host.take_actions(), 1)
    };
    assert!(tries(180.0), "a latency of 200 ms is expected: 180 may well do");
    assert!(!tries(90.0));
}

#[test]
fn a_learnt_service_time_is_kept_for_the_same_process_and_void_for_another() {
    let learnt = |booted, service_time| NodeEntry { service_time, ..entry(0, Readiness::Serving, booted) };
    let mut host = Host::new(settings(), 0);
    host.apply_list(ListScope::Cached, vec![learnt(None, Some(70.0))]);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), Some(70.0));
    host.apply_list(ListScope::Full, vec![learnt(None, None)]);
    assert_eq!(
        host.scheduler.service_time_of(NodeId(0)),
        Some(70.0),
        "the list states none: what was learnt stays"
    );
    host.apply_list(ListScope::Changes, vec![learnt(Some(host.now), None)]);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), None, "another process: to be learnt again");
}

#[test]
fn a_hedged_attempt_that_fails_ends_nothing_while_the_first_is_in_flight() {
    let mut settings = hedging();
    settings.max_attempts = 2;
    let mut host = after_a_loss(settings);
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.advance(80.0);
    host.handle(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.advance(80.0);
    host.take_actions();
    host.end_attempt(10, 1, Outcome::Error, 5.0);
    assert_eq!(host.take_actions(), [], "the first may still be answered");
    host.end_attempt(10, 0, Outcome::Error, 200.0);
    assert!(is_rejected(&host.take_actions(), 10), "both failed, and no third is allowed");
}

#[test]
fn a_lost_attempt_does_not_count_against_the_concurrency_limit() {
    let sent_at_once = |answered: bool| {
        let mut settings = hedging();
        settings.classes[1].effect = Effect::AtMostOnce;
        let mut host = after_a_loss(settings);
        let first = Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 3000.0) };
        send_and_overtake(&mut host, first);
        host.advance(10.0);
        if answered {
            host.end_attempt(10, 0, Outcome::Served, 35.0);
        }
        host.advance(100.0);
        host.take_actions();
        for id in 20..40 {
            host.arrive(arrival(id, Some(0), host.now + 3000.0));
        }
        host.take_sends().len()
    };
    assert_eq!(sent_at_once(false), sent_at_once(true));
}
