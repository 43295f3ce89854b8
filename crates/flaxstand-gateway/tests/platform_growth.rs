//! Resources that an initiator on the platform's wire needs as its targets grow from 200 to 3,200 and 25,000
//! under the same load, measured by counters in virtual time: connections, bytes of the list, nodes visited,
//! allocations, log lines, memory, and the share of requests that are served.

#[path = "harness/counting_allocator.rs"]
mod counting_allocator;
#[path = "harness/full_lists.rs"]
mod full_lists;
mod harness;
#[path = "harness/line_counter.rs"]
mod line_counter;

use counting_allocator::{CountingAllocator, allocations, live_bytes, peak_bytes, reset_peak};
use flaxstand::api::ListScope;
use flaxstand_gateway::core::{Config, Core};
use flaxstand_gateway::machine::{ConnId, Machine as _, Micros};
use flaxstand_platform::Listing;
use full_lists::{full_listing, listed_address, target_json};
use harness::*;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const FEW: u64 = 200;
const SIXTEEN_TIMES: u64 = 16 * FEW;
const MANY: u64 = 25_000;
/// Number of clients; each has at most one request in flight.
const CLIENTS: usize = 60;
/// Time between two requests in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 10;
/// Duration of a simulation in milliseconds.
const DURATION_MS: u64 = 20_000;
/// One request in this many is for a new object, which may go to any target.
const NEW_OBJECT_EVERY: u64 = 3;
/// Number of shards whose data is read, the same for any number of targets.
const SHARDS_IN_USE: u64 = FEW;
/// Time between two list changes in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 2_000;
const MIB: f64 = (1 << 20) as f64;

fn site_config(targets: u64) -> Config {
    let mut config = platform_config(2_500);
    config.bounds.max_endpoints = targets as usize + 10;
    config.site.settings.may_probe = true;
    config
}

/// Resources used during a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ResourceUse {
    dialled: usize,
    connections_peak: usize,
    list_bytes: usize,
    nodes_visited: u64,
    connections_walked: u64,
    allocations: u64,
    submitted: u64,
    served: u64,
    peak_bytes: usize,
    /// Processor time of the core's turns in microseconds. Printed but not checked: it differs between hosts.
    processor_us: u64,
}

impl ResourceUse {
    fn served_share(&self) -> f64 {
        self.served as f64 / self.submitted as f64
    }
}

/// An initiator with simulated clients, targets and a list service that behave the same for any number of
/// targets.
struct Simulation {
    world: Harness,
    idle_clients: VecDeque<ConnId>,
    busy_clients: BTreeMap<ConnId, usize>,
    /// Number of bytes processed of the core's output on each connection to a target.
    bytes_processed: BTreeMap<ConnId, usize>,
    answers_due: BTreeSet<(Micros, ConnId)>,
    /// Number of bytes processed of the core's output to the list service.
    list_bytes_processed: usize,
    /// When the pending long poll of the list ends, if there is one.
    long_poll_ends: Option<Micros>,
    changes: u64,
    change_due: Micros,
    usage: ResourceUse,
}

impl Simulation {
    fn new(targets: u64) -> Self {
        let mut world = Harness::new(site_config(targets), 0);
        for target in 0..targets {
            let address = listed_address(target).parse().expect("a valid address");
            world.connect_outcomes.insert(address, ConnectOutcome::Welcomes(target));
        }
        let list = full_listing(targets, 2);
        reset_peak();
        let conn = world.list_conn();
        world.answer(conn, "200 OK", &list);
        world.run(5);
        assert_eq!(world.core.footprint().nodes as u64, targets);
        let idle_clients = (0..CLIENTS).map(|_| world.http_client()).collect();
        let change_due = world.now.after(ms(CHANGE_INTERVAL_MS));
        let usage = ResourceUse { list_bytes: list.len(), ..ResourceUse::default() };
        Simulation {
            world,
            idle_clients,
            busy_clients: BTreeMap::new(),
            bytes_processed: BTreeMap::new(),
            answers_due: BTreeSet::new(),
            list_bytes_processed: 0,
            long_poll_ends: None,
            changes: 0,
            change_due,
            usage,
        }
    }

