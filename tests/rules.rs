//! Safeguards of the module. Each test fails if its safeguard is removed.

mod common;

use common::*;
use flaxstand::api::*;

fn idempotency_key_settings(group: DeduplicationScope, window: Millis) -> Settings {
    let mut settings = settings();
    settings.classes[0].effect = Effect::IdempotencyKey { group, window };
    settings
}

#[test]
fn an_unsent_request_is_rejected_within_half_of_its_clients_time() {
    let mut host = Host::new(settings(), 0);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    host.advance(370.0);
    assert_eq!(host.take_actions(), []);
    host.advance(29.0);
    assert!(is_rejected(&host.take_actions(), 1));
    host.advance(500.0);
    assert_eq!(host.take_actions(), [], "exactly one final response");
}

#[test]
fn a_held_request_with_an_attempt_is_answered_before_its_client_times_out() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    assert_eq!(host.take_sends(), [(1, 0)]);
    host.apply_list(ListScope::Full, Vec::new());
    host.end_attempt(1, 0, Outcome::Rejected, 5.0);
    host.advance(760.0);
    assert_eq!(host.take_actions(), []);
    host.advance(34.0);
    assert!(is_rejected(&host.take_actions(), 1));
}

#[test]
fn a_removed_node_leaves_no_state() {
    let mut host = Host::new(settings(), 1);
    host.serve_one(1, 0, 20.0);
    assert!(host.scheduler.service_time_of(NodeId(0)).is_some());
    // A new object that was assigned to it stays held after all nodes are removed.
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    host.arrive(arrival(2, None, host.now + 800.0));
    host.advance(20.0);
    host.apply_list(ListScope::Full, Vec::new());
    host.advance(20.0);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), None);
    host.apply_list(ListScope::Full, vec![entry(1, Readiness::Serving, None)]);
    host.advance(20.0);
    assert_eq!(host.take_sends(), [(2, 1)]);
}

#[test]
fn a_timeout_at_the_clients_deadline_fails_the_request_at_once() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 400.0));
    assert_eq!(host.take_sends(), [(1, 0)]);
    host.now += 400.0;
    host.end_attempt(1, 0, Outcome::TimedOut, 400.0);
    assert_eq!(host.take_actions(), [Action::Fail { request: RequestId(1) }]);
}

#[test]
fn nothing_is_sent_after_the_client_disconnected() {
    let mut host = Host::new(settings(), 1);
    host.handle(Event::RequestArrived(arrival(1, Some(0), host.now + 400.0)));
    host.handle(Event::ClientDisconnected(RequestId(1)));
    host.advance(500.0);
    assert_eq!(host.take_actions(), []);
}

#[test]
fn attempts_of_a_request_never_overlap_and_stay_within_their_maximum() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 1500.0));
    for attempt in 0..3 {
        host.advance(100.0);
        assert_eq!(host.take_sends(), [(1, 0)], "attempt {attempt}");
        host.end_attempt(1, attempt, Outcome::Error, 5.0);
    }
    assert!(is_rejected(&host.take_actions(), 1), "all attempts are used: rejected immediately");
}

#[test]
fn a_draining_or_absent_node_gets_no_new_requests() {
    let mut host = Host::new(settings(), 2);
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    assert_eq!(host.take_sends(), []);
    host.apply_list(ListScope::Full, vec![entry(0, Readiness::Serving, None)]);
    host.arrive(arrival(2, Some(1), host.now + 300.0));
    assert_eq!(host.take_sends(), [(1, 0)], "node 0 is listed again, node 1 is absent");
    host.apply_list(ListScope::Failed, vec![]);
    host.end_attempt(1, 0, Outcome::Served, 20.0);
    host.arrive(arrival(3, Some(0), host.now + 300.0));
    assert_eq!(host.take_sends(), [(3, 0)], "a failed call leaves the list unchanged");
}

#[test]
fn a_successor_node_takes_over_the_shard() {
    let mut host = Host::new(settings(), 1);
    let successor =
        NodeEntry { shard: ShardId(0), ..entry(9, Readiness::Serving, Some(host.now - 50_000.0)) };
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Removed, None), successor]);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    assert_eq!(host.take_sends(), [(1, 9)]);
}

