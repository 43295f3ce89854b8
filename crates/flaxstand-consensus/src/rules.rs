//! Rules as values, and the one table that says, key by key, which of two values is safe beside the other.
//! Everything that says "narrower" reads that table: what is acted on while a change is under way, what may be
//! proposed, what the floor is, and what operators are shown.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A value of a rule.
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(n) => write!(f, "{n}"),
            Value::Flag(b) => write!(f, "#{b}"),
            Value::Text(w) => write!(f, "{w:?}"),
        }
    }
}

/// Which of two values of a key is safe beside the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Narrowing {
    /// The smaller; one that is not there bounds nothing.
    Smaller,
    /// The larger; one that is not there bounds nothing.
    Larger,
    /// `#false`.
    False,
    /// `#true`.
    True,
    /// The word that comes first here.
    Earliest(&'static [&'static str]),
    /// Neither: in between, these keys have these values, by which nothing of the kind is done.
    Incompatible(&'static [(&'static str, f64)]),
    /// Both: what is best for one initiator, whatever the others think.
    Unordered,
    /// None: a change of it is not taken.
    Immutable,
}

/// The table. `*` stands for a name. `docs/agreement.md` has it with the reasons.
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

/// Numbers the table: a build with another one understands rules otherwise, and confirms none.
pub const NARROWING_TABLE_VERSION: u32 = 1;

/// The table's row for a key.
pub fn narrowing_of(key: &str) -> Option<Narrowing> {
    let mut parts = key.split('.');
    let (kind, name) = (parts.next()?, parts.next());
    let pattern = match (kind, name, key.rsplit_once('.')) {
        // A name may hold dots.
        ("class" | "plan", Some(_), _) if !has_field(key) => format!("{kind}.*"),
        ("class" | "plan", Some(_), Some((_, field))) => format!("{kind}.*.{field}"),
        _ => key.to_owned(),
    };
    NARROWING_TABLE.iter().find(|(row, _)| *row == pattern).map(|(_, narrowing_of)| *narrowing_of)
}

fn has_field(key: &str) -> bool {
    let Some((before, field)) = key.rsplit_once('.') else { return false };
    let kind = key.split('.').next().unwrap_or_default();
    before.contains('.') && NARROWING_TABLE.iter().any(|(row, _)| *row == format!("{kind}.*.{field}"))
}

/// A set of rules: every key that must be the same everywhere, with its value. What bounds nothing is not there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// By key, as in the table.
    pub values: BTreeMap<String, Value>,
    /// What no version may ever be narrower than: acted on by who is cut off. A key that is not here has no safe
    /// value, and what needs it is refused.
    pub fallback: BTreeMap<String, Value>,
}

/// What a change does to a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its value before and after.
    pub values: (Option<Value>, Option<Value>),
    /// What it means.
    pub kind: ChangeKind,
}

/// What a change of a value means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Less is allowed: acted on as soon as it is heard.
    Narrows,
    /// More is allowed: acted on once everybody has let go of the old value.
    Widens,
    /// There is no safe value between: nothing of the kind is done until it is in force.
    Blocks,
    /// It contradicts nothing.
    Unordered,
}

impl Rules {
    /// A digest of what these rules mean to this build.
    pub fn digest(&self) -> u64 {
        let bytes =
            postcard::to_stdvec(&(NARROWING_TABLE_VERSION, self)).expect("plain values can be written");
        let mut low = [0; 8];
        low.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(low)
    }

    /// Keys that the table does not know: a newer build made them. Whoever has any confirms nothing.
    pub fn unknown(&self) -> Vec<&str> {
        self.values
            .keys()
            .chain(self.fallback.keys())
            .map(String::as_str)
            .filter(|k| narrowing_of(k).is_none())
            .collect()
    }

    /// What is safe beside both: key by key, the narrower value.
    pub fn narrower(&self, other: &Rules) -> Rules {
        let mut fallback = narrow(&self.fallback, &other.fallback);
        // A key that one floor lacks has no safe value on that floor.
        fallback.retain(|key, _| self.fallback.contains_key(key) && other.fallback.contains_key(key));
        Rules { values: narrow(&self.values, &other.values), fallback }
    }

