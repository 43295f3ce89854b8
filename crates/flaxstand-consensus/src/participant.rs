//! Consensus state of one initiator: its replica, if it has one, its membership, and the routing of lease
//! requests. The API for callers (the gateway core and tests); messages in, messages out, no I/O.
//!
//! A member sends its lease requests to its *upstream*: an initiator with a replica, or a neighbour if it
//! can reach none. Every initiator that can't decide a request forwards it towards the leader, and
//! responses return along the same path. A member switches to the next upstream if the current one does not
//! respond.
//!
//! - `protocol`: messages between initiators and with operators
//! - `upstreams`, `routing`: forwarding of lease requests and responses
//! - `applied`, `replication`: the replicated state, and actions that the leader takes by itself
//! - `admission`: admission of new members by the leader
//! - `operators`: operator requests and the status report
//! - `rollout_bounds`: time bounds derived from the settings

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

/// Configuration of one participant. The settings parser validates the constraints stated here.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the initiator.
    pub name: String,
    /// Epoch of the process: increases with each start.
    pub epoch: u64,
    /// Names of the initiators with a replica; the first one bootstraps the cluster. Must be the same on
    /// all initiators.
    pub voters: Vec<String>,
    /// Names of other initiators to send lease requests to if no replica is reachable.
    pub neighbours: Vec<String>,
    /// Length of a lease; at least twice `election_timeout`. Must be the same on all initiators.
    pub lease: Micros,
    /// Maximum clock drift over a lease as a fraction of its length, 0 to 0.1. Must be the same on all
    /// initiators.
    pub clock_error: f64,
    /// Time without contact with a leader after which replicas start an election.
    pub election_timeout: Micros,
    /// Random seed; differs at each start.
    pub seed: u64,
    /// Rules of the initiator's own settings. Their fallback rules apply until a replicated state is
    /// available.
    pub local_rules: Rules,
    /// Fault injected by tests.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

/// The active rules and stage that the caller was last notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Notified {
    active_rules: ActiveRules,
    stage: u64,
}

/// Consensus state of one initiator.
#[derive(Debug)]
pub struct Participant {
    config: Config,
    replica: Option<Replica>,
    /// Set while this initiator is the leader.
    leases: Option<LeaseManager>,
    member: Member,
    /// The replicated state, on initiators with a replica.
    applied: Applied,
    admission: Admission,
    routes: Routes,
    upstreams: Upstreams,
    /// Connections of operators that wait for a change, by the index of its log entry.
    pending_operations: BTreeMap<u64, u64>,
    outgoing: VecDeque<(Destination, PeerMessage)>,
    /// `None` before the first call of [`Participant::take_rules_change`].
    notified: Option<Notified>,
    /// Wall-clock time at clock 0, in microseconds since the Unix epoch.
    unix_time_at_start: u64,
}

/// Contents of a replica's journal directory.
#[derive(Debug, Default)]
pub struct StoredReplica {
    /// The recovered state; `None` if the replica is new or its disk was lost.
    pub state: Option<DurableState>,
    /// Segments in the directory.
    pub segments: Vec<u64>,
}

impl Participant {
    /// Starts a participant. `stored` is the content of the replica's directory, `None` for an initiator
    /// without a replica. `saved` is the replicated state saved before. `unix_time` is the wall-clock time
    /// at clock 0, in microseconds.
    pub fn new(
        config: Config,
        stored: Option<StoredReplica>,
        saved: Option<IndexedState>,
        unix_time: u64,
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
            unix_time_at_start: unix_time,
            config,
        }
    }

    /// Handles a message received on a connection, which the caller identifies by a number. `from` is the
    /// initiator at the other end; `None` for an operator.
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
            (message, from) => warn!(?from, ?message, "unexpected message dropped"),
        }
        self.apply_committed(now);
    }

    /// Processes timers that are due at `now`.
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

    /// Latest time at which [`Participant::tick`] must be called.
    pub fn wake_at(&self, now: Micros) -> Micros {
        let member_at = self.member.wake_at(now);
        self.replica.as_ref().map_or(member_at, |replica| replica.wake_at().min(member_at))
    }

    /// Returns the next batch for the storage. Only one batch is in flight at a time; report its outcome
    /// with [`Participant::batch_stored`].
    pub fn next_batch(&mut self, now: Micros) -> Option<Batch> {
        self.replica.as_mut()?.next_batch(now)
    }

    /// Records the outcome of the batch in flight.
    pub fn batch_stored(&mut self, succeeded: bool, now: Micros) {
        if let Some(replica) = &mut self.replica {
            replica.batch_stored(succeeded, now);
        }
        self.apply_committed(now);
    }

    /// Returns the replicated state if it has changed. The caller must save it before it sends further
    /// messages.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        self.member.take_unsaved().map(|unsaved| unsaved.bytes())
    }

    /// Returns the messages to send with their destinations.
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

    /// Returns the active rules if they have changed since the last call. Must be called in each event-loop
    /// iteration before anything is sent, because a lease may have expired while the process was suspended.
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
        Some(self.member.rules(&self.config.local_rules, now))
    }

    /// The rules that this initiator acts on.
    pub fn active_rules(&self, now: Micros) -> ActiveRules {
        self.member.active_rules(now)
    }

    /// Number of the version in force that this initiator acts on; 0 with the fallback rules.
    pub fn version(&self, now: Micros) -> u64 {
        match self.member.active_rules(now) {
            ActiveRules::Fallback => 0,
            ActiveRules::Transition(in_force, _) | ActiveRules::Version(in_force) => in_force,
        }
    }

    /// Releases the lease before the process exits.
    pub fn release_lease(&mut self, now: Micros) {
        self.member.release_lease(now);
        self.tick(now);
    }

    /// Status of the replica, if this initiator has one.
    pub fn replica_status(&self, now: Micros) -> Option<Status> {
        self.replica.as_ref().map(|replica| replica.status(now))
    }

    /// The local copy of the replicated state.
    pub fn replicated_state(&self) -> Option<&ReplicatedState> {
        self.member.replicated_state()
    }

    /// See [`LeaseManager::members_examined`]; 0 if this initiator is not the leader.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.leases.as_ref().map_or(0, LeaseManager::members_examined)
    }

    /// Lowers the maximum number of members that this initiator admits as leader, to test the limit. Can't
    /// raise it above `MAX_MEMBERS`.
    #[doc(hidden)]
    pub fn limit_members(&mut self, max_members: usize) {
        self.admission.limit(max_members);
    }

    /// On a leader: until when no other replica can become leader.
    fn leads_until(&self, now: Micros) -> Option<Micros> {
        self.replica.as_ref()?.leads_until(now)
    }

    /// Name of the leader, if the local replica knows it.
    fn leader(&self) -> Option<String> {
        self.replica.as_ref()?.leader().map(str::to_owned)
    }
}

/// Number of heartbeats per election time-out.
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
