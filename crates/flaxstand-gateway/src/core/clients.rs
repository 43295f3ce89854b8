//! Clients on the frame protocol, requests of all clients, and the limits that isolate clients from each
//! other.

use super::Core;
use super::arrival_order::HeldRequest;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::http_connection::ForwardedHead;
use super::peer_fault::PeerFault;
use super::pending_request::{Handler, Owner, PendingRequest};
use super::shutdown::Phase;
use super::timers::Timer;
use crate::machine::{ArrivalTime, Command, ConnId, Micros};
use flaxstand::api::{Event, RequestId, VolumeId};
use flaxstand_proto::{
    CloseReason, Frame, Hello, Inbox, Refusal, Role, Scope, Submit, VERSION, VERSION_OLDEST, encode,
};
use rand_core::RngCore as _;
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// State of a client's connection.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Unanswered requests, by the client's request numbers.
    pub(super) unanswered: BTreeMap<u64, RequestId>,
    /// Reading is paused until the client has read its pending responses.
    pub(super) is_paused: bool,
    /// The client has shut down its sending side; pending responses are still sent.
    pub(super) is_half_closed: bool,
    /// Time at which the last bytes arrived, if the driver reports it.
    pub(super) arrived_at: Option<ArrivalTime>,
}

impl Client {
    /// Returns whether a request is unanswered.
    pub(super) fn is_busy(&self) -> bool {
        !self.unanswered.is_empty()
    }
}

/// Reason why a new connection is rejected.
#[derive(Clone, Copy, Debug)]
struct ConnectionRejection {
    close_reason: CloseReason,
    retry_after: Micros,
    text: &'static str,
}

impl ConnectionRejection {
    /// Encodes the `Bye` frame for the client.
    fn to_bytes(self) -> Vec<u8> {
        let ConnectionRejection { close_reason, retry_after, text } = self;
        let wait = retry_after.saturating_u32();
        let mut bytes = Vec::new();
        encode(&Frame::Bye { close_reason, wait, text }, &mut bytes);
        bytes
    }
}

/// Id and deadline of a request that was admitted within the limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedRequest {
    pub(super) id: RequestId,
    pub(super) expires_at: Micros,
}

/// A limit that a request exceeds, and the scope of the rejection.
#[derive(Clone, Copy, Debug)]
struct ExceededBound {
    refusal: Refusal,
    scope: Scope,
}

impl Core {
    /// Accepts a client's connection.
    ///
    /// # Errors
    /// The connection is rejected. Contains the bytes to send before it is closed.
    pub(super) fn accept_client(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        if self.on_platform() {
            return self.accept_http_client(now);
        }
        if let Some(rejection) = self.reject_connection(now) {
            info!(
                clients = self.clients.len(),
                retry_after_us = rejection.retry_after.0,
                text = rejection.text,
                "client connection rejected"
            );
            return Err(rejection.to_bytes());
        }
        self.clients.connected();
        let protocol = Protocol::Frames(Inbox::default());
        let conn = self.connections.open(Peer::Client(Client::default()), Stage::Greeting, protocol);
        self.timers.set(now.after(self.config.site.timeouts.greeting_timeout), Timer::ConnectTimeout(conn));
        Ok(conn)
    }

    /// Returns why a new connection is rejected, if it is. No state is kept for a rejected client.
    fn reject_connection(&mut self, now: Micros) -> Option<ConnectionRejection> {
        let (close_reason, retry_after, text) = (CloseReason::Stopping, Micros(0), "stopping");
        if self.shutdown.phase() != Phase::Running {
            return Some(ConnectionRejection { close_reason, retry_after, text });
        }
        if self.clients.len() >= self.config.bounds.max_clients {
            let (close_reason, text) = (CloseReason::Bound, "as many clients as may be");
            return Some(ConnectionRejection { close_reason, retry_after, text });
        }
        let draw = (self.rng.next_u32() >> 8) as f64 / f64::from(1 << 24);
        let retry_after = self.connection_rate_limiter.admit(now, draw)?;
        let (close_reason, text) = (CloseReason::Turn, "many come at once");
        Some(ConnectionRejection { close_reason, retry_after, text })
    }

