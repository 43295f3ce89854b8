//! Hollow initiators: many of the real [`Core`] in one process on one poll loop, each with its own watch of the list,
//! lease, settings and saved state. None listens for clients, and none is a keeper.
//!
//! To the driver they are one machine. The number of a connection holds the initiator's place, which life of it the
//! connection belongs to, and the number that the initiator itself gave it.
//!
//! | line of standard input | meaning |
//! | --- | --- |
//! | `state` | prints `state` and a [`HollowState`] |
//! | `start` | counts begin from 0 |
//! | `stop` | messages and bytes are no longer counted; what comes in force still is |
//! | `restart SHARE` | that share of all is ended outright and started again, each at once, one after the other |
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

/// Time between the starts of two initiators of a process: many in one turn would keep the others of it waiting for
/// longer than a call may last, which real processes would not.
const START_GAP: Micros = Micros(500);
/// Bits of a connection's number that are the initiator's own number of it, and above them those of the life.
const INNER_BITS: u32 = 32;
const LIFE_BITS: u32 = 8;
/// No listener of a process has this number: hollow initiators listen nowhere.
const NO_LISTENER: usize = usize::MAX;

/// What a process of hollow initiators is told.
#[derive(Clone, Debug)]
pub struct HollowOptions {
    /// Settings of the first; the others differ in name, number, seed and saved state.
    pub config: Config,
    /// Number of the first among the site's initiators.
    pub first: u32,
    /// How many.
    pub count: u32,
}

/// How far they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HollowState {
    /// Initiators that have been started.
    pub started: u32,
    /// Those that were told the whole list by the service.
    pub listed: u32,
    /// Those that act on rules with a lease.
    pub leased: u32,
}

/// Something that one initiator acts on from a moment on: a revision of the list, or a version of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The initiator's number.
    pub initiator: u32,
    /// The revision or version.
    pub number: u64,
    /// Microseconds of the host's clock.
    pub at: u64,
}

/// A restart of one initiator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restarted {
    /// Microseconds of the host's clock.
    pub at: u64,
    /// When it had the list from the service, and a lease where there is an agreement.
    pub ready: Option<u64>,
}

/// What was counted since `start`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HollowReport {
    /// How far they are.
    pub state: HollowState,
    /// Connections to the list service.
    pub list: Traffic,
    /// Connections to other initiators.
    pub agreement: Traffic,
    /// Connections to nodes.
    pub nodes: Traffic,
    /// Revisions of the list.
    pub revisions: Vec<Arrival>,
    /// Versions of the rules, from when each is acted on alone.
    pub versions: Vec<Arrival>,
    /// How many times an initiator fell back to the floor for want of a lease.
    pub floors: u64,
    /// Restarts.
    pub restarts: Vec<Restarted>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerKind {
    List,
    Initiator,
    Node,
}

struct Link {
    kind: PeerKind,
    inbound: FrameCounter,
    outbound: FrameCounter,
}

struct Hollow {
    core: Core,
    life: u64,
    links: BTreeMap<u64, Link>,
    due: Option<Micros>,
    revision: Option<u64>,
    active_rules: Option<ActiveRules>,
    /// Its restart among those of the report, until it is ready.
    restart: Option<usize>,
    saved: SavedState,
}

/// What an initiator would keep on its disk. All hollow ones would share the disk of one machine here, and wait for
/// it; what saving costs is seen at the real ones.
#[derive(Clone, Default)]
struct SavedState {
    list: Option<Vec<u8>>,
    book: Option<Vec<u8>>,
}

/// All hollow initiators of a process.
struct Fleet {
    options: HollowOptions,
    members: Vec<Hollow>,
    /// Those that something happened to in this turn.
    touched: BTreeSet<usize>,
    /// When others want to be woken.
    due: BTreeSet<(Micros, usize)>,
    next_start: Micros,
    /// Those that are to be restarted.
    restarting: VecDeque<usize>,
    commands: Vec<Command>,
    counting: bool,
    report: HollowReport,
}

/// The number that the driver knows a connection by.
fn outer(member: usize, life: u64, inner: u64) -> ConnId {
    ConnId((member as u64) << (INNER_BITS + LIFE_BITS) | life << INNER_BITS | inner)
}

/// Initiator, life, and the initiator's own number of a connection.
fn parts(conn: ConnId) -> (usize, u64, ConnId) {
    let member = (conn.0 >> (INNER_BITS + LIFE_BITS)) as usize;
    let life = (conn.0 >> INNER_BITS) & ((1 << LIFE_BITS) - 1);
    (member, life, ConnId(conn.0 & ((1 << INNER_BITS) - 1)))
}

fn calendar_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

impl Fleet {
    fn new(options: HollowOptions) -> Self {
        Fleet {
            options,
            members: Vec::new(),
            touched: BTreeSet::new(),
            due: BTreeSet::new(),
            next_start: Micros(0),
            restarting: VecDeque::new(),
            commands: Vec::new(),
            counting: false,
            report: HollowReport::default(),
        }
    }

