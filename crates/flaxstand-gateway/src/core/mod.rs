//! The initiator's core: connections, requests, attempts, timers and the decision module.
//!
//! The core does no I/O and reads no clock; the driver reports events through [`Machine`]. The decision
//! module decides how requests are handled. The core delivers events to it and performs its actions.
//!
//! [`Core`] sequences the steps of a turn. Each part of the state is encapsulated in one module:
//!
//! | module | state |
//! | --- | --- |
//! | [`connection_table`] | connections, their input and output buffers, commands to the driver |
//! | [`timers`] | pending timers |
//! | [`client_registry`], [`connection_slots`] | number of clients; which client is evicted for a new one |
//! | [`unread_responses`] | clients that have not read a response |
//! | [`request_table`], [`pending_request`] | pending requests, their attempts, client request ids |
//! | [`executed_ids`] | ids of client requests that may have been executed |
//! | [`upstream_pool`] | connections to nodes, attempts in flight on them, idle connections |
//! | [`pooled_connection`], [`http_connection`] | an HTTP/1.1 connection to a node, or from a client |
//! | [`arrival_order`] | requests held until all that arrived before them are known |
//! | [`admission`] | the retry throttle |
//! | [`write_back`] | write-back buffer and its write-outs |
//! | [`evaluation_schedule`] | time of the module's next evaluation |
//! | [`shutdown`] | phase of a shutdown |
//! | [`memory_use`], [`resource_report`] | memory by what it holds; the log of it and of limits reached |
//! | [`endpoint_table`], [`discovery`] | endpoint list; calls to the discovery service, cached list |
//! | [`agreement`] | agreement of the initiators on rules |
//!
//! Further modules implement steps as methods of [`Core`]:
//!
//! - [`dispatch`]: dispatches received frames by type of peer
//! - [`connection_closing`]: closes connections and cleans up dependent state
//! - [`clients`], [`http_server`]: accept clients and their requests, within limits
//! - [`requests`]: request life cycle, from arrival to the final response
//! - [`attempts`]: attempt life cycle
//! - [`buffered_requests`]: requests that pass through the write-back buffer
//! - [`send_permit`]: checks whether the first byte of an attempt may be sent
//! - [`node_connections`], [`pooled_attempts`]: attempts on multiplexed frame connections and on pooled
//!   HTTP connections
//! - [`endpoint_events`]: applies changes of the endpoint list

mod admission;
mod agreement;
mod arrival_order;
mod attempts;
mod backoff;
mod baseline_policy;
mod buffered_requests;
mod client_registry;
mod clients;
mod config;
mod connection_closing;
mod connection_slots;
mod connection_table;
mod decision_policy;
mod discovery;
mod dispatch;
mod endpoint_events;
mod endpoint_table;
mod evaluation_schedule;
mod executed_ids;
mod http_connection;
mod http_server;
mod memory_use;
mod metrics;
mod node_connections;
mod peer_fault;
mod pending_request;
mod pooled_attempts;
mod pooled_connection;
mod request_table;
mod requests;
mod resource_bounds;
mod resource_report;
mod send_permit;
mod shutdown;
mod timers;
mod unread_responses;
mod upstream_pool;
mod write_back;
mod write_back_status;
mod write_out_classes;

pub use backoff::Backoff;
pub use config::{
    BackoffBounds, Bounds, ClassInfo, Config, ConsensusConfig, ConsensusPeer, Policy, Site, Timeouts, Wire,
    WriteBack,
};
pub use discovery::{SavedList, SavedListError};
pub use memory_use::MemoryUse;
pub use metrics::{Counts, Footprint};
pub use resource_bounds::{MemoryBounds, ProcessLimits};
pub use resource_report::LimitCounts;

use crate::machine::{ArrivalTime, Command, ConnId, Control, Machine, Micros};
use admission::AdmissionGate;
use agreement::Agreement;
use arrival_order::ArrivalOrder;
use client_registry::ClientRegistry;
use connection_table::{ConnectionTable, Peer, Protocol, Stage};
use decision_policy::{DecisionPolicy, module_settings};
use discovery::EndpointDiscovery;
use endpoint_table::EndpointTable;
use evaluation_schedule::EvaluationSchedule;
use flaxstand::api::{Class, Event};
use flaxstand_overload::{ConnectionRateLimiter, RetryDetectionCounts};
use flaxstand_proto::CloseReason;
use peer_fault::PeerFault;
use pending_request::Owner;
use pooled_connection::PooledExchange;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request_table::RequestTable;
use resource_report::ResourceReport;
use send_permit::EndpointTrust;
use shutdown::Shutdown;
use std::collections::VecDeque;
use timers::{Timer, TimerQueue};
use tracing::info;
use upstream_pool::UpstreamPool;
use write_back::WriteBackCoordinator;

