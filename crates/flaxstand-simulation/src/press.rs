//! Both ends of a measurement: nodes that answer at once, all in one process, and clients that keep a
//! number of requests in flight or send at a fixed rate.

use crate::rehearse::{StandIn, serve};
use crate::shell::{Links, Peer};
use flaxstand_gateway::machine::{Address, Command, ConnId, Micros};
use flaxstand_proto::{Code, Done, Frame, Hello, Report, Role, Submit, VERSION, VERSION_OLDEST, Welcome};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// Payload of each answer of a node.
const ANSWER: [u8; 64] = [7; 64];
/// Duration of the warm-up, as a share of the measured time.
pub(crate) const WARM_UP: f64 = 0.25;

/// Nodes that answer at once or, if mute, never.
struct Echo {
    mute: bool,
    nodes: BTreeMap<ConnId, u64>,
}

impl Peer for Echo {
    fn taken(&mut self, conn: ConnId, listener: usize) {
        self.nodes.insert(conn, listener as u64);
    }

    fn opened(&mut self, _links: &mut Links, _conn: ConnId, _now: Micros) {}

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, _now: Micros) {
        match frame {
            Frame::Hello(_) => {
                let id = self.nodes.get(&conn).copied().unwrap_or(0);
                let welcome = Welcome { version: VERSION, role: Role::Node, id, epoch: 1, name: "echo" };
                links.push(conn, &Frame::Welcome(welcome));
            }
            Frame::Attempt(a) if !self.mute => links.push(
                conn,
                &Frame::Done(Done {
                    request: a.request,
                    attempt: a.attempt,
                    code: Code::Served,
                    report: Report::default(),
                    payload: &ANSWER,
                }),
            ),
            _ => {}
        }
    }

    fn gone(&mut self, _links: &mut Links, conn: ConnId, _now: Micros) {
        self.nodes.remove(&conn);
    }

    fn line(&mut self, _links: &mut Links, _line: &str, _now: Micros) {}

    fn settle(&mut self, _links: &mut Links, _now: Micros) -> Option<Micros> {
        None
    }
}

/// Load that the clients of a measurement generate.
#[derive(Clone, Debug)]
pub struct Pressure {
    /// Address of the initiator.
    pub initiator: Address,
    /// Number of shards over which requests are spread evenly.
    pub shards: u32,
    /// Number of connections.
    pub clients: u32,
    /// Requests that each connection keeps in flight; 0: requests are sent at `rate`.
    pub window: u32,
    /// Requests per second over all connections.
    pub rate: f64,
    /// Payload of a write, bytes; 0: requests are reads.
    pub write: u32,
    /// Measured time, seconds.
    pub seconds: f64,
}

/// Results of the clients, without the warm-up.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Measured time, seconds.
    pub seconds: f64,
    /// Requests served.
    pub served: u64,
    /// Requests refused or failed.
    pub not_served: u64,
    /// Median latency, microseconds.
    pub p50_us: u64,
    /// 99th percentile, microseconds.
    pub p99_us: u64,
}

struct Press {
    p: Pressure,
    open: Vec<ConnId>,
    sent: BTreeMap<u64, Micros>,
    next: u64,
    from: Option<Micros>,
    lags: Histogram<u64>,
    seen: Seen,
    called: bool,
}

impl Press {
    fn warm_up(&self) -> Micros {
        Micros::from_ms(self.p.seconds * WARM_UP * 1000.0)
    }

    fn submit(&mut self, links: &mut Links, conn: ConnId, at: Micros) {
        self.next += 1;
        let id = self.next;
        self.sent.insert(id, at);
        let payload = vec![id as u8; self.p.write as usize];
        links.push(
            conn,
            &Frame::Submit(Submit {
                id,
                operation: id,
                class: 0,
                plan: 0,
                volume_initiators: 1,
                try_no: 0,
                write: self.p.write > 0,
                volume: id % 64,
                extent: Some(id),
                shard: Some((id % u64::from(self.p.shards.max(1))) as u32),
                units: 1,
                at: None,
                time_left: 60_000_000,
                payload: &payload,
            }),
        );
    }

