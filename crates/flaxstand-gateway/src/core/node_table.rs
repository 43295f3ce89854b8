//! The nodes that the list tells or lately told, by id and by name. What is asked of all of them (does any
//! serve, which are long gone) is kept up at each change, so that no caller has to walk them for it; what is
//! looked at is counted, so that tests can hold callers to that.

use crate::machine::{Address, Micros};
use flaxstand::api::{NodeEntry, NodeId, Readiness, ShardId, ZoneId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a list calls a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NodeName {
    Number(u64),
    Uid(String),
}

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeName::Number(number) => write!(f, "{number}"),
            NodeName::Uid(uid) => f.write_str(uid),
        }
    }
}

/// A node that is listed, or lately was.
#[derive(Debug)]
pub(super) struct NodePeer {
    /// Its name in the list.
    pub(super) name: NodeName,
    pub(super) incarnation: u64,
    /// Milliseconds on our clock; fixed for an incarnation from when it was first heard of.
    pub(super) started_at: Option<f64>,
    readiness: Readiness,
    pub(super) shard: u32,
    pub(super) zone: u32,
    /// Hundredths; 0: not told.
    pub(super) size: u32,
    pub(super) address: Address,
    /// When the list took it out.
    gone_at: Micros,
}

impl NodePeer {
    fn new(name: NodeName, address: Address) -> Self {
        NodePeer {
            name,
            incarnation: 0,
            started_at: None,
            readiness: Readiness::Removed,
            shard: 0,
            zone: 0,
            size: 0,
            address,
            gone_at: Micros(0),
        }
    }

    /// What the list says of it.
    pub(super) fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// What the module is told of it.
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

/// All nodes that are listed, or lately were.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeId, NodePeer>,
    ids: BTreeMap<NodeName, NodeId>,
    next_id: u32,
    serving: usize,
    /// Nodes that are not listed any more, by when the list took them out.
    gone: BTreeSet<(Micros, NodeId)>,
    visited: Cell<u64>,
}

impl NodeTable {
    /// A node.
    pub(super) fn get(&self, id: NodeId) -> Option<&NodePeer> {
        self.visit();
        self.nodes.get(&id)
    }

    /// The same, to change it.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut NodePeer> {
        self.visit();
        self.nodes.get_mut(&id)
    }

    /// The node of this name.
    pub(super) fn id_of(&self, name: &NodeName) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// A node that is new. It is gone until [`NodeTable::set_readiness`] says otherwise.
    pub(super) fn insert(&mut self, name: NodeName, address: Address) -> NodeId {
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        let node = NodePeer::new(name, address);
        self.gone.insert((node.gone_at, id));
        self.nodes.insert(id, node);
        id
    }

    /// Forgets a node.
    pub(super) fn remove(&mut self, id: NodeId) -> Option<NodePeer> {
        self.set_readiness(id, Readiness::Removed, Micros(0));
        let node = self.nodes.remove(&id)?;
        self.gone.remove(&(node.gone_at, id));
        self.ids.remove(&node.name);
        Some(node)
    }

    /// What the list says of a node from now on.
    pub(super) fn set_readiness(&mut self, id: NodeId, readiness: Readiness, now: Micros) {
        self.visit();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        match (node.readiness == Readiness::Removed, readiness == Readiness::Removed) {
            (false, true) => {
                node.gone_at = now;
                self.gone.insert((now, id));
            }
            (true, false) => {
                self.gone.remove(&(node.gone_at, id));
            }
            _ => {}
        }
        self.serving -= usize::from(node.readiness == Readiness::Serving);
        self.serving += usize::from(readiness == Readiness::Serving);
        node.readiness = readiness;
    }

    /// Whether a node serves.
    pub(super) fn serves(&self, id: NodeId) -> bool {
        self.get(id).is_some_and(|node| node.readiness == Readiness::Serving)
    }

    /// Whether any does.
    pub(super) fn any_serves(&self) -> bool {
        self.serving > 0
    }

    /// How many are listed.
    pub(super) fn listed(&self) -> usize {
        self.nodes.len() - self.gone.len()
    }

    /// How many are held, those lately gone included.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// All of them. For what concerns the whole list; every node counts as looked at.
    pub(super) fn iter(&self) -> impl Iterator<Item = (NodeId, &NodePeer)> {
        self.nodes.iter().map(|(id, node)| {
            self.visit();
            (*id, node)
        })
    }

    /// Nodes that the list took out so long ago or longer, the longest gone first.
    pub(super) fn gone_for(&self, age: Micros, now: Micros) -> Vec<NodeId> {
        let old = |(gone_at, _): &&(Micros, NodeId)| now.since(*gone_at) >= age;
        self.gone.iter().take_while(old).map(|(_, id)| *id).collect()
    }

    /// How often a node was looked at since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }
}
