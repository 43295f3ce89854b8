//! One keeper: messages, moments and word of the disk in; messages, batches and what is agreed on out.
//!
//! - `identity`: who a keeper is after a start: its lives, a lost disk, an old copy, the first electorate
//! - `election`: terms and votes
//! - `leading`: what a leader does, with `progress`: what it knows of the others
//! - `following`: what the others do
//! - `config`: what it is told at its start; `status`: what it tells its owner

mod config;
mod election;
mod following;
mod identity;
mod leading;
mod progress;
mod status;

pub use config::{Config, InjectedFault};
pub use status::{Committed, ProposeError, ReplicaRole, Status};

use crate::journal::{Journal, Record, State};
use crate::log::{Entry, EntryPayload};
use crate::message::{Message, MessageBody};
use crate::replica_id::{Incarnation, LastSeen, ReplicaId};
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use progress::LeaderState;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, VecDeque};
use tracing::{debug, info, warn};

/// Most bytes of a change.
pub const MAX_CHANGE_BYTES: usize = 128 << 10;
/// Most bytes of what the owner makes of all changes.
pub const MAX_STATE_BYTES: usize = 768 << 10;
/// Most bytes of entries in one message, where one entry alone is not larger.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Most entries that are not agreed on yet. A change beyond them has to wait.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 16;
/// Messages that wait for the disk, most. The oldest is dropped then: all that matters is said again.
const MAX_HELD_MESSAGES: usize = 256;
/// Lives of others that are remembered, most; beyond that those that are not in the electorate go.
const MAX_PEERS_SEEN: usize = 64;

#[derive(Clone, Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, granted: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// A keeper.
#[derive(Clone, Debug)]
pub struct Replica {
    config: Config,
    rng: Pcg64Mcg,
    state: State,
    journal: Journal,
    role: Role,
    committed: u64,
    /// Up to there the owner was told.
    told: u64,
    leader: Option<ReplicaId>,
    leader_heard: Option<Micros>,
    election_at: Micros,
    /// Others that said since the start that they heard of no more than it knows; none: it is sure of itself.
    recovering: Option<BTreeSet<String>>,
    /// Of a founder: others that are new too.
    fresh: BTreeSet<ReplicaId>,
    /// A new founder heard that there is an agreement already.
    founded_elsewhere: bool,
    call_at: Micros,
    held: VecDeque<(u64, Message)>,
    agreed: VecDeque<Committed>,
}

impl Replica {
    /// A keeper that starts, with what its folder held and the segments in it.
    pub fn start(config: Config, found: Option<State>, segments: Vec<u64>, now: Micros) -> Replica {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let nonce = rng.next_u64();
        // One that belongs to no agreement promised nothing under its incarnation, and may be an old copy.
        let mut state = found.filter(|s| s.cluster != 0).unwrap_or_else(|| {
            let me = ReplicaId { name: config.name.clone(), instance: rng.next_u64() };
            State::fresh(me, Incarnation::default())
        });
        state.incarnation =
            Incarnation { count: state.incarnation.count + 1, nonce, promises_at_start: state.written };
        let mut journal = Journal::new(segments);
        journal.renew(state.log.last());
        let committed = state.log.snapshot.index;
        let mut replica = Replica {
            rng,
            journal,
            role: Role::Follower,
            committed,
            told: committed,
            leader: None,
            leader_heard: None,
            election_at: now,
            recovering: None,
            fresh: BTreeSet::new(),
            founded_elsewhere: false,
            call_at: now,
            held: VecDeque::new(),
            agreed: VecDeque::new(),
            config,
            state,
        };
        if replica.state.cluster != 0 {
            replica.agreed.push_back(Committed::State(committed, replica.state.log.snapshot.state.clone()));
            replica.ask_after_later_lives();
        }
        // It may have heard a leader just before: nobody is helped to lead until that is long ago.
        replica.leader_heard = (replica.state.cluster != 0).then_some(now);
        replica.put_off_election(now);
        replica
    }

