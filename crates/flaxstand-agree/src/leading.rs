//! What a leader does: spreads entries, counts who holds them, steps down when no majority answers, takes new
//! keepers in.

use crate::journal::Record;
use crate::keeper::{Keeper, MESSAGE_MOST, Planted, Role};
use crate::log::{Entry, What};
use crate::message::Body;
use crate::replica::{Life, ReplicaId};
use flaxstand_proto::Micros;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// One of a name is taken for lost, and another incarnation of it may take its place, once it has been silent for
/// so many elections' times.
const LOST_AFTER: u64 = 4;
/// Newcomers that a leader speaks to, most.
const LEARNERS_MOST: usize = 8;

#[derive(Clone, Debug)]
struct Peer {
    /// All up to there is durable there.
    held: u64,
    /// That counts once so many records are durable here: until then an old copy of its folder would not be known.
    after: u64,
    /// What counted last.
    counted: u64,
    /// The entry to send next.
    next: u64,
    heard: Micros,
    /// When the newest of the messages was written that it answered.
    stamped: Micros,
    /// It started in this life, and asked at that moment for word of it; and what it has since.
    unsure: Option<(Life, Micros, u64)>,
}

impl Peer {
    fn new(next: u64, now: Micros) -> Peer {
        Peer { held: 0, after: 0, counted: 0, next, heard: now, stamped: Micros(0), unsure: None }
    }
}

/// A leader's view of the others.
#[derive(Clone, Debug)]
pub(crate) struct Leading {
    peers: BTreeMap<ReplicaId, Peer>,
    pub(crate) speak_at: Micros,
}

impl Leading {
    pub(crate) fn new(peers: impl Iterator<Item = ReplicaId>, last: u64, now: Micros) -> Leading {
        let peers = peers.map(|m| (m, Peer::new(last + 1, now))).collect();
        Leading { peers, speak_at: now }
    }

    /// See `Keeper::essence`.
    pub(crate) fn essence(&self) -> String {
        let of = |(m, p): (&ReplicaId, &Peer)| {
            format!("{} {} {} {:?}", m.name, p.counted, p.next, p.unsure.map(|u| u.2))
        };
        format!("leads {:?}", self.peers.iter().map(of).collect::<Vec<_>>())
    }

    /// A member started and is not sure of itself.
    pub(crate) fn unsure(&mut self, member: &ReplicaId, life: Life, now: Micros) {
        if let Some(peer) = self.peers.get_mut(member)
            && peer.unsure.is_none_or(|(known, ..)| known != life)
        {
            peer.unsure = Some((life, now, 0));
        }
    }

    /// One that is in no electorate asks to be taken in.
    pub(crate) fn learner(&mut self, member: ReplicaId, now: Micros) {
        if let Some(peer) = self.peers.get_mut(&member) {
            peer.heard = now;
        } else if self.peers.len() < LEARNERS_MOST {
            info!(name = member.name, "a new keeper asks to be taken in");
            self.peers.insert(member, Peer::new(1, now));
        }
    }
}

impl Keeper {
    /// Writes an entry of this term. Returns its index.
    pub(crate) fn write(&mut self, what: What) -> u64 {
        let entry = Entry { term: self.state.term, what };
        let index = self.state.log.last() + 1;
        self.state.log.entries.push(entry.clone());
        self.promise(Record::Entries(index, vec![entry]));
        index
    }

    /// Speaks to all, as often as a leader does.
    pub(crate) fn lead(&mut self, now: Micros) {
        if !self.hears_majority(now) && self.config.planted != Planted::LeaderStaysAlone {
            warn!(term = self.state.term, "no majority answers");
            return self.follow(self.state.term, now);
        }
        let Role::Leader(leading) = &self.role else { return };
        if now >= leading.speak_at {
            self.tell_up_to_date(now);
            self.tend_electorate(now);
            self.spread(now);
        }
    }

