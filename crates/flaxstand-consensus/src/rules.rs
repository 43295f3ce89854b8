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
    Word(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(n) => write!(f, "{n}"),
            Value::Flag(b) => write!(f, "#{b}"),
            Value::Word(w) => write!(f, "{w:?}"),
        }
    }
}

/// Which of two values of a key is safe beside the other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Safe {
    /// The smaller; one that is not there bounds nothing.
    Least,
    /// The larger; one that is not there bounds nothing.
    Most,
    /// `#false`.
    Off,
    /// `#true`.
    On,
    /// The word that comes first here.
    First(&'static [&'static str]),
    /// Neither: in between, these keys have these values, by which nothing of the kind is done.
    Neither(&'static [(&'static str, f64)]),
    /// Both: what is best for one initiator, whatever the others think.
    Both,
    /// None: a change of it is not taken.
    Fixed,
}

/// The table. `*` stands for a name. `docs/agreement.md` has it with the reasons.
pub const TABLE: &[(&str, Safe)] = &[
    ("site.initiators", Safe::Most),
    ("site.list", Safe::Fixed),
    ("site.ask-within-ms", Safe::Least),
    ("site.max-attempts", Safe::Least),
    ("site.second-copies", Safe::Off),
    ("site.cancel", Safe::Off),
    ("site.probes", Safe::Off),
    ("site.retry-after-most-ms", Safe::Both),
    ("site.unit-mean", Safe::Both),
    ("site.unit-most", Safe::Least),
    ("site.share-worth", Safe::Both),
    ("site.spare-worth", Safe::Both),
    ("site.key-rest-ms", Safe::Most),
    ("site.drain-grace-ms", Safe::Least),
    ("site.tick-ms", Safe::Both),
    ("site.cold.from", Safe::Least),
    ("site.cold.warm-ms", Safe::Most),
    ("site.cold.fall-multiple", Safe::Least),
    // Two windows of different length: neither bounds what the other counts.
    ("site.cold.fall-ms", Safe::Neither(&[("site.cold.fall-multiple", 0.0), ("site.cold.bears-units", 0.0)])),
    ("site.cold.bears-units", Safe::Least),
    ("site.budget.floor", Safe::Least),
    ("site.budget.ratio", Safe::Least),
    ("site.budget.span-ms", Safe::Neither(&[("site.budget.floor", 0.0), ("site.budget.ratio", 0.0)])),
    // Clients number them: one that is new, gone or elsewhere would be taken for another.
    ("class.*", Safe::Fixed),
    ("class.*.effect", Safe::First(&["once", "keyed", "repeatable"])),
    ("class.*.group", Safe::First(&["shard", "zone", "all"])),
    ("class.*.window-ms", Safe::Least),
    ("class.*.aim-ms", Safe::Both),
    ("class.*.aim-stretch", Safe::Both),
    ("class.*.deadline-ms", Safe::Both),
    ("class.*.worth", Safe::Both),
    ("class.*.late-value", Safe::Both),
    ("class.*.in-order", Safe::On),
    ("class.*.stream", Safe::Fixed),
    ("class.*.buffered", Safe::Fixed),
    ("plan.*", Safe::Fixed),
    ("plan.*.base-rate", Safe::Both),
    ("plan.*.reserve-rate", Safe::Both),
    ("plan.*.limit-rate", Safe::Least),
    ("plan.*.limit-burst", Safe::Least),
    ("plan.*.limit-slack", Safe::Least),
    ("plan.*.price", Safe::Both),
];

/// Numbers the table: a build with another one understands rules otherwise, and confirms none.
pub const TABLE_VERSION: u32 = 1;

/// The table's row for a key.
pub fn safe(key: &str) -> Option<Safe> {
    let mut parts = key.split('.');
    let (kind, name) = (parts.next()?, parts.next());
    let pattern = match (kind, name, key.rsplit_once('.')) {
        // A name may hold dots.
        ("class" | "plan", Some(_), _) if !has_field(key) => format!("{kind}.*"),
        ("class" | "plan", Some(_), Some((_, field))) => format!("{kind}.*.{field}"),
        _ => key.to_owned(),
    };
    TABLE.iter().find(|(row, _)| *row == pattern).map(|(_, safe)| *safe)
}

fn has_field(key: &str) -> bool {
    let Some((before, field)) = key.rsplit_once('.') else { return false };
    let kind = key.split('.').next().unwrap_or_default();
    before.contains('.') && TABLE.iter().any(|(row, _)| *row == format!("{kind}.*.{field}"))
}

/// A set of rules: every key that must be the same everywhere, with its value. What bounds nothing is not there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// By key, as in the table.
    pub values: BTreeMap<String, Value>,
    /// What no version may ever be narrower than: acted on by who is cut off. A key that is not here has no safe
    /// value, and what needs it is refused.
    pub floor: BTreeMap<String, Value>,
}

/// What a change does to a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The key.
    pub key: String,
    /// Its value before and after.
    pub values: (Option<Value>, Option<Value>),
    /// What it means.
    pub meaning: Meaning,
}

/// What a change of a value means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// Less is allowed: acted on as soon as it is heard.
    Narrows,
    /// More is allowed: acted on once everybody has let go of the old value.
    Widens,
    /// There is no safe value between: nothing of the kind is done until it is in force.
    Waits,
    /// It contradicts nothing.
    Free,
}

