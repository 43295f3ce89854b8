//! Faults of the way between hosts and the list service, one by one.

use super::day::{Day, Step, seconds};
use super::list_service::Style;
use super::network::Fault;
use super::verdicts::{LARGE, assert_holds, drains};

/// Two hosts under a fast service; a quarter of the targets drains while a fault meets this part of the calls.
fn under_fault(seed: u64, fault: Fault, part: f64) -> Day {
    drains(Day::quiet(seed, 2, LARGE), 6.0).fault(fault, (5.0, 9.0), part)
}

#[test]
fn calls_are_refused() {
    assert_holds(&under_fault(11, Fault::DialRefused, 0.7));
}

#[test]
fn connections_do_not_come_up() {
    assert_holds(&under_fault(12, Fault::DialLost, 0.7));
}

#[test]
fn calls_are_reset() {
    assert_holds(&under_fault(13, Fault::Reset, 0.7));
}

#[test]
fn calls_are_silent() {
    assert_holds(&under_fault(14, Fault::Silent, 0.7));
}

#[test]
fn first_bytes_are_late() {
    assert_holds(&under_fault(15, Fault::FirstByteLate(3000.0), 1.0));
}

#[test]
fn answers_come_slowly_and_with_pauses() {
    let fault = Fault::SlowBody { bytes_per_second: 400e3, pause_most: 600.0 };
    assert_holds(&under_fault(16, fault, 1.0).grace(seconds(2.0)));
}

#[test]
fn whole_lists_come_slowly_and_with_pauses() {
    // 440 KB and two pauses: 1.7 s at most.
    let fault = Fault::SlowBody { bytes_per_second: 1e6, pause_most: 600.0 };
    let day = Day::quiet(17, 2, LARGE).whole_lists_only().fault(fault, (5.0, 26.0), 1.0);
    assert_holds(&drains(day, 6.0).grace(seconds(2.0)));
}

#[test]
fn answers_have_no_end() {
    assert_holds(&under_fault(18, Fault::Endless, 0.5));
}

#[test]
fn answers_are_cut_off() {
    assert_holds(&under_fault(19, Fault::CutOff, 0.7));
}

#[test]
fn answers_come_in_chunks() {
    assert_holds(&under_fault(20, Fault::Chunked, 1.0));
}

#[test]
fn answers_come_indented() {
    let style = Style { indented: true, ..Style::default() };
    assert_holds(&drains(Day::quiet(21, 2, LARGE).style(style), 6.0));
}

#[test]
fn a_whole_list_has_an_entry_without_sense() {
    let style = Style { nonsense_entry: Some(r#"{"uid":7,"state":"unheard of"}"#), ..Style::default() };
    assert_holds(&drains(Day::quiet(22, 2, LARGE).style(style), 6.0));
}

#[test]
fn entries_of_draining_targets_have_no_address() {
    let style = Style { drops_addresses: true, ..Style::default() };
    assert_holds(&drains(Day::quiet(23, 2, LARGE).style(style), 6.0));
}

#[test]
fn open_watches_fall_silent_right_before_the_drain() {
    assert_holds(&drains(Day::quiet(24, 6, LARGE).step(seconds(9.9), Step::WatchesFallSilent), 10.0));
}

#[test]
fn open_watches_fall_silent_under_a_slow_service() {
    let day = Day::quiet(25, 6, LARGE).lines_per_second(300.0).length(seconds(60.0));
    assert_holds(&drains(day.step(seconds(45.0), Step::WatchesFallSilent), 45.1));
}
