//! Compares the decaying sum with the sum of the separately decayed terms.

use flaxstand_index::DecayingSum;

#[test]
fn each_term_decays_with_the_time_constant() {
    let terms = [(3.0, 10.0), (1.5, 10.0), (-0.5, 400.0), (8.0, 2500.0)];
    let mut sum = DecayingSum::<2000>::default();
    for (amount, at) in terms {
        sum.add(amount, at);
    }
    let expected_sum =
        |now: f64| -> f64 { terms.iter().map(|(amount, at)| amount * ((at - now) / 2000.0).exp()).sum() };
    for now in [2500.0, 2501.0, 9000.0, 60_000.0] {
        let (actual, expected) = (sum.get(now), expected_sum(now));
        assert!((actual - expected).abs() <= 1e-12 * expected, "at {now}: expected {expected}, got {actual}");
    }
}

#[test]
fn an_empty_sum_is_zero_at_any_time() {
    assert_eq!(DecayingSum::<1>::default().get(f64::MAX), 0.0);
}
