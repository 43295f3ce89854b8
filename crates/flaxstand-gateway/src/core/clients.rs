//! Clients: their greeting, their submissions, and the bounds that keep one from harming the others.

use super::Core;
use super::admission::Admission;
use super::connection_table::{Connection, Peer, Protocol, Stage};
use super::http_server::Origin;
use super::peer_fault::PeerFault;
use super::pending_request::{FinalAnswer, Handler, PendingRequest};
use super::shutdown::Phase;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::{Event, RequestId, VolumeId};
use flaxstand_proto::{
    CloseReason, Frame, Hello, Inbox, Refusal, Role, Scope, Submit, VERSION, VERSION_OLDEST, Welcome, encode,
};
use rand_core::RngCore as _;
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// A client's connection.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Its requests that are owed an answer, by its own numbers.
    pub(super) owed: BTreeMap<u64, RequestId>,
    /// It is not read until it has read what waits for it.
    pub(super) paused: bool,
    /// It sends nothing more; its answers still go out.
    pub(super) finished: bool,
}

impl Core {
    pub(super) fn accept_client(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        // The cheapest refusal: nothing is kept of a client that is told to come back.
        let refusal = match self.shutdown.phase() {
            _ if self.on_platform() => return self.accept_http_client(now),
            Phase::Running if self.clients.len() >= self.config.bounds.clients => {
                Some((CloseReason::Bound, Micros(0), "as many clients as may be"))
            }
            Phase::Running => {
                let draw = (self.rng.next_u32() >> 8) as f64 / f64::from(1 << 24);
                let turn = self.arrivals.comes(now, draw);
                turn.map(|wait| (CloseReason::Turn, wait, "many come at once"))
            }
            Phase::Draining | Phase::Stopping | Phase::Stopped => {
                Some((CloseReason::Stopping, Micros(0), "stopping"))
            }
        };
        if let Some((close_reason, wait, text)) = refusal {
            info!(clients = self.clients.len(), wait_us = wait.0, text, "client turned away");
            let mut bytes = Vec::new();
            let wait = u32::try_from(wait.0).unwrap_or(u32::MAX);
            encode(&Frame::Bye { close_reason, wait, text }, &mut bytes);
            return Err(bytes);
        }
        self.clients.connected();
        let conn = self.connections.open(
            Peer::Client(Client::default()),
            Stage::Greeting,
            Protocol::Frames(Inbox::default()),
        );
        self.timers.set(now.after(self.config.site.waits.greeting), Timer::ConnectTimeout(conn));
        Ok(conn)
    }

    pub(super) fn client_said_hello(&mut self, conn: ConnId, hello: &Hello<'_>) -> Result<(), PeerFault> {
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
        let welcome = Welcome {
            version: VERSION.min(newest),
            role: Role::Initiator,
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name.clone(),
        };
        self.connections.send_frame(conn, &Frame::Welcome(welcome));
        debug!(conn = conn.0, client = hello.name, "client connected");
        Ok(())
    }

    /// A request. What can't be one is the client's fault; what is beyond a bound is refused.
    pub(super) fn submit(
        &mut self,
        conn: ConnId,
        s: &Submit<'_>,
        origin: Option<Origin>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        let fault = |text: String| Err(PeerFault::protocol(text));
        let site = &self.config.site;
        let max_units = site.settings.max_units;
        if usize::from(s.class) >= site.classes.len() {
            return fault(format!("class {} of {}", s.class, site.classes.len()));
        }
        if usize::from(s.plan) >= site.plans.len() {
            return fault(format!("plan {} of {}", s.plan, site.plans.len()));
        }
        if s.units == 0 || f64::from(s.units) > max_units {
            return fault(format!("{} units, 1 to {max_units} are taken", s.units));
        }
        Self::range_fault(s)?;
        let Some((id, expires_at)) =
            self.reserve_request(conn, s.id, Some(VolumeId(s.volume)), s.time_left, now)?
        else {
            return Ok(());
        };
        let mut pending = PendingRequest::new(conn, s, expires_at);
        if let Some(origin) = origin {
            pending.origin = Some(Box::new(origin));
        }
        self.start_request(id, pending, s, now);
        Ok(())
    }

    /// Whether a client may have one more request: its number here and until when, or it is refused.
    pub(super) fn reserve_request(
        &mut self,
        conn: ConnId,
        client_id: u64,
        volume: Option<VolumeId>,
        time_left: u32,
        now: Micros,
    ) -> Result<Option<(RequestId, Micros)>, PeerFault> {
        let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get(conn) else {
            return Ok(None);
        };
        if client.owed.contains_key(&client_id) {
            return Err(PeerFault::protocol(format!("number {client_id} is in use")));
        }
        self.counts.accepted += 1;
        let bounds = &self.config.bounds;
        let new_volume = volume.is_some_and(|v| !self.requests.knows_volume(v));
        let refusal = if matches!(self.shutdown.phase(), Phase::Stopping | Phase::Stopped) {
            Some((Refusal::Stopping, Scope::All))
        } else if self.requests.len() >= bounds.held {
            Some((Refusal::Held, Scope::All))
        } else if client.owed.len() >= bounds.per_client {
            Some((Refusal::Client, Scope::All))
        } else if new_volume && self.requests.volumes() >= bounds.volumes {
            Some((Refusal::Held, Scope::Volume))
        } else {
            None
        };
        if let Some((refusal, scope)) = refusal {
            self.counts.rejected_at_bound += 1;
            debug!(conn = conn.0, id = client_id, ?refusal, "turned away");
            let wait = Micros::from_ms(self.config.site.settings.max_retry_after).0;
            let wait = u32::try_from(wait).unwrap_or(u32::MAX);
            self.send_to_client(conn, &Frame::Refused { id: client_id, wait, refusal, scope }, now);
            self.client_wrote(conn, now);
            return Ok(None);
        }
        volume.into_iter().for_each(|volume| self.requests.add_volume(volume));
        let id = self.requests.next_id();
        if let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get_mut(conn) {
            client.owed.insert(client_id, id);
        }
        let time_left = Micros(time_left.into()).since(self.config.site.waits.answer);
        let expires_at = now.after(time_left);
        Ok(Some((id, self.shutdown.deadline(expires_at))))
    }

