//! The shared part of a settings file as rules that initiators agree on, and back. Key by key as
//! `flaxstand_consensus::rules::NARROWING_TABLE` has them; what bounds nothing is left out.

use super::reader::Block;
use super::site::SiteFile;
use crate::core::Site;
use flaxstand::api::{DeduplicationScope, Effect, RetryBudget, Settings};
use flaxstand_consensus::rules::{Narrowing, Rules, Value, narrowing_of};
use std::collections::BTreeMap;

const GROUPS: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];

fn group_name(group: DeduplicationScope) -> &'static str {
    GROUPS.iter().find(|(_, g)| *g == group).map_or("shard", |(name, _)| name)
}

/// The rules that a settings file states, with the floor that it gives.
pub fn rules_of(file: &SiteFile, floor: BTreeMap<String, Value>) -> Rules {
    let (site, s) = (&file.site, &file.site.settings);
    let mut values = BTreeMap::new();
    let mut put = |key: String, value: Value| drop(values.insert(key, value));
    let number = Value::Number;
    let word = |w: &str| Value::Text(w.to_owned());
    for (key, value) in [
        ("initiators", number(s.initiators.into())),
        ("list", word(if s.polls_list { "on-request" } else { "pushed" })),
        ("ask-within-ms", number(s.poll_within)),
        ("max-attempts", number(s.max_attempts.into())),
        ("second-copies", Value::Flag(s.max_concurrent_attempts > 1)),
        ("cancel", Value::Flag(s.may_cancel)),
        ("probes", Value::Flag(s.may_probe)),
        ("retry-after-most-ms", number(s.max_retry_after)),
        ("unit-mean", number(s.mean_units)),
        ("unit-most", number(s.max_units)),
        ("share-worth", number(s.shared_weight)),
        ("spare-worth", number(s.spare_weight)),
        ("key-rest-ms", number(s.key_cooldown)),
        ("drain-grace-ms", number(file.rules.drain_grace.ms())),
        ("tick-ms", number(s.tick)),
        ("cold.from", number(s.initial_capacity)),
        ("cold.warm-ms", number(s.warm_up_time)),
        ("cold.fall-multiple", number(s.overload_multiple)),
        ("cold.fall-ms", number(s.slow_start_window)),
        ("cold.bears-units", number(s.slow_start_min_units)),
    ] {
        put(format!("site.{key}"), value);
    }
    if let Some(b) = s.retry_budget {
        for (key, value) in [("floor", b.floor), ("ratio", b.ratio), ("span-ms", b.span)] {
            put(format!("site.budget.{key}"), number(value));
        }
    }
    for (at, (info, c)) in site.classes.iter().zip(&s.classes).enumerate() {
        let mut put = |key: &str, value: Value| put(format!("class.{}{key}", info.name), value);
        put("", number(at as f64));
        let effect = match c.effect {
            Effect::Idempotent => "repeatable",
            Effect::AtMostOnce => "once",
            Effect::IdempotencyKey { group, window } => {
                put(".group", word(group_name(group)));
                put(".window-ms", number(window));
                "keyed"
            }
        };
        put(".effect", word(effect));
        put(".aim-ms", number(c.latency_objective));
        put(".aim-stretch", number(c.objective_stretch));
        put(".deadline-ms", number(c.deadline));
        put(".worth", number(c.priority_weight));
        put(".late-value", number(c.late_value));
        put(".in-order", Value::Flag(c.in_order));
        put(".stream", Value::Flag(info.stream));
        put(".buffered", Value::Flag(info.buffered));
    }
    for (at, (name, p)) in site.plans.iter().zip(&s.plans).enumerate() {
        let mut put = |key: &str, value: f64| put(format!("plan.{name}{key}"), number(value));
        put("", at as f64);
        put(".base-rate", p.base_rate);
        put(".reserve-rate", p.reserve_rate);
        put(".price", p.priority_factor);
        if p.limit_rate > 0.0 {
            put(".limit-rate", p.limit_rate);
            put(".limit-burst", p.limit_burst);
            put(".limit-slack", file.rules.limit_slack.get(at).copied().unwrap_or(0.0));
        }
    }
    Rules { values, fallback: floor }
}

/// Least rate of a limit: a limit of 0 would be none.
const NO_RATE: f64 = 1e-9;

