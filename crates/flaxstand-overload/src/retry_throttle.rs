//! What becomes of a try, and what wait is advised with a refusal.
//!
//! - A repeat is worth a part of what a first try is, in calm as in a storm: so none displaces a first try of
//!   equal worth, and none waits where nothing else does.
//! - In a storm of its volume or plan (or of all) a volume's repeats keep to an even part of what is
//!   served: beyond it they are turned away before they cost anything. First tries never are.
//! - Advice is spread, from half to the whole of what clients heed, so that those who heed it do not come
//!   back as one.

use crate::load_condition::{LoadCondition, LoadConditionReport, LoadMonitor, Scope};
use crate::retry_detection::{AttemptCounts, AttemptKind, ClientAttempt, RetryDetector};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// How storms are met. `docs/storms.md` describes every figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryThrottleConfig {
    /// Worth of a repeat, as a part of a first try's.
    pub retry_weight: f64,
    /// Repeats that may pass in a storm, as a share of what is served.
    pub retry_share: f64,
    /// Repeats a second that may pass in a storm however little is served.
    pub retry_floor: f64,
    /// How long a client is expected to come back.
    pub retry_memory: Micros,
    /// Longest advised wait that clients heed.
    pub max_advice: Micros,
    /// Tries that were turned away and are remembered.
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

/// What becomes of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThrottleDecision {
    /// It is taken at its full worth.
    Full,
    /// It is taken at a repeat's worth.
    Lessened,
    /// It is refused at once: come back no earlier than after `wait`.
    TurnedAway {
        /// Advised wait.
        wait: Micros,
        /// Whom the wait concerns.
        scope: Scope,
    },
}

/// Repeats that a volume may still send, and when that was reckoned.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    tokens: f64,
    at: Micros,
}

/// Most volumes whose allowance is kept: those in a storm.
const ALLOWANCES: usize = 4096;

/// Meets storms for one initiator.
#[derive(Debug)]
pub struct RetryThrottle {
    rules: RetryThrottleConfig,
    retry_detection: RetryDetector,
    station: LoadMonitor,
    allowances: BTreeMap<u64, Allowance>,
    /// The last weather told of each plan and of all.
    told: BTreeMap<Scope, LoadCondition>,
    turned_away: u64,
}

impl RetryThrottle {
    /// Nothing has come yet.
    pub fn new(rules: RetryThrottleConfig) -> Self {
        RetryThrottle {
            retry_detection: RetryDetector::new(rules.retry_memory, rules.remembered),
            rules,
            station: LoadMonitor::default(),
            allowances: BTreeMap::new(),
            told: BTreeMap::new(),
            turned_away: 0,
        }
    }

    /// A try comes; `draw` is uniform in 0 to 1.
    pub fn came(&mut self, t: &ClientAttempt, now: Micros, draw: f64) -> ThrottleDecision {
        let kind = self.retry_detection.kind(t, now);
        self.station.came(t.plan, t.volume, kind, now);
        if kind == AttemptKind::First {
            return ThrottleDecision::Full;
        }
        let scopes = [Scope::Volume(t.volume), Scope::Plan(t.plan), Scope::All];
        let storm = scopes.into_iter().find(|s| self.station.load_condition(*s, now) == LoadCondition::Storm);
        let Some(scope) = storm else {
            self.allowances.remove(&t.volume);
            return ThrottleDecision::Lessened;
        };
        if self.allow(t.volume, now) {
            return ThrottleDecision::Lessened;
        }
        self.turned_away += 1;
        self.turned_away(t, now);
        ThrottleDecision::TurnedAway { wait: self.advice(draw), scope }
    }

    /// Takes one of a volume's allowance: an even part, over the volumes that are active, of what may pass.
    fn allow(&mut self, volume: u64, now: Micros) -> bool {
        let goodput = f64::from(self.station.goodput(Scope::All, now)) / 2.0;
        let rate = (goodput * self.rules.retry_share).max(self.rules.retry_floor);
        let part = rate / self.station.active(now).max(1) as f64;
        if self.allowances.len() >= ALLOWANCES && !self.allowances.contains_key(&volume) {
            self.allowances.clear();
        }
        // At most a second's worth is saved up, and one at the least.
        let most = part.max(1.0);
        let a = self.allowances.entry(volume).or_insert(Allowance { tokens: most, at: now });
        a.tokens = (a.tokens + part * now.since(a.at).ms() / 1000.0).min(most);
        a.at = now;
        let passes = a.tokens >= 1.0;
        a.tokens -= if passes { 1.0 } else { 0.0 };
        passes
    }

    /// The wait to advise with a refusal, at most what clients heed; `draw` is uniform in 0 to 1.
    pub fn advice(&self, draw: f64) -> Micros {
        Micros((self.rules.max_advice.0 as f64 * (0.5 + 0.5 * draw.clamp(0.0, 1.0))) as u64)
    }

    /// A try was served.
    pub fn served(&mut self, t: &ClientAttempt, now: Micros) {
        self.station.served(t.plan, t.volume, now);
    }

    /// A try was refused or given up.
    pub fn turned_away(&mut self, t: &ClientAttempt, now: Micros) {
        self.retry_detection.turned_away(t, now);
        self.station.turned_away(t.plan, t.volume, now);
    }

    /// Plans (and all) whose weather has changed since this was last asked, with the reasons.
    pub fn take_condition_changes(&mut self, plans: u16, now: Micros) -> Vec<LoadConditionReport> {
        let scopes = (0..plans).map(Scope::Plan).chain([Scope::All]);
        let reports: Vec<LoadConditionReport> = scopes.filter_map(|s| self.station.report(s, now)).collect();
        let mut take_condition_changes = Vec::new();
        for report in reports {
            let told = self.told.entry(report.scope).or_default();
            if *told != report.load_condition {
                *told = report.load_condition;
                take_condition_changes.push(report);
            }
        }
        take_condition_changes
    }

