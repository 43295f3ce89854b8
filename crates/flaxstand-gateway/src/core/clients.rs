//! Clients: their greeting, their submissions, and the bounds that keep one from harming the others.

use super::http_server::Origin;
use super::plumbing::{Conn, Peer, Protocol, Stage, Timer};
use super::requests::{Held, With};
use super::{Core, Phase};
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::{Event, RequestId, VolumeId};
use flaxstand_proto::{
    CloseReason, Frame, Hello, Inbox, Refusal, Role, Scope, Submit, VERSION, VERSION_OLDEST, Welcome, encode,
};
use rand_core::RngCore as _;
use std::collections::BTreeMap;
use tracing::{debug, info, warn};

/// A protocol fault: what is said to the peer before the connection is closed.
pub(super) type Fault = (CloseReason, String);

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
    pub(super) fn client_accepted(&mut self, now: Micros) -> Result<ConnId, Vec<u8>> {
        // The cheapest refusal: nothing is kept of a client that is told to come back.
        let refusal = match self.phase {
            _ if self.on_platform() => return self.http_accepted(now),
            Phase::Running if self.clients >= self.config.bounds.max_clients => {
                Some((CloseReason::Bound, Micros(0), "as many clients as may be"))
            }
            Phase::Running => {
                let draw = (self.rng.next_u32() >> 8) as f64 / f64::from(1 << 24);
                let turn = self.arrivals.admit(now, draw);
                turn.map(|wait| (CloseReason::Turn, wait, "many come at once"))
            }
            Phase::Leaving | Phase::Stopping | Phase::Stopped => {
                Some((CloseReason::Stopping, Micros(0), "stopping"))
            }
        };
        if let Some((close_reason, wait, text)) = refusal {
            info!(clients = self.clients, wait_us = wait.0, text, "client turned away");
            let mut bytes = Vec::new();
            let wait = u32::try_from(wait.0).unwrap_or(u32::MAX);
            encode(&Frame::Bye { close_reason, wait, text }, &mut bytes);
            return Err(bytes);
        }
        self.clients += 1;
        let conn = self.plumbing.open(
            Peer::Client(Client::default()),
            Stage::Greeting,
            Protocol::Frames(Inbox::default()),
        );
        self.plumbing.at(now.after(self.config.site.timeouts.greeting_timeout), Timer::Dial(conn));
        Ok(conn)
    }

    pub(super) fn client_greeted(&mut self, conn: ConnId, hello: &Hello<'_>) -> Result<(), Fault> {
        if hello.role != Role::Client {
            return Err((CloseReason::Protocol, format!("a client was expected, not {:?}", hello.role)));
        }
        let (oldest, newest) = hello.versions;
        if oldest > VERSION || newest < VERSION_OLDEST {
            let text =
                format!("versions {oldest} to {newest}, this initiator speaks {VERSION_OLDEST} to {VERSION}");
            return Err((CloseReason::Version, text));
        }
        self.plumbing.is_at(conn, Stage::Open);
        let welcome = Welcome {
            version: VERSION.min(newest),
            role: Role::Initiator,
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name.clone(),
        };
        self.plumbing.push(conn, &Frame::Welcome(welcome));
        debug!(conn = conn.0, client = hello.name, "client connected");
        Ok(())
    }

    /// A request. What can't be one is the client's fault; what is beyond a bound is refused.
    pub(super) fn submitted(
        &mut self,
        conn: ConnId,
        s: &Submit<'_>,
        origin: Option<Origin>,
        now: Micros,
    ) -> Result<(), Fault> {
        let fault = |text: String| Err((CloseReason::Protocol, text));
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
        let Some((id, expires_at)) = self.admit(conn, s.id, Some(VolumeId(s.volume)), s.time_left, now)?
        else {
            return Ok(());
        };
        let mut held = Held::new((conn, s.id), s, expires_at);
        if let Some(origin) = origin {
            self.open_ids.insert(origin.id.clone());
            held.origin = Some(Box::new(origin));
        }
        self.take_request(id, held, s, now);
        Ok(())
    }

    /// Whether a client may have one more request: its number here and until when, or it is refused.
    pub(super) fn admit(
        &mut self,
        conn: ConnId,
        client_id: u64,
        volume: Option<VolumeId>,
        time_left: u32,
        now: Micros,
    ) -> Result<Option<(RequestId, Micros)>, Fault> {
        let Some(Conn { peer: Peer::Client(client), .. }) = self.plumbing.get(conn) else { return Ok(None) };
        if client.owed.contains_key(&client_id) {
            return Err((CloseReason::Protocol, format!("number {client_id} is in use")));
        }
        self.counts.taken += 1;
        let bounds = &self.config.bounds;
        let new_volume = volume.is_some_and(|v| !self.volumes.contains(&v));
        let refusal = if matches!(self.phase, Phase::Stopping | Phase::Stopped) {
            Some((Refusal::Stopping, Scope::All))
        } else if self.requests.len() >= bounds.max_requests {
            Some((Refusal::Held, Scope::All))
        } else if client.owed.len() >= bounds.max_requests_per_client {
            Some((Refusal::Client, Scope::All))
        } else if new_volume && self.volumes.len() >= bounds.max_volumes {
            Some((Refusal::Held, Scope::Volume))
        } else {
            None
        };
        if let Some((refusal, scope)) = refusal {
            self.counts.turned_away += 1;
            debug!(conn = conn.0, id = client_id, ?refusal, "turned away");
            let wait = Micros::from_ms(self.config.site.settings.max_retry_after).0;
            let wait = u32::try_from(wait).unwrap_or(u32::MAX);
            self.tell_client(conn, &Frame::Refused { id: client_id, wait, refusal, scope }, now);
            self.client_wrote(conn, now);
            return Ok(None);
        }
        self.volumes.extend(volume);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        if let Some(Conn { peer: Peer::Client(client), .. }) = self.plumbing.get_mut(conn) {
            client.owed.insert(client_id, id);
        }
        let time_left = Micros(time_left.into()).since(self.config.site.timeouts.response_margin);
        let expires_at = now.after(time_left);
        Ok(Some((id, self.answer_by.map_or(expires_at, |by| expires_at.min(by)))))
    }

    fn take_request(&mut self, id: RequestId, held: Held, s: &Submit<'_>, now: Micros) {
        let expires_at = held.expires_at;
        debug!(request = id.0, owner = ?held.owner, class = s.class, shard = s.shard, "taken");
        self.requests.insert(id, held);
        self.plumbing.at(expires_at, Timer::Deadline(id));
        let Some(class) = self.gate(id, now) else { return };
        if !self.offer(id, s, now)
            && let Some(held) = self.requests.get(&id)
        {
            self.events.push_back(Event::RequestArrived(held.arrival(id, class)));
        }
    }

    /// Bounds on what waits for a client, after something was added.
    pub(super) fn client_wrote(&mut self, conn: ConnId, now: Micros) {
        let bounds = self.config.bounds;
        let Some(c) = self.plumbing.get_mut(conn) else { return };
        if let Protocol::HttpServer(_) = c.protocol {
            return self.http_wrote(conn, now);
        }
        let Peer::Client(client) = &mut c.peer else { return };
        if c.outbox.len() > bounds.max_client_bytes {
            warn!(conn = conn.0, bytes = c.outbox.len(), "client does not read its answers: disconnected");
            self.hang_up(conn, CloseReason::Bound, "answers are not read", now);
        } else if c.outbox.len() > bounds.client_pause_bytes && !client.paused {
            debug!(conn = conn.0, bytes = c.outbox.len(), "client is not read until it has read");
            client.paused = true;
            self.plumbing.command(Command::Flush(conn));
        } else if client.finished && client.owed.is_empty() && c.outbox.is_empty() {
            self.lost(conn, "client has all it asked for", true, now);
        }
    }

    /// The same, after something was read.
    pub(super) fn client_read(&mut self, conn: ConnId, now: Micros) {
        let Some(c) = self.plumbing.get_mut(conn) else { return };
        let Peer::Client(client) = &mut c.peer else { return };
        if client.paused && c.outbox.len() <= self.config.bounds.client_pause_bytes / 2 {
            client.paused = false;
            self.plumbing.command(Command::Flush(conn));
        }
        self.client_wrote(conn, now);
    }

    /// The peer sends nothing more. A client's answers still go out, if it is owed any.
    pub(super) fn client_finished(&mut self, conn: ConnId) -> bool {
        let Some(c) = self.plumbing.get_mut(conn) else { return false };
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
    pub(super) fn client_lost(&mut self, conn: ConnId, client: &Client, cause: &str, now: Micros) {
        self.clients -= 1;
        debug!(conn = conn.0, cause, owed = client.owed.len(), "client gone");
        for id in client.owed.values() {
            self.counts.abandoned += 1;
            self.call_back(*id, now);
            if let Some(held) = self.requests.get_mut(id) {
                held.owner = None;
                held.payload = Vec::new();
                if held.with != With::Buffer {
                    self.events.push_back(Event::ClientGone(*id));
                }
            }
            self.forget(*id, now);
        }
    }
}
