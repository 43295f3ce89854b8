//! Rules as key-value pairs.
//!
//! - `narrowing`: table that defines, for each key, which of two values is narrower
//! - `fallback`: rules that apply without a lease
//! - `changes`: differences between versions, and validation of a proposed version

mod changes;
mod fallback;
mod narrowing;

pub use changes::{ChangeKind, KeyChange, Objection};
pub use narrowing::{NARROWING_TABLE, NARROWING_TABLE_VERSION, Narrowing, narrowing_of};

use narrowing::narrower_values;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Value of a rule. Stored and sent: postcard numbers the variants by their order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A number.
    Number(f64),
    /// A Boolean.
    Flag(bool),
    /// A string.
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

/// A set of rules: the value of every key that must be the same on all initiators. A key that is absent
/// sets no bound.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Values by key, as in [`NARROWING_TABLE`].
    pub values: BTreeMap<String, Value>,
    /// Values that apply without a lease ([`Rules::fallback_rules`]); no version may be narrower. A key
    /// that is absent has no safe value, and operations that need it are rejected.
    pub fallback: BTreeMap<String, Value>,
}

impl Rules {
    /// Digest of the rules as this build interprets them. It includes the table version, so that builds
    /// which interpret the same rules differently are detected.
    pub fn digest(&self) -> u64 {
        let bytes =
            postcard::to_stdvec(&(NARROWING_TABLE_VERSION, self)).expect("plain data can be serialised");
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(first_bytes)
    }

    /// Keys that this build does not support because a newer build introduced them. A member with any such
    /// key confirms no stage.
    pub fn unknown_keys(&self) -> Vec<&str> {
        let keys = self.values.keys().chain(self.fallback.keys()).map(String::as_str);
        keys.filter(|key| narrowing_of(key).is_none()).collect()
    }

    /// Returns the narrower value of each key.
    pub fn narrower(&self, other: &Rules) -> Rules {
        let mut fallback = narrower_values(&self.fallback, &other.fallback);
        // A key that is absent from either set of fallback values has no safe value in the result.
        fallback.retain(|key, _| self.fallback.contains_key(key) && other.fallback.contains_key(key));
        Rules { values: narrower_values(&self.values, &other.values), fallback }
    }
}
