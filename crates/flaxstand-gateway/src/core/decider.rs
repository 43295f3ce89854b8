//! Who decides: the decision module, or a baseline in its place for measurements.

use super::admission::add_retry_classes;
use super::pipe::{Pipe, Placement};
use super::write_out_classes::with_write_out_classes;
use super::{Config, Policy};
use crate::machine::Micros;
use flaxstand::api::{Action, Event, Settings};
use flaxstand::scheduler::Scheduler;

/// The decision module or a baseline.
pub(super) enum Decider {
    Module(Box<Scheduler>),
    Pipe(Pipe),
}

impl Decider {
    /// The one that the configuration names, told these settings.
    pub(super) fn new(config: &Config, settings: Settings, now: Micros) -> Self {
        let pipe = |placement| Decider::Pipe(Pipe::new(placement, config.seed));
        match config.policy {
            Policy::Module => {
                let seed = config.seed ^ config.epoch.rotate_left(32);
                Decider::Module(Box::new(Scheduler::new(settings, seed, now.ms())))
            }
            Policy::Pipe => pipe(Placement::RoundRobin),
            Policy::LeastOut => pipe(Placement::LeastOut),
            Policy::TwoChoices => pipe(Placement::TwoChoices),
        }
    }

    /// Takes one event; what is to be done is added to `actions`.
    pub(super) fn handle(&mut self, event: Event, now: Micros, actions: &mut Vec<Action>) {
        match self {
            Decider::Module(scheduler) => scheduler.handle(event, now.ms(), actions),
            Decider::Pipe(pipe) => pipe.handle(event, actions),
        }
    }

    /// Until when requests may be sent on the list held, ms. Baselines know of no age of lists.
    pub(super) fn endpoints_trusted_until(&self) -> f64 {
        match self {
            Decider::Module(scheduler) => scheduler.endpoints_trusted_until(),
            Decider::Pipe(_) => f64::INFINITY,
        }
    }
}

/// What the module is told: the site's settings, and classes for write-outs and repeats after the site's own.
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
