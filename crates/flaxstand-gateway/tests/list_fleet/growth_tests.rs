//! What lists cost as the fleet grows.

use super::day::{Day, Step, seconds};
use super::simulation::Simulation;
use super::verdicts::restarts;

/// Most bytes of lists beyond twice those of the usual fleet, and more for each thousand targets.
const LIST_BYTES: u64 = 64_000;
const LIST_BYTES_PER_THOUSAND: u64 = 500_000;
/// Targets of the usual fleet.
const USUAL: usize = 200;
/// Most calls a second to the list service that need a connection of their own, and some at the start.
const CONNECTIONS_A_SECOND: f64 = 2.0;
const CONNECTIONS_AT_START: f64 = 10.0;

/// Least part of what is served with the usual fleet.
const SHARE: f64 = 0.85;
/// Length of the day, seconds.
const LENGTH: f64 = 50.0;

/// A day with drains, a silent watch, two reloads and a restart of every host.
fn busy_day(targets: usize) -> Day {
    let day = Day::quiet(51, 4, targets).lines_per_second(1500.0).length(seconds(LENGTH));
    let all = day.percent(100);
    let (first, second) = (all[..targets / 20].to_vec(), all[targets / 20..targets / 10].to_vec());
    let day = day
        .step(seconds(8.0), Step::Drain(first.clone()))
        .step(seconds(12.0), Step::Remove(first.clone()))
        .step(seconds(15.0), Step::Replace(first))
        .step(seconds(20.0), Step::WatchesFallSilent)
        .step(seconds(24.0), Step::Drain(second))
        .step(seconds(30.0), Step::Reload)
        .step(seconds(33.0), Step::Reload);
    restarts(day, 40.0, 0)
}

#[test]
fn bytes_and_connections_of_lists_grow_no_faster_than_they_may() {
    let usual = Simulation::play(busy_day(USUAL));
    let grown = |targets: usize| {
        let large = Simulation::play(busy_day(targets));
        let bytes_most = LIST_BYTES + LIST_BYTES_PER_THOUSAND * targets as u64 / 1000 + 2 * usual.list_bytes;
        let connections_most = CONNECTIONS_AT_START + CONNECTIONS_A_SECOND * LENGTH;
        let holds = large.list_bytes <= bytes_most
            && large.list_connections as f64 <= connections_most
            && large.share.part() >= SHARE * usual.share.part();
        let told = format!(
            "{targets} targets: {} bytes of lists (at most {bytes_most}, {} with {USUAL}), {} connections (at most \
             {connections_most}), {:.2} served ({:.2} with {USUAL})",
            large.list_bytes,
            usual.list_bytes,
            large.list_connections,
            large.share.part(),
            usual.share.part()
        );
        (!holds).then_some(told)
    };
    let too_much: Vec<String> = [1000, 3200].into_iter().filter_map(grown).collect();
    assert!(too_much.is_empty(), "{}", too_much.join("\n"));
}
