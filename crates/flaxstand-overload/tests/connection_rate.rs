//! New connections are admitted in bounded steps.

use flaxstand_overload::{ConnectionRateLimit, ConnectionRateLimiter, Micros};

/// 243 come at once, and each comes back when told: all are in within what the rate takes, none in a crowd.
fn crowd(limiter: &mut ConnectionRateLimiter, from: Micros) -> (u64, usize) {
    let mut due: Vec<(Micros, u64)> = (0..243).map(|n| (from, n)).collect();
    let (mut last, mut at_once) = (from, 0);
    let mut in_step = std::collections::BTreeMap::<u64, usize>::new();
    let mut calls = 0;
    while let Some(i) = (0..due.len()).min_by_key(|i| due[*i]) {
        let (now, n) = due.swap_remove(i);
        calls += 1;
        assert!(calls < 2000, "they come back for ever");
        match limiter.admit(now, (n as f64 * 0.618) % 1.0) {
            None => {
                last = now;
                let step = in_step.entry(now.0 / 100_000).or_default();
                *step += 1;
                at_once = at_once.max(*step);
            }
            Some(wait) => due.push((now.after(wait), n)),
        }
    }
    (last.since(from).0, at_once)
}

#[test]
fn a_crowd_is_taken_in_bounded_steps_also_twice_in_a_row() {
    let mut limiter = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
    let (took, most) = crowd(&mut limiter, Micros(1_000_000));
    assert!((700_000..1_500_000).contains(&took), "{took} us for the 143 beyond the first hundred");
    assert!(most <= 125, "{most} within 100 ms");
    let (took, _) = crowd(&mut limiter, Micros(3_000_000));
    assert!(took < 2_500_000, "{took} us the second time");
}

#[test]
fn few_are_never_kept_waiting() {
    let mut limiter = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
    for n in 0..1000 {
        assert_eq!(limiter.admit(Micros(n * 10_000), 0.5), None);
    }
}
