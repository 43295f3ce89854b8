//! The settings object, which the simulator's first message and the configuration share: its names and
//! units, and the module's settings in it.

use flaxstand::api::{Class, DeduplicationScope, Effect, NotificationTerms, Plan, RetryBudget, Settings};
use serde::Deserialize;
use std::collections::BTreeSet;

/// On the platform a change of the list binds every initiator so long after discovery had it and could be reached, ms,
pub const TOLD_WITHIN_MS: f64 = 6000.0;
/// and what discovery has so long after a new configuration named another address of it, ms.
pub const TOLD_AFTER_MOVE_MS: f64 = 4000.0;

/// The settings as the platform and the bench tell them; keys that nothing here has a use for are left unread.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Params {
    balancers: u32,
    classes: Vec<WireClass>,
    #[serde(default)]
    grades: Vec<WirePlan>,
    caps: WireCaps,
    rules: WireRules,
    #[serde(default)]
    family_info: WireFamily,
    registry_mode: RegistryMode,
    #[serde(default)]
    tick_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Pushed,
    OnRequest,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    aim_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    worth: f64,
    semantics: Semantics,
    #[serde(default)]
    group: WireGroup,
    #[serde(default)]
    dedup_window_ms: f64,
    #[serde(default)]
    in_order: bool,
}

