//! When the cached endpoint list is written, and which part of it: changes are appended until they are as
//! long as the full list, which then replaces them.

use super::EndpointDiscovery;
use super::cache_codec::CacheEncoder;
use crate::core::endpoint_table::EndpointTable;
use crate::machine::Micros;
use flaxstand::api::{ListScope, NodeId};
use std::collections::BTreeSet;

/// Service times learned of nodes in use are saved with a change of the list, but no more often than this:
/// they differ after every answer. A crash loses what was learned since.
const SERVICE_TIMES_INTERVAL: Micros = Micros(10_000_000);
/// A save that failed is retried after this.
const RETRY_SAVE_AFTER: Micros = Micros(10_000_000);

/// Bytes to be written into the cached list.
#[derive(Debug)]
pub(in crate::core) enum CacheWrite {
    /// In place of what is there.
    Replace(Vec<u8>),
    /// Behind what is there.
    Append(Vec<u8>),
}

/// What of the list is saved, and what is not yet.
#[derive(Debug, Default)]
pub(super) struct CacheSchedule {
    /// An update has to be saved.
    is_due: bool,
    /// Nodes whose entries differ from the saved ones.
    changed: BTreeSet<NodeId>,
    /// Nodes that answered since their service times were last saved.
    used: BTreeSet<NodeId>,
    service_times_saved_at: Option<Micros>,
    /// Bytes of the full list in the saved state; none: it is to be written in full.
    full_bytes: Option<usize>,
    /// Bytes of changes behind it.
    appended_bytes: usize,
    /// No save before this: the last one failed.
    not_before: Option<Micros>,
}

impl CacheSchedule {
    /// Something was learned of a node that no update states. It is saved with the next update.
    pub(super) fn add_learned(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// A node answered: its service time may have changed.
    pub(super) fn add_used(&mut self, node: NodeId) {
        self.used.insert(node);
    }

    /// The state could not be written: what it holds is unknown.
    pub(super) fn record_failure(&mut self, now: Micros) {
        self.require_full();
        self.not_before = Some(now.after(RETRY_SAVE_AFTER));
    }

    fn require_full(&mut self) {
        self.is_due = true;
        self.full_bytes = None;
    }

    fn add_changed(&mut self, nodes: BTreeSet<NodeId>) {
        self.is_due = true;
        self.changed.extend(nodes);
    }

    /// Whether a save is to be made now; if so, it counts as made.
    fn start_save(&mut self, now: Micros) -> bool {
        let starts = self.is_due && self.not_before.is_none_or(|at| at <= now);
        if starts {
            self.is_due = false;
            self.not_before = None;
        }
        starts
    }

    /// Whether so many bytes more may be appended.
    fn has_capacity(&self, bytes: usize) -> bool {
        self.full_bytes.is_some_and(|full| self.appended_bytes + bytes <= full)
    }

    /// The nodes that the next frame of changes states.
    fn take_changed(&mut self, now: Micros) -> BTreeSet<NodeId> {
        let mut nodes = std::mem::take(&mut self.changed);
        if self.service_times_saved_at.is_none_or(|at| now.since(at) >= SERVICE_TIMES_INTERVAL) {
            self.service_times_saved_at = Some(now);
            nodes.append(&mut self.used);
        }
        nodes
    }
}

impl EndpointDiscovery {
    /// An update of this scope was applied and touched these nodes.
    pub(in crate::core) fn record_applied(&mut self, scope: ListScope, touched: BTreeSet<NodeId>) {
        match scope {
            ListScope::Full => self.cache.require_full(),
            ListScope::Changes => self.cache.add_changed(touched),
            ListScope::Cached | ListScope::Failed => {}
        }
    }

    /// What is to be written now, if anything. Called once the decision module has handled the update: before
    /// that a service time would be saved with the wrong start of its node. `service_time_of`: as the module
    /// has learned it, ms a unit. `saved_at`: the host's calendar, microseconds since 1970.
    pub(in crate::core) fn next_save(
        &mut self,
        endpoints: &EndpointTable,
        service_time_of: &dyn Fn(NodeId) -> Option<f64>,
        saved_at: u64,
        now: Micros,
    ) -> Option<CacheWrite> {
        if !self.cache.start_save(now) {
            return None;
        }
        if self.cache.full_bytes.is_none() {
            return Some(self.save_full(endpoints, service_time_of, saved_at, now));
        }
        let changed = self.cache.take_changed(now);
        let revision = self.revision.unwrap_or(0);
        let bytes =
            CacheEncoder { endpoints, service_time_of, revision, saved_at, now }.encode_changes(changed);
        if bytes.is_empty() {
            return None;
        }
        if !self.cache.has_capacity(bytes.len()) {
            return Some(self.save_full(endpoints, service_time_of, saved_at, now));
        }
        self.cache.appended_bytes += bytes.len();
        Some(CacheWrite::Append(bytes))
    }

    /// The full list, with the service time of every node. Arguments as of [`EndpointDiscovery::next_save`].
    pub(in crate::core) fn save_full(
        &mut self,
        endpoints: &EndpointTable,
        service_time_of: &dyn Fn(NodeId) -> Option<f64>,
        saved_at: u64,
        now: Micros,
    ) -> CacheWrite {
        let revision = self.revision.unwrap_or(0);
        let bytes = CacheEncoder { endpoints, service_time_of, revision, saved_at, now }.encode_full();
        self.cache = CacheSchedule {
            full_bytes: Some(bytes.len()),
            service_times_saved_at: Some(now),
            ..CacheSchedule::default()
        };
        CacheWrite::Replace(bytes)
    }
}
