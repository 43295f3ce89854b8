//! Acknowledged buffered writes reach their nodes, in order with respect to each barrier. All writes to one
//! extent of a buffered class use one connection at a time, so they are accepted in the order in which they
//! were submitted.

use crate::audit_rules::AuditRules;
use crate::ledger::{AttemptLedger, ClientAttempt, ExtentKey};
use crate::record::{Answer, Mark, Record};
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

/// Submitted and stored writes of each extent that buffered classes write to.
struct Extents<'a> {
    /// Client attempts to write to an extent, in the order of submission.
    client_attempts: BTreeMap<ExtentKey, Vec<&'a ClientAttempt>>,
    /// Index in `client_attempts` of the write that the node stored last.
    stored: BTreeMap<ExtentKey, usize>,
}

/// Whether the write was acknowledged: its data must not be lost.
fn is_acknowledged(attempt: &ClientAttempt) -> bool {
    matches!(attempt.answers.first(), Some((_, Answer::Buffered | Answer::Served { .. })))
}

impl Extents<'_> {
    /// Index of the last acknowledged write to an extent among those submitted before a time.
    fn last_acknowledged(&self, extent: &ExtentKey, before: u64) -> Option<usize> {
        self.client_attempts[extent]
            .iter()
            .rposition(|attempt| is_acknowledged(attempt) && attempt.at < before)
    }

    /// The first extent of a volume, and the operation, whose acknowledged write from before a time is not
    /// stored.
    fn first_missing(&self, volume: u64, before: u64) -> Option<(u64, u64)> {
        let of_volume = self.client_attempts.range((volume, 0)..=(volume, u64::MAX));
        for (extent, client_attempts) in of_volume {
            if let Some(acknowledged) = self.last_acknowledged(extent, before)
                && self.stored.get(extent).is_none_or(|stored| *stored < acknowledged)
            {
                return Some((extent.1, client_attempts[acknowledged].op));
            }
        }
        None
    }
}

pub(super) fn check_durability(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let is_buffered_write =
        |attempt: &&ClientAttempt| attempt.write && rules.class(attempt.class).is_buffered;
    let mut client_attempts: BTreeMap<ExtentKey, Vec<&ClientAttempt>> = BTreeMap::new();
    for attempt in ledger.client_attempts.iter().filter(is_buffered_write) {
        client_attempts.entry(attempt.extent).or_default().push(attempt);
    }
    if client_attempts.is_empty() {
        return;
    }
    let mut extents = Extents { client_attempts, stored: BTreeMap::new() };
    let mut marks: BTreeMap<(u64, u64), (u64, u64, Mark)> = BTreeMap::new();
    // Submission times of the completed barriers of each volume.
    let mut barriers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for record in &ledger.records {
        match *record {
            Record::Stored { at, node, op, volume, extent } => {
                check_stored_write(&mut extents, &barriers, (at, node, op, (volume, extent)), verdict);
            }
            Record::Marked { at, client, id, volume, mark } => {
                marks.insert((client, id), (at, volume, mark));
            }
            Record::MarkCompleted { at, client, id } => match marks.get(&(client, id)) {
                Some((submitted_at, volume, Mark::Barrier)) => {
                    barriers.entry(*volume).or_default().push(*submitted_at);
                }
                Some((submitted_at, volume, Mark::Flush)) => {
                    verdict.count_checked(Rule::Durability, 1);
                    if let Some((extent, op)) = extents.first_missing(*volume, *submitted_at) {
                        let description =
                            format!("flush completed before extent {extent:x} was stored on its node");
                        verdict.report_breach(Rule::Durability, at, Some(op), None, description);
                    }
                }
                None => {
                    let description = format!(
                        "a barrier or flush completed that no client submitted: client {client}, id {id}"
                    );
                    verdict.report_breach(Rule::Durability, at, None, None, description);
                }
            },
            _ => {}
        }
    }
    let end = ledger.records.last().map_or(0, Record::at);
    for (extent, client_attempts) in &extents.client_attempts {
        let Some(acknowledged) = extents.last_acknowledged(extent, u64::MAX) else { continue };
        verdict.count_checked(Rule::Durability, 1);
        if extents.stored.get(extent).is_none_or(|stored| *stored < acknowledged) {
            let description = format!("it was acknowledged and extent {:x} does not hold it", extent.1);
            let op = client_attempts[acknowledged].op;
            verdict.report_breach(Rule::Durability, end, Some(op), None, description);
        }
    }
}

/// Checks a write that a node stored: it was submitted, replaces no newer write, and passes no barrier.
fn check_stored_write(
    extents: &mut Extents<'_>,
    barriers: &BTreeMap<u64, Vec<u64>>,
    (at, node, op, extent): (u64, u64, u64, ExtentKey),
    verdict: &mut Verdict,
) {
    let Some(client_attempts) = extents.client_attempts.get(&extent) else { return };
    verdict.count_checked(Rule::Durability, 1);
    let Some(index) = client_attempts.iter().rposition(|attempt| attempt.op == op && attempt.at <= at) else {
        let description = format!("node stored a write to extent {:x} that no client submitted", extent.1);
        verdict.report_breach(Rule::Durability, at, Some(op), Some(node), description);
        return;
    };
    let first = client_attempts.iter().position(|attempt| attempt.op == op).unwrap_or(index);
    if let Some(previous) = extents.stored.get(&extent).copied().filter(|previous| index < *previous) {
        let description = format!("stored after the newer operation {}", client_attempts[previous].op);
        verdict.report_breach(Rule::Durability, at, Some(op), Some(node), description);
    }
    // The submission of the operation's first attempt counts: a client may retry it after a barrier although
    // the attempt that was executed precedes that barrier.
    let first_submitted_at = client_attempts[first].at;
    for barrier in barriers.get(&extent.0).into_iter().flatten().filter(|at| **at < first_submitted_at) {
        if let Some((missing_extent, missing_op)) = extents.first_missing(extent.0, *barrier) {
            let description = format!(
                "stored before operation {missing_op} (extent {missing_extent:x}), which precedes a barrier"
            );
            verdict.report_breach(Rule::Durability, at, Some(op), Some(node), description);
            break;
        }
    }
    extents.stored.insert(extent, index);
}
