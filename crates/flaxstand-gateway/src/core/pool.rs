//! Connections to nodes that carry one request each: a pool for every node, the newest idle one used first. An
//! answer is held whole before anything of it goes on; a connection whose answer is
//! spoilt, or brings more than belongs to it, is not used again. Giving up an attempt closes its connection.

use super::Core;
use super::plumbing::{Conn, Peer, Protocol, Stage, Timer};
use super::requests::{AttemptId, HandedOver};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome, Readiness, RequestId};
use flaxstand_http::{Response, ResponseReader, write_request};
use flaxstand_platform::{HEALTH, field, outcome_of};
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use tracing::{debug, info};

/// A head of an answer that is not whole so long after it began, or a body of which nothing more came for so
/// long, is spoilt.
const ANSWER_STALLS: Micros = Micros(250_000);
/// So long after an answer a second copy of it may follow (4 ms were seen). Until then a connection is used again only
/// if no other rests, and what is the last answer once more, head and body, and came in less than half the time that
/// any took there, is taken for such a copy: served, it would be another request's answer.
const REST: Micros = Micros(20_000);
/// How often idle connections are looked through.
const SWEEP: Micros = Micros(1_000_000);
/// A node that is gone is remembered for so long: lists may flap.
const REMEMBERED: Micros = Micros(30_000_000);

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Carried {
    Attempt(AttemptId),
    Probe(NodeId, u64),
}

/// HTTP that we ask.
#[derive(Debug)]
pub(super) struct Link {
    reader: ResponseReader,
    carries: Option<Carried>,
    /// When its answer began, or in a body when it last went on; or when it fell idle.
    since: Micros,
    /// It was idle, and nothing has been written of what it carries now.
    pub(super) rested: bool,
    /// The first byte of what it carries has left.
    pub(super) begun: bool,
    /// When it was asked.
    asked: Micros,
    /// When the last answer came whole, and its fingerprint.
    last: Option<(Micros, u64)>,
    /// The shortest time that an answer took.
    shortest: Micros,
}

impl Link {
    fn new(carries: Carried, now: Micros) -> Self {
        Link {
            reader: ResponseReader::default(),
            carries: Some(carries),
            since: now,
            rested: false,
            begun: false,
            asked: now,
            last: None,
            shortest: Micros(u64::MAX),
        }
    }

    /// What it carries now.
    pub(super) fn carries(&self) -> Option<Carried> {
        self.carries
    }

    /// Bytes held.
    pub(super) fn held(&self) -> usize {
        self.reader.len()
    }
}

/// Tells answers apart.
fn fingerprint(answer: &Response) -> u64 {
    let mut hasher = DefaultHasher::new();
    answer.hash(&mut hasher);
    hasher.finish()
}

impl Core {
    pub(super) fn link(&mut self, conn: ConnId) -> Option<&mut Link> {
        match self.plumbing.get_mut(conn) {
            Some(Conn { protocol: Protocol::HttpClient(link), .. }) => Some(link),
            _ => None,
        }
    }

    /// Sends by the newest idle connection to the node, by one that has rested if there is one, or by a new one.
    pub(super) fn carry(&mut self, at: NodeId, what: Carried, now: Micros) {
        let Some(address) = self.nodes.get(at).map(|node| node.address.clone()) else { return };
        let rested = |conn: &ConnId| match self.plumbing.get(*conn).map(|c| &c.protocol) {
            Some(Protocol::HttpClient(link)) => now.since(link.since) >= REST,
            _ => false,
        };
        if let Some(conn) = self.upstream.take_idle(at, rested) {
            self.use_again(conn, at, what);
            return self.write_carried(conn, now);
        }
        if self.upstream.pooled() >= self.config.bounds.max_node_connections && !self.close_longest_idle(now)
        {
            debug!(links = self.upstream.pooled(), "no connection to be had");
            return self.end_carried(what, Outcome::NotSent, now);
        }
        self.upstream.pooled_opened();
        let (protocol, by) = (
            Protocol::HttpClient(Link::new(what, now)),
            now.after(self.config.site.timeouts.connect_timeout),
        );
        let conn = self.plumbing.dial(Peer::Node(at), protocol, address, by);
        match what {
            Carried::Attempt(attempt) => self.note_handed(attempt, conn, u64::MAX),
            Carried::Probe(..) => self.note_probe(at, what, conn),
        }
    }

