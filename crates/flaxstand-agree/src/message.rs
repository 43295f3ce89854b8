//! What keepers say to each other. Messages may be lost, doubled, late and out of order.

use crate::log::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

/// A keeper as the electorate knows it. Its incarnation is drawn when its folder is empty: one whose disk was
/// lost is another member under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The initiator's name.
    pub name: String,
    /// Drawn at random with an empty folder.
    pub incarnation: u64,
}

/// One start of a keeper: durable before anything is said in it. Counts grow; where two lives have one count, or
/// one begins with less than was heard of the one before it, the folder was copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// One more at each start.
    pub count: u64,
    /// Drawn at each start.
    pub nonce: u64,
    /// How many promises it began with.
    pub began: u64,
}

/// The newest that was heard of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Its life.
    pub life: Life,
    /// How many promises it had written down: terms, votes, entries.
    pub written: u64,
}

impl Life {
    /// Whether one who is in this life was overtaken by, or copied from, one of whom that was heard.
    pub fn superseded_by(self, seen: Seen) -> bool {
        let other = seen.life;
        other.count > self.count
            || other.count == self.count && other.nonce != self.nonce
            || other.count < self.count && seen.written > self.began
    }
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Which agreement it belongs to; 0: its sender has none yet.
    pub cluster: u64,
    /// Its sender.
    pub from: Member,
    /// The sender's life.
    pub life: Life,
    /// How many promises it has written down.
    pub written: u64,
    /// The name it is sent to.
    pub to: String,
    /// Which incarnation of it, where the sender knows.
    pub incarnation: Option<u64>,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
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
    LifeSeen(Life),
    /// A later life of the receiver was seen: it runs on an old copy of its folder.
    Superseded(Seen),
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
    UpToDate(Life),
    /// The entry before was not here; all up to there surely is; the stamp.
    Missing(u64, u64),
}
