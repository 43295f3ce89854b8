//! The cost of lists as the fleet grows.

use super::assertions::restarts;
use super::day::{Day, Step, seconds};
use super::simulation::Simulation;

/// Maximum list bytes above twice those of the baseline fleet: a constant part and a part per thousand
/// targets.
const MAX_EXTRA_LIST_BYTES: u64 = 64_000;
const MAX_LIST_BYTES_PER_THOUSAND: u64 = 500_000;
/// Targets of the baseline fleet.
const BASELINE_TARGETS: usize = 200;
/// Maximum rate of new connections to the list service, and an allowance at the start.
const MAX_CONNECTIONS_PER_SECOND: f64 = 2.0;
const MAX_CONNECTIONS_AT_START: f64 = 10.0;
/// Minimum served share, relative to that of the baseline fleet.
const MIN_RELATIVE_SERVED: f64 = 0.85;
/// Length of the day in seconds.
const DAY_SECONDS: f64 = 50.0;

/// A day with drains, silent watches, three reloads and a restart of every host.
fn busy_day(targets: usize) -> Day {
    let day = Day::without_faults(51, 4, targets).lines_per_second(1500.0).length(seconds(DAY_SECONDS));
    let all = day.first_percent(100);
    let (first, second) = (all[..targets / 20].to_vec(), all[targets / 20..targets / 10].to_vec());
    let day = day
        .step(seconds(8.0), Step::Drain(first.clone()))
        .step(seconds(12.0), Step::Remove(first.clone()))
        .step(seconds(15.0), Step::Replace(first))
        .step(seconds(20.0), Step::SilenceWatches)
        .step(seconds(24.0), Step::Drain(second))
        .step(seconds(30.0), Step::Reload)
        .step(seconds(33.0), Step::Reload)
        .step(seconds(36.0), Step::Reload);
    restarts(day, 40.0, 0)
}

#[test]
fn list_bytes_and_connections_stay_within_their_bounds() {
    let baseline = Simulation::play(busy_day(BASELINE_TARGETS));
    let excess = |targets: usize| {
        let large = Simulation::play(busy_day(targets));
        let max_bytes = MAX_EXTRA_LIST_BYTES
            + MAX_LIST_BYTES_PER_THOUSAND * targets as u64 / 1000
            + 2 * baseline.list_bytes;
        let max_connections = MAX_CONNECTIONS_AT_START + MAX_CONNECTIONS_PER_SECOND * DAY_SECONDS;
        let within_bounds = large.list_bytes <= max_bytes
            && large.list_connections as f64 <= max_connections
            && large.share.ratio() >= MIN_RELATIVE_SERVED * baseline.share.ratio();
        let figures = format!(
            "{targets} targets: {} list bytes (at most {max_bytes}; {} with {BASELINE_TARGETS} targets), \
             {} connections (at most {max_connections}), \
             served share {:.2} ({:.2} with {BASELINE_TARGETS} targets)",
            large.list_bytes,
            baseline.list_bytes,
            large.list_connections,
            large.share.ratio(),
            baseline.share.ratio()
        );
        (!within_bounds).then_some(figures)
    };
    let exceeded: Vec<String> = [1000, 3200].into_iter().filter_map(excess).collect();
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
