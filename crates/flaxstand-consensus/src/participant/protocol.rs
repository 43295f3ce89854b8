//! Messages between initiators and with operators.
//!
//! Bytes are postcard's: variants and fields are numbered by their order here and written without names. New
//! variants come last; no field may be added. [`StatusReport`] is also shown as JSON, under the names of
//! `settings status --json`.

use crate::lease_manager::{Blocker, LeaseRequest, LeaseResponse, MemberStatus};
use crate::message::Message;
use crate::replicated_state::{IndexedState, Version};
use serde::{Deserialize, Serialize};

/// A message between initiators or with an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between replicas.
    Replica(Message),
    /// A member's lease request.
    LeaseRequest {
        /// How many times it was forwarded.
        hops: u8,
        /// The request.
        request: LeaseRequest,
    },
    /// The response to one.
    LeaseResponse(Box<LeaseResponse>),
    /// An operator's request.
    OperatorRequest(OperatorRequest),
    /// The reply to one.
    OperatorReply(OperatorReply),
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Proposes a version.
    Propose {
        /// Number of the version in force that it was made from.
        base: u64,
        /// The version.
        version: Version,
    },
    /// Gives up the version that is being rolled out.
    Withdraw {
        /// Its number.
        number: u64,
        /// Who withdraws it.
        by: String,
        /// When, microseconds since 1970.
        at: u64,
    },
    /// Removes an initiator that is gone for good from the members.
    Forget(String),
    /// Asks for a [`StatusReport`].
    Status,
    /// Asks for the replicated state: versions and history.
    ReplicatedState,
}

/// The reply to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The change is committed; the version's number, or 0 where it concerns none.
    Committed(u64),
    /// It changed nothing: why.
    Refused(String),
    /// Only the leader can decide; its name, where one is known.
    NotLeader(Option<String>),
    /// The report.
    Status(Box<StatusReport>),
    /// The replicated state; none: not known here.
    ReplicatedState(Option<Box<IndexedState>>),
}

/// Numbers of versions. Sent, and shown as JSON, as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct VersionNumbers {
    /// The version in force; 0: there is none yet.
    pub in_force: u64,
    /// The version that is being rolled out.
    pub next: Option<u64>,
}

impl From<(u64, Option<u64>)> for VersionNumbers {
    fn from((in_force, next): (u64, Option<u64>)) -> VersionNumbers {
        VersionNumbers { in_force, next }
    }
}

impl From<VersionNumbers> for (u64, Option<u64>) {
    fn from(numbers: VersionNumbers) -> (u64, Option<u64>) {
        (numbers.in_force, numbers.next)
    }
}

/// The agreement as one initiator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the reporting initiator.
    pub name: String,
    /// Role of its replica, in words for operators; none: it has no replica.
    #[serde(rename = "keeper")]
    pub replica: Option<String>,
    /// The leader's name, where it is known.
    pub leader: Option<String>,
    /// The replica's term.
    pub term: u64,
    /// Names of the voters.
    #[serde(rename = "electorate")]
    pub voters: Vec<String>,
    /// Of a leader: voters that it has not heard from for an election timeout.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<String>,
    /// What it acts on, in words for operators.
    #[serde(rename = "acting")]
    pub active_rules: String,
    /// How long its lease lasts if no response comes, milliseconds.
    pub lease_ms: u64,
    /// The versions.
    pub versions: VersionNumbers,
    /// The stage of the rollout.
    pub stage: u64,
    /// Of a leader: what keeps the next stage from beginning.
    #[serde(rename = "holds")]
    pub blockers: Vec<Blocker>,
    /// Of a leader: initiators that have asked for a lease.
    pub members: Vec<MemberStatus>,
}

/// Where a message goes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// The initiator of this name.
    Peer(String),
    /// Back on the connection that the owner numbered so.
    Connection(u64),
}