    /// Check-quorum: a leader that a majority has not answered within an election's time may have been replaced.
    fn hears_majority(&self, now: Micros) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let lately = |p: &Peer| now.since(p.heard) < self.config.election;
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
            peer => peer.map_or(Micros(0), |p| p.stamped),
        };
        let mut all: Vec<Micros> = electorate.iter().map(stamped).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let proven = all.get(all.len() / 2)?;
        Some(proven.after(Micros(self.config.election.0 * 9 / 10)))
    }

    /// Of a leader: members that it has not heard for an election's time.
    pub(crate) fn silent(&self, now: Micros) -> Vec<String> {
        let Role::Leader(leading) = &self.role else { return Vec::new() };
        let silent = |m: &&ReplicaId| {
            **m != self.state.me
                && leading.peers.get(m).is_none_or(|p| now.since(p.heard) >= self.config.election)
        };
        self.state.log.electorate().1.iter().filter(silent).map(|m| m.name.clone()).collect()
    }

    /// Sends everyone what it is missing, or nothing but word that the leader lives.
    pub(crate) fn spread(&mut self, now: Micros) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.speak_at = now.after(self.config.heartbeat);
        let peers: Vec<ReplicaId> = leading.peers.keys().cloned().collect();
        peers.iter().for_each(|peer| self.send_next(peer, now));
        self.settle_commit();
    }

    fn send_next(&mut self, to: &ReplicaId, now: Micros) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(peer) = leading.peers.get(to) else { return };
        let log = &self.state.log;
        let before = peer.next - 1;
        let body = match log.term(before) {
            Some(term) => {
                let entries = log.after(before, MESSAGE_MOST);
                Body::Append { prev: (before, term), entries, commit: self.committed, stamp: now.0 }
            }
            // What it needs is here no more.
            None => Body::Install(log.snapshot.clone(), now.0),
        };
        self.tell(to, body);
    }

    /// One says what it holds: surely all up to there, and if `fits` that was what was sent.
    pub(crate) fn held_by(
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
        (peer.heard, peer.unsure) = (now, None);
        peer.stamped = peer.stamped.max(stamp.min(now));
        if fits {
            // What comes late says less than what came before it.
            let more = upto > peer.held;
            if more {
                (peer.held, peer.after) = (upto, self.journal.queued());
            }
            peer.next = peer.held + 1;
            if more && peer.held < last {
                self.send_next(from, now);
            }
        } else {
            peer.next = (upto.max(peer.held) + 1).min(last + 1);
            self.send_next(from, now);
        }
        self.settle_commit();
    }

    /// One that may not confirm yet says what it has.
    pub(crate) fn has(&mut self, from: &ReplicaId, term: u64, upto: u64) {
        let last = self.state.log.last();
        let Role::Leader(leading) = &mut self.role else { return };
        if term == self.state.term
            && let Some(peer) = leading.peers.get_mut(from)
            && let Some((_, _, has)) = &mut peer.unsure
        {
            *has = upto;
            peer.next = upto.min(last) + 1;
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
            let Some((life, asked, has)) = peer.unsure else { continue };
            let proves = |m: &&ReplicaId| {
                *m != member
                    && (**m == self.state.me || leading.peers.get(m).is_some_and(|p| p.stamped > asked))
            };
            if has >= self.committed && electorate.iter().filter(proves).count() > electorate.len() / 2 {
                ready.push((member.clone(), life));
            }
        }
        for (member, life) in ready {
            self.tell(&member, Body::UpToDate(life));
            // Told again if it asks again: the message may be lost.
            if let Role::Leader(leading) = &mut self.role
                && let Some(peer) = leading.peers.get_mut(&member)
            {
                peer.unsure = Some((life, now, 0));
            }
        }
    }

    /// Counts who holds what: an entry of this term that a majority has durable is agreed on, and all before it.
    pub(crate) fn settle_commit(&mut self) {
        let Role::Leader(leading) = &mut self.role else { return };
        let own = self.journal.durable_last();
        let durable = self.journal.durable();
        leading.peers.values_mut().filter(|p| p.after <= durable).for_each(|p| p.counted = p.held);
        let electorate = self.state.log.electorate().1;
        let held = |m: &ReplicaId| match leading.peers.get(m) {
            _ if *m == self.state.me => own,
            peer => peer.map_or(0, |p| p.counted),
        };
        let mut all: Vec<u64> = electorate.iter().map(held).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let Some(upto) = all.get(all.len() / 2).copied() else { return };
        let of_term = self.state.log.term(upto) == Some(self.state.term);
        if upto > self.committed && (of_term || self.config.planted == Planted::EarlierTermCommitted) {
            self.committed = upto;
            leading.speak_at = Micros(0);
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
        leading.peers.retain(|m, p| electorate.contains(m) || now.since(p.heard) < lost_after);
        for member in &electorate {
            let next = self.state.log.last() + 1;
            if *member != self.state.me {
                leading.peers.entry(member.clone()).or_insert(Peer::new(next, now));
            }
        }
        let settled = since <= self.committed && self.state.log.term(self.committed) == Some(self.state.term);
        if !settled {
            return;
        }
        let silent = |m: &ReplicaId| leading.peers.get(m).is_some_and(|p| now.since(p.heard) >= lost_after);
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
                None if peer.held >= self.committed => {
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
            self.write(What::Electorate(next));
        }
    }
}