    /// An idle connection has something to carry.
    fn use_again(&mut self, conn: ConnId, at: NodeId, what: Carried) {
        let Some(link) = self.link(conn) else { return };
        let idle_since = link.since;
        (link.carries, link.rested) = (Some(what), true);
        self.upstream.mark_busy(conn, idle_since);
        self.note_probe(at, what, conn);
    }

    /// Which connection carries a probe.
    fn note_probe(&mut self, at: NodeId, what: Carried, conn: ConnId) {
        if let Carried::Probe(_, token) = what {
            self.upstream.set_probe_connection(at, token, conn);
        }
    }

    /// What a connection carried has ended without being served.
    fn end_carried(&mut self, what: Carried, outcome: Outcome, now: Micros) {
        match what {
            Carried::Attempt(attempt) => self.end_attempt(attempt, outcome, now),
            Carried::Probe(at, token) => self.probed(at, token, outcome),
        }
    }

    /// A new connection stands.
    pub(super) fn link_stands(&mut self, conn: ConnId, now: Micros) {
        let Some(Conn { peer, protocol: Protocol::HttpClient(link), .. }) = self.plumbing.get(conn) else {
            return;
        };
        let Peer::Node(at) = *peer else { return };
        // It may have come up late: what held when it was called may hold no longer.
        let Some(carried) = link.carries else { return };
        let may = match carried {
            Carried::Attempt(attempt) => self.may_begin(attempt, now),
            Carried::Probe(..) => self.node_takes_work(at, now),
        };
        if may {
            return self.write_carried(conn, now);
        }
        self.free(conn, now);
        self.end_carried(carried, Outcome::NotSent, now);
    }

    fn write_carried(&mut self, conn: ConnId, now: Micros) {
        if let Some(link) = self.link(conn) {
            (link.asked, link.begun) = (now, false);
        }
        let Some(Conn { peer, protocol: Protocol::HttpClient(link), .. }) = self.plumbing.get(conn) else {
            return;
        };
        let Peer::Node(at) = peer else { return };
        let host = self.nodes.get(*at).map(|n| n.address.to_string()).unwrap_or_default();
        let host: (&str, &dyn Display) = ("Host", &host);
        match link.carries {
            Some(Carried::Attempt(attempt)) => {
                let id = attempt.request;
                let Some(held) = self.requests.get_mut(&id) else { return };
                let Some(origin) = held.origin.take() else { return };
                let payload = std::mem::take(&mut held.payload);
                let left = held.expires_at.since(now).ms().max(1.0) / 1000.0;
                let left = format_args!("{left:.3}");
                let mut fields = vec![host, (field::ID, &origin.id), (field::TIMEOUT, &left)];
                if let Some(key) = &origin.key {
                    fields.push((field::KEY, key));
                }
                let body = held.write.then_some(payload.as_slice());
                let ends = self.plumbing.put(conn, |bytes| {
                    write_request(bytes, origin.method, &origin.target, &fields, body);
                });
                self.counts.attempts += 1;
                if let Some(held) = self.requests.get_mut(&id) {
                    (held.origin, held.payload) = (Some(origin), payload);
                }
                self.note_handed(attempt, conn, ends);
                let until = self.flight(attempt).map(|f| f.until);
                let expires_at = self.requests.get(&id).map(|r| r.expires_at);
                if let Some(until) = until.filter(|until| Some(*until) < expires_at) {
                    self.plumbing.at(until, Timer::Begin(conn));
                }
            }
            Some(Carried::Probe(..)) => {
                self.plumbing.put(conn, |bytes| write_request(bytes, "GET", HEALTH, &[host], None));
            }
            None => {}
        }
    }

