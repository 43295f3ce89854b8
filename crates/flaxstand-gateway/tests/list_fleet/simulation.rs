//! Hosts, clients, targets and the list service on one virtual clock.

use super::audit::{Audit, ServedShare, Violation};
use super::day::{Day, START, Step};
use super::events::{Event, Events, Input};
use super::hosts::Host;
use super::list_service::{ListService, TargetId};
use super::network::ListNetwork;
use super::random::Random;
use super::targets::Targets;
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::TargetState;

/// The interval within which a host must poll the list.
pub const POLL_WITHIN: Micros = Micros(10_000_000);
/// One-way latency of a message, and the time to establish a connection.
pub const LATENCY: Micros = Micros(200);
/// Additional time after the end of a day for requests still in flight.
const FINAL_RESPONSES: Micros = Micros(2_000_000);

/// The result of a day.
#[derive(Clone, Debug)]
pub struct DayResult {
    pub violations: Vec<Violation>,
    /// Number of requests without a final response in time.
    pub unanswered: usize,
    pub share: ServedShare,
    /// Number of requests sent to targets.
    pub requests_sent: usize,
    /// Maximum over all hosts of the list bytes sent to a host.
    pub list_bytes: u64,
    /// Maximum over all hosts of the connections opened to the list service.
    pub list_connections: usize,
}

impl DayResult {
    /// Returns whether every request was sent and answered as required.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unanswered == 0
    }
}

/// The state of a day being played.
pub struct Simulation {
    pub(super) now: Micros,
    pub(super) day: Day,
    pub(super) random: Random,
    pub(super) events: Events,
    pub(super) service: ListService,
    pub(super) network: ListNetwork,
    pub(super) targets: Targets,
    pub(super) hosts: Vec<Host>,
    pub audit: Audit,
}

impl Simulation {
    pub fn new(day: Day) -> Self {
        let service = ListService::new(day.speed, day.style, day.targets);
        let mut simulation = Simulation {
            now: START,
            random: Random::new(day.seed),
            events: Events::default(),
            targets: Targets::new(&service, day.targets),
            service,
            network: ListNetwork::default(),
            hosts: (0..day.hosts).map(Host::new).collect(),
            audit: Audit::new(day.hosts, day.grace, POLL_WITHIN),
            day,
        };
        for host in 0..simulation.hosts.len() {
            simulation.start_host(host, 0);
        }
        for (at, step) in std::mem::take(&mut simulation.day.steps) {
            simulation.events.schedule(START.after(at), Event::Step(step));
        }
        simulation.events.schedule(START, Event::NextRequest);
        simulation
    }

    /// Plays a day to its end and returns the result.
    pub fn play(day: Day) -> DayResult {
        let mut simulation = Simulation::new(day);
        simulation.run();
        simulation.result()
    }

    /// Plays the day to its end, plus some time for the last responses.
    pub fn run(&mut self) {
        let end = START.after(self.day.length).after(FINAL_RESPONSES);
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            for reply in self.service.due(self.now) {
                self.start_response(reply);
            }
            while let Some(event) = self.events.due(self.now) {
                self.handle(event);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].next_turn(self.now).is_some_and(|at| at <= self.now) {
                    self.turn(host);
                }
            }
        }
    }

    pub fn result(&self) -> DayResult {
        DayResult {
            violations: self.audit.violations().to_vec(),
            unanswered: self.audit.unanswered(self.now),
            share: self.audit.served_share(START, START.after(self.day.length)),
            requests_sent: self.audit.requests_sent(),
            list_bytes: self.hosts.iter().map(|host| host.list_bytes).max().unwrap_or_default(),
            list_connections: self.hosts.iter().map(|host| host.list_connections).max().unwrap_or_default(),
        }
    }

    fn next_time(&self) -> Option<Micros> {
        let turns = self.hosts.iter().filter_map(|host| host.next_turn(self.now)).min();
        [self.events.next_time(), self.service.next_due(), turns].into_iter().flatten().min()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(step) => self.apply(step),
            Event::Input { host, incarnation, input } => self.hosts[host].take_input(incarnation, input),
            Event::DiscoveryCall(conn, call) => self.call_arrives(conn, call),
            Event::SendSegment(conn) => self.send_segment(conn),
            Event::CloseOldConnections(moves) => self.close_old_connections(moves),
            Event::RequestSent { host, incarnation, target } => {
                if self.hosts[host].incarnation == incarnation {
                    self.audit.request_sent(host, target, self.now);
                }
            }
            Event::TargetResponds(conn) => self.target_responds(conn),
            Event::TargetExits(target) => self.target_exits(target),
            Event::NextRequest => self.next_request(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Drain(targets) => self.change_targets(&targets, TargetState::Draining),
            Step::Remove(targets) => self.remove(&targets),
            Step::Relist(targets) => self.relist(&targets),
            Step::Replace(targets) => self.replace(&targets),
            Step::BeginOutage(outage) => self.begin_outage(outage),
            Step::EndOutage => self.end_outage(),
            Step::RejectCalls(rejects) => self.service.reject_all(rejects, self.now),
            Step::SilenceWatches => self.silence_watches(),
            Step::ResetWatches => self.reset_watches(),
            Step::Reload => self.move_list_service(),
            Step::Kill(host) => self.kill_host(host),
            Step::Start { host, revisions_behind } => self.start_host(host, revisions_behind),
        }
    }

    /// Changes the state of targets in the list service.
    pub(super) fn change_targets(&mut self, targets: &[TargetId], state: TargetState) {
        for target in targets {
            self.service.change_one(*target, state, self.now);
            match state {
                TargetState::Up => self.audit.target_in_service(*target),
                _ => self.audit.target_withdrawn(*target, self.service.revision(), self.now),
            }
        }
        self.service.answer_watches(self.now);
    }

    /// Schedules an input for an incarnation of a host.
    pub(super) fn schedule_input(&mut self, host: usize, incarnation: u32, at: Micros, input: Input) {
        self.events.schedule(at, Event::Input { host, incarnation, input });
    }
}
