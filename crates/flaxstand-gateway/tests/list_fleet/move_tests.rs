//! The list service moves, and hosts are restarted.

use super::day::{Day, Step, seconds};
use super::verdicts::{LARGE, assert_holds, drains, restarts};

#[test]
fn the_list_service_moves_and_targets_drain_right_after() {
    let day = Day::quiet(31, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_holds(&drains(day.step(seconds(25.0), Step::Reload), 25.5));
}

#[test]
fn the_list_service_moves_twice_in_a_row() {
    let day = Day::quiet(32, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let day = day.step(seconds(25.0), Step::Reload).step(seconds(26.0), Step::Reload);
    assert_holds(&drains(day, 26.5));
}

#[test]
fn hosts_are_restarted_with_the_list_that_they_had() {
    let day = Day::quiet(33, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_holds(&drains(restarts(day, 25.0, 0), 26.5));
}

#[test]
fn hosts_are_restarted_with_a_list_that_is_out_of_date() {
    let day = Day::quiet(34, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let behind = day.targets as u64 / 4;
    assert_holds(&restarts(drains(day, 20.0), 25.0, behind));
}
