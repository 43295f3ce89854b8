//! The list service moves to another address, and hosts are restarted.

use super::assertions::{LARGE, assert_passes, drains, restarts};
use super::day::{Day, Step, seconds};

#[test]
fn the_list_service_moves_and_targets_drain_right_after() {
    let day = Day::without_faults(31, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_passes(&drains(day.step(seconds(25.0), Step::Reload), 25.5));
}

#[test]
fn the_list_service_moves_twice_in_a_row() {
    let day = Day::without_faults(32, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let day = day.step(seconds(25.0), Step::Reload).step(seconds(26.0), Step::Reload);
    assert_passes(&drains(day, 26.5));
}

#[test]
fn hosts_are_restarted_with_the_current_list() {
    let day = Day::without_faults(33, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_passes(&drains(restarts(day, 25.0, 0), 26.5));
}

#[test]
fn hosts_are_restarted_with_an_outdated_list() {
    let day = Day::without_faults(34, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let behind = day.targets as u64 / 4;
    assert_passes(&restarts(drains(day, 20.0), 25.0, behind));
}
