//! Hollow initiators: many instances of the real [`Core`] in one process on one poll loop. Each has its own
//! connection to the list service, lease, settings and saved state. None listens for clients, and none is a
//! keeper.
//!
//! The driver sees all of them as one machine. The connection number that the driver uses combines the index
//! of the initiator, its generation (the number of its restarts) and the initiator's own number of the
//! connection.
//!
//! | line of standard input | meaning |
//! | --- | --- |
//! | `state` | prints `state` and a [`HollowState`] |
//! | `start` | resets the counts and starts counting |
//! | `stop` | stops counting messages and bytes; changes that take effect are still recorded |
//! | `restart SHARE` | stops this share of the initiators without a shutdown and restarts them, one by one |
//! | `report` | prints `report` and a [`HollowReport`] |

use super::node_list::FIRST_REVISION;
use super::traffic::{FrameCounter, Traffic};
use crate::rehearse::StandInOptions;
use flaxstand_consensus::member::ActiveRules;
use flaxstand_consensus::replicated_state::IndexedState;
use flaxstand_gateway::core::{Config, Core};
use flaxstand_gateway::driver::{Driver, Options};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Write as _};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::warn;

/// Interval between the starts of two initiators of a process. Many starts in one turn of the poll loop would
/// delay the other initiators beyond the time-outs of their calls, which does not happen between real
/// processes.
const START_INTERVAL: Micros = Micros(500);
/// Low bits of the driver's connection number, which hold the initiator's own number of the connection.
const LOCAL_BITS: u32 = 32;
/// Bits above these, which hold the generation of the initiator.
const GENERATION_BITS: u32 = 8;
/// Listener number that no process uses. Hollow initiators do not listen.
const NO_LISTENER: usize = usize::MAX;

/// Options of a process of hollow initiators.
#[derive(Clone, Debug)]
pub struct HollowOptions {
    /// Settings of the first initiator. The others differ in name, number, seed and saved state.
    pub config: Config,
    /// Number of the first initiator among the initiators of the site.
    pub first: u32,
    /// Number of initiators in the process.
    pub count: u32,
}

/// Progress of the initiators of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HollowState {
    /// Number of initiators started.
    pub started: u32,
    /// Number of initiators that received the complete list from the service.
    pub listed: u32,
    /// Number of initiators that hold a lease and so apply agreed rules.
    pub leased: u32,
}

/// The time from which an initiator applies a revision of the list or a version of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activation {
    /// Number of the initiator.
    pub initiator: u32,
    /// Revision or version.
    pub number: u64,
    /// Microseconds of the host's monotonic clock.
    pub at: u64,
}

/// A restart of one initiator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// Microseconds of the host's monotonic clock.
    pub at: u64,
    /// Time at which the initiator had the list from the service and, with an agreement, a lease.
    pub ready: Option<u64>,
}

/// Counts and events since `start`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Progress at the time of the report.
    pub state: HollowState,
    /// Traffic with the list service.
    pub list: Traffic,
    /// Traffic with other initiators.
    pub agreement: Traffic,
    /// Traffic with nodes.
    pub nodes: Traffic,
    /// Revisions of the list that took effect.
    pub revisions: Vec<Activation>,
    /// Versions of the rules, with the time from which the initiator applies only this version, after the
    /// transition.
    pub versions: Vec<Activation>,
    /// Number of times that an initiator switched to the fallback rules because it had no lease.
    #[serde(rename = "floors")]
    pub fallbacks: u64,
    /// Restarts of initiators.
    pub restarts: Vec<Restart>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerKind {
    List,
    Initiator,
    Node,
}

struct Connection {
    kind: PeerKind,
    inbound: FrameCounter,
    outbound: FrameCounter,
}

