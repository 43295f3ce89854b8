//! Compares the table's indexes with full scans over all records, over random operations.

use flaxstand_index::{Membership, Record, Table};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 60;
const STEPS: usize = 600;
const KEYS: u32 = 40;
const GROUPS: u32 = 6;

#[derive(Clone, Debug, Default, PartialEq)]
struct Item {
    group: Option<u32>,
    rank: f64,
    weight: f64,
    sample: Option<f64>,
}

impl Record for Item {
    type Group = u32;

    fn membership(&self) -> Option<Membership<u32>> {
        self.group.map(|group| Membership { group, rank: self.rank, weight: self.weight })
    }

    fn sample(&self) -> Option<f64> {
        self.sample
    }
}

fn draw_item(rng: &mut Pcg64Mcg) -> Item {
    Item {
        group: (rng.next_u32() % 4 != 3).then(|| rng.next_u32() % GROUPS),
        rank: [0.0, -0.0, -1.0, 1.0, 2.5][rng.next_u32() as usize % 5],
        weight: f64::from(rng.next_u32() % 7) / 4.0,
        sample: (rng.next_u32() % 2 == 1).then(|| f64::from(rng.next_u32() % 9) - 4.0),
    }
}

/// Reference implementation: later keys replace earlier ones only with a strictly higher rank.
fn leader(items: &BTreeMap<u32, Item>, group: u32) -> Option<u32> {
    let mut best: Option<(u32, f64)> = None;
    for (key, item) in items.iter().filter(|(_, item)| item.group == Some(group)) {
        if best.is_none_or(|(_, rank)| rank < item.rank) {
            best = Some((*key, item.rank));
        }
    }
    best.map(|(key, _)| key)
}

fn assert_same(table: &Table<u32, Item>, items: &BTreeMap<u32, Item>, active: &BTreeSet<u32>, seed: u64) {
    assert_eq!(table.len(), items.len(), "seed {seed}");
    assert!(table.iter().eq(items.iter().map(|(key, item)| (*key, item))), "seed {seed}");
    assert!(table.active().map(|(key, _)| key).eq(active.iter().copied()), "seed {seed}");
    for group in 0..GROUPS {
        assert_eq!(table.leader(group), leader(items, group), "seed {seed}, group {group}");
    }
    let members: Vec<&Item> = items.values().filter(|item| item.group.is_some()).collect();
    assert_eq!(table.members(), members.len(), "seed {seed}");
    assert_eq!(table.weight(), members.iter().map(|item| item.weight).sum::<f64>(), "seed {seed}");
    let mut samples: Vec<f64> = items.values().filter_map(|item| item.sample).collect();
    samples.sort_by(f64::total_cmp);
    let indexed: Vec<f64> =
        (0..table.samples().len()).filter_map(|index| table.samples().nth(index)).collect();
    assert_eq!(indexed, samples, "seed {seed}");
}

#[test]
fn random_changes_keep_all_indexes_consistent() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut table = Table::default();
        let (mut items, mut active) = (BTreeMap::new(), BTreeSet::new());
        for _ in 0..STEPS {
            let key = rng.next_u32() % KEYS;
            let item = draw_item(&mut rng);
            match rng.next_u32() % 8 {
                0 => {
                    assert_eq!(table.remove(key), items.remove(&key), "seed {seed}");
                    active.remove(&key);
                }
                1 => {
                    let is_active = |item: &Item| item.rank > 0.0;
                    table.retain_active(is_active);
                    active.retain(|key| is_active(&items[key]));
                }
                2 if rng.next_u32() % 4 == 0 => {
                    let should_remove = |item: &Item| item.sample.is_none();
                    table.remove_active(should_remove);
                    items.retain(|key, item| !(active.contains(key) && should_remove(item)));
                    active.retain(|key| items.contains_key(key));
                }
                3 if rng.next_u32() % 8 == 0 => {
                    table.update_others(key..key + 9, |record| record.weight += 0.25);
                    let others = items.iter_mut().filter(|(other, _)| !(key..key + 9).contains(*other));
                    for (other, record) in others {
                        record.weight += 0.25;
                        active.insert(*other);
                    }
                }
                2 => {
                    table.insert(key, item.clone());
                    items.insert(key, item);
                    active.insert(key);
                }
                3 => {
                    table.update_or_insert_with(key, Item::default, |record| record.rank = item.rank);
                    items.entry(key).or_default().rank = item.rank;
                    active.insert(key);
                }
                _ => {
                    let updated = table.update(key, |record| *record = item.clone());
                    assert_eq!(updated.is_some(), items.contains_key(&key), "seed {seed}");
                    if let Some(record) = items.get_mut(&key) {
                        *record = item;
                        active.insert(key);
                    }
                }
            }
            assert_same(&table, &items, &active, seed);
        }
    }
}

#[test]
fn records_are_looked_up_by_key() {
    let mut table: Table<u32, Item> = Table::default();
    assert!(table.is_empty());
    table.insert(3, Item { rank: 1.0, ..Item::default() });
    assert!(table.contains(3) && !table.contains(4));
    assert_eq!(table.get(3).map(|item| item.rank), Some(1.0));
    assert_eq!(table[3].rank, 1.0);
    assert_eq!(table.get(4), None);
}

#[test]
#[should_panic = "the table has no record with this key"]
fn indexing_an_absent_record_panics() {
    let table: Table<u32, Item> = Table::default();
    let _ = &table[1];
}

#[test]
fn iterations_over_active_records_do_not_visit_inactive_ones() {
    for total in [100, 10_000] {
        let mut table: Table<u32, Item> = Table::default();
        (0..total).for_each(|key| table.insert(key, Item::default()));
        table.retain_active(|_| false);
        (0..10).for_each(|key| assert!(table.update(key, |item| item.rank = 1.0).is_some()));
        let before = table.visited();
        assert_eq!(table.active().count(), 10);
        table.retain_active(|_| true);
        assert_eq!(table.visited() - before, 20);
        assert_eq!(table.iter().count(), total as usize);
        assert_eq!(table.visited() - before, 20 + u64::from(total));
    }
}
