//! A simulated fleet on virtual time, without faults: initiators with a replica, members without one, exact
//! clocks and a network that only delays messages. Counters record what each host sends, receives and
//! examines. The same seed gives the same counts in every run.

use flaxstand_consensus::member::ActiveRules;
use flaxstand_consensus::participant::{
    Config, Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StoredReplica,
};
use flaxstand_consensus::replicated_state::{MAX_MEMBERS, Version};
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_consensus::{InjectedFault, Micros};
use flaxstand_proto::Frame;
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{Batch, perform};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Number of initiators with a replica in each fleet.
pub const REPLICAS: usize = 5;
/// The defaults of the settings (docs/agreement.md).
pub const LEASE: Micros = Micros(3_000_000);
const ELECTION_TIMEOUT: Micros = Micros(500_000);
const CLOCK_ERROR: f64 = 0.001;
/// Members send four lease requests per lease duration.
pub const REQUEST_INTERVAL: Micros = Micros(LEASE.0 / 4);
/// Size of a version's text in bytes, typical of a site with a dozen classes.
pub const TEXT_BYTES: usize = 2_000;
/// Length of each host's name in bytes.
pub const NAME_BYTES: usize = 14;

/// A uniformly distributed duration in microseconds.
#[derive(Clone, Copy, Debug)]
struct RandomDuration {
    min: u64,
    /// Exclusive bound of the random part, which is added to `min`.
    spread: u64,
}

/// Network delay of a message.
const MESSAGE_DELAY: RandomDuration = RandomDuration { min: 200, spread: 4_000 };
/// Duration of a durable write.
const WRITE_DURATION: RandomDuration = RandomDuration { min: 100, spread: 2_000 };
/// Connection id of the operator. A host's connection id is its number.
const OPERATOR: u64 = 1 << 40;
/// Interval at which the operator repeats a rejected proposal.
const OPERATOR_RETRY: Micros = Micros(50_000);
/// Virtual time after which waiting for a condition fails the test.
const WAIT_TIMEOUT: Micros = Micros(120_000_000);

/// Number of messages and their size as frames on the wire, without TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub messages: u64,
    pub bytes: u64,
}

impl AddAssign for Count {
    fn add_assign(&mut self, other: Count) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Traffic and work of one host since the last reset of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent: Count,
    pub received: Count,
    /// Lease responses received that carry the replicated state for this host.
    pub states_received: u64,
    /// Members examined to decide whether a change can come into force.
    pub members_examined: u64,
}

/// Role of a host in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    Leader,
    /// Has a replica that is not the leader.
    Replica,
    /// Has no replica.
    Member,
}

struct Host {
    participant: Option<Participant>,
    disk: FaultyDisk,
    /// Batch that is being written.
    pending_write: Option<Batch>,
    /// Time for which the host's timer is set.
    timer: Option<Micros>,
    active_rules: ActiveRules,
    /// Since when `active_rules` apply.
    rules_since: Micros,
    traffic: Traffic,
    /// Value of `Participant::members_examined` at the last reset of the counters.
    examined_at_reset: u64,
    /// Time that the host's turns took on the machine that runs the test. Never asserted.
    turn_time: Duration,
}

impl Host {
    fn new(disk_seed: u64) -> Host {
        Host {
            participant: None,
            disk: FaultyDisk::new(disk_seed),
            pending_write: None,
            timer: None,
            active_rules: ActiveRules::Fallback,
            rules_since: Micros(0),
            traffic: Traffic::default(),
            examined_at_reset: 0,
            turn_time: Duration::ZERO,
        }
    }
}

enum Event {
    Deliver { from: usize, to: usize, message: PeerMessage },
    Timer(usize),
    Stored(usize),
}

