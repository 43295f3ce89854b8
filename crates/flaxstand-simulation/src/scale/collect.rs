//! The end of a step: merges the reports of all processes into the report of the step.

use super::hollow::{Activation, HollowReport, Restart};
use super::lags::{Change, Lags, LogEvents};
use super::node_list::ListReport;
use super::participants::RealInitiator;
use super::result::{FaultReport, RoleLags};
use super::run::{REPORT_TIMEOUT, RunningStep, parse_report};
use super::traffic::Traffic;
use crate::process::{RehearsalError, io_error};
use flaxstand_gateway::core::SavedList;
use flaxstand_proto::MAX_LIST_ENTRIES;
use std::collections::BTreeSet;

impl RunningStep<'_> {
    /// Requests the reports of all processes and merges them.
    pub(super) fn collect(
        &mut self,
        started_at: u64,
        faults: Vec<FaultReport>,
        leader: Option<usize>,
    ) -> Result<(), RehearsalError> {
        let interrupt = self.environment.interrupt;
        let list = &mut self.participants.list;
        list.send_line("report");
        let list: ListReport = parse_report(&interrupt.expect(list, "report", REPORT_TIMEOUT)?)?;
        let mut hollow = HollowReport::default();
        for process in &mut self.participants.hollow {
            process.process.send_line("report");
            let json = interrupt.expect(&mut process.process, "report", REPORT_TIMEOUT)?;
            merge(&mut hollow, parse_report(&json)?);
        }
        self.report.fault_reports = faults;
        if !hollow.restarts.is_empty() {
            self.report.fault_reports.push(summarize_restarts(&hollow.restarts));
        }
        self.report.fallbacks = hollow.fallbacks;
        self.check_nodes()?;
        self.add_traffic(&list, &hollow, leader);
        self.add_lags(&list, &hollow, started_at)
    }

    /// Reports if a process dropped listed nodes, or saved fewer nodes than are listed.
    fn check_nodes(&mut self) -> Result<(), RehearsalError> {
        let nodes = self.size().nodes as usize;
        let mut reasons = BTreeSet::new();
        for initiator in self.participants.initiators() {
            let left_out = read_log(initiator)?.left_out;
            if left_out > 0 {
                reasons.insert(format!(
                    "{left_out} of {nodes} listed nodes exceed the bound of an initiator \
                     (settings: bounds nodes)"
                ));
            }
            // Draining nodes count as well: they are listed and saved.
            let saved = std::fs::read(&initiator.saved_list).unwrap_or_default();
            let saved = SavedList::read(&saved).map_or(0, |list| list.entries.len());
            if saved + left_out < nodes {
                reasons.insert(format!(
                    "a saved list has {saved} of {nodes} entries \
                     (MAX_LIST_ENTRIES {MAX_LIST_ENTRIES}, flaxstand-proto/src/codec.rs)"
                ));
            }
        }
        self.report.does_not_fit.extend(reasons);
        Ok(())
    }

    fn add_traffic(&mut self, list: &ListReport, hollow: &HollowReport, leader: Option<usize>) {
        let keepers = self.size().keepers;
        let mean_of = |numbers: Vec<u32>| {
            let mut sum = Traffic::default();
            for traffic in numbers.iter().filter_map(|number| list.by_initiator.get(number)) {
                sum.add(&reversed(traffic));
            }
            divided(&sum, numbers.len() as u64)
        };
        let is_leader = |number: &u32| Some(*number as usize) == leader;
        let leader_traffic = mean_of((0..keepers).filter(is_leader).collect());
        let keeper_traffic = mean_of((0..keepers).filter(|number| !is_leader(number)).collect());
        let real_traffic = mean_of((keepers..keepers + self.size().real).collect());
        for role in &mut self.report.roles {
            role.list = match role.role {
                "leader" => Some(leader_traffic),
                "keeper" => Some(keeper_traffic),
                "real" => Some(real_traffic),
                "hollow" => Some(divided(&hollow.list, role.initiators.into())),
                _ => Some(list.traffic),
            };
            role.agreement = (role.role == "hollow" && keepers > 0).then_some(hollow.agreement);
        }
    }

    fn add_lags(
        &mut self,
        list: &ListReport,
        hollow: &HollowReport,
        started_at: u64,
    ) -> Result<(), RehearsalError> {
        let changes: Vec<Change> =
            list.changes.iter().map(|(number, at)| Change { number: *number, at: *at }).collect();
        let mut processes = LogEvents::default();
        for initiator in self.participants.initiators() {
            let events = read_log(initiator)?;
            let measured = |activation: &Activation| activation.at >= started_at;
            processes.revisions.extend(events.revisions.into_iter().filter(measured));
            processes.versions.extend(events.versions.into_iter().filter(measured));
        }
        let by_role: [(&'static str, &[Activation], &[Activation], usize); 2] = [
            ("hollow", &hollow.revisions, &hollow.versions, self.size().hollow as usize),
            ("process", &processes.revisions, &processes.versions, self.participants.initiators().count()),
        ];
        for (role, revisions, versions, initiators) in
            by_role.into_iter().filter(|(_, _, _, count)| *count > 0)
        {
            if !changes.is_empty() {
                let lags = Lags::of(&changes, revisions, initiators);
                self.report.node_changes.push(RoleLags { role, lags });
            }
            if !self.proposed.is_empty() {
                let lags = Lags::of(&self.proposed, versions, initiators);
                self.report.rule_changes.push(RoleLags { role, lags });
            }
        }
        Ok(())
    }
}

