//! Validation of a settings object, key by key. Zero is a valid limit wherever it has a meaning.

use super::Params;
use super::wire::{WireClass, WirePlan};
use std::collections::BTreeSet;
use thiserror::Error;

/// Errors of validating a settings object. Keys are spelled as on the wire.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ParamsError {
    /// A value is negative or not finite.
    #[error("{key}: expected 0 or more, not {value}")]
    Negative {
        /// Path of the key.
        key: String,
        /// Value found.
        value: f64,
    },
    /// A value is not positive or not finite.
    #[error("{key}: expected more than 0, not {value}")]
    NotPositive {
        /// Path of the key.
        key: String,
        /// Value found.
        value: f64,
    },
    /// There are no classes.
    #[error("classes: expected one or more, found none")]
    NoClasses,
    /// A class or plan has no name.
    #[error("{list}[{index}].name: expected a non-empty name")]
    Unnamed {
        /// Key of the array.
        list: &'static str,
        /// Index in the array, from 0.
        index: usize,
    },
    /// Two classes or two plans have the same name.
    #[error("{list}[{index}].name: duplicate name {name:?}")]
    DuplicateName {
        /// Key of the array.
        list: &'static str,
        /// Index of the second occurrence, from 0.
        index: usize,
        /// The duplicate name.
        name: String,
    },
    /// The maximum number of attempts is 0.
    #[error("caps.maxAttempts: expected 1 or more, not 0")]
    NoAttempts,
    /// A retry budget has no time span.
    #[error("rules.budgetSpanMs: expected a value, as rules.extraFloor or rules.furtherRatio is set")]
    BudgetWithoutSpan,
}

impl Params {
    /// Validates all values.
    ///
    /// # Errors
    /// The first invalid value.
    pub(super) fn check(&self) -> Result<(), ParamsError> {
        if self.classes.is_empty() {
            return Err(ParamsError::NoClasses);
        }
        check_names("classes", self.classes())?;
        check_names("grades", self.plans())?;
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class)?;
        }
        for (index, plan) in self.plans.iter().enumerate() {
            check_plan(index, plan)?;
        }
        if self.caps.max_attempts == 0 {
            return Err(ParamsError::NoAttempts);
        }
        self.check_site()
    }

    fn check_site(&self) -> Result<(), ParamsError> {
        let Params { caps, rules, workload, .. } = self;
        for (key, value) in [
            ("tickMs", self.tick_ms),
            ("caps.maxRetryAfterMs", caps.max_retry_after_ms),
            ("caps.dialTimeoutMs", caps.dial_timeout_ms.unwrap_or(0.0)),
            ("caps.keepaliveMs", caps.keepalive_ms.unwrap_or(0.0)),
            ("rules.askWithinMs", rules.poll_within_ms),
            ("rules.coldFrom", rules.initial_capacity),
            ("rules.coldMs", rules.warm_up_ms),
            ("rules.fallMs", rules.slow_start_window_ms),
            ("rules.fallMultiple", rules.overload_multiple),
            ("rules.extraFloor", rules.retry_floor.unwrap_or(0.0)),
            ("rules.furtherRatio", rules.retry_ratio.unwrap_or(0.0)),
            ("rules.budgetSpanMs", rules.retry_budget_span_ms.unwrap_or(0.0)),
            ("rules.keyRestMs", rules.key_cooldown_ms),
            ("rules.stopSendingWithinMs", rules.drain_grace_ms),
            ("familyInfo.coldBears", workload.slow_start_min_units),
            ("familyInfo.unitMean", workload.mean_units),
            ("familyInfo.mostUnits", workload.max_units),
            ("familyInfo.fairWorth", workload.shared_weight),
            ("familyInfo.idleWorth", workload.spare_weight),
        ] {
            check_not_negative(key, value)?;
        }
        Ok(())
    }
}

fn check_class(index: usize, class: &WireClass) -> Result<(), ParamsError> {
    let path = |key: &str| format!("classes[{index}].{key}");
    check_positive(&path("aimMs"), class.latency_objective_ms)?;
    check_positive(&path("deadlineMs"), class.deadline_ms)?;
    check_not_negative(&path("aimStretch"), class.objective_stretch)?;
    check_not_negative(&path("lateValue"), class.late_value)?;
    check_not_negative(&path("worth"), class.priority_weight)?;
    check_not_negative(&path("dedupWindowMs"), class.deduplication_window_ms)
}

fn check_plan(index: usize, plan: &WirePlan) -> Result<(), ParamsError> {
    let path = |key: &str| format!("grades[{index}].{key}");
    check_not_negative(&path("baseRate"), plan.base_rate)?;
    check_not_negative(&path("floorRate"), plan.reserve_rate)?;
    check_not_negative(&path("ceilingRate"), plan.limit_rate)?;
    check_not_negative(&path("mostAtOnce"), plan.limit_burst)?;
    check_not_negative(&path("price"), plan.priority_factor)
}

fn check_not_negative(key: &str, value: f64) -> Result<(), ParamsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(ParamsError::Negative { key: key.to_owned(), value })
    }
}

fn check_positive(key: &str, value: f64) -> Result<(), ParamsError> {
    if value.is_finite() && value > 0.0 {
        Ok(())
    } else {
        Err(ParamsError::NotPositive { key: key.to_owned(), value })
    }
}

/// Rejects empty and duplicate names. With a duplicate, all requests with that name would be assigned to the
/// first entry.
fn check_names<'a>(list: &'static str, names: impl Iterator<Item = &'a str>) -> Result<(), ParamsError> {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            return Err(ParamsError::Unnamed { list, index });
        }
        if !seen.insert(name) {
            return Err(ParamsError::DuplicateName { list, index, name: name.to_owned() });
        }
    }
    Ok(())
}