struct HollowInitiator {
    core: Core,
    /// Number of restarts, modulo `1 << GENERATION_BITS`.
    generation: u64,
    /// Open connections by the initiator's own numbers.
    connections: BTreeMap<u64, Connection>,
    /// Next wake-up, if any.
    wake_at: Option<Micros>,
    revision: Option<u64>,
    active_rules: Option<ActiveRules>,
    /// Index of its last restart in the report. `None` once the initiator is ready again.
    restart: Option<usize>,
    saved: SavedState,
}

/// The state that an initiator saves to its disk, held in memory. On disk, all hollow initiators would wait
/// for the one disk of this machine. The cost of saving is measured at the real initiators.
#[derive(Clone, Default)]
struct SavedState {
    list: Option<Vec<u8>>,
    replicated_state: Option<Vec<u8>>,
}

/// The hollow initiators of a process, as one machine of the driver.
struct Fleet {
    options: HollowOptions,
    members: Vec<HollowInitiator>,
    /// Initiators with events in this turn, to be settled at its end.
    unsettled: BTreeSet<usize>,
    /// Wake-up times of the initiators.
    wake_ups: BTreeSet<(Micros, usize)>,
    next_start: Micros,
    /// Initiators waiting for a restart.
    restarting: VecDeque<usize>,
    commands: Vec<Command>,
    counting: bool,
    report: HollowReport,
}

/// Returns the driver's number of a connection.
fn driver_conn(member: usize, generation: u64, local: u64) -> ConnId {
    ConnId((member as u64) << (LOCAL_BITS + GENERATION_BITS) | generation << LOCAL_BITS | local)
}

/// Splits the driver's number of a connection into the index of the initiator, its generation and its own
/// number of the connection.
fn split_driver_conn(conn: ConnId) -> (usize, u64, ConnId) {
    let member = (conn.0 >> (LOCAL_BITS + GENERATION_BITS)) as usize;
    let generation = (conn.0 >> LOCAL_BITS) & ((1 << GENERATION_BITS) - 1);
    (member, generation, ConnId(conn.0 & ((1 << LOCAL_BITS) - 1)))
}

fn calendar_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

impl Fleet {
    fn new(options: HollowOptions) -> Self {
        Fleet {
            options,
            members: Vec::new(),
            unsettled: BTreeSet::new(),
            wake_ups: BTreeSet::new(),
            next_start: Micros(0),
            restarting: VecDeque::new(),
            commands: Vec::new(),
            counting: false,
            report: HollowReport::default(),
        }
    }

    /// Starts a core in the way `flaxstand run` does, with the state that was saved before a restart.
    fn start_core(&self, member: usize, saved: &SavedState, now: Micros) -> Core {
        let mut config = self.options.config.clone();
        let number = self.options.first + member as u32;
        config.name = format!("hollow-{number}");
        config.index = number;
        config.seed ^= u64::from(number) << 20;
        config.epoch = calendar_micros();
        config.calendar = config.epoch - now.0;
        if let Some(consensus) = &mut config.consensus {
            // Nothing connects to a hollow initiator, and among the initiators it connects only to keepers.
            // The entries of other initiators are therefore never used for a connection, and take the
            // initiator's own name.
            consensus.other_initiators.iter_mut().for_each(|peer| peer.name.clone_from(&config.name));
        }
        let core = Core::new(config.clone(), saved.list.as_deref(), now);
        let mut core =
            core.or_else(|_| Core::new(config, None, now)).expect("a core without a saved list starts");
        let replicated_state =
            saved.replicated_state.as_ref().and_then(|bytes| IndexedState::read(bytes).ok());
        core.start_agreement(NO_LISTENER, None, replicated_state, now);
        core
    }

    /// Starts or restarts the next initiator if its time has come.
    fn start_next(&mut self, now: Micros) {
        if self.next_start > now {
            return;
        }
        if let Some(member) = self.restarting.pop_front() {
            self.restart(member, now);
        } else if !self.all_started() {
            self.start(now);
        } else {
            return;
        }
        self.next_start = now.after(START_INTERVAL);
    }

