//! What a replica may promise after a start.
//!
//! - **A lost disk.** A replica whose folder is empty or damaged draws a new instance. It is no voter; the
//!   leader makes it one, by two changes of the voters, once the instance of that name before it has been
//!   unresponsive for long.
//! - **An old copy.** Each start is an incarnation, durable before anything is sent, and each message tells
//!   how many promises (terms, votes, entries) its sender has written down. Whoever acts on a message has
//!   recorded both, durably. An incarnation that begins with fewer promises than were seen is that of an old
//!   copy, and gives its instance up: it comes back as new. After a start a replica neither votes nor
//!   confirms entries until one of these holds: *all* others have answered that they saw no more than it
//!   knows, or that they lost their disks (some alone would not do: a promise is known to whom it was made);
//!   or a leader that a majority *without* it has just confirmed has brought it up to date. The price: of
//!   three replicas, one that starts while another is unresponsive has no vote until that one is back, or
//!   another machine was started under its name. One folder at a time may be an old copy, and not while
//!   another replica's disk is lost.

use super::{InjectedFault, Replica, Role};
use crate::message::{Message, MessageBody};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Whether a replica may run on an old copy of its folder.
#[derive(Clone, Debug)]
pub(super) enum RecoveryState {
    /// It takes part.
    Complete,
    /// It neither votes nor confirms entries. Names of the others that have seen no later incarnation.
    Recovering { answered: BTreeSet<String> },
}

impl RecoveryState {
    pub(super) fn is_recovering(&self) -> bool {
        matches!(self, RecoveryState::Recovering { .. })
    }

    /// The names that have answered, while it is recovering.
    pub(super) fn answered(&self) -> Option<&BTreeSet<String>> {
        match self {
            RecoveryState::Complete => None,
            RecoveryState::Recovering { answered } => Some(answered),
        }
    }
}

impl Replica {
    /// After a start the others are asked before anything is promised, also where the folder knows of no
    /// vote: a later incarnation may have given one.
    pub(super) fn start_recovery(&mut self) {
        if self.config.names.len() > 1 && self.config.injected_fault != InjectedFault::StaleCopyVotes {
            self.recovery = RecoveryState::Recovering { answered: BTreeSet::new() };
        }
    }

    /// A replica that started asks whether a later incarnation of it was seen.
    /// [`Replica::accept_incarnation`] has compared it already.
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

    /// Another replica saw no more than this one knows, or lost its own disk.
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
                "no later incarnation was seen: recovery complete"
            );
            self.recovery = RecoveryState::Complete;
        }
    }

    /// The leader proved without this replica that it leads, and this replica has all that is committed.
    pub(super) fn handle_recovery_complete(&mut self, term: u64, incarnation: Incarnation) {
        let is_current = term == self.state().term && incarnation == self.state().incarnation;
        if is_current && self.recovery.is_recovering() {
            self.recovery = RecoveryState::Complete;
            info!(incarnation = incarnation.count, "brought up to date by a leader: recovery complete");
        }
    }

    /// Whether the message comes from its sender's newest incarnation, which is recorded before the message
    /// is acted on. The sender of an older one, or of one that begins with less than was seen before, is told
    /// so.
    pub(super) fn accept_incarnation(&mut self, message: &Message) -> bool {
        let seen = LastSeen { incarnation: message.incarnation, promises_written: message.promises_written };
        match self.state().last_seen.get(&message.from).copied() {
            // A late message of one incarnation tells less.
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

    /// Guards against an old copy of the folder: promises beyond it are not known here. A late message of an
    /// earlier incarnation is answered like this too, so both are compared once more.
    pub(super) fn handle_superseded(&mut self, newest: LastSeen) {
        let own = self.state().incarnation;
        if own.superseded_by(newest) {
            warn!(?own, ?newest, "a later incarnation of this keeper was seen");
            self.renew_instance("its folder is an old copy");
        }
    }

    /// Another instance of this name votes in its place.
    pub(super) fn handle_no_longer_voter(&mut self) {
        if self.is_voter() {
            self.renew_instance("another has its place in the electorate");
        }
    }

    /// Comes back as another instance, which has promised nothing yet.
    fn renew_instance(&mut self, reason: &str) {
        warn!(why = reason, "coming back as a new keeper");
        let id = ReplicaId { name: self.config.name.clone(), instance: self.rng.next_u64() };
        let incarnation = Incarnation { count: 1, nonce: self.rng.next_u64(), promises_at_start: 0 };
        self.persistent.reset(id, incarnation);
        self.role = Role::Follower;
        self.election.forget_leader();
        self.recovery = RecoveryState::Complete;
        self.bootstrap = std::mem::take(&mut self.bootstrap).with_existing_cluster();
        self.outbox.clear();
        self.commit.reset();
    }

    /// Of a leader: whether a replica that campaigns is no voter any more, and that is committed. Guards
    /// against a folder put back from before its replica was replaced: it would campaign for ever.
    pub(super) fn is_removed(&self, from: &ReplicaId) -> bool {
        let log = &self.state().log;
        self.is_leader() && log.voters_index() <= self.commit_index() && !log.voters().contains(from)
    }
}
