//! Whether the values of a settings object make sense, key by key. A zero is a limit like any other where it
//! has a meaning.

use super::Params;
use super::wire::{WireClass, WirePlan};
use std::collections::BTreeSet;
use thiserror::Error;

/// Why a settings object can't be used. Keys are named as on the wire.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ParamsError {
    /// A value is below 0, or no finite number.
    #[error("{key}: expected 0 or more, not {value}")]
    Negative {
        /// Path of the key.
        key: String,
        /// What is there.
        value: f64,
    },
    /// A value is not above 0, or no finite number.
    #[error("{key}: expected more than 0, not {value}")]
    NotPositive {
        /// Path of the key.
        key: String,
        /// What is there.
        value: f64,
    },
    /// There is no class.
    #[error("classes: expected one or more")]
    NoClasses,
    /// A class or plan has no name.
    #[error("{list}[{index}].name: expected a name")]
    Unnamed {
        /// Key of the list.
        list: &'static str,
        /// Place in it, from 0.
        index: usize,
    },
    /// Two classes or two plans have one name.
    #[error("{list}[{index}].name: {name:?} is there twice")]
    DuplicateName {
        /// Key of the list.
        list: &'static str,
        /// Place of the second, from 0.
        index: usize,
        /// The name.
        name: String,
    },
    /// Not even one attempt is allowed.
    #[error("caps.maxAttempts: expected 1 or more, not 0")]
    NoAttempts,
    /// A retry budget has no span over which it counts.
    #[error("a budget of attempts without its span")]
    BudgetWithoutSpan,
}

impl Params {
    /// Checks all values.
    ///
    /// # Errors
    /// The first that makes no sense.
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
        let Params { caps, rules, family, .. } = self;
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
            ("familyInfo.coldBears", family.slow_start_min_units),
            ("familyInfo.unitMean", family.mean_units),
            ("familyInfo.mostUnits", family.max_units),
            ("familyInfo.fairWorth", family.shared_weight),
            ("familyInfo.idleWorth", family.spare_weight),
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

/// Guards against two things of one name: a request of that name would count to the first.
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