    fn all_started(&self) -> bool {
        self.members.len() == self.options.count as usize
    }

    fn start(&mut self, now: Micros) {
        let member = self.members.len();
        let saved = SavedState::default();
        let core = self.start_core(member, &saved, now);
        self.members.push(HollowInitiator {
            core,
            generation: 0,
            connections: BTreeMap::new(),
            wake_at: None,
            revision: None,
            active_rules: None,
            restart: None,
            saved,
        });
        self.unsettled.insert(member);
    }

    fn restart(&mut self, member: usize, now: Micros) {
        let core = self.start_core(member, &self.members[member].saved, now);
        let hollow = &mut self.members[member];
        for local in std::mem::take(&mut hollow.connections).into_keys() {
            let conn = driver_conn(member, hollow.generation, local);
            self.commands.push(Command::Close { conn, last: Vec::new() });
        }
        hollow.generation = (hollow.generation + 1) & ((1 << GENERATION_BITS) - 1);
        hollow.core = core;
        hollow.revision = None;
        hollow.active_rules = None;
        hollow.restart = Some(self.report.restarts.len());
        self.report.restarts.push(Restart { at: now.0, ready: None });
        self.unsettled.insert(member);
    }

    fn restart_share(&mut self, share: f64) {
        let all = self.members.len();
        let count = (all as f64 * share).round() as usize;
        // Even spacing over all initiators gives each process and each keeper an equal share of the restarts.
        self.restarting.extend((0..count).map(|nth| nth * all / count));
    }

    /// Returns the index of the initiator that a connection belongs to, and the initiator's own number of the
    /// connection. Marks the initiator as unsettled. Returns `None` if it was restarted after the connection
    /// was opened.
    fn member(&mut self, conn: ConnId) -> Option<(usize, ConnId)> {
        let (member, generation, local) = split_driver_conn(conn);
        self.members.get(member).filter(|hollow| hollow.generation == generation)?;
        self.unsettled.insert(member);
        Some((member, local))
    }

    /// As [`Self::member`], without marking the initiator.
    fn lookup(&self, conn: ConnId) -> Option<(&HollowInitiator, ConnId)> {
        let (member, generation, local) = split_driver_conn(conn);
        let hollow = self.members.get(member).filter(|hollow| hollow.generation == generation)?;
        Some((hollow, local))
    }

    fn count(&mut self, kind: PeerKind, traffic: &Traffic) {
        let sum = match kind {
            PeerKind::List => &mut self.report.list,
            PeerKind::Initiator => &mut self.report.agreement,
            PeerKind::Node => &mut self.report.nodes,
        };
        if self.counting {
            sum.add(traffic);
        }
    }

    fn settle_member(&mut self, member: usize, now: Micros) {
        let hollow = &mut self.members[member];
        let next = hollow.core.settle(now);
        let commands = hollow.core.take_commands();
        if let Some(previous) = std::mem::replace(&mut hollow.wake_at, next) {
            self.wake_ups.remove(&(previous, member));
        }
        self.wake_ups.extend(next.map(|at| (at, member)));
        for command in commands {
            self.forward_command(member, command);
        }
        self.record_changes(member, now);
    }

    /// Records the list revision and the rules that an initiator applies now, if they have changed, and the
    /// end of its restart.
    fn record_changes(&mut self, member: usize, now: Micros) {
        let initiator = self.options.first + member as u32;
        let hollow = &mut self.members[member];
        let revision = hollow.core.list_revision();
        if revision != hollow.revision {
            hollow.revision = revision;
            self.report.revisions.extend(revision.map(|number| Activation { initiator, number, at: now.0 }));
        }
        let active_rules = hollow.core.agreement().map(|agreement| agreement.active_rules(now));
        if active_rules != hollow.active_rules {
            if active_rules == Some(ActiveRules::Fallback) && hollow.active_rules.is_some() {
                self.report.fallbacks += 1;
            }
            hollow.active_rules = active_rules;
            if let Some(ActiveRules::Version(number)) = active_rules {
                self.report.versions.push(Activation { initiator, number, at: now.0 });
            }
        }
        if hollow.is_ready()
            && let Some(restart) = hollow.restart.take()
            && let Some(restarted) = self.report.restarts.get_mut(restart)
        {
            restarted.ready = Some(now.0);
        }
    }