    /// Handles a client's first frame.
    pub(super) fn handle_client_hello(&mut self, conn: ConnId, hello: &Hello<'_>) -> Result<(), PeerFault> {
        if hello.role != Role::Client {
            return Err(PeerFault::protocol(format!("a client was expected, not {:?}", hello.role)));
        }
        let (oldest, newest) = hello.versions;
        if oldest > VERSION || newest < VERSION_OLDEST {
            let text =
                format!("versions {oldest} to {newest}, this initiator speaks {VERSION_OLDEST} to {VERSION}");
            return Err(PeerFault::new(CloseReason::Version, text));
        }
        self.connections.set_stage(conn, Stage::Open);
        self.connections.send_frame(conn, &Frame::Welcome(self.config.welcome(newest)));
        debug!(conn = conn.0, client = hello.name, "client connected");
        Ok(())
    }

    /// Handles a client's request. A request beyond a limit is rejected.
    ///
    /// # Errors
    /// The request is invalid.
    pub(super) fn submit(
        &mut self,
        conn: ConnId,
        s: &Submit<'_>,
        forwarded_head: Option<ForwardedHead>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        self.check_ranges(s)?;
        let volume = Some(VolumeId(s.volume));
        let bytes = s.payload.len() + forwarded_head.as_ref().map_or(0, ForwardedHead::memory_bytes);
        let Some(reserved) = self.reserve_request(conn, s.id, volume, bytes, s.time_left, now)? else {
            return Ok(());
        };
        let mut pending = PendingRequest::new(conn, s, reserved.expires_at);
        pending.forwarded_head = forwarded_head.map(Box::new);
        self.start_request(reserved.id, pending, now);
        Ok(())
    }

    /// Returns whether the content of another request fits within the memory for accepted ones. A small one always
    /// does.
    fn has_request_memory(&self, bytes: usize) -> bool {
        let bounds = &self.memory_bounds;
        let is_small = bytes <= bounds.free_bytes_per_connection;
        is_small || self.requests.memory_bytes() + bytes <= bounds.max_accepted_request_bytes
    }

    /// Validates the class, plan, units and byte range of a request.
    fn check_ranges(&self, s: &Submit<'_>) -> Result<(), PeerFault> {
        let site = &self.config.site;
        let max_units = site.settings.max_units;
        if usize::from(s.class) >= site.classes.len() {
            return Err(PeerFault::protocol(format!("class {} of {}", s.class, site.classes.len())));
        }
        if usize::from(s.plan) >= site.plans.len() {
            return Err(PeerFault::protocol(format!("plan {} of {}", s.plan, site.plans.len())));
        }
        if s.units == 0 || f64::from(s.units) > max_units {
            return Err(PeerFault::protocol(format!("{} units, 1 to {max_units} are taken", s.units)));
        }
        Self::check_write_range(s)
    }

    /// Reserves an id for a client's request, or rejects the request and returns `None` if a limit is
    /// reached. `bytes` is the memory of its content, `time_left` the client's remaining time-out in
    /// microseconds.
    ///
    /// # Errors
    /// The client's request number is in use.
    pub(super) fn reserve_request(
        &mut self,
        conn: ConnId,
        client_id: u64,
        volume: Option<VolumeId>,
        bytes: usize,
        time_left: u32,
        now: Micros,
    ) -> Result<Option<ReservedRequest>, PeerFault> {
        let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get(conn) else {
            return Ok(None);
        };
        if client.unanswered.contains_key(&client_id) {
            return Err(PeerFault::protocol(format!("number {client_id} is in use")));
        }
        self.counts.accepted += 1;
        if let Some(bound) = self.exceeded_bound(client, volume, bytes) {
            self.reject_at_bound(conn, client_id, bound, now);
            return Ok(None);
        }
        let id = self.requests.next_id();
        if let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get_mut(conn) {
            client.unanswered.insert(client_id, id);
        }
        let time_left = Micros(time_left.into()).since(self.config.site.timeouts.response_margin);
        let expires_at = self.shutdown.deadline(now.after(time_left));
        Ok(Some(ReservedRequest { id, expires_at }))
    }