    /// A core as `flaxstand run` would start it, with what was saved in an earlier life.
    fn start_core(&self, member: usize, saved: &SavedState, now: Micros) -> Core {
        let mut config = self.options.config.clone();
        let number = self.options.first + member as u32;
        config.name = format!("hollow-{number}");
        config.index = number;
        config.seed ^= u64::from(number) << 20;
        config.epoch = calendar_micros();
        config.calendar = config.epoch - now.0;
        if let Some(agreeing) = &mut config.consensus {
            // Nobody calls a hollow one, and it calls keepers alone.
            agreeing.other_initiators.iter_mut().for_each(|peer| peer.name.clone_from(&config.name));
        }
        let core = Core::new(config.clone(), saved.list.as_deref(), now);
        let mut core =
            core.or_else(|_| Core::new(config, None, now)).expect("without a saved list nothing can fail");
        let book = saved.book.as_ref().and_then(|bytes| IndexedState::read(bytes).ok());
        core.start_agreement(NO_LISTENER, None, book, now);
        core
    }

    /// Starts the next, if it is time.
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
        self.next_start = now.after(START_GAP);
    }

    fn all_started(&self) -> bool {
        self.members.len() == self.options.count as usize
    }

    fn start(&mut self, now: Micros) {
        let member = self.members.len();
        let saved = SavedState::default();
        let core = self.start_core(member, &saved, now);
        self.members.push(Hollow {
            core,
            life: 0,
            links: BTreeMap::new(),
            due: None,
            revision: None,
            active_rules: None,
            restart: None,
            saved,
        });
        self.touched.insert(member);
    }

    fn restart(&mut self, member: usize, now: Micros) {
        let core = self.start_core(member, &self.members[member].saved, now);
        let hollow = &mut self.members[member];
        for inner in std::mem::take(&mut hollow.links).into_keys() {
            let conn = outer(member, hollow.life, inner);
            self.commands.push(Command::Close { conn, last: Vec::new() });
        }
        hollow.life = (hollow.life + 1) & ((1 << LIFE_BITS) - 1);
        hollow.core = core;
        hollow.revision = None;
        hollow.active_rules = None;
        hollow.restart = Some(self.report.restarts.len());
        self.report.restarts.push(Restarted { at: now.0, ready: None });
        self.touched.insert(member);
    }

    fn restart_share(&mut self, share: f64) {
        let all = self.members.len();
        let count = (all as f64 * share).round() as usize;
        // Spread over all, so that no process and no keeper has more than its part.
        self.restarting.extend((0..count).map(|nth| nth * all / count));
    }

    /// The initiator that a connection belongs to, unless it was restarted since.
    fn member(&mut self, conn: ConnId) -> Option<(usize, ConnId)> {
        let (member, life, inner) = parts(conn);
        self.members.get(member).filter(|hollow| hollow.life == life)?;
        self.touched.insert(member);
        Some((member, inner))
    }

    fn look(&self, conn: ConnId) -> Option<(&Hollow, ConnId)> {
        let (member, life, inner) = parts(conn);
        self.members.get(member).filter(|hollow| hollow.life == life).map(|hollow| (hollow, inner))
    }

    fn count(&mut self, kind: PeerKind, passed: &Traffic) {
        let sum = match kind {
            PeerKind::List => &mut self.report.list,
            PeerKind::Initiator => &mut self.report.agreement,
            PeerKind::Node => &mut self.report.nodes,
        };
        if self.counting {
            sum.add(passed);
        }
    }

    fn settle_member(&mut self, member: usize, now: Micros) {
        let hollow = &mut self.members[member];
        let next = hollow.core.settle(now);
        let commands = hollow.core.take_commands();
        if let Some(due) = std::mem::replace(&mut hollow.due, next) {
            self.due.remove(&(due, member));
        }
        self.due.extend(next.map(|due| (due, member)));
        for command in commands {
            self.take_command(member, command);
        }
        self.observe(member, now);
    }

    /// Notes what an initiator acts on now.
    fn observe(&mut self, member: usize, now: Micros) {
        let initiator = self.options.first + member as u32;
        let hollow = &mut self.members[member];
        let revision = hollow.core.list_revision();
        if revision != hollow.revision {
            hollow.revision = revision;
            self.report.revisions.extend(revision.map(|number| Arrival { initiator, number, at: now.0 }));
        }
        let active_rules = hollow.core.agreement().map(|agreement| agreement.active_rules(now));
        if active_rules != hollow.active_rules {
            if active_rules == Some(ActiveRules::Fallback) && hollow.active_rules.is_some() {
                self.report.floors += 1;
            }
            hollow.active_rules = active_rules;
            if let Some(ActiveRules::Version(number)) = active_rules {
                self.report.versions.push(Arrival { initiator, number, at: now.0 });
            }
        }
        if hollow.is_ready()
            && let Some(restart) = hollow.restart.take()
            && let Some(restarted) = self.report.restarts.get_mut(restart)
        {
            restarted.ready = Some(now.0);
        }
    }

    fn take_command(&mut self, member: usize, command: Command) {
        let life = self.members[member].life;
        let number = |conn: ConnId| outer(member, life, conn.0);
        match command {
            Command::Connect { conn, address } => {
                let kind = self.kind(&address);
                let link = Link { kind, inbound: FrameCounter::default(), outbound: FrameCounter::default() };
                self.members[member].links.insert(conn.0, link);
                self.commands.push(Command::Connect { conn: number(conn), address });
            }
            Command::Flush(conn) => self.commands.push(Command::Flush(number(conn))),
            Command::ShutdownWrite(conn) => self.commands.push(Command::ShutdownWrite(number(conn))),
            Command::Close { conn, last } => {
                self.members[member].links.remove(&conn.0);
                self.commands.push(Command::Close { conn: number(conn), last });
            }
            Command::SaveList(bytes) => self.members[member].saved.list = Some(bytes),
            Command::AppendList(bytes) => {
                self.members[member].saved.list.get_or_insert_default().extend(bytes);
            }
            Command::SaveReplicatedState(bytes) => self.members[member].saved.book = Some(bytes),
            // They are no keepers, buffer nothing, have no clients, and end with the process.
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
        let keepers = config.consensus.iter().flat_map(|agreeing| &agreeing.voters);
        let mut keepers = keepers.map(|peer| &peer.address);
        if keepers.any(|at| at == address) { PeerKind::Initiator } else { PeerKind::Node }
    }

    fn state(&self) -> HollowState {
        let count =
            |test: fn(&Hollow) -> bool| self.members.iter().filter(|hollow| test(hollow)).count() as u32;
        HollowState {
            started: self.members.len() as u32,
            listed: count(Hollow::has_list),
            leased: count(Hollow::has_lease),
        }
    }

    fn line(&mut self, line: &str) {
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
            _ => warn!(line, "an unknown line"),
        }
    }

    fn print(&mut self, word: &str, what: &impl Serialize) {
        let json = serde_json::to_string(what).expect("counts are plain data");
        self.commands.push(Command::Print(format!("{word} {json}")));
    }
}

