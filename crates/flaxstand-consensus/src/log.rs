//! The replicated log: a snapshot and the entries after it.

use crate::replica_id::ReplicaId;
use serde::{Deserialize, Serialize};

/// Payload of a log entry. Stored and sent: postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No-op entry at the start of a leader's term: entries of earlier terms are committed through it.
    NoOp,
    /// Changes the voters. Takes effect when appended, whether committed or not.
    Voters(Vec<ReplicaId>),
    /// An opaque change of the application state.
    Change(Vec<u8>),
}

/// A log entry. Its index is its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: u64,
    /// The payload.
    pub payload: EntryPayload,
}

/// Term and index of the last entry of a log. Ordered by term, then by index, as Raft compares logs
/// (§5.4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// Application state after all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of the last entry included.
    pub term: u64,
    /// Voters as of the last entry included.
    pub voters: Vec<ReplicaId>,
    /// Encoded application state.
    pub state: Vec<u8>,
}

/// A snapshot and the log entries that follow it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Log {
    /// The snapshot that precedes the entries.
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

    /// Returns the entry at an index; `None` if it is compacted or beyond the end of the log.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Term of the entry at an index; `None` before the snapshot index and beyond the end of the log.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns entries after an index, as many as fit in `max_bytes` but at least one.
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

    /// Current voters: those of the latest configuration entry in the log, committed or not (Raft §6).
    pub fn voters(&self) -> &[ReplicaId] {
        let newest = self.entries.iter().rev().find_map(Entry::voters);
        newest.unwrap_or(&self.snapshot.voters)
    }

    /// Index of the entry or snapshot that defines [`Log::voters`].
    pub fn voters_index(&self) -> u64 {
        let newest = self.entries.iter().rposition(|entry| entry.voters().is_some());
        newest.map_or(self.snapshot.index, |at| self.snapshot.index + 1 + at as u64)
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        self.entries.truncate(from.saturating_sub(self.snapshot.index + 1) as usize);
    }

    /// Replaces all entries up to `index` with a snapshot of the application state.
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
    /// Approximate size of the entry in a message, in bytes.
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
