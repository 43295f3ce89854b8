//! The initiator's core: connections, requests, attempts, timers, and the decision module that they serve.
//! It does no I/O and reads no clock. What happens comes in through [`Machine`]; every decision about a
//! request is the module's, this code only carries events to it and actions from it.
//!
//! - [`clients`]: who submits, and the bounds on them
//! - [`requests`]: a request's life from its arrival to its one answer
//! - [`nodes`]: connections to storage nodes, attempts on them
//! - [`storms`]: repeats told from first tries, and damped
//! - [`writeback`]: the write-back buffer's place between clients and the module
//! - [`list`]: the node list, its breaks, the saved copy
//!
//! Peers speak frames, or the platform's HTTP/1.1 ([`Wire`]). A request's life is the same for both; three
//! places differ:
//!
//! - [`door`]: clients that ask one request at a time of a connection
//! - [`pool`]: connections to a node that carry one request each
//! - [`watch`]: the list, told by calls that wait

mod backoff;
mod clients;
mod config;
mod door;
mod list;
mod nodes;
mod pipe;
mod pool;
mod requests;
mod storms;
mod watch;
mod writeback;

pub use backoff::Backoff;
pub use config::{Bounds, ClassInfo, Config, Policy, Site, Waits, Wire, WriteBack};
pub use list::{SavedListError, check_saved_list};

use crate::machine::{Command, ConnId, Control, Machine, Micros};
use clients::Client;
use door::Door;
use flaxstand::api::{Action, Class, Event, NodeId, Outcome, Readiness, RequestId, VolumeId};
use flaxstand::brain::Brain;
use flaxstand_proto::{Frame, Hello, Inbox, Outbox, Parting, Role, VERSION, VERSION_OLDEST, encode};
use flaxstand_storm::Arrivals;
use list::ListPeer;
use nodes::{NodeName, NodePeer};
use pipe::{Pipe, Placement};
use pool::Link;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use requests::Held;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use storms::Gate;
use tracing::{info, warn};
use writeback::{Back, Mark};

/// Whose connection it is.
#[derive(Debug)]
enum Peer {
    Client(Client),
    Node(NodeId),
    List,
}

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The system is still at it.
    Dialing,
    /// It stands; the peer's first frame has not come.
    Greeting,
    /// Frames pass.
    Open,
}

/// What reads a connection's bytes.
#[derive(Debug)]
enum Inlet {
    Frames(Inbox),
    /// A client's HTTP.
    Door(Door),
    /// HTTP that we ask, of a node or of the list service.
    Link(Link),
}

#[derive(Debug)]
struct Conn {
    peer: Peer,
    stage: Stage,
    inlet: Inlet,
    outbox: Outbox,
}

/// What is due at a moment of the core's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A request's client is about to give up.
    Deadline(RequestId),
    /// A connection should be open by now.
    Dial(ConnId),
    /// A connection to a node may have idled long enough.
    Idle(ConnId),
    /// A probe of a node has been out for long enough.
    Probe(NodeId, u64),
    /// A connection that speaks HTTP may have been at one thing for too long.
    Quiet(ConnId),
    /// Look for pooled connections that have idled long enough, and nodes long gone.
    Sweep,
    /// The time is over in which a stop changes nothing yet.
    GraceEnds,
    /// Call the list service.
    ListCall,
    /// Has the list service been silent for too long?
    ListSilence,
    /// A stop has lasted long enough.
    StopEnds,
}

enum Decider {
    Module(Box<Brain>),
    Pipe(Pipe),
}

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    /// A stop was asked for, and clients that do not know yet are still served as before.
    Leaving,
    /// No new requests; what is held is answered, then the process ends.
    Stopping,
    Stopped,
}

/// Answers leave this long before a stop has lasted long enough.
const STOP_MARGIN: Micros = Micros(50_000);

