//! What initiators and operators say to each other. Bytes are postcard's: variants are numbered in their order here,
//! new ones come last.

use crate::lease_manager::{Blocker, LeaseRequest, LeaseResponse};
use crate::message::Message;
use crate::replicated_state::{ReplicatedState, Version};
use serde::{Deserialize, Serialize};

/// What initiators and operators say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between keepers.
    Replica(Message),
    /// A member's ask, and how many times it was passed on.
    LeaseRequest(u8, LeaseRequest),
    /// Its answer.
    LeaseResponse(Box<LeaseResponse>),
    /// What an operator wants.
    OperatorRequest(OperatorRequest),
    /// What he is told.
    OperatorReply(OperatorReply),
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// A new version, made from the one of this number.
    Propose(u64, Version),
    /// The version under way not to come in force; who says so, and when.
    Withdraw(u64, String, u64),
    /// An initiator that is gone for good not to be waited for.
    Forget(String),
    /// How things stand.
    Status,
    /// The book: versions and history.
    ReplicatedState,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// It was agreed on; the version's number, where there is one.
    Committed(u64),
    /// It was not, and why.
    Refused(String),
    /// Only the leader can say; its name, where one is known.
    Elsewhere(Option<String>),
    /// How things stand.
    Status(Box<StatusReport>),
    /// The book and its index; none: not known here.
    ReplicatedState(Option<Box<(u64, ReplicatedState)>>),
}

/// How things stand, as one initiator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Who tells.
    pub name: String,
    /// What it is among the keepers; none: it is no keeper.
    #[serde(rename = "keeper")]
    pub replica: Option<String>,
    /// Who leads, where that is known.
    pub leader: Option<String>,
    /// The keepers' term.
    pub term: u64,
    /// Who votes.
    pub electorate: Vec<String>,
    /// Of a leader: keepers that it does not hear.
    pub silent: Vec<String>,
    /// What it acts on, in words.
    #[serde(rename = "acting")]
    pub active_rules: String,
    /// For how long yet, if it hears nothing, milliseconds.
    pub lease_ms: u64,
    /// The version in force and the one under way.
    pub versions: (u64, Option<u64>),
    /// The stage.
    pub stage: u64,
    /// Of a leader: who holds the passage up.
    #[serde(rename = "holds")]
    pub blockers: Vec<Blocker>,
    /// Of a leader: members; whether they have a lease, whether they confirmed, and when they were heard, ms ago.
    pub members: Vec<(String, bool, bool, u64)>,
}

/// Where a word goes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Destination {
    /// The initiator of this name.
    Peer(String),
    /// Back on the connection that the owner numbered so.
    Connection(u64),
}
