//! Clients that speak HTTP: one request at a time on a connection, and what each that can't be served gets.
//!
//! What a client sends is trusted no further than it is whole and makes sense: a fault in its framing gets an
//! error and the connection is closed, one in its meaning an error alone. Neither reaches the module. Bytes
//! behind a request wait until it is answered and the answer written, so that a client that sends without
//! reading holds up only itself.

use super::Core;
use super::clients::Client;
use super::connection_slots::SILENT_EVICTABLE_AFTER;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::http_connection::{Flow, HttpServer, LINGER_TIMEOUT, Origin, ReceivedBytes};
use super::shutdown::Phase;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand_http::{MAX_REQUEST_BODY_BYTES, Request, write_response};
use flaxstand_platform::{ClientRequest, READY_PATH, RequestLimits};
use flaxstand_proto::{Frame, Submit};
use std::fmt::Display;
use tracing::debug;

impl Core {
    fn http(&mut self, conn: ConnId) -> Option<&mut HttpServer> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpServer(http), .. }) => Some(http),
            _ => None,
        }
    }

    /// A client connects; beyond the bound one that waits idle is closed for it.
    ///
    /// # Errors
    /// It is rejected: bytes to send before the connection is closed.
    pub(super) fn accept_http_client(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        // While the process stops it listens no more; who had connected before that is told so once it has
        // asked.
        let is_stopped = self.shutdown.phase() == Phase::Stopped;
        if is_stopped || self.clients.len() >= self.config.bounds.max_clients && !self.evict_client(now) {
            debug!(clients = self.clients.len(), "client rejected");
            let mut bytes = Vec::new();
            write_response(&mut bytes, 503, &[], b"no room\n", false);
            return Err(bytes);
        }
        self.clients.connected();
        let protocol = Protocol::HttpServer(HttpServer::new(now));
        let conn = self.connections.open(Peer::Client(Client::default()), Stage::Open, protocol);
        self.clients.slots.add(conn, now);
        self.timers.set(now.after(self.config.site.timeouts.greeting_timeout), Timer::StallCheck(conn));
        Ok(conn)
    }

    /// Closes the client that gives its slot to a new one, if there is one.
    fn evict_client(&mut self, now: Micros) -> bool {
        let evicted = self.clients.slots.evictable(&mut self.connections, now);
        if let Some(conn) = evicted {
            self.close(conn, "its slot is needed", now);
        }
        evicted.is_some()
    }

    /// Bytes came from a client.
    pub(super) fn http_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(http) = self.http(conn) else { return };
        match http.receive(bytes, now) {
            ReceivedBytes::Dropped => return,
            ReceivedBytes::TooMany => return self.close(conn, "it goes on after an error", now),
            ReceivedBytes::Buffered => {}
        }
        let is_full = !http.wants_read();
        self.connections.add_partial_bytes(bytes.len());
        if self.connections.partial_bytes() > self.config.bounds.max_partial_request_bytes {
            self.reject_malformed(conn, 503, "too much is on its way in", now);
        } else {
            self.read_http(conn, now);
        }
        if is_full {
            self.connections.command(Command::Flush(conn));
        }
    }

    /// Reads the next request, unless one is open or its answer is not yet written.
    fn read_http(&mut self, conn: ConnId, now: Micros) {
        loop {
            let Some(Connection {
                peer: Peer::Client(client),
                protocol: Protocol::HttpServer(http),
                outbox,
                ..
            }) = self.connections.get_mut(conn)
            else {
                return;
            };
            let is_answered = client.owed.is_empty() && outbox.is_empty();
            if http.flow() != Flow::Open || !is_answered || !http.has_partial_request() {
                return;
            }
            match http.take_request(now) {
                Ok(Some(whole)) => {
                    self.connections.sub_partial_bytes(whole.bytes);
                    self.handle_request(conn, whole.request, now);
                }
                Ok(None) => {
                    // The first has its time from when the connection was opened.
                    if http.requests() > 0 {
                        let due = http.since().after(self.config.site.timeouts.greeting_timeout);
                        self.timers.set(due, Timer::StallCheck(conn));
                    }
                    return;
                }
                Err(fault) => return self.reject_malformed(conn, fault.status(), &fault.to_string(), now),
            }
        }
    }

    /// A whole request came.
    fn handle_request(&mut self, conn: ConnId, request: Request, now: Micros) {
        if request.target == READY_PATH {
            let ready = self.shutdown.phase() == Phase::Running && self.nodes.any_serves();
            return self.respond(conn, if ready { 200 } else { 503 }, &[], b"", now);
        }
        let settings = &self.config.site.settings;
        let limits = RequestLimits {
            classes: &self.class_names,
            plans: &self.config.site.plans,
            max_units: settings.max_units,
            max_hosts: settings.initiators,
        };
        let read = match ClientRequest::read(&request, &limits) {
            Ok(read) => read,
            Err(bad) => {
                debug!(conn = conn.0, %bad, "invalid request");
                self.counts.protocol_faults += 1;
                return self.respond(conn, bad.status(), &[], format!("{bad}\n").as_bytes(), now);
            }
        };
        if self.requests.has_client_id(read.id) {
            debug!(conn = conn.0, id = read.id, "request id is in use");
            self.counts.protocol_faults += 1;
            return self.respond(conn, 409, &[], b"a request with this id is open\n", now);
        }
        let number = self.http(conn).map_or(0, |http| http.requests());
        let submit = self.submit_of(&read, number, &request.body);
        let origin = Origin {
            method: if read.is_write { "PUT" } else { "GET" },
            target: request.target.clone(),
            id: read.id.to_owned(),
            key: read.idempotency_key.map(str::to_owned),
        };
        if let Err(fault) = self.submit(conn, &submit, Some(origin), now) {
            self.respond(conn, 400, &[], fault.text.as_bytes(), now);
        }
    }

    /// The request as frames would carry it; `number` is its number on the connection.
    fn submit_of<'a>(&self, read: &ClientRequest<'_>, number: u64, payload: &'a [u8]) -> Submit<'a> {
        let class = &self.config.site.settings.classes[usize::from(read.class)];
        let deadline = Micros::from_ms(class.deadline).saturating_u32();
        Submit {
            id: number,
            operation: 0,
            class: read.class,
            plan: read.plan,
            volume_initiators: read.hosts,
            try_no: read.is_retry.into(),
            write: read.is_write,
            volume: read.volume,
            extent: Some(read.extent),
            shard: read.shard,
            units: read.units,
            at: None,
            // No client waits for longer than its class says; one that says so is not held for longer.
            time_left: read.time_left_micros.min(deadline),
            payload,
        }
    }

    /// Sends a request's final answer, in the client's protocol.
    pub(super) fn send_to_client(&mut self, conn: ConnId, frame: &Frame<'_>, now: Micros) {
        if self.connections.speaks_frames(conn) {
            self.connections.send_frame(conn, frame);
            return;
        }
        match frame {
            Frame::Served { payload, .. } if !self.has_output_capacity(payload.len()) => {
                debug!(
                    conn = conn.0,
                    bytes = payload.len(),
                    "clients do not read their answers: no capacity for one more"
                );
                self.respond(conn, 500, &[], b"no room for the answer\n", now);
            }
            Frame::Served { payload, .. } => self.respond(conn, 200, &[], payload, now),
            Frame::Refused { wait: 0, .. } => self.respond(conn, 503, &[], b"refused\n", now),
            Frame::Refused { wait, .. } => {
                let seconds = f64::from(*wait) / 1e6;
                self.respond(conn, 503, &[("Retry-After", &format_args!("{seconds:.3}"))], b"refused\n", now);
            }
            _ => self.respond(conn, 500, &[], b"failed\n", now),
        }
    }

    /// Guards the memory against clients that read large answers slowly, or not at all: what waits for all of
    /// them has a bound. An answer beyond it fails.
    fn has_output_capacity(&self, bytes: usize) -> bool {
        bytes <= MAX_REQUEST_BODY_BYTES
            || bytes + self.connections.unread_bytes() <= self.config.bounds.max_response_bytes
    }

    /// Answers the request that a client has open.
    fn respond(
        &mut self,
        conn: ConnId,
        status: u16,
        fields: &[(&str, &dyn Display)],
        body: &[u8],
        now: Micros,
    ) {
        let is_stopping = self.shutdown.phase() == Phase::Stopping;
        let Some(http) = self.http(conn) else { return };
        let keeps = http.start_answer(is_stopping, now);
        self.connections.write(conn, |bytes| write_response(bytes, status, fields, body, keeps));
    }

    /// An error for what can't be read any further. What is still on its way is dropped, so that the client
    /// can read the error.
    fn reject_malformed(&mut self, conn: ConnId, status: u16, text: &str, now: Micros) {
        debug!(conn = conn.0, status, text, "closing a connection for what its peer sent");
        self.counts.protocol_faults += 1;
        self.linger(conn, now);
        self.connections
            .write(conn, |bytes| write_response(bytes, status, &[], format!("{text}\n").as_bytes(), false));
    }

    /// Nothing more is read of a client; what still comes is dropped for a while.
    fn linger(&mut self, conn: ConnId, now: Micros) {
        let Some(http) = self.http(conn) else { return };
        let dropped = http.start_lingering(now);
        let queued = std::mem::replace(&mut http.queued, now);
        self.clients.slots.start_lingering(conn, queued, now);
        self.connections.sub_partial_bytes(dropped);
        // The client reads to the end of what it was sent and closes in its turn (RFC 9112, 9.6).
        self.connections.command(Command::ShutdownWrite(conn));
        self.timers.set(now.after(LINGER_TIMEOUT), Timer::StallCheck(conn));
    }

    /// Something was written, or added: the next request can be read once all is written.
    pub(super) fn http_wrote(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection {
            peer: Peer::Client(client), protocol: Protocol::HttpServer(http), outbox, ..
        }) = self.connections.get_mut(conn)
        else {
            return;
        };
        if !outbox.is_empty() || !client.owed.is_empty() {
            return;
        }
        if client.is_half_closed {
            // What it sent behind its last request is not executed: it has disconnected.
            return self.close(conn, "client has all it waits for", now);
        }
        let is_full = !http.wants_read();
        match http.flow() {
            Flow::Open => self.read_http(conn, now),
            // What it sent behind its last request is not read; a close now could take the answer with it.
            Flow::LastAnswer => self.linger(conn, now),
            Flow::Lingering(_) => {}
        }
        if is_full {
            // It may be read again.
            self.connections.command(Command::Flush(conn));
        }
    }

    /// Checks whether a connection has made no progress for too long. Guards against heads that never end,
    /// half requests and silent clients.
    pub(super) fn check_http_stalled(&mut self, conn: ConnId, now: Micros) {
        let timeout = self.config.site.timeouts.greeting_timeout;
        let Some(Connection { peer: Peer::Client(client), protocol: Protocol::HttpServer(http), .. }) =
            self.connections.get(conn)
        else {
            return;
        };
        let waited = now.since(http.since());
        match http.flow() {
            Flow::Lingering(_) if waited >= LINGER_TIMEOUT => {
                self.close(conn, "client did not close the connection after its last answer", now)
            }
            Flow::Lingering(_) => {}
            _ if !client.owed.is_empty() || waited < timeout => {}
            // Silent since it was opened: nothing was asked that an answer could be for.
            _ if http.requests() == 0 && !http.has_partial_request() => self.close(conn, "silent", now),
            _ if http.has_partial_request() => {
                self.reject_malformed(conn, 408, "the request does not end", now)
            }
            _ => {}
        }
    }

    /// Nothing new is accepted: idle connections are shut, so that a request that crosses this is not read
    /// and its client asks elsewhere; the others after their answer. New ones are left until they have asked.
    pub(super) fn drain_http_clients(&mut self, now: Micros) {
        let is_idle = |c: &Connection| match (&c.peer, &c.protocol) {
            (Peer::Client(client), Protocol::HttpServer(http)) => {
                let has_had_time = http.requests() > 0 || now.since(http.since()) >= SILENT_EVICTABLE_AFTER;
                has_had_time
                    && client.owed.is_empty()
                    && c.outbox.is_empty()
                    && !http.has_partial_request()
                    && !http.is_lingering()
            }
            _ => false,
        };
        let idle: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| is_idle(c)).map(|(conn, _)| conn).collect();
        idle.into_iter().for_each(|conn| self.linger(conn, now));
    }
}
