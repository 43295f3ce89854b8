//! Days drawn from a seed.

use super::drawn;
use super::simulation::Simulation;
use super::verdicts::assert_all_hold;

/// Least part served of all requests that could be, over all days: one that sends nothing breaks no rule either.
const LARGE_SERVED_LEAST: f64 = 0.5;
const SMALL_SERVED_LEAST: f64 = 0.8;

#[test]
fn large_days_drawn() {
    assert_all_hold((1..=12).map(drawn::large_day), LARGE_SERVED_LEAST);
}

#[test]
fn small_days_drawn() {
    assert_all_hold((101..=140).map(drawn::small_day), SMALL_SERVED_LEAST);
}

/// The same seed gives the same verdict.
#[test]
fn a_day_is_the_same_each_time() {
    let play = || {
        let verdict = Simulation::play(drawn::small_day(77));
        format!("{verdict:?}")
    };
    assert_eq!(play(), play());
}