pub struct Fleet {
    pub now: Micros,
    hosts: Vec<Host>,
    rng: Pcg64Mcg,
    /// Pending events by time, then by sequence number.
    events: BTreeMap<(Micros, u64), Event>,
    event_seq: u64,
    /// Number of hosts whose active rules are a single version, by version.
    hosts_by_version: BTreeMap<u64, usize>,
    /// Number of times a host fell back to the fallback rules because it lost its lease or was killed.
    pub leases_lost: u64,
    pub replies: Vec<OperatorReply>,
    /// Bytes that framing adds to a message.
    frame_overhead: u64,
    /// Number of members that leaders admit.
    max_members: usize,
}

pub fn host_name(host: usize) -> String {
    let name = format!("initiator-{host:04}");
    assert_eq!(name.len(), NAME_BYTES);
    name
}

fn host_number(name: &str) -> usize {
    name.rsplit_once('-').and_then(|(_, digits)| digits.parse().ok()).expect("host name ends in its number")
}

fn rules(limit: f64) -> Rules {
    let mut rules = Rules::default();
    let mut put = |key: &str, value| drop(rules.values.insert(key.to_owned(), value));
    put("class.read", Value::Number(0.0));
    put("class.read.effect", Value::Text("repeatable".into()));
    put("plan.gold", Value::Number(0.0));
    put("plan.gold.limit-rate", Value::Number(limit));
    put("plan.gold.limit-burst", Value::Number(limit));
    rules.fallback.insert("plan.gold.limit-rate".into(), Value::Number(1.0));
    rules.fallback.insert("plan.gold.limit-burst".into(), Value::Number(1.0));
    rules
}

/// The version proposed as the successor of `base`. Its limit differs from that of `base`.
pub fn version_after(base: u64) -> Version {
    Version {
        rules: rules(100.0 + (base % 50) as f64),
        text: "x".repeat(TEXT_BYTES),
        by: "operator".into(),
        ..Version::default()
    }
}

impl Fleet {
    /// Starts a fleet of `count` hosts, including those with a replica, and runs it until all apply the first
    /// version.
    pub fn idle(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::started(count, seed);
        fleet.run_until("all hosts apply version 1", |f| f.hosts_on_version(1) == count);
        fleet.run_for(LEASE);
        fleet
    }

    /// Like `idle`, but leaders admit only `max_members` hosts. Runs until those apply the first version.
    pub fn idle_with_max_members(count: usize, max_members: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::started_with_max_members(count, max_members, seed);
        fleet.run_until("all admitted hosts apply version 1", |f| f.hosts_on_version(1) == max_members);
        fleet.run_for(LEASE);
        fleet
    }

    /// Starts a fleet of `count` hosts, including those with a replica. Returns right after the last start.
    pub fn started(count: usize, seed: u64) -> Fleet {
        Fleet::started_with_max_members(count, MAX_MEMBERS, seed)
    }

    fn started_with_max_members(count: usize, max_members: usize, seed: u64) -> Fleet {
        let frame_overhead = {
            let mut frame = Vec::new();
            flaxstand_proto::encode(&Frame::Agreement { bytes: &[] }, &mut frame);
            frame.len() as u64
        };
        let hosts = (0..count).map(|host| Host::new(seed ^ (host as u64) << 32)).collect();
        let mut fleet = Fleet {
            now: Micros(1_000),
            hosts,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_seq: 0,
            hosts_by_version: BTreeMap::new(),
            leases_lost: 0,
            replies: Vec::new(),
            frame_overhead,
            max_members,
        };
        (0..REPLICAS).for_each(|host| fleet.start(host));
        fleet.run_until("there is a leader that accepts proposals", |f| {
            f.leader().is_some_and(|leader| f.accepts_proposals(leader))
        });
        fleet.propose();
        fleet.run_until("all hosts with a replica apply version 1", |f| f.hosts_on_version(1) == REPLICAS);
        // Spreads the starts evenly over one request interval.
        for host in REPLICAS..count {
            let next = fleet.now.after(Micros(REQUEST_INTERVAL.0 / count as u64));
            fleet.run_to(next);
            fleet.start(host);
        }
        fleet
    }

