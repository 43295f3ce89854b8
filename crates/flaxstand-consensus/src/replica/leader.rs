//! Leader: replicates entries, sends heartbeats, tracks acknowledgements, and steps down without contact with
//! a majority.

use super::progress::{Progress, RecoveringReplica};
use super::{InjectedFault, MAX_MESSAGE_BYTES, Replica, Role};
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use tracing::{info, warn};

/// Fraction of an election time-out for which the responses of a majority prove leadership. The remaining
/// tenth is the margin for clock drift.
const LEADERSHIP_NUMERATOR: u64 = 9;
const LEADERSHIP_DENOMINATOR: u64 = 10;

impl Replica {
    /// Sends heartbeats when due, or steps down.
    pub(super) fn tick_leader(&mut self, now: Micros) {
        // Check-quorum: a partitioned leader that has been replaced must step down.
        if !self.has_quorum_contact(now) && self.config.injected_fault != InjectedFault::QuorumCheckSkipped {
            warn!(
                term = self.state().term,
                "no contact with a majority within the election time-out; stepping down"
            );
            return self.become_follower(self.state().term, now);
        }
        let Role::Leader(leader) = &self.role else { return };
        if now >= leader.heartbeat_at {
            self.complete_recoveries(now);
            self.update_voters(now);
            self.broadcast_append(now);
        }
    }

