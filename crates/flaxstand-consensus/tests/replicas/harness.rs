//! Replicas on virtual time, each with a disk that loses and tears what was not synced, between links that
//! lose, double, delay and cut. What they send is checked from outside: who was voted for, who led, what was
//! committed.

use flaxstand_consensus::{
    Committed, Config, InjectedFault, Message, MessageBody, Micros, RecoveredState, Replica, ReplicaId,
    recover,
};
use flaxstand_storage::faulty::{Faults, FaultyDisk};
use flaxstand_storage::{Batch, Storage as _, perform};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

pub struct Node {
    pub replica: Option<Replica>,
    pub disk: FaultyDisk,
    /// The batch that is being written, and when it is done.
    storing: Option<(Micros, Batch)>,
    /// A stopped process: it gets nothing done until then.
    stopped_until: Micros,
    /// What its owner made of all that was committed.
    pub owner: Vec<u8>,
    applied_index: u64,
    starts: u64,
}

pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub rng: Pcg64Mcg,
    injected_fault: InjectedFault,
    names: Vec<String>,
    /// In flight: when they arrive, a number that orders those of one moment, the message.
    messages: BTreeMap<(Micros, u64), Message>,
    next_message: u64,
    /// Directed links that pass nothing.
    pub cut: BTreeSet<(usize, usize)>,
    /// Of a thousand messages so many are lost, and so many come twice.
    pub loss_per_thousand: u32,
    pub max_delay_ms: u64,
    /// By instance and term: the candidate that it voted for.
    votes: BTreeMap<(ReplicaId, u64), ReplicaId>,
    /// By term: who led.
    leaders: BTreeMap<u64, ReplicaId>,
    /// By index: what was committed.
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// What was seen that must not be.
    pub violations: Vec<String>,
    pub proposed: u64,
    /// Replicas whose promises are gone: their disk was lost, or put back.
    pub lost: BTreeSet<ReplicaId>,
}

