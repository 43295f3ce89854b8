//! The report of a scale run, with figures by step and role.

use super::lags::Lags;
use super::plan::{Fault, Size};
use super::process_usage::ProcessUsage;
use super::traffic::Traffic;
use crate::press::LoadResult;
use serde::Serialize;
use std::fmt::Write as _;

const KIB_PER_MIB: f64 = 1024.0;
const BYTES_PER_KB: f64 = 1000.0;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Name of the plan.
    pub name: String,
    /// Total memory of the machine, MiB.
    pub machine_mib: f64,
    /// CPUs available to the run.
    pub processors: usize,
    /// Steps in the order in which they ran.
    pub steps: Vec<StepReport>,
}

/// Report of a step.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StepReport {
    /// Name of the step.
    pub name: String,
    /// Planned size.
    pub size: Size,
    /// Planned faults.
    pub faults: Vec<Fault>,
    /// Parts of the planned size that did not fit, each with the limit that it exceeded. Empty if all of it
    /// fitted.
    pub does_not_fit: Vec<String>,
    /// Time until every initiator had the list and, in steps with keepers, a lease, ms.
    pub ready_ms: f64,
    /// Length of the measurement, seconds.
    pub measured_seconds: f64,
    /// Load average of the machine at the start and at the end of the step.
    pub load_average: (f64, f64),
    /// Number of processes.
    pub processes: usize,
    /// Resident memory of all processes at the end, MiB.
    pub resident_mib: f64,
    /// Figures of each role.
    pub roles: Vec<RoleReport>,
    /// Delays until changes of the list took effect.
    pub node_changes: Vec<RoleLags>,
    /// Delays from the proposal of a change of the rules until it took effect.
    pub rule_changes: Vec<RoleLags>,
    /// Proposals that were not accepted.
    pub proposals_refused: u32,
    /// Number of times that a hollow initiator switched to the fallback rules because it had no lease.
    #[serde(rename = "floors")]
    pub fallbacks: u64,
    /// Results of the clients of the first real initiator.
    pub load: Option<LoadResult>,
    /// Effects of the faults.
    pub fault_reports: Vec<FaultReport>,
}

/// Delays until changes took effect at the initiators of a role.
#[derive(Clone, Debug, Serialize)]
pub struct RoleLags {
    /// Name of the role.
    pub role: &'static str,
    /// Distribution of the delays.
    #[serde(flatten)]
    pub lags: Lags,
}

/// Effect of a fault.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// Kind of the fault, and the condition that ends it.
    pub kind: String,
    /// Initiators affected by the fault.
    #[serde(rename = "struck")]
    pub affected: usize,
    /// Affected initiators that were ready again when the step ended.
    pub ready: usize,
    /// Median of the time until one of these was ready again, ms.
    pub p50_ms: f64,
    /// Time until the last of these was ready again, ms.
    pub last_ms: f64,
}

/// Figures of a role. Rates are per second and means over the processes of the role unless noted otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct RoleReport {
    /// `leader`, `keeper`, `real`, `hollow`, `list`.
    pub role: &'static str,
    /// Number of processes.
    pub processes: usize,
    /// Number of initiators in these processes. 0 for the list service.
    pub initiators: u32,
    /// CPU time of a process, percent of one core.
    pub processor_percent: f64,
    /// CPU time of the process that used most, percent of one core.
    pub processor_percent_most: f64,
    /// CPU time per initiator, percent of one core.
    pub processor_percent_each: f64,
    /// Time that a process was runnable without a CPU, percent. A high value means that other work on the
    /// machine increased the latencies.
    pub waiting_percent: f64,
    /// Resident memory of the largest process at the end of the measurement, MiB.
    pub resident_mib_most: f64,
    /// Highest peak of the resident memory of any process, MiB.
    pub resident_peak_mib_most: f64,
    /// Open descriptors of the process with the most of them.
    pub descriptors_most: u64,
    /// Bytes that a process read by system calls, KB/s.
    pub read_kb_s: f64,
    /// Bytes that a process wrote by system calls, including its log and saved state, KB/s.
    pub written_kb_s: f64,
    /// Traffic with the list service per initiator, total over the measurement. For the role `list`: over all
    /// initiators.
    pub list: Option<Traffic>,
    /// Agreement traffic of all hollow initiators, total over the measurement.
    pub agreement: Option<Traffic>,
}

/// Resource usage of a process at the start and at the end of the measurement.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsageInterval {
    pub(super) before: ProcessUsage,
    pub(super) after: ProcessUsage,
}

impl UsageInterval {
    fn processor_percent(&self, seconds: f64) -> f64 {
        let used = self.after.processor_ns.saturating_sub(self.before.processor_ns);
        used as f64 / NANOSECONDS_PER_SECOND / seconds * 100.0
    }
}

