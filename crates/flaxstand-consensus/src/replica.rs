//! One replica of the log. Input: messages, the current time and the outcome of storage batches. Output:
//! messages, storage batches and committed changes.
//!
//! Components, each with its own state:
//! - `persistent`: the durable state and its journal; `outbox`: messages held back until the state they
//!   depend on is durable
//! - `commit`: commit index, and delivery of committed entries to the caller
//! - `election`: terms, votes, the election deadline
//! - `leader_state`, with `progress` and `quorum`: replication progress of the other replicas as tracked by
//!   the leader, and what a majority of them confirms
//! - `bootstrap`: initial voters; `recovery`: restrictions on a replica after a start
//!
//! Message handling: `leader` and `follower` process requests and responses, `membership` changes the
//! voters.

mod bootstrap;
mod commit;
mod config;
mod election;
mod follower;
mod leader;
mod leader_state;
mod membership;
mod outbox;
mod persistent;
mod progress;
mod quorum;
mod recovery;
mod status;

pub use config::{Config, InjectedFault};
pub use status::{Committed, ProposeError, Proposed, ReplicaRole, Status};

use crate::journal::DurableState;
use crate::log::EntryPayload;
use crate::message::{Message, MessageBody};
use crate::replica_id::{Incarnation, ReplicaId};
use bootstrap::BootstrapState;
use commit::CommitProgress;
use election::ElectionState;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use follower::Append;
use leader_state::LeaderState;
use outbox::Outbox;
use persistent::PersistentState;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recovery::RecoveryState;
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// Maximum size of a change in bytes.
pub const MAX_CHANGE_BYTES: usize = 128 << 10;
/// Maximum size of the application state in bytes.
pub const MAX_STATE_BYTES: usize = 768 << 10;
/// Maximum size of the entries in one message in bytes. A single larger entry is still sent.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum number of uncommitted entries. Further changes are rejected until some are committed.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 16;

#[derive(Clone, Debug)]
enum Role {
    Follower,
    /// In the pre-vote phase: asks whether it would be elected.
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    /// Asks for votes in its term.
    Candidate {
        granted: BTreeSet<ReplicaId>,
    },
    Leader(LeaderState),
}

/// One replica of the log.
#[derive(Clone, Debug)]
pub struct Replica {
    config: Config,
    rng: Pcg64Mcg,
    persistent: PersistentState,
    outbox: Outbox,
    commit: CommitProgress,
    role: Role,
    election: ElectionState,
    recovery: RecoveryState,
    bootstrap: BootstrapState,
    /// When a replica that is new, recovering or not a voter sends its next announcement.
    announce_at: Micros,
}

impl Replica {
    /// Starts a replica with the recovered state and the existing journal segments.
    pub fn start(
        config: Config,
        recovered: Option<DurableState>,
        segments: Vec<u64>,
        now: Micros,
    ) -> Replica {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let nonce = rng.next_u64();
        // State without a cluster holds no promises of its instance, and the directory may be a stale copy:
        // draw a new instance.
        let mut state = recovered.filter(|state| state.cluster_id != 0).unwrap_or_else(|| {
            let id = ReplicaId { name: config.name.clone(), instance: rng.next_u64() };
            DurableState::new(id, Incarnation::default())
        });
        state.incarnation = Incarnation {
            count: state.incarnation.count + 1,
            nonce,
            promises_at_start: state.promises_written,
        };
        let is_in_cluster = state.cluster_id != 0;
        // The replica may have had contact with a leader just before it stopped, so it grants no vote for
        // an election time-out.
        let last_leader_contact = is_in_cluster.then_some(now);
        let mut replica = Replica {
            commit: CommitProgress::new(state.log.snapshot.index),
            persistent: PersistentState::new(state, segments),
            outbox: Outbox::default(),
            role: Role::Follower,
            election: ElectionState::new(config.election_timeout, last_leader_contact, now),
            recovery: RecoveryState::Complete,
            bootstrap: BootstrapState::default(),
            announce_at: now,
            rng,
            config,
        };
        if is_in_cluster {
            replica.commit.deliver_snapshot(&replica.persistent.state().log.snapshot);
            replica.start_recovery();
        }
        replica.reset_election_deadline(now);
        replica
    }

    /// Handles a message. Drops messages that are addressed to another replica, belong to another cluster,
    /// or come from a stale copy of the sender.
    pub fn receive(&mut self, message: Message, now: Micros) {
        let is_known =
            message.from.name != self.config.name && self.config.names.contains(&message.from.name);
        let own_instance = self.state().id.instance;
        let is_for_us = message.to == self.config.name
            && message.to_instance.is_none_or(|instance| instance == own_instance);
        if !is_known || !is_for_us || !self.accept_cluster(&message) || !self.accept_incarnation(&message) {
            debug!(?message, is_known, is_for_us, "message dropped");
            return;
        }
        self.handle(message, now);
    }

