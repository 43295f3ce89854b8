//! Each rule that the module keeps: a test fails when its guard is taken out.

mod common;

use common::*;
use flaxstand::api::*;

fn keyed(group: DeduplicationScope, window: Millis) -> Settings {
    let mut s = settings();
    s.classes[0].effect = Effect::IdempotencyKey { group, window };
    s
}

#[test]
fn a_request_never_sent_is_given_up_by_half_of_its_clients_time() {
    let mut host = Host::new(settings(), 0);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    host.pass(370.0);
    assert_eq!(host.take(), []);
    host.pass(29.0);
    assert!(refused(&host.take(), 1));
    host.pass(500.0);
    assert_eq!(host.take(), [], "one final answer, nothing after it");
}

#[test]
fn a_held_request_that_was_sent_is_answered_before_its_client_leaves() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 800.0));
    assert_eq!(host.sends(), [(1, 0)]);
    host.list(ListScope::Full, Vec::new());
    host.end(1, 0, Outcome::Rejected, 5.0);
    host.pass(760.0);
    assert_eq!(host.take(), []);
    host.pass(34.0);
    assert!(refused(&host.take(), 1));
}

#[test]
fn a_node_that_left_the_list_leaves_nothing_behind() {
    let mut host = Host::new(settings(), 1);
    host.warm_up(1, 0, 20.0);
    assert!(host.scheduler.service_time_of(NodeId(0)).is_some());
    // A new object that was drawn for it waits on when all are gone.
    host.list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    host.arrive(arrival(2, None, host.now + 800.0));
    host.pass(20.0);
    host.list(ListScope::Full, Vec::new());
    host.pass(20.0);
    assert_eq!(host.scheduler.service_time_of(NodeId(0)), None);
    host.list(ListScope::Full, vec![entry(1, Readiness::Serving, None)]);
    host.pass(20.0);
    assert_eq!(host.sends(), [(2, 1)]);
}

#[test]
fn a_time_out_at_the_clients_deadline_is_answered_at_once() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 400.0));
    assert_eq!(host.sends(), [(1, 0)]);
    host.now += 400.0;
    host.end(1, 0, Outcome::TimedOut, 400.0);
    assert_eq!(host.take(), [Action::Fail { request: RequestId(1) }]);
}

#[test]
fn nothing_is_sent_for_a_request_that_its_client_left() {
    let mut host = Host::new(settings(), 1);
    host.tell(Event::RequestArrived(arrival(1, Some(0), host.now + 400.0)));
    host.tell(Event::ClientGone(RequestId(1)));
    host.pass(500.0);
    assert_eq!(host.take(), []);
}

#[test]
fn attempts_of_a_request_are_never_out_together_and_stay_within_the_cap() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 1500.0));
    for attempt in 0..3 {
        host.pass(100.0);
        assert_eq!(host.sends(), [(1, 0)], "attempt {attempt}");
        host.end(1, attempt, Outcome::Error, 5.0);
    }
    assert!(refused(&host.take(), 1), "no attempt is left: the answer comes at once");
}

