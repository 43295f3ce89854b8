//! No request is executed more often than its class allows, and none is rejected that may have been executed.

use super::ms;
use crate::audit_rules::{AuditRules, DeduplicationScope, Effect};
use crate::ledger::{Attempt, AttemptLedger, Request};
use crate::record::Answer;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

/// Identifies the group of nodes that deduplicates together with the attempt's node.
fn deduplication_group(ledger: &AttemptLedger, attempt: &Attempt, scope: DeduplicationScope) -> u64 {
    let process = ledger.processes.get(&(attempt.node, attempt.incarnation));
    match scope {
        DeduplicationScope::All => 0,
        DeduplicationScope::Zone => process.map_or(u64::MAX, |process| process.zone.into()),
        DeduplicationScope::Shard => process.map_or(u64::MAX, |process| process.shard.into()),
    }
}

pub(super) fn check_effects(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    verdict.count_checked(Rule::Effects, ledger.requests.len());
    let mut by_op: BTreeMap<u64, Vec<&Request>> = BTreeMap::new();
    for request in ledger.requests.values() {
        by_op.entry(request.op).or_default().push(request);
        check_concurrent_attempts(request, rules, verdict);
        check_rejection(ledger, request, rules, verdict);
    }
    for (op, requests) in by_op {
        let effect = rules.class(requests[0].class).effect;
        let mut attempts: Vec<&Attempt> = requests
            .iter()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| attempt.may_have_executed())
            .collect();
        attempts.sort_by_key(|attempt| attempt.at);
        let Some((first, retries)) = attempts.split_first() else { continue };
        for retry in retries {
            let description = match effect {
                Effect::Idempotent => continue,
                Effect::AtMostOnce => "retried although an earlier attempt may have executed".to_owned(),
                Effect::IdempotencyKey(scope, _)
                    if deduplication_group(ledger, retry, scope)
                        != deduplication_group(ledger, first, scope) =>
                {
                    format!("retried outside the deduplication scope {scope:?} of the first attempt")
                }
                Effect::IdempotencyKey(_, window) if retry.at > first.at + window + rules.transit => {
                    format!(
                        "retried {} after the first attempt, deduplication window is {}",
                        ms(retry.at - first.at),
                        ms(window)
                    )
                }
                Effect::IdempotencyKey(..) => continue,
            };
            verdict.report_breach(Rule::Effects, retry.at, Some(op), Some(retry.node), description);
        }
    }
}

fn check_concurrent_attempts(request: &Request, rules: &AuditRules, verdict: &mut Verdict) {
    for (index, later) in request.attempts.iter().enumerate() {
        let is_in_flight = |attempt: &&Attempt| {
            attempt.completed_at.is_none_or(|completed_at| completed_at > later.at + rules.transit)
        };
        let earlier: Vec<String> = request.attempts[..index]
            .iter()
            .filter(is_in_flight)
            .map(|attempt| attempt.number.to_string())
            .collect();
        if earlier.len() >= rules.max_concurrent_attempts {
            let description = format!(
                "attempt {} sent while attempt {} was in flight",
                later.number,
                earlier.join(" and ")
            );
            verdict.report_breach(Rule::Effects, later.at, Some(request.op), Some(later.node), description);
        }
    }
}

fn check_rejection(ledger: &AttemptLedger, request: &Request, rules: &AuditRules, verdict: &mut Verdict) {
    let effect = rules.class(request.class).effect;
    if matches!(effect, Effect::Idempotent | Effect::IdempotencyKey(DeduplicationScope::All, _)) {
        return;
    }
    let Some(client_attempt) = request.client_attempt.map(|index| &ledger.client_attempts[index]) else {
        return;
    };
    if let Some((at, Answer::Refused { .. })) = client_attempt.answers.first()
        && let Some(attempt) = request.attempts.iter().find(|attempt| attempt.may_have_executed())
    {
        let description = format!("rejected although attempt {} may have executed", attempt.number);
        let op = Some(client_attempt.op);
        verdict.report_breach(Rule::Effects, *at, op, Some(attempt.node), description);
    }
}
