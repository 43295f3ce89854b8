//! Hosts: each a core under the turns of a driver. A turn reads the clock once; it may be held up between that and
//! the writing, so that the core counts with an earlier moment than the one at which its bytes leave.

use super::events::{HostConn, Input};
use super::harness::platform_config_with_keyed;
use super::list_service::FIRST_REVISION;
use super::simulation::{ASK_WITHIN, Simulation};
use flaxstand::api::{ListScope, NotificationTerms};
use flaxstand_gateway::core::{Config, Core};
use flaxstand_gateway::machine::{Address, Command, ConnId, Control, Machine, Micros, Reloaded};
use flaxstand_platform::{NOTIFIED_AFTER_MOVE_MS, NOTIFIED_WITHIN_MS};
use std::collections::{BTreeMap, VecDeque};

/// Longest wait that the list service is asked for, ms, as `run --platform` sets it.
const WATCH_MS: u64 = 2500;
/// How long targets know of a keyed request, ms.
const KEYED_WINDOW_MS: f64 = 5000.0;
/// Least and longest hold-up of a turn, ms.
const HELD_UP: (f64, f64) = (20.0, 150.0);

/// A host's process and what is open there.
pub struct Host {
    index: usize,
    pub life: u32,
    core: Option<Box<Core>>,
    wake: Option<Micros>,
    busy_until: Micros,
    inbox: VecDeque<Input>,
    idle_clients: Vec<ConnId>,
    /// Client connections with an open request, by its number.
    asked: BTreeMap<ConnId, usize>,
    pub list_bytes: u64,
    pub list_connections: usize,
    /// Calls in a row that met a fault and no byte of the list service.
    pub lifeless_calls: u32,
}

impl Host {
    pub fn new(index: usize) -> Self {
        Host {
            index,
            life: 0,
            core: None,
            wake: None,
            busy_until: Micros(0),
            inbox: VecDeque::new(),
            idle_clients: Vec::new(),
            asked: BTreeMap::new(),
            list_bytes: 0,
            list_connections: 0,
            lifeless_calls: 0,
        }
    }

    pub fn runs(&self) -> bool {
        self.core.is_some()
    }

    /// When it has something to do.
    pub fn next_turn(&self, now: Micros) -> Option<Micros> {
        let due = if self.inbox.is_empty() { self.wake? } else { now };
        self.core.is_some().then_some(due.max(self.busy_until))
    }

    pub fn take_input(&mut self, life: u32, input: Input) {
        if self.life == life && self.core.is_some() {
            self.inbox.push_back(input);
        }
    }

    fn conn(&self, conn: ConnId) -> HostConn {
        HostConn { host: self.index, life: self.life, conn }
    }
}

/// Where the list service listens after so many moves.
pub fn list_address(moves: usize) -> Address {
    format!("127.0.0.1:{}", 7000 + moves).parse().expect("an address")
}

impl Simulation {
    fn config(&self, host: usize) -> Config {
        let mut config = platform_config_with_keyed(WATCH_MS, KEYED_WINDOW_MS);
        config.name = format!("host-{host}");
        config.seed = self.day.seed.wrapping_mul(31).wrapping_add(host as u64);
        config.epoch = u64::from(self.hosts[host].life);
        config.discovery_address = list_address(self.network.moves);
        let settings = &mut config.site.settings;
        (settings.initiators, settings.poll_within) = (self.day.hosts as u32, ASK_WITHIN.ms());
        settings.notification_terms = Some(NotificationTerms {
            notified_within: NOTIFIED_WITHIN_MS,
            notified_after_move: NOTIFIED_AFTER_MOVE_MS,
            drain_grace: self.day.grace.ms(),
        });
        config
    }

    /// A process starts, with a list that is so many revisions old.
    pub(super) fn start_host(&mut self, host: usize, revisions_behind: u64) {
        self.hosts[host].life += 1;
        let known = self.service.revision().saturating_sub(revisions_behind).max(FIRST_REVISION);
        let mut core = Core::new(self.config(host), None, self.now).expect("there is no saved list");
        core.apply_platform_listing(ListScope::Cached, &self.service.listing_at(known), self.now);
        self.audit.host_starts(host, known, self.now);
        let started = &mut self.hosts[host];
        (started.core, started.wake, started.busy_until) = (Some(Box::new(core)), Some(self.now), self.now);
    }

    /// A process ends at once, with all its connections.
    pub(super) fn kill_host(&mut self, host: usize) {
        self.audit.host_killed(host);
        self.close_links_of(host);
        self.targets.close_all_of(host);
        let killed = &mut self.hosts[host];
        killed.core = None;
        killed.inbox.clear();
        killed.idle_clients.clear();
        killed.asked.clear();
    }