impl Rules {
    /// A digest of what these rules mean to this build.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(&(TABLE_VERSION, self)).expect("plain values can be written");
        let mut low = [0; 8];
        low.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(low)
    }

    /// Keys that the table does not know: a newer build made them. Whoever has any confirms nothing.
    pub fn unknown(&self) -> Vec<&str> {
        self.values
            .keys()
            .chain(self.floor.keys())
            .map(String::as_str)
            .filter(|k| safe(k).is_none())
            .collect()
    }

    /// What is safe beside both: key by key, the narrower value.
    pub fn narrower(&self, other: &Rules) -> Rules {
        let mut floor = narrow(&self.floor, &other.floor);
        // A key that one floor lacks has no safe value on that floor.
        floor.retain(|key, _| self.floor.contains_key(key) && other.floor.contains_key(key));
        Rules { values: narrow(&self.values, &other.values), floor }
    }

    /// What may be acted on without word from the others: the floor's values, and where it has none, values by
    /// which nothing of the kind is done.
    pub fn on_floor(&self) -> Rules {
        let mut values = self.values.clone();
        for (key, value) in &mut values {
            let given = self.floor.get(key);
            *value = match (safe(key), &value) {
                (Some(Safe::Both | Safe::Fixed), _) | (None, _) => continue,
                _ if given.is_some() => given.cloned().expect("it was just found"),
                (Some(Safe::Off), _) => Value::Flag(false),
                (Some(Safe::On), _) => Value::Flag(true),
                (Some(Safe::First(words)), _) => Value::Word(words[0].to_owned()),
                // One attempt, and what is counted by others' count stays as it is.
                (Some(_), Value::Number(n)) if key == "site.max-attempts" => Value::Number(n.min(1.0)),
                (Some(Safe::Least), Value::Number(_)) if NONE_AT_ALL.iter().any(|end| key.ends_with(end)) => {
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
                let value = self.floor.get(&key).cloned().unwrap_or(Value::Number(0.0));
                values.insert(key, value);
            }
        }
        for key in ["site.budget.floor", "site.budget.ratio", "site.budget.span-ms"] {
            let given = self.floor.get(key).cloned();
            values.entry(key.to_owned()).or_insert_with(|| given.unwrap_or(Value::Number(0.0)));
        }
        Rules { values, floor: self.floor.clone() }
    }

    /// Key by key, what changes from these to others.
    pub fn steps(&self, to: &Rules) -> Vec<Step> {
        let middle = self.narrower(to);
        let keys: BTreeSet<&String> = self.values.keys().chain(to.values.keys()).collect();
        let mut steps = Vec::new();
        for key in keys {
            let (old, new) = (self.values.get(key), to.values.get(key));
            if old == new {
                continue;
            }
            let between = middle.values.get(key);
            let meaning = match safe(key) {
                Some(Safe::Both) => Meaning::Free,
                Some(Safe::Neither(_)) => Meaning::Waits,
                _ if between == new => Meaning::Narrows,
                _ if between == old => Meaning::Widens,
                _ => Meaning::Waits,
            };
            steps.push(Step { key: key.clone(), values: (old.cloned(), new.cloned()), meaning });
        }
        steps
    }

    /// Why these may not follow others: what has no way from one to the other, or is narrower than the floor.
    pub fn objections(&self, from: &Rules) -> Vec<String> {
        let mut all: Vec<String> =
            self.unknown().iter().map(|key| format!("{key} is not known to this build")).collect();
        for step in from.steps(self) {
            if safe(&step.key) == Some(Safe::Fixed) {
                all.push(format!(
                    "{} can't be changed while initiators run: narrow it by its other keys, or start all anew",
                    step.key
                ));
            }
        }
        for (key, low) in &self.floor {
            let Some(value) = self.values.get(key) else { continue };
            if narrower_of(safe(key), low, value) != Some(low) {
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

fn narrower_of<'a>(safe: Option<Safe>, a: &'a Value, b: &'a Value) -> Option<&'a Value> {
    let place = |words: &[&str], v: &Value| match v {
        Value::Word(w) => words.iter().position(|x| x == w).unwrap_or(0),
        _ => 0,
    };
    match (safe?, a, b) {
        // Of two windows either does, as long as all take the same: nothing is done by it in between.
        (Safe::Least | Safe::Neither(_), Value::Number(x), Value::Number(y)) => {
            Some(if x <= y { a } else { b })
        }
        (Safe::Most, Value::Number(x), Value::Number(y)) => Some(if x >= y { a } else { b }),
        (Safe::Off, Value::Flag(x), _) => Some(if *x { b } else { a }),
        (Safe::On, Value::Flag(x), _) => Some(if *x { a } else { b }),
        (Safe::First(words), ..) => Some(if place(words, a) <= place(words, b) { a } else { b }),
        _ => Some(a),
    }
}

fn narrow(a: &BTreeMap<String, Value>, b: &BTreeMap<String, Value>) -> BTreeMap<String, Value> {
    let mut out = BTreeMap::new();
    for key in a.keys().chain(b.keys()) {
        let value = match (a.get(key), b.get(key)) {
            (Some(x), Some(y)) => narrower_of(safe(key), x, y).unwrap_or(x),
            (Some(x), None) | (None, Some(x)) => x,
            (None, None) => continue,
        };
        out.insert(key.clone(), value.clone());
    }
    for (key, safe) in TABLE {
        if let Safe::Neither(instead) = safe
            && a.get(*key) != b.get(*key)
        {
            out.extend(instead.iter().map(|(k, v)| ((*k).to_owned(), Value::Number(*v))));
        }
    }
    out
}
