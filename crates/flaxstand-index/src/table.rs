//! Records by key with secondary indexes. Every change goes through one place, which keeps the indexes right.

use crate::{ExactSum, SortedSamples};
use std::cell::Cell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A record's place in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Membership<G> {
    /// The group.
    pub group: G,
    /// Rank in the group: the member of the highest rank leads it, and of equals the one with the lowest key.
    pub rank: f64,
    /// Weight in the sum over all members of all groups.
    pub weight: f64,
}

/// What a [`Table`] indexes of its records.
pub trait Record {
    /// What records are grouped by.
    type Group: Copy + Ord;
    /// The record's place in a group; none: it is a member of no group.
    fn membership(&self) -> Option<Membership<Self::Group>>;
    /// The record's sample in the table's pool of samples, if it has one.
    fn sample(&self) -> Option<f64>;
}

/// A rank in the order of numbers, with both zeros equal.
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

/// Where a member stands among all: by group, the highest rank first, then by key. `None` stands before any key.
type Place<G, K> = (G, Reverse<Rank>, Option<K>);

/// What the indexes hold of one record.
#[derive(Clone, Copy, PartialEq)]
struct Indexed<G> {
    membership: Option<Membership<G>>,
    sample: Option<f64>,
}

impl<G: Copy + Ord> Indexed<G> {
    fn of<V: Record<Group = G>>(record: &V) -> Self {
        // Both zeros are one sample, as they are equal when a record's state is compared with the former one.
        Indexed { membership: record.membership(), sample: record.sample().map(|sample| sample + 0.0) }
    }
}

/// Records by key. Kept up to date at each change, in steps that grow with the logarithm of the records (a new chunk
/// of samples apart): the leader of each group, the members' count and weight, the samples.
///
/// A record that was inserted or changed is active until [`Table::retain_active`] lets it rest.
pub struct Table<K, V: Record> {
    records: Vec<Option<V>>,
    vacant: Vec<usize>,
    slots: BTreeMap<K, usize>,
    active: BTreeMap<K, usize>,
    members: BTreeSet<Place<V::Group, K>>,
    weight: ExactSum,
    samples: SortedSamples,
    visited: Cell<u64>,
}

impl<K: Copy + Ord, V: Record> Default for Table<K, V> {
    fn default() -> Self {
        Table {
            records: Vec::new(),
            vacant: Vec::new(),
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
    /// How many records are held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether there is a record of this key.
    pub fn contains(&self, key: K) -> bool {
        self.slots.contains_key(&key)
    }

    /// The record of this key.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = *self.slots.get(&key)?;
        self.count_visits(1);
        self.records[slot].as_ref()
    }

    /// Inserts a record, in place of one that was there. It becomes active.
    pub fn insert(&mut self, key: K, record: V) {
        self.remove(key);
        self.add_to_indexes(key, Indexed::of(&record));
        let slot = self.vacant.pop().unwrap_or(self.records.len());
        if slot == self.records.len() {
            self.records.push(Some(record));
        } else {
            self.records[slot] = Some(record);
        }
        self.slots.insert(key, slot);
        self.active.insert(key, slot);
    }

    /// Removes a record; none if there was none.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let slot = self.slots.remove(&key)?;
        let record = self.records[slot].take()?;
        self.count_visits(1);
        self.vacant.push(slot);
        self.active.remove(&key);
        self.remove_from_indexes(key, Indexed::of(&record));
        Some(record)
    }

    /// Changes a record, which becomes active; none if there is none. The only way to change one.
    pub fn update<R>(&mut self, key: K, change: impl FnOnce(&mut V) -> R) -> Option<R> {
        let slot = *self.slots.get(&key)?;
        let record = self.records[slot].as_mut()?;
        let before = Indexed::of(record);
        let result = change(record);
        let after = Indexed::of(record);
        self.count_visits(1);
        if before != after {
            self.remove_from_indexes(key, before);
            self.add_to_indexes(key, after);
        }
        self.active.insert(key, slot);
        Some(result)
    }

    /// Changes a record, or one made anew where there is none. It becomes active.
    pub fn update_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V, change: impl FnOnce(&mut V)) {
        if !self.contains(key) {
            self.insert(key, make());
        }
        self.update(key, change);
    }

    /// Changes all records but those of some keys, in the order of keys; what is changed becomes active.
    pub fn update_others(&mut self, spared: impl Iterator<Item = K>, mut change: impl FnMut(&mut V)) {
        let spared: BTreeSet<K> = spared.collect();
        let keys: Vec<K> = self.slots.keys().filter(|key| !spared.contains(key)).copied().collect();
        for key in keys {
            self.update(key, &mut change);
        }
    }

    /// All records in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.count_visits(self.slots.len());
        self.slots.iter().filter_map(|(key, slot)| Some((*key, self.records[*slot].as_ref()?)))
    }

    /// The active records in the order of keys.
    pub fn active(&self) -> impl Iterator<Item = (K, &V)> {
        self.count_visits(self.active.len());
        self.active.iter().filter_map(|(key, slot)| Some((*key, self.records[*slot].as_ref()?)))
    }

    /// Lets those active records rest of which `stays` says no; they become active again when changed.
    pub fn retain_active(&mut self, mut stays: impl FnMut(&V) -> bool) {
        self.count_visits(self.active.len());
        let records = &self.records;
        self.active.retain(|_, slot| records[*slot].as_ref().is_some_and(&mut stays));
    }

    /// Removes those active records of which `removes` says yes.
    pub fn remove_active(&mut self, mut removes: impl FnMut(&V) -> bool) {
        let keys: Vec<K> = self.active().filter(|(_, record)| removes(record)).map(|(key, _)| key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    /// The leader of a group: its member of the highest rank, and of equals the one with the lowest key.
    pub fn leader(&self, group: V::Group) -> Option<K> {
        let start = (group, Reverse(Rank::HIGHEST), None);
        let (found, _, key) = self.members.range(start..).next()?;
        key.filter(|_| *found == group)
    }

    /// How many records are members of a group.
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

    /// How often a record was looked at since the start: by key, or in walks over active or all records.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn count_visits(&self, records: usize) {
        self.visited.set(self.visited.get() + records as u64);
    }

    fn add_to_indexes(&mut self, key: K, indexed: Indexed<V::Group>) {
        if let Some(member) = indexed.membership {
            self.members.insert((member.group, Reverse(Rank::new(member.rank)), Some(key)));
            self.weight.add(member.weight);
        }
        if let Some(sample) = indexed.sample {
            self.samples.insert(sample);
        }
    }

    fn remove_from_indexes(&mut self, key: K, indexed: Indexed<V::Group>) {
        if let Some(member) = indexed.membership {
            self.members.remove(&(member.group, Reverse(Rank::new(member.rank)), Some(key)));
            self.weight.remove(member.weight);
        }
        if let Some(sample) = indexed.sample {
            let found = self.samples.remove(sample);
            debug_assert!(found, "every record's sample is in the pool");
        }
    }
}

impl<K: Copy + Ord, V: Record> Index<K> for Table<K, V> {
    type Output = V;

    /// The record of this key; panics if there is none.
    fn index(&self, key: K) -> &V {
        self.get(key).expect("a record of this key is in the table")
    }
}