    /// Returns the limit that another request would exceed, if any. Keeps one client, or many volumes, from
    /// taking all capacity.
    fn exceeded_bound(
        &self,
        client: &Client,
        volume: Option<VolumeId>,
        bytes: usize,
    ) -> Option<ExceededBound> {
        let bounds = &self.config.bounds;
        let is_new_volume = volume.is_some_and(|v| !self.policy.tracks_volume(v));
        let (refusal, scope) = if matches!(self.shutdown.phase(), Phase::Stopping | Phase::Stopped) {
            (Refusal::Stopping, Scope::All)
        } else if self.requests.len() >= bounds.max_requests {
            (Refusal::Held, Scope::All)
        } else if client.unanswered.len() >= bounds.max_requests_per_client {
            (Refusal::Client, Scope::All)
        } else if is_new_volume && self.policy.tracked_volumes() >= bounds.max_volumes {
            (Refusal::Held, Scope::Volume)
        } else if !self.has_request_memory(bytes) {
            (Refusal::Held, Scope::Request)
        } else {
            return None;
        };
        Some(ExceededBound { refusal, scope })
    }

    fn reject_at_bound(&mut self, conn: ConnId, client_id: u64, bound: ExceededBound, now: Micros) {
        let ExceededBound { refusal, scope } = bound;
        self.counts.rejected_at_bound += 1;
        match (refusal, scope) {
            (Refusal::Held, Scope::Request) => self.limit_counts.accepted_requests += 1,
            (Refusal::Held, _) => self.limit_counts.requests += 1,
            _ => {}
        }
        debug!(conn = conn.0, id = client_id, ?refusal, "request rejected: limit reached");
        let retry_after = Micros::from_ms(self.config.site.settings.max_retry_after).0;
        let wait = u32::try_from(retry_after).unwrap_or(u32::MAX);
        self.send_to_client(conn, &Frame::Refused { id: client_id, wait, refusal, scope }, now);
        self.check_client_output(conn, now);
    }

    fn start_request(&mut self, id: RequestId, pending: PendingRequest, now: Micros) {
        let (class, owner) = (pending.class, pending.owner);
        let client_request_id = pending.forwarded_head.as_ref().map(|head| head.id.as_str());
        debug!(request = id.0, client_request_id, ?owner, class, shard = pending.shard, "request accepted");
        self.timers.set(pending.expires_at, Timer::Deadline(id));
        self.requests.insert(id, pending);
        if !self.hold_until_ordered(id, HeldRequest::Ordinary) {
            self.submit_request(id, now);
        }
    }