    /// Forwards a command of an initiator to the driver under the driver's connection number. Commands that
    /// save state store it in memory.
    fn forward_command(&mut self, member: usize, command: Command) {
        let generation = self.members[member].generation;
        let number = |conn: ConnId| driver_conn(member, generation, conn.0);
        match command {
            Command::Connect { conn, address } => {
                let kind = self.kind(&address);
                let connection =
                    Connection { kind, inbound: FrameCounter::default(), outbound: FrameCounter::default() };
                self.members[member].connections.insert(conn.0, connection);
                self.commands.push(Command::Connect { conn: number(conn), address });
            }
            Command::Flush(conn) => self.commands.push(Command::Flush(number(conn))),
            Command::ShutdownWrite(conn) => self.commands.push(Command::ShutdownWrite(number(conn))),
            Command::Close { conn, last } => {
                self.members[member].connections.remove(&conn.0);
                self.commands.push(Command::Close { conn: number(conn), last });
            }
            Command::SaveList(bytes) => self.members[member].saved.list = Some(bytes),
            Command::AppendList(bytes) => {
                self.members[member].saved.list.get_or_insert_default().extend(bytes);
            }
            Command::SaveReplicatedState(bytes) => self.members[member].saved.replicated_state = Some(bytes),
            // Does not apply to hollow initiators: they are not keepers, buffer no writes, have no clients,
            // and end with the process.
            Command::AppendOutput(..)
            | Command::StoreWriteBack(_)
            | Command::StoreConsensus(_)
            | Command::StopListening
            | Command::Print(_)
            | Command::Exit => {}
        }
    }

    fn kind(&self, address: &Address) -> PeerKind {
        let config = &self.options.config;
        if *address == config.discovery_address {
            return PeerKind::List;
        }
        let keepers = config.consensus.iter().flat_map(|consensus| &consensus.voters);
        let mut keepers = keepers.map(|peer| &peer.address);
        if keepers.any(|at| at == address) { PeerKind::Initiator } else { PeerKind::Node }
    }

    fn state(&self) -> HollowState {
        let count = |test: fn(&HollowInitiator) -> bool| {
            self.members.iter().filter(|hollow| test(hollow)).count() as u32
        };
        HollowState {
            started: self.members.len() as u32,
            listed: count(HollowInitiator::has_list),
            leased: count(HollowInitiator::has_lease),
        }
    }

    /// Runs a command from standard input.
    fn run_line(&mut self, line: &str) {
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["state"] => self.print("state", &self.state()),
            ["start"] => {
                self.report = HollowReport::default();
                self.counting = true;
            }
            ["stop"] => self.counting = false,
            ["restart", share] => self.restart_share(share.parse().unwrap_or(0.0)),
            ["report"] => {
                self.report.state = self.state();
                self.print("report", &self.report.clone());
            }
            _ => warn!(line, "ignoring an unknown command on standard input"),
        }
    }

    /// Prints a keyword and a value as JSON.
    fn print(&mut self, keyword: &str, value: &impl Serialize) {
        let json = serde_json::to_string(value).expect("a report of numbers serializes as JSON");
        self.commands.push(Command::Print(format!("{keyword} {json}")));
    }
}

impl HollowInitiator {
    fn has_lease(&self) -> bool {
        matches!(self.active_rules, Some(ActiveRules::Version(_) | ActiveRules::Transition(..)))
    }

