//! The work of the list alone: no fault, and a service that needs its time.

use super::day::{Day, Step, seconds};
use super::verdicts::{LARGE, assert_holds, drains};

#[test]
fn a_quarter_of_the_targets_drains_under_a_fast_service() {
    assert_holds(&drains(Day::quiet(1, 2, LARGE), 10.0));
}

#[test]
fn a_quarter_of_the_targets_drains_while_all_hosts_have_just_started() {
    assert_holds(&drains(Day::quiet(2, 6, LARGE).lines_per_second(1000.0), 1.0));
}

#[test]
fn a_quarter_of_the_targets_drains_under_a_service_that_tells_whole_lists_only() {
    assert_holds(&drains(Day::quiet(3, 6, LARGE).whole_lists_only(), 10.0));
}

#[test]
fn a_quarter_of_the_targets_drains_long_after_the_start() {
    assert_holds(&drains(Day::quiet(4, 6, LARGE).lines_per_second(400.0).length(seconds(60.0)), 45.0));
}

/// 530 KB in 1.6 s.
const SLOW_BYTES_PER_SECOND: f64 = 330e3;

#[test]
fn one_host_hears_whole_lists_only_and_they_come_slowly() {
    let day = Day::quiet(6, 1, LARGE).whole_lists_only().bytes_per_second(SLOW_BYTES_PER_SECOND);
    assert_holds(&drains(day, 10.0).grace(seconds(2.0)));
}

/// A call that follows a failed one waits for nothing at the service; what it is told may take longer than a second all
/// the same.
#[test]
fn a_watch_was_reset_and_whole_lists_come_slowly() {
    let day = Day::quiet(7, 1, LARGE).whole_lists_only().bytes_per_second(SLOW_BYTES_PER_SECOND);
    let day = day.length(seconds(40.0)).step(seconds(9.9), Step::WatchesReset);
    assert_holds(&drains(day, 10.0).grace(seconds(2.0)));
}

#[test]
fn one_host_has_just_started_and_lists_come_slowly() {
    assert_holds(
        &drains(Day::quiet(5, 1, LARGE).bytes_per_second(SLOW_BYTES_PER_SECOND), 0.2).grace(seconds(2.0)),
    );
}
