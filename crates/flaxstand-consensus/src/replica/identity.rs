//! Who a keeper is after a start.
//!
//! - **The first electorate.** The first keeper by the settings founds the agreement once *all* others have told
//!   it, in answer to this very life, that they belong to none. A founder that lost its disk hears from somebody
//!   that there is an agreement, and asks to be taken in like any other.
//! - **A lost disk.** A keeper whose folder is empty or damaged draws a new incarnation. No electorate knows it, so
//!   it has no vote; the leader takes it in, by two changes of the electorate, once the one of that name before it
//!   has been silent for long.
//! - **An old copy.** Each start is a life, durable before anything is said, and each message tells how many promises
//!   (terms, votes, entries) its sender has written down. Whoever acts on a message has noted both, durably. A life
//!   that begins with fewer promises than were heard of is that of an old copy, and renounces itself: it comes back
//!   as new. After a start a keeper neither votes nor confirms until one of these holds: *all* others have said that
//!   they heard of no more than it knows, or that they lost their disks (some alone would not do: a promise is known
//!   to whom it was made); or a leader that a majority *without* it has just confirmed has brought it up to date.
//!   The price: of three keepers, one that starts while another is silent has no vote until that one is back, or
//!   another machine was started under its name. One folder at a time may be an old copy, and not while another
//!   keeper's disk is lost.

use super::{InjectedFault, Replica, Role};
use crate::journal::State;
use crate::log::Snapshot;
use crate::message::{Message, MessageBody};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use rand_core::RngCore;
use std::collections::BTreeSet;
use tracing::{info, warn};

impl Replica {
    /// One that is new calls: the founder to found, the others to be taken in.
    pub(super) fn call_as_new(&mut self, now: Micros) {
        if self.config.names.first() != Some(&self.config.name) || self.founded_elsewhere {
            return self.call_all(&MessageBody::Newcomer);
        }
        let named: BTreeSet<&str> = self.fresh.iter().map(|m| m.name.as_str()).collect();
        let all = self.config.names.iter().all(|n| *n == self.config.name || named.contains(n.as_str()));
        if all { self.found(now) } else { self.call_all(&MessageBody::AskFresh) }
    }

    fn found(&mut self, now: Micros) {
        let mut electorate: Vec<ReplicaId> = std::mem::take(&mut self.fresh).into_iter().collect();
        electorate.push(self.state.me.clone());
        electorate.sort();
        info!(?electorate, "founding the agreement");
        self.state.cluster = self.rng.next_u64() | 1;
        self.state.written += 1;
        self.state.term = 1;
        let state = self.config.initial_state.clone();
        self.state.log.snapshot = Snapshot { index: 1, term: 1, electorate, state };
        self.committed = 1;
        self.tell_state();
        self.journal.renew(1);
        self.put_off_election(now);
    }

    pub(super) fn asked_fresh(&mut self, founder: &ReplicaId) {
        let body = if self.state.cluster == 0 { MessageBody::Fresh } else { MessageBody::Formed };
        self.tell(founder, body);
    }

    /// The last word of a name counts: it may have been started anew meanwhile.
    pub(super) fn heard_fresh(&mut self, from: ReplicaId) {
        if self.state.cluster == 0 {
            self.fresh.retain(|m| m.name != from.name);
            self.fresh.insert(from);
        }
    }

    pub(super) fn heard_formed(&mut self) {
        if self.state.cluster == 0 && !self.founded_elsewhere {
            info!("there is an agreement already: asking to be taken in");
            self.founded_elsewhere = true;
        }
    }

    /// After a start: the others are asked before anything is promised.
    pub(super) fn ask_after_later_lives(&mut self) {
        // Also where the folder knows of no vote: a later life may have had one.
        if self.config.names.len() > 1 && self.config.injected_fault != InjectedFault::OldCopyVotes {
            self.recovering = Some(BTreeSet::new());
        }
    }