    fn handle(&mut self, message: Message, now: Micros) {
        let Message { from, term, body, incarnation, .. } = message;
        match body {
            MessageBody::BootstrapRequest => self.handle_bootstrap_request(&from),
            MessageBody::BootstrapReady => self.handle_bootstrap_ready(from),
            MessageBody::ClusterExists => self.handle_cluster_exists(),
            MessageBody::JoinRequest => self.handle_join_request(from, now),
            MessageBody::IncarnationRequest => self.handle_incarnation_request(&from, incarnation, now),
            MessageBody::IncarnationResponse(asked) if asked == self.state().incarnation => {
                self.handle_incarnation_response(from);
            }
            MessageBody::IncarnationResponse(_) => {}
            MessageBody::Superseded(newest) => self.handle_superseded(newest),
            MessageBody::NoLongerVoter => self.handle_no_longer_voter(),
            MessageBody::PreVoteRequest(_) | MessageBody::VoteRequest(_) if self.is_removed(&from) => {
                self.send(&from, MessageBody::NoLongerVoter);
            }
            MessageBody::PreVoteRequest(log) => self.handle_pre_vote_request(&from, term, log, now),
            MessageBody::PreVoteResponse { term: requested_term, granted } => {
                self.handle_pre_vote_response(from, term, requested_term, granted, now);
            }
            MessageBody::VoteRequest(log) => self.handle_vote_request(&from, term, log, now),
            MessageBody::VoteResponse { granted } => self.handle_vote_response(from, term, granted, now),
            MessageBody::AppendRequest { prev_index, prev_term, entries, commit_index, sent_at } => {
                let append = Append { prev_index, prev_term, entries, commit_index };
                let outcome = self.handle_append(&from, term, append, now);
                self.respond_to_leader(&from, outcome, sent_at);
            }
            MessageBody::InstallSnapshot { snapshot, sent_at } => {
                let outcome = self.handle_snapshot(&from, term, snapshot, now);
                self.respond_to_leader(&from, outcome, sent_at);
            }
            MessageBody::AppendAccepted { match_index, request_sent_at } => {
                self.handle_append_accepted(&from, term, match_index, Micros(request_sent_at), now);
            }
            MessageBody::RecoveryProgress(index) => self.handle_recovery_progress(&from, term, index),
            MessageBody::RecoveryComplete(incarnation) => self.handle_recovery_complete(term, incarnation),
            MessageBody::AppendRejected { match_index, request_sent_at } => {
                self.handle_append_rejected(&from, term, match_index, Micros(request_sent_at), now);
            }
        }
    }

    /// Processes due timers: sends heartbeats, announces the replica, or starts an election.
    pub fn tick(&mut self, now: Micros) {
        self.advance_commit_index();
        if self.is_leader() {
            return self.tick_leader(now);
        }
        if now >= self.announce_at {
            self.announce_at = now.after(self.config.heartbeat_interval);
            self.announce(now);
        }
        if now >= self.election.deadline() && self.may_campaign() {
            self.start_pre_vote(now);
        }
    }

    /// Requests what the replica needs to take part: a cluster, the end of its recovery, or a vote.
    fn announce(&mut self, now: Micros) {
        if self.state().cluster_id == 0 {
            self.announce_new(now);
        } else if self.recovery.is_recovering() {
            self.send_to_all_names(&MessageBody::IncarnationRequest);
        } else if !self.is_voter() {
            self.send_to_all_names(&MessageBody::JoinRequest);
        }
    }