    /// A message came.
    pub fn receive(&mut self, message: Message, now: Micros) {
        let known = message.from.name != self.config.name && self.config.names.contains(&message.from.name);
        let to_me =
            message.to == self.config.name && message.instance.is_none_or(|i| i == self.state.me.instance);
        if !known || !to_me || !self.same_agreement(&message) || !self.newest_life(&message) {
            debug!(?message, known, to_me, "a message is left unread");
            return;
        }
        let Message { from, term, body, incarnation, .. } = message;
        match body {
            MessageBody::AskFresh => self.asked_fresh(&from),
            MessageBody::Fresh => self.heard_fresh(from),
            MessageBody::Formed => self.heard_formed(),
            MessageBody::Newcomer => self.newcomer(from, now),
            MessageBody::AskLife => self.asked_life(&from, incarnation, now),
            MessageBody::LifeSeen(asked) if asked == self.state.incarnation => self.life_seen(from),
            MessageBody::LifeSeen(_) => {}
            MessageBody::Superseded(seen) => self.superseded(seen),
            MessageBody::Replaced if self.is_member() => {
                self.renounce("another has its place in the electorate")
            }
            MessageBody::Replaced => {}
            MessageBody::PreVote(_) | MessageBody::Vote(_) if self.replaced(&from) => {
                self.tell(&from, MessageBody::Replaced)
            }
            MessageBody::PreVote(newest) => self.asked_pre_vote(&from, term, newest, now),
            MessageBody::PreVoted(asked, granted) => self.pre_voted(from, term, asked, granted, now),
            MessageBody::Vote(newest) => self.asked_vote(&from, term, newest, now),
            MessageBody::Voted(granted) => self.voted(from, term, granted, now),
            MessageBody::Append { prev, entries, commit, stamp } => {
                let answer = self.appended(&from, term, prev, entries, commit, now);
                self.answer_leader(&from, answer, stamp);
            }
            MessageBody::Install(snapshot, stamp) => {
                let answer = self.install(&from, term, snapshot, now);
                self.answer_leader(&from, answer, stamp);
            }
            MessageBody::Held(upto, stamp) => self.held_by(&from, term, (upto, true), Micros(stamp), now),
            MessageBody::Has(upto) => self.has(&from, term, upto),
            MessageBody::UpToDate(told) => self.up_to_date(term, told),
            MessageBody::Missing(surely, stamp) => {
                self.held_by(&from, term, (surely, false), Micros(stamp), now)
            }
        }
    }

    /// A message may belong to this agreement; one that is new enters the agreement that calls it by its
    /// incarnation.
    fn same_agreement(&mut self, message: &Message) -> bool {
        if message.cluster == 0 || message.cluster == self.state.cluster {
            return true;
        }
        let calls = matches!(
            message.body,
            MessageBody::Append { .. }
                | MessageBody::Install(..)
                | MessageBody::PreVote(_)
                | MessageBody::Vote(_)
        );
        if self.state.cluster == 0 {
            if calls && message.instance == Some(self.state.me.instance) {
                info!(cluster = message.cluster, from = message.from.name, "entering the agreement");
                self.state.cluster = message.cluster;
                self.state.written += 1;
                self.fresh.clear();
                self.journal.renew(self.state.log.last());
            }
            return true;
        }
        warn!(
            theirs = message.cluster,
            ours = self.state.cluster,
            from = message.from.name,
            "another agreement"
        );
        false
    }

    /// Word of the time.
    pub fn tick(&mut self, now: Micros) {
        self.settle_commit();
        if let Role::Leader(_) = self.role {
            return self.lead(now);
        }
        if now >= self.call_at {
            self.call_at = now.after(self.config.heartbeat);
            if self.state.cluster == 0 {
                self.call_as_new(now);
            } else {
                if self.recovering.is_some() {
                    self.call_all(&MessageBody::AskLife);
                } else if !self.is_member() {
                    self.call_all(&MessageBody::Newcomer);
                }
            }
        }
        if now >= self.election_at && self.may_stand() {
            self.stand(true, now);
        }
    }

    /// When `tick` is to be called at the latest.
    pub fn wake(&self) -> Micros {
        let next = match &self.role {
            Role::Leader(leading) => leading.heartbeat_at,
            _ if self.may_stand() => self.election_at.min(self.call_at),
            _ => self.call_at,
        };
        self.journal.wake().map_or(next, |at| at.min(next))
    }

    /// A change that all are to agree on. Returns its term and index: it is agreed on once [`Committed::Change`] of
    /// that index carries it, and lost if that index carries another.
    ///
    /// # Errors
    /// It was not taken, and never will be by this call.
    pub fn propose(&mut self, change: Vec<u8>, now: Micros) -> Result<(u64, u64), ProposeError> {
        let Role::Leader(_) = self.role else {
            return Err(ProposeError::NotLeader { leader: self.leader.as_ref().map(|l| l.name.clone()) });
        };
        if change.len() > MAX_CHANGE_BYTES {
            return Err(ProposeError::TooLarge(change.len()));
        }
        if self.state.log.last() - self.committed >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        let index = self.write(EntryPayload::Change(change));
        self.spread(now);
        Ok((self.state.term, index))
    }

    /// What to store next. One batch at a time; `stored` follows.
    pub fn batch(&mut self, now: Micros) -> Option<Batch> {
        self.journal.batch(&self.state, now)
    }

    /// How the batch went.
    pub fn stored(&mut self, well: bool, now: Micros) {
        self.journal.stored(well, now);
        if !well {
            // Said again once the disk takes it: a leader that can't write falls silent and is replaced.
            warn!(failures = self.journal.failures(), "what has to be durable is not: nothing is told");
            self.held.clear();
        }
        self.settle_commit();
    }