    /// How telling repeats went so far.
    pub fn attempt_counts(&self) -> AttemptCounts {
        self.retry_detection.attempt_counts()
    }

    /// Repeats turned away unseen by the module so far.
    pub fn rejected_retries(&self) -> u64 {
        self.turned_away
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn of(volume: u64, extent: u64) -> ClientAttempt {
        ClientAttempt { volume, plan: (volume % 2) as u16, class: 0, extent: Some(extent), marked: false }
    }

    /// A second of tries of one volume: so many first ones served, and so many that are turned away and
    /// come back at once. Returns how many repeats were let in.
    fn second(d: &mut RetryThrottle, volume: u64, at: u64, first: u64, retry_detection: u64) -> u64 {
        let mut passed = 0;
        for n in 0..first.max(retry_detection) {
            let now = Micros(at * 1_000_000 + n * 1_000_000 / first.max(retry_detection));
            if n < first {
                let t = of(volume, at << 32 | n);
                assert_eq!(d.came(&t, now, 0.5), ThrottleDecision::Full, "a first try is never damped");
                d.served(&t, now);
            }
            if n < retry_detection {
                let t = of(volume, 1 << 60 | n);
                d.turned_away(&t, now);
                passed += u64::from(d.came(&t, now, 0.5) == ThrottleDecision::Lessened);
            }
        }
        passed
    }

    #[test]
    fn in_a_storm_repeats_keep_to_an_even_part_and_first_tries_pass() {
        let mut d = RetryThrottle::new(RetryThrottleConfig::default());
        (1..4).for_each(|at| assert_eq!(second(&mut d, 1, at, 100, 0), 0));
        let (mut stormy, mut other) = (0, 0);
        for at in 4..10 {
            stormy += second(&mut d, 1, at, 100, 900);
            other += second(&mut d, 2, at, 100, 2);
        }
        // A tenth of 200 served a second, over two volumes; before that the storm had to be seen.
        assert!(stormy < 6 * 10 + 250, "{stormy} of 5400 repeats passed");
        assert!(stormy > 6 * 9, "{stormy}: some do pass");
        // The other volume's few repeats all pass: its even part is not used up.
        assert_eq!(other, 12);
        assert!(d.rejected_retries() > 4000);
        let take_condition_changes: Vec<String> =
            d.take_condition_changes(2, Micros(10_000_000)).iter().map(ToString::to_string).collect();
        assert!(
            take_condition_changes.iter().any(|n| n.contains("storm") && n.contains("plan 1")),
            "{take_condition_changes:?}"
        );
        assert!(d.take_condition_changes(2, Micros(10_000_000)).is_empty(), "told once");
    }

    #[test]
    fn in_calm_a_repeat_is_taken_at_its_worth() {
        let mut d = RetryThrottle::new(RetryThrottleConfig::default());
        second(&mut d, 1, 1, 100, 0);
        let t = of(1, 5);
        d.turned_away(&t, Micros(2_000_000));
        assert_eq!(d.came(&t, Micros(2_100_000), 0.5), ThrottleDecision::Lessened);
    }

    #[test]
    fn falsely_marked_tries_win_nothing() {
        let mut d = RetryThrottle::new(RetryThrottleConfig::default());
        second(&mut d, 1, 1, 100, 0);
        let marked = ClientAttempt { marked: true, ..of(1, 7) };
        assert_eq!(
            d.came(&marked, Micros(2_000_000), 0.5),
            ThrottleDecision::Lessened,
            "worth less, never more"
        );
        // Not marked, but the same extent again: found out.
        let t = of(1, 8);
        d.turned_away(&t, Micros(2_000_000));
        assert_ne!(d.came(&t, Micros(2_000_001), 0.5), ThrottleDecision::Full);
    }

    proptest! {
        /// Advice never exceeds what clients heed, and draws spread it evenly over half of its length.
        #[test]
        fn advice_is_bounded_and_spread(a in 0.0..1.0f64, b in 0.0..1.0f64) {
            let d = RetryThrottle::new(RetryThrottleConfig::default());
            let (x, y) = (d.advice(a), d.advice(b));
            prop_assert!(x <= RetryThrottleConfig::default().max_advice && x.0 > 0);
            prop_assert_eq!(a < b, x < y || (x == y && a < b));
        }

        /// Whatever comes, a first try is taken in full.
        #[test]
        fn first_tries_are_never_damped(steps in proptest::collection::vec((0..4u64, 0..6u64, 0..3u8), 1..400)) {
            let mut d = RetryThrottle::new(RetryThrottleConfig::default());
            let mut away = std::collections::BTreeSet::new();
            for (n, (volume, extent, what)) in steps.into_iter().enumerate() {
                let now = Micros(1_000_000 + n as u64 * 3000);
                let t = of(volume, extent);
                match what {
                    0 => {
                        d.turned_away(&t, now);
                        away.insert((volume, extent));
                    }
                    1 => d.served(&t, now),
                    _ => {
                        let treated = d.came(&t, now, 0.3);
                        let repeat = away.remove(&(volume, extent));
                        prop_assert_eq!(treated == ThrottleDecision::Full, !repeat);
                        if matches!(treated, ThrottleDecision::TurnedAway { .. }) {
                            away.insert((volume, extent));
                        }
                    }
                }
            }
        }
    }
}
