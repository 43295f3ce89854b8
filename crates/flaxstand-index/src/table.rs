//! Records by key with secondary indexes. All changes go through the table, which keeps the indexes
//! consistent.

use crate::{ExactSum, SortedSamples};
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A record's membership of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Membership<G> {
    /// The group.
    pub group: G,
    /// Rank in the group: the member with the highest rank is the leader; ties go to the lowest key.
    pub rank: f64,
    /// Contribution to the sum of weights over the members of all groups.
    pub weight: f64,
}

/// A record with the properties that a [`Table`] indexes.
pub trait Record {
    /// Key by which records are grouped.
    type Group: Copy + Ord;
    /// The record's group, rank and weight; none if it is in no group.
    fn membership(&self) -> Option<Membership<Self::Group>>;
    /// The record's sample in the table's set of samples, if it has one.
    fn sample(&self) -> Option<f64>;
}

/// A rank with a total order in which both zeros are equal.
#[derive(Clone, Copy, Debug)]
struct Rank(f64);

impl Rank {
    const HIGHEST: Rank = Rank(f64::INFINITY);

    fn new(rank: f64) -> Self {
        // Turns -0.0 into 0.0.
        Rank(rank + 0.0)
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}

/// Sort key of a member: by group, the highest rank first, then by key. `None` precedes all keys.
type MemberOrder<G, K> = (G, Reverse<Rank>, Option<K>);

/// The properties of a record that are indexed.
#[derive(Clone, Copy, PartialEq)]
struct IndexedProperties<G> {
    membership: Option<Membership<G>>,
    sample: Option<f64>,
}

impl<G: Copy + Ord> IndexedProperties<G> {
    fn of<V: Record<Group = G>>(record: &V) -> Self {
        // Turns -0.0 into 0.0: the two are equal when properties are compared, so they must be the same
        // sample.
        IndexedProperties {
            membership: record.membership(),
            sample: record.sample().map(|sample| sample + 0.0),
        }
    }
}

/// Records by key. Each change updates the leader of each group, the members' count and weight, and the
/// samples, in time logarithmic in the number of records, except when a chunk of samples is split or merged.
///
/// A record that was inserted or changed is active until [`Table::retain_active`] makes it inactive.
pub struct Table<K, V: Record> {
    records: Vec<Option<V>>,
    free_slots: Vec<usize>,
    slots: BTreeMap<K, usize>,
    active: BTreeMap<K, usize>,
    members: BTreeSet<MemberOrder<V::Group, K>>,
    weight: ExactSum,
    samples: SortedSamples,
    visited: Cell<u64>,
}

impl<K: Copy + Ord, V: Record> Default for Table<K, V> {
    fn default() -> Self {
        Table {
            records: Vec::new(),
            free_slots: Vec::new(),
            slots: BTreeMap::new(),
            active: BTreeMap::new(),
            members: BTreeSet::new(),
            weight: ExactSum::default(),
            samples: SortedSamples::default(),
            visited: Cell::new(0),
        }
    }
}

impl<K: Copy + Ord, V: Record> Table<K, V> {
    /// Number of records.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether there is a record with this key.
    pub fn contains(&self, key: K) -> bool {
        self.slots.contains_key(&key)
    }

    /// The record with this key.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = *self.slots.get(&key)?;
        self.count_visits(1);
        self.records[slot].as_ref()
    }

    /// Inserts a record, replacing an existing one. It becomes active.
    pub fn insert(&mut self, key: K, record: V) {
        self.remove(key);
        self.add_to_indexes(key, IndexedProperties::of(&record));
        let slot = self.free_slots.pop().unwrap_or(self.records.len());
        if slot == self.records.len() {
            self.records.push(Some(record));
        } else {
            self.records[slot] = Some(record);
        }
        self.slots.insert(key, slot);
        self.active.insert(key, slot);
    }

