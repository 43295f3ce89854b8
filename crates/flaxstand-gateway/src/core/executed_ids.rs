//! Ids of client requests that may have been executed, so that none is executed again when it comes once more,
//! also after its client has left.
//!
//! Ids are kept as fingerprints in two generations of the same size. When the current one is full it becomes the
//! previous one, whose ids are forgotten. So at least as many ids are remembered as one generation holds.

use std::collections::HashSet;
use std::hash::{BuildHasher as _, RandomState};

/// Remembered ids.
#[derive(Debug, Default)]
pub(super) struct ExecutedIds {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    /// Fingerprints differ between processes, so that peers cannot choose ids that collide.
    hasher: RandomState,
}

impl ExecutedIds {
    /// Remembers an id. At most `max_ids` are remembered, the most recent ones.
    pub(super) fn insert(&mut self, id: &str, max_ids: usize) {
        if self.current.len() >= (max_ids / 2).max(1) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(self.hasher.hash_one(id));
    }

    /// Returns whether an id is remembered.
    pub(super) fn contains(&self, id: &str) -> bool {
        let fingerprint = self.hasher.hash_one(id);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
