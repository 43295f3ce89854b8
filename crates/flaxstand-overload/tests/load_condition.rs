//! Classification of load as calm, surge or storm.

use flaxstand_overload::load_condition::{LoadMonitor, MAX_SCOPES};
use flaxstand_overload::{AttemptKind, LoadCondition, Micros, Scope};

/// Records `first` first attempts and `retries` retries per second for `seconds`, starting at `from` ms.
/// Returns the end time.
fn attempts(monitor: &mut LoadMonitor, from: u64, seconds: u64, first: u64, retries: u64) -> Micros {
    for ms in from..from + seconds * 1000 {
        let now = Micros(ms * 1000);
        let due = |rate: u64| (ms + 1) * rate / 1000 - ms * rate / 1000;
        (0..due(first)).for_each(|_| monitor.record_arrival(1, 7, AttemptKind::First, now));
        (0..due(retries)).for_each(|_| monitor.record_arrival(1, 7, AttemptKind::Retry, now));
        if ms % 50 == 0 {
            monitor.condition(Scope::Plan(1), now);
        }
    }
    Micros((from + seconds * 1000) * 1000)
}

#[test]
fn a_storm_is_reported_with_its_counts_and_ends() {
    let mut monitor = LoadMonitor::default();
    let now = attempts(&mut monitor, 1000, 5, 100, 5);
    assert_eq!(monitor.condition(Scope::Plan(1), now), LoadCondition::Calm);
    let now = attempts(&mut monitor, 6000, 3, 56, 144);
    let report = monitor.report(Scope::Plan(1), now).unwrap();
    assert_eq!(report.condition, LoadCondition::Storm);
    let text = report.to_string();
    assert!(
        text.starts_with("storm: 72% of the attempts in the last 2 s are retries, scope plan 1"),
        "{text}"
    );
    assert_eq!(monitor.condition(Scope::Volume(7), now), LoadCondition::Storm);
    assert_eq!(monitor.condition(Scope::Plan(2), now), LoadCondition::Calm, "another plan");
    let now = attempts(&mut monitor, 9000, 3, 100, 5);
    assert_eq!(monitor.condition(Scope::Plan(1), now), LoadCondition::Calm);
}

#[test]
fn new_demand_is_a_surge_and_not_a_storm() {
    let mut monitor = LoadMonitor::default();
    attempts(&mut monitor, 1000, 5, 100, 5);
    let now = attempts(&mut monitor, 6000, 3, 400, 40);
    let report = monitor.report(Scope::All, now).unwrap();
    assert_eq!(report.condition, LoadCondition::Surge);
    assert!(
        report
            .to_string()
            .starts_with("surge: 720 first attempts in the last 2 s against an average of 221, scope all"),
        "{report}"
    );
    // Sustained demand does not become a storm.
    let now = attempts(&mut monitor, 9000, 5, 400, 40);
    assert_ne!(monitor.condition(Scope::All, now), LoadCondition::Storm);
}

#[test]
fn too_few_attempts_and_idle_load_are_calm() {
    let mut monitor = LoadMonitor::default();
    let now = attempts(&mut monitor, 1000, 1, 1, 4);
    assert_eq!(monitor.condition(Scope::All, now), LoadCondition::Calm);
    let now = attempts(&mut monitor, 2000, 3, 10, 90);
    assert_eq!(monitor.condition(Scope::All, now), LoadCondition::Storm);
    assert_eq!(monitor.condition(Scope::All, now.after(Micros(3_000_000))), LoadCondition::Calm);
    assert_eq!(monitor.active_volumes(now), 1);
    assert_eq!(monitor.active_volumes(now.after(Micros(3_000_000))), 0);
}

#[test]
fn scopes_are_bounded() {
    let mut monitor = LoadMonitor::default();
    for volume in 0..MAX_SCOPES as u64 * 2 {
        monitor.record_arrival(0, volume, AttemptKind::First, Micros(volume * 1000));
    }
    assert!(monitor.scopes() <= MAX_SCOPES + 1);
    assert!(monitor.is_tracked(Scope::All) && monitor.is_tracked(Scope::Volume(MAX_SCOPES as u64 * 2 - 1)));
}
