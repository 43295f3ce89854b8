//! A multiset of numbers, kept sorted in chunks: one change moves at most one chunk.

use crate::ExactSum;

/// The most samples in one chunk. A chunk that grows beyond it is split in two.
const MAX_CHUNK_LEN: usize = 128;
/// Two neighbouring chunks that hold no more than this together become one.
const MAX_MERGED_LEN: usize = MAX_CHUNK_LEN / 2;

/// Part of the samples, sorted and never empty, with its sum.
#[derive(Debug, Default)]
struct Chunk {
    values: Vec<f64>,
    sum: ExactSum,
}

impl Chunk {
    fn of(values: Vec<f64>) -> Self {
        let mut sum = ExactSum::default();
        values.iter().for_each(|value| sum.add(*value));
        Chunk { values, sum }
    }

    fn last(&self) -> f64 {
        self.values[self.values.len() - 1]
    }

    /// Sum of the samples, each counted as `cap` at most; goes through those on the shorter side of the cap.
    fn capped_sum(&self, cap: f64) -> ExactSum {
        let (within, beyond) = self.values.split_at(self.values.partition_point(|value| *value <= cap));
        let mut sum = ExactSum::default();
        if within.len() < beyond.len() {
            within.iter().for_each(|value| sum.add(*value));
        } else {
            sum = self.sum;
            beyond.iter().for_each(|value| sum.remove(*value));
        }
        sum.add_times(cap, beyond.len());
        sum
    }

    /// Where the first sample stands that is no less than `value`.
    fn position(&self, value: f64) -> usize {
        self.values.partition_point(|v| v.total_cmp(&value).is_lt())
    }
}

/// A multiset of numbers in the order of `f64::total_cmp`, with order statistics and capped means.
///
/// With `n` samples there are some `n / 32` chunks at most. A change searches them by halves and moves at most 128
/// samples; a query walks the chunks' heads, and the samples of one of them. Results do not depend on the order of changes.
#[derive(Debug, Default)]
pub struct SortedSamples {
    chunks: Vec<Chunk>,
    len: usize,
}

impl SortedSamples {
    /// How many samples are held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a sample; equal ones are kept side by side.
    pub fn insert(&mut self, value: f64) {
        self.len += 1;
        if self.chunks.is_empty() {
            self.chunks.push(Chunk::of(vec![value]));
            return;
        }
        let index = self.chunk_of(value).min(self.chunks.len() - 1);
        let chunk = &mut self.chunks[index];
        chunk.values.insert(chunk.position(value), value);
        chunk.sum.add(value);
        if chunk.values.len() > MAX_CHUNK_LEN {
            let upper = Chunk::of(chunk.values.split_off(MAX_CHUNK_LEN / 2));
            *chunk = Chunk::of(std::mem::take(&mut chunk.values));
            self.chunks.insert(index + 1, upper);
        }
    }

    /// Removes one sample of this value; false if there is none.
    pub fn remove(&mut self, value: f64) -> bool {
        let index = self.chunk_of(value);
        let Some(chunk) = self.chunks.get_mut(index) else { return false };
        let position = chunk.position(value);
        if chunk.values[position].total_cmp(&value).is_ne() {
            return false;
        }
        chunk.values.remove(position);
        chunk.sum.remove(value);
        self.len -= 1;
        self.shrink(index);
        true
    }

    /// The sample at a place in ascending order, from 0; none beyond the last.
    pub fn nth(&self, place: usize) -> Option<f64> {
        let mut left = place;
        for chunk in &self.chunks {
            if left < chunk.values.len() {
                return Some(chunk.values[left]);
            }
            left -= chunk.values.len();
        }
        None
    }

    /// Mean of the samples, each counted as `cap` at most; none without a sample.
    pub fn capped_mean(&self, cap: f64) -> Option<f64> {
        // Chunks in which no sample passes the cap, one that it may cut, and chunks beyond it.
        let within = self.chunks.partition_point(|chunk| chunk.last() <= cap);
        let (below, rest) = self.chunks.split_at(within);
        let mut sum = ExactSum::default();
        below.iter().for_each(|chunk| sum.add_sum(chunk.sum));
        if let Some((cut, beyond)) = rest.split_first() {
            sum.add_sum(cut.capped_sum(cap));
            sum.add_times(cap, beyond.iter().map(|chunk| chunk.values.len()).sum());
        }
        (self.len > 0).then(|| sum.value() / self.len as f64)
    }

    /// The first chunk that may hold `value`; the number of chunks if all samples are less.
    fn chunk_of(&self, value: f64) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().total_cmp(&value).is_lt())
    }

    /// Drops a chunk that became empty, and joins a small one with a small neighbour.
    fn shrink(&mut self, index: usize) {
        if self.chunks[index].values.is_empty() {
            self.chunks.remove(index);
            return;
        }
        let first = index.saturating_sub(1);
        let last = (index + 1).min(self.chunks.len() - 1);
        for lower in (first..last).rev() {
            if self.chunks[lower].values.len() + self.chunks[lower + 1].values.len() <= MAX_MERGED_LEN {
                let upper = self.chunks.remove(lower + 1);
                self.chunks[lower].values.extend(upper.values);
                self.chunks[lower].sum.add_sum(upper.sum);
            }
        }
    }
}