    /// Removes and returns a record; none if there was none.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let slot = self.slots.remove(&key)?;
        let record = self.records[slot].take()?;
        self.count_visits(1);
        self.free_slots.push(slot);
        self.active.remove(&key);
        self.remove_from_indexes(key, IndexedProperties::of(&record));
        Some(record)
    }

    /// Changes a record, which becomes active, and returns the result of `change`; none if there is no such
    /// record. Records can only be changed through this function and those that call it.
    pub fn update<R>(&mut self, key: K, change: impl FnOnce(&mut V) -> R) -> Option<R> {
        let slot = *self.slots.get(&key)?;
        let record = self.records[slot].as_mut()?;
        let before = IndexedProperties::of(record);
        let result = change(record);
        let after = IndexedProperties::of(record);
        self.count_visits(1);
        if before != after {
            self.remove_from_indexes(key, before);
            self.add_to_indexes(key, after);
        }
        self.active.insert(key, slot);
        Some(result)
    }

    /// Changes a record, inserting a new one first if there is none. It becomes active.
    pub fn update_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V, change: impl FnOnce(&mut V)) {
        if !self.contains(key) {
            self.insert(key, make());
        }
        self.update(key, change);
    }

    /// Changes all records except those with the given keys, in key order. Changed records become active.
    pub fn update_others(&mut self, excluded: impl Iterator<Item = K>, mut change: impl FnMut(&mut V)) {
        let excluded: BTreeSet<K> = excluded.collect();
        let keys: Vec<K> = self.slots.keys().filter(|key| !excluded.contains(key)).copied().collect();
        for key in keys {
            self.update(key, &mut change);
        }
    }

    /// All records in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.count_visits(self.slots.len());
        self.slots.iter().filter_map(|(key, slot)| Some((*key, self.records[*slot].as_ref()?)))
    }

    /// The active records in key order.
    pub fn active(&self) -> impl Iterator<Item = (K, &V)> {
        self.count_visits(self.active.len());
        self.active.iter().filter_map(|(key, slot)| Some((*key, self.records[*slot].as_ref()?)))
    }

    /// Makes the active records inactive for which `is_active` returns false. A change makes them active
    /// again.
    pub fn retain_active(&mut self, mut is_active: impl FnMut(&V) -> bool) {
        self.count_visits(self.active.len());
        let records = &self.records;
        self.active.retain(|_, slot| records[*slot].as_ref().is_some_and(&mut is_active));
    }

    /// Removes the active records for which `should_remove` returns true.
    pub fn remove_active(&mut self, mut should_remove: impl FnMut(&V) -> bool) {
        let keys: Vec<K> =
            self.active().filter(|(_, record)| should_remove(record)).map(|(key, _)| key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// The leader of a group: the member with the highest rank; ties go to the lowest key.
    pub fn leader(&self, group: V::Group) -> Option<K> {
        let start = (group, Reverse(Rank::HIGHEST), None);
        let (found, _, key) = self.members.range(start..).next()?;
        key.filter(|_| *found == group)
    }

    /// Number of records that are members of a group.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Sum of the members' weights; it does not depend on the order of changes.
    pub fn weight(&self) -> f64 {
        self.weight.value()
    }

    /// The samples of all records that have one.
    pub fn samples(&self) -> &SortedSamples {
        &self.samples
    }

    /// Number of record accesses since the table was created: by key, and in iterations over active or all
    /// records.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count_visits(&self, records: usize) {
        self.visited.set(self.visited.get() + records as u64);
    }

    fn add_to_indexes(&mut self, key: K, indexed: IndexedProperties<V::Group>) {
        if let Some(member) = indexed.membership {
            self.members.insert((member.group, Reverse(Rank::new(member.rank)), Some(key)));
            self.weight.add(member.weight);
        }
        if let Some(sample) = indexed.sample {
            self.samples.insert(sample);
        }
    }

    fn remove_from_indexes(&mut self, key: K, indexed: IndexedProperties<V::Group>) {
        if let Some(member) = indexed.membership {
            self.members.remove(&(member.group, Reverse(Rank::new(member.rank)), Some(key)));
            self.weight.remove(member.weight);
        }
        if let Some(sample) = indexed.sample {
            let found = self.samples.remove(sample);
            debug_assert!(found, "the sample of an indexed record is not in the set of samples");
        }
    }
}

impl<K: Copy + Ord, V: Record> Index<K> for Table<K, V> {
    type Output = V;

    /// The record with this key; panics if there is none.
    fn index(&self, key: K) -> &V {
        self.get(key).expect("the table has no record with this key")
    }
}
