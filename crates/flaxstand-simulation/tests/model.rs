//! Resource model of an emulated node: cores, stalls, warm-up, cached keys.

use flaxstand_gateway::machine::Micros;
use flaxstand_simulation::model::{Job, Model, Spec};

fn spec() -> Spec {
    Spec {
        cores: 1.0,
        speed: 1.0,
        slots: 1,
        queue: 1_000_000,
        initial_capacity: 0.2,
        warm_after: Micros(10_000_000),
        warm_by_work: false,
        thrash: 0.0,
        thrash_at: 4.0,
        seek: 0.5,
        cached_keys: 2,
        deferred_share: 0.0,
        deferral_interval: Micros(1_000_000),
        overload_multiple: 4.0,
        slow_start_window: Micros(1_000_000),
        overload_min_work: 0.0,
    }
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, key: None, write: false }
}

#[test]
fn requests_are_served_in_order_at_the_speed_of_the_core() {
    let mut m = Model::new(spec(), false, Micros(0));
    assert!(m.accept(job(1, 1000.0), Micros(0)) && m.accept(job(2, 500.0), Micros(0)));
    assert_eq!(m.advance(Micros(999)), [0u64; 0]);
    assert_eq!(m.next(Micros(999)), Some(Micros(1000)));
    assert_eq!(m.advance(Micros(1500)), [1, 2]);
}

#[test]
fn a_stalled_node_resumes_its_requests_after_the_stall() {
    let mut m = Model::new(spec(), false, Micros(0));
    m.accept(job(1, 1000.0), Micros(0));
    m.advance(Micros(400));
    m.stall(Micros(5000), Micros(400));
    assert!(m.advance(Micros(5400)).is_empty());
    assert_eq!(m.advance(Micros(6000)), [1]);
}

#[test]
fn a_cold_node_warms_up_and_fails_under_overload() {
    let mut m = Model::new(spec(), true, Micros(0));
    // A fifth of the warm-up: power 0.2 at its start, 0.36 at its end.
    m.accept(job(1, 7e5), Micros(0));
    m.advance(Micros(2_000_000));
    let left = m.first_work_left().unwrap();
    assert!((left - (7e5 - 5.6e5)).abs() < 1000.0, "{left} us of work left, expected 140000");
    assert!(!m.overloaded());
    m.accept(job(2, 3e6), Micros(2_000_000));
    assert!(m.overloaded(), "three seconds of work at once exceed the overload limit");
}

#[test]
fn cached_keys_save_work_and_deferred_writes_are_executed() {
    let mut m = Model::new(Spec { deferred_share: 0.5, ..spec() }, false, Micros(0));
    let keyed = |id, key| Job { id, work: 1000.0, key: Some(key), write: false };
    m.accept(keyed(1, 7), Micros(0));
    m.accept(keyed(2, 7), Micros(0));
    assert_eq!(m.advance(Micros(1500)), [1, 2]);
    m.accept(Job { id: 3, work: 1000.0, key: None, write: true }, Micros(1500));
    assert_eq!(m.advance(Micros(2000)), [3]);
    m.advance(Micros(1_000_001));
    m.accept(job(4, 100.0), Micros(1_000_001));
    assert!(m.advance(Micros(1_000_101)).is_empty(), "the job shares its core with the deferred work");
    assert_eq!(m.advance(Micros(1_000_201)), [4]);
}

#[test]
fn completed_work_shortens_the_warm_up() {
    let mut m =
        Model::new(Spec { warm_by_work: true, warm_after: Micros(1_000_000), ..spec() }, true, Micros(0));
    m.accept(job(1, 7e5), Micros(0));
    m.advance(Micros(500_000));
    let by_time = 0.2 + 0.8 * 0.5;
    assert!(m.warmth(Micros(500_000)) >= by_time);
    let mut busy = Model::new(Spec { warm_by_work: true, cores: 4.0, slots: 4, ..spec() }, true, Micros(0));
    (1..=4).for_each(|id| assert!(busy.accept(job(id, 7e5), Micros(0))));
    busy.advance(Micros(1_000_000));
    let idle = Model::new(Spec { warm_by_work: true, cores: 4.0, slots: 4, ..spec() }, true, Micros(0));
    assert!(busy.warmth(Micros(1_000_000)) > idle.warmth(Micros(1_000_000)) + 0.01);
}

#[test]
fn overload_and_handshakes_take_power() {
    let mut m = Model::new(Spec { thrash: 0.5, thrash_at: 2.0, ..spec() }, false, Micros(0));
    (1..=4).for_each(|id| assert!(m.accept(job(id, 1000.0), Micros(0))));
    // Four requests on one core are twice the threshold, so half of the power is lost.
    assert_eq!(m.next(Micros(0)), Some(Micros(2000)));
    let mut m = Model::new(spec(), false, Micros(0));
    m.add_overhead(500.0, Micros(0));
    m.accept(job(1, 1000.0), Micros(0));
    assert!(m.advance(Micros(1000)).is_empty());
    assert_eq!(m.advance(Micros(1500)), [1]);
}

/// Returns the mean time in the system and the mean number in it, for Poisson arrivals and exponential work.
fn queue(cores: f64, gap: f64, work: f64) -> (f64, f64) {
    use rand_core::SeedableRng;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let mut exp = |mean: f64| -mean * (1.0 - flaxstand_simulation::random(&mut rng)).ln();
    let mut m = Model::new(Spec { cores, slots: cores as usize, ..spec() }, false, Micros(0));
    let (mut at, mut total, mut area, mut last, count) = (0.0, 0.0, 0.0, 0.0, 40_000u64);
    let mut started = std::collections::BTreeMap::new();
    let mut until = |m: &mut Model, until: Micros, started: &mut std::collections::BTreeMap<u64, f64>| {
        while let Some(next) = m.next(m.advanced_to()).filter(|n| *n <= until) {
            area += started.len() as f64 * (next.0 as f64 - last);
            last = next.0 as f64;
            for id in m.advance(next) {
                total += next.0 as f64 - started.remove(&id).unwrap_or(0.0);
            }
        }
        area += started.len() as f64 * (until.0 as f64 - last);
        last = until.0 as f64;
        for id in m.advance(until) {
            total += until.0 as f64 - started.remove(&id).unwrap_or(0.0);
        }
    };
    for id in 0..count {
        at += exp(gap);
        until(&mut m, Micros(at as u64), &mut started);
        started.insert(id, at);
        m.accept(job(id, exp(work)), Micros(at as u64));
    }
    until(&mut m, Micros(at as u64 + 10_000_000), &mut started);
    assert!(started.is_empty());
    (total / count as f64, area / at)
}

#[test]
fn queueing_times_and_lengths_match_theory() {
    // M/M/1: 1 / (mu - lambda).
    let (time, number) = queue(1.0, 2000.0, 1000.0);
    assert!((1900.0..2100.0).contains(&time), "mean time {time} us, expected 2000 us");
    // Little's law: the number in the system is the arrival rate times the time in it.
    assert!((number - time / 2000.0).abs() < 0.02 * number, "{number} in the system, {time} us in it");
    // M/M/2 at a load of 0.75: work / (1 - load^2).
    let (time, _) = queue(2.0, 1000.0, 1500.0);
    let theory = 1500.0 / (1.0 - 0.75 * 0.75);
    assert!((time / theory - 1.0).abs() < 0.06, "mean time {time} us, expected {theory} us");
}
