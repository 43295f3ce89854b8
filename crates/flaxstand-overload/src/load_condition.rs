//! Whether load is calm, a surge of new demand or a retry storm, from the attempts of the last two seconds
//! compared with the usual number.
//!
//! In a storm most attempts are retries, and serving them completes little work. A surge is many first
//! attempts: these clients ask for the first time and must not be throttled.

use crate::retry_detection::AttemptKind;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Buckets of a window.
const BUCKETS: usize = 10;
/// Time that a bucket covers.
const BUCKET_DURATION: Micros = Micros(200_000);
/// Length of a window, seconds: [`BUCKETS`] times [`BUCKET_DURATION`].
pub(crate) const WINDOW_SECONDS: f64 = 2.0;
/// Attempts in a window below which it is calm whatever they are: too few to judge by.
const MIN_ATTEMPTS: u32 = 10;
/// Share of retries among a window's attempts at which a storm begins.
const STORM_BEGINS_AT: f64 = 0.4;
/// Share of retries below which a storm is over. Below where it begins, so that it doesn't flap.
const STORM_ENDS_BELOW: f64 = 0.2;
/// First attempts, as a multiple of the usual number, at which a surge begins.
const SURGE_BEGINS_AT: f64 = 1.6;
/// Multiple below which a surge is over. Below where it begins, so that it doesn't flap.
const SURGE_ENDS_BELOW: f64 = 1.2;
/// Weight of a new bucket in the moving average of usual first attempts: about a minute's memory.
const USUAL_WEIGHT: f64 = 0.2 / 60.0;
/// Most buckets that are aged one by one after a pause: 400 windows.
const MAX_AGED_BUCKETS: u64 = BUCKETS as u64 * 400;
/// Most scopes that windows are kept for; of more, the volume that was idle for longest is dropped.
pub const MAX_SCOPES: usize = 4096;

/// Attempts that are judged together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All of this initiator.
    All,
    /// Those of a plan's volumes, by the plan's index.
    Plan(u16),
    /// Those of one volume.
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

/// Condition of a scope's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadCondition {
    /// As usual.
    #[default]
    Calm,
    /// Many more first attempts than usual.
    Surge,
    /// A large share of the attempts are retries.
    Storm,
}

/// Attempts and their ends that were counted in one bucket, or in a whole window.
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

/// Sliding window over the last two seconds of one scope.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [AttemptCounts; BUCKETS],
    /// Number of the bucket that is being filled, counted from the clock's 0.
    current: u64,
    /// Moving average of first attempts in a window; `None` before the first window is complete.
    usual_first_attempts: Option<f64>,
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
            self.update_usual();
        }
        let next = self.current_index();
        self.buckets[next] = AttemptCounts::default();
    }

    /// Only calm windows count: what a surge or a storm brings is not usual.
    fn update_usual(&mut self) {
        let first_attempts = f64::from(self.counts().first_attempts);
        let weight = if self.condition == LoadCondition::Calm { USUAL_WEIGHT } else { 0.0 };
        let usual = self
            .usual_first_attempts
            .map_or(first_attempts, |usual| usual + weight * (first_attempts - usual));
        self.usual_first_attempts = Some(usual);
    }

    fn current_index(&self) -> usize {
        (self.completed_buckets % BUCKETS as u64) as usize
    }

    fn current_bucket(&mut self, now: Micros) -> &mut AttemptCounts {
        self.advance(now);
        let index = self.current_index();
        &mut self.buckets[index]
    }

    /// Sums over the window.
    fn counts(&self) -> AttemptCounts {
        let sum = |count: fn(&AttemptCounts) -> u32| self.buckets.iter().map(count).sum();
        AttemptCounts {
            first_attempts: sum(|bucket| bucket.first_attempts),
            retries: sum(|bucket| bucket.retries),
            served: sum(|bucket| bucket.served),
            rejected: sum(|bucket| bucket.rejected),
        }
    }

    /// The rule: a storm by the share of retries, else a surge by the multiple of usual first attempts, else
    /// calm; each begins at one threshold and ends below a lower one.
    fn evaluate(&mut self, now: Micros) -> LoadCondition {
        self.advance(now);
        let counts = self.counts();
        let first_attempts = f64::from(counts.first_attempts);
        let multiple_of_usual = first_attempts / self.usual_first_attempts.unwrap_or(first_attempts).max(1.0);
        let storm_threshold =
            if self.condition == LoadCondition::Storm { STORM_ENDS_BELOW } else { STORM_BEGINS_AT };
        let surge_threshold =
            if self.condition == LoadCondition::Surge { SURGE_ENDS_BELOW } else { SURGE_BEGINS_AT };
        self.condition = if counts.attempts() < MIN_ATTEMPTS {
            LoadCondition::Calm
        } else if counts.retry_share() >= storm_threshold {
            LoadCondition::Storm
        } else if multiple_of_usual >= surge_threshold {
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

/// A scope's condition with the counts that it follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadConditionReport {
    /// Scope that is reported on.
    pub scope: Scope,
    /// Its condition.
    pub condition: LoadCondition,
    /// Counts of the last two seconds.
    pub counts: AttemptCounts,
    /// Usual number of first attempts in two seconds.
    pub usual_first_attempts: f64,
}

impl fmt::Display for LoadConditionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptCounts { first_attempts, served, rejected, .. } = self.counts;
        let percent = 100.0 * f64::from(self.counts.retries) / f64::from(self.counts.attempts().max(1));
        let scope = self.scope;
        match self.condition {
            LoadCondition::Storm => write!(
                f,
                "storm: {percent:.0}% of the tries of {scope} in the last 2 s repeat a try that was refused or \
                 given up ({served} served, {rejected} turned away)"
            ),
            LoadCondition::Surge => write!(
                f,
                "surge: {first_attempts} first tries of {scope} in the last 2 s, {:.0} are usual; \
                 {percent:.0}% repeat others",
                self.usual_first_attempts
            ),
            LoadCondition::Calm => {
                write!(f, "calm: {first_attempts} first tries of {scope} in the last 2 s")
            }
        }
    }
}

