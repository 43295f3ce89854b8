//! Targets: who listens at an address, what is open there, and when it answers.

use super::events::{Event, HostConn, Input};
use super::list_service::{ListService, TargetId};
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::{TargetState, field};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Least and longest time in which a target answers, ms.
const ANSWERS_IN: (f64, f64) = (2.0, 15.0);
/// Longest time in which a late connection comes up, ms.
const LATE_MOST: f64 = 1000.0;
/// The process of a removed target goes on for so long at most, ms.
const LINGERS_MOST: f64 = 10_000.0;

/// The targets' processes.
pub struct Targets {
    /// Who listens where.
    listening: BTreeMap<String, TargetId>,
    open: BTreeMap<HostConn, TargetId>,
    /// Which target holds a shard now.
    by_shard: Vec<TargetId>,
    answer: Rc<[u8]>,
}

impl Targets {
    pub fn new(service: &ListService, count: usize) -> Self {
        let ids: Vec<TargetId> = (0..count).map(TargetId).collect();
        Targets {
            listening: ids.iter().map(|id| (service.target(*id).address.clone(), *id)).collect(),
            open: BTreeMap::new(),
            by_shard: ids,
            answer: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".as_slice().into(),
        }
    }

    pub fn holds(&self, link: HostConn) -> bool {
        self.open.contains_key(&link)
    }

    pub fn close(&mut self, link: HostConn) {
        self.open.remove(&link);
    }

    pub fn shards(&self) -> usize {
        self.by_shard.len()
    }

    pub fn of_shard(&self, shard: usize) -> TargetId {
        self.by_shard[shard]
    }

    /// A process of a host is gone with all its connections.
    pub fn close_all_of(&mut self, host: usize) {
        self.open.retain(|link, _| link.host != host);
    }
}

impl Simulation {
    /// A host calls a target.
    pub(super) fn dial_target(&mut self, link: HostConn, address: &str, leaves: Micros) {
        let Some(target) = self.targets.listening.get(address).copied() else {
            let input = Input::ConnectFailed(link.conn, "refused");
            return self.reaches(link.host, link.life, leaves.after(LATENCY), input);
        };
        self.targets.open.insert(link, target);
        let late = self.draw.chance(self.day.late_connections);
        let takes = if late { self.draw.millis(1.0, LATE_MOST) } else { LATENCY };
        self.reaches(link.host, link.life, leaves.after(takes), Input::Connected(link.conn));
    }

    /// A host wrote to a target.
    pub(super) fn target_hears(&mut self, link: HostConn, text: &[u8], leaves: Micros) {
        let Some(target) = self.targets.open.get(&link).copied() else { return };
        let text = String::from_utf8_lossy(text);
        if text.contains(field::ID) {
            self.events.at(leaves, Event::Send { host: link.host, life: link.life, target });
        }
        let takes = self.draw.millis(ANSWERS_IN.0, ANSWERS_IN.1);
        self.events.at(leaves.after(takes), Event::TargetAnswers(link));
    }

    pub(super) fn target_answers(&mut self, link: HostConn) {
        if self.targets.holds(link) {
            let answer = self.targets.answer.clone();
            let whole = 0..answer.len();
            let input = Input::Bytes(link.conn, answer, whole);
            self.reaches(link.host, link.life, self.now.after(LATENCY), input);
        }
    }

    /// Targets are removed; their processes go on for some time.
    pub(super) fn remove(&mut self, targets: &[TargetId]) {
        self.change(targets, TargetState::Removed);
        for target in targets {
            let lingers = self.draw.millis(0.0, LINGERS_MOST);
            self.events.at(self.now.after(lingers), Event::TargetEnds(*target));
        }
    }

    /// Removed targets start anew at their addresses.
    pub(super) fn list_again(&mut self, targets: &[TargetId]) {
        for target in targets {
            self.process_ends(*target);
            self.process_starts(*target);
        }
        self.change(targets, TargetState::Up);
    }

    /// New targets take the places of removed ones.
    pub(super) fn replace(&mut self, targets: &[TargetId]) {
        let mut new = Vec::new();
        for target in targets {
            self.process_ends(*target);
            let old = self.service.target(*target);
            let (endpoint, shard) = (old.address.clone(), old.shard);
            let target = self.service.add_target(endpoint, shard);
            self.process_starts(target);
            new.push(target);
        }
        self.change(&new, TargetState::Up);
    }

    /// The process of a removed target ends, unless the target is back by now.
    pub(super) fn target_ends(&mut self, target: TargetId) {
        if self.service.target(target).state == TargetState::Removed {
            self.process_ends(target);
        }
    }

    fn process_starts(&mut self, target: TargetId) {
        let told = self.service.target(target);
        self.targets.by_shard[told.shard as usize] = target;
        self.targets.listening.insert(told.address.clone(), target);
    }

    fn process_ends(&mut self, target: TargetId) {
        self.targets.listening.retain(|_, listening| *listening != target);
        let open = self.targets.open.iter().filter(|(_, to)| **to == target);
        let links: Vec<HostConn> = open.map(|(link, _)| *link).collect();
        for link in links {
            self.targets.close(link);
            let input = Input::Closed(link.conn, "reset");
            self.reaches(link.host, link.life, self.now.after(LATENCY), input);
        }
    }
}
