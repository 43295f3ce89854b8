//! What a replica tells its owner and operators.

use super::{MAX_CHANGE_BYTES, MAX_UNCOMMITTED_ENTRIES};
use crate::log::LogPosition;
use crate::replica_id::ReplicaId;
use thiserror::Error;

/// What is committed, in the order of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// A change that the owner proposed somewhere.
    Change {
        /// Index of its entry.
        index: u64,
        /// The change.
        change: Vec<u8>,
    },
    /// The owner's state after all changes up to an index, in place of what the owner has.
    Snapshot {
        /// Index of the last entry in it.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
}

/// A change that a leader appended to its log. It is committed once [`Committed::Change`] of this index
/// carries it, and lost if that index carries another.
pub type Proposed = LogPosition;

/// Why a change was not appended to the log.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Only the leader appends changes.
    #[error("not the leader; {}", leader.as_ref().map_or("none is known".to_owned(), |l| format!("{l} is")))]
    NotLeader {
        /// Its name, where one is known.
        leader: Option<String>,
    },
    /// Too many entries are not committed yet.
    #[error("{MAX_UNCOMMITTED_ENTRIES} changes are not agreed on yet: try again later")]
    Busy,
    /// It has more bytes (given here) than [`MAX_CHANGE_BYTES`].
    #[error("a change of {0} bytes, at most {MAX_CHANGE_BYTES} are taken")]
    TooLarge(usize),
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// It belongs to no cluster yet, or lost its disk, and asks to join.
    New,
    /// It waits until others confirm that its folder is no old copy. It neither votes nor confirms entries.
    Recovering,
    /// It is no voter.
    Learner,
    /// It follows a leader, or waits for one.
    Follower,
    /// It campaigns.
    Candidate,
    /// It leads.
    Leader,
}

impl ReplicaRole {
    /// Its name in reports to operators.
    pub fn report_name(self) -> &'static str {
        match self {
            ReplicaRole::New => "new",
            ReplicaRole::Recovering => "unsure",
            ReplicaRole::Learner => "learner",
            ReplicaRole::Follower => "follower",
            ReplicaRole::Candidate => "candidate",
            ReplicaRole::Leader => "leader",
        }
    }
}

/// A replica's state, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: ReplicaRole,
    /// Its identity.
    pub id: ReplicaId,
    /// How often it started.
    pub incarnation: u64,
    /// Its term.
    pub term: u64,
    /// The leader's name, where one is known.
    pub leader: Option<String>,
    /// All entries up to there are committed.
    pub commit_index: u64,
    /// The last entry of its log.
    pub last_index: u64,
    /// The voters.
    pub voters: Vec<ReplicaId>,
    /// Of a leader: voters that it has not heard from for an election timeout.
    pub unresponsive: Vec<String>,
    /// Its disk does not take what has to be durable.
    pub is_disk_failing: bool,
}
