//! The node list as it is saved for the next start: the whole of it, and behind that the changes told since.
//!
//! A saved state is a row of the wire's `List` frames. First the whole list: as many frames of extent `Changes`
//! as it takes, then one of extent `Full`, which ends it. A list that fits one frame is that one `Full` frame, as
//! earlier versions wrote it. After it comes a frame of changes for each save since. `since` is the moment of the
//! save on the host's calendar, in microseconds: ages are told as of the last frame.
//!
//! The whole replaces the state at once, so it is there in full or not at all; changes are appended, and the last
//! of them may be torn by a crash. Once the changes have grown as long as the whole, the whole is written anew: over
//! time a change costs no more than twice its own length, however many nodes are listed.

use super::Core;
use super::decision_policy::DecisionPolicy;
use super::node_table::{NodeName, NodePeer};
use crate::machine::{Command, Micros};
use flaxstand::api::{NodeId, Readiness};
use flaxstand_proto::{
    BodyLimit, Entry, Extent, Frame, FrameError, List, MAX_ENTRIES, State, decode_within, encode,
};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Paces learnt of nodes in use are saved with a change of the list, but no more often than this: they differ
/// after every answer. A crash loses what was learnt since.
const PACES_EVERY: Micros = Micros(10_000_000);
/// So long after a save that failed the next is tried.
const SAVE_AGAIN: Micros = Micros(10_000_000);

/// Why a saved list can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SavedListError {
    /// The bytes are no frame.
    #[error("it is damaged: {0}")]
    Damaged(#[from] FrameError),
    /// They end too early.
    #[error("it is not whole")]
    NotWhole,
    /// They are frames, but no list.
    #[error("it holds no full list")]
    NoList,
}

/// A saved state that was read back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedList<'a> {
    /// The nodes listed, in the order in which they were first listed.
    pub entries: Vec<Entry<'a>>,
    /// The newest revision told.
    pub revision: u64,
    /// Bytes at the end that are no whole frame: torn by a crash, and left out.
    pub torn: usize,
}

/// Collects the entries of a state frame by frame.
#[derive(Default)]
struct Reading<'a> {
    /// An entry and when it was saved; none: the node is gone.
    slots: Vec<Option<(Entry<'a>, u64)>>,
    slot_of: BTreeMap<u64, usize>,
    saved_at: u64,
    revision: u64,
}

impl<'a> Reading<'a> {
    fn take(&mut self, list: List<'a>) {
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
    fn entries(self) -> Vec<Entry<'a>> {
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
    /// The whole list at its beginning can't be read. Changes behind it that can't are left out.
    pub fn read(bytes: &'a [u8]) -> Result<Self, SavedListError> {
        let mut reading = Reading::default();
        let mut rest = Self::read_whole(bytes, &mut reading)?;
        while let Ok(Some((Frame::List(list), length))) = decode_within(rest, BodyLimit::NodeList)
            && list.extent == Extent::Changes
        {
            reading.take(list);
            rest = &rest[length..];
        }
        let revision = reading.revision;
        Ok(SavedList { entries: reading.entries(), revision, torn: rest.len() })
    }

    /// The frames up to the one that ends the whole list. Returns what is behind it.
    fn read_whole(bytes: &'a [u8], reading: &mut Reading<'a>) -> Result<&'a [u8], SavedListError> {
        let mut rest = bytes;
        loop {
            let (list, length) = match decode_within(rest, BodyLimit::NodeList)? {
                Some((Frame::List(list), length)) => (list, length),
                Some(_) => return Err(SavedListError::NoList),
                None => return Err(SavedListError::NotWhole),
            };
            rest = &rest[length..];
            let ends = list.extent == Extent::Full;
            reading.take(list);
            if ends {
                return Ok(rest);
            }
        }
    }
}

/// What of the list is saved, and what is not yet.
#[derive(Debug, Default)]
pub(super) struct SavePlan {
    /// Something was told that has to be saved.
    due: bool,
    /// Nodes whose entries differ from the saved ones.
    changed: BTreeSet<NodeId>,
    /// Nodes that answered since their paces were last saved.
    used: BTreeSet<NodeId>,
    paces_at: Option<Micros>,
    /// Bytes of the whole list in the saved state; none: it is to be written whole.
    whole: Option<usize>,
    /// Bytes of changes behind it.
    appended: usize,
    /// No save before this: the last one failed.
    not_before: Option<Micros>,
}

impl SavePlan {
    /// The whole list was told.
    pub(super) fn all_changed(&mut self) {
        (self.due, self.whole) = (true, None);
    }

    /// Changes of these nodes were told.
    pub(super) fn changed(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.due = true;
        self.changed.extend(nodes);
    }

