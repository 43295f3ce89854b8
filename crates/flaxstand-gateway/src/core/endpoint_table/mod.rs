//! The endpoints that are listed or lately were, by id and by name. What is asked of all of them (does any
//! serve, which were removed long ago) is maintained at each change, so that no caller has to walk them for
//! it; visits are counted, so that tests can hold callers to that. [`apply`]: how an update of the list
//! changes the table.

mod apply;

use crate::machine::{Address, Micros};
use flaxstand::api::{NodeEntry, NodeId, Readiness, ShardId, ZoneId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What the list calls an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EndpointName {
    Number(u64),
    Uid(String),
}

impl fmt::Display for EndpointName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointName::Number(number) => write!(f, "{number}"),
            EndpointName::Uid(uid) => f.write_str(uid),
        }
    }
}

/// A storage node that is listed or lately was, and what is in use of it here.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Its name in the list.
    pub(super) name: EndpointName,
    pub(super) incarnation: u64,
    /// Milliseconds on our clock; fixed for an incarnation from its first report.
    pub(super) started_at: Option<f64>,
    readiness: Readiness,
    pub(super) shard: u32,
    pub(super) zone: u32,
    /// Its size against others', hundredths; 0: not stated.
    pub(super) size: u32,
    pub(super) address: Address,
    /// When the list removed it.
    removed_at: Micros,
}

impl Endpoint {
    fn new(name: EndpointName, address: Address) -> Self {
        Endpoint {
            name,
            incarnation: 0,
            started_at: None,
            readiness: Readiness::Removed,
            shard: 0,
            zone: 0,
            size: 0,
            address,
            removed_at: Micros(0),
        }
    }

    /// Whether it takes requests, by the list.
    pub(super) fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// Its entry for the decision module.
    pub(super) fn entry(&self, node: NodeId) -> NodeEntry {
        NodeEntry {
            node,
            readiness: self.readiness,
            started_at: self.started_at,
            size: f64::from(self.size) / 100.0,
            service_time: None,
            zone: ZoneId(self.zone),
            shard: ShardId(self.shard.into()),
        }
    }
}

/// All endpoints that are listed or lately were.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    nodes: BTreeMap<NodeId, Endpoint>,
    ids: BTreeMap<EndpointName, NodeId>,
    next_id: u32,
    serving: usize,
    /// Endpoints that are no longer listed, by when the list removed them.
    removed: BTreeSet<(Micros, NodeId)>,
    visited: Cell<u64>,
}

impl EndpointTable {
    /// An endpoint.
    pub(super) fn get(&self, id: NodeId) -> Option<&Endpoint> {
        self.visit();
        self.nodes.get(&id)
    }

    /// An endpoint, to change it.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Endpoint> {
        self.visit();
        self.nodes.get_mut(&id)
    }

    /// The id of the endpoint of this name.
    pub(super) fn id_of(&self, name: &EndpointName) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Adds an endpoint. It counts as removed until [`EndpointTable::set_readiness`] says otherwise.
    pub(super) fn insert(&mut self, name: EndpointName, address: Address) -> NodeId {
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        let node = Endpoint::new(name, address);
        self.removed.insert((node.removed_at, id));
        self.nodes.insert(id, node);
        id
    }

    /// Forgets an endpoint.
    pub(super) fn remove(&mut self, id: NodeId) -> Option<Endpoint> {
        self.set_readiness(id, Readiness::Removed, Micros(0));
        let node = self.nodes.remove(&id)?;
        self.removed.remove(&(node.removed_at, id));
        self.ids.remove(&node.name);
        Some(node)
    }

    /// The list states another readiness of an endpoint.
    pub(super) fn set_readiness(&mut self, id: NodeId, readiness: Readiness, now: Micros) {
        self.visit();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        match (node.readiness == Readiness::Removed, readiness == Readiness::Removed) {
            (false, true) => {
                node.removed_at = now;
                self.removed.insert((now, id));
            }
            (true, false) => {
                self.removed.remove(&(node.removed_at, id));
            }
            _ => {}
        }
        self.serving -= usize::from(node.readiness == Readiness::Serving);
        self.serving += usize::from(readiness == Readiness::Serving);
        node.readiness = readiness;
    }

    /// Whether an endpoint takes new requests.
    pub(super) fn serves(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|node| node.readiness == Readiness::Serving)
    }

    /// Whether any endpoint takes new requests.
    pub(super) fn any_serves(&self) -> bool {
        self.serving > 0
    }

    /// How many are listed.
    pub(super) fn listed(&self) -> usize {
        self.nodes.len() - self.removed.len()
    }

    /// How many are in the table, those lately removed included.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// All of them. For what concerns the whole list; every endpoint counts as visited.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Endpoint)> {
        self.nodes.iter().map(|(id, node)| {
            self.visit();
            (*id, node)
        })
    }

    /// Endpoints that the list removed so long ago or longer, the earliest first.
    pub(super) fn gone_for(&self, age: Micros, now: Micros) -> Vec<NodeId> {
        let old = |(removed_at, _): &&(Micros, NodeId)| now.since(*removed_at) >= age;
        self.removed.iter().take_while(old).map(|(_, id)| *id).collect()
    }

    /// How often an endpoint was visited since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }
}
