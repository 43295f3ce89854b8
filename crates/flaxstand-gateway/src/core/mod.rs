//! The initiator's core: connections, requests, attempts, timers, and the decision module that they serve.
//! It does no I/O and reads no clock. What happens comes in through [`Machine`]; every decision about a
//! request is the module's, this code only carries events to it and actions from it.
//!
//! - [`plumbing`]: connections, moments, commands; [`dispatch`]: what comes on a connection goes to whom
//! - [`clients`]: who submits, and the bounds on them
//! - [`requests`]: a request's life from its arrival to its one answer
//! - [`endpoint_table`]: what is listed; [`nodes`]: connections to storage nodes, attempts on them
//! - [`first_byte`]: the gate that the first byte of an attempt passes
//! - [`storms`]: repeats told from first tries, and damped
//! - [`agreement`]: words between initiators, and the rules that hold now
//! - [`writeback`]: the write-back buffer's place between clients and the module
//! - [`decider`]: the decision module, or a baseline in its place
//! - [`figures`]: what is counted and held
//! - [`discovery`]: the client of the discovery service, and the list cached for the next start;
//!   [`endpoint_events`]: where its updates are applied
//!
//! Peers speak frames, or the platform's HTTP/1.1 ([`Wire`]). A request's life is the same for both; three
//! places differ:
//!
//! - [`http_server`]: clients that ask one request at a time of a connection; [`client_places`]: who gives way
//! - [`pool`]: connections to a node that carry one request each; [`upstream_pool`]: which there are, and what for
//! - [`discovery::platform_poll`]: the endpoint list, by calls that wait for changes

mod agreement;
mod backoff;
mod client_places;
mod clients;
mod config;
mod decider;
mod discovery;
mod dispatch;
mod endpoint_events;
mod endpoint_table;
mod figures;
mod first_byte;
mod http_server;
mod nodes;
mod pipe;
mod plumbing;
mod pool;
mod requests;
mod storms;
mod upstream_pool;
mod writeback;

pub use backoff::Backoff;
pub use config::{
    BackoffBounds, Bounds, ClassInfo, Config, ConsensusConfig, ConsensusPeer, Policy, Site, Timeouts, Wire,
    WriteBack,
};
pub use discovery::{SavedList, SavedListError};
pub use figures::{Counts, Footprint};

use crate::machine::{Command, ConnId, Control, Machine, Micros};
use agreement::Agreed;
use client_places::ClientPlaces;
use decider::{Decider, module_settings};
use discovery::EndpointDiscovery;
use endpoint_table::EndpointTable;
use first_byte::ListTrust;
use flaxstand::api::{Class, Event, RequestId, VolumeId};
use flaxstand_overload::ConnectionRateLimiter;
use flaxstand_proto::CloseReason;
use plumbing::{Conn, Peer, Plumbing, Protocol, Stage, Timer};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use requests::Held;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use storms::Gate;
use tracing::{info, warn};
use upstream_pool::UpstreamPool;
use writeback::Back;

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

/// Wakes that the module may have asked for, most. The latest are forgotten first: it counts on the earliest.
const WAKES_MOST: usize = 256;
/// Answers leave this long before a stop has lasted long enough.
const STOP_MARGIN: Micros = Micros(50_000);