/// What the decision module is told under these rules. What rules do not say stays as the site's file has it.
pub fn settings_of(rules: &Rules, site: &Site) -> Settings {
    let number = |key: &str, old: f64| match rules.values.get(key) {
        Some(Value::Number(n)) => *n,
        _ => old,
    };
    let flag = |key: &str, old: bool| match rules.values.get(key) {
        Some(Value::Flag(b)) => *b,
        _ => old,
    };
    let word = |key: &str| match rules.values.get(key) {
        Some(Value::Text(w)) => Some(w.as_str()),
        _ => None,
    };
    let mut s = site.settings.clone();
    s.initiators = number("site.initiators", s.initiators.into()) as u32;
    s.poll_within = number("site.ask-within-ms", s.poll_within);
    s.max_attempts = number("site.max-attempts", s.max_attempts.into()) as u32;
    s.max_concurrent_attempts = if flag("site.second-copies", s.max_concurrent_attempts > 1) { 2 } else { 1 };
    s.may_cancel = flag("site.cancel", s.may_cancel);
    s.may_probe = flag("site.probes", s.may_probe);
    s.max_retry_after = number("site.retry-after-most-ms", s.max_retry_after);
    s.mean_units = number("site.unit-mean", s.mean_units);
    s.max_units = number("site.unit-most", s.max_units);
    s.shared_weight = number("site.share-worth", s.shared_weight);
    s.spare_weight = number("site.spare-worth", s.spare_weight);
    s.key_cooldown = number("site.key-rest-ms", s.key_cooldown);
    s.tick = number("site.tick-ms", s.tick);
    s.initial_capacity = number("site.cold.from", s.initial_capacity);
    s.warm_up_time = number("site.cold.warm-ms", s.warm_up_time);
    s.overload_multiple = number("site.cold.fall-multiple", s.overload_multiple);
    s.slow_start_window = number("site.cold.fall-ms", s.slow_start_window);
    s.slow_start_min_units = number("site.cold.bears-units", s.slow_start_min_units);
    let has_budget = rules.values.contains_key("site.budget.ratio");
    s.retry_budget = has_budget.then(|| RetryBudget {
        floor: number("site.budget.floor", 0.0),
        ratio: number("site.budget.ratio", 0.0),
        span: number("site.budget.span-ms", 0.0),
    });
    for (info, c) in site.classes.iter().zip(&mut s.classes) {
        let key = |field: &str| format!("class.{}.{field}", info.name);
        let group = word(&key("group")).and_then(|w| GROUPS.iter().find(|(name, _)| *name == w));
        c.effect = match (word(&key("effect")), group) {
            (Some("repeatable"), _) => Effect::Idempotent,
            (Some("keyed"), Some((_, group))) => {
                Effect::IdempotencyKey { group: *group, window: number(&key("window-ms"), 0.0) }
            }
            (None, _) => c.effect,
            _ => Effect::AtMostOnce,
        };
        c.latency_objective = number(&key("aim-ms"), c.latency_objective);
        c.objective_stretch = number(&key("aim-stretch"), c.objective_stretch);
        c.deadline = number(&key("deadline-ms"), c.deadline);
        c.priority_weight = number(&key("worth"), c.priority_weight);
        c.late_value = number(&key("late-value"), c.late_value);
        c.in_order = flag(&key("in-order"), c.in_order);
    }
    for (name, p) in site.plans.iter().zip(&mut s.plans) {
        let key = |field: &str| format!("plan.{name}.{field}");
        p.base_rate = number(&key("base-rate"), p.base_rate);
        p.reserve_rate = number(&key("reserve-rate"), p.reserve_rate);
        p.priority_factor = number(&key("price"), p.priority_factor);
        let limited = rules.values.contains_key(&key("limit-rate"));
        p.limit_rate = if limited { number(&key("limit-rate"), 0.0).max(NO_RATE) } else { 0.0 };
        p.limit_burst = if limited { number(&key("limit-burst"), 0.0) } else { 0.0 };
    }
    s
}

/// Reads `floor`: lines `set "KEY" VALUE`.
pub fn read_floor(root: &Block<'_>) -> BTreeMap<String, Value> {
    let Some(b) = root.block("floor") else { return BTreeMap::new() };
    let floor = b.sets("set", |key, value| match narrowing_of(key) {
        None => Err(format!("{key:?} is no key of the rules, see docs/agreement.md")),
        Some(Narrowing::Unordered | Narrowing::Immutable | Narrowing::Incompatible(_)) => Err(format!("{key:?} has no narrower value")),
        Some(Narrowing::False | Narrowing::True) if !matches!(value, Value::Flag(_)) => {
            Err(format!("{key:?} is {value}, expected #true or #false"))
        }
        Some(Narrowing::Earliest(words)) if !matches!(value, Value::Text(w) if words.contains(&w.as_str())) => {
            Err(format!("{key:?} is {value}, expected one of {}", words.join(", ")))
        }
        Some(Narrowing::Smaller | Narrowing::Larger) if !matches!(value, Value::Number(n) if *n >= 0.0) => {
            Err(format!("{key:?} is {value}, expected a number of 0 or more"))
        }
        Some(_) => Ok(()),
    });
    b.finish();
    floor
}
