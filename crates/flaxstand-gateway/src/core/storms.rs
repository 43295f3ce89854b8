//! Storms at the gate: what the damper says of each try, and what it is told of how tries end.

use super::Core;
use super::requests::{Held, Owner, Verdict};
use crate::machine::Micros;
use flaxstand::api::{Class, RequestId, Settings};
use flaxstand_overload::{
    ClientAttempt, RetryDetectionCounts, RetryThrottle, RetryThrottleConfig, ThrottleDecision,
};
use flaxstand_proto::{Frame, Refusal, Scope};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{debug, info};

/// How often the weather is looked at for the log.
const LOOK: Micros = Micros(500_000);

/// The damper with what the core needs around it.
#[derive(Debug)]
pub(super) struct Gate {
    throttle: RetryThrottle,
    rng: Pcg64Mcg,
    /// Where the module's classes for repeats begin.
    classes: usize,
    look_at: Micros,
}

/// What the module is told of repeats: after the classes so far, one for each of the site's, of less worth.
pub(super) fn with_repeats(settings: &mut Settings, site_classes: usize, rules: &RetryThrottleConfig) {
    let less = |c: &Class| Class { priority_weight: c.priority_weight * rules.retry_weight, ..c.clone() };
    let own: Vec<Class> = settings.classes[..site_classes].iter().map(less).collect();
    settings.classes.extend(own);
}

impl Gate {
    pub(super) fn new(rules: RetryThrottleConfig, classes: usize, seed: u64, now: Micros) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Gate { throttle: RetryThrottle::new(rules), rng, classes, look_at: now }
    }

    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn try_of(held: &Held) -> ClientAttempt {
    ClientAttempt {
        volume: held.volume,
        plan: held.plan,
        class: held.class,
        extent: held.extent,
        marked: held.try_no > 0,
    }
}

impl Core {
    /// A client's try is taken: as what, or it is refused at once. Returns the module's class for it.
    pub(super) fn gate(&mut self, id: RequestId, now: Micros) -> Option<usize> {
        let held = self.requests.get(&id)?;
        let (class, this) = (usize::from(held.class), try_of(held));
        let Some(gate) = &mut self.gate else { return Some(class) };
        let draw = gate.draw();
        match gate.throttle.admit(&this, now, draw) {
            ThrottleDecision::FullWeight => Some(class),
            ThrottleDecision::RetryWeight => {
                if let Some(held) = self.requests.get_mut(&id) {
                    held.repeats = true;
                }
                Some(gate.classes + class)
            }
            ThrottleDecision::Rejected { retry_after: wait, scope } => {
                debug!(request = id.0, wait_us = wait.0, %scope, "a repeat in a storm: turned away");
                self.counts.damped += 1;
                let scope = match scope {
                    flaxstand_overload::Scope::Volume(_) => Scope::Volume,
                    flaxstand_overload::Scope::Plan(_) => Scope::Volume,
                    flaxstand_overload::Scope::All => Scope::All,
                };
                // The damper knows of it already.
                if let Some(held) = self.requests.get_mut(&id) {
                    held.told = true;
                }
                let (wait, refusal) = (u32::try_from(wait.0).unwrap_or(u32::MAX), Refusal::Storm);
                self.answer(id, Verdict::NotRun(Micros(0)), now, |id| Frame::Refused {
                    id,
                    wait,
                    refusal,
                    scope,
                });
                None
            }
        }
    }

    /// The wait to advise in place of the module's, which is the same for all.
    pub(super) fn advice(&mut self, module: Micros) -> Micros {
        let Some(gate) = self.gate.as_mut().filter(|_| module > Micros(0)) else { return module };
        let draw = gate.draw();
        gate.throttle.retry_after(draw).min(module)
    }

    /// A client's request is over: the damper learns how.
    pub(super) fn tell_gate(&mut self, held: &Held, now: Micros) {
        let Some(gate) = &mut self.gate else { return };
        if held.told || held.mark || !matches!(held.owner_was, Owner::Client(..)) {
            return;
        }
        let this = try_of(held);
        match held.verdict {
            Verdict::Served => gate.throttle.record_served(&this, now),
            Verdict::NotRun(_) | Verdict::Failed => gate.throttle.record_rejected(&this, now),
            Verdict::None => {}
        }
    }

    /// The module's class of a request.
    pub(super) fn brain_class(&self, held: &Held) -> usize {
        match &self.gate {
            Some(gate) if held.repeats => gate.classes + usize::from(held.class),
            _ => usize::from(held.class),
        }
    }

    /// How repeats were told, where storms are met.
    pub fn repeats_judged(&self) -> Option<RetryDetectionCounts> {
        self.gate.as_ref().map(|g| g.throttle.detection_counts())
    }

    /// Tells the log when a plan's weather changes. Asked for at each settling.
    pub(super) fn look_at_weather(&mut self, now: Micros) {
        let plans = self.config.site.plans.len() as u16;
        let Some(gate) = self.gate.as_mut().filter(|g| g.look_at <= now) else { return };
        gate.look_at = now.after(LOOK);
        for report in gate.throttle.take_condition_changes(plans, now) {
            info!("{report}");
        }
    }
}
