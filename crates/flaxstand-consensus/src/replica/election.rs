//! Terms and votes (Raft §5.2, §5.4.1), with pre-vote (Ongaro's thesis, §9.6).

use super::leader_state::LeaderState;
use super::quorum::is_majority;
use super::{InjectedFault, Replica, Role};
use crate::log::{EntryPayload, LogPosition};
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::info;

/// The known leader and the election timer.
#[derive(Clone, Debug)]
pub(super) struct ElectionState {
    pub(super) leader: Option<ReplicaId>,
    /// Time of the last message from a leader.
    last_leader_contact: Option<Micros>,
    /// When the replica starts an election.
    deadline: Micros,
    timeout: Micros,
}

impl ElectionState {
    pub(super) fn new(timeout: Micros, last_leader_contact: Option<Micros>, now: Micros) -> ElectionState {
        ElectionState { leader: None, last_leader_contact, deadline: now, timeout }
    }

    pub(super) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Sets the next deadline to a random time, one to two election time-outs from now, to make split votes
    /// rare.
    pub(super) fn reset_deadline(&mut self, rng: &mut impl RngCore, now: Micros) {
        let timeout = self.timeout.0.max(1);
        self.deadline = now.after(Micros(timeout + rng.next_u64() % timeout));
    }

    /// Records a message from a leader. Returns whether the leader has changed.
    pub(super) fn record_leader_contact(&mut self, leader: &ReplicaId, now: Micros) -> bool {
        self.last_leader_contact = Some(now);
        let is_new = self.leader.as_ref() != Some(leader);
        if is_new {
            self.leader = Some(leader.clone());
        }
        is_new
    }

    /// Whether a leader's message arrived within the last election time-out.
    pub(super) fn has_recent_leader_contact(&self, now: Micros) -> bool {
        self.last_leader_contact.is_some_and(|at| now.since(at) < self.timeout)
    }

    /// Clears all contact with leaders, for a new instance.
    pub(super) fn clear_leader(&mut self) {
        self.leader = None;
        self.last_leader_contact = None;
    }
}

impl Replica {
    /// Whether this replica may become a candidate. A recovering replica may not, since it may already have
    /// voted in an earlier incarnation.
    pub(super) fn may_campaign(&self) -> bool {
        self.state().cluster_id != 0 && !self.recovery.is_recovering() && self.is_voter() && !self.is_leader()
    }

    /// Whether this replica rejects votes because a leader is active. Leases depend on this
    /// ([`Replica::leads_until`]). It also protects a leader from voters that only lost their own
    /// connection to it.
    fn has_active_leader(&self, now: Micros) -> bool {
        self.is_leader() || self.election.has_recent_leader_contact(now)
    }

    /// Enters a term started by another replica, or steps down to follower in the current term.
    pub(super) fn become_follower(&mut self, term: u64, now: Micros) {
        if term > self.state().term {
            self.persistent.set_term_and_vote(term, None);
            self.election.leader = None;
        }
        if !matches!(self.role, Role::Follower) {
            if self.is_leader() {
                info!(term, "stepped down as leader");
            }
            self.election.leader = None;
            self.role = Role::Follower;
            self.reset_election_deadline(now);
        }
    }

    /// Starts a pre-vote: asks whether it would be elected without starting a new term. A replica that
    /// returns from a partition therefore does not force new terms on the others.
    pub(super) fn start_pre_vote(&mut self, now: Micros) {
        self.reset_election_deadline(now);
        self.election.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.state().id.clone()]) };
        self.send_to_other_voters(&MessageBody::PreVoteRequest(self.state().log.last_position()));
        self.count_votes(now);
    }

    /// Starts a new term, votes for itself and requests the votes of the others.
    fn start_election(&mut self, now: Micros) {
        self.reset_election_deadline(now);
        self.election.leader = None;
        let id = self.state().id.clone();
        self.persistent.set_term_and_vote(self.state().term + 1, Some(id.clone()));
        self.role = Role::Candidate { granted: BTreeSet::from([id]) };
        self.send_to_other_voters(&MessageBody::VoteRequest(self.state().log.last_position()));
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Micros) {
        let (Role::PreCandidate { granted } | Role::Candidate { granted }) = &self.role else { return };
        if !is_majority(self.state().log.voters(), |voter| granted.contains(voter)) {
            return;
        }
        match self.role {
            Role::PreCandidate { .. } => self.start_election(now),
            _ => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: Micros) {
        let state = self.state();
        info!(term = state.term, "elected leader");
        let others = state.log.voters().iter().filter(|voter| **voter != state.id).cloned();
        self.role = Role::Leader(LeaderState::new(others, state.log.last_index(), now));
        self.election.leader = Some(self.state().id.clone());
        // Entries of earlier terms are committed only through an entry of this term (Raft §5.4.2).
        self.persistent.append_own_entry(EntryPayload::NoOp);
        self.broadcast_append(now);
    }

    /// Whether a candidate's log is at least as up to date as the local one (Raft §5.4.1). Prevents the
    /// election of a leader that lacks a committed entry.
    fn is_up_to_date(&self, candidate: LogPosition) -> bool {
        candidate >= self.state().log.last_position()
            || self.config.injected_fault == InjectedFault::StaleLogElected
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: &ReplicaId,
        term: u64,
        candidate_log: LogPosition,
        now: Micros,
    ) {
        if self.recovery.is_recovering() {
            return;
        }
        let next_term = term + 1;
        let granted = !self.has_active_leader(now)
            && next_term > self.state().term
            && self.is_up_to_date(candidate_log);
        self.send(from, MessageBody::PreVoteResponse { term: next_term, granted });
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        from: ReplicaId,
        term: u64,
        requested_term: u64,
        is_granted: bool,
        now: Micros,
    ) {
        if term > self.state().term {
            return self.become_follower(term, now);
        }
        let is_current = requested_term == self.state().term + 1;
        if let Role::PreCandidate { granted } = &mut self.role
            && is_granted
            && is_current
        {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: &ReplicaId,
        term: u64,
        candidate_log: LogPosition,
        now: Micros,
    ) {
        // A recovering replica may have voted in an unknown incarnation: voting now could be a second vote
        // in the same term.
        if self.recovery.is_recovering() || self.has_active_leader(now) && term > self.state().term {
            return;
        }
        if term > self.state().term {
            self.become_follower(term, now);
        }
        let voted_for = &self.state().voted_for;
        let is_first_vote = voted_for.is_none();
        let is_free = voted_for.as_ref().is_none_or(|candidate| candidate == from);
        let granted = term == self.state().term && is_free && self.is_up_to_date(candidate_log);
        if granted {
            if is_first_vote {
                self.vote_for(from.clone());
            }
            self.reset_election_deadline(now);
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    /// Records the vote. The response stays in the outbox until the vote is durable; otherwise the replica
    /// could vote again in the same term after a restart.
    fn vote_for(&mut self, candidate: ReplicaId) {
        if self.config.injected_fault == InjectedFault::VoteNotPersisted {
            self.persistent.vote_without_record(candidate);
        } else {
            self.persistent.set_term_and_vote(self.state().term, Some(candidate));
        }
    }

    pub(super) fn handle_vote_response(&mut self, from: ReplicaId, term: u64, is_granted: bool, now: Micros) {
        if term > self.state().term {
            return self.become_follower(term, now);
        }
        let is_current = term == self.state().term;
        if let Role::Candidate { granted } = &mut self.role
            && is_granted
            && is_current
        {
            granted.insert(from);
            self.count_votes(now);
        }
    }
}