    fn run(mut self, shard_of: impl Fn(u64) -> i64) -> ResourceUse {
        let before = (self.world.core.counts(), allocations());
        for elapsed_ms in 0..DURATION_MS {
            if elapsed_ms.is_multiple_of(REQUEST_INTERVAL_MS) {
                self.submit(shard_of(self.usage.submitted));
            }
            let began = thread_time_us();
            self.world.run(1);
            self.usage.processor_us += thread_time_us() - began;
            self.process_target_requests();
            self.send_due_answers();
            self.serve_list();
            self.process_answers();
            self.usage.connections_peak =
                self.usage.connections_peak.max(self.world.core.footprint().connections);
        }
        let counts = self.world.core.counts();
        self.usage.dialled = self.world.connect_attempts.len();
        self.usage.nodes_visited = counts.nodes_visited - before.0.nodes_visited;
        self.usage.connections_walked = counts.connections_walked - before.0.connections_walked;
        self.usage.allocations = allocations() - before.1;
        self.usage.peak_bytes = peak_bytes();
        self.usage
    }

    fn submit(&mut self, shard: i64) {
        let id = self.usage.submitted;
        self.usage.submitted += 1;
        let Some(client) = self.idle_clients.pop_front() else { return };
        self.busy_clients.insert(client, self.world.sent_text_on(client).len());
        self.world.send_bytes(client, http_request(&format!("r{id}"), "read", shard, "1.000").as_bytes());
    }

    /// Targets answer each request after some milliseconds of service time.
    fn process_target_requests(&mut self) {
        let (now, list) = (self.world.now, self.world.list_conn());
        for conn in self.world.connected.keys().filter(|conn| **conn != list) {
            let output = self.world.sent_text_on(*conn);
            let bytes_processed = self.bytes_processed.entry(*conn).or_default();
            if output.len() > *bytes_processed {
                *bytes_processed = output.len();
                let service_time = ms(4 + (conn.0 * 7919 + now.0 / 1000) % 9);
                self.answers_due.insert((now.after(service_time), *conn));
            }
        }
    }

    fn send_due_answers(&mut self) {
        while let Some((at, conn)) = self.answers_due.first().copied().filter(|(at, _)| *at <= self.world.now)
        {
            self.answers_due.remove(&(at, conn));
            if !self.world.closed.contains(&conn) {
                self.world.answer(conn, "200 OK", "data");
            }
        }
    }

