//! Messages between replicas. They may be lost, doubled, late and out of order.
//!
//! Bytes are postcard's: variants and fields are numbered by their order here and written without names. New
//! variants come last; no field may be added.

use crate::log::{Entry, LogPosition, Snapshot};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use serde::{Deserialize, Serialize};

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The cluster that it belongs to; 0: its sender is in none yet.
    pub cluster_id: u64,
    /// Its sender.
    pub from: ReplicaId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// How many promises (terms, votes, entries) the sender has written down.
    pub promises_written: u64,
    /// The name that it is sent to.
    pub to: String,
    /// Which instance of that name, where the sender knows.
    pub to_instance: Option<u64>,
    /// The sender's term.
    pub term: u64,
    /// What it asks or answers.
    pub body: MessageBody,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The bootstrap replica asks whether the receiver is in no cluster either.
    BootstrapRequest,
    /// It is in none.
    BootstrapReady,
    /// It is in one.
    ClusterExists,
    /// A new replica asks to be made a voter.
    JoinRequest,
    /// After a start: has a later incarnation of the sender been seen?
    IncarnationRequest,
    /// None later than this one; or the answering replica is new itself and knows nothing any more.
    IncarnationResponse(Incarnation),
    /// A later incarnation of the receiver was seen: it runs on an old copy of its folder.
    Superseded(LastSeen),
    /// From the leader to one that campaigns: it is no voter any more.
    NoLongerVoter,
    /// Would the receiver vote for the sender in `term + 1`? The last position in the sender's log.
    PreVoteRequest(LogPosition),
    /// The answer.
    PreVoteResponse {
        /// The term asked about.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// A request for the receiver's vote in this term. The last position in the sender's log.
    VoteRequest(LogPosition),
    /// Whether the vote is granted.
    VoteResponse {
        /// Whether it is.
        granted: bool,
    },
    /// The leader's entries after `prev_index`; with none of them it is a heartbeat.
    AppendRequest {
        /// Index of the entry before the first.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries, maybe none.
        entries: Vec<Entry>,
        /// All entries up to there are committed.
        commit_index: u64,
        /// The leader's clock when it sent this, microseconds. The response carries it back.
        sent_at: u64,
    },
    /// The leader's snapshot, in place of entries that it no longer has.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this, microseconds. The response carries it back.
        sent_at: u64,
    },
    /// All entries up to an index are durable here as the leader has them.
    AppendAccepted {
        /// That index.
        match_index: u64,
        /// `sent_at` of the request.
        request_sent_at: u64,
    },
    /// The entries up to this index are here, of a replica that is still recovering: they count for no
    /// quorum.
    RecoveryProgress(u64),
    /// From the leader to a recovering replica, in this incarnation: a majority without it has confirmed the
    /// leader, and all that is committed is in its log.
    RecoveryComplete(Incarnation),
    /// The entry at `prev_index` was not here, or its sender does not lead any more.
    AppendRejected {
        /// All entries up to there match the leader's.
        match_index: u64,
        /// `sent_at` of the request.
        request_sent_at: u64,
    },
}
