//! Queue of the items of one extent: one item at a time is sent to the node, in order of arrival.

use crate::record::{ExtentId, Seq, Write};
use crate::request::WriteHandle;
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Consecutive writes of one extent that are sent to the node as one write.
#[derive(Clone, Debug)]
pub struct MergedWrite {
    /// First of the merged writes.
    pub first: Seq,
    /// All merged writes in order.
    pub seqs: Vec<Seq>,
    /// The resulting write.
    pub write: Write,
}

impl MergedWrite {
    pub(super) fn of(seq: Seq, write: Write) -> Self {
        MergedWrite { first: seq, seqs: vec![seq], write }
    }

    pub(super) fn extend(&mut self, seq: Seq, merged: Write) {
        self.seqs.push(seq);
        self.write = merged;
    }

    /// Returns the last of the merged writes.
    pub fn last(&self) -> Seq {
        self.seqs.last().copied().unwrap_or(self.first)
    }

    /// Returns the extent to write.
    pub fn extent_id(&self) -> ExtentId {
        self.write.extent_id
    }
}

/// Queue of an extent.
#[derive(Debug, Default)]
pub(super) struct ExtentQueue {
    /// Incomplete items in order.
    pub(super) items: VecDeque<Seq>,
    /// Whether the first item, or a merged write that begins with it, is in flight.
    pub(super) is_in_flight: bool,
    /// Write that may have been executed. It is sent again unchanged until it is confirmed.
    pub(super) may_have_run: Option<MergedWrite>,
    /// End of the cooldown: nothing is sent earlier.
    pub(super) not_before: Micros,
    /// Confirmed writes whose completion is not yet durable in the log.
    pub(super) unrecorded: BTreeSet<Seq>,
    /// Reads whose response from the node will be merged with buffered writes.
    readers: BTreeSet<WriteHandle>,
    /// Writes that were confirmed while such reads were in flight.
    kept_for_readers: BTreeMap<Seq, Write>,
}

impl ExtentQueue {
    /// Returns whether all items are complete and their completion is durable in the log.
    pub(super) fn is_settled(&self) -> bool {
        self.items.is_empty() && self.unrecorded.is_empty()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.is_settled() && self.readers.is_empty()
    }

    pub(super) fn has_readers(&self) -> bool {
        !self.readers.is_empty()
    }

    pub(super) fn add_reader(&mut self, handle: WriteHandle) {
        self.readers.insert(handle);
    }

    pub(super) fn remove_reader(&mut self, handle: WriteHandle) {
        self.readers.remove(&handle);
        if self.readers.is_empty() {
            self.kept_for_readers.clear();
        }
    }

    pub(super) fn kept_for_readers(&self) -> impl Iterator<Item = &Write> {
        self.kept_for_readers.values()
    }

    /// Returns an unconfirmed write that was in flight to the queue.
    pub(super) fn return_unconfirmed(&mut self, merged: MergedWrite, may_have_run: bool, not_before: Micros) {
        self.is_in_flight = false;
        self.not_before = self.not_before.max(not_before);
        if may_have_run {
            self.may_have_run = Some(merged);
        }
    }

    pub(super) fn park(&mut self) {
        self.is_in_flight = false;
        self.may_have_run = None;
    }

    /// Handles the confirmation of a buffered write.
    pub(super) fn confirm(&mut self, seq: Seq, write: Write) {
        self.unrecorded.insert(seq);
        self.may_have_run = None;
        if self.has_readers() {
            self.kept_for_readers.insert(seq, write);
        }
    }

    pub(super) fn remove(&mut self, seq: Seq, not_before: Micros) {
        if self.items.front() == Some(&seq) {
            self.is_in_flight = false;
        }
        self.items.retain(|queued| *queued != seq);
        self.not_before = self.not_before.max(not_before);
    }
}
