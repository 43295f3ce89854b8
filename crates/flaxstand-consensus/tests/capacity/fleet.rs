//! A fleet without faults on virtual time: initiators with a replica and plain members with exact clocks, a
//! network that only delays, and counters of what each host sends, receives and looks at. One seed gives the
//! same counts in every run.

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

/// Initiators with a replica in each fleet.
pub const REPLICAS: usize = 5;
/// The settings' defaults (docs/agreement.md).
pub const LEASE: Micros = Micros(3_000_000);
const ELECTION: Micros = Micros(500_000);
const CLOCK_ERROR: f64 = 0.001;
/// Members ask four times in a lease.
pub const REQUEST_INTERVAL: Micros = Micros(LEASE.0 / 4);
/// Bytes of a version's text, about those of a site with a dozen classes.
pub const TEXT_BYTES: usize = 2_000;
/// Bytes of each host's name.
pub const NAME_BYTES: usize = 14;
/// A time that is drawn, microseconds.
#[derive(Clone, Copy, Debug)]
struct Varying {
    least: u64,
    /// Drawn on top: less than this.
    varies: u64,
}

/// Delay of a message.
const DELAY: Varying = Varying { least: 200, varies: 4_000 };
/// Time of a durable write.
const WRITE: Varying = Varying { least: 100, varies: 2_000 };
/// The operator's connection; those of hosts are their numbers.
const OPERATOR: u64 = 1 << 40;
/// How often an operator proposes anew what was refused.
const OPERATOR_RETRY: Micros = Micros(50_000);
/// Nothing that is waited for takes longer on virtual time.
const PATIENCE: Micros = Micros(120_000_000);

/// Messages and their bytes as frames on the wire, without TCP and IP.
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

/// What passed one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent: Count,
    pub received: Count,
    /// Answers that brought this host the whole replicated state.
    pub states_received: u64,
    /// Members examined to decide whether a change may come into force.
    pub members_examined: u64,
}

/// What a host is in the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    Leader,
    Replica,
    Member,
}

struct Host {
    agreement: Option<Participant>,
    disk: FaultyDisk,
    storing: Option<Batch>,
    /// The moment for which its timer is set.
    timer: Option<Micros>,
    active_rules: ActiveRules,
    acting_since: Micros,
    traffic: Traffic,
    /// Members examined before the counters were last set back.
    examined_before: u64,
    /// Processor time, measured on the machine that plays the fleet. Never asserted.
    busy: Duration,
}

