//! Runs the steps of a plan, one after the other: starts what a step needs, waits until all are ready, plays the
//! changes and faults for as long as is measured, and takes accounts before and after.

use super::account::{Account, load_average, machine_memory_kib};
use super::collect::facts;
use super::hollow::{Arrival, HollowState};
use super::interrupt::Interrupt;
use super::lags::Change;
use super::node_list::FIRST_REVISION;
use super::participants::{ANSWERING_NODES, Participants, Real, Workplace};
use super::plan::{FaultKind, Plan, Size, Step};
use super::result::{Accounted, FaultReport, RoleReport, ScaleReport, StepReport};
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

/// How long initiators have until all are ready.
const READY_WITHIN: Duration = Duration::from_secs(40);
/// Without progress for so long, those that are not ready are taken not to fit.
const NO_PROGRESS: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(100);
/// After all are ready, what the start left behind has so long to end.
const SETTLE: Duration = Duration::from_millis(1500);
/// After the measurement changes under way have so long to come in force.
const GRACE: Duration = Duration::from_millis(1500);
/// How long a process has for its report.
pub(super) const REPORT_WITHIN: Duration = Duration::from_secs(20);
/// How long a proposal is tried.
const PROPOSE_WITHIN: Duration = Duration::from_secs(3);
/// How long the keepers have to elect a leader.
const ELECT_WITHIN: Duration = Duration::from_secs(20);
/// How much longer than the measurement clients press.
const LOAD_MARGIN: f64 = 2.0;
/// The rule that proposals change, between these two values.
const CHANGED_RULE: &str = "site.max-attempts";
const CHANGED_VALUES: [f64; 2] = [2.0, 3.0];

/// What to run and how.
#[derive(Clone, Debug)]
pub struct ScaleRun {
    /// The program that holds all roles.
    pub program: PathBuf,
    /// The plan.
    pub plan: Plan,
    /// Where settings, saved state and logs go. It must be empty or absent.
    pub folder: PathBuf,
}

impl ScaleRun {
    /// Runs every step. All processes have ended when this returns, whatever it returns; SIGINT and SIGTERM end it.
    ///
    /// # Errors
    /// A process can't be started or ends by itself, or the run was interrupted.
    pub fn run(&self, progress: impl Fn(&str)) -> Result<ScaleReport, RehearsalError> {
        let interrupt = Interrupt::catch().map_err(io_error("signals"))?;
        let mut steps = Vec::new();
        for (nth, step) in self.plan.steps.iter().enumerate() {
            progress(&format!("step {} of {}: {}", nth + 1, self.plan.steps.len(), step.name));
            let folder = self.folder.join(format!("step-{nth}"));
            std::fs::create_dir_all(&folder).map_err(io_error("a folder for logs"))?;
            let workplace = Workplace {
                program: &self.program,
                folder: &folder,
                plan: &self.plan,
                interrupt: &interrupt,
            };
            steps.push(run_step(&workplace, step, &progress)?);
            // What a step left is not needed beside its figures.
            std::fs::remove_dir_all(&folder).map_err(io_error("a step's folder"))?;
        }
        Ok(ScaleReport {
            name: self.plan.name.clone(),
            machine_mib: machine_memory_kib() as f64 / 1024.0,
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            steps,
        })
    }
}

/// What a step under way knows.
pub(super) struct Running<'a> {
    pub(super) workplace: &'a Workplace<'a>,
    pub(super) step: &'a Step,
    pub(super) participants: Participants,
    pub(super) report: StepReport,
    /// Proposals of rules that were taken.
    pub(super) proposed: Vec<Change>,
    /// How many proposals were made, taken or not.
    proposals: usize,
}

