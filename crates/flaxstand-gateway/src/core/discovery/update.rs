//! What discovery hands out: entries of the endpoint list, the same for both wires.

use super::{SavedList, SavedListError};
use crate::core::endpoint_table::EndpointName;
use crate::machine::Micros;
use flaxstand::api::{ListScope, Readiness};
use flaxstand_proto::{Entry, State};
use tracing::warn;

/// A list of endpoints, or changes of it, to be applied.
#[derive(Debug)]
pub(in crate::core) struct EndpointUpdate {
    /// Whether it is the full list, changes of it, or the cached list of an earlier run.
    pub(in crate::core) scope: ListScope,
    /// Revision that it leads to.
    pub(in crate::core) revision: u64,
    /// Its entries, in the order of the service.
    pub(in crate::core) entries: Vec<EndpointEntry>,
}

impl EndpointUpdate {
    /// The list that an earlier run saved.
    ///
    /// # Errors
    /// The full list at its beginning can't be read.
    pub(in crate::core) fn from_saved(bytes: &[u8], now: Micros) -> Result<Self, SavedListError> {
        let saved = SavedList::read(bytes)?;
        if saved.torn_bytes > 0 {
            warn!(bytes = saved.torn_bytes, "torn end of the saved endpoint list is ignored");
        }
        let entries = saved.entries.iter().map(|entry| EndpointEntry::from_frame(entry, now)).collect();
        Ok(EndpointUpdate { scope: ListScope::Cached, revision: saved.revision, entries })
    }
}

/// An entry of the endpoint list.
#[derive(Debug)]
pub(in crate::core) struct EndpointEntry {
    /// Its name in the list.
    pub(in crate::core) name: EndpointName,
    /// Grows with each start of the node.
    pub(in crate::core) incarnation: u64,
    /// Whether it takes requests.
    pub(in crate::core) readiness: Readiness,
    /// When it started, milliseconds on our clock; none: long ago.
    pub(in crate::core) started_at: Option<f64>,
    /// The shard that it holds.
    pub(in crate::core) shard: u32,
    /// Number of its zone.
    pub(in crate::core) zone: u32,
    /// Its size against others', hundredths; 0: not stated.
    pub(in crate::core) size: u32,
    /// Service time of a unit without load, ms.
    pub(in crate::core) service_time: Option<f64>,
    /// Where it listens, as the list states it.
    pub(in crate::core) address: String,
}

impl EndpointEntry {
    /// An entry of a `List` frame.
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