/// The initiator's core.
pub struct Core {
    config: Config,
    decider: Decider,
    /// Classes that the module was told of: the site's, and after them those of write-outs, if there are any.
    brain_classes: Vec<Class>,
    back: Option<Back>,
    agreed: Option<Agreed>,
    gate: Option<Gate>,
    arrivals: ConnectionRateLimiter,
    rng: Pcg64Mcg,
    plumbing: Plumbing,
    clients: usize,
    /// Clients that speak HTTP, in the order in which they give way to new ones.
    places: ClientPlaces,
    requests: BTreeMap<RequestId, Held>,
    next_request: u64,
    nodes: EndpointTable,
    upstream: UpstreamPool,
    /// Ids under which clients of the platform have requests here.
    open_ids: BTreeSet<String>,
    /// Names of classes, in the order of the module's.
    class_names: Vec<String>,
    volumes: BTreeSet<VolumeId>,
    discovery: EndpointDiscovery,
    list_trust: ListTrust,
    /// Events for the module that its own actions caused, or that came since it last decided.
    events: VecDeque<Event>,
    /// When the module asked to be woken: each of these comes, as on the simulator's wire. Guards against a wake that is
    /// lost where two are asked for: at the first the module counts on the second, and asks for none.
    wakes: BTreeSet<Micros>,
    /// Something was told to the module that it has not decided on.
    undecided: bool,
    decided_at: Option<Micros>,
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
        let settings = module_settings(&config);
        let gate = config.site.retry_throttle.map(|rules| {
            let classes = settings.classes.len() - config.site.classes.len();
            Gate::new(rules, classes, config.seed ^ config.epoch.rotate_left(17), now)
        });
        let brain_classes = settings.classes.clone();
        let decider = Decider::new(&config, settings, now);
        let discovery = EndpointDiscovery::new(&config.site.timeouts);
        let class_names = config.site.classes.iter().map(|c| c.name.clone()).collect();
        let mut core = Core {
            rng: Pcg64Mcg::seed_from_u64(config.seed.wrapping_add(config.epoch)),
            decider,
            brain_classes,
            back: None,
            agreed: None,
            gate,
            arrivals: ConnectionRateLimiter::new(config.bounds.connection_rate, now),
            discovery,
            list_trust: ListTrust::default(),
            config,
            plumbing: Plumbing::default(),
            clients: 0,
            places: ClientPlaces::default(),
            requests: BTreeMap::new(),
            next_request: 0,
            nodes: EndpointTable::default(),
            upstream: UpstreamPool::default(),
            open_ids: BTreeSet::new(),
            class_names,
            volumes: BTreeSet::new(),
            events: VecDeque::new(),
            wakes: BTreeSet::new(),
            undecided: true,
            decided_at: None,
            phase: Phase::Running,
            answer_by: None,
            counts: Counts::default(),
        };
        if let Some(saved) = saved {
            core.apply_saved_list(saved, now)?;
        }
        if core.on_platform() {
            core.plumbing.at(now, Timer::Sweep);
        }
        if !core.config.site.settings.polls_list {
            core.plumbing.at(now, Timer::DiscoveryCall);
        }
        Ok(core)
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            nodes_visited: self.nodes.visited() + self.upstream.visited(),
            connections_walked: self.plumbing.walked(),
            ..self.counts
        }
    }

    /// How much is held now.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            conns: self.plumbing.len(),
            requests: self.requests.len(),
            ids: self.open_ids.len(),
            nodes: self.nodes.len(),
            timers: self.plumbing.timers(),
            partial_bytes: self.plumbing.partial_bytes + self.plumbing.answer_bytes,
        }
    }

    /// Revision of the endpoint list that the discovery service sent last since the process started; none: it has sent
    /// none yet.
    pub fn list_revision(&self) -> Option<u64> {
        self.discovery.notified_revision()
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.requests.len()
    }

    /// Client connections now.
    pub fn clients(&self) -> usize {
        self.clients
    }

    fn on_platform(&self) -> bool {
        self.config.wire == Wire::Platform
    }

    /// Tells the module all that waits to be told, and does what it wants done at once.
    fn tell(&mut self, now: Micros) {
        let mut actions = Vec::new();
        // What the actions cause in turn is told at the next turn: the work of one turn is bounded.
        for event in std::mem::take(&mut self.events) {
            self.decider.handle(event, now, &mut actions);
            self.undecided = true;
        }
        self.perform(&mut actions, now);
    }

    /// The module looks at all that it was told.
    fn decide(&mut self, now: Micros) {
        self.undecided = false;
        self.decided_at = Some(now);
        let mut actions = Vec::new();
        self.decider.handle(Event::Evaluate, now, &mut actions);
        self.perform(&mut actions, now);
    }

    fn fire(&mut self, timer: Timer, now: Micros) {
        match timer {
            Timer::Deadline(request) => self.deadline(request, now),
            Timer::Dial(conn) => {
                if self.plumbing.get(conn).is_some_and(|c| c.stage != Stage::Open) {
                    self.hang_up(conn, CloseReason::Protocol, "no greeting in time", now);
                }
            }
            Timer::Quiet(conn) => self.quiet(conn, now),
            Timer::Begin(conn) => self.begin_ends(conn, now),
            Timer::Sweep => self.sweep(now),
            Timer::GraceEnds => self.stop_accepting(now),
            Timer::Idle(conn) => self.idle(conn, now),
            Timer::Probe(node, token) => self.probe_times_out(node, token, now),
            Timer::DiscoveryCall => self.connect_discovery(now),
            Timer::DiscoveryStalled => self.check_discovery_stalled(now),
            Timer::ListTrust => self.list_trust_due(),
            // Looked at in every turn.
            Timer::Agreement => {}
            Timer::StopEnds => self.stop_ends(now),
        }
    }

    fn stop(&mut self, now: Micros) {
        if self.phase == Phase::Running {
            let waits = &self.config.site.timeouts;
            self.plumbing.at(now.after(waits.shutdown_timeout), Timer::StopEnds);
            self.plumbing.at(now.after(waits.shutdown_grace), Timer::GraceEnds);
            info!(held = self.requests.len(), grace_ms = waits.shutdown_grace.ms(), "stopping");
            self.phase = Phase::Leaving;
            self.answer_by = Some(now.after(waits.shutdown_timeout.since(STOP_MARGIN)));
            if waits.shutdown_grace == Micros(0) {
                self.stop_accepting(now);
            }
        }
    }

    /// No new requests from now on; what is held is answered.
    fn stop_accepting(&mut self, now: Micros) {
        if self.phase == Phase::Leaving {
            self.phase = Phase::Stopping;
            self.plumbing.command(Command::StopListening);
            self.drain_buffer(now);
            self.part_with_clients(now);
        }
    }

    /// All that was held has been answered and read by its client. One that speaks HTTP has read when it closes in
    /// its turn: over what it still sends, a close from here would take its answer with it.
    fn stopped(&self) -> bool {
        let owed = |(_, c): (ConnId, &Conn)| {
            matches!(c.protocol, Protocol::HttpServer(_))
                || matches!(c.peer, Peer::Client(_)) && !c.outbox.is_empty()
        };
        self.requests.values().all(|r| r.owner.is_none())
            && !self.plumbing.iter().any(owed)
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
            // Until then it acts, and needs its lease.
            self.leave_agreement(now);
            let conns: Vec<ConnId> = self.plumbing.iter().map(|(conn, _)| conn).collect();
            conns.into_iter().for_each(|conn| self.hang_up(conn, CloseReason::Stopping, "stopping", now));
            // What was learnt of the nodes since the list last changed is kept for the next start.
            if self.nodes.listed() > 0 && !self.on_platform() {
                self.save_all_endpoints(now);
            }
            self.plumbing.command(Command::Exit);
            let (buffer, repeats) = (self.buffer_status(now), self.repeats_judged());
            info!(counts = ?self.counts(), ?buffer, ?repeats, "stopped");
        }
    }
}