/// What an owner makes of a change: state and change, folded.
fn fold(state: &[u8], index: u64, change: &[u8]) -> Vec<u8> {
    let mut sum = u64::from_le_bytes(state.try_into().expect("eight bytes"));
    for byte in index.to_le_bytes().iter().chain(change) {
        sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    sum.to_le_bytes().to_vec()
}

impl Cluster {
    pub fn new(count: usize, seed: u64, injected_fault: InjectedFault) -> Cluster {
        let names: Vec<String> = (0..count).map(|i| format!("k{i}")).collect();
        let nodes = (0..count)
            .map(|i| Node {
                replica: None,
                disk: FaultyDisk::new(seed ^ (i as u64) << 40),
                storing: None,
                stopped_until: Micros(0),
                owner: vec![0; 8],
                applied_index: 0,
                starts: 0,
            })
            .collect();
        let mut cluster = Cluster {
            now: ms(1),
            nodes,
            rng: Pcg64Mcg::seed_from_u64(seed),
            injected_fault,
            names,
            messages: BTreeMap::new(),
            next_message: 0,
            cut: BTreeSet::new(),
            loss_per_thousand: 0,
            max_delay_ms: 5,
            votes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
            proposed: 0,
            lost: BTreeSet::new(),
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.rng.next_u64();
        let node = &mut self.nodes[at];
        node.starts += 1;
        let recovered = match recover(&mut node.disk).expect("in memory") {
            RecoveredState::Intact(state) => Some(*state),
            RecoveredState::Empty => None,
            RecoveredState::Damaged(_) => None,
        };
        let segments = node.disk.segments().expect("in memory");
        let config = Config {
            name: self.names[at].clone(),
            names: self.names.clone(),
            election_timeout: ms(150),
            heartbeat_interval: ms(30),
            seed,
            initial_state: vec![0; 8],
            injected_fault: self.injected_fault,
        };
        node.storing = None;
        node.replica = Some(Replica::start(config, recovered, segments, self.now));
    }

    /// The process dies; with `power`, so does the machine, and what was not synced is gone in part.
    pub fn kill(&mut self, at: usize, power: bool) {
        let node = &mut self.nodes[at];
        // A batch in flight is written in part.
        if let Some((_, batch)) = node.storing.take() {
            let dies = self.rng.next_u64() % 6;
            node.disk.set(Faults { crash_at_call: Some(dies), ..Faults::default() });
            let _ = perform(&mut node.disk, &batch);
        }
        if power {
            node.disk.lose_power()
        } else {
            node.disk.crash_process()
        }
        node.replica = None;
    }

    pub fn wipe(&mut self, at: usize) {
        self.record_lost(at);
        self.kill(at, true);
        self.nodes[at].disk = FaultyDisk::new(self.rng.next_u64());
    }

    /// Its folder is put back to an old copy.
    pub fn restore_copy(&mut self, at: usize, old: FaultyDisk) {
        self.record_lost(at);
        self.kill(at, true);
        self.nodes[at].disk = old;
    }

    fn record_lost(&mut self, at: usize) {
        self.lost.extend(self.nodes[at].replica.as_ref().map(|k| k.state().id.clone()));
    }

    pub fn pause(&mut self, at: usize, wait: Micros) {
        self.nodes[at].stopped_until = self.now.after(wait);
    }

    pub fn inject_disk_fault(&mut self, at: usize, full_at: Option<u64>, sync_fails_at: Option<u64>) {
        self.nodes[at].disk.set(Faults { capacity: full_at, sync_fails_at, crash_at_call: None });
    }

    /// Proposes a change at every replica that takes itself for the leader.
    pub fn propose(&mut self) {
        self.proposed += 1;
        let change = self.proposed.to_le_bytes().to_vec();
        for node in self.nodes.iter_mut().filter(|n| n.stopped_until <= self.now) {
            if let Some(replica) = &mut node.replica {
                let _ = replica.propose(change.clone(), self.now);
            }
        }
    }

    pub fn cut_both(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
    }

    pub fn isolate(&mut self, at: usize) {
        (0..self.nodes.len()).filter(|o| *o != at).for_each(|o| self.cut_both(at, o));
    }

    fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| n == name).expect("a replica's name")
    }

    fn send(&mut self, message: Message) {
        self.check_promises(&message);
        let link = (self.index(&message.from.name), self.index(&message.to));
        if self.cut.contains(&link) || self.below(1000) < u64::from(self.loss_per_thousand) {
            return;
        }
        let copies = 1 + u64::from(self.below(1000) < u64::from(self.loss_per_thousand));
        for _ in 0..copies {
            let wait = 200 + self.below(self.max_delay_ms * 1000);
            self.next_message += 1;
            self.messages.insert((self.now.after(Micros(wait)), self.next_message), message.clone());
        }
    }

    /// Guards against two votes of a replica in one term, and two leaders in one term.
    fn check_promises(&mut self, message: &Message) {
        match &message.body {
            MessageBody::VoteResponse { granted: true } => {
                let to = ReplicaId { name: message.to.clone(), instance: message.to_instance.unwrap_or(0) };
                let key = (message.from.clone(), message.term);
                match self.votes.insert(key, to.clone()) {
                    Some(before) if before != to => {
                        self.violations
                            .push(format!("{:?} voted twice in term {}", message.from, message.term));
                    }
                    _ => {}
                }
            }
            MessageBody::AppendRequest { .. } | MessageBody::InstallSnapshot { .. } => {
                match self.leaders.insert(message.term, message.from.clone()) {
                    Some(before) if before != message.from => {
                        self.violations.push(format!("two leaders in term {}", message.term));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// All that is due now at one replica.
    fn step(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else { return };
        if node.stopped_until > now {
            return;
        }
        if let Some((_, batch)) = node.storing.take_if(|(done, _)| *done <= now) {
            let succeeded = perform(&mut node.disk, &batch).is_ok();
            replica.batch_stored(succeeded, now);
        }
        if replica.wake_at() <= now {
            replica.tick(now);
        }
        if node.storing.is_none()
            && let Some(batch) = replica.next_batch(now)
        {
            let takes = 100 + self.rng.next_u64() % 3000;
            node.storing = Some((now.after(Micros(takes)), batch));
        }
        for committed in replica.take_committed() {
            match committed {
                Committed::Snapshot { index, state } => (node.applied_index, node.owner) = (index, state),
                Committed::Change { index, change } => {
                    if index <= node.applied_index {
                        self.violations
                            .push(format!("index {index} delivered again after {}", node.applied_index));
                    }
                    (node.applied_index, node.owner) = (index, fold(&node.owner, index, &change));
                    match self.committed.insert(index, change.clone()) {
                        Some(before) if before != change => {
                            self.violations.push(format!("two changes committed at index {index}"));
                        }
                        _ => {}
                    }
                }
            }
        }
        if replica.compactable_entries() > 8 {
            replica.compact(node.owner.clone());
        }
        let messages = replica.take_messages();
        messages.into_iter().for_each(|message| self.send(message));
    }

    /// Plays this much virtual time.
    pub fn run(&mut self, time: Micros) {
        let end = self.now.after(time);
        loop {
            let wakes = self.nodes.iter().filter_map(|n| {
                let replica = n.replica.as_ref()?;
                let stored =
                    n.storing.as_ref().map_or(replica.wake_at(), |(done, _)| (*done).min(replica.wake_at()));
                Some(stored.max(n.stopped_until))
            });
            let arrives = self.messages.first_key_value().map(|((at, _), _)| *at);
            let Some(next) = wakes.chain(arrives).min() else { break };
            if next > end {
                break;
            }
            self.now = next.max(Micros(self.now.0 + 1));
            let mut touched = BTreeSet::new();
            while let Some(entry) = self.messages.first_entry().filter(|e| e.key().0 <= self.now) {
                let message = entry.remove();
                let at = self.index(&message.to);
                touched.insert(at);
                let node = &mut self.nodes[at];
                if node.stopped_until > self.now {
                    // It lies in the socket until the process goes on.
                    self.next_message += 1;
                    let then = Micros(node.stopped_until.0 + 1);
                    self.messages.insert((then, self.next_message), message);
                } else if let Some(replica) = &mut node.replica {
                    replica.receive(message, self.now);
                }
            }
            (0..self.nodes.len()).for_each(|at| self.step(at));
            if !self.violations.is_empty() {
                break;
            }
        }
        self.now = self.now.max(end);
    }

    /// All faults end, what is down starts; goes on until a new change is committed everywhere, or gives up.
    pub fn heal(&mut self) -> bool {
        self.cut.clear();
        self.loss_per_thousand = 0;
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.set(Faults::default());
            if self.nodes[at].replica.is_none() {
                self.start(at);
            }
        }
        let target = self.committed.keys().next_back().copied().unwrap_or(0);
        for _ in 0..150 {
            self.run(ms(100));
            self.propose();
            self.run(ms(100));
            if !self.violations.is_empty() {
                return false;
            }
            let is_level =
                self.nodes.iter().all(|n| n.applied_index > target && n.owner == self.nodes[0].owner);
            let is_settled = self.nodes.iter().flat_map(|n| &n.replica).all(|k| {
                k.state().log.voters().len() == self.nodes.len()
                    && k.state().log.voters().contains(&k.state().id)
            });
            if is_level && is_settled {
                return true;
            }
        }
        false
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.replica.as_ref().is_some_and(Replica::is_leader);
        let term = |n: &Node| n.replica.as_ref().map_or(0, |k| k.state().term);
        (0..self.nodes.len()).filter(|i| leads(&self.nodes[*i])).max_by_key(|i| term(&self.nodes[*i]))
    }

    /// Goes on until a replica leads.
    pub fn run_until_led(&mut self) -> usize {
        for _ in 0..400 {
            self.run(ms(20));
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!(
            "no replica leads: {:?}",
            self.nodes.iter().map(|n| n.replica.as_ref().map(|k| k.status(self.now))).collect::<Vec<_>>()
        );
    }

    /// Whether all are up, and the newest voters are all replicas, with none whose promises are gone.
    pub fn intact(&self) -> bool {
        let newest =
            self.nodes.iter().flat_map(|n| &n.replica).max_by_key(|k| (k.commit_index(), k.state().term));
        let committed = newest.filter(|replica| replica.state().log.voters_index() <= replica.commit_index());
        let voters = committed.map_or(Vec::new(), |replica| replica.state().log.voters().to_vec());
        self.nodes.iter().all(|node| node.replica.is_some())
            && voters.len() == self.nodes.len()
            && !voters.iter().any(|voter| self.lost.contains(voter))
    }
}
