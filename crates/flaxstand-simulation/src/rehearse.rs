//! Plays a day on loopback: starts the list service, the nodes, the initiators and the clients, each in a
//! process of its own, injects the faults at their times, and audits the records.

use crate::agreed::{AgreementReport, LinkRelays, unix_time, with_values};
use crate::between;
use crate::day::Day;
use crate::list::{ListService, node_line};
use crate::load::Load;
use crate::model::{Model, Spec};
use crate::node::{Identity, Node};
use crate::process::{PROCESS_TIMEOUT, Process, RehearsalError, io_error, request_stop, stop, wait_for_exit};
use crate::relay::Flow;
use crate::report::{Report, report};
use crate::script::{Step, script};
use crate::shell::{Peer, Shell};
use flaxstand_audit::{AttemptLedger, Record, audit, read_folder};
use flaxstand_consensus::rules::Value;
use flaxstand_gateway::driver::{Driver, Options, clock};
use flaxstand_gateway::machine::{Address, Micros};
use flaxstand_gateway::settings::rules_of;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::info;

/// Parameters of a rehearsal.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the executable, which has a subcommand for each role.
    pub program: PathBuf,
    /// Path of the day's file.
    pub file: PathBuf,
    /// Text that holds the site's part of the day.
    pub text: String,
    /// The day.
    pub day: Day,
    /// Duration of the traffic, seconds; later faults do not happen.
    pub seconds: f64,
    /// Policy of the initiators: `module` or `pipe`.
    pub policy: String,
    /// Folder for records, settings and logs. It must be empty or absent.
    pub folder: PathBuf,
}

struct NodeSlot {
    process: Option<Process>,
    node: u64,
    incarnation: u64,
    address: String,
}

struct Rehearsal<'a> {
    plan: &'a Plan,
    list: Process,
    list_address: String,
    nodes: Vec<NodeSlot>,
    initiators: Vec<Option<Process>>,
    /// Initiators that were killed or asked to stop and not started again yet.
    stopping: BTreeSet<usize>,
    record: File,
    links: Option<LinkRelays>,
    /// Start times of the pauses of initiators.
    paused: BTreeMap<usize, f64>,
    next_node: u64,
}

impl<'a> Rehearsal<'a> {
    /// Creates the folder and starts the list service.
    fn new(plan: &'a Plan) -> Result<Self, RehearsalError> {
        std::fs::create_dir_all(&plan.folder)
            .map_err(io_error(format!("cannot create folder {}", plan.folder.display())))?;
        let record = plan.folder.join("rehearsal.jsonl");
        let record =
            File::create_new(&record).map_err(io_error(format!("cannot create {}", record.display())))?;
        let records = format!("--record={}/list.jsonl", plan.folder.display());
        let arguments = ["stand-in", "list", "--listen=127.0.0.1:0", &records].map(str::to_owned);
        let mut list = Process::start(&plan.program, &plan.folder, "list", &arguments)?;
        let list_address = list.expect("ready", PROCESS_TIMEOUT)?;
        let count = u64::from(plan.day.fleet.nodes);
        let initiators = plan.day.site.site.settings.initiators as usize;
        let slot = |node| NodeSlot { process: None, node, incarnation: 1, address: String::new() };
        let links = plan.day.agreement.map(|_| LinkRelays::new(initiators)).transpose();
        Ok(Rehearsal {
            plan,
            list,
            list_address,
            nodes: (0..count).map(slot).collect(),
            initiators: (0..initiators).map(|_| None).collect(),
            stopping: BTreeSet::new(),
            record,
            links: links.map_err(io_error("cannot start the relays"))?,
            paused: BTreeMap::new(),
            next_node: count,
        })
    }

