//! The replicated state: the version of the rules in force, the version being rolled out, and the members.
//! It depends on the committed changes only, so it is the same on every replica at the same index.
//!
//! A rollout has three stages: the version in force; the transition, in which everyone acts on the narrower
//! of both versions; the new version. Consecutive stages never contradict each other, and a stage starts
//! only after all members have left the stage before the current one ([`crate::lease_manager`]).

use crate::rules::{Objection, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Maximum size of a version's source file in bytes.
pub const MAX_TEXT_BYTES: usize = 32 << 10;
/// Maximum encoded size of a version's rules in bytes.
pub const MAX_RULES_BYTES: usize = 48 << 10;
/// Number of previous versions kept for `revert`.
const MAX_PREVIOUS_VERSIONS: usize = 4;
/// Maximum number of steps in the history.
const MAX_HISTORY_STEPS: usize = 256;
/// Maximum number of members. Further initiators are not admitted.
pub const MAX_MEMBERS: usize = 4096;

/// A version of the rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Version number, starting at 1.
    pub number: u64,
    /// The rules.
    pub rules: Rules,
    /// Text of the file that the rules were read from.
    pub text: String,
    /// Name of the person who proposed it.
    pub by: String,
    /// Time of the proposal by the proposer's clock, in microseconds since the Unix epoch.
    pub at: u64,
}

/// A rollout step in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Number of the version.
    pub number: u64,
    /// The stage that the step started.
    pub stage: u64,
    /// What happened, for operators.
    pub description: String,
    /// Time by the proposer's clock, in microseconds since the Unix epoch.
    pub at: u64,
}

/// A change of the replicated state, stored in a log entry. Postcard numbers variants and fields by their
/// order and writes no names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Proposes a version to replace the one in force.
    Propose {
        /// Number of the version in force that the proposal is based on.
        base: u64,
        /// The version. Its number is assigned when the change is applied.
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
    /// Puts the version that is being rolled out in force: every member acts on the narrower of both
    /// versions or has no lease.
    InForce {
        /// Number of the version.
        number: u64,
        /// Which members confirmed and whose leases expired, for operators.
        why: String,
        /// Time in microseconds since the Unix epoch.
        at: u64,
    },
    /// Adds an initiator to the members.
    Join(String),
    /// Removes an initiator from the members.
    Forget(String),
}

impl Change {
    /// Encodes the change for a log entry.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data can be serialised")
    }
}

/// Why a change has no effect. The text is shown to operators.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// The version to withdraw or to put in force is not being rolled out.
    #[error("version {number} is not being rolled out")]
    NotInRollout {
        /// Number of the version.
        number: u64,
    },
    /// Another version is being rolled out.
    #[error("version {number} is being rolled out: wait until it is in force or withdraw it")]
    RolloutInProgress {
        /// Number of that version.
        number: u64,
    },
    /// The proposal is based on a version that is no longer in force.
    #[error(
        "the proposal is based on version {base}, but version {in_force} is in force: \
         review the changes and propose again"
    )]
    StaleBase {
        /// The version that the proposal is based on.
        base: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The version may not replace the one in force.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Objections(Vec<Objection>),
    /// The number of members has reached [`MAX_MEMBERS`].
    #[error("the maximum of {MAX_MEMBERS} members is reached")]
    TooManyMembers,
    /// The initiator to remove is not a member.
    #[error("{name} is not a member")]
    NotAMember {
        /// Name of the initiator.
        name: String,
    },
}

/// The replicated state. Postcard encodes the fields in this order without names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Rollout stage; incremented by each rollout step.
    pub stage: u64,
    /// The version in force; its number is 0 before there is any.
    pub in_force: Version,
    /// The version that is being rolled out.
    pub next: Option<Version>,
    /// Number of the last version proposed.
    pub last_number: u64,
    /// Versions previously in force, latest last.
    pub previous: VecDeque<Version>,
    /// Rollout steps, latest last.
    pub history: VecDeque<RolloutStep>,
    /// Initiators that were granted a lease and not removed since. Only replicas use this field, and only
    /// their copies are current: a change of the members alone is not sent to other members.
    pub members: BTreeMap<String, ()>,
}

/// The replicated state with the log index it corresponds to. Stored and sent as a pair.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IndexedState {
    /// Index of the log entry that the state results from.
    pub index: u64,
    /// The replicated state.
    pub state: ReplicatedState,
}

impl ReplicatedState {
    /// Applies a committed change. Returns the number of the version concerned, or 0 if the change concerns
    /// none.
    ///
    /// # Errors
    /// The state does not allow the change and is not modified.
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
            // No version is in force yet: every initiator acts on the fallback rules of its own settings.
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

    /// Removes and returns the version that is being rolled out, if it has this number.
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

    /// Rules to act on with a lease for the current stage. During a rollout these are the narrower of both
    /// versions, which contradict neither.
    pub fn rules(&self) -> Rules {
        match &self.next {
            Some(next) => self.in_force.rules.narrower(&next.rules),
            None => self.in_force.rules.clone(),
        }
    }

    /// Digest of the current stage as this build interprets it. Members confirm a stage with it.
    pub fn digest(&self) -> u64 {
        self.rules().digest() ^ self.stage.rotate_left(32)
    }

    /// Whether the fallback rules of the version in force contradict the version being rolled out. In that
    /// case every member has to confirm, including those without a lease.
    pub fn needs_all_members(&self) -> bool {
        let Some(next) = &self.next else { return false };
        let fallback = self.in_force.rules.fallback_rules();
        // For keys without an order, the result keeps the fallback value.
        fallback.narrower(&next.rules).values != fallback.values
    }

    /// Encodes the state.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data can be serialised")
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// The bytes are not an encoded replicated state.
    pub fn read(bytes: &[u8]) -> Result<ReplicatedState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl IndexedState {
    /// Encodes the state with its index.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data can be serialised")
    }

    /// Decodes a state with its index.
    ///
    /// # Errors
    /// The bytes are not an encoded replicated state with an index.
    pub fn read(bytes: &[u8]) -> Result<IndexedState, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
