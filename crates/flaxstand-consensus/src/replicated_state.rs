//! The replicated state: which version of the rules is in force, which is being rolled out, which initiators
//! are members. It is made of the committed changes alone, so it is the same at every replica at the same
//! index.
//!
//! A rollout is staged: the version in force; both versions, of which everyone acts on the narrower; the new
//! version. Two stages that follow each other never contradict, and none begins before everyone has left the
//! stage before the present one ([`crate::lease_manager`]).

use crate::rules::{Objection, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Most bytes of a version's file.
pub const MAX_TEXT_BYTES: usize = 32 << 10;
/// Most bytes of a version's rules as they are stored.
pub const MAX_RULES_BYTES: usize = 48 << 10;
/// Versions before the one in force that are kept for `revert`.
const MAX_PREVIOUS_VERSIONS: usize = 4;
/// Steps that the history holds.
const MAX_HISTORY_STEPS: usize = 256;
/// Most members. One more is not admitted.
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

/// A step of a rollout, for the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The version.
    pub number: u64,
    /// The stage that began with it.
    pub stage: u64,
    /// What happened, in words for operators.
    pub description: String,
    /// When, microseconds since 1970 by the calendar of whoever proposed the step.
    pub at: u64,
}

/// A change of the replicated state, as an entry of the log holds it. Postcard numbers variants and fields by
/// their order and writes no names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A version that is to follow the one that its proposer knew.
    Propose {
        /// Number of the version in force that it was made from.
        base: u64,
        /// The version; its number is given when the change is applied.
        version: Version,
    },
    /// The version that is being rolled out is given up.
    Withdraw {
        /// Its number.
        number: u64,
        /// Who withdraws it.
        by: String,
        /// When, microseconds since 1970.
        at: u64,
    },
    /// Everyone acts on the narrower of both versions or has no lease: the version being rolled out comes
    /// into force.
    InForce {
        /// Its number.
        number: u64,
        /// Who confirmed, and whose lease ended, in words for operators.
        why: String,
        /// When, microseconds since 1970.
        at: u64,
    },
    /// An initiator is a member from now on.
    Join(String),
    /// It is none any more.
    Forget(String),
}

impl Change {
    /// As an entry of the log holds it.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be written")
    }
}

/// Why a change changes nothing. Its text is shown to operators.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The version to withdraw or to put in force is not being rolled out.
    #[error("version {number} is not under way")]
    NotInRollout {
        /// Its number.
        number: u64,
    },
    /// Another version is being rolled out.
    #[error("version {number} is under way: wait for it or withdraw it")]
    RolloutInProgress {
        /// Its number.
        number: u64,
    },
    /// The proposal was made from a version that is not in force any more.
    #[error("made from version {base}, {in_force} is in force: look at what changed and propose anew")]
    StaleBase {
        /// The version that it was made from.
        base: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The version may not follow the one in force.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Objections(Vec<Objection>),
    /// There are [`MAX_MEMBERS`] members.
    #[error("{MAX_MEMBERS} members, one more is not taken in")]
    TooManyMembers,
    /// The initiator to forget is no member.
    #[error("{name} is no member")]
    NotAMember {
        /// Its name.
        name: String,
    },
}

/// The replicated state. Postcard writes the fields in this order and without names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// One more with each step of a rollout.
    pub stage: u64,
    /// The version in force; number 0 before there is any.
    pub in_force: Version,
    /// The version that is being rolled out.
    pub next: Option<Version>,
    /// Number of the last version that was ever proposed.
    pub last_number: u64,
    /// Versions that were in force before, the newest last.
    pub previous: VecDeque<Version>,
    /// Steps of rollouts, the newest last.
    pub history: VecDeque<RolloutStep>,
    /// Initiators that were ever granted a lease and not forgotten since. Only replicas act on it, and theirs
    /// alone is up to date: other members are not sent the state where nothing else changed.
    pub members: BTreeMap<String, ()>,
}

/// A copy of the replicated state and how new it is. Stored and sent as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexedState {
    /// Index of the log entry after which the state was so.
    pub index: u64,
    /// The state.
    pub state: ReplicatedState,
}

