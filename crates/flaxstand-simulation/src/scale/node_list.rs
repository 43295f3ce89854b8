//! An emulated list service for scale runs. It serves a list of nodes that changes at a steady rate to any
//! number of watchers. Its only state per watcher is a count of messages and bytes.
//!
//! | line of standard input | meaning |
//! | --- | --- |
//! | `start` | resets the counts and starts the changes |
//! | `stop` | stops the changes and the counting |
//! | `away 1` | closes all connections and accepts none |
//! | `away 0` | accepts connections again |
//! | `report` | prints `report` and a [`ListReport`] |
//!
//! A frame holds at most [`MAX_LIST_ENTRIES`] entries. A longer list is sent as a full list of that many
//! entries, followed by changes with the remaining entries, each under its own revision.

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

/// Revision of the complete list before its first change. The earlier frames of a long list have lower
/// revisions.
pub const FIRST_REVISION: u64 = 1000;
/// Number of initiators with counts of their own. Initiators that run as their own process have the lowest
/// numbers.
const COUNTED_INDIVIDUALLY: u32 = 64;
/// Number of zones that the nodes are spread over.
const ZONES: u32 = 27;
/// Nominal size of each node.
const NODE_SIZE: u32 = 100;

/// Options of the service.
#[derive(Clone, Debug)]
pub struct NodeListOptions {
    /// Number of nodes in the list.
    pub nodes: u32,
    /// Changes per second after `start`.
    pub changes: f64,
    /// Interval between heartbeats (empty changes) to all watchers. With `None` there are none.
    pub heartbeat: Option<Micros>,
    /// Addresses of the first nodes in the list, which answer requests. Nothing listens at those of the other
    /// nodes.
    pub answering: Vec<Address>,
}

/// Counts since `start`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ListReport {
    /// Number of connections that watch the list.
    pub watchers: u64,
    /// Traffic with all initiators.
    pub traffic: Traffic,
    /// Traffic with each of the initiators that are counted individually, by number.
    pub by_initiator: BTreeMap<u32, Traffic>,
    /// Revision and time (microseconds of the host's monotonic clock) of each change.
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
    unavailable: bool,
    /// For each connection, the number of the initiator and whether it watches the list.
    watchers: BTreeMap<ConnId, (u32, bool)>,
    next_change: Option<Micros>,
    next_heartbeat: Option<Micros>,
    counting: bool,
    /// Number of changes since the start of the process.
    changes_made: u64,
    report: ListReport,
}

