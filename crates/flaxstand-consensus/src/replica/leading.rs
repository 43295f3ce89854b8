//! What a leader does: spreads entries, counts who holds them, steps down when no majority answers, takes new
//! keepers in.

use super::progress::{Progress, Unsure};
use super::{InjectedFault, MAX_MESSAGE_BYTES, Replica, Role};
use crate::journal::Record;
use crate::log::{Entry, EntryPayload};
use crate::message::MessageBody;
use crate::replica_id::ReplicaId;
use flaxstand_proto::Micros;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// One of a name is taken for lost, and another incarnation of it may take its place, once it has been silent for
/// so many elections' times.
const LOST_AFTER: u64 = 4;

impl Replica {
    /// Writes an entry of this term. Returns its index.
    pub(super) fn write(&mut self, what: EntryPayload) -> u64 {
        let entry = Entry { term: self.state.term, what };
        let index = self.state.log.last() + 1;
        self.state.log.entries.push(entry.clone());
        self.promise(Record::Entries(index, vec![entry]));
        index
    }

    /// Speaks to all, as often as a leader does.
    pub(super) fn lead(&mut self, now: Micros) {
        if !self.hears_majority(now) && self.config.injected_fault != InjectedFault::LeaderStaysAlone {
            warn!(term = self.state.term, "no majority answers");
            return self.follow(self.state.term, now);
        }
        let Role::Leader(leading) = &self.role else { return };
        if now >= leading.heartbeat_at {
            self.tell_up_to_date(now);
            self.tend_electorate(now);
            self.spread(now);
        }
    }

