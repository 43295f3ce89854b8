//! Normal operation: the draw of nodes, the send order, the concurrency limit.

mod common;

use common::*;
use flaxstand::api::*;

/// Returns the share of draws that each node gets for one new object after `prepare`, over many seeds.
fn draw_shares(nodes: u32, prepare: impl Fn(&mut Host)) -> Vec<f64> {
    let seeds = 4000;
    let mut counts = vec![0.0; nodes as usize];
    for seed in 0..seeds {
        let mut host = Host::seeded(settings(), nodes, seed);
        prepare(&mut host);
        host.take_actions();
        host.arrive(arrival(9999, None, host.now + 1500.0));
        for (_, node) in host.take_sends() {
            counts[node as usize] += 1.0 / seeds as f64;
        }
    }
    counts
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() < 0.03
}

#[test]
fn the_draw_is_even_when_nothing_was_sent_recently() {
    for share in draw_shares(4, |_| ()) {
        assert!(is_close(share, 0.25), "expected a share of 0.25, got {share}");
    }
}

#[test]
fn the_draw_follows_queue_term_times_usage_term() {
    let shares = draw_shares(2, |host| {
        for (id, shard) in [(1, 0), (2, 1), (3, 1)] {
            host.arrive(arrival(id, Some(shard), host.now + 1500.0));
            host.now += 1.0;
        }
        host.end_attempt(1, 0, Outcome::Served, 20.0);
        host.end_attempt(2, 0, Outcome::Served, 20.0);
    });
    // Node 0 has no attempts in flight and a third of the recent units. Node 1 has one of eight attempts in
    // flight and two thirds of the recent units.
    let (a, b) = (1.05f64.powf(-100.0 / 3.0), 0.875 * 1.05f64.powf(-200.0 / 3.0));
    assert!(is_close(shares[0], a / (a + b)), "{shares:?}");
}

#[test]
fn an_unmeasured_node_counts_as_average() {
    let shares = draw_shares(3, |host| {
        host.serve_one(1, 0, 20.0);
        host.serve_one(2, 1, 20.0);
    });
    for share in shares {
        assert!(is_close(share, 1.0 / 3.0), "an unmeasured node is not preferred: {share}");
    }
}

#[test]
fn a_warming_node_is_weighted_by_its_current_capacity() {
    let shares = draw_shares(2, |host| {
        let started_at = Some(host.now);
        host.apply_list(ListScope::Changes, vec![entry(1, Readiness::Serving, started_at)]);
    });
    assert!(is_close(shares[1], 0.2 / 1.2), "{shares:?}");
}

#[test]
fn held_requests_are_sent_earliest_due_first() {
    let mut host = Host::new(settings(), 1);
    for id in 0..4 {
        host.arrive(arrival(id, Some(0), host.now + 1500.0));
    }
    assert_eq!(host.take_sends().len(), 4);
    host.arrive(Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 3000.0) });
    host.now += 5.0;
    host.arrive(arrival(11, Some(0), host.now + 1500.0));
    host.arrive(arrival(12, Some(0), host.now + 1500.0));
    assert_eq!(host.take_sends(), [], "the concurrency limit is reached");
    let mut order = vec![];
    for id in 0..3 {
        host.end_attempt(id, 0, Outcome::Served, 5.0);
        order.extend(host.take_sends().into_iter().map(|(id, _)| id));
        host.now += 1.0;
    }
    assert_eq!(order[..3], [11, 12, 10]);
}

#[test]
fn attempts_in_flight_at_a_node_stay_within_the_concurrency_limit() {
    let mut host = Host::new(Settings { plans: vec![plan(1000.0)], ..settings() }, 1);
    let mut in_flight = std::collections::VecDeque::new();
    for id in 0..400 {
        host.arrive(arrival(id, Some(0), host.now + 1500.0));
        in_flight.extend(host.take_sends().into_iter().map(|(id, _)| id));
        assert!(in_flight.len() <= 8, "{} attempts in flight, at most 8 allowed", in_flight.len());
        host.now += 2.0;
        if id % 2 == 1
            && let Some(id) = in_flight.pop_front()
        {
            host.end_attempt(id, 0, Outcome::Served, 10.0);
            in_flight.extend(host.take_sends().into_iter().map(|(id, _)| id));
        }
    }
    assert_eq!(in_flight.len(), 8, "a node without queue delay reaches the maximum concurrency");
}

#[test]
fn the_same_events_produce_the_same_actions() {
    let run = || {
        let mut host = Host::new(settings(), 5);
        for id in 0..200 {
            host.arrive(arrival(id, (id % 3 == 0).then_some((id % 5) as i64), host.now + 1500.0));
            host.advance(3.0);
        }
        host.actions
    };
    assert_eq!(run(), run());
}
