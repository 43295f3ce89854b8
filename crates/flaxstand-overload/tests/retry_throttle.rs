//! Retries weigh less, and in a storm keep to their share; first attempts never do.

use flaxstand_overload::{ClientAttempt, Micros, RetryThrottle, RetryThrottleConfig, ThrottleDecision};
use proptest::prelude::*;

fn attempt(volume: u64, extent: u64) -> ClientAttempt {
    ClientAttempt { volume, plan: (volume % 2) as u16, class: 0, extent: Some(extent), marked: false }
}

/// A second of attempts of one volume: so many first ones, served, and so many that are rejected and
/// retried at once. Returns how many retries were admitted.
fn second(throttle: &mut RetryThrottle, volume: u64, at: u64, first: u64, retries: u64) -> u64 {
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
fn in_a_storm_retries_keep_to_an_even_part_and_first_attempts_pass() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    (1..4).for_each(|at| assert_eq!(second(&mut throttle, 1, at, 100, 0), 0));
    let (mut stormy, mut other) = (0, 0);
    for at in 4..10 {
        stormy += second(&mut throttle, 1, at, 100, 900);
        other += second(&mut throttle, 2, at, 100, 2);
    }
    // A tenth of 200 served a second, over two volumes; before that the storm had to be seen.
    assert!(stormy < 6 * 10 + 250, "{stormy} of 5400 repeats passed");
    assert!(stormy > 6 * 9, "{stormy}: some do pass");
    // The other volume's few repeats all pass: its even part is not used up.
    assert_eq!(other, 12);
    assert!(throttle.rejected_retries() > 4000);
    let changes: Vec<String> =
        throttle.take_condition_changes(2, Micros(10_000_000)).iter().map(ToString::to_string).collect();
    assert!(changes.iter().any(|n| n.contains("storm") && n.contains("plan 1")), "{changes:?}");
    assert!(throttle.take_condition_changes(2, Micros(10_000_000)).is_empty(), "reported once");
}

#[test]
fn in_calm_a_retry_is_admitted_at_its_weight() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    second(&mut throttle, 1, 1, 100, 0);
    let t = attempt(1, 5);
    throttle.record_rejected(&t, Micros(2_000_000));
    assert_eq!(throttle.admit(&t, Micros(2_100_000), 0.5), ThrottleDecision::RetryWeight);
}

#[test]
fn falsely_marked_attempts_win_nothing() {
    let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
    second(&mut throttle, 1, 1, 100, 0);
    let marked = ClientAttempt { marked: true, ..attempt(1, 7) };
    assert_eq!(
        throttle.admit(&marked, Micros(2_000_000), 0.5),
        ThrottleDecision::RetryWeight,
        "weighs less, never more"
    );
    // Not marked, but the same extent again: found out.
    let t = attempt(1, 8);
    throttle.record_rejected(&t, Micros(2_000_000));
    assert_ne!(throttle.admit(&t, Micros(2_000_001), 0.5), ThrottleDecision::FullWeight);
}

proptest! {
    /// A retry-after never exceeds what clients honour, and draws spread it evenly over half of its length.
    #[test]
    fn a_retry_after_is_bounded_and_spread(a in 0.0..1.0f64, b in 0.0..1.0f64) {
        let throttle = RetryThrottle::new(RetryThrottleConfig::default());
        let (x, y) = (throttle.retry_after(a), throttle.retry_after(b));
        prop_assert!(x <= RetryThrottleConfig::default().max_advice && x.0 > 0);
        prop_assert_eq!(a < b, x < y || (x == y && a < b));
    }

    /// Whatever comes, a first attempt is admitted at full weight.
    #[test]
    fn first_attempts_are_never_throttled(steps in proptest::collection::vec((0..4u64, 0..6u64, 0..3u8), 1..400)) {
        let mut throttle = RetryThrottle::new(RetryThrottleConfig::default());
        let mut rejected = std::collections::BTreeSet::new();
        for (n, (volume, extent, what)) in steps.into_iter().enumerate() {
            let now = Micros(1_000_000 + n as u64 * 3000);
            let t = attempt(volume, extent);
            match what {
                0 => {
                    throttle.record_rejected(&t, now);
                    rejected.insert((volume, extent));
                }
                1 => throttle.record_served(&t, now),
                _ => {
                    let decision = throttle.admit(&t, now, 0.3);
                    let repeat = rejected.remove(&(volume, extent));
                    prop_assert_eq!(decision == ThrottleDecision::FullWeight, !repeat);
                    if matches!(decision, ThrottleDecision::Rejected { .. }) {
                        rejected.insert((volume, extent));
                    }
                }
            }
        }
    }
}
