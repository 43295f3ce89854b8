//! What a leader knows of one other replica.

use crate::replica_id::Incarnation;
use flaxstand_proto::Micros;

/// A replica that started in this incarnation and may run on an old copy of its folder.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecoveringReplica {
    pub(super) incarnation: Incarnation,
    /// When it asked whether a later incarnation was seen.
    pub(super) requested_at: Micros,
    /// All entries up to there are in its log since.
    pub(super) match_index: u64,
}

impl RecoveringReplica {
    pub(super) fn new(incarnation: Incarnation, now: Micros) -> RecoveringReplica {
        RecoveringReplica { incarnation, requested_at: now, match_index: 0 }
    }
}

/// A replica's progress as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// All entries up to there are durable there.
    pub(super) match_index: u64,
    /// `match_index` counts for a quorum once this record of the leader's own journal is durable: until then
    /// an old copy of the replica's folder would not be recognised.
    counts_after_record: u64,
    /// What counts for a quorum.
    pub(super) quorum_match_index: u64,
    /// The entry to send next.
    pub(super) next_index: u64,
    /// When a response, or a request to join, came last.
    pub(super) last_contact_at: Micros,
    /// When the newest request was sent that it has answered.
    pub(super) newest_answered_sent_at: Micros,
    /// It started, and was not brought up to date yet.
    pub(super) recovering: Option<RecoveringReplica>,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Micros) -> Progress {
        Progress {
            match_index: 0,
            counts_after_record: 0,
            quorum_match_index: 0,
            next_index,
            last_contact_at: now,
            newest_answered_sent_at: Micros(0),
            recovering: None,
        }
    }

    /// Whether it was heard from within `timeout`.
    pub(super) fn is_responsive(&self, timeout: Micros, now: Micros) -> bool {
        now.since(self.last_contact_at) < timeout
    }

    /// It answered, as one that takes part. `request_sent_at` is bounded by the clock here: guards leases
    /// against an answer that claims a time to come.
    pub(super) fn record_response(&mut self, request_sent_at: Micros, now: Micros) {
        self.last_contact_at = now;
        self.recovering = None;
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(request_sent_at.min(now));
    }

    /// All entries up to an index are durable there. Returns whether that is more than before: a late
    /// response says less than what came before it.
    pub(super) fn advance_match(&mut self, match_index: u64, queued_records: u64) -> bool {
        let has_advanced = match_index > self.match_index;
        if has_advanced {
            self.match_index = match_index;
            self.counts_after_record = queued_records;
        }
        self.next_index = self.match_index + 1;
        has_advanced
    }

    /// It rejected an append; entries up to `match_index` are there.
    pub(super) fn back_up(&mut self, match_index: u64, last_index: u64) {
        self.next_index = (match_index.max(self.match_index) + 1).min(last_index + 1);
    }

    /// Counts `match_index` for a quorum if the leader's journal has reached the record that it waits for.
    pub(super) fn count_durable(&mut self, durable_records: u64) {
        if self.counts_after_record <= durable_records {
            self.quorum_match_index = self.match_index;
        }
    }
}
