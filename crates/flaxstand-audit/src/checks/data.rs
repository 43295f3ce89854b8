//! Reads return what was written.

use crate::ledger::AttemptLedger;
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

/// A read finds a write that had begun before its answer, and none that a later write, ended before the
/// read began, had replaced.
pub(super) fn check_data(ledger: &AttemptLedger, verdict: &mut Verdict) {
    // By place: of each operation that writes there, when it began and when its client first had it served.
    type Spans = BTreeMap<u64, (u64, Option<u64>)>;
    let mut writes: BTreeMap<(u64, u64), Spans> = BTreeMap::new();
    for t in ledger.client_attempts.iter().filter(|t| t.write) {
        let served = t
            .answers
            .iter()
            .find(|(_, a)| matches!(a, Answer::Served { .. } | Answer::Buffered))
            .map(|(at, _)| *at);
        let known = writes.entry(t.place).or_default().entry(t.op).or_insert((t.at, None));
        known.1 = known.1.or(served);
    }
    for t in ledger.client_attempts.iter().filter(|t| !t.write) {
        let Some((at, Answer::Served { found, .. })) = t.answers.first() else { continue };
        verdict.checked(Rule::Data, 1);
        let here = writes.get(&t.place);
        let mut breach = |how: String| verdict.breach(Rule::Data, *at, Some(t.op), None, how);
        let ended_before = |moment: u64| {
            let ended = move |w: &(&u64, &(u64, Option<u64>))| w.1.1.is_some_and(|end| end < moment);
            here.into_iter().flatten().filter(ended)
        };
        match found {
            None => {
                if let Some((op, _)) = ended_before(t.at).next() {
                    breach(format!("read nothing though operation {op} had written there"));
                }
            }
            Some(op) => match here.and_then(|w| w.get(op)) {
                None => breach(format!("read what no one wrote there: operation {op}")),
                Some((began, _)) if began > at => breach(format!("read operation {op} before it began")),
                Some((_, Some(end))) => {
                    if let Some((newer, _)) = ended_before(t.at).find(|(_, (began, _))| began > end) {
                        breach(format!("read operation {op} though operation {newer} had replaced it"));
                    }
                }
                Some((_, None)) => {}
            },
        }
    }
}
