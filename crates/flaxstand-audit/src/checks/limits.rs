//! A volume's units stay within the limit of its plan.

use crate::audit_rules::{AuditRules, PlanLimit};
use crate::ledger::AttemptLedger;
use crate::verdict::{Rule, Verdict};
use std::collections::BTreeMap;

pub(super) fn check_limits(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let mut by_volume: BTreeMap<u64, Vec<(u64, u32, u16, u64)>> = BTreeMap::new();
    for request in ledger.requests.values().filter(|r| rules.limits[usize::from(r.plan)].rate > 0.0) {
        let first = &request.attempts[0];
        if first.no > 0 {
            // Its units were taken when it was first sent, to a node that could not be called: no one but
            // the initiator knows when. Left out, it can only make the store look fuller than it was.
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
        verdict.checked(Rule::Limits, sends.len());
        let PlanLimit { rate, burst, slack } = rules.limits[usize::from(sends[0].2)];
        let chance = rate * rules.transit as f64 / 1e6;
        let (mut level, mut then) = (burst, sends[0].0);
        for (at, units, _, op) in sends {
            level = (level + rate * (at - then) as f64 / 1e6).min(burst) - f64::from(units);
            then = at;
            if level < -slack - chance {
                let how = format!("volume {volume:x} is {:.1} units past its limit", -level);
                verdict.breach(Rule::Limits, at, Some(op), None, how);
                break;
            }
        }
    }
}
