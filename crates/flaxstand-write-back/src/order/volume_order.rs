//! Barriers of one volume: nothing after a barrier is sent before all that was accepted before it is over.

use crate::record::Seq;
use std::collections::BTreeSet;

/// What is open of a volume.
#[derive(Debug, Default)]
pub(super) struct VolumeOrder {
    /// Writes and pass-throughs that are not over.
    pub(super) open: BTreeSet<Seq>,
    /// Barriers that are not passed.
    pub(super) barriers: BTreeSet<Seq>,
    /// Bytes of its buffered writes.
    pub(super) bytes: u64,
}

impl VolumeOrder {
    /// An unpassed barrier lies before it.
    pub(super) fn is_fenced(&self, seq: Seq) -> bool {
        self.barriers.first().is_some_and(|barrier| *barrier < seq)
    }

    /// All up to a number is over.
    pub(super) fn is_over(&self, up_to: Seq) -> bool {
        self.open.first().is_none_or(|first| *first > up_to)
    }

    /// Removes the first barrier if all before it is over. Returns it.
    pub(super) fn pass_first_barrier(&mut self) -> Option<Seq> {
        let barrier = self.barriers.first().copied()?;
        let blocked = self.open.first().is_some_and(|open| *open < barrier);
        if blocked {
            return None;
        }
        self.barriers.remove(&barrier);
        Some(barrier)
    }

    /// What lies between a barrier that was just passed and the next one.
    pub(super) fn unfenced_by(&self, passed: Seq) -> impl Iterator<Item = &Seq> {
        let next = self.barriers.first().copied().unwrap_or(Seq(u64::MAX));
        self.open.range(passed..next)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.barriers.is_empty()
    }
}
