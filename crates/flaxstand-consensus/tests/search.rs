//! An exhaustive search of a small model: three replicas, two changes, bounded timeouts, crashes and messages
//! in flight. Every order of deliveries, losses, timeouts and crashes (before or after the disk took what
//! they wait for) within the bounds is walked, on the replicas themselves; the states seen are counted.

use flaxstand_consensus::{
    Config, DurableState, Entry, InjectedFault, Message, MessageBody, Micros, Replica, ReplicaId, Snapshot,
};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const ELECTION: Micros = Micros(100_000);

/// How much may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    timeouts: u32,
    crashes: u32,
    changes: u32,
    /// Most messages in flight: one more is lost.
    messages: usize,
}

#[derive(Clone)]
struct Model {
    replicas: Vec<Replica>,
    disks: Vec<DurableState>,
    clocks: Vec<Micros>,
    messages: Vec<Message>,
    budget: Budget,
    /// By term: who led.
    leaders: BTreeMap<u64, String>,
    /// By index: what was committed.
    committed: BTreeMap<u64, Entry>,
    /// By name and term: the candidate voted for.
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
        // All have just started, and each is told that no later incarnation of it was seen.
        for i in 0..3 {
            model.replicas[i].tick(model.clocks[i]);
            model.complete_step(i, false).expect("nothing is violated yet");
        }
        while let Some(message) = model.messages.pop() {
            model.deliver(&message, false).expect("nothing is violated yet");
            model.messages.retain(|l| {
                matches!(l.body, MessageBody::IncarnationRequest | MessageBody::IncarnationResponse(_))
            });
        }
        model
    }

    /// What follows from a step of a replica: batches stored, messages sent, what they show; or it dies
    /// before its disk has it.
    fn complete_step(&mut self, i: usize, dies: bool) -> Result<(), String> {
        let now = self.clocks[i];
        if !dies {
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
                return Err(format!("{} voted twice in term {}", message.from.name, message.term));
            }
            if let MessageBody::AppendRequest { .. } = message.body {
                let led = self.leaders.entry(message.term).or_insert_with(|| message.from.name.clone());
                if *led != message.from.name {
                    return Err(format!("two leaders in term {}", message.term));
                }
            }
            if self.messages.len() < self.budget.messages {
                self.messages.push(message);
            }
        }
        self.replicas[i].take_committed();
        let log = &self.replicas[i].state().log;
        for index in 2..=self.replicas[i].commit_index() {
            let entry = log.entry(index).expect("no compaction here");
            let first = self.committed.entry(index).or_insert_with(|| entry.clone());
            if first != entry {
                return Err(format!("two entries committed at index {index}"));
            }
        }
        Ok(())
    }

    fn deliver(&mut self, message: &Message, dies: bool) -> Result<(), String> {
        let i: usize = message.to[1..].parse().expect("a replica's name");
        self.replicas[i].receive(message.clone(), self.clocks[i]);
        self.complete_step(i, dies)
    }

    /// It dies and starts again with what its disk has.
    fn crash(&mut self, i: usize, injected_fault: InjectedFault) {
        self.budget.crashes -= 1;
        let seed = 100 + u64::from(self.budget.crashes);
        self.replicas[i] = start(i, self.disks[i].clone(), seed, injected_fault, self.clocks[i]);
    }

    /// Every state that can follow.
    fn next(&self, injected_fault: InjectedFault) -> Vec<Result<Model, String>> {
        let mut all = Vec::new();
        let ways: &[bool] = if self.budget.crashes > 0 { &[false, true] } else { &[false] };
        for dies in ways.iter().copied() {
            for at in 0..self.messages.len() {
                let mut model = self.clone();
                let message = model.messages.swap_remove(at);
                let to: usize = message.to[1..].parse().expect("a replica's name");
                let done = model.deliver(&message, dies);
                if dies {
                    model.crash(to, injected_fault);
                }
                all.push(done.map(|()| model));
            }
            for i in 0..3 {
                if self.budget.timeouts > 0 {
                    let mut model = self.clone();
                    model.budget.timeouts -= 1;
                    model.clocks[i] = model.clocks[i].after(Micros(ELECTION.0 * 3));
                    let now = model.clocks[i];
                    model.replicas[i].tick(now);
                    let done = model.complete_step(i, dies);
                    if dies {
                        model.crash(i, injected_fault);
                    }
                    all.push(done.map(|()| model));
                }
                if self.budget.changes > 0 && self.replicas[i].is_leader() {
                    let mut model = self.clone();
                    model.budget.changes -= 1;
                    let _ = model.replicas[i].propose(vec![model.budget.changes as u8], model.clocks[i]);
                    let done = model.complete_step(i, dies);
                    if dies {
                        model.crash(i, injected_fault);
                    }
                    all.push(done.map(|()| model));
                }
            }
        }
        all
    }

    fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        for i in 0..3 {
            self.replicas[i].search_key(self.clocks[i]).hash(&mut h);
            format!("{:?}", self.disks[i]).hash(&mut h);
        }
        // Stamps are moments.
        let mut messages: Vec<String> = self
            .messages
            .iter()
            .map(|l| match &l.body {
                MessageBody::AppendRequest { prev_index, prev_term, entries, commit_index, .. } => {
                    let prev = (prev_index, prev_term);
                    format!("{} {} {} {prev:?} {entries:?} {commit_index}", l.from.name, l.to, l.term)
                }
                MessageBody::AppendAccepted { match_index, .. } => {
                    format!("{} {} {} accepted {match_index}", l.from.name, l.to, l.term)
                }
                MessageBody::AppendRejected { match_index, .. } => {
                    format!("{} {} {} rejected {match_index}", l.from.name, l.to, l.term)
                }
                other => format!("{} {} {} {other:?}", l.from.name, l.to, l.term),
            })
            .collect();
        messages.sort();
        (messages, self.budget).hash(&mut h);
        h.finish()
    }
}

