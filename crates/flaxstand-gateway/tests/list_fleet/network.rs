//! Connections between hosts and the list service: calls, outages, resets, and moves to another address.

use super::delivery::{Delivery, busy};
use super::events::{Event, HostConn, Input};
use super::faults::{Fault, Outage};
use super::list_service::{Call, CallId};
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use std::collections::BTreeMap;

/// How long calls wait before they are turned away in an outage that turns them away late, least and most, ms.
const TURNED_AWAY_AFTER: (f64, f64) = (10.0, 1000.0);

/// Connections to an address that the list service has left are closed after this.
const OLD_ADDRESS: Micros = Micros(1_500_000);
struct OpenCall {
    id: CallId,
    wait_ends: Micros,
    fault: Option<Fault>,
}

/// A connection of a host to the list service.
struct Link {
    /// The address that was called, by the moves before it.
    moves: usize,
    call: Option<OpenCall>,
    delivery: Option<Delivery>,
    silent: bool,
}

/// All connections to the list service.
#[derive(Default)]
pub struct ListNetwork {
    pub moves: usize,
    links: BTreeMap<HostConn, Link>,
    calls: BTreeMap<CallId, HostConn>,
    next_call: u64,
    outage: Option<Outage>,
}

impl ListNetwork {
    pub fn holds(&self, link: HostConn) -> bool {
        self.links.contains_key(&link)
    }

    /// A call is about to be answered: on which connection, and with which fault. None: nobody hears it.
    pub fn answers(&mut self, call: CallId) -> Option<(HostConn, Option<Fault>)> {
        let conn = self.calls.remove(&call)?;
        let link = self.links.get_mut(&conn).filter(|link| !link.silent)?;
        Some((conn, link.call.take()?.fault))
    }

    /// An answer is on its way.
    pub fn deliver(&mut self, conn: HostConn, delivery: Delivery) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.delivery = Some(delivery);
        }
    }

    /// The answer that is on its way.
    pub fn delivery(&mut self, conn: HostConn) -> Option<&mut Delivery> {
        self.links.get_mut(&conn)?.delivery.as_mut()
    }

    /// It has left to its end.
    pub fn delivered(&mut self, conn: HostConn) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.delivery = None;
        }
    }
}

/// The call that a host wrote.
fn read_call(text: &str) -> Option<Call> {
    let target = text.strip_prefix("GET /v1/endpoints")?.split(' ').next()?;
    let number = |name: &str| {
        let value = target.split(['?', '&']).find_map(|part| part.strip_prefix(name))?;
        value.parse::<u64>().ok()
    };
    let wait = number("timeout_ms=").unwrap_or_default();
    Some(Call { since: number("since="), wait: Micros(wait * 1000) })
}

impl Simulation {
    /// A host calls the list service at one of its addresses.
    pub(super) fn dial_list(&mut self, conn: HostConn, moves: usize, leaves: Micros) {
        self.hosts[conn.host].list_connections += 1;
        self.audit.called(conn.host, leaves);
        let fault = self.fault(conn.host, |fault| matches!(fault, Fault::DialRefused | Fault::DialLost));
        let refused = moves < self.network.moves
            || self.network.outage == Some(Outage::Refused)
            || fault == Some(Fault::DialRefused);
        let at = leaves.after(LATENCY);
        if refused {
            self.audit.call_ended(conn.host, false);
            return self.reaches(conn.host, conn.life, at, Input::ConnectFailed(conn.conn, "refused"));
        }
        let link = Link { moves, call: None, delivery: None, silent: false };
        self.network.links.insert(conn, link);
        if fault != Some(Fault::DialLost) {
            self.reaches(conn.host, conn.life, at, Input::Connected(conn.conn));
        }
    }

    /// A host wrote a call.
    pub(super) fn list_hears(&mut self, conn: HostConn, text: &[u8], leaves: Micros) {
        self.audit.called(conn.host, leaves);
        let arrives = leaves.after(LATENCY);
        if let Some(call) = read_call(&String::from_utf8_lossy(text)) {
            self.events.at(arrives, Event::DiscoveryCall(conn, call));
        }
    }

    /// A call arrives at the list service.
    pub(super) fn list_called(&mut self, conn: HostConn, call: Call) {
        if !self.network.holds(conn) {
            return;
        }
        let fault = self.fault(conn.host, |fault| !matches!(fault, Fault::DialRefused | Fault::DialLost));
        let wait_ends = self.now.after(call.wait);
        match (self.network.outage, fault) {
            (Some(Outage::Silent), _) => self.silence(conn),
            (Some(Outage::TurnsAwayLate), _) => self.turn_away_late(conn),
            (Some(_), _) | (None, Some(Fault::Reset)) => self.reset_link(conn),
            (None, Some(Fault::Silent)) => {
                self.silence(conn);
                self.audit.call_fell_silent(conn.host, wait_ends, self.now);
            }
            (None, fault) => {
                let id = CallId(self.network.next_call);
                self.network.next_call += 1;
                self.network.calls.insert(id, conn);
                if let Some(link) = self.network.links.get_mut(&conn) {
                    link.call = Some(OpenCall { id, wait_ends, fault });
                }
                self.service.call(id, call, self.now);
            }
        }
    }

