//! Requests of one ordered key are executed one after the other, in the order in which they were submitted.

use crate::audit_rules::AuditRules;
use crate::ledger::{Attempt, AttemptLedger, ClientAttempt, Request};
use crate::record::End;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_order(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let mut requests: BTreeMap<usize, &Request> = BTreeMap::new();
    ledger.requests.values().filter_map(|r| r.of.map(|t| (t, r))).for_each(|(t, r)| {
        requests.insert(t, r);
    });
    // Only on one connection is the order in which the initiator took them certain.
    let mut lines: BTreeMap<(u64, u64), Vec<usize>> = BTreeMap::new();
    for (i, t) in ledger.client_attempts.iter().enumerate().filter(|(_, t)| rules.class(t.class).in_order) {
        lines.entry((t.key.0, t.place.1)).or_default().push(i);
    }
    for line in lines.values().filter(|l| l.len() > 1) {
        verdict.checked(Rule::Order, line.len() - 1);
        for (i, later) in line.iter().enumerate() {
            let Some(first) = requests.get(later).and_then(|r| r.attempts.first()) else { continue };
            for earlier in &line[..i] {
                if let Some(how) =
                    crossed(&ledger.client_attempts[*earlier], requests.get(earlier).copied(), first, rules)
                {
                    verdict.breach(
                        Rule::Order,
                        first.at,
                        Some(ledger.client_attempts[*later].op),
                        Some(first.node),
                        how,
                    );
                }
            }
        }
    }
}

fn crossed(
    earlier: &ClientAttempt,
    request: Option<&Request>,
    later: &Attempt,
    rules: &AuditRules,
) -> Option<String> {
    let by = later.at + rules.transit;
    if earlier.answers.first().is_none_or(|(at, _)| *at > by) {
        return Some(format!("sent before operation {} of its key was over", earlier.op));
    }
    let may_still_run = |a: &&Attempt| a.end.is_none_or(|(_, end)| end == End::Lost);
    for a in request.into_iter().flat_map(|r| &r.attempts) {
        if a.over.is_none_or(|over| over > by) {
            return Some(format!("sent while attempt {} of operation {} was out", a.no, earlier.op));
        }
        if may_still_run(&a) && a.over.is_some_and(|over| by < over + rules.key_cooldown) {
            return Some(format!("sent before the key had rested after operation {}", earlier.op));
        }
    }
    None
}
