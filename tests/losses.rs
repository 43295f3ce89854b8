//! Lost answers, hurried clients, nodes of several sizes: what the move to other deployments asks for.

mod common;

use common::*;
use flaxstand::api::*;

fn copying() -> Settings {
    Settings { max_concurrent_attempts: 2, may_probe: true, ..settings() }
}

/// Sends a request, and another after it that is answered first.
fn overtaken(host: &mut Host, first: Arrival) {
    let later = first.id.0 + 1;
    host.arrive(first);
    host.now += 5.0;
    host.arrive(arrival(later, Some(0), host.now + 1500.0));
    host.take();
    host.now += 20.0;
    host.end(later, 0, Outcome::Served, 20.0);
}

/// A host of one node that has just seen an answer lost: one sent later came, and it never did.
fn after_a_loss(s: Settings) -> Host {
    let mut host = Host::new(s, 1);
    for id in 0..10 {
        host.warm_up(1000 + id, 0, 20.0);
    }
    let first = arrival(1, Some(0), host.now + 1500.0);
    overtaken(&mut host, first);
    host.pass(1475.0);
    host.end(1, 0, Outcome::TimedOut, 1500.0);
    host.take();
    host
}

fn probes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count()
}

#[test]
fn what_a_probe_overtook_is_sent_again_and_the_lost_attempt_called_off() {
    let mut host = after_a_loss(copying());
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    assert_eq!(host.sends(), [(10, 0)]);
    host.pass(80.0);
    assert_eq!(probes(&host.take()), 1, "out for longer than its work: is it the queue, or the answer?");
    host.tell(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.tell(Event::Evaluate);
    assert_eq!(host.sends(), [], "it had begun by then; it may still be at work");
    host.pass(80.0);
    assert_eq!(host.sends(), [(10, 0)]);
    host.end(10, 1, Outcome::Served, 20.0);
    assert_eq!(host.take(), [Action::Cancel { request: RequestId(10), attempt: AttemptNo(0) }]);
}

#[test]
fn a_queue_is_no_loss_nothing_is_sent_twice_while_the_probe_waits_too() {
    let mut host = after_a_loss(copying());
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.take();
    host.pass(80.0);
    assert_eq!(probes(&host.take()), 1);
    host.tell(Event::ProbeEnded(NodeId(0), Outcome::TimedOut));
    host.pass(100.0);
    assert_eq!(host.take(), []);
}

#[test]
fn without_a_loss_seen_lately_nothing_is_probed_or_copied() {
    let mut host = Host::new(copying(), 1);
    host.warm_up(1000, 0, 20.0);
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.take();
    host.pass(150.0);
    assert_eq!(host.take(), []);
}

#[test]
fn with_one_attempt_out_at_a_time_the_lost_one_is_called_off_first() {
    let mut host = after_a_loss(settings());
    let first = arrival(10, Some(0), host.now + 1500.0);
    overtaken(&mut host, first);
    host.pass(100.0);
    let cancel = Action::Cancel { request: RequestId(10), attempt: AttemptNo(0) };
    assert!(host.take().contains(&cancel));
    host.end(10, 0, Outcome::Cancelled, 125.0);
    assert_eq!(host.sends(), [(10, 0)]);
}

#[test]
fn what_must_never_run_twice_is_neither_copied_nor_called_off() {
    for max_concurrent_attempts in [1, 2] {
        let mut s = Settings { max_concurrent_attempts, ..copying() };
        s.classes[1].effect = Effect::AtMostOnce;
        let mut host = after_a_loss(s);
        let first = Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 1500.0) };
        overtaken(&mut host, first);
        host.pass(800.0);
        let actions = host.take();
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Send { .. } | Action::Cancel { .. })),
            "{actions:?}"
        );
        host.end(10, 0, Outcome::Error, 830.0);
        assert!(failed(&host.take(), 10), "its final answer comes at once");
    }
}

#[test]
fn a_lost_answer_is_no_word_of_a_queue() {
    let mut host = Host::new(settings(), 3);
    for id in 0..9 {
        host.warm_up(1000 + id, (id % 3) as i64, 20.0);
    }
    // All three nodes owe an answer that will not come; a queue of a second would refuse what has less time.
    for id in 0..3 {
        host.arrive(arrival(id, Some(id as i64), host.now + 1500.0));
    }
    host.take();
    host.pass(900.0);
    host.arrive(arrival(10, Some(0), host.now + 500.0));
    let actions = host.take();
    assert!(!refused(&actions, 10), "{actions:?}");
}

