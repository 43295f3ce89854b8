//! Data that the journal stores: the complete durable state of a replica, and records of its changes.

use crate::log::{Entry, Log};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a replica that must survive a restart. Postcard encodes the fields in this order without names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// The cluster it belongs to; 0 if none yet.
    pub cluster_id: u64,
    /// Its current term.
    pub term: u64,
    /// The candidate it voted for in the current term.
    pub voted_for: Option<ReplicaId>,
    /// The replicated log.
    pub log: Log,
    /// Number of promises (terms, votes, entries) recorded over all incarnations of this instance.
    pub promises_written: u64,
    /// Latest incarnation seen of each other replica whose messages were processed.
    pub last_seen: BTreeMap<ReplicaId, LastSeen>,
}

/// A change of the durable state. Postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The complete state (a checkpoint).
    State(Box<DurableState>),
    /// A new term, or a vote in the current one.
    HardState {
        /// The term.
        term: u64,
        /// The candidate voted for.
        voted_for: Option<ReplicaId>,
    },
    /// Log entries that replace those from an index on.
    Entries {
        /// Index of the first entry.
        first_index: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Latest incarnation seen of another replica.
    LastSeen(ReplicaId, LastSeen),
}

impl DurableState {
    /// State of a replica that has not made any promise yet.
    pub fn new(id: ReplicaId, incarnation: Incarnation) -> DurableState {
        DurableState {
            id,
            incarnation,
            cluster_id: 0,
            term: 0,
            voted_for: None,
            log: Log::default(),
            promises_written: 0,
            last_seen: BTreeMap::new(),
        }
    }

    /// Applies a record during recovery.
    pub(super) fn replay(&mut self, record: Record) {
        match record {
            Record::State(state) => *self = *state,
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
                self.promises_written += 1;
            }
            Record::Entries { first_index, entries } => {
                self.log.truncate(first_index);
                self.log.entries.extend(entries);
                self.promises_written += 1;
            }
            Record::LastSeen(replica, seen) => {
                self.last_seen.insert(replica, seen);
            }
        }
    }
}
