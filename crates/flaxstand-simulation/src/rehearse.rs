//! Plays a day on loopback: starts the list service, the nodes, the initiators and the clients, each in a
//! process of its own, injects the faults at their times, and audits the records.

use crate::agreed::{Agreed, Links, calendar, changed};
use crate::between;
use crate::day::Day;
use crate::list::{ListService, node_line};
use crate::load::Load;
use crate::model::{Model, Spec};
use crate::node::{Identity, Node};
use crate::process::{Process, RehearsalError, SOON, ask_to_stop, io_error, stop, stopped};
use crate::relay::Flow;
use crate::report::{Report, report};
use crate::script::{Step, script};
use crate::shell::{Peer, Shell};
use flaxstand_audit::{AttemptLedger, Record, audit, read_folder};
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

struct Stage<'a> {
    plan: &'a Plan,
    list: Process,
    list_address: String,
    nodes: Vec<NodeSlot>,
    initiators: Vec<Option<Process>>,
    /// Initiators that were killed or asked to stop and not started again yet.
    leaving: BTreeSet<usize>,
    record: File,
    links: Option<Links>,
    /// Start times of the pauses of initiators.
    paused: BTreeMap<usize, f64>,
    next_node: u64,
}

impl Stage<'_> {
    fn note(&mut self, record: &Record) -> Result<(), RehearsalError> {
        let mut line = Vec::new();
        record.write(&mut line);
        self.record.write_all(&line).map_err(io_error("cannot write rehearsal.jsonl"))
    }

    /// Records an event that the check of the agreement needs beside the logs.
    fn agreement_note(&mut self, line: &str) -> Result<(), RehearsalError> {
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
        self.nodes[slot].address = process.expect("ready", SOON)?;
        self.nodes[slot].process = Some(process);
        Ok(())
    }

    fn list_node(&mut self, slot: usize, state: &str, age: &str) {
        let zone = slot as u32 % self.plan.day.fleet.zones;
        let n = &self.nodes[slot];
        self.list.tell(&node_line(n.node, n.incarnation, state, slot, zone, age, &n.address));
    }

    fn start_initiator(&mut self, index: usize) -> Result<(), RehearsalError> {
        let folder = self.plan.folder.display();
        let mut settings = settings_of(self.plan, index, &self.list_address);
        if let (Some(links), Some(accord)) = (&self.links, &self.plan.day.accord) {
            let own = self.plan.folder.join(format!("initiator-{index}"));
            settings += &links.settings(index, accord, |i| format!("initiator-{i}"), &own);
        }
        let file = format!("{folder}/initiator-{index}.kdl");
        std::fs::write(&file, settings).map_err(io_error(format!("cannot write {file}")))?;
        let name = format!("initiator-{index}");
        let arguments = ["run", "--config", &file, "--with-parent"].map(str::to_owned);
        let mut process = Process::start(&self.plan.program, &self.plan.folder, &name, &arguments)?;
        process.expect("ready", SOON)?;
        self.initiators[index] = Some(process);
        Ok(())
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md, \"Readable code\"")]
    fn take(&mut self, step: Step) -> Result<(), RehearsalError> {
        match step {
            Step::Tell(slot, lines) => {
                if let Some(process) = &mut self.nodes[slot].process {
                    process.tell(&lines);
                }
            }
            Step::TellList(lines) => self.list.tell(&lines),
            // Faults may overlap: a process that is already down, or up again, is left as it is.
            Step::Kill(slot) if self.nodes[slot].process.is_none() => {}
            Step::Return(slot) if self.nodes[slot].process.is_some() => {}
            Step::KillInitiator(index, _) if self.leaving.contains(&index) => {}
            Step::ReturnInitiator(index) if !self.leaving.contains(&index) => {}
            Step::Kill(slot) => {
                self.nodes[slot].process = None;
                self.note(&Record::NodeDown { at: clock().0, node: self.nodes[slot].node })?;
            }
            Step::Return(slot) => {
                self.nodes[slot].incarnation += 1;
                let address = self.nodes[slot].address.clone();
                self.start_node(slot, true, &address)?;
                self.list_node(slot, "serving", "0");
            }
            Step::Drain(slot) => self.list_node(slot, "draining", "-"),
            Step::Succeed(slot) => {
                self.list_node(slot, "gone", "-");
                self.take(Step::Kill(slot))?;
                self.nodes[slot].node = self.next_node;
                self.nodes[slot].incarnation = 1;
                self.next_node += 1;
                self.start_node(slot, true, "127.0.0.1:0")?;
                self.list_node(slot, "serving", "0");
            }
            Step::Cut(index, on) => {
                if let Some(links) = &self.links {
                    links.around(index, if on { Flow::Stall } else { Flow::Pass });
                }
            }
            Step::Pause(index, true) => {
                if let Some(process) = &self.initiators[index] {
                    process.signal(Signal::STOP);
                    self.paused.insert(index, calendar());
                }
            }
            Step::Pause(index, false) => {
                if let (Some(since), Some(process)) = (self.paused.remove(&index), &self.initiators[index]) {
                    let until = calendar();
                    process.signal(Signal::CONT);
                    self.agreement_note(&format!("pause {index} {since} {until}"))?;
                }
            }
            Step::Propose(sets) => {
                if let Some(links) = &self.links {
                    let rules = changed(&rules_of(&self.plan.day.site, self.plan.day.floor.clone()), &sets);
                    let number = links.propose(&rules, &format!("{sets:?}"), SOON);
                    info!(?number, ?sets, "proposed a change of the rules");
                }
            }
            Step::KillInitiator(index, outright) => {
                self.leaving.insert(index);
                self.note(&Record::Killed { at: clock().0, initiator: index as u32 })?;
                if outright {
                    self.initiators[index] = None;
                    // Recorded after the process has ended: until then it may act.
                    self.agreement_note(&format!("gone {index} {}", calendar()))?;
                } else if let Some(process) = &self.initiators[index] {
                    ask_to_stop(process)?;
                }
            }
            Step::ReturnInitiator(index) => {
                self.leaving.remove(&index);
                if let Some(process) = self.initiators[index].take() {
                    stopped(process)?;
                }
                self.start_initiator(index)?;
            }
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
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md, \"Readable code\"")]
pub fn rehearse(plan: &Plan) -> Result<(Report, AttemptLedger), RehearsalError> {
    std::fs::create_dir_all(&plan.folder)
        .map_err(io_error(format!("cannot create folder {}", plan.folder.display())))?;
    let record = plan.folder.join("rehearsal.jsonl");
    let record =
        File::create_new(&record).map_err(io_error(format!("cannot create {}", record.display())))?;
    let folder = plan.folder.display();
    let list_arguments =
        ["stand-in", "list", "--listen=127.0.0.1:0", &format!("--record={folder}/list.jsonl")];
    let mut list = Process::start(&plan.program, &plan.folder, "list", &list_arguments.map(str::to_owned))?;
    let list_address = list.expect("ready", SOON)?;
    let count = plan.day.fleet.nodes as usize;
    let initiators = plan.day.site.site.settings.initiators as usize;
    let slot = |node| NodeSlot { process: None, node, incarnation: 1, address: String::new() };
    let mut stage = Stage {
        plan,
        list,
        list_address,
        nodes: (0..count as u64).map(slot).collect(),
        initiators: (0..initiators).map(|_| None).collect(),
        leaving: BTreeSet::new(),
        record,
        links: plan
            .day
            .accord
            .map(|_| Links::new(initiators))
            .transpose()
            .map_err(io_error("cannot start the relays"))?,
        paused: BTreeMap::new(),
        next_node: count as u64,
    };
    for slot in 0..count {
        stage.start_node(slot, false, "127.0.0.1:0")?;
        stage.list_node(slot, "serving", "-");
    }
    stage.list.tell(&format!("late {}", plan.day.fleet.list_late.ms()));
    for index in 0..initiators {
        stage.start_initiator(index)?;
    }
    if let Some(links) = &stage.links {
        // The day's rules are committed as the first version; the traffic starts once all initiators act on
        // it.
        let rules = rules_of(&plan.day.site, plan.day.floor.clone());
        let first = links.propose(&rules, "the day's file", SOON).and_then(|_| links.alike());
        if first.is_none() {
            return Err(RehearsalError::Process(
                "the initiators did not all act on the first version in time".into(),
            ));
        }
    }
    let mut load_arguments = vec!["stand-in".into(), "load".into(), plan.file.display().to_string()];
    load_arguments.push(format!("--seconds={}", plan.seconds));
    load_arguments.push(format!("--record={folder}/clients.jsonl"));
    load_arguments.extend((0..initiators).map(|i| format!("--initiator=unix:{folder}/initiator-{i}.sock")));
    let mut load = Process::start(&plan.program, &plan.folder, "clients", &load_arguments)?;
    load.expect("ready", SOON)?;
    // Time for the initiators to receive the list and for the clients' handshakes.
    std::thread::sleep(Duration::from_millis(300));
    load.tell("start");
    let start = clock();
    for (at, step) in script(&plan.day, plan.seconds) {
        let due = start.after(Micros::from_ms(at * 1000.0));
        std::thread::sleep(Duration::from_micros(due.since(clock()).0));
        stage.take(step)?;
    }
    let longest = plan.day.site.site.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let end = start.after(Micros::from_ms(plan.seconds * 1000.0 + longest + 10_000.0));
    load.expect("done", Duration::from_micros(end.since(clock()).0) + SOON)?;
    if let Some(links) = &stage.links {
        links.heal();
        let version = links.alike().map_or("none".to_owned(), |v| v.to_string());
        stage.agreement_note(&format!("alike {version}"))?;
        let now = calendar();
        for index in 0..stage.initiators.len() {
            stage.agreement_note(&format!("gone {index} {now}"))?;
        }
    }
    for process in std::mem::take(&mut stage.initiators).into_iter().flatten() {
        stop(process)?;
    }
    drop((stage, load));
    info!(folder = %plan.folder.display(), "traffic has ended; auditing the records");
    audited(&plan.day, &plan.folder)
}

