//! The rate of admitted connections is bounded after a reconnect storm.

use flaxstand_overload::{ConnectionRateLimit, ConnectionRateLimiter, Micros};

/// Connects 243 clients at once; each rejected client retries after its retry-after. Returns the time until
/// the last one is admitted, in microseconds, and the largest number admitted within 100 ms.
fn connect_243_clients(limiter: &mut ConnectionRateLimiter, from: Micros) -> (u64, usize) {
    let mut due: Vec<(Micros, u64)> = (0..243).map(|n| (from, n)).collect();
    let (mut last, mut max_admitted) = (from, 0);
    let mut admitted_by_interval = std::collections::BTreeMap::<u64, usize>::new();
    let mut calls = 0;
    while let Some(i) = (0..due.len()).min_by_key(|i| due[*i]) {
        let (now, n) = due.swap_remove(i);
        calls += 1;
        assert!(calls < 2000, "{} clients are not admitted after {calls} attempts", due.len() + 1);
        match limiter.admit(now, (n as f64 * 0.618) % 1.0) {
            None => {
                last = now;
                let admitted = admitted_by_interval.entry(now.0 / 100_000).or_default();
                *admitted += 1;
                max_admitted = max_admitted.max(*admitted);
            }
            Some(retry_after) => due.push((now.after(retry_after), n)),
        }
    }
    (last.since(from).0, max_admitted)
}

#[test]
fn simultaneous_connections_are_spread_also_twice_in_a_row() {
    let mut limiter = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
    let (elapsed, max_admitted) = connect_243_clients(&mut limiter, Micros(1_000_000));
    assert!((700_000..1_500_000).contains(&elapsed), "143 clients beyond the burst took {elapsed} us");
    assert!(max_admitted <= 125, "{max_admitted} clients admitted within 100 ms");
    let (elapsed, _) = connect_243_clients(&mut limiter, Micros(3_000_000));
    assert!(elapsed < 2_500_000, "the second round took {elapsed} us");
}

#[test]
fn connections_below_the_rate_are_never_rejected() {
    let mut limiter = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
    for n in 0..1000 {
        assert_eq!(limiter.admit(Micros(n * 10_000), 0.5), None);
    }
}
