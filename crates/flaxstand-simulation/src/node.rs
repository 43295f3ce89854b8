//! Emulated storage node: queues attempts, executes them on its [`Model`], stores written data, replies,
//! and injects the faults that its standard input names.
//!
//! | line | effect from then on |
//! | --- | --- |
//! | `stall MS` | stalls for that time |
//! | `pauses MS EVERY` | stalls periodically for that time (0 0: off) |
//! | `slow TIMES` | slows down by that factor (1: off) |
//! | `neighbour SHARE` | another process takes that share of its power (0: off) |
//! | `drop SHARE` | drops that share of its replies |
//! | `hang 0` or `1` | executes attempts and sends no reply |
//! | `errors SHARE` | fails that share of attempts at once |
//! | `full 0` or `1` | rejects every attempt |
//! | `refuse 0` or `1` | closes new connections at once |
//! | `deaf 0` or `1` | ignores handshakes |
//! | `reset` | closes every connection |
//! | `cut-in 0` or `1`, `cut-out 0` or `1` | holds back incoming or outgoing traffic; 0 releases it |
//! | `heavy CLASS SHARE TIMES` | multiplies the work of that share of a class |

use crate::model::{Job, Model};
use crate::shell::{Links, Peer};
use crate::{between, random};
use flaxstand_audit::{End, Record};
use flaxstand_gateway::machine::{ConnId, Micros};
use flaxstand_proto::{Attempt, Code, Done, Frame, Hello, Report, Role, VERSION, Welcome};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use tracing::warn;

/// Identity of a node.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Number of the node in the list.
    pub node: u64,
    /// Incarnation, which grows with each restart.
    pub incarnation: u64,
    /// Shard that it holds.
    pub shard: u32,
    /// Its zone.
    pub zone: u32,
}

/// Behaviour of a node outside its resource model.
#[derive(Clone, Copy, Debug)]
pub struct NodeBehaviour {
    /// Work of a unit, in microseconds of a core of speed 1.
    pub unit_work: f64,
    /// Range of the factor by which a request's work differs from that of its units.
    pub spread: (f64, f64),
    /// Interval at which its load report is refreshed.
    pub report_interval: Micros,
    /// Age of a load report when it is first sent.
    pub report_delay: Micros,
    /// Maximum relative error of the reported figures.
    pub report_noise: f64,
    /// Maximum number of connections; further ones are closed at once.
    pub connections: usize,
    /// Work of a handshake, in microseconds of a core of speed 1.
    pub handshake: f64,
    /// Whether a cancel frame, also one sent for a time-out, stops the work.
    pub cancels: bool,
    /// Deduplication window of operations.
    pub window: Micros,
}

/// Maximum number of operations and of items kept. Items are evicted in the order of their keys; operations
/// expire with the window.
const MAX_KEPT: usize = 1 << 20;

#[derive(Default)]
struct Faults {
    drop: f64,
    hang: bool,
    errors: f64,
    full: bool,
    refuse: bool,
    deaf: bool,
    pauses: Option<(Micros, Micros)>,
    next_pause: Micros,
    heavy: Option<(u16, f64, f64)>,
}

struct Caller {
    initiator: u32,
    epoch: u64,
}

struct Work {
    conn: ConnId,
    initiator: u32,
    epoch: u64,
    request: u64,
    attempt: u32,
    op: u64,
    place: (u64, u64),
    at: Option<u32>,
    units: u32,
    write: bool,
    stream: bool,
    payload: Vec<u8>,
}

/// An emulated node.
pub struct Node {
    id: Identity,
    behaviour: NodeBehaviour,
    model: Model,
    faults: Faults,
    rng: Pcg64Mcg,
    callers: BTreeMap<ConnId, Caller>,
    work: BTreeMap<u64, Work>,
    next: u64,
    data: BTreeMap<(u64, u64), Vec<u8>>,
    executed: BTreeMap<u64, Micros>,
    /// Units served by volume.
    served: BTreeMap<u64, u64>,
    served_for: BTreeMap<(u64, u32), (u64, u64)>,
    report: Report,
    /// A measured load report, and the time from which it is sent.
    pending_report: Option<(Micros, Report)>,
    report_at: Micros,
    overload_recorded: bool,
}

