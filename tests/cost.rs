//! What events cost against the number of listed nodes, for the module and its reference. Times are only
//! printed, by tests that run when asked for:
//!
//!     cargo test --release -p flaxstand --test cost -- --ignored --nocapture --test-threads=1

mod common;
#[path = "common/module.rs"]
mod module;
mod plain;

use common::{arrival, entry, settings};
use flaxstand::api;
use flaxstand::api::*;
use flaxstand::scheduler::Scheduler;
use module::Module;
use std::time::{Duration, Instant};

/// Listed nodes, and how many of them are in use.
const SIZES: [(u32, u32); 7] =
    [(30, 30), (100, 100), (300, 100), (1000, 100), (3000, 100), (25_000, 100), (25_000, 0)];
/// Each figure is the least mean of so many rounds; in each round all sizes take their turn.
const ROUNDS: u32 = 15;
/// How long one round goes on, at least.
const ROUND: Duration = Duration::from_millis(20);
/// Latency of each served request, ms, and the time between two of them.
const LATENCY: Millis = 3.0;
/// Time from one evaluation to the next, ms: short, so that nodes in use stay so.
const STEP: Millis = 0.01;
/// Start of the clock, ms.
const START: Millis = 100_000.0;

/// A module that knows `listed` nodes and their service times, `used` of which were sent to recently.
struct Bench<M> {
    module: M,
    now: Millis,
    next: u64,
    listed: u32,
    used: u32,
    actions: Vec<Action>,
}

impl<M: Module> Bench<M> {
    fn new(listed: u32, used: u32) -> Self {
        let module = M::start(settings(), 7, START);
        let mut bench = Bench { module, now: START, next: 0, listed, used, actions: Vec::new() };
        let entries = (0..listed).map(|node| bench.entry(node)).collect();
        bench.handle(Event::EndpointList(ListScope::Full, entries));
        bench.handle(Event::Evaluate);
        for _ in 0..2 * used {
            bench.request_to_shard();
        }
        bench
    }

    fn entry(&self, node: u32) -> NodeEntry {
        // One in twenty is slow, beyond what the mean service time counts in full.
        let service_time = Some(if node % 20 == 7 { 15.0 } else { 2.0 + f64::from(node % 101) / 100.0 });
        NodeEntry { size: 1.0 + f64::from(node % 3), service_time, ..entry(node, Readiness::Serving, None) }
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.module.handle_event(event, self.now, &mut self.actions);
    }

    fn evaluate(&mut self) {
        self.now += STEP;
        self.handle(Event::Evaluate);
    }

    /// Arrival, evaluation, end, evaluation; the shards of the nodes in use take turns.
    fn request_to_shard(&mut self) {
        let shard = self.next % u64::from(self.used.max(1));
        self.request(Some(shard as i64));
    }

    fn new_object(&mut self) {
        self.request(None);
    }

    fn request(&mut self, shard: Option<i64>) {
        let id = self.next;
        self.next += 1;
        self.now += LATENCY;
        self.handle(Event::RequestArrived(arrival(id, shard, self.now + 1500.0)));
        self.handle(Event::Evaluate);
        assert!(self.actions.iter().any(|a| matches!(a, Action::Send { .. })), "{:?}", self.actions);
        let (request, attempt) = (RequestId(id), AttemptNo(0));
        let outcome = Outcome::Served;
        self.now += LATENCY;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency: LATENCY,
            is_final: true,
        }));
        self.handle(Event::Evaluate);
    }

    /// The last listed node restarts: one changed entry, then an evaluation.
    fn changed_entry(&mut self) {
        self.now += STEP;
        let started_at = Some(self.now);
        let changed = NodeEntry { started_at, ..self.entry(self.listed - 1) };
        self.handle(Event::EndpointList(ListScope::Changes, vec![changed]));
        self.handle(Event::Evaluate);
    }

    /// The full list again, then an evaluation.
    fn whole_list(&mut self) {
        self.now += STEP;
        let entries = (0..self.listed).map(|node| self.entry(node)).collect();
        self.handle(Event::EndpointList(ListScope::Full, entries));
        self.handle(Event::Evaluate);
    }

    /// Mean time of one call over a round, in microseconds.
    fn time(&mut self, call: fn(&mut Self)) -> f64 {
        let (begun, mut calls) = (Instant::now(), 0);
        while begun.elapsed() < ROUND {
            call(self);
            calls += 1;
        }
        begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    }
}