impl RoleReport {
    /// Computes the figures of the processes of a role, which hold `initiators` initiators in total. Returns
    /// `None` if there is no process.
    pub(super) fn of(
        role: &'static str,
        initiators: u32,
        all: &[UsageInterval],
        seconds: f64,
    ) -> Option<RoleReport> {
        if all.is_empty() {
            return None;
        }
        let count = all.len() as f64;
        let percents: Vec<f64> = all.iter().map(|one| one.processor_percent(seconds)).collect();
        let sum: f64 = percents.iter().sum();
        let waited_ns = |one: &UsageInterval| one.after.waited_ns.saturating_sub(one.before.waited_ns) as f64;
        let waited_ns: f64 = all.iter().map(waited_ns).sum();
        let max =
            |figure: fn(&ProcessUsage) -> u64| all.iter().map(|one| figure(&one.after)).max().unwrap_or(0);
        let rate = |figure: fn(&ProcessUsage) -> u64| {
            let used: u64 =
                all.iter().map(|one| figure(&one.after).saturating_sub(figure(&one.before))).sum();
            used as f64 / BYTES_PER_KB / seconds / count
        };
        Some(RoleReport {
            role,
            processes: all.len(),
            initiators,
            processor_percent: sum / count,
            processor_percent_most: percents.iter().copied().fold(0.0, f64::max),
            processor_percent_each: sum / f64::from(initiators.max(1)),
            waiting_percent: waited_ns / NANOSECONDS_PER_SECOND / seconds * 100.0 / count,
            resident_mib_most: max(|usage| usage.resident_kib) as f64 / KIB_PER_MIB,
            resident_peak_mib_most: max(|usage| usage.resident_peak_kib) as f64 / KIB_PER_MIB,
            descriptors_most: max(|usage| usage.descriptors),
            read_kb_s: rate(|usage| usage.read_bytes),
            written_kb_s: rate(|usage| usage.written_bytes),
            list: None,
            agreement: None,
        })
    }
}

impl ScaleReport {
    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut out = format!("{}: {} processors, {:.0} MiB\n", self.name, self.processors, self.machine_mib);
        self.steps.iter().for_each(|step| step.write(&mut out));
        out
    }
}

impl StepReport {
    fn write(&self, out: &mut String) {
        let size = &self.size;
        let _ = writeln!(
            out,
            "\n{}: {} hollow, {} real, {} keepers, {} nodes, {}/s node changes, {}/s rule changes, \
             {} connections, {}/s requests; ready in {:.0} ms, {:.1} s measured, \
             load average {:.1} to {:.1}, {} processes, {:.0} MiB",
            self.name,
            size.hollow,
            size.real,
            size.keepers,
            size.nodes,
            size.node_changes,
            size.rule_changes,
            size.connections,
            size.requests,
            self.ready_ms,
            self.measured_seconds,
            self.load_average.0,
            self.load_average.1,
            self.processes,
            self.resident_mib,
        );
        for reason in &self.does_not_fit {
            let _ = writeln!(out, "  DOES NOT FIT: {reason}");
        }
        self.write_roles(out);
        for (what, all) in [("nodes", &self.node_changes), ("rules", &self.rule_changes)] {
            all.iter().for_each(|lags| write_lags(out, what, lags));
        }
        if self.proposals_refused > 0 {
            let _ = writeln!(out, "  {} proposals not accepted", self.proposals_refused);
        }
        if self.fallbacks > 0 {
            let _ = writeln!(out, "  hollow initiators lost their lease {} times", self.fallbacks);
        }
        if let Some(load) = &self.load {
            let rate = load.served as f64 / load.seconds.max(1e-9);
            let _ = writeln!(
                out,
                "  load: {rate:.0}/s served, {} not served, p50 {} us, p99 {} us",
                load.not_served, load.p50_us, load.p99_us
            );
        }
        for fault in &self.fault_reports {
            let _ = writeln!(
                out,
                "  {}: {} affected, {} ready again, median {:.0} ms, last {:.0} ms",
                fault.kind, fault.affected, fault.ready, fault.p50_ms, fault.last_ms
            );
        }
    }

    fn write_roles(&self, out: &mut String) {
        let _ = writeln!(
            out,
            "  {:8} {:>5} {:>6} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>9} {:>9} {:>12} {:>12}",
            "role",
            "procs",
            "inits",
            "cpu %",
            "most %",
            "each %",
            "wait %",
            "MiB",
            "peak MiB",
            "fds",
            "read KB/s",
            "writ KB/s",
            "list in B/s",
            "agr in+out B/s"
        );
        let seconds = self.measured_seconds.max(1e-9);
        for role in &self.roles {
            let list = role.list.map_or("-".to_owned(), |t| format!("{:.0}", t.bytes_in as f64 / seconds));
            let each = f64::from(role.initiators.max(1));
            let agreement = role.agreement.map_or("-".to_owned(), |t| {
                format!("{:.0}", (t.bytes_in + t.bytes_out) as f64 / seconds / each)
            });
            let _ = writeln!(
                out,
                "  {:8} {:>5} {:>6} {:>8.3} {:>8.3} {:>8.4} {:>7.2} {:>8.1} {:>8.1} {:>6} \
                 {:>9.2} {:>9.2} {list:>12} {agreement:>12}",
                role.role,
                role.processes,
                role.initiators,
                role.processor_percent,
                role.processor_percent_most,
                role.processor_percent_each,
                role.waiting_percent,
                role.resident_mib_most,
                role.resident_peak_mib_most,
                role.descriptors_most,
                role.read_kb_s,
                role.written_kb_s,
            );
        }
    }
}

fn write_lags(out: &mut String, what: &str, of_role: &RoleLags) {
    let lags = &of_role.lags;
    let expected = lags.changes * lags.initiators;
    let _ = writeln!(
        out,
        "  changes of {what} in effect at {:7}: {} of {expected} ({} changes), \
         p50 {:.1} ms, p99 {:.1} ms, last {:.1} ms",
        of_role.role, lags.reached, lags.changes, lags.p50_ms, lags.p99_ms, lags.last_ms
    );
}