impl ReplicatedState {
    /// Applies a committed change. Returns the version's number; 0 where the change concerns none.
    ///
    /// # Errors
    /// The state does not allow the change, and is as before.
    pub fn apply(&mut self, change: Change) -> Result<u64, ChangeError> {
        match change {
            Change::Propose { base, version } => self.propose(base, version),
            Change::Withdraw { number, by, at } => self.withdraw(number, &by, at),
            Change::InForce { number, why, at } => self.complete_rollout(number, &why, at),
            Change::Join(name) => self.join(name),
            Change::Forget(name) => self.forget(name),
        }
    }

    fn propose(&mut self, base: u64, mut version: Version) -> Result<u64, ChangeError> {
        if let Some(next) = &self.next {
            return Err(ChangeError::RolloutInProgress { number: next.number });
        }
        let in_force = self.in_force.number;
        if base != in_force {
            return Err(ChangeError::StaleBase { base, in_force });
        }
        let is_first = in_force == 0;
        if !is_first {
            let objections = version.rules.objections(&self.in_force.rules);
            if !objections.is_empty() {
                return Err(ChangeError::Objections(objections));
            }
        }
        self.last_number += 1;
        version.number = self.last_number;
        let (number, by, at) = (version.number, version.by.clone(), version.at);
        if is_first {
            // Nobody acts on any version yet: all act on the fallback rules of their settings.
            self.put_in_force(version, format!("the first, proposed by {by}"), at);
        } else {
            self.next = Some(version);
            self.begin_stage(number, format!("proposed by {by}"), at);
        }
        Ok(number)
    }

    fn withdraw(&mut self, number: u64, by: &str, at: u64) -> Result<u64, ChangeError> {
        self.take_next(number)?;
        self.begin_stage(number, format!("withdrawn by {by}"), at);
        Ok(number)
    }

    fn complete_rollout(&mut self, number: u64, why: &str, at: u64) -> Result<u64, ChangeError> {
        let version = self.take_next(number)?;
        self.put_in_force(version, format!("in force: {why}"), at);
        Ok(number)
    }

    fn join(&mut self, name: String) -> Result<u64, ChangeError> {
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&name) {
            return Err(ChangeError::TooManyMembers);
        }
        self.members.insert(name, ());
        Ok(0)
    }

    fn forget(&mut self, name: String) -> Result<u64, ChangeError> {
        match self.members.remove(&name) {
            Some(()) => Ok(0),
            None => Err(ChangeError::NotAMember { name }),
        }
    }

    /// Takes the version that is being rolled out, if it has this number.
    fn take_next(&mut self, number: u64) -> Result<Version, ChangeError> {
        self.next.take_if(|next| next.number == number).ok_or(ChangeError::NotInRollout { number })
    }

    fn put_in_force(&mut self, version: Version, description: String, at: u64) {
        let number = version.number;
        let replaced = std::mem::replace(&mut self.in_force, version);
        if replaced.number > 0 {
            self.previous.push_back(replaced);
        }
        if self.previous.len() > MAX_PREVIOUS_VERSIONS {
            self.previous.pop_front();
        }
        self.begin_stage(number, description, at);
    }

    fn begin_stage(&mut self, number: u64, description: String, at: u64) {
        self.stage += 1;
        if self.history.len() >= MAX_HISTORY_STEPS {
            self.history.pop_front();
        }
        self.history.push_back(RolloutStep { number, stage: self.stage, description, at });
    }

    /// The rules to act on with a lease for this stage: during a rollout the narrower of both versions, which
    /// contradicts neither.
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

    /// Whether those who act on the fallback rules of the version in force contradict the version that is
    /// being rolled out. Then each member has to confirm, also those without a lease.
    pub fn needs_everyone(&self) -> bool {
        let Some(next) = &self.next else { return false };
        let fallback = self.in_force.rules.fallback_rules();
        // Keys without an order keep the fallback's value in the narrower of both.
        fallback.narrower(&next.rules).values != fallback.values
    }

    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be written")
    }

    /// From bytes.
    ///
    /// # Errors
    /// They are no replicated state.
    pub fn read(bytes: &[u8]) -> Result<ReplicatedState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl IndexedState {
    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain values can be written")
    }

    /// From bytes.
    ///
    /// # Errors
    /// They are no replicated state with its index.
    pub fn read(bytes: &[u8]) -> Result<IndexedState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
