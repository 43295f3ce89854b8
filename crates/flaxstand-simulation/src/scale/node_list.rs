//! A list service for scale runs: so many nodes, which change at a steady rate, told to however many watch.
//! It keeps nothing about a watcher but a count of messages and bytes.
//!
//! | line of standard input | meaning |
//! | --- | --- |
//! | `start` | changes begin, and counts from 0 |
//! | `stop` | no further changes, and nothing more is counted |
//! | `away 0` or `1` | closes all connections and takes none |
//! | `report` | prints `report` and a [`ListReport`] |
//!
//! A frame holds [`MAX_LIST_ENTRIES`] entries at most. A longer list is told as a full list of that many and
//! changes that bring the rest, under revisions of their own.

use super::traffic::Traffic;
use crate::rehearse::{StandInOptions, serve};
use crate::shell::{Links, Peer};
use flaxstand_gateway::machine::{Address, Command, ConnId, Micros};
use flaxstand_proto::{
    Entry, Extent, Frame, Hello, List, MAX_LIST_ENTRIES, Role, State, VERSION, Welcome, encode,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use tracing::warn;

/// The revision of the list before its first change. Pieces of a long list but for the last have lower ones.
pub const FIRST_REVISION: u64 = 1000;
/// Initiators whose own counts are kept: those that are processes have the lowest numbers.
const COUNTED_ALONE: u32 = 64;
/// Zones that nodes are spread over.
const ZONES: u32 = 27;
/// The nominal size of each node.
const NODE_SIZE: u32 = 100;

/// What the service is told at its start.
#[derive(Clone, Debug)]
pub struct NodeListOptions {
    /// Nodes in the list.
    pub nodes: u32,
    /// Changes a second, once started.
    pub changes: f64,
    /// How often watchers are told that nothing has changed; none: never.
    pub heartbeat: Option<Micros>,
    /// Addresses of the first nodes; nothing listens at those of the others.
    pub answering: Vec<Address>,
}

/// What the service has counted since `start`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListReport {
    /// Connections that watch.
    pub watchers: u64,
    /// Over all initiators.
    pub traffic: Traffic,
    /// Of initiators with low numbers, one by one.
    pub by_initiator: BTreeMap<u32, Traffic>,
    /// Revision and moment (microseconds of the host's clock) of each change.
    pub changes: Vec<(u64, u64)>,
}

struct Node {
    incarnation: u64,
    state: State,
    booted: Option<Micros>,
    address: String,
}

/// The service.
struct NodeList {
    options: NodeListOptions,
    nodes: Vec<Node>,
    revision: u64,
    away: bool,
    /// Initiators by connection, and whether they watch.
    watchers: BTreeMap<ConnId, (u32, bool)>,
    next_change: Option<Micros>,
    next_heartbeat: Option<Micros>,
    counting: bool,
    /// How many changes were made since the start of the process.
    made: u64,
    report: ListReport,
}

impl NodeList {
    fn new(options: NodeListOptions) -> Self {
        let address = |number: u32| match options.answering.get(number as usize) {
            Some(address) => address.to_string(),
            // A loopback address for each, where nothing listens.
            None => format!("127.{}.{}.{}:9", 100 + (number >> 16), (number >> 8) & 0xff, number & 0xff),
        };
        let node =
            |number| Node { incarnation: 1, state: State::Serving, booted: None, address: address(number) };
        NodeList {
            nodes: (0..options.nodes).map(node).collect(),
            options,
            revision: FIRST_REVISION,
            away: false,
            watchers: BTreeMap::new(),
            next_change: None,
            next_heartbeat: None,
            counting: false,
            made: 0,
            report: ListReport::default(),
        }
    }

