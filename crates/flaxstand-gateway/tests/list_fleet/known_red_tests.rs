//! Generated days with a slow list service that violate or violated the drain rule; see `KNOWN-RED.txt`.

use super::assertions::assert_all_pass;
use super::random_days;

/// Minimum share served of the requests that could be served, as for the generated small days.
const MIN_SMALL_SERVED: f64 = 0.8;

/// With a list service that writes 232 lines per second, a host sends a request to a draining target after
/// the grace of 1 s.
#[test]
fn a_small_day_with_a_slow_list_service_keeps_the_drain_grace() {
    assert_all_pass(std::iter::once(random_days::small_day(910_238)), MIN_SMALL_SERVED);
}

/// With a list service that writes 212 lines per second, a host sends requests to draining targets after the
/// grace of 1 s: the same fault on another day.
#[test]
fn another_small_day_with_a_slow_list_service_keeps_the_drain_grace() {
    assert_all_pass(std::iter::once(random_days::small_day(910_318)), MIN_SMALL_SERVED);
}
