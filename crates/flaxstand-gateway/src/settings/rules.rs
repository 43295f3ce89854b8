//! Converts the shared part of a settings file to the rules that initiators agree on, and back. The keys are
//! those of `NARROWING_TABLE` in `flaxstand_consensus`; limits that are not set are omitted.

use super::effect::{DEDUPLICATION_SCOPES, EFFECT_KEYWORDS, EffectKeyword, effect_name, scope_name};
use super::reader::Block;
use super::site::SiteFile;
use crate::core::{ClassInfo, Site};
use flaxstand::api::{Class, Effect, Plan, RetryBudget, Settings};
use flaxstand_consensus::rules::{Narrowing, Rules, Value, narrowing_of};
use std::collections::BTreeMap;
use thiserror::Error;

/// Minimum rate of a limit, units per second: a rate of 0 would mean no limit.
const MIN_LIMIT_RATE: f64 = 1e-9;

/// Converts a settings file and its fallback rules to rules.
pub fn rules_of(file: &SiteFile, fallback: BTreeMap<String, Value>) -> Rules {
    let mut values = RuleValues::default();
    write_site(file, &mut values);
    if let Some(budget) = &file.site.settings.retry_budget {
        values.number("site.budget.floor".into(), budget.floor);
        values.number("site.budget.ratio".into(), budget.ratio);
        values.number("site.budget.span-ms".into(), budget.span);
    }
    let settings = &file.site.settings;
    for (index, (info, class)) in file.site.classes.iter().zip(&settings.classes).enumerate() {
        write_class(index, info, class, &mut values);
    }
    for (index, (name, plan)) in file.site.plans.iter().zip(&settings.plans).enumerate() {
        let limit_slack = file.audit.limit_slack.get(index).copied().unwrap_or(0.0);
        write_plan(index, name, plan, limit_slack, &mut values);
    }
    Rules { values: values.0, fallback }
}

/// Rule values under construction.
#[derive(Debug, Default)]
struct RuleValues(BTreeMap<String, Value>);

impl RuleValues {
    fn number(&mut self, key: String, value: f64) {
        self.0.insert(key, Value::Number(value));
    }

    fn flag(&mut self, key: String, value: bool) {
        self.0.insert(key, Value::Flag(value));
    }

    fn text(&mut self, key: String, value: &str) {
        self.0.insert(key, Value::Text(value.to_owned()));
    }
}

fn write_site(file: &SiteFile, values: &mut RuleValues) {
    let settings = &file.site.settings;
    for (key, value) in [
        ("initiators", settings.initiators.into()),
        ("ask-within-ms", settings.poll_within),
        ("max-attempts", settings.max_attempts.into()),
        ("retry-after-most-ms", settings.max_retry_after),
        ("unit-mean", settings.mean_units),
        ("unit-most", settings.max_units),
        ("share-worth", settings.shared_weight),
        ("spare-worth", settings.spare_weight),
        ("key-rest-ms", settings.key_cooldown),
        ("drain-grace-ms", file.audit.drain_grace.ms()),
        ("tick-ms", settings.tick),
        ("cold.from", settings.initial_capacity),
        ("cold.warm-ms", settings.warm_up_time),
        ("cold.fall-multiple", settings.overload_multiple),
        ("cold.fall-ms", settings.slow_start_window),
        ("cold.bears-units", settings.slow_start_min_units),
    ] {
        values.number(format!("site.{key}"), value);
    }
    for (key, value) in [
        ("second-copies", settings.max_concurrent_attempts > 1),
        ("cancel", settings.may_cancel),
        ("probes", settings.may_probe),
    ] {
        values.flag(format!("site.{key}"), value);
    }
    let list = if settings.polls_list { "on-request" } else { "pushed" };
    values.text("site.list".into(), list);
}

fn write_class(index: usize, info: &ClassInfo, class: &Class, values: &mut RuleValues) {
    let key = |field: &str| format!("class.{}.{field}", info.name);
    values.number(format!("class.{}", info.name), index as f64);
    let keyword = match class.effect {
        Effect::Idempotent => EffectKeyword::Repeatable,
        Effect::AtMostOnce => EffectKeyword::Once,
        Effect::IdempotencyKey { group, window } => {
            values.text(key("group"), scope_name(group));
            values.number(key("window-ms"), window);
            EffectKeyword::Keyed
        }
    };
    values.text(key("effect"), effect_name(keyword));
    values.number(key("aim-ms"), class.latency_objective);
    values.number(key("aim-stretch"), class.objective_stretch);
    values.number(key("deadline-ms"), class.deadline);
    values.number(key("worth"), class.priority_weight);
    values.number(key("late-value"), class.late_value);
    values.flag(key("in-order"), class.in_order);
    values.flag(key("stream"), info.is_streamed);
    values.flag(key("buffered"), info.is_buffered);
}

