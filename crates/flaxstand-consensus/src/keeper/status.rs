//! What a keeper tells its owner.

use super::{CHANGE_MOST, OPEN_MOST};
use crate::replica::ReplicaId;
use thiserror::Error;

/// What is agreed on, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Agreed {
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
    #[error("{OPEN_MOST} changes are not agreed on yet: try again later")]
    Busy,
    /// It is too large.
    #[error("a change of {0} bytes, at most {CHANGE_MOST} are taken")]
    TooLarge(usize),
}

/// What a keeper is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It belongs to no agreement yet, or lost its disk, and asks to be taken in.
    New,
    /// It waits for the others' word that its folder is no old copy. It neither votes nor confirms.
    Unsure,
    /// It is in no electorate.
    Learner,
    /// It follows.
    Follower,
    /// It wants to be elected.
    Candidate,
    /// It leads.
    Leader,
}

/// A keeper's state, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// What it is.
    pub standing: Standing,
    /// Who it is.
    pub me: ReplicaId,
    /// How often it started.
    pub life: u64,
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
