//! Defines which of two values of a rule is narrower, that is, allows no more than the other.
//! [`NARROWING_TABLE`] is the only source for this order: the transition rules of a rollout, the validation
//! of proposals, the fallback rules and the output for operators all use it.

use super::Value;
use std::collections::BTreeMap;

/// Order of the values of a key: which of two is narrower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Narrowing {
    /// The smaller number is narrower; an absent value sets no bound.
    Smaller,
    /// The larger number is narrower; an absent value sets no bound.
    Larger,
    /// `#false` is narrower.
    False,
    /// `#true` is narrower.
    True,
    /// The string that comes first in this list is narrower.
    Earliest(&'static [&'static str]),
    /// Neither value is narrower. During a rollout these keys get these values, which disable the feature
    /// that uses the key.
    Incompatible(&'static [(&'static str, f64)]),
    /// Either value is acceptable: each initiator chooses its own, and different values do not contradict
    /// each other.
    Unordered,
    /// The value can't be changed; a proposal that changes it is rejected.
    Immutable,
}

/// Order of the values by key; `*` stands for a name. `docs/agreement.md` lists it with the reasons.
pub const NARROWING_TABLE: &[(&str, Narrowing)] = &[
    ("site.initiators", Narrowing::Larger),
    ("site.list", Narrowing::Immutable),
    ("site.ask-within-ms", Narrowing::Smaller),
    ("site.max-attempts", Narrowing::Smaller),
    ("site.second-copies", Narrowing::False),
    ("site.cancel", Narrowing::False),
    ("site.probes", Narrowing::False),
    ("site.retry-after-most-ms", Narrowing::Unordered),
    ("site.unit-mean", Narrowing::Unordered),
    ("site.unit-most", Narrowing::Smaller),
    ("site.share-worth", Narrowing::Unordered),
    ("site.spare-worth", Narrowing::Unordered),
    ("site.key-rest-ms", Narrowing::Larger),
    ("site.drain-grace-ms", Narrowing::Smaller),
    ("site.tick-ms", Narrowing::Unordered),
    ("site.cold.from", Narrowing::Smaller),
    ("site.cold.warm-ms", Narrowing::Larger),
    ("site.cold.fall-multiple", Narrowing::Smaller),
    // Windows of different lengths: a limit in one does not bound what the other counts.
    (
        "site.cold.fall-ms",
        Narrowing::Incompatible(&[("site.cold.fall-multiple", 0.0), ("site.cold.bears-units", 0.0)]),
    ),
    ("site.cold.bears-units", Narrowing::Smaller),
    ("site.budget.floor", Narrowing::Smaller),
    ("site.budget.ratio", Narrowing::Smaller),
    (
        "site.budget.span-ms",
        Narrowing::Incompatible(&[("site.budget.floor", 0.0), ("site.budget.ratio", 0.0)]),
    ),
    // Clients refer to classes by number: adding, removing or moving one would change which class a number
    // refers to.
    ("class.*", Narrowing::Immutable),
    ("class.*.effect", Narrowing::Earliest(&["once", "keyed", "repeatable"])),
    ("class.*.group", Narrowing::Earliest(&["shard", "zone", "all"])),
    ("class.*.window-ms", Narrowing::Smaller),
    ("class.*.aim-ms", Narrowing::Unordered),
    ("class.*.aim-stretch", Narrowing::Unordered),
    ("class.*.deadline-ms", Narrowing::Unordered),
    ("class.*.worth", Narrowing::Unordered),
    ("class.*.late-value", Narrowing::Unordered),
    ("class.*.in-order", Narrowing::True),
    ("class.*.stream", Narrowing::Immutable),
    ("class.*.buffered", Narrowing::Immutable),
    ("plan.*", Narrowing::Immutable),
    ("plan.*.base-rate", Narrowing::Unordered),
    ("plan.*.reserve-rate", Narrowing::Unordered),
    ("plan.*.limit-rate", Narrowing::Smaller),
    ("plan.*.limit-burst", Narrowing::Smaller),
    ("plan.*.limit-slack", Narrowing::Smaller),
    ("plan.*.price", Narrowing::Unordered),
];

/// Included in each digest of rules: a build with a different table interprets rules differently and must
/// not confirm them. Increment with each change of [`NARROWING_TABLE`].
pub const NARROWING_TABLE_VERSION: u32 = 1;

/// Looks up the table row for a key; `None` if this build does not support the key.
pub fn narrowing_of(key: &str) -> Option<Narrowing> {
    let mut parts = key.split('.');
    let (kind, name) = (parts.next()?, parts.next());
    let pattern = match (kind, name, key.rsplit_once('.')) {
        // Names may contain dots.
        ("class" | "plan", Some(_), _) if !has_field(key) => format!("{kind}.*"),
        ("class" | "plan", Some(_), Some((_, field))) => format!("{kind}.*.{field}"),
        _ => key.to_owned(),
    };
    let row = NARROWING_TABLE.iter().find(|(row_key, _)| *row_key == pattern);
    row.map(|(_, narrowing)| *narrowing)
}

/// Whether the key of a class or plan ends in a field name, as opposed to a bare class or plan.
pub(super) fn has_field(key: &str) -> bool {
    let Some((before, field)) = key.rsplit_once('.') else { return false };
    let kind = key.split('.').next().unwrap_or_default();
    before.contains('.') && NARROWING_TABLE.iter().any(|(row, _)| *row == format!("{kind}.*.{field}"))
}

/// Returns the narrower of two values of a key; `None` if this build does not support the key.
pub(super) fn narrower_value<'a>(
    narrowing: Option<Narrowing>,
    a: &'a Value,
    b: &'a Value,
) -> Option<&'a Value> {
    let rank = |order: &[&str], value: &Value| match value {
        Value::Text(text) => order.iter().position(|entry| entry == text).unwrap_or(0),
        _ => 0,
    };
    match (narrowing?, a, b) {
        // For incompatible values either one will do, as long as all initiators choose the same: it has no
        // effect during the rollout.
        (Narrowing::Smaller | Narrowing::Incompatible(_), Value::Number(x), Value::Number(y)) => {
            Some(if x <= y { a } else { b })
        }
        (Narrowing::Larger, Value::Number(x), Value::Number(y)) => Some(if x >= y { a } else { b }),
        (Narrowing::False, Value::Flag(x), _) => Some(if *x { b } else { a }),
        (Narrowing::True, Value::Flag(x), _) => Some(if *x { a } else { b }),
        (Narrowing::Earliest(order), ..) => Some(if rank(order, a) <= rank(order, b) { a } else { b }),
        _ => Some(a),
    }
}

/// Returns the narrower value of each key. The result contradicts neither set of values.
pub(super) fn narrower_values(
    a: &BTreeMap<String, Value>,
    b: &BTreeMap<String, Value>,
) -> BTreeMap<String, Value> {
    let mut narrower = BTreeMap::new();
    for key in a.keys().chain(b.keys()) {
        let value = match (a.get(key), b.get(key)) {
            (Some(x), Some(y)) => narrower_value(narrowing_of(key), x, y).unwrap_or(x),
            (Some(x), None) | (None, Some(x)) => x,
            (None, None) => continue,
        };
        narrower.insert(key.clone(), value.clone());
    }
    for (key, narrowing) in NARROWING_TABLE {
        if let Narrowing::Incompatible(without_effect) = narrowing
            && a.get(*key) != b.get(*key)
        {
            let values = without_effect.iter();
            narrower.extend(values.map(|(key, value)| ((*key).to_owned(), Value::Number(*value))));
        }
    }
    narrower
}
