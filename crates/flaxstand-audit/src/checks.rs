//! One check for each rule. Each counts the cases it examined, so that a verdict without any case is
//! recognisable.

mod answers;
mod data;
mod drains;
mod durability;
mod effects;
mod limits;
mod order;
mod retry_budget;
mod slow_start;

use crate::audit_rules::AuditRules;
use crate::ledger::AttemptLedger;
use crate::verdict::Verdict;

/// Checks all rules and returns the breaches in time order.
pub fn audit(ledger: &AttemptLedger, rules: &AuditRules) -> Verdict {
    let mut verdict = Verdict::default();
    answers::check_answers(ledger, rules, &mut verdict);
    effects::check_effects(ledger, rules, &mut verdict);
    drains::check_drains(ledger, rules, &mut verdict);
    slow_start::check_slow_start(ledger, rules, &mut verdict);
    order::check_order(ledger, rules, &mut verdict);
    retry_budget::check_retry_budget(ledger, rules, &mut verdict);
    limits::check_limits(ledger, rules, &mut verdict);
    data::check_data(ledger, &mut verdict);
    durability::check_durability(ledger, rules, &mut verdict);
    verdict.breaches.sort_by_key(|breach| (breach.at, breach.rule));
    verdict
}

fn ms(microseconds: u64) -> String {
    format!("{:.1} ms", microseconds as f64 / 1000.0)
}
