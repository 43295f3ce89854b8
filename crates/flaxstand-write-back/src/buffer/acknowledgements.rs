//! Timing of acknowledgements: a write or barrier is acknowledged once it is durable, but not before the
//! delay that admission chose for it as space runs out.

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

/// Writes and barriers that are not yet acknowledged to their clients.
#[derive(Debug, Default)]
pub(super) struct Acknowledgements {
    pending: BTreeMap<Seq, PendingAcknowledgement>,
    /// Durable writes by the time of their acknowledgement.
    durable: BTreeSet<(Micros, Seq)>,
}

impl Acknowledgements {
    /// Adds a write or barrier whose client waits for an acknowledgement.
    pub(super) fn add(&mut self, seq: Seq, handle: WriteHandle, not_before: Micros) {
        self.pending.insert(seq, PendingAcknowledgement { handle, not_before });
    }

    /// Schedules the acknowledgement of a write that became durable for the end of its delay.
    pub(super) fn became_durable(&mut self, seq: Seq) {
        if let Some(pending) = self.pending.get(&seq) {
            self.durable.insert((pending.not_before, seq));
        }
    }

    /// Removes a pending acknowledgement. Returns the handle of its request.
    pub(super) fn remove(&mut self, seq: Seq) -> Option<WriteHandle> {
        let pending = self.pending.remove(&seq)?;
        self.durable.remove(&(pending.not_before, seq));
        Some(pending.handle)
    }

    /// Removes the first durable write whose delay is over.
    fn take_due(&mut self, now: Micros) -> Option<WriteHandle> {
        let (_, seq) = self.durable.first().copied().filter(|(not_before, _)| *not_before <= now)?;
        self.remove(seq)
    }

    /// Returns the time of the next scheduled acknowledgement.
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
