//! What decides about requests: the decision module, or a baseline in its place for measurements.

use super::admission::add_retry_classes;
use super::baseline_policy::{BaselinePolicy, Placement};
use super::write_out_classes::with_write_out_classes;
use super::{Config, Policy};
use crate::machine::Micros;
use flaxstand::api::{Action, Event, Settings};
use flaxstand::scheduler::Scheduler;

/// The decision module or a baseline.
pub(super) enum DecisionPolicy {
    Scheduler(Box<Scheduler>),
    Baseline(BaselinePolicy),
}

impl DecisionPolicy {
    /// The policy that the configuration names, with these settings.
    pub(super) fn new(config: &Config, settings: Settings, now: Micros) -> Self {
        let baseline = |placement| DecisionPolicy::Baseline(BaselinePolicy::new(placement, config.seed));
        match config.policy {
            Policy::Module => {
                let seed = config.seed ^ config.epoch.rotate_left(32);
                DecisionPolicy::Scheduler(Box::new(Scheduler::new(settings, seed, now.ms())))
            }
            Policy::RoundRobin => baseline(Placement::RoundRobin),
            Policy::LeastInFlight => baseline(Placement::LeastInFlight),
            Policy::TwoChoices => baseline(Placement::TwoChoices),
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub(super) fn handle(&mut self, event: Event, now: Micros, actions: &mut Vec<Action>) {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.handle(event, now.ms(), actions),
            DecisionPolicy::Baseline(baseline) => baseline.handle(event, actions),
        }
    }

    /// Until when requests may be sent by the current endpoint list, ms. For baselines it never expires.
    pub(super) fn endpoints_trusted_until(&self) -> f64 {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.endpoints_trusted_until(),
            DecisionPolicy::Baseline(_) => f64::INFINITY,
        }
    }
}

/// The module's settings: the site's, and classes for write-outs and retries after the site's own.
pub(super) fn module_settings(config: &Config) -> Settings {
    let mut settings = match &config.site.write_back {
        Some(_) => with_write_out_classes(&config.site.settings),
        None => config.site.settings.clone(),
    };
    if let Some(rules) = &config.site.retry_throttle {
        add_retry_classes(&mut settings, config.site.classes.len(), rules);
    }
    settings
}
