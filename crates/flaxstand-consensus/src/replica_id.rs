//! Identity of a replica, and its incarnations, which number its starts.

use serde::{Deserialize, Serialize};

/// Identity of a replica in the cluster configuration. The instance is drawn when the directory is empty,
/// so a replica that lost its disk is a different replica with the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Name of the initiator.
    pub name: String,
    /// Random number drawn when the directory is empty.
    pub instance: u64,
}

/// One start of a replica; durable before any message of that start is sent. Counts increase. If two
/// incarnations have the same count, or one starts with fewer promises than were seen of the previous one,
/// the directory was copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// Number of the start.
    pub count: u64,
    /// Random number drawn at each start.
    pub nonce: u64,
    /// Number of promises (terms, votes, entries) recorded when it started.
    pub promises_at_start: u64,
}

/// Latest state seen of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeen {
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// Number of promises it had recorded.
    pub promises_written: u64,
}

impl Incarnation {
    /// Whether this incarnation runs on a stale copy of its directory, given the latest state seen of the
    /// same instance: a later start, another start with the same count, or more promises than this one
    /// started with.
    pub fn superseded_by(self, seen: LastSeen) -> bool {
        let other = seen.incarnation;
        other.count > self.count
            || other.count == self.count && other.nonce != self.nonce
            || other.count < self.count && seen.promises_written > self.promises_at_start
    }
}
