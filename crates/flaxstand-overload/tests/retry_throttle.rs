//! Retries have a reduced weight and are limited during a storm; first attempts are never throttled.

use flaxstand_overload::{ClientAttempt, Micros, RetryThrottle, RetryThrottleConfig, ThrottleDecision};
use proptest::prelude::*;

fn attempt(volume: u64, extent: u64) -> ClientAttempt {
    ClientAttempt { volume, plan: (volume % 2) as u16, class: 0, extent: Some(extent), marked: false }
}

/// Plays one second of attempts for one volume: `first` first attempts, which are served, and `retries`
/// attempts that are rejected and immediately retried. Returns how many retries were admitted.
fn play_second(throttle: &mut RetryThrottle, volume: u64, at: u64, first: u64, retries: u64) -> u64 {
    let mut admitted = 0;
    for n in 0..first.max(retries) {
        let now = Micros(at * 1_000_000 + n * 1_000_000 / first.max(retries));
        if n < first {
            let t = attempt(volume, at << 32 | n);
            assert_eq!(
                throttle.admit(&t, now, 0.5),
                ThrottleDecision::FullWeight,
                "a first attempt is never throttled"
            );
            throttle.record_served(&t, now);
        }
        if n < retries {
            let t = attempt(volume, 1 << 60 | n);
            throttle.record_rejected(&t, now);
            admitted += u64::from(throttle.admit(&t, now, 0.5) == ThrottleDecision::RetryWeight);
        }
    }
    admitted
}

#[test]
fn in_a_storm_retries_are_limited_to_an_equal_share_and_first_attempts_pass() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    (1..4).for_each(|at| assert_eq!(play_second(&mut throttle, 1, at, 100, 0), 0));
    let (mut stormy, mut other) = (0, 0);
    for at in 4..10 {
        stormy += play_second(&mut throttle, 1, at, 100, 900);
        other += play_second(&mut throttle, 2, at, 100, 2);
    }
    // Steady state: a tenth of 200 served per second, divided between two volumes. 250 more may pass until
    // the storm is detected.
    assert!(stormy < 6 * 10 + 250, "{stormy} of 5400 retries admitted");
    assert!(stormy > 6 * 9, "only {stormy} of 5400 retries admitted");
    // The few retries of the other volume stay within its share.
    assert_eq!(other, 12);
    assert!(throttle.rejected_retries() > 4000);
    let changes: Vec<String> =
        throttle.take_condition_changes(2, Micros(10_000_000)).iter().map(ToString::to_string).collect();
    assert!(changes.iter().any(|n| n.contains("storm") && n.contains("plan 1")), "{changes:?}");
    assert!(throttle.take_condition_changes(2, Micros(10_000_000)).is_empty(), "reported once");
}

#[test]
fn in_calm_a_retry_is_admitted_at_the_retry_weight() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    play_second(&mut throttle, 1, 1, 100, 0);
    let t = attempt(1, 5);
    throttle.record_rejected(&t, Micros(2_000_000));
    assert_eq!(throttle.admit(&t, Micros(2_100_000), 0.5), ThrottleDecision::RetryWeight);
}

#[test]
fn a_false_or_missing_mark_gives_no_advantage() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    play_second(&mut throttle, 1, 1, 100, 0);
    let marked = ClientAttempt { marked: true, ..attempt(1, 7) };
    assert_eq!(
        throttle.admit(&marked, Micros(2_000_000), 0.5),
        ThrottleDecision::RetryWeight,
        "a marked attempt has the retry weight"
    );
    // Not marked, but detected by its extent.
    let t = attempt(1, 8);
    throttle.record_rejected(&t, Micros(2_000_000));
    assert_ne!(throttle.admit(&t, Micros(2_000_001), 0.5), ThrottleDecision::FullWeight);
}

proptest! {
    /// A retry-after never exceeds what clients honour, and grows with the jitter.
    #[test]
    fn a_retry_after_is_bounded_and_spread(a in 0.0..1.0f64, b in 0.0..1.0f64) {
        let throttle = RetryThrottle::new(RetryThrottleConfig::default());
        let (x, y) = (throttle.retry_after(a), throttle.retry_after(b));
        prop_assert!(x <= RetryThrottleConfig::default().max_retry_after && x.0 > 0);
        prop_assert_eq!(a < b, x < y || (x == y && a < b));
    }

    /// A first attempt is admitted at full weight, for every sequence of events.
    #[test]
    fn first_attempts_are_never_throttled(
        steps in proptest::collection::vec((0..4u64, 0..6u64, 0..3u8), 1..400),
    ) {
        let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
        let mut rejected = std::collections::BTreeSet::new();
        for (n, (volume, extent, event)) in steps.into_iter().enumerate() {
            let now = Micros(1_000_000 + n as u64 * 3000);
            let t = attempt(volume, extent);
            match event {
                0 => {
                    throttle.record_rejected(&t, now);
                    rejected.insert((volume, extent));
                }
                1 => throttle.record_served(&t, now),
                _ => {
                    let decision = throttle.admit(&t, now, 0.3);
                    let is_retry = rejected.remove(&(volume, extent));
                    prop_assert_eq!(decision == ThrottleDecision::FullWeight, !is_retry);
                    if matches!(decision, ThrottleDecision::Rejected { .. }) {
                        rejected.insert((volume, extent));
                    }
                }
            }
        }
    }
}
