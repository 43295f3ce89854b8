//! What a proposed version changes, and why it may not follow the one in force.

use super::narrowing::{narrower_value, narrowing_of};
use super::{Narrowing, Rules, Value};
use std::collections::BTreeSet;
use thiserror::Error;

/// What a proposal does to a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its value now; none: it is absent and bounds nothing.
    pub before: Option<Value>,
    /// Its value in the proposal.
    pub after: Option<Value>,
    /// What the change means for the rollout.
    pub kind: ChangeKind,
}

/// What a change of a value means for the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Less is allowed: acted on as soon as an initiator has the version.
    Narrows,
    /// More is allowed: acted on once nobody acts on the old value any more.
    Widens,
    /// There is no value between that both allow: the key has no effect until the version is in force.
    Blocks,
    /// It contradicts nothing.
    Unordered,
}

/// Why rules may not follow others. Its text is shown to operators.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Objection {
    /// A newer build made the key.
    #[error("{key} is not known to this build")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// There is no way from the old value to the new one.
    #[error("{key} can't be changed while initiators run: narrow it by its other keys, or start all anew")]
    ImmutableKey {
        /// The key.
        key: String,
    },
    /// Initiators without a lease would contradict the version.
    #[error("{key} is {value}, narrower than the floor's {fallback}: change the floor first")]
    NarrowerThanFallback {
        /// The key.
        key: String,
        /// Its value in the version.
        value: Value,
        /// Its fallback value.
        fallback: Value,
    },
}

impl Rules {
    /// Key by key, what changes from these rules to `to`.
    pub fn changes(&self, to: &Rules) -> Vec<KeyChange> {
        let transition = self.narrower(to);
        let keys: BTreeSet<&String> = self.values.keys().chain(to.values.keys()).collect();
        let mut changes = Vec::new();
        for key in keys {
            let (before, after) = (self.values.get(key), to.values.get(key));
            if before == after {
                continue;
            }
            let between = transition.values.get(key);
            let kind = match narrowing_of(key) {
                Some(Narrowing::Unordered) => ChangeKind::Unordered,
                Some(Narrowing::Incompatible(_)) => ChangeKind::Blocks,
                _ if between == after => ChangeKind::Narrows,
                _ if between == before => ChangeKind::Widens,
                _ => ChangeKind::Blocks,
            };
            let (before, after) = (before.cloned(), after.cloned());
            changes.push(KeyChange { key: key.clone(), before, after, kind });
        }
        changes
    }

    /// Why these rules may not follow `from`; empty: they may.
    pub fn objections(&self, from: &Rules) -> Vec<Objection> {
        let unknown = self.unknown_keys().into_iter();
        let mut objections: Vec<Objection> =
            unknown.map(|key| Objection::UnknownKey { key: key.to_owned() }).collect();
        for change in from.changes(self) {
            if narrowing_of(&change.key) == Some(Narrowing::Immutable) {
                objections.push(Objection::ImmutableKey { key: change.key });
            }
        }
        for (key, fallback) in &self.fallback {
            let Some(value) = self.values.get(key) else { continue };
            if narrower_value(narrowing_of(key), fallback, value) != Some(fallback) {
                objections.push(Objection::NarrowerThanFallback {
                    key: key.clone(),
                    value: value.clone(),
                    fallback: fallback.clone(),
                });
            }
        }
        objections
    }
}
