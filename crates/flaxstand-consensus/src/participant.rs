//! The agreement of one initiator: its replica, if it has one, its membership, and the routing between. What
//! the owner (the gateway's core, or a test) calls; messages in, messages out, no I/O.
//!
//! A member's lease requests go to its *upstream*: an initiator with a replica, or a neighbour where it
//! reaches none. Each forwards what it can't decide on, the leader responds, and responses go back the way
//! the requests came. An upstream that does not respond is left for the next.
//!
//! - `protocol`: messages between initiators and with operators
//! - `upstreams`, `routing`: the way of lease requests and responses
//! - `applied`, `replication`: the replicated state, and what a leader does by itself
//! - `admission`: which initiators a leader admits as members
//! - `operators`: requests of operators, and the status report
//! - `rollout_bounds`: bounds that follow from the settings

mod admission;
mod applied;
mod operators;
mod protocol;
mod replication;
mod rollout_bounds;
mod routing;
mod upstreams;

pub use protocol::{Destination, OperatorReply, OperatorRequest, PeerMessage, StatusReport, VersionNumbers};
pub use rollout_bounds::RolloutBounds;

use crate::journal::DurableState;
use crate::lease_manager::LeaseManager;
use crate::member::{ActiveRules, Member};
use crate::replica::{Config as ReplicaConfig, InjectedFault, Replica, Status};
use crate::replicated_state::{IndexedState, ReplicatedState};
use crate::rules::Rules;
use admission::Admission;
use applied::Applied;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use routing::{MAX_HOPS, Routes};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};
use upstreams::Upstreams;

/// The configuration of one initiator's part in the agreement. The reader of the settings file
/// checks the constraints named here.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Which start of it; grows with each.
    pub epoch: u64,
    /// Names of the initiators with a replica, the one that bootstraps the cluster first. The same
    /// everywhere.
    pub voters: Vec<String>,
    /// Names of other initiators that it may ask where it reaches no replica.
    pub neighbours: Vec<String>,
    /// How long a lease is; at least twice `election_timeout`. The same everywhere.
    pub lease: Micros,
    /// By what part of a lease two clocks may differ over it, 0 to 0.1. The same everywhere.
    pub clock_error: f64,
    /// How long replicas have no contact with a leader before they elect one.
    pub election_timeout: Micros,
    /// Seed of random numbers, another one at each start.
    pub seed: u64,
    /// The rules of its own settings: it acts on their fallback rules until it has a replicated state.
    pub started_with: Rules,
    /// A fault that tests inject.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

/// The rules that the owner was told to act on, and their stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Notified {
    active_rules: ActiveRules,
    stage: u64,
}

/// The agreement of one initiator.
#[derive(Debug)]
pub struct Participant {
    config: Config,
    replica: Option<Replica>,
    /// Of a leader.
    leases: Option<LeaseManager>,
    member: Member,
    /// Of an initiator with a replica: the replicated state.
    applied: Applied,
    admission: Admission,
    routes: Routes,
    upstreams: Upstreams,
    /// By index of the entry that it waits for: an operator's connection.
    pending_operations: BTreeMap<u64, u64>,
    outgoing: VecDeque<(Destination, PeerMessage)>,
    /// None before the first call of [`Participant::take_rules_change`].
    notified: Option<Notified>,
    /// The host's calendar when the clock was 0, microseconds since 1970.
    calendar_at_start: u64,
}

/// What was found in the folder of a replica.
#[derive(Debug, Default)]
pub struct StoredReplica {
    /// Its state; none: it is new, or its disk was lost.
    pub state: Option<DurableState>,
    /// Segments in the folder.
    pub segments: Vec<u64>,
}

impl Participant {
    /// The agreement of an initiator that starts. `stored`: the folder of its replica; none: it has no
    /// replica. `saved`: the replicated state that it saved before. `calendar`: the host's calendar when the
    /// clock was 0, microseconds since 1970.
    pub fn new(
        config: Config,
        stored: Option<StoredReplica>,
        saved: Option<IndexedState>,
        calendar: u64,
        now: Micros,
    ) -> Participant {
        let replica = stored.map(|stored| start_replica(&config, stored, now));
        let upstreams = Upstreams::new(&config.name, &config.voters, &config.neighbours, now);
        let member =
            Member::new(config.name.clone(), config.epoch, saved, config.lease, config.injected_fault, now);
        Participant {
            replica,
            leases: None,
            member,
            applied: Applied::default(),
            admission: Admission::new(),
            routes: Routes::default(),
            upstreams,
            pending_operations: BTreeMap::new(),
            outgoing: VecDeque::new(),
            notified: None,
            calendar_at_start: calendar,
            config,
        }
    }

