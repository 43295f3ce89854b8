//! The decaying sum against the sum of its faded terms.

use flaxstand_index::DecayingSum;

#[test]
fn each_term_fades_with_the_time_constant() {
    let terms = [(3.0, 10.0), (1.5, 10.0), (-0.5, 400.0), (8.0, 2500.0)];
    let mut sum = DecayingSum::<2000>::default();
    for (amount, at) in terms {
        sum.add(amount, at);
    }
    let faded =
        |now: f64| -> f64 { terms.iter().map(|(amount, at)| amount * ((at - now) / 2000.0).exp()).sum() };
    for now in [2500.0, 2501.0, 9000.0, 60_000.0] {
        let (got, want) = (sum.get(now), faded(now));
        assert!((got - want).abs() <= 1e-12 * want, "at {now}: {got}, not {want}");
    }
}

#[test]
fn an_empty_sum_is_nothing_at_any_time() {
    assert_eq!(DecayingSum::<1>::default().get(f64::MAX), 0.0);
}
