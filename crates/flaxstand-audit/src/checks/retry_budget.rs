//! An initiator's retries stay within the budget that its first attempts allow.

use super::ms;
use crate::audit_rules::{AuditRules, RetryBudgetRules};
use crate::ledger::{AttemptLedger, ClientAttempt};
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_retry_budget(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let Some(RetryBudgetRules { floor, ratio, window }) = rules.retry_budget else { return };
    type Sends = Vec<(u64, u64, u64)>;
    let mut retries: BTreeMap<(u32, u64), Sends> = BTreeMap::new();
    for (&(initiator, epoch, _), request) in &ledger.requests {
        for retry in request.attempts.iter().filter(|attempt| attempt.number > 0) {
            retries.entry((initiator, epoch)).or_default().push((retry.at, request.op, retry.node));
        }
    }
    for ((initiator, _), mut sends) in retries {
        sends.sort_unstable();
        verdict.count_checked(Rule::RetryBudget, sends.len());
        for (index, (at, op, node)) in sends.iter().enumerate() {
            // Transit times are unknown: counts retries in a shorter window and requests in a longer one.
            let retry_window = window.saturating_sub(rules.transit);
            let count = sends[..=index].iter().filter(|(sent_at, ..)| sent_at + retry_window > *at).count();
            let from = at.saturating_sub(window + rules.transit);
            let is_counted = |attempt: &&ClientAttempt| {
                attempt.initiator == initiator && attempt.at >= from && attempt.at <= at + rules.transit
            };
            let accepted = ledger.client_attempts.iter().filter(is_counted).count();
            let allowed = floor + ratio * accepted as f64;
            if count as f64 > allowed {
                let description = format!(
                    "initiator {initiator} sent {count} retries within {}, {allowed:.1} allowed",
                    ms(window)
                );
                verdict.report_breach(Rule::RetryBudget, *at, Some(*op), Some(*node), description);
                break;
            }
        }
    }
}