    /// Messages to send: those that say nothing that is not durable yet.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let all = self.config.injected_fault == InjectedFault::ToldBeforeDurable;
        let durable = self.journal.durable();
        let ready = self.held.iter().take_while(|(after, _)| all || *after <= durable).count();
        self.held.drain(..ready).map(|(_, message)| message).collect()
    }

    /// What was agreed on since the last call, in order.
    pub fn take_agreed(&mut self) -> Vec<Committed> {
        self.settle_commit();
        while self.told < self.committed {
            self.told += 1;
            if let Some(Entry { what: EntryPayload::Change(bytes), .. }) = self.state.log.entry(self.told) {
                self.agreed.push_back(Committed::Change(self.told, bytes.clone()));
            }
        }
        self.agreed.drain(..).collect()
    }

    /// Entries that the owner was told of and that are still kept one by one.
    pub fn compactable(&self) -> u64 {
        self.told - self.state.log.snapshot.index
    }

    /// Puts `state`, made of all that was told to the owner, in place of those entries.
    pub fn compact(&mut self, state: Vec<u8>) {
        assert!(state.len() <= MAX_STATE_BYTES, "the owner bounds its state");
        self.state.log.compact(self.told, state);
        self.journal.renew(self.state.log.last());
    }

    /// Its state, for operators.
    pub fn status(&self, now: Micros) -> Status {
        let role = match &self.role {
            Role::Leader(_) => ReplicaRole::Leader,
            _ if self.state.cluster == 0 => ReplicaRole::New,
            _ if self.recovering.is_some() => ReplicaRole::Recovering,
            _ if !self.is_member() => ReplicaRole::Learner,
            Role::Candidate { .. } => ReplicaRole::Candidate,
            Role::Follower => ReplicaRole::Follower,
        };
        Status {
            role,
            me: self.state.me.clone(),
            incarnation: self.state.incarnation.count,
            term: self.state.term,
            leader: self.leader.as_ref().map(|l| l.name.clone()),
            committed: self.committed,
            last: self.state.log.last(),
            electorate: self.electorate(),
            silent: self.silent(now),
            disk_fails: self.journal.failing(),
        }
    }

    /// Who it is, its life, and what it must not forget: for tests that look inside.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// All that matters for what it does next, without moments: for a search over states.
    #[doc(hidden)]
    pub fn essence(&self, now: Micros) -> String {
        let s = &self.state;
        let heard = self.leader_heard.is_some_and(|at| now.since(at) < self.config.election);
        let role = match &self.role {
            Role::Follower => "follows".to_owned(),
            Role::Candidate { pre, granted } => format!("{pre} {granted:?}"),
            Role::Leader(leading) => leading.essence(),
        };
        let held: Vec<&MessageBody> = self.held.iter().map(|(_, message)| &message.body).collect();
        format!("{s:?} {role} {} {heard} {:?} {held:?}", self.committed, self.recovering)
    }

    /// Whether it leads, as far as it knows.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, where that is known.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_ref().map(|l| l.name.as_str())
    }

    /// The last entry here.
    pub fn last(&self) -> u64 {
        self.state.log.last()
    }

    /// All up to there is agreed on.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    fn electorate(&self) -> Vec<ReplicaId> {
        self.state.log.electorate().1.to_vec()
    }

    fn is_member(&self) -> bool {
        self.state.log.electorate().1.contains(&self.state.me)
    }

    /// Queues a message; it leaves once all that was noted so far is durable.
    fn tell(&mut self, to: &ReplicaId, body: MessageBody) {
        self.put(to.name.clone(), Some(to.instance), body);
    }

    /// To all keepers by name, whoever they are now.
    fn call_all(&mut self, body: &MessageBody) {
        let others: Vec<String> =
            self.config.names.iter().filter(|n| **n != self.config.name).cloned().collect();
        others.into_iter().for_each(|name| self.put(name, None, body.clone()));
    }

    fn put(&mut self, to: String, instance: Option<u64>, body: MessageBody) {
        if self.held.len() >= MAX_HELD_MESSAGES {
            self.held.pop_front();
        }
        let s = &self.state;
        let message = Message {
            cluster: s.cluster,
            from: s.me.clone(),
            incarnation: s.incarnation,
            written: s.written,
            to,
            instance,
            term: s.term,
            body,
        };
        self.held.push_back((self.journal.queued(), message));
    }

    /// Notes a promise: what may not be forgotten once it was told.
    fn promise(&mut self, record: Record) {
        self.state.written += 1;
        self.journal.note(record);
    }

    fn note_seen(&mut self, member: ReplicaId, newest: LastSeen) {
        let seen = &mut self.state.seen;
        if seen.len() >= MAX_PEERS_SEEN && !seen.contains_key(&member) {
            let electorate = self.state.log.electorate().1;
            seen.retain(|m, _| electorate.contains(m));
        }
        self.state.seen.insert(member.clone(), newest);
        self.journal.note(Record::LastSeen(member, newest));
    }

    /// A random wait before it wants to be elected, from now on.
    fn put_off_election(&mut self, now: Micros) {
        let election = self.config.election.0.max(1);
        self.election_at = now.after(Micros(election + self.rng.next_u64() % election));
    }

    /// Nothing that was held may leave, and what was agreed on is void: it is another now.
    fn drop_all_held(&mut self) {
        self.held.clear();
        self.agreed.clear();
        (self.committed, self.told) = (0, 0);
    }

    /// The owner gets the snapshot in place of what it has.
    fn tell_state(&mut self) {
        let snapshot = &self.state.log.snapshot;
        self.told = snapshot.index;
        self.agreed.push_back(Committed::State(snapshot.index, snapshot.state.clone()));
    }
}
