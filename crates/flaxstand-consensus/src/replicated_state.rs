//! The book: what keepers make of the agreed log. Which version of the rules is in force, which is under way, who
//! the members are. The same on every keeper, whatever the order of events around it.
//!
//! Passages are numbered by *stages*. While a version is under way everyone acts on the narrower of two versions;
//! no two stages that follow each other contradict, and no third begins before everyone has left the first.

use crate::rules::Rules;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most bytes of a version's text.
pub const MAX_TEXT_BYTES: usize = 32 << 10;
/// Most bytes of its rules as they are kept.
pub const MAX_RULES_BYTES: usize = 48 << 10;
/// Versions before the one in force that are kept for `revert`.
const KEPT: usize = 4;
/// Passages that the history holds.
const HISTORY: usize = 256;
/// Members, most. One more is not taken in.
pub const MAX_MEMBERS: usize = 4096;

/// A version of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Its number, from 1.
    pub number: u64,
    /// The rules.
    pub rules: Rules,
    /// The file they were read from.
    pub text: String,
    /// Who proposed it.
    pub by: String,
    /// When, microseconds since 1970 by the proposer's calendar.
    pub at: u64,
}

/// A passage, for the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The version.
    pub number: u64,
    /// The stage that began with it.
    pub stage: u64,
    /// What became of it, in words.
    pub what: String,
    /// When, microseconds since 1970 by the calendar of whoever wrote it.
    pub at: u64,
}

/// What an entry of the log says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A version that is to follow the one that its proposer knew.
    Propose {
        /// Number of the version in force that it was made from.
        base: u64,
        /// The version; its number is given by the book.
        version: Version,
    },
    /// The version under way is not wanted any more.
    Withdraw {
        /// Its number.
        number: u64,
        /// Who says so, and when.
        by: String,
        /// Microseconds since 1970.
        at: u64,
    },
    /// Everyone acts on the narrower or has no lease any more: the version under way is in force.
    InForce {
        /// Its number.
        number: u64,
        /// Who confirmed, and whose lease ran out, in words.
        why: String,
        /// Microseconds since 1970.
        at: u64,
    },
    /// An initiator is a member from now on.
    Join(String),
    /// It is none any more.
    Forget(String),
}

impl Change {
    /// As an entry of the log has it.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be written")
    }
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Grows by one at each passage.
    pub stage: u64,
    /// The version in force; number 0 before there is any.
    pub in_force: Version,
    /// The one under way.
    pub next: Option<Version>,
    /// Number of the last version that was ever proposed.
    pub last: u64,
    /// Versions that were in force before, the newest last.
    pub before: VecDeque<Version>,
    /// What happened, the newest last.
    pub history: VecDeque<RolloutStep>,
    /// Initiators that were ever given a lease and not forgotten since. Only keepers act on it, and theirs alone is
    /// up to date: other members are not told where nothing else changed.
    pub members: BTreeMap<String, ()>,
}

impl ReplicatedState {
    /// Takes an entry.
    ///
    /// # Errors
    /// It changes nothing; why, in words for whoever wanted it.
    pub fn apply(&mut self, change: Change) -> Result<u64, String> {
        match change {
            Change::Propose { base, version } => self.propose(base, version),
            Change::Withdraw { number, by, at } => match self.next.take_if(|v| v.number == number) {
                Some(_) => {
                    self.pass(number, format!("withdrawn by {by}"), at);
                    Ok(number)
                }
                None => Err(format!("version {number} is not under way")),
            },
            Change::InForce { number, why, at } => match self.next.take_if(|v| v.number == number) {
                Some(next) => {
                    self.put_in_force(next, format!("in force: {why}"), at);
                    Ok(number)
                }
                None => Err(format!("version {number} is not under way")),
            },
            Change::Join(name) => {
                if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&name) {
                    return Err(format!("{MAX_MEMBERS} members, one more is not taken in"));
                }
                self.members.insert(name, ());
                Ok(0)
            }
            Change::Forget(name) => match self.members.remove(&name) {
                Some(()) => Ok(0),
                None => Err(format!("{name} is no member")),
            },
        }
    }

    fn propose(&mut self, base: u64, mut version: Version) -> Result<u64, String> {
        if let Some(next) = &self.next {
            return Err(format!("version {} is under way: wait for it or withdraw it", next.number));
        }
        if base != self.in_force.number {
            let now = self.in_force.number;
            return Err(format!(
                "made from version {base}, {now} is in force: look at what changed and propose anew"
            ));
        }
        let objections = match self.in_force.number {
            0 => Vec::new(),
            _ => version.rules.objections(&self.in_force.rules),
        };
        if !objections.is_empty() {
            return Err(objections.join("; "));
        }
        self.last += 1;
        version.number = self.last;
        let (number, by, at) = (version.number, version.by.clone(), version.at);
        if self.in_force.number == 0 {
            // Nobody acts on any version yet, and the floor is what all start on.
            self.put_in_force(version, format!("the first, proposed by {by}"), at);
        } else {
            self.next = Some(version);
            self.pass(number, format!("proposed by {by}"), at);
        }
        Ok(number)
    }

    fn put_in_force(&mut self, version: Version, what: String, at: u64) {
        let number = version.number;
        let old = std::mem::replace(&mut self.in_force, version);
        if old.number > 0 {
            self.before.push_back(old);
        }
        if self.before.len() > KEPT {
            self.before.pop_front();
        }
        self.pass(number, what, at);
    }

    fn pass(&mut self, number: u64, what: String, at: u64) {
        self.stage += 1;
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(RolloutStep { number, stage: self.stage, what, at });
    }

    /// The rules to act on with a lease for this stage.
    pub fn rules(&self) -> Rules {
        match &self.next {
            Some(next) => self.in_force.rules.narrower(&next.rules),
            None => self.in_force.rules.clone(),
        }
    }

    /// A digest of what acting on this stage means to this build: what a member confirms.
    pub fn digest(&self) -> u64 {
        self.rules().digest() ^ self.stage.rotate_left(32)
    }

    /// Whether those who act on the floor of the version in force contradict the one under way: then it needs the
    /// word of every member, also of those without a lease.
    pub fn needs_everyone(&self) -> bool {
        let Some(next) = &self.next else { return false };
        let fallback = self.in_force.rules.fallback_rules();
        // What is free stays the floor's there.
        fallback.narrower(&next.rules).values != fallback.values
    }

    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be written")
    }

    /// From bytes.
    ///
    /// # Errors
    /// They are no book.
    pub fn read(bytes: &[u8]) -> Result<ReplicatedState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