fn write_plan(index: usize, name: &str, plan: &Plan, limit_slack: f64, values: &mut RuleValues) {
    let key = |field: &str| format!("plan.{name}.{field}");
    values.number(format!("plan.{name}"), index as f64);
    values.number(key("base-rate"), plan.base_rate);
    values.number(key("reserve-rate"), plan.reserve_rate);
    values.number(key("price"), plan.priority_factor);
    if plan.limit_rate > 0.0 {
        values.number(key("limit-rate"), plan.limit_rate);
        values.number(key("limit-burst"), plan.limit_burst);
        values.number(key("limit-slack"), limit_slack);
    }
}

/// Returns the decision module's settings under these rules. A setting without a rule keeps its value from
/// the site's file.
pub fn settings_of(rules: &Rules, site: &Site) -> Settings {
    let reader = RuleReader { values: &rules.values };
    let mut settings = site.settings.clone();
    apply_site_rules(&reader, &mut settings);
    settings.retry_budget = reader.has("site.budget.ratio").then(|| RetryBudget {
        floor: reader.number("site.budget.floor", 0.0),
        ratio: reader.number("site.budget.ratio", 0.0),
        span: reader.number("site.budget.span-ms", 0.0),
    });
    for (info, class) in site.classes.iter().zip(&mut settings.classes) {
        apply_class_rules(&reader, &info.name, class);
    }
    for (name, plan) in site.plans.iter().zip(&mut settings.plans) {
        apply_plan_rules(&reader, name, plan);
    }
    settings
}

/// Reads rule values. A missing value, or one of another type, leaves the previous one in effect.
#[derive(Clone, Copy, Debug)]
struct RuleReader<'a> {
    values: &'a BTreeMap<String, Value>,
}

impl<'a> RuleReader<'a> {
    fn has(&self, key: &str) -> bool {
        self.values.contains_key(key)
    }

    fn number(&self, key: &str, previous: f64) -> f64 {
        match self.values.get(key) {
            Some(Value::Number(number)) => *number,
            _ => previous,
        }
    }

    fn flag(&self, key: &str, previous: bool) -> bool {
        match self.values.get(key) {
            Some(Value::Flag(flag)) => *flag,
            _ => previous,
        }
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        match self.values.get(key) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Returns the value of a keyword, or none if the rule is missing or has another text.
    fn keyword<T: Copy>(&self, key: &str, keywords: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, value)| *value)
    }
}

fn apply_site_rules(reader: &RuleReader<'_>, settings: &mut Settings) {
    let is_hedging = reader.flag("site.second-copies", settings.max_concurrent_attempts > 1);
    settings.max_concurrent_attempts = if is_hedging { 2 } else { 1 };
    settings.initiators = reader.number("site.initiators", settings.initiators.into()) as u32;
    settings.max_attempts = reader.number("site.max-attempts", settings.max_attempts.into()) as u32;
    settings.may_cancel = reader.flag("site.cancel", settings.may_cancel);
    settings.may_probe = reader.flag("site.probes", settings.may_probe);
    for (key, value) in [
        ("site.ask-within-ms", &mut settings.poll_within),
        ("site.retry-after-most-ms", &mut settings.max_retry_after),
        ("site.unit-mean", &mut settings.mean_units),
        ("site.unit-most", &mut settings.max_units),
        ("site.share-worth", &mut settings.shared_weight),
        ("site.spare-worth", &mut settings.spare_weight),
        ("site.key-rest-ms", &mut settings.key_cooldown),
        ("site.tick-ms", &mut settings.tick),
        ("site.cold.from", &mut settings.initial_capacity),
        ("site.cold.warm-ms", &mut settings.warm_up_time),
        ("site.cold.fall-multiple", &mut settings.overload_multiple),
        ("site.cold.fall-ms", &mut settings.slow_start_window),
        ("site.cold.bears-units", &mut settings.slow_start_min_units),
    ] {
        *value = reader.number(key, *value);
    }
}

