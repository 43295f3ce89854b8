//! The replicated state that results from the committed log entries.

use crate::replicated_state::{Change, ChangeError, ReplicatedState};
use thiserror::Error;

/// Why a committed entry has no effect. The text is shown to operators.
#[derive(Debug, Error)]
pub(super) enum ApplyError {
    /// The entry was written by a newer build in a format that this one can't decode.
    #[error("a newer build wrote it: {0}")]
    Unreadable(postcard::Error),
    /// The state does not allow the change.
    #[error(transparent)]
    NotAllowed(#[from] ChangeError),
}

/// The replicated state with the log indices at which it changed.
///
/// Log indices are comparable across leaders and restarts: a copy with index `i` is the state after entry
/// `i`. Replicas may assign different indices to the same state, because a snapshot does not record which
/// entry changed it last and its own index is used instead. Each such index is at or after the last change,
/// so a member with an older copy has a lower index than any of them and is sent the state.
#[derive(Debug, Default)]
pub(super) struct Applied {
    /// Index of the last applied entry.
    index: u64,
    /// Index of the last change of the state, or a later index if the state was loaded from a snapshot.
    state_index: u64,
    /// Like `state_index`, but without changes of the list of members, which only replicas use. Leaders send
    /// the state to members whose copy is older than this.
    versions_index: u64,
    state: ReplicatedState,
}

impl Applied {
    /// Loads the state of a snapshot.
    pub(super) fn from_snapshot(index: u64, state: ReplicatedState) -> Applied {
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

    /// Applies a committed entry. Returns the number of the version concerned, or 0 if the change concerns
    /// none.
    ///
    /// # Errors
    /// The entry has no effect.
    pub(super) fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<u64, ApplyError> {
        self.index = index;
        let change = match postcard::from_bytes::<Change>(bytes) {
            Ok(change) => change,
            Err(error) => {
                // If a newer build is leading, it may have sent members the state after this entry.
                self.state_index = index;
                self.versions_index = index;
                return Err(ApplyError::Unreadable(error));
            }
        };
        let stage = self.state.stage;
        let member_count = self.state.members.len();
        let outcome = self.state.apply(change);
        // Every change of the versions starts a new stage; every change of the members changes their
        // number.
        if self.state.stage != stage {
            self.state_index = index;
            self.versions_index = index;
        } else if self.state.members.len() != member_count {
            self.state_index = index;
        }
        Ok(outcome?)
    }
}