impl Node {
    /// Creates a node that starts now with the data that an earlier incarnation stored, and a random
    /// generator of its own.
    pub fn new(id: Identity, behaviour: NodeBehaviour, seed: u64, model: Model, stored: &[u8]) -> Self {
        Node {
            rng: Pcg64Mcg::seed_from_u64(seed ^ id.node.rotate_left(20) ^ id.incarnation),
            id,
            behaviour,
            model,
            faults: Faults::default(),
            callers: BTreeMap::new(),
            work: BTreeMap::new(),
            next: 0,
            data: read_stored(stored),
            executed: BTreeMap::new(),
            served: BTreeMap::new(),
            served_for: BTreeMap::new(),
            report: Report::default(),
            pending_report: None,
            report_at: Micros(0),
            overload_recorded: false,
        }
    }

    /// Returns the record of its start.
    pub fn up(&self, cold: bool, now: Micros) -> Record {
        Record::NodeUp {
            at: now.0,
            node: self.id.node,
            incarnation: self.id.incarnation,
            shard: self.id.shard,
            zone: self.id.zone,
            power: self.model.spec.cores * self.model.spec.speed,
            initial_capacity: self.model.spec.initial_capacity,
            warm_after: if cold { self.model.spec.warm_after.0 } else { 0 },
        }
    }

    /// Returns the work of an attempt. It is derived from the operation, so all attempts of an operation
    /// cost the same.
    fn attempt_work(&mut self, a: &Attempt<'_>) -> f64 {
        let mut own = Pcg64Mcg::seed_from_u64(a.operation);
        let mut work =
            f64::from(a.units) * self.behaviour.unit_work * between(&mut own, self.behaviour.spread);
        if let Some((class, share, times)) = self.faults.heavy
            && class == a.class
            && random(&mut own) < share
        {
            work *= times;
        }
        work
    }

    fn attempt(&mut self, links: &mut Links, conn: ConnId, a: &Attempt<'_>, now: Micros) {
        let Some(caller) = self.callers.get(&conn) else { return };
        let (initiator, epoch) = (caller.initiator, caller.epoch);
        let extent = a.extent.unwrap_or(0);
        let work = self.attempt_work(a);
        links.record(&Record::Arrived {
            at: links.arrived_at(now).0,
            node: self.id.node,
            incarnation: self.id.incarnation,
            conn: conn.0 | self.id.incarnation << 32,
            initiator,
            epoch,
            request: a.request,
            attempt: a.attempt,
            op: a.operation,
            class: a.class,
            plan: a.plan,
            volume: a.volume,
            extent,
            units: a.units,
            work: work as u64,
        });
        self.next += 1;
        let id = self.next;
        self.work.insert(
            id,
            Work {
                conn,
                initiator,
                epoch,
                request: a.request,
                attempt: a.attempt,
                op: a.operation,
                place: (a.volume, extent),
                at: a.at,
                units: a.units,
                write: a.write,
                stream: a.stream,
                payload: a.payload.to_vec(),
            },
        );
        self.finish(links, now);
        let key = a.extent.filter(|_| a.attempt == 0);
        // A repeat of an operation that ran here is deduplicated: it costs next to nothing and changes
        // nothing.
        let work = if self.executed.contains_key(&a.operation) { 1.0 } else { work };
        if self.faults.full || !self.model.accept(Job { id, work, key, write: a.write }, now) {
            self.answer(links, id, Code::Rejected, now);
        } else if random(&mut self.rng) < self.faults.errors {
            self.model.cancel(id);
            self.answer(links, id, Code::Error, now);
        }
    }

    fn finish(&mut self, links: &mut Links, now: Micros) {
        for id in self.model.advance(now) {
            let Some(work) = self.work.get_mut(&id) else { continue };
            if work.write && !self.executed.contains_key(&work.op) {
                let mut payload = std::mem::take(&mut work.payload);
                let ((volume, extent), node, op) = (work.place, self.id.node, work.op);
                if let Some(at) = work.at {
                    payload = overlay(self.data.get(&work.place), at as usize, &payload);
                }
                store(links, work.place, &payload);
                self.data.insert(work.place, payload);
                links.record(&Record::Stored { at: now.0, node, op, volume, extent });
                while self.data.len() > MAX_KEPT {
                    self.data.pop_first();
                }
            }
            let op = work.op;
            self.executed.insert(op, now);
            if self.executed.len() > MAX_KEPT || self.executed.len().is_multiple_of(1024) {
                let window = self.behaviour.window;
                self.executed.retain(|_, at| now.since(*at) <= window);
            }
            self.answer(links, id, Code::Served, now);
        }
        if self.model.overloaded() && !std::mem::replace(&mut self.overload_recorded, true) {
            links.record(&Record::NodeOverloaded { at: now.0, node: self.id.node });
        }
    }

