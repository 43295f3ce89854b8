//! Acknowledged buffered writes reach their nodes, in order about each barrier. All writes to one extent of a
//! buffered class come on one connection at a time, so they were accepted in the order in which they were written.

use crate::audit_rules::AuditRules;
use crate::ledger::{AttemptLedger, ClientAttempt};
use crate::record::{Answer, Mark, Record};
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

type Place = (u64, u64);

/// The writes of the places concerned, and where nodes are in them.
struct Places<'a> {
    /// By place: its tries, in the order in which they were written.
    client_attempts: BTreeMap<Place, Vec<&'a ClientAttempt>>,
    /// By place: which of them was stored last; none: none.
    stored: BTreeMap<Place, usize>,
}

/// It is there for good.
fn kept(t: &ClientAttempt) -> bool {
    matches!(t.answers.first(), Some((_, Answer::Buffered | Answer::Served { .. })))
}

impl Places<'_> {
    /// The last write of a place, of those written before a moment, that must be there.
    fn must(&self, place: &Place, before: u64) -> Option<usize> {
        self.client_attempts[place].iter().rposition(|t| kept(t) && t.at < before)
    }

    /// The first place of a volume whose node is behind what was kept of it before a moment.
    fn behind(&self, volume: u64, before: u64) -> Option<(u64, u64)> {
        let of_volume = self.client_attempts.range((volume, 0)..=(volume, u64::MAX));
        for (place, client_attempts) in of_volume {
            if let Some(must) = self.must(place, before)
                && self.stored.get(place).is_none_or(|at| *at < must)
            {
                return Some((place.1, client_attempts[must].op));
            }
        }
        None
    }
}

pub(super) fn check_durability(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let buffered = |t: &&ClientAttempt| t.write && rules.class(t.class).is_buffered;
    let mut client_attempts: BTreeMap<Place, Vec<&ClientAttempt>> = BTreeMap::new();
    ledger
        .client_attempts
        .iter()
        .filter(buffered)
        .for_each(|t| client_attempts.entry(t.place).or_default().push(t));
    if client_attempts.is_empty() {
        return;
    }
    let mut places = Places { client_attempts, stored: BTreeMap::new() };
    let mut marks: BTreeMap<(u64, u64), (u64, u64, Mark)> = BTreeMap::new();
    // Barriers that stand, by volume: when each was written.
    let mut barriers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for record in &ledger.records {
        match *record {
            Record::Stored { at, node, op, volume, extent } => {
                stored(&mut places, &barriers, (at, node, op, (volume, extent)), verdict);
            }
            Record::Marked { at, client, id, volume, mark } => {
                marks.insert((client, id), (at, volume, mark));
            }
            Record::MarkStands { at, client, id } => match marks.get(&(client, id)) {
                Some((written, volume, Mark::Barrier)) => barriers.entry(*volume).or_default().push(*written),
                Some((written, volume, Mark::Flush)) => {
                    verdict.checked(Rule::Durability, 1);
                    if let Some((extent, op)) = places.behind(*volume, *written) {
                        let how = format!("a flush was answered, and extent {extent:x} is not on its node");
                        verdict.breach(Rule::Durability, at, Some(op), None, how);
                    }
                }
                None => verdict.breach(Rule::Durability, at, None, None, "a mark stands that no one made"),
            },
            _ => {}
        }
    }
    let end = ledger.records.last().map_or(0, Record::at);
    for (place, client_attempts) in &places.client_attempts {
        let Some(must) = places.must(place, u64::MAX) else { continue };
        verdict.checked(Rule::Durability, 1);
        if places.stored.get(place).is_none_or(|at| *at < must) {
            let t = client_attempts[must];
            let how = format!("it was acknowledged and extent {:x} does not hold it", place.1);
            verdict.breach(Rule::Durability, end, Some(t.op), None, how);
        }
    }
}

fn stored(
    places: &mut Places<'_>,
    barriers: &BTreeMap<u64, Vec<u64>>,
    (at, node, op, place): (u64, u64, u64, Place),
    verdict: &mut Verdict,
) {
    let Some(client_attempts) = places.client_attempts.get(&place) else { return };
    verdict.checked(Rule::Durability, 1);
    let Some(which) = client_attempts.iter().rposition(|t| t.op == op && t.at <= at) else {
        verdict.breach(Rule::Durability, at, Some(op), Some(node), "a node stored what no one wrote there");
        return;
    };
    let first = client_attempts.iter().position(|t| t.op == op).unwrap_or(which);
    if let Some(was) = places.stored.get(&place).copied().filter(|was| which < *was) {
        let how = format!("stored after operation {}, which is newer", client_attempts[was].op);
        verdict.breach(Rule::Durability, at, Some(op), Some(node), how);
    }
    // A further try of it may have been written after a barrier that the one that ran lies before.
    let written_first = client_attempts[first].at;
    for barrier in barriers.get(&place.0).into_iter().flatten().filter(|b| **b < written_first) {
        if let Some((extent, earlier)) = places.behind(place.0, *barrier) {
            let how =
                format!("stored though operation {earlier} (extent {extent:x}), before a barrier, was not");
            verdict.breach(Rule::Durability, at, Some(op), Some(node), how);
            break;
        }
    }
    places.stored.insert(place, which);
}
