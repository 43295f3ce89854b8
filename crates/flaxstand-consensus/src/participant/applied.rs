//! The replicated state that a replica makes of the committed log.

use crate::replicated_state::{Change, ChangeError, ReplicatedState};
use thiserror::Error;

/// Why a committed entry changes nothing. Its text is shown to operators.
#[derive(Debug, Error)]
pub(super) enum ApplyError {
    /// A newer build wrote it in a form that this one can't read.
    #[error("a newer build wrote it: {0}")]
    Unreadable(postcard::Error),
    /// The state does not allow the change.
    #[error(transparent)]
    NotAllowed(#[from] ChangeError),
}

/// The replicated state, and the entries that it is made of.
///
/// Its indices are those of log entries, so they compare across leaders and restarts: a copy with index `i`
/// is the state after entry `i`. Replicas may know different indices for the same state, since a snapshot
/// does not tell which entry changed it last and its own index is taken. Each is one of an entry at or after
/// the last change, so a member with an older copy has a lower index than any of them, and is sent the state.
#[derive(Debug, Default)]
pub(super) struct Applied {
    /// The newest entry that was applied.
    index: u64,
    /// The state changed last at this entry, or before it.
    state_index: u64,
    /// Likewise for all of it but the list of members, on which only replicas act: leaders send other members
    /// the state when their copy is older than this.
    versions_index: u64,
    state: ReplicatedState,
}

impl Applied {
    /// The state of a snapshot.
    pub(super) fn of_snapshot(index: u64, state: ReplicatedState) -> Applied {
        Applied { index, state_index: index, versions_index: index, state }
    }

    pub(super) fn index(&self) -> u64 {
        self.index
    }

    pub(super) fn state_index(&self) -> u64 {
        self.state_index
    }

    pub(super) fn versions_index(&self) -> u64 {
        self.versions_index
    }

    pub(super) fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Applies a committed entry. Returns the version's number; 0 where the change concerns none.
    ///
    /// # Errors
    /// The entry changes nothing here.
    pub(super) fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<u64, ApplyError> {
        self.index = index;
        let change = match postcard::from_bytes::<Change>(bytes) {
            Ok(change) => change,
            Err(error) => {
                // Where a newer build leads, members may have been sent what it made of the entry.
                self.state_index = index;
                self.versions_index = index;
                return Err(ApplyError::Unreadable(error));
            }
        };
        let stage = self.state.stage;
        let member_count = self.state.members.len();
        let outcome = self.state.apply(change);
        // Each change of versions begins a stage; one of the members adds a name or takes one away.
        if self.state.stage != stage {
            self.state_index = index;
            self.versions_index = index;
        } else if self.state.members.len() != member_count {
            self.state_index = index;
        }
        Ok(outcome?)
    }
}