impl Host {
    fn new(disk_seed: u64) -> Host {
        Host {
            agreement: None,
            disk: FaultyDisk::new(disk_seed),
            storing: None,
            timer: None,
            active_rules: ActiveRules::Fallback,
            acting_since: Micros(0),
            traffic: Traffic::default(),
            examined_before: 0,
            busy: Duration::ZERO,
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
    events: BTreeMap<(Micros, u64), Event>,
    next_event: u64,
    /// By version: hosts that act on it alone.
    acting_alone: BTreeMap<u64, usize>,
    /// How often a host that had a lease lost it.
    pub lost_leases: u64,
    pub replies: Vec<OperatorReply>,
    frame_overhead: u64,
    /// Members that leaders admit.
    max_members: usize,
}

pub fn host_name(host: usize) -> String {
    let name = format!("initiator-{host:04}");
    assert_eq!(name.len(), NAME_BYTES);
    name
}

fn host_number(name: &str) -> usize {
    name.rsplit_once('-').and_then(|(_, digits)| digits.parse().ok()).expect("a host's name")
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

/// The version that follows `base`; each has another limit.
pub fn version_after(base: u64) -> Version {
    Version {
        rules: rules(100.0 + (base % 50) as f64),
        text: "x".repeat(TEXT_BYTES),
        by: "operator".into(),
        ..Version::default()
    }
}

impl Fleet {
    /// A fleet of `count` hosts, those with a replica included, of which all that may act on the first
    /// version.
    pub fn at_rest(count: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::started(count, seed);
        fleet.run_until("all act on the first version", |f| f.acting_alone(1) == count);
        fleet.run_for(LEASE);
        fleet
    }

    /// A fleet of which leaders admit some hosts only; those act on the first version.
    pub fn at_rest_with_max_members(count: usize, max_members: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::started_with_max_members(count, max_members, seed);
        fleet.run_until("all that are admitted act on the first version", |f| {
            f.acting_alone(1) == max_members
        });
        fleet.run_for(LEASE);
        fleet
    }

    /// A fleet of `count` hosts, those with a replica included, where members have just been started.
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
            next_event: 0,
            acting_alone: BTreeMap::new(),
            lost_leases: 0,
            replies: Vec::new(),
            frame_overhead,
            max_members,
        };
        (0..REPLICAS).for_each(|host| fleet.start(host));
        fleet.run_until("a leader that may take proposals", |f| {
            f.leader().is_some_and(|leader| f.takes_proposals(leader))
        });
        fleet.propose();
        fleet.run_until("those with a replica act on the first version", |f| f.acting_alone(1) == REPLICAS);
        // Spread evenly over the time between two asks of one member.
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
            election_timeout: ELECTION,
            seed: self.rng.next_u64(),
            local_rules: rules(100.0),
            injected_fault: InjectedFault::None,
        };
        let stored = (host < REPLICAS).then(StoredReplica::default);
        let mut agreement = Participant::new(config, stored, None, 0, self.now);
        agreement.limit_members(self.max_members);
        self.hosts[host].agreement = Some(agreement);
        self.settle(host);
    }

    /// One more host starts. Returns its number.
    pub fn add_host(&mut self) -> usize {
        let number = self.hosts.len();
        self.hosts.push(Host::new(number as u64));
        self.start(number);
        number
    }

    /// Its process ends for good.
    pub fn kill(&mut self, host: usize) {
        self.count_acting(host, ActiveRules::Fallback);
        let host = &mut self.hosts[host];
        (host.agreement, host.storing, host.timer) = (None, None, None);
    }

    /// An operator proposes the next version to the leader. Returns its number.
    pub fn propose(&mut self) -> u64 {
        let leader = self.leader().expect("there is a leader");
        let base = self.newest();
        self.operator_asks(leader, OperatorRequest::Propose { base, version: version_after(base) });
        base + 1
    }

    /// An operator proposes again and again, until the change is committed.
    pub fn propose_until_taken(&mut self) {
        let end = self.now.after(PATIENCE);
        self.replies.clear();
        while !self.replies.iter().any(|reply| matches!(reply, OperatorReply::Committed(_))) {
            assert!(self.now < end, "no proposal is taken: {:?}", self.replies.last());
            self.propose();
            self.run_for(OPERATOR_RETRY);
        }
    }

    /// An operator proposes a version that was made from none, which is refused once it is committed.
    pub fn propose_from_older_version(&mut self) {
        let leader = self.leader().expect("there is a leader");
        self.operator_asks(leader, OperatorRequest::Propose { base: 0, version: version_after(0) });
    }

    /// An operator's message to one host.
    pub fn operator_asks(&mut self, host: usize, operator_request: OperatorRequest) {
        let now = self.now;
        let agreement = self.hosts[host].agreement.as_mut().expect("it is up");
        agreement.receive(OPERATOR, None, PeerMessage::OperatorRequest(operator_request), now);
        self.settle(host);
    }

    /// The newest version in force that the leader, or else any host, knows of.
    pub fn newest(&self) -> u64 {
        let states = self.hosts.iter().filter_map(|h| h.agreement.as_ref()?.replicated_state());
        states.map(|state| state.in_force.number).max().unwrap_or(0)
    }

