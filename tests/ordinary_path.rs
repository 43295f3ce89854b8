//! The ordinary path: the draw, the order of sending, the concurrency limit.

mod common;

use common::*;
use flaxstand::api::*;

/// How often each node is drawn for one new object, over many seeds, after `prepare`.
fn draws(nodes: u32, prepare: impl Fn(&mut Host)) -> Vec<f64> {
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

fn near(got: f64, want: f64) -> bool {
    (got - want).abs() < 0.03
}

#[test]
fn the_draw_is_even_when_nothing_was_sent_recently() {
    for share in draws(4, |_| ()) {
        assert!(near(share, 0.25), "{share}");
    }
}

#[test]
fn the_draw_follows_queue_term_times_usage_term() {
    let shares = draws(2, |host| {
        for (id, shard) in [(1, 0), (2, 1), (3, 1)] {
            host.arrive(arrival(id, Some(shard), host.now + 1500.0));
            host.now += 1.0;
        }
        host.end_attempt(1, 0, Outcome::Served, 20.0);
        host.end_attempt(2, 0, Outcome::Served, 20.0);
    });
    // Node 0: none in flight, a third of the recent units. Node 1: one of eight in flight, two thirds of
    // them.
    let (a, b) = (1.05f64.powf(-100.0 / 3.0), 0.875 * 1.05f64.powf(-200.0 / 3.0));
    assert!(near(shares[0], a / (a + b)), "{shares:?}");
}

#[test]
fn an_unmeasured_node_counts_as_average() {
    let shares = draws(3, |host| {
        host.serve_one(1, 0, 20.0);
        host.serve_one(2, 1, 20.0);
    });
    for share in shares {
        assert!(near(share, 1.0 / 3.0), "an unmeasured node is not preferred: {share}");
    }
}

#[test]
fn a_warming_node_weighs_by_its_present_capacity() {
    let shares = draws(2, |host| {
        let booted = Some(host.now);
        host.apply_list(ListScope::Changes, vec![entry(1, Readiness::Serving, booted)]);
    });
    assert!(near(shares[1], 0.2 / 1.2), "{shares:?}");
}

#[test]
fn held_requests_leave_earliest_due_first() {
    let mut host = Host::new(settings(), 1);
    for id in 0..4 {
        host.arrive(arrival(id, Some(0), host.now + 1500.0));
    }
    assert_eq!(host.take_sends().len(), 4);
    host.arrive(Arrival { class: ClassId(1), ..arrival(10, Some(0), host.now + 3000.0) });
    host.now += 5.0;
    host.arrive(arrival(11, Some(0), host.now + 1500.0));
    host.arrive(arrival(12, Some(0), host.now + 1500.0));
    assert_eq!(host.take_sends(), [], "the concurrency limit holds them");
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
        assert!(in_flight.len() <= 8, "{}", in_flight.len());
        host.now += 2.0;
        if id % 2 == 1
            && let Some(id) = in_flight.pop_front()
        {
            host.end_attempt(id, 0, Outcome::Served, 10.0);
            in_flight.extend(host.take_sends().into_iter().map(|(id, _)| id));
        }
    }
    assert_eq!(in_flight.len(), 8, "a node that answers fast is used up to the maximum");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut host = Host::new(settings(), 5);
        for id in 0..200 {
            host.arrive(arrival(id, (id % 3 == 0).then_some((id % 5) as i64), host.now + 1500.0));
            host.advance(3.0);
        }
        host.actions
    };
    assert_eq!(play(), play());
}
