//! Targets that drain, are removed and come back, under their uids or with new ones at their addresses.

use super::day::{Day, Step, seconds};
use super::list_service::TargetId;
use super::verdicts::{LARGE, assert_holds};

/// A tenth of the targets drains, is removed and comes back, and what came back drains in turn.
fn turnover(seed: u64, comes_back: fn(Vec<TargetId>) -> Step) -> Day {
    let day = Day::quiet(seed, 3, LARGE).length(seconds(30.0));
    let first = day.percent(10);
    day.step(seconds(5.0), Step::Drain(first.clone()))
        .step(seconds(7.0), Step::Remove(first.clone()))
        .step(seconds(12.0), comes_back(first))
}

#[test]
fn targets_come_back_under_their_uids_and_drain_again() {
    let day = turnover(61, Step::Return);
    let again = day.percent(10);
    assert_holds(&day.step(seconds(18.0), Step::Drain(again)));
}

#[test]
fn new_targets_at_the_same_addresses_drain() {
    let day = turnover(62, Step::Replace);
    let new = (day.targets..day.targets + day.targets / 10).map(TargetId).collect();
    assert_holds(&day.step(seconds(18.0), Step::Drain(new)));
}

#[test]
fn half_of_the_targets_are_replaced_in_steps() {
    let mut day = Day::quiet(63, 4, LARGE).length(seconds(30.0));
    let all = day.percent(50);
    for (step, group) in all.chunks(all.len() / 10).enumerate() {
        let begins = 4.0 + step as f64;
        day = day.step(seconds(begins), Step::Drain(group.to_vec()));
        day = day.step(seconds(begins + 1.0), Step::Remove(group.to_vec()));
        day = day.step(seconds(begins + 1.5), Step::Replace(group.to_vec()));
    }
    assert_holds(&day);
}