/// The initiator's core.
pub struct Core {
    config: Config,
    memory_bounds: MemoryBounds,
    policy: DecisionPolicy,
    /// Classes of the module: those of the site, followed by those for write-outs and retries, if any.
    module_classes: Vec<Class>,
    write_back: Option<WriteBackCoordinator>,
    agreement: Option<Agreement>,
    gate: Option<AdmissionGate>,
    connection_rate_limiter: ConnectionRateLimiter,
    rng: Pcg64Mcg,
    connections: ConnectionTable,
    timers: TimerQueue,
    clients: ClientRegistry,
    requests: RequestTable,
    arrival_order: ArrivalOrder,
    nodes: EndpointTable,
    upstream: UpstreamPool,
    /// Names of the site's classes, in the module's order.
    class_names: Vec<String>,
    discovery: EndpointDiscovery,
    endpoint_trust: EndpointTrust,
    /// Events not yet delivered to the module.
    events: VecDeque<Event>,
    evaluation: EvaluationSchedule,
    shutdown: Shutdown,
    counts: Counts,
    limit_counts: LimitCounts,
    resource_report: ResourceReport,
}

impl Core {
    /// Creates a core at time `now`, with the endpoint list that an earlier run of the process saved, if any.
    ///
    /// # Errors
    /// The saved list cannot be decoded. The caller may retry with `None`.
    pub fn new(config: Config, saved: Option<&[u8]>, now: Micros) -> Result<Self, SavedListError> {
        let settings = module_settings(&config);
        let gate = config.site.retry_throttle.map(|rules| {
            let classes = settings.classes.len() - config.site.classes.len();
            AdmissionGate::new(rules, classes, config.seed ^ config.epoch.rotate_left(17), now)
        });
        let module_classes = settings.classes.clone();
        let policy = DecisionPolicy::new(&config, settings, now);
        let discovery = EndpointDiscovery::new(&config.site.timeouts);
        let class_names = config.site.classes.iter().map(|c| c.name.clone()).collect();
        let mut core = Core {
            rng: Pcg64Mcg::seed_from_u64(config.seed.wrapping_add(config.epoch)),
            policy,
            module_classes,
            write_back: None,
            agreement: None,
            gate,
            connection_rate_limiter: ConnectionRateLimiter::new(config.bounds.connection_rate, now),
            discovery,
            endpoint_trust: EndpointTrust::default(),
            config,
            memory_bounds: MemoryBounds::default(),
            connections: ConnectionTable::default(),
            timers: TimerQueue::default(),
            clients: ClientRegistry::default(),
            requests: RequestTable::default(),
            arrival_order: ArrivalOrder::default(),
            nodes: EndpointTable::default(),
            upstream: UpstreamPool::default(),
            class_names,
            events: VecDeque::new(),
            evaluation: EvaluationSchedule::new(),
            shutdown: Shutdown::default(),
            counts: Counts::default(),
            limit_counts: LimitCounts::default(),
            resource_report: ResourceReport::default(),
        };
        core.set_memory_bounds(MemoryBounds::default());
        if let Some(saved) = saved {
            core.apply_saved_list(saved, now)?;
        }
        if core.on_platform() {
            core.timers.set(now, Timer::Sweep);
        }
        if !core.config.site.settings.polls_list {
            core.timers.set(now, Timer::DiscoveryCall);
        }
        Ok(core)
    }

