//! Mapping between the bench's names of nodes and zones and the scheduler's ids.

use crate::error::LineError;
use flaxstand::api::{NodeId, ZoneId};
use std::collections::BTreeMap;

/// Names known to one instance, numbered in the order of their first use.
#[derive(Default)]
pub struct NameTable {
    node_ids: BTreeMap<String, NodeId>,
    node_names: Vec<String>,
    zones: BTreeMap<String, ZoneId>,
}

impl NameTable {
    /// Returns the id of a node; assigns one to a new name.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        let next = NodeId(self.node_names.len() as u32);
        *self.node_ids.entry(name.to_owned()).or_insert_with(|| {
            self.node_names.push(name.to_owned());
            next
        })
    }

    /// Returns the name of a node.
    ///
    /// # Errors
    /// [`LineError::UnknownNode`] if no name has this id.
    pub fn node_name(&self, node: NodeId) -> Result<&str, LineError> {
        self.node_names.get(node.0 as usize).map(String::as_str).ok_or(LineError::UnknownNode(node))
    }

    /// Returns the id of a zone; assigns one to a new name.
    pub fn zone_id(&mut self, name: &str) -> ZoneId {
        let next = ZoneId(self.zones.len() as u32);
        *self.zones.entry(name.to_owned()).or_insert(next)
    }
}
