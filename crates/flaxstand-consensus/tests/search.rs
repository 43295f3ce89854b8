//! An exhaustive search of a small model: three keepers, two changes, bounded timeouts, crashes and messages in flight.
//! Every order of deliveries, losses, timeouts and crashes (before or after the disk took what they wait for) within
//! the bounds is walked, on the keepers themselves; the states seen are counted.

use flaxstand_consensus::{
    Config, EntryPayload, InjectedFault, Message, MessageBody, Micros, Replica, ReplicaId, Snapshot, State,
};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const ELECTION: Micros = Micros(100_000);

/// What may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    timeouts: u32,
    crashes: u32,
    changes: u32,
    /// Messages in flight, most: one more is lost.
    messages: usize,
}

#[derive(Clone)]
struct World {
    voters: Vec<Replica>,
    disks: Vec<State>,
    clocks: Vec<Micros>,
    messages: Vec<Message>,
    budget: Budget,
    /// By term: who led; by index: what was agreed on.
    leaders: BTreeMap<u64, String>,
    agreed: BTreeMap<u64, (u64, EntryPayload)>,
    votes: BTreeMap<(String, u64), String>,
}

fn member(i: usize) -> ReplicaId {
    ReplicaId { name: format!("k{i}"), instance: 1 + i as u64 }
}

fn start(i: usize, state: State, seed: u64, injected_fault: InjectedFault, now: Micros) -> Replica {
    let config = Config {
        name: member(i).name,
        names: (0..3).map(|i| member(i).name).collect(),
        election: ELECTION,
        heartbeat: Micros(20_000),
        seed,
        initial_state: Vec::new(),
        injected_fault,
    };
    Replica::start(config, Some(state), Vec::new(), now)
}

impl World {
    fn new(budget: Budget, injected_fault: InjectedFault) -> World {
        let electorate: Vec<ReplicaId> = (0..3).map(member).collect();
        let mut w = World {
            voters: Vec::new(),
            disks: Vec::new(),
            clocks: vec![Micros(1_000_000); 3],
            messages: Vec::new(),
            budget,
            leaders: BTreeMap::new(),
            agreed: BTreeMap::new(),
            votes: BTreeMap::new(),
        };
        for i in 0..3 {
            let mut state = State::fresh(member(i), Default::default());
            (state.cluster, state.term) = (9, 1);
            state.log.snapshot =
                Snapshot { index: 1, term: 1, electorate: electorate.clone(), state: Vec::new() };
            w.voters.push(start(i, state.clone(), i as u64, injected_fault, w.clocks[i]));
            w.disks.push(state);
        }
        // All have just started, and each hears that nobody knows more of it.
        for i in 0..3 {
            w.voters[i].tick(w.clocks[i]);
            w.settle(i, false).expect("nothing is broken yet");
        }
        while let Some(message) = w.messages.pop() {
            w.deliver(&message, false).expect("nothing is broken yet");
            w.messages.retain(|l| matches!(l.body, MessageBody::AskLife | MessageBody::LifeSeen(_)));
        }
        w
    }

    /// What a keeper leads to: batches stored, messages sent, what it shows; or it dies before its disk has it.
    fn settle(&mut self, i: usize, dies: bool) -> Result<(), String> {
        let now = self.clocks[i];
        if !dies {
            while self.voters[i].batch(now).is_some() {
                self.disks[i] = self.voters[i].state().clone();
                self.voters[i].stored(true, now);
            }
        }
        for message in self.voters[i].take_messages() {
            if let MessageBody::Voted(true) = message.body
                && let Some(before) =
                    self.votes.insert((message.from.name.clone(), message.term), message.to.clone())
                && before != message.to
            {
                return Err(format!("{} voted twice in term {}", message.from.name, message.term));
            }
            if let MessageBody::Append { .. } = message.body {
                let led = self.leaders.entry(message.term).or_insert_with(|| message.from.name.clone());
                if *led != message.from.name {
                    return Err(format!("two leaders in term {}", message.term));
                }
            }
            if self.messages.len() < self.budget.messages {
                self.messages.push(message);
            }
        }
        self.voters[i].take_agreed();
        let log = &self.voters[i].state().log;
        for index in 2..=self.voters[i].committed() {
            let entry = log.entry(index).expect("no compaction here");
            let is = (entry.term, entry.what.clone());
            let was = self.agreed.entry(index).or_insert_with(|| is.clone());
            if *was != is {
                return Err(format!("two entries agreed on at index {index}"));
            }
        }
        Ok(())
    }

    fn deliver(&mut self, message: &Message, dies: bool) -> Result<(), String> {
        let i: usize = message.to[1..].parse().expect("a keeper's name");
        self.voters[i].receive(message.clone(), self.clocks[i]);
        self.settle(i, dies)
    }