    fn answered(&mut self, links: &mut Links, conn: ConnId, id: u64, served: bool, now: Micros) {
        let Some(at) = self.sent.remove(&id) else { return };
        if self.from.is_some_and(|from| now >= from) {
            if served {
                self.seen.served += 1;
                self.lags.saturating_record(now.since(at).0.max(1));
            } else {
                self.seen.not_served += 1;
            }
        }
        if self.p.window > 0 {
            self.submit(links, conn, now);
        }
    }
}

impl Peer for Press {
    fn opened(&mut self, links: &mut Links, conn: ConnId, _now: Micros) {
        let versions = (VERSION_OLDEST, VERSION);
        links.push(
            conn,
            &Frame::Hello(Hello { role: Role::Client, versions, id: conn.0, epoch: 0, name: "press" }),
        );
    }

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        match frame {
            Frame::Welcome(_) => {
                self.open.push(conn);
                if self.open.len() == self.p.clients as usize {
                    self.from = Some(now.after(self.warm_up()));
                    for _ in 0..self.p.window {
                        for conn in self.open.clone() {
                            self.submit(links, conn, now);
                        }
                    }
                }
            }
            Frame::Served { id, .. } | Frame::Buffered { id } => self.answered(links, conn, id, true, now),
            Frame::Refused { id, .. } | Frame::Failed { id } => self.answered(links, conn, id, false, now),
            _ => {}
        }
    }

    fn gone(&mut self, links: &mut Links, _conn: ConnId, _now: Micros) {
        links.command(Command::Print("connection to the initiator lost".into()));
        links.command(Command::Exit);
    }

    fn line(&mut self, _links: &mut Links, _line: &str, _now: Micros) {}

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        if !std::mem::replace(&mut self.called, true) {
            (0..self.p.clients).for_each(|_| {
                links.call(self.p.initiator.clone());
            });
        }
        let from = self.from?;
        let start = Micros(from.0 - self.warm_up().0);
        let end = from.after(Micros::from_ms(self.p.seconds * 1000.0));
        if now >= end {
            self.seen.seconds = now.since(from).ms() / 1000.0;
            self.seen.p50_us = self.lags.value_at_quantile(0.5);
            self.seen.p99_us = self.lags.value_at_quantile(0.99);
            let json = serde_json::to_string(&self.seen).expect("the results serialise");
            links.command(Command::Print(format!("seen {json}")));
            links.command(Command::Exit);
            return None;
        }
        if self.p.window > 0 {
            return Some(end);
        }
        // Latency counts from the scheduled time, not from the time of sending, to avoid coordinated
        // omission.
        let gap = 1e6 / self.p.rate.max(1e-3);
        let due = |n: u64| start.after(Micros((n as f64 * gap) as u64));
        while due(self.next) <= now {
            let conn = self.open[(self.next % self.open.len() as u64) as usize];
            self.submit(links, conn, due(self.next));
        }
        Some(due(self.next).min(end))
    }
}

/// Runs nodes that answer at once, one for each listen address, until standard input ends.
///
/// # Errors
/// A node can't listen, or the driver fails.
pub fn serve_echo(mute: bool, what: &StandIn) -> io::Result<()> {
    serve(Echo { mute, nodes: BTreeMap::new() }, what)
}

/// Runs the clients of a measurement, which print their results.
///
/// # Errors
/// The driver fails.
pub fn serve_press(p: Pressure, alone: bool) -> io::Result<()> {
    let lags = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid");
    let (open, sent, seen) = Default::default();
    serve(
        Press { p, open, sent, next: 0, from: None, lags, seen, called: false },
        &StandIn { alone, ..StandIn::default() },
    )
}
