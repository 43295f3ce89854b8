//! Terms and votes.

use super::progress::LeaderState;
use super::{InjectedFault, Replica, Role};
use crate::journal::Record;
use crate::log::EntryPayload;
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use std::collections::BTreeSet;
use tracing::info;

impl Replica {
    pub(super) fn majority(&self, of: &BTreeSet<ReplicaId>) -> bool {
        let electorate = self.state.log.electorate().1;
        electorate.iter().filter(|m| of.contains(m)).count() > electorate.len() / 2
    }

    /// Whether it may want to be elected.
    pub(super) fn may_stand(&self) -> bool {
        self.state.cluster != 0 && self.recovering.is_none() && self.is_member() && !self.leads()
    }

    /// Whether a leader was heard within an election's time: then nobody else is helped to one. Guards the leader
    /// against keepers that only it does not reach.
    fn has_leader(&self, now: Micros) -> bool {
        self.leads() || self.leader_heard.is_some_and(|at| now.since(at) < self.config.election)
    }

    /// Enters a term that somebody else began, or falls back in its own.
    pub(super) fn follow(&mut self, term: u64, now: Micros) {
        if term > self.state.term {
            (self.state.term, self.state.voted) = (term, None);
            self.promise(Record::Term(term, None));
            self.leader = None;
        }
        if !matches!(self.role, Role::Follower) {
            if self.leads() {
                info!(term, "no longer leading");
            }
            self.leader = None;
            self.role = Role::Follower;
            self.put_off_election(now);
        }
    }

    /// Wants to be elected: first asks whether it would be, so that one that was cut off does not push the others
    /// through terms when it comes back.
    pub(super) fn stand(&mut self, pre: bool, now: Micros) {
        self.put_off_election(now);
        self.leader = None;
        if !pre {
            self.state.term += 1;
            self.state.voted = Some(self.state.me.clone());
            self.promise(Record::Term(self.state.term, self.state.voted.clone()));
        }
        let granted = BTreeSet::from([self.state.me.clone()]);
        let newest = self.state.log.newest();
        let body = if pre { MessageBody::PreVote(newest) } else { MessageBody::Vote(newest) };
        self.role = Role::Candidate { pre, granted };
        let others = self.electorate().into_iter().filter(|m| *m != self.state.me);
        others.collect::<Vec<_>>().iter().for_each(|m| self.tell(m, body.clone()));
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Micros) {
        let Role::Candidate { pre, granted } = &self.role else { return };
        let (pre, granted) = (*pre, granted.clone());
        if self.majority(&granted) {
            if pre { self.stand(false, now) } else { self.begin_to_lead(now) }
        }
    }

    fn begin_to_lead(&mut self, now: Micros) {
        info!(term = self.state.term, "leading");
        let peers = self.electorate().into_iter().filter(|m| *m != self.state.me);
        self.role = Role::Leader(LeaderState::new(peers, self.state.log.last(), now));
        self.leader = Some(self.state.me.clone());
        // Entries of earlier terms count as committed only behind one of this term.
        self.write(EntryPayload::Begin);
        self.spread(now);
    }

    fn newer_than_ours(&self, newest: (u64, u64)) -> bool {
        newest >= self.state.log.newest() || self.config.injected_fault == InjectedFault::OlderLogElected
    }

    pub(super) fn asked_pre_vote(&mut self, from: &ReplicaId, term: u64, newest: (u64, u64), now: Micros) {
        if self.recovering.is_some() {
            return;
        }
        let asked = term + 1;
        let granted = !self.has_leader(now) && asked > self.state.term && self.newer_than_ours(newest);
        self.tell(from, MessageBody::PreVoted(asked, granted));
    }

    pub(super) fn pre_voted(&mut self, from: ReplicaId, term: u64, asked: u64, granted: bool, now: Micros) {
        if term > self.state.term {
            return self.follow(term, now);
        }
        if let Role::Candidate { pre: true, granted: all } = &mut self.role
            && granted
            && asked == self.state.term + 1
        {
            all.insert(from);
            self.count_votes(now);
        }
    }

    pub(super) fn asked_vote(&mut self, from: &ReplicaId, term: u64, newest: (u64, u64), now: Micros) {
        if self.recovering.is_some() || self.has_leader(now) && term > self.state.term {
            return;
        }
        if term > self.state.term {
            self.follow(term, now);
        }
        let free = self.state.voted.as_ref().is_none_or(|v| v == from);
        let granted = term == self.state.term && free && self.newer_than_ours(newest);
        if granted {
            if self.state.voted.is_none() {
                self.state.voted = Some(from.clone());
                if self.config.injected_fault != InjectedFault::VoteNotWritten {
                    self.promise(Record::Term(term, self.state.voted.clone()));
                }
            }
            self.put_off_election(now);
        }
        self.tell(from, MessageBody::Voted(granted));
    }

    pub(super) fn voted(&mut self, from: ReplicaId, term: u64, granted: bool, now: Micros) {
        if term > self.state.term {
            return self.follow(term, now);
        }
        if let Role::Candidate { pre: false, granted: all } = &mut self.role
            && granted
            && term == self.state.term
        {
            all.insert(from);
            self.count_votes(now);
        }
    }
}
