//! The list service is down, or turns every call away.

use super::day::{Day, START, Step, seconds};
use super::faults::Outage;
use super::simulation::Simulation;
use super::verdicts::{LARGE, assert_holds, drains, told};

/// A quarter of the targets drains half a second after an outage.
fn drains_right_after(outage: Outage) -> Day {
    let day = Day::quiet(41, 6, LARGE).lines_per_second(1000.0).length(seconds(45.0));
    let day = day.step(seconds(20.0), Step::OutageBegins(outage)).step(seconds(28.0), Step::OutageEnds);
    drains(day, 28.5)
}

#[test]
fn targets_drain_right_after_an_outage_that_said_nothing() {
    assert_holds(&drains_right_after(Outage::Silent));
}

#[test]
fn targets_drain_right_after_an_outage_that_refused() {
    assert_holds(&drains_right_after(Outage::Refused));
}

#[test]
fn targets_drain_right_after_an_outage_that_reset() {
    assert_holds(&drains_right_after(Outage::Reset));
}

#[test]
fn the_list_service_moves_and_targets_drain_soon_after_an_outage() {
    assert_holds(&drains_right_after(Outage::Reset).step(seconds(29.0), Step::Reload));
}

#[test]
fn targets_drain_during_an_outage() {
    let day = Day::quiet(44, 6, LARGE).lines_per_second(1000.0).length(seconds(45.0));
    let day = day.step(seconds(20.0), Step::OutageBegins(Outage::Silent));
    assert_holds(&drains(day.step(seconds(28.0), Step::OutageEnds), 22.0));
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

#[test]
fn an_outage_that_turns_calls_away_late_stops_no_service() {
    serves_through(Outage::TurnsAwayLate);
}

#[test]
fn targets_drain_right_after_an_outage_that_turned_calls_away_late() {
    assert_holds(&drains_right_after(Outage::TurnsAwayLate));
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
