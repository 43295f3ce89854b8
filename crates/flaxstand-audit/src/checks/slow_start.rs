//! A node that is warming up is not sent more than it bears by initiators that were notified of its start.

use super::ms;
use crate::audit_rules::{AuditRules, SlowStartRules};
use crate::ledger::{AttemptLedger, NodeProcess};
use crate::record::Record;
use crate::verdict::{Rule, Verdict};

impl NodeProcess {
    /// Work a microsecond at a moment, in microseconds of a core.
    fn power_at(&self, at: u64) -> f64 {
        let part = (at.saturating_sub(self.at)) as f64 / self.warm_after.max(1) as f64;
        self.power * (self.initial_capacity + (1.0 - self.initial_capacity) * part.min(1.0))
    }
}

pub(super) fn check_slow_start(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let SlowStartRules { overload_multiple, window, min_units } = rules.slow_start;
    for (&(node, incarnation), process) in ledger.processes.iter().filter(|(_, l)| l.warm_after > 0) {
        verdict.checked(Rule::Cold, 1);
        let here = |r: &&Record| {
            matches!(r, Record::Arrived { at, node: n, incarnation: i, .. }
                if (*n, *i) == (node, incarnation) && *at < process.at + process.warm_after)
        };
        let sends: Vec<(u64, u64, u32, bool)> =
            ledger.records.iter().filter(here).map(|r| sent(ledger, r)).collect();
        let mut from = 0;
        for (i, (at, ..)) in sends.iter().enumerate() {
            while sends[from].0 + window <= *at {
                from += 1;
            }
            let recent = &sends[from..=i];
            let work: u64 = recent.iter().map(|(_, work, ..)| work).sum();
            let units: u32 = recent.iter().map(|(_, _, units, _)| units).sum();
            let notified: u64 =
                recent.iter().filter(|(.., notified)| *notified).map(|(_, work, ..)| work).sum();
            let allowed = overload_multiple * process.power_at(*at) * window as f64;
            if work as f64 > allowed && f64::from(units) > min_units && notified * 3 >= work * 2 {
                let how =
                    format!("{} of work within {}, it bears {}", ms(work), ms(window), ms(allowed as u64));
                verdict.breach(Rule::Cold, *at, None, Some(node), how);
                break;
            }
        }
    }
    for record in &ledger.records {
        if let Record::Fell { at, node } = *record {
            verdict.breach(Rule::Cold, at, None, Some(node), "it fell over");
        }
    }
}

/// Of an arrival: when, its work and units, and whether its sender had been told of this start.
fn sent(ledger: &AttemptLedger, record: &Record) -> (u64, u64, u32, bool) {
    let Record::Arrived { at, work, units, node, incarnation, initiator, epoch, .. } = *record else {
        unreachable!("called with an arrival")
    };
    let notified = ledger.notified.get(&(initiator, epoch, node, incarnation)).is_some_and(|t| *t <= at);
    (at, work, units, notified)
}
