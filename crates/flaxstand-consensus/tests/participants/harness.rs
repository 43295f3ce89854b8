//! A simulated cluster of initiators on virtual time. Clocks run at different rates, links drop messages or
//! are cut, processes pause and crash, and disks lose unsynced data. After every event the harness compares
//! the rules that the initiators apply and records each pair that contradicts.

use flaxstand_consensus::member::ActiveRules;
use flaxstand_consensus::participant::{
    Config, Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StoredReplica,
};
use flaxstand_consensus::replicated_state::{IndexedState, Version};
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_consensus::{InjectedFault, Micros, RecoveredState, recover};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{Batch, Storage as _, perform};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const LEASE_MS: u64 = 600;
/// Relative clock error that a lease tolerates. The hosts' clock rates differ by up to this much.
pub const CLOCK_ERROR: f64 = 0.02;
/// Connection id of the operator. A host's connection id is its index plus 1.
const OPERATOR: u64 = 1 << 40;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

struct Host {
    participant: Option<Participant>,
    has_replica: bool,
    disk: FaultyDisk,
    /// Contents of the file that holds the member's copy of the replicated state.
    saved_state: Option<Vec<u8>>,
    /// Batch that is being written, with its completion time.
    pending_write: Option<(Micros, Batch)>,
    paused_until: Micros,
    clock: HostClock,
    start_count: u64,
    /// Rules that the host applied in its last turn. `Fallback` while it is down.
    active_rules: ActiveRules,
    /// Newest stage of the host's replicated state. It must never decrease, not even over a restart.
    stage: u64,
}

/// A host's local clock.
struct HostClock {
    /// Reading at virtual time 0, in microseconds.
    offset: u64,
    /// Rate relative to virtual time.
    rate: f64,
}

impl HostClock {
    /// Converts virtual time to the reading of this clock.
    fn local_time(&self, time: Micros) -> Micros {
        Micros(self.offset + (time.0 as f64 * self.rate) as u64)
    }

    /// Converts a reading of this clock to virtual time, rounded up.
    fn virtual_time(&self, local: Micros) -> Micros {
        Micros((local.0.saturating_sub(self.offset) as f64 / self.rate).ceil() as u64)
    }
}

/// A message in flight between two hosts.
struct InFlight {
    from: usize,
    to: usize,
    message: PeerMessage,
}

pub struct Cluster {
    pub now: Micros,
    hosts: Vec<Host>,
    pub rng: Pcg64Mcg,
    injected_fault: InjectedFault,
    /// Messages in flight by arrival time, then by send sequence number.
    in_flight: BTreeMap<(Micros, u64), InFlight>,
    message_seq: u64,
    /// Directed links that drop every message.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss_per_thousand: u64,
    pub max_delay_ms: u64,
    /// Start of the current contradiction between each pair of hosts.
    contradictions: BTreeMap<(usize, usize), Micros>,
    /// Longest contradiction, with the two hosts and their rules.
    pub longest_contradiction: (Micros, String),
    /// Invariant violations other than contradictions.
    pub violations: Vec<String>,
    pub rules_change_count: u64,
    pub replies: Vec<OperatorReply>,
    /// Largest number of messages that one host received within one second.
    pub max_messages_per_second: u64,
    /// Number of received messages by host and second.
    received: BTreeMap<(usize, u64), u64>,
}

pub fn rules(limit: f64, effect: &str) -> Rules {
    let mut r = Rules::default();
    let mut put = |key: &str, value| drop(r.values.insert(key.to_owned(), value));
    put("class.read", Value::Number(0.0));
    put("class.read.effect", Value::Text(effect.into()));
    put("plan.gold", Value::Number(0.0));
    put("plan.gold.limit-rate", Value::Number(limit));
    put("plan.gold.limit-burst", Value::Number(limit));
    r.fallback.insert("plan.gold.limit-rate".into(), Value::Number(1.0));
    r.fallback.insert("plan.gold.limit-burst".into(), Value::Number(1.0));
    r
}

