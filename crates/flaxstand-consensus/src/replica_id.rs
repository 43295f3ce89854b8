//! Who a replica of the agreed log is, and which of its starts is the newest that others heard of.

use serde::{Deserialize, Serialize};

/// A keeper as the electorate knows it. Its incarnation is drawn when its folder is empty: one whose disk was
/// lost is another replica under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The initiator's name.
    pub name: String,
    /// Drawn at random with an empty folder.
    pub instance: u64,
}

/// One start of a keeper: durable before anything is said in it. Counts grow; where two lives have one count, or
/// one begins with less than was heard of the one before it, the folder was copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// One more at each start.
    pub count: u64,
    /// Drawn at each start.
    pub nonce: u64,
    /// How many promises it began with.
    pub promises_at_start: u64,
}

/// The newest that was heard of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeen {
    /// Its life.
    pub incarnation: Incarnation,
    /// How many promises it had written down: terms, votes, entries.
    pub written: u64,
}

impl Incarnation {
    /// Whether one who is in this life was overtaken by, or copied from, one of whom that was heard.
    pub fn superseded_by(self, seen: LastSeen) -> bool {
        let other = seen.incarnation;
        other.count > self.count
            || other.count == self.count && other.nonce != self.nonce
            || other.count < self.count && seen.written > self.promises_at_start
    }
}
