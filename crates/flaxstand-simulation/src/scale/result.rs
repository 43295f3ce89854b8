//! The result of a scale run: figures by step and role.

use super::account::Account;
use super::lags::Lags;
use super::plan::{Fault, Size};
use super::traffic::Traffic;
use crate::press::LoadResult;
use serde::Serialize;
use std::fmt::Write as _;

const KIB_A_MIB: f64 = 1024.0;
const BYTES_A_KB: f64 = 1000.0;
const NANOSECONDS_A_SECOND: f64 = 1e9;

/// A result.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// The plan's name.
    pub name: String,
    /// Memory of the machine, MiB.
    pub machine_mib: f64,
    /// Processors that the run could use.
    pub processors: usize,
    /// Steps, in the order in which they were run.
    pub steps: Vec<StepReport>,
}

/// A step's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StepReport {
    /// The step's name.
    pub name: String,
    /// What there was to be.
    pub size: Size,
    /// What went wrong, as planned.
    pub faults: Vec<Fault>,
    /// What of the size did not fit, and at which bound; none: all of it did.
    pub does_not_fit: Vec<String>,
    /// Time until every initiator had the list, and a lease where they agree, ms.
    pub ready_ms: f64,
    /// How long was measured, seconds.
    pub measured_seconds: f64,
    /// The machine's load average at the step's start and end.
    pub load_average: (f64, f64),
    /// Processes.
    pub processes: usize,
    /// Resident memory of all of them at the end, MiB.
    pub resident_mib: f64,
    /// Figures of each role.
    pub roles: Vec<RoleReport>,
    /// Times until changes of the list were in force.
    pub node_changes: Vec<RoleLags>,
    /// Times until changes of the rules were in force, from when each was proposed.
    pub rule_changes: Vec<RoleLags>,
    /// Proposals that were not taken.
    pub proposals_refused: u32,
    /// Times that a hollow initiator fell back to the floor for want of a lease.
    pub floors: u64,
    /// What clients of the first real initiator saw.
    pub load: Option<LoadResult>,
    /// What became of faults.
    pub fault_reports: Vec<FaultReport>,
}

/// Times until changes were in force at the initiators of a role.
#[derive(Clone, Debug, Serialize)]
pub struct RoleLags {
    /// The role.
    pub role: &'static str,
    /// The times.
    #[serde(flatten)]
    pub lags: Lags,
}

/// What became of a fault.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// What went wrong.
    pub kind: String,
    /// Initiators that it struck.
    pub struck: usize,
    /// Those of them that were ready again when the step ended.
    pub ready: usize,
    /// Time until half of them were, ms.
    pub p50_ms: f64,
    /// Time until the last was, ms.
    pub last_ms: f64,
}

/// Figures of a role: means over its processes for a second, but where the name says otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct RoleReport {
    /// `leader`, `keeper`, `real`, `hollow`, `list`.
    pub role: &'static str,
    /// Processes.
    pub processes: usize,
    /// Initiators in them; for the list service 0.
    pub initiators: u32,
    /// Processor time of a process, percent of one core.
    pub processor_percent: f64,
    /// Of the process that used most.
    pub processor_percent_most: f64,
    /// For each initiator.
    pub processor_percent_each: f64,
    /// Time that a process was ready to run and had no processor, percent: where this is much, other work on the machine
    /// made latencies longer.
    pub waiting_percent: f64,
    /// Resident memory of the largest process at the end, MiB.
    pub resident_mib_most: f64,
    /// The most that any process ever held, MiB.
    pub resident_peak_mib_most: f64,
    /// Descriptors of the process with most.
    pub descriptors_most: u64,
    /// Bytes that a process read by system calls, KB a second.
    pub read_kb_s: f64,
    /// Bytes that a process wrote by system calls, log and saved state included, KB a second.
    pub written_kb_s: f64,
    /// Messages and bytes of the list for each initiator, all over the time measured.
    pub list: Option<Traffic>,
    /// Messages and bytes of the agreement over all hollow initiators, all over the time measured.
    pub agreement: Option<Traffic>,
}

/// The accounts of a process at the start and at the end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accounted {
    pub(super) before: Account,
    pub(super) after: Account,
}

impl Accounted {
    fn processor_percent(&self, seconds: f64) -> f64 {
        let used = self.after.processor_ns.saturating_sub(self.before.processor_ns);
        used as f64 / NANOSECONDS_A_SECOND / seconds * 100.0
    }
}

impl RoleReport {
    /// Of processes of a role, with so many initiators in all.
    pub(super) fn of(
        role: &'static str,
        initiators: u32,
        all: &[Accounted],
        seconds: f64,
    ) -> Option<RoleReport> {
        if all.is_empty() {
            return None;
        }
        let count = all.len() as f64;
        let percents: Vec<f64> = all.iter().map(|one| one.processor_percent(seconds)).collect();
        let sum: f64 = percents.iter().sum();
        let waited = |one: &Accounted| one.after.waited_ns.saturating_sub(one.before.waited_ns) as f64;
        let waited: f64 = all.iter().map(waited).sum();
        let most = |figure: fn(&Account) -> u64| all.iter().map(|one| figure(&one.after)).max().unwrap_or(0);
        let rate = |figure: fn(&Account) -> u64| {
            let used: u64 =
                all.iter().map(|one| figure(&one.after).saturating_sub(figure(&one.before))).sum();
            used as f64 / BYTES_A_KB / seconds / count
        };
        Some(RoleReport {
            role,
            processes: all.len(),
            initiators,
            processor_percent: sum / count,
            processor_percent_most: percents.iter().copied().fold(0.0, f64::max),
            processor_percent_each: sum / f64::from(initiators.max(1)),
            waiting_percent: waited / NANOSECONDS_A_SECOND / seconds * 100.0 / count,
            resident_mib_most: most(|account| account.resident_kib) as f64 / KIB_A_MIB,
            resident_peak_mib_most: most(|account| account.resident_peak_kib) as f64 / KIB_A_MIB,
            descriptors_most: most(|account| account.descriptors),
            read_kb_s: rate(|account| account.read_bytes),
            written_kb_s: rate(|account| account.written_bytes),
            list: None,
            agreement: None,
        })
    }
}

impl ScaleReport {
    /// For people.
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
            "\n{}: {} hollow, {} real, {} keepers, {} nodes, {}/s node changes, {}/s rule changes, {} connections, \
             {}/s requests; ready in {:.0} ms, {:.1} s measured, load average {:.1} to {:.1}, {} processes, {:.0} MiB",
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
            let _ = writeln!(out, "  {} proposals refused", self.proposals_refused);
        }
        if self.floors > 0 {
            let _ = writeln!(out, "  {} times a hollow initiator was without a lease", self.floors);
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
                "  {}: {} struck, {} ready again, half after {:.0} ms, the last after {:.0} ms",
                fault.kind, fault.struck, fault.ready, fault.p50_ms, fault.last_ms
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
                "  {:8} {:>5} {:>6} {:>8.3} {:>8.3} {:>8.4} {:>7.2} {:>8.1} {:>8.1} {:>6} {:>9.2} {:>9.2} {list:>12} {agreement:>12}",
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

fn write_lags(out: &mut String, what: &str, of: &RoleLags) {
    let lags = &of.lags;
    let expected = lags.changes * lags.initiators;
    let _ = writeln!(
        out,
        "  {what} in force at {:7}: {} of {expected} ({} changes), p50 {:.1} ms, p99 {:.1} ms, last {:.1} ms",
        of.role, lags.reached, lags.changes, lags.p50_ms, lags.p99_ms, lags.last_ms
    );
}
