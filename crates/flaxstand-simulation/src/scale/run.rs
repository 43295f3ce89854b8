//! Runs the steps of a plan one after the other. A step starts its processes, waits until all are ready,
//! applies changes and faults during the measurement, and reads the resource usage of the processes before
//! and after it.

use super::collect::read_log;
use super::hollow::{Activation, HollowState};
use super::interrupt::Interrupt;
use super::lags::Change;
use super::node_list::FIRST_REVISION;
use super::participants::{ANSWERING_NODES, Participants, RealInitiator, StepEnvironment};
use super::plan::{FaultKind, Plan, Size, Step};
use super::process_usage::{ProcessUsage, load_average, machine_memory_kib};
use super::result::{FaultReport, RoleReport, ScaleReport, StepReport, UsageInterval};
use super::schedule::{Action, schedule};
use crate::agreed::{propose, send_operator_request, with_values};
use crate::press::LoadResult;
use crate::process::{PROCESS_TIMEOUT, Process, RehearsalError, io_error};
use flaxstand_consensus::participant::{OperatorReply, OperatorRequest, StatusReport};
use flaxstand_consensus::rules::Value;
use flaxstand_gateway::driver::clock;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Time limit for all initiators to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// If no initiator makes progress for this long, those that are not ready are reported as not fitting.
const STALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between checks of the processes' state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Wait after all initiators are ready, so that work caused by the start ends before the measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Wait after the measurement for pending changes to take effect.
const PROPAGATION_GRACE: Duration = Duration::from_millis(1500);
/// Time limit for the report of a process.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the keepers to elect a leader.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// Seconds by which the clients' load lasts longer than the measurement.
const LOAD_MARGIN_S: f64 = 2.0;
/// The rule that proposals change. They alternate between the two values of `CHANGED_VALUES`.
const CHANGED_RULE: &str = "site.max-attempts";
const CHANGED_VALUES: [f64; 2] = [2.0, 3.0];

/// A scale run.
#[derive(Clone, Debug)]
pub struct ScaleRun {
    /// The program that implements all roles.
    pub program: PathBuf,
    /// The plan.
    pub plan: Plan,
    /// Folder for settings, saved state and logs. It must be empty or absent.
    pub folder: PathBuf,
}

impl ScaleRun {
    /// Runs all steps. SIGINT and SIGTERM interrupt the run. All processes have ended when this returns, also
    /// after an error.
    ///
    /// # Errors
    /// A process cannot be started or ends unexpectedly, or the run was interrupted.
    pub fn run(&self, progress: impl Fn(&str)) -> Result<ScaleReport, RehearsalError> {
        let interrupt =
            Interrupt::install().map_err(io_error("cannot install the handlers for SIGINT and SIGTERM"))?;
        let mut steps = Vec::new();
        for (nth, step) in self.plan.steps.iter().enumerate() {
            progress(&format!("step {} of {}: {}", nth + 1, self.plan.steps.len(), step.name));
            let folder = self.folder.join(format!("step-{nth}"));
            std::fs::create_dir_all(&folder)
                .map_err(io_error(format!("cannot create the folder {}", folder.display())))?;
            let environment = StepEnvironment {
                program: &self.program,
                folder: &folder,
                plan: &self.plan,
                interrupt: &interrupt,
            };
            steps.push(run_step(&environment, step, &progress)?);
            // The report holds all figures of the step, so that its files are no longer needed.
            std::fs::remove_dir_all(&folder)
                .map_err(io_error(format!("cannot remove the folder {}", folder.display())))?;
        }
        Ok(ScaleReport {
            name: self.plan.name.clone(),
            machine_mib: machine_memory_kib() as f64 / 1024.0,
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            steps,
        })
    }
}

/// State of the step that is running.
pub(super) struct RunningStep<'a> {
    pub(super) environment: &'a StepEnvironment<'a>,
    pub(super) step: &'a Step,
    pub(super) participants: Participants,
    pub(super) report: StepReport,
    /// Accepted proposals, with the versions that they became.
    pub(super) proposed: Vec<Change>,
    /// Number of proposals, accepted or not.
    proposals: usize,
}

