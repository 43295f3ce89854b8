//! Explicit-state model checking of three replicas with a bounded number of timeouts, crashes, proposals and
//! messages in flight. The search explores every interleaving of deliveries, losses, timeouts and crashes
//! (before or after the pending write is durable) within the bounds. It runs the production replica code and
//! counts the distinct states.

use flaxstand_consensus::{
    Config, DurableState, Entry, InjectedFault, Message, MessageBody, Micros, Replica, ReplicaId, Snapshot,
};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const ELECTION: Micros = Micros(100_000);

/// Remaining number of events of each kind, and the bound on messages in flight.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    timeouts: u32,
    crashes: u32,
    changes: u32,
    /// Maximum number of messages in flight. Further messages are dropped.
    messages: usize,
}

#[derive(Clone)]
struct Model {
    replicas: Vec<Replica>,
    disks: Vec<DurableState>,
    clocks: Vec<Micros>,
    messages: Vec<Message>,
    budget: Budget,
    /// Leader of each term.
    leaders: BTreeMap<u64, String>,
    /// Committed entry of each log index.
    committed: BTreeMap<u64, Entry>,
    /// Candidate that each replica voted for, by replica name and term.
    votes: BTreeMap<(String, u64), String>,
}

fn member(i: usize) -> ReplicaId {
    ReplicaId { name: format!("k{i}"), instance: 1 + i as u64 }
}

fn start(i: usize, state: DurableState, seed: u64, injected_fault: InjectedFault, now: Micros) -> Replica {
    let config = Config {
        name: member(i).name,
        names: (0..3).map(|i| member(i).name).collect(),
        election_timeout: ELECTION,
        heartbeat_interval: Micros(20_000),
        seed,
        initial_state: Vec::new(),
        injected_fault,
    };
    Replica::start(config, Some(state), Vec::new(), now)
}

impl Model {
    fn new(budget: Budget, injected_fault: InjectedFault) -> Model {
        let voters: Vec<ReplicaId> = (0..3).map(member).collect();
        let mut model = Model {
            replicas: Vec::new(),
            disks: Vec::new(),
            clocks: vec![Micros(1_000_000); 3],
            messages: Vec::new(),
            budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            votes: BTreeMap::new(),
        };
        for i in 0..3 {
            let mut state = DurableState::new(member(i), Default::default());
            (state.cluster_id, state.term) = (9, 1);
            state.log.snapshot = Snapshot { index: 1, term: 1, voters: voters.clone(), state: Vec::new() };
            model.replicas.push(start(i, state.clone(), i as u64, injected_fault, model.clocks[i]));
            model.disks.push(state);
        }
        // Completes start-up: each replica learns from the others that they saw no later incarnation of it.
        for i in 0..3 {
            model.replicas[i].tick(model.clocks[i]);
            model.complete_step(i, false).expect("start-up violates no invariant");
        }
        while let Some(message) = model.messages.pop() {
            model.deliver(&message, false).expect("start-up violates no invariant");
            model.messages.retain(|message| {
                matches!(message.body, MessageBody::IncarnationRequest | MessageBody::IncarnationResponse(_))
            });
        }
        model
    }

    /// Completes a step of replica `i`: stores its batches, queues its messages and checks the invariants.
    /// With `crash_before_durable`, the replica crashes before its batches are durable.
    fn complete_step(&mut self, i: usize, crash_before_durable: bool) -> Result<(), String> {
        let now = self.clocks[i];
        if !crash_before_durable {
            while self.replicas[i].next_batch(now).is_some() {
                self.disks[i] = self.replicas[i].state().clone();
                self.replicas[i].batch_stored(true, now);
            }
        }
        for message in self.replicas[i].take_messages() {
            if let MessageBody::VoteResponse { granted: true } = message.body
                && let Some(before) =
                    self.votes.insert((message.from.name.clone(), message.term), message.to.clone())
                && before != message.to
            {
                return Err(format!(
                    "{} voted for {before} and {} in term {}",
                    message.from.name, message.to, message.term
                ));
            }
            if let MessageBody::AppendRequest { .. } = message.body {
                let leader = self.leaders.entry(message.term).or_insert_with(|| message.from.name.clone());
                if *leader != message.from.name {
                    return Err(format!(
                        "two leaders in term {}: {leader} and {}",
                        message.term, message.from.name
                    ));
                }
            }
            if self.messages.len() < self.budget.messages {
                self.messages.push(message);
            }
        }
        self.replicas[i].take_committed();
        let log = &self.replicas[i].state().log;
        for index in 2..=self.replicas[i].commit_index() {
            let entry = log.entry(index).expect("the log is never compacted in this model");
            let first = self.committed.entry(index).or_insert_with(|| entry.clone());
            if first != entry {
                return Err(format!("two entries committed at index {index}: {first:?} and {entry:?}"));
            }
        }
        Ok(())
    }

    fn deliver(&mut self, message: &Message, crash_before_durable: bool) -> Result<(), String> {
        let i: usize = message.to[1..].parse().expect("replica name ends in its index");
        self.replicas[i].receive(message.clone(), self.clocks[i]);
        self.complete_step(i, crash_before_durable)
    }

