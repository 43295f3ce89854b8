//! No request is executed more often than its class allows, and none is rejected that may have been executed.

use super::ms;
use crate::audit_rules::{AuditRules, DeduplicationScope, Effect};
use crate::ledger::{Attempt, AttemptLedger, Request};
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

fn place(ledger: &AttemptLedger, a: &Attempt, scope: DeduplicationScope) -> u64 {
    let process = ledger.processes.get(&(a.node, a.incarnation));
    match scope {
        DeduplicationScope::All => 0,
        DeduplicationScope::Zone => process.map_or(u64::MAX, |l| l.zone.into()),
        DeduplicationScope::Shard => process.map_or(u64::MAX, |l| l.shard.into()),
    }
}

pub(super) fn check_effects(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    verdict.checked(Rule::Effects, ledger.requests.len());
    let mut by_op: BTreeMap<u64, Vec<&Request>> = BTreeMap::new();
    for request in ledger.requests.values() {
        by_op.entry(request.op).or_default().push(request);
        two_out(request, rules, verdict);
        refused_after_running(ledger, request, rules, verdict);
    }
    for (op, requests) in by_op {
        let effect = rules.class(requests[0].class).effect;
        let mut attempts: Vec<&Attempt> =
            requests.iter().flat_map(|r| &r.attempts).filter(|a| a.may_have_run()).collect();
        attempts.sort_by_key(|a| a.at);
        let Some((first, retries)) = attempts.split_first() else { continue };
        for a in retries {
            let how = match effect {
                Effect::Idempotent => continue,
                Effect::AtMostOnce => "sent again though it may have run".to_owned(),
                Effect::IdempotencyKey(scope, _)
                    if place(ledger, a, scope) != place(ledger, first, scope) =>
                {
                    format!("sent again outside the {scope:?} that drops its repeats")
                }
                Effect::IdempotencyKey(_, window) if a.at > first.at + window + rules.transit => {
                    format!(
                        "sent again {} after the first, remembered for {}",
                        ms(a.at - first.at),
                        ms(window)
                    )
                }
                Effect::IdempotencyKey(..) => continue,
            };
            verdict.breach(Rule::Effects, a.at, Some(op), Some(a.node), how);
        }
    }
}

fn two_out(request: &Request, rules: &AuditRules, verdict: &mut Verdict) {
    for (i, later) in request.attempts.iter().enumerate() {
        let out = |a: &&Attempt| a.over.is_none_or(|over| over > later.at + rules.transit);
        let earlier: Vec<String> =
            request.attempts[..i].iter().filter(out).map(|a| a.no.to_string()).collect();
        if earlier.len() >= rules.max_concurrent_attempts {
            let how = format!("attempt {} sent while attempt {} was out", later.no, earlier.join(" and "));
            verdict.breach(Rule::Effects, later.at, Some(request.op), Some(later.node), how);
        }
    }
}

fn refused_after_running(
    ledger: &AttemptLedger,
    request: &Request,
    rules: &AuditRules,
    verdict: &mut Verdict,
) {
    let effect = rules.class(request.class).effect;
    if matches!(effect, Effect::Idempotent | Effect::IdempotencyKey(DeduplicationScope::All, _)) {
        return;
    }
    let Some(t) = request.of.map(|t| &ledger.client_attempts[t]) else { return };
    if let Some((at, Answer::Refused { .. })) = t.answers.first()
        && let Some(a) = request.attempts.iter().find(|a| a.may_have_run())
    {
        verdict.breach(Rule::Effects, *at, Some(t.op), Some(a.node), "refused though it may have run");
    }
}