    /// The initiator that leads.
    pub fn leader(&self) -> Option<usize> {
        let status = |host: &usize| self.hosts[*host].agreement.as_ref()?.replica_status(self.now);
        let leaders = (0..REPLICAS)
            .filter(|host| status(host).is_some_and(|s| s.role == flaxstand_consensus::ReplicaRole::Leader));
        leaders.max_by_key(|host| status(host).map(|s| s.term))
    }

    /// Index of the newest entry of any replica's log.
    pub fn last_entry(&self) -> u64 {
        let voters = self.hosts.iter().filter_map(|h| h.agreement.as_ref()?.replica_status(self.now));
        voters.map(|status| status.last_index).max().unwrap_or(0)
    }

    /// Whether a leader has committed all that it knows of.
    pub fn takes_proposals(&self, leader: usize) -> bool {
        let replica = self.hosts[leader].agreement.as_ref().and_then(|a| a.replica_status(self.now));
        replica.is_some_and(|status| status.commit_index == status.last_index)
    }

    /// Hosts that act on this version alone.
    pub fn acting_alone(&self, version: u64) -> usize {
        self.acting_alone.get(&version).copied().unwrap_or(0)
    }

    /// Hosts that have no lease.
    pub fn fallback_rules(&self) -> usize {
        self.hosts.iter().filter(|h| h.agreement.is_some() && h.active_rules == ActiveRules::Fallback).count()
    }

    /// Since when each host that acts on this version alone does so, in order.
    pub fn acting_alone_since(&self, version: u64) -> Vec<Micros> {
        let of_version = self.hosts.iter().filter(|h| h.active_rules == ActiveRules::Version(version));
        let mut since: Vec<Micros> = of_version.map(|h| h.acting_since).collect();
        since.sort_unstable();
        since
    }

    /// Bytes of the replicated state as a host has it.
    pub fn state_bytes(&self, host: usize) -> u64 {
        let agreement = self.hosts[host].agreement.as_ref();
        agreement.and_then(Participant::replicated_state).map_or(0, |state| state.bytes().len() as u64)
    }

    /// Members that a host's replicated state lists.
    pub fn members_listed(&self, host: usize) -> usize {
        let agreement = self.hosts[host].agreement.as_ref();
        agreement.and_then(Participant::replicated_state).map_or(0, |state| state.members.len())
    }

    /// What passed each host since the counters were set back, with its role now.
    pub fn traffic(&self) -> Vec<(HostRole, Traffic)> {
        let leader = self.leader();
        let with_role = |(number, host): (usize, &Host)| {
            let role = match number {
                number if Some(number) == leader => HostRole::Leader,
                number if number < REPLICAS => HostRole::Replica,
                _ => HostRole::Member,
            };
            let examined = self.examined(number).saturating_sub(host.examined_before);
            (role, Traffic { members_examined: examined, ..host.traffic })
        };
        self.hosts.iter().enumerate().map(with_role).collect()
    }

    /// Processor time of a host since the counters were set back, as measured here and now.
    pub fn busy(&self, host: usize) -> Duration {
        self.hosts[host].busy
    }

    pub fn reset_counters(&mut self) {
        for number in 0..self.hosts.len() {
            let examined = self.examined(number);
            let host = &mut self.hosts[number];
            (host.traffic, host.busy, host.examined_before) = (Traffic::default(), Duration::ZERO, examined);
        }
        self.lost_leases = 0;
    }

    fn examined(&self, host: usize) -> u64 {
        self.hosts[host].agreement.as_ref().map_or(0, Participant::members_examined)
    }

    pub fn run_for(&mut self, time: Micros) {
        self.run_to(self.now.after(time));
    }

    /// Goes on until something is true, in steps of one event.
    pub fn run_until(&mut self, what: &str, reached: impl Fn(&Fleet) -> bool) {
        let end = self.now.after(PATIENCE);
        while !reached(self) {
            assert!(self.now < end && self.step(end), "not within {} s: {what}", PATIENCE.0 / 1_000_000);
        }
    }