fn run_step(
    environment: &StepEnvironment<'_>,
    step: &Step,
    progress: &dyn Fn(&str),
) -> Result<StepReport, RehearsalError> {
    let load_at_start = load_average();
    let started = Instant::now();
    let participants = environment.start(&step.size)?;
    let report = StepReport {
        name: step.name.clone(),
        size: step.size,
        faults: step.faults.clone(),
        ..StepReport::default()
    };
    let mut running =
        RunningStep { environment, step, participants, report, proposed: Vec::new(), proposals: 0 };
    running.report.processes = running.participants.pids().len();
    if running.propose_initial_rules()? && running.wait_until_ready(started)? {
        running.report.ready_ms = started.elapsed().as_secs_f64() * 1000.0;
        progress(&format!("ready after {:.1} s", started.elapsed().as_secs_f64()));
        environment.interrupt.sleep(SETTLE_TIME)?;
        running.measure()?;
    }
    running.report.load_average = (load_at_start, load_average());
    Ok(running.report)
}

/// Parses a report that a process printed as JSON.
pub(super) fn parse_report<T: DeserializeOwned>(json: &str) -> Result<T, RehearsalError> {
    serde_json::from_str(json)
        .map_err(|e| RehearsalError::Process(format!("a process printed an invalid report: {e}")))
}

/// Asks an initiator for its status. Returns `None` if it does not answer.
fn status(at: SocketAddr) -> Option<StatusReport> {
    match send_operator_request(at, &OperatorRequest::Status) {
        Ok(Some(OperatorReply::Status(report))) => Some(*report),
        _ => None,
    }
}