fn run_step(
    workplace: &Workplace<'_>,
    step: &Step,
    progress: &dyn Fn(&str),
) -> Result<StepReport, RehearsalError> {
    let load_at_start = load_average();
    let started = Instant::now();
    let participants = workplace.start(&step.size)?;
    let report = StepReport {
        name: step.name.clone(),
        size: step.size,
        faults: step.faults.clone(),
        ..StepReport::default()
    };
    let mut running = Running { workplace, step, participants, report, proposed: Vec::new(), proposals: 0 };
    running.report.processes = running.participants.ids().len();
    if running.found_agreement()? && running.become_ready(started)? {
        running.report.ready_ms = started.elapsed().as_secs_f64() * 1000.0;
        progress(&format!("ready after {:.1} s", started.elapsed().as_secs_f64()));
        workplace.interrupt.sleep(SETTLE)?;
        running.measure()?;
    }
    running.report.load_average = (load_at_start, load_average());
    Ok(running.report)
}

/// What a process printed as JSON.
pub(super) fn parsed<T: DeserializeOwned>(json: &str) -> Result<T, RehearsalError> {
    serde_json::from_str(json).map_err(|e| RehearsalError::Process(format!("a report: {e}")))
}

/// An initiator's word on how things stand.
fn status(at: SocketAddr) -> Option<StatusReport> {
    match send_operator_request(at, &OperatorRequest::Status) {
        Ok(Some(OperatorReply::Status(report))) => Some(*report),
        _ => None,
    }
}

