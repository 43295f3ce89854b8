//! Assertions on the result of a day: no request to a target is late, and every client request has a final
//! response.

use super::audit::ServedShare;
use super::day::{Day, Step, seconds};
use super::simulation::{DayResult, Simulation};
use std::collections::BTreeMap;

/// Maximum number of violations of a day that are printed in detail.
const MAX_VIOLATIONS_SHOWN: usize = 4;

/// Minimum served share of the servable requests on a single day.
const MIN_SERVED: f64 = 0.6;

/// Plays a day and asserts that no request is late, every request has its final response and most are served.
pub fn assert_passes(day: &Day) -> DayResult {
    let result = Simulation::play(day.clone());
    assert!(result.passed() && result.share.ratio() >= MIN_SERVED, "{}", describe(day, &result));
    result
}

/// Plays several days and reports all failed ones together. Also asserts a minimum served share over all
/// days.
pub fn assert_all_pass(days: impl Iterator<Item = Day>, min_served: f64) {
    let (mut played, mut share) = (0, ServedShare::default());
    let mut failed = Vec::new();
    for day in days {
        let result = Simulation::play(day.clone());
        played += 1;
        share.requests += result.share.requests;
        share.served += result.share.served;
        if !result.passed() {
            failed.push(describe(&day, &result));
        }
    }
    assert!(failed.is_empty(), "{} of {played} days failed\n{}", failed.len(), failed.join("\n"));
    assert!(
        share.ratio() >= min_served,
        "served share {:.3} over {played} days, expected at least {min_served}: {share:?}",
        share.ratio()
    );
}

/// Describes a failed day: its violations by the reason for which the host counts as notified.
pub fn describe(day: &Day, result: &DayResult) -> String {
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &result.violations {
        *reasons.entry(violation.notified.reason.name()).or_default() += 1;
    }
    let by_first_byte = result.violations.iter().filter(|violation| violation.only_by_first_byte).count();
    let first: Vec<String> = result
        .violations
        .iter()
        .take(MAX_VIOLATIONS_SHOWN)
        .map(|violation| format!("\n    {violation}"))
        .collect();
    format!(
        "seed {}: {} hosts, {} targets, {:.0} lines per second, grace {} ms: \
         {} of {} requests to targets were late {reasons:?} \
         ({by_first_byte} of them only because responses count from their first byte), \
         {} client requests without a final response, served share {:.2}{}",
        day.seed,
        day.hosts,
        day.targets,
        day.speed.lines_per_second,
        day.grace.ms(),
        result.violations.len(),
        result.requests_sent,
        result.unanswered,
        result.share.ratio(),
        first.join("")
    )
}

/// Number of targets of a large fleet.
pub const LARGE: usize = 2000;

/// Adds the drain of a quarter of the targets at this second.
pub fn drains(day: Day, at: f64) -> Day {
    let drained = day.first_percent(25);
    day.step(seconds(at), Step::Drain(drained))
}

/// Adds a restart of every host: all are killed at this second and start again 0.3 s later, at intervals of
/// 0.1 s.
pub fn restarts(mut day: Day, at: f64, revisions_behind: u64) -> Day {
    for host in 0..day.hosts {
        let started = at + 0.3 + 0.1 * host as f64;
        day = day.step(seconds(at), Step::Kill(host));
        day = day.step(seconds(started), Step::Start { host, revisions_behind });
    }
    day
}
