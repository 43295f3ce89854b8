//! A node that is warming up is not sent more than it tolerates by initiators that were notified of its
//! start.

use super::ms;
use crate::audit_rules::{AuditRules, SlowStartRules};
use crate::ledger::{AttemptLedger, NodeProcess};
use crate::record::Record;
use crate::verdict::{Rule, Verdict};

impl NodeProcess {
    /// Work done per microsecond at a time, in microseconds of a core of speed 1.
    fn power_at(&self, at: u64) -> f64 {
        let progress = (at.saturating_sub(self.at)) as f64 / self.warm_after.max(1) as f64;
        self.power * (self.initial_capacity + (1.0 - self.initial_capacity) * progress.min(1.0))
    }
}

/// An attempt that arrived at a node.
struct ArrivedAttempt {
    at: u64,
    work: u64,
    units: u32,
    /// Whether its sender had been notified of this start of the node.
    sender_was_notified: bool,
}

impl ArrivedAttempt {
    fn of(ledger: &AttemptLedger, record: &Record) -> Self {
        let Record::Arrived { at, work, units, node, incarnation, initiator, epoch, .. } = *record else {
            unreachable!("called with an Arrived record")
        };
        let notified_at = ledger.notified.get(&(initiator, epoch, node, incarnation));
        let sender_was_notified = notified_at.is_some_and(|notified_at| *notified_at <= at);
        ArrivedAttempt { at, work, units, sender_was_notified }
    }
}

pub(super) fn check_slow_start(ledger: &AttemptLedger, rules: &AuditRules, verdict: &mut Verdict) {
    let SlowStartRules { overload_multiple, window, min_units } = rules.slow_start;
    for (&(node, incarnation), process) in
        ledger.processes.iter().filter(|(_, process)| process.warm_after > 0)
    {
        verdict.count_checked(Rule::SlowStart, 1);
        let arrived_during_warm_up = |record: &&Record| {
            matches!(record, Record::Arrived { at, node: n, incarnation: i, .. }
                if (*n, *i) == (node, incarnation) && *at < process.at + process.warm_after)
        };
        let arrivals: Vec<ArrivedAttempt> = ledger
            .records
            .iter()
            .filter(arrived_during_warm_up)
            .map(|record| ArrivedAttempt::of(ledger, record))
            .collect();
        let mut from = 0;
        for (index, ArrivedAttempt { at, .. }) in arrivals.iter().enumerate() {
            while arrivals[from].at + window <= *at {
                from += 1;
            }
            let recent = &arrivals[from..=index];
            let work: u64 = recent.iter().map(|arrival| arrival.work).sum();
            let units: u32 = recent.iter().map(|arrival| arrival.units).sum();
            let notified = recent.iter().filter(|arrival| arrival.sender_was_notified);
            let notified_work: u64 = notified.map(|arrival| arrival.work).sum();
            let allowed = overload_multiple * process.power_at(*at) * window as f64;
            if work as f64 > allowed && f64::from(units) > min_units && notified_work * 3 >= work * 2 {
                let description = format!(
                    "{} of work within {}, {} allowed during warm-up",
                    ms(work),
                    ms(window),
                    ms(allowed as u64)
                );
                verdict.report_breach(Rule::SlowStart, *at, None, Some(node), description);
                break;
            }
        }
    }
    for record in &ledger.records {
        if let Record::NodeOverloaded { at, node } = *record {
            verdict.report_breach(
                Rule::SlowStart,
                at,
                None,
                Some(node),
                "failed under overload during warm-up",
            );
        }
    }
}