#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Debug, Deserialize, Clone, Copy, Default)]
#[serde(rename_all = "snake_case")]
enum WireGroup {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WirePlan {
    name: String,
    base_rate: f64,
    floor_rate: f64,
    ceiling_rate: f64,
    most_at_once: f64,
    price: f64,
}

impl Default for WirePlan {
    fn default() -> Self {
        let name = String::new();
        let (base_rate, floor_rate, ceiling_rate, most_at_once) = Default::default();
        WirePlan { name, base_rate, floor_rate, ceiling_rate, most_at_once, price: 1.0 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireCaps {
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    dial_timeout_ms: Option<f64>,
    #[serde(default)]
    keepalive_ms: Option<f64>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireRules {
    ask_within_ms: f64,
    cold_from: f64,
    cold_ms: f64,
    fall_ms: f64,
    fall_multiple: f64,
    extra_floor: Option<f64>,
    further_ratio: Option<f64>,
    budget_span_ms: Option<f64>,
    key_rest_ms: f64,
    stop_sending_within_ms: f64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireFamily {
    cold_bears: f64,
    unit_mean: f64,
    most_units: f64,
    fair_worth: f64,
    idle_worth: f64,
}

fn not_negative(key: &str, value: f64) -> Result<(), String> {
    let sound = value.is_finite() && value >= 0.0;
    if sound { Ok(()) } else { Err(format!("{key}: expected 0 or more, not {value}")) }
}

fn above_zero(key: &str, value: f64) -> Result<(), String> {
    let sound = value.is_finite() && value > 0.0;
    if sound { Ok(()) } else { Err(format!("{key}: expected more than 0, not {value}")) }
}

/// Guards against two things of one name: a request of that name would be taken for one of the first.
fn named_once<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for (at, name) in names.enumerate() {
        if name.is_empty() {
            return Err(format!("{list}[{at}].name: expected a name"));
        }
        if !seen.insert(name) {
            return Err(format!("{list}[{at}].name: {name:?} is there twice"));
        }
    }
    Ok(())
}

impl Params {
    /// Names of classes, in the module's order.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|c| c.name.as_str())
    }

    /// Names of plans, in the module's order.
    pub fn plans(&self) -> impl Iterator<Item = &str> {
        self.grades.iter().map(|g| g.name.as_str())
    }

    /// Time within which a connection to a target comes up, ms, where it is told.
    pub fn dial_timeout_ms(&self) -> Option<f64> {
        self.caps.dial_timeout_ms.filter(|ms| *ms > 0.0)
    }

    /// Time after which a target closes an idle connection at the latest, ms, where it is told.
    pub fn keepalive_ms(&self) -> Option<f64> {
        self.caps.keepalive_ms.filter(|ms| *ms > 0.0)
    }

    /// When changes of the list bind an initiator on the platform's wire.
    pub fn notification_terms(&self) -> NotificationTerms {
        NotificationTerms {
            notified_within: TOLD_WITHIN_MS,
            notified_after_move: TOLD_AFTER_MOVE_MS,
            drain_grace: self.rules.stop_sending_within_ms,
        }
    }

    /// Whether the values can be, key by key. A zero is a limit like any other where it has a meaning.
    fn check(&self) -> Result<(), String> {
        if self.classes.is_empty() {
            return Err("classes: expected one or more".into());
        }
        named_once("classes", self.classes())?;
        named_once("grades", self.plans())?;
        for (at, c) in self.classes.iter().enumerate() {
            let key = |key: &str| format!("classes[{at}].{key}");
            above_zero(&key("aimMs"), c.aim_ms)?;
            above_zero(&key("deadlineMs"), c.deadline_ms)?;
            for (name, value) in [
                ("aimStretch", c.aim_stretch),
                ("lateValue", c.late_value),
                ("worth", c.worth),
                ("dedupWindowMs", c.dedup_window_ms),
            ] {
                not_negative(&key(name), value)?;
            }
        }
        for (at, g) in self.grades.iter().enumerate() {
            for (name, value) in [
                ("baseRate", g.base_rate),
                ("floorRate", g.floor_rate),
                ("ceilingRate", g.ceiling_rate),
                ("mostAtOnce", g.most_at_once),
                ("price", g.price),
            ] {
                not_negative(&format!("grades[{at}].{name}"), value)?;
            }
        }
        if self.caps.max_attempts == 0 {
            return Err("caps.maxAttempts: expected 1 or more, not 0".into());
        }
        let (caps, rules, family) = (&self.caps, &self.rules, &self.family_info);
        for (key, value) in [
            ("tickMs", self.tick_ms),
            ("caps.maxRetryAfterMs", caps.max_retry_after_ms),
            ("caps.dialTimeoutMs", caps.dial_timeout_ms.unwrap_or(0.0)),
            ("caps.keepaliveMs", caps.keepalive_ms.unwrap_or(0.0)),
            ("rules.askWithinMs", rules.ask_within_ms),
            ("rules.coldFrom", rules.cold_from),
            ("rules.coldMs", rules.cold_ms),
            ("rules.fallMs", rules.fall_ms),
            ("rules.fallMultiple", rules.fall_multiple),
            ("rules.extraFloor", rules.extra_floor.unwrap_or(0.0)),
            ("rules.furtherRatio", rules.further_ratio.unwrap_or(0.0)),
            ("rules.budgetSpanMs", rules.budget_span_ms.unwrap_or(0.0)),
            ("rules.keyRestMs", rules.key_rest_ms),
            ("rules.stopSendingWithinMs", rules.stop_sending_within_ms),
            ("familyInfo.coldBears", family.cold_bears),
            ("familyInfo.unitMean", family.unit_mean),
            ("familyInfo.mostUnits", family.most_units),
            ("familyInfo.fairWorth", family.fair_worth),
            ("familyInfo.idleWorth", family.idle_worth),
        ] {
            not_negative(key, value)?;
        }
        Ok(())
    }

    /// The module's settings.
    ///
    /// # Errors
    /// A value can't be: the message names its key. Or a budget has no span.
    pub fn settings(&self) -> Result<Settings, String> {
        self.check()?;
        let classes = self.classes.iter().map(|c| Class {
            latency_objective: c.aim_ms,
            objective_stretch: c.aim_stretch,
            deadline: c.deadline_ms,
            late_value: c.late_value,
            priority_weight: c.worth,
            effect: match (c.semantics, c.group) {
                (Semantics::Repeatable, _) => Effect::Idempotent,
                (Semantics::Once, _) => Effect::AtMostOnce,
                (Semantics::ByKey, group) => Effect::IdempotencyKey {
                    group: match group {
                        WireGroup::All => DeduplicationScope::All,
                        WireGroup::Zone => DeduplicationScope::Zone,
                        WireGroup::Cell => DeduplicationScope::Shard,
                    },
                    window: c.dedup_window_ms,
                },
            },
            in_order: c.in_order,
        });
        let plan = |g: &WirePlan| Plan {
            base_rate: g.base_rate,
            reserve_rate: g.floor_rate,
            limit_rate: g.ceiling_rate,
            limit_burst: g.most_at_once,
            priority_factor: g.price,
        };
        let mut plans: Vec<Plan> = self.grades.iter().map(plan).collect();
        if plans.is_empty() {
            plans.push(plan(&WirePlan::default()));
        }
        let rules = &self.rules;
        let budget = match (rules.extra_floor, rules.further_ratio, rules.budget_span_ms) {
            (None, None, None) => None,
            (floor, ratio, Some(span)) => {
                Some(RetryBudget { floor: floor.unwrap_or(0.0), ratio: ratio.unwrap_or(0.0), span })
            }
            _ => return Err("a budget of attempts without its span".into()),
        };
        Ok(Settings {
            initiators: self.balancers.max(1),
            classes: classes.collect(),
            plans,
            polls_list: matches!(self.registry_mode, RegistryMode::OnRequest),
            poll_within: rules.ask_within_ms,
            // The platform's wire states them, the simulator's does not.
            notification_terms: None,
            max_attempts: self.caps.max_attempts,
            max_concurrent_attempts: if self.caps.second_copies { 2 } else { 1 },
            may_cancel: self.caps.cancel,
            may_probe: self.caps.may_probe,
            max_retry_after: if self.caps.retry_after { self.caps.max_retry_after_ms } else { 0.0 },
            initial_capacity: rules.cold_from,
            warm_up_time: rules.cold_ms,
            overload_multiple: rules.fall_multiple,
            slow_start_window: rules.fall_ms,
            slow_start_min_units: self.family_info.cold_bears,
            key_cooldown: rules.key_rest_ms,
            retry_budget: budget,
            mean_units: self.family_info.unit_mean,
            max_units: self.family_info.most_units,
            shared_weight: self.family_info.fair_worth,
            spare_weight: self.family_info.idle_worth,
            tick: self.tick_ms,
        })
    }
}
