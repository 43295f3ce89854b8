//! Delays until changes take effect. Joins the time at which each change was made with the times at which the
//! initiators applied it.

use super::hollow::Activation;
use crate::agreed::{parse_log_time, parse_rules_event, unix_time};
use flaxstand_gateway::driver::clock;
use serde::Serialize;
use std::collections::BTreeMap;

/// A revision of the list or a version of the rules, with the time at which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision or version.
    pub number: u64,
    /// Microseconds of the host's monotonic clock.
    pub at: u64,
}

/// Distribution of the delays from when changes were made until they took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Lags {
    /// Number of changes.
    pub changes: usize,
    /// Number of initiators that each change should reach.
    pub initiators: usize,
    /// Pairs of a change and an initiator that applied it.
    pub reached: usize,
    /// Median over these pairs, ms.
    pub p50_ms: f64,
    /// 99th percentile, ms.
    pub p99_ms: f64,
    /// Maximum, ms.
    pub last_ms: f64,
}

impl Lags {
    /// Computes the delays of changes that should reach `initiators` initiators. An initiator that applies a
    /// later number has also applied the earlier ones.
    pub fn of(changes: &[Change], activations: &[Activation], initiators: usize) -> Lags {
        let mut by_initiator: BTreeMap<u32, Vec<&Activation>> = BTreeMap::new();
        for activation in activations {
            by_initiator.entry(activation.initiator).or_default().push(activation);
        }
        let mut lags = Vec::new();
        for own in by_initiator.values() {
            for change in changes {
                let applies = |a: &&&Activation| a.number >= change.number && a.at >= change.at;
                let first = own.iter().filter(applies).map(|activation| activation.at).min();
                lags.extend(first.map(|at| at - change.at));
            }
        }
        lags.sort_unstable();
        let percentile = |share: f64| {
            let rank = (lags.len() as f64 * share).ceil() as usize;
            lags.get(rank.saturating_sub(1)).map_or(0.0, |micros| *micros as f64 / 1000.0)
        };
        Lags {
            changes: changes.len(),
            initiators,
            reached: lags.len(),
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            last_ms: percentile(1.0),
        }
    }

    /// Returns whether every change reached every initiator.
    pub fn complete(&self) -> bool {
        self.reached == self.changes * self.initiators
    }
}

/// Events parsed from the log of an initiator process.
#[derive(Clone, Debug, Default)]
pub(super) struct LogEvents {
    pub(super) revisions: Vec<Activation>,
    pub(super) versions: Vec<Activation>,
    /// Listed nodes that the process dropped because of its `bounds nodes` setting.
    pub(super) left_out: usize,
}

/// Converts a calendar time (seconds since 1970) to microseconds of the host's monotonic clock.
fn monotonic_micros(calendar_seconds: f64) -> u64 {
    let ago = unix_time() - calendar_seconds;
    (clock().0 as f64 - ago * 1e6).max(0.0) as u64
}

impl LogEvents {
    /// Parses the log of the initiator with number `initiator`.
    pub(super) fn parse(initiator: u32, log: &str) -> LogEvents {
        let mut events = LogEvents::default();
        for line in log.lines() {
            if let Some(acted) = parse_rules_event(line) {
                let version = acted.what.strip_prefix("Version(").and_then(|rest| rest.strip_suffix(')'));
                let number = version.and_then(|number| number.parse().ok());
                let activation =
                    number.map(|number| Activation { initiator, number, at: monotonic_micros(acted.at) });
                events.versions.extend(activation);
            } else if let Some((revision, at)) = parse_list_update(line) {
                events.revisions.push(Activation { initiator, number: revision, at: monotonic_micros(at) });
            } else if line.contains("a listed node beyond the bound is left out") {
                events.left_out += 1;
            }
        }
        events
    }
}

/// Parses a log line about a list received from the list service. Returns the revision and the calendar time.
/// A list that was loaded from the saved file does not count.
fn parse_list_update(line: &str) -> Option<(u64, f64)> {
    let (head, rest) = line.split_once(" INFO node list ")?;
    if rest.contains("scope=Cached") {
        return None;
    }
    let revision = rest.split_once("revision=")?.1.split_whitespace().next()?.parse().ok()?;
    Some((revision, parse_log_time(head.trim())?))
}
