//! Connections between hosts and the list service: calls, outages, resets, and moves to another address.

use super::delivery::{Delivery, rejection};
use super::events::{Event, HostConn, Input};
use super::faults::{Fault, Outage};
use super::list_service::{Call, CallId};
use super::simulation::{LATENCY, Simulation};
use flaxstand_gateway::machine::Micros;
use std::collections::BTreeMap;

/// Shortest and longest delay of a rejection in an outage with late rejections, in milliseconds.
const LATE_REJECTION_RANGE: (f64, f64) = (10.0, 1000.0);

/// How long connections to an earlier address of the list service stay open.
const OLD_CONNECTION_GRACE: Micros = Micros(1_500_000);

/// A call that the list service has not answered yet.
struct OpenCall {
    id: CallId,
    wait_ends: Micros,
    fault: Option<Fault>,
}

/// A connection of a host to the list service.
struct Connection {
    /// The number of moves of the list service before it had the address of this connection.
    moves: usize,
    call: Option<OpenCall>,
    delivery: Option<Delivery>,
    /// Whether the service sends nothing more on it.
    silent: bool,
}

/// All connections to the list service.
#[derive(Default)]
pub struct ListNetwork {
    /// Number of moves of the list service so far.
    pub moves: usize,
    connections: BTreeMap<HostConn, Connection>,
    calls: BTreeMap<CallId, HostConn>,
    next_call: u64,
    outage: Option<Outage>,
}

impl ListNetwork {
    pub fn contains(&self, conn: HostConn) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Removes a call that is about to be answered. Returns its connection and fault, or `None` if the
    /// response cannot reach the host.
    pub fn take_call(&mut self, call: CallId) -> Option<(HostConn, Option<Fault>)> {
        let conn = self.calls.remove(&call)?;
        let connection = self.connections.get_mut(&conn).filter(|connection| !connection.silent)?;
        Some((conn, connection.call.take()?.fault))
    }

    /// Starts sending a response.
    pub fn start_delivery(&mut self, conn: HostConn, delivery: Delivery) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.delivery = Some(delivery);
        }
    }

    /// The response that is being sent.
    pub fn delivery(&mut self, conn: HostConn) -> Option<&mut Delivery> {
        self.connections.get_mut(&conn)?.delivery.as_mut()
    }

    /// The response has been sent completely.
    pub fn finish_delivery(&mut self, conn: HostConn) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.delivery = None;
        }
    }
}

