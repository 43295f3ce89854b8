//! Emulated list service: notifies initiators of the nodes, with a configurable delay. The true state of
//! the nodes and the faults of the service arrive on its standard input.
//!
//! | line | meaning |
//! | --- | --- |
//! | `node ID INCARNATION STATE SHARD ZONE AGE ADDRESS` | sets a node's state; age in ms, or `-`: long ago |
//! | `late MS` | sets the delay of notifications |
//! | `silent 0` or `1` | ignores every frame, handshakes included |
//! | `fail 0` or `1` | answers every request with a failure |
//! | `cut` | closes every connection |

use crate::shell::{Links, Peer};
use flaxstand_audit::{ListState, Record};
use flaxstand_gateway::machine::{ConnId, Micros};
use flaxstand_proto::{Entry, Extent, Frame, Hello, List, Role, State, VERSION, Welcome};
use std::collections::{BTreeMap, VecDeque};
use tracing::warn;

/// Formats the input line that sets the state of a node. `age`: ms, or `-` for a node that started long
/// ago.
pub fn node_line(
    node: u64,
    incarnation: u64,
    state: &str,
    shard: usize,
    zone: u32,
    age: &str,
    address: impl std::fmt::Display,
) -> String {
    format!("node {node} {incarnation} {state} {shard} {zone} {age} {address}")
}

/// Entry of a node in the list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// The node's number.
    pub node: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
    /// Shard that it holds.
    pub shard: u32,
    /// Its zone.
    pub zone: u32,
    /// Time of its start; none: long ago.
    pub booted: Option<Micros>,
    /// Address at which it listens.
    pub address: String,
}

impl ListedNode {
    fn entry(&self, now: Micros) -> Entry<'_> {
        Entry {
            node: self.node,
            incarnation: self.incarnation,
            state: self.state,
            age: self.booted.map(|at| now.since(at).0),
            shard: self.shard,
            zone: self.zone,
            // All nodes of a day have the same nominal size.
            size: 100,
            service_time: None,
            address: &self.address,
        }
    }
}

struct Watcher {
    initiator: u32,
    epoch: u64,
    watches: bool,
    /// State of each node in the last notification, to find the nodes that a full list removes.
    notified: BTreeMap<u64, State>,
}

/// An emulated list service.
#[derive(Default)]
pub struct ListService {
    delay: Micros,
    silent: bool,
    fail: bool,
    pending: VecDeque<(Micros, ListedNode)>,
    nodes: BTreeMap<u64, ListedNode>,
    revision: u64,
    watchers: BTreeMap<ConnId, Watcher>,
}

impl ListService {
    /// Creates a service whose notifications are delayed by `delay`.
    pub fn new(delay: Micros) -> Self {
        ListService { delay, revision: 1, ..ListService::default() }
    }

    fn send_full_list(&mut self, links: &mut Links, conn: ConnId, now: Micros) {
        let entries: Vec<Entry<'_>> = self.nodes.values().map(|n| n.entry(now)).collect();
        let list = List { extent: Extent::Full, since: self.revision, revision: self.revision, entries };
        links.push(conn, &Frame::List(list));
        let Some(watcher) = self.watchers.get_mut(&conn) else { return };
        let absent: Vec<u64> =
            watcher.notified.keys().filter(|n| !self.nodes.contains_key(n)).copied().collect();
        for node in absent {
            record_notification(links, watcher, node, 0, State::Removed, now);
        }
        for n in self.nodes.values() {
            record_notification(links, watcher, n.node, n.incarnation, n.state, now);
        }
    }

    fn send_change(&mut self, links: &mut Links, changed: &ListedNode, now: Micros) {
        let since = self.revision;
        self.revision += 1;
        if changed.state == State::Removed {
            self.nodes.remove(&changed.node);
        } else {
            self.nodes.insert(changed.node, changed.clone());
        }
        if self.silent || self.fail {
            return;
        }
        let entries = vec![changed.entry(now)];
        let frame = Frame::List(List { extent: Extent::Changes, since, revision: self.revision, entries });
        for (conn, watcher) in self.watchers.iter_mut().filter(|(_, w)| w.watches) {
            links.push(*conn, &frame);
            record_notification(links, watcher, changed.node, changed.incarnation, changed.state, now);
        }
    }

    /// Parses the fields of a line that [`node_line`] formats, without its first word; none if they are
    /// invalid.
    pub fn parse(words: &[&str], now: Micros) -> Option<ListedNode> {
        let [node, incarnation, state, shard, zone, age, address] = words else { return None };
        Some(ListedNode {
            node: node.parse().ok()?,
            incarnation: incarnation.parse().ok()?,
            state: match *state {
                "serving" => State::Serving,
                "draining" => State::Draining,
                "gone" => State::Removed,
                _ => return None,
            },
            shard: shard.parse().ok()?,
            zone: zone.parse().ok()?,
            booted: match *age {
                "-" => None,
                age => Some(Micros(now.0.saturating_sub(Micros::from_ms(age.parse().ok()?).0))),
            },
            address: (*address).to_owned(),
        })
    }
}

fn record_notification(
    links: &mut Links,
    watcher: &mut Watcher,
    node: u64,
    incarnation: u64,
    state: State,
    now: Micros,
) {
    watcher.notified.insert(node, state);
    let state = match state {
        State::Serving => ListState::Serving,
        State::Draining => ListState::Draining,
        State::Removed => ListState::Removed,
    };
    let (initiator, epoch) = (watcher.initiator, watcher.epoch);
    links.record(&Record::Notified { at: now.0, initiator, epoch, node, incarnation, state });
}

impl Peer for ListService {
    fn opened(&mut self, _links: &mut Links, _conn: ConnId, _now: Micros) {}

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        match frame {
            _ if self.silent => {}
            Frame::Hello(Hello { role: Role::Initiator, id, epoch, .. }) => {
                let initiator = id as u32;
                let notified = BTreeMap::new();
                self.watchers.insert(conn, Watcher { initiator, epoch, watches: false, notified });
                links.push(
                    conn,
                    &Frame::Welcome(Welcome {
                        version: VERSION,
                        role: Role::List,
                        id: 0,
                        epoch: 0,
                        name: "emulated",
                    }),
                );
            }
            Frame::GetList | Frame::Watch if self.fail => links.push(conn, &Frame::ListFailed),
            Frame::GetList => self.send_full_list(links, conn, now),
            Frame::Watch => {
                if let Some(watcher) = self.watchers.get_mut(&conn) {
                    watcher.watches = true;
                }
                self.send_full_list(links, conn, now);
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
        let words: Vec<&str> = line.split_whitespace().collect();
        let on = words.get(1).is_some_and(|w| *w == "1");
        match words[..] {
            ["node", ref rest @ ..] => match Self::parse(rest, now) {
                Some(listed) => self.pending.push_back((now.after(self.delay), listed)),
                None => warn!(line, "ignoring an invalid node line"),
            },
            ["late", ms] => self.delay = Micros::from_ms(ms.parse().unwrap_or(0.0)),
            ["silent", _] => self.silent = on,
            ["fail", _] => self.fail = on,
            ["cut"] => {
                links.all().into_iter().for_each(|conn| links.close(conn));
                self.watchers.clear();
            }
            _ => warn!(line, "ignoring an unknown line of standard input"),
        }
    }

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        while let Some((_, changed)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.send_change(links, &changed, now);
        }
        self.pending.front().map(|(at, _)| *at)
    }
}