/// Builds the report from the records that a rehearsal of the day left in a folder.
///
/// # Errors
/// The records or logs can't be read.
pub fn audited(day: &Day, folder: &Path) -> Result<(Report, AttemptLedger), RehearsalError> {
    let ledger = AttemptLedger::new(read_folder(folder)?);
    let verdict = audit(&ledger, &day.audit_rules());
    let mut report = report(day, &ledger, verdict);
    if let Some(accord) = &day.accord {
        let count = day.site.site.settings.initiators as usize;
        report.agreement = Some(Agreed::read(folder, count, accord)?);
    }
    Ok((report, ledger))
}

/// Options of an emulated process.
#[derive(Clone, Debug, Default)]
pub struct StandIn {
    /// Addresses to listen at.
    pub listen: Vec<Address>,
    /// File to which records are appended.
    pub record: Option<PathBuf>,
    /// File to which stored data is appended.
    pub data: Option<PathBuf>,
    /// Whether it runs without a rehearsal: no `ready` line is printed at its start.
    pub alone: bool,
}

fn append(path: &Option<PathBuf>) -> io::Result<Option<File>> {
    path.as_ref().map(|p| OpenOptions::new().create(true).append(true).open(p)).transpose()
}

pub(crate) fn serve<P: Peer>(peer: P, what: &StandIn) -> io::Result<()> {
    let options = Options {
        record: append(&what.record)?,
        data: append(&what.data)?,
        read_input: true,
        ..Options::default()
    };
    let mut driver = Driver::new(Shell::new(peer), options)?;
    let at: Vec<Address> = what.listen.iter().map(|a| driver.listen(a)).collect::<io::Result<_>>()?;
    let at: Vec<String> = at.iter().map(Address::to_string).collect();
    if !what.alone {
        println!("ready {}", at.join(" "));
        io::stdout().flush()?;
    }
    driver.run().map(drop)
}