/// Counts since the start. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken from clients, refused ones included.
    pub taken: u64,
    /// Requests that ended served.
    pub served: u64,
    /// Writes acknowledged as buffered.
    pub buffered: u64,
    /// Reads answered from the buffer alone; they count as served too.
    pub read_back: u64,
    /// Requests that ended refused, by the module.
    pub refused: u64,
    /// Requests that ended refused at a bound, by the buffer or while stopping, unseen by the module.
    pub turned_away: u64,
    /// Repeats that were refused in a storm, unseen by the module.
    pub damped: u64,
    /// Requests that ended failed.
    pub failed: u64,
    /// Requests whose client went before its answer.
    pub abandoned: u64,
    /// Attempts handed to a node's connection.
    pub attempts: u64,
    /// Ends of attempts that nobody waited for any more.
    pub late_outcomes: u64,
    /// Connections closed for what their peer sent.
    pub protocol_faults: u64,
    /// Requests that the module had not ended at their deadline. More than 0 is a fault of the module.
    pub overdue: u64,
}

/// How much is held at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Connections, those being opened included.
    pub conns: usize,
    /// Requests.
    pub requests: usize,
    /// Ids of clients' requests.
    pub ids: usize,
    /// Nodes.
    pub nodes: usize,
    /// Timers.
    pub timers: usize,
    /// Bytes of requests and answers that are not yet whole.
    pub partial_bytes: usize,
}

/// The initiator's core.
pub struct Core {
    config: Config,
    decider: Decider,
    /// Classes that the module was told of: the site's, and after them those of write-outs, if there are any.
    brain_classes: Vec<Class>,
    back: Option<Back>,
    gate: Option<Gate>,
    arrivals: Arrivals,
    rng: Pcg64Mcg,
    conns: BTreeMap<ConnId, Conn>,
    next_conn: u64,
    clients: usize,
    requests: BTreeMap<RequestId, Held>,
    next_request: u64,
    next_probe: u64,
    nodes: BTreeMap<NodeId, NodePeer>,
    node_ids: BTreeMap<NodeName, NodeId>,
    next_node: u32,
    /// Connections to nodes that carry one request each.
    links: usize,
    /// Ids under which clients of the platform have requests here.
    open_ids: BTreeSet<String>,
    /// Bytes of requests that are not yet whole.
    partial_bytes: usize,
    /// Bytes of nodes' answers that are not yet whole.
    answer_bytes: usize,
    /// Names of zones, in the order of the module's.
    zones: Vec<String>,
    /// Names of classes, in the order of the module's.
    class_names: Vec<String>,
    volumes: BTreeSet<VolumeId>,
    list: ListPeer,
    timers: BTreeSet<(Micros, Timer)>,
    /// Events for the module that its own actions caused, or that came since it last decided.
    events: VecDeque<Event>,
    /// When the module asked to be woken.
    wake_at: Option<Micros>,
    /// Something was told to the module that it has not decided on.
    undecided: bool,
    decided_at: Option<Micros>,
    commands: Vec<Command>,
    phase: Phase,
    /// Once a stop was asked for: when the last answer must have left.
    answer_by: Option<Micros>,
    counts: Counts,
}