/// Reads and parses the log of an initiator process.
pub(super) fn read_log(initiator: &RealInitiator) -> Result<LogEvents, RehearsalError> {
    let path = &initiator.log;
    let log =
        std::fs::read_to_string(path).map_err(io_error(format!("cannot read the log {}", path.display())))?;
    Ok(LogEvents::parse(initiator.number, &log))
}

fn merge(sum: &mut HollowReport, other: HollowReport) {
    sum.state.started += other.state.started;
    sum.state.listed += other.state.listed;
    sum.state.leased += other.state.leased;
    sum.list.add(&other.list);
    sum.agreement.add(&other.agreement);
    sum.nodes.add(&other.nodes);
    sum.revisions.extend(other.revisions);
    sum.versions.extend(other.versions);
    sum.restarts.extend(other.restarts);
    sum.fallbacks += other.fallbacks;
}

/// Returns the traffic as the other end of the connections counts it, with the directions swapped.
fn reversed(traffic: &Traffic) -> Traffic {
    Traffic {
        messages_in: traffic.messages_out,
        bytes_in: traffic.bytes_out,
        messages_out: traffic.messages_in,
        bytes_out: traffic.bytes_in,
    }
}

fn divided(traffic: &Traffic, divisor: u64) -> Traffic {
    let divisor = divisor.max(1);
    Traffic {
        messages_in: traffic.messages_in / divisor,
        bytes_in: traffic.bytes_in / divisor,
        messages_out: traffic.messages_out / divisor,
        bytes_out: traffic.bytes_out / divisor,
    }
}

/// Summarizes the restarts of hollow initiators.
fn summarize_restarts(restarts: &[Restart]) -> FaultReport {
    let mut times: Vec<u64> =
        restarts.iter().filter_map(|restart| Some(restart.ready? - restart.at)).collect();
    times.sort_unstable();
    let ms = |rank: usize| times.get(rank).map_or(0.0, |micros| *micros as f64 / 1000.0);
    FaultReport {
        kind: "restart, until listed and leased".to_owned(),
        affected: restarts.len(),
        ready: times.len(),
        p50_ms: ms(times.len() / 2),
        last_ms: ms(times.len().saturating_sub(1)),
    }
}
