//! The replicated log: entries, and the snapshot in place of those before them.

use crate::replica_id::ReplicaId;
use serde::{Deserialize, Serialize};

/// What an entry holds. Stored and sent: postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a leader's term (Raft's no-op): earlier entries are committed behind it.
    NoOp,
    /// The voters from this entry on, whether it is committed or not.
    Voters(Vec<ReplicaId>),
    /// A change of the owner's state.
    Change(Vec<u8>),
}

/// An entry. Its index is its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which a leader wrote it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

/// Term and index of a log's last entry, ordered as Raft compares logs: by term, then by index (§5.4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's term.
    pub term: u64,
    /// The entry's index.
    pub index: u64,
}

/// The state that all entries up to an index lead to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry in it.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The voters as of that entry.
    pub voters: Vec<ReplicaId>,
    /// The owner's state.
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
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term and index of the last entry.
    pub fn last_position(&self) -> LogPosition {
        let term = self.entries.last().map_or(self.snapshot.term, |entry| entry.term);
        LogPosition { term, index: self.last_index() }
    }

    /// The entry at an index; none if it is in the snapshot or beyond the end.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Term of the entry at an index; none before the snapshot's last entry and beyond the end.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Entries after an index, as many as fit in `max_bytes`, at least one.
    pub fn entries_after(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.snapshot.index) as usize;
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let is_first = size == 0;
            size += entry.size();
            is_first || size <= max_bytes
        };
        self.entries.iter().skip(skipped).take_while(fits).cloned().collect()
    }

    /// The voters: those of the newest configuration entry in the log, committed or not (Raft §6).
    pub fn voters(&self) -> &[ReplicaId] {
        let newest = self.entries.iter().rev().find_map(Entry::voters);
        newest.unwrap_or(&self.snapshot.voters)
    }

    /// Index of the entry, or of the snapshot, that [`Log::voters`] come from.
    pub fn voters_index(&self) -> u64 {
        let newest = self.entries.iter().rposition(|entry| entry.voters().is_some());
        newest.map_or(self.snapshot.index, |at| self.snapshot.index + 1 + at as u64)
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
    }

    /// Puts `state`, made of all entries up to `index`, in place of those entries.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        let Some(term) = self.term(index) else { return };
        let count = (index - self.snapshot.index) as usize;
        let newest = self.entries[..count].iter().rev().find_map(Entry::voters).map(<[ReplicaId]>::to_vec);
        let voters = newest.unwrap_or_else(|| std::mem::take(&mut self.snapshot.voters));
        self.entries.drain(..count);
        self.snapshot = Snapshot { index, term, voters, state };
    }
}

impl Entry {
    /// About how many bytes it takes in a message.
    pub fn size(&self) -> usize {
        32 + match &self.payload {
            EntryPayload::NoOp => 0,
            EntryPayload::Voters(voters) => voters.iter().map(|voter| voter.name.len() + 16).sum(),
            EntryPayload::Change(bytes) => bytes.len(),
        }
    }

    fn voters(&self) -> Option<&[ReplicaId]> {
        match &self.payload {
            EntryPayload::Voters(voters) => Some(voters),
            _ => None,
        }
    }
}