    fn has_quorum_contact(&self, now: Micros) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let state = self.state();
        leader.has_quorum_contact(state.log.voters(), &state.id, self.config.election_timeout, now)
    }

    /// Whether an entry of the current term is committed. Before that, a new leader may not know all
    /// committed entries (Raft §8).
    pub(super) fn has_committed_in_term(&self) -> bool {
        let state = self.state();
        state.log.term(self.commit_index()) == Some(state.term)
    }

    /// Until when no other replica can become leader, as proven by the responses of a majority. A replica
    /// that received a request from this leader grants no vote for an election time-out after receipt, which
    /// is later than the send time used here. `None` if this replica is not the leader or may not know all
    /// committed entries yet.
    pub fn leads_until(&self, now: Micros) -> Option<Micros> {
        let Role::Leader(leader) = &self.role else { return None };
        if !self.has_committed_in_term() {
            return None;
        }
        let state = self.state();
        let proven_at = leader.quorum_sent_at(state.log.voters(), &state.id, now)?;
        let span = self.config.election_timeout.0 * LEADERSHIP_NUMERATOR / LEADERSHIP_DENOMINATOR;
        Some(proven_at.after(Micros(span)))
    }

    /// On a leader: voters without contact for an election time-out.
    pub(super) fn unresponsive(&self, now: Micros) -> Vec<String> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let state = self.state();
        let is_responsive = |voter: &ReplicaId| {
            let peer = leader.peers.get(voter);
            *voter == state.id
                || peer.is_some_and(|peer| peer.is_responsive(self.config.election_timeout, now))
        };
        let voters = state.log.voters().iter();
        voters.filter(|voter| !is_responsive(voter)).map(|voter| voter.name.clone()).collect()
    }

    /// Sends every peer the entries it lacks; a request without entries is a heartbeat.
    pub(super) fn broadcast_append(&mut self, now: Micros) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_at = now.after(self.config.heartbeat_interval);
        let peers: Vec<ReplicaId> = leader.peers.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, now);
        }
        self.advance_commit_index();
    }

    fn send_append(&mut self, to: &ReplicaId, now: Micros) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(peer) = leader.peers.get(to) else { return };
        let log = &self.state().log;
        let prev_index = peer.next_index - 1;
        let body = match log.term(prev_index) {
            Some(prev_term) => MessageBody::AppendRequest {
                prev_index,
                prev_term,
                entries: log.entries_after(prev_index, MAX_MESSAGE_BYTES),
                commit_index: self.commit_index(),
                sent_at: now.0,
            },
            // The missing entries have been compacted into the snapshot.
            None => MessageBody::InstallSnapshot { snapshot: log.snapshot.clone(), sent_at: now.0 },
        };
        self.send(to, body);
    }

    /// Records a response to an append request. Returns the sender's progress if the response is of the
    /// current term. A later term ends this replica's leadership.
    fn record_append_response(
        &mut self,
        from: &ReplicaId,
        term: u64,
        request_sent_at: Micros,
        now: Micros,
    ) -> Option<&mut Progress> {
        if term > self.state().term {
            self.become_follower(term, now);
            return None;
        }
        let is_current = term == self.state().term;
        let Role::Leader(leader) = &mut self.role else { return None };
        let peer = leader.peers.get_mut(from).filter(|_| is_current)?;
        peer.record_response(request_sent_at, now);
        Some(peer)
    }

    /// The sender's log matches up to `match_index`, and those entries are durable.
    pub(super) fn handle_append_accepted(
        &mut self,
        from: &ReplicaId,
        term: u64,
        match_index: u64,
        request_sent_at: Micros,
        now: Micros,
    ) {
        let last_index = self.last_index();
        let queued_records = self.persistent.journal().queued_records();
        let Some(peer) = self.record_append_response(from, term, request_sent_at, now) else { return };
        let has_advanced = peer.advance_match(match_index, queued_records);
        if has_advanced && peer.match_index < last_index {
            self.send_append(from, now);
        }
        self.advance_commit_index();
    }

    /// The sender lacks the entry before those sent. Its log matches up to `match_index`.
    pub(super) fn handle_append_rejected(
        &mut self,
        from: &ReplicaId,
        term: u64,
        match_index: u64,
        request_sent_at: Micros,
        now: Micros,
    ) {
        let last_index = self.last_index();
        let Some(peer) = self.record_append_response(from, term, request_sent_at, now) else { return };
        peer.back_up(match_index, last_index);
        self.send_append(from, now);
        self.advance_commit_index();
    }

    /// Records the log position of a recovering replica. It does not count towards a quorum.
    pub(super) fn handle_recovery_progress(&mut self, from: &ReplicaId, term: u64, match_index: u64) {
        let is_current = term == self.state().term;
        let last_index = self.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(peer) = leader.peers.get_mut(from).filter(|_| is_current)
            && let Some(recovering) = &mut peer.recovering
        {
            recovering.match_index = match_index;
            peer.next_index = match_index.min(last_index) + 1;
        }
    }

    /// Notifies recovering replicas that have caught up that they may vote and confirm entries again.
    fn complete_recoveries(&mut self, now: Micros) {
        if !self.has_committed_in_term() {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        let state = self.state();
        let recovered = leader.recovered_replicas(state.log.voters(), &state.id, self.commit_index());
        for (replica, incarnation) in recovered {
            self.send(&replica, MessageBody::RecoveryComplete(incarnation));
            // The message may be lost. If the replica announces itself again, the message is sent again.
            if let Role::Leader(leader) = &mut self.role
                && let Some(peer) = leader.peers.get_mut(&replica)
            {
                peer.recovering = Some(RecoveringReplica::new(incarnation, now));
            }
        }
    }

    /// Advances the commit index to what a majority has made durable, provided that the last such entry is
    /// of the current term. An entry of an earlier term could still be overwritten by a later leader (Raft
    /// §5.4.2, figure 8).
    pub(super) fn advance_commit_index(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let state = self.persistent.state();
        let journal = self.persistent.journal();
        let voters = state.log.voters();
        let own_index = journal.durable_index();
        let Some(index) = leader.quorum_match_index(voters, &state.id, own_index, journal.durable_records())
        else {
            return;
        };
        let is_of_own_term = state.log.term(index) == Some(state.term);
        let may_commit = is_of_own_term || self.config.injected_fault == InjectedFault::EarlierTermCommitted;
        if index <= self.commit.commit_index() || !may_commit {
            return;
        }
        self.commit.advance_to(index);
        // Notify the followers at the next tick.
        leader.heartbeat_at = Micros(0);
        let is_removed = !voters.contains(&state.id) && state.log.voters_index() <= index;
        if is_removed {
            info!("removed from the voters; stepping down");
            self.role = Role::Follower;
            self.election.leader = None;
        }
    }
}