    fn answer(&mut self, links: &mut Links, id: u64, code: Code, now: Micros) {
        let Some(work) = self.work.remove(&id) else { return };
        let lost = self.faults.hang || random(&mut self.rng) < self.faults.drop;
        let end = match code {
            Code::Rejected => End::Rejected,
            _ if lost => End::Lost,
            Code::Served => End::Served,
            Code::Error => End::Error,
        };
        links.record(&Record::Ended {
            at: now.0,
            node: self.id.node,
            initiator: work.initiator,
            epoch: work.epoch,
            request: work.request,
            attempt: work.attempt,
            end,
        });
        if lost {
            return;
        }
        let report = Report { from_others: self.units_for_others(&work, code), ..self.report };
        let empty = Vec::new();
        let read = if code == Code::Served && !work.write { self.data.get(&work.place) } else { None };
        let mut payload = &read.unwrap_or(&empty)[..];
        let (request, attempt) = (work.request, work.attempt);
        if work.stream && code == Code::Served {
            links.push(work.conn, &Frame::Chunk { request, attempt, payload });
            payload = &[];
        }
        links.push(work.conn, &Frame::Done(Done { request, attempt, code, report, payload }));
    }

    /// Returns the units of the volume served for other initiators since the last report to this one.
    fn units_for_others(&mut self, work: &Work, code: Code) -> u32 {
        let (volume, units) = (work.place.0, u64::from(work.units));
        let own = self.served_for.entry((volume, work.initiator)).or_default();
        let all = self.served.entry(volume).or_default();
        if code == Code::Served {
            *all += units;
            own.0 += units;
        }
        let others = *all - own.0;
        let unreported = others - own.1;
        own.1 = others;
        u32::try_from(unreported).unwrap_or(u32::MAX)
    }

    fn refresh(&mut self, now: Micros) {
        if let Some((_, report)) = self.pending_report.filter(|(at, _)| *at <= now) {
            (self.report, self.pending_report) = (report, None);
        }
        if now >= self.report_at && self.pending_report.is_none() {
            self.report_at = now.after(self.behaviour.report_interval);
            let noise = self.behaviour.report_noise;
            let mut off = |n: f64| (n * between(&mut self.rng, (1.0 - noise, 1.0 + noise))).round() as u32;
            let report = Report {
                inflight: Some(off(self.model.held() as f64)),
                queue: Some(off(self.model.waiting() as f64)),
                busy: Some(off(self.model.busy() * 1000.0)),
                ..Report::default()
            };
            self.pending_report = Some((now.after(self.behaviour.report_delay), report));
        }
    }
}

/// Returns the item after a write at an offset.
fn overlay(held: Option<&Vec<u8>>, at: usize, payload: &[u8]) -> Vec<u8> {
    let mut data = held.cloned().unwrap_or_default();
    let end = at + payload.len();
    if data.len() < end {
        data.resize(end, 0);
    }
    data[at..end].copy_from_slice(payload);
    data
}

/// Stores an item: volume, extent, length, payload.
fn store(links: &mut Links, (volume, extent): (u64, u64), payload: &[u8]) {
    links.store(&volume.to_le_bytes());
    links.store(&extent.to_le_bytes());
    links.store(&(payload.len() as u64).to_le_bytes());
    links.store(payload);
}

/// Reads the stored items. A last item truncated by a crash of the writer is ignored.
fn read_stored(mut bytes: &[u8]) -> BTreeMap<(u64, u64), Vec<u8>> {
    let mut data = BTreeMap::new();
    while let Some((head, rest)) = bytes.split_first_chunk::<24>() {
        let number = |i: usize| u64::from_le_bytes(head[i..i + 8].try_into().expect("eight bytes"));
        let Some((payload, rest)) = rest.split_at_checked(number(16) as usize) else { break };
        data.insert((number(0), number(8)), payload.to_vec());
        bytes = rest;
    }
    data
}

