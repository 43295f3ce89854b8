//! Hosts: each runs a core in the turns of a driver's event loop. A turn reads the clock once. It may be
//! delayed between reading the clock and writing, so that the core works with an earlier time than that at
//! which its bytes leave.

use super::events::{HostConn, Input};
use super::harness::platform_config_with_keyed;
use super::list_service::FIRST_REVISION;
use super::simulation::{POLL_WITHIN, Simulation};
use flaxstand::api::{ListScope, NotificationTerms};
use flaxstand_gateway::core::{Config, Core};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros, Reloaded};
use flaxstand_platform::{NOTIFIED_AFTER_MOVE_MS, NOTIFIED_WITHIN_MS};
use std::collections::{BTreeMap, VecDeque};

/// Long-poll time-out of list requests in milliseconds, as set by `run --platform`.
const LONG_POLL_MS: u64 = 2500;
/// How long targets remember the key of a keyed request, in milliseconds.
const KEYED_WINDOW_MS: f64 = 5000.0;
/// Shortest and longest delay of a delayed turn in milliseconds.
const TURN_DELAY_RANGE: (f64, f64) = (20.0, 150.0);

/// A host's process with its pending inputs and client connections.
pub struct Host {
    index: usize,
    /// Number of the process's starts so far.
    pub incarnation: u32,
    core: Option<Box<Core>>,
    wake: Option<Micros>,
    busy_until: Micros,
    inbox: VecDeque<Input>,
    idle_clients: Vec<ConnId>,
    /// Client connections with a pending request, and its number.
    pending_requests: BTreeMap<ConnId, usize>,
    pub list_bytes: u64,
    pub list_connections: usize,
    /// Consecutive calls that were affected by a fault and got no byte from the list service.
    pub unresponsive_calls: u32,
}

impl Host {
    pub fn new(index: usize) -> Self {
        Host {
            index,
            incarnation: 0,
            core: None,
            wake: None,
            busy_until: Micros(0),
            inbox: VecDeque::new(),
            idle_clients: Vec::new(),
            pending_requests: BTreeMap::new(),
            list_bytes: 0,
            list_connections: 0,
            unresponsive_calls: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.core.is_some()
    }

    /// When the host's next turn is due.
    pub fn next_turn(&self, now: Micros) -> Option<Micros> {
        let due = if self.inbox.is_empty() { self.wake? } else { now };
        self.core.is_some().then_some(due.max(self.busy_until))
    }

    pub fn take_input(&mut self, incarnation: u32, input: Input) {
        if self.incarnation == incarnation && self.core.is_some() {
            self.inbox.push_back(input);
        }
    }

    fn conn(&self, conn: ConnId) -> HostConn {
        HostConn { host: self.index, incarnation: self.incarnation, conn }
    }
}

/// The list service's address after this many moves.
pub fn list_address(moves: usize) -> Address {
    format!("127.0.0.1:{}", 7000 + moves).parse().expect("an address")
}

impl Simulation {
    fn config(&self, host: usize) -> Config {
        let mut config = platform_config_with_keyed(LONG_POLL_MS, KEYED_WINDOW_MS);
        config.name = format!("host-{host}");
        config.seed = self.day.seed.wrapping_mul(31).wrapping_add(host as u64);
        config.epoch = u64::from(self.hosts[host].incarnation);
        config.discovery_address = list_address(self.network.moves);
        let settings = &mut config.site.settings;
        (settings.initiators, settings.poll_within) = (self.day.hosts as u32, POLL_WITHIN.ms());
        settings.notification_terms = Some(NotificationTerms {
            notified_within: NOTIFIED_WITHIN_MS,
            notified_after_move: NOTIFIED_AFTER_MOVE_MS,
            drain_grace: self.day.grace.ms(),
        });
        config
    }

    /// Starts a host with a list that is this many revisions behind.
    pub(super) fn start_host(&mut self, host: usize, revisions_behind: u64) {
        self.hosts[host].incarnation += 1;
        let initial_revision = self.service.revision().saturating_sub(revisions_behind).max(FIRST_REVISION);
        let mut core = Core::new(self.config(host), None, self.now).expect("there is no saved list");
        core.apply_platform_listing(ListScope::Cached, &self.service.listing_at(initial_revision), self.now);
        self.audit.host_started(host, initial_revision, self.now);
        let started = &mut self.hosts[host];
        (started.core, started.wake, started.busy_until) = (Some(Box::new(core)), Some(self.now), self.now);
    }

    /// Kills a host's process and closes all its connections.
    pub(super) fn kill_host(&mut self, host: usize) {
        self.audit.host_killed(host);
        self.close_connections_of(host);
        self.targets.close_all_of(host);
        let killed = &mut self.hosts[host];
        killed.core = None;
        killed.inbox.clear();
        killed.idle_clients.clear();
        killed.pending_requests.clear();
    }

    /// Reloads the settings of all running hosts with the list service's current address.
    pub(super) fn reload_hosts(&mut self) {
        let list = list_address(self.network.moves);
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_running() {
                continue;
            }
            let bounds = self.config(host).bounds;
            let control = Control::Reload(Reloaded { bounds, memory_bounds: None, list: list.clone() });
            let incarnation = self.hosts[host].incarnation;
            self.audit.reloaded(host, self.now);
            self.schedule_input(host, incarnation, self.now, Input::Control(control));
        }
    }

