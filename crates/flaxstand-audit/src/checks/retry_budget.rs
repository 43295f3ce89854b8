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
        for a in request.attempts.iter().filter(|a| a.no > 0) {
            retries.entry((initiator, epoch)).or_default().push((a.at, request.op, a.node));
        }
    }
    for ((initiator, _), mut sends) in retries {
        sends.sort_unstable();
        verdict.checked(Rule::Budget, sends.len());
        for (i, (at, op, node)) in sends.iter().enumerate() {
            // To the safe side by what may have been under way.
            let within = window.saturating_sub(rules.transit);
            let count = sends[..=i].iter().filter(|(t, ..)| t + within > *at).count();
            let from = at.saturating_sub(window + rules.transit);
            let took =
                |t: &&ClientAttempt| t.initiator == initiator && t.at >= from && t.at <= at + rules.transit;
            let accepted = ledger.client_attempts.iter().filter(took).count();
            let allowed = floor + ratio * accepted as f64;
            if count as f64 > allowed {
                let how = format!(
                    "{count} further attempts by initiator {initiator} within {}, {allowed:.1} allowed",
                    ms(window)
                );
                verdict.breach(Rule::Budget, *at, Some(*op), Some(*node), how);
                break;
            }
        }
    }
}
