//! The shared part of a settings file as rules that initiators agree on, and back. Key by key as
//! `flaxstand_consensus::rules::TABLE` has them; what bounds nothing is left out.

use super::reader::Block;
use super::site::SiteFile;
use crate::core::Site;
use flaxstand::api::{Budget, Effect, RepeatGroup, Settings};
use flaxstand_consensus::rules::{Rules, Safe, Value, safe};
use std::collections::BTreeMap;

const GROUPS: [(&str, RepeatGroup); 3] =
    [("all", RepeatGroup::All), ("zone", RepeatGroup::Zone), ("shard", RepeatGroup::Cell)];

fn group_name(group: RepeatGroup) -> &'static str {
    GROUPS.iter().find(|(_, g)| *g == group).map_or("shard", |(name, _)| name)
}

/// The rules that a settings file states, with the floor that it gives.
pub fn rules_of(file: &SiteFile, floor: BTreeMap<String, Value>) -> Rules {
    let (site, s) = (&file.site, &file.site.settings);
    let mut values = BTreeMap::new();
    let mut put = |key: String, value: Value| drop(values.insert(key, value));
    let number = Value::Number;
    let word = |w: &str| Value::Word(w.to_owned());
    for (key, value) in [
        ("initiators", number(s.initiators.into())),
        ("list", word(if s.list_on_request { "on-request" } else { "pushed" })),
        ("ask-within-ms", number(s.ask_within)),
        ("max-attempts", number(s.max_attempts.into())),
        ("second-copies", Value::Flag(s.most_out > 1)),
        ("cancel", Value::Flag(s.may_cancel)),
        ("probes", Value::Flag(s.may_probe)),
        ("retry-after-most-ms", number(s.max_retry_after)),
        ("unit-mean", number(s.unit_mean)),
        ("unit-most", number(s.unit_most)),
        ("share-worth", number(s.share_worth)),
        ("spare-worth", number(s.spare_worth)),
        ("key-rest-ms", number(s.key_rest)),
        ("drain-grace-ms", number(file.rules.drain_grace.ms())),
        ("tick-ms", number(s.tick)),
        ("cold.from", number(s.cold_from)),
        ("cold.warm-ms", number(s.cold_time)),
        ("cold.fall-multiple", number(s.fall_multiple)),
        ("cold.fall-ms", number(s.fall_time)),
        ("cold.bears-units", number(s.cold_bears)),
    ] {
        put(format!("site.{key}"), value);
    }
    if let Some(b) = s.budget {
        for (key, value) in [("floor", b.floor), ("ratio", b.ratio), ("span-ms", b.span)] {
            put(format!("site.budget.{key}"), number(value));
        }
    }
    for (at, (info, c)) in site.classes.iter().zip(&s.classes).enumerate() {
        let mut put = |key: &str, value: Value| put(format!("class.{}{key}", info.name), value);
        put("", number(at as f64));
        let effect = match c.effect {
            Effect::Repeatable => "repeatable",
            Effect::Once => "once",
            Effect::Keyed { group, window } => {
                put(".group", word(group_name(group)));
                put(".window-ms", number(window));
                "keyed"
            }
        };
        put(".effect", word(effect));
        put(".aim-ms", number(c.aim));
        put(".aim-stretch", number(c.aim_stretch));
        put(".deadline-ms", number(c.deadline));
        put(".worth", number(c.worth));
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
        put(".price", p.price);
        if p.limit_rate > 0.0 {
            put(".limit-rate", p.limit_rate);
            put(".limit-burst", p.limit_burst);
            put(".limit-slack", file.rules.limit_slack.get(at).copied().unwrap_or(0.0));
        }
    }
    Rules { values, floor }
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
        Some(Value::Word(w)) => Some(w.as_str()),
        _ => None,
    };
    let mut s = site.settings.clone();
    s.initiators = number("site.initiators", s.initiators.into()) as u32;
    s.ask_within = number("site.ask-within-ms", s.ask_within);
    s.max_attempts = number("site.max-attempts", s.max_attempts.into()) as u32;
    s.most_out = if flag("site.second-copies", s.most_out > 1) { 2 } else { 1 };
    s.may_cancel = flag("site.cancel", s.may_cancel);
    s.may_probe = flag("site.probes", s.may_probe);
    s.max_retry_after = number("site.retry-after-most-ms", s.max_retry_after);
    s.unit_mean = number("site.unit-mean", s.unit_mean);
    s.unit_most = number("site.unit-most", s.unit_most);
    s.share_worth = number("site.share-worth", s.share_worth);
    s.spare_worth = number("site.spare-worth", s.spare_worth);
    s.key_rest = number("site.key-rest-ms", s.key_rest);
    s.tick = number("site.tick-ms", s.tick);
    s.cold_from = number("site.cold.from", s.cold_from);
    s.cold_time = number("site.cold.warm-ms", s.cold_time);
    s.fall_multiple = number("site.cold.fall-multiple", s.fall_multiple);
    s.fall_time = number("site.cold.fall-ms", s.fall_time);
    s.cold_bears = number("site.cold.bears-units", s.cold_bears);
    let has_budget = rules.values.contains_key("site.budget.ratio");
    s.budget = has_budget.then(|| Budget {
        floor: number("site.budget.floor", 0.0),
        ratio: number("site.budget.ratio", 0.0),
        span: number("site.budget.span-ms", 0.0),
    });
    for (info, c) in site.classes.iter().zip(&mut s.classes) {
        let key = |field: &str| format!("class.{}.{field}", info.name);
        let group = word(&key("group")).and_then(|w| GROUPS.iter().find(|(name, _)| *name == w));
        c.effect = match (word(&key("effect")), group) {
            (Some("repeatable"), _) => Effect::Repeatable,
            (Some("keyed"), Some((_, group))) => {
                Effect::Keyed { group: *group, window: number(&key("window-ms"), 0.0) }
            }
            (None, _) => c.effect,
            _ => Effect::Once,
        };
        c.aim = number(&key("aim-ms"), c.aim);
        c.aim_stretch = number(&key("aim-stretch"), c.aim_stretch);
        c.deadline = number(&key("deadline-ms"), c.deadline);
        c.worth = number(&key("worth"), c.worth);
        c.late_value = number(&key("late-value"), c.late_value);
        c.in_order = flag(&key("in-order"), c.in_order);
    }
    for (name, p) in site.plans.iter().zip(&mut s.plans) {
        let key = |field: &str| format!("plan.{name}.{field}");
        p.base_rate = number(&key("base-rate"), p.base_rate);
        p.reserve_rate = number(&key("reserve-rate"), p.reserve_rate);
        p.price = number(&key("price"), p.price);
        let limited = rules.values.contains_key(&key("limit-rate"));
        p.limit_rate = if limited { number(&key("limit-rate"), 0.0).max(NO_RATE) } else { 0.0 };
        p.limit_burst = if limited { number(&key("limit-burst"), 0.0) } else { 0.0 };
    }
    s
}

/// Reads `floor`: lines `set "KEY" VALUE`.
pub fn read_floor(root: &Block<'_>) -> BTreeMap<String, Value> {
    let Some(b) = root.block("floor") else { return BTreeMap::new() };
    let floor = b.sets("set", |key, value| match safe(key) {
        None => Err(format!("{key:?} is no key of the rules, see docs/agreement.md")),
        Some(Safe::Both | Safe::Fixed | Safe::Neither(_)) => Err(format!("{key:?} has no narrower value")),
        Some(Safe::Off | Safe::On) if !matches!(value, Value::Flag(_)) => {
            Err(format!("{key:?} is {value}, expected #true or #false"))
        }
        Some(Safe::First(words)) if !matches!(value, Value::Word(w) if words.contains(&w.as_str())) => {
            Err(format!("{key:?} is {value}, expected one of {}", words.join(", ")))
        }
        Some(Safe::Least | Safe::Most) if !matches!(value, Value::Number(n) if *n >= 0.0) => {
            Err(format!("{key:?} is {value}, expected a number of 0 or more"))
        }
        Some(_) => Ok(()),
    });
    b.finish();
    floor
}
