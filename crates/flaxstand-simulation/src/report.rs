//! Report on a day, from its records: service by class and plan, latency, refusals, tries and attempts.

use crate::agreed::AgreementReport;
use crate::day::Day;
use crate::recovery::{Recovery, recovery};
use flaxstand_audit::{Answer, AttemptLedger, Record, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Results of the clients' operations of one class or plan.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Name of the class or plan.
    pub name: String,
    /// Number of operations.
    pub wanted: u64,
    /// Served within the latency objective, counted from the first try.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Not served; the last answer was a refusal.
    pub refused: u64,
    /// Not served; the last answer was a failure.
    pub failed: u64,
    /// Not served; the last try had no answer, or there was none.
    pub lost: u64,
    /// Number of tries of clients.
    pub tries: u64,
    /// Number of attempts at nodes.
    pub attempts: u64,
    /// Median latency of the served operations, from the first try, ms.
    pub p50_ms: f64,
    /// 99th percentile of that latency, ms.
    pub p99_ms: f64,
}

impl Service {
    /// Returns the share served in time.
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.wanted.max(1) as f64
    }
}

/// A day's report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the day.
    pub day: String,
    /// Weight of the operations served in time divided by the weight of all operations, regardless of the
    /// plans' shares.
    pub service: f64,
    /// Results by class.
    pub classes: Vec<Service>,
    /// Results by plan.
    pub plans: Vec<Service>,
    /// Recovery of service; none if there were no operations.
    pub recovery: Option<Recovery>,
    /// Results of consensus, if the initiators run it.
    pub agreement: Option<AgreementReport>,
    /// Result of the audit.
    pub audit: Verdict,
}

/// An operation of a client, over all its tries.
pub(crate) struct Operation {
    pub(crate) class: u16,
    plan: u16,
    pub(crate) first: u64,
    tries: u64,
    pub(crate) served: Option<u64>,
    last: Option<Answer>,
}

pub(crate) fn operations(ledger: &AttemptLedger) -> BTreeMap<u64, Operation> {
    let mut all: BTreeMap<u64, Operation> = BTreeMap::new();
    let new = |class, plan, first| Operation { class, plan, first, tries: 0, served: None, last: None };
    for record in &ledger.records {
        match *record {
            Record::Submitted { at, op, class, plan, .. } => {
                all.entry(op).or_insert_with(|| new(class, plan, at)).tries += 1;
            }
            Record::Unreachable { at, op, class, plan } => {
                all.entry(op).or_insert_with(|| new(class, plan, at));
            }
            _ => {}
        }
    }
    for t in &ledger.client_attempts {
        let Some(o) = all.get_mut(&t.op) else { continue };
        o.last = t.answers.first().map(|(_, a)| *a);
        if let Some((at, Answer::Served { .. } | Answer::Buffered)) = t.answers.first() {
            o.served = o.served.or(Some(*at));
        }
    }
    all
}

