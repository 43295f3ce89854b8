//! Lost responses, clients with short deadlines, and nodes of different sizes.

mod common;

use common::*;
use flaxstand::api::*;

fn hedging_settings() -> Settings {
    Settings { max_concurrent_attempts: 2, may_probe: true, ..settings() }
}

/// Sends a request, and a later one whose response arrives first.
fn send_and_overtake(host: &mut Host, first: Arrival) {
    let later = first.id.0 + 1;
    host.arrive(first);
    host.now += 5.0;
    host.arrive(arrival(later, Some(0), host.now + 1500.0));
    host.take_actions();
    host.now += 20.0;
    host.end_attempt(later, 0, Outcome::Served, 20.0);
}

/// Returns a host with one node and a recent loss: the response to a later request arrived, that to the first
/// one did not.
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
    let mut host = after_a_loss(hedging_settings());
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    assert_eq!(host.take_sends(), [(10, 0)]);
    host.advance(80.0);
    assert_eq!(
        probes(&host.take_actions()),
        1,
        "an attempt in flight for longer than its service time triggers a probe"
    );
    host.handle(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.handle(Event::Evaluate);
    assert_eq!(host.take_sends(), [], "the attempt had started by then and may still be served");
    host.advance(80.0);
    assert_eq!(host.take_sends(), [(10, 0)]);
    host.end_attempt(10, 1, Outcome::Served, 20.0);
    assert_eq!(host.take_actions(), [Action::Cancel { request: RequestId(10), attempt: AttemptNo(0) }]);
}

#[test]
fn a_queue_is_not_mistaken_for_a_lost_response_while_the_probe_is_queued_too() {
    let mut host = after_a_loss(hedging_settings());
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
    let mut host = Host::new(hedging_settings(), 1);
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
fn an_at_most_once_request_is_neither_hedged_nor_cancelled() {
    for max_concurrent_attempts in [1, 2] {
        let mut settings = Settings { max_concurrent_attempts, ..hedging_settings() };
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
        assert!(is_failed(&host.take_actions(), 10), "the request fails immediately, without a retry");
    }
}

#[test]
fn a_lost_response_is_not_reported_as_queue_delay() {
    let mut host = Host::new(settings(), 3);
    for id in 0..9 {
        host.serve_one(1000 + id, (id % 3) as i64, 20.0);
    }
    // The responses of all three nodes are lost. If they were reported as a queue delay of a second, a
    // request with less time would be rejected.
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
fn high_latencies_raise_the_expected_latency_until_they_decay() {
    let is_accepted = |latency: Millis, after: Millis| {
        let mut host = Host::new(settings(), 20);
        for id in 0..12 {
            host.serve_one(1000 + id, id as i64, 20.0);
        }
        // Each at a different node, so that most nodes report no queue.
        for id in 0..3 {
            host.serve_one(2000 + id, 12 + id as i64, latency);
        }
        host.advance(after);
        host.arrive(arrival(10, Some(19), host.now + 45.0));
        !is_rejected(&host.take_actions(), 10)
    };
    assert!(is_accepted(20.0, 5.0), "latencies are as expected: the request is not rejected");
    assert!(!is_accepted(160.0, 5.0), "latencies are eight times as long as expected: 45 ms are not enough");
    assert!(
        is_accepted(160.0, 8000.0),
        "without responses the ratio decays, otherwise requests would be rejected forever"
    );
}

#[test]
fn a_request_that_slow_start_would_hold_too_long_is_rejected_at_once() {
    let settings = Settings { initiators: 2000, ..settings() };
    let mut host = Host::new(settings, 1);
    let started_at = host.now - 100.0;
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(started_at))]);
    host.arrive(Arrival { units: 8.0, ..arrival(1, Some(0), host.now + 1500.0) });
    host.advance(20.0);
    assert!(
        is_rejected(&host.take_actions(), 1),
        "with thousands of initiators, slow start would hold the request for minutes"
    );
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
    assert!(is_rejected(&actions, 1), "the limit would hold request 1 for four seconds: {actions:?}");
    assert!(!is_rejected(&actions, 2), "the limit allows request 2 in time, so it waits: {actions:?}");
}

#[test]
fn new_objects_go_to_nodes_by_their_nominal_size() {
    let mut host = Host::new(settings(), 2);
    let entry_with_size = |node, size| NodeEntry { size, ..entry(node, Readiness::Serving, None) };
    host.apply_list(ListScope::Full, vec![entry_with_size(0, 3.0), entry_with_size(1, 1.0)]);
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
fn a_request_with_little_time_is_sent_if_it_may_succeed() {
    let is_accepted = |time_left: Millis| {
        let mut host = Host::new(settings(), 1);
        for id in 0..30 {
            host.serve_one(1000 + id, 0, 40.0);
        }
        host.arrive(Arrival { units: 3.0, ..arrival(1, Some(0), host.now + time_left) });
        !is_rejected(&host.take_actions(), 1)
    };
    assert!(is_accepted(180.0), "the expected latency is 200 ms: 180 ms may be enough");
    assert!(!is_accepted(90.0), "the expected latency is 200 ms: 90 ms are not enough");
}

#[test]
fn a_measured_service_time_is_kept_for_the_same_process_and_reset_for_another() {
    let listed_entry =
        |started_at, service_time| NodeEntry { service_time, ..entry(0, Readiness::Serving, started_at) };
    let mut host = Host::new(settings(), 0);
    host.apply_list(ListScope::Cached, vec![listed_entry(None, Some(70.0))]);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), Some(70.0));
    host.apply_list(ListScope::Full, vec![listed_entry(None, None)]);
    assert_eq!(
        host.scheduler.service_time_of(NodeId(0)),
        Some(70.0),
        "the list contains no service time: the measured value is kept"
    );
    host.apply_list(ListScope::Changes, vec![listed_entry(Some(host.now), None)]);
    assert_eq!(
        host.scheduler.service_time_of(NodeId(0)),
        None,
        "the process changed: the measured value is reset"
    );
}

#[test]
fn a_failed_hedged_attempt_does_not_end_the_request_while_the_first_is_in_flight() {
    let mut settings = hedging_settings();
    settings.max_attempts = 2;
    let mut host = after_a_loss(settings);
    host.arrive(arrival(10, Some(0), host.now + 1500.0));
    host.advance(80.0);
    host.handle(Event::ProbeEnded(NodeId(0), Outcome::Served));
    host.advance(80.0);
    host.take_actions();
    host.end_attempt(10, 1, Outcome::Error, 5.0);
    assert_eq!(host.take_actions(), [], "the first attempt may still be served");
    host.end_attempt(10, 0, Outcome::Error, 200.0);
    assert!(is_rejected(&host.take_actions(), 10), "both attempts failed and no third one is allowed");
}

#[test]
fn a_lost_attempt_does_not_count_against_the_concurrency_limit() {
    let sent_at_once = |first_is_served: bool| {
        let mut settings = hedging_settings();
        settings.classes[1].effect = Effect::AtMostOnce;
        let mut host = after_a_loss(settings);
        let first = Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 3000.0) };
        send_and_overtake(&mut host, first);
        host.advance(10.0);
        if first_is_served {
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
