//! Plays a day in one process on virtual time: the same core, emulated peers and frames as on loopback,
//! connected by a simulated network with delays. One seed determines everything: the same day gives the same
//! record on any machine.
//!
//! Order within one instant: all due events are delivered in the order in which they were scheduled; then
//! each machine that received one settles, in the order of hosts (list service, nodes by slot, initiators
//! by index, clients). Events that they cause arrive at least one microsecond later.
//!
//! Not modelled: kernel socket buffers (a write always succeeds; back-pressure holds data at the receiver),
//! bandwidth, and the processing time of the programs themselves.

use crate::day::Day;
use crate::list::{ListService, node_line};
use crate::load::Load;
use crate::node::{Identity, Node};
use crate::rehearse::{emulated_node, initiator_seed};
use crate::report::{Report, report};
use crate::script::{Step, script};
use crate::shell::Shell;
use crate::{between, random};
use flaxstand_audit::{AttemptLedger, Record, audit};
use flaxstand_gateway::core::{Bounds, Config, Core, Counts, Policy, Wire};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros, Sink};
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Batch, perform};
use flaxstand_write_back::recover;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;

/// Index of a host in the order of hosts.
type HostId = usize;
/// One end of a connection.
type End = (HostId, ConnId);

enum Role {
    List(Box<Shell<ListService>>),
    Node(Box<Shell<Node>>),
    Initiator(Box<Core>),
    Clients(Box<Shell<Load>>),
}

impl Role {
    fn machine(&mut self) -> &mut dyn Machine {
        match self {
            Role::List(m) => &mut **m,
            Role::Node(m) => &mut **m,
            Role::Initiator(m) => &mut **m,
            Role::Clients(m) => &mut **m,
        }
    }

    fn take_records(&mut self) -> Vec<Record> {
        match self {
            Role::List(m) => m.take_records(),
            Role::Node(m) => m.take_records(),
            Role::Clients(m) => m.take_records(),
            Role::Initiator(_) => Vec::new(),
        }
    }
}

struct Host {
    role: Option<Role>,
    /// Grows when the process ends; events scheduled for an earlier value are dropped.
    generation: u64,
    wake: Option<Micros>,
    /// Data that outlives the process: a node's data, an initiator's saved list.
    disk: Vec<u8>,
    /// An initiator's write-back log, and the batch that is being written to it.
    log: FaultyDisk,
    batch: Option<Batch>,
}

struct Pipe {
    peer: End,
    /// Arrival time of the latest data, which keeps the data in order.
    arrives: Micros,
    /// Data that the receiver does not read yet.
    unread: VecDeque<Vec<u8>>,
}

enum Event {
    Wake,
    Dial {
        from: ConnId,
        to: Address,
    },
    Connected(ConnId),
    Refused(ConnId),
    Bytes(ConnId, Vec<u8>),
    Closed(ConnId),
    /// The disk has finished a batch.
    Stored,
    Step(Box<Step>),
}

/// Results of a day on virtual time.
pub struct Played {
    /// The report.
    pub report: Report,
    /// All records, in order.
    pub ledger: AttemptLedger,
    /// Counters of the initiators at the end of the day, by index, since their last start.
    pub counts: Vec<Counts>,
    /// Number of events delivered.
    pub events: u64,
    /// Maximum number of events in one instant.
    pub most_at_once: u64,
    /// Duration of the day, including the time after the last arrival.
    pub lasted: Micros,
}

struct World<'a> {
    day: &'a Day,
    policy: Policy,
    now: Micros,
    rng: Pcg64Mcg,
    hosts: Vec<Host>,
    listeners: BTreeMap<Address, HostId>,
    pipes: BTreeMap<End, Pipe>,
    queue: BTreeMap<(Micros, u64), (HostId, u64, Event)>,
    sequence: u64,
    events: u64,
    most_at_once: u64,
    records: Vec<Record>,
    /// Initiators to be killed, and the number of outputs that they still make.
    pending_kills: BTreeMap<HostId, u32>,
    /// Initiators that were killed or asked to stop and not started again yet.
    stopping: BTreeSet<HostId>,
    /// By slot: the node's number and its incarnation.
    slots: Vec<(u64, u64)>,
    next_node: u64,
    epochs: u64,
    finished: bool,
}