    /// Sets the bounds of the memory that peers can fill.
    pub fn set_memory_bounds(&mut self, memory_bounds: MemoryBounds) {
        self.connections.set_free_bytes(memory_bounds.free_bytes_per_connection);
        self.requests.set_max_executed_ids(memory_bounds.max_executed_ids);
        self.memory_bounds = memory_bounds;
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            nodes_visited: self.nodes.visited() + self.upstream.visited(),
            connections_walked: self.connections.visited(),
            ..self.counts
        }
    }

    /// Returns how often each limit was reached since the start.
    pub fn limit_counts(&self) -> LimitCounts {
        self.limit_counts
    }

    /// Returns the sizes of the core's tables and buffers.
    pub fn footprint(&self) -> Footprint {
        let memory = self.memory_use();
        Footprint {
            connections: self.connections.len(),
            requests: self.requests.len(),
            client_request_ids: self.requests.client_ids(),
            executed_ids: self.requests.executed_ids(),
            volumes: self.policy.tracked_volumes(),
            nodes: self.nodes.len(),
            timers: self.timers.len(),
            partial_bytes: memory.incomplete_requests + memory.incomplete_responses,
            memory,
        }
    }

    /// Returns the memory that the data of peers takes.
    fn memory_use(&self) -> MemoryUse {
        MemoryUse { accepted_requests: self.requests.memory_bytes(), ..self.connections.memory() }
    }

    /// Returns the last revision of the endpoint list received since the process started, if any.
    pub fn list_revision(&self) -> Option<u64> {
        self.discovery.notified_revision()
    }

    /// Returns the number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of client connections.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Returns how many attempts clients marked as retries, and how many were detected as such, if the retry
    /// throttle is configured.
    pub fn attempt_counts(&self) -> Option<RetryDetectionCounts> {
        self.gate.as_ref().map(AdmissionGate::attempt_counts)
    }

    fn on_platform(&self) -> bool {
        self.config.wire == Wire::Platform
    }

    /// Delivers all queued events to the module and performs the resulting actions.
    fn deliver_events(&mut self, now: Micros) {
        let mut actions = Vec::new();
        // Events caused by the actions are delivered in the next turn, so that a turn always ends.
        for event in std::mem::take(&mut self.events) {
            self.policy.handle(event, now, &mut actions);
            self.evaluation.request();
        }
        self.perform_actions(&mut actions, now);
    }

    /// Lets the module evaluate all pending requests and performs the resulting actions.
    fn evaluate(&mut self, now: Micros) {
        self.evaluation.started(now);
        let mut actions = Vec::new();
        self.policy.handle(Event::Evaluate, now, &mut actions);
        self.perform_actions(&mut actions, now);
    }

    /// Handles a timer that is due.
    fn handle_timer(&mut self, timer: Timer, now: Micros) {
        match timer {
            Timer::Deadline(request) => self.deadline_reached(request, now),
            Timer::ConnectTimeout(conn) => {
                if self.connections.get(conn).is_some_and(|c| c.stage != Stage::Open) {
                    self.disconnect(conn, CloseReason::Protocol, "no greeting in time", now);
                }
            }
            Timer::NextRequest(conn) => self.read_next_request(conn, now),
            Timer::StallCheck(conn) => self.check_stalled(conn, now),
            Timer::SendWindowEnds(conn) => self.send_window_ended(conn, now),
            Timer::Sweep => self.sweep(now),
            Timer::ShutdownGraceEnds => self.stop_accepting(now),
            Timer::IdleTimeout(conn) => self.check_idle(conn, now),
            Timer::ProbeTimeout(probe) => self.probe_timed_out(probe, now),
            Timer::DiscoveryCall => self.connect_discovery(now),
            Timer::DiscoveryStalled => self.check_discovery_stalled(now),
            Timer::EndpointsExpire => self.endpoint_trust_due(),
            // `step_agreement` runs in every turn.
            Timer::Agreement => {}
            Timer::ShutdownTimeout => self.shutdown_timed_out(now),
        }
    }
}

impl Machine for Core {
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>> {
        if self.is_agreement_listener(listener) {
            self.accept_agreement_peer(now)
        } else {
            self.accept_client(now)
        }
    }

