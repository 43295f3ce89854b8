//! Replication state of one other replica, as tracked by the leader.

use crate::replica_id::Incarnation;
use flaxstand_proto::Micros;

/// A replica that has started in this incarnation and may be running on a stale copy of its directory.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecoveringReplica {
    pub(super) incarnation: Incarnation,
    /// When it announced itself.
    pub(super) requested_at: Micros,
    /// Index up to which its log matches since then.
    pub(super) match_index: u64,
}

impl RecoveringReplica {
    pub(super) fn new(incarnation: Incarnation, now: Micros) -> RecoveringReplica {
        RecoveringReplica { incarnation, requested_at: now, match_index: 0 }
    }
}

/// Replication progress of one replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index up to which all entries are durable on the replica.
    pub(super) match_index: u64,
    /// `match_index` counts towards a quorum once this record of the leader's own journal is durable;
    /// before that, a stale copy of the replica's directory could not be detected.
    counts_after_record: u64,
    /// The part of `match_index` that counts towards a quorum.
    pub(super) quorum_match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Time of the last response or join request.
    pub(super) last_contact_at: Micros,
    /// Send time of the latest request that it has responded to.
    pub(super) last_acked_sent_at: Micros,
    /// Set while the replica is recovering after a start.
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
            last_acked_sent_at: Micros(0),
            recovering: None,
        }
    }

    /// Whether it was in contact within `timeout`.
    pub(super) fn is_responsive(&self, timeout: Micros, now: Micros) -> bool {
        now.since(self.last_contact_at) < timeout
    }

    /// Records a response of a replica that is not recovering. `request_sent_at` is capped at the current
    /// time: a response with a time in the future must not extend leadership, on which leases depend.
    pub(super) fn record_response(&mut self, request_sent_at: Micros, now: Micros) {
        self.last_contact_at = now;
        self.recovering = None;
        self.last_acked_sent_at = self.last_acked_sent_at.max(request_sent_at.min(now));
    }

    /// Records that all entries up to an index are durable on the replica. Returns whether the index has
    /// advanced; a delayed response may report a lower one.
    pub(super) fn advance_match(&mut self, match_index: u64, queued_records: u64) -> bool {
        let has_advanced = match_index > self.match_index;
        if has_advanced {
            self.match_index = match_index;
            self.counts_after_record = queued_records;
        }
        self.next_index = self.match_index + 1;
        has_advanced
    }

    /// Handles a rejected append; the replica's log matches up to `match_index`.
    pub(super) fn back_up(&mut self, match_index: u64, last_index: u64) {
        self.next_index = (match_index.max(self.match_index) + 1).min(last_index + 1);
    }

    /// Counts `match_index` towards a quorum if the record it depends on is durable.
    pub(super) fn count_durable(&mut self, durable_records: u64) {
        if self.counts_after_record <= durable_records {
            self.quorum_match_index = self.match_index;
        }
    }
}
