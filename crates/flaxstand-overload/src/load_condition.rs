//! Classifies load as calm, a surge of new demand or a retry storm. Compares the attempts of the last two
//! seconds with a moving average.
//!
//! In a storm most attempts are retries, and serving them completes little work. In a surge most are first
//! attempts, which must not be throttled.

use crate::retry_detection::AttemptKind;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Number of buckets in a window.
const BUCKETS: usize = 10;
const BUCKET_DURATION: Micros = Micros(200_000);
/// Length of a window in seconds: [`BUCKETS`] times [`BUCKET_DURATION`].
pub(crate) const WINDOW_SECONDS: f64 = 2.0;
/// A window with fewer attempts is always calm: they are too few to classify.
const MIN_ATTEMPTS: u32 = 10;
/// Share of retries among the attempts of a window at which a storm begins.
const STORM_BEGINS_AT: f64 = 0.4;
/// Share of retries below which a storm ends. Lower than [`STORM_BEGINS_AT`] as hysteresis against flapping.
const STORM_ENDS_BELOW: f64 = 0.2;
/// First attempts, as a multiple of the baseline, at which a surge begins.
const SURGE_BEGINS_AT: f64 = 1.6;
/// Multiple below which a surge ends. Lower than [`SURGE_BEGINS_AT`] as hysteresis against flapping.
const SURGE_ENDS_BELOW: f64 = 1.2;
/// Weight of a new bucket in the moving average of first attempts: a time constant of about a minute.
const BASELINE_WEIGHT: f64 = 0.2 / 60.0;
/// Maximum number of buckets that are advanced one by one after an idle period: 400 windows.
const MAX_AGED_BUCKETS: u64 = BUCKETS as u64 * 400;
/// Maximum number of scopes with a window. Beyond it the volume that has been idle longest is evicted.
pub const MAX_SCOPES: usize = 4096;

/// Set of attempts that is classified as a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All attempts at this initiator.
    All,
    /// Attempts for the volumes of a plan, by the index of the plan.
    Plan(u16),
    /// Attempts for one volume.
    Volume(u64),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::All => f.write_str("all"),
            Scope::Plan(plan) => write!(f, "plan {plan}"),
            Scope::Volume(volume) => write!(f, "volume {volume:x}"),
        }
    }
}

/// Load condition of a scope.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadCondition {
    /// Normal load.
    #[default]
    Calm,
    /// Many more first attempts than the baseline.
    Surge,
    /// A large share of the attempts are retries.
    Storm,
}

/// Counts of attempts and their outcomes, in one bucket or in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// First attempts that arrived.
    pub first_attempts: u32,
    /// Retries that arrived.
    pub retries: u32,
    /// Attempts that were served.
    pub served: u32,
    /// Attempts that were rejected or abandoned.
    pub rejected: u32,
}

impl AttemptCounts {
    fn attempts(&self) -> u32 {
        self.first_attempts + self.retries
    }

    /// Share of retries among the attempts, 0 to 1.
    fn retry_share(&self) -> f64 {
        f64::from(self.retries) / f64::from(self.attempts().max(1))
    }
}

/// Sliding window over the last two seconds for one scope.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [AttemptCounts; BUCKETS],
    /// Number of the current bucket, counted from time 0 of the clock.
    current: u64,
    /// Moving average of first attempts per window; `None` until the first window is complete.
    baseline_first_attempts: Option<f64>,
    completed_buckets: u64,
    condition: LoadCondition,
}

impl Window {
    fn starting_at(now: Micros) -> Window {
        Window { current: bucket_number(now), ..Window::default() }
    }

    fn advance(&mut self, now: Micros) {
        let number = bucket_number(now);
        if number <= self.current {
            return;
        }
        let passed = (number - self.current).min(MAX_AGED_BUCKETS);
        for _ in 0..passed {
            self.complete_bucket();
        }
        self.current = number;
    }

    fn complete_bucket(&mut self) {
        self.completed_buckets += 1;
        if self.completed_buckets >= BUCKETS as u64 {
            self.update_baseline();
        }
        let next = self.current_index();
        self.buckets[next] = AttemptCounts::default();
    }

    /// Updates the moving average from calm windows only: surges and storms must not raise the baseline.
    fn update_baseline(&mut self) {
        let first_attempts = f64::from(self.counts().first_attempts);
        let weight = if self.condition == LoadCondition::Calm { BASELINE_WEIGHT } else { 0.0 };
        let baseline = self
            .baseline_first_attempts
            .map_or(first_attempts, |baseline| baseline + weight * (first_attempts - baseline));
        self.baseline_first_attempts = Some(baseline);
    }

    fn current_index(&self) -> usize {
        (self.completed_buckets % BUCKETS as u64) as usize
    }

    fn current_bucket(&mut self, now: Micros) -> &mut AttemptCounts {
        self.advance(now);
        let index = self.current_index();
        &mut self.buckets[index]
    }

    /// Returns the sums over the window.
    fn counts(&self) -> AttemptCounts {
        let sum = |count: fn(&AttemptCounts) -> u32| self.buckets.iter().map(count).sum();
        AttemptCounts {
            first_attempts: sum(|bucket| bucket.first_attempts),
            retries: sum(|bucket| bucket.retries),
            served: sum(|bucket| bucket.served),
            rejected: sum(|bucket| bucket.rejected),
        }
    }

