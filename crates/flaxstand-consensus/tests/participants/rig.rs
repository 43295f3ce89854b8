//! Initiators that agree, on virtual time: clocks of different rates, links that lose and cut, processes that stop
//! and die, disks that lose what was not synced. What each acts on is compared from outside, at every moment.

use flaxstand_consensus::member::ActiveRules;
use flaxstand_consensus::participant::{
    Config, Destination, OperatorReply, OperatorRequest, Participant, PeerMessage, StoredReplica,
};
use flaxstand_consensus::replicated_state::Version;
use flaxstand_consensus::rules::{Rules, Value};
use flaxstand_consensus::{InjectedFault, Micros, Recovered, recover};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_storage::{Batch, Storage as _, perform};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const LEASE_MS: u64 = 600;
/// By what part of a lease clocks may differ. They differ by up to that here.
pub const ERROR: f64 = 0.02;
/// An operator's connection.
const OPERATOR: u64 = 1 << 40;

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

struct Host {
    agreement: Option<Participant>,
    replica: bool,
    disk: FaultyDisk,
    /// The file of what was agreed on.
    replicated_state: Option<Vec<u8>>,
    storing: Option<(Micros, Batch)>,
    stopped_until: Micros,
    /// Its clock: this much at 0, and so fast.
    clock: (u64, f64),
    starts: u64,
    /// What it acted on when it last looked: a stopped process sends nothing.
    active_rules: ActiveRules,
    /// The newest stage that it knew: also over a restart it never goes back.
    stage: u64,
}

impl Host {
    fn now(&self, at: Micros) -> Micros {
        Micros(self.clock.0 + (at.0 as f64 * self.clock.1) as u64)
    }
    /// The moment at which its clock shows this.
    fn when(&self, local: Micros) -> Micros {
        Micros((local.0.saturating_sub(self.clock.0) as f64 / self.clock.1).ceil() as u64)
    }
}

