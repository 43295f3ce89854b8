//! HTTP clients: one request at a time per connection, and error responses.
//!
//! Input is validated before anything reaches the module. A framing error gets an error response and closes
//! the connection; a semantic error gets an error response only. Pipelined input is not processed until the
//! current request is answered and its response written, so that a client that sends without reading delays
//! only itself, and then in the next turn, so that one that sends at full speed delays no other.
//!
//! A client takes each response for that to its first unanswered request. So while a request is unanswered,
//! only its final response is sent: input that is rejected then is discarded, and the connection closes after
//! that response.

use super::Core;
use super::clients::Client;
use super::connection_slots::UNUSED_EVICTABLE_AFTER;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::http_connection::{
    ClientWait, ConnectionPhase, ForwardedHead, HttpServer, LINGER_TIMEOUT, ReceivedBytes,
};
use super::shutdown::Phase;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Machine as _, Micros};
use flaxstand::api::RequestId;
use flaxstand_http::{Request, write_response};
use flaxstand_platform::{ClientRequest, READY_PATH, RequestLimits};
use flaxstand_proto::{Frame, Submit};
use std::fmt::Display;
use tracing::debug;

/// Time without progress after which a client's unread response may be discarded for the responses of others.
const MIN_UNREAD_TIME: Micros = Micros(250_000);

impl Core {
    /// Returns the HTTP state of a client's connection.
    fn http(&mut self, conn: ConnId) -> Option<&mut HttpServer> {
        match self.connections.get_mut(conn) {
            Some(Connection { protocol: Protocol::HttpServer(http), .. }) => Some(http),
            _ => None,
        }
    }

    /// Returns the unanswered request of a client's connection.
    fn unanswered_on(&self, conn: ConnId) -> Option<RequestId> {
        match &self.connections.get(conn)?.peer {
            Peer::Client(client) => client.unanswered.values().next().copied(),
            _ => None,
        }
    }

    /// Accepts a client's connection; at the limit an idle one is evicted for it.
    ///
    /// # Errors
    /// The connection is rejected. Contains the bytes to send before it is closed.
    pub(super) fn accept_http_client(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        // While stopping, the process no longer listens. A client that connected before that learns of the
        // stop from the response to its request.
        let is_stopped = self.shutdown.phase() == Phase::Stopped;
        if is_stopped || self.clients.len() >= self.config.bounds.max_clients && !self.evict_client(now) {
            debug!(clients = self.clients.len(), "client connection rejected");
            let mut bytes = Vec::new();
            write_response(&mut bytes, 503, &[], b"no room\n", false);
            return Err(bytes);
        }
        self.clients.connected();
        let protocol = Protocol::HttpServer(HttpServer::new(now));
        let conn = self.connections.open(Peer::Client(Client::default()), Stage::Open, protocol);
        self.clients.slots.add(conn, now);
        self.schedule_stall_check(conn);
        Ok(conn)
    }

    /// Closes the connection to evict for a new one. Returns whether there was one.
    fn evict_client(&mut self, now: Micros) -> bool {
        let evicted = self.clients.slots.find_evictable(&mut self.connections, now);
        self.limit_counts.clients += 1;
        if let Some(conn) = evicted {
            self.close(conn, "evicted for a new connection", now);
        }
        evicted.is_some()
    }