#[test]
fn a_polled_list_is_polled_at_the_start_and_again_after_a_failure() {
    let mut settings = settings();
    settings.polls_list = true;
    let mut host = Host::new(settings, 1);
    host.handle(Event::Evaluate);
    assert_eq!(host.take_actions(), [Action::PollList]);
    host.advance(1000.0);
    assert_eq!(host.take_actions(), []);
    host.apply_list(ListScope::Failed, vec![]);
    host.advance(5000.0);
    assert_eq!(host.take_actions(), [Action::PollList]);
}

/// Simulates a warming node that ends each attempt with `outcome` after `latency`. Returns the maximum number
/// of units that this initiator sends it within a second.
fn max_sent_while_warming(outcome: Outcome, latency: Millis) -> f64 {
    let mut host = Host::new(settings(), 2);
    for id in 0..20 {
        host.serve_one(1000 + id, 1, 20.0);
    }
    host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(host.now))]);
    let (mut sends, mut in_flight): (Vec<Millis>, Vec<(Millis, u64, u32)>) = (vec![], vec![]);
    let mut attempts = std::collections::BTreeMap::new();
    for id in 0..600 {
        host.arrive(arrival(id, Some(0), host.now + 1500.0));
        host.advance(5.0);
        for (id, node) in host.take_sends() {
            assert_eq!(node, 0);
            let attempt = attempts.entry(id).or_insert(0);
            sends.push(host.now);
            in_flight.push((host.now + latency, id, *attempt));
            *attempt += 1;
        }
        let now = host.now;
        for (_, id, attempt) in in_flight.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>() {
            host.end_attempt(id, attempt, outcome, latency);
        }
    }
    let within =
        |at: &Millis| sends.iter().filter(|sent_at| *sent_at >= at && **sent_at < at + 1000.0).count();
    sends.iter().map(within).max().unwrap_or(0) as f64
}

#[test]
fn a_warming_node_gets_at_most_this_initiators_share_even_when_it_rejects_immediately() {
    // A node that rejects requests because its queue is full gets no more for the duration of the latency
    // objective, warming up or not.
    for (outcome, latency, min_units) in [(Outcome::Served, 20.0, 2.0), (Outcome::Rejected, 1.0, 1.0)] {
        let max_units = max_sent_while_warming(outcome, latency);
        // 4 times its capacity three seconds after the start (0.44), at 20 ms per unit, halved for two
        // initiators.
        assert!(
            max_units >= min_units && max_units <= 4.0 * 0.44 * 1000.0 / 20.0 / 2.0,
            "{outcome:?}: {max_units} units within a second"
        );
    }
}

/// Returns the maximum number of units that `initiators` initiators together send within a second to a node
/// that has just started. Each of them always has requests for it and uses `used_nodes` of ten nodes.
fn max_sent_while_warming_by_all(initiators: u32, used_nodes: u32) -> f64 {
    let settings = Settings { initiators, plans: vec![plan(1000.0)], ..settings() };
    let active_initiators = u64::from((initiators * used_nodes).div_ceil(10));
    let mut sends: Vec<Millis> = vec![];
    for seed in 0..active_initiators {
        let mut host = Host::seeded(settings.clone(), 10, seed);
        host.advance(5000.0);
        for id in 0..u64::from(used_nodes) {
            host.serve_one(1_000_000 + id, id as i64, 20.0);
        }
        host.apply_list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(host.now))]);
        let started = host.now;
        for id in 0..40 {
            host.arrive(arrival(id, Some(0), host.now + 1500.0));
            host.arrive(arrival(1000 + id, Some((id % u64::from(used_nodes)) as i64), host.now + 1500.0));
            host.now += 70.0;
            host.advance(5.0);
            for (id, node) in host.take_sends() {
                sends.extend((node == 0).then_some(host.now - started));
                host.end_attempt(id, 0, Outcome::Served, 20.0);
            }
        }
    }
    let within =
        |at: &Millis| sends.iter().filter(|sent_at| *sent_at >= at && **sent_at < at + 1000.0).count();
    sends.iter().map(within).max().unwrap_or(0) as f64
}

#[test]
fn initiators_together_never_overload_a_warming_node() {
    for (initiators, used_nodes) in [(1, 10), (3, 10), (30, 10), (30, 3), (300, 10), (300, 3)] {
        let max_units = max_sent_while_warming_by_all(initiators, used_nodes);
        // 4 times its capacity four seconds after the start (0.52), at 20 ms per unit.
        assert!(
            (1.0..=4.0 * 0.52 * 1000.0 / 20.0).contains(&max_units),
            "{initiators} initiators, {used_nodes} nodes each: {max_units} units within a second"
        );
    }
}