pub struct World {
    pub now: Micros,
    hosts: Vec<Host>,
    pub rng: Pcg64Mcg,
    injected_fault: InjectedFault,
    outgoing: BTreeMap<(Micros, u64), (usize, usize, bool, PeerMessage)>,
    next_word: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub lossy: u64,
    pub slowest: u64,
    /// Since when two have acted on rules that contradict each other.
    clashes: BTreeMap<(usize, usize), Micros>,
    pub longest_clash: (Micros, String),
    pub broken: Vec<String>,
    pub passages: u64,
    pub replies: Vec<OperatorReply>,
    /// Words that any one host was sent in any second, most.
    pub most_words: u64,
    heard: BTreeMap<(usize, u64), u64>,
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

/// Versions that allow what one acts on; none: the floor, which all allow.
fn allowed(active_rules: ActiveRules) -> Option<Vec<u64>> {
    match active_rules {
        ActiveRules::Fallback => None,
        ActiveRules::Version(v) => Some(vec![v]),
        ActiveRules::Transition(v, w) => Some(vec![v, w]),
    }
}

impl World {
    pub fn new(voters: usize, count: usize, seed: u64, injected_fault: InjectedFault) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..count)
            .map(|i| {
                let fast = 1.0 + ERROR * ((rng.next_u64() % 2001) as f64 / 1000.0 - 1.0) / 2.0;
                Host {
                    agreement: None,
                    replica: i < voters,
                    disk: FaultyDisk::new(seed ^ (i as u64) << 32),
                    replicated_state: None,
                    storing: None,
                    stopped_until: Micros(0),
                    clock: (rng.next_u64() % 1_000_000_000, fast),
                    starts: 0,
                    active_rules: ActiveRules::Fallback,
                    stage: 0,
                }
            })
            .collect();
        let mut world = World {
            now: ms(1),
            hosts,
            rng,
            injected_fault,
            outgoing: BTreeMap::new(),
            next_word: 0,
            cut: BTreeSet::new(),
            lossy: 0,
            slowest: 4,
            clashes: BTreeMap::new(),
            longest_clash: (Micros(0), String::new()),
            broken: Vec::new(),
            passages: 0,
            replies: Vec::new(),
            most_words: 0,
            heard: BTreeMap::new(),
        };
        (0..count).for_each(|i| world.start(i));
        world
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
        let voters = self.hosts.iter().filter(|h| h.replica).count();
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
            clock_error: ERROR,
            election: ms(150),
            seed,
            started_with: rules(100.0, "repeatable"),
            injected_fault,
        };
        let found = host.replica.then(|| StoredReplica {
            state: match recover(&mut host.disk).expect("in memory") {
                Recovered::State(state) => Some(*state),
                Recovered::Nothing | Recovered::Damaged(_) => None,
            },
            segments: host.disk.segments().expect("in memory"),
        });
        let saved = host.replicated_state.as_ref().and_then(|b| Participant::read_saved(b).ok());
        let now = host.now(self.now);
        host.storing = None;
        host.agreement = Some(Participant::new(config, found, saved, 0, now));
        host.active_rules = ActiveRules::Fallback;
    }

    pub fn kill(&mut self, i: usize, power: bool) {
        let host = &mut self.hosts[i];
        if power {
            host.disk.lose_power()
        } else {
            host.disk.lose_process()
        }
        (host.agreement, host.storing, host.active_rules) = (None, None, ActiveRules::Fallback);
    }

    pub fn pause(&mut self, i: usize, wait: Micros) {
        self.hosts[i].stopped_until = self.now.after(wait);
    }

    pub fn isolate(&mut self, i: usize) {
        (0..self.count()).filter(|o| *o != i).for_each(|o| self.cut.extend([(i, o), (o, i)]));
    }

    /// An operator's word to every host that is up.
    pub fn operator_request(&mut self, operator_request: &OperatorRequest) {
        for i in 0..self.count() {
            let now = self.hosts[i].now(self.now);
            if self.hosts[i].stopped_until <= self.now
                && let Some(agreement) = &mut self.hosts[i].agreement
            {
                agreement.heard(OPERATOR, None, PeerMessage::OperatorRequest(operator_request.clone()), now);
            }
        }
    }

    pub fn propose(&mut self) {
        let limit = 2.0 + self.below(400) as f64;
        let effect = ["once", "repeatable"][self.below(2) as usize];
        let base = self.newest();
        let version = Version { rules: rules(limit, effect), by: "a test".into(), ..Version::default() };
        self.operator_request(&OperatorRequest::Propose(base, version));
    }

    /// The newest version in force that any host knows of.
    pub fn newest(&self) -> u64 {
        let books = self.hosts.iter().filter_map(|h| h.agreement.as_ref()?.replicated_state());
        books.map(|(_, b)| b.in_force.number).max().unwrap_or(0)
    }

    /// How many have a lease and act on the newest version alone.
    pub fn on_newest(&self) -> usize {
        let newest = self.newest();
        self.hosts.iter().filter(|h| newest > 0 && h.active_rules == ActiveRules::Version(newest)).count()
    }

    fn post(&mut self, from: usize, to: usize, back: bool, word: PeerMessage) {
        if self.cut.contains(&(from, to)) || self.below(1000) < self.lossy {
            return;
        }
        let wait = 200 + self.below(self.slowest * 1000);
        self.next_word += 1;
        self.outgoing.insert((self.now.after(Micros(wait)), self.next_word), (from, to, back, word));
    }

    fn turn(&mut self, i: usize) {
        let at = self.now;
        let host = &mut self.hosts[i];
        let now = host.now(at);
        let Some(agreement) = &mut host.agreement else { return };
        if host.stopped_until > at {
            return;
        }
        if let Some((_, batch)) = host.storing.take_if(|(done, _)| *done <= at) {
            let well = perform(&mut host.disk, &batch).is_ok();
            agreement.stored(well, now);
        }
        if agreement.wake(now) <= now {
            agreement.tick(now);
        }
        let passed = agreement.take_rules_change(now).is_some();
        host.active_rules = agreement.active_rules(now);
        if host.storing.is_none()
            && let Some(batch) = agreement.batch(now)
        {
            host.storing = Some((at.after(Micros(100 + self.rng.next_u64() % 2000)), batch));
        }
        if let Some(replicated_state) = agreement.take_unsaved() {
            host.replicated_state = Some(replicated_state);
        }
        let stage = agreement.replicated_state().map_or(0, |(_, b)| b.stage);
        if stage < host.stage {
            self.broken.push(format!("i{i} went back from stage {} to {stage}", host.stage));
        }
        host.stage = stage;
        self.passages += u64::from(passed);
        for (to, word) in agreement.take_outgoing() {
            match to {
                Destination::Peer(name) => self.post(i, Self::index(&name), false, word),
                Destination::Connection(OPERATOR) => {
                    if let PeerMessage::OperatorReply(reply) = word {
                        self.replies.push(reply);
                    }
                }
                Destination::Connection(conn) => self.post(i, conn as usize - 1, true, word),
            }
        }
    }

    /// Two contradict each other if no version allows what both act on.
    fn compare(&mut self) {
        let active = |h: &Host| h.agreement.is_some() && h.stopped_until <= self.now;
        let all: Vec<(usize, Vec<u64>)> = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, h)| active(h))
            .filter_map(|(i, h)| Some((i, allowed(h.active_rules)?)))
            .collect();
        let mut clash = BTreeSet::new();
        let groups: BTreeMap<Vec<u64>, usize> = all.iter().map(|(i, v)| (v.clone(), *i)).collect();
        // Hosts that act on the same are one.
        for (versions, i) in &groups {
            for (others, j) in &groups {
                if i < j && !versions.iter().any(|v| others.contains(v)) {
                    clash.insert((*i, *j));
                }
            }
        }
        self.clashes.retain(|pair, _| clash.contains(pair));
        for pair in clash {
            let since = *self.clashes.entry(pair).or_insert(self.now);
            let long = self.now.since(since).max(Micros(1));
            if long > self.longest_clash.0 {
                let (a, b) = (self.hosts[pair.0].active_rules, self.hosts[pair.1].active_rules);
                self.longest_clash = (long, format!("i{} on {a:?} and i{} on {b:?}", pair.0, pair.1));
            }
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now.after(time);
        loop {
            let wakes = self.hosts.iter().filter_map(|h| {
                let agreement = h.agreement.as_ref()?;
                let wake = h.when(agreement.wake(h.now(self.now)));
                let next = h.storing.as_ref().map_or(wake, |(done, _)| (*done).min(wake));
                Some(next.max(h.stopped_until))
            });
            let comes = self.outgoing.first_key_value().map(|((at, _), _)| *at);
            let Some(next) = wakes.chain(comes).min().filter(|next| *next <= end) else { break };
            self.now = next.max(Micros(self.now.0 + 1));
            while let Some(entry) = self.outgoing.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, back, word) = entry.remove();
                let host = &mut self.hosts[to];
                if host.stopped_until > self.now {
                    // It lies in the socket until the process goes on.
                    self.next_word += 1;
                    let then = Micros(host.stopped_until.0 + 1);
                    self.outgoing.insert((then, self.next_word), (from, to, back, word));
                    continue;
                }
                let now = host.now(self.now);
                if let Some(agreement) = &mut host.agreement {
                    agreement.heard(from as u64 + 1, Some(&Self::name(from)), word, now);
                }
                let heard = self.heard.entry((to, self.now.0 / 1_000_000)).or_default();
                *heard += 1;
                self.most_words = self.most_words.max(*heard);
            }
            (0..self.count()).for_each(|i| self.turn(i));
            self.compare();
            if !self.broken.is_empty() {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    /// All faults end, what is down starts, and a new version is agreed on; whether it gets into force everywhere.
    pub fn heal(&mut self) -> bool {
        self.cut.clear();
        (self.lossy, self.slowest) = (0, 4);
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
            if !self.broken.is_empty() {
                return false;
            }
        }
        false
    }

    pub fn tell(&self) -> String {
        let of = |h: &Host| match &h.agreement {
            Some(a) => format!("{:?}", a.report(h.now(self.now))),
            None => "down".into(),
        };
        self.hosts.iter().map(of).collect::<Vec<_>>().join("\n")
    }
}