    /// Starts the nodes and the initiators.
    fn start_fleet(&mut self) -> Result<(), RehearsalError> {
        for slot in 0..self.nodes.len() {
            self.start_node(slot, false, "127.0.0.1:0")?;
            self.list_node(slot, "serving", "-");
        }
        self.list.send_line(&format!("late {}", self.plan.day.fleet.list_delay.ms()));
        for index in 0..self.initiators.len() {
            self.start_initiator(index)?;
        }
        Ok(())
    }

    /// Commits the day's rules as the first version; the traffic starts once all initiators act on it.
    fn commit_first_version(&self) -> Result<(), RehearsalError> {
        let Some(links) = &self.links else { return Ok(()) };
        let rules = rules_of(&self.plan.day.site, self.plan.day.floor.clone());
        let number = links.propose(&rules, "the day's file", PROCESS_TIMEOUT);
        match number.and_then(|_| links.wait_for_convergence()) {
            Some(_) => Ok(()),
            None => Err(RehearsalError::Process(
                "the initiators did not all act on the first version in time".into(),
            )),
        }
    }

    fn start_clients(&self) -> Result<Process, RehearsalError> {
        let plan = self.plan;
        let folder = plan.folder.display();
        let mut arguments = vec!["stand-in".into(), "load".into(), plan.file.display().to_string()];
        arguments.push(format!("--seconds={}", plan.seconds));
        arguments.push(format!("--record={folder}/clients.jsonl"));
        let initiators = 0..self.initiators.len();
        arguments.extend(initiators.map(|i| format!("--initiator=unix:{folder}/initiator-{i}.sock")));
        let mut load = Process::start(&plan.program, &plan.folder, "clients", &arguments)?;
        load.expect("ready", PROCESS_TIMEOUT)?;
        Ok(load)
    }

    /// Removes the faults of the links and records the version on which the initiators converge.
    fn finish_agreement(&mut self) -> Result<(), RehearsalError> {
        let Some(links) = &self.links else { return Ok(()) };
        links.heal();
        let version = links.wait_for_convergence().map_or("none".to_owned(), |v| v.to_string());
        self.append_agreement_event(&format!("alike {version}"))?;
        let now = unix_time();
        for index in 0..self.initiators.len() {
            self.append_agreement_event(&format!("gone {index} {now}"))?;
        }
        Ok(())
    }

    fn append_record(&mut self, record: &Record) -> Result<(), RehearsalError> {
        let mut line = Vec::new();
        record.write(&mut line);
        self.record.write_all(&line).map_err(io_error("cannot write rehearsal.jsonl"))
    }

    /// Records an event that the check of the agreement needs beside the logs.
    fn append_agreement_event(&mut self, line: &str) -> Result<(), RehearsalError> {
        if self.links.is_none() {
            return Ok(());
        }
        let path = self.plan.folder.join("agreement.log");
        let file = OpenOptions::new().create(true).append(true).open(path);
        file.and_then(|mut f| writeln!(f, "{line}")).map_err(io_error("cannot write agreement.log"))
    }

    fn start_node(&mut self, slot: usize, cold: bool, listen: &str) -> Result<(), RehearsalError> {
        let plan = self.plan;
        let (node, incarnation) = (self.nodes[slot].node, self.nodes[slot].incarnation);
        let name = format!("node-{node}");
        let mut arguments = vec!["stand-in".into(), "node".into(), plan.file.display().to_string()];
        let folder = plan.folder.display();
        arguments.extend([
            format!("--node={node}"),
            format!("--shard={slot}"),
            format!("--incarnation={incarnation}"),
            format!("--listen={listen}"),
            format!("--record={folder}/{name}.jsonl"),
            format!("--data={folder}/shard-{slot}.data"),
        ]);
        if cold {
            arguments.push("--cold".into());
        }
        let mut process = Process::start(&plan.program, &plan.folder, &name, &arguments)?;
        self.nodes[slot].address = process.expect("ready", PROCESS_TIMEOUT)?;
        self.nodes[slot].process = Some(process);
        Ok(())
    }