/// Returns the units that `initiators` initiators together send within a second after connections to a warm
/// node break simultaneously. The node was unresponsive for a second and comes back cold, and no list reports
/// it yet. Each initiator has one attempt in flight there, which may be retried, and holds three more
/// requests.
fn sent_after_restart_by_all(initiators: u32) -> f64 {
    let settings = Settings { initiators, ..settings() };
    let mut sends: Vec<Millis> = vec![];
    for seed in 0..u64::from(initiators) {
        let mut host = Host::seeded(settings.clone(), 10, seed);
        host.advance(5000.0);
        (0..10).for_each(|id| host.serve_one(1_000_000 + id, id as i64, 20.0));
        host.arrive(arrival(1, Some(0), host.now + 6000.0));
        assert_eq!(host.take_sends(), [(1, 0)]);
        host.advance(900.0);
        (2..5).for_each(|id| host.arrive(arrival(id, Some(0), host.now + 6000.0)));
        host.advance(100.0);
        let trials = host.take_sends();
        assert!(trials.len() <= 1);
        host.end_attempt(1, 0, Outcome::Reset, 1000.0);
        trials.iter().for_each(|(id, _)| host.end_attempt(*id, 0, Outcome::Reset, 100.0));
        let reset_at = host.now;
        let before = sends.len();
        while host.now < reset_at + 1000.0 || host.now < reset_at + 5000.0 && sends.len() == before {
            sends.extend(host.take_sends().iter().map(|_| host.now - reset_at));
            host.advance(10.0);
        }
        assert!(sends.len() > before, "the node is used again even if no list reports the restart");
    }
    sends.iter().filter(|at| **at < 1000.0).count() as f64
}

#[test]
fn initiators_do_not_overload_a_restarted_node_before_the_list_reports_it() {
    for initiators in [30, 150] {
        let max_units = sent_after_restart_by_all(initiators);
        // 4 times its capacity a second after its start (0.28), at 20 ms per unit.
        assert!(
            max_units <= 4.0 * 0.28 * 1000.0 / 20.0,
            "{initiators} initiators: {max_units} units within a second"
        );
    }
}

/// Guards against leaving a node nearly unused for two seconds because two failed attempts are mistaken for a
/// restart.
#[test]
fn a_node_that_failed_twice_and_recovered_is_not_presumed_restarted() {
    let mut host = Host::new(Settings { initiators: 30, ..settings() }, 1);
    (0..5).for_each(|id| host.serve_one(100 + id, 0, 20.0));
    host.arrive(arrival(1, Some(0), host.now + 1400.0));
    (0..2).for_each(|attempt| host.end_attempt(1, attempt, Outcome::Error, 5.0));
    host.advance(60.0);
    host.end_attempt(1, 2, Outcome::Served, 20.0);
    host.take_actions();
    (2..6).for_each(|id| {
        host.arrive(arrival(id, Some(0), host.now + 1400.0));
        assert_eq!(host.take_sends(), [(id, 0)], "sent immediately");
        host.end_attempt(id, 0, Outcome::Served, 20.0);
        host.take_actions();
    });
}

#[test]
fn an_at_most_once_request_is_retried_only_when_it_was_not_executed() {
    let mut settings = settings();
    settings.classes[0].effect = Effect::AtMostOnce;
    let mut host = Host::new(settings, 1);
    host.arrive(arrival(1, Some(0), host.now + 1500.0));
    host.end_attempt(1, 0, Outcome::ConnectFailed, 1.0);
    host.advance(100.0);
    assert_eq!(host.take_sends(), [(1, 0), (1, 0)]);
    host.end_attempt(1, 1, Outcome::Error, 5.0);
    host.advance(300.0);
    assert_eq!(
        host.take_actions(),
        [Action::Fail { request: RequestId(1) }],
        "fails rather than being rejected, because it may have been executed"
    );
}