    /// Restarts replica `i` from its durable state.
    fn crash(&mut self, i: usize, injected_fault: InjectedFault) {
        self.budget.crashes -= 1;
        let seed = 100 + u64::from(self.budget.crashes);
        self.replicas[i] = start(i, self.disks[i].clone(), seed, injected_fault, self.clocks[i]);
    }

    /// Returns every successor state, or the invariant that the transition violates.
    fn successors(&self, injected_fault: InjectedFault) -> Vec<Result<Model, String>> {
        let mut successors = Vec::new();
        let crash_choices: &[bool] = if self.budget.crashes > 0 { &[false, true] } else { &[false] };
        for crash_before_durable in crash_choices.iter().copied() {
            for index in 0..self.messages.len() {
                let mut model = self.clone();
                let message = model.messages.swap_remove(index);
                let to: usize = message.to[1..].parse().expect("replica name ends in its index");
                let outcome = model.deliver(&message, crash_before_durable);
                if crash_before_durable {
                    model.crash(to, injected_fault);
                }
                successors.push(outcome.map(|()| model));
            }
            for i in 0..3 {
                if self.budget.timeouts > 0 {
                    let mut model = self.clone();
                    model.budget.timeouts -= 1;
                    model.clocks[i] = model.clocks[i].after(Micros(ELECTION.0 * 3));
                    let now = model.clocks[i];
                    model.replicas[i].tick(now);
                    let outcome = model.complete_step(i, crash_before_durable);
                    if crash_before_durable {
                        model.crash(i, injected_fault);
                    }
                    successors.push(outcome.map(|()| model));
                }
                if self.budget.changes > 0 && self.replicas[i].is_leader() {
                    let mut model = self.clone();
                    model.budget.changes -= 1;
                    let _ = model.replicas[i].propose(vec![model.budget.changes as u8], model.clocks[i]);
                    let outcome = model.complete_step(i, crash_before_durable);
                    if crash_before_durable {
                        model.crash(i, injected_fault);
                    }
                    successors.push(outcome.map(|()| model));
                }
            }
        }
        successors
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for i in 0..3 {
            self.replicas[i].search_key(self.clocks[i]).hash(&mut hasher);
            format!("{:?}", self.disks[i]).hash(&mut hasher);
        }
        // Leaves out `sent_at` and `request_sent_at`, which differ between otherwise equal states.
        let mut messages: Vec<String> = self
            .messages
            .iter()
            .map(|message| match &message.body {
                MessageBody::AppendRequest { prev_index, prev_term, entries, commit_index, .. } => {
                    let prev = (prev_index, prev_term);
                    format!(
                        "{} {} {} {prev:?} {entries:?} {commit_index}",
                        message.from.name, message.to, message.term
                    )
                }
                MessageBody::AppendAccepted { match_index, .. } => {
                    format!("{} {} {} accepted {match_index}", message.from.name, message.to, message.term)
                }
                MessageBody::AppendRejected { match_index, .. } => {
                    format!("{} {} {} rejected {match_index}", message.from.name, message.to, message.term)
                }
                other => format!("{} {} {} {other:?}", message.from.name, message.to, message.term),
            })
            .collect();
        messages.sort();
        (messages, self.budget).hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores the states within a budget breadth first, at most `max_states` of them. Returns the number of
/// distinct states and the largest number of committed entries, or the first violation.
fn search(
    budget: Budget,
    injected_fault: InjectedFault,
    max_states: usize,
) -> Result<(usize, usize), String> {
    let first = Model::new(budget, injected_fault);
    let mut visited = HashSet::from([first.fingerprint()]);
    let mut frontier = VecDeque::from([first]);
    let mut committed = 0;
    while let Some(state) = frontier.pop_front() {
        for successor in state.successors(injected_fault) {
            let successor = successor?;
            committed = committed.max(successor.committed.len());
            if visited.len() < max_states && visited.insert(successor.fingerprint()) {
                frontier.push_back(successor);
            }
        }
    }
    Ok((visited.len(), committed))
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn no_reachable_state_has_two_leaders_in_a_term_or_two_entries_at_an_index() {
    let budget = Budget {
        timeouts: env_or("FLAXSTAND_TIMEOUTS", 2) as u32,
        crashes: env_or("FLAXSTAND_CRASHES", 1) as u32,
        changes: env_or("FLAXSTAND_CHANGES", 1) as u32,
        messages: env_or("FLAXSTAND_LETTERS", 3) as usize,
    };
    let max_states = env_or("FLAXSTAND_STATES", 60_000) as usize;
    let (states, committed) =
        search(budget, InjectedFault::None, max_states).unwrap_or_else(|e| panic!("{e}"));
    println!("{budget:?}: {states} distinct states, at most {committed} committed entries");
    assert!(
        states > 10_000 && committed > 0,
        "explored only {states} states with at most {committed} committed entries"
    );
}

#[test]
fn the_search_detects_an_injected_fault() {
    let budget = Budget { timeouts: 3, crashes: 0, changes: 0, messages: 4 };
    // Either an assertion in the replica fails, or two entries are committed at one index.
    let outcome = std::panic::catch_unwind(|| search(budget, InjectedFault::StaleLogElected, 400_000));
    assert!(!matches!(outcome, Ok(Ok(_))), "the injected fault was not detected: {outcome:?}");
}
