//! Days generated from a seed: fleets of different sizes, with several kinds of faults in one day.

use super::day::{Day, Step, seconds};
use super::faults::{Fault, Outage};
use super::list_service::{Speed, Style, TargetId};
use super::random::Random;

/// Drain graces used by deployments, in milliseconds.
const GRACES_MS: [f64; 3] = [600.0, 1000.0, 2000.0];
/// Numbers of targets of large fleets.
const LARGE_FLEETS: [usize; 4] = [1000, 1600, 2400, 3200];
/// Longest pause of a slow response in milliseconds. With two such pauses a full list still arrives within
/// the shortest grace.
const MAX_PAUSE_MS: f64 = 100.0;
/// Network faults, each with the probability that it affects a call.
const FAULTS: [(Fault, f64); 8] = [
    (Fault::ConnectRefused, 0.4),
    (Fault::ConnectHangs, 0.2),
    (Fault::Reset, 0.4),
    (Fault::Silent, 0.2),
    (Fault::FirstByteDelayed(1500.0), 0.3),
    (Fault::SlowBody { bytes_per_second: 4e6, max_pause_ms: MAX_PAUSE_MS }, 0.3),
    (Fault::Truncated, 0.3),
    (Fault::Chunked, 0.5),
];

/// A day with thousands of targets.
pub fn large_day(seed: u64) -> Day {
    let mut random = Random::new(seed);
    let targets = random.pick(&LARGE_FLEETS);
    build_day(seed, targets, &mut random)
}

/// A day with at most a few hundred targets.
pub fn small_day(seed: u64) -> Day {
    let mut random = Random::new(seed);
    let targets = 12 + random.below(400);
    build_day(seed, targets, &mut random)
}

fn build_day(seed: u64, targets: usize, random: &mut Random) -> Day {
    let mut day = Day::without_faults(seed, 1 + random.below(6), targets);
    day.speed = Speed {
        call_lines: random.between(22.0, 67.0),
        lines_per_second: 200.0 * random.between(0.0, 15f64.ln()).exp(),
        sends_changes: random.chance(0.7),
    };
    day.style = Style { indented: random.chance(0.3), ..Style::default() };
    day.grace = seconds(random.pick(&GRACES_MS) / 1000.0);
    day.bytes_per_second = random.pick(&[4e6, 10e6, 50e6]);
    day.delayed_turn_rate = random.pick(&[0.0, 0.002, 0.01]);
    day.slow_connect_rate = random.pick(&[0.0, 0.02]);
    // Some days start with a long period without events.
    let active_from = if random.chance(0.3) { random.between(15.0, 25.0) } else { random.between(0.2, 4.0) };
    let day = Day { length: seconds(active_from + 20.0), ..day };
    let day = add_turnover(day, active_from, random);
    let day = add_faults(day, active_from, random);
    add_incident(day, active_from, random)
}

/// Adds drains of targets; some of them are removed, and some of those are listed again.
fn add_turnover(mut day: Day, active_from: f64, random: &mut Random) -> Day {
    let count = (day.targets as f64 * random.between(0.25, 0.5)) as usize;
    let all: Vec<TargetId> = random.sample(day.targets, count).into_iter().map(TargetId).collect();
    let groups = 1 + random.below(4);
    for group in all.chunks(all.len().div_ceil(groups).max(1)) {
        let drained = active_from + random.between(0.0, 6.0);
        day = day.step(seconds(drained), Step::Drain(group.to_vec()));
        if random.chance(0.4) {
            continue;
        }
        let removed = drained + random.between(0.5, 6.0);
        day = day.step(seconds(removed), Step::Remove(group.to_vec()));
        let relisted = removed + random.between(0.3, 6.0);
        match random.below(3) {
            0 => day = day.step(seconds(relisted), Step::Relist(group.to_vec())),
            1 => day = day.step(seconds(relisted), Step::Replace(group.to_vec())),
            _ => {}
        }
    }
    day
}

fn add_faults(mut day: Day, active_from: f64, random: &mut Random) -> Day {
    for _ in 0..random.below(3) {
        let (fault, probability) = random.pick(&FAULTS);
        let from = active_from + random.between(-2.0, 4.0);
        day = day.fault(fault, (from.max(0.0), from + random.between(1.0, 8.0)), probability);
    }
    day
}

/// Adds at most one incident of the list service or the hosts.
fn add_incident(day: Day, active_from: f64, random: &mut Random) -> Day {
    let at = active_from + random.between(-1.0, 4.0).max(-active_from);
    match random.below(8) {
        0 => {
            let outage = random.pick(&[Outage::Silent, Outage::Refused, Outage::Reset]);
            let ends = at + random.between(3.0, 9.0);
            day.step(seconds(at), Step::BeginOutage(outage)).step(seconds(ends), Step::EndOutage)
        }
        1 => day.step(seconds(at), Step::SilenceWatches),
        2 => day.step(seconds(at.max(1.0)), Step::Reload),
        3 => {
            let again = at.max(1.0) + random.between(0.5, 3.0);
            day.step(seconds(at.max(1.0)), Step::Reload).step(seconds(again), Step::Reload)
        }
        4 => add_restarts(day, at, random),
        5 => day.step(seconds(at), Step::ResetWatches),
        6 => {
            let ends = at + random.between(2.0, 9.0);
            day.step(seconds(at), Step::RejectCalls(true)).step(seconds(ends), Step::RejectCalls(false))
        }
        _ => day,
    }
}

fn add_restarts(mut day: Day, at: f64, random: &mut Random) -> Day {
    for host in 0..day.hosts {
        let killed = at + random.between(0.0, 3.0);
        let started = killed + random.between(0.2, 1.0);
        let revisions_behind = if random.chance(0.5) { 0 } else { random.below(50) as u64 };
        day = day.step(seconds(killed), Step::Kill(host));
        day = day.step(seconds(started), Step::Start { host, revisions_behind });
    }
    day
}
