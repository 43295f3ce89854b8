//! Drawn days that break the rule on draining targets and are recorded in `KNOWN-RED.txt`.

use super::drawn;
use super::verdicts::assert_all_hold;

/// Minimum share served of the requests that could be served, as for the drawn small days.
const MIN_SMALL_SERVED: f64 = 0.8;

/// With a list service of 232 lines a second, a host sends to a draining target after the grace of 1 s.
#[test]
fn a_small_day_with_a_slow_list_service_keeps_the_drain_grace() {
    assert_all_hold(std::iter::once(drawn::small_day(910_238)), MIN_SMALL_SERVED);
}