    /// Handles bytes received from a client.
    pub(super) fn http_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(http) = self.http(conn) else { return };
        match http.receive(bytes, now) {
            ReceivedBytes::Buffered => self.http_buffered(conn, now),
            ReceivedBytes::Discarded => {}
            ReceivedBytes::TooMany => {
                return self.close(conn, "client sent too many bytes after its last response", now);
            }
        }
        self.update_reading(conn);
    }

    /// Lets the driver pause or resume reading a client's connection, if that has changed.
    fn update_reading(&mut self, conn: ConnId) {
        let is_read = self.wants_read(conn);
        let Some(http) = self.http(conn) else { return };
        if http.is_read != is_read {
            http.is_read = is_read;
            self.connections.command(Command::Flush(conn));
        }
    }

    /// Schedules the next request that a client has already sent for the next turn: what others have sent by then,
    /// and the end of this client, come first.
    fn schedule_next_request(&mut self, conn: ConnId, now: Micros) {
        let Some(http) = self.http(conn).filter(|http| http.has_partial_request()) else { return };
        http.has_next_request = true;
        self.timers.set(now.after(Micros(1)), Timer::NextRequest(conn));
    }

    /// Processes the next request that a client has already sent.
    pub(super) fn read_next_request(&mut self, conn: ConnId, now: Micros) {
        self.read_http(conn, now);
        self.update_reading(conn);
    }

    /// Processes buffered input, unless the incomplete requests of all clients exceed their limit.
    fn http_buffered(&mut self, conn: ConnId, now: Micros) {
        self.connections.update_charge(conn);
        if self.exceeds_input_memory(conn) {
            self.reject_excess_input(conn, now);
        } else {
            self.read_http(conn, now);
        }
    }

    /// Returns whether the incomplete requests of all clients exceed their limit and this client has a part in it.
    fn exceeds_input_memory(&self, conn: ConnId) -> bool {
        let used = self.connections.memory().incomplete_requests;
        used > self.config.bounds.max_partial_request_bytes
            && self.connections.charge_of(conn).incomplete_requests > 0
    }

    fn reject_excess_input(&mut self, conn: ConnId, now: Micros) {
        self.limit_counts.incomplete_requests += 1;
        self.reject_input(conn, 503, "too much is on its way in", now);
    }

    /// Processes the next request, unless one is unanswered or its response is not yet written.
    fn read_http(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection {
            peer: Peer::Client(client), protocol: Protocol::HttpServer(http), outbox, ..
        }) = self.connections.get_mut(conn)
        else {
            return;
        };
        let is_answered = !client.is_busy() && outbox.is_empty();
        if http.phase() != ConnectionPhase::Open || !is_answered || !http.has_partial_request() {
            return;
        }
        http.has_next_request = false;
        let taken = http.take_request(now);
        self.connections.update_charge(conn);
        match taken {
            Ok(Some(request)) => self.handle_request(conn, request, now),
            // A complete head takes more memory than its bytes.
            Ok(None) if self.exceeds_input_memory(conn) => self.reject_excess_input(conn, now),
            Ok(None) => self.schedule_stall_check(conn),
            Err(fault) => self.reject_input(conn, fault.status(), &fault.to_string(), now),
        }
    }

    /// Handles a complete request.
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
                debug!(conn = conn.0, %bad, "invalid request; responding with an error");
                self.counts.protocol_faults += 1;
                return self.respond(conn, bad.status(), &[], format!("{bad}\n").as_bytes(), now);
            }
        };
        if self.requests.has_client_id(read.id) {
            debug!(
                conn = conn.0,
                id = read.id,
                "request id is in use by a pending request; responding with 409"
            );
            self.counts.protocol_faults += 1;
            return self.respond(conn, 409, &[], b"a request with this id is open\n", now);
        }
        if self.requests.may_have_executed(read.id) {
            debug!(conn = conn.0, id = read.id, "request id may have been executed; responding with 409");
            self.limit_counts.repeated_ids += 1;
            return self.respond(conn, 409, &[], b"a request with this id has run\n", now);
        }
        let number = self.http(conn).map_or(0, |http| http.requests());
        let submit = self.submit_of(&read, number, &request.body);
        let forwarded_head = ForwardedHead {
            method: if read.is_write { "PUT" } else { "GET" },
            target: request.target.clone(),
            id: read.id.to_owned(),
            key: read.idempotency_key.map(str::to_owned),
        };
        if let Err(fault) = self.submit(conn, &submit, Some(forwarded_head), now) {
            self.respond(conn, 400, &[], fault.text.as_bytes(), now);
        }
    }

    /// Converts a request to its equivalent in the frame protocol. `number` is its number on the connection.
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
            // A client's time-out is capped at the deadline of its class.
            time_left: read.time_left_micros.min(deadline),
            payload,
        }
    }

    /// Sends a request's final response in the client's protocol.
    pub(super) fn send_to_client(&mut self, conn: ConnId, frame: &Frame<'_>, now: Micros) {
        if self.connections.speaks_frames(conn) {
            self.connections.send_frame(conn, frame);
            return;
        }
        match frame {
            Frame::Served { payload, .. } if !self.make_output_room(payload.len(), now) => {
                self.limit_counts.unread_responses += 1;
                debug!(
                    conn = conn.0,
                    bytes = payload.len(),
                    "unread responses of all clients exceed their limit; responding with 500"
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

    /// Returns whether a response fits within the limit on unread responses of all clients. Bounds the memory
    /// taken by clients that read responses slowly or not at all. A response beyond it fails; a small one never is.
    fn has_output_capacity(&self, bytes: usize) -> bool {
        bytes <= self.memory_bounds.free_bytes_per_connection
            || bytes + self.connections.memory().unread_responses
                <= self.memory_bounds.max_unread_response_bytes
    }

    /// Sends the response to a client's current request.
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
        let keeps = http.start_response(is_stopping, now);
        self.connections.write(conn, |bytes| write_response(bytes, status, fields, body, keeps));
    }

    /// Rejects the input of a client from here on; it is discarded, so that the client can read the response
    /// before the connection is closed. The response is the final one of the unanswered request, if there is
    /// one, or else this error.
    fn reject_input(&mut self, conn: ConnId, status: u16, text: &str, now: Micros) {
        self.counts.protocol_faults += 1;
        if let Some(request) = self.unanswered_on(conn) {
            debug!(
                conn = conn.0,
                request = request.0,
                text,
                "rejecting further input; closing the connection after the response to its request"
            );
            if let Some(http) = self.http(conn) {
                http.close_after_response();
            }
            return self.connections.update_charge(conn);
        }
        debug!(conn = conn.0, status, text, "rejecting a request; closing the connection after the response");
        self.linger(conn, now);
        self.connections
            .write(conn, |bytes| write_response(bytes, status, &[], format!("{text}\n").as_bytes(), false));
    }

    /// Stops processing a client's input; further input is discarded until the connection is closed.
    fn linger(&mut self, conn: ConnId, now: Micros) {
        let Some(http) = self.http(conn) else { return };
        http.start_lingering(now);
        let queued = std::mem::replace(&mut http.queued_at, now);
        self.clients.slots.start_lingering(conn, queued, now);
        self.connections.update_charge(conn);
        // The client reads the response to its end and then closes the connection (RFC 9112, 9.6).
        self.connections.command(Command::ShutdownWrite(conn));
        self.schedule_stall_check(conn);
    }

    /// Records that a client has read a part of a response.
    pub(super) fn record_output_progress(&mut self, conn: ConnId, now: Micros) {
        if let Some(http) = self.http(conn) {
            http.record_output_progress(now);
        }
    }

    /// Returns what a client's connection waits for, since when and for how long it may.
    fn client_wait(&self, conn: ConnId) -> Option<(ClientWait, Micros)> {
        let Some(Connection {
            peer: Peer::Client(client), protocol: Protocol::HttpServer(http), outbox, ..
        }) = self.connections.get(conn)
        else {
            return None;
        };
        let wait = http.waits_for(client.is_busy(), !outbox.is_empty())?;
        let timeout = match wait {
            ClientWait::Close => LINGER_TIMEOUT,
            _ => self.config.site.timeouts.greeting_timeout,
        };
        Some((wait, http.since().after(timeout)))
    }

    /// Schedules the check for progress of a client's connection. Only one is pending at a time, however often
    /// the client changes what the connection waits for.
    fn schedule_stall_check(&mut self, conn: ConnId) {
        let Some((_, due)) = self.client_wait(conn) else { return };
        let Some(http) = self.http(conn) else { return };
        let pending = http.stall_check_at;
        // An earlier check schedules the next one.
        if pending.is_some_and(|at| at <= due) {
            return;
        }
        http.stall_check_at = Some(due);
        if let Some(at) = pending {
            self.timers.cancel(at, Timer::StallCheck(conn));
        }
        self.timers.set(due, Timer::StallCheck(conn));
    }

    /// Continues after output was queued or written: once all is written, the next request can be processed.
    pub(super) fn check_http_output(&mut self, conn: ConnId, now: Micros) {
        let Some(Connection {
            peer: Peer::Client(client), protocol: Protocol::HttpServer(http), outbox, ..
        }) = self.connections.get_mut(conn)
        else {
            return;
        };
        if !outbox.is_empty() {
            if http.unread_since.is_none() {
                http.unread_since = Some(http.since());
                self.clients.unread.add(conn, http.since());
            }
            return self.schedule_stall_check(conn);
        }
        if let Some(queued) = http.unread_since.take() {
            self.clients.unread.remove(conn, queued);
        }
        if client.is_busy() {
            return;
        }
        if client.is_half_closed {
            // Pipelined requests are not executed: the client has shut down its sending side.
            return self.close(conn, "all responses to the half-closed client are sent", now);
        }
        match http.phase() {
            ConnectionPhase::Open => self.schedule_next_request(conn, now),
            // Closing now, with unread input, would reset the connection and could lose the response.
            ConnectionPhase::Closing(_) => self.linger(conn, now),
            ConnectionPhase::Lingering(_) => {}
        }
        self.update_reading(conn);
    }

    /// Closes a connection that has made no progress for too long: an endless head, a partial request, a response
    /// that is not read or a client that sends nothing.
    pub(super) fn check_http_stalled(&mut self, conn: ConnId, now: Micros) {
        let Some(http) = self.http(conn) else { return };
        http.stall_check_at = None;
        let Some((wait, due)) = self.client_wait(conn) else { return };
        if now < due {
            return self.schedule_stall_check(conn);
        }
        self.limit_counts.stalled_clients += 1;
        match wait {
            ClientWait::UnreadResponse => {
                self.close_discarding_output(conn, "client does not read its response", now)
            }
            ClientWait::Close => {
                self.close(conn, "client did not close the connection after its last response", now)
            }
            ClientWait::PartialRequest => self.reject_input(conn, 408, "the request does not end", now),
            // There is no request to respond to.
            ClientWait::FirstRequest => self.close(conn, "client sent no request in time", now),
        }
    }

    /// Makes room for a response by closing clients that have not read theirs for the longest time. Returns whether
    /// there is room now.
    fn make_output_room(&mut self, bytes: usize, now: Micros) -> bool {
        while !self.has_output_capacity(bytes) {
            let unread = &mut self.clients.unread;
            let Some(conn) = unread.longest_unread(&mut self.connections, MIN_UNREAD_TIME, now) else {
                return false;
            };
            self.limit_counts.unread_responses += 1;
            self.close_discarding_output(
                conn,
                "client does not read its response, its memory is needed",
                now,
            );
        }
        true
    }

    /// Closes idle connections during a shutdown. A request that crosses the close is not processed and its
    /// client retries elsewhere. Busy connections are closed after their response, new ones after their first
    /// request.
    pub(super) fn drain_http_clients(&mut self, now: Micros) {
        let is_idle = |c: &Connection| match (&c.peer, &c.protocol) {
            (Peer::Client(client), Protocol::HttpServer(http)) => {
                let is_past_grace = http.requests() > 0 || now.since(http.since()) >= UNUSED_EVICTABLE_AFTER;
                is_past_grace
                    && client.unanswered.is_empty()
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
