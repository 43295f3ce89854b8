//! Endpoint updates that discovery produces, independent of the wire.

use super::{SavedList, SavedListError};
use crate::core::endpoint_table::EndpointName;
use crate::machine::Micros;
use flaxstand::api::{ListScope, Readiness};
use flaxstand_proto::{Entry, State};
use tracing::warn;

/// An endpoint list, or changes of it, to apply.
#[derive(Debug)]
pub(in crate::core) struct EndpointUpdate {
    /// Whether it is the full list, changes of it, or the cached list of an earlier run.
    pub(in crate::core) scope: ListScope,
    /// Revision of the list after the update.
    pub(in crate::core) revision: u64,
    /// Entries in the order in which the service sent them.
    pub(in crate::core) entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// Decodes the list that an earlier run saved.
    ///
    /// # Errors
    /// The full list at the beginning is malformed.
    pub(in crate::core) fn from_saved(bytes: &[u8], now: Micros) -> Result<Self, SavedListError> {
        let saved = SavedList::read(bytes)?;
        if saved.torn_bytes > 0 {
            warn!(bytes = saved.torn_bytes, "saved endpoint list ends with an incomplete frame; ignoring it");
        }
        let entries = saved.entries.iter().map(|entry| EndpointEntry::from_frame(entry, now)).collect();
        Ok(EndpointUpdate { scope: ListScope::Cached, revision: saved.revision, entries })
    }
}

/// An entry of the endpoint list.
#[derive(Debug)]
pub(in crate::core) struct EndpointEntry {
    /// Name of the node in the list.
    pub(in crate::core) name: EndpointName,
    /// Increases with each start of the node.
    pub(in crate::core) incarnation: u64,
    /// Whether the node accepts requests.
    pub(in crate::core) readiness: Readiness,
    /// Start time, milliseconds on the monotonic clock; none if it is too long ago to matter.
    pub(in crate::core) started_at: Option<f64>,
    /// The shard that the node serves.
    pub(in crate::core) shard: u32,
    /// Number of the node's zone.
    pub(in crate::core) zone: u32,
    /// Relative size of the node in hundredths; 0 if not stated.
    pub(in crate::core) size: u32,
    /// Unloaded service time of a unit, ms.
    pub(in crate::core) service_time: Option<f64>,
    /// Listen address as stated in the list, not parsed yet.
    pub(in crate::core) address: String,
}

impl EndpointEntry {
    /// Converts an entry of a `List` frame.
    pub(super) fn from_frame(entry: &Entry<'_>, now: Micros) -> Self {
        EndpointEntry {
            name: EndpointName::Number(entry.node),
            incarnation: entry.incarnation,
            readiness: match entry.state {
                State::Serving => Readiness::Serving,
                State::Draining => Readiness::Draining,
                State::Removed => Readiness::Removed,
            },
            started_at: entry.age.map(|age| now.ms() - Micros(age).ms()),
            shard: entry.shard,
            zone: entry.zone,
            size: entry.size,
            service_time: entry.service_time.map(|service_time| Micros(service_time.into()).ms()),
            address: entry.address.to_owned(),
        }
    }
}
