//! All that is for one extent: one item at a time is sent to its node, in the order of arrival.

use crate::record::{ExtentId, Seq, Write};
use crate::request::WriteHandle;
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Consecutive writes of one extent that are sent to the node as one.
#[derive(Clone, Debug)]
pub struct MergedWrite {
    /// The first of them.
    pub first: Seq,
    /// All of them, in order.
    pub seqs: Vec<Seq>,
    /// The write that has the effect of all.
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

    /// The last of them.
    pub fn last(&self) -> Seq {
        self.seqs.last().copied().unwrap_or(self.first)
    }

    /// Extent that it is for.
    pub fn extent_id(&self) -> ExtentId {
        self.write.extent_id
    }
}

/// Queue of an extent.
#[derive(Debug, Default)]
pub(super) struct ExtentQueue {
    /// What is not over, in order.
    pub(super) items: VecDeque<Seq>,
    /// The first, or a merged write that begins with it, is in flight.
    pub(super) is_in_flight: bool,
    /// It may have been executed: it is sent again as it was, until it is confirmed.
    pub(super) may_have_run: Option<MergedWrite>,
    /// Nothing is sent before this.
    pub(super) not_before: Micros,
    /// Confirmed writes whose completion is not durable in the log.
    pub(super) unrecorded: BTreeSet<Seq>,
    /// Reads whose answer from the node will be overlaid with what was buffered here.
    readers: BTreeSet<WriteHandle>,
    /// Writes that were confirmed while such reads were in flight.
    kept_for_readers: BTreeMap<Seq, Write>,
}

impl ExtentQueue {
    /// All of it is over, and the log knows.
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

    /// What is in flight may be taken again by nobody else: it is over without being confirmed.
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

    /// A buffered write was confirmed.
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