/// The least mean time of a call at each size, in microseconds.
fn min_times<M: Module>(call: fn(&mut Bench<M>)) -> Vec<f64> {
    let mut benches: Vec<Bench<M>> = SIZES.iter().map(|(listed, used)| Bench::new(*listed, *used)).collect();
    let mut least = vec![f64::INFINITY; SIZES.len()];
    for _ in 0..ROUNDS {
        for (bench, least) in benches.iter_mut().zip(&mut least) {
            *least = bench.time(call).min(*least);
        }
    }
    least
}

fn print_costs<M: Module>() {
    let evaluations = min_times::<M>(Bench::evaluate);
    let requests = min_times::<M>(Bench::request_to_shard);
    let changes = min_times::<M>(Bench::changed_entry);
    let objects = min_times::<M>(Bench::new_object);
    println!(
        "{}: us per call; listed, in use: evaluation, request to a shard, changed entry, new object",
        M::NAME
    );
    for (at, (listed, used)) in SIZES.iter().enumerate() {
        let (evaluation, request, change, object) = (evaluations[at], requests[at], changes[at], objects[at]);
        println!("| {listed} | {used} | {evaluation:.2} | {request:.2} | {change:.2} | {object:.2} |");
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_the_plain_version() {
    print_costs::<plain::scheduler::Scheduler>();
}

#[test]
#[ignore = "a measurement"]
fn cost_of_the_module() {
    print_costs::<Scheduler>();
}

#[test]
#[ignore = "a measurement"]
fn cost_of_whole_lists() {
    let (plain, module) = (
        min_times::<plain::scheduler::Scheduler>(Bench::whole_list),
        min_times::<Scheduler>(Bench::whole_list),
    );
    println!("full list and an evaluation, us; listed, in use: plain, indexed");
    for (at, (listed, used)) in SIZES.iter().enumerate() {
        println!("| {listed} | {used} | {:.1} | {:.1} |", plain[at], module[at]);
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_an_evaluation_by_volumes_ever_seen() {
    println!("evaluation with 100 nodes in use, us; volumes ever seen: indexed");
    for volumes in [1, 1000, 10_000] {
        let mut bench = Bench::<Scheduler>::new(100, 100);
        for volume in 0..volumes {
            let arrival =
                Arrival { volume: VolumeId(volume), ..arrival(volume + 1_000_000, Some(0), bench.now) };
            bench.handle(Event::RequestArrived(arrival));
            bench.handle(Event::ClientDisconnected(RequestId(volume + 1_000_000)));
        }
        let least = (0..ROUNDS).map(|_| bench.time(Bench::evaluate)).fold(f64::INFINITY, f64::min);
        println!("| {volumes} | {least:.2} |");
    }
}

/// Resident memory of this process, bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux tells a process its memory");
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second figure is a number") * 4096
}

fn print_memory<M: Module>() {
    let (listed, modules) = (25_000, 8);
    let before = resident();
    let kept: Vec<_> = (0..modules).map(|_| Bench::<M>::new(listed, 0)).collect();
    let each = (resident() - before) / (kept.len() as u64 * u64::from(listed));
    println!("{}: {each} bytes of resident memory for each listed node", M::NAME);
}

/// Run alone, so that no freed memory is reused.
#[test]
#[ignore = "a measurement"]
fn memory_of_the_plain_version() {
    print_memory::<plain::scheduler::Scheduler>();
}

/// Run alone, so that no freed memory is reused.
#[test]
#[ignore = "a measurement"]
fn memory_of_the_module() {
    print_memory::<Scheduler>();
}