    pub(super) fn link_received(&mut self, conn: ConnId, bytes: &[u8], now: Micros) {
        let Some(link) = self.link(conn) else { return };
        if link.carries.is_none() {
            return self.lost(conn, "bytes that nobody asked for", true, now);
        }
        let begins = link.reader.is_empty();
        let before = link.reader.len();
        link.reader.push(bytes);
        let read = link.reader.take();
        if begins || link.reader.in_body() {
            link.since = now;
        }
        let after = link.reader.len();
        self.plumbing.answer_bytes = self.plumbing.answer_bytes - before + after;
        match read {
            Ok(Some(answer)) => self.link_answered(conn, &answer, now),
            Ok(None) if self.plumbing.answer_bytes > self.config.bounds.max_response_bytes => {
                self.spoilt(conn, &"too much is on its way in from nodes", now);
            }
            Ok(None) if begins => {
                self.plumbing.at(now.after(ANSWER_STALLS), Timer::Quiet(conn));
            }
            Ok(None) => {}
            Err(fault) => self.spoilt(conn, &fault, now),
        }
    }

    /// The peer ended its stream in good order: an answer that says no length is whole.
    pub(super) fn link_ended(&mut self, conn: ConnId, now: Micros) {
        let Some(link) = self.link(conn) else { return };
        let before = link.reader.len();
        let Some(answer) = link.reader.end() else { return };
        self.plumbing.answer_bytes -= before;
        self.link_answered(conn, &answer, now);
    }

    /// What came is no answer; what was asked may have run.
    fn spoilt(&mut self, conn: ConnId, why: &dyn Display, now: Micros) {
        self.counts.protocol_faults += 1;
        let Some(link) = self.link(conn) else { return };
        let carried = link.carries.take();
        debug!(conn = conn.0, %why, begins = link.reader.received_prefix(), ?carried, "a spoilt answer");
        self.lost(conn, "a spoilt answer", true, now);
        if let Some(carried) = carried {
            self.end_carried(carried, Outcome::Error, now);
        }
    }

    fn link_answered(&mut self, conn: ConnId, answer: &Response, now: Micros) {
        let Some(link) = self.link(conn) else { return };
        let Some(carried) = link.carries else { return };
        let print = fingerprint(answer);
        let latency = now.since(link.asked);
        let soon = latency.0 < link.shortest.0 / 2;
        if soon && link.last.is_some_and(|(at, last)| now.since(at) < REST && last == print) {
            return self.spoilt(conn, &"the last answer once more", now);
        }
        (link.last, link.shortest) = (Some((now, print)), link.shortest.min(latency));
        link.carries = None;
        // Freed first: what the answer leads to may use it again.
        if answer.keeps_alive {
            self.free(conn, now)
        } else {
            self.lost(conn, "it is not kept", true, now)
        }
        match (carried, outcome_of(answer)) {
            (Carried::Attempt(attempt), Outcome::Served) => {
                // Which shard it is from, no client on this wire is told.
                self.served(attempt, 0, &answer.body, now);
            }
            (carried, outcome) => self.end_carried(carried, outcome, now),
        }
    }

    /// A connection has nothing to carry.
    fn free(&mut self, conn: ConnId, now: Micros) {
        let Some(Conn { peer: Peer::Node(at), protocol: Protocol::HttpClient(link), .. }) =
            self.plumbing.get_mut(conn)
        else {
            return;
        };
        (link.carries, link.since) = (None, now);
        let at = *at;
        if self.nodes.get(at).is_some_and(|node| node.readiness() != Readiness::Removed) {
            self.upstream.mark_idle(at, conn, now);
        } else {
            self.lost(conn, "node is gone", true, now);
        }
    }

    /// A pooled connection is no more. What it carried can't have run unless all of it had left.
    pub(super) fn link_lost(
        &mut self,
        conn: ConnId,
        at: NodeId,
        link: &Link,
        written: u64,
        cause: &str,
        now: Micros,
    ) {
        self.upstream.pooled_closed(at, conn, link.since);
        match link.carries {
            Some(Carried::Attempt(attempt)) => {
                debug!(request = attempt.request.0, cause, "an attempt's connection is lost");
                self.broken_off(attempt, conn, written, now);
            }
            Some(carried) => self.end_carried(carried, Outcome::ConnectFailed, now),
            None => {}
        }
    }

