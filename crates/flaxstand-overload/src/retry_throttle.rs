//! Chooses the priority weight of admitted attempts, rejects retries during a storm, and computes the
//! Retry-After of a rejection.
//!
//! - A retry has a fraction of a first attempt's weight, in calm as in a storm: it displaces no first attempt
//!   of equal weight, and does not wait if nothing else is queued.
//! - During a storm of its volume, of its plan or overall, the retries of a volume get an equal share of a
//!   fraction of the goodput. Retries beyond it are rejected before they use resources. First attempts are
//!   never rejected.
//! - A Retry-After is random between half and all of the longest that clients honour, so that clients do not
//!   retry at the same time.

use crate::load_condition::{LoadCondition, LoadConditionReport, LoadMonitor, Scope, WINDOW_SECONDS};
use crate::retry_detection::{AttemptKind, ClientAttempt, RetryDetectionCounts, RetryDetector};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Maximum number of volumes with an allowance. Beyond it all allowances are reset; only volumes in a storm
/// have one.
const MAX_ALLOWANCES: usize = 4096;

/// Settings of a [`RetryThrottle`]. `docs/storms.md` describes each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryThrottleConfig {
    /// Priority weight of a retry, as a fraction of the weight of a first attempt.
    pub retry_weight: f64,
    /// Retries admitted during a storm, as a share of the goodput.
    pub retry_share: f64,
    /// Retries per second admitted during a storm even without goodput.
    pub retry_floor: f64,
    /// Time within which a rejected client is expected to retry.
    pub retry_memory: Micros,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Maximum number of rejected attempts remembered for retry detection.
    pub max_remembered: usize,
}

impl Default for RetryThrottleConfig {
    fn default() -> Self {
        RetryThrottleConfig {
            retry_weight: 0.1,
            retry_share: 0.1,
            retry_floor: 0.5,
            retry_memory: Micros(2_000_000),
            max_retry_after: Micros(500_000),
            max_remembered: 1 << 16,
        }
    }
}

/// Decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleDecision {
    /// Admitted at the priority weight of its class.
    FullWeight,
    /// Admitted at the reduced weight of a retry.
    RetryWeight,
    /// Rejected immediately.
    Rejected {
        /// Minimum time after which the client may retry.
        retry_after: Micros,
        /// Narrowest scope that is in a storm.
        scope: Scope,
    },
}

/// Token bucket for the retries of a volume during a storm. Starts full.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    refilled_at: Micros,
}

impl Allowance {
    /// Refills at `rate` tokens per second and takes one token if available. The capacity is one second's
    /// tokens, but at least one: a rate below one per second would otherwise never admit a retry.
    fn take_token(&mut self, rate: f64, now: Micros) -> bool {
        let gained = rate * now.since(self.refilled_at).ms() / 1000.0;
        self.tokens = (self.tokens + gained).min(rate.max(1.0));
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// Throttles the retries that arrive at one initiator.
#[derive(Debug)]
pub struct RetryThrottle {
    config: RetryThrottleConfig,
    detector: RetryDetector,
    monitor: LoadMonitor,
    /// Allowance of each volume in a storm.
    allowances: BTreeMap<u64, Allowance>,
    /// Last reported condition of each plan and of [`Scope::All`].
    reported: BTreeMap<Scope, LoadCondition>,
    rejected_retries: u64,
}

impl RetryThrottle {
    /// Creates a throttle without any history.
    pub fn new(config: RetryThrottleConfig) -> Self {
        RetryThrottle {
            detector: RetryDetector::new(config.retry_memory, config.max_remembered),
            config,
            monitor: LoadMonitor::default(),
            allowances: BTreeMap::new(),
            reported: BTreeMap::new(),
            rejected_retries: 0,
        }
    }

    /// Decides on an arriving attempt. `jitter`, uniform in 0 to 1, spreads the Retry-After.
    pub fn admit(&mut self, attempt: &ClientAttempt, now: Micros, jitter: f64) -> ThrottleDecision {
        let kind = self.detector.classify(attempt, now);
        self.monitor.record_arrival(attempt.plan, attempt.volume, kind, now);
        if kind == AttemptKind::First {
            return ThrottleDecision::FullWeight;
        }
        let Some(scope) = self.storm_scope(attempt, now) else {
            self.allowances.remove(&attempt.volume);
            return ThrottleDecision::RetryWeight;
        };
        if self.take_allowance(attempt.volume, now) {
            return ThrottleDecision::RetryWeight;
        }
        self.rejected_retries += 1;
        self.record_rejected(attempt, now);
        ThrottleDecision::Rejected { retry_after: self.retry_after(jitter), scope }
    }

    /// Returns the narrowest scope of an attempt that is in a storm.
    fn storm_scope(&mut self, attempt: &ClientAttempt, now: Micros) -> Option<Scope> {
        let scopes = [Scope::Volume(attempt.volume), Scope::Plan(attempt.plan), Scope::All];
        scopes.into_iter().find(|scope| self.monitor.condition(*scope, now) == LoadCondition::Storm)
    }

    /// Takes a token from the allowance of a volume. The total rate of admitted retries is divided equally
    /// among the active volumes.
    fn take_allowance(&mut self, volume: u64, now: Micros) -> bool {
        let goodput_rate = f64::from(self.monitor.goodput(Scope::All, now)) / WINDOW_SECONDS;
        let retry_rate = (goodput_rate * self.config.retry_share).max(self.config.retry_floor);
        let volume_rate = retry_rate / self.monitor.active_volumes(now).max(1) as f64;
        if self.allowances.len() >= MAX_ALLOWANCES && !self.allowances.contains_key(&volume) {
            self.allowances.clear();
        }
        let full = Allowance { tokens: volume_rate.max(1.0), refilled_at: now };
        self.allowances.entry(volume).or_insert(full).take_token(volume_rate, now)
    }

    /// Returns the Retry-After of a rejection, between half and all of the longest that clients honour.
    /// `jitter` is uniform in 0 to 1.
    pub fn retry_after(&self, jitter: f64) -> Micros {
        Micros((self.config.max_retry_after.0 as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as u64)
    }

    /// Counts an attempt that was served.
    pub fn record_served(&mut self, attempt: &ClientAttempt, now: Micros) {
        self.monitor.record_served(attempt.plan, attempt.volume, now);
    }

    /// Records an attempt that was rejected or abandoned; a later attempt with the same key is its retry.
    pub fn record_rejected(&mut self, attempt: &ClientAttempt, now: Micros) {
        self.detector.record_rejected(attempt, now);
        self.monitor.record_rejected(attempt.plan, attempt.volume, now);
    }

    /// Returns a report for each plan (index below `plans`), and for [`Scope::All`], whose condition has
    /// changed since it was last reported.
    pub fn take_condition_changes(&mut self, plans: u16, now: Micros) -> Vec<LoadConditionReport> {
        let scopes = (0..plans).map(Scope::Plan).chain([Scope::All]);
        let mut changes = Vec::new();
        for scope in scopes {
            let Some(report) = self.monitor.report(scope, now) else { continue };
            let reported = self.reported.entry(scope).or_default();
            if *reported != report.condition {
                *reported = report.condition;
                changes.push(report);
            }
        }
        changes
    }

    /// Returns the agreement of retry detection with the marks of clients since the start.
    pub fn detection_counts(&self) -> RetryDetectionCounts {
        self.detector.counts()
    }

    /// Returns the number of retries rejected during storms since the start. The decision module never
    /// receives them.
    pub fn rejected_retries(&self) -> u64 {
        self.rejected_retries
    }
}