impl Running<'_> {
    pub(super) fn size(&self) -> &Size {
        &self.step.size
    }

    pub(super) fn interrupt(&self) -> &Interrupt {
        self.workplace.interrupt
    }

    fn does_not_fit(&mut self, reason: String) {
        self.report.does_not_fit.push(reason);
    }

    /// Where keepers that live listen.
    fn keeper_addresses(&self) -> Vec<SocketAddr> {
        let all = self.participants.keepers.iter().zip(&self.participants.keeper_addresses);
        all.filter(|(keeper, _)| keeper.is_some()).map(|(_, at)| *at).collect()
    }

    /// The number of the keeper that leads, as another says that lives.
    fn leader(&self) -> Option<usize> {
        let told = self.keeper_addresses().into_iter().find_map(|at| status(at)?.leader)?;
        told.strip_prefix("keeper-")?.parse().ok()
    }

    /// Proposes the first version of the rules, where there is an agreement.
    fn found_agreement(&mut self) -> Result<bool, RehearsalError> {
        if self.size().keepers == 0 {
            return Ok(true);
        }
        self.interrupt().check()?;
        let rules = &self.workplace.plan.rules;
        if propose(&self.keeper_addresses(), rules, "the plan's file", ELECT_WITHIN).is_none() {
            self.does_not_fit("the keepers did not agree on a first version of the rules".to_owned());
            return Ok(false);
        }
        Ok(true)
    }

    /// Waits until all initiators have the list and a lease. False: the step can't go on.
    fn become_ready(&mut self, started: Instant) -> Result<bool, RehearsalError> {
        let mut best = (0, Instant::now());
        loop {
            self.interrupt().sleep(POLL)?;
            if let Some(reason) = self.too_much_memory() {
                self.does_not_fit(reason);
                return Ok(false);
            }
            let state = self.hollow_state()?;
            let wanted = self.size().hollow;
            let leased = if self.size().keepers > 0 { state.leased } else { state.listed };
            let listed_real = self.listed_real()?;
            let done = state.listed.min(leased) + listed_real;
            if done == wanted + self.size().real + self.size().keepers {
                return Ok(true);
            }
            let progress = state.started + state.listed + leased + listed_real;
            if progress > best.0 {
                best = (progress, Instant::now());
            }
            if best.1.elapsed() > NO_PROGRESS || started.elapsed() > READY_WITHIN {
                let seconds = started.elapsed().as_secs_f64();
                self.does_not_fit(format!(
                    "of {wanted} hollow initiators {} have the list and {leased} a lease after {seconds:.0} s; {}",
                    state.listed,
                    self.warnings()
                ));
                return Ok(true);
            }
        }
    }

    /// What the logs of the keepers warn of, the most frequent first.
    fn warnings(&self) -> String {
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
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map_or("the keepers warn of nothing".to_owned(), |(warning, count)| {
            format!("the keepers warn {count} times: {warning}")
        })
    }

    /// Half of the machine's memory is for others.
    fn too_much_memory(&self) -> Option<String> {
        let (held, allowed) = (self.resident_kib(), machine_memory_kib() / 2);
        (held > allowed)
            .then(|| format!("{} MiB resident, at most {} are allowed", held >> 10, allowed >> 10))
    }

    fn resident_kib(&self) -> u64 {
        let accounts = self.participants.ids().into_iter().filter_map(Account::of);
        accounts.map(|account| account.resident_kib).sum()
    }

    fn hollow_state(&mut self) -> Result<HollowState, RehearsalError> {
        let mut sum = HollowState::default();
        for hollow in &mut self.participants.hollow {
            hollow.process.send_line("state");
            let json = self.workplace.interrupt.expect(&mut hollow.process, "state", REPORT_WITHIN)?;
            let state: HollowState = parsed(&json)?;
            sum.started += state.started;
            sum.listed += state.listed;
            sum.leased += state.leased;
        }
        Ok(sum)
    }

    /// Real initiators and keepers that have the list.
    fn listed_real(&self) -> Result<u32, RehearsalError> {
        let mut count = 0;
        for initiator in self.participants.initiators() {
            let whole = |arrival: &Arrival| arrival.number >= FIRST_REVISION;
            count += u32::from(facts(initiator)?.revisions.iter().any(whole));
        }
        Ok(count)
    }

    /// The processes of each role, with how many initiators they hold, and their ids.
    fn roles(&self, leader: Option<usize>) -> Vec<(&'static str, u32, Vec<u32>)> {
        let all = &self.participants;
        let ids = |all: Vec<&Real>| -> Vec<u32> { all.iter().map(|real| real.process.id()).collect() };
        let leads = |nth: usize| Some(nth) == leader;
        let keepers = |led: bool| -> Vec<&Real> {
            let all = all.keepers.iter().enumerate().filter(|(nth, _)| leads(*nth) == led);
            all.filter_map(|(_, keeper)| keeper.as_ref()).collect()
        };
        let (leader, others) = (ids(keepers(true)), ids(keepers(false)));
        let real = ids(all.real.iter().collect());
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
        let press = self.start_load()?;
        let leader = self.leader();
        self.participants.list.send_line("start");
        self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line("start"));
        let before: BTreeMap<u32, Account> =
            self.participants.ids().into_iter().filter_map(|id| Some((id, Account::of(id)?))).collect();
        let begun = Instant::now();
        let begun_at = clock().0;
        let mut faults = Vec::new();
        for (at, action) in schedule(self.step) {
            self.interrupt().sleep_until(begun + Duration::from_secs_f64(at))?;
            self.act(action, &mut faults)?;
        }
        self.interrupt().sleep_until(begun + self.size().duration())?;
        let seconds = begun.elapsed().as_secs_f64();
        self.report.measured_seconds = seconds;
        self.participants.list.send_line("stop");
        self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line("stop"));
        let roles = self.roles(leader);
        self.report.resident_mib = self.resident_kib() as f64 / 1024.0;
        for (role, initiators, ids) in roles {
            let accounted = |id: &u32| Some(Accounted { before: *before.get(id)?, after: Account::of(*id)? });
            let all: Vec<Accounted> = ids.iter().filter_map(accounted).collect();
            self.report.roles.extend(RoleReport::of(role, initiators, &all, seconds));
        }
        if let Some(reason) = self.too_much_memory() {
            self.does_not_fit(reason);
        }
        self.finish_load(press)?;
        self.interrupt().sleep(GRACE)?;
        self.collect(begun_at, faults, leader)
    }

    /// Starts the clients, and waits until their connections stand.
    fn start_load(&mut self) -> Result<Option<Process>, RehearsalError> {
        let size = *self.size();
        let Some(first) = self.participants.real.first().filter(|_| size.connections > 0) else {
            return Ok(None);
        };
        let idle = Account::of(first.process.id()).map_or(0, |account| account.descriptors);
        let shards = ANSWERING_NODES.min(size.nodes);
        let arguments = [
            "stand-in".to_owned(),
            "press".into(),
            format!("--initiator={}", first.address),
            format!("--shards={shards}"),
            format!("--clients={}", size.connections),
            format!("--rate={}", size.requests),
            format!("--seconds={}", size.seconds + LOAD_MARGIN),
        ];
        let press = Process::start(self.workplace.program, self.workplace.folder, "press", &arguments)?;
        let until = Instant::now() + PROCESS_TIMEOUT;
        loop {
            self.interrupt().sleep(POLL)?;
            let open = Account::of(first.process.id()).map_or(0, |account| account.descriptors);
            if open >= idle + u64::from(size.connections) {
                break;
            }
            if Instant::now() > until {
                let reason =
                    format!("{} of {} client connections stand", open.saturating_sub(idle), size.connections);
                self.does_not_fit(reason);
                break;
            }
        }
        self.interrupt().sleep(SETTLE)?;
        Ok(Some(press))
    }

    fn finish_load(&mut self, press: Option<Process>) -> Result<(), RehearsalError> {
        let Some(mut press) = press else { return Ok(()) };
        let within = self.size().duration() + PROCESS_TIMEOUT;
        match self.interrupt().expect(&mut press, "seen", within) {
            Ok(json) => self.report.load = Some(parsed::<LoadResult>(&json)?),
            Err(RehearsalError::Interrupted) => return Err(RehearsalError::Interrupted),
            Err(error) => self.does_not_fit(format!("the load ended: {error}")),
        }
        Ok(())
    }

    fn act(&mut self, action: Action, faults: &mut Vec<FaultReport>) -> Result<(), RehearsalError> {
        match action {
            Action::Propose => self.propose_change(),
            Action::ListReturns => {
                self.participants.list.send_line("away 0");
                Ok(())
            }
            Action::Fault(FaultKind::ListAway { .. }) => {
                self.participants.list.send_line("away 1");
                Ok(())
            }
            Action::Fault(FaultKind::Restart { share }) => {
                let line = format!("restart {share}");
                self.participants.hollow.iter_mut().for_each(|hollow| hollow.process.send_line(&line));
                Ok(())
            }
            Action::Fault(FaultKind::KillLeader) => {
                faults.push(self.kill_leader()?);
                Ok(())
            }
        }
    }

    /// Proposes the next change of the rules. One that is not taken, since the one before is not in force yet, counts
    /// as refused.
    fn propose_change(&mut self) -> Result<(), RehearsalError> {
        let value = CHANGED_VALUES[self.proposals % CHANGED_VALUES.len()];
        self.proposals += 1;
        let sets = BTreeMap::from([(CHANGED_RULE.to_owned(), Value::Number(value))]);
        let rules = with_values(&self.workplace.plan.rules, &sets);
        let at = clock().0;
        match propose(&self.keeper_addresses(), &rules, "a change", PROPOSE_WITHIN) {
            Some(number) => self.proposed.push(Change { number, at }),
            None => self.report.proposals_refused += 1,
        }
        self.interrupt().check()
    }

    /// Kills the keeper that leads, and waits until another does.
    fn kill_leader(&mut self) -> Result<FaultReport, RehearsalError> {
        let Some(killed) = self.leader() else {
            return Err(RehearsalError::Process("no keeper leads: there is none to kill".into()));
        };
        let kind = "kill-leader, until another leads".to_owned();
        let begun = Instant::now();
        self.participants.keepers[killed] = None;
        while begun.elapsed() < ELECT_WITHIN {
            if self.leader().is_some_and(|leader| leader != killed) {
                let ms = begun.elapsed().as_secs_f64() * 1000.0;
                return Ok(FaultReport { kind, struck: 1, ready: 1, p50_ms: ms, last_ms: ms });
            }
            self.interrupt().sleep(Duration::from_millis(10))?;
        }
        Ok(FaultReport { kind, struck: 1, ready: 0, p50_ms: 0.0, last_ms: 0.0 })
    }
}

/// Removes what a run left, whatever became of it.
pub fn clean(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