impl Hollow {
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
        if let Some((member, inner)) = self.member(conn) {
            self.members[member].core.connected(inner, now);
        }
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        if let Some((member, inner)) = self.member(conn) {
            self.members[member].links.remove(&inner.0);
            self.members[member].core.connect_failed(inner, cause, now);
        }
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some((member, inner)) = self.member(conn) else { return };
        let hollow = &mut self.members[member];
        let counted = hollow.links.get_mut(&inner.0).map(|link| (link.kind, link.inbound.count(bytes)));
        hollow.core.received(inner, bytes, now);
        if let Some((kind, messages_in)) = counted {
            let bytes_in = bytes.len() as u64;
            self.count(kind, &Traffic { messages_in, bytes_in, ..Traffic::default() });
        }
    }

    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool {
        match self.member(conn) {
            Some((member, inner)) => self.members[member].core.peer_finished(inner, now),
            None => false,
        }
    }

    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        if let Some((member, inner)) = self.member(conn) {
            self.members[member].links.remove(&inner.0);
            self.members[member].core.closed(inner, cause, now);
        }
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.look(conn).map_or(&[], |(hollow, inner)| hollow.core.outgoing(inner))
    }

    fn written(&mut self, conn: ConnId, count: usize, now: Micros) {
        let Some((member, inner)) = self.member(conn) else { return };
        let hollow = &mut self.members[member];
        let written = &hollow.core.outgoing(inner)[..count];
        let counted = hollow.links.get_mut(&inner.0).map(|link| (link.kind, link.outbound.count(written)));
        hollow.core.written(inner, count, now);
        if let Some((kind, messages_out)) = counted {
            let bytes_out = count as u64;
            self.count(kind, &Traffic { messages_out, bytes_out, ..Traffic::default() });
        }
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        self.look(conn).is_some_and(|(hollow, inner)| hollow.core.wants_read(inner))
    }

    fn wants_peer_end(&self, conn: ConnId) -> bool {
        self.look(conn).is_some_and(|(hollow, inner)| hollow.core.wants_peer_end(inner))
    }

    fn is_idle(&self, conn: ConnId) -> bool {
        self.look(conn).is_some_and(|(hollow, inner)| hollow.core.is_idle(inner))
    }

    fn control(&mut self, control: Control, _now: Micros) {
        match control {
            Control::Stop | Control::InputEnded => self.commands.push(Command::Exit),
            Control::Line(line) => self.line(&line),
            Control::Reload(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        self.start_next(now);
        while let Some((_, member)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.pop_first();
            self.members[member].due = None;
            self.touched.insert(member);
        }
        for member in std::mem::take(&mut self.touched) {
            self.settle_member(member, now);
        }
        let start = (!self.all_started() || !self.restarting.is_empty()).then_some(self.next_start);
        let due = self.due.first().map(|(due, _)| *due);
        [start, due].into_iter().flatten().min()
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
