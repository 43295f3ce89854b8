//! Applies updates of the endpoint list to the table.

use super::{EndpointName, EndpointTable};
use crate::core::discovery::{EndpointEntry, EndpointUpdate};
use crate::machine::{Address, Micros};
use flaxstand::api::{ListScope, NodeEntry, NodeId, Readiness};
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// Maximum number of nodes of the platform beyond the bound that are logged one by one for an update.
const MAX_LOGGED_LEFT_OUT: usize = 16;

/// The effects of an update.
#[derive(Debug, Default)]
pub(in crate::core) struct AppliedUpdate {
    /// Entries for the decision module, in the order of the update.
    pub(in crate::core) entries: Vec<NodeEntry>,
    /// All nodes that the update contains or removed.
    pub(in crate::core) touched: BTreeSet<NodeId>,
    /// Nodes whose address changed, in the order of the update.
    pub(in crate::core) moved: Vec<NodeId>,
}

/// The effects of one entry.
struct AppliedEntry {
    entry: NodeEntry,
    is_moved: bool,
}

impl EndpointTable {
    /// Applies an update. Invalid entries are skipped with a warning. The table holds at most `max_endpoints`
    /// endpoints. Endpoints that are absent from a full or cached list are removed.
    pub(in crate::core) fn apply(
        &mut self,
        update: EndpointUpdate,
        max_endpoints: usize,
        now: Micros,
    ) -> AppliedUpdate {
        let mut applied = AppliedUpdate::default();
        self.left_out = 0;
        for entry in update.entries {
            let Some(AppliedEntry { entry, is_moved }) = self.apply_entry(entry, max_endpoints, now) else {
                continue;
            };
            if is_moved {
                applied.moved.push(entry.node);
            }
            applied.entries.push(entry);
        }
        if self.left_out > MAX_LOGGED_LEFT_OUT {
            warn!(nodes = self.left_out, bound = max_endpoints, "listed nodes beyond the bound are left out");
        }
        applied.touched = applied.entries.iter().map(|entry| entry.node).collect();
        if update.scope != ListScope::Changes {
            let mut absent = self.remove_absent(&applied.touched, now);
            applied.touched.append(&mut absent);
        }
        applied
    }

    /// Drains endpoints whose entries are malformed. Returns those that were serving.
    pub(in crate::core) fn drain_unreadable(&mut self, uids: &[String], now: Micros) -> BTreeSet<NodeId> {
        let listed = uids.iter().filter_map(|uid| self.id_of(&EndpointName::Uid(uid.clone())));
        let serving: BTreeSet<NodeId> = listed.filter(|id| self.serves(*id)).collect();
        for id in &serving {
            self.set_readiness(*id, Readiness::Draining, now);
        }
        serving
    }

    /// Marks endpoints as removed that are absent from a full or cached list. Returns those that were listed
    /// before.
    fn remove_absent(&mut self, listed: &BTreeSet<NodeId>, now: Micros) -> BTreeSet<NodeId> {
        let previous = self.iter().filter(|(_, endpoint)| endpoint.readiness() != Readiness::Removed);
        let absent: BTreeSet<NodeId> = previous.map(|(id, _)| id).filter(|id| !listed.contains(id)).collect();
        for id in &absent {
            self.set_readiness(*id, Readiness::Removed, now);
        }
        absent
    }

    /// Applies one entry. Returns none if the entry is invalid or exceeds the table's limit.
    fn apply_entry(
        &mut self,
        mut entry: EndpointEntry,
        max_endpoints: usize,
        now: Micros,
    ) -> Option<AppliedEntry> {
        let known = self.id_of(&entry.name);
        let address = self.address_of(&mut entry, known)?;
        let id = match known {
            Some(id) => id,
            None => self.insert_listed(&entry, &address, max_endpoints)?,
        };
        let endpoint = self.get_mut(id)?;
        let before = (endpoint.readiness(), endpoint.incarnation);
        if entry.incarnation > endpoint.incarnation {
            // The start time is fixed at the first report of this incarnation, by the list or by the node: a
            // less recent age received later must not look like another start.
            endpoint.incarnation = entry.incarnation;
            endpoint.started_at = entry.started_at;
        }
        let is_moved = endpoint.address != address;
        // Most entries of a full list are unchanged.
        let is_changed = is_moved || before != (entry.readiness, endpoint.incarnation);
        endpoint.shard = entry.shard;
        endpoint.zone = entry.zone;
        endpoint.size = entry.size;
        endpoint.address = address;
        self.set_readiness(id, entry.readiness, now);
        if is_changed {
            let (node, state) = (&entry.name, entry.readiness);
            debug!(%node, ?state, shard = entry.shard, address = entry.address, "endpoint changed");
        }
        // The service time is passed on with the entry and not stored: it is valid only for that incarnation.
        let stored = self.get(id)?.entry(id);
        let entry = NodeEntry { service_time: entry.service_time, ..stored };
        Some(AppliedEntry { entry, is_moved })
    }

    /// Returns the address stated in an entry. If it is malformed, a known endpoint keeps its previous
    /// address and is drained; the rest of the entry still applies.
    fn address_of(&self, entry: &mut EndpointEntry, known: Option<NodeId>) -> Option<Address> {
        let cause = match entry.address.parse() {
            Ok(address) => return Some(address),
            Err(cause) => cause,
        };
        let Some(known) = known.and_then(|id| self.get(id)) else {
            warn!(node = %entry.name, %cause, "malformed address of a new endpoint; ignoring the entry");
            return None;
        };
        if entry.readiness == Readiness::Serving {
            warn!(node = %entry.name, %cause, "malformed address of a listed endpoint; draining it");
            entry.readiness = Readiness::Draining;
        }
        Some(known.address.clone())
    }

    fn insert_listed(
        &mut self,
        entry: &EndpointEntry,
        address: &Address,
        max_endpoints: usize,
    ) -> Option<NodeId> {
        if self.len() >= max_endpoints {
            self.left_out += 1;
            let is_named_by_number = matches!(entry.name, EndpointName::Number(_));
            if is_named_by_number || self.left_out <= MAX_LOGGED_LEFT_OUT {
                // The message is parsed by the measurement of list lags.
                warn!(node = %entry.name, bound = max_endpoints, "a listed node beyond the bound is left out");
            }
            return None;
        }
        Some(self.insert(entry.name.clone(), address.clone()))
    }
}