    fn entry(&self, number: usize, now: Micros) -> Entry<'_> {
        let node = &self.nodes[number];
        Entry {
            node: number as u64,
            incarnation: node.incarnation,
            state: node.state,
            age: node.booted.map(|at| now.since(at).0),
            shard: number as u32,
            zone: number as u32 % ZONES,
            size: NODE_SIZE,
            service_time: None,
            address: &node.address,
        }
    }

    fn count(&mut self, conn: ConnId, note: impl Fn(&mut Traffic)) {
        if !self.counting {
            return;
        }
        note(&mut self.report.traffic);
        if let Some((initiator, _)) = self.watchers.get(&conn).filter(|(i, _)| *i < COUNTED_ALONE) {
            note(self.report.by_initiator.entry(*initiator).or_default());
        }
    }

    fn send(&mut self, links: &mut Links, conn: ConnId, frame: &Frame<'_>) {
        links.push(conn, frame);
        let bytes = length(frame);
        self.count(conn, |traffic| traffic.sent(bytes));
    }

    fn send_all(&mut self, links: &mut Links, conn: ConnId, now: Micros) {
        let pieces = self.nodes.len().div_ceil(MAX_LIST_ENTRIES).max(1);
        let mut lengths = Vec::new();
        for piece in 0..pieces {
            let revision = self.revision - (pieces - 1 - piece) as u64;
            let (extent, since) = match piece {
                0 => (Extent::Full, revision),
                _ => (Extent::Changes, revision - 1),
            };
            let numbers = piece * MAX_LIST_ENTRIES..((piece + 1) * MAX_LIST_ENTRIES).min(self.nodes.len());
            let entries = numbers.map(|number| self.entry(number, now)).collect();
            let frame = Frame::List(List { extent, since, revision, entries });
            links.push(conn, &frame);
            lengths.push(length(&frame));
        }
        for bytes in lengths {
            self.count(conn, |traffic| traffic.sent(bytes));
        }
    }

    /// Drains a node, or brings it back under a new incarnation, in turn. Those that answer stay as they are.
    fn change(&mut self, links: &mut Links, now: Micros) {
        let spared = self.options.answering.len().min(self.nodes.len());
        let changing = self.nodes.len() - spared;
        if changing == 0 {
            return;
        }
        let number = spared + (self.made / 2) as usize % changing;
        self.made += 1;
        let node = &mut self.nodes[number];
        if node.state == State::Serving {
            node.state = State::Draining;
        } else {
            node.state = State::Serving;
            node.incarnation += 1;
            node.booted = Some(now);
        }
        let since = self.revision;
        self.revision += 1;
        self.report.changes.push((self.revision, now.0));
        if self.away {
            return;
        }
        let entries = vec![self.entry(number, now)];
        let frame = Frame::List(List { extent: Extent::Changes, since, revision: self.revision, entries });
        let watching = self.watching();
        let bytes = length(&frame);
        for conn in &watching {
            links.push(*conn, &frame);
        }
        for conn in watching {
            self.count(conn, |traffic| traffic.sent(bytes));
        }
    }

    /// Tells all watchers that nothing has changed.
    fn beat(&mut self, links: &mut Links) {
        let (since, revision) = (self.revision, self.revision);
        for conn in self.watching() {
            let unchanged = List { extent: Extent::Changes, since, revision, entries: Vec::new() };
            self.send(links, conn, &Frame::List(unchanged));
        }
    }

    fn watching(&self) -> Vec<ConnId> {
        self.watchers.iter().filter(|(_, (_, watches))| *watches).map(|(conn, _)| *conn).collect()
    }

    fn gap(&self) -> Option<Micros> {
        (self.options.changes > 0.0).then(|| Micros((1e6 / self.options.changes) as u64))
    }

    fn print_report(&mut self, links: &mut Links) {
        self.report.watchers = self.watchers.values().filter(|(_, watches)| *watches).count() as u64;
        let json = serde_json::to_string(&self.report).expect("counts are plain data");
        links.command(Command::Print(format!("report {json}")));
    }
}

/// Bytes of a frame on the wire.
fn length(frame: &Frame<'_>) -> usize {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    bytes.len()
}

impl Peer for NodeList {
    fn accepts(&self) -> bool {
        !self.away
    }

    fn opened(&mut self, _links: &mut Links, _conn: ConnId, _now: Micros) {}

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        let bytes = length(&frame);
        if let Frame::Hello(Hello { role: Role::Initiator, id, .. }) = frame {
            self.watchers.insert(conn, (id as u32, false));
        }
        self.count(conn, |traffic| traffic.received(bytes));
        match frame {
            Frame::Hello(Hello { role: Role::Initiator, .. }) => {
                let welcome =
                    Welcome { version: VERSION, role: Role::List, id: 0, epoch: 0, name: "emulated" };
                self.send(links, conn, &Frame::Welcome(welcome));
            }
            Frame::GetList => self.send_all(links, conn, now),
            Frame::Watch => {
                if let Some((_, watches)) = self.watchers.get_mut(&conn) {
                    *watches = true;
                }
                self.send_all(links, conn, now);
            }
            Frame::Bye { .. } => {}
            other => {
                warn!(?other, "a frame that has no place here");
                links.close(conn);
                self.watchers.remove(&conn);
            }
        }
    }

    fn connection_closed(&mut self, _links: &mut Links, conn: ConnId, _now: Micros) {
        self.watchers.remove(&conn);
    }

    fn line(&mut self, links: &mut Links, line: &str, now: Micros) {
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["start"] => {
                self.report = ListReport::default();
                self.counting = true;
                self.next_change = self.gap().map(|gap| now.after(gap));
            }
            ["stop"] => {
                self.next_change = None;
                self.counting = false;
            }
            ["away", "1"] => {
                self.away = true;
                links.all().into_iter().for_each(|conn| links.close(conn));
                self.watchers.clear();
            }
            ["away", "0"] => self.away = false,
            ["report"] => self.print_report(links),
            _ => warn!(line, "an unknown line"),
        }
    }

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        while let (Some(due), Some(gap)) = (self.next_change.filter(|due| *due <= now), self.gap()) {
            self.change(links, now);
            self.next_change = Some(due.after(gap));
        }
        if let Some(gap) = self.options.heartbeat
            && self.next_heartbeat.is_none_or(|due| due <= now)
        {
            self.beat(links);
            self.next_heartbeat = Some(now.after(gap));
        }
        [self.next_change, self.next_heartbeat].into_iter().flatten().min()
    }
}

/// Runs the service until its standard input ends.
///
/// # Errors
/// It can't listen, or the driver fails.
pub fn serve_node_list(options: NodeListOptions, what: &StandInOptions) -> io::Result<()> {
    serve(NodeList::new(options), what)
}