/// Walks all states within a budget, or as many as `max_states`. Returns how many there were, and how many
/// entries were committed at most; or the first violation.
fn search(
    budget: Budget,
    injected_fault: InjectedFault,
    max_states: usize,
) -> Result<(usize, usize), String> {
    let first = Model::new(budget, injected_fault);
    let mut seen = HashSet::from([first.key()]);
    let mut open = VecDeque::from([first]);
    let mut committed = 0;
    while let Some(world) = open.pop_front() {
        for next in world.next(injected_fault) {
            let next = next?;
            committed = committed.max(next.committed.len());
            if seen.len() < max_states && seen.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    Ok((seen.len(), committed))
}

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn no_state_within_the_bounds_has_two_leaders_or_two_entries_at_an_index() {
    let budget = Budget {
        timeouts: variable("FLAXSTAND_TIMEOUTS", 2) as u32,
        crashes: variable("FLAXSTAND_CRASHES", 1) as u32,
        changes: variable("FLAXSTAND_CHANGES", 1) as u32,
        messages: variable("FLAXSTAND_LETTERS", 3) as usize,
    };
    let max_states = variable("FLAXSTAND_STATES", 60_000) as usize;
    let (states, committed) =
        search(budget, InjectedFault::None, max_states).unwrap_or_else(|e| panic!("{e}"));
    println!("{budget:?}: {states} states, at most {committed} entries committed");
    assert!(states > 10_000 && committed > 0, "{states} states, {committed} entries");
}

#[test]
fn an_injected_fault_is_found() {
    let budget = Budget { timeouts: 3, crashes: 0, changes: 0, messages: 4 };
    // An assertion of the replicas' own, or two entries at one index.
    let found = std::panic::catch_unwind(|| search(budget, InjectedFault::StaleLogElected, 400_000));
    assert!(!matches!(found, Ok(Ok(_))), "{found:?}");
}
