//! How long changes took until they were in force: joins when each was made with when each initiator acted on it.

use super::hollow::Arrival;
use crate::agreed::{parse_log_time, parse_rules_event, unix_time};
use flaxstand_gateway::driver::clock;
use serde::Serialize;
use std::collections::BTreeMap;

/// A revision of the list or a version of the rules, and when it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision or version.
    pub number: u64,
    /// Microseconds of the host's clock.
    pub at: u64,
}

/// Times from when changes were made until they were in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Lags {
    /// Changes made.
    pub changes: usize,
    /// Initiators that each should reach.
    pub initiators: usize,
    /// Pairs of a change and an initiator at which it came in force.
    pub reached: usize,
    /// Median over these pairs, ms.
    pub p50_ms: f64,
    /// 99th percentile, ms.
    pub p99_ms: f64,
    /// The longest, ms.
    pub last_ms: f64,
}

impl Lags {
    /// Of changes that should reach so many initiators. One that acts on a later number has passed the earlier.
    pub fn of(changes: &[Change], arrivals: &[Arrival], initiators: usize) -> Lags {
        let mut by_initiator: BTreeMap<u32, Vec<&Arrival>> = BTreeMap::new();
        for arrival in arrivals {
            by_initiator.entry(arrival.initiator).or_default().push(arrival);
        }
        let mut lags = Vec::new();
        for own in by_initiator.values() {
            for change in changes {
                let passed = |a: &&&Arrival| a.number >= change.number && a.at >= change.at;
                let first = own.iter().filter(passed).map(|arrival| arrival.at).min();
                lags.extend(first.map(|at| at - change.at));
            }
        }
        lags.sort_unstable();
        let at = |share: f64| {
            let place = (lags.len() as f64 * share).ceil() as usize;
            lags.get(place.saturating_sub(1)).map_or(0.0, |micros| *micros as f64 / 1000.0)
        };
        Lags {
            changes: changes.len(),
            initiators,
            reached: lags.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            last_ms: at(1.0),
        }
    }

    /// Every change reached every initiator.
    pub fn complete(&self) -> bool {
        self.reached == self.changes * self.initiators
    }
}

/// What a process' log tells of what it acts on.
#[derive(Clone, Debug, Default)]
pub(super) struct LogFacts {
    pub(super) revisions: Vec<Arrival>,
    pub(super) versions: Vec<Arrival>,
    /// Listed nodes that were left out at the process' bound.
    pub(super) left_out: usize,
}

/// Microseconds of the host's clock at a moment of its calendar.
fn clock_at(calendar_seconds: f64) -> u64 {
    let ago = unix_time() - calendar_seconds;
    (clock().0 as f64 - ago * 1e6).max(0.0) as u64
}

impl LogFacts {
    /// From the log of the initiator with that number.
    pub(super) fn read(initiator: u32, log: &str) -> LogFacts {
        let mut facts = LogFacts::default();
        for line in log.lines() {
            if let Some(acted) = parse_rules_event(line) {
                let version = acted.what.strip_prefix("Version(").and_then(|rest| rest.strip_suffix(')'));
                let number = version.and_then(|number| number.parse().ok());
                let arrival = number.map(|number| Arrival { initiator, number, at: clock_at(acted.at) });
                facts.versions.extend(arrival);
            } else if let Some((revision, at)) = told_list(line) {
                facts.revisions.push(Arrival { initiator, number: revision, at: clock_at(at) });
            } else if line.contains("a listed node beyond the bound is left out") {
                facts.left_out += 1;
            }
        }
        facts
    }
}

/// The revision and the moment of a line that tells that the list was taken from its service.
fn told_list(line: &str) -> Option<(u64, f64)> {
    let (head, rest) = line.split_once(" INFO node list ")?;
    if rest.contains("scope=Cached") {
        return None;
    }
    let revision = rest.split_once("revision=")?.1.split_whitespace().next()?.parse().ok()?;
    Some((revision, parse_log_time(head.trim())?))
}
