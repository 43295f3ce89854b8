//! When a write or barrier is acknowledged: once it is durable, and no earlier than admission asked for as space
//! runs out.

use super::WriteBackBuffer;
use crate::record::Seq;
use crate::request::{Action, WriteHandle};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct PendingAcknowledgement {
    handle: WriteHandle,
    not_before: Micros,
}

/// Writes and barriers that clients wait for.
#[derive(Debug, Default)]
pub(super) struct Acknowledgements {
    pending: BTreeMap<Seq, PendingAcknowledgement>,
    /// Durable writes, by when they are acknowledged.
    durable: BTreeSet<(Micros, Seq)>,
}

impl Acknowledgements {
    /// A client waits for this write or barrier.
    pub(super) fn add(&mut self, seq: Seq, handle: WriteHandle, not_before: Micros) {
        self.pending.insert(seq, PendingAcknowledgement { handle, not_before });
    }

    /// The write is durable: it is acknowledged once its delay is over.
    pub(super) fn became_durable(&mut self, seq: Seq) {
        if let Some(pending) = self.pending.get(&seq) {
            self.durable.insert((pending.not_before, seq));
        }
    }

    /// Nobody is to be told by these any more. Returns who waited.
    pub(super) fn remove(&mut self, seq: Seq) -> Option<WriteHandle> {
        let pending = self.pending.remove(&seq)?;
        self.durable.remove(&(pending.not_before, seq));
        Some(pending.handle)
    }

    /// Removes the first write that is to be acknowledged now.
    fn take_due(&mut self, now: Micros) -> Option<WriteHandle> {
        let (_, seq) = self.durable.first().copied().filter(|(not_before, _)| *not_before <= now)?;
        self.remove(seq)
    }

    /// When the next durable write is to be acknowledged.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.durable.first().map(|(not_before, _)| *not_before)
    }
}

impl WriteBackBuffer {
    pub(super) fn send_due_acknowledgements(&mut self, now: Micros) {
        while let Some(handle) = self.acknowledgements.take_due(now) {
            self.requests.remove(&handle);
            self.counts.acknowledged += 1;
            self.actions.push(Action::Buffered(handle));
        }
    }
}