/// Returns the versions that permit the active rules, or `None` for the fallback rules, which every version
/// permits.
fn permitting_versions(active_rules: ActiveRules) -> Option<Vec<u64>> {
    match active_rules {
        ActiveRules::Fallback => None,
        ActiveRules::Version(v) => Some(vec![v]),
        ActiveRules::Transition(v, w) => Some(vec![v, w]),
    }
}

impl Cluster {
    pub fn new(voters: usize, count: usize, seed: u64, injected_fault: InjectedFault) -> Cluster {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..count)
            .map(|i| {
                let rate = 1.0 + CLOCK_ERROR * ((rng.next_u64() % 2001) as f64 / 1000.0 - 1.0) / 2.0;
                Host {
                    participant: None,
                    has_replica: i < voters,
                    disk: FaultyDisk::new(seed ^ (i as u64) << 32),
                    saved_state: None,
                    pending_write: None,
                    paused_until: Micros(0),
                    clock: HostClock { offset: rng.next_u64() % 1_000_000_000, rate },
                    start_count: 0,
                    active_rules: ActiveRules::Fallback,
                    stage: 0,
                }
            })
            .collect();
        let mut cluster = Cluster {
            now: ms(1),
            hosts,
            rng,
            injected_fault,
            in_flight: BTreeMap::new(),
            message_seq: 0,
            cut: BTreeSet::new(),
            loss_per_thousand: 0,
            max_delay_ms: 4,
            contradictions: BTreeMap::new(),
            longest_contradiction: (Micros(0), String::new()),
            violations: Vec::new(),
            rules_change_count: 0,
            replies: Vec::new(),
            max_messages_per_second: 0,
            received: BTreeMap::new(),
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    /// Draws a number below `n`, or 0 if `n` is 0.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.hosts[i].participant.is_some()
    }

    fn name(i: usize) -> String {
        format!("i{i}")
    }

    fn index(name: &str) -> usize {
        name[1..].parse().expect("host name ends in its index")
    }

    pub fn start(&mut self, i: usize) {
        let names = |range: std::ops::Range<usize>| range.map(Self::name).collect::<Vec<_>>();
        let voters = self.hosts.iter().filter(|host| host.has_replica).count();
        let (seed, count, injected_fault) = (self.rng.next_u64(), self.count(), self.injected_fault);
        let host = &mut self.hosts[i];
        host.start_count += 1;
        let config = Config {
            name: Self::name(i),
            epoch: host.start_count,
            voters: names(0..voters),
            // Three at most, so that members do not know all others.
            neighbours: names(voters..count).into_iter().take(3).collect(),
            lease: ms(LEASE_MS),
            clock_error: CLOCK_ERROR,
            election_timeout: ms(150),
            seed,
            local_rules: rules(100.0, "repeatable"),
            injected_fault,
        };
        let stored = host.has_replica.then(|| StoredReplica {
            state: match recover(&mut host.disk).expect("in memory") {
                RecoveredState::Intact(state) => Some(*state),
                RecoveredState::Empty | RecoveredState::Damaged(_) => None,
            },
            segments: host.disk.segments().expect("in memory"),
        });
        let saved = host.saved_state.as_ref().and_then(|bytes| IndexedState::read(bytes).ok());
        let now = host.clock.local_time(self.now);
        host.pending_write = None;
        host.participant = Some(Participant::new(config, stored, saved, 0, now));
        host.active_rules = ActiveRules::Fallback;
    }

    /// Crashes the process. With `power_loss`, unsynced data on its disk is lost as well.
    pub fn crash(&mut self, i: usize, power_loss: bool) {
        let host = &mut self.hosts[i];
        if power_loss {
            host.disk.lose_power()
        } else {
            host.disk.crash_process()
        }
        (host.participant, host.pending_write, host.active_rules) = (None, None, ActiveRules::Fallback);
    }

