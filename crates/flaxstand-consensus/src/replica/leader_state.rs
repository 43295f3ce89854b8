//! Replication state of the other replicas as tracked by the leader, and what a majority of them confirms.

use super::progress::{Progress, RecoveringReplica};
use super::quorum::{is_majority, majority_value};
use crate::replica_id::{Incarnation, ReplicaId};
use flaxstand_proto::Micros;
use std::collections::BTreeMap;
use tracing::info;

/// Maximum number of peers, voters included, up to which a leader accepts replicas that ask to join.
const MAX_PEERS_WITH_LEARNERS: usize = 8;

/// The leader's view of its peers.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<ReplicaId, Progress>,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: Micros,
}

impl LeaderState {
    pub(super) fn new(peers: impl Iterator<Item = ReplicaId>, last_index: u64, now: Micros) -> LeaderState {
        let peers = peers.map(|peer| (peer, Progress::new(last_index + 1, now))).collect();
        LeaderState { peers, heartbeat_at: now }
    }

    /// Whether a majority, including the leader, has been in contact within `timeout`.
    pub(super) fn has_quorum_contact(
        &self,
        voters: &[ReplicaId],
        leader: &ReplicaId,
        timeout: Micros,
        now: Micros,
    ) -> bool {
        is_majority(voters, |voter| {
            voter == leader || self.peers.get(voter).is_some_and(|peer| peer.is_responsive(timeout, now))
        })
    }

    /// Latest time such that a majority, including the leader, has acknowledged a request sent at or after
    /// it.
    pub(super) fn quorum_sent_at(
        &self,
        voters: &[ReplicaId],
        leader: &ReplicaId,
        now: Micros,
    ) -> Option<Micros> {
        majority_value(voters, |voter| match self.peers.get(voter) {
            _ if voter == leader => now,
            peer => peer.map_or(Micros(0), |peer| peer.last_acked_sent_at),
        })
    }

    /// Index up to which all entries are durable on a majority. `own_index` is the leader's own durable
    /// index; `durable_records` is the number of the last durable record in the leader's journal.
    pub(super) fn quorum_match_index(
        &mut self,
        voters: &[ReplicaId],
        leader: &ReplicaId,
        own_index: u64,
        durable_records: u64,
    ) -> Option<u64> {
        self.peers.values_mut().for_each(|peer| peer.count_durable(durable_records));
        majority_value(voters, |voter| match self.peers.get(voter) {
            _ if voter == leader => own_index,
            peer => peer.map_or(0, |peer| peer.quorum_match_index),
        })
    }

    /// Recovering replicas that have all committed entries, provided that a majority *without* them has
    /// responded to requests sent after they announced themselves. Then no other replica can be leader, and
    /// the log of that majority supersedes any promise that such a replica made in an unknown incarnation.
    pub(super) fn recovered_replicas(
        &self,
        voters: &[ReplicaId],
        leader: &ReplicaId,
        commit_index: u64,
    ) -> Vec<(ReplicaId, Incarnation)> {
        let mut recovered = Vec::new();
        for (replica, peer) in &self.peers {
            let Some(recovering) = peer.recovering else { continue };
            let confirms_leader = |voter: &ReplicaId| {
                let has_answered = |other: &Progress| other.last_acked_sent_at > recovering.requested_at;
                voter != replica && (voter == leader || self.peers.get(voter).is_some_and(has_answered))
            };
            if recovering.match_index >= commit_index && is_majority(voters, confirms_leader) {
                recovered.push((replica.clone(), recovering.incarnation));
            }
        }
        recovered
    }

    /// Handles the announcement of a replica that started and asks whether a later incarnation of it has
    /// been seen.
    pub(super) fn record_recovering(&mut self, replica: &ReplicaId, incarnation: Incarnation, now: Micros) {
        if let Some(progress) = self.peers.get_mut(replica)
            && progress.recovering.is_none_or(|recovering| recovering.incarnation != incarnation)
        {
            progress.recovering = Some(RecoveringReplica::new(incarnation, now));
        }
    }

    /// Handles a join request of a replica that is not a voter.
    pub(super) fn record_join_request(&mut self, replica: ReplicaId, now: Micros) {
        if let Some(progress) = self.peers.get_mut(&replica) {
            progress.last_contact_at = now;
        } else if self.peers.len() < MAX_PEERS_WITH_LEARNERS {
            info!(name = replica.name, "new replica asks to join; replicating the log to it");
            self.peers.insert(replica, Progress::new(1, now));
        }
    }

    /// See `Replica::search_key`.
    pub(super) fn search_key(&self) -> String {
        let of = |(peer, progress): (&ReplicaId, &Progress)| {
            let match_index = progress.recovering.map(|recovering| recovering.match_index);
            format!("{} {} {} {match_index:?}", peer.name, progress.quorum_match_index, progress.next_index)
        };
        format!("leads {:?}", self.peers.iter().map(of).collect::<Vec<_>>())
    }
}
