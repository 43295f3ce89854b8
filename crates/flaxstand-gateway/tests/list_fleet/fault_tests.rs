//! Faults between hosts and the list service, one per test.

use super::assertions::{LARGE, assert_passes, drains};
use super::day::{Day, Step, seconds};
use super::faults::Fault;
use super::list_service::Style;

/// Two hosts and a fast list service: a quarter of the targets drains while a fault affects calls with this
/// probability.
fn under_fault(seed: u64, fault: Fault, probability: f64) -> Day {
    drains(Day::without_faults(seed, 2, LARGE), 6.0).fault(fault, (5.0, 9.0), probability)
}

#[test]
fn connections_are_refused() {
    assert_passes(&under_fault(11, Fault::ConnectRefused, 0.7));
}

#[test]
fn connections_hang() {
    assert_passes(&under_fault(12, Fault::ConnectHangs, 0.7));
}

#[test]
fn calls_are_reset() {
    assert_passes(&under_fault(13, Fault::Reset, 0.7));
}

#[test]
fn calls_get_no_response() {
    assert_passes(&under_fault(14, Fault::Silent, 0.7));
}

#[test]
fn first_bytes_are_delayed() {
    assert_passes(&under_fault(15, Fault::FirstByteDelayed(3000.0), 1.0));
}

#[test]
fn responses_are_slow_and_pause() {
    let fault = Fault::SlowBody { bytes_per_second: 400e3, max_pause_ms: 600.0 };
    assert_passes(&under_fault(16, fault, 1.0).grace(seconds(2.0)));
}

#[test]
fn full_lists_are_slow_and_pause() {
    // A full list is 440 KB; at 1 MB/s and with two pauses it takes 1.7 s at most.
    let fault = Fault::SlowBody { bytes_per_second: 1e6, max_pause_ms: 600.0 };
    let day = Day::without_faults(17, 2, LARGE).full_lists_only().fault(fault, (5.0, 26.0), 1.0);
    assert_passes(&drains(day, 6.0).grace(seconds(2.0)));
}

#[test]
fn responses_never_end() {
    assert_passes(&under_fault(18, Fault::Endless, 0.5));
}

#[test]
fn responses_are_truncated() {
    assert_passes(&under_fault(19, Fault::Truncated, 0.7));
}

#[test]
fn responses_are_chunked() {
    assert_passes(&under_fault(20, Fault::Chunked, 1.0));
}

#[test]
fn responses_are_indented() {
    let style = Style { indented: true, ..Style::default() };
    assert_passes(&drains(Day::without_faults(21, 2, LARGE).style(style), 6.0));
}

const MALFORMED_ENTRY: Style = Style {
    indented: false,
    malformed_entry: Some(r#"{"uid":7,"state":"unheard of"}"#),
    unreadable_addresses: false,
};

#[test]
fn an_incremental_list_has_a_malformed_entry() {
    assert_passes(&drains(Day::without_faults(22, 2, LARGE).style(MALFORMED_ENTRY), 6.0));
}

#[test]
fn a_full_list_has_a_malformed_entry() {
    assert_passes(&drains(Day::without_faults(22, 2, LARGE).full_lists_only().style(MALFORMED_ENTRY), 6.0));
}

#[test]
fn entries_of_draining_targets_have_unreadable_addresses() {
    let style = Style { unreadable_addresses: true, ..Style::default() };
    assert_passes(&drains(Day::without_faults(23, 2, LARGE).style(style), 6.0));
}

#[test]
fn open_watches_go_silent_right_before_the_drain() {
    assert_passes(&drains(Day::without_faults(24, 6, LARGE).step(seconds(9.9), Step::SilenceWatches), 10.0));
}

#[test]
fn open_watches_go_silent_under_a_slow_service() {
    let day = Day::without_faults(25, 6, LARGE).lines_per_second(300.0).length(seconds(60.0));
    assert_passes(&drains(day.step(seconds(45.0), Step::SilenceWatches), 45.1));
}

#[test]
fn open_watches_are_reset_right_before_the_drain() {
    assert_passes(&drains(Day::without_faults(26, 6, LARGE).step(seconds(9.9), Step::ResetWatches), 10.0));
}

#[test]
fn turns_are_often_delayed() {
    let day = Day { delayed_turn_rate: 0.1, ..Day::without_faults(27, 2, LARGE) };
    assert_passes(&drains(day, 6.0).grace(seconds(0.6)));
}

#[test]
fn connections_to_targets_are_slow() {
    let day = Day { slow_connect_rate: 0.3, ..Day::without_faults(28, 2, LARGE) };
    assert_passes(&drains(day, 6.0).grace(seconds(0.6)));
}