    fn has_list(&self) -> bool {
        self.revision.is_some_and(|revision| revision >= FIRST_REVISION)
    }

    fn is_ready(&self) -> bool {
        self.has_list() && (self.active_rules.is_none() || self.has_lease())
    }
}

impl Machine for Fleet {
    fn accepted(&mut self, _listener: usize, _now: Micros) -> Result<ConnId, Vec<u8>> {
        Err(Vec::new())
    }

    fn connected(&mut self, conn: ConnId, now: Micros) {
        if let Some((member, local)) = self.member(conn) {
            self.members[member].core.connected(local, now);
        }
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        if let Some((member, local)) = self.member(conn) {
            self.members[member].connections.remove(&local.0);
            self.members[member].core.connect_failed(local, cause, now);
        }
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some((member, local)) = self.member(conn) else { return };
        let hollow = &mut self.members[member];
        let counted = hollow.connections.get_mut(&local.0).map(|open| (open.kind, open.inbound.count(bytes)));
        hollow.core.received(local, bytes, now);
        if let Some((kind, messages_in)) = counted {
            let bytes_in = bytes.len() as u64;
            self.count(kind, &Traffic { messages_in, bytes_in, ..Traffic::default() });
        }
    }

    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool {
        match self.member(conn) {
            Some((member, local)) => self.members[member].core.peer_finished(local, now),
            None => false,
        }
    }

    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        if let Some((member, local)) = self.member(conn) {
            self.members[member].connections.remove(&local.0);
            self.members[member].core.closed(local, cause, now);
        }
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.lookup(conn).map_or(&[], |(hollow, local)| hollow.core.outgoing(local))
    }

    fn written(&mut self, conn: ConnId, count: usize, now: Micros) {
        let Some((member, local)) = self.member(conn) else { return };
        let hollow = &mut self.members[member];
        let written = &hollow.core.outgoing(local)[..count];
        let counted =
            hollow.connections.get_mut(&local.0).map(|open| (open.kind, open.outbound.count(written)));
        hollow.core.written(local, count, now);
        if let Some((kind, messages_out)) = counted {
            let bytes_out = count as u64;
            self.count(kind, &Traffic { messages_out, bytes_out, ..Traffic::default() });
        }
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        self.lookup(conn).is_some_and(|(hollow, local)| hollow.core.wants_read(local))
    }

    fn wants_peer_end(&self, conn: ConnId) -> bool {
        self.lookup(conn).is_some_and(|(hollow, local)| hollow.core.wants_peer_end(local))
    }

    fn is_idle(&self, conn: ConnId) -> bool {
        self.lookup(conn).is_some_and(|(hollow, local)| hollow.core.is_idle(local))
    }

    fn control(&mut self, control: Control, _now: Micros) {
        match control {
            Control::Stop | Control::InputEnded => self.commands.push(Command::Exit),
            Control::Line(line) => self.run_line(&line),
            Control::Reload(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.start_next(now);
        while let Some((_, member)) = self.wake_ups.first().copied().filter(|(at, _)| *at <= now) {
            self.wake_ups.pop_first();
            self.members[member].wake_at = None;
            self.unsettled.insert(member);
        }
        for member in std::mem::take(&mut self.unsettled) {
            self.settle_member(member, now);
        }
        let start = (!self.all_started() || !self.restarting.is_empty()).then_some(self.next_start);
        let wake_up = self.wake_ups.first().map(|(at, _)| *at);
        [start, wake_up].into_iter().flatten().min()
    }

    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

/// Runs hollow initiators until standard input ends.
///
/// # Errors
/// The driver fails.
pub fn serve_hollow(options: HollowOptions, what: &StandInOptions) -> io::Result<()> {
    let driver = Driver::new(Fleet::new(options), Options { read_input: true, ..Options::default() })?;
    if !what.standalone {
        println!("ready");
        io::stdout().flush()?;
    }
    driver.run().map(drop)
}