    /// What may be acted on without word from the others: the floor's values, and where it has none, values by
    /// which nothing of the kind is done.
    pub fn fallback_rules(&self) -> Rules {
        let mut values = self.values.clone();
        for (key, value) in &mut values {
            let given = self.fallback.get(key);
            *value = match (narrowing_of(key), &value) {
                (Some(Narrowing::Unordered | Narrowing::Immutable), _) | (None, _) => continue,
                _ if given.is_some() => given.cloned().expect("it was just found"),
                (Some(Narrowing::False), _) => Value::Flag(false),
                (Some(Narrowing::True), _) => Value::Flag(true),
                (Some(Narrowing::Earliest(words)), _) => Value::Text(words[0].to_owned()),
                // One attempt, and what is counted by others' count stays as it is.
                (Some(_), Value::Number(n)) if key == "site.max-attempts" => Value::Number(n.min(1.0)),
                (Some(Narrowing::Smaller), Value::Number(_))
                    if NONE_AT_ALL.iter().any(|end| key.ends_with(end)) =>
                {
                    Value::Number(0.0)
                }
                (Some(_), value) => (*value).clone(),
            };
        }
        // A plan without a limit has one on the floor: a version to come may have any.
        let plans: Vec<&String> =
            self.values.keys().filter(|k| k.starts_with("plan.") && !has_field(k)).collect();
        for plan in plans {
            for field in ["limit-rate", "limit-burst"] {
                let key = format!("{plan}.{field}");
                let value = self.fallback.get(&key).cloned().unwrap_or(Value::Number(0.0));
                values.insert(key, value);
            }
        }
        for key in ["site.budget.floor", "site.budget.ratio", "site.budget.span-ms"] {
            let given = self.fallback.get(key).cloned();
            values.entry(key.to_owned()).or_insert_with(|| given.unwrap_or(Value::Number(0.0)));
        }
        Rules { values, fallback: self.fallback.clone() }
    }

    /// Key by key, what changes from these to others.
    pub fn steps(&self, to: &Rules) -> Vec<KeyChange> {
        let middle = self.narrower(to);
        let keys: BTreeSet<&String> = self.values.keys().chain(to.values.keys()).collect();
        let mut steps = Vec::new();
        for key in keys {
            let (old, new) = (self.values.get(key), to.values.get(key));
            if old == new {
                continue;
            }
            let between = middle.values.get(key);
            let kind = match narrowing_of(key) {
                Some(Narrowing::Unordered) => ChangeKind::Unordered,
                Some(Narrowing::Incompatible(_)) => ChangeKind::Blocks,
                _ if between == new => ChangeKind::Narrows,
                _ if between == old => ChangeKind::Widens,
                _ => ChangeKind::Blocks,
            };
            steps.push(KeyChange { key: key.clone(), values: (old.cloned(), new.cloned()), kind });
        }
        steps
    }

    /// Why these may not follow others: what has no way from one to the other, or is narrower than the floor.
    pub fn objections(&self, from: &Rules) -> Vec<String> {
        let mut all: Vec<String> =
            self.unknown().iter().map(|key| format!("{key} is not known to this build")).collect();
        for step in from.steps(self) {
            if narrowing_of(&step.key) == Some(Narrowing::Immutable) {
                all.push(format!(
                    "{} can't be changed while initiators run: narrow it by its other keys, or start all anew",
                    step.key
                ));
            }
        }
        for (key, low) in &self.fallback {
            let Some(value) = self.values.get(key) else { continue };
            if narrower_of(narrowing_of(key), low, value) != Some(low) {
                all.push(format!(
                    "{key} is {value}, narrower than the floor's {low}: change the floor first"
                ));
            }
        }
        all
    }
}

/// Of these, no value at all is what a floor has that does not say.
const NONE_AT_ALL: [&str; 6] =
    ["limit-rate", "limit-burst", "fall-multiple", "bears-units", "budget.floor", "budget.ratio"];

fn narrower_of<'a>(narrowing_of: Option<Narrowing>, a: &'a Value, b: &'a Value) -> Option<&'a Value> {
    let place = |words: &[&str], v: &Value| match v {
        Value::Text(w) => words.iter().position(|x| x == w).unwrap_or(0),
        _ => 0,
    };
    match (narrowing_of?, a, b) {
        // Of two windows either does, as long as all take the same: nothing is done by it in between.
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

fn narrow(a: &BTreeMap<String, Value>, b: &BTreeMap<String, Value>) -> BTreeMap<String, Value> {
    let mut out = BTreeMap::new();
    for key in a.keys().chain(b.keys()) {
        let value = match (a.get(key), b.get(key)) {
            (Some(x), Some(y)) => narrower_of(narrowing_of(key), x, y).unwrap_or(x),
            (Some(x), None) | (None, Some(x)) => x,
            (None, None) => continue,
        };
        out.insert(key.clone(), value.clone());
    }
    for (key, narrowing_of) in NARROWING_TABLE {
        if let Narrowing::Incompatible(instead) = narrowing_of
            && a.get(*key) != b.get(*key)
        {
            out.extend(instead.iter().map(|(k, v)| ((*k).to_owned(), Value::Number(*v))));
        }
    }
    out
}
