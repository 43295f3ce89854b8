//! Load on the list service without faults: the service needs time for each list.

use super::assertions::{LARGE, assert_passes, drains};
use super::day::{Day, Step, seconds};

#[test]
fn a_quarter_of_the_targets_drains_under_a_fast_service() {
    assert_passes(&drains(Day::without_faults(1, 2, LARGE), 10.0));
}

#[test]
fn a_quarter_of_the_targets_drains_while_all_hosts_have_just_started() {
    assert_passes(&drains(Day::without_faults(2, 6, LARGE).lines_per_second(1000.0), 1.0));
}

#[test]
fn a_quarter_of_the_targets_drains_under_a_service_that_sends_full_lists_only() {
    assert_passes(&drains(Day::without_faults(3, 6, LARGE).full_lists_only(), 10.0));
}

#[test]
fn a_quarter_of_the_targets_drains_long_after_the_start() {
    assert_passes(&drains(
        Day::without_faults(4, 6, LARGE).lines_per_second(400.0).length(seconds(60.0)),
        45.0,
    ));
}

/// A list of 530 KB takes 1.6 s.
const SLOW_BYTES_PER_SECOND: f64 = 330e3;

#[test]
fn one_host_receives_full_lists_only_and_slowly() {
    let day = Day::without_faults(6, 1, LARGE).full_lists_only().bytes_per_second(SLOW_BYTES_PER_SECOND);
    assert_passes(&drains(day, 10.0).grace(seconds(2.0)));
}

/// A call after a failed one does not long-poll. Its response may still take longer than a second.
#[test]
fn a_watch_is_reset_and_full_lists_are_slow() {
    let day = Day::without_faults(7, 1, LARGE).full_lists_only().bytes_per_second(SLOW_BYTES_PER_SECOND);
    let day = day.length(seconds(40.0)).step(seconds(9.9), Step::ResetWatches);
    assert_passes(&drains(day, 10.0).grace(seconds(2.0)));
}

#[test]
fn one_host_has_just_started_and_lists_are_slow() {
    assert_passes(
        &drains(Day::without_faults(5, 1, LARGE).bytes_per_second(SLOW_BYTES_PER_SECOND), 0.2)
            .grace(seconds(2.0)),
    );
}
