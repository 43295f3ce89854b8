//! Membership changes by the leader, one replica at a time, so that any majority of one configuration
//! overlaps with any majority of the next (Ongaro's thesis, §4.1).

use super::leader_state::LeaderState;
use super::progress::Progress;
use super::{Replica, Role};
use crate::log::EntryPayload;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use tracing::info;

/// Number of election time-outs without contact after which a replica counts as lost and another instance of
/// its name may replace it.
const LOST_AFTER_ELECTION_TIMEOUTS: u64 = 4;

impl Replica {
    /// Updates the set of peers, promotes learners to voters, and removes lost voters.
    pub(super) fn update_voters(&mut self, now: Micros) {
        let lost_after = Micros(self.config.election_timeout.0 * LOST_AFTER_ELECTION_TIMEOUTS);
        let commit_index = self.commit_index();
        // The current configuration must be committed, and the leader must know all committed entries.
        // Prevents two concurrent membership changes.
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

/// Returns the next set of voters; `None` if there is nothing to change.
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
            // The old instance must be lost: two running processes with the same name are a configuration
            // error.
            Some(old) if is_lost(old) => {
                info!(name = old.name, "removing a lost voter that a new instance of its name replaces");
                return Some(voters.iter().filter(|voter| *voter != old).cloned().collect());
            }
            None if progress.match_index >= commit_index => {
                info!(name = learner.name, "replica has caught up; adding it to the voters");
                let mut extended = voters.to_vec();
                extended.push(learner.clone());
                extended.sort();
                return Some(extended);
            }
            _ => {}
        }
    }
    None
}
