//! What a day has to show: no late send, and a final answer for every request.

use super::audit::Share;
use super::day::{Day, Step, seconds};
use super::simulation::{Simulation, Verdict};
use std::collections::BTreeMap;

/// Most breaks of a day that are told one by one.
const BREAKS_TOLD: usize = 4;

/// The rule holds, and every request has its final answer.
pub fn assert_holds(day: &Day) -> Verdict {
    let verdict = Simulation::play(day.clone());
    assert!(verdict.holds(), "{}", told(day, &verdict));
    verdict
}

/// Plays many days; those that break a rule are told together. Over all of them this part at least is served.
pub fn assert_all_hold(days: impl Iterator<Item = Day>, served_least: f64) {
    let (mut played, mut share) = (0, Share::default());
    let mut broken = Vec::new();
    for day in days {
        let verdict = Simulation::play(day.clone());
        played += 1;
        share.asked += verdict.share.asked;
        share.served += verdict.share.served;
        if !verdict.holds() {
            broken.push(told(&day, &verdict));
        }
    }
    assert!(broken.is_empty(), "{} of {played} days break a rule\n{}", broken.len(), broken.join("\n"));
    assert!(share.part() >= served_least, "{share:?} over {played} days");
}

/// What a day broke, by the reasons why changes counted as told.
pub fn told(day: &Day, verdict: &Verdict) -> String {
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

/// Targets of a large fleet.
pub const LARGE: usize = 2000;

/// A quarter of the targets drains at this second.
pub fn drains(day: Day, at: f64) -> Day {
    let drained = day.percent(25);
    day.step(seconds(at), Step::Drain(drained))
}

/// All hosts are killed at this second, and start anew within the next.
pub fn restarts(mut day: Day, at: f64, revisions_behind: u64) -> Day {
    for host in 0..day.hosts {
        let started = at + 0.3 + 0.1 * host as f64;
        day = day.step(seconds(at), Step::Kill(host));
        day = day.step(seconds(started), Step::Start { host, revisions_behind });
    }
    day
}