    fn run_to(&mut self, end: Micros) {
        while self.step(end) {}
        self.now = self.now.max(end);
    }

    /// The next event up to a moment, if there is one.
    fn step(&mut self, end: Micros) -> bool {
        let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) else {
            return false;
        };
        self.now = entry.key().0;
        match entry.remove() {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Timer(host) if self.hosts[host].timer == Some(self.now) => {
                self.hosts[host].timer = None;
                self.settle(host);
            }
            Event::Timer(_) => {}
            Event::Stored(host) => self.store(host),
        }
        true
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    fn draw(&mut self, time: Varying) -> Micros {
        Micros(time.least + self.rng.next_u64() % time.varies)
    }

    fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let size = self.size(&message);
        let now = self.now;
        let host = &mut self.hosts[to];
        let Some(agreement) = &mut host.agreement else { return };
        host.traffic.received += size;
        if let PeerMessage::LeaseResponse(response) = &message
            && response.newer_state.is_some()
            && host_number(&response.name) == to
        {
            host.traffic.states_received += 1;
        }
        let begun_at = Instant::now();
        agreement.receive(from as u64, Some(&host_name(from)), message, now);
        host.busy += begun_at.elapsed();
        self.settle(to);
    }

    fn store(&mut self, host: usize) {
        let now = self.now;
        let host_state = &mut self.hosts[host];
        if let Some(batch) = host_state.storing.take()
            && let Some(agreement) = &mut host_state.agreement
        {
            let succeeded = perform(&mut host_state.disk, &batch).is_ok();
            agreement.batch_stored(succeeded, now);
        }
        self.settle(host);
    }

    fn size(&self, message: &PeerMessage) -> Count {
        let bytes = postcard::to_stdvec(message).expect("plain values can be written").len() as u64;
        Count { messages: 1, bytes: bytes + self.frame_overhead }
    }

    /// One turn of a host, as the gateway's core has it.
    fn settle(&mut self, number: usize) {
        let now = self.now;
        let begun_at = Instant::now();
        let host = &mut self.hosts[number];
        let Some(agreement) = &mut host.agreement else { return };
        if agreement.wake_at(now) <= now {
            agreement.tick(now);
        }
        let _rules = agreement.take_rules_change(now);
        let active_rules = agreement.active_rules(now);
        let batch = if host.storing.is_none() { agreement.next_batch(now) } else { None };
        let _saved = agreement.take_unsaved();
        let outgoing = agreement.take_outgoing();
        let wake = agreement.wake_at(now).max(Micros(now.0 + 1));
        self.count_acting(number, active_rules);
        if let Some(batch) = batch {
            self.hosts[number].storing = Some(batch);
            let done = now.after(self.draw(WRITE));
            self.schedule(done, Event::Stored(number));
        }
        for (to, message) in outgoing {
            self.send(number, to, message);
        }
        if self.hosts[number].timer != Some(wake) {
            self.hosts[number].timer = Some(wake);
            self.schedule(wake, Event::Timer(number));
        }
        self.hosts[number].busy += begun_at.elapsed();
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
        let size = self.size(&message);
        self.hosts[from].traffic.sent += size;
        let arrives = self.now.after(self.draw(DELAY));
        self.schedule(arrives, Event::Deliver { from, to, message });
    }

    fn count_acting(&mut self, number: usize, active_rules: ActiveRules) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let before = std::mem::replace(&mut host.active_rules, active_rules);
        if before == active_rules {
            return;
        }
        host.acting_since = now;
        if let ActiveRules::Version(version) = before {
            *self.acting_alone.entry(version).or_default() -= 1;
        }
        if let ActiveRules::Version(version) = active_rules {
            *self.acting_alone.entry(version).or_default() += 1;
        }
        if active_rules == ActiveRules::Fallback {
            self.lost_leases += 1;
        }
    }
}
