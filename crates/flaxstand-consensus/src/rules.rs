//! The rules as values by key.
//!
//! - `narrowing`: the one table that says, key by key, which of two values is narrower
//! - `fallback`: what is acted on without a lease
//! - `changes`: what a proposal changes, and why it may not follow the version in force

mod changes;
mod fallback;
mod narrowing;

pub use changes::{ChangeKind, KeyChange, Objection};
pub use narrowing::{NARROWING_TABLE, NARROWING_TABLE_VERSION, Narrowing, narrowing_of};

use narrowing::narrower_values;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A value of a rule. Stored and sent: postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A number.
    Number(f64),
    /// True or false.
    Flag(bool),
    /// A word.
    Text(String),
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(number) => write!(formatter, "{number}"),
            Value::Flag(flag) => write!(formatter, "#{flag}"),
            Value::Text(text) => write!(formatter, "{text:?}"),
        }
    }
}

/// A set of rules: every key that must be the same on all initiators, with its value. What bounds nothing is
/// absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// By key, as in [`NARROWING_TABLE`].
    pub values: BTreeMap<String, Value>,
    /// What no version may be narrower than: acted on without a lease ([`Rules::fallback_rules`]). A key that
    /// is absent has no safe value, and what needs it is refused.
    pub fallback: BTreeMap<String, Value>,
}

impl Rules {
    /// A digest of what these rules mean to this build. Guards against two builds that read the same rules
    /// otherwise: the table's version is part of it.
    pub fn digest(&self) -> u64 {
        let bytes =
            postcard::to_stdvec(&(NARROWING_TABLE_VERSION, self)).expect("plain values can be written");
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(first_bytes)
    }

    /// Keys that this build does not know: a newer one made them. A member that has any confirms nothing.
    pub fn unknown_keys(&self) -> Vec<&str> {
        let keys = self.values.keys().chain(self.fallback.keys()).map(String::as_str);
        keys.filter(|key| narrowing_of(key).is_none()).collect()
    }

    /// Key by key the narrower value of both rules.
    pub fn narrower(&self, other: &Rules) -> Rules {
        let mut fallback = narrower_values(&self.fallback, &other.fallback);
        // A key that is absent from either fallback has no safe value there.
        fallback.retain(|key, _| self.fallback.contains_key(key) && other.fallback.contains_key(key));
        Rules { values: narrower_values(&self.values, &other.values), fallback }
    }
}