/// Keeps a sliding window of each scope.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    windows: BTreeMap<Scope, Window>,
}

impl LoadMonitor {
    /// Counts an attempt that arrived.
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
            self.make_space_for(scope);
            let window = self.windows.entry(scope).or_insert_with(|| Window::starting_at(now));
            update(window.current_bucket(now));
        }
    }

    /// Guards against memory that grows with the number of volumes ever seen.
    fn make_space_for(&mut self, scope: Scope) {
        if self.windows.contains_key(&scope) || self.windows.len() < MAX_SCOPES {
            return;
        }
        let volumes = self.windows.iter().filter(|(scope, _)| matches!(scope, Scope::Volume(_)));
        let longest_idle = volumes.min_by_key(|(_, window)| window.current).map(|(scope, _)| *scope);
        if let Some(scope) = longest_idle {
            self.windows.remove(&scope);
        }
    }

    /// A scope's condition now; calm if nothing is known of it.
    pub fn condition(&mut self, scope: Scope, now: Micros) -> LoadCondition {
        self.windows.get_mut(&scope).map_or(LoadCondition::Calm, |window| window.evaluate(now))
    }

    /// The same with the counts that it follows from; `None` if nothing is known of the scope.
    pub fn report(&mut self, scope: Scope, now: Micros) -> Option<LoadConditionReport> {
        let window = self.windows.get_mut(&scope)?;
        let condition = window.evaluate(now);
        let usual_first_attempts = window.usual_first_attempts.unwrap_or(0.0);
        Some(LoadConditionReport { scope, condition, counts: window.counts(), usual_first_attempts })
    }

    /// Attempts served in the last two seconds.
    pub fn goodput(&mut self, scope: Scope, now: Micros) -> u32 {
        self.windows.get_mut(&scope).map_or(0, |window| {
            window.advance(now);
            window.counts().served
        })
    }

    /// Number of volumes with an event in the last two seconds.
    pub fn active_volumes(&self, now: Micros) -> usize {
        let number = bucket_number(now);
        let is_active = |(scope, window): &(&Scope, &Window)| {
            matches!(scope, Scope::Volume(_)) && window.current + BUCKETS as u64 > number
        };
        self.windows.iter().filter(is_active).count()
    }

    /// Number of scopes that a window is kept for, at most [`MAX_SCOPES`] and one.
    pub fn scopes(&self) -> usize {
        self.windows.len()
    }

    /// Whether a window is kept for a scope.
    pub fn is_tracked(&self, scope: Scope) -> bool {
        self.windows.contains_key(&scope)
    }
}