impl Core {
    /// A core that starts now, with the list as it was saved in an earlier life, if there is one.
    ///
    /// # Errors
    /// The saved list is no list. Start without it then.
    pub fn new(config: Config, saved: Option<&[u8]>, now: Micros) -> Result<Self, SavedListError> {
        let mut settings = match &config.site.write_back {
            Some(_) => writeback::with_write_outs(&config.site.settings),
            None => config.site.settings.clone(),
        };
        let gate = config.site.storm.map(|rules| {
            let classes = settings.classes.len();
            storms::with_repeats(&mut settings, config.site.classes.len(), &rules);
            Gate::new(rules, classes, config.seed ^ config.epoch.rotate_left(17), now)
        });
        let brain_classes = settings.classes.clone();
        let decider = match config.policy {
            Policy::Module => Decider::Module(Box::new(Brain::new(
                settings,
                config.seed ^ config.epoch.rotate_left(32),
                now.ms(),
            ))),
            Policy::Pipe => Decider::Pipe(Pipe::new(Placement::RoundRobin, config.seed)),
            Policy::LeastOut => Decider::Pipe(Pipe::new(Placement::LeastOut, config.seed)),
            Policy::TwoChoices => Decider::Pipe(Pipe::new(Placement::TwoChoices, config.seed)),
        };
        let list = ListPeer::new(&config.site.waits);
        let class_names = config.site.classes.iter().map(|c| c.name.clone()).collect();
        let mut core = Core {
            rng: Pcg64Mcg::seed_from_u64(config.seed.wrapping_add(config.epoch)),
            decider,
            brain_classes,
            back: None,
            gate,
            arrivals: Arrivals::new(config.bounds.arrivals, now),
            list,
            config,
            conns: BTreeMap::new(),
            next_conn: 0,
            clients: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            next_probe: 0,
            nodes: BTreeMap::new(),
            node_ids: BTreeMap::new(),
            next_node: 0,
            links: 0,
            open_ids: BTreeSet::new(),
            partial_bytes: 0,
            answer_bytes: 0,
            zones: Vec::new(),
            class_names,
            volumes: BTreeSet::new(),
            timers: BTreeSet::new(),
            events: VecDeque::new(),
            wake_at: None,
            undecided: true,
            decided_at: None,
            commands: Vec::new(),
            phase: Phase::Running,
            answer_by: None,
            counts: Counts::default(),
        };
        if let Some(saved) = saved {
            core.take_saved_list(saved, now)?;
        }
        if core.on_platform() {
            core.timers.insert((now, Timer::Sweep));
        }
        if !core.config.site.settings.list_on_request {
            core.timers.insert((now, Timer::ListCall));
        }
        Ok(core)
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How much is held now.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            conns: self.conns.len(),
            requests: self.requests.len(),
            ids: self.open_ids.len(),
            nodes: self.nodes.len(),
            timers: self.timers.len(),
            partial_bytes: self.partial_bytes + self.answer_bytes,
        }
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// Client connections now.
    pub fn clients(&self) -> usize {
        self.clients
    }

    fn new_conn(&mut self, peer: Peer, stage: Stage, inlet: Inlet) -> ConnId {
        self.next_conn += 1;
        let id = ConnId(self.next_conn);
        self.conns.insert(id, Conn { peer, stage, inlet, outbox: Outbox::default() });
        id
    }