    /// All hosts are told where the list service is now.
    pub(super) fn tell_reload(&mut self) {
        let list = list_address(self.network.moves);
        for host in 0..self.hosts.len() {
            if !self.hosts[host].runs() {
                continue;
            }
            let bounds = self.config(host).bounds;
            let control = Control::Reload(Reloaded { bounds, list: list.clone() });
            let life = self.hosts[host].life;
            self.audit.reloaded(host, self.now);
            self.reaches(host, life, self.now, Input::Control(control));
        }
    }

    /// A turn as a driver has it: all that came, then the core settles and what it wants is done.
    pub(super) fn turn(&mut self, host: usize) {
        let Some(mut core) = self.hosts[host].core.take() else { return };
        let held_up = match self.draw.chance(self.day.held_up) {
            true => self.draw.millis(HELD_UP.0, HELD_UP.1),
            false => Micros(0),
        };
        let leaves = self.now.after(held_up);
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
                self.carry_out(host, &mut core, command, leaves);
            }
        };
        let turned = &mut self.hosts[host];
        (turned.core, turned.wake, turned.busy_until) = (Some(core), wake, leaves);
    }

    fn feed(&mut self, host: usize, core: &mut Core, input: Input) {
        let now = self.now;
        match input {
            Input::Connected(conn) => core.connected(conn, now),
            Input::ConnectFailed(conn, cause) => core.connect_failed(conn, cause, now),
            Input::Bytes(conn, bytes, range) => core.received(conn, &bytes[range], now),
            Input::Closed(conn, cause) => core.closed(conn, cause, now),
            Input::Control(control) => core.control(control, now),
            Input::Ask(request, text) => self.ask(host, core, request, &text),
        }
    }

    /// A client asks on a connection that rests, or on a new one.
    fn ask(&mut self, host: usize, core: &mut Core, request: usize, text: &str) {
        let conn = match self.hosts[host].idle_clients.pop() {
            Some(conn) => conn,
            None => match core.accepted(0, self.now) {
                Ok(conn) => conn,
                Err(_) => return self.audit.answered(request, 503, self.now),
            },
        };
        self.hosts[host].asked.insert(conn, request);
        core.received(conn, text.as_bytes(), self.now);
    }

    fn carry_out(&mut self, host: usize, core: &mut Core, command: Command, leaves: Micros) {
        match command {
            Command::Connect { conn, address } => {
                let link = self.hosts[host].conn(conn);
                match list_service_move(&address) {
                    Some(moves) => self.dial_list(link, moves, leaves),
                    None => self.dial_target(link, &address.to_string(), leaves),
                }
            }
            Command::Flush(conn) => self.flush(host, core, conn, leaves),
            Command::ShutdownWrite(conn) => {
                self.flush(host, core, conn, leaves);
                self.hosts[host].idle_clients.retain(|idle| *idle != conn);
            }
            Command::Close { conn, last } => self.close(host, conn, &last, leaves),
            _ => {}
        }
    }

    /// Everything that waits on a connection leaves.
    fn flush(&mut self, host: usize, core: &mut Core, conn: ConnId, leaves: Micros) {
        let bytes = core.outgoing(conn).to_vec();
        if bytes.is_empty() {
            return;
        }
        core.written(conn, bytes.len(), self.now);
        let link = self.hosts[host].conn(conn);
        if self.network.holds(link) {
            self.list_hears(link, &bytes, leaves);
        } else if self.targets.holds(link) {
            self.target_hears(link, &bytes, leaves);
        } else {
            self.client_hears(host, conn, &bytes, leaves);
        }
    }

    fn client_hears(&mut self, host: usize, conn: ConnId, bytes: &[u8], leaves: Micros) {
        let text = String::from_utf8_lossy(bytes);
        let Some(status) = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok()) else {
            return;
        };
        let Some(request) = self.hosts[host].asked.remove(&conn) else { return };
        self.audit.answered(request, status, leaves);
        if !text.contains("Connection: close") {
            self.hosts[host].idle_clients.push(conn);
        }
    }

    fn close(&mut self, host: usize, conn: ConnId, last: &[u8], leaves: Micros) {
        let link = self.hosts[host].conn(conn);
        if self.network.holds(link) {
            return self.close_link(link, leaves);
        }
        self.targets.close(link);
        self.client_hears(host, conn, last, leaves);
        let closed = &mut self.hosts[host];
        closed.idle_clients.retain(|idle| *idle != conn);
        if let Some(request) = closed.asked.remove(&conn) {
            self.audit.answered(request, CLOSED, leaves);
        }
    }
}

/// Stands for a close in place of a status.
const CLOSED: u16 = 0;

/// Which address of the list service this is, if it is one.
fn list_service_move(address: &Address) -> Option<usize> {
    let Address::Tcp(at) = address else { return None };
    at.port().checked_sub(7000).map(usize::from).filter(|moves| *moves < 1000)
}