/// Wall-clock time at time 0 of the virtual clock, in microseconds since the Unix epoch.
const UNIX_TIME_AT_ZERO: u64 = 1_700_000_000_000_000;
/// Range of the duration of a log batch, ms.
const SYNC_MS: (f64, f64) = (0.2, 2.0);
/// Start of the day on the virtual clock: an hour after 0, so that ages can lie in the past.
const START_TIME: Micros = Micros(3_600_000_000);

fn list_address() -> Address {
    Address::Unix(PathBuf::from("list"))
}

fn node_address(node: u64) -> Address {
    Address::Unix(PathBuf::from(format!("node-{node}")))
}

fn initiator_address(index: usize) -> Address {
    Address::Unix(PathBuf::from(format!("initiator-{index}")))
}

/// Plays a day on virtual time and audits its records.
pub fn play(day: &Day, seconds: f64, policy: Policy) -> Played {
    let mut world = World::new(day, policy, seconds);
    world.run(seconds);
    let lasted = world.now.since(START_TIME);
    let counts = world.counts();
    let World { mut records, events, most_at_once, .. } = world;
    records.sort_by_key(Record::at);
    let ledger = AttemptLedger::new(records);
    let verdict = audit(&ledger, &day.audit_rules());
    let report = report(day, &ledger, verdict);
    Played { report, ledger, counts, events, most_at_once, lasted }
}

impl<'a> World<'a> {
    fn new(day: &'a Day, policy: Policy, seconds: f64) -> Self {
        let nodes = day.fleet.nodes as usize;
        let initiators = day.site.site.settings.initiators as usize;
        let empty = |host: usize| Host {
            role: None,
            generation: 0,
            wake: None,
            disk: Vec::new(),
            log: FaultyDisk::new(day.seed ^ host as u64),
            batch: None,
        };
        let mut world = World {
            day,
            policy,
            now: START_TIME,
            rng: Pcg64Mcg::seed_from_u64(day.seed ^ 0x6e65_7477_6f72_6b00),
            hosts: (0..nodes + initiators + 2).map(empty).collect(),
            listeners: BTreeMap::new(),
            pipes: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            events: 0,
            most_at_once: 0,
            records: Vec::new(),
            pending_kills: BTreeMap::new(),
            stopping: BTreeSet::new(),
            slots: (0..nodes as u64).map(|n| (n, 1)).collect(),
            next_node: nodes as u64,
            epochs: 0,
            finished: false,
        };
        world.hosts[0].role = Some(Role::List(Box::new(Shell::new(ListService::new(Micros(0))))));
        world.listeners.insert(list_address(), 0);
        for slot in 0..nodes {
            world.start_node(slot, false);
            world.list_node(slot, "serving", "-");
        }
        world.settle(0);
        world.send_lines(0, &format!("late {}", day.fleet.list_delay.ms()));
        for index in 0..initiators {
            world.start_initiator(index);
        }
        let addresses = (0..initiators).map(initiator_address).collect();
        let load = Load::new(day.clone(), seconds, addresses);
        let clients = world.clients();
        world.hosts[clients].role = Some(Role::Clients(Box::new(Shell::new(load))));
        world.settle(clients);
        world
    }

    fn node_host(&self, slot: usize) -> HostId {
        1 + slot
    }

    fn initiator_host(&self, index: usize) -> HostId {
        1 + self.day.fleet.nodes as usize + index
    }

    fn clients(&self) -> HostId {
        self.hosts.len() - 1
    }

    fn counts(&self) -> Vec<Counts> {
        let of = |h: &Host| match &h.role {
            Some(Role::Initiator(core)) => Some(core.counts()),
            _ => None,
        };
        self.hosts.iter().filter_map(of).collect()
    }

    fn schedule(&mut self, at: Micros, host: HostId, event: Event) {
        self.sequence += 1;
        let generation = self.hosts[host].generation;
        self.queue.insert((at, self.sequence), (host, generation, event));
    }

    fn delay(&mut self) -> Micros {
        Micros(Micros::from_ms(between(&mut self.rng, self.day.one_way)).0.max(1))
    }