    /// Pauses the process: it neither runs nor receives.
    pub fn pause(&mut self, i: usize, duration: Micros) {
        self.hosts[i].paused_until = self.now.after(duration);
    }

    pub fn isolate(&mut self, i: usize) {
        (0..self.count()).filter(|o| *o != i).for_each(|o| self.cut.extend([(i, o), (o, i)]));
    }

    /// Delivers an operator's request to every host that is up and not paused.
    pub fn send_to_all_hosts(&mut self, operator_request: &OperatorRequest) {
        for i in 0..self.count() {
            let now = self.hosts[i].clock.local_time(self.now);
            if self.hosts[i].paused_until <= self.now
                && let Some(participant) = &mut self.hosts[i].participant
            {
                participant.receive(
                    OPERATOR,
                    None,
                    PeerMessage::OperatorRequest(operator_request.clone()),
                    now,
                );
            }
        }
    }

    pub fn propose(&mut self) {
        let limit = 2.0 + self.random_below(400) as f64;
        let effect = ["once", "repeatable"][self.random_below(2) as usize];
        let base = self.newest_version();
        let version = Version { rules: rules(limit, effect), by: "a test".into(), ..Version::default() };
        self.send_to_all_hosts(&OperatorRequest::Propose { base, version });
    }

    /// The newest version in force in any host's replicated state.
    pub fn newest_version(&self) -> u64 {
        let states = self.hosts.iter().filter_map(|host| host.participant.as_ref()?.replicated_state());
        states.map(|state| state.in_force.number).max().unwrap_or(0)
    }

    /// Number of hosts whose active rules are the newest version in force.
    pub fn hosts_on_newest_version(&self) -> usize {
        let newest = self.newest_version();
        self.hosts.iter().filter(|h| newest > 0 && h.active_rules == ActiveRules::Version(newest)).count()
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.cut.contains(&(from, to)) || self.random_below(1000) < self.loss_per_thousand {
            return;
        }
        let delay = 200 + self.random_below(self.max_delay_ms * 1000);
        self.message_seq += 1;
        let arrives_at = self.now.after(Micros(delay));
        self.in_flight.insert((arrives_at, self.message_seq), InFlight { from, to, message });
    }

    /// Runs one turn of a host that is up and not paused.
    fn step(&mut self, i: usize) {
        let virtual_now = self.now;
        let host = &mut self.hosts[i];
        let now = host.clock.local_time(virtual_now);
        let Some(participant) = &mut host.participant else { return };
        if host.paused_until > virtual_now {
            return;
        }
        if let Some((_, batch)) = host.pending_write.take_if(|(done, _)| *done <= virtual_now) {
            let succeeded = perform(&mut host.disk, &batch).is_ok();
            participant.batch_stored(succeeded, now);
        }
        if participant.wake_at(now) <= now {
            participant.tick(now);
        }
        let has_changed = participant.take_rules_change(now).is_some();
        host.active_rules = participant.active_rules(now);
        if host.pending_write.is_none()
            && let Some(batch) = participant.next_batch(now)
        {
            host.pending_write = Some((virtual_now.after(Micros(100 + self.rng.next_u64() % 2000)), batch));
        }
        if let Some(unsaved) = participant.take_unsaved() {
            host.saved_state = Some(unsaved);
        }
        let stage = participant.replicated_state().map_or(0, |state| state.stage);
        if stage < host.stage {
            self.violations.push(format!("stage of i{i} decreased from {} to {stage}", host.stage));
        }
        host.stage = stage;
        self.rules_change_count += u64::from(has_changed);
        for (to, message) in participant.take_outgoing() {
            match to {
                Destination::Peer(name) => self.send(i, Self::index(&name), message),
                Destination::Connection(OPERATOR) => {
                    if let PeerMessage::OperatorReply(reply) = message {
                        self.replies.push(reply);
                    }
                }
                Destination::Connection(conn) => self.send(i, conn as usize - 1, message),
            }
        }
    }

