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
use super::shutdown::Phase;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand_http::{MAX_REQUEST_BODY_BYTES, Request, RequestReader, write_response};
use flaxstand_platform::{ClientRequest, READY, RequestLimits};
use flaxstand_proto::{Frame, Submit};
use std::fmt::Display;
use tracing::debug;

/// After an error the peer has so long, and so many bytes, to stop sending and read it.
const LINGER: Micros = Micros(500_000);
const LINGER_BYTES: usize = 1 << 20;

/// How a request came, for passing it on unchanged.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) method: &'static str,
    pub(super) target: String,
    pub(super) id: String,
    pub(super) key: Option<String>,
}

/// How far a connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Open,
    /// It ends with the answer to the request that it has open.
    LastAnswer,
    /// An error was its last answer: what still comes is dropped, up to so many bytes.
    Lingering(usize),
}

/// The server's side of one client's HTTP/1.1 connection.
#[derive(Debug)]
pub(super) struct HttpServer {
    pub(super) reader: RequestReader,
    flow: Flow,
    /// Since when a request is on its way in, or the connection waits for one.
    pub(super) since: Micros,
    /// By which moment it is queued among those that may give their place to a new client.
    pub(super) queued: Micros,
    /// Requests that came whole.
    pub(super) requests: u64,
}

impl HttpServer {
    fn new(now: Micros) -> Self {
        HttpServer {
            reader: RequestReader::default(),
            flow: Flow::Open,
            since: now,
            queued: now,
            requests: 0,
        }
    }

    /// Bytes that were read in part.
    pub(super) fn partial_bytes(&self) -> usize {
        self.reader.len()
    }

    /// Its last answer has been given: what still comes is dropped.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.flow, Flow::Lingering(_))
    }

    /// What a full reader is sent waits with its peer.
    pub(super) fn wants_read(&self) -> bool {
        matches!(self.flow, Flow::Lingering(_)) || !self.reader.is_full()
    }
}