impl RunningStep<'_> {
    pub(super) fn size(&self) -> &Size {
        &self.step.size
    }

    pub(super) fn interrupt(&self) -> &Interrupt {
        self.environment.interrupt
    }

    /// Records a part of the planned size that does not fit.
    fn add_misfit(&mut self, reason: String) {
        self.report.does_not_fit.push(reason);
    }

    /// Returns the listen addresses of the running keepers.
    fn keeper_addresses(&self) -> Vec<SocketAddr> {
        let all = self.participants.keepers.iter().zip(&self.participants.keeper_addresses);
        all.filter(|(keeper, _)| keeper.is_some()).map(|(_, at)| *at).collect()
    }

    /// Returns the number of the leader as reported by the first running keeper that knows one.
    fn leader(&self) -> Option<usize> {
        let name = self.keeper_addresses().into_iter().find_map(|at| status(at)?.leader)?;
        name.strip_prefix("keeper-")?.parse().ok()
    }

    /// Proposes the first version of the rules if the step has keepers. Returns whether the step can
    /// continue.
    fn propose_initial_rules(&mut self) -> Result<bool, RehearsalError> {
        if self.size().keepers == 0 {
            return Ok(true);
        }
        self.interrupt().check()?;
        let rules = &self.environment.plan.rules;
        if propose(&self.keeper_addresses(), rules, "the plan's file", ELECTION_TIMEOUT).is_none() {
            self.add_misfit(format!(
                "the keepers did not accept the first version of the rules within {} s",
                ELECTION_TIMEOUT.as_secs()
            ));
            return Ok(false);
        }
        Ok(true)
    }

    /// Waits until all initiators have the list and, in steps with keepers, a lease. Returns whether the step
    /// can continue.
    fn wait_until_ready(&mut self, started: Instant) -> Result<bool, RehearsalError> {
        let mut last_progress = (0, Instant::now());
        loop {
            self.interrupt().sleep(POLL_INTERVAL)?;
            if let Some(reason) = self.memory_excess() {
                self.add_misfit(reason);
                return Ok(false);
            }
            let state = self.hollow_state()?;
            let expected = self.size().hollow;
            let leased = if self.size().keepers > 0 { state.leased } else { state.listed };
            let listed_real = self.listed_real()?;
            let ready = state.listed.min(leased) + listed_real;
            if ready == expected + self.size().real + self.size().keepers {
                return Ok(true);
            }
            let progress = state.started + state.listed + leased + listed_real;
            if progress > last_progress.0 {
                last_progress = (progress, Instant::now());
            }
            if last_progress.1.elapsed() > STALL_TIMEOUT || started.elapsed() > READY_TIMEOUT {
                let seconds = started.elapsed().as_secs_f64();
                self.add_misfit(format!(
                    "of {expected} hollow initiators {} have the list and {leased} a lease \
                     after {seconds:.0} s; {}",
                    state.listed,
                    self.most_frequent_warning()
                ));
                return Ok(true);
            }
        }
    }

    /// Returns the most frequent warning in the logs of the running keepers, without its digits.
    fn most_frequent_warning(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for keeper in self.participants.keepers.iter().flatten() {
            let log = std::fs::read_to_string(&keeper.log).unwrap_or_default();
            for line in log.lines() {
                if let Some((_, warning)) = line.split_once(" WARN ") {
                    let warning: String = warning.chars().filter(|c| !c.is_ascii_digit()).collect();
                    *counts.entry(warning).or_default() += 1;
                }
            }
        }
        let most_frequent = counts.into_iter().max_by_key(|(_, count)| *count);
        most_frequent.map_or("the keepers logged no warnings".to_owned(), |(warning, count)| {
            format!("the keepers logged {count} times: {warning}")
        })
    }

    /// Checks that the processes hold at most half of the machine's memory. The other half is left to other
    /// programs. Returns a message if they hold more.
    fn memory_excess(&self) -> Option<String> {
        let (held, allowed) = (self.resident_kib(), machine_memory_kib() / 2);
        (held > allowed).then(|| {
            format!(
                "{} MiB resident, expected at most {} MiB, half of the machine's memory",
                held >> 10,
                allowed >> 10
            )
        })
    }

    fn resident_kib(&self) -> u64 {
        let usages = self.participants.pids().into_iter().filter_map(ProcessUsage::read);
        usages.map(|usage| usage.resident_kib).sum()
    }

    fn hollow_state(&mut self) -> Result<HollowState, RehearsalError> {
        let mut sum = HollowState::default();
        for hollow in &mut self.participants.hollow {
            hollow.process.send_line("state");
            let json = self.environment.interrupt.expect(&mut hollow.process, "state", REPORT_TIMEOUT)?;
            let state: HollowState = parse_report(&json)?;
            sum.started += state.started;
            sum.listed += state.listed;
            sum.leased += state.leased;
        }
        Ok(sum)
    }

    /// Counts the real initiators and keepers that have the complete list.
    fn listed_real(&self) -> Result<u32, RehearsalError> {
        let mut count = 0;
        for initiator in self.participants.initiators() {
            let is_complete = |activation: &Activation| activation.number >= FIRST_REVISION;
            count += u32::from(read_log(initiator)?.revisions.iter().any(is_complete));
        }
        Ok(count)
    }

    /// Returns each role with the number of its initiators and its process ids.
    fn roles(&self, leader: Option<usize>) -> Vec<(&'static str, u32, Vec<u32>)> {
        let all = &self.participants;
        let pids =
            |all: Vec<&RealInitiator>| -> Vec<u32> { all.iter().map(|real| real.process.id()).collect() };
        let is_leader = |nth: usize| Some(nth) == leader;
        let keepers = |leading: bool| -> Vec<&RealInitiator> {
            let selected = all.keepers.iter().enumerate().filter(|(nth, _)| is_leader(*nth) == leading);
            selected.filter_map(|(_, keeper)| keeper.as_ref()).collect()
        };
        let (leader, others) = (pids(keepers(true)), pids(keepers(false)));
        let real = pids(all.real.iter().collect());
        let hollow: Vec<u32> = all.hollow.iter().map(|hollow| hollow.process.id()).collect();
        vec![
            ("leader", leader.len() as u32, leader),
            ("keeper", others.len() as u32, others),
            ("real", real.len() as u32, real),
            ("hollow", all.hollow.iter().map(|hollow| hollow.count).sum(), hollow),
            ("list", 0, vec![all.list.id()]),
        ]
    }

    fn measure(&mut self) -> Result<(), RehearsalError> {
        let load = self.start_load()?;
        let leader = self.leader();
        self.participants.list.send_line("start");
        self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line("start"));
        let read = |pid: u32| Some((pid, ProcessUsage::read(pid)?));
        let before: BTreeMap<u32, ProcessUsage> =
            self.participants.pids().into_iter().filter_map(read).collect();
        let start = Instant::now();
        let started_at = clock().0;
        let mut faults = Vec::new();
        for (at, action) in schedule(self.step) {
            self.interrupt().sleep_until(start + Duration::from_secs_f64(at))?;
            self.run_action(action, &mut faults)?;
        }
        self.interrupt().sleep_until(start + self.size().duration())?;
        let seconds = start.elapsed().as_secs_f64();
        self.report.measured_seconds = seconds;
        self.participants.list.send_line("stop");
        self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line("stop"));
        let roles = self.roles(leader);
        self.report.resident_mib = self.resident_kib() as f64 / 1024.0;
        for (role, initiators, pids) in roles {
            let usage = |pid: &u32| {
                Some(UsageInterval { before: *before.get(pid)?, after: ProcessUsage::read(*pid)? })
            };
            let all: Vec<UsageInterval> = pids.iter().filter_map(usage).collect();
            self.report.roles.extend(RoleReport::of(role, initiators, &all, seconds));
        }
        if let Some(reason) = self.memory_excess() {
            self.add_misfit(reason);
        }
        self.finish_load(load)?;
        self.interrupt().sleep(PROPAGATION_GRACE)?;
        self.collect(started_at, faults, leader)
    }

    /// Starts the clients and waits until their connections are established. Returns `None` if the step has
    /// none.
    fn start_load(&mut self) -> Result<Option<Process>, RehearsalError> {
        let size = *self.size();
        let Some(first) = self.participants.real.first().filter(|_| size.connections > 0) else {
            return Ok(None);
        };
        let idle = ProcessUsage::read(first.process.id()).map_or(0, |usage| usage.descriptors);
        let shards = ANSWERING_NODES.min(size.nodes);
        let arguments = [
            "stand-in".to_owned(),
            "press".into(),
            format!("--initiator={}", first.address),
            format!("--shards={shards}"),
            format!("--clients={}", size.connections),
            format!("--rate={}", size.requests),
            format!("--seconds={}", size.seconds + LOAD_MARGIN_S),
        ];
        let load = Process::start(self.environment.program, self.environment.folder, "press", &arguments)?;
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            self.interrupt().sleep(POLL_INTERVAL)?;
            let open = ProcessUsage::read(first.process.id()).map_or(0, |usage| usage.descriptors);
            if open >= idle + u64::from(size.connections) {
                break;
            }
            if Instant::now() > deadline {
                let reason = format!(
                    "{} of {} client connections established within {} s",
                    open.saturating_sub(idle),
                    size.connections,
                    PROCESS_TIMEOUT.as_secs()
                );
                self.add_misfit(reason);
                break;
            }
        }
        self.interrupt().sleep(SETTLE_TIME)?;
        Ok(Some(load))
    }

    fn finish_load(&mut self, load: Option<Process>) -> Result<(), RehearsalError> {
        let Some(mut load) = load else { return Ok(()) };
        let timeout = self.size().duration() + PROCESS_TIMEOUT;
        match self.interrupt().expect(&mut load, "seen", timeout) {
            Ok(json) => self.report.load = Some(parse_report::<LoadResult>(&json)?),
            Err(RehearsalError::Interrupted) => return Err(RehearsalError::Interrupted),
            Err(error) => self.add_misfit(format!("the clients reported no results: {error}")),
        }
        Ok(())
    }

    fn run_action(&mut self, action: Action, faults: &mut Vec<FaultReport>) -> Result<(), RehearsalError> {
        match action {
            Action::Propose => self.propose_change(),
            Action::RestoreList => {
                self.participants.list.send_line("away 0");
                Ok(())
            }
            Action::StartFault(FaultKind::ListAway { .. }) => {
                self.participants.list.send_line("away 1");
                Ok(())
            }
            Action::StartFault(FaultKind::Restart { share }) => {
                let line = format!("restart {share}");
                self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line(&line));
                Ok(())
            }
            Action::StartFault(FaultKind::KillLeader) => {
                faults.push(self.kill_leader()?);
                Ok(())
            }
        }
    }

    /// Proposes the next change of the rules. A proposal that is not accepted because the previous one has
    /// not taken effect counts as refused.
    fn propose_change(&mut self) -> Result<(), RehearsalError> {
        let value = CHANGED_VALUES[self.proposals % CHANGED_VALUES.len()];
        self.proposals += 1;
        let sets = BTreeMap::from([(CHANGED_RULE.to_owned(), Value::Number(value))]);
        let rules = with_values(&self.environment.plan.rules, &sets);
        let at = clock().0;
        match propose(&self.keeper_addresses(), &rules, "a change", PROPOSAL_TIMEOUT) {
            Some(number) => self.proposed.push(Change { number, at }),
            None => self.report.proposals_refused += 1,
        }
        self.interrupt().check()
    }

    /// Kills the leader among the keepers and waits until another keeper leads.
    fn kill_leader(&mut self) -> Result<FaultReport, RehearsalError> {
        let Some(killed) = self.leader() else {
            return Err(RehearsalError::Process(
                "fault kill-leader: no running keeper reports a leader".into(),
            ));
        };
        let kind = "kill-leader, until another leads".to_owned();
        let start = Instant::now();
        self.participants.keepers[killed] = None;
        while start.elapsed() < ELECTION_TIMEOUT {
            if self.leader().is_some_and(|leader| leader != killed) {
                let ms = start.elapsed().as_secs_f64() * 1000.0;
                return Ok(FaultReport { kind, affected: 1, ready: 1, p50_ms: ms, last_ms: ms });
            }
            self.interrupt().sleep(Duration::from_millis(10))?;
        }
        Ok(FaultReport { kind, affected: 1, ready: 0, p50_ms: 0.0, last_ms: 0.0 })
    }
}

/// Removes the folder of a run. Errors are ignored.
pub fn clean(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
