//! Hosts, clients, targets and the list service on one virtual clock.

use super::audit::{Audit, Break, Share};
use super::day::{Day, START, Step};
use super::draw::Draw;
use super::events::{Event, Events, Input};
use super::hosts::Host;
use super::list_service::{ListService, TargetId};
use super::network::ListNetwork;
use super::targets::Targets;
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::TargetState;

/// A host must have asked for the list within this.
pub const ASK_WITHIN: Micros = Micros(10_000_000);
/// Time of a message, or of a connection's coming up, on the way.
pub const LATENCY: Micros = Micros(200);
/// Requests that are asked shortly before the end are waited for.
const LAST_ANSWERS: Micros = Micros(2_000_000);

/// What came of a day.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    /// Requests without a final answer.
    pub unanswered: usize,
    pub share: Share,
    /// Requests that were sent to targets.
    pub sends: usize,
    /// Bytes of lists that the host with the most of them had.
    pub list_bytes: u64,
    /// Connections to the list service of the host with the most of them.
    pub list_connections: usize,
}

impl Verdict {
    /// No rule is broken.
    pub fn holds(&self) -> bool {
        self.breaks.is_empty() && self.unanswered == 0
    }
}

/// A day that is played.
pub struct Simulation {
    pub(super) now: Micros,
    pub(super) day: Day,
    pub(super) draw: Draw,
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
            draw: Draw::new(day.seed),
            events: Events::default(),
            targets: Targets::new(&service, day.targets),
            service,
            network: ListNetwork::default(),
            hosts: (0..day.hosts).map(Host::new).collect(),
            audit: Audit::new(day.hosts, day.grace, ASK_WITHIN),
            day,
        };
        for host in 0..simulation.hosts.len() {
            simulation.start_host(host, 0);
        }
        for (at, step) in std::mem::take(&mut simulation.day.steps) {
            simulation.events.at(START.after(at), Event::Step(step));
        }
        simulation.events.at(START, Event::NextClient);
        simulation
    }

    /// Plays a day to its end.
    pub fn play(day: Day) -> Verdict {
        let mut simulation = Simulation::new(day);
        simulation.run();
        simulation.verdict()
    }

    /// Plays it to its end, with some time for the last answers.
    pub fn run(&mut self) {
        let end = START.after(self.day.length).after(LAST_ANSWERS);
        while let Some(at) = self.next_moment().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            for reply in self.service.due(self.now) {
                self.list_replies(reply);
            }
            while let Some(event) = self.events.due(self.now) {
                self.happens(event);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].next_turn(self.now).is_some_and(|at| at <= self.now) {
                    self.turn(host);
                }
            }
        }
    }

    pub fn verdict(&self) -> Verdict {
        Verdict {
            breaks: self.audit.breaks().to_vec(),
            unanswered: self.audit.unanswered(self.now),
            share: self.audit.share(START, START.after(self.day.length)),
            sends: self.audit.sends(),
            list_bytes: self.hosts.iter().map(|host| host.list_bytes).max().unwrap_or_default(),
            list_connections: self.hosts.iter().map(|host| host.list_connections).max().unwrap_or_default(),
        }
    }

    fn next_moment(&self) -> Option<Micros> {
        let turns = self.hosts.iter().filter_map(|host| host.next_turn(self.now)).min();
        [self.events.next_moment(), self.service.next_due(), turns].into_iter().flatten().min()
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Step(step) => self.step(step),
            Event::Input { host, life, input } => self.hosts[host].take_input(life, input),
            Event::DiscoveryCall(link, call) => self.list_called(link, call),
            Event::Piece(link) => self.next_piece(link),
            Event::CloseOldLinks(address) => self.close_old_links(address),
            Event::Send { host, life, target } => {
                if self.hosts[host].life == life {
                    self.audit.sent(host, target, self.now);
                }
            }
            Event::TargetAnswers(link) => self.target_answers(link),
            Event::TargetEnds(target) => self.target_ends(target),
            Event::NextClient => self.next_client(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Drain(targets) => self.change(&targets, TargetState::Draining),
            Step::Remove(targets) => self.remove(&targets),
            Step::Return(targets) => self.list_again(&targets),
            Step::Replace(targets) => self.replace(&targets),
            Step::OutageBegins(outage) => self.outage_begins(outage),
            Step::OutageEnds => self.outage_ends(),
            Step::TurnAway(turns_away) => self.service.turn_all_away(turns_away, self.now),
            Step::WatchesFallSilent => self.watches_fall_silent(),
            Step::WatchesReset => self.watches_reset(),
            Step::Reload => self.reload(),
            Step::Kill(host) => self.kill_host(host),
            Step::Start { host, revisions_behind } => self.start_host(host, revisions_behind),
        }
    }

    /// Targets get another state, and the list service has it at once.
    pub(super) fn change(&mut self, targets: &[TargetId], state: TargetState) {
        for target in targets {
            self.service.change_one(*target, state, self.now);
            match state {
                TargetState::Up => self.audit.target_opens(*target),
                _ => self.audit.target_closes(*target, self.service.revision(), self.now),
            }
        }
        self.service.tell_watches(self.now);
    }

    /// Something reaches a life of a host at a later moment.
    pub(super) fn reaches(&mut self, host: usize, life: u32, at: Micros, input: Input) {
        self.events.at(at, Event::Input { host, life, input });
    }
}