    fn run(&mut self, seconds: f64) {
        // As on loopback, the list arrives and the clients' handshakes finish before the day begins.
        let start = START_TIME.after(Micros(300_000));
        for (at, step) in script(self.day, seconds) {
            let at = start.after(Micros::from_ms(at * 1000.0));
            self.schedule(at, 0, Event::Step(Box::new(step)));
        }
        let deadlines = self.day.site.site.settings.classes.iter().map(|c| c.deadline);
        let longest = deadlines.fold(0.0, f64::max);
        let mut end = start.after(Micros::from_ms(seconds * 1000.0 + longest + 10_000.0));
        let (mut started, mut stopped) = (false, false);
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            let at = *at;
            if !started && at >= start {
                (started, self.now) = (true, start);
                self.send_lines(self.clients(), "start");
                continue;
            }
            if self.finished
                && !std::mem::replace(&mut stopped, true)
                && self.day.site.site.write_back.is_some()
            {
                // As on loopback, initiators shut down gracefully and write out their buffers.
                end = self.now.after(self.day.site.site.timeouts.shutdown_timeout).after(Micros(1_000_000));
                self.stop_initiators();
                continue;
            }
            if (self.finished && !self.may_have_buffers()) || at > end {
                break;
            }
            self.process_instant(at);
        }
    }

    /// Returns whether an initiator may still have buffered writes to write out.
    fn may_have_buffers(&self) -> bool {
        let buffers = |h: &Host| matches!(&h.role, Some(Role::Initiator(_)));
        self.day.site.site.write_back.is_some() && self.hosts.iter().any(buffers)
    }

    fn stop_initiators(&mut self) {
        let now = self.now;
        for index in 0..self.day.site.site.settings.initiators as usize {
            let host = self.initiator_host(index);
            self.stopping.insert(host);
            self.machine(host, |m| m.control(Control::Stop, now));
            self.settle(host);
        }
    }

    /// Delivers all events due at an instant, then settles the machines that received one.
    fn process_instant(&mut self, at: Micros) {
        self.now = at;
        let mut touched = BTreeSet::new();
        let before = self.events;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 == at) {
            let (host, generation, event) = entry.remove();
            self.events += 1;
            if let Event::Step(step) = event {
                self.apply_step(*step);
                continue;
            }
            let h = &mut self.hosts[host];
            if h.generation != generation || h.role.is_none() {
                // The receiver has ended: a connection attempt is refused, other events are dropped.
                if let Event::Dial { from, .. } = event {
                    self.refuse(host, from);
                }
                continue;
            }
            if matches!(event, Event::Wake) && h.wake != Some(at) {
                continue;
            }
            self.deliver(host, event);
            touched.insert(host);
        }
        self.most_at_once = self.most_at_once.max(self.events - before);
        touched.into_iter().for_each(|host| self.settle(host));
    }

    fn refuse(&mut self, host: HostId, conn: ConnId) {
        let at = self.now.after(self.delay());
        self.schedule(at, host, Event::Refused(conn));
    }

    fn deliver(&mut self, host: HostId, event: Event) {
        let now = self.now;
        match event {
            Event::Wake | Event::Step(_) => {}
            Event::Stored => {
                let h = &mut self.hosts[host];
                if let Some(batch) = h.batch.take() {
                    let stored = perform(&mut h.log, &batch).is_ok();
                    self.machine(host, |m| m.write_back_stored(stored, now));
                }
            }
            Event::Dial { from, to } => self.dial(host, from, &to),
            Event::Connected(conn) => self.machine(host, |m| m.connected(conn, now)),
            Event::Refused(conn) => self.machine(host, |m| m.connect_failed(conn, "refused", now)),
            Event::Bytes(conn, bytes) => {
                let Some(pipe) = self.pipes.get_mut(&(host, conn)) else { return };
                pipe.unread.push_back(bytes);
                self.read(host, conn);
            }
            Event::Closed(conn) => {
                self.pipes.remove(&(host, conn));
                self.machine(host, |m| m.closed(conn, "closed by peer", now));
            }
        }
    }

    fn machine(&mut self, host: HostId, call: impl FnOnce(&mut dyn Machine)) {
        if let Some(role) = &mut self.hosts[host].role {
            call(role.machine());
        }
    }

    fn read(&mut self, host: HostId, conn: ConnId) {
        let now = self.now;
        loop {
            let Some(role) = &mut self.hosts[host].role else { return };
            let machine = role.machine();
            let Some(pipe) = self.pipes.get_mut(&(host, conn)) else { return };
            if !machine.wants_read(conn) {
                return;
            }
            let Some(bytes) = pipe.unread.pop_front() else { return };
            machine.received(conn, &bytes, now);
        }
    }

    /// A connection attempt arrives at its target.
    fn dial(&mut self, caller: HostId, from: ConnId, to: &Address) {
        let now = self.now;
        let taken = self.listeners.get(to).copied().and_then(|host| {
            let role = self.hosts[host].role.as_mut()?;
            Some((host, role.machine().accepted(0, now)))
        });
        match taken {
            Some((host, Ok(conn))) => {
                let at = now.after(self.delay());
                let pipe = |peer, arrives| Pipe { peer, arrives, unread: VecDeque::new() };
                self.pipes.insert((caller, from), pipe((host, conn), now));
                // Data from the target must arrive after the notification that the connection is open.
                self.pipes.insert((host, conn), pipe((caller, from), at));
                self.schedule(at, caller, Event::Connected(from));
                self.settle(host);
            }
            Some((_, Err(last))) => {
                let at = now.after(self.delay());
                self.schedule(at, caller, Event::Connected(from));
                let no_peer = (usize::MAX, ConnId(0));
                self.pipes
                    .insert((caller, from), Pipe { peer: no_peer, arrives: at, unread: VecDeque::new() });
                self.schedule(at.after(Micros(1)), caller, Event::Bytes(from, last));
                self.schedule(at.after(Micros(2)), caller, Event::Closed(from));
            }
            None => self.refuse(caller, from),
        }
    }

    /// Returns the other end of a connection and the arrival time of data sent now, in order.
    fn arrival(&mut self, end: End) -> Option<(End, Micros)> {
        let delay = self.delay();
        let now = self.now;
        let pipe = self.pipes.get_mut(&end)?;
        pipe.arrives = pipe.arrives.max(now.after(delay));
        (pipe.peer.0 < self.hosts.len()).then_some((pipe.peer, pipe.arrives))
    }

    fn settle(&mut self, host: HostId) {
        let now = self.now;
        let Some(role) = &mut self.hosts[host].role else { return };
        let wake = role.machine().settle(now);
        self.records.append(&mut role.take_records());
        let mut commands = role.machine().take_commands();
        while !commands.is_empty() {
            for command in commands {
                if self.kill_if_due(host) {
                    return;
                }
                self.execute(host, command);
            }
            let Some(role) = &mut self.hosts[host].role else { return };
            self.records.append(&mut role.take_records());
            commands = role.machine().take_commands();
        }
        let wake = wake.map(|at| at.max(Micros(now.0 + 1)));
        if wake != self.hosts[host].wake {
            self.hosts[host].wake = wake;
            if let Some(at) = wake {
                self.schedule(at, host, Event::Wake);
            }
        }
    }

    /// Kills the initiator if a pending kill is due now, between two outputs of one turn. Returns whether
    /// it did.
    fn kill_if_due(&mut self, host: HostId) -> bool {
        match self.pending_kills.get_mut(&host) {
            Some(0) => {
                self.kill_initiator(host);
                true
            }
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn kill_initiator(&mut self, host: HostId) {
        self.pending_kills.remove(&host);
        let initiator = (host - 1 - self.day.fleet.nodes as usize) as u32;
        if self.day.site.site.write_back.is_some() {
            self.crash_log(host);
        }
        self.records.push(Record::Killed { at: self.now.0, initiator });
        self.end_process(host);
    }

    /// Crashes an initiator's log, perhaps inside a batch; half of the crashes also lose power.
    fn crash_log(&mut self, host: HostId) {
        let within = (random(&mut self.rng) * 8.0) as u64;
        let h = &mut self.hosts[host];
        if let Some(batch) = h.batch.take() {
            h.log.set(Faults { crash_at_call: Some(within), ..Faults::default() });
            // The result doesn't matter: the part that was written is on the disk.
            let _ = perform(&mut h.log, &batch);
        }
        match random(&mut self.rng) < 0.5 {
            true => h.log.lose_power(),
            false => h.log.crash_process(),
        }
    }

    fn execute(&mut self, host: HostId, command: Command) {
        let now = self.now;
        match command {
            Command::Connect { conn, address } => {
                let at = now.after(self.delay());
                self.schedule(at, host, Event::Dial { from: conn, to: address });
            }
            Command::Flush(conn) => {
                let Some(role) = &mut self.hosts[host].role else { return };
                let machine = role.machine();
                let bytes = machine.outgoing(conn).to_vec();
                machine.written(conn, bytes.len(), now);
                if !bytes.is_empty()
                    && let Some((peer, at)) = self.arrival((host, conn))
                {
                    self.schedule(at, peer.0, Event::Bytes(peer.1, bytes));
                }
                self.read(host, conn);
            }
            Command::Close { conn, last } => {
                if let Some((peer, at)) = self.arrival((host, conn)) {
                    if !last.is_empty() {
                        self.schedule(at, peer.0, Event::Bytes(peer.1, last));
                    }
                    self.schedule(at, peer.0, Event::Closed(peer.1));
                }
                self.pipes.remove(&(host, conn));
            }
            Command::SaveList(bytes) => self.hosts[host].disk = bytes,
            Command::AppendList(mut bytes) => self.hosts[host].disk.append(&mut bytes),
            Command::AppendOutput(Sink::Data, mut bytes) => self.hosts[host].disk.append(&mut bytes),
            Command::AppendOutput(Sink::Record, _) => {}
            Command::StoreWriteBack(batch) => {
                // The time of a disk sync, not of a write to the disk's cache.
                let takes = Micros::from_ms(between(&mut self.rng, SYNC_MS));
                self.hosts[host].batch = Some(batch);
                self.schedule(now.after(takes), host, Event::Stored);
            }
            // Only used for clients that speak HTTP, and days on virtual time have none.
            Command::ShutdownWrite(_) => {}
            // Days on virtual time have no consensus.
            Command::StoreConsensus(_) | Command::SaveReplicatedState(_) => {}
            Command::StopListening => self.listeners.retain(|_, h| *h != host),
            Command::Print(line) => self.finished |= host == self.clients() && line == "done",
            Command::Exit => self.end_process(host),
        }
    }

    /// Truncates the data in flight of a process that dies during a write: of the last piece on each of its
    /// connections only a part is delivered.
    fn truncate_in_flight(&mut self, host: HostId) {
        let peers: BTreeSet<End> =
            self.pipes.range((host, ConnId(0))..(host + 1, ConnId(0))).map(|(_, p)| p.peer).collect();
        let mut cut = BTreeSet::new();
        let rng = &mut self.rng;
        for (to, _, event) in self.queue.values_mut().rev() {
            if let Event::Bytes(conn, bytes) = event
                && peers.contains(&(*to, *conn))
                && cut.insert((*to, *conn))
            {
                bytes.truncate((random(rng) * bytes.len() as f64) as usize);
            }
        }
    }

    /// Ends a process: its connections are closed, and events in flight to it are lost.
    fn end_process(&mut self, host: HostId) {
        let ends: Vec<End> =
            self.pipes.range((host, ConnId(0))..(host + 1, ConnId(0))).map(|(e, _)| *e).collect();
        for end in ends {
            if let Some((peer, at)) = self.arrival(end) {
                self.schedule(at, peer.0, Event::Closed(peer.1));
            }
            self.pipes.remove(&end);
        }
        let h = &mut self.hosts[host];
        if let Some(role) = &mut h.role {
            self.records.append(&mut role.take_records());
        }
        (h.role, h.wake, h.batch) = (None, None, None);
        h.generation += 1;
        self.listeners.retain(|_, at| *at != host);
    }

    fn start_node(&mut self, slot: usize, cold: bool) {
        let (node, incarnation) = self.slots[slot];
        let zone = slot as u32 % self.day.fleet.zones;
        let id = Identity { node, incarnation, shard: slot as u32, zone };
        let host = self.node_host(slot);
        let node_machine = emulated_node(self.day, id, cold, &self.hosts[host].disk, self.now);
        self.records.push(node_machine.up(cold, self.now));
        self.hosts[host].role = Some(Role::Node(Box::new(Shell::new(node_machine))));
        self.listeners.insert(node_address(node), host);
        self.settle(host);
    }

    fn list_node(&mut self, slot: usize, state: &str, age: &str) {
        let (node, incarnation) = self.slots[slot];
        let zone = slot as u32 % self.day.fleet.zones;
        self.send_lines(0, &node_line(node, incarnation, state, slot, zone, age, node_address(node)));
    }

    fn start_initiator(&mut self, index: usize) {
        self.epochs += 1;
        let host = self.initiator_host(index);
        let config = Config {
            name: format!("initiator-{index}"),
            index: index as u32,
            epoch: self.epochs,
            calendar: UNIX_TIME_AT_ZERO,
            seed: initiator_seed(self.day, index),
            discovery_address: list_address(),
            site: self.day.site.site.clone(),
            bounds: Bounds::default(),
            policy: self.policy,
            wire: Wire::Frames,
            consensus: None,
        };
        let saved = std::mem::take(&mut self.hosts[host].disk);
        let saved = (!saved.is_empty()).then_some(saved);
        let mut core = Core::new(config.clone(), saved.as_deref(), self.now)
            .or_else(|_| Core::new(config, None, self.now))
            .expect("starts without a saved list");
        if self.day.site.site.write_back.is_some() {
            let recovered = recover(&mut self.hosts[host].log).expect("a log can be recovered after a crash");
            core.attach(recovered, self.now);
        }
        self.hosts[host].role = Some(Role::Initiator(Box::new(core)));
        self.listeners.insert(initiator_address(index), host);
        self.settle(host);
    }

    fn send_lines(&mut self, host: HostId, lines: &str) {
        let now = self.now;
        for line in lines.lines() {
            self.machine(host, |m| m.control(Control::Line(line.to_owned()), now));
        }
        self.settle(host);
    }

    fn apply_step(&mut self, step: Step) {
        let at = self.now.0;
        match step {
            Step::NodeLines(slot, lines) => self.send_lines(self.node_host(slot), &lines),
            Step::ListLines(lines) => self.send_lines(0, &lines),
            // Faults may overlap: a process that is already down, or up again, is left as it is.
            Step::KillNode(slot) if self.hosts[self.node_host(slot)].role.is_none() => {}
            Step::RestartNode(slot) if self.hosts[self.node_host(slot)].role.is_some() => {}
            Step::KillNode(slot) => {
                self.records.push(Record::NodeDown { at, node: self.slots[slot].0 });
                self.truncate_in_flight(self.node_host(slot));
                self.end_process(self.node_host(slot));
            }
            Step::RestartNode(slot) => {
                self.slots[slot].1 += 1;
                self.start_node(slot, true);
                self.list_node(slot, "serving", "0");
            }
            Step::DrainNode(slot) => self.list_node(slot, "draining", "-"),
            Step::ReplaceNode(slot) => {
                self.list_node(slot, "gone", "-");
                self.apply_step(Step::KillNode(slot));
                self.slots[slot] = (self.next_node, 1);
                self.next_node += 1;
                self.start_node(slot, true);
                self.list_node(slot, "serving", "0");
            }
            // Days with consensus are played with processes only.
            Step::IsolateInitiator(..) | Step::PauseInitiator(..) | Step::ProposeRules(_) => {}
            Step::KillInitiator(index, _) if self.stopping.contains(&self.initiator_host(index)) => {}
            Step::RestartInitiator(index) if !self.stopping.contains(&self.initiator_host(index)) => {}
            Step::KillInitiator(index, immediately) => {
                let host = self.initiator_host(index);
                self.stopping.insert(host);
                if immediately {
                    // The kill takes effect at a random point among its next outputs.
                    let outputs = (random(&mut self.rng) * 6.0) as u32;
                    self.pending_kills.insert(host, outputs);
                } else {
                    self.records.push(Record::Killed { at, initiator: index as u32 });
                    let now = self.now;
                    self.machine(host, |m| m.control(Control::Stop, now));
                    self.settle(host);
                }
            }
            Step::RestartInitiator(index) => {
                let host = self.initiator_host(index);
                if self.pending_kills.contains_key(&host) {
                    self.kill_initiator(host);
                }
                if self.hosts[host].role.is_some() {
                    // It is still finishing its pending requests: try again 10 ms later.
                    let again = self.now.after(Micros(10_000));
                    self.schedule(again, 0, Event::Step(Box::new(step)));
                } else {
                    self.stopping.remove(&host);
                    self.start_initiator(index);
                }
            }
        }
    }
}
