//! Days drawn from a seed: fleets of any size, several kinds of trouble in one day.

use super::day::{Day, Step, seconds};
use super::draw::Draw;
use super::list_service::{Speed, Style, TargetId};
use super::network::{Fault, Outage};

/// Graces of deployments, ms.
const GRACES: [f64; 3] = [600.0, 1000.0, 2000.0];
/// Targets of a large fleet.
const LARGE: [usize; 4] = [1000, 1600, 2400, 3200];
/// Longest pause of a slow answer, ms: with two of them a whole list still comes within the shortest grace.
const SHORT_PAUSE: f64 = 100.0;
/// Faults of the way with how often they meet a call.
const FAULTS: [(Fault, f64); 8] = [
    (Fault::DialRefused, 0.4),
    (Fault::DialLost, 0.2),
    (Fault::Reset, 0.4),
    (Fault::Silent, 0.2),
    (Fault::FirstByteLate(1500.0), 0.3),
    (Fault::SlowBody { bytes_per_second: 4e6, pause_most: SHORT_PAUSE }, 0.3),
    (Fault::CutOff, 0.3),
    (Fault::Chunked, 0.5),
];

/// A day before thousands of targets.
pub fn large_day(seed: u64) -> Day {
    let mut draw = Draw::new(seed);
    let targets = draw.pick(&LARGE);
    draw_day(seed, targets, &mut draw)
}

/// A day before some hundreds of targets at most.
pub fn small_day(seed: u64) -> Day {
    let mut draw = Draw::new(seed);
    let targets = 12 + draw.below(400);
    draw_day(seed, targets, &mut draw)
}

fn draw_day(seed: u64, targets: usize, draw: &mut Draw) -> Day {
    let mut day = Day::quiet(seed, 1 + draw.below(6), targets);
    day.speed = Speed {
        call_lines: draw.between(22.0, 67.0),
        lines_per_second: 200.0 * draw.between(0.0, 15f64.ln()).exp(),
        tells_changes: draw.chance(0.7),
    };
    day.style = Style { indented: draw.chance(0.3), ..Style::default() };
    day.grace = seconds(draw.pick(&GRACES) / 1000.0);
    day.bytes_per_second = draw.pick(&[4e6, 10e6, 50e6]);
    day.held_up = draw.pick(&[0.0, 0.002, 0.01]);
    day.late_connections = draw.pick(&[0.0, 0.02]);
    // Some days begin with a long quiet time.
    let quiet = if draw.chance(0.3) { draw.between(15.0, 25.0) } else { draw.between(0.2, 4.0) };
    let day = Day { length: seconds(quiet + 20.0), ..day };
    let day = draw_turnover(day, quiet, draw);
    let day = draw_faults(day, quiet, draw);
    draw_trouble(day, quiet, draw)
}

/// Targets drain, some of them are removed, and some of those are listed again.
fn draw_turnover(mut day: Day, quiet: f64, draw: &mut Draw) -> Day {
    let count = (day.targets as f64 * draw.between(0.25, 0.5)) as usize;
    let all: Vec<TargetId> = draw.sample(day.targets, count).into_iter().map(TargetId).collect();
    let groups = 1 + draw.below(4);
    for group in all.chunks(all.len().div_ceil(groups).max(1)) {
        let drains = quiet + draw.between(0.0, 6.0);
        day = day.step(seconds(drains), Step::Drain(group.to_vec()));
        if draw.chance(0.4) {
            continue;
        }
        let removed = drains + draw.between(0.5, 6.0);
        day = day.step(seconds(removed), Step::Remove(group.to_vec()));
        let back = removed + draw.between(0.3, 6.0);
        match draw.below(3) {
            0 => day = day.step(seconds(back), Step::Return(group.to_vec())),
            1 => day = day.step(seconds(back), Step::Replace(group.to_vec())),
            _ => {}
        }
    }
    day
}

fn draw_faults(mut day: Day, quiet: f64, draw: &mut Draw) -> Day {
    for _ in 0..draw.below(3) {
        let (fault, part) = draw.pick(&FAULTS);
        let from = quiet + draw.between(-2.0, 4.0);
        day = day.fault(fault, (from.max(0.0), from + draw.between(1.0, 8.0)), part);
    }
    day
}

/// One trouble of the list service or the hosts.
fn draw_trouble(day: Day, quiet: f64, draw: &mut Draw) -> Day {
    let at = quiet + draw.between(-1.0, 4.0).max(-quiet);
    match draw.below(6) {
        0 => {
            let outage = draw.pick(&[Outage::Silent, Outage::Refused, Outage::Reset]);
            let ends = at + draw.between(3.0, 9.0);
            day.step(seconds(at), Step::OutageBegins(outage)).step(seconds(ends), Step::OutageEnds)
        }
        1 => day.step(seconds(at), Step::WatchesFallSilent),
        2 => day.step(seconds(at.max(1.0)), Step::Reload),
        3 => {
            let again = at.max(1.0) + draw.between(0.5, 3.0);
            day.step(seconds(at.max(1.0)), Step::Reload).step(seconds(again), Step::Reload)
        }
        4 => draw_restarts(day, at, draw),
        _ => day,
    }
}

fn draw_restarts(mut day: Day, at: f64, draw: &mut Draw) -> Day {
    for host in 0..day.hosts {
        let killed = at + draw.between(0.0, 3.0);
        let started = killed + draw.between(0.2, 1.0);
        let revisions_behind = if draw.chance(0.5) { 0 } else { draw.below(50) as u64 };
        day = day.step(seconds(killed), Step::Kill(host));
        day = day.step(seconds(started), Step::Start { host, revisions_behind });
    }
    day
}
