//! Messages between initiators and with operators.
//!
//! The encoding is postcard: variants and fields are numbered by their order and written without names. New
//! variants go last; no field may be added. [`StatusReport`] is also printed as JSON, with the names of
//! `settings status --json`.

use crate::lease_manager::{Blocker, LeaseRequest, LeaseResponse, MemberStatus};
use crate::message::Message;
use crate::replicated_state::{IndexedState, Version};
use serde::{Deserialize, Serialize};

/// A message between initiators or with an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Message between replicas.
    Replica(Message),
    /// A member's lease request.
    LeaseRequest {
        /// Number of times the request was forwarded.
        hops: u8,
        /// The request.
        request: LeaseRequest,
    },
    /// Response to a lease request.
    LeaseResponse(Box<LeaseResponse>),
    /// An operator's request.
    OperatorRequest(OperatorRequest),
    /// Reply to an operator request.
    OperatorReply(OperatorReply),
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Proposes a version.
    Propose {
        /// Number of the version in force that the proposal is based on.
        base: u64,
        /// The proposed version.
        version: Version,
    },
    /// Withdraws the version that is being rolled out.
    Withdraw {
        /// Number of the version.
        number: u64,
        /// Name of the person who withdraws it.
        by: String,
        /// Time in microseconds since the Unix epoch.
        at: u64,
    },
    /// Removes an initiator that was decommissioned from the members.
    Forget(String),
    /// Requests a [`StatusReport`].
    Status,
    /// Requests the replicated state: versions and history.
    ReplicatedState,
}

/// Reply to an operator request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The change is committed. Holds the number of the version, or 0 if the change concerns none.
    Committed(u64),
    /// The change has no effect; holds the reason.
    Refused(String),
    /// Only the leader can process the request. Holds the leader's name, if known.
    NotLeader(Option<String>),
    /// The status report.
    Status(Box<StatusReport>),
    /// The replicated state; `None` if it is not available here.
    ReplicatedState(Option<Box<IndexedState>>),
}

/// Version numbers. Serialised, also as JSON, as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct VersionNumbers {
    /// The version in force; 0 if there is none yet.
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

/// Consensus status of one initiator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the reporting initiator.
    pub name: String,
    /// Role of its replica as shown to operators; `None` without a replica.
    #[serde(rename = "keeper")]
    pub replica: Option<String>,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term of the replica.
    pub term: u64,
    /// Names of the voters.
    #[serde(rename = "electorate")]
    pub voters: Vec<String>,
    /// On a leader: voters without contact for an election time-out.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<String>,
    /// Description of the active rules for operators.
    #[serde(rename = "acting")]
    pub active_rules: String,
    /// Remaining time of the lease in milliseconds if it is not renewed.
    pub lease_ms: u64,
    /// Numbers of the versions in force and in rollout.
    pub versions: VersionNumbers,
    /// Rollout stage.
    pub stage: u64,
    /// On a leader: conditions that prevent the next stage from starting.
    #[serde(rename = "holds")]
    pub blockers: Vec<Blocker>,
    /// On a leader: initiators that have requested a lease.
    pub members: Vec<MemberStatus>,
}

/// Destination of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// The initiator with this name.
    Peer(String),
    /// The connection with this number, as assigned by the caller.
    Connection(u64),
}