fn apply_class_rules(reader: &RuleReader<'_>, name: &str, class: &mut Class) {
    let key = |field: &str| format!("class.{name}.{field}");
    if reader.text(&key("effect")).is_some() {
        class.effect = effect_under(reader, name);
    }
    class.latency_objective = reader.number(&key("aim-ms"), class.latency_objective);
    class.objective_stretch = reader.number(&key("aim-stretch"), class.objective_stretch);
    class.deadline = reader.number(&key("deadline-ms"), class.deadline);
    class.priority_weight = reader.number(&key("worth"), class.priority_weight);
    class.late_value = reader.number(&key("late-value"), class.late_value);
    class.in_order = reader.flag(&key("in-order"), class.in_order);
}

/// Returns the effect that the rules state for a class. Invalid rules must not permit retries: with an
/// unknown keyword, or a key without a known scope, requests run at most once.
fn effect_under(reader: &RuleReader<'_>, name: &str) -> Effect {
    let key = |field: &str| format!("class.{name}.{field}");
    let scope = reader.keyword(&key("group"), &DEDUPLICATION_SCOPES);
    match (reader.keyword(&key("effect"), &EFFECT_KEYWORDS), scope) {
        (Some(EffectKeyword::Repeatable), _) => Effect::Idempotent,
        (Some(EffectKeyword::Keyed), Some(group)) => {
            Effect::IdempotencyKey { group, window: reader.number(&key("window-ms"), 0.0) }
        }
        _ => Effect::AtMostOnce,
    }
}

fn apply_plan_rules(reader: &RuleReader<'_>, name: &str, plan: &mut Plan) {
    let key = |field: &str| format!("plan.{name}.{field}");
    plan.base_rate = reader.number(&key("base-rate"), plan.base_rate);
    plan.reserve_rate = reader.number(&key("reserve-rate"), plan.reserve_rate);
    plan.priority_factor = reader.number(&key("price"), plan.priority_factor);
    let is_limited = reader.has(&key("limit-rate"));
    plan.limit_rate =
        if is_limited { reader.number(&key("limit-rate"), 0.0).max(MIN_LIMIT_RATE) } else { 0.0 };
    plan.limit_burst = if is_limited { reader.number(&key("limit-burst"), 0.0) } else { 0.0 };
}

/// Errors of a fallback rule.
#[derive(Clone, Debug, Error, PartialEq)]
enum FallbackRuleError {
    #[error("{0:?} is not a rule key, see docs/agreement.md")]
    UnknownKey(String),
    #[error("{0:?} has no narrower value, expected a key that can be narrowed")]
    NotNarrowable(String),
    #[error("{key:?} is {value}, expected #true or #false")]
    ExpectedFlag { key: String, value: Value },
    #[error("{key:?} is {value}, expected one of {}", .keywords.join(", "))]
    ExpectedKeyword { key: String, value: Value, keywords: &'static [&'static str] },
    #[error("{key:?} is {value}, expected a number of 0 or more")]
    ExpectedNumber { key: String, value: Value },
}

/// Reads the fallback rules from the block `floor`, which has lines `set "KEY" VALUE`.
pub fn read_fallback_rules(root: &Block<'_>) -> BTreeMap<String, Value> {
    let Some(block) = root.block("floor") else { return BTreeMap::new() };
    let rules = block.assignments("set", check_fallback_rule);
    block.reject_unknown_keys();
    rules
}

fn check_fallback_rule(key: &str, value: &Value) -> Result<(), FallbackRuleError> {
    let (name, given) = (key.to_owned(), value.clone());
    match (narrowing_of(key), value) {
        (None, _) => Err(FallbackRuleError::UnknownKey(name)),
        (Some(Narrowing::Unordered | Narrowing::Immutable | Narrowing::Incompatible(_)), _) => {
            Err(FallbackRuleError::NotNarrowable(name))
        }
        (Some(Narrowing::False | Narrowing::True), Value::Flag(_)) => Ok(()),
        (Some(Narrowing::False | Narrowing::True), _) => {
            Err(FallbackRuleError::ExpectedFlag { key: name, value: given })
        }
        (Some(Narrowing::Earliest(keywords)), Value::Text(text)) if keywords.contains(&text.as_str()) => {
            Ok(())
        }
        (Some(Narrowing::Earliest(keywords)), _) => {
            Err(FallbackRuleError::ExpectedKeyword { key: name, value: given, keywords })
        }
        (Some(Narrowing::Smaller | Narrowing::Larger), Value::Number(number)) if *number >= 0.0 => Ok(()),
        (Some(Narrowing::Smaller | Narrowing::Larger), _) => {
            Err(FallbackRuleError::ExpectedNumber { key: name, value: given })
        }
    }
}