    /// Whether frames may pass on it.
    fn is_open(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| c.stage == Stage::Open)
    }

    /// Puts a frame into a connection's outbox. Returns where it ends in the stream.
    fn push(&mut self, conn: ConnId, frame: &Frame<'_>) -> u64 {
        self.put(conn, |bytes| encode(frame, bytes))
    }

    /// Puts bytes into a connection's outbox. Returns where they end in the stream.
    fn put(&mut self, conn: ConnId, add: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let Some(c) = self.conns.get_mut(&conn) else { return u64::MAX };
        if c.outbox.is_empty() {
            self.commands.push(Command::Flush(conn));
        }
        c.outbox.write(add)
    }

    fn speaks_frames(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| matches!(c.inlet, Inlet::Frames(_)))
    }

    fn on_platform(&self) -> bool {
        self.config.wire == Wire::Platform
    }

    fn greet(&mut self, conn: ConnId) {
        let hello = Hello {
            role: Role::Initiator,
            versions: (VERSION_OLDEST, VERSION),
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name.clone(),
        };
        self.push(conn, &Frame::Hello(hello));
    }

    /// Closes a connection from here that nothing hangs on any more.
    fn drop_quietly(&mut self, conn: ConnId) {
        if self.take_conn(conn).is_some() {
            self.commands.push(Command::Close { conn, last: Vec::new() });
        }
    }

    /// Takes a connection out; what it held of a message is held no more.
    fn take_conn(&mut self, conn: ConnId) -> Option<Conn> {
        let gone = self.conns.remove(&conn)?;
        match &gone.inlet {
            Inlet::Door(door) => self.partial_bytes -= door.held(),
            Inlet::Link(link) => self.answer_bytes -= link.held(),
            Inlet::Frames(_) => {}
        }
        Some(gone)
    }

    /// Closes a connection from here and settles what hung on it.
    fn hang_up(&mut self, conn: ConnId, parting: Parting, text: &str, now: Micros) {
        if self.speaks_frames(conn) {
            self.push(conn, &Frame::Bye { parting, wait: 0, text });
        }
        self.lost(conn, text, true, now);
    }

    /// A connection is no more.
    fn lost(&mut self, conn: ConnId, cause: &str, by_us: bool, now: Micros) {
        let Some(gone) = self.take_conn(conn) else { return };
        if by_us {
            // What is given up must not leave after all: with its last bytes it would run.
            let pending = if let Inlet::Link(_) = gone.inlet { &[] } else { gone.outbox.pending() };
            self.commands.push(Command::Close { conn, last: pending.to_vec() });
        }
        match (gone.peer, gone.inlet) {
            (Peer::Client(client), _) => self.client_lost(conn, &client, cause, now),
            (Peer::Node(node), Inlet::Link(link)) => {
                self.link_lost(conn, node, &link, gone.outbox.written(), cause, now);
            }
            (Peer::Node(node), _) => {
                self.node_lost(conn, node, gone.stage, gone.outbox.written(), cause, now)
            }
            (Peer::List, _) => self.list_lost(gone.stage, cause, now),
        }
    }

    /// A frame came. False: the connection is gone, read no further.
    fn frame(&mut self, conn: ConnId, frame: Frame<'_>, now: Micros) -> bool {
        let Some(c) = self.conns.get(&conn) else { return false };
        let stage = c.stage;
        let fault = match (&c.peer, frame) {
            (_, Frame::Bye { parting, text, .. }) => {
                info!(conn = conn.0, ?parting, text, "peer said goodbye");
                self.lost(conn, "peer said goodbye", true, now);
                return false;
            }
            (Peer::Client(_), Frame::Hello(h)) if stage == Stage::Greeting => self.client_greeted(conn, &h),
            (Peer::Client(_), Frame::Submit(s)) if stage == Stage::Open => {
                self.submitted(conn, &s, None, now)
            }
            (Peer::Client(_), Frame::Barrier { id, volume, time_left }) if stage == Stage::Open => {
                self.submitted_mark(conn, id, Mark::Barrier(volume), time_left, now)
            }
            (Peer::Client(_), Frame::Flush { id, volume, time_left }) if stage == Stage::Open => {
                self.submitted_mark(conn, id, Mark::Flush(volume), time_left, now)
            }
            (Peer::Client(_), Frame::AskStatus { id }) if stage == Stage::Open => {
                self.asked_status(conn, id, now);
                Ok(())
            }
            (Peer::Node(node), Frame::Welcome(w)) if stage == Stage::Greeting => {
                let node = *node;
                self.node_greeted(conn, node, &w, now)
            }
            (Peer::Node(_), Frame::Done(d)) if stage == Stage::Open => {
                self.attempt_done(conn, &d, now);
                Ok(())
            }
            (Peer::Node(_), Frame::Chunk { request, attempt, payload }) if stage == Stage::Open => {
                self.attempt_chunk(conn, request, attempt, payload);
                Ok(())
            }
            (Peer::Node(node), Frame::Probed { token, .. }) if stage == Stage::Open => {
                let node = *node;
                self.probed(node, token, Outcome::Served);
                Ok(())
            }
            (Peer::List, Frame::Welcome(w)) if stage == Stage::Greeting => self.list_greeted(conn, &w, now),
            (Peer::List, Frame::List(l)) if stage == Stage::Open => {
                self.listed(conn, &l, now);
                Ok(())
            }
            (Peer::List, Frame::ListFailed) if stage == Stage::Open => {
                self.list_call_failed(now);
                Ok(())
            }
            (_, other) => Err((Parting::Protocol, format!("a frame that has no place here: {other:?}"))),
        };
        if let Err((parting, text)) = fault {
            self.protocol_fault(conn, parting, &text, now);
        }
        self.conns.contains_key(&conn)
    }

    fn protocol_fault(&mut self, conn: ConnId, parting: Parting, text: &str, now: Micros) {
        let text: String = text.chars().take(200).collect();
        warn!(conn = conn.0, ?parting, text, "closing a connection for what its peer sent");
        self.counts.protocol_faults += 1;
        self.hang_up(conn, parting, &text, now);
    }

    /// Tells the module all that waits to be told, and does what it wants done at once.
    fn tell(&mut self, now: Micros) {
        let mut actions = Vec::new();
        // What the actions cause in turn is told at the next turn: the work of one turn is bounded.
        for event in std::mem::take(&mut self.events) {
            self.decide_on(event, now, &mut actions);
            self.undecided = true;
        }
        self.perform(&mut actions, now);
    }

    /// The module looks at all that it was told.
    fn decide(&mut self, now: Micros) {
        self.undecided = false;
        self.decided_at = Some(now);
        let mut actions = Vec::new();
        self.decide_on(Event::Decide, now, &mut actions);
        self.perform(&mut actions, now);
    }

    fn decide_on(&mut self, event: Event, now: Micros, actions: &mut Vec<Action>) {
        match &mut self.decider {
            Decider::Module(brain) => brain.handle(event, now.ms(), actions),
            Decider::Pipe(pipe) => pipe.handle(event, actions),
        }
    }

    fn fire(&mut self, timer: Timer, now: Micros) {
        match timer {
            Timer::Deadline(request) => self.deadline(request, now),
            Timer::Dial(conn) => {
                if self.conns.get(&conn).is_some_and(|c| c.stage != Stage::Open) {
                    self.hang_up(conn, Parting::Protocol, "no greeting in time", now);
                }
            }
            Timer::Quiet(conn) => self.quiet(conn, now),
            Timer::Sweep => self.sweep(now),
            Timer::GraceEnds => self.close_doors(now),
            Timer::Idle(conn) => self.idle(conn, now),
            Timer::Probe(node, token) => {
                self.probed(node, token, Outcome::TimedOut);
                if self.on_platform() {
                    self.hang_up_probe(node, token, now);
                }
            }
            Timer::ListCall => self.call_list(now),
            Timer::ListSilence => self.list_silent(now),
            Timer::StopEnds => self.stop_ends(now),
        }
    }

    fn stop(&mut self, now: Micros) {
        if self.phase == Phase::Running {
            let waits = &self.config.site.waits;
            self.timers.insert((now.after(waits.stop), Timer::StopEnds));
            self.timers.insert((now.after(waits.stop_grace), Timer::GraceEnds));
            info!(held = self.requests.len(), grace_ms = waits.stop_grace.ms(), "stopping");
            self.phase = Phase::Leaving;
            self.answer_by = Some(now.after(waits.stop.since(STOP_MARGIN)));
            if waits.stop_grace == Micros(0) {
                self.close_doors(now);
            }
        }
    }

    /// No new requests from now on; what is held is answered.
    fn close_doors(&mut self, now: Micros) {
        if self.phase == Phase::Leaving {
            self.phase = Phase::Stopping;
            self.commands.push(Command::StopListening);
            self.drain_buffer(now);
            self.part_with_clients(now);
        }
    }

    /// All that was held has been answered and read by its client, or the stop has lasted long enough.
    fn stopped(&self) -> bool {
        let owed = |c: &Conn| matches!(c.peer, Peer::Client(_)) && !c.outbox.is_empty();
        self.requests.values().all(|r| r.owner.is_none())
            && !self.conns.values().any(owed)
            && self.buffer_drained()
    }

    fn stop_ends(&mut self, now: Micros) {
        let owed: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| r.owner.is_some()).map(|(id, _)| *id).collect();
        warn!(owed = owed.len(), "the stop has lasted long enough: what is still held is failed");
        owed.into_iter().for_each(|id| self.fail(id, now));
        self.exit(now);
    }

    fn exit(&mut self, now: Micros) {
        if self.phase != Phase::Stopped {
            self.phase = Phase::Stopped;
            let conns: Vec<ConnId> = self.conns.keys().copied().collect();
            conns.into_iter().for_each(|conn| self.hang_up(conn, Parting::Stopping, "stopping", now));
            // What was learnt of the nodes since the list last changed is kept for the next start.
            let listed = self.nodes.values().any(|n| n.readiness != Readiness::Gone);
            if listed && !self.on_platform() {
                self.commands.push(Command::Save(self.saved_list(now)));
            }
            self.commands.push(Command::Exit);
            let (buffer, repeats) = (self.buffer_status(now), self.repeats_judged());
            info!(counts = ?self.counts, ?buffer, ?repeats, "stopped");
        }
    }
}

