//! What a keeper tells its owner.

use super::{MAX_CHANGE_BYTES, MAX_UNCOMMITTED_ENTRIES};
use crate::replica_id::ReplicaId;
use thiserror::Error;

/// What is agreed on, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// The change at this index.
    Change(u64, Vec<u8>),
    /// What the owner made of all changes up to this index, in place of what it has.
    State(u64, Vec<u8>),
}

/// Why a change was not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// Only the leader takes changes.
    #[error("not the leader; {}", leader.as_ref().map_or("none is known".to_owned(), |l| format!("{l} is")))]
    NotLeader {
        /// Its name, where one is known.
        leader: Option<String>,
    },
    /// Too much is not agreed on yet.
    #[error("{MAX_UNCOMMITTED_ENTRIES} changes are not agreed on yet: try again later")]
    Busy,
    /// It is too large.
    #[error("a change of {0} bytes, at most {MAX_CHANGE_BYTES} are taken")]
    TooLarge(usize),
}

/// What a keeper is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// It belongs to no agreement yet, or lost its disk, and asks to be taken in.
    New,
    /// It waits until others confirm that its folder is no old copy. It neither votes nor confirms entries.
    Recovering,
    /// It is in no electorate.
    Learner,
    /// It follows.
    Follower,
    /// It wants to be elected.
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

/// A keeper's state, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// What it is.
    pub role: ReplicaRole,
    /// Who it is.
    pub me: ReplicaId,
    /// How often it started.
    pub incarnation: u64,
    /// Its term.
    pub term: u64,
    /// The leader, where one is known.
    pub leader: Option<String>,
    /// All up to there is agreed on.
    pub committed: u64,
    /// The last entry here.
    pub last: u64,
    /// Who votes.
    pub electorate: Vec<ReplicaId>,
    /// Of a leader: members that it has not heard for an election's time.
    pub silent: Vec<String>,
    /// Its disk does not take what has to be durable.
    pub disk_fails: bool,
}
