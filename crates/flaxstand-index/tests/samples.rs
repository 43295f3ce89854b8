//! Compares sorted samples and exact sums with a plain sorted list, over random operations.

use flaxstand_index::{ExactSum, SortedSamples};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 40;
const STEPS: usize = 3000;

/// Reference implementation: a sorted list.
#[derive(Default)]
struct SortedList(Vec<f64>);

impl SortedList {
    fn insert(&mut self, value: f64) {
        self.0.push(value);
        self.0.sort_by(f64::total_cmp);
    }

    fn remove(&mut self, value: f64) -> bool {
        let found = self.0.iter().position(|v| v.total_cmp(&value).is_eq());
        found.map(|at| self.0.remove(at)).is_some()
    }

    fn capped_mean(&self, cap: f64) -> Option<f64> {
        let sum: f64 = self.0.iter().map(|v| v.min(cap)).sum();
        (!self.0.is_empty()).then(|| sum / self.0.len() as f64)
    }
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A random value: often equal to others, sometimes zero or large, otherwise uniform in [0, 40).
fn draw_value(rng: &mut Pcg64Mcg) -> f64 {
    match rng.next_u32() % 8 {
        0 => 0.0,
        1 | 2 => f64::from(rng.next_u32() % 5),
        3 => 1e6 * uniform(rng),
        _ => 40.0 * uniform(rng),
    }
}

fn assert_same(samples: &SortedSamples, list: &SortedList, rng: &mut Pcg64Mcg, seed: u64) {
    assert_eq!(samples.len(), list.0.len(), "seed {seed}");
    assert_eq!(samples.is_empty(), list.0.is_empty(), "seed {seed}");
    let index = rng.next_u64() as usize % (list.0.len() + 2);
    assert_eq!(samples.nth(index), list.0.get(index).copied(), "seed {seed}, index {index}");
    let cap = draw_value(rng);
    match (samples.capped_mean(cap), list.capped_mean(cap)) {
        (Some(actual), Some(expected)) => {
            assert!(
                (actual - expected).abs() <= 1e-12 * expected.max(1.0),
                "seed {seed}, cap {cap}: expected {expected}, got {actual}"
            );
        }
        (actual, expected) => assert_eq!(actual, expected, "seed {seed}"),
    }
}

#[test]
fn random_changes_match_a_sorted_list() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut samples, mut list) = (SortedSamples::default(), SortedList::default());
        for step in 0..STEPS {
            // Alternates between phases that mostly insert and phases that empty the multiset.
            let shrinks = (step / 1000) % 2 == 1;
            let should_remove = rng.next_u32() % 10 < if shrinks { 9 } else { 2 };
            let existing = list.0.get(rng.next_u64() as usize % list.0.len().max(1)).copied();
            match existing.filter(|_| should_remove) {
                Some(value) => {
                    assert!(list.remove(value));
                    assert!(samples.remove(value), "seed {seed}: {value} was inserted but not found");
                }
                None => {
                    let value = draw_value(&mut rng);
                    list.insert(value);
                    samples.insert(value);
                }
            }
            if step % 16 == 0 {
                assert_same(&samples, &list, &mut rng, seed);
            }
        }
    }
}

#[test]
fn samples_are_sorted_and_found_among_many_equal_ones() {
    let mut samples = SortedSamples::default();
    for value in [2.0; 2000].into_iter().chain([1.0; 1000]).chain([3.0; 1000]) {
        samples.insert(value);
    }
    let sorted: Vec<f64> = (0..samples.len()).filter_map(|index| samples.nth(index)).collect();
    assert_eq!(sorted, [[1.0; 1000].as_slice(), &[2.0; 2000], &[3.0; 1000]].concat());
    for _ in 0..2000 {
        assert!(samples.remove(2.0));
    }
    assert!(!samples.remove(2.0), "all samples of 2.0 were removed");
    assert_eq!(samples.nth(1000), Some(3.0));
}

#[test]
fn removing_an_absent_sample_changes_nothing() {
    let mut samples = SortedSamples::default();
    assert!(!samples.remove(1.0));
    assert_eq!(samples.capped_mean(1.0), None);
    samples.insert(1.0);
    assert!(!samples.remove(0.5) && !samples.remove(1.5));
    assert_eq!(samples.len(), 1);
}

#[test]
fn sums_do_not_depend_on_the_order_of_changes() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let values: Vec<f64> = (0..1000).map(|_| draw_value(&mut rng)).collect();
    let (mut forwards, mut backwards) = (ExactSum::default(), ExactSum::default());
    values.iter().for_each(|value| forwards.add(*value));
    values.iter().rev().for_each(|value| backwards.add(*value));
    assert_eq!(forwards, backwards);
    values.iter().for_each(|value| forwards.remove(*value));
    assert_eq!(forwards, ExactSum::default());
}

#[test]
fn a_sum_is_rounded_only_when_it_is_read() {
    let mut sum = ExactSum::default();
    (0..10).for_each(|_| sum.add(0.1));
    assert_eq!(sum.value(), 1.0);
    sum.add(1e15);
    sum.remove(1e15);
    assert_eq!(sum.value(), 1.0);
}

#[test]
fn non_finite_numbers_have_no_lasting_effect() {
    let mut sum = ExactSum::default();
    sum.add(1.5);
    for value in [f64::INFINITY, f64::NEG_INFINITY, f64::NAN, f64::MAX] {
        sum.add(value);
        sum.remove(value);
    }
    assert_eq!(sum.value(), 1.5);
}