    fn list_node(&mut self, slot: usize, state: &str, age: &str) {
        let zone = slot as u32 % self.plan.day.fleet.zones;
        let n = &self.nodes[slot];
        self.list.send_line(&node_line(n.node, n.incarnation, state, slot, zone, age, &n.address));
    }

    fn start_initiator(&mut self, index: usize) -> Result<(), RehearsalError> {
        let folder = self.plan.folder.display();
        let mut settings = settings_of(self.plan, index, &self.list_address);
        if let (Some(links), Some(agreement)) = (&self.links, &self.plan.day.agreement) {
            let own = self.plan.folder.join(format!("initiator-{index}"));
            settings += &links.settings(index, agreement, |i| format!("initiator-{i}"), &own);
        }
        let file = format!("{folder}/initiator-{index}.kdl");
        std::fs::write(&file, settings).map_err(io_error(format!("cannot write {file}")))?;
        let name = format!("initiator-{index}");
        let arguments = ["run", "--config", &file, "--with-parent"].map(str::to_owned);
        let mut process = Process::start(&self.plan.program, &self.plan.folder, &name, &arguments)?;
        process.expect("ready", PROCESS_TIMEOUT)?;
        self.initiators[index] = Some(process);
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), RehearsalError> {
        match step {
            Step::NodeLines(slot, lines) => {
                if let Some(process) = &mut self.nodes[slot].process {
                    process.send_line(&lines);
                }
            }
            Step::ListLines(lines) => self.list.send_line(&lines),
            // Faults may overlap: a process that is already down, or up again, is left as it is.
            Step::KillNode(slot) if self.nodes[slot].process.is_none() => {}
            Step::RestartNode(slot) if self.nodes[slot].process.is_some() => {}
            Step::KillInitiator(index, _) if self.stopping.contains(&index) => {}
            Step::RestartInitiator(index) if !self.stopping.contains(&index) => {}
            Step::KillNode(slot) => {
                self.nodes[slot].process = None;
                self.append_record(&Record::NodeDown { at: clock().0, node: self.nodes[slot].node })?;
            }
            Step::RestartNode(slot) => {
                self.nodes[slot].incarnation += 1;
                let address = self.nodes[slot].address.clone();
                self.start_node(slot, true, &address)?;
                self.list_node(slot, "serving", "0");
            }
            Step::DrainNode(slot) => self.list_node(slot, "draining", "-"),
            Step::ReplaceNode(slot) => self.replace_node(slot)?,
            Step::IsolateInitiator(index, on) => {
                if let Some(links) = &self.links {
                    links.set_all_links(index, if on { Flow::Stall } else { Flow::Pass });
                }
            }
            Step::PauseInitiator(index, true) => {
                if let Some(process) = &self.initiators[index] {
                    process.signal(Signal::STOP);
                    self.paused.insert(index, unix_time());
                }
            }
            Step::PauseInitiator(index, false) => self.resume_initiator(index)?,
            Step::ProposeRules(sets) => self.propose(&sets),
            Step::KillInitiator(index, immediately) => self.kill_initiator(index, immediately)?,
            Step::RestartInitiator(index) => {
                self.stopping.remove(&index);
                if let Some(process) = self.initiators[index].take() {
                    wait_for_exit(process)?;
                }
                self.start_initiator(index)?;
            }
        }
        Ok(())
    }

    fn replace_node(&mut self, slot: usize) -> Result<(), RehearsalError> {
        self.list_node(slot, "gone", "-");
        self.apply(Step::KillNode(slot))?;
        self.nodes[slot].node = self.next_node;
        self.nodes[slot].incarnation = 1;
        self.next_node += 1;
        self.start_node(slot, true, "127.0.0.1:0")?;
        self.list_node(slot, "serving", "0");
        Ok(())
    }

