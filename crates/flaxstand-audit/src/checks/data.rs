//! Reads return the data that was written.

use crate::ledger::{AttemptLedger, ExtentKey};
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

/// A read returns a write that was submitted before the read's answer, and that was not overwritten by a
/// later write that had completed before the read was submitted.
pub(super) fn check_data(ledger: &AttemptLedger, verdict: &mut Verdict) {
    // For each operation that writes to an extent: when it was submitted and when it was first acknowledged.
    type Spans = BTreeMap<u64, (u64, Option<u64>)>;
    let mut writes: BTreeMap<ExtentKey, Spans> = BTreeMap::new();
    for attempt in ledger.client_attempts.iter().filter(|attempt| attempt.write) {
        let acknowledged_at = attempt
            .answers
            .iter()
            .find(|(_, answer)| matches!(answer, Answer::Served { .. } | Answer::Buffered))
            .map(|(at, _)| *at);
        let spans = writes.entry(attempt.extent).or_default();
        let span = spans.entry(attempt.op).or_insert((attempt.at, None));
        span.1 = span.1.or(acknowledged_at);
    }
    for read in ledger.client_attempts.iter().filter(|attempt| !attempt.write) {
        let Some((at, Answer::Served { found, .. })) = read.answers.first() else { continue };
        verdict.count_checked(Rule::Data, 1);
        let spans = writes.get(&read.extent);
        let mut report = |description: String| {
            verdict.report_breach(Rule::Data, *at, Some(read.op), None, description);
        };
        let completed_before = |time: u64| {
            let is_completed =
                move |write: &(&u64, &(u64, Option<u64>))| write.1.1.is_some_and(|end| end < time);
            spans.into_iter().flatten().filter(is_completed)
        };
        match found {
            None => {
                if let Some((op, _)) = completed_before(read.at).next() {
                    report(format!(
                        "read returned no data although the write of operation {op} had completed"
                    ));
                }
            }
            Some(op) => match spans.and_then(|spans| spans.get(op)) {
                None => {
                    report(format!("read returned data of operation {op}, which did not write this extent"))
                }
                Some((submitted_at, _)) if submitted_at > at => {
                    report(format!("read returned data of operation {op} before that write was submitted"));
                }
                Some((_, Some(end))) => {
                    let overwrites =
                        |(_, (submitted_at, _)): &(&u64, &(u64, Option<u64>))| submitted_at > end;
                    if let Some((newer, _)) = completed_before(read.at).find(overwrites) {
                        report(format!(
                            "read returned data of operation {op}, overwritten by operation {newer}"
                        ));
                    }
                }
                Some((_, None)) => {}
            },
        }
    }
}