/// Parses a host's request.
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
    /// A host connects to one of the list service's addresses.
    pub(super) fn connect_to_list(&mut self, conn: HostConn, moves: usize, sent_at: Micros) {
        self.hosts[conn.host].list_connections += 1;
        self.audit.call_started(conn.host, sent_at);
        let fault =
            self.fault(conn.host, |fault| matches!(fault, Fault::ConnectRefused | Fault::ConnectHangs));
        let refused = moves < self.network.moves
            || self.network.outage == Some(Outage::Refused)
            || fault == Some(Fault::ConnectRefused);
        let at = sent_at.after(LATENCY);
        if refused {
            self.audit.call_ended(conn.host, false);
            return self.schedule_input(
                conn.host,
                conn.incarnation,
                at,
                Input::ConnectFailed(conn.conn, "refused"),
            );
        }
        let connection = Connection { moves, call: None, delivery: None, silent: false };
        self.network.connections.insert(conn, connection);
        if fault != Some(Fault::ConnectHangs) {
            self.schedule_input(conn.host, conn.incarnation, at, Input::Connected(conn.conn));
        }
    }

    /// A host writes to the list service.
    pub(super) fn write_to_list(&mut self, conn: HostConn, text: &[u8], sent_at: Micros) {
        self.audit.call_started(conn.host, sent_at);
        let arrives = sent_at.after(LATENCY);
        if let Some(call) = read_call(&String::from_utf8_lossy(text)) {
            self.events.schedule(arrives, Event::DiscoveryCall(conn, call));
        }
    }

    /// A call arrives at the list service.
    pub(super) fn call_arrives(&mut self, conn: HostConn, call: Call) {
        if !self.network.contains(conn) {
            return;
        }
        let fault =
            self.fault(conn.host, |fault| !matches!(fault, Fault::ConnectRefused | Fault::ConnectHangs));
        let wait_ends = self.now.after(call.wait);
        match (self.network.outage, fault) {
            (Some(Outage::Silent), _) => self.silence(conn),
            (Some(Outage::RejectsLate), _) => self.reject_late(conn),
            (Some(_), _) | (None, Some(Fault::Reset)) => self.reset_connection(conn),
            (None, Some(Fault::Silent)) => {
                self.silence(conn);
                self.audit.call_went_silent(conn.host, wait_ends, self.now);
            }
            (None, fault) => {
                let id = CallId(self.network.next_call);
                self.network.next_call += 1;
                self.network.calls.insert(id, conn);
                if let Some(connection) = self.network.connections.get_mut(&conn) {
                    connection.call = Some(OpenCall { id, wait_ends, fault });
                }
                self.service.call(id, call, self.now);
            }
        }
    }

    /// From now on the list service sends nothing on a connection.
    fn silence(&mut self, conn: HostConn) {
        self.abort_response(conn);
        if let Some(connection) = self.network.connections.get_mut(&conn) {
            connection.silent = true;
        }
    }

    /// The list service sends nothing on a connection until it rejects its call.
    fn reject_late(&mut self, conn: HostConn) {
        self.silence(conn);
        let delay = self.random.millis(LATE_REJECTION_RANGE.0, LATE_REJECTION_RANGE.1);
        let bytes = rejection();
        let range = 0..bytes.len();
        self.schedule_input(
            conn.host,
            conn.incarnation,
            self.now.after(delay),
            Input::Bytes(conn.conn, bytes, range),
        );
    }

    /// Aborts the response that is being sent, if any.
    fn abort_response(&mut self, conn: HostConn) {
        let connection = self.network.connections.get_mut(&conn);
        if connection.is_some_and(|connection| connection.delivery.take().is_some()) {
            self.audit.response_aborted(conn.host);
        }
    }

    /// The list service or the network resets a connection.
    pub(super) fn reset_connection(&mut self, conn: HostConn) {
        self.abort_response(conn);
        self.close_connection(conn, self.now);
        self.audit.call_ended(conn.host, false);
        let input = Input::Closed(conn.conn, "reset");
        self.schedule_input(conn.host, conn.incarnation, self.now.after(LATENCY), input);
    }

    /// Removes a closed connection and cancels its call.
    pub(super) fn close_connection(&mut self, conn: HostConn, at: Micros) {
        let Some(connection) = self.network.connections.remove(&conn) else { return };
        if let Some(call) = &connection.call {
            self.service.cancel(call.id);
            self.network.calls.remove(&call.id);
        }
        if connection.silent {
            self.audit.silent_call_closed(conn.host, at);
        }
        if connection.silent || connection.call.is_some() || connection.delivery.is_some() {
            self.audit.call_ended(conn.host, false);
        }
    }

    pub(super) fn close_connections_of(&mut self, host: usize) {
        let connections = self.open_connections().into_iter().filter(|conn| conn.host == host);
        connections.for_each(|conn| self.close_connection(conn, self.now));
    }

    fn open_connections(&self) -> Vec<HostConn> {
        self.network.connections.keys().copied().collect()
    }

    pub(super) fn begin_outage(&mut self, outage: Outage) {
        self.audit.outage_begins(self.now);
        self.network.outage = Some(outage);
        self.network.calls.clear();
        self.service.reset(self.now);
        match outage {
            Outage::Silent => self.open_connections().into_iter().for_each(|conn| self.silence(conn)),
            Outage::RejectsLate => {
                self.open_connections().into_iter().for_each(|conn| self.reject_late(conn))
            }
            Outage::Refused | Outage::Reset => self.reset_watches(),
        }
    }

    /// Ends the outage. Calls that arrived during a silent outage are never answered.
    pub(super) fn end_outage(&mut self) {
        self.audit.outage_ends(self.now);
        self.network.outage = None;
        self.service.reset(self.now);
    }

    /// From now on the list service sends nothing on the calls that are open.
    pub(super) fn silence_watches(&mut self) {
        let now = self.now;
        for conn in self.open_connections() {
            self.silence(conn);
            let call = self.network.connections.get_mut(&conn).and_then(|connection| connection.call.take());
            if let Some(call) = call {
                self.service.cancel(call.id);
                self.network.calls.remove(&call.id);
                self.audit.call_went_silent(conn.host, call.wait_ends, now);
            }
        }
    }

    /// Resets all connections to the list service.
    pub(super) fn reset_watches(&mut self) {
        self.open_connections().into_iter().for_each(|conn| self.reset_connection(conn));
    }

    /// Moves the list service: its old address refuses new connections and closes the open ones a little
    /// later.
    pub(super) fn move_list_service(&mut self) {
        self.network.moves += 1;
        self.events
            .schedule(self.now.after(OLD_CONNECTION_GRACE), Event::CloseOldConnections(self.network.moves));
        self.reload_hosts();
    }

    pub(super) fn close_old_connections(&mut self, moves: usize) {
        let old = self.network.connections.iter().filter(|(_, connection)| connection.moves < moves);
        let old: Vec<HostConn> = old.map(|(conn, _)| *conn).collect();
        old.into_iter().for_each(|conn| self.reset_connection(conn));
    }
}
