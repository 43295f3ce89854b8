//! What keepers say to each other. Messages may be lost, doubled, late and out of order.

use crate::log::{Entry, Snapshot};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use serde::{Deserialize, Serialize};

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Which agreement it belongs to; 0: its sender has none yet.
    pub cluster: u64,
    /// Its sender.
    pub from: ReplicaId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// How many promises it has written down.
    pub written: u64,
    /// The name it is sent to.
    pub to: String,
    /// Which incarnation of it, where the sender knows.
    pub instance: Option<u64>,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The founder asks whether the other is as new as itself.
    AskFresh,
    /// It is: it belongs to no agreement.
    Fresh,
    /// It belongs to one.
    Formed,
    /// One that is new asks to be taken in.
    Newcomer,
    /// After a start: was a later life of mine seen?
    AskLife,
    /// None later than this one was; or it is new itself, and knows nothing any more.
    LifeSeen(Incarnation),
    /// A later life of the receiver was seen: it runs on an old copy of its folder.
    Superseded(LastSeen),
    /// The leader to one that wants votes: another incarnation has its name's place in the electorate.
    Replaced,
    /// Would you vote for me in `term + 1`? My log's last term and index.
    PreVote((u64, u64)),
    /// Whether it would, in the term asked about.
    PreVoted(u64, bool),
    /// Vote for me in this term.
    Vote((u64, u64)),
    /// Whether it does.
    Voted(bool),
    /// The leader's entries after `prev` (index, term), and what is committed.
    Append {
        /// Index and term of the entry before the first.
        prev: (u64, u64),
        /// Entries, maybe none.
        entries: Vec<Entry>,
        /// All up to there is agreed on.
        commit: u64,
        /// The leader's clock, microseconds, when it wrote this: the answer carries it back.
        stamp: u64,
    },
    /// The leader's snapshot, in place of entries that it has no more, and the stamp.
    Install(Snapshot, u64),
    /// All up to there is durable here as the leader has it; the stamp.
    Held(u64, u64),
    /// All up to there is here, of one that may not confirm anything yet: it counts for nothing.
    Has(u64),
    /// The leader to one that may be an old copy, in this life: a majority without it proves that I lead, and all
    /// that was agreed on is there.
    UpToDate(Incarnation),
    /// The entry before was not here; all up to there surely is; the stamp.
    Missing(u64, u64),
}
