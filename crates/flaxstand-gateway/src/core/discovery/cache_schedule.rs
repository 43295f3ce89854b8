//! Schedules writes of the cached endpoint list: changes are appended until they are as long as the full
//! list, which is then rewritten.

use super::EndpointDiscovery;
use super::cache_codec::CacheEncoder;
use crate::core::endpoint_table::EndpointTable;
use crate::machine::Micros;
use flaxstand::api::{ListScope, NodeId};
use std::collections::BTreeSet;

/// Minimum interval between saves of changed service times, which are written along with a change of the
/// list. They change with every response. A crash loses the estimates since the last save.
const SERVICE_TIMES_INTERVAL: Micros = Micros(10_000_000);
/// Delay before a failed save is retried.
const RETRY_SAVE_AFTER: Micros = Micros(10_000_000);

/// A write to the file of the cached list.
#[derive(Debug)]
pub(in crate::core) enum CacheWrite {
    /// Replaces the content.
    Replace(Vec<u8>),
    /// Appends to the content.
    Append(Vec<u8>),
}

/// Tracks which entries are saved and which are pending.
#[derive(Debug, Default)]
pub(super) struct CacheSchedule {
    /// Whether an update is pending.
    is_due: bool,
    /// Nodes whose entries differ from the saved ones.
    changed: BTreeSet<NodeId>,
    /// Nodes that responded since their service times were last saved.
    used: BTreeSet<NodeId>,
    service_times_saved_at: Option<Micros>,
    /// Size of the full list in the file; none if the next save has to write the full list.
    full_bytes: Option<usize>,
    /// Bytes of changes appended after it.
    appended_bytes: usize,
    /// Earliest time of the next save, set after a failed one.
    not_before: Option<Micros>,
}

impl CacheSchedule {
    /// Marks a node as changed without an update of the list. It is saved with the next update.
    pub(super) fn add_restarted(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Marks a node whose service time may have changed, since it responded.
    pub(super) fn add_used(&mut self, node: NodeId) {
        self.used.insert(node);
    }

    /// Records a failed write: the content of the file is unknown, so the next save writes the full list.
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

    /// Returns whether a save is due now, and if so, clears the pending state.
    fn start_save(&mut self, now: Micros) -> bool {
        let is_started = self.is_due && self.not_before.is_none_or(|at| at <= now);
        if is_started {
            self.is_due = false;
            self.not_before = None;
        }
        is_started
    }

    /// Returns whether this many more bytes may be appended before the full list has to be rewritten.
    fn has_capacity(&self, bytes: usize) -> bool {
        self.full_bytes.is_some_and(|full| self.appended_bytes + bytes <= full)
    }

    /// Takes the nodes to include in the next frame of changes.
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
    /// Records that an update of this scope was applied and affected these nodes.
    pub(in crate::core) fn record_applied(&mut self, scope: ListScope, touched: BTreeSet<NodeId>) {
        match scope {
            ListScope::Full => self.cache.require_full(),
            ListScope::Changes => self.cache.add_changed(touched),
            ListScope::Cached | ListScope::Failed => {}
        }
    }

    /// Returns the write that is due now, if any. To be called after the decision module has handled the
    /// update: before that, a service time would be saved with another incarnation of its node.
    /// `service_time_of` returns the module's estimate, ms per unit. `saved_at` is the wall-clock time,
    /// microseconds since 1970.
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

    /// Returns a write of the full list with all service times. Arguments as for
    /// [`EndpointDiscovery::next_save`].
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