    /// One more says that it heard of no more than this keeper knows, or that it lost its own disk.
    pub(super) fn life_seen(&mut self, from: ReplicaId) {
        let mut others: BTreeSet<String> = self.electorate().into_iter().map(|m| m.name).collect();
        if others.is_empty() {
            others.extend(self.config.names.iter().cloned());
        }
        others.remove(&self.config.name);
        let Some(asked) = &mut self.recovering else { return };
        asked.insert(from.name);
        if others.is_subset(asked) {
            info!(incarnation = self.state.incarnation.count, "no later life was seen: taking part");
            self.recovering = None;
        }
    }

    /// A keeper that started asks for word of it. A leader notes that it has to be brought up to date.
    pub(super) fn asked_life(&mut self, from: &ReplicaId, incarnation: Incarnation, now: Micros) {
        if let Role::Leader(leading) = &mut self.role {
            leading.recovering(from, incarnation, now);
        }
        self.tell(from, MessageBody::LifeSeen(incarnation));
    }

    /// The leader proved, without this keeper, that it leads, and this keeper has all that was agreed on: whatever
    /// it promised in a life that it does not know, a majority without it has gone on from.
    pub(super) fn up_to_date(&mut self, term: u64, incarnation: Incarnation) {
        if term == self.state.term
            && incarnation == self.state.incarnation
            && self.recovering.take().is_some()
        {
            info!(incarnation = incarnation.count, "brought up to date by a leader: taking part");
        }
    }

    /// Whether the message comes from its sender's newest life. An older one, or one that begins with less than was
    /// heard of it before, is told so, and its message dropped.
    pub(super) fn newest_life(&mut self, message: &Message) -> bool {
        let heard = LastSeen { incarnation: message.incarnation, written: message.written };
        match self.state.seen.get(&message.from) {
            // What comes late in one life says less.
            Some(newest) if message.incarnation == newest.incarnation && heard.written <= newest.written => {
                true
            }
            Some(newest) if message.incarnation.superseded_by(*newest) => {
                let newest = *newest;
                self.tell(&message.from, MessageBody::Superseded(newest));
                false
            }
            _ => {
                self.note_seen(message.from.clone(), heard);
                true
            }
        }
    }

    /// Guards against an old copy of the folder: what this keeper promised beyond it, it does not know.
    pub(super) fn superseded(&mut self, newest: LastSeen) {
        // A message of an earlier life that came late is answered so too.
        if self.state.incarnation.superseded_by(newest) {
            warn!(own = ?self.state.incarnation, ?newest, "more was heard of this keeper than it knows");
            self.renounce("its folder is an old copy");
        }
    }

    /// Comes back as another, that promised nothing yet.
    pub(super) fn renounce(&mut self, why: &str) {
        warn!(why, "coming back as a new keeper");
        let me = ReplicaId { name: self.config.name.clone(), instance: self.rng.next_u64() };
        let incarnation = Incarnation { count: 1, nonce: self.rng.next_u64(), promises_at_start: 0 };
        self.state = State::fresh(me, incarnation);
        self.role = Role::Follower;
        (self.leader, self.leader_heard, self.recovering) = (None, None, None);
        self.founded_elsewhere = true;
        self.drop_all_held();
        self.journal.renew(0);
    }

    /// Of a leader: whether one that wants votes has none itself any more, as all agreed. Guards against a folder put
    /// back from before its keeper was replaced: it would ask for ever.
    pub(super) fn replaced(&self, from: &ReplicaId) -> bool {
        let (since, electorate) = self.state.log.electorate();
        self.leads() && since <= self.committed && !electorate.contains(from)
    }

    /// One that is new wants to be taken in.
    pub(super) fn newcomer(&mut self, from: ReplicaId, now: Micros) {
        if let Role::Leader(leading) = &mut self.role {
            leading.learner(from, now);
        }
    }
}
