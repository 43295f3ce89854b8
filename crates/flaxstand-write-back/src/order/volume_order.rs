//! Barriers of one volume: items after a barrier are not sent before all items accepted before it are
//! complete.

use crate::record::Seq;
use std::collections::BTreeSet;

/// Incomplete items of a volume.
#[derive(Debug, Default)]
pub(super) struct VolumeOrder {
    /// Incomplete writes and pass-throughs.
    pub(super) open: BTreeSet<Seq>,
    /// Barriers that have not been passed.
    pub(super) barriers: BTreeSet<Seq>,
    /// Bytes of the buffered writes.
    pub(super) bytes: u64,
}

impl VolumeOrder {
    /// Returns whether an item lies after a barrier that has not been passed.
    pub(super) fn is_fenced(&self, seq: Seq) -> bool {
        self.barriers.first().is_some_and(|barrier| *barrier < seq)
    }

    /// Returns whether all items up to `up_to` are complete.
    pub(super) fn is_complete(&self, up_to: Seq) -> bool {
        self.open.first().is_none_or(|first| *first > up_to)
    }

    /// Removes and returns the first barrier if all items before it are complete.
    pub(super) fn pass_first_barrier(&mut self) -> Option<Seq> {
        let barrier = self.barriers.first().copied()?;
        let blocked = self.open.first().is_some_and(|open| *open < barrier);
        if blocked {
            return None;
        }
        self.barriers.remove(&barrier);
        Some(barrier)
    }

    /// Returns the items between a barrier that was just passed and the next one.
    pub(super) fn unfenced_by(&self, passed: Seq) -> impl Iterator<Item = &Seq> {
        let next = self.barriers.first().copied().unwrap_or(Seq(u64::MAX));
        self.open.range(passed..next)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.barriers.is_empty()
    }
}
