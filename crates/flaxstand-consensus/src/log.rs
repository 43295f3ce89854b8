//! Entries, and the snapshot in place of those before them.

use crate::replica_id::ReplicaId;
use serde::{Deserialize, Serialize};

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A leader's first.
    Begin,
    /// Who votes from this entry on, whether it is committed or not.
    Electorate(Vec<ReplicaId>),
    /// A change of what the owner keeps.
    Change(Vec<u8>),
}

/// An entry. Its index is its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which a leader wrote it.
    pub term: u64,
    /// What it says.
    pub what: EntryPayload,
}

/// All up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it stands for.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// Who votes.
    pub electorate: Vec<ReplicaId>,
    /// What the owner made of the entries.
    pub state: Vec<u8>,
}

/// The log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// What stands before the entries.
    pub snapshot: Snapshot,
    /// Entries from `snapshot.index + 1` on.
    pub entries: Vec<Entry>,
}

impl Log {
    /// Index of the last entry.
    pub fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term and index of the last entry: of two logs the one with the greater is the newer.
    pub fn newest(&self) -> (u64, u64) {
        (self.entries.last().map_or(self.snapshot.term, |e| e.term), self.last())
    }

    /// The entry at an index, if it is here and not in the snapshot.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Term of the entry at an index; none before the snapshot's last and beyond the end.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|e| e.term)
    }

    /// Entries after an index, as many as fit in `bytes`, at least one.
    pub fn after(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let from = index.saturating_sub(self.snapshot.index) as usize;
        let mut size = 0;
        let fits = |e: &&Entry| {
            let first = size == 0;
            size += e.size();
            first || size <= bytes
        };
        self.entries.iter().skip(from).take_while(fits).cloned().collect()
    }

    /// Who votes: the newest electorate in the log, and the index of its entry.
    pub fn electorate(&self) -> (u64, &[ReplicaId]) {
        for (at, entry) in self.entries.iter().enumerate().rev() {
            if let EntryPayload::Electorate(members) = &entry.what {
                return (self.snapshot.index + 1 + at as u64, members);
            }
        }
        (self.snapshot.index, &self.snapshot.electorate)
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
    }

    /// Puts `state`, made of all up to `index`, in place of those entries.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.term(index) else { return };
        let upto = (index - self.snapshot.index) as usize;
        let told = self.entries[..upto].iter().rev().find_map(|e| match &e.what {
            EntryPayload::Electorate(members) => Some(members.clone()),
            _ => None,
        });
        let electorate = told.unwrap_or_else(|| std::mem::take(&mut self.snapshot.electorate));
        self.entries.drain(..upto);
        self.snapshot = Snapshot { index, term, electorate, state };
    }
}

impl Entry {
    /// About how many bytes it takes.
    pub fn size(&self) -> usize {
        32 + match &self.what {
            EntryPayload::Begin => 0,
            EntryPayload::Electorate(members) => members.iter().map(|m| m.name.len() + 16).sum(),
            EntryPayload::Change(bytes) => bytes.len(),
        }
    }
}