    fn resume_initiator(&mut self, index: usize) -> Result<(), RehearsalError> {
        if let (Some(since), Some(process)) = (self.paused.remove(&index), &self.initiators[index]) {
            let until = unix_time();
            process.signal(Signal::CONT);
            self.append_agreement_event(&format!("pause {index} {since} {until}"))?;
        }
        Ok(())
    }

    fn propose(&self, sets: &BTreeMap<String, Value>) {
        if let Some(links) = &self.links {
            let rules = with_values(&rules_of(&self.plan.day.site, self.plan.day.floor.clone()), sets);
            let number = links.propose(&rules, &format!("{sets:?}"), PROCESS_TIMEOUT);
            info!(?number, ?sets, "proposed a change of the rules");
        }
    }

    fn kill_initiator(&mut self, index: usize, immediately: bool) -> Result<(), RehearsalError> {
        self.stopping.insert(index);
        self.append_record(&Record::Killed { at: clock().0, initiator: index as u32 })?;
        if immediately {
            self.initiators[index] = None;
            // Recorded after the process has ended: until then it may act.
            self.append_agreement_event(&format!("gone {index} {}", unix_time()))?;
        } else if let Some(process) = &self.initiators[index] {
            request_stop(process)?;
        }
        Ok(())
    }
}

/// Returns an initiator's settings: the site's part of the day, and its own block.
fn settings_of(plan: &Plan, index: usize, list: &str) -> String {
    let folder = plan.folder.display();
    let day = &plan.day;
    let mut text = format!(
        "initiator \"initiator-{index}\" {{\n    index {index}\n    seed {}\n    listen \"unix:{folder}/initiator-{index}.sock\"\n    list \"{list}\"\n    state \"{folder}/initiator-{index}.list\"\n    policy \"{}\"\n}}\n",
        initiator_seed(day, index),
        plan.policy,
    );
    if day.site.site.write_back.is_some() {
        let end = text.rfind('}').unwrap_or(0);
        text.insert_str(end, &format!("    log \"{folder}/initiator-{index}.buffer\"\n"));
    }
    text.push_str(&flaxstand_gateway::settings::shared_part(&plan.text));
    text
}

/// Returns the seed of an initiator; each has a random sequence of its own.
pub(crate) fn initiator_seed(day: &Day, index: usize) -> u64 {
    day.seed.wrapping_mul(31).wrapping_add(index as u64) >> 2
}

/// Plays a day. All processes end with the call.
///
/// # Errors
/// A process can't be started or exits unexpectedly, or the records can't be read. A violated rule is no
/// error: the report lists it.
pub fn rehearse(plan: &Plan) -> Result<(Report, AttemptLedger), RehearsalError> {
    let mut rehearsal = Rehearsal::new(plan)?;
    rehearsal.start_fleet()?;
    rehearsal.commit_first_version()?;
    let mut load = rehearsal.start_clients()?;
    // Time for the initiators to receive the list and for the clients' handshakes.
    std::thread::sleep(Duration::from_millis(300));
    load.send_line("start");
    let start = clock();
    for (at, step) in script(&plan.day, plan.seconds) {
        let due = start.after(Micros::from_ms(at * 1000.0));
        std::thread::sleep(Duration::from_micros(due.since(clock()).0));
        rehearsal.apply(step)?;
    }
    let longest = plan.day.site.site.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let end = start.after(Micros::from_ms(plan.seconds * 1000.0 + longest + 10_000.0));
    load.expect("done", Duration::from_micros(end.since(clock()).0) + PROCESS_TIMEOUT)?;
    rehearsal.finish_agreement()?;
    for process in std::mem::take(&mut rehearsal.initiators).into_iter().flatten() {
        stop(process)?;
    }
    drop((rehearsal, load));
    info!(folder = %plan.folder.display(), "traffic has ended; auditing the records");
    audit_folder(&plan.day, &plan.folder)
}