    fn start(&mut self, host: usize) {
        let config = Config {
            name: host_name(host),
            epoch: 1,
            voters: (0..REPLICAS).map(host_name).collect(),
            neighbours: Vec::new(),
            lease: LEASE,
            clock_error: CLOCK_ERROR,
            election_timeout: ELECTION_TIMEOUT,
            seed: self.rng.next_u64(),
            local_rules: rules(100.0),
            injected_fault: InjectedFault::None,
        };
        let stored = (host < REPLICAS).then(StoredReplica::default);
        let mut participant = Participant::new(config, stored, None, 0, self.now);
        participant.limit_members(self.max_members);
        self.hosts[host].participant = Some(participant);
        self.run_turn(host);
    }

    /// Starts one more host. Returns its number.
    pub fn add_host(&mut self) -> usize {
        let number = self.hosts.len();
        self.hosts.push(Host::new(number as u64));
        self.start(number);
        number
    }

    /// Kills a host's process, which is not restarted.
    pub fn kill(&mut self, host: usize) {
        self.set_active_rules(host, ActiveRules::Fallback);
        let host = &mut self.hosts[host];
        (host.participant, host.pending_write, host.timer) = (None, None, None);
    }

    /// Proposes the next version to the leader. Returns the number of that version.
    pub fn propose(&mut self) -> u64 {
        let leader = self.leader().expect("there is a leader");
        let base = self.newest_version();
        self.send_operator_request(leader, OperatorRequest::Propose { base, version: version_after(base) });
        base + 1
    }

    /// Repeats a proposal every `OPERATOR_RETRY` until it is committed.
    pub fn propose_until_committed(&mut self) {
        let end = self.now.after(WAIT_TIMEOUT);
        self.replies.clear();
        while !self.replies.iter().any(|reply| matches!(reply, OperatorReply::Committed(_))) {
            assert!(
                self.now < end,
                "no proposal committed within {} s, last reply: {:?}",
                WAIT_TIMEOUT.0 / 1_000_000,
                self.replies.last()
            );
            self.propose();
            self.run_for(OPERATOR_RETRY);
        }
    }

    /// Proposes a version based on version 0. The proposal is committed to the log and rejected when it is
    /// applied.
    pub fn propose_from_stale_base(&mut self) {
        let leader = self.leader().expect("there is a leader");
        self.send_operator_request(leader, OperatorRequest::Propose { base: 0, version: version_after(0) });
    }

    /// Delivers an operator's request to one host.
    pub fn send_operator_request(&mut self, host: usize, operator_request: OperatorRequest) {
        let now = self.now;
        let participant = self.hosts[host].participant.as_mut().expect("the host is up");
        participant.receive(OPERATOR, None, PeerMessage::OperatorRequest(operator_request), now);
        self.run_turn(host);
    }

    /// The newest version in force in any host's replicated state.
    pub fn newest_version(&self) -> u64 {
        let states = self.hosts.iter().filter_map(|h| h.participant.as_ref()?.replicated_state());
        states.map(|state| state.in_force.number).max().unwrap_or(0)
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let status = |host: &usize| self.hosts[*host].participant.as_ref()?.replica_status(self.now);
        let leaders = (0..REPLICAS)
            .filter(|host| status(host).is_some_and(|s| s.role == flaxstand_consensus::ReplicaRole::Leader));
        leaders.max_by_key(|host| status(host).map(|s| s.term))
    }

    /// Index of the newest entry in any replica's log.
    pub fn last_index(&self) -> u64 {
        let voters = self.hosts.iter().filter_map(|h| h.participant.as_ref()?.replica_status(self.now));
        voters.map(|status| status.last_index).max().unwrap_or(0)
    }

    /// Returns whether a leader has committed all entries of its log, and so accepts proposals.
    pub fn accepts_proposals(&self, leader: usize) -> bool {
        let replica = self.hosts[leader]
            .participant
            .as_ref()
            .and_then(|participant| participant.replica_status(self.now));
        replica.is_some_and(|status| status.commit_index == status.last_index)
    }

