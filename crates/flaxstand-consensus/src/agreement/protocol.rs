//! What initiators and operators say to each other. Bytes are postcard's: variants are numbered in their order here,
//! new ones come last.

use crate::book::{Book, Version};
use crate::lease_manager::{Blocker, LeaseRequest, LeaseResponse};
use crate::message::Message;
use serde::{Deserialize, Serialize};

/// What initiators and operators say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Between keepers.
    Keeper(Message),
    /// A member's ask, and how many times it was passed on.
    LeaseRequest(u8, LeaseRequest),
    /// Its answer.
    LeaseResponse(Box<LeaseResponse>),
    /// What an operator wants.
    Wish(Wish),
    /// What he is told.
    Reply(Reply),
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// A new version, made from the one of this number.
    Propose(u64, Version),
    /// The version under way not to come in force; who says so, and when.
    Withdraw(u64, String, u64),
    /// An initiator that is gone for good not to be waited for.
    Forget(String),
    /// How things stand.
    Status,
    /// The book: versions and history.
    Book,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It was agreed on; the version's number, where there is one.
    Agreed(u64),
    /// It was not, and why.
    Refused(String),
    /// Only the leader can say; its name, where one is known.
    Elsewhere(Option<String>),
    /// How things stand.
    Status(Box<Report>),
    /// The book and its index; none: not known here.
    Book(Option<Box<(u64, Book)>>),
}

/// How things stand, as one initiator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Who tells.
    pub name: String,
    /// What it is among the keepers; none: it is no keeper.
    pub keeper: Option<String>,
    /// Who leads, where that is known.
    pub leader: Option<String>,
    /// The keepers' term.
    pub term: u64,
    /// Who votes.
    pub electorate: Vec<String>,
    /// Of a leader: keepers that it does not hear.
    pub silent: Vec<String>,
    /// What it acts on, in words.
    pub acting: String,
    /// For how long yet, if it hears nothing, milliseconds.
    pub lease_ms: u64,
    /// The version in force and the one under way.
    pub versions: (u64, Option<u64>),
    /// The stage.
    pub stage: u64,
    /// Of a leader: who holds the passage up.
    pub holds: Vec<Blocker>,
    /// Of a leader: members; whether they have a lease, whether they confirmed, and when they were heard, ms ago.
    pub members: Vec<(String, bool, bool, u64)>,
}

/// Where a word goes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    /// The initiator of this name.
    Peer(String),
    /// Back on the connection that the owner numbered so.
    Back(u64),
}
