//! Initiators that agree, on virtual time: clocks of different rates, links that lose and cut, processes that
//! stop and die, disks that lose what was not synced. What each acts on is compared from outside, at every
//! moment.

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
/// By what part of a lease clocks may differ. They differ by up to that here.
pub const CLOCK_ERROR: f64 = 0.02;
/// An operator's connection.
const OPERATOR: u64 = 1 << 40;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

struct Host {
    agreement: Option<Participant>,
    has_replica: bool,
    disk: FaultyDisk,
    /// The file of the replicated state.
    saved_state: Option<Vec<u8>>,
    storing: Option<(Micros, Batch)>,
    stopped_until: Micros,
    clock: HostClock,
    starts: u64,
    /// What it acted on in its last turn: a stopped process sends nothing.
    active_rules: ActiveRules,
    /// The newest stage that it knew. It never goes back, also over a restart.
    stage: u64,
}

/// A host's clock.
struct HostClock {
    /// What it shows at moment 0, microseconds.
    offset: u64,
    /// How fast it runs; 1 is exact.
    rate: f64,
}

impl HostClock {
    /// What it shows at a moment.
    fn shown_at(&self, moment: Micros) -> Micros {
        Micros(self.offset + (moment.0 as f64 * self.rate) as u64)
    }

    /// The moment at which it shows this.
    fn moment_of(&self, shown: Micros) -> Micros {
        Micros((shown.0.saturating_sub(self.offset) as f64 / self.rate).ceil() as u64)
    }
}

/// A message between two hosts.
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
    /// By the moment at which they arrive, and a number that orders those of one moment.
    in_flight: BTreeMap<(Micros, u64), InFlight>,
    next_message: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss_per_thousand: u64,
    pub max_delay_ms: u64,
    /// Since when two have acted on rules that contradict each other.
    contradictions: BTreeMap<(usize, usize), Micros>,
    pub longest_contradiction: (Micros, String),
    pub violations: Vec<String>,
    pub rules_changes: u64,
    pub replies: Vec<OperatorReply>,
    /// Messages that any one host received in any second, most.
    pub max_messages_per_second: u64,
    /// By host and second.
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