    /// Number of hosts whose active rules are this version.
    pub fn hosts_on_version(&self, version: u64) -> usize {
        self.hosts_by_version.get(&version).copied().unwrap_or(0)
    }

    /// Number of running hosts on the fallback rules, that is without a lease.
    pub fn hosts_on_fallback_rules(&self) -> usize {
        self.hosts
            .iter()
            .filter(|h| h.participant.is_some() && h.active_rules == ActiveRules::Fallback)
            .count()
    }

    /// Times at which the hosts on this version began to apply it, in ascending order.
    pub fn on_version_since(&self, version: u64) -> Vec<Micros> {
        let on_version = self.hosts.iter().filter(|h| h.active_rules == ActiveRules::Version(version));
        let mut since: Vec<Micros> = on_version.map(|h| h.rules_since).collect();
        since.sort_unstable();
        since
    }

    /// Encoded size of a host's replicated state in bytes.
    pub fn state_bytes(&self, host: usize) -> u64 {
        let participant = self.hosts[host].participant.as_ref();
        participant.and_then(Participant::replicated_state).map_or(0, |state| state.bytes().len() as u64)
    }

    /// Number of members in a host's replicated state.
    pub fn member_count(&self, host: usize) -> usize {
        let participant = self.hosts[host].participant.as_ref();
        participant.and_then(Participant::replicated_state).map_or(0, |state| state.members.len())
    }

    /// Traffic of each host since the last reset of the counters, with the host's current role.
    pub fn traffic(&self) -> Vec<(HostRole, Traffic)> {
        let leader = self.leader();
        let with_role = |(number, host): (usize, &Host)| {
            let role = match number {
                number if Some(number) == leader => HostRole::Leader,
                number if number < REPLICAS => HostRole::Replica,
                _ => HostRole::Member,
            };
            let examined = self.members_examined(number).saturating_sub(host.examined_at_reset);
            (role, Traffic { members_examined: examined, ..host.traffic })
        };
        self.hosts.iter().enumerate().map(with_role).collect()
    }

    /// Time that a host's turns took since the last reset of the counters, on the machine that runs the test.
    pub fn turn_time(&self, host: usize) -> Duration {
        self.hosts[host].turn_time
    }

    /// Resets the traffic, the turn times and the number of lost leases.
    pub fn reset_counters(&mut self) {
        for number in 0..self.hosts.len() {
            let examined = self.members_examined(number);
            let host = &mut self.hosts[number];
            (host.traffic, host.turn_time, host.examined_at_reset) =
                (Traffic::default(), Duration::ZERO, examined);
        }
        self.leases_lost = 0;
    }

    fn members_examined(&self, host: usize) -> u64 {
        self.hosts[host].participant.as_ref().map_or(0, Participant::members_examined)
    }

    pub fn run_for(&mut self, time: Micros) {
        self.run_to(self.now.after(time));
    }

    /// Processes events until `reached` returns true.
    ///
    /// # Panics
    /// The condition does not hold within `WAIT_TIMEOUT`.
    pub fn run_until(&mut self, condition: &str, reached: impl Fn(&Fleet) -> bool) {
        let end = self.now.after(WAIT_TIMEOUT);
        while !reached(self) {
            assert!(
                self.now < end && self.step(end),
                "not reached within {} s: {condition}",
                WAIT_TIMEOUT.0 / 1_000_000
            );
        }
    }

    fn run_to(&mut self, end: Micros) {
        while self.step(end) {}
        self.now = self.now.max(end);
    }