    /// Something was learnt of a node by itself. It goes with the next save.
    pub(super) fn learnt(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// A node answered: its pace may be another.
    pub(super) fn used(&mut self, node: NodeId) {
        self.used.insert(node);
    }

    /// The state could not be written: what it holds is not known.
    pub(super) fn failed(&mut self, now: Micros) {
        (self.due, self.whole) = (true, None);
        self.not_before = Some(now.after(SAVE_AGAIN));
    }

    /// When to save next.
    pub(super) fn due(&self) -> Option<Micros> {
        self.due.then_some(self.not_before.unwrap_or(Micros(0)))
    }

    /// Whether so many bytes more may be appended.
    fn has_room(&self, bytes: usize) -> bool {
        self.whole.is_some_and(|whole| self.appended + bytes <= whole)
    }

    /// The nodes that the next frame of changes tells.
    fn take_changed(&mut self, now: Micros) -> BTreeSet<NodeId> {
        let mut nodes = std::mem::take(&mut self.changed);
        if self.paces_at.is_none_or(|at| now.since(at) >= PACES_EVERY) {
            self.paces_at = Some(now);
            nodes.append(&mut self.used);
        }
        nodes
    }
}

impl Core {
    /// Saves what was told, if anything was. Called once the module has heard, or a pace would be saved with the
    /// wrong start.
    pub(super) fn save_list(&mut self, now: Micros) {
        if self.list.save.due().is_none_or(|at| at > now) {
            return;
        }
        (self.list.save.due, self.list.save.not_before) = (false, None);
        if self.list.save.whole.is_none() {
            return self.save_whole(now);
        }
        let nodes = self.list.save.take_changed(now);
        let bytes = self.encode_changes(nodes, now);
        if bytes.is_empty() {
            return;
        }
        if !self.list.save.has_room(bytes.len()) {
            return self.save_whole(now);
        }
        self.list.save.appended += bytes.len();
        self.counts.saved_bytes += bytes.len() as u64;
        self.connections.command(Command::AppendList(bytes));
    }

    /// Saves all of the list, and the pace of every node.
    pub(super) fn save_whole(&mut self, now: Micros) {
        let bytes = self.encode_whole(now);
        let save = &mut self.list.save;
        *save = SavePlan { whole: Some(bytes.len()), paces_at: Some(now), ..SavePlan::default() };
        self.counts.saved_bytes += bytes.len() as u64;
        self.counts.whole_saves += 1;
        self.connections.command(Command::SaveList(bytes));
    }

    fn encode_whole(&self, now: Micros) -> Vec<u8> {
        let listed = self.nodes.iter().filter(|(_, node)| node.readiness() != Readiness::Removed);
        let listed: Vec<(NodeId, &NodePeer)> = listed.collect();
        let last = listed.len().saturating_sub(1) / MAX_ENTRIES;
        let mut bytes = Vec::new();
        for part in 0..=last {
            let from = part * MAX_ENTRIES;
            let to = listed.len().min(from + MAX_ENTRIES);
            let extent = if part == last { Extent::Full } else { Extent::Changes };
            self.encode_entries(extent, &listed[from..to], now, &mut bytes);
        }
        bytes
    }

    fn encode_changes(&self, nodes: BTreeSet<NodeId>, now: Micros) -> Vec<u8> {
        let known = |id: NodeId| self.nodes.get(id).map(|node| (id, node));
        let changed: Vec<(NodeId, &NodePeer)> = nodes.into_iter().filter_map(known).collect();
        let mut bytes = Vec::new();
        for part in changed.chunks(MAX_ENTRIES) {
            self.encode_entries(Extent::Changes, part, now, &mut bytes);
        }
        bytes
    }

    fn encode_entries(
        &self,
        extent: Extent,
        nodes: &[(NodeId, &NodePeer)],
        now: Micros,
        bytes: &mut Vec<u8>,
    ) {
        let addresses: Vec<String> = nodes.iter().map(|(_, node)| node.address.to_string()).collect();
        let mut entries = Vec::with_capacity(nodes.len());
        for ((id, node), address) in nodes.iter().zip(&addresses) {
            entries.push(self.saved_entry(*id, node, address, now));
        }
        let saved_at = self.config.calendar.saturating_add(now.0);
        let revision = self.list.revision.unwrap_or(0);
        encode(&Frame::List(List { extent, since: saved_at, revision, entries }), bytes);
    }

    fn saved_entry<'a>(&self, id: NodeId, node: &NodePeer, address: &'a str, now: Micros) -> Entry<'a> {
        Entry {
            node: if let NodeName::Number(number) = node.name { number } else { 0 },
            incarnation: node.incarnation,
            state: state_of(node.readiness()),
            age: node.started_at.map(|at| Micros::from_ms(now.ms() - at).0),
            shard: node.shard,
            zone: node.zone,
            size: node.size,
            service_time: self.service_time_of(id),
            address,
        }
    }

    /// Unloaded time of a unit at a node, microseconds, as the module has learnt it.
    fn service_time_of(&self, id: NodeId) -> Option<u32> {
        let DecisionPolicy::Scheduler(scheduler) = &self.policy else { return None };
        u32::try_from(Micros::from_ms(scheduler.service_time_of(id)?).0).ok()
    }
}

fn state_of(readiness: Readiness) -> State {
    match readiness {
        Readiness::Serving => State::Serving,
        Readiness::Draining => State::Draining,
        Readiness::Removed => State::Removed,
    }
}
