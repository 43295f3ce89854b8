//! A handful of hosts before thousands of targets, on virtual time and with the real core: whatever the list service
//! and the way to it do, no request is sent to a target that drains or was removed, once that counts as told and the
//! grace is over.

#[path = "../harness/mod.rs"]
mod harness;

mod audit;
mod audit_tests;
mod clients;
mod day;
mod draw;
mod drawn;
mod events;
mod hosts;
mod list_service;
mod network;
mod simulation;
mod targets;

use day::{Day, START, Step, seconds};
use list_service::Style;
use network::{Fault, Outage};
use simulation::{Simulation, Verdict};
use std::collections::BTreeMap;

/// Most breaks of a day that are told one by one.
const BREAKS_TOLD: usize = 4;

/// The rule holds, and every request has its final answer.
fn assert_holds(day: &Day) -> Verdict {
    let verdict = Simulation::play(day.clone());
    assert!(verdict.holds(), "{}", told(day, &verdict));
    verdict
}

/// Plays many days; those that break a rule are told together.
fn assert_all_hold(days: impl Iterator<Item = Day>) {
    let mut played = 0;
    let mut broken = Vec::new();
    for day in days {
        let verdict = Simulation::play(day.clone());
        played += 1;
        if !verdict.holds() {
            broken.push(told(&day, &verdict));
        }
    }
    assert!(broken.is_empty(), "{} of {played} days break a rule\n{}", broken.len(), broken.join("\n"));
}

/// What a day broke, by the reasons why changes counted as told.
fn told(day: &Day, verdict: &Verdict) -> String {
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for broken in &verdict.breaks {
        *reasons.entry(broken.told.why.name()).or_default() += 1;
    }
    let by_first_byte = verdict.breaks.iter().filter(|broken| broken.only_by_first_byte).count();
    let first: Vec<String> = verdict.breaks.iter().take(BREAKS_TOLD).map(|b| format!("\n    {b}")).collect();
    format!(
        "seed {}: {} hosts, {} targets, {:.0} lines a second, grace {} ms: {} of {} sends break the rule {reasons:?} \
         ({by_first_byte} only where an answer counts from its first byte on), \
         {} requests without a final answer, {:.2} served{}",
        day.seed,
        day.hosts,
        day.targets,
        day.speed.lines_per_second,
        day.grace.ms(),
        verdict.breaks.len(),
        verdict.sends,
        verdict.unanswered,
        verdict.share.part(),
        first.join("")
    )
}

const LARGE: usize = 2000;

/// A quarter of the targets drains at this second.
fn drains(day: Day, at: f64) -> Day {
    let drained = day.percent(25);
    day.step(seconds(at), Step::Drain(drained))
}

// Drawn days.

#[test]
fn large_days_drawn() {
    assert_all_hold((1..=10).map(drawn::large_day));
}

#[test]
fn small_days_drawn() {
    assert_all_hold((101..=130).map(drawn::small_day));
}

/// The same seed gives the same verdict.
#[test]
fn a_day_is_the_same_each_time() {
    let play = || {
        let verdict = Simulation::play(drawn::small_day(77));
        format!("{verdict:?}")
    };
    assert_eq!(play(), play());
}

// The load of the list alone.

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

// Faults of the way, one by one.

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
    let fault = Fault::SlowBody { bytes_per_second: 400e3, pause_most: 600.0 };
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

// Reloads and restarts.

