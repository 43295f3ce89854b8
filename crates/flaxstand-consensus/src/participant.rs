//! The agreement of one initiator: its keeper, if it is one, its membership, and the ways between. What the owner
//! (the gateway's core, or a test) calls; messages in, messages out, no I/O.
//!
//! A member's lease requests go to its *upstream*: a keeper, or a neighbour where it reaches none. Each passes on
//! what it can't decide on, the leader responds, and responses go back the way the requests came. An upstream that
//! does not answer is left for the next.
//!
//! - `protocol`: what initiators and operators say to each other
//! - `routing`: the way of lease requests and responses
//! - `replication`: the replicated state, and what a leader does by itself
//! - `admission`: which hosts a leader lets join
//! - `operators`: what operators ask for
//! - `terms`: what follows from the settings

mod admission;
mod operators;
mod protocol;
mod replication;
mod routing;
mod terms;

pub use protocol::{Destination, OperatorReply, OperatorRequest, PeerMessage, StatusReport};
pub use terms::RolloutBounds;

use crate::journal::State;
use crate::lease_manager::LeaseManager;
use crate::member::{ActiveRules, Member};
use crate::replica::{Config as ReplicaConfig, InjectedFault, Replica, Status};
use crate::replicated_state::ReplicatedState;
use crate::rules::Rules;
use admission::Admission;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use replication::Applied;
use routing::{HOPS_MOST, RequestId, Route, Upstreams};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

/// What one initiator is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Which start of it: grows.
    pub epoch: u64,
    /// Names of the keepers, the founder first.
    pub voters: Vec<String>,
    /// Names of other initiators that it may ask where it reaches no keeper.
    pub neighbours: Vec<String>,
    /// How long a lease is.
    pub lease: Micros,
    /// By what part of it two clocks may differ over a lease.
    pub clock_error: f64,
    /// How long keepers hear no leader before they elect one.
    pub election: Micros,
    /// Seed of random numbers, another one at each start.
    pub seed: u64,
    /// The rules in its own file: their floor is what it acts on until it has a book.
    pub started_with: Rules,
    /// A fault that tests plant.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

/// The agreement of one initiator.
#[derive(Debug)]
pub struct Participant {
    config: Config,
    replica: Option<Replica>,
    leases: Option<LeaseManager>,
    member: Member,
    /// Of a keeper: the replicated state.
    applied: Applied,
    admission: Admission,
    /// Requests of others that were passed on.
    routes: BTreeMap<RequestId, Route>,
    /// By index of the entry that it waits for: an operator's connection.
    operator_requests: BTreeMap<u64, u64>,
    upstreams: Upstreams,
    /// When the upstream answered last, or was taken.
    answered_at: Micros,
    outgoing: VecDeque<(Destination, PeerMessage)>,
    /// What the owner was told to act on, and of which stage.
    acted: Option<(ActiveRules, u64)>,
    /// The host's calendar when the clock was 0, microseconds since 1970.
    calendar: u64,
}

/// What was found in the folder of a keeper.
#[derive(Debug, Default)]
pub struct StoredReplica {
    /// Its state; none: it is new, or its disk was lost.
    pub state: Option<State>,
    /// Segments in the folder.
    pub segments: Vec<u64>,
}

impl Participant {
    /// The agreement of an initiator that starts. `found`: a keeper's folder. `saved`: the book that it saved.
    pub fn new(
        config: Config,
        found: Option<StoredReplica>,
        saved: Option<(u64, ReplicatedState)>,
        calendar: u64,
        now: Micros,
    ) -> Participant {
        let replica = found.map(|found| start_keeper(&config, found, now));
        let upstreams = Upstreams::new(&config.name, &config.voters, &config.neighbours);
        let member =
            Member::new(config.name.clone(), config.epoch, saved, config.lease, config.injected_fault, now);
        Participant {
            replica,
            leases: None,
            member,
            applied: Applied::default(),
            admission: Admission::new(),
            routes: BTreeMap::new(),
            operator_requests: BTreeMap::new(),
            upstreams,
            answered_at: now,
            outgoing: VecDeque::new(),
            acted: None,
            calendar,
            config,
        }
    }

    /// A word came, on the connection that the owner numbered so. `from`: the initiator that said it, none for an
    /// operator.
    pub fn heard(&mut self, conn: u64, from: Option<&str>, word: PeerMessage, now: Micros) {
        match (word, from) {
            (PeerMessage::Replica(message), Some(name)) if message.from.name == name => {
                if let Some(replica) = &mut self.replica {
                    replica.receive(message, now);
                }
            }
            (PeerMessage::LeaseRequest(hops, request), Some(_)) if hops <= HOPS_MOST => {
                self.lease_requested(Some(conn), hops, request, now);
            }
            (PeerMessage::LeaseResponse(response), Some(_)) => self.lease_response(*response, now),
            (PeerMessage::OperatorRequest(operator_request), None) => {
                self.operator_asked(conn, operator_request, now)
            }
            (word, from) => warn!(?from, ?word, "a message that has no place here"),
        }
        self.settle(now);
    }

