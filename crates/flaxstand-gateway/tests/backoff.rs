//! Back-off delays between failed connection attempts.

use flaxstand_gateway::core::Backoff;
use flaxstand_gateway::machine::Micros;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn delays_grow_up_to_the_maximum_and_differ_between_seeds() {
    let (first, longest) = (Micros(50_000), Micros(2_000_000));
    let third_delay = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut backoff = Backoff::new(first, longest);
        let delays: Vec<Micros> = (0..10).map(|_| backoff.next_delay(&mut rng)).collect();
        assert!(delays.iter().all(|w| *w >= first && *w <= longest), "{delays:?}");
        backoff.reset();
        assert!(backoff.next_delay(&mut rng) < Micros(150_000));
        delays[2]
    };
    let mut third_delays: Vec<Micros> = (0..100).map(third_delay).collect();
    third_delays.sort();
    third_delays.dedup();
    assert!(third_delays.len() > 90, "initiators with different seeds draw the same delays");
}
