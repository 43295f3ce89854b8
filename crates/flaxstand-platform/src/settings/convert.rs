//! Conversion of a settings object to the settings of the decision module.

use super::wire::{DiscoveryMode, WireClass, WireDeduplicationScope, WireEffect, WirePlan, WireRules};
use super::{Params, ParamsError};
use flaxstand::api::{Class, DeduplicationScope, Effect, Plan, RetryBudget, Settings};

impl Params {
    /// Returns the settings of the decision module.
    ///
    /// # Errors
    /// A value is invalid, or a retry budget has no time span.
    pub fn settings(&self) -> Result<Settings, ParamsError> {
        self.check()?;
        let Params { caps, rules, workload, .. } = self;
        let max_retry_after = if caps.may_send_retry_after { caps.max_retry_after_ms } else { 0.0 };
        Ok(Settings {
            initiators: self.initiators.max(1),
            classes: self.classes.iter().map(class_of).collect(),
            plans: plans_of(&self.plans),
            polls_list: matches!(self.discovery_mode, DiscoveryMode::Polled),
            poll_within: rules.poll_within_ms,
            // Defined by the platform but not by the simulator, see `Params::notification_terms`.
            notification_terms: None,
            max_attempts: caps.max_attempts,
            max_concurrent_attempts: if caps.may_hedge { 2 } else { 1 },
            may_cancel: caps.may_cancel,
            may_probe: caps.may_probe,
            max_retry_after,
            initial_capacity: rules.initial_capacity,
            warm_up_time: rules.warm_up_ms,
            overload_multiple: rules.overload_multiple,
            slow_start_window: rules.slow_start_window_ms,
            slow_start_min_units: workload.slow_start_min_units,
            key_cooldown: rules.key_cooldown_ms,
            retry_budget: retry_budget_of(rules)?,
            mean_units: workload.mean_units,
            max_units: workload.max_units,
            shared_weight: workload.shared_weight,
            spare_weight: workload.spare_weight,
            tick: self.tick_ms,
        })
    }
}

fn class_of(class: &WireClass) -> Class {
    Class {
        latency_objective: class.latency_objective_ms,
        objective_stretch: class.objective_stretch,
        deadline: class.deadline_ms,
        late_value: class.late_value,
        priority_weight: class.priority_weight,
        effect: effect_of(class),
        in_order: class.in_order,
    }
}

fn effect_of(class: &WireClass) -> Effect {
    match class.effect {
        WireEffect::Idempotent => Effect::Idempotent,
        WireEffect::AtMostOnce => Effect::AtMostOnce,
        WireEffect::IdempotencyKey => Effect::IdempotencyKey {
            group: match class.deduplication_scope {
                WireDeduplicationScope::All => DeduplicationScope::All,
                WireDeduplicationScope::Zone => DeduplicationScope::Zone,
                WireDeduplicationScope::Shard => DeduplicationScope::Shard,
            },
            window: class.deduplication_window_ms,
        },
    }
}

/// Without plans in the settings, all volumes share a default plan without reserve and limit.
fn plans_of(plans: &[WirePlan]) -> Vec<Plan> {
    if plans.is_empty() {
        return vec![plan_of(&WirePlan::default())];
    }
    plans.iter().map(plan_of).collect()
}

fn plan_of(plan: &WirePlan) -> Plan {
    Plan {
        base_rate: plan.base_rate,
        reserve_rate: plan.reserve_rate,
        limit_rate: plan.limit_rate,
        limit_burst: plan.limit_burst,
        priority_factor: plan.priority_factor,
    }
}

fn retry_budget_of(rules: &WireRules) -> Result<Option<RetryBudget>, ParamsError> {
    let Some(span) = rules.retry_budget_span_ms else {
        let is_unlimited = rules.retry_floor.is_none() && rules.retry_ratio.is_none();
        return if is_unlimited { Ok(None) } else { Err(ParamsError::BudgetWithoutSpan) };
    };
    let floor = rules.retry_floor.unwrap_or(0.0);
    let ratio = rules.retry_ratio.unwrap_or(0.0);
    Ok(Some(RetryBudget { floor, ratio, span }))
}
