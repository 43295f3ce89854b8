//! Flushes: complete once everything accepted earlier is confirmed by the nodes or, depending on a setting,
//! durable in the log.

use super::WriteBackBuffer;
use crate::record::Seq;
use crate::request::{Action, WriteHandle};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct PendingFlush {
    /// Volume to flush; `None` for all volumes.
    volume: Option<u64>,
    /// Sequence number of the last item accepted before the flush.
    up_to: Seq,
}

/// Incomplete flushes.
#[derive(Debug, Default)]
pub(super) struct Flushes {
    pending: BTreeMap<WriteHandle, PendingFlush>,
}

impl Flushes {
    pub(super) fn add(&mut self, handle: WriteHandle, volume: Option<u64>, up_to: Seq) {
        self.pending.insert(handle, PendingFlush { volume, up_to });
    }

    pub(super) fn remove(&mut self, handle: WriteHandle) {
        self.pending.remove(&handle);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn complete(&self, is_complete: impl Fn(&PendingFlush) -> bool) -> Vec<WriteHandle> {
        let complete = self.pending.iter().filter(|(_, flush)| is_complete(flush));
        complete.map(|(handle, _)| *handle).collect()
    }
}

impl WriteBackBuffer {
    pub(super) fn complete_flushes(&mut self) {
        let order = &self.order;
        let complete = if self.config.limits.flush_when_durable {
            self.flushes.complete(|flush| order.is_durable(flush.volume, flush.up_to))
        } else {
            self.flushes.complete(|flush| order.is_complete(flush.volume, flush.up_to))
        };
        for handle in complete {
            self.flushes.remove(handle);
            self.requests.remove(&handle);
            self.actions.push(Action::Flushed(handle));
        }
    }
}
