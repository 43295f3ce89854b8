//! At what priority weight an attempt is admitted, which retries are rejected, and the retry-after they get.
//!
//! - A retry has a fraction of a first attempt's weight, in calm as in a storm: it displaces no first attempt
//!   of equal weight, and doesn't wait where nothing else does.
//! - In a storm of its volume, of its plan or of all, a volume's retries get an even part of a share of the
//!   goodput. Beyond it they are rejected before they cost anything. First attempts never are.
//! - A retry-after is drawn from half to all of the longest that clients honour, so that clients do not
//!   return as one.

use crate::load_condition::{LoadCondition, LoadConditionReport, LoadMonitor, Scope, WINDOW_SECONDS};
use crate::retry_detection::{AttemptKind, ClientAttempt, RetryDetectionCounts, RetryDetector};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Most volumes that an allowance is kept for. Beyond it all start anew: only volumes in a storm have one.
const MAX_ALLOWANCES: usize = 4096;

/// Settings of a [`RetryThrottle`]. `docs/storms.md` describes each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryThrottleConfig {
    /// Priority weight of a retry, as a fraction of a first attempt's.
    pub retry_weight: f64,
    /// Retries admitted in a storm, as a share of the goodput.
    pub retry_share: f64,
    /// Retries a second admitted in a storm even without goodput.
    pub retry_floor: f64,
    /// How long a rejected client is expected to retry.
    pub retry_memory: Micros,
    /// Longest retry-after that clients honour.
    pub max_advice: Micros,
    /// Rejected attempts that are remembered.
    pub remembered: usize,
}

impl Default for RetryThrottleConfig {
    fn default() -> Self {
        RetryThrottleConfig {
            retry_weight: 0.1,
            retry_share: 0.1,
            retry_floor: 0.5,
            retry_memory: Micros(2_000_000),
            max_advice: Micros(500_000),
            remembered: 1 << 16,
        }
    }
}

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleDecision {
    /// Admitted at its class's priority weight.
    FullWeight,
    /// Admitted at a retry's weight.
    RetryWeight,
    /// Rejected at once.
    Rejected {
        /// The client is told to come back no earlier than after this.
        retry_after: Micros,
        /// Scope that is in a storm.
        scope: Scope,
    },
}

/// Token bucket of a volume's retries in a storm. Starts full.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    refilled_at: Micros,
}

impl Allowance {
    /// Refills at `rate` tokens a second and takes one token if there is one. Holds at most a second's
    /// tokens, but at least one: else a slow rate would never admit anything.
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
    /// By volume, of volumes in a storm.
    allowances: BTreeMap<u64, Allowance>,
    /// Condition that was last reported of each plan and of all.
    reported: BTreeMap<Scope, LoadCondition>,
    rejected_retries: u64,
}

impl RetryThrottle {
    /// A throttle that has seen no attempt.
    pub fn new(config: RetryThrottleConfig) -> Self {
        RetryThrottle {
            detector: RetryDetector::new(config.retry_memory, config.remembered),
            config,
            monitor: LoadMonitor::default(),
            allowances: BTreeMap::new(),
            reported: BTreeMap::new(),
            rejected_retries: 0,
        }
    }

    /// Decides on an attempt that arrives. `draw`, uniform in 0 to 1, spreads the retry-after.
    pub fn admit(&mut self, attempt: &ClientAttempt, now: Micros, draw: f64) -> ThrottleDecision {
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
        ThrottleDecision::Rejected { retry_after: self.retry_after(draw), scope }
    }

    /// Narrowest scope of an attempt that is in a storm.
    fn storm_scope(&mut self, attempt: &ClientAttempt, now: Micros) -> Option<Scope> {
        let scopes = [Scope::Volume(attempt.volume), Scope::Plan(attempt.plan), Scope::All];
        scopes.into_iter().find(|scope| self.monitor.condition(*scope, now) == LoadCondition::Storm)
    }

    /// Takes a retry out of a volume's allowance: the admitted retries a second, split evenly over the active
    /// volumes.
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

    /// The retry-after of a rejection, from half to all of the longest that clients honour. `draw` is uniform
    /// in 0 to 1.
    pub fn retry_after(&self, draw: f64) -> Micros {
        Micros((self.config.max_advice.0 as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as u64)
    }

    /// Counts an attempt that was served.
    pub fn record_served(&mut self, attempt: &ClientAttempt, now: Micros) {
        self.monitor.record_served(attempt.plan, attempt.volume, now);
    }

    /// Remembers an attempt that was rejected or abandoned; an attempt like it is then its retry.
    pub fn record_rejected(&mut self, attempt: &ClientAttempt, now: Micros) {
        self.detector.record_rejected(attempt, now);
        self.monitor.record_rejected(attempt.plan, attempt.volume, now);
    }

    /// Reports of the plans (of indices below `plans`) and of all whose condition has changed since it was
    /// last reported.
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

    /// Agreement of retry detection with the marks of clients since the start.
    pub fn detection_counts(&self) -> RetryDetectionCounts {
        self.detector.counts()
    }

    /// Retries rejected in storms since the start. The decision module never sees them.
    pub fn rejected_retries(&self) -> u64 {
        self.rejected_retries
    }
}
