//! The model of an emulated node: cores, stalls, warming up, remembered keys.

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
        remembers: 2,
        put_off: 0.0,
        put_off_every: Micros(1_000_000),
        overload_multiple: 4.0,
        slow_start_window: Micros(1_000_000),
        fall_work: 0.0,
    }
}

fn job(id: u64, work: f64) -> Job {
    Job { id, work, key: None, write: false }
}

#[test]
fn requests_are_served_in_turn_at_the_cores_speed() {
    let mut m = Model::new(spec(), false, Micros(0));
    assert!(m.take(job(1, 1000.0), Micros(0)) && m.take(job(2, 500.0), Micros(0)));
    assert_eq!(m.advance(Micros(999)), [0u64; 0]);
    assert_eq!(m.next(Micros(999)), Some(Micros(1000)));
    assert_eq!(m.advance(Micros(1500)), [1, 2]);
}

#[test]
fn a_stalled_node_keeps_what_it_has_and_goes_on() {
    let mut m = Model::new(spec(), false, Micros(0));
    m.take(job(1, 1000.0), Micros(0));
    m.advance(Micros(400));
    m.stall(Micros(5000), Micros(400));
    assert!(m.advance(Micros(5400)).is_empty());
    assert_eq!(m.advance(Micros(6000)), [1]);
}

#[test]
fn a_cold_node_ramps_up_and_falls_when_pushed() {
    let mut m = Model::new(spec(), true, Micros(0));
    // A fifth of the ramp: 0.2 at its start, 0.36 at its end.
    m.take(job(1, 7e5), Micros(0));
    m.advance(Micros(2_000_000));
    let left = m.first_work_left().unwrap();
    assert!((left - (7e5 - 5.6e5)).abs() < 1000.0, "left {left}");
    assert!(!m.fell());
    m.take(job(2, 3e6), Micros(2_000_000));
    assert!(m.fell(), "three seconds of work at once is beyond what it bears");
}

#[test]
fn remembered_keys_save_work_and_writes_put_off_come_back() {
    let mut m = Model::new(Spec { put_off: 0.5, ..spec() }, false, Micros(0));
    let keyed = |id, key| Job { id, work: 1000.0, key: Some(key), write: false };
    m.take(keyed(1, 7), Micros(0));
    m.take(keyed(2, 7), Micros(0));
    assert_eq!(m.advance(Micros(1500)), [1, 2]);
    m.take(Job { id: 3, work: 1000.0, key: None, write: true }, Micros(1500));
    assert_eq!(m.advance(Micros(2000)), [3]);
    m.advance(Micros(1_000_001));
    m.take(job(4, 100.0), Micros(1_000_001));
    assert!(m.advance(Micros(1_000_101)).is_empty(), "shares its core with what was put off");
    assert_eq!(m.advance(Micros(1_000_201)), [4]);
}

#[test]
fn a_node_that_warms_by_work_is_warm_sooner_when_it_works() {
    let mut m =
        Model::new(Spec { warm_by_work: true, warm_after: Micros(1_000_000), ..spec() }, true, Micros(0));
    m.take(job(1, 7e5), Micros(0));
    m.advance(Micros(500_000));
    let by_time = 0.2 + 0.8 * 0.5;
    assert!(m.warmth(Micros(500_000)) >= by_time);
    let mut busy = Model::new(Spec { warm_by_work: true, cores: 4.0, slots: 4, ..spec() }, true, Micros(0));
    (1..=4).for_each(|id| assert!(busy.take(job(id, 7e5), Micros(0))));
    busy.advance(Micros(1_000_000));
    let idle = Model::new(Spec { warm_by_work: true, cores: 4.0, slots: 4, ..spec() }, true, Micros(0));
    assert!(busy.warmth(Micros(1_000_000)) > idle.warmth(Micros(1_000_000)) + 0.01);
}

#[test]
fn an_overfull_node_loses_power_and_a_handshake_takes_some() {
    let mut m = Model::new(Spec { thrash: 0.5, thrash_at: 2.0, ..spec() }, false, Micros(0));
    (1..=4).for_each(|id| assert!(m.take(job(id, 1000.0), Micros(0))));
    // Four held at one core: twice what it takes without loss, so half of its power is gone.
    assert_eq!(m.next(Micros(0)), Some(Micros(2000)));
    let mut m = Model::new(spec(), false, Micros(0));
    m.burden(500.0, Micros(0));
    m.take(job(1, 1000.0), Micros(0));
    assert!(m.advance(Micros(1000)).is_empty());
    assert_eq!(m.advance(Micros(1500)), [1]);
}

/// Mean time in the system, and mean number in it over time, of Poisson arrivals and exponential work.
fn queue(cores: f64, gap: f64, work: f64) -> (f64, f64) {
    use rand_core::SeedableRng;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(5);
    let mut exp = |mean: f64| -mean * (1.0 - flaxstand_simulation::random(&mut rng)).ln();
    let mut m = Model::new(Spec { cores, slots: cores as usize, ..spec() }, false, Micros(0));
    let (mut at, mut total, mut area, mut last, count) = (0.0, 0.0, 0.0, 0.0, 40_000u64);
    let mut began = std::collections::BTreeMap::new();
    let mut until = |m: &mut Model, until: Micros, began: &mut std::collections::BTreeMap<u64, f64>| {
        while let Some(next) = m.next(m.advanced_to()).filter(|n| *n <= until) {
            area += began.len() as f64 * (next.0 as f64 - last);
            last = next.0 as f64;
            for id in m.advance(next) {
                total += next.0 as f64 - began.remove(&id).unwrap_or(0.0);
            }
        }
        area += began.len() as f64 * (until.0 as f64 - last);
        last = until.0 as f64;
        for id in m.advance(until) {
            total += until.0 as f64 - began.remove(&id).unwrap_or(0.0);
        }
    };
    for id in 0..count {
        at += exp(gap);
        until(&mut m, Micros(at as u64), &mut began);
        began.insert(id, at);
        m.take(job(id, exp(work)), Micros(at as u64));
    }
    until(&mut m, Micros(at as u64 + 10_000_000), &mut began);
    assert!(began.is_empty());
    (total / count as f64, area / at)
}

#[test]
fn times_and_numbers_are_those_of_theory() {
    // M/M/1: 1 / (mu - lambda).
    let (time, number) = queue(1.0, 2000.0, 1000.0);
    assert!((1900.0..2100.0).contains(&time), "mean {time}, theory 2000");
    // Little: the number in the system is the rate times the time in it.
    assert!((number - time / 2000.0).abs() < 0.02 * number, "{number} in the system, {time} us in it");
    // M/M/2 at a load of 0.75: work / (1 - load^2).
    let (time, _) = queue(2.0, 1000.0, 1500.0);
    let theory = 1500.0 / (1.0 - 0.75 * 0.75);
    assert!((time / theory - 1.0).abs() < 0.06, "mean {time}, theory {theory}");
}