impl Core {
    fn http(&mut self, conn: ConnId) -> Option<&mut HttpServer> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpServer(http), .. }) => Some(http),
            _ => None,
        }
    }

    pub(super) fn accept_http_client(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        // While the process stops it listens no more; who had connected before that is told so once it has asked.
        let open = self.shutdown.phase() != Phase::Stopped;
        if !open || self.clients.len() >= self.config.bounds.max_clients && !self.evict_client(now) {
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
            self.close(conn, "its place is needed", now);
        }
        evicted.is_some()
    }

    pub(super) fn http_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(http) = self.http(conn) else { return };
        match &mut http.flow {
            Flow::Lingering(left) if *left > bytes.len() => *left -= bytes.len(),
            Flow::Lingering(_) => self.close(conn, "it goes on after an error", now),
            Flow::Open | Flow::LastAnswer => {
                if http.reader.is_empty() && http.requests > 0 {
                    http.since = now;
                }
                http.reader.push(bytes);
                let full = !http.wants_read();
                self.connections.add_partial_bytes(bytes.len());
                if self.connections.partial_bytes() > self.config.bounds.max_partial_request_bytes {
                    self.reject_malformed(conn, 503, "too much is on its way in", now);
                } else {
                    self.read_http(conn, now);
                }
                if full {
                    self.connections.command(Command::Flush(conn));
                }
            }
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
            if http.flow != Flow::Open
                || !client.owed.is_empty()
                || !outbox.is_empty()
                || http.reader.is_empty()
            {
                return;
            }
            let before = http.reader.len();
            match http.reader.take() {
                Ok(Some(request)) => {
                    let read = before - http.reader.len();
                    (http.requests, http.since) = (http.requests + 1, now);
                    if !request.keeps_alive {
                        http.flow = Flow::LastAnswer;
                    }
                    self.connections.sub_partial_bytes(read);
                    self.handle_request(conn, request, now);
                }
                Ok(None) => {
                    // The first has its time from when the connection stood.
                    if http.requests > 0 {
                        let due = http.since.after(self.config.site.timeouts.greeting_timeout);
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
        if request.target == READY {
            let ready = self.shutdown.phase() == Phase::Running && self.nodes.any_serves();
            return self.respond(conn, if ready { 200 } else { 503 }, &[], b"", now);
        }
        let settings = &self.config.site.settings;
        let terms = RequestLimits {
            classes: &self.class_names,
            plans: &self.config.site.plans,
            max_units: settings.max_units,
            max_hosts: settings.initiators,
        };
        let r = match ClientRequest::read(&request, &terms) {
            Ok(r) => r,
            Err(bad) => {
                debug!(conn = conn.0, %bad, "a request that can't be served");
                self.counts.protocol_faults += 1;
                return self.respond(conn, bad.status(), &[], format!("{bad}\n").as_bytes(), now);
            }
        };
        if self.requests.has_client_id(r.id) {
            debug!(conn = conn.0, id = r.id, "an id that is open");
            self.counts.protocol_faults += 1;
            return self.respond(conn, 409, &[], b"a request with this id is open\n", now);
        }
        let deadline = Micros::from_ms(settings.classes[usize::from(r.class)].deadline).0;
        let submit = Submit {
            id: self.http(conn).map_or(0, |http| http.requests),
            operation: 0,
            class: r.class,
            plan: r.plan,
            volume_initiators: r.hosts,
            try_no: r.is_retry.into(),
            write: r.is_write,
            volume: r.volume,
            extent: Some(r.extent),
            shard: r.shard,
            units: r.units,
            at: None,
            // No client waits for longer than its class says; one that says so is not held for longer.
            time_left: u32::try_from(deadline)
                .map_or(r.time_left_micros, |most| r.time_left_micros.min(most)),
            payload: &request.body,
        };
        let origin = Origin {
            method: if r.is_write { "PUT" } else { "GET" },
            target: request.target.clone(),
            id: r.id.to_owned(),
            key: r.idempotency_key.map(str::to_owned),
        };
        if let Err(fault) = self.submit(conn, &submit, Some(origin), now) {
            self.respond(conn, 400, &[], fault.text.as_bytes(), now);
        }
    }

    /// A request's final answer, in the words of the client's wire.
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
                    "clients do not read their answers: no room for one"
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

    /// Guards the memory against clients that read large answers slowly, or not at all: what waits for all of them
    /// has a bound. An answer beyond it fails.
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
        let stays = self.shutdown.phase() != Phase::Stopping;
        let Some(http) = self.http(conn) else { return };
        if !stays && http.flow == Flow::Open {
            http.flow = Flow::LastAnswer;
        }
        http.since = now;
        let keeps = http.flow == Flow::Open;
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
        let partial = http.partial_bytes();
        http.reader = RequestReader::default();
        (http.flow, http.since) = (Flow::Lingering(LINGER_BYTES), now);
        let queued = std::mem::replace(&mut http.queued, now);
        self.clients.slots.start_lingering(conn, queued, now);
        self.connections.sub_partial_bytes(partial);
        // The client reads to the end of what it was sent and closes in its turn (RFC 9112, 9.6).
        self.connections.command(Command::ShutdownWrite(conn));
        self.timers.set(now.after(LINGER), Timer::StallCheck(conn));
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
            // What it sent behind its last request is not begun: it has gone.
            return self.close(conn, "client has all it waits for", now);
        }
        let full = !http.wants_read();
        match http.flow {
            Flow::Open => self.read_http(conn, now),
            // What it sent behind its last request is not read; a close now could take the answer with it.
            Flow::LastAnswer => self.linger(conn, now),
            Flow::Lingering(_) => {}
        }
        if full {
            // It may be read again.
            self.connections.command(Command::Flush(conn));
        }
    }

    /// Looks whether a connection was at one thing for too long. Guards against heads that never end, half
    /// requests and silent clients.
    pub(super) fn check_http_stalled(&mut self, conn: ConnId, now: Micros) {
        let most = self.config.site.timeouts.greeting_timeout;
        let Some(Connection { peer: Peer::Client(client), protocol: Protocol::HttpServer(http), .. }) =
            self.connections.get(conn)
        else {
            return;
        };
        let waited = now.since(http.since);
        match http.flow {
            Flow::Lingering(_) if waited >= LINGER => self.close(conn, "parted", now),
            Flow::Lingering(_) => {}
            _ if !client.owed.is_empty() || waited < most => {}
            // Silent since it stood: nothing was asked that an answer could be for.
            _ if http.requests == 0 && http.reader.is_empty() => self.close(conn, "silent", now),
            _ if !http.reader.is_empty() => self.reject_malformed(conn, 408, "the request does not end", now),
            _ => {}
        }
    }

    /// Nothing new is taken: connections that rest are shut, so that a request that crosses this is not read and its
    /// client asks elsewhere; the others after their answer. New ones are left until they have asked.
    pub(super) fn drain_http_clients(&mut self, now: Micros) {
        let rests = |c: &Connection| match (&c.peer, &c.protocol) {
            (Peer::Client(client), Protocol::HttpServer(http)) => {
                let old = http.requests > 0 || now.since(http.since) >= SILENT_EVICTABLE_AFTER;
                old && client.owed.is_empty()
                    && c.outbox.is_empty()
                    && http.reader.is_empty()
                    && !matches!(http.flow, Flow::Lingering(_))
            }
            _ => false,
        };
        let rests: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| rests(c)).map(|(conn, _)| conn).collect();
        rests.into_iter().for_each(|conn| self.linger(conn, now));
    }
}
