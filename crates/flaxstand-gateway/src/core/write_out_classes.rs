//! Derives the decision module's classes for write-outs and the write-back buffer's configuration from the
//! site's settings.

use super::config::{Site, WriteBack};
use crate::machine::Micros;
use flaxstand::api::{Class, Effect, RetryBudget, Settings};
use flaxstand_write_back::Config;
use flaxstand_write_back::config::BufferingMode;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::retry_budget::WriteOutRetryBudget;
use flaxstand_write_back::writeout::Urgency;

/// Returns the index of the module's class for a write-out. These classes follow the site's.
pub(super) fn write_out_class(site_classes: usize, class: u16, urgency: Urgency) -> usize {
    site_classes + usize::from(class) * Urgency::ALL.len() + urgency as usize
}

/// Appends the module's classes for write-outs, one for each class of the site and each urgency.
pub(super) fn with_write_out_classes(settings: &Settings) -> Settings {
    let max_weight = settings.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max);
    let by_urgency = |class| Urgency::ALL.map(|urgency| class_at_urgency(class, urgency, max_weight));
    let write_out_classes: Vec<Class> = settings.classes.iter().flat_map(by_urgency).collect();
    let mut settings = settings.clone();
    settings.classes.extend(write_out_classes);
    settings
}

/// Derives the class for write-outs of this urgency. Its priority is a fraction of the original class's, its
/// latency objective a multiple. At the highest urgency it has the highest priority of all classes.
fn class_at_urgency(class: &Class, urgency: Urgency, max_weight: f64) -> Class {
    let (priority_weight, latency_factor) = match urgency {
        Urgency::Idle => (class.priority_weight * 0.05, 4.0),
        Urgency::Rising => (class.priority_weight * 0.3, 2.0),
        Urgency::High => (class.priority_weight, 1.0),
        Urgency::Urgent => (max_weight, 1.0),
    };
    let latency_objective = class.latency_objective * latency_factor;
    Class {
        priority_weight,
        latency_objective,
        deadline: class.deadline.max(latency_objective),
        // No client waits for a write-out, so its value does not decrease after the latency objective.
        late_value: 1.0,
        ..class.clone()
    }
}

/// Returns the buffer's configuration. `calendar` is the host's wall-clock time at the start, in
/// microseconds.
pub(super) fn buffer_config(write_back: &WriteBack, site: &Site, calendar: u64) -> Config {
    let buffering = |(info, class): (&super::ClassInfo, &Class)| match (info.is_buffered, class.effect) {
        (true, Effect::Idempotent) => BufferingMode::Idempotent,
        (true, Effect::IdempotencyKey { window, .. }) => {
            BufferingMode::IdempotencyKey(Micros::from_ms(window))
        }
        (true, Effect::AtMostOnce) | (false, _) => BufferingMode::Never,
    };
    let retry_budget = |b: RetryBudget| WriteOutRetryBudget {
        floor: b.floor,
        ratio: b.ratio,
        span: Micros::from_ms(b.span),
    };
    Config {
        limits: write_back.limits.clone(),
        retry_after: Micros::from_ms(site.settings.max_retry_after),
        key_cooldown: Micros::from_ms(site.settings.key_cooldown),
        classes: site.classes.iter().zip(&site.settings.classes).map(buffering).collect(),
        retry_budget: site.settings.retry_budget.map(retry_budget),
        wall_clock_origin: WallClock(calendar),
    }
}