    /// It dies and starts again with what its disk has.
    fn crash(&mut self, i: usize, injected_fault: InjectedFault) {
        self.budget.crashes -= 1;
        let seed = 100 + u64::from(self.budget.crashes);
        self.voters[i] = start(i, self.disks[i].clone(), seed, injected_fault, self.clocks[i]);
    }

    /// Every state that can follow.
    fn next(&self, injected_fault: InjectedFault) -> Vec<Result<World, String>> {
        let mut all = Vec::new();
        let ways: &[bool] = if self.budget.crashes > 0 { &[false, true] } else { &[false] };
        for dies in ways.iter().copied() {
            for at in 0..self.messages.len() {
                let mut w = self.clone();
                let message = w.messages.swap_remove(at);
                let to: usize = message.to[1..].parse().expect("a keeper's name");
                let done = w.deliver(&message, dies);
                if dies {
                    w.crash(to, injected_fault);
                }
                all.push(done.map(|()| w));
            }
            for i in 0..3 {
                if self.budget.timeouts > 0 {
                    let mut w = self.clone();
                    w.budget.timeouts -= 1;
                    w.clocks[i] = w.clocks[i].after(Micros(ELECTION.0 * 3));
                    let now = w.clocks[i];
                    w.voters[i].tick(now);
                    let done = w.settle(i, dies);
                    if dies {
                        w.crash(i, injected_fault);
                    }
                    all.push(done.map(|()| w));
                }
                if self.budget.changes > 0 && self.voters[i].leads() {
                    let mut w = self.clone();
                    w.budget.changes -= 1;
                    let _ = w.voters[i].propose(vec![w.budget.changes as u8], w.clocks[i]);
                    let done = w.settle(i, dies);
                    if dies {
                        w.crash(i, injected_fault);
                    }
                    all.push(done.map(|()| w));
                }
            }
        }
        all
    }

    fn key(&self) -> u64 {
        let mut h = DefaultHasher::new();
        for i in 0..3 {
            self.voters[i].essence(self.clocks[i]).hash(&mut h);
            format!("{:?}", self.disks[i]).hash(&mut h);
        }
        // Stamps are moments.
        let mut messages: Vec<String> = self
            .messages
            .iter()
            .map(|l| match &l.body {
                MessageBody::Append { prev, entries, commit, .. } => {
                    format!("{} {} {} {prev:?} {entries:?} {commit}", l.from.name, l.to, l.term)
                }
                MessageBody::Held(upto, _) => format!("{} {} {} held {upto}", l.from.name, l.to, l.term),
                MessageBody::Missing(upto, _) => {
                    format!("{} {} {} missing {upto}", l.from.name, l.to, l.term)
                }
                other => format!("{} {} {} {other:?}", l.from.name, l.to, l.term),
            })
            .collect();
        messages.sort();
        (messages, self.budget).hash(&mut h);
        h.finish()
    }
}

/// Walks all states within a budget, or as many as `most`. How many there were, and how many entries were agreed on
/// at most; or the first thing that is broken.
fn search(budget: Budget, injected_fault: InjectedFault, most: usize) -> Result<(usize, usize), String> {
    let first = World::new(budget, injected_fault);
    let mut seen = HashSet::from([first.key()]);
    let mut open = VecDeque::from([first]);
    let mut agreed = 0;
    while let Some(world) = open.pop_front() {
        for next in world.next(injected_fault) {
            let next = next?;
            agreed = agreed.max(next.agreed.len());
            if seen.len() < most && seen.insert(next.key()) {
                open.push_back(next);
            }
        }
    }
    Ok((seen.len(), agreed))
}

fn told(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn no_state_within_the_bounds_breaks_the_log() {
    let budget = Budget {
        timeouts: told("FLAXSTAND_TIMEOUTS", 2) as u32,
        crashes: told("FLAXSTAND_CRASHES", 1) as u32,
        changes: told("FLAXSTAND_CHANGES", 1) as u32,
        messages: told("FLAXSTAND_LETTERS", 3) as usize,
    };
    let most = told("FLAXSTAND_STATES", 60_000) as usize;
    let (states, agreed) = search(budget, InjectedFault::None, most).unwrap_or_else(|e| panic!("{e}"));
    println!("{budget:?}: {states} states, at most {agreed} entries agreed on");
    assert!(states > 10_000 && agreed > 0, "{states} states, {agreed} entries");
}

#[test]
fn a_planted_fault_is_found() {
    let budget = Budget { timeouts: 3, crashes: 0, changes: 0, messages: 4 };
    // An assertion of the keepers' own, or two entries at one index.
    let found = std::panic::catch_unwind(|| search(budget, InjectedFault::OlderLogElected, 400_000));
    assert!(!matches!(found, Ok(Ok(_))), "{found:?}");
}
