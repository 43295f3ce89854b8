//! Cost of events by the number of listed nodes, for the module and its reference. Times are only printed, by
//! tests that are ignored unless requested:
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

/// Numbers of listed nodes and of nodes in use.
const SIZES: [(u32, u32); 7] =
    [(30, 30), (100, 100), (300, 100), (1000, 100), (3000, 100), (25_000, 100), (25_000, 0)];
/// Number of rounds. Each figure is the minimum of the means of all rounds; every round measures all sizes in
/// turn.
const ROUNDS: u32 = 15;
/// Minimum duration of a round.
const MIN_ROUND_DURATION: Duration = Duration::from_millis(20);
/// Latency of each served request and interval between requests, ms.
const LATENCY: Millis = 3.0;
/// Interval between evaluations, ms: so short that nodes in use stay in use.
const EVALUATION_STEP: Millis = 0.01;
/// Initial time of the clock, ms.
const START_TIME: Millis = 100_000.0;

/// A module with `listed` nodes of known service times, `used` of which received requests recently.
struct Bench<M> {
    module: M,
    now: Millis,
    next_id: u64,
    listed: u32,
    used: u32,
    actions: Vec<Action>,
}

impl<M: Module> Bench<M> {
    fn new(listed: u32, used: u32) -> Self {
        let module = M::start(settings(), 7, START_TIME);
        let mut bench = Bench { module, now: START_TIME, next_id: 0, listed, used, actions: Vec::new() };
        let entries = (0..listed).map(|node| bench.entry(node)).collect();
        bench.handle(Event::EndpointList(ListScope::Full, entries));
        bench.handle(Event::Evaluate);
        for _ in 0..2 * used {
            bench.request_to_shard();
        }
        bench
    }

    fn entry(&self, node: u32) -> NodeEntry {
        // One node in twenty is slow enough to be capped in the mean service time.
        let service_time = Some(if node % 20 == 7 { 15.0 } else { 2.0 + f64::from(node % 101) / 100.0 });
        NodeEntry { size: 1.0 + f64::from(node % 3), service_time, ..entry(node, Readiness::Serving, None) }
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.module.handle_event(event, self.now, &mut self.actions);
    }

    fn evaluate(&mut self) {
        self.now += EVALUATION_STEP;
        self.handle(Event::Evaluate);
    }

    /// Runs one request: arrival, evaluation, end, evaluation. Cycles through the shards of the nodes in use.
    fn request_to_shard(&mut self) {
        let shard = self.next_id % u64::from(self.used.max(1));
        self.request(Some(shard as i64));
    }

    fn new_object(&mut self) {
        self.request(None);
    }

    fn request(&mut self, shard: Option<i64>) {
        let id = self.next_id;
        self.next_id += 1;
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

    /// Restarts the last listed node: one changed entry, then an evaluation.
    fn changed_entry(&mut self) {
        self.now += EVALUATION_STEP;
        let started_at = Some(self.now);
        let changed = NodeEntry { started_at, ..self.entry(self.listed - 1) };
        self.handle(Event::EndpointList(ListScope::Changes, vec![changed]));
        self.handle(Event::Evaluate);
    }

    /// Delivers the full list again, then evaluates.
    fn full_list(&mut self) {
        self.now += EVALUATION_STEP;
        let entries = (0..self.listed).map(|node| self.entry(node)).collect();
        self.handle(Event::EndpointList(ListScope::Full, entries));
        self.handle(Event::Evaluate);
    }

    /// Returns the mean time of one call over a round, in microseconds.
    fn mean_time_us(&mut self, operation: fn(&mut Self)) -> f64 {
        let (started, mut count) = (Instant::now(), 0);
        while started.elapsed() < MIN_ROUND_DURATION {
            operation(self);
            count += 1;
        }
        started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    }
}

/// Returns the minimum mean time of a call at each size, in microseconds.
fn min_times_us<M: Module>(operation: fn(&mut Bench<M>)) -> Vec<f64> {
    let mut benches: Vec<Bench<M>> = SIZES.iter().map(|(listed, used)| Bench::new(*listed, *used)).collect();
    let mut min_times_so_far = vec![f64::INFINITY; SIZES.len()];
    for _ in 0..ROUNDS {
        for (bench, min_time) in benches.iter_mut().zip(&mut min_times_so_far) {
            *min_time = bench.mean_time_us(operation).min(*min_time);
        }
    }
    min_times_so_far
}

fn print_costs<M: Module>() {
    let evaluations = min_times_us::<M>(Bench::evaluate);
    let requests = min_times_us::<M>(Bench::request_to_shard);
    let changes = min_times_us::<M>(Bench::changed_entry);
    let objects = min_times_us::<M>(Bench::new_object);
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
fn cost_of_the_reference() {
    print_costs::<plain::scheduler::Scheduler>();
}

#[test]
#[ignore = "a measurement"]
fn cost_of_the_module() {
    print_costs::<Scheduler>();
}

#[test]
#[ignore = "a measurement"]
fn cost_of_full_lists() {
    let (plain, module) = (
        min_times_us::<plain::scheduler::Scheduler>(Bench::full_list),
        min_times_us::<Scheduler>(Bench::full_list),
    );
    println!("full list and an evaluation, us; listed, in use: plain, indexed");
    for (at, (listed, used)) in SIZES.iter().enumerate() {
        println!("| {listed} | {used} | {:.1} | {:.1} |", plain[at], module[at]);
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_an_evaluation_by_number_of_known_volumes() {
    println!("evaluation with 100 nodes in use, us; known volumes: indexed");
    for volumes in [1, 1000, 10_000] {
        let mut bench = Bench::<Scheduler>::new(100, 100);
        for volume in 0..volumes {
            let arrival =
                Arrival { volume: VolumeId(volume), ..arrival(volume + 1_000_000, Some(0), bench.now) };
            bench.handle(Event::RequestArrived(arrival));
            bench.handle(Event::ClientDisconnected(RequestId(volume + 1_000_000)));
        }
        let min_time = (0..ROUNDS).map(|_| bench.mean_time_us(Bench::evaluate)).fold(f64::INFINITY, f64::min);
        println!("| {volumes} | {min_time:.2} |");
    }
}

/// Returns the resident memory of this process, bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm can be read");
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second field of /proc/self/statm is a number") * 4096
}

fn print_memory<M: Module>() {
    let (listed, modules) = (25_000, 8);
    let before = resident_bytes();
    let benches: Vec<_> = (0..modules).map(|_| Bench::<M>::new(listed, 0)).collect();
    let bytes_per_node = (resident_bytes() - before) / (benches.len() as u64 * u64::from(listed));
    println!("{}: {bytes_per_node} bytes of resident memory per listed node", M::NAME);
}

/// Must run alone, so that freed memory of other tests is not reused.
#[test]
#[ignore = "a measurement"]
fn memory_of_the_reference() {
    print_memory::<plain::scheduler::Scheduler>();
}

/// Must run alone, so that freed memory of other tests is not reused.
#[test]
#[ignore = "a measurement"]
fn memory_of_the_module() {
    print_memory::<Scheduler>();
}