#[test]
fn a_draining_or_absent_node_gets_nothing_new() {
    let mut host = Host::new(settings(), 2);
    host.list(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    assert_eq!(host.sends(), []);
    host.list(ListScope::Full, vec![entry(0, Readiness::Serving, None)]);
    host.arrive(arrival(2, Some(1), host.now + 300.0));
    assert_eq!(host.sends(), [(1, 0)], "back in the list; node 1 is absent from it");
    host.list(ListScope::Failed, vec![]);
    host.end(1, 0, Outcome::Served, 20.0);
    host.arrive(arrival(3, Some(0), host.now + 300.0));
    assert_eq!(host.sends(), [(3, 0)], "a failed call changes nothing");
}

#[test]
fn a_successor_takes_over_its_shard() {
    let mut host = Host::new(settings(), 1);
    let successor =
        NodeEntry { shard: ShardId(0), ..entry(9, Readiness::Serving, Some(host.now - 50_000.0)) };
    host.list(ListScope::Changes, vec![entry(0, Readiness::Removed, None), successor]);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    assert_eq!(host.sends(), [(1, 9)]);
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_and_again_after_a_failure() {
    let mut s = settings();
    s.polls_list = true;
    let mut host = Host::new(s, 1);
    host.tell(Event::Evaluate);
    assert_eq!(host.take(), [Action::PollList]);
    host.pass(1000.0);
    assert_eq!(host.take(), []);
    host.list(ListScope::Failed, vec![]);
    host.pass(5000.0);
    assert_eq!(host.take(), [Action::PollList]);
}

/// Plays a cold node that answers each attempt with `outcome` after `latency`, and returns the most units
/// that this host sent it within any second.
fn most_sent_cold(outcome: Outcome, latency: Millis) -> f64 {
    let mut host = Host::new(settings(), 2);
    for id in 0..20 {
        host.warm_up(1000 + id, 1, 20.0);
    }
    host.list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(host.now))]);
    let (mut sends, mut out): (Vec<Millis>, Vec<(Millis, u64, u32)>) = (vec![], vec![]);
    let mut attempts = std::collections::BTreeMap::new();
    for id in 0..600 {
        host.arrive(arrival(id, Some(0), host.now + 1500.0));
        host.pass(5.0);
        for (id, node) in host.sends() {
            assert_eq!(node, 0);
            let attempt = attempts.entry(id).or_insert(0);
            sends.push(host.now);
            out.push((host.now + latency, id, *attempt));
            *attempt += 1;
        }
        let now = host.now;
        for (_, id, attempt) in out.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>() {
            host.end(id, attempt, outcome, latency);
        }
    }
    let within = |at: &Millis| sends.iter().filter(|s| *s >= at && **s < at + 1000.0).count();
    sends.iter().map(within).max().unwrap_or(0) as f64
}

#[test]
fn a_cold_node_gets_at_most_this_hosts_part_even_when_it_rejects_fast() {
    // A node that turned requests away as full is not asked again within the aim, cold or not.
    for (outcome, latency, least) in [(Outcome::Served, 20.0, 2.0), (Outcome::Rejected, 1.0, 1.0)] {
        let most = most_sent_cold(outcome, latency);
        // 4 x its capacity three seconds after the start (0.44), at 20 ms a unit, halved for two hosts.
        assert!(most >= least && most <= 4.0 * 0.44 * 1000.0 / 20.0 / 2.0, "{outcome:?}: {most}");
    }
}

/// Most units that `hosts` hosts together send within a second to a node that has just started, when every
/// host has requests for it all the time; each of them uses `used` of ten nodes.
fn most_sent_cold_by_all(hosts: u32, used: u32) -> f64 {
    let s = Settings { initiators: hosts, plans: vec![plan(1000.0)], ..settings() };
    let users = u64::from((hosts * used).div_ceil(10));
    let mut sends: Vec<Millis> = vec![];
    for seed in 0..users {
        let mut host = Host::seeded(s.clone(), 10, seed);
        host.pass(5000.0);
        for id in 0..u64::from(used) {
            host.warm_up(1_000_000 + id, id as i64, 20.0);
        }
        host.list(ListScope::Changes, vec![entry(0, Readiness::Serving, Some(host.now))]);
        let started = host.now;
        for id in 0..40 {
            host.arrive(arrival(id, Some(0), host.now + 1500.0));
            host.arrive(arrival(1000 + id, Some((id % u64::from(used)) as i64), host.now + 1500.0));
            host.now += 70.0;
            host.pass(5.0);
            for (id, node) in host.sends() {
                sends.extend((node == 0).then_some(host.now - started));
                host.end(id, 0, Outcome::Served, 20.0);
            }
        }
    }
    let within = |at: &Millis| sends.iter().filter(|s| *s >= at && **s < at + 1000.0).count();
    sends.iter().map(within).max().unwrap_or(0) as f64
}

#[test]
fn one_few_or_hundreds_of_hosts_together_never_push_a_cold_node_over() {
    for (hosts, used) in [(1, 10), (3, 10), (30, 10), (30, 3), (300, 10), (300, 3)] {
        let most = most_sent_cold_by_all(hosts, used);
        // 4 x its capacity four seconds after the start (0.52), at 20 ms a unit.
        assert!((1.0..=4.0 * 0.52 * 1000.0 / 20.0).contains(&most), "{hosts} hosts, {used}: {most}");
    }
}

