//! Generated days that violate the drain rule and are recorded in `KNOWN-RED.txt`.

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