#[test]
fn lags_that_come_out_longer_than_expected_lengthen_what_is_expected() {
    let takes = |latency: Millis, after: Millis| {
        let mut host = Host::new(settings(), 20);
        for id in 0..12 {
            host.warm_up(1000 + id, id as i64, 20.0);
        }
        // Each at a node of its own: by most nodes' word there is no queue.
        for id in 0..3 {
            host.warm_up(2000 + id, 12 + id as i64, latency);
        }
        host.pass(after);
        host.arrive(arrival(10, Some(19), host.now + 45.0));
        !refused(&host.take(), 10)
    };
    assert!(takes(20.0, 5.0), "as expected: it is tried");
    assert!(!takes(160.0, 5.0), "eight times as long as expected: it can't be answered in 45 ms");
    assert!(takes(160.0, 8000.0), "where no answer comes the ratio fades, or it would refuse for ever");
}

#[test]
fn what_a_cold_nodes_part_would_not_let_go_in_time_is_refused_at_once() {
    let s = Settings { initiators: 2000, ..settings() };
    let mut host = Host::new(s, 1);
    let booted = host.now - 100.0;
    host.list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(booted))]);
    host.arrive(Arrival { units: 8.0, ..arrival(1, Some(0), host.now + 1500.0) });
    host.pass(20.0);
    assert!(refused(&host.take(), 1), "thousands of hosts: its turn comes minutes later");
}

#[test]
fn what_the_limit_would_not_let_go_in_time_is_refused_at_once() {
    let mut s = settings();
    s.plans[0] = Plan { limit_rate: 2.0, limit_burst: 40.0, ..plan(0.0) };
    let mut host = Host::new(s, 1);
    host.warm_up(1000, 0, 10.0);
    host.pass(600.0);
    host.arrive(Arrival { units: 8.0, ..arrival(1, Some(0), host.now + 1500.0) });
    host.arrive(arrival(2, Some(0), host.now + 1500.0));
    host.pass(20.0);
    let actions = host.take();
    assert!(refused(&actions, 1), "four seconds of the limit: {actions:?}");
    assert!(!refused(&actions, 2), "one that the limit will let go waits: {actions:?}");
}

#[test]
fn new_objects_go_to_nodes_by_their_nominal_size() {
    let mut host = Host::new(settings(), 2);
    let sized = |node, size| NodeEntry { size, ..entry(node, Readiness::Serving, None) };
    host.list(ListScope::Full, vec![sized(0, 3.0), sized(1, 1.0)]);
    let mut sent = [0, 0];
    for id in 0..400 {
        host.arrive(arrival(id, None, host.now + 1500.0));
        for (id, node) in host.sends() {
            sent[node as usize] += 1;
            host.now += 20.0;
            host.end(id, 0, Outcome::Served, 20.0);
        }
    }
    assert!(sent[0] > 2 * sent[1] && sent[1] > 40, "{sent:?}");
}

#[test]
fn a_hurried_request_is_tried_where_it_has_a_chance() {
    let tries = |left: Millis| {
        let mut host = Host::new(settings(), 1);
        for id in 0..30 {
            host.warm_up(1000 + id, 0, 40.0);
        }
        host.arrive(Arrival { units: 3.0, ..arrival(1, Some(0), host.now + left) });
        !refused(&host.take(), 1)
    };
    assert!(tries(180.0), "200 ms of work are expected: it may well be done in 180");
    assert!(!tries(90.0));
}

#[test]
fn a_learnt_pace_is_taken_over_for_the_same_start_and_void_after_another() {
    let learnt = |booted, service_time| NodeEntry { service_time, ..entry(0, Readiness::Serving, booted) };
    let mut host = Host::new(settings(), 0);
    host.list(ListScope::Cached, vec![learnt(None, Some(70.0))]);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), Some(70.0));
    host.list(ListScope::Full, vec![learnt(None, None)]);
    assert_eq!(
        host.scheduler.service_time_of(NodeId(0)),
        Some(70.0),
        "the service tells none: what was learnt stays"
    );
    host.list(ListScope::Changes, vec![learnt(Some(host.now), None)]);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), None, "another start: learnt afresh");
}

#[test]
fn a_copy_that_fails_ends_nothing_while_the_first_attempt_is_out() {
    let mut s = copying();
    s.max_attempts = 2;
    let mut host = after_a_loss(s);
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.pass(80.0);
    host.tell(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.pass(80.0);
    host.take();
    host.end(10, 1, Outcome::Error, 5.0);
    assert_eq!(host.take(), [], "the first may still be answered");
    host.end(10, 0, Outcome::Error, 200.0);
    assert!(refused(&host.take(), 10), "both failed, and no third is allowed");
}

#[test]
fn a_lost_attempt_keeps_no_place_under_its_nodes_bound() {
    let sent_at_once = |answered: bool| {
        let mut s = copying();
        s.classes[1].effect = Effect::AtMostOnce;
        let mut host = after_a_loss(s);
        let first = Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 3000.0) };
        overtaken(&mut host, first);
        host.pass(10.0);
        if answered {
            host.end(10, 0, Outcome::Served, 35.0);
        }
        host.pass(100.0);
        host.take();
        for id in 20..40 {
            host.arrive(arrival(id, Some(0), host.now + 3000.0));
        }
        host.sends().len()
    };
    assert_eq!(sent_at_once(false), sent_at_once(true));
}
