//! Both ends of a measurement: nodes that answer at once, all in one process, and clients that keep a
//! number of requests in flight or send at a fixed rate.

use crate::rehearse::{StandInOptions, serve};
use crate::shell::{Links, Peer};
use flaxstand_gateway::machine::{Address, Command, ConnId, Micros};
use flaxstand_proto::{Code, Done, Frame, Hello, Report, Role, Submit, VERSION, VERSION_OLDEST, Welcome};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;

/// Payload of each answer of a node.
const REPLY_PAYLOAD: [u8; 64] = [7; 64];
/// Duration of the warm-up, as a share of the measured time.
pub(crate) const WARM_UP_SHARE: f64 = 0.25;

/// Nodes that answer at once or, if mute, never.
struct Echo {
    mute: bool,
    nodes: BTreeMap<ConnId, u64>,
}

impl Peer for Echo {
    fn connection_accepted(&mut self, conn: ConnId, listener: usize) {
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
                    payload: &REPLY_PAYLOAD,
                }),
            ),
            _ => {}
        }
    }

    fn connection_closed(&mut self, _links: &mut Links, conn: ConnId, _now: Micros) {
        self.nodes.remove(&conn);
    }

    fn line(&mut self, _links: &mut Links, _line: &str, _now: Micros) {}

    fn settle(&mut self, _links: &mut Links, _now: Micros) -> Option<Micros> {
        None
    }
}

/// Load that the clients of a measurement generate.
#[derive(Clone, Debug)]
pub struct LoadOptions {
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
pub struct LoadResult {
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

struct LoadGenerator {
    options: LoadOptions,
    open: Vec<ConnId>,
    sent: BTreeMap<u64, Micros>,
    next: u64,
    measured_from: Option<Micros>,
    latencies: Histogram<u64>,
    result: LoadResult,
    connected: bool,
}

impl LoadGenerator {
    fn warm_up(&self) -> Micros {
        Micros::from_ms(self.options.seconds * WARM_UP_SHARE * 1000.0)
    }

    fn submit(&mut self, links: &mut Links, conn: ConnId, at: Micros) {
        self.next += 1;
        let id = self.next;
        self.sent.insert(id, at);
        let payload = vec![id as u8; self.options.write as usize];
        links.push(
            conn,
            &Frame::Submit(Submit {
                id,
                operation: id,
                class: 0,
                plan: 0,
                volume_initiators: 1,
                try_no: 0,
                write: self.options.write > 0,
                volume: id % 64,
                extent: Some(id),
                shard: Some((id % u64::from(self.options.shards.max(1))) as u32),
                units: 1,
                at: None,
                time_left: 60_000_000,
                payload: &payload,
            }),
        );
    }

    fn handle_answer(&mut self, links: &mut Links, conn: ConnId, id: u64, served: bool, now: Micros) {
        let Some(at) = self.sent.remove(&id) else { return };
        if self.measured_from.is_some_and(|from| now >= from) {
            if served {
                self.result.served += 1;
                self.latencies.saturating_record(now.since(at).0.max(1));
            } else {
                self.result.not_served += 1;
            }
        }
        if self.options.window > 0 {
            self.submit(links, conn, now);
        }
    }
}

impl Peer for LoadGenerator {
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
                if self.open.len() == self.options.clients as usize {
                    self.measured_from = Some(now.after(self.warm_up()));
                    for _ in 0..self.options.window {
                        for conn in self.open.clone() {
                            self.submit(links, conn, now);
                        }
                    }
                }
            }
            Frame::Served { id, .. } | Frame::Buffered { id } => {
                self.handle_answer(links, conn, id, true, now)
            }
            Frame::Refused { id, .. } | Frame::Failed { id } => {
                self.handle_answer(links, conn, id, false, now)
            }
            _ => {}
        }
    }

    fn connection_closed(&mut self, links: &mut Links, _conn: ConnId, _now: Micros) {
        links.command(Command::Print("connection to the initiator lost".into()));
        links.command(Command::Exit);
    }

    fn line(&mut self, _links: &mut Links, _line: &str, _now: Micros) {}

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        if !std::mem::replace(&mut self.connected, true) {
            (0..self.options.clients).for_each(|_| {
                links.connect(self.options.initiator.clone());
            });
        }
        let from = self.measured_from?;
        let start = Micros(from.0 - self.warm_up().0);
        let end = from.after(Micros::from_ms(self.options.seconds * 1000.0));
        if now >= end {
            self.result.seconds = now.since(from).ms() / 1000.0;
            self.result.p50_us = self.latencies.value_at_quantile(0.5);
            self.result.p99_us = self.latencies.value_at_quantile(0.99);
            let json = serde_json::to_string(&self.result).expect("the results serialise");
            links.command(Command::Print(format!("seen {json}")));
            links.command(Command::Exit);
            return None;
        }
        if self.options.window > 0 {
            return Some(end);
        }
        // Latency counts from the scheduled time, not from the time of sending, to avoid coordinated
        // omission.
        let gap = 1e6 / self.options.rate.max(1e-3);
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
pub fn serve_echo(mute: bool, stand_in: &StandInOptions) -> io::Result<()> {
    serve(Echo { mute, nodes: BTreeMap::new() }, stand_in)
}

/// Runs the clients of a measurement, which print their results.
///
/// # Errors
/// The driver fails.
pub fn serve_load_generator(options: LoadOptions, standalone: bool) -> io::Result<()> {
    let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid");
    let (open, sent, result) = Default::default();
    serve(
        LoadGenerator {
            options,
            open,
            sent,
            next: 0,
            measured_from: None,
            latencies,
            result,
            connected: false,
        },
        &StandInOptions { standalone, ..StandInOptions::default() },
    )
}
