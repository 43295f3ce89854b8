//! The end of a step: reports of all processes, joined into the step's figures.

use super::hollow::{Arrival, HollowReport, Restarted};
use super::lags::{Change, Lags, LogFacts};
use super::node_list::ListReport;
use super::participants::Real;
use super::result::{FaultReport, RoleLags};
use super::run::{REPORT_WITHIN, Running, parsed};
use super::traffic::Traffic;
use crate::process::{RehearsalError, io_error};
use flaxstand_gateway::core::SavedList;
use flaxstand_proto::MAX_LIST_ENTRIES;
use std::collections::BTreeSet;

impl Running<'_> {
    /// Asks all for their reports and joins them.
    pub(super) fn collect(
        &mut self,
        begun_at: u64,
        faults: Vec<FaultReport>,
        leader: Option<usize>,
    ) -> Result<(), RehearsalError> {
        let interrupt = self.workplace.interrupt;
        let list = &mut self.participants.list;
        list.send_line("report");
        let list: ListReport = parsed(&interrupt.expect(list, "report", REPORT_WITHIN)?)?;
        let mut hollow = HollowReport::default();
        for process in &mut self.participants.hollow {
            process.process.send_line("report");
            let json = interrupt.expect(&mut process.process, "report", REPORT_WITHIN)?;
            add(&mut hollow, parsed(&json)?);
        }
        self.report.fault_reports = faults;
        if !hollow.restarts.is_empty() {
            self.report.fault_reports.push(restarts(&hollow.restarts));
        }
        self.report.floors = hollow.floors;
        self.check_nodes()?;
        self.add_traffic(&list, &hollow, leader);
        self.add_lags(&list, &hollow, begun_at)
    }

    /// Whether the processes hold, and save, as many nodes as are listed.
    fn check_nodes(&mut self) -> Result<(), RehearsalError> {
        let nodes = self.size().nodes as usize;
        let mut reasons = BTreeSet::new();
        for initiator in self.participants.initiators() {
            let left_out = facts(initiator)?.left_out;
            if left_out > 0 {
                reasons.insert(format!(
                    "{left_out} of {nodes} listed nodes are left out (settings: bounds nodes)"
                ));
            }
            // A node that drains is listed and saved too.
            let saved = std::fs::read(&initiator.saved_list).unwrap_or_default();
            let saved = SavedList::read(&saved).map_or(0, |list| list.entries.len());
            if saved + left_out < nodes {
                reasons.insert(format!(
                    "a saved list has {saved} of {nodes} entries (MAX_LIST_ENTRIES {MAX_LIST_ENTRIES}, flaxstand-proto/src/codec.rs)"
                ));
            }
        }
        self.report.does_not_fit.extend(reasons);
        Ok(())
    }

    fn add_traffic(&mut self, list: &ListReport, hollow: &HollowReport, leader: Option<usize>) {
        let keepers = self.size().keepers;
        let of = |numbers: Vec<u32>| {
            let mut sum = Traffic::default();
            for traffic in numbers.iter().filter_map(|number| list.by_initiator.get(number)) {
                sum.add(&seen_from_there(traffic));
            }
            divided(&sum, numbers.len() as u64)
        };
        let leads = |number: &u32| Some(*number as usize) == leader;
        let leader_traffic = of((0..keepers).filter(leads).collect());
        let keeper_traffic = of((0..keepers).filter(|number| !leads(number)).collect());
        let real_traffic = of((keepers..keepers + self.size().real).collect());
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
        begun_at: u64,
    ) -> Result<(), RehearsalError> {
        let changes: Vec<Change> =
            list.changes.iter().map(|(number, at)| Change { number: *number, at: *at }).collect();
        let mut processes = LogFacts::default();
        for initiator in self.participants.initiators() {
            let facts = facts(initiator)?;
            processes.revisions.extend(facts.revisions.into_iter().filter(|arrival| arrival.at >= begun_at));
            processes.versions.extend(facts.versions.into_iter().filter(|arrival| arrival.at >= begun_at));
        }
        let by_role: [(&'static str, &[Arrival], &[Arrival], usize); 2] = [
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

/// What the log of an initiator tells.
pub(super) fn facts(initiator: &Real) -> Result<LogFacts, RehearsalError> {
    let log = std::fs::read_to_string(&initiator.log).map_err(io_error("an initiator's log"))?;
    Ok(LogFacts::read(initiator.number, &log))
}

fn add(sum: &mut HollowReport, other: HollowReport) {
    sum.state.started += other.state.started;
    sum.state.listed += other.state.listed;
    sum.state.leased += other.state.leased;
    sum.list.add(&other.list);
    sum.agreement.add(&other.agreement);
    sum.nodes.add(&other.nodes);
    sum.revisions.extend(other.revisions);
    sum.versions.extend(other.versions);
    sum.restarts.extend(other.restarts);
    sum.floors += other.floors;
}

/// What the list service sent, its watcher received.
fn seen_from_there(traffic: &Traffic) -> Traffic {
    Traffic {
        messages_in: traffic.messages_out,
        bytes_in: traffic.bytes_out,
        messages_out: traffic.messages_in,
        bytes_out: traffic.bytes_in,
    }
}

fn divided(traffic: &Traffic, by: u64) -> Traffic {
    let by = by.max(1);
    Traffic {
        messages_in: traffic.messages_in / by,
        bytes_in: traffic.bytes_in / by,
        messages_out: traffic.messages_out / by,
        bytes_out: traffic.bytes_out / by,
    }
}

fn restarts(all: &[Restarted]) -> FaultReport {
    let mut times: Vec<u64> = all.iter().filter_map(|one| Some(one.ready? - one.at)).collect();
    times.sort_unstable();
    let ms = |place: usize| times.get(place).map_or(0.0, |micros| *micros as f64 / 1000.0);
    FaultReport {
        kind: "restart, until listed and leased".to_owned(),
        struck: all.len(),
        ready: times.len(),
        p50_ms: ms(times.len() / 2),
        last_ms: ms(times.len().saturating_sub(1)),
    }
}