/// Runs the emulated list service until its standard input ends.
///
/// # Errors
/// The service can't listen, or the driver fails.
pub fn serve_list(what: &StandIn) -> io::Result<()> {
    serve(ListService::new(Micros(0)), what)
}

/// Creates a node of a day.
pub(crate) fn emulated(day: &Day, id: Identity, cold: bool, stored: &[u8], now: Micros) -> Node {
    // The speed is drawn per machine: another machine on the same shard gets another speed.
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ (id.node + 1).rotate_left(40));
    let spec = Spec { speed: between(&mut rng, day.fleet.speed), ..day.fleet.spec };
    Node::new(id, day.fleet.habits, day.seed, Model::new(spec, cold, now), stored)
}

/// Runs an emulated node of a day until its standard input ends.
///
/// # Errors
/// The node can't listen or read its data, or the driver fails.
pub fn serve_node(day: &Day, id: Identity, cold: bool, what: &StandIn) -> io::Result<()> {
    let stored = match &what.data {
        Some(path) if path.exists() => std::fs::read(path)?,
        _ => Vec::new(),
    };
    let now = clock();
    let node = emulated(day, id, cold, &stored, now);
    let mut up = Vec::new();
    node.up(cold, now).write(&mut up);
    if let Some(mut file) = append(&what.record)? {
        file.write_all(&up)?;
    }
    serve(node, what)
}

/// Runs the clients of a day until all their operations are done.
///
/// # Errors
/// The driver fails.
pub fn serve_load(day: Day, seconds: f64, initiators: Vec<Address>, what: &StandIn) -> io::Result<()> {
    serve(Load::new(day, seconds, initiators), what)
}

/// Returns a path for a rehearsal's records that no other process uses.
pub fn fresh_folder() -> PathBuf {
    std::env::temp_dir().join(format!("flaxstand-{}-{}", std::process::id(), clock().0))
}

/// Removes the folder of a rehearsal.
pub fn clean(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
