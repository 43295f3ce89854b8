//! Changes of the voters by the leader, one replica at a time: any two sets of voters that follow each other
//! share a replica in every pair of majorities (Ongaro's thesis, §4.1).

use super::leader_state::LeaderState;
use super::progress::Progress;
use super::{Replica, Role};
use crate::log::EntryPayload;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use tracing::info;

/// A replica counts as lost, and another instance of its name may take its place, after so many election
/// timeouts without contact.
const LOST_AFTER_ELECTION_TIMEOUTS: u64 = 4;

impl Replica {
    /// Makes learners voters and removes voters that are lost.
    pub(super) fn update_voters(&mut self, now: Micros) {
        let lost_after = Micros(self.config.election_timeout.0 * LOST_AFTER_ELECTION_TIMEOUTS);
        let commit_index = self.commit_index();
        // The present voters are committed, in a log of which this leader knows all that is committed: guards
        // against two changes at a time.
        let may_change = self.state().log.voters_index() <= commit_index && self.has_committed_in_term();
        let Role::Leader(leader) = &mut self.role else { return };
        let state = self.persistent.state();
        let voters = state.log.voters();
        leader
            .peers
            .retain(|peer, progress| voters.contains(peer) || progress.is_responsive(lost_after, now));
        for voter in voters.iter().filter(|voter| **voter != state.id) {
            let progress = || Progress::new(state.log.last_index() + 1, now);
            leader.peers.entry(voter.clone()).or_insert_with(progress);
        }
        if !may_change {
            return;
        }
        if let Some(voters) = next_voters(leader, voters, commit_index, lost_after, now) {
            self.persistent.append_own_entry(EntryPayload::Voters(voters));
        }
    }
}

/// The voters after the next change; none if there is nothing to change.
fn next_voters(
    leader: &LeaderState,
    voters: &[ReplicaId],
    commit_index: u64,
    lost_after: Micros,
    now: Micros,
) -> Option<Vec<ReplicaId>> {
    let is_lost = |voter: &ReplicaId| {
        leader.peers.get(voter).is_some_and(|progress| !progress.is_responsive(lost_after, now))
    };
    let learners = leader.peers.iter().filter(|(peer, _)| !voters.contains(peer));
    for (learner, progress) in learners {
        match voters.iter().find(|voter| voter.name == learner.name) {
            // Not while the old instance answers: two processes under one name are an operator's mistake.
            Some(old) if is_lost(old) => {
                info!(name = old.name, "a keeper that lost its disk gives up its vote");
                return Some(voters.iter().filter(|voter| *voter != old).cloned().collect());
            }
            None if progress.match_index >= commit_index => {
                info!(name = learner.name, "a new keeper gets a vote");
                let mut more = voters.to_vec();
                more.push(learner.clone());
                more.sort();
                return Some(more);
            }
            _ => {}
        }
    }
    None
}
