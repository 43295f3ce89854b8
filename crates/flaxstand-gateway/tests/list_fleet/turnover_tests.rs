//! Targets drain, are removed and are listed again, under the same uids or as new targets at the same
//! addresses.

use super::assertions::{LARGE, assert_passes};
use super::day::{Day, Step, seconds};
use super::list_service::TargetId;

/// A day on which a tenth of the targets drains, is removed and is listed again by the step that `relist`
/// makes.
fn turnover(seed: u64, relist: fn(Vec<TargetId>) -> Step) -> Day {
    let day = Day::without_faults(seed, 3, LARGE).length(seconds(30.0));
    let first = day.first_percent(10);
    day.step(seconds(5.0), Step::Drain(first.clone()))
        .step(seconds(7.0), Step::Remove(first.clone()))
        .step(seconds(12.0), relist(first))
}

#[test]
fn relisted_targets_drain_again() {
    let day = turnover(61, Step::Relist);
    let relisted = day.first_percent(10);
    assert_passes(&day.step(seconds(18.0), Step::Drain(relisted)));
}

#[test]
fn new_targets_at_the_same_addresses_drain() {
    let day = turnover(62, Step::Replace);
    let new = (day.targets..day.targets + day.targets / 10).map(TargetId).collect();
    assert_passes(&day.step(seconds(18.0), Step::Drain(new)));
}

#[test]
fn half_of_the_targets_are_replaced_in_steps() {
    let mut day = Day::without_faults(63, 4, LARGE).length(seconds(30.0));
    let all = day.first_percent(50);
    for (step, group) in all.chunks(all.len() / 10).enumerate() {
        let start = 4.0 + step as f64;
        day = day.step(seconds(start), Step::Drain(group.to_vec()));
        day = day.step(seconds(start + 1.0), Step::Remove(group.to_vec()));
        day = day.step(seconds(start + 1.5), Step::Replace(group.to_vec()));
    }
    assert_passes(&day);
}