    fn connected(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        if let Protocol::Frames(_) = c.protocol {
            c.stage = Stage::Greeting;
            return self.send_hello(conn);
        }
        c.stage = Stage::Open;
        match c.peer {
            Peer::Discovery => self.discovery_connected(conn, now),
            _ => self.pooled_connected(conn, now),
        }
    }

    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.connection_closed(conn, cause, now);
    }

    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        let inbox = match &mut c.protocol {
            Protocol::Frames(inbox) => inbox,
            Protocol::HttpServer(_) => return self.http_received(conn, bytes, now),
            Protocol::HttpClient(_) => return self.pooled_received(conn, bytes, now),
            Protocol::DiscoveryPoll => return self.discovery_received(conn, bytes, now),
        };
        let mut inbox = std::mem::take(inbox);
        let fed = inbox.feed(bytes, |frame| self.frame_received(conn, frame, now));
        if let Some(c) = self.connections.get_mut(conn) {
            c.protocol = Protocol::Frames(inbox);
            if let Err(e) = fed {
                self.close_for_fault(conn, &PeerFault::protocol(e.to_string()), now);
            }
        }
    }

    fn received_with_time(&mut self, conn: ConnId, bytes: &[u8], arrived_at: ArrivalTime, now: Micros) {
        if let Some(Peer::Client(client)) = self.connections.get_mut(conn).map(|c| &mut c.peer) {
            client.arrived_at = Some(arrived_at);
        }
        self.received(conn, bytes, now);
    }

    fn wants_arrival_times(&self) -> bool {
        self.has_ordered_class()
    }

    fn input_delivered(&mut self, now: Micros) {
        self.submit_arrived(now);
    }

    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool {
        self.pooled_finished(conn, now);
        self.discovery_ended(conn, now);
        self.client_finished(conn)
    }

    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.connection_closed(conn, cause, now);
    }

    fn outgoing(&self, conn: ConnId) -> &[u8] {
        self.connections.get(conn).map_or(&[], |c| c.outbox.pending())
    }

    fn written(&mut self, conn: ConnId, count: usize, now: Micros) {
        self.connections.record_written(conn, count);
        if let Some(pooled) = self.pooled_connection(conn) {
            pooled.record_sent();
        }
        self.record_output_progress(conn, now);
        self.resume_client(conn, now);
    }

    fn wants_read(&self, conn: ConnId) -> bool {
        match self.connections.get(conn).map(|c| (&c.peer, &c.protocol)) {
            Some((Peer::Client(client), Protocol::HttpServer(http))) => http.wants_read(client.is_busy()),
            Some((Peer::Client(client), _)) => !client.is_paused,
            Some(_) => true,
            None => false,
        }
    }

    fn wants_peer_end(&self, conn: ConnId) -> bool {
        matches!(self.connections.get(conn).map(|c| &c.protocol), Some(Protocol::HttpServer(_)))
    }

    fn is_idle(&self, conn: ConnId) -> bool {
        match self.connections.get(conn).map(|c| &c.protocol) {
            Some(Protocol::HttpClient(pooled)) => pooled.is_reused_unwritten(),
            _ => false,
        }
    }

    fn begins_for(&self, conn: ConnId) -> Option<ConnId> {
        let Protocol::HttpClient(pooled) = &self.connections.get(conn)?.protocol else { return None };
        let Some(PooledExchange::Attempt(attempt)) = pooled.exchange().filter(|_| !pooled.is_sending())
        else {
            return None;
        };
        match self.requests.get(attempt.request)?.owner? {
            Owner::Client { conn, .. } => Some(conn),
            Owner::Buffer(_) => None,
        }
    }

    fn write_back_stored(&mut self, is_stored: bool, now: Micros) {
        if let Some(write_back) = &mut self.write_back {
            write_back.stored(is_stored, now);
        }
    }

    fn consensus_stored(&mut self, is_stored: bool, now: Micros) {
        self.agreement_batch_stored(is_stored, now);
    }

    fn save_failed(&mut self, now: Micros) {
        self.discovery.record_save_failure(now);
    }

    fn control(&mut self, control: Control, now: Micros) {
        match control {
            Control::Stop => self.stop(now),
            Control::Reload(reloaded) => {
                info!(?reloaded, "settings reloaded: new bounds and discovery address");
                self.config.bounds = reloaded.bounds;
                if let Some(memory_bounds) = reloaded.memory_bounds {
                    self.set_memory_bounds(memory_bounds);
                }
                if self.config.discovery_address != reloaded.list {
                    self.config.discovery_address = reloaded.list;
                    self.discovery_moved(now);
                }
            }
            // Reported only if the driver reads standard input: the parent process has exited.
            Control::InputEnded => self.stop(now),
            Control::Line(_) => {}
        }
    }

    fn settle(&mut self, now: Micros) -> Option<Micros> {
        while let Some(timer) = self.timers.take_due(now) {
            self.handle_timer(timer, now);
        }
        let agreement = self.step_agreement(now);
        if let Some(gate) = &mut self.gate {
            gate.log_condition_changes(self.config.site.plans.len() as u16, now);
        }
        self.settle_buffer(now);
        self.deliver_events(now);
        self.watch_endpoint_trust(now);
        if !self.on_platform() {
            self.save_endpoint_changes(now);
        }
        let tick = Micros::from_ms(self.config.site.settings.tick);
        if self.evaluation.take_due(tick, now) {
            self.evaluate(now);
        }
        let buffer = self.settle_buffer(now);
        self.exit_if_done(now);
        let evaluation = self.evaluation.next_due(!self.events.is_empty(), tick, now);
        let timer = self.timers.next_due();
        let arrivals = (!self.arrival_order.is_empty()).then_some(now);
        [evaluation, timer, buffer, agreement, arrivals].into_iter().flatten().min()
    }

    fn take_commands(&mut self) -> Vec<Command> {
        self.connections.take_commands()
    }
}