/// Builds the report from the records that a rehearsal of the day left in a folder.
///
/// # Errors
/// The records or logs can't be read.
pub fn audit_folder(day: &Day, folder: &Path) -> Result<(Report, AttemptLedger), RehearsalError> {
    let ledger = AttemptLedger::new(read_folder(folder)?);
    let verdict = audit(&ledger, &day.audit_rules());
    let mut report = report(day, &ledger, verdict);
    if let Some(agreement) = &day.agreement {
        let count = day.site.site.settings.initiators as usize;
        report.agreement = Some(AgreementReport::read(folder, count, agreement)?);
    }
    Ok((report, ledger))
}

/// Options of an emulated process.
#[derive(Clone, Debug, Default)]
pub struct StandInOptions {
    /// Addresses to listen at.
    pub listen: Vec<Address>,
    /// File to which records are appended.
    pub record: Option<PathBuf>,
    /// File to which stored data is appended.
    pub data: Option<PathBuf>,
    /// Whether it runs without a rehearsal: no `ready` line is printed at its start.
    pub standalone: bool,
}

fn append(path: &Option<PathBuf>) -> io::Result<Option<File>> {
    path.as_ref().map(|p| OpenOptions::new().create(true).append(true).open(p)).transpose()
}

pub(crate) fn serve<P: Peer>(peer: P, stand_in: &StandInOptions) -> io::Result<()> {
    let options = Options {
        record: append(&stand_in.record)?,
        data: append(&stand_in.data)?,
        read_input: true,
        ..Options::default()
    };
    let mut driver = Driver::new(Shell::new(peer), options)?;
    let at: Vec<Address> = stand_in.listen.iter().map(|a| driver.listen(a)).collect::<io::Result<_>>()?;
    let at: Vec<String> = at.iter().map(Address::to_string).collect();
    if !stand_in.standalone {
        println!("ready {}", at.join(" "));
        io::stdout().flush()?;
    }
    driver.run().map(drop)
}

/// Runs the emulated list service until its standard input ends.
///
/// # Errors
/// The service can't listen, or the driver fails.
pub fn serve_list(stand_in: &StandInOptions) -> io::Result<()> {
    serve(ListService::new(Micros(0)), stand_in)
}

/// Creates a node of a day.
pub(crate) fn emulated_node(day: &Day, id: Identity, cold: bool, stored: &[u8], now: Micros) -> Node {
    // The speed is drawn per machine: another machine on the same shard gets another speed.
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ (id.node + 1).rotate_left(40));
    let spec = Spec { speed: between(&mut rng, day.fleet.speed), ..day.fleet.spec };
    Node::new(id, day.fleet.behaviour, day.seed, Model::new(spec, cold, now), stored)
}

/// Runs an emulated node of a day until its standard input ends.
///
/// # Errors
/// The node can't listen or read its data, or the driver fails.
pub fn serve_node(day: &Day, id: Identity, cold: bool, stand_in: &StandInOptions) -> io::Result<()> {
    let stored = match &stand_in.data {
        Some(path) if path.exists() => std::fs::read(path)?,
        _ => Vec::new(),
    };
    let now = clock();
    let node = emulated_node(day, id, cold, &stored, now);
    let mut up = Vec::new();
    node.up(cold, now).write(&mut up);
    if let Some(mut file) = append(&stand_in.record)? {
        file.write_all(&up)?;
    }
    serve(node, stand_in)
}

/// Runs the clients of a day until all their operations are done.
///
/// # Errors
/// The driver fails.
pub fn serve_load(
    day: Day,
    seconds: f64,
    initiators: Vec<Address>,
    stand_in: &StandInOptions,
) -> io::Result<()> {
    serve(Load::new(day, seconds, initiators), stand_in)
}

/// Returns a path for a rehearsal's records that no other process uses.
pub fn fresh_folder() -> PathBuf {
    std::env::temp_dir().join(format!("flaxstand-{}-{}", std::process::id(), clock().0))
}

/// Removes the folder of a rehearsal.
pub fn clean(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