    /// Gives an attempt up: its connection is closed, and nothing else of the node's.
    pub(super) fn hang_up_attempt(
        &mut self,
        handed: HandedOver,
        attempt: AttemptId,
        outcome: Outcome,
        now: Micros,
    ) {
        let HandedOver { conn, ends } = handed;
        let left = self.plumbing.get(conn).is_some_and(|c| c.outbox.written() >= ends);
        let outcome = if left { outcome } else { Outcome::ConnectFailed };
        self.close_under(conn, Carried::Attempt(attempt), "given up", outcome, now);
    }

    /// Its client has gone: an attempt that has not wholly left does not follow it. Its connection is closed; one
    /// that is still coming up is kept, and carries nothing.
    pub(super) fn call_back(&mut self, id: RequestId, now: Micros) {
        let Some(held) = self.requests.get(&id).filter(|_| self.on_platform()) else { return };
        let leaving = |handed: &HandedOver| {
            let conn = self.plumbing.get(handed.conn);
            conn.is_some_and(|c| c.stage == Stage::Open && c.outbox.written() < handed.ends)
        };
        let handed = held.flights.iter().filter_map(|f| Some((f.attempt, f.handed.filter(leaving)?.conn)));
        for (number, conn) in handed.collect::<Vec<_>>() {
            let carried = Carried::Attempt(AttemptId { request: id, number });
            self.close_under(conn, carried, "its client has gone", Outcome::NotSent, now);
        }
    }

    /// Closes a connection under what it carries, which ends so.
    pub(super) fn close_under(
        &mut self,
        conn: ConnId,
        carried: Carried,
        why: &str,
        outcome: Outcome,
        now: Micros,
    ) {
        if let Some(link) = self.link(conn) {
            link.carries = None;
        }
        self.lost(conn, why, true, now);
        self.end_carried(carried, outcome, now);
    }

    /// A probe is not waited for any longer.
    pub(super) fn hang_up_probe(&mut self, conn: ConnId, at: NodeId, token: u64, now: Micros) {
        let probe = Some(Carried::Probe(at, token));
        if self.link(conn).is_some_and(|link| link.carries == probe) {
            self.lost(conn, "a probe took too long", true, now);
        }
    }

    /// Looks whether a connection was at one thing for too long.
    pub(super) fn quiet(&mut self, conn: ConnId, now: Micros) {
        match self.plumbing.get_mut(conn) {
            Some(Conn { protocol: Protocol::HttpClient(link), .. }) => {
                let due = link.since.after(ANSWER_STALLS);
                match link.carries.is_some() && !link.reader.is_empty() {
                    true if due <= now => self.spoilt(conn, &"it does not end", now),
                    true => {
                        self.plumbing.at(due, Timer::Quiet(conn));
                    }
                    false => {}
                }
            }
            Some(_) => self.http_quiet(conn, now),
            None => {}
        }
    }

    fn close_longest_idle(&mut self, now: Micros) -> bool {
        let longest = self.upstream.longest_idle();
        if let Some(conn) = longest {
            self.lost(conn, "its place is needed", true, now);
        }
        longest.is_some()
    }

    /// Closes what has idled for long, before its node does, and forgets nodes long gone.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.close_long_idle(now);
        self.forget_long_gone(now);
        self.plumbing.at(now.after(SWEEP), Timer::Sweep);
    }

    fn close_long_idle(&mut self, now: Micros) {
        let idle = self.config.site.timeouts.node_idle_timeout;
        for conn in self.upstream.idle_for(idle, now) {
            self.lost(conn, "idle", true, now);
        }
    }

    fn forget_long_gone(&mut self, now: Micros) {
        for id in self.nodes.gone_for(REMEMBERED, now) {
            if self.upstream.has_in_flight(id) {
                continue;
            }
            self.drop_idle(id, now);
            self.upstream.remove_node(id);
            if let Some(node) = self.nodes.remove(id) {
                info!(node = %node.name, "forgotten");
            }
        }
    }

    /// Closes a node's idle connections: its address is no longer what they lead to.
    pub(super) fn drop_idle(&mut self, at: NodeId, now: Micros) {
        self.upstream
            .take_all_idle(at)
            .into_iter()
            .for_each(|conn| self.lost(conn, "its node has moved or is gone", true, now));
    }
}