impl Machine for Core {
    fn accepted(&mut self, _listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        self.client_accepted(now)
    }

    fn connected(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let Inlet::Frames(_) = c.inlet {
            c.stage = Stage::Greeting;
            self.greet(conn);
        } else {
            c.stage = Stage::Open;
            self.link_stands(conn, now);
        }
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.lost(conn, cause, false, now);
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let inbox = match &mut c.inlet {
            Inlet::Frames(inbox) => inbox,
            Inlet::Door(_) => return self.door_received(conn, bytes, now),
            Inlet::Link(_) => return self.link_received(conn, bytes, now),
        };
        let mut inbox = std::mem::take(inbox);
        let fed = inbox.feed(bytes, |frame| self.frame(conn, frame, now));
        if let Some(c) = self.conns.get_mut(&conn) {
            c.inlet = Inlet::Frames(inbox);
            if let Err(e) = fed {
                self.protocol_fault(conn, Parting::Protocol, &e.to_string(), now);
            }
        }
    }

    fn finished(&mut self, conn: ConnId, _now: Micros) -> bool {
        self.client_finished(conn)
    }

    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.lost(conn, cause, false, now);
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.conns.get(&conn).map_or(&[], |c| c.outbox.pending())
    }

    fn wrote(&mut self, conn: ConnId, count: usize, now: Micros) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.outbox.wrote(count);
            self.client_read(conn, now);
        }
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        match self.conns.get(&conn).map(|c| (&c.peer, &c.inlet)) {
            Some((_, Inlet::Door(door))) => door.wants_read(),
            Some((Peer::Client(client), _)) => !client.paused,
            Some(_) => true,
            None => false,
        }
    }

    fn stored(&mut self, well: bool, now: Micros) {
        self.batch_stored(well, now);
    }

    fn control(&mut self, control: Control, now: Micros) {
        match control {
            Control::Stop => self.stop(now),
            Control::Reload(reloaded) => {
                info!(?reloaded, "new bounds, and where the list service is");
                self.config.bounds = reloaded.bounds;
                if self.config.list != reloaded.list {
                    self.config.list = reloaded.list;
                    self.list_moved(now);
                }
            }
            // Only where the driver reads it: whoever started the process is gone.
            Control::InputEnded => self.stop(now),
            Control::Line(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            self.fire(timer, now);
        }
        self.look_at_weather(now);
        self.settle_buffer(now);
        self.tell(now);
        if std::mem::take(&mut self.list.unsaved) {
            self.commands.push(Command::Save(self.saved_list(now)));
        }
        let woken = self.wake_at.is_some_and(|at| at <= now);
        // Many requests share one look at all that is held: decisions come at most once a tick.
        let tick = Micros::from_ms(self.config.site.settings.tick);
        let next = self.decided_at.map_or(now, |at| at.after(tick));
        if (self.undecided || woken) && now >= next {
            self.wake_at = self.wake_at.filter(|_| !woken);
            self.decide(now);
        }
        let buffer = self.settle_buffer(now);
        if self.phase == Phase::Stopping && self.stopped() {
            self.exit(now);
        }
        let tick_due = self.decided_at.map_or(now, |at| at.after(tick)).max(Micros(now.0 + 1));
        let undecided = (self.undecided || !self.events.is_empty()).then_some(tick_due);
        let woken = self.wake_at.map(|at| at.max(tick_due));
        let timer = self.timers.first().map(|(at, _)| *at);
        [undecided, woken, timer, buffer].into_iter().flatten().min()
    }

    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}