impl Machine for Core {
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        if self.is_agreements(listener) { self.fellow_accepted(now) } else { self.client_accepted(now) }
    }

    fn connected(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.plumbing.get_mut(conn) else { return };
        if let Protocol::Frames(_) = c.protocol {
            c.stage = Stage::Greeting;
            return self.greet(conn);
        }
        c.stage = Stage::Open;
        match c.peer {
            Peer::Discovery => self.discovery_connected(conn, now),
            _ => self.link_stands(conn, now),
        }
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.lost(conn, cause, false, now);
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(c) = self.plumbing.get_mut(conn) else { return };
        let inbox = match &mut c.protocol {
            Protocol::Frames(inbox) => inbox,
            Protocol::HttpServer(_) => return self.http_received(conn, bytes, now),
            Protocol::HttpClient(_) => return self.link_received(conn, bytes, now),
            Protocol::DiscoveryPoll => return self.discovery_received(conn, bytes, now),
        };
        let mut inbox = std::mem::take(inbox);
        let fed = inbox.feed(bytes, |frame| self.frame(conn, frame, now));
        if let Some(c) = self.plumbing.get_mut(conn) {
            c.protocol = Protocol::Frames(inbox);
            if let Err(e) = fed {
                self.protocol_fault(conn, CloseReason::Protocol, &e.to_string(), now);
            }
        }
    }

    fn finished(&mut self, conn: ConnId, now: Micros) -> bool {
        self.link_ended(conn, now);
        self.discovery_ended(conn, now);
        self.client_finished(conn)
    }

    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.lost(conn, cause, false, now);
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.plumbing.get(conn).map_or(&[], |c| c.outbox.pending())
    }

    fn wrote(&mut self, conn: ConnId, count: usize, now: Micros) {
        self.plumbing.wrote(conn, count);
        if let Some(link) = self.link(conn) {
            (link.rested, link.begun) = (false, true);
        }
        self.client_read(conn, now);
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        match self.plumbing.get(conn).map(|c| (&c.peer, &c.protocol)) {
            Some((_, Protocol::HttpServer(http))) => http.wants_read(),
            Some((Peer::Client(client), _)) => !client.paused,
            Some(_) => true,
            None => false,
        }
    }

    fn wants_end(&self, conn: ConnId) -> bool {
        matches!(self.plumbing.get(conn).map(|c| &c.protocol), Some(Protocol::HttpServer(_)))
    }

    fn rested(&self, conn: ConnId) -> bool {
        matches!(self.plumbing.get(conn).map(|c| &c.protocol), Some(Protocol::HttpClient(link)) if link.rested)
    }

    fn stored(&mut self, well: bool, now: Micros) {
        self.batch_stored(well, now);
    }

    fn kept(&mut self, well: bool, now: Micros) {
        self.batch_kept(well, now);
    }

    fn save_failed(&mut self, now: Micros) {
        self.discovery.record_save_failure(now);
    }

    fn control(&mut self, control: Control, now: Micros) {
        match control {
            Control::Stop => self.stop(now),
            Control::Reload(reloaded) => {
                info!(?reloaded, "new bounds, and where the list service is");
                self.config.bounds = reloaded.bounds;
                if self.config.discovery_address != reloaded.list {
                    self.config.discovery_address = reloaded.list;
                    self.discovery_moved(now);
                }
            }
            // Only where the driver reads it: whoever started the process is gone.
            Control::InputEnded => self.stop(now),
            Control::Line(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        while let Some(timer) = self.plumbing.due(now) {
            self.fire(timer, now);
        }
        let agreement = self.settle_agreement(now);
        self.look_at_weather(now);
        self.settle_buffer(now);
        self.tell(now);
        self.watch_list_trust(now);
        if !self.on_platform() {
            self.save_endpoint_changes(now);
        }
        let woken = self.wakes.first().is_some_and(|at| *at <= now);
        // Many requests share one look at all that is held: decisions come at most once a tick.
        let tick = Micros::from_ms(self.config.site.settings.tick);
        let next = self.decided_at.map_or(now, |at| at.after(tick));
        if (self.undecided || woken) && now >= next {
            self.wakes = self.wakes.split_off(&Micros(now.0 + 1));
            self.decide(now);
        }
        let buffer = self.settle_buffer(now);
        if self.phase == Phase::Stopping && self.stopped() {
            self.exit(now);
        }
        let tick_due = self.decided_at.map_or(now, |at| at.after(tick)).max(Micros(now.0 + 1));
        let undecided = (self.undecided || !self.events.is_empty()).then_some(tick_due);
        let woken = self.wakes.first().map(|at| (*at).max(tick_due));
        let timer = self.plumbing.next_due();
        [undecided, woken, timer, buffer, agreement].into_iter().flatten().min()
    }

    fn take_commands(&mut self) -> Vec<Command> {
        self.plumbing.take_commands()
    }
}
