//! The codec of the endpoint list that is cached on disk for the next start: the full list, and behind it the
//! changes since.
//!
//! A saved state is a sequence of the wire's `List` frames. First the full list: as many frames of extent
//! `Changes` as it takes, then one of extent `Full`, which ends it. A list that fits one frame is that one
//! `Full` frame, as earlier versions wrote it. After it comes a frame of changes for each save since. `since`
//! is the moment of the save on the host's calendar, in microseconds: ages are as of the last frame.
//!
//! The full list replaces the state at once, so it is there in full or not at all; changes are appended, and
//! the last of them may be torn by a crash. Once the changes have grown as long as the full list, that is
//! written anew: over time a change costs no more than twice its own length, however many nodes are listed.

use crate::core::endpoint_table::{Endpoint, EndpointName, EndpointTable};
use crate::machine::Micros;
use flaxstand::api::{NodeId, Readiness};
use flaxstand_proto::{
    BodyLimit, Entry, Extent, Frame, FrameError, List, MAX_LIST_ENTRIES, State, decode_within, encode,
};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Why a saved list can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SavedListError {
    /// The bytes are no frames.
    #[error("it is damaged: {0}")]
    Damaged(#[from] FrameError),
    /// They end before the full list does.
    #[error("it is not whole")]
    Incomplete,
    /// They are frames, but no list.
    #[error("it holds no full list")]
    NoList,
}

/// A saved state that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedList<'a> {
    /// The nodes listed, in the order in which they were first listed.
    pub entries: Vec<Entry<'a>>,
    /// The newest revision in it.
    pub revision: u64,
    /// Bytes at the end that are no complete frame: torn by a crash, and left out.
    pub torn_bytes: usize,
}

/// Collects the entries of a saved state frame by frame.
#[derive(Default)]
struct SavedListReader<'a> {
    /// An entry and when it was saved; none: the node is gone.
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
                Some(place) => self.slots[*place] = slot,
                None => {
                    self.slot_of.insert(node, self.slots.len());
                    self.slots.push(slot);
                }
            }
        }
    }

    /// The entries, older by what passed between their save and the last.
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
    /// Reads a saved state.
    ///
    /// # Errors
    /// The full list at its beginning can't be read. Changes behind it that can't are left out.
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

    /// Reads the frames up to the one that ends the full list. Returns what is behind it.
    fn read_full(bytes: &'a [u8], reader: &mut SavedListReader<'a>) -> Result<&'a [u8], SavedListError> {
        let mut rest = bytes;
        loop {
            let (list, length) = match decode_within(rest, BodyLimit::NodeList)? {
                Some((Frame::List(list), length)) => (list, length),
                Some(_) => return Err(SavedListError::NoList),
                None => return Err(SavedListError::Incomplete),
            };
            rest = &rest[length..];
            let ends = list.extent == Extent::Full;
            reader.push(list);
            if ends {
                return Ok(rest);
            }
        }
    }
}

/// Encodes entries of the endpoint table as a saved state.
pub(super) struct CacheEncoder<'a> {
    /// The endpoints.
    pub(super) endpoints: &'a EndpointTable,
    /// Service time of a unit without load at a node, ms, as the decision module has learned it.
    pub(super) service_time_of: &'a dyn Fn(NodeId) -> Option<f64>,
    /// Revision of the list.
    pub(super) revision: u64,
    /// When it is saved, on the host's calendar, microseconds since 1970.
    pub(super) saved_at: u64,
    /// The same moment on our clock.
    pub(super) now: Micros,
}

impl CacheEncoder<'_> {
    /// The full list, in as many frames as it takes.
    pub(super) fn encode_full(&self) -> Vec<u8> {
        let is_listed = |(_, endpoint): &(NodeId, &Endpoint)| endpoint.readiness() != Readiness::Removed;
        let listed: Vec<(NodeId, &Endpoint)> = self.endpoints.iter().filter(is_listed).collect();
        let last = listed.len().saturating_sub(1) / MAX_LIST_ENTRIES;
        let mut bytes = Vec::new();
        for part in 0..=last {
            let from = part * MAX_LIST_ENTRIES;
            let to = listed.len().min(from + MAX_LIST_ENTRIES);
            let extent = if part == last { Extent::Full } else { Extent::Changes };
            self.encode_entries(extent, &listed[from..to], &mut bytes);
        }
        bytes
    }

    /// Entries of these nodes as changes; nothing for nodes that are no longer in the table.
    pub(super) fn encode_changes(&self, nodes: BTreeSet<NodeId>) -> Vec<u8> {
        let in_table = |id: NodeId| self.endpoints.get(id).map(|endpoint| (id, endpoint));
        let changed: Vec<(NodeId, &Endpoint)> = nodes.into_iter().filter_map(in_table).collect();
        let mut bytes = Vec::new();
        for part in changed.chunks(MAX_LIST_ENTRIES) {
            self.encode_entries(Extent::Changes, part, &mut bytes);
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