    /// A turn of the driver's event loop: passes the pending inputs to the core, settles it and executes its
    /// commands.
    pub(super) fn turn(&mut self, host: usize) {
        let Some(mut core) = self.hosts[host].core.take() else { return };
        let delay = match self.random.chance(self.day.delayed_turn_rate) {
            true => self.random.millis(TURN_DELAY_RANGE.0, TURN_DELAY_RANGE.1),
            false => Micros(0),
        };
        let sent_at = self.now.after(delay);
        for input in std::mem::take(&mut self.hosts[host].inbox) {
            self.feed(host, &mut core, input);
        }
        let wake = loop {
            let wake = core.settle(self.now);
            let commands = core.take_commands();
            if commands.is_empty() {
                break wake;
            }
            for command in commands {
                self.execute(host, &mut core, command, sent_at);
            }
        };
        let running = &mut self.hosts[host];
        (running.core, running.wake, running.busy_until) = (Some(core), wake, sent_at);
    }

    fn feed(&mut self, host: usize, core: &mut Core, input: Input) {
        let now = self.now;
        match input {
            Input::Connected(conn) => core.connected(conn, now),
            Input::ConnectFailed(conn, cause) => core.connect_failed(conn, cause, now),
            Input::Bytes(conn, bytes, range) => core.received(conn, &bytes[range], now),
            Input::Closed(conn, cause) => core.closed(conn, cause, now),
            Input::Control(control) => core.control(control, now),
            Input::Request(request, text) => self.submit_request(host, core, request, &text),
        }
    }

    /// A client sends a request on an idle connection or on a new one.
    fn submit_request(&mut self, host: usize, core: &mut Core, request: usize, text: &str) {
        let conn = match self.hosts[host].idle_clients.pop() {
            Some(conn) => conn,
            None => match core.accepted(0, self.now) {
                Ok(conn) => conn,
                Err(_) => return self.audit.request_answered(request, 503, self.now),
            },
        };
        self.hosts[host].pending_requests.insert(conn, request);
        core.received(conn, text.as_bytes(), self.now);
    }

    fn execute(&mut self, host: usize, core: &mut Core, command: Command, sent_at: Micros) {
        match command {
            Command::Connect { conn, address } => {
                let host_conn = self.hosts[host].conn(conn);
                match list_service_moves(&address) {
                    Some(moves) => self.connect_to_list(host_conn, moves, sent_at),
                    None => self.connect_to_target(host_conn, &address.to_string(), sent_at),
                }
            }
            Command::Flush(conn) => self.flush(host, core, conn, sent_at),
            Command::ShutdownWrite(conn) => {
                self.flush(host, core, conn, sent_at);
                self.hosts[host].idle_clients.retain(|idle| *idle != conn);
            }
            Command::Close { conn, last } => self.close(host, conn, &last, sent_at),
            _ => {}
        }
    }

    /// Sends all pending output of a connection.
    fn flush(&mut self, host: usize, core: &mut Core, conn: ConnId, sent_at: Micros) {
        let bytes = core.outgoing(conn).to_vec();
        if bytes.is_empty() {
            return;
        }
        core.written(conn, bytes.len(), self.now);
        let host_conn = self.hosts[host].conn(conn);
        if self.network.contains(host_conn) {
            self.write_to_list(host_conn, &bytes, sent_at);
        } else if self.targets.contains(host_conn) {
            self.write_to_target(host_conn, &bytes, sent_at);
        } else {
            self.write_to_client(host, conn, &bytes, sent_at);
        }
    }

    fn write_to_client(&mut self, host: usize, conn: ConnId, bytes: &[u8], sent_at: Micros) {
        let text = String::from_utf8_lossy(bytes);
        let Some(status) = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok()) else {
            return;
        };
        let Some(request) = self.hosts[host].pending_requests.remove(&conn) else { return };
        self.audit.request_answered(request, status, sent_at);
        if !text.contains("Connection: close") {
            self.hosts[host].idle_clients.push(conn);
        }
    }

    fn close(&mut self, host: usize, conn: ConnId, last: &[u8], sent_at: Micros) {
        let host_conn = self.hosts[host].conn(conn);
        if self.network.contains(host_conn) {
            return self.close_connection(host_conn, sent_at);
        }
        self.targets.close(host_conn);
        self.write_to_client(host, conn, last, sent_at);
        let closed = &mut self.hosts[host];
        closed.idle_clients.retain(|idle| *idle != conn);
        if let Some(request) = closed.pending_requests.remove(&conn) {
            self.audit.request_answered(request, CLOSED, sent_at);
        }
    }
}

/// Recorded in place of a status if a connection closes without a response.
const CLOSED: u16 = 0;

/// The number of moves after which the list service has this address, if it is one of its addresses.
fn list_service_moves(address: &Address) -> Option<usize> {
    let Address::Tcp(at) = address else { return None };
    at.port().checked_sub(7000).map(usize::from).filter(|moves| *moves < 1000)
}
