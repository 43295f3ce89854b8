//! The first voters. The first replica of the settings bootstraps the cluster once *all* others have told it,
//! in answer to this very incarnation, that they belong to none. One that lost its disk is told that the
//! cluster exists, and asks to join like any other.

use super::Replica;
use crate::log::Snapshot;
use crate::message::{Message, MessageBody};
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Index and term of the snapshot that a cluster begins with.
const FIRST_INDEX: u64 = 1;
const FIRST_TERM: u64 = 1;

/// What a new replica has learnt of a cluster.
#[derive(Clone, Debug, Default)]
pub(super) struct BootstrapState {
    /// Other replicas that belong to no cluster either.
    ready: BTreeSet<ReplicaId>,
    /// There is a cluster already.
    cluster_exists: bool,
}

impl BootstrapState {
    /// Of a replica that belonged to a cluster and comes back as a new instance.
    pub(super) fn with_existing_cluster(self) -> BootstrapState {
        BootstrapState { cluster_exists: true, ..self }
    }
}

impl Replica {
    /// A new replica announces itself: to bootstrap, or to join.
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
        info!(voters = ?voters, "bootstrapping the agreement");
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

    /// The newest instance of a name counts: it may have been started anew meanwhile.
    pub(super) fn handle_bootstrap_ready(&mut self, from: ReplicaId) {
        if self.state().cluster_id == 0 {
            let ready = &mut self.bootstrap.ready;
            ready.retain(|other| other.name != from.name);
            ready.insert(from);
        }
    }

    pub(super) fn handle_cluster_exists(&mut self) {
        if self.state().cluster_id == 0 && !self.bootstrap.cluster_exists {
            info!("there is an agreement already: asking to join");
            self.bootstrap.cluster_exists = true;
        }
    }

    /// Whether a message may belong to this cluster. A new replica enters the cluster whose leader or
    /// candidate addresses it by its instance.
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
                "a message of another agreement is dropped"
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
            info!(cluster = message.cluster_id, from = message.from.name, "joining the agreement");
            self.persistent.join_cluster(message.cluster_id);
            self.bootstrap.ready.clear();
        }
        true
    }

    /// A new replica asks to join.
    pub(super) fn handle_join_request(&mut self, from: ReplicaId, now: Micros) {
        if let super::Role::Leader(leader) = &mut self.role {
            leader.record_join_request(from, now);
        }
    }
}
