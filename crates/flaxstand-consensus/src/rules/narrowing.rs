//! Which of two values of a rule is narrower: allows no more than the other does. All that says "narrower"
//! reads [`NARROWING_TABLE`]: what is acted on while a version is rolled out, what may be proposed, the
//! fallback rules, and what operators are shown.

use super::Value;
use std::collections::BTreeMap;

/// Which of two values of a key is the narrower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Narrowing {
    /// The smaller number; one that is absent bounds nothing.
    Smaller,
    /// The larger number; one that is absent bounds nothing.
    Larger,
    /// `#false`.
    False,
    /// `#true`.
    True,
    /// The word that comes first in this list.
    Earliest(&'static [&'static str]),
    /// Neither. While the change is rolled out these keys have these values, with which the key has no
    /// effect.
    Incompatible(&'static [(&'static str, f64)]),
    /// Both: it is each initiator's own choice and contradicts nothing.
    Unordered,
    /// None: a change of it is rejected.
    Immutable,
}

/// The table, by key; `*` stands for a name. `docs/agreement.md` has it with the reasons.
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
    // Two windows of different length: neither bounds what the other counts.
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
    // Clients number them: one that is new, gone or elsewhere would be taken for another.
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

/// Part of each digest of rules: a build with another table understands rules otherwise and confirms none.
/// One more with each change of [`NARROWING_TABLE`].
pub const NARROWING_TABLE_VERSION: u32 = 1;

/// The table's row for a key; none: this build does not know the key.
pub fn narrowing_of(key: &str) -> Option<Narrowing> {
    let mut parts = key.split('.');
    let (kind, name) = (parts.next()?, parts.next());
    let pattern = match (kind, name, key.rsplit_once('.')) {
        // A name may hold dots.
        ("class" | "plan", Some(_), _) if !has_field(key) => format!("{kind}.*"),
        ("class" | "plan", Some(_), Some((_, field))) => format!("{kind}.*.{field}"),
        _ => key.to_owned(),
    };
    let row = NARROWING_TABLE.iter().find(|(row_key, _)| *row_key == pattern);
    row.map(|(_, narrowing)| *narrowing)
}

/// Whether a key of a class or plan ends in one of its fields, and is not its bare name.
pub(super) fn has_field(key: &str) -> bool {
    let Some((before, field)) = key.rsplit_once('.') else { return false };
    let kind = key.split('.').next().unwrap_or_default();
    before.contains('.') && NARROWING_TABLE.iter().any(|(row, _)| *row == format!("{kind}.*.{field}"))
}

/// The narrower of two values of a key; none: this build does not know the key.
pub(super) fn narrower_value<'a>(
    narrowing: Option<Narrowing>,
    a: &'a Value,
    b: &'a Value,
) -> Option<&'a Value> {
    let place = |words: &[&str], value: &Value| match value {
        Value::Text(text) => words.iter().position(|word| word == text).unwrap_or(0),
        _ => 0,
    };
    match (narrowing?, a, b) {
        // Of two incompatible values either does, as long as all take the same: it has no effect meanwhile.
        (Narrowing::Smaller | Narrowing::Incompatible(_), Value::Number(x), Value::Number(y)) => {
            Some(if x <= y { a } else { b })
        }
        (Narrowing::Larger, Value::Number(x), Value::Number(y)) => Some(if x >= y { a } else { b }),
        (Narrowing::False, Value::Flag(x), _) => Some(if *x { b } else { a }),
        (Narrowing::True, Value::Flag(x), _) => Some(if *x { a } else { b }),
        (Narrowing::Earliest(words), ..) => Some(if place(words, a) <= place(words, b) { a } else { b }),
        _ => Some(a),
    }
}

/// Key by key the narrower of two sets of values. Whoever acts on the result contradicts nobody who acts on
/// either.
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
