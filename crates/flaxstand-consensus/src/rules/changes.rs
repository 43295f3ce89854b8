//! Differences between a proposed version and the one in force, and validation of the proposal.

use super::narrowing::{narrower_value, narrowing_of};
use super::{Narrowing, Rules, Value};
use std::collections::BTreeSet;
use thiserror::Error;

/// Change of a key by a proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Current value; `None` if the key is absent and sets no bound.
    pub before: Option<Value>,
    /// Proposed value.
    pub after: Option<Value>,
    /// Effect of the change on the rollout.
    pub kind: ChangeKind,
}

/// Effect of a change on the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The new value allows less. It takes effect on each initiator as soon as it receives the version.
    Narrows,
    /// The new value allows more. It takes effect once no initiator acts on the old value.
    Widens,
    /// No value is compatible with both. The key has no effect until the version is in force.
    Blocks,
    /// Old and new value do not contradict each other.
    Unordered,
}

/// Why a version may not replace another. The text is shown to operators.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Objection {
    /// A newer build introduced the key.
    #[error("this build does not support the key {key}")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// No transition from the old value to the new one exists.
    #[error(
        "{key} can't be changed while initiators run: narrow it through its other keys or restart all of them"
    )]
    ImmutableKey {
        /// The key.
        key: String,
    },
    /// Initiators without a lease would contradict the version.
    #[error("{key} is {value}, narrower than the floor's {fallback}: change the floor first")]
    NarrowerThanFallback {
        /// The key.
        key: String,
        /// Value in the version.
        value: Value,
        /// Its fallback value.
        fallback: Value,
    },
}

impl Rules {
    /// Lists the keys whose values differ between these rules and `to`.
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

    /// Lists the reasons why these rules may not replace `from`; empty if they may.
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