    /// Latest time at which [`Replica::tick`] must be called.
    pub fn wake_at(&self) -> Micros {
        let next = match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ if self.may_campaign() => self.election.deadline().min(self.announce_at),
            _ => self.announce_at,
        };
        self.persistent.journal().wake_at().map_or(next, |at| at.min(next))
    }

    /// Appends a change to the leader's log and replicates it.
    ///
    /// # Errors
    /// The change was not appended, and this call does not append it later.
    pub fn propose(&mut self, change: Vec<u8>, now: Micros) -> Result<Proposed, ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader().map(str::to_owned) });
        }
        if change.len() > MAX_CHANGE_BYTES {
            return Err(ProposeError::TooLarge(change.len()));
        }
        if self.last_index() - self.commit_index() >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        let index = self.persistent.append_own_entry(EntryPayload::Change(change));
        self.broadcast_append(now);
        Ok(Proposed { term: self.state().term, index })
    }

    /// Returns the next batch for the storage. Only one batch is in flight at a time; report its outcome
    /// with [`Replica::batch_stored`].
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        self.persistent.next_batch(now)
    }

    /// Records the outcome of the batch in flight.
    pub fn batch_stored(&mut self, succeeded: bool, now: Micros) {
        self.persistent.batch_stored(succeeded, now);
        if !succeeded {
            // A leader that can't write stops sending and is replaced. Dropped messages are covered by
            // retransmission.
            let failures = self.persistent.journal().failures();
            warn!(
                failures,
                "cannot store a journal batch; dropping the messages that depend on it and retrying"
            );
            self.outbox.clear();
        }
        self.advance_commit_index();
    }

    /// Returns the messages that depend on durable state only.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let durable_records = if self.config.injected_fault == InjectedFault::SentBeforeDurable {
            u64::MAX
        } else {
            self.persistent.journal().durable_records()
        };
        self.outbox.take_sendable(durable_records)
    }

    /// Returns what was committed since the last call, in log order.
    pub fn take_committed(&mut self) -> Vec<Committed> {
        self.advance_commit_index();
        self.commit.take(&self.persistent.state().log)
    }

    /// Number of entries that were delivered to the caller and can be removed by [`Replica::compact`].
    pub fn compactable_entries(&self) -> u64 {
        self.commit.applied_index() - self.state().log.snapshot.index
    }

    /// Replaces all delivered log entries with a snapshot of the application state.
    ///
    /// # Panics
    /// If `state` is larger than [`MAX_STATE_BYTES`].
    pub fn compact(&mut self, state: Vec<u8>) {
        assert!(state.len() <= MAX_STATE_BYTES, "state of {} bytes exceeds the maximum", state.len());
        self.persistent.compact(self.commit.applied_index(), state);
    }

    /// Status for operators.
    pub fn status(&self, now: Micros) -> Status {
        let state = self.state();
        let role = match &self.role {
            Role::Leader(_) => ReplicaRole::Leader,
            _ if state.cluster_id == 0 => ReplicaRole::New,
            _ if self.recovery.is_recovering() => ReplicaRole::Recovering,
            _ if !self.is_voter() => ReplicaRole::Learner,
            Role::PreCandidate { .. } | Role::Candidate { .. } => ReplicaRole::Candidate,
            Role::Follower => ReplicaRole::Follower,
        };
        Status {
            role,
            id: state.id.clone(),
            incarnation: state.incarnation.count,
            term: state.term,
            leader: self.leader().map(str::to_owned),
            commit_index: self.commit_index(),
            last_index: self.last_index(),
            voters: state.log.voters().to_vec(),
            unresponsive: self.unresponsive(now),
            is_disk_failing: self.persistent.journal().is_failing(),
        }
    }

    /// Current state to be persisted, including changes that are not durable yet.
    pub fn state(&self) -> &DurableState {
        self.persistent.state()
    }

    /// Everything that determines the replica's future behaviour except timestamps, as a key for
    /// state-space exploration in tests.
    #[doc(hidden)]
    pub fn search_key(&self, now: Micros) -> String {
        let role = match &self.role {
            Role::Follower => "follows".to_owned(),
            Role::PreCandidate { granted } => format!("pre-candidate {granted:?}"),
            Role::Candidate { granted } => format!("candidate {granted:?}"),
            Role::Leader(leader) => leader.search_key(),
        };
        let has_leader_contact = self.election.has_recent_leader_contact(now);
        let recovery = self.recovery.answered();
        let waiting = self.outbox.bodies();
        let (state, commit_index) = (self.state(), self.commit_index());
        format!("{state:?} {role} {commit_index} {has_leader_contact} {recovery:?} {waiting:?}")
    }

    /// Whether this replica considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Name of the leader, if known.
    pub fn leader(&self) -> Option<&str> {
        self.election.leader.as_ref().map(|leader| leader.name.as_str())
    }

    /// Index of the last log entry.
    pub fn last_index(&self) -> u64 {
        self.state().log.last_index()
    }

    /// Index up to which all entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit.commit_index()
    }

    fn is_voter(&self) -> bool {
        let state = self.state();
        state.log.voters().contains(&state.id)
    }

    fn reset_election_deadline(&mut self, now: Micros) {
        self.election.reset_deadline(&mut self.rng, now);
    }

    /// Queues a message to a specific instance.
    fn send(&mut self, to: &ReplicaId, body: MessageBody) {
        self.enqueue(to.name.clone(), Some(to.instance), body);
    }

    fn send_to_other_voters(&mut self, body: &MessageBody) {
        let state = self.state();
        let is_other = |voter: &&ReplicaId| **voter != state.id;
        let others: Vec<ReplicaId> = state.log.voters().iter().filter(is_other).cloned().collect();
        for other in &others {
            self.send(other, body.clone());
        }
    }

    /// Queues a message to all other configured replicas, whatever their current instances are.
    fn send_to_all_names(&mut self, body: &MessageBody) {
        let is_other = |name: &&String| **name != self.config.name;
        let others: Vec<String> = self.config.names.iter().filter(is_other).cloned().collect();
        for name in others {
            self.enqueue(name, None, body.clone());
        }
    }

    /// Queues a message. It is sent once all records queued so far are durable.
    fn enqueue(&mut self, to: String, to_instance: Option<u64>, body: MessageBody) {
        let state = self.persistent.state();
        let message = Message {
            cluster_id: state.cluster_id,
            from: state.id.clone(),
            incarnation: state.incarnation,
            promises_written: state.promises_written,
            to,
            to_instance,
            term: state.term,
            body,
        };
        self.outbox.push(self.persistent.journal().queued_records(), message);
    }
}
