//! Fallback rules: the rules that an initiator without a lease acts on.

use super::narrowing::{has_field, narrowing_of};
use super::{Narrowing, Rules, Value};
use std::collections::BTreeMap;

/// Suffixes of keys whose fallback is 0 if none is configured, which disables the feature concerned.
const ZERO_WITHOUT_FALLBACK: [&str; 6] =
    ["limit-rate", "limit-burst", "fall-multiple", "bears-units", "budget.floor", "budget.ratio"];

impl Rules {
    /// Rules that apply without a lease: the configured fallback values and, for keys without one, values
    /// that disable the feature concerned. No version may be narrower ([`Rules::objections`]), so they
    /// contradict no initiator that holds a lease.
    pub fn fallback_rules(&self) -> Rules {
        let mut values: BTreeMap<String, Value> = self
            .values
            .iter()
            .map(|(key, value)| (key.clone(), fallback_value(key, value, self.fallback.get(key))))
            .collect();
        // A plan without a limit also gets one here, because a later version may introduce any limit.
        let is_plan = |key: &&String| key.starts_with("plan.") && !has_field(key);
        for plan in self.values.keys().filter(is_plan) {
            for field in ["limit-rate", "limit-burst"] {
                let key = format!("{plan}.{field}");
                let value = self.fallback_or_zero(&key);
                values.insert(key, value);
            }
        }
        for key in ["site.budget.floor", "site.budget.ratio", "site.budget.span-ms"] {
            values.entry(key.to_owned()).or_insert_with(|| self.fallback_or_zero(key));
        }
        Rules { values, fallback: self.fallback.clone() }
    }

    fn fallback_or_zero(&self, key: &str) -> Value {
        self.fallback.get(key).cloned().unwrap_or(Value::Number(0.0))
    }
}

/// Fallback value of a key, given its value in force and the configured fallback, if any.
fn fallback_value(key: &str, in_force: &Value, stated: Option<&Value>) -> Value {
    let Some(narrowing) = narrowing_of(key) else { return in_force.clone() };
    if matches!(narrowing, Narrowing::Unordered | Narrowing::Immutable) {
        return in_force.clone();
    }
    if let Some(stated) = stated {
        return stated.clone();
    }
    match (narrowing, in_force) {
        (Narrowing::False, _) => Value::Flag(false),
        (Narrowing::True, _) => Value::Flag(true),
        (Narrowing::Earliest(order), _) => Value::Text(order[0].to_owned()),
        // A request needs at least one attempt.
        (_, Value::Number(attempts)) if key == "site.max-attempts" => Value::Number(attempts.min(1.0)),
        (Narrowing::Smaller, Value::Number(_)) if is_zero_without_fallback(key) => Value::Number(0.0),
        _ => in_force.clone(),
    }
}

fn is_zero_without_fallback(key: &str) -> bool {
    ZERO_WITHOUT_FALLBACK.iter().any(|ending| key.ends_with(ending))
}