    /// Classifies the window: a storm by its share of retries, else a surge by the ratio of first attempts to
    /// the baseline, else calm. Storms and surges have separate thresholds for begin and end.
    fn evaluate(&mut self, now: Micros) -> LoadCondition {
        self.advance(now);
        let counts = self.counts();
        let first_attempts = f64::from(counts.first_attempts);
        let multiple_of_baseline =
            first_attempts / self.baseline_first_attempts.unwrap_or(first_attempts).max(1.0);
        let storm_threshold =
            if self.condition == LoadCondition::Storm { STORM_ENDS_BELOW } else { STORM_BEGINS_AT };
        let surge_threshold =
            if self.condition == LoadCondition::Surge { SURGE_ENDS_BELOW } else { SURGE_BEGINS_AT };
        self.condition = if counts.attempts() < MIN_ATTEMPTS {
            LoadCondition::Calm
        } else if counts.retry_share() >= storm_threshold {
            LoadCondition::Storm
        } else if multiple_of_baseline >= surge_threshold {
            LoadCondition::Surge
        } else {
            LoadCondition::Calm
        };
        self.condition
    }
}

fn bucket_number(now: Micros) -> u64 {
    now.0 / BUCKET_DURATION.0
}

/// Load condition of a scope with the counts that it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConditionReport {
    /// The reported scope.
    pub scope: Scope,
    /// Load condition of the scope.
    pub condition: LoadCondition,
    /// Counts of the last two seconds.
    pub counts: AttemptCounts,
    /// Moving average of first attempts per two seconds.
    pub baseline_first_attempts: f64,
}

impl fmt::Display for LoadConditionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptCounts { first_attempts, served, rejected, .. } = self.counts;
        let percent = 100.0 * f64::from(self.counts.retries) / f64::from(self.counts.attempts().max(1));
        let scope = self.scope;
        match self.condition {
            LoadCondition::Storm => write!(
                f,
                "storm: {percent:.0}% of the attempts in the last 2 s are retries, scope {scope} \
                 ({served} served, {rejected} rejected or abandoned)"
            ),
            LoadCondition::Surge => write!(
                f,
                "surge: {first_attempts} first attempts in the last 2 s against an average of {:.0}, \
                 scope {scope} ({percent:.0}% of all attempts are retries)",
                self.baseline_first_attempts
            ),
            LoadCondition::Calm => {
                write!(f, "calm: {first_attempts} first attempts in the last 2 s, scope {scope}")
            }
        }
    }
}

/// Keeps a sliding window for each scope.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    windows: BTreeMap<Scope, Window>,
}

impl LoadMonitor {
    /// Counts the arrival of an attempt.
    pub fn record_arrival(&mut self, plan: u16, volume: u64, kind: AttemptKind, now: Micros) {
        self.update_buckets(plan, volume, now, |bucket| match kind {
            AttemptKind::First => bucket.first_attempts += 1,
            AttemptKind::Retry => bucket.retries += 1,
        });
    }

    /// Counts an attempt that was served.
    pub fn record_served(&mut self, plan: u16, volume: u64, now: Micros) {
        self.update_buckets(plan, volume, now, |bucket| bucket.served += 1);
    }

    /// Counts an attempt that was rejected or abandoned.
    pub fn record_rejected(&mut self, plan: u16, volume: u64, now: Micros) {
        self.update_buckets(plan, volume, now, |bucket| bucket.rejected += 1);
    }

    fn update_buckets(&mut self, plan: u16, volume: u64, now: Micros, update: impl Fn(&mut AttemptCounts)) {
        for scope in [Scope::All, Scope::Plan(plan), Scope::Volume(volume)] {
            self.evict_for(scope);
            let window = self.windows.entry(scope).or_insert_with(|| Window::starting_at(now));
            update(window.current_bucket(now));
        }
    }

    /// Evicts the longest idle volume if there is no space for `scope`. Bounds the memory, which would
    /// otherwise grow with the number of volumes ever seen.
    fn evict_for(&mut self, scope: Scope) {
        if self.windows.contains_key(&scope) || self.windows.len() < MAX_SCOPES {
            return;
        }
        let volumes = self.windows.iter().filter(|(scope, _)| matches!(scope, Scope::Volume(_)));
        let longest_idle = volumes.min_by_key(|(_, window)| window.current).map(|(scope, _)| *scope);
        if let Some(scope) = longest_idle {
            self.windows.remove(&scope);
        }
    }

    /// Returns the current condition of a scope; calm if the scope is not tracked.
    pub fn condition(&mut self, scope: Scope, now: Micros) -> LoadCondition {
        self.windows.get_mut(&scope).map_or(LoadCondition::Calm, |window| window.evaluate(now))
    }

    /// Returns the condition of a scope with the counts that it is based on; `None` if it is not tracked.
    pub fn report(&mut self, scope: Scope, now: Micros) -> Option<LoadConditionReport> {
        let window = self.windows.get_mut(&scope)?;
        let condition = window.evaluate(now);
        let baseline_first_attempts = window.baseline_first_attempts.unwrap_or(0.0);
        Some(LoadConditionReport { scope, condition, counts: window.counts(), baseline_first_attempts })
    }

    /// Returns the number of attempts served in the last two seconds.
    pub fn goodput(&mut self, scope: Scope, now: Micros) -> u32 {
        self.windows.get_mut(&scope).map_or(0, |window| {
            window.advance(now);
            window.counts().served
        })
    }

    /// Returns the number of volumes with an event in the last two seconds.
    pub fn active_volumes(&self, now: Micros) -> usize {
        let number = bucket_number(now);
        let is_active = |(scope, window): &(&Scope, &Window)| {
            matches!(scope, Scope::Volume(_)) && window.current + BUCKETS as u64 > number
        };
        self.windows.iter().filter(is_active).count()
    }

    /// Returns the number of tracked scopes, at most [`MAX_SCOPES`] + 1.
    pub fn scopes(&self) -> usize {
        self.windows.len()
    }

    /// Returns whether a scope has a window.
    pub fn is_tracked(&self, scope: Scope) -> bool {
        self.windows.contains_key(&scope)
    }
}