    /// The targets in use drain and return to service one after the other. Only changes are sent.
    fn serve_list(&mut self) {
        let conn = self.world.list_conn();
        if self.world.sent_text_on(conn).len() > self.list_bytes_processed {
            self.list_bytes_processed = self.world.sent_text_on(conn).len();
            self.long_poll_ends =
                Some(self.world.now.after(requested_long_poll(self.world.sent_text_on(conn))));
        }
        let (now, Some(ends)) = (self.world.now, self.long_poll_ends) else { return };
        let changed = if now >= self.change_due {
            let state = if self.changes.is_multiple_of(2) { "draining" } else { "up" };
            let target = (self.changes / 2 * 37) % SHARDS_IN_USE;
            (self.changes, self.change_due) =
                (self.changes + 1, self.change_due.after(ms(CHANGE_INTERVAL_MS)));
            target_json(target, state)
        } else if now >= ends {
            String::new()
        } else {
            return;
        };
        let list = format!(r#"{{"rev":{},"all":false,"targets":[{changed}]}}"#, 2 + self.changes);
        self.long_poll_ends = None;
        self.usage.list_bytes += list.len();
        self.world.answer(conn, "200 OK", &list);
    }

    fn process_answers(&mut self) {
        let final_answer = |(client, before): (&ConnId, &usize)| {
            let text = &self.world.sent_text_on(*client)[*before..];
            (!text.is_empty()).then(|| (*client, text.starts_with("HTTP/1.1 200")))
        };
        let answered: Vec<(ConnId, bool)> = self.busy_clients.iter().filter_map(final_answer).collect();
        for (client, served) in answered {
            self.busy_clients.remove(&client);
            self.idle_clients.push_back(client);
            self.usage.served += u64::from(served);
        }
    }
}

/// The long-poll time-out that the last list request asked for.
fn requested_long_poll(output: &str) -> Micros {
    let timeout = output.rsplit("timeout_ms=").next().and_then(|rest| rest.split(' ').next());
    ms(timeout.and_then(|timeout| timeout.parse().ok()).expect("a long poll with a time-out"))
}

/// Processor time of this thread so far, in microseconds.
fn thread_time_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Shard of a request: reads of the same data, regardless of the number of targets.
fn reads(request: u64) -> i64 {
    (request * 31 % SHARDS_IN_USE) as i64
}

/// The same with requests for new objects (shard -1) in between.
fn reads_and_new_objects(request: u64) -> i64 {
    if request.is_multiple_of(NEW_OBJECT_EVERY) { -1 } else { reads(request) }
}

fn simulate(targets: u64, shard_of: fn(u64) -> i64) -> ResourceUse {
    let usage = Simulation::new(targets).run(shard_of);
    println!("{targets} targets: {usage:?}");
    usage
}

fn thousands(targets: u64) -> f64 {
    targets as f64 / 1000.0
}

fn assert_connections_within_bounds(few: ResourceUse, many: ResourceUse) {
    let dialled = (few.dialled, many.dialled);
    assert!(dialled.1 as f64 <= 2.5 * dialled.0 as f64 + 40.0, "connections opened: {dialled:?}");
    let peak = (few.connections_peak, many.connections_peak);
    assert!(peak.1 <= 2 * peak.0 + 40, "peak of open connections: {peak:?}");
}

fn assert_list_memory_and_served_share_within_bounds(few: ResourceUse, many: ResourceUse, targets: u64) {
    let list_bytes = 2.0 * few.list_bytes as f64 + 65_536.0 + 500_000.0 * thousands(targets);
    assert!(many.list_bytes as f64 <= list_bytes, "{} bytes of list answers", many.list_bytes);
    let peak_bytes = 1.5 * few.peak_bytes as f64 + 8.0 * MIB + 4.0 * MIB * thousands(targets);
    assert!(many.peak_bytes as f64 <= peak_bytes, "{} bytes of memory at the peak", many.peak_bytes);
    assert!(few.served_share() > 0.95, "served {} of {} requests", few.served, few.submitted);
    assert!(
        many.served_share() >= 0.85 * few.served_share(),
        "served {} of {} requests",
        many.served,
        many.submitted
    );
}

/// Processor work, by counters: it grows with requests and changes, not with targets.
fn assert_work_within_bounds(few: ResourceUse, many: ResourceUse) {
    assert!(
        many.nodes_visited as f64 <= 1.4 * few.nodes_visited as f64,
        "{} nodes visited",
        many.nodes_visited
    );
    assert_eq!(many.connections_walked, few.connections_walked);
    assert!(many.allocations as f64 <= 1.4 * few.allocations as f64, "{} allocations", many.allocations);
}

#[test]
fn the_same_reads_among_many_more_targets_need_hardly_more_resources() {
    let few = simulate(FEW, reads);
    for targets in [SIXTEEN_TIMES, MANY] {
        let many = simulate(targets, reads);
        assert_connections_within_bounds(few, many);
        assert_list_memory_and_served_share_within_bounds(few, many, targets);
        assert_work_within_bounds(few, many);
    }
}

#[test]
fn new_objects_among_sixteen_times_the_targets_need_hardly_more_besides_connections() {
    let few = simulate(FEW, reads_and_new_objects);
    let many = simulate(SIXTEEN_TIMES, reads_and_new_objects);
    assert_list_memory_and_served_share_within_bounds(few, many, SIXTEEN_TIMES);
    assert_work_within_bounds(few, many);
}

#[test]
fn new_objects_among_sixteen_times_the_targets_need_hardly_more_connections() {
    let few = simulate(FEW, reads_and_new_objects);
    let many = simulate(SIXTEEN_TIMES, reads_and_new_objects);
    assert_connections_within_bounds(few, many);
}

/// Memory held by the core and the decision module for each listed target.
#[test]
fn a_listed_target_holds_less_than_four_kilobytes() {
    const MAX_BYTES_PER_TARGET: f64 = 4.0 * MIB / 1000.0;
    for targets in [FEW, SIXTEEN_TIMES, MANY] {
        let text = full_listing(targets, 2);
        let before = live_bytes();
        reset_peak();
        let mut core = core_with_targets(targets, &text);
        let now = ms(1_000_001);
        core.settle(now);
        drop(core.take_commands());
        let (held, peak) = (live_bytes() - before, peak_bytes() - before);
        println!("{targets} targets: {held} bytes held, {peak} at the peak");
        assert!(
            (held as f64) < MAX_BYTES_PER_TARGET * targets as f64 + 1.0 * MIB,
            "{held} bytes for {targets} targets"
        );
        assert!(
            (peak as f64) < MAX_BYTES_PER_TARGET * targets as f64 + 8.0 * MIB,
            "{peak} bytes at the peak"
        );
    }
}

fn core_with_targets(targets: u64, text: &str) -> Core {
    let mut core =
        Core::new(site_config(targets), None, ms(1_000_000)).expect("the core starts without a saved list");
    let listing: Listing = serde_json::from_str(text).expect("a valid list");
    core.apply_platform_listing(ListScope::Full, &listing, ms(1_000_000));
    core
}

/// Cost of a target's drain and its return to service.
#[derive(Clone, Copy, Debug)]
struct ChangeCost {
    visited: u64,
    walked: u64,
    lines: u64,
    allocations: u64,
}

/// A change costs the same for any number of listed targets: nodes visited, connections walked, allocations,
/// log lines.
#[test]
fn a_change_costs_the_same_among_200_as_among_25_000_targets() {
    let change = |targets: u64| {
        let mut core = core_with_targets(targets, &full_listing(targets, 2));
        core.settle(ms(1_000_001));
        drop(core.take_commands());
        let parse_change = |state: &str| -> Listing {
            let text = format!(r#"{{"rev":3,"all":false,"targets":[{}]}}"#, target_json(7, state));
            serde_json::from_str(&text).expect("a valid list")
        };
        let (draining, up) = (parse_change("draining"), parse_change("up"));
        let before = (core.counts(), allocations());
        let lines = line_counter::log_lines_during(|| {
            core.apply_platform_listing(ListScope::Changes, &draining, ms(1_000_010));
            core.settle(ms(1_000_020));
            core.apply_platform_listing(ListScope::Changes, &up, ms(1_000_030));
            core.settle(ms(1_000_040));
        });
        let counts = core.counts();
        let visited = counts.nodes_visited - before.0.nodes_visited;
        let walked = counts.connections_walked - before.0.connections_walked;
        ChangeCost { visited, walked, lines, allocations: allocations() - before.1 }
    };
    let few = change(FEW);
    println!("cost of a drain and a return among {FEW} targets: {few:?}");
    for targets in [SIXTEEN_TIMES, MANY] {
        let many = change(targets);
        println!("cost of a drain and a return among {targets} targets: {many:?}");
        assert_eq!((many.visited, many.walked, many.lines), (few.visited, few.walked, few.lines));
        assert!(
            many.allocations <= few.allocations + few.allocations / 4 + 8,
            "{few:?} with {FEW} targets, {many:?} with {targets}"
        );
    }
    assert!(few.visited < 30 && few.walked == 0 && few.lines <= 4, "{few:?}");
}
