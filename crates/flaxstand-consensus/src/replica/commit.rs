//! Commit index, and delivery of committed entries to the caller.

use super::Committed;
use crate::log::{EntryPayload, Log, Snapshot};
use std::collections::VecDeque;

/// Commit and delivery progress. The applied index never exceeds the commit index.
#[derive(Clone, Debug)]
pub(super) struct CommitProgress {
    commit_index: u64,
    /// Index up to which all entries were delivered to the caller.
    applied_index: u64,
    /// Items not yet taken by the caller.
    undelivered: VecDeque<Committed>,
}

impl CommitProgress {
    /// State after a start: the snapshot is committed.
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

    /// Advances the commit index. It never moves back.
    pub(super) fn advance_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index);
    }

    /// Queues a snapshot that replaces the caller's application state.
    pub(super) fn deliver_snapshot(&mut self, snapshot: &Snapshot) {
        self.applied_index = snapshot.index;
        self.undelivered
            .push_back(Committed::Snapshot { index: snapshot.index, state: snapshot.state.clone() });
    }

    /// Resets the progress for a new instance, which has no committed entries.
    pub(super) fn reset(&mut self) {
        *self = CommitProgress::new(0);
    }

    /// Returns what was committed since the last call, in log order.
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