    /// From now on nothing is said on a connection.
    fn silence(&mut self, conn: HostConn) {
        self.break_off(conn);
        if let Some(link) = self.network.links.get_mut(&conn) {
            link.silent = true;
        }
    }

    /// Nothing is said on a connection until its call is turned away.
    fn turn_away_late(&mut self, conn: HostConn) {
        self.silence(conn);
        let waits = self.draw.millis(TURNED_AWAY_AFTER.0, TURNED_AWAY_AFTER.1);
        let bytes = busy();
        let range = 0..bytes.len();
        self.reaches(conn.host, conn.life, self.now.after(waits), Input::Bytes(conn.conn, bytes, range));
    }

    /// An answer that is on its way does not come whole.
    fn break_off(&mut self, conn: HostConn) {
        let link = self.network.links.get_mut(&conn);
        if link.is_some_and(|link| link.delivery.take().is_some()) {
            self.audit.broken_off(conn.host);
        }
    }

    /// The list service, or something on the way, resets a connection.
    pub(super) fn reset_link(&mut self, conn: HostConn) {
        self.break_off(conn);
        self.close_link(conn, self.now);
        self.audit.call_ended(conn.host, false);
        let input = Input::Closed(conn.conn, "reset");
        self.reaches(conn.host, conn.life, self.now.after(LATENCY), input);
    }

    /// A connection is no more.
    pub(super) fn close_link(&mut self, conn: HostConn, at: Micros) {
        let Some(link) = self.network.links.remove(&conn) else { return };
        if let Some(call) = &link.call {
            self.service.forget(call.id);
            self.network.calls.remove(&call.id);
        }
        if link.silent {
            self.audit.silent_call_closed(conn.host, at);
        }
        if link.silent || link.call.is_some() || link.delivery.is_some() {
            self.audit.call_ended(conn.host, false);
        }
    }

    pub(super) fn close_links_of(&mut self, host: usize) {
        let links = self.open_links().into_iter().filter(|conn| conn.host == host);
        links.for_each(|conn| self.close_link(conn, self.now));
    }

    fn open_links(&self) -> Vec<HostConn> {
        self.network.links.keys().copied().collect()
    }

    pub(super) fn outage_begins(&mut self, outage: Outage) {
        self.audit.outage_begins(self.now);
        self.network.outage = Some(outage);
        self.network.calls.clear();
        self.service.forget_all(self.now);
        match outage {
            Outage::Silent => self.open_links().into_iter().for_each(|conn| self.silence(conn)),
            Outage::TurnsAwayLate => self.open_links().into_iter().for_each(|conn| self.turn_away_late(conn)),
            Outage::Refused | Outage::Reset => self.watches_reset(),
        }
    }

    /// Calls that came during a silent outage stay silent.
    pub(super) fn outage_ends(&mut self) {
        self.audit.outage_ends(self.now);
        self.network.outage = None;
        self.service.forget_all(self.now);
    }

    /// The calls that are open at the list service fall silent.
    pub(super) fn watches_fall_silent(&mut self) {
        let now = self.now;
        for conn in self.open_links() {
            self.silence(conn);
            let call = self.network.links.get_mut(&conn).and_then(|link| link.call.take());
            if let Some(call) = call {
                self.service.forget(call.id);
                self.network.calls.remove(&call.id);
                self.audit.call_fell_silent(conn.host, call.wait_ends, now);
            }
        }
    }

    /// All connections to the list service are reset.
    pub(super) fn watches_reset(&mut self) {
        self.open_links().into_iter().for_each(|conn| self.reset_link(conn));
    }

    /// The list service moves: its old address takes nothing new, and closes what is open there a little later.
    pub(super) fn reload(&mut self) {
        self.network.moves += 1;
        self.events.at(self.now.after(OLD_ADDRESS), Event::CloseOldLinks(self.network.moves));
        self.tell_reload();
    }

    pub(super) fn close_old_links(&mut self, moves: usize) {
        let old = self.network.links.iter().filter(|(_, link)| link.moves < moves);
        let old: Vec<HostConn> = old.map(|(conn, _)| *conn).collect();
        old.into_iter().for_each(|conn| self.reset_link(conn));
    }
}