impl NodeList {
    fn new(options: NodeListOptions) -> Self {
        let address = |number: u32| match options.answering.get(number as usize) {
            Some(address) => address.to_string(),
            // Each other node gets its own loopback address. Nothing listens there.
            None => format!("127.{}.{}.{}:9", 100 + (number >> 16), (number >> 8) & 0xff, number & 0xff),
        };
        let node =
            |number| Node { incarnation: 1, state: State::Serving, booted: None, address: address(number) };
        NodeList {
            nodes: (0..options.nodes).map(node).collect(),
            options,
            revision: FIRST_REVISION,
            unavailable: false,
            watchers: BTreeMap::new(),
            next_change: None,
            next_heartbeat: None,
            counting: false,
            changes_made: 0,
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

    fn count(&mut self, conn: ConnId, add: impl Fn(&mut Traffic)) {
        if !self.counting {
            return;
        }
        add(&mut self.report.traffic);
        if let Some((initiator, _)) = self.watchers.get(&conn).filter(|(i, _)| *i < COUNTED_INDIVIDUALLY) {
            add(self.report.by_initiator.entry(*initiator).or_default());
        }
    }

    fn send(&mut self, links: &mut Links, conn: ConnId, frame: &Frame<'_>) {
        links.push(conn, frame);
        let bytes = encoded_length(frame);
        self.count(conn, |traffic| traffic.sent(bytes));
    }

    /// Sends the complete list, in as many frames as it needs.
    fn send_complete_list(&mut self, links: &mut Links, conn: ConnId, now: Micros) {
        let frames = self.nodes.len().div_ceil(MAX_LIST_ENTRIES).max(1);
        let mut lengths = Vec::new();
        for nth in 0..frames {
            let revision = self.revision - (frames - 1 - nth) as u64;
            let (extent, since) = match nth {
                0 => (Extent::Full, revision),
                _ => (Extent::Changes, revision - 1),
            };
            let numbers = nth * MAX_LIST_ENTRIES..((nth + 1) * MAX_LIST_ENTRIES).min(self.nodes.len());
            let entries = numbers.map(|number| self.entry(number, now)).collect();
            let frame = Frame::List(List { extent, since, revision, entries });
            links.push(conn, &frame);
            lengths.push(encoded_length(&frame));
        }
        for bytes in lengths {
            self.count(conn, |traffic| traffic.sent(bytes));
        }
    }

    /// Changes one node. Changes alternate between draining a node and returning it to service under a new
    /// incarnation. The nodes that answer do not change.
    fn apply_change(&mut self, links: &mut Links, now: Micros) {
        let answering = self.options.answering.len().min(self.nodes.len());
        let changing = self.nodes.len() - answering;
        if changing == 0 {
            return;
        }
        let number = answering + (self.changes_made / 2) as usize % changing;
        self.changes_made += 1;
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
        if self.unavailable {
            return;
        }
        let entries = vec![self.entry(number, now)];
        let frame = Frame::List(List { extent: Extent::Changes, since, revision: self.revision, entries });
        let watching = self.watching();
        let bytes = encoded_length(&frame);
        for conn in &watching {
            links.push(*conn, &frame);
        }
        for conn in watching {
            self.count(conn, |traffic| traffic.sent(bytes));
        }
    }

    /// Sends an empty change to all watchers.
    fn send_heartbeat(&mut self, links: &mut Links) {
        let (since, revision) = (self.revision, self.revision);
        for conn in self.watching() {
            let heartbeat = List { extent: Extent::Changes, since, revision, entries: Vec::new() };
            self.send(links, conn, &Frame::List(heartbeat));
        }
    }

    fn watching(&self) -> Vec<ConnId> {
        self.watchers.iter().filter(|(_, (_, watches))| *watches).map(|(conn, _)| *conn).collect()
    }

    /// Returns the interval between changes, or `None` if there are none.
    fn change_interval(&self) -> Option<Micros> {
        (self.options.changes > 0.0).then(|| Micros((1e6 / self.options.changes) as u64))
    }

    fn print_report(&mut self, links: &mut Links) {
        self.report.watchers = self.watchers.values().filter(|(_, watches)| *watches).count() as u64;
        let json = serde_json::to_string(&self.report).expect("a report of numbers serializes as JSON");
        links.command(Command::Print(format!("report {json}")));
    }
}

/// Returns the encoded length of a frame in bytes.
fn encoded_length(frame: &Frame<'_>) -> usize {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    bytes.len()
}

impl Peer for NodeList {
    fn accepts(&self) -> bool {
        !self.unavailable
    }

    fn opened(&mut self, _links: &mut Links, _conn: ConnId, _now: Micros) {}

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        let bytes = encoded_length(&frame);
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
            Frame::GetList => self.send_complete_list(links, conn, now),
            Frame::Watch => {
                if let Some((_, watches)) = self.watchers.get_mut(&conn) {
                    *watches = true;
                }
                self.send_complete_list(links, conn, now);
            }
            Frame::Bye { .. } => {}
            other => {
                warn!(?other, "unexpected frame; closing the connection");
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
                self.next_change = self.change_interval().map(|interval| now.after(interval));
            }
            ["stop"] => {
                self.next_change = None;
                self.counting = false;
            }
            ["away", "1"] => {
                self.unavailable = true;
                links.all().into_iter().for_each(|conn| links.close(conn));
                self.watchers.clear();
            }
            ["away", "0"] => self.unavailable = false,
            ["report"] => self.print_report(links),
            _ => warn!(line, "ignoring an unknown command on standard input"),
        }
    }

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        while let (Some(due), Some(interval)) =
            (self.next_change.filter(|due| *due <= now), self.change_interval())
        {
            self.apply_change(links, now);
            self.next_change = Some(due.after(interval));
        }
        if let Some(interval) = self.options.heartbeat
            && self.next_heartbeat.is_none_or(|due| due <= now)
        {
            self.send_heartbeat(links);
            self.next_heartbeat = Some(now.after(interval));
        }
        [self.next_change, self.next_heartbeat].into_iter().flatten().min()
    }
}

/// Runs the service until its standard input ends.
///
/// # Errors
/// The service cannot listen, or the driver fails.
pub fn serve_node_list(options: NodeListOptions, what: &StandInOptions) -> io::Result<()> {
    serve(NodeList::new(options), what)
}