    /// Updates the contradictions. Two hosts contradict if no version permits the active rules of both.
    fn record_contradictions(&mut self) {
        // A paused process sends nothing, so its rules have no effect.
        let is_running = |h: &Host| h.participant.is_some() && h.paused_until <= self.now;
        let all: Vec<(usize, Vec<u64>)> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, h)| is_running(h))
            .filter_map(|(i, h)| Some((i, permitting_versions(h.active_rules)?)))
            .collect();
        let mut pairs = BTreeSet::new();
        let groups: BTreeMap<Vec<u64>, usize> = all.iter().map(|(i, v)| (v.clone(), *i)).collect();
        // One host represents all that apply the same rules.
        for (versions, i) in &groups {
            for (others, j) in &groups {
                if i < j && !versions.iter().any(|v| others.contains(v)) {
                    pairs.insert((*i, *j));
                }
            }
        }
        self.contradictions.retain(|pair, _| pairs.contains(pair));
        for pair in pairs {
            let since = *self.contradictions.entry(pair).or_insert(self.now);
            let long = self.now.since(since).max(Micros(1));
            if long > self.longest_contradiction.0 {
                let (a, b) = (self.hosts[pair.0].active_rules, self.hosts[pair.1].active_rules);
                self.longest_contradiction =
                    (long, format!("i{} applies {a:?}, i{} applies {b:?}", pair.0, pair.1));
            }
        }
    }

    /// Advances virtual time, or stops at the first violation.
    pub fn run(&mut self, time: Micros) {
        let end = self.now.after(time);
        loop {
            let wakes = self.hosts.iter().filter_map(|h| {
                let participant = h.participant.as_ref()?;
                let wake = h.clock.virtual_time(participant.wake_at(h.clock.local_time(self.now)));
                let next = h.pending_write.as_ref().map_or(wake, |(done, _)| (*done).min(wake));
                Some(next.max(h.paused_until))
            });
            let arrives = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let Some(next) = wakes.chain(arrives).min().filter(|next| *next <= end) else { break };
            self.now = next.max(Micros(self.now.0 + 1));
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let in_flight = entry.remove();
                let host = &mut self.hosts[in_flight.to];
                if host.paused_until > self.now {
                    // The message waits in the socket buffer until the process resumes.
                    self.message_seq += 1;
                    let resumes_at = Micros(host.paused_until.0 + 1);
                    self.in_flight.insert((resumes_at, self.message_seq), in_flight);
                    continue;
                }
                let InFlight { from, to, message } = in_flight;
                let now = host.clock.local_time(self.now);
                if let Some(participant) = &mut host.participant {
                    participant.receive(from as u64 + 1, Some(&Self::name(from)), message, now);
                }
                let received = self.received.entry((to, self.now.0 / 1_000_000)).or_default();
                *received += 1;
                self.max_messages_per_second = self.max_messages_per_second.max(*received);
            }
            (0..self.count()).for_each(|i| self.step(i));
            self.record_contradictions();
            if !self.violations.is_empty() {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    /// Ends all faults, starts the hosts that are down and proposes a new version. Returns whether a new
    /// version comes into force on every host within 30 s.
    pub fn heal(&mut self) -> bool {
        self.cut.clear();
        (self.loss_per_thousand, self.max_delay_ms) = (0, 4);
        for i in 0..self.count() {
            if !self.is_up(i) {
                self.start(i);
            }
        }
        let before = self.newest_version();
        for _ in 0..120 {
            self.run(ms(250));
            if self.newest_version() > before && self.hosts_on_newest_version() == self.count() {
                return true;
            }
            if self.newest_version() == before {
                self.propose();
            }
            if !self.violations.is_empty() {
                return false;
            }
        }
        false
    }

    /// Formats the status report of every host.
    pub fn describe(&self) -> String {
        let status = |h: &Host| match &h.participant {
            Some(participant) => format!("{:?}", participant.report(h.clock.local_time(self.now))),
            None => "down".into(),
        };
        self.hosts.iter().map(status).collect::<Vec<_>>().join("\n")
    }
}
