//! Codec of the endpoint list cached on disk for the next start: the full list, followed by later changes.
//!
//! The file is a sequence of the wire's `List` frames. The full list is zero or more frames of extent
//! `Changes` followed by one of extent `Full`, which ends it. A list that fits one frame is a single `Full`
//! frame, as earlier versions wrote it. Each later save appends frames of changes. `since` is the wall-clock
//! time of the save in microseconds; the ages of a frame's entries are as of that time.
//!
//! The full list replaces the file atomically, so it is never partial; changes are appended, and a crash may
//! truncate the last of them. Once the changes are as long as the full list, the full list is rewritten: the
//! amortised cost of a change is at most twice its own length, however many nodes are listed.

use crate::core::endpoint_table::{Endpoint, EndpointName, EndpointTable};
use crate::machine::Micros;
use flaxstand::api::{NodeId, Readiness};
use flaxstand_proto::{
    BodyLimit, Entry, Extent, Frame, FrameError, List, MAX_LIST_ENTRIES, State, decode_within, encode,
};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Errors of reading a saved list.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SavedListError {
    /// The bytes are not valid frames.
    #[error("saved endpoint list is corrupt: {0}")]
    Damaged(#[from] FrameError),
    /// The file ends within the full list.
    #[error("saved endpoint list is truncated: it ends before the full list is complete")]
    Incomplete,
    /// A frame of another type precedes the end of the full list.
    #[error("saved endpoint list contains another type of frame, expected a list frame")]
    NoList,
}

/// A decoded saved list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedList<'a> {
    /// The nodes listed, in the order in which they were first listed.
    pub entries: Vec<Entry<'a>>,
    /// Revision of the last frame.
    pub revision: u64,
    /// Bytes at the end that are not a complete frame, for example truncated by a crash. They are ignored.
    pub torn_bytes: usize,
}

/// Collects the entries of a saved list frame by frame.
#[derive(Default)]
struct SavedListReader<'a> {
    /// Entries with the times of their saves; none if the node was removed.
    slots: Vec<Option<(Entry<'a>, u64)>>,
    slot_of: BTreeMap<u64, usize>,
    saved_at: u64,
    revision: u64,
}

impl<'a> SavedListReader<'a> {
    fn push(&mut self, list: List<'a>) {
        (self.saved_at, self.revision) = (list.since, list.revision);
        for entry in list.entries {
            let node = entry.node;
            let slot = (entry.state != State::Removed).then_some((entry, list.since));
            match self.slot_of.get(&node) {
                Some(index) => self.slots[*index] = slot,
                None => {
                    self.slot_of.insert(node, self.slots.len());
                    self.slots.push(slot);
                }
            }
        }
    }

    /// Returns the entries, with ages advanced to the time of the last save.
    fn into_entries(self) -> Vec<Entry<'a>> {
        let newest = self.saved_at;
        let aged = |(entry, saved_at): (Entry<'a>, u64)| {
            let since = newest.saturating_sub(saved_at);
            Entry { age: entry.age.map(|age| age.saturating_add(since)), ..entry }
        };
        self.slots.into_iter().flatten().map(aged).collect()
    }
}

impl<'a> SavedList<'a> {
    /// Decodes a saved list. Malformed changes after the full list are ignored.
    ///
    /// # Errors
    /// The full list at the beginning is malformed.
    pub fn read(bytes: &'a [u8]) -> Result<Self, SavedListError> {
        let mut reader = SavedListReader::default();
        let mut rest = Self::read_full(bytes, &mut reader)?;
        while let Ok(Some((Frame::List(list), length))) = decode_within(rest, BodyLimit::NodeList)
            && list.extent == Extent::Changes
        {
            reader.push(list);
            rest = &rest[length..];
        }
        let revision = reader.revision;
        Ok(SavedList { entries: reader.into_entries(), revision, torn_bytes: rest.len() })
    }

