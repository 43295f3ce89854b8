//! Flushes: complete once all that was accepted before is on its nodes, or, by a setting, durable here.

use super::WriteBackBuffer;
use crate::record::Seq;
use crate::request::{Action, WriteHandle};
use std::collections::BTreeMap;

/// A flush that is not complete.
#[derive(Clone, Copy, Debug)]
struct PendingFlush {
    /// The volume; `None`: all volumes.
    volume: Option<u64>,
    /// The last number that was accepted before it.
    up_to: Seq,
}

/// Flushes that are not complete.
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
            self.flushes.complete(|flush| order.is_over(flush.volume, flush.up_to))
        };
        for handle in complete {
            self.flushes.remove(handle);
            self.requests.remove(&handle);
            self.actions.push(Action::Flushed(handle));
        }
    }
}
