//! Waits between calls that failed.

use flaxstand_gateway::core::Backoff;
use flaxstand_gateway::machine::Micros;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn waits_grow_to_their_bound_and_differ_between_hosts() {
    let (first, longest) = (Micros(50_000), Micros(2_000_000));
    let third = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut backoff = Backoff::new(first, longest);
        let waits: Vec<Micros> = (0..10).map(|_| backoff.next_delay(&mut rng)).collect();
        assert!(waits.iter().all(|w| *w >= first && *w <= longest), "{waits:?}");
        backoff.reset();
        assert!(backoff.next_delay(&mut rng) < Micros(150_000));
        waits[2]
    };
    let mut thirds: Vec<Micros> = (0..100).map(third).collect();
    thirds.sort();
    thirds.dedup();
    assert!(thirds.len() > 90, "hosts draw the same waits");
}
