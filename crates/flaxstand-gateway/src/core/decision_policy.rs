//! The policy that decides about requests: the decision module, or a baseline for measurements.

use super::admission::add_retry_classes;
use super::baseline_policy::{BaselinePolicy, Placement};
use super::write_out_classes::with_write_out_classes;
use super::{Config, Policy};
use crate::machine::Micros;
use flaxstand::api::{Action, Event, Settings, VolumeId};
use flaxstand::scheduler::Scheduler;

/// The decision module or a baseline.
pub(super) enum DecisionPolicy {
    Scheduler(Box<Scheduler>),
    Baseline(BaselinePolicy),
}

impl DecisionPolicy {
    /// Creates the configured policy with these settings.
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

    /// Handles one event and appends the resulting actions to `actions`.
    pub(super) fn handle(&mut self, event: Event, now: Micros, actions: &mut Vec<Action>) {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.handle(event, now.ms(), actions),
            DecisionPolicy::Baseline(baseline) => baseline.handle(event, actions),
        }
    }

    /// Returns whether another request of this volume adds no state that outlives the request.
    pub(super) fn tracks_volume(&self, volume: VolumeId) -> bool {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.tracks_volume(volume),
            DecisionPolicy::Baseline(_) => true,
        }
    }

    /// Returns the number of volumes with state.
    pub(super) fn tracked_volumes(&self) -> usize {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.tracked_volumes(),
            DecisionPolicy::Baseline(_) => 0,
        }
    }

    /// Returns the time in ms until which requests may be sent according to the current endpoint list. For
    /// baselines it never expires.
    pub(super) fn endpoints_trusted_until(&self) -> f64 {
        match self {
            DecisionPolicy::Scheduler(scheduler) => scheduler.endpoints_trusted_until(),
            DecisionPolicy::Baseline(_) => f64::INFINITY,
        }
    }
}

/// Returns the module's settings: those of the site, with classes for write-outs and retries appended to its
/// classes.
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