/// Units that `hosts` hosts together send within the first second to a warm node that was silent for a second and whose
/// connections then break at one moment: it comes back cold, and no list tells of it yet. Each host has one attempt
/// out there, which may go again, and three more requests held.
fn most_sent_back_by_all(hosts: u32) -> f64 {
    let s = Settings { initiators: hosts, ..settings() };
    let mut sends: Vec<Millis> = vec![];
    for seed in 0..u64::from(hosts) {
        let mut host = Host::seeded(s.clone(), 10, seed);
        host.pass(5000.0);
        (0..10).for_each(|id| host.warm_up(1_000_000 + id, id as i64, 20.0));
        host.arrive(arrival(1, Some(0), host.now + 6000.0));
        assert_eq!(host.sends(), [(1, 0)]);
        host.pass(900.0);
        (2..5).for_each(|id| host.arrive(arrival(id, Some(0), host.now + 6000.0)));
        host.pass(100.0);
        let canaries = host.sends();
        assert!(canaries.len() <= 1);
        host.end(1, 0, Outcome::Reset, 1000.0);
        canaries.iter().for_each(|(id, _)| host.end(*id, 0, Outcome::Reset, 100.0));
        let back = host.now;
        let before = sends.len();
        while host.now < back + 1000.0 || host.now < back + 5000.0 && sends.len() == before {
            sends.extend(host.sends().iter().map(|_| host.now - back));
            host.pass(10.0);
        }
        assert!(sends.len() > before, "it is used again if no list ever tells");
    }
    sends.iter().filter(|at| **at < 1000.0).count() as f64
}

#[test]
fn hundreds_of_hosts_do_not_push_over_what_comes_back_before_the_list_tells() {
    for hosts in [30, 150] {
        let most = most_sent_back_by_all(hosts);
        // 4 x its capacity within the second after its start (0.28), at 20 ms a unit.
        assert!(most <= 4.0 * 0.28 * 1000.0 / 20.0, "{hosts} hosts: {most}");
    }
}

/// Seen: taken for just started after failures, a node of a small fleet whose answers came spoilt twice was left
/// nearly unused for two seconds (rude+garble+fleet 0.99 to 0.84).
#[test]
fn a_node_that_failed_twice_and_answers_is_not_taken_for_one_that_has_just_started() {
    let mut host = Host::new(Settings { initiators: 30, ..settings() }, 1);
    (0..5).for_each(|id| host.warm_up(100 + id, 0, 20.0));
    host.arrive(arrival(1, Some(0), host.now + 1400.0));
    (0..2).for_each(|attempt| host.end(1, attempt, Outcome::Error, 5.0));
    host.pass(60.0);
    host.end(1, 2, Outcome::Served, 20.0);
    host.take();
    (2..6).for_each(|id| {
        host.arrive(arrival(id, Some(0), host.now + 1400.0));
        assert_eq!(host.sends(), [(id, 0)], "at once");
        host.end(id, 0, Outcome::Served, 20.0);
        host.take();
    });
}

#[test]
fn a_once_request_goes_again_only_when_it_never_ran() {
    let mut s = settings();
    s.classes[0].effect = Effect::AtMostOnce;
    let mut host = Host::new(s, 1);
    host.arrive(arrival(1, Some(0), host.now + 1500.0));
    host.end(1, 0, Outcome::ConnectFailed, 1.0);
    host.pass(100.0);
    assert_eq!(host.sends(), [(1, 0), (1, 0)]);
    host.end(1, 1, Outcome::Error, 5.0);
    host.pass(300.0);
    assert_eq!(host.take(), [Action::Fail { request: RequestId(1) }], "not refused: it may have run");
}

#[test]
fn a_keyed_request_stays_in_its_group_and_window() {
    let mut host = Host::new(keyed(DeduplicationScope::Shard, 300.0), 4);
    host.arrive(arrival(1, None, host.now + 1500.0));
    let first = host.sends()[0].1;
    host.end(1, 0, Outcome::Error, 5.0);
    host.pass(100.0);
    assert_eq!(host.sends(), [(1, first)], "the same cell");
    host.pass(150.0);
    host.end(1, 1, Outcome::Error, 250.0);
    host.pass(60.0);
    host.take();
    host.end(1, 2, Outcome::Error, 5.0);
    host.pass(2000.0);
    assert_eq!(host.sends(), [], "the window has passed");
}

