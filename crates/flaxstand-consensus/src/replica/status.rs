//! Types that a replica exposes to its caller and to operators.

use super::{MAX_CHANGE_BYTES, MAX_UNCOMMITTED_ENTRIES};
use crate::log::LogPosition;
use crate::replica_id::ReplicaId;
use thiserror::Error;

/// A committed item, delivered in log order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// A committed change.
    Change {
        /// Index of the log entry.
        index: u64,
        /// The encoded change.
        change: Vec<u8>,
    },
    /// Application state after all entries up to an index; replaces the caller's state.
    Snapshot {
        /// Index of the last entry included.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
}

/// Position of a change that a leader appended to its log. The change is committed once
/// [`Committed::Change`] with this index carries it, and lost if that index carries another change.
pub type Proposed = LogPosition;

/// Why a change was not appended to the log.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Only the leader appends changes.
    #[error(
        "not the leader; {}",
        leader.as_ref().map_or("no leader is known".to_owned(), |name| format!("the leader is {name}"))
    )]
    NotLeader {
        /// Name of the leader, if known.
        leader: Option<String>,
    },
    /// Too many entries are uncommitted.
    #[error("{MAX_UNCOMMITTED_ENTRIES} changes are not committed yet: try again later")]
    Busy,
    /// The change, whose size in bytes is given here, is larger than [`MAX_CHANGE_BYTES`].
    #[error("the change has {0} bytes, the maximum is {MAX_CHANGE_BYTES}")]
    TooLarge(usize),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Belongs to no cluster yet, or lost its disk, and asks to join.
    New,
    /// Waits for confirmation that its directory is not a stale copy. Neither votes nor confirms entries.
    Recovering,
    /// Receives the log but is not a voter.
    Learner,
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Replicates the log to the others.
    Leader,
}

impl ReplicaRole {
    /// Name of the role in reports to operators.
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

/// Status of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The role.
    pub role: ReplicaRole,
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Number of times the replica has started.
    pub incarnation: u64,
    /// The current term.
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Index up to which all entries are committed.
    pub commit_index: u64,
    /// Index of the last log entry.
    pub last_index: u64,
    /// The current voters.
    pub voters: Vec<ReplicaId>,
    /// On a leader: voters without contact for an election time-out.
    pub unresponsive: Vec<String>,
    /// Whether the last write to the disk failed and is being retried.
    pub is_disk_failing: bool,
}
