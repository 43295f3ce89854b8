//! Targets: listening addresses, open connections and responses.

use super::events::{Event, HostConn, Input};
use super::list_service::{ListService, TargetId};
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::{TargetState, field};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Shortest and longest response time of a target in milliseconds.
const RESPONSE_TIME_RANGE: (f64, f64) = (2.0, 15.0);
/// Longest time to establish a slow connection, in milliseconds.
const MAX_CONNECT_MS: f64 = 1000.0;
/// Longest time that the process of a removed target keeps running, in milliseconds.
const MAX_EXIT_DELAY_MS: f64 = 10_000.0;

/// The targets' processes.
pub struct Targets {
    /// The target that listens at each address.
    listening: BTreeMap<String, TargetId>,
    connections: BTreeMap<HostConn, TargetId>,
    /// The target that currently holds each shard.
    by_shard: Vec<TargetId>,
    response: Rc<[u8]>,
}

impl Targets {
    pub fn new(service: &ListService, count: usize) -> Self {
        let ids: Vec<TargetId> = (0..count).map(TargetId).collect();
        Targets {
            listening: ids.iter().map(|id| (service.target(*id).address.clone(), *id)).collect(),
            connections: BTreeMap::new(),
            by_shard: ids,
            response: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".as_slice().into(),
        }
    }

    pub fn contains(&self, conn: HostConn) -> bool {
        self.connections.contains_key(&conn)
    }

    pub fn close(&mut self, conn: HostConn) {
        self.connections.remove(&conn);
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.by_shard.len()
    }

    pub fn holder_of(&self, shard: usize) -> TargetId {
        self.by_shard[shard]
    }

    /// Closes all connections of a host.
    pub fn close_all_of(&mut self, host: usize) {
        self.connections.retain(|conn, _| conn.host != host);
    }
}

impl Simulation {
    /// A host connects to a target.
    pub(super) fn connect_to_target(&mut self, conn: HostConn, address: &str, sent_at: Micros) {
        let Some(target) = self.targets.listening.get(address).copied() else {
            let input = Input::ConnectFailed(conn.conn, "refused");
            return self.schedule_input(conn.host, conn.incarnation, sent_at.after(LATENCY), input);
        };
        self.targets.connections.insert(conn, target);
        let is_slow = self.random.chance(self.day.slow_connect_rate);
        let connect_time = if is_slow { self.random.millis(1.0, MAX_CONNECT_MS) } else { LATENCY };
        self.schedule_input(
            conn.host,
            conn.incarnation,
            sent_at.after(connect_time),
            Input::Connected(conn.conn),
        );
    }

    /// A host writes to a target.
    pub(super) fn write_to_target(&mut self, conn: HostConn, text: &[u8], sent_at: Micros) {
        let Some(target) = self.targets.connections.get(&conn).copied() else { return };
        let text = String::from_utf8_lossy(text);
        if text.contains(field::ID) {
            self.events.schedule(
                sent_at,
                Event::RequestSent { host: conn.host, incarnation: conn.incarnation, target },
            );
        }
        let response_time = self.random.millis(RESPONSE_TIME_RANGE.0, RESPONSE_TIME_RANGE.1);
        self.events.schedule(sent_at.after(response_time), Event::TargetResponds(conn));
    }

    pub(super) fn target_responds(&mut self, conn: HostConn) {
        if self.targets.contains(conn) {
            let response = self.targets.response.clone();
            let range = 0..response.len();
            let input = Input::Bytes(conn.conn, response, range);
            self.schedule_input(conn.host, conn.incarnation, self.now.after(LATENCY), input);
        }
    }

    /// Removes targets from the list; their processes keep running for some time.
    pub(super) fn remove(&mut self, targets: &[TargetId]) {
        self.change_targets(targets, TargetState::Removed);
        for target in targets {
            let exit_delay = self.random.millis(0.0, MAX_EXIT_DELAY_MS);
            self.events.schedule(self.now.after(exit_delay), Event::TargetExits(*target));
        }
    }

    /// Restarts removed targets at their addresses and lists them again.
    pub(super) fn relist(&mut self, targets: &[TargetId]) {
        for target in targets {
            self.stop_process(*target);
            self.start_process(*target);
        }
        self.change_targets(targets, TargetState::Up);
    }

    /// Replaces removed targets by new ones with the same addresses and shards.
    pub(super) fn replace(&mut self, targets: &[TargetId]) {
        let mut new = Vec::new();
        for target in targets {
            self.stop_process(*target);
            let old = self.service.target(*target);
            let (endpoint, shard) = (old.address.clone(), old.shard);
            let target = self.service.add_target(endpoint, shard);
            self.start_process(target);
            new.push(target);
        }
        self.change_targets(&new, TargetState::Up);
    }

    /// Ends the process of a removed target, unless the target has been listed again.
    pub(super) fn target_exits(&mut self, target: TargetId) {
        if self.service.target(target).state == TargetState::Removed {
            self.stop_process(target);
        }
    }

    fn start_process(&mut self, target: TargetId) {
        let listed = self.service.target(target);
        self.targets.by_shard[listed.shard as usize] = target;
        self.targets.listening.insert(listed.address.clone(), target);
    }

    fn stop_process(&mut self, target: TargetId) {
        self.targets.listening.retain(|_, listening| *listening != target);
        let open = self.targets.connections.iter().filter(|(_, to)| **to == target);
        let conns: Vec<HostConn> = open.map(|(conn, _)| *conn).collect();
        for conn in conns {
            self.targets.close(conn);
            let input = Input::Closed(conn.conn, "reset");
            self.schedule_input(conn.host, conn.incarnation, self.now.after(LATENCY), input);
        }
    }
}
