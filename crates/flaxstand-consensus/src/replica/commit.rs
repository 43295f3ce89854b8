//! What is committed, and how far the owner was given it.

use super::Committed;
use crate::log::{EntryPayload, Log, Snapshot};
use std::collections::VecDeque;

/// Commit and apply progress. The applied index never passes the commit index.
#[derive(Clone, Debug)]
pub(super) struct CommitProgress {
    commit_index: u64,
    /// The owner was given all entries up to there.
    applied_index: u64,
    /// For the owner.
    undelivered: VecDeque<Committed>,
}

impl CommitProgress {
    /// After a start: what the snapshot holds is committed.
    pub(super) fn new(snapshot_index: u64) -> CommitProgress {
        CommitProgress {
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            undelivered: VecDeque::new(),
        }
    }

    pub(super) fn commit_index(&self) -> u64 {
        self.commit_index
    }

    pub(super) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// All entries up to an index are committed. Never goes back.
    pub(super) fn advance_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index);
    }

    /// The owner gets a snapshot in place of what it has.
    pub(super) fn deliver_snapshot(&mut self, snapshot: &Snapshot) {
        self.applied_index = snapshot.index;
        self.undelivered
            .push_back(Committed::Snapshot { index: snapshot.index, state: snapshot.state.clone() });
    }

    /// A new instance: nothing that was committed for the one before counts.
    pub(super) fn reset(&mut self) {
        *self = CommitProgress::new(0);
    }

    /// What was committed since the last call, in the order of the log.
    pub(super) fn take(&mut self, log: &Log) -> Vec<Committed> {
        while self.applied_index < self.commit_index {
            self.applied_index += 1;
            let payload = log.entry(self.applied_index).map(|entry| &entry.payload);
            if let Some(EntryPayload::Change(bytes)) = payload {
                self.undelivered
                    .push_back(Committed::Change { index: self.applied_index, change: bytes.clone() });
            }
        }
        self.undelivered.drain(..).collect()
    }
}
