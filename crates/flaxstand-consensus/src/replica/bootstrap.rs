//! Bootstrap of a cluster. The first configured replica creates the cluster once *all* others have
//! confirmed, in response to its current incarnation, that they belong to none. A replica that lost its
//! disk is notified that the cluster exists and asks to join like any other.

use super::Replica;
use crate::log::Snapshot;
use crate::message::{Message, MessageBody};
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Index and term of the initial snapshot of a cluster.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

/// Bootstrap state of a new replica.
#[derive(Clone, Debug, Default)]
pub(super) struct BootstrapState {
    /// Other replicas that have confirmed that they belong to no cluster.
    ready: BTreeSet<ReplicaId>,
    /// Whether another replica has reported an existing cluster.
    cluster_exists: bool,
}

impl BootstrapState {
    /// State for a replica that was a member of a cluster and restarts as a new instance.
    pub(super) fn with_existing_cluster(self) -> BootstrapState {
        BootstrapState { cluster_exists: true, ..self }
    }
}

impl Replica {
    /// Announces a new replica: starts the bootstrap or asks to join.
    pub(super) fn announce_new(&mut self, now: Micros) {
        let is_first = self.config.names.first() == Some(&self.config.name);
        if !is_first || self.bootstrap.cluster_exists {
            return self.send_to_all_names(&MessageBody::JoinRequest);
        }
        let ready: BTreeSet<&str> = self.bootstrap.ready.iter().map(|other| other.name.as_str()).collect();
        let is_ready = |name: &String| *name == self.config.name || ready.contains(name.as_str());
        if self.config.names.iter().all(is_ready) {
            self.bootstrap_cluster(now);
        } else {
            self.send_to_all_names(&MessageBody::BootstrapRequest);
        }
    }

    fn bootstrap_cluster(&mut self, now: Micros) {
        let mut voters: Vec<ReplicaId> = std::mem::take(&mut self.bootstrap.ready).into_iter().collect();
        voters.push(self.state().id.clone());
        voters.sort();
        info!(voters = ?voters, "all replicas are new; bootstrapping the cluster");
        let cluster_id = self.rng.next_u64() | 1;
        let state = self.config.initial_state.clone();
        self.persistent
            .bootstrap(cluster_id, Snapshot { index: FIRST_INDEX, term: FIRST_TERM, voters, state });
        self.commit.advance_to(FIRST_INDEX);
        self.commit.deliver_snapshot(&self.persistent.state().log.snapshot);
        self.reset_election_deadline(now);
    }

    pub(super) fn handle_bootstrap_request(&mut self, from: &ReplicaId) {
        let is_new = self.state().cluster_id == 0;
        let body = if is_new { MessageBody::BootstrapReady } else { MessageBody::ClusterExists };
        self.send(from, body);
    }

    /// Records a confirmation. Only the latest instance of a name counts: the replica may have drawn a new
    /// one after a restart.
    pub(super) fn handle_bootstrap_ready(&mut self, from: ReplicaId) {
        if self.state().cluster_id == 0 {
            let ready = &mut self.bootstrap.ready;
            ready.retain(|other| other.name != from.name);
            ready.insert(from);
        }
    }

    pub(super) fn handle_cluster_exists(&mut self) {
        if self.state().cluster_id == 0 && !self.bootstrap.cluster_exists {
            info!("the cluster already exists; asking to join");
            self.bootstrap.cluster_exists = true;
        }
    }

    /// Whether a message may be processed: its sender belongs to this cluster or to none, or this replica
    /// belongs to none. A new replica joins the cluster whose leader or candidate addresses its instance.
    pub(super) fn accept_cluster(&mut self, message: &Message) -> bool {
        let own_cluster_id = self.state().cluster_id;
        if message.cluster_id == 0 || message.cluster_id == own_cluster_id {
            return true;
        }
        if own_cluster_id != 0 {
            warn!(
                theirs = message.cluster_id,
                ours = own_cluster_id,
                from = message.from.name,
                "message from another cluster dropped"
            );
            return false;
        }
        let is_from_voter = matches!(
            message.body,
            MessageBody::AppendRequest { .. }
                | MessageBody::InstallSnapshot { .. }
                | MessageBody::PreVoteRequest(_)
                | MessageBody::VoteRequest(_)
        );
        if is_from_voter && message.to_instance == Some(self.state().id.instance) {
            info!(cluster = message.cluster_id, from = message.from.name, "joining the cluster");
            self.persistent.join_cluster(message.cluster_id);
            self.bootstrap.ready.clear();
        }
        true
    }

    /// Handles a request of a new replica to join.
    pub(super) fn handle_join_request(&mut self, from: ReplicaId, now: Micros) {
        if let super::Role::Leader(leader) = &mut self.role {
            leader.record_join_request(from, now);
        }
    }
}