    /// Check-quorum: a leader that a majority has not answered within an election's time may have been replaced.
    fn hears_majority(&self, now: Micros) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let lately = |p: &Progress| now.since(p.heard_at) < self.config.election;
        let mut heard: BTreeSet<ReplicaId> =
            leading.peers.iter().filter(|(_, p)| lately(p)).map(|(m, _)| m.clone()).collect();
        heard.insert(self.state.me.clone());
        self.majority(&heard)
    }

    /// Until when nobody else can lead, as far as a majority's answers prove: nobody who heard this leader helps
    /// another to lead for an election's time, counted from when it heard, which is after the message was written.
    /// A tenth is left for clocks. None: it does not lead, or may not yet know all that was agreed on.
    pub fn leads_until(&self, now: Micros) -> Option<Micros> {
        let Role::Leader(leading) = &self.role else { return None };
        if self.state.log.term(self.committed) != Some(self.state.term) {
            return None;
        }
        let electorate = self.state.log.electorate().1;
        let stamped = |m: &ReplicaId| match leading.peers.get(m) {
            _ if *m == self.state.me => now,
            peer => peer.map_or(Micros(0), |p| p.newest_stamp),
        };
        let mut all: Vec<Micros> = electorate.iter().map(stamped).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let proven = all.get(all.len() / 2)?;
        Some(proven.after(Micros(self.config.election.0 * 9 / 10)))
    }

    /// Of a leader: members that it has not heard for an election's time.
    pub(super) fn silent(&self, now: Micros) -> Vec<String> {
        let Role::Leader(leading) = &self.role else { return Vec::new() };
        let silent = |m: &&ReplicaId| {
            **m != self.state.me
                && leading.peers.get(m).is_none_or(|p| now.since(p.heard_at) >= self.config.election)
        };
        self.state.log.electorate().1.iter().filter(silent).map(|m| m.name.clone()).collect()
    }

    /// Sends everyone what it is missing, or nothing but word that the leader lives.
    pub(super) fn spread(&mut self, now: Micros) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.heartbeat_at = now.after(self.config.heartbeat);
        let peers: Vec<ReplicaId> = leading.peers.keys().cloned().collect();
        peers.iter().for_each(|peer| self.send_next(peer, now));
        self.settle_commit();
    }

    fn send_next(&mut self, to: &ReplicaId, now: Micros) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(peer) = leading.peers.get(to) else { return };
        let log = &self.state.log;
        let before = peer.next_index - 1;
        let body = match log.term(before) {
            Some(term) => {
                let entries = log.after(before, MAX_MESSAGE_BYTES);
                MessageBody::Append { prev: (before, term), entries, commit: self.committed, stamp: now.0 }
            }
            // What it needs is here no more.
            None => MessageBody::Install(log.snapshot.clone(), now.0),
        };
        self.tell(to, body);
    }

    /// One says what it holds: surely all up to there, and if `fits` that was what was sent.
    pub(super) fn held_by(
        &mut self,
        from: &ReplicaId,
        term: u64,
        (upto, fits): (u64, bool),
        stamp: Micros,
        now: Micros,
    ) {
        if term > self.state.term {
            return self.follow(term, now);
        }
        let last = self.state.log.last();
        let Role::Leader(leading) = &mut self.role else { return };
        if term < self.state.term {
            return;
        }
        let Some(peer) = leading.peers.get_mut(from) else { return };
        peer.heard_at = now;
        peer.recovering = None;
        peer.newest_stamp = peer.newest_stamp.max(stamp.min(now));
        if fits {
            // What comes late says less than what came before it.
            let more = upto > peer.match_index;
            if more {
                peer.match_index = upto;
                peer.counts_after = self.journal.queued();
            }
            peer.next_index = peer.match_index + 1;
            if more && peer.match_index < last {
                self.send_next(from, now);
            }
        } else {
            peer.next_index = (upto.max(peer.match_index) + 1).min(last + 1);
            self.send_next(from, now);
        }
        self.settle_commit();
    }

    /// One that may not confirm yet says what it has.
    pub(super) fn has(&mut self, from: &ReplicaId, term: u64, upto: u64) {
        let last = self.state.log.last();
        let Role::Leader(leading) = &mut self.role else { return };
        if term == self.state.term
            && let Some(peer) = leading.peers.get_mut(from)
            && let Some(recovering) = &mut peer.recovering
        {
            recovering.has = upto;
            peer.next_index = upto.min(last) + 1;
        }
    }

    /// Tells those that started and have all that was agreed on, once a majority without them has answered what was
    /// written after they asked: nobody else leads, whatever they promised before.
    fn tell_up_to_date(&mut self, now: Micros) {
        let Role::Leader(leading) = &self.role else { return };
        let electorate = self.state.log.electorate().1;
        if self.state.log.term(self.committed) != Some(self.state.term) {
            return;
        }
        let mut ready = Vec::new();
        for (member, peer) in &leading.peers {
            let Some(Unsure { incarnation, asked_at, has }) = peer.recovering else { continue };
            let proves = |m: &&ReplicaId| {
                *m != member
                    && (**m == self.state.me
                        || leading.peers.get(m).is_some_and(|p| p.newest_stamp > asked_at))
            };
            if has >= self.committed && electorate.iter().filter(proves).count() > electorate.len() / 2 {
                ready.push((member.clone(), incarnation));
            }
        }
        for (member, incarnation) in ready {
            self.tell(&member, MessageBody::UpToDate(incarnation));
            // Told again if it asks again: the message may be lost.
            if let Role::Leader(leading) = &mut self.role
                && let Some(peer) = leading.peers.get_mut(&member)
            {
                peer.recovering = Some(Unsure { incarnation, asked_at: now, has: 0 });
            }
        }
    }

    /// Counts who holds what: an entry of this term that a majority has durable is agreed on, and all before it.
    pub(super) fn settle_commit(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        let own = self.journal.durable_last();
        let durable = self.journal.durable();
        leading
            .peers
            .values_mut()
            .filter(|p| p.counts_after <= durable)
            .for_each(|p| p.counted_index = p.match_index);
        let electorate = self.state.log.electorate().1;
        let held = |m: &ReplicaId| match leading.peers.get(m) {
            _ if *m == self.state.me => own,
            peer => peer.map_or(0, |p| p.counted_index),
        };
        let mut all: Vec<u64> = electorate.iter().map(held).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(upto) = all.get(all.len() / 2).copied() else { return };
        let of_term = self.state.log.term(upto) == Some(self.state.term);
        if upto > self.committed
            && (of_term || self.config.injected_fault == InjectedFault::EarlierTermCommitted)
        {
            self.committed = upto;
            leading.heartbeat_at = Micros(0);
            if !self.is_member() && self.state.log.electorate().0 <= upto {
                info!("no longer in the electorate");
                self.role = Role::Follower;
                self.leader = None;
            }
        }
    }

    /// Takes new keepers in and lets lost ones go, one change at a time: any two electorates that follow each other
    /// share a member in every pair of majorities.
    fn tend_electorate(&mut self, now: Micros) {
        let Role::Leader(leading) = &mut self.role else { return };
        let (since, electorate) = self.state.log.electorate();
        let electorate = electorate.to_vec();
        let lost_after = Micros(self.config.election.0 * LOST_AFTER);
        // Newcomers that went away again.
        leading.peers.retain(|m, p| electorate.contains(m) || now.since(p.heard_at) < lost_after);
        for member in &electorate {
            let next = self.state.log.last() + 1;
            if *member != self.state.me {
                leading.peers.entry(member.clone()).or_insert(Progress::new(next, now));
            }
        }
        let settled = since <= self.committed && self.state.log.term(self.committed) == Some(self.state.term);
        if !settled {
            return;
        }
        let silent =
            |m: &ReplicaId| leading.peers.get(m).is_some_and(|p| now.since(p.heard_at) >= lost_after);
        let learners = leading.peers.iter().filter(|(m, _)| !electorate.contains(m));
        let mut next = None;
        for (learner, peer) in learners {
            match electorate.iter().find(|m| m.name == learner.name) {
                // Not while the old one speaks: two processes under one name are a fault of the operator's.
                Some(old) if silent(old) => {
                    let rest: Vec<ReplicaId> = electorate.iter().filter(|m| *m != old).cloned().collect();
                    info!(name = old.name, "a keeper that lost its disk gives up its vote");
                    next = Some(rest);
                }
                None if peer.match_index >= self.committed => {
                    let mut more = electorate.clone();
                    more.push(learner.clone());
                    more.sort();
                    info!(name = learner.name, "a new keeper gets a vote");
                    next = Some(more);
                }
                _ => {}
            }
            if next.is_some() {
                break;
            }
        }
        if let Some(next) = next {
            self.write(EntryPayload::Electorate(next));
        }
    }
}
