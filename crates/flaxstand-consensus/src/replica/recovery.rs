//! Restrictions on a replica after a start, until its state is known to be current.
//!
//! **Lost disk.** A replica whose directory is empty or damaged draws a new instance, which is not a voter.
//! The leader replaces the previous instance of that name, by two membership changes, once that instance
//! has been unresponsive for long enough.
//!
//! **Stale copy.** Each start is an incarnation, which is durable before anything is sent, and each message
//! carries the number of promises (terms, votes, entries) that its sender has recorded. A receiver durably
//! records both before it processes a message. An incarnation that starts with fewer promises than were
//! seen before runs on a stale copy of the directory; it gives up its instance and restarts as a new one.
//!
//! After a start a replica neither votes nor confirms entries until one of these conditions holds:
//! - *All* others have responded that they have seen no later state, or that they lost their disks. A
//!   subset is not enough, because a promise is known only to its receivers.
//! - A leader that a majority *without* this replica has just confirmed has brought its log up to date.
//!
//! Consequence: of three replicas, one that starts while another is unresponsive can't vote until that one
//! returns or another machine is started under its name. The scheme tolerates one stale directory at a
//! time, and not while the disk of another replica is lost.

use super::{InjectedFault, Replica, Role};
use crate::message::{Message, MessageBody};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Whether a replica may be running on a stale copy of its directory.
#[derive(Clone, Debug)]
pub(super) enum RecoveryState {
    /// The replica votes and confirms entries.
    Complete,
    /// The replica neither votes nor confirms entries. Holds the names of the others that have seen no
    /// later incarnation.
    Recovering { answered: BTreeSet<String> },
}

impl RecoveryState {
    pub(super) fn is_recovering(&self) -> bool {
        matches!(self, RecoveryState::Recovering { .. })
    }

    /// Names of the replicas that have responded; `None` if not recovering.
    pub(super) fn answered(&self) -> Option<&BTreeSet<String>> {
        match self {
            RecoveryState::Complete => None,
            RecoveryState::Recovering { answered } => Some(answered),
        }
    }
}

impl Replica {
    /// Starts the recovery. It is required even if the directory records no vote, because a later
    /// incarnation may have voted.
    pub(super) fn start_recovery(&mut self) {
        if self.config.names.len() > 1 && self.config.injected_fault != InjectedFault::StaleCopyVotes {
            self.recovery = RecoveryState::Recovering { answered: BTreeSet::new() };
        }
    }

    /// Handles the announcement of a replica that started. [`Replica::accept_incarnation`] has already
    /// compared the incarnation.
    pub(super) fn handle_incarnation_request(
        &mut self,
        from: &ReplicaId,
        incarnation: Incarnation,
        now: Micros,
    ) {
        if let Role::Leader(leader) = &mut self.role {
            leader.record_recovering(from, incarnation, now);
        }
        self.send(from, MessageBody::IncarnationResponse(incarnation));
    }

    /// Another replica has seen no later state of this one, or lost its own disk.
    pub(super) fn handle_incarnation_response(&mut self, from: ReplicaId) {
        let voters = self.state().log.voters();
        let mut others: BTreeSet<String> = voters.iter().map(|voter| voter.name.clone()).collect();
        if others.is_empty() {
            others.extend(self.config.names.iter().cloned());
        }
        others.remove(&self.config.name);
        let RecoveryState::Recovering { answered } = &mut self.recovery else { return };
        answered.insert(from.name);
        if others.is_subset(answered) {
            info!(
                incarnation = self.state().incarnation.count,
                "no other replica has seen a later incarnation; recovery complete"
            );
            self.recovery = RecoveryState::Complete;
        }
    }

    /// The leader has proven its leadership without this replica, whose log holds all committed entries.
    pub(super) fn handle_recovery_complete(&mut self, term: u64, incarnation: Incarnation) {
        let is_current = term == self.state().term && incarnation == self.state().incarnation;
        if is_current && self.recovery.is_recovering() {
            self.recovery = RecoveryState::Complete;
            info!(incarnation = incarnation.count, "log is up to date with the leader; recovery complete");
        }
    }

    /// Whether a message comes from its sender's latest incarnation, which is recorded before the message
    /// is processed. A sender with an older incarnation, or one that starts with fewer promises than were
    /// seen before, is notified.
    pub(super) fn accept_incarnation(&mut self, message: &Message) -> bool {
        let seen = LastSeen { incarnation: message.incarnation, promises_written: message.promises_written };
        match self.state().last_seen.get(&message.from).copied() {
            // A delayed message of the same incarnation may carry a lower count.
            Some(newest)
                if seen.incarnation == newest.incarnation
                    && seen.promises_written <= newest.promises_written =>
            {
                true
            }
            Some(newest) if seen.incarnation.superseded_by(newest) => {
                self.send(&message.from, MessageBody::Superseded(newest));
                false
            }
            _ => {
                self.persistent.record_last_seen(message.from.clone(), seen);
                true
            }
        }
    }

    /// Handles the report of a later incarnation: promises made after the local copy of the directory are
    /// unknown here. The incarnations are compared again, because a delayed message of an earlier
    /// incarnation triggers the same report.
    pub(super) fn handle_superseded(&mut self, newest: LastSeen) {
        let own = self.state().incarnation;
        if own.superseded_by(newest) {
            warn!(?own, ?newest, "another replica has seen a later incarnation of this one");
            self.renew_instance("its folder is an old copy");
        }
    }

    /// Another instance of this name has replaced this one as a voter.
    pub(super) fn handle_no_longer_voter(&mut self) {
        if self.is_voter() {
            self.renew_instance("another instance has replaced it as a voter");
        }
    }

    /// Restarts as a new instance without promises.
    fn renew_instance(&mut self, reason: &str) {
        warn!(why = reason, "restarting as a new replica instance");
        let id = ReplicaId { name: self.config.name.clone(), instance: self.rng.next_u64() };
        let incarnation = Incarnation { count: 1, nonce: self.rng.next_u64(), promises_at_start: 0 };
        self.persistent.reset(id, incarnation);
        self.role = Role::Follower;
        self.election.clear_leader();
        self.recovery = RecoveryState::Complete;
        self.bootstrap = std::mem::take(&mut self.bootstrap).with_existing_cluster();
        self.outbox.clear();
        self.commit.reset();
    }

    /// On a leader: whether a candidate has been removed from the voters by a committed change. A replica
    /// restored from a backup older than its removal would otherwise start elections forever.
    pub(super) fn is_removed(&self, from: &ReplicaId) -> bool {
        let log = &self.state().log;
        self.is_leader() && log.voters_index() <= self.commit_index() && !log.voters().contains(from)
    }
}
