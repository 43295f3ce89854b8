//! Table of the endpoints that are listed or were removed recently, by id and by name. Aggregates (whether
//! any endpoint serves, which were removed long ago) are maintained on each change, so that callers need not
//! iterate over the table. Visits of endpoints are counted, so that tests can verify this. [`apply`] applies
//! updates of the list.

mod apply;

use crate::machine::{Address, Micros};
use flaxstand::api::{NodeEntry, NodeId, Readiness, ShardId, ZoneId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Name of an endpoint in the list.
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

/// A storage node that is listed or was removed recently.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Name in the list.
    pub(super) name: EndpointName,
    pub(super) incarnation: u64,
    /// Start time, milliseconds on the monotonic clock; fixed for an incarnation at its first report.
    pub(super) started_at: Option<f64>,
    readiness: Readiness,
    pub(super) shard: u32,
    pub(super) zone: u32,
    /// Relative size in hundredths; 0 if not stated.
    pub(super) size: u32,
    pub(super) address: Address,
    /// Time at which the list removed the endpoint.
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

    /// Readiness as stated by the list.
    pub(super) fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// Returns the entry for the decision module.
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

/// All endpoints that are listed or were removed recently.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    nodes: BTreeMap<NodeId, Endpoint>,
    ids: BTreeMap<EndpointName, NodeId>,
    next_id: u32,
    serving: usize,
    /// Endpoints that are no longer listed, by time of removal.
    removed: BTreeSet<(Micros, NodeId)>,
    /// Nodes of the last update that were left out, since the table is full.
    left_out: usize,
    visited: Cell<u64>,
}

impl EndpointTable {
    /// Returns an endpoint.
    pub(super) fn get(&self, id: NodeId) -> Option<&Endpoint> {
        self.visit();
        self.nodes.get(&id)
    }

    /// Returns an endpoint for modification.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Endpoint> {
        self.visit();
        self.nodes.get_mut(&id)
    }

    /// Returns the id of the endpoint with this name.
    pub(super) fn id_of(&self, name: &EndpointName) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Adds an endpoint. It counts as removed until [`EndpointTable::set_readiness`] sets another readiness.
    pub(super) fn insert(&mut self, name: EndpointName, address: Address) -> NodeId {
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        let node = Endpoint::new(name, address);
        self.removed.insert((node.removed_at, id));
        self.nodes.insert(id, node);
        id
    }

    /// Deletes an endpoint from the table.
    pub(super) fn remove(&mut self, id: NodeId) -> Option<Endpoint> {
        self.set_readiness(id, Readiness::Removed, Micros(0));
        let node = self.nodes.remove(&id)?;
        self.removed.remove(&(node.removed_at, id));
        self.ids.remove(&node.name);
        Some(node)
    }

    /// Sets the readiness of an endpoint and maintains the aggregates.
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

    /// Returns whether the endpoint accepts new requests.
    pub(super) fn serves(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|node| node.readiness == Readiness::Serving)
    }

    /// Returns whether any endpoint accepts new requests.
    pub(super) fn any_serves(&self) -> bool {
        self.serving > 0
    }

    /// Number of listed endpoints.
    pub(super) fn listed(&self) -> usize {
        self.nodes.len() - self.removed.len()
    }

    /// Number of endpoints in the table, including those removed recently.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Iterates over all endpoints. Each of them counts as visited, so use it only for operations on the full
    /// list.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &Endpoint)> {
        self.nodes.iter().map(|(id, node)| {
            self.visit();
            (*id, node)
        })
    }

    /// Returns the endpoints that were removed at least `age` ago, the earliest first.
    pub(super) fn removed_for(&self, age: Micros, now: Micros) -> Vec<NodeId> {
        let is_old = |(removed_at, _): &&(Micros, NodeId)| now.since(*removed_at) >= age;
        self.removed.iter().take_while(is_old).map(|(_, id)| *id).collect()
    }

    /// Number of endpoint visits since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }
}