#[test]
fn a_request_with_idempotency_key_stays_in_its_scope_and_window() {
    let mut host = Host::new(idempotency_key_settings(DeduplicationScope::Shard, 300.0), 4);
    host.arrive(arrival(1, None, host.now + 1500.0));
    let first = host.take_sends()[0].1;
    host.end_attempt(1, 0, Outcome::Error, 5.0);
    host.advance(100.0);
    assert_eq!(host.take_sends(), [(1, first)], "the retry stays in the shard of the first attempt");
    host.advance(150.0);
    host.end_attempt(1, 1, Outcome::Error, 250.0);
    host.advance(60.0);
    host.take_actions();
    host.end_attempt(1, 2, Outcome::Error, 5.0);
    host.advance(2000.0);
    assert_eq!(host.take_sends(), [], "no retry after the end of the deduplication window");
}

#[test]
fn a_request_that_may_have_run_is_rejected_only_if_all_nodes_deduplicate() {
    for (scope, may_reject) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Shard, false),
    ] {
        let mut host = Host::new(idempotency_key_settings(scope, 50.0), 2);
        host.arrive(arrival(1, Some(0), host.now + 400.0));
        host.handle(Event::EndpointList(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]));
        host.end_attempt(1, 0, Outcome::Reset, 5.0);
        host.advance(390.0);
        let actions = host.take_actions();
        assert_eq!(
            (is_rejected(&actions, 1), is_failed(&actions, 1)),
            (may_reject, !may_reject),
            "{scope:?}"
        );
    }
}

#[test]
fn requests_of_a_key_run_one_at_a_time_with_a_cooldown_after_a_lost_attempt() {
    let mut settings = settings();
    settings.classes[0].in_order = true;
    settings.key_cooldown = 200.0;
    settings.max_attempts = 1;
    let mut host = Host::new(settings, 1);
    let with_key = |id, until| Arrival { key: Some(Key(5)), ..arrival(id, Some(0), until) };
    for id in [1, 2, 3] {
        host.arrive(with_key(id, host.now + 1500.0));
    }
    assert_eq!(host.take_sends(), [(1, 0)]);
    host.end_attempt(1, 0, Outcome::Served, 20.0);
    assert_eq!(host.take_sends(), [(2, 0)]);
    // The client disconnects, but its attempt is still in flight: the next request of the key must wait.
    host.handle(Event::ClientDisconnected(RequestId(2)));
    host.advance(100.0);
    assert_eq!(host.take_sends(), []);
    host.end_attempt(2, 0, Outcome::Reset, 150.0);
    host.advance(195.0);
    assert_eq!(host.take_sends(), [], "the key is in its cool-down");
    host.advance(10.0);
    assert_eq!(host.take_sends(), [(3, 0)]);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudget { floor: 2.0, ratio: 0.1, span: 60_000.0 });
    settings.max_attempts = 50;
    settings.plans = vec![plan(1000.0)];
    settings.classes[1] = class(10_000.0, 10_000.0, 2.0, Effect::Idempotent);
    let mut host = Host::new(settings, 1);
    let mut retries = 0;
    for id in 0..10 {
        host.arrive(Arrival { class: ClassId(1), ..arrival(id, Some(0), host.now + 10_000.0) });
        for attempt in 0.. {
            host.advance(410.0);
            let sends = host.take_sends();
            if sends.is_empty() {
                break;
            }
            retries += usize::from(attempt > 0);
            host.end_attempt(id, attempt, Outcome::Error, 1.0);
        }
        host.handle(Event::ClientDisconnected(RequestId(id)));
    }
    assert_eq!(retries, 3, "the floor of 2 plus a tenth of 10 requests");
}

#[test]
fn a_volume_limit_is_kept_by_an_even_share_from_an_empty_bucket() {
    let mut settings = settings();
    settings.plans[0].limit_rate = 20.0;
    settings.plans[0].limit_burst = 32.0;
    let mut host = Host::new(settings, 1);
    let mut sent = 0.0;
    for id in 0..200 {
        host.arrive(Arrival { volume_initiators: 2, ..arrival(id, Some(0), host.now + 1500.0) });
        host.advance(20.0);
        for (id, _) in host.take_sends() {
            sent += 1.0;
            host.end_attempt(id, 0, Outcome::Served, 10.0);
        }
    }
    // Four seconds at half of 20 units per second.
    assert!((30.0..=40.0).contains(&sent), "expected 30 to 40 units, sent {sent}");
}

#[test]
fn a_streaming_response_is_neither_cancelled_nor_answered() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    host.take_actions();
    host.handle(Event::ResponseStarted(RequestId(1)));
    host.advance(2000.0);
    assert_eq!(host.take_actions(), [], "a streaming response is neither cancelled nor answered");
}
