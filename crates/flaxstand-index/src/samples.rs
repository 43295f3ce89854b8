//! A sorted multiset of numbers, stored in chunks so that one change moves the samples of at most one chunk.

use crate::ExactSum;

/// Maximum number of samples in a chunk. A chunk that grows beyond it is split in two.
const MAX_CHUNK_LEN: usize = 128;
/// Two adjacent chunks with at most this many samples together are merged.
const MAX_MERGED_LEN: usize = MAX_CHUNK_LEN / 2;

/// A contiguous part of the sorted samples, never empty, with its sum.
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

    /// Sum of the samples, each capped at `cap`. Iterates over the smaller of the two groups below and above
    /// the cap.
    fn capped_sum(&self, cap: f64) -> ExactSum {
        let (below, above) = self.values.split_at(self.values.partition_point(|value| *value <= cap));
        let mut sum = ExactSum::default();
        if below.len() < above.len() {
            below.iter().for_each(|value| sum.add(*value));
        } else {
            sum = self.sum;
            above.iter().for_each(|value| sum.remove(*value));
        }
        sum.add_times(cap, above.len());
        sum
    }

    /// Index of the first sample that is not less than `value`.
    fn position(&self, value: f64) -> usize {
        self.values.partition_point(|v| v.total_cmp(&value).is_lt())
    }
}

/// A multiset of numbers in the order of `f64::total_cmp`, with order statistics and capped means.
///
/// With `n` samples there are at most about `n / 32` chunks. A change finds its chunk by binary search and
/// moves at most 128 samples; a query iterates over the chunk headers and over the samples of one chunk.
/// Results do not depend on the order of changes.
#[derive(Debug, Default)]
pub struct SortedSamples {
    chunks: Vec<Chunk>,
    len: usize,
}

impl SortedSamples {
    /// Number of samples.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a sample. Equal samples are stored separately.
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

    /// Removes one sample of this value. Returns whether there was one.
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

    /// The sample at an index in ascending order, from 0; none beyond the last.
    pub fn nth(&self, index: usize) -> Option<f64> {
        let mut remaining = index;
        for chunk in &self.chunks {
            if remaining < chunk.values.len() {
                return Some(chunk.values[remaining]);
            }
            remaining -= chunk.values.len();
        }
        None
    }

    /// Mean of the samples, each capped at `cap`; none if there are no samples.
    pub fn capped_mean(&self, cap: f64) -> Option<f64> {
        // Chunks without a sample above the cap, one chunk that may contain the cap, and chunks above it.
        let within = self.chunks.partition_point(|chunk| chunk.last() <= cap);
        let (below, others) = self.chunks.split_at(within);
        let mut sum = ExactSum::default();
        below.iter().for_each(|chunk| sum.add_sum(chunk.sum));
        if let Some((containing, above)) = others.split_first() {
            sum.add_sum(containing.capped_sum(cap));
            sum.add_times(cap, above.iter().map(|chunk| chunk.values.len()).sum());
        }
        (self.len > 0).then(|| sum.value() / self.len as f64)
    }

    /// Index of the first chunk that may contain `value`; the number of chunks if all samples are less.
    fn chunk_of(&self, value: f64) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().total_cmp(&value).is_lt())
    }

    /// Removes a chunk that became empty, and merges a small one with adjacent small chunks.
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
