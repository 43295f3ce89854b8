//! The result of an audit.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A rule that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// 1: each request gets one final answer in time.
    Answers,
    /// 2: no request is executed more often than its class allows.
    Effects,
    /// 3: no attempt is sent to a node that is draining or removed.
    Drains,
    /// 4: a node that is warming up is not overloaded.
    #[serde(rename = "Cold")]
    SlowStart,
    /// 5: requests of an ordered key are executed in the order of submission.
    Order,
    /// 6: retries stay within the retry budget.
    #[serde(rename = "Budget")]
    RetryBudget,
    /// 7: volumes stay within the rate limits of their plans.
    Limits,
    /// Reads return the data that was written. It is not one of the numbered rules but is just as binding.
    Data,
    /// Acknowledged buffered writes reach their nodes, in order with respect to each barrier.
    #[serde(rename = "Promises")]
    Durability,
}

/// The texts are keys of [`Verdict::checked`] and part of stored reports.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answers => "1 no request lost",
            Rule::Effects => "2 no effect twice",
            Rule::Drains => "3 drains kept",
            Rule::SlowStart => "4 cold nodes spared",
            Rule::Order => "5 order kept",
            Rule::RetryBudget => "6 budget of attempts",
            Rule::Limits => "7 limits kept",
            Rule::Data => "  data as written",
            Rule::Durability => "  promises of the buffer",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The violated rule.
    pub rule: Rule,
    /// When it was violated, in microseconds.
    pub at: u64,
    /// The operation, if the breach concerns a single one.
    pub op: Option<u64>,
    /// The node, if the breach concerns a single one.
    pub node: Option<u64>,
    /// Description of the violation.
    #[serde(rename = "how")]
    pub description: String,
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
        write!(f, ": {}", self.description)
    }
}

/// The result of an audit.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Number of cases examined, by the rule's text.
    pub checked: BTreeMap<String, u64>,
    /// All breaches in time order.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// Whether the audit found no breach.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty()
    }
}

impl Verdict {
    /// Adds to the number of cases that were examined for a rule.
    pub(crate) fn count_checked(&mut self, rule: Rule, count: usize) {
        *self.checked.entry(rule.to_string()).or_default() += count as u64;
    }

    /// Adds a breach.
    pub(crate) fn report_breach(
        &mut self,
        rule: Rule,
        at: u64,
        op: Option<u64>,
        node: Option<u64>,
        description: impl Into<String>,
    ) {
        self.breaches.push(Breach { rule, at, op, node, description: description.into() });
    }
}
