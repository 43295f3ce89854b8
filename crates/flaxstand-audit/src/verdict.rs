//! What an audit found.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// What is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// 1: no request is lost.
    Answers,
    /// 2: no effect happens twice.
    Effects,
    /// 3: drains are kept.
    Drains,
    /// 4: a cold target is not pushed over.
    Cold,
    /// 5: order is kept.
    Order,
    /// 6: further attempts stay within a budget.
    Budget,
    /// 7: limits are kept.
    Limits,
    /// Reads return what was written. No rule of its own, and no less binding.
    Data,
    /// What was acknowledged as buffered reaches its node, in order about each barrier.
    #[serde(rename = "Promises")]
    Durability,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answers => "1 no request lost",
            Rule::Effects => "2 no effect twice",
            Rule::Drains => "3 drains kept",
            Rule::Cold => "4 cold nodes spared",
            Rule::Order => "5 order kept",
            Rule::Budget => "6 budget of attempts",
            Rule::Limits => "7 limits kept",
            Rule::Data => "  data as written",
            Rule::Durability => "  promises of the buffer",
        })
    }
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at: u64,
    /// What the client wanted done, where one request is concerned.
    pub op: Option<u64>,
    /// Which node, where one is concerned.
    pub node: Option<u64>,
    /// How.
    pub how: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {}: at {:.3} s", self.rule, self.at as f64 / 1e6)?;
        if let Some(op) = self.op {
            write!(f, ", operation {op}")?;
        }
        if let Some(node) = self.node {
            write!(f, ", node {node}")?;
        }
        write!(f, ": {}", self.how)
    }
}

/// What an audit found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How many things each rule was asked of.
    pub checked: BTreeMap<String, u64>,
    /// Every breach.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// No rule was broken.
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

impl Verdict {
    pub(crate) fn checked(&mut self, rule: Rule, count: usize) {
        *self.checked.entry(rule.to_string()).or_default() += count as u64;
    }
    pub(crate) fn breach(
        &mut self,
        rule: Rule,
        at: u64,
        op: Option<u64>,
        node: Option<u64>,
        how: impl Into<String>,
    ) {
        self.breaches.push(Breach { rule, at, op, node, how: how.into() });
    }
}
