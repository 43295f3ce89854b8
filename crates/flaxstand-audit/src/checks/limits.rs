//! A volume's units stay within the rate limit of its plan.

use crate::audit_rules::{AuditRules, PlanLimit};
use crate::ledger::AttemptLedger;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_limits(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let mut by_volume: BTreeMap<u64, Vec<(u64, u32, u16, u64)>> = BTreeMap::new();
    let limited = |plan: u16| rules.limits[usize::from(plan)].rate > 0.0;
    for request in ledger.requests.values().filter(|request| limited(request.plan)) {
        let first = &request.attempts[0];
        if first.number > 0 {
            // The units were withdrawn when the first attempt was sent to a node that could not be reached,
            // at a time that only the initiator knows. Leaving them out can only overestimate the tokens in
            // the bucket.
            continue;
        }
        by_volume.entry(request.volume).or_default().push((
            first.at,
            request.units,
            request.plan,
            request.op,
        ));
    }
    for (volume, mut sends) in by_volume {
        sends.sort_unstable();
        verdict.count_checked(Rule::Limits, sends.len());
        let PlanLimit { rate, burst, slack } = rules.limits[usize::from(sends[0].2)];
        let transit_units = rate * rules.transit as f64 / 1e6;
        let (mut tokens, mut updated_at) = (burst, sends[0].0);
        for (at, units, _, op) in sends {
            tokens = (tokens + rate * (at - updated_at) as f64 / 1e6).min(burst) - f64::from(units);
            updated_at = at;
            if tokens < -slack - transit_units {
                let description = format!(
                    "volume {volume:x} exceeds its rate limit by {:.1} units, {slack:.1} tolerated",
                    -tokens
                );
                verdict.report_breach(Rule::Limits, at, Some(op), None, description);
                break;
            }
        }
    }
}
