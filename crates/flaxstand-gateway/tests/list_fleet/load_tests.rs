//! The work of the list alone: no fault, and a service that needs its time.

use super::day::{Day, seconds};
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

#[test]
fn one_host_hears_a_whole_list_that_comes_slowly() {
    // 440 KB in 1.5 s.
    assert_holds(&drains(Day::quiet(5, 1, LARGE).bytes_per_second(300e3), 0.2).grace(seconds(2.0)));
}