/// Versions that allow what one acts on; none: the fallback rules, which all allow.
fn allowed(active_rules: ActiveRules) -> Option<Vec<u64>> {
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
                    agreement: None,
                    has_replica: i < voters,
                    disk: FaultyDisk::new(seed ^ (i as u64) << 32),
                    saved_state: None,
                    storing: None,
                    stopped_until: Micros(0),
                    clock: HostClock { offset: rng.next_u64() % 1_000_000_000, rate },
                    starts: 0,
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
            next_message: 0,
            cut: BTreeSet::new(),
            loss_per_thousand: 0,
            max_delay_ms: 4,
            contradictions: BTreeMap::new(),
            longest_contradiction: (Micros(0), String::new()),
            violations: Vec::new(),
            rules_changes: 0,
            replies: Vec::new(),
            max_messages_per_second: 0,
            received: BTreeMap::new(),
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.hosts[i].agreement.is_some()
    }

    fn name(i: usize) -> String {
        format!("i{i}")
    }

    fn index(name: &str) -> usize {
        name[1..].parse().expect("a host's name")
    }

    pub fn start(&mut self, i: usize) {
        let names = |range: std::ops::Range<usize>| range.map(Self::name).collect::<Vec<_>>();
        let voters = self.hosts.iter().filter(|host| host.has_replica).count();
        let (seed, count, injected_fault) = (self.rng.next_u64(), self.count(), self.injected_fault);
        let host = &mut self.hosts[i];
        host.starts += 1;
        let config = Config {
            name: Self::name(i),
            epoch: host.starts,
            voters: names(0..voters),
            // A few, not all.
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
        let now = host.clock.shown_at(self.now);
        host.storing = None;
        host.agreement = Some(Participant::new(config, stored, saved, 0, now));
        host.active_rules = ActiveRules::Fallback;
    }

    pub fn kill(&mut self, i: usize, power: bool) {
        let host = &mut self.hosts[i];
        if power {
            host.disk.lose_power()
        } else {
            host.disk.crash_process()
        }
        (host.agreement, host.storing, host.active_rules) = (None, None, ActiveRules::Fallback);
    }

    pub fn pause(&mut self, i: usize, wait: Micros) {
        self.hosts[i].stopped_until = self.now.after(wait);
    }

    pub fn isolate(&mut self, i: usize) {
        (0..self.count()).filter(|o| *o != i).for_each(|o| self.cut.extend([(i, o), (o, i)]));
    }

    /// An operator's request to every host that is up.
    pub fn request_of_all(&mut self, operator_request: &OperatorRequest) {
        for i in 0..self.count() {
            let now = self.hosts[i].clock.shown_at(self.now);
            if self.hosts[i].stopped_until <= self.now
                && let Some(agreement) = &mut self.hosts[i].agreement
            {
                agreement.receive(
                    OPERATOR,
                    None,
                    PeerMessage::OperatorRequest(operator_request.clone()),
                    now,
                );
            }
        }
    }

    pub fn propose(&mut self) {
        let limit = 2.0 + self.below(400) as f64;
        let effect = ["once", "repeatable"][self.below(2) as usize];
        let base = self.newest();
        let version = Version { rules: rules(limit, effect), by: "a test".into(), ..Version::default() };
        self.request_of_all(&OperatorRequest::Propose { base, version });
    }

    /// The newest version in force that any host knows of.
    pub fn newest(&self) -> u64 {
        let states = self.hosts.iter().filter_map(|host| host.agreement.as_ref()?.replicated_state());
        states.map(|state| state.in_force.number).max().unwrap_or(0)
    }

    /// How many have a lease and act on the newest version alone.
    pub fn on_newest(&self) -> usize {
        let newest = self.newest();
        self.hosts.iter().filter(|h| newest > 0 && h.active_rules == ActiveRules::Version(newest)).count()
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.cut.contains(&(from, to)) || self.below(1000) < self.loss_per_thousand {
            return;
        }
        let wait = 200 + self.below(self.max_delay_ms * 1000);
        self.next_message += 1;
        let arrives_at = self.now.after(Micros(wait));
        self.in_flight.insert((arrives_at, self.next_message), InFlight { from, to, message });
    }

    fn step(&mut self, i: usize) {
        let at = self.now;
        let host = &mut self.hosts[i];
        let now = host.clock.shown_at(at);
        let Some(agreement) = &mut host.agreement else { return };
        if host.stopped_until > at {
            return;
        }
        if let Some((_, batch)) = host.storing.take_if(|(done, _)| *done <= at) {
            let succeeded = perform(&mut host.disk, &batch).is_ok();
            agreement.batch_stored(succeeded, now);
        }
        if agreement.wake_at(now) <= now {
            agreement.tick(now);
        }
        let has_changed = agreement.take_rules_change(now).is_some();
        host.active_rules = agreement.active_rules(now);
        if host.storing.is_none()
            && let Some(batch) = agreement.next_batch(now)
        {
            host.storing = Some((at.after(Micros(100 + self.rng.next_u64() % 2000)), batch));
        }
        if let Some(unsaved) = agreement.take_unsaved() {
            host.saved_state = Some(unsaved);
        }
        let stage = agreement.replicated_state().map_or(0, |state| state.stage);
        if stage < host.stage {
            self.violations.push(format!("i{i} went back from stage {} to {stage}", host.stage));
        }
        host.stage = stage;
        self.rules_changes += u64::from(has_changed);
        for (to, message) in agreement.take_outgoing() {
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

    /// Two contradict each other if no version allows what both act on.
    fn record_contradictions(&mut self) {
        let active = |h: &Host| h.agreement.is_some() && h.stopped_until <= self.now;
        let all: Vec<(usize, Vec<u64>)> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, h)| active(h))
            .filter_map(|(i, h)| Some((i, allowed(h.active_rules)?)))
            .collect();
        let mut pairs = BTreeSet::new();
        let groups: BTreeMap<Vec<u64>, usize> = all.iter().map(|(i, v)| (v.clone(), *i)).collect();
        // Hosts that act on the same are one.
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
                self.longest_contradiction = (long, format!("i{} on {a:?} and i{} on {b:?}", pair.0, pair.1));
            }
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now.after(time);
        loop {
            let wakes = self.hosts.iter().filter_map(|h| {
                let agreement = h.agreement.as_ref()?;
                let wake = h.clock.moment_of(agreement.wake_at(h.clock.shown_at(self.now)));
                let next = h.storing.as_ref().map_or(wake, |(done, _)| (*done).min(wake));
                Some(next.max(h.stopped_until))
            });
            let arrives = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            let Some(next) = wakes.chain(arrives).min().filter(|next| *next <= end) else { break };
            self.now = next.max(Micros(self.now.0 + 1));
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let in_flight = entry.remove();
                let host = &mut self.hosts[in_flight.to];
                if host.stopped_until > self.now {
                    // It lies in the socket until the process goes on.
                    self.next_message += 1;
                    let then = Micros(host.stopped_until.0 + 1);
                    self.in_flight.insert((then, self.next_message), in_flight);
                    continue;
                }
                let InFlight { from, to, message } = in_flight;
                let now = host.clock.shown_at(self.now);
                if let Some(agreement) = &mut host.agreement {
                    agreement.receive(from as u64 + 1, Some(&Self::name(from)), message, now);
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

    /// All faults end, what is down starts, and a new version is proposed. Returns whether it comes into
    /// force everywhere.
    pub fn heal(&mut self) -> bool {
        self.cut.clear();
        (self.loss_per_thousand, self.max_delay_ms) = (0, 4);
        for i in 0..self.count() {
            if !self.is_up(i) {
                self.start(i);
            }
        }
        let before = self.newest();
        for _ in 0..120 {
            self.run(ms(250));
            if self.newest() > before && self.on_newest() == self.count() {
                return true;
            }
            if self.newest() == before {
                self.propose();
            }
            if !self.violations.is_empty() {
                return false;
            }
        }
        false
    }

    /// The status of each host, in words.
    pub fn describe(&self) -> String {
        let of = |h: &Host| match &h.agreement {
            Some(a) => format!("{:?}", a.report(h.clock.shown_at(self.now))),
            None => "down".into(),
        };
        self.hosts.iter().map(of).collect::<Vec<_>>().join("\n")
    }
}