    /// Word of the time.
    pub fn tick(&mut self, now: Micros) {
        if let Some(replica) = &mut self.replica
            && replica.wake() <= now
        {
            replica.tick(now);
        }
        self.settle(now);
        self.renew_lease(now);
        self.expire_routes(now);
    }

    /// When `tick` is to be called at the latest.
    pub fn wake(&self, now: Micros) -> Micros {
        let replica = self.replica.as_ref().map(Replica::wake);
        replica.into_iter().chain([self.member.wake(now)]).min().expect("one at least")
    }

    /// What a keeper has to store next.
    pub fn batch(&mut self, now: Micros) -> Option<Batch> {
        self.replica.as_mut()?.batch(now)
    }

    /// How that went.
    pub fn stored(&mut self, well: bool, now: Micros) {
        if let Some(replica) = &mut self.replica {
            replica.stored(well, now);
        }
        self.settle(now);
    }

    /// The book to be saved in place of the one before, if it changed: at once, before words go out.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        let (index, replicated_state) = self.member.take_unsaved()?;
        Some(postcard::to_stdvec(&(index, replicated_state)).expect("plain values can be written"))
    }

    /// Reads what `take_unsaved` made.
    ///
    /// # Errors
    /// It is no saved book.
    pub fn read_saved(bytes: &[u8]) -> Result<(u64, ReplicatedState), postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// What is to be said, and to whom.
    pub fn take_outgoing(&mut self) -> Vec<(Destination, PeerMessage)> {
        let mut outgoing: Vec<(Destination, PeerMessage)> = self.outgoing.drain(..).collect();
        if let Some(replica) = &mut self.replica {
            let messages = replica.take_messages();
            outgoing.extend(
                messages
                    .into_iter()
                    .map(|message| (Destination::Peer(message.to.clone()), PeerMessage::Replica(message))),
            );
        }
        outgoing
    }

    /// The rules to act on from now on, if they are others than at the last call. To be called in each turn before
    /// anything is sent: a lease that ran out while the process stood still is noticed here.
    pub fn take_rules_change(&mut self, now: Micros) -> Option<Rules> {
        let active_rules = self.member.active_rules(now);
        let stage = self.member.replicated_state().map_or(0, |(_, b)| b.stage);
        if self.acted == Some((active_rules, stage)) {
            return None;
        }
        let cause = match (self.acted, active_rules) {
            (None, _) => "start",
            (Some(_), ActiveRules::Fallback) => "no lease",
            (Some((ActiveRules::Fallback, _)), _) => "a lease",
            _ => "a passage was agreed on",
        };
        info!(from = ?self.acted.map(|(a, _)| a), to = ?active_rules, stage, cause, "rules");
        self.acted = Some((active_rules, stage));
        Some(self.member.rules(&self.config.started_with, now))
    }

    /// What it acts on.
    pub fn active_rules(&self, now: Micros) -> ActiveRules {
        self.member.active_rules(now)
    }

    /// The version whose rules are acted on, for those who note it: 0 on the floor.
    pub fn version(&self, now: Micros) -> u64 {
        match self.member.active_rules(now) {
            ActiveRules::Fallback => 0,
            ActiveRules::Transition(v, _) | ActiveRules::Version(v) => v,
        }
    }

    /// The lease is given back; the process is about to end.
    pub fn leave(&mut self, now: Micros) {
        self.member.leave(now);
        self.tick(now);
    }

    /// The keeper's state, if it is one.
    pub fn replica(&self, now: Micros) -> Option<Status> {
        self.replica.as_ref().map(|k| k.status(now))
    }

    /// The book as it is known here.
    pub fn replicated_state(&self) -> Option<(u64, &ReplicatedState)> {
        self.member.replicated_state()
    }

    /// See [`LeaseManager::members_examined`]; 0 where this initiator does not lead.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.leases.as_ref().map_or(0, LeaseManager::members_examined)
    }

    /// Lowers the number of members that this initiator admits while it leads: for tests of what happens beyond
    /// it. `MAX_MEMBERS` can't be raised.
    #[doc(hidden)]
    pub fn limit_members(&mut self, members_most: usize) {
        self.admission.limit(members_most);
    }

    /// Of a leader: until when nobody else can lead.
    fn leads_until(&self, now: Micros) -> Option<Micros> {
        self.replica.as_ref()?.leads_until(now)
    }

    /// Who leads, as far as this keeper knows.
    fn leader(&self) -> Option<String> {
        self.replica.as_ref()?.leader().map(str::to_owned)
    }
}

/// How many times a leader sends heartbeats in the time after which it is taken for lost.
const HEARTBEATS: u64 = 5;

fn start_keeper(config: &Config, found: StoredReplica, now: Micros) -> Replica {
    let keeper_config = ReplicaConfig {
        name: config.name.clone(),
        names: config.voters.clone(),
        election: config.election,
        heartbeat: Micros(config.election.0 / HEARTBEATS),
        seed: config.seed,
        initial_state: ReplicatedState::default().bytes(),
        injected_fault: config.injected_fault,
    };
    Replica::start(keeper_config, found.state, found.segments, now)
}