    /// Reads the frames up to the one that ends the full list. Returns the remaining bytes.
    fn read_full(bytes: &'a [u8], reader: &mut SavedListReader<'a>) -> Result<&'a [u8], SavedListError> {
        let mut rest = bytes;
        loop {
            let (list, length) = match decode_within(rest, BodyLimit::NodeList)? {
                Some((Frame::List(list), length)) => (list, length),
                Some(_) => return Err(SavedListError::NoList),
                None => return Err(SavedListError::Incomplete),
            };
            rest = &rest[length..];
            let is_last = list.extent == Extent::Full;
            reader.push(list);
            if is_last {
                return Ok(rest);
            }
        }
    }
}

/// Encodes entries of the endpoint table as a saved list.
pub(super) struct CacheEncoder<'a> {
    /// The endpoints.
    pub(super) endpoints: &'a EndpointTable,
    /// Unloaded service time of a unit at a node, ms, as estimated by the decision module.
    pub(super) service_time_of: &'a dyn Fn(NodeId) -> Option<f64>,
    /// Revision of the list.
    pub(super) revision: u64,
    /// Wall-clock time of the save, microseconds since 1970.
    pub(super) saved_at: u64,
    /// The same time on the monotonic clock.
    pub(super) now: Micros,
}

impl CacheEncoder<'_> {
    /// Encodes the full list, split into as many frames as necessary.
    pub(super) fn encode_full(&self) -> Vec<u8> {
        let is_listed = |(_, endpoint): &(NodeId, &Endpoint)| endpoint.readiness() != Readiness::Removed;
        let listed: Vec<(NodeId, &Endpoint)> = self.endpoints.iter().filter(is_listed).collect();
        let last_chunk = listed.len().saturating_sub(1) / MAX_LIST_ENTRIES;
        let mut bytes = Vec::new();
        for chunk in 0..=last_chunk {
            let from = chunk * MAX_LIST_ENTRIES;
            let to = listed.len().min(from + MAX_LIST_ENTRIES);
            let extent = if chunk == last_chunk { Extent::Full } else { Extent::Changes };
            self.encode_entries(extent, &listed[from..to], &mut bytes);
        }
        bytes
    }

    /// Encodes entries of these nodes as changes. Skips nodes that are no longer in the table.
    pub(super) fn encode_changes(&self, nodes: BTreeSet<NodeId>) -> Vec<u8> {
        let in_table = |id: NodeId| self.endpoints.get(id).map(|endpoint| (id, endpoint));
        let changed: Vec<(NodeId, &Endpoint)> = nodes.into_iter().filter_map(in_table).collect();
        let mut bytes = Vec::new();
        for chunk in changed.chunks(MAX_LIST_ENTRIES) {
            self.encode_entries(Extent::Changes, chunk, &mut bytes);
        }
        bytes
    }

    fn encode_entries(&self, extent: Extent, endpoints: &[(NodeId, &Endpoint)], bytes: &mut Vec<u8>) {
        let addresses: Vec<String> =
            endpoints.iter().map(|(_, endpoint)| endpoint.address.to_string()).collect();
        let mut entries = Vec::with_capacity(endpoints.len());
        for ((id, endpoint), address) in endpoints.iter().zip(&addresses) {
            entries.push(self.entry(*id, endpoint, address));
        }
        let list = List { extent, since: self.saved_at, revision: self.revision, entries };
        encode(&Frame::List(list), bytes);
    }

    fn entry<'a>(&self, id: NodeId, endpoint: &Endpoint, address: &'a str) -> Entry<'a> {
        Entry {
            node: if let EndpointName::Number(number) = endpoint.name { number } else { 0 },
            incarnation: endpoint.incarnation,
            state: state_of(endpoint.readiness()),
            age: endpoint.started_at.map(|at| Micros::from_ms(self.now.ms() - at).0),
            shard: endpoint.shard,
            zone: endpoint.zone,
            size: endpoint.size,
            service_time: self.service_time_micros(id),
            address,
        }
    }

    fn service_time_micros(&self, id: NodeId) -> Option<u32> {
        let service_time_ms = (self.service_time_of)(id)?;
        u32::try_from(Micros::from_ms(service_time_ms).0).ok()
    }
}

fn state_of(readiness: Readiness) -> State {
    match readiness {
        Readiness::Serving => State::Serving,
        Readiness::Draining => State::Draining,
        Readiness::Removed => State::Removed,
    }
}