/// Builds the report of a day.
pub fn report(day: &Day, ledger: &AttemptLedger, audit: Verdict) -> Report {
    let site = &day.site.site;
    // Latencies up to an hour, in microseconds, with three significant digits.
    let histogram = || Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid");
    let named = |names: Vec<&String>| -> Vec<(Service, Histogram<u64>)> {
        let of = |n: &String| (Service { name: n.clone(), ..Service::default() }, histogram());
        names.into_iter().map(of).collect()
    };
    let mut classes = named(site.classes.iter().map(|c| &c.name).collect());
    let mut plans = named(site.plans.iter().collect());
    let mut attempts: BTreeMap<u64, u64> = BTreeMap::new();
    for request in ledger.requests.values() {
        *attempts.entry(request.op).or_default() += request.attempts.len() as u64;
    }
    let (mut priority_weight, mut wanted) = (0.0, 0.0);
    let operations = operations(ledger);
    for (op, o) in &operations {
        let class = &site.settings.classes[usize::from(o.class)];
        let lag = o.served.map(|at| at.saturating_sub(o.first));
        let in_time = lag.is_some_and(|lag| lag as f64 <= class.latency_objective * 1000.0);
        wanted += class.priority_weight;
        priority_weight += if in_time { class.priority_weight } else { 0.0 };
        for (s, lags) in [&mut classes[usize::from(o.class)], &mut plans[usize::from(o.plan)]] {
            s.wanted += 1;
            s.tries += o.tries;
            s.attempts += attempts.get(op).copied().unwrap_or(0);
            match (lag, o.last) {
                (Some(lag), _) => {
                    lags.saturating_record(lag.max(1));
                    if in_time {
                        s.in_time += 1;
                    } else {
                        s.late += 1;
                    }
                }
                (None, Some(Answer::Refused { .. })) => s.refused += 1,
                (None, Some(Answer::Failed)) => s.failed += 1,
                (None, _) => s.lost += 1,
            }
        }
    }
    let finish = |all: Vec<(Service, Histogram<u64>)>| {
        let quantile = |lags: &Histogram<u64>, q: f64| lags.value_at_quantile(q) as f64 / 1000.0;
        let of = |(s, lags): (Service, Histogram<u64>)| Service {
            p50_ms: quantile(&lags, 0.5),
            p99_ms: quantile(&lags, 0.99),
            ..s
        };
        all.into_iter().map(of).collect()
    };
    let service = if wanted > 0.0 { priority_weight / wanted } else { 1.0 };
    Report {
        agreement: None,
        recovery: recovery(day, &operations),
        day: day.name.clone(),
        service,
        classes: finish(classes),
        plans: finish(plans),
        audit,
    }
}

impl Report {
    /// Returns whether the audit and the check of the agreement passed.
    pub fn passed(&self) -> bool {
        self.audit.passed() && self.agreement.as_ref().is_none_or(AgreementReport::passed)
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{}: service {:.3} (worth served in time over worth wanted)\n",
            self.day, self.service
        );
        self.write_services(&mut out);
        if let Some(r) = &self.recovery {
            let back = match r.back_after {
                Some(after) => format!("back to 0.95 of that {after:.0} s after the last node was warm"),
                None => "not back to 0.95 of that".into(),
            };
            let _ = writeln!(
                out,
                "\nservice {:.3} before the first fault, {:.3} since, {:.3} in its worst second; {back}",
                r.before, r.since, r.least
            );
        }
        self.write_audit(&mut out);
        if let Some(agreement) = &self.agreement {
            out += &agreement.text();
        }
        out
    }

    /// Writes the table of classes and plans.
    fn write_services(&self, out: &mut String) {
        let _ = writeln!(
            out,
            "{:16} {:>7} {:>8} {:>6} {:>8} {:>7} {:>6} {:>6} {:>9} {:>8} {:>8}",
            "class, plan",
            "wanted",
            "in time",
            "late",
            "refused",
            "failed",
            "lost",
            "tries",
            "attempts",
            "p50 ms",
            "p99 ms"
        );
        for s in self.classes.iter().chain(&self.plans) {
            let each = |n: u64| n as f64 / s.wanted.max(1) as f64;
            let percent = |n: u64| format!("{:.1}%", 100.0 * each(n));
            let _ = writeln!(
                out,
                "{:16} {:>7} {:>8} {:>6} {:>8} {:>7} {:>6} {:>6.2} {:>9.2} {:>8.1} {:>8.1}",
                s.name,
                s.wanted,
                percent(s.in_time),
                percent(s.late),
                percent(s.refused),
                percent(s.failed),
                percent(s.lost),
                each(s.tries),
                each(s.attempts),
                s.p50_ms,
                s.p99_ms
            );
        }
    }

    /// Writes the results of the audit, with at most 20 rule violations.
    fn write_audit(&self, out: &mut String) {
        out.push('\n');
        for (rule, count) in &self.audit.checked {
            let of = |b: &&flaxstand_audit::Breach| b.rule.to_string() == *rule;
            let broken = self.audit.breaches.iter().filter(of).count();
            let verdict = if broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") };
            let _ = writeln!(out, "rule {rule:22} {verdict} ({count} checked)");
        }
        for breach in self.audit.breaches.iter().take(20) {
            let _ = writeln!(out, "  {breach}");
        }
        if self.audit.breaches.len() > 20 {
            let _ = writeln!(out, "  and {} more", self.audit.breaches.len() - 20);
        }
    }
}