    /// Holds a request until all that arrived before it are known, if it must run in order of arrival. Returns
    /// whether it is held.
    pub(super) fn hold_until_ordered(&mut self, id: RequestId, request: HeldRequest) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let Owner::Client { conn, .. } = pending.original_owner else { return false };
        let Some(Peer::Client(client)) = self.connections.get(conn).map(|c| &c.peer) else { return false };
        let Some(arrived_at) = client.arrived_at.filter(|_| self.keeps_order(pending)) else { return false };
        self.arrival_order.hold(id, arrived_at, request);
        true
    }

    /// Returns whether a request must run in order of arrival. With a write-back buffer, and a
    /// class in order, these are all requests, since its barriers order requests of all classes.
    fn keeps_order(&self, pending: &PendingRequest) -> bool {
        let class = &self.module_classes[usize::from(pending.class)];
        let is_ordered = class.in_order && pending.extent.is_some();
        is_ordered || self.write_back.is_some() && self.has_ordered_class()
    }

    /// Returns whether requests of any class must run in order of arrival.
    pub(super) fn has_ordered_class(&self) -> bool {
        self.module_classes.iter().any(|class| class.in_order)
    }

    /// Submits the held requests whose order of arrival is known.
    pub(super) fn submit_arrived(&mut self, now: Micros) {
        for (id, request) in self.arrival_order.input_delivered() {
            if !self.requests.is_unanswered(id) {
                continue;
            }
            match request {
                HeldRequest::Ordinary => self.submit_request(id, now),
                HeldRequest::Ordering(ordering) => self.submit_to_buffer(id, ordering, now),
            }
        }
    }

    /// Submits an accepted request to the buffer or the module.
    fn submit_request(&mut self, id: RequestId, now: Micros) {
        let Some(class) = self.apply_admission(id, now) else { return };
        if !self.offer_to_buffer(id, now)
            && let Some(pending) = self.requests.get(id)
        {
            self.events.push_back(Event::RequestArrived(pending.arrival(id, class)));
        }
    }

    /// Enforces the limits on a client's unread output after a write. Bounds the memory taken by clients that
    /// do not read.
    pub(super) fn check_client_output(&mut self, conn: ConnId, now: Micros) {
        let bounds = self.config.bounds;
        let Some(c) = self.connections.get_mut(conn) else { return };
        if let Protocol::HttpServer(_) = c.protocol {
            return self.check_http_output(conn, now);
        }
        let Peer::Client(client) = &mut c.peer else { return };
        if c.outbox.len() > bounds.max_client_bytes {
            warn!(
                conn = conn.0,
                bytes = c.outbox.len(),
                "client does not read its responses; disconnecting it"
            );
            self.disconnect(conn, CloseReason::Bound, "answers are not read", now);
        } else if c.outbox.len() > bounds.client_pause_bytes && !client.is_paused {
            debug!(
                conn = conn.0,
                bytes = c.outbox.len(),
                "reading from client paused until it reads its responses"
            );
            client.is_paused = true;
            self.connections.command(Command::Flush(conn));
        } else if client.is_half_closed && client.unanswered.is_empty() && c.outbox.is_empty() {
            self.close(conn, "all responses to the half-closed client are sent", now);
        }
    }

    /// Resumes reading from a paused client once its unread output has shrunk, and enforces the limits.
    pub(super) fn resume_client(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        let Peer::Client(client) = &mut c.peer else { return };
        if client.is_paused && c.outbox.len() <= self.config.bounds.client_pause_bytes / 2 {
            client.is_paused = false;
            self.connections.command(Command::Flush(conn));
        }
        self.check_client_output(conn, now);
    }

    /// Handles the end of the peer's stream. Returns whether the connection stays open to send pending
    /// responses to a client.
    pub(super) fn client_finished(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.connections.get_mut(conn) else { return false };
        match &mut c.peer {
            Peer::Client(client)
                if (matches!(c.protocol, Protocol::Frames(_)) && !client.unanswered.is_empty())
                    || !c.outbox.is_empty() =>
            {
                client.is_half_closed = true;
                true
            }
            _ => false,
        }
    }

    /// Abandons the requests of a client whose connection is closed. Attempts already in flight continue and
    /// are still accounted for.
    pub(super) fn client_disconnected(&mut self, conn: ConnId, client: &Client, cause: &str, now: Micros) {
        self.clients.disconnected();
        debug!(conn = conn.0, cause, owed = client.unanswered.len(), "client disconnected");
        for id in client.unanswered.values() {
            self.counts.abandoned += 1;
            self.withdraw_unsent_of_request(*id, now);
            if let Some(pending) = self.requests.get_mut(*id) {
                pending.owner = None;
                if pending.handler != Handler::Buffer {
                    self.events.push_back(Event::ClientDisconnected(*id));
                }
            }
            self.requests.release_content(*id);
            self.remove_if_finished(*id, now);
        }
    }
}
