//! Admission control of client attempts under overload: the retry throttle distinguishes retries from first
//! attempts, and lowers their priority or rejects them.

use super::Core;
use super::pending_request::{FinalResponse, Owner, PendingRequest};
use crate::machine::Micros;
use flaxstand::api::{Class, RequestId, Settings};
use flaxstand_overload::{
    ClientAttempt, RetryDetectionCounts, RetryThrottle, RetryThrottleConfig, ThrottleDecision,
};
use flaxstand_proto::{Frame, Refusal, Scope};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{debug, info};

/// Interval at which changes of the load condition are logged.
const LOG_INTERVAL: Micros = Micros(500_000);

/// Admission decision for a client's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Admitted as a first attempt.
    FirstAttempt,
    /// Admitted as a retry, with lower priority.
    Retry,
    /// Rejected. Everything in `scope` is to be retried after `wait`.
    Rejected { wait: Micros, scope: Scope },
}

/// Admits client attempts to the module according to a retry throttle.
#[derive(Debug)]
pub(super) struct AdmissionGate {
    throttle: RetryThrottle,
    rng: Pcg64Mcg,
    /// Index of the module's first class for retries.
    first_retry_class: usize,
    next_log_at: Micros,
}

/// Appends the module's classes for retries, one for each class of the site, with lower priority.
pub(super) fn add_retry_classes(settings: &mut Settings, site_classes: usize, rules: &RetryThrottleConfig) {
    let retry_class =
        |c: &Class| Class { priority_weight: c.priority_weight * rules.retry_weight, ..c.clone() };
    let retry_classes: Vec<Class> = settings.classes[..site_classes].iter().map(retry_class).collect();
    settings.classes.extend(retry_classes);
}

impl AdmissionGate {
    /// Creates a gate. `first_retry_class` is the index of the module's first class for retries.
    pub(super) fn new(rules: RetryThrottleConfig, first_retry_class: usize, seed: u64, now: Micros) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        AdmissionGate { throttle: RetryThrottle::new(rules), rng, first_retry_class, next_log_at: now }
    }

    /// Returns a uniformly distributed random number in 0..1.
    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Decides whether an attempt that has arrived is admitted.
    pub(super) fn admit(&mut self, id: RequestId, request: &PendingRequest, now: Micros) -> Admission {
        let draw = self.random_unit();
        match self.throttle.admit(&client_attempt(request), now, draw) {
            ThrottleDecision::FullWeight => Admission::FirstAttempt,
            ThrottleDecision::RetryWeight => Admission::Retry,
            ThrottleDecision::Rejected { retry_after: wait, scope } => {
                debug!(request = id.0, wait_us = wait.0, %scope, "retry rejected under overload");
                let scope = match scope {
                    flaxstand_overload::Scope::Volume(_) => Scope::Volume,
                    flaxstand_overload::Scope::Plan(_) => Scope::Volume,
                    flaxstand_overload::Scope::All => Scope::All,
                };
                Admission::Rejected { wait, scope }
            }
        }
    }

    /// Returns a randomised Retry-After of at most `module_retry_after`, which the module sets to the same
    /// value for all clients; 0 stays 0.
    pub(super) fn retry_after(&mut self, module_retry_after: Micros) -> Micros {
        if module_retry_after == Micros(0) {
            return module_retry_after;
        }
        let draw = self.random_unit();
        self.throttle.retry_after(draw).min(module_retry_after)
    }

    /// Reports the result of a client's request to the throttle.
    pub(super) fn record_end(&mut self, request: &PendingRequest, now: Micros) {
        let is_of_client = matches!(request.original_owner, Owner::Client { .. });
        if request.is_end_recorded || request.is_ordering_request || !is_of_client {
            return;
        }
        let attempt = client_attempt(request);
        match request.final_response {
            FinalResponse::Served => self.throttle.record_served(&attempt, now),
            FinalResponse::NotExecuted(_) | FinalResponse::Failed => {
                self.throttle.record_rejected(&attempt, now)
            }
            FinalResponse::None => {}
        }
    }

    /// Returns the module's class for retries of one of the site's classes.
    pub(super) fn retry_class(&self, site_class: usize) -> usize {
        self.first_retry_class + site_class
    }

    /// Returns how many attempts clients marked as retries, and how many were detected as such.
    pub(super) fn attempt_counts(&self) -> RetryDetectionCounts {
        self.throttle.detection_counts()
    }

    /// Logs plans whose load condition has changed, at most once per [`LOG_INTERVAL`].
    pub(super) fn log_condition_changes(&mut self, plans: u16, now: Micros) {
        if self.next_log_at > now {
            return;
        }
        self.next_log_at = now.after(LOG_INTERVAL);
        for report in self.throttle.take_condition_changes(plans, now) {
            info!("{report}");
        }
    }
}

impl Core {
    /// Applies admission control to a client's attempt. Returns the module's class for it, or `None` if it
    /// was rejected.
    pub(super) fn apply_admission(&mut self, id: RequestId, now: Micros) -> Option<usize> {
        let request = self.requests.get(id)?;
        let class = usize::from(request.class);
        let Some(gate) = &mut self.gate else { return Some(class) };
        match gate.admit(id, request, now) {
            Admission::FirstAttempt => Some(class),
            Admission::Retry => {
                let class = gate.retry_class(class);
                if let Some(request) = self.requests.get_mut(id) {
                    request.is_retry = true;
                }
                Some(class)
            }
            Admission::Rejected { wait, scope } => {
                self.reject_retry(id, wait, scope, now);
                None
            }
        }
    }

    fn reject_retry(&mut self, id: RequestId, wait: Micros, scope: Scope, now: Micros) {
        self.counts.retries_rejected += 1;
        if let Some(request) = self.requests.get_mut(id) {
            // The throttle has counted the rejection in `admit`.
            request.is_end_recorded = true;
        }
        let (wait, refusal) = (wait.saturating_u32(), Refusal::Storm);
        self.send_final_response(id, FinalResponse::NotExecuted(Micros(0)), now, |id| Frame::Refused {
            id,
            wait,
            refusal,
            scope,
        });
    }

    /// Returns the module's class for a request.
    pub(super) fn module_class(&self, request: &PendingRequest) -> usize {
        let class = usize::from(request.class);
        match &self.gate {
            Some(gate) if request.is_retry => gate.retry_class(class),
            _ => class,
        }
    }
}

fn client_attempt(request: &PendingRequest) -> ClientAttempt {
    ClientAttempt {
        volume: request.volume,
        plan: request.plan,
        class: request.class,
        extent: request.extent,
        marked: request.client_retries > 0,
    }
}