    /// Handles a message that came on the connection that the owner numbered so. `from`: the initiator at its
    /// other end, none for an operator.
    pub fn receive(&mut self, connection: u64, from: Option<&str>, message: PeerMessage, now: Micros) {
        match (message, from) {
            (PeerMessage::Replica(message), Some(name)) if message.from.name == name => {
                if let Some(replica) = &mut self.replica {
                    replica.receive(message, now);
                }
            }
            (PeerMessage::LeaseRequest { hops, request }, Some(_)) if hops <= MAX_HOPS => {
                self.handle_lease_request(connection, hops, request, now);
            }
            (PeerMessage::LeaseResponse(response), Some(_)) => self.handle_lease_response(*response, now),
            (PeerMessage::OperatorRequest(request), None) => {
                self.handle_operator_request(connection, request, now);
            }
            (message, from) => warn!(?from, ?message, "an unexpected message is dropped"),
        }
        self.apply_committed(now);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if let Some(replica) = &mut self.replica
            && replica.wake_at() <= now
        {
            replica.tick(now);
        }
        self.apply_committed(now);
        self.renew_lease(now);
        self.routes.expire(self.config.lease, now);
    }

    /// When [`Participant::tick`] is to be called at the latest.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let member_at = self.member.wake_at(now);
        self.replica.as_ref().map_or(member_at, |replica| replica.wake_at().min(member_at))
    }

    /// The next batch that a replica has to store. One at a time; [`Participant::batch_stored`] follows.
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        self.replica.as_mut()?.next_batch(now)
    }

    /// Records how the batch ended.
    pub fn batch_stored(&mut self, succeeded: bool, now: Micros) {
        if let Some(replica) = &mut self.replica {
            replica.batch_stored(succeeded, now);
        }
        self.apply_committed(now);
    }

    /// The replicated state to be saved in place of the one before, if it changed: at once, before messages
    /// go out.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        self.member.take_unsaved().map(|unsaved| unsaved.bytes())
    }

    /// Messages to send, and where to.
    pub fn take_outgoing(&mut self) -> Vec<(Destination, PeerMessage)> {
        let mut outgoing: Vec<(Destination, PeerMessage)> = self.outgoing.drain(..).collect();
        if let Some(replica) = &mut self.replica {
            let messages = replica.take_messages().into_iter();
            outgoing.extend(
                messages
                    .map(|message| (Destination::Peer(message.to.clone()), PeerMessage::Replica(message))),
            );
        }
        outgoing
    }

    /// The rules to act on from now on, if they are others than at the last call. To be called in each turn
    /// before anything is sent: guards against a lease that ended while the process was stopped.
    pub fn take_rules_change(&mut self, now: Micros) -> Option<Rules> {
        let active_rules = self.member.active_rules(now);
        let stage = self.member.stage();
        if self.notified == Some(Notified { active_rules, stage }) {
            return None;
        }
        let before = self.notified.map(|notified| notified.active_rules);
        let cause = match (before, active_rules) {
            (None, _) => "start",
            (Some(_), ActiveRules::Fallback) => "no lease",
            (Some(ActiveRules::Fallback), _) => "a lease",
            _ => "a rollout step was committed",
        };
        info!(from = ?before, to = ?active_rules, stage, cause, "rules");
        self.notified = Some(Notified { active_rules, stage });
        Some(self.member.rules(&self.config.started_with, now))
    }

    /// What it acts on.
    pub fn active_rules(&self, now: Micros) -> ActiveRules {
        self.member.active_rules(now)
    }

    /// The number of the version in force that it acts on, 0 with the fallback rules.
    pub fn version(&self, now: Micros) -> u64 {
        match self.member.active_rules(now) {
            ActiveRules::Fallback => 0,
            ActiveRules::Transition(in_force, _) | ActiveRules::Version(in_force) => in_force,
        }
    }

    /// Gives the lease back; the process is about to end.
    pub fn release_lease(&mut self, now: Micros) {
        self.member.release_lease(now);
        self.tick(now);
    }

    /// The replica's state, if it has one.
    pub fn replica_status(&self, now: Micros) -> Option<Status> {
        self.replica.as_ref().map(|replica| replica.status(now))
    }

    /// The replicated state as it is known here.
    pub fn replicated_state(&self) -> Option<&ReplicatedState> {
        self.member.replicated_state()
    }

    /// See [`LeaseManager::members_examined`]; 0 where this initiator does not lead.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.leases.as_ref().map_or(0, LeaseManager::members_examined)
    }

    /// Lowers the number of members that this initiator admits while it leads: for tests of what happens
    /// beyond it. `MAX_MEMBERS` can't be raised.
    #[doc(hidden)]
    pub fn limit_members(&mut self, max_members: usize) {
        self.admission.limit(max_members);
    }

    /// Of a leader: until when no other replica can lead.
    fn leads_until(&self, now: Micros) -> Option<Micros> {
        self.replica.as_ref()?.leads_until(now)
    }

    /// The leader's name, as far as the replica here knows.
    fn leader(&self) -> Option<String> {
        self.replica.as_ref()?.leader().map(str::to_owned)
    }
}

/// How many heartbeats a leader sends in an election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 5;

fn start_replica(config: &Config, stored: StoredReplica, now: Micros) -> Replica {
    let replica_config = ReplicaConfig {
        name: config.name.clone(),
        names: config.voters.clone(),
        election_timeout: config.election_timeout,
        heartbeat_interval: Micros(config.election_timeout.0 / HEARTBEATS_PER_ELECTION_TIMEOUT),
        seed: config.seed,
        initial_state: ReplicatedState::default().bytes(),
        injected_fault: config.injected_fault,
    };
    Replica::start(replica_config, stored.state, stored.segments, now)
}