#[test]
fn a_keyed_request_that_may_have_run_is_refused_only_if_all_nodes_drop_repeats() {
    for (group, refuse) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Shard, false),
    ] {
        let mut host = Host::new(keyed(group, 50.0), 2);
        host.arrive(arrival(1, Some(0), host.now + 400.0));
        host.tell(Event::EndpointList(ListScope::Changes, vec![entry(0, Readiness::Draining, None)]));
        host.end(1, 0, Outcome::Reset, 5.0);
        host.pass(390.0);
        let actions = host.take();
        assert_eq!((refused(&actions, 1), failed(&actions, 1)), (refuse, !refuse), "{group:?}");
    }
}

#[test]
fn requests_of_a_key_take_turns_and_the_key_rests_after_a_time_out() {
    let mut s = settings();
    s.classes[0].in_order = true;
    s.key_cooldown = 200.0;
    s.max_attempts = 1;
    let mut host = Host::new(s, 1);
    let with_key = |id, until| Arrival { key: Some(Key(5)), ..arrival(id, Some(0), until) };
    for id in [1, 2, 3] {
        host.arrive(with_key(id, host.now + 1500.0));
    }
    assert_eq!(host.sends(), [(1, 0)]);
    host.end(1, 0, Outcome::Served, 20.0);
    assert_eq!(host.sends(), [(2, 0)]);
    // The client leaves, but the attempt has no outcome yet: the turn does not pass on.
    host.tell(Event::ClientGone(RequestId(2)));
    host.pass(100.0);
    assert_eq!(host.sends(), []);
    host.end(2, 0, Outcome::Reset, 150.0);
    host.pass(195.0);
    assert_eq!(host.sends(), [], "the key rests");
    host.pass(10.0);
    assert_eq!(host.sends(), [(3, 0)]);
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings();
    s.retry_budget = Some(RetryBudget { floor: 2.0, ratio: 0.1, span: 60_000.0 });
    s.max_attempts = 50;
    s.plans = vec![plan(1000.0)];
    s.classes[1] = class(10_000.0, 10_000.0, 2.0, Effect::Idempotent);
    let mut host = Host::new(s, 1);
    let mut further = 0;
    for id in 0..10 {
        host.arrive(Arrival { class: ClassId(1), ..arrival(id, Some(0), host.now + 10_000.0) });
        for attempt in 0.. {
            host.pass(410.0);
            let sends = host.sends();
            if sends.is_empty() {
                break;
            }
            further += usize::from(attempt > 0);
            host.end(id, attempt, Outcome::Error, 1.0);
        }
        host.tell(Event::ClientGone(RequestId(id)));
    }
    assert_eq!(further, 3, "2 and a tenth of 10 requests");
}

#[test]
fn a_limit_is_kept_by_an_even_part_from_empty() {
    let mut s = settings();
    s.plans[0].limit_rate = 20.0;
    s.plans[0].limit_burst = 32.0;
    let mut host = Host::new(s, 1);
    let mut sent = 0.0;
    for id in 0..200 {
        host.arrive(Arrival { volume_initiators: 2, ..arrival(id, Some(0), host.now + 1500.0) });
        host.pass(20.0);
        for (id, _) in host.sends() {
            sent += 1.0;
            host.end(id, 0, Outcome::Served, 10.0);
        }
    }
    // Four seconds at half of 20 units a second.
    assert!((30.0..=40.0).contains(&sent), "{sent}");
}

#[test]
fn a_streamed_answer_that_started_belongs_to_the_client() {
    let mut host = Host::new(settings(), 1);
    host.arrive(arrival(1, Some(0), host.now + 300.0));
    host.take();
    host.tell(Event::ResponseStarted(RequestId(1)));
    host.pass(2000.0);
    assert_eq!(host.take(), [], "neither called off nor answered");
}