impl Peer for Node {
    fn accepts(&self) -> bool {
        !self.faults.refuse && self.callers.len() < self.behaviour.connections
    }

    fn opened(&mut self, _links: &mut Links, _conn: ConnId, _now: Micros) {}

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        match frame {
            Frame::Hello(Hello { role: Role::Initiator, id, epoch, .. }) if !self.faults.deaf => {
                self.finish(links, now);
                if self.behaviour.handshake > 0.0 {
                    self.model.add_overhead(self.behaviour.handshake, now);
                }
                self.callers.insert(conn, Caller { initiator: id as u32, epoch });
                links.push(
                    conn,
                    &Frame::Welcome(Welcome {
                        version: VERSION,
                        role: Role::Node,
                        id: self.id.node,
                        epoch: self.id.incarnation,
                        name: "emulated",
                    }),
                );
            }
            Frame::Hello(_) if self.faults.deaf => {}
            Frame::Attempt(a) => self.attempt(links, conn, &a, now),
            Frame::Cancel { request, attempt } => {
                let Some(caller) = self.callers.get(&conn) else { return };
                let (initiator, epoch) = (caller.initiator, caller.epoch);
                let (node, at) = (self.id.node, links.arrived_at(now).0);
                links.record(&Record::Cancelled { at, node, initiator, epoch, request, attempt });
                let of = |w: &&u64| {
                    let w = &self.work[*w];
                    (w.conn, w.request, w.attempt) == (conn, request, attempt)
                };
                if let Some(id) = self.work.keys().find(of).copied()
                    && self.behaviour.cancels
                    && self.model.cancel(id)
                {
                    self.work.remove(&id);
                }
            }
            Frame::Probe { token } => links.push(conn, &Frame::Probed { token, report: self.report }),
            Frame::Bye { .. } => {}
            other => {
                warn!(?other, "unexpected frame; closing the connection");
                links.close(conn);
                self.connection_closed(links, conn, now);
            }
        }
    }

    fn connection_closed(&mut self, links: &mut Links, conn: ConnId, now: Micros) {
        if self.callers.remove(&conn).is_some() {
            let conn = conn.0 | self.id.incarnation << 32;
            links.record(&Record::NodeConnectionClosed { at: now.0, node: self.id.node, conn });
        }
    }

    fn line(&mut self, links: &mut Links, line: &str, now: Micros) {
        self.finish(links, now);
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |i: usize| words.get(i).and_then(|w| w.parse::<f64>().ok()).unwrap_or(0.0);
        let on = number(1) > 0.0;
        match words.first().copied() {
            Some("stall") => self.model.stall(Micros::from_ms(number(1)), now),
            Some("pauses") => {
                let pair = (Micros::from_ms(number(1)), Micros::from_ms(number(2)));
                self.faults.pauses = on.then_some(pair);
                self.faults.next_pause = now;
            }
            Some("slow") => self.model.degradation.slow = number(1).max(0.001),
            Some("neighbour") => self.model.degradation.neighbour = number(1).clamp(0.0, 0.999),
            Some("drop") => self.faults.drop = number(1),
            Some("hang") => self.faults.hang = on,
            Some("errors") => self.faults.errors = number(1),
            Some("full") => self.faults.full = on,
            Some("refuse") => self.faults.refuse = on,
            Some("deaf") => self.faults.deaf = on,
            Some("reset") => {
                for conn in links.all() {
                    links.close(conn);
                    self.connection_closed(links, conn, now);
                }
            }
            Some("cut-in") => links.cut_in(on),
            Some("cut-out") => links.cut_out(on),
            Some("heavy") => {
                self.faults.heavy = (number(2) > 0.0).then(|| (number(1) as u16, number(2), number(3)))
            }
            _ => warn!(line, "ignoring an unknown line of standard input"),
        }
    }

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        self.finish(links, now);
        if let Some((length, every)) = self.faults.pauses
            && now >= self.faults.next_pause
        {
            self.model.stall(length, now);
            self.faults.next_pause = now.after(every);
        }
        self.refresh(now);
        let pause = self.faults.pauses.map(|_| self.faults.next_pause);
        [self.model.next(now), pause].into_iter().flatten().min()
    }
}
