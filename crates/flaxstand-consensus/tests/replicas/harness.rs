//! A simulated cluster of replicas on virtual time. Disks lose or tear unsynced data, links drop, duplicate
//! and delay messages or are cut. The harness checks the messages and the committed entries: at most one vote
//! per replica and term, one leader per term, one change per log index.

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
    /// Batch that is being written, with its completion time.
    pending_write: Option<(Micros, Batch)>,
    /// The process is paused until this time.
    paused_until: Micros,
    /// State machine of the test: a hash of all committed changes, see `apply_change`.
    pub applied_state: Vec<u8>,
    applied_index: u64,
    start_count: u64,
}

pub struct Cluster {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub rng: Pcg64Mcg,
    injected_fault: InjectedFault,
    names: Vec<String>,
    /// Messages in flight by arrival time, then by send sequence number.
    messages: BTreeMap<(Micros, u64), Message>,
    message_seq: u64,
    /// Directed links that drop every message.
    pub cut: BTreeSet<(usize, usize)>,
    /// Number of messages per thousand that are lost. As many of the others are duplicated.
    pub loss_per_thousand: u32,
    pub max_delay_ms: u64,
    /// Candidate that each replica instance voted for, by term.
    votes: BTreeMap<(ReplicaId, u64), ReplicaId>,
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Committed change of each log index.
    pub committed: BTreeMap<u64, Vec<u8>>,
    /// Invariant violations.
    pub violations: Vec<String>,
    /// Number of proposals so far. Each proposal's payload is its number.
    pub proposal_count: u64,
    /// Replica instances that lost their promises: their disk was wiped or replaced by an older copy.
    pub lost_promises: BTreeSet<ReplicaId>,
}

