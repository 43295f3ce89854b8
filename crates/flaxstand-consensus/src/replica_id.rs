//! The identity of a replica, and its incarnations: which of its starts is the newest that others have seen.

use serde::{Deserialize, Serialize};

/// A replica as the configuration of the electorate names it. Its instance is drawn when its folder is empty:
/// a replica whose disk was lost is another replica under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The initiator's name.
    pub name: String,
    /// Drawn at random with an empty folder.
    pub instance: u64,
}

/// One start of a replica, durable before anything is sent in it. Counts grow; where two incarnations have
/// the same count, or one begins with fewer promises than were seen of the one before it, the folder was
/// copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// One more at each start.
    pub count: u64,
    /// Drawn at each start.
    pub nonce: u64,
    /// How many promises (terms, votes, entries) it began with.
    pub promises_at_start: u64,
}

/// The newest that was seen of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeen {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How many promises it had written down.
    pub promises_written: u64,
}

impl Incarnation {
    /// Whether a replica in this incarnation runs on an old copy of its folder, given what was seen of its
    /// name: a later start, another start of the same count, or more promises than it began with.
    pub fn superseded_by(self, seen: LastSeen) -> bool {
        let other = seen.incarnation;
        other.count > self.count
            || other.count == self.count && other.nonce != self.nonce
            || other.count < self.count && seen.promises_written > self.promises_at_start
    }
}
