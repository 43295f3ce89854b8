//! Reads the `class` and `plan` blocks.

use super::effect::{DEDUPLICATION_SCOPES, EFFECT_KEYWORDS, EffectKeyword};
use super::reader::Block;
use super::units::{POSITIVE_MILLISECONDS, RATE};
use crate::core::ClassInfo;
use flaxstand::api::{Class, DeduplicationScope, Effect, Plan};

/// A class as needed by the gateway and by the decision module.
pub(super) struct ClassBlock {
    pub(super) info: ClassInfo,
    pub(super) class: Class,
}

/// A plan, with its name and the tolerance that only rules and audits need.
pub(super) struct PlanBlock {
    pub(super) name: String,
    pub(super) plan: Plan,
    /// Number of units by which the limit may be exceeded.
    pub(super) limit_slack: f64,
}

pub(super) fn read_class(block: &Block<'_>) -> ClassBlock {
    let effect = read_effect(block);
    let class = Class {
        latency_objective: block.number("aim-ms", POSITIVE_MILLISECONDS, None),
        objective_stretch: block.number("aim-stretch", 0.0..=1000.0, Some(0.0)),
        deadline: block.number("deadline-ms", POSITIVE_MILLISECONDS, None),
        late_value: block.number("late-value", 0.0..=1.0, Some(0.0)),
        priority_weight: block.number("worth", 0.0..=1e9, Some(1.0)),
        effect,
        in_order: block.flag("in-order", false),
    };
    if class.latency_objective > class.deadline {
        let (objective, deadline) = (class.latency_objective, class.deadline);
        block.report(format!("aim-ms is {objective}, expected at most deadline-ms, {deadline}"));
    }
    let is_buffered = block.flag("buffered", false);
    // After a crash the record of a buffered write is replayed, so the write may run twice.
    if is_buffered && class.effect == Effect::AtMostOnce {
        let message =
            "buffered is #true, expected #false for effect \"once\": a crash may replay buffered requests";
        block.report(message.into());
    }
    let info = ClassInfo { name: block.name(), is_streamed: block.flag("stream", false), is_buffered };
    block.reject_unknown_keys();
    ClassBlock { info, class }
}

fn read_effect(block: &Block<'_>) -> Effect {
    match block.choice("effect", &EFFECT_KEYWORDS, None) {
        Some(EffectKeyword::Keyed) => Effect::IdempotencyKey {
            group: block.choice("group", &DEDUPLICATION_SCOPES, None).unwrap_or(DeduplicationScope::Shard),
            window: block.number("window-ms", POSITIVE_MILLISECONDS, None),
        },
        Some(EffectKeyword::Once) => Effect::AtMostOnce,
        Some(EffectKeyword::Repeatable) | None => Effect::Idempotent,
    }
}

pub(super) fn read_plan(block: &Block<'_>) -> PlanBlock {
    let plan = Plan {
        base_rate: block.number("base-rate", RATE, Some(0.0)),
        reserve_rate: block.number("reserve-rate", RATE, Some(0.0)),
        limit_rate: block.number("limit-rate", RATE, Some(0.0)),
        limit_burst: block.number("limit-burst", RATE, Some(0.0)),
        priority_factor: block.number("price", 0.0..=1e9, Some(1.0)),
    };
    let limit_slack = block.number("limit-slack", RATE, Some(0.0));
    let name = block.name();
    block.reject_unknown_keys();
    PlanBlock { name, plan, limit_slack }
}

/// Reports a limit whose burst is below the largest request, which would wait forever.
pub(super) fn check_limit_burst(block: &Block<'_>, plan: &Plan, max_units: f64) {
    if plan.limit_rate > 0.0 && plan.limit_burst < max_units {
        let burst = plan.limit_burst;
        let expected = format!("at least unit-most, {max_units}: the largest request would never be sent");
        block.report(format!("limit-burst is {burst}, expected {expected}"));
    }
}