    fn start_request(&mut self, id: RequestId, pending: PendingRequest, s: &Submit<'_>, now: Micros) {
        let expires_at = pending.expires_at;
        debug!(request = id.0, owner = ?pending.owner, class = s.class, shard = s.shard, "taken");
        self.requests.insert(id, pending);
        self.timers.set(expires_at, Timer::Deadline(id));
        let Some(class) = self.pass_admission_gate(id, now) else { return };
        if !self.offer_to_buffer(id, s, now)
            && let Some(pending) = self.requests.get(id)
        {
            self.events.push_back(Event::RequestArrived(pending.arrival(id, class)));
        }
    }

    /// Bounds on what waits for a client, after something was added.
    pub(super) fn client_wrote(&mut self, conn: ConnId, now: Micros) {
        let bounds = self.config.bounds;
        let Some(c) = self.connections.get_mut(conn) else { return };
        if let Protocol::HttpServer(_) = c.protocol {
            return self.http_wrote(conn, now);
        }
        let Peer::Client(client) = &mut c.peer else { return };
        if c.outbox.len() > bounds.client_bytes_most {
            warn!(conn = conn.0, bytes = c.outbox.len(), "client does not read its answers: disconnected");
            self.disconnect(conn, CloseReason::Bound, "answers are not read", now);
        } else if c.outbox.len() > bounds.client_bytes && !client.paused {
            debug!(conn = conn.0, bytes = c.outbox.len(), "client is not read until it has read");
            client.paused = true;
            self.connections.command(Command::Flush(conn));
        } else if client.finished && client.owed.is_empty() && c.outbox.is_empty() {
            self.close(conn, "client has all it asked for", now);
        }
    }

    /// The same, after something was read.
    pub(super) fn client_read(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.connections.get_mut(conn) else { return };
        let Peer::Client(client) = &mut c.peer else { return };
        if client.paused && c.outbox.len() <= self.config.bounds.client_bytes / 2 {
            client.paused = false;
            self.connections.command(Command::Flush(conn));
        }
        self.client_wrote(conn, now);
    }

    /// The peer sends nothing more. A client's answers still go out, if it is owed any.
    pub(super) fn client_finished(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.connections.get_mut(conn) else { return false };
        match &mut c.peer {
            Peer::Client(client)
                if matches!(c.protocol, Protocol::Frames(_)) && !client.owed.is_empty()
                    || !c.outbox.is_empty() =>
            {
                client.finished = true;
                true
            }
            _ => false,
        }
    }

    /// Nobody waits for this client's requests any more. Their attempts run on and are still counted.
    pub(super) fn client_disconnected(&mut self, conn: ConnId, client: &Client, cause: &str, now: Micros) {
        self.clients.disconnected();
        debug!(conn = conn.0, cause, owed = client.owed.len(), "client gone");
        for id in client.owed.values() {
            self.counts.abandoned += 1;
            self.withdraw_unsent_of_request(*id, now);
            if let Some(pending) = self.requests.get_mut(*id) {
                pending.owner = None;
                pending.payload = Vec::new();
                if pending.handler != Handler::Buffer {
                    self.events.push_back(Event::ClientGone(*id));
                }
            }
            self.remove_if_finished(*id, now);
        }
    }
}

impl Core {
    /// Asks the admission gate about a client's attempt. Returns the module's class for it; none: it is rejected.
    fn pass_admission_gate(&mut self, id: RequestId, now: Micros) -> Option<usize> {
        let request = self.requests.get(id)?;
        let class = usize::from(request.class);
        let Some(gate) = &mut self.gate else { return Some(class) };
        match gate.admit(id, request, now) {
            Admission::FirstAttempt => Some(class),
            Admission::Retry => {
                let class = gate.retry_class(class);
                if let Some(request) = self.requests.get_mut(id) {
                    request.is_retry = true;
                }
                Some(class)
            }
            Admission::Rejected { wait, scope } => {
                self.reject_retry(id, wait, scope, now);
                None
            }
        }
    }

    fn reject_retry(&mut self, id: RequestId, wait: Micros, scope: Scope, now: Micros) {
        self.counts.retries_rejected += 1;
        if let Some(request) = self.requests.get_mut(id) {
            // The throttle counted it when it arrived.
            request.is_end_recorded = true;
        }
        let (wait, refusal) = (u32::try_from(wait.0).unwrap_or(u32::MAX), Refusal::Storm);
        self.send_final_answer(id, FinalAnswer::NotExecuted(Micros(0)), now, |id| Frame::Refused {
            id,
            wait,
            refusal,
            scope,
        });
    }

    /// The module's class of a request.
    pub(super) fn module_class(&self, request: &PendingRequest) -> usize {
        let class = usize::from(request.class);
        match &self.gate {
            Some(gate) if request.is_retry => gate.retry_class(class),
            _ => class,
        }
    }
}
