//! The list service is down or rejects every call.

use super::assertions::{LARGE, assert_passes, describe, drains};
use super::day::{Day, START, Step, seconds};
use super::faults::Outage;
use super::simulation::Simulation;

/// A day on which a quarter of the targets drains half a second after an outage.
fn drains_right_after(outage: Outage) -> Day {
    let day = Day::without_faults(41, 6, LARGE).lines_per_second(1000.0).length(seconds(45.0));
    let day = day.step(seconds(20.0), Step::BeginOutage(outage)).step(seconds(28.0), Step::EndOutage);
    drains(day, 28.5)
}

#[test]
fn targets_drain_right_after_a_silent_outage() {
    assert_passes(&drains_right_after(Outage::Silent));
}

#[test]
fn targets_drain_right_after_an_outage_with_refused_connections() {
    assert_passes(&drains_right_after(Outage::Refused));
}

#[test]
fn targets_drain_right_after_an_outage_with_reset_connections() {
    assert_passes(&drains_right_after(Outage::Reset));
}

#[test]
fn the_list_service_moves_and_targets_drain_soon_after_an_outage() {
    assert_passes(&drains_right_after(Outage::Reset).step(seconds(29.0), Step::Reload));
}

#[test]
fn targets_drain_during_an_outage() {
    let day = Day::without_faults(44, 6, LARGE).lines_per_second(1000.0).length(seconds(45.0));
    let day = day.step(seconds(20.0), Step::BeginOutage(Outage::Silent));
    assert_passes(&drains(day.step(seconds(28.0), Step::EndOutage), 22.0));
}

/// Asserts that an outage of the list service lowers the served share by less than 0.05.
fn assert_serves_during(outage: Outage) {
    let day = Day::without_faults(42, 6, 400).length(seconds(45.0));
    let day = day.step(seconds(15.0), Step::BeginOutage(outage)).step(seconds(35.0), Step::EndOutage);
    let mut simulation = Simulation::new(day);
    simulation.run();
    let share = |from: f64, to: f64| {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        simulation.audit.served_share(from, to).ratio()
    };
    let (before, during) = (share(5.0, 15.0), share(15.0, 35.0));
    assert!(
        before > 0.9 && during > before - 0.05,
        "served share {before:.3} before, {during:.3} during the outage {outage:?}"
    );
    assert!(simulation.result().passed());
}

#[test]
fn a_silent_outage_does_not_interrupt_service() {
    assert_serves_during(Outage::Silent);
}

#[test]
fn an_outage_with_refused_connections_does_not_interrupt_service() {
    assert_serves_during(Outage::Refused);
}

#[test]
fn an_outage_with_reset_connections_does_not_interrupt_service() {
    assert_serves_during(Outage::Reset);
}

#[test]
fn an_outage_with_late_rejections_does_not_interrupt_service() {
    assert_serves_during(Outage::RejectsLate);
}

#[test]
fn targets_drain_right_after_an_outage_with_late_rejections() {
    assert_passes(&drains_right_after(Outage::RejectsLate));
}

/// A list service that rejects every call is reachable, so hosts count as notified of its changes. Requests
/// may be refused meanwhile, but are served again soon after calls are answered.
#[test]
fn targets_drain_while_every_call_is_rejected() {
    let day = Day::without_faults(43, 4, 400).length(seconds(40.0));
    let day = day.step(seconds(10.0), Step::RejectCalls(true)).step(seconds(25.0), Step::RejectCalls(false));
    let day = drains(day, 12.0);
    let mut simulation = Simulation::new(day.clone());
    simulation.run();
    let result = simulation.result();
    assert!(result.passed(), "{}", describe(&day, &result));
    let share = |from: f64, to: f64| {
        let (from, to) = (START.after(seconds(from)), START.after(seconds(to)));
        simulation.audit.served_share(from, to).ratio()
    };
    let (before, after) = (share(3.0, 10.0), share(27.0, 39.0));
    assert!(
        before > 0.9 && after > before - 0.05,
        "served share {before:.3} before, {after:.3} after the rejections"
    );
}