#[test]
fn the_list_service_moves_and_targets_drain_right_after() {
    let day = Day::quiet(31, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_holds(&drains(day.step(seconds(25.0), Step::Reload), 25.5));
}

#[test]
fn the_list_service_moves_twice_in_a_row() {
    let day = Day::quiet(32, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let day = day.step(seconds(25.0), Step::Reload).step(seconds(26.0), Step::Reload);
    assert_holds(&drains(day, 26.5));
}

#[test]
fn hosts_are_restarted_with_the_list_that_they_had() {
    let day = Day::quiet(33, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    assert_holds(&drains(restarts(day, 25.0, 0), 26.5));
}

#[test]
fn hosts_are_restarted_with_a_list_that_is_out_of_date() {
    let day = Day::quiet(34, 6, LARGE).lines_per_second(1000.0).length(seconds(40.0));
    let behind = day.targets as u64 / 4;
    assert_holds(&restarts(drains(day, 20.0), 25.0, behind));
}

/// All hosts are killed at this second, and start anew within the next.
fn restarts(mut day: Day, at: f64, revisions_behind: u64) -> Day {
    for host in 0..day.hosts {
        let started = at + 0.3 + 0.1 * host as f64;
        day = day.step(seconds(at), Step::Kill(host));
        day = day.step(seconds(started), Step::Start { host, revisions_behind });
    }
    day
}

// Outages.

#[test]
fn targets_drain_right_after_an_outage() {
    let day = Day::quiet(41, 6, LARGE).lines_per_second(1000.0).length(seconds(45.0));
    let day =
        day.step(seconds(20.0), Step::OutageBegins(Outage::Reset)).step(seconds(28.0), Step::OutageEnds);
    assert_holds(&drains(day, 28.5));
}

/// An outage of the service alone takes little from what is served.
fn serves_through(outage: Outage) {
    let day = Day::quiet(42, 6, 400).length(seconds(45.0));
    let day = day.step(seconds(15.0), Step::OutageBegins(outage)).step(seconds(35.0), Step::OutageEnds);
    let mut simulation = Simulation::new(day);
    simulation.run();
    let share = |from: f64, to: f64| {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        simulation.audit.share(from, to).part()
    };
    let (before, during) = (share(5.0, 15.0), share(15.0, 35.0));
    assert!(
        before > 0.9 && during > before - 0.05,
        "{before:.3} served before, {during:.3} during {outage:?}"
    );
    assert!(simulation.verdict().holds());
}

#[test]
fn an_outage_that_says_nothing_stops_no_service() {
    serves_through(Outage::Silent);
}

#[test]
fn an_outage_that_refuses_stops_no_service() {
    serves_through(Outage::Refused);
}

#[test]
fn an_outage_that_resets_stops_no_service() {
    serves_through(Outage::Reset);
}

/// A service that turns every call away can be reached: what it has counts as told, and service may be refused, but is
/// there again soon after calls are answered.
#[test]
fn targets_drain_while_every_call_is_turned_away() {
    let day = Day::quiet(43, 4, 400).length(seconds(40.0));
    let day = day.step(seconds(10.0), Step::TurnAway(true)).step(seconds(25.0), Step::TurnAway(false));
    let day = drains(day, 12.0);
    let mut simulation = Simulation::new(day.clone());
    simulation.run();
    let verdict = simulation.verdict();
    assert!(verdict.holds(), "{}", told(&day, &verdict));
    let share = |from: f64, to: f64| {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        simulation.audit.share(from, to).part()
    };
    let (before, after) = (share(3.0, 10.0), share(27.0, 39.0));
    assert!(before > 0.9 && after > before - 0.05, "{before:.3} served before, {after:.3} after");
}

// What lists cost as the fleet grows.

/// Most bytes of lists beyond twice those of the usual fleet, and more for each thousand targets.
const LIST_BYTES: u64 = 64_000;
const LIST_BYTES_PER_THOUSAND: u64 = 500_000;
/// Targets of the usual fleet.
const USUAL: usize = 200;
/// Most calls a second to the list service that need a connection of their own, and some at the start.
const CONNECTIONS_A_SECOND: f64 = 2.0;
const CONNECTIONS_AT_START: f64 = 10.0;

/// A day with drains, a restart, a reload and a silent watch.
fn busy_day(targets: usize) -> Day {
    let day = Day::quiet(51, 4, targets).lines_per_second(1500.0).length(seconds(45.0));
    let all = day.percent(100);
    let (first, second) = (all[..targets / 20].to_vec(), all[targets / 20..targets / 10].to_vec());
    day.step(seconds(8.0), Step::Drain(first.clone()))
        .step(seconds(12.0), Step::Remove(first.clone()))
        .step(seconds(15.0), Step::Replace(first))
        .step(seconds(20.0), Step::WatchesFallSilent)
        .step(seconds(24.0), Step::Drain(second))
        .step(seconds(30.0), Step::Reload)
}

#[test]
fn bytes_and_connections_of_lists_grow_no_faster_than_they_may() {
    let usual = Simulation::play(busy_day(USUAL));
    for targets in [1000, 3200] {
        let large = Simulation::play(busy_day(targets));
        let most = LIST_BYTES + LIST_BYTES_PER_THOUSAND * targets as u64 / 1000 + 2 * usual.list_bytes;
        assert!(
            large.list_bytes <= most,
            "{} bytes of lists with {targets} targets, {} with {USUAL}: at most {most}",
            large.list_bytes,
            usual.list_bytes
        );
        let most = CONNECTIONS_AT_START + CONNECTIONS_A_SECOND * 45.0;
        assert!(large.list_connections as f64 <= most, "{} connections", large.list_connections);
    }
}