    /// Processes the next event that is due by `end`. Returns whether there was one.
    fn step(&mut self, end: Micros) -> bool {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) else {
            return false;
        };
        self.now = entry.key().0;
        match entry.remove() {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Timer(host) if self.hosts[host].timer == Some(self.now) => {
                self.hosts[host].timer = None;
                self.run_turn(host);
            }
            Event::Timer(_) => {}
            Event::Stored(host) => self.complete_write(host),
        }
        true
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_seq += 1;
        self.events.insert((at, self.event_seq), event);
    }

    fn random_duration(&mut self, duration: RandomDuration) -> Micros {
        Micros(duration.min + self.rng.next_u64() % duration.spread)
    }

    fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let count = self.count_of(&message);
        let now = self.now;
        let host = &mut self.hosts[to];
        let Some(participant) = &mut host.participant else { return };
        host.traffic.received += count;
        if let PeerMessage::LeaseResponse(response) = &message
            && response.newer_state.is_some()
            && host_number(&response.name) == to
        {
            host.traffic.states_received += 1;
        }
        let begun_at = Instant::now();
        participant.receive(from as u64, Some(&host_name(from)), message, now);
        host.turn_time += begun_at.elapsed();
        self.run_turn(to);
    }

    fn complete_write(&mut self, host: usize) {
        let now = self.now;
        let host_state = &mut self.hosts[host];
        if let Some(batch) = host_state.pending_write.take()
            && let Some(participant) = &mut host_state.participant
        {
            let succeeded = perform(&mut host_state.disk, &batch).is_ok();
            participant.batch_stored(succeeded, now);
        }
        self.run_turn(host);
    }

    /// Counts one message with its size as a frame.
    fn count_of(&self, message: &PeerMessage) -> Count {
        let bytes = postcard::to_stdvec(message).expect("messages serialize").len() as u64;
        Count { messages: 1, bytes: bytes + self.frame_overhead }
    }

    /// Runs one turn of a host, in the same order as the gateway core.
    fn run_turn(&mut self, number: usize) {
        let now = self.now;
        let begun_at = Instant::now();
        let host = &mut self.hosts[number];
        let Some(participant) = &mut host.participant else { return };
        if participant.wake_at(now) <= now {
            participant.tick(now);
        }
        let _rules = participant.take_rules_change(now);
        let active_rules = participant.active_rules(now);
        let batch = if host.pending_write.is_none() { participant.next_batch(now) } else { None };
        let _saved = participant.take_unsaved();
        let outgoing = participant.take_outgoing();
        let wake = participant.wake_at(now).max(Micros(now.0 + 1));
        self.set_active_rules(number, active_rules);
        if let Some(batch) = batch {
            self.hosts[number].pending_write = Some(batch);
            let done = now.after(self.random_duration(WRITE_DURATION));
            self.schedule(done, Event::Stored(number));
        }
        for (to, message) in outgoing {
            self.send(number, to, message);
        }
        if self.hosts[number].timer != Some(wake) {
            self.hosts[number].timer = Some(wake);
            self.schedule(wake, Event::Timer(number));
        }
        self.hosts[number].turn_time += begun_at.elapsed();
    }

    fn send(&mut self, from: usize, to: Destination, message: PeerMessage) {
        let to = match to {
            Destination::Peer(name) => host_number(&name),
            Destination::Connection(OPERATOR) => {
                if let PeerMessage::OperatorReply(reply) = message {
                    self.replies.push(reply);
                }
                return;
            }
            Destination::Connection(connection) => connection as usize,
        };
        let count = self.count_of(&message);
        self.hosts[from].traffic.sent += count;
        let arrives_at = self.now.after(self.random_duration(MESSAGE_DELAY));
        self.schedule(arrives_at, Event::Deliver { from, to, message });
    }

    /// Records the active rules of a host and updates the counters that depend on them.
    fn set_active_rules(&mut self, number: usize, active_rules: ActiveRules) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let before = std::mem::replace(&mut host.active_rules, active_rules);
        if before == active_rules {
            return;
        }
        host.rules_since = now;
        if let ActiveRules::Version(version) = before {
            *self.hosts_by_version.entry(version).or_default() -= 1;
        }
        if let ActiveRules::Version(version) = active_rules {
            *self.hosts_by_version.entry(version).or_default() += 1;
        }
        if active_rules == ActiveRules::Fallback {
            self.leases_lost += 1;
        }
    }
}
