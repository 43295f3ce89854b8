//! Requests of one ordered key are executed one after the other, in the order in which they were submitted.

use crate::audit_rules::AuditRules;
use crate::ledger::{Attempt, AttemptLedger, ClientAttempt, Request};
use crate::record::End;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_order(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let requests: BTreeMap<usize, &Request> = ledger
        .requests
        .values()
        .filter_map(|request| request.client_attempt.map(|index| (index, request)))
        .collect();
    // The order in which the initiator accepted requests is known only for those of one connection.
    let mut queues: BTreeMap<(u64, u64), Vec<usize>> = BTreeMap::new();
    let in_order = |attempt: &ClientAttempt| rules.class(attempt.class).in_order;
    for (index, attempt) in ledger.client_attempts.iter().enumerate().filter(|(_, attempt)| in_order(attempt))
    {
        queues.entry((attempt.key.0, attempt.extent.1)).or_default().push(index);
    }
    for queue in queues.values().filter(|queue| queue.len() > 1) {
        verdict.count_checked(Rule::Order, queue.len() - 1);
        for (position, later) in queue.iter().enumerate() {
            let first = requests.get(later).and_then(|request| request.attempts.first());
            let Some(first) = first else { continue };
            for earlier in &queue[..position] {
                let request = requests.get(earlier).copied();
                let violation = order_violation(&ledger.client_attempts[*earlier], request, first, rules);
                if let Some(description) = violation {
                    let op = Some(ledger.client_attempts[*later].op);
                    verdict.report_breach(Rule::Order, first.at, op, Some(first.node), description);
                }
            }
        }
    }
}

/// Why `later`, the first attempt of a later request, was sent too early after an earlier request of its key.
fn order_violation(
    earlier: &ClientAttempt,
    request: Option<&Request>,
    later: &Attempt,
    rules: &AuditRules,
) -> Option<String> {
    let latest = later.at + rules.transit;
    if earlier.answers.first().is_none_or(|(at, _)| *at > latest) {
        return Some(format!("sent before operation {} of the same key was answered", earlier.op));
    }
    let may_still_execute = |attempt: &Attempt| attempt.end.is_none_or(|(_, end)| end == End::Lost);
    for attempt in request.into_iter().flat_map(|request| &request.attempts) {
        if attempt.completed_at.is_none_or(|completed_at| completed_at > latest) {
            return Some(format!(
                "sent while attempt {} of operation {} was in flight",
                attempt.number, earlier.op
            ));
        }
        let is_cooling_down = |completed_at| latest < completed_at + rules.key_cooldown;
        if may_still_execute(attempt) && attempt.completed_at.is_some_and(is_cooling_down) {
            return Some(format!("sent during the key's cooldown after operation {}", earlier.op));
        }
    }
    None
}
