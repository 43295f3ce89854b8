//! Messages between replicas. They may be lost, duplicated, delayed and reordered.
//!
//! The encoding is postcard: variants and fields are numbered by their order and written without names. New
//! variants go last; no field may be added.

use crate::log::{Entry, LogPosition, Snapshot};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use serde::{Deserialize, Serialize};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender; 0 if it belongs to none yet.
    pub cluster_id: u64,
    /// The sender.
    pub from: ReplicaId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Number of promises (terms, votes, entries) the sender has recorded.
    pub promises_written: u64,
    /// Name of the receiver.
    pub to: String,
    /// Instance of the receiver, if the sender knows it.
    pub to_instance: Option<u64>,
    /// The sender's term.
    pub term: u64,
    /// The request or response.
    pub body: MessageBody,
}

/// A request or response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// From the bootstrapping replica: asks whether the receiver belongs to no cluster.
    BootstrapRequest,
    /// Response: the sender belongs to no cluster.
    BootstrapReady,
    /// Response: the sender belongs to a cluster.
    ClusterExists,
    /// A new replica asks to become a voter.
    JoinRequest,
    /// After a start: asks whether a later incarnation of the sender has been seen.
    IncarnationRequest,
    /// Response: no incarnation later than this one has been seen, or the responding replica is itself new
    /// and has no record of any.
    IncarnationResponse(Incarnation),
    /// A later incarnation of the receiver has been seen: the receiver runs on a stale copy of its
    /// directory.
    Superseded(LastSeen),
    /// From the leader to a candidate that is no longer a voter.
    NoLongerVoter,
    /// Asks whether the receiver would vote for the sender in `term + 1`. Holds the last position in the
    /// sender's log.
    PreVoteRequest(LogPosition),
    /// Response to a pre-vote request.
    PreVoteResponse {
        /// The term asked about.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for the receiver's vote in the current term. Holds the last position in the sender's log.
    VoteRequest(LogPosition),
    /// Response to a vote request.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// The leader's log entries after `prev_index`; without entries it is a heartbeat.
    AppendRequest {
        /// Index of the entry that precedes `entries`.
        prev_index: u64,
        /// Term of the entry that precedes `entries`.
        prev_term: u64,
        /// Entries to append; may be empty.
        entries: Vec<Entry>,
        /// Index up to which all entries are committed.
        commit_index: u64,
        /// Send time by the leader's clock in microseconds, echoed in the response.
        sent_at: u64,
    },
    /// The leader's snapshot, sent when the entries that the receiver lacks have been compacted.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Send time by the leader's clock in microseconds, echoed in the response.
        sent_at: u64,
    },
    /// All entries up to `match_index` are durable on the sender and match the leader's log.
    AppendAccepted {
        /// Index of the last matching entry.
        match_index: u64,
        /// `sent_at` of the request.
        request_sent_at: u64,
    },
    /// Index of the last matching entry of a replica that is still recovering. It does not count towards a
    /// quorum.
    RecoveryProgress(u64),
    /// From the leader to a recovering replica in this incarnation: a majority without it has confirmed the
    /// leader, and its log holds all committed entries.
    RecoveryComplete(Incarnation),
    /// The log does not contain the entry at `prev_index`, or the sender of the request is no longer the
    /// leader.
    AppendRejected {
        /// Index up to which all entries match the leader's log.
        match_index: u64,
        /// `sent_at` of the request.
        request_sent_at: u64,
    },
}
