//! What the journal stores: a replica's whole durable state, and records of its changes.

use crate::log::{Entry, Log};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All that a replica must not forget. Postcard writes the fields in this order and without names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The replica.
    pub id: ReplicaId,
    /// Its newest incarnation.
    pub incarnation: Incarnation,
    /// The cluster that it belongs to; 0: none yet.
    pub cluster_id: u64,
    /// Its term.
    pub term: u64,
    /// The candidate that it voted for in that term.
    pub voted_for: Option<ReplicaId>,
    /// Its log.
    pub log: Log,
    /// How many promises (terms, votes, entries) it has written down, over all incarnations of this instance.
    pub promises_written: u64,
    /// The newest seen of each other replica whose message it acted on.
    pub last_seen: BTreeMap<ReplicaId, LastSeen>,
}

/// A change of the durable state. Postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// All of it.
    State(Box<DurableState>),
    /// A new term, or a vote in it.
    HardState {
        /// The term.
        term: u64,
        /// The candidate voted for.
        voted_for: Option<ReplicaId>,
    },
    /// The entries from an index on.
    Entries {
        /// Index of the first.
        first_index: u64,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The newest seen of another replica.
    LastSeen(ReplicaId, LastSeen),
}

impl DurableState {
    /// The state of a replica that has promised nothing yet.
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

    /// Replays a record.
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