/// Applies a change to the test's state machine, an FNV-1a hash over the indices and changes.
fn apply_change(state: &[u8], index: u64, change: &[u8]) -> Vec<u8> {
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
                pending_write: None,
                paused_until: Micros(0),
                applied_state: vec![0; 8],
                applied_index: 0,
                start_count: 0,
            })
            .collect();
        let mut cluster = Cluster {
            now: ms(1),
            nodes,
            rng: Pcg64Mcg::seed_from_u64(seed),
            injected_fault,
            names,
            messages: BTreeMap::new(),
            message_seq: 0,
            cut: BTreeSet::new(),
            loss_per_thousand: 0,
            max_delay_ms: 5,
            votes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
            proposal_count: 0,
            lost_promises: BTreeSet::new(),
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    /// Draws a number below `n`, or 0 if `n` is 0.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.rng.next_u64();
        let node = &mut self.nodes[at];
        node.start_count += 1;
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
        node.pending_write = None;
        node.replica = Some(Replica::start(config, recovered, segments, self.now));
    }

    /// Crashes the process. With `power_loss`, part of the unsynced data on its disk is lost as well.
    pub fn crash(&mut self, at: usize, power_loss: bool) {
        let node = &mut self.nodes[at];
        // The batch that is being written is cut off after a random operation.
        if let Some((_, batch)) = node.pending_write.take() {
            let crash_at_call = self.rng.next_u64() % 6;
            node.disk.set(Faults { crash_at_call: Some(crash_at_call), ..Faults::default() });
            let _ = perform(&mut node.disk, &batch);
        }
        if power_loss {
            node.disk.lose_power()
        } else {
            node.disk.crash_process()
        }
        node.replica = None;
    }

    /// Crashes the replica and replaces its disk by an empty one.
    pub fn wipe(&mut self, at: usize) {
        self.record_lost_promises(at);
        self.crash(at, true);
        self.nodes[at].disk = FaultyDisk::new(self.rng.next_u64());
    }

    /// Crashes the replica and replaces its disk by an older copy.
    pub fn restore_copy(&mut self, at: usize, old: FaultyDisk) {
        self.record_lost_promises(at);
        self.crash(at, true);
        self.nodes[at].disk = old;
    }

    fn record_lost_promises(&mut self, at: usize) {
        self.lost_promises.extend(self.nodes[at].replica.as_ref().map(|replica| replica.state().id.clone()));
    }

    /// Pauses the process: it neither runs nor receives.
    pub fn pause(&mut self, at: usize, duration: Micros) {
        self.nodes[at].paused_until = self.now.after(duration);
    }

    pub fn inject_disk_fault(&mut self, at: usize, full_at: Option<u64>, sync_fails_at: Option<u64>) {
        self.nodes[at].disk.set(Faults { capacity: full_at, sync_fails_at, crash_at_call: None });
    }

    /// Proposes the same change at every replica that considers itself the leader.
    pub fn propose(&mut self) {
        self.proposal_count += 1;
        let change = self.proposal_count.to_le_bytes().to_vec();
        for node in self.nodes.iter_mut().filter(|n| n.paused_until <= self.now) {
            if let Some(replica) = &mut node.replica {
                let _ = replica.propose(change.clone(), self.now);
            }
        }
    }

    /// Cuts the links between two replicas in both directions.
    pub fn cut_both(&mut self, a: usize, b: usize) {
        self.cut.extend([(a, b), (b, a)]);
    }

    /// Cuts all links from and to a replica.
    pub fn isolate(&mut self, at: usize) {
        (0..self.nodes.len()).filter(|o| *o != at).for_each(|o| self.cut_both(at, o));
    }

    fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| n == name).expect("the name of a replica in this cluster")
    }

    fn send(&mut self, message: Message) {
        self.check_promises(&message);
        let link = (self.index(&message.from.name), self.index(&message.to));
        if self.cut.contains(&link) || self.random_below(1000) < u64::from(self.loss_per_thousand) {
            return;
        }
        let copies = 1 + u64::from(self.random_below(1000) < u64::from(self.loss_per_thousand));
        for _ in 0..copies {
            let delay = 200 + self.random_below(self.max_delay_ms * 1000);
            self.message_seq += 1;
            self.messages.insert((self.now.after(Micros(delay)), self.message_seq), message.clone());
        }
    }

    /// Records a violation if a replica votes for two candidates in one term or if a term has two leaders.
    fn check_promises(&mut self, message: &Message) {
        match &message.body {
            MessageBody::VoteResponse { granted: true } => {
                let to = ReplicaId { name: message.to.clone(), instance: message.to_instance.unwrap_or(0) };
                let key = (message.from.clone(), message.term);
                match self.votes.insert(key, to.clone()) {
                    Some(before) if before != to => {
                        self.violations.push(format!(
                            "{:?} voted for {before:?} and {to:?} in term {}",
                            message.from, message.term
                        ));
                    }
                    _ => {}
                }
            }
            MessageBody::AppendRequest { .. } | MessageBody::InstallSnapshot { .. } => {
                match self.leaders.insert(message.term, message.from.clone()) {
                    Some(before) if before != message.from => {
                        self.violations.push(format!(
                            "two leaders in term {}: {before:?} and {:?}",
                            message.term, message.from
                        ));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// Runs one turn of a replica that is up and not paused.
    fn step(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else { return };
        if node.paused_until > now {
            return;
        }
        if let Some((_, batch)) = node.pending_write.take_if(|(done, _)| *done <= now) {
            let succeeded = perform(&mut node.disk, &batch).is_ok();
            replica.batch_stored(succeeded, now);
        }
        if replica.wake_at() <= now {
            replica.tick(now);
        }
        if node.pending_write.is_none()
            && let Some(batch) = replica.next_batch(now)
        {
            let write_duration = 100 + self.rng.next_u64() % 3000;
            node.pending_write = Some((now.after(Micros(write_duration)), batch));
        }
        for committed in replica.take_committed() {
            match committed {
                Committed::Snapshot { index, state } => {
                    (node.applied_index, node.applied_state) = (index, state)
                }
                Committed::Change { index, change } => {
                    if index <= node.applied_index {
                        self.violations.push(format!(
                            "index {index} delivered to k{at} after index {}",
                            node.applied_index
                        ));
                    }
                    (node.applied_index, node.applied_state) =
                        (index, apply_change(&node.applied_state, index, &change));
                    match self.committed.insert(index, change.clone()) {
                        Some(before) if before != change => {
                            self.violations.push(format!(
                                "two changes committed at index {index}: {before:?} and {change:?}"
                            ));
                        }
                        _ => {}
                    }
                }
            }
        }
        if replica.compactable_entries() > 8 {
            replica.compact(node.applied_state.clone());
        }
        let messages = replica.take_messages();
        messages.into_iter().for_each(|message| self.send(message));
    }

    /// Advances virtual time, or stops at the first violation.
    pub fn run(&mut self, time: Micros) {
        let end = self.now.after(time);
        loop {
            let wakes = self.nodes.iter().filter_map(|n| {
                let replica = n.replica.as_ref()?;
                let stored = n
                    .pending_write
                    .as_ref()
                    .map_or(replica.wake_at(), |(done, _)| (*done).min(replica.wake_at()));
                Some(stored.max(n.paused_until))
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
                if node.paused_until > self.now {
                    // The message waits in the socket buffer until the process resumes.
                    self.message_seq += 1;
                    let resumes_at = Micros(node.paused_until.0 + 1);
                    self.messages.insert((resumes_at, self.message_seq), message);
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

    /// Ends all faults and starts the replicas that are down. Returns whether, within 30 s, a new change
    /// is committed on every replica and every replica is a voter.
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
            let is_caught_up = self
                .nodes
                .iter()
                .all(|n| n.applied_index > target && n.applied_state == self.nodes[0].applied_state);
            let all_are_voters = self.nodes.iter().flat_map(|n| &n.replica).all(|replica| {
                replica.state().log.voters().len() == self.nodes.len()
                    && replica.state().log.voters().contains(&replica.state().id)
            });
            if is_caught_up && all_are_voters {
                return true;
            }
        }
        false
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |n: &Node| n.replica.as_ref().is_some_and(Replica::is_leader);
        let term = |n: &Node| n.replica.as_ref().map_or(0, |replica| replica.state().term);
        (0..self.nodes.len()).filter(|i| is_leader(&self.nodes[*i])).max_by_key(|i| term(&self.nodes[*i]))
    }

    /// Runs until there is a leader, for at most 8 s. Returns its index.
    pub fn run_until_leader(&mut self) -> usize {
        for _ in 0..400 {
            self.run(ms(20));
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!(
            "no leader after 8 s: {:?}",
            self.nodes
                .iter()
                .map(|n| n.replica.as_ref().map(|replica| replica.status(self.now)))
                .collect::<Vec<_>>()
        );
    }

    /// Returns whether all replicas are up and are voters of the newest committed configuration, and none of
    /// these instances lost promises.
    pub fn all_replicas_intact(&self) -> bool {
        let newest = self
            .nodes
            .iter()
            .flat_map(|n| &n.replica)
            .max_by_key(|replica| (replica.commit_index(), replica.state().term));
        let committed = newest.filter(|replica| replica.state().log.voters_index() <= replica.commit_index());
        let voters = committed.map_or(Vec::new(), |replica| replica.state().log.voters().to_vec());
        self.nodes.iter().all(|node| node.replica.is_some())
            && voters.len() == self.nodes.len()
            && !voters.iter().any(|voter| self.lost_promises.contains(voter))
    }
}
