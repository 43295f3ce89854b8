//! Handling of the leader's requests (Raft §5.3, §7).

use super::{InjectedFault, Replica};
use crate::log::{Entry, Snapshot};
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use tracing::info;

/// Contents of an append request.
pub(super) struct Append {
    pub(super) prev_index: u64,
    pub(super) prev_term: u64,
    pub(super) entries: Vec<Entry>,
    /// The leader's commit index.
    pub(super) commit_index: u64,
}

/// Outcome of a request from the leader.
#[derive(Clone, Copy, Debug)]
pub(super) enum AppendOutcome {
    /// All entries up to this index match the leader's log.
    Accepted(u64),
    /// The entries do not continue the local log, or the sender is no longer the leader. All entries up to
    /// this index match the leader's log.
    Rejected(u64),
}

impl Replica {
    /// Returns whether the sender is the leader of the current term, and follows it if so.
    fn accept_leader(&mut self, from: &ReplicaId, term: u64, now: Micros) -> bool {
        if term < self.state().term {
            return false;
        }
        self.become_follower(term, now);
        if self.election.record_leader_contact(from, now) {
            info!(leader = from.name, term, "following a new leader");
        }
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn handle_append(
        &mut self,
        from: &ReplicaId,
        term: u64,
        append: Append,
        now: Micros,
    ) -> AppendOutcome {
        if !self.accept_leader(from, term, now) {
            return AppendOutcome::Rejected(0);
        }
        let Append { prev_index, prev_term, entries, commit_index } = append;
        let log = &self.state().log;
        let is_in_snapshot = prev_index < log.snapshot.index;
        let follows_log = is_in_snapshot || log.term(prev_index) == Some(prev_term);
        if !follows_log && self.config.injected_fault != InjectedFault::LogGapAccepted {
            // Committed entries are always part of the leader's log.
            return AppendOutcome::Rejected(self.commit_index());
        }
        let last_sent = prev_index + entries.len() as u64;
        self.append_missing(prev_index + 1, entries);
        let match_index = last_sent.max(if is_in_snapshot { self.commit_index() } else { 0 });
        let known_committed = commit_index.min(match_index).min(self.state().log.last_index());
        self.commit.advance_to(known_committed);
        AppendOutcome::Accepted(match_index)
    }

    /// Appends the entries that the log lacks. Existing entries and those after them are kept: a delayed
    /// request must not remove entries that a later one appended.
    fn append_missing(&mut self, first_index: u64, entries: Vec<Entry>) {
        let log = &self.state().log;
        let is_present = |(index, entry): &(u64, Entry)| {
            *index <= log.snapshot.index || log.term(*index) == Some(entry.term)
        };
        let missing: Vec<(u64, Entry)> = (first_index..).zip(entries).skip_while(is_present).collect();
        let Some((first_missing, _)) = missing.first() else { return };
        let first_missing = *first_missing;
        assert!(
            first_missing > self.commit_index(),
            "entries from {first_missing} on would overwrite committed ones"
        );
        let entries = missing.into_iter().map(|(_, entry)| entry).collect();
        self.persistent.replace_entries(first_missing, entries);
    }

    pub(super) fn handle_snapshot(
        &mut self,
        from: &ReplicaId,
        term: u64,
        snapshot: Snapshot,
        now: Micros,
    ) -> AppendOutcome {
        if !self.accept_leader(from, term, now) {
            return AppendOutcome::Rejected(0);
        }
        if snapshot.index > self.commit_index() {
            info!(index = snapshot.index, "installing the leader's snapshot");
            self.commit.advance_to(snapshot.index);
            self.persistent.install_snapshot(snapshot);
            self.commit.deliver_snapshot(&self.persistent.state().log.snapshot);
        }
        AppendOutcome::Accepted(self.commit_index())
    }

    /// Responds to a leader's request that was sent at `request_sent_at` by the leader's clock.
    pub(super) fn respond_to_leader(
        &mut self,
        leader: &ReplicaId,
        outcome: AppendOutcome,
        request_sent_at: u64,
    ) {
        let (AppendOutcome::Accepted(match_index) | AppendOutcome::Rejected(match_index)) = outcome;
        let body = if self.recovery.is_recovering() {
            // A stale copy of the directory must not confirm entries: a later incarnation may have
            // confirmed different ones.
            MessageBody::RecoveryProgress(match_index)
        } else if matches!(outcome, AppendOutcome::Accepted(_)) {
            MessageBody::AppendAccepted { match_index, request_sent_at }
        } else {
            MessageBody::AppendRejected { match_index, request_sent_at }
        };
        self.send(leader, body);
    }
}
