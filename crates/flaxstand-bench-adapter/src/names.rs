//! Names of nodes and zones, which only the bench uses, and the numbers that stand for them in the scheduler.

use crate::error::LineError;
use flaxstand::api::{NodeId, ZoneId};
use std::collections::BTreeMap;

/// The names that one instance was told, numbered in the order in which they came up.
#[derive(Default)]
pub struct NameTable {
    node_ids: BTreeMap<String, NodeId>,
    node_names: Vec<String>,
    zones: BTreeMap<String, ZoneId>,
}

impl NameTable {
    /// The id of a node, a new one if the name is new.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        let next = NodeId(self.node_names.len() as u32);
        *self.node_ids.entry(name.to_owned()).or_insert_with(|| {
            self.node_names.push(name.to_owned());
            next
        })
    }

    /// The name of a node; an error if no name was given this id.
    pub fn node_name(&self, node: NodeId) -> Result<&str, LineError> {
        self.node_names.get(node.0 as usize).map(String::as_str).ok_or(LineError::UnknownNode(node))
    }

    /// The id of a zone, a new one if the name is new.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        let next = ZoneId(self.zones.len() as u32);
        *self.zones.entry(name.to_owned()).or_insert(next)
    }
}
