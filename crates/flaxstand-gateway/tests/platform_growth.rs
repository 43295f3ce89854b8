//! What an initiator on the platform needs as its targets grow from 200 to 3,200 and 25,000 under the same load,
//! by counts on virtual time: connections, bytes of the list, nodes looked at, allocations, log lines, memory,
//! and the share that is served.

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
/// Clients that ask one request at a time each.
const CLIENTS: usize = 60;
/// Milliseconds between two requests.
const PAUSE_MS: u64 = 10;
/// How long a site plays.
const PLAY_MS: u64 = 20_000;
/// Every so many requests one is for a new object, which may go to any target.
const NEW_OBJECT_EVERY: u64 = 3;
/// Shards that hold the data that is read, however many there are.
const SHARDS_IN_USE: u64 = FEW;
/// Milliseconds between two changes of the list.
const CHANGE_MS: u64 = 2_000;
const MIB: f64 = (1 << 20) as f64;

fn site_config(targets: u64) -> Config {
    let mut config = platform_config(2_500);
    config.bounds.max_endpoints = targets as usize + 10;
    config.site.settings.may_probe = true;
    config
}

/// What a site needed while it played.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Needs {
    dialled: usize,
    connections_peak: usize,
    list_bytes: usize,
    nodes_visited: u64,
    connections_walked: u64,
    allocations: u64,
    asked: u64,
    served: u64,
    peak_bytes: usize,
    /// Microseconds in which the core had its turns. Told, and held to nothing: it differs by machine.
    processor_us: u64,
}

impl Needs {
    fn served_share(&self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

/// An initiator between clients, targets and a list service that play the same whatever the number of targets.
struct Site {
    world: Harness,
    free: VecDeque<ConnId>,
    busy: BTreeMap<ConnId, usize>,
    /// Bytes that have been looked at of what the core wrote on a connection to a target.
    read: BTreeMap<ConnId, usize>,
    answers_due: BTreeSet<(Micros, ConnId)>,
    /// Bytes that have been looked at of what the core wrote to the list service.
    list_read: usize,
    /// A call of the list waits, until then at most.
    watch_ends: Option<Micros>,
    changes: u64,
    change_due: Micros,
    needs: Needs,
}

impl Site {
    fn new(targets: u64) -> Self {
        let mut world = Harness::new(site_config(targets), 0);
        for target in 0..targets {
            let address = listed_address(target).parse().expect("an address");
            world.connect_outcomes.insert(address, ConnectOutcome::Welcomes(target));
        }
        let list = full_listing(targets, 2);
        reset_peak();
        let conn = world.list_conn();
        world.answer(conn, "200 OK", &list);
        world.run(5);
        assert_eq!(world.core.footprint().nodes as u64, targets);
        let free = (0..CLIENTS).map(|_| world.http_client()).collect();
        let change_due = world.now.after(ms(CHANGE_MS));
        let needs = Needs { list_bytes: list.len(), ..Needs::default() };
        Site {
            world,
            free,
            busy: BTreeMap::new(),
            read: BTreeMap::new(),
            answers_due: BTreeSet::new(),
            list_read: 0,
            watch_ends: None,
            changes: 0,
            change_due,
            needs,
        }
    }

    fn play(mut self, shard_of: impl Fn(u64) -> i64) -> Needs {
        let before = (self.world.core.counts(), allocations());
        for passed in 0..PLAY_MS {
            if passed.is_multiple_of(PAUSE_MS) {
                self.ask(shard_of(self.needs.asked));
            }
            let began = thread_time_us();
            self.world.run(1);
            self.needs.processor_us += thread_time_us() - began;
            self.read_targets();
            self.answer_due();
            self.serve_list();
            self.take_answers();
            self.needs.connections_peak =
                self.needs.connections_peak.max(self.world.core.footprint().connections);
        }
        let counts = self.world.core.counts();
        self.needs.dialled = self.world.connect_attempts.len();
        self.needs.nodes_visited = counts.nodes_visited - before.0.nodes_visited;
        self.needs.connections_walked = counts.connections_walked - before.0.connections_walked;
        self.needs.allocations = allocations() - before.1;
        self.needs.peak_bytes = peak_bytes();
        self.needs
    }

    fn ask(&mut self, shard: i64) {
        let id = self.needs.asked;
        self.needs.asked += 1;
        let Some(client) = self.free.pop_front() else { return };
        self.busy.insert(client, self.world.sent_text_on(client).len());
        self.world.send_bytes(client, http_request(&format!("r{id}"), "read", shard, "1.000").as_bytes());
    }

    /// A target answers each request after some milliseconds of work.
    fn read_targets(&mut self) {
        let (now, list) = (self.world.now, self.world.list_conn());
        for conn in self.world.connected.keys().filter(|conn| **conn != list) {
            let heard = self.world.sent_text_on(*conn);
            let read = self.read.entry(*conn).or_default();
            if heard.len() > *read {
                *read = heard.len();
                let work = ms(4 + (conn.0 * 7919 + now.0 / 1000) % 9);
                self.answers_due.insert((now.after(work), *conn));
            }
        }
    }

    fn answer_due(&mut self) {
        while let Some((at, conn)) = self.answers_due.first().copied().filter(|(at, _)| *at <= self.world.now)
        {
            self.answers_due.remove(&(at, conn));
            if !self.world.closed.contains(&conn) {
                self.world.answer(conn, "200 OK", "data");
            }
        }
    }

    /// One target after the other of those in use drains and comes back. Only changes are told.
    fn serve_list(&mut self) {
        let conn = self.world.list_conn();
        if self.world.sent_text_on(conn).len() > self.list_read {
            self.list_read = self.world.sent_text_on(conn).len();
            self.watch_ends = Some(self.world.now.after(asked_wait(self.world.sent_text_on(conn))));
        }
        let (now, Some(ends)) = (self.world.now, self.watch_ends) else { return };
        let changed = if now >= self.change_due {
            let state = if self.changes.is_multiple_of(2) { "draining" } else { "up" };
            let target = (self.changes / 2 * 37) % SHARDS_IN_USE;
            (self.changes, self.change_due) = (self.changes + 1, self.change_due.after(ms(CHANGE_MS)));
            target_json(target, state)
        } else if now >= ends {
            String::new()
        } else {
            return;
        };
        let list = format!(r#"{{"rev":{},"all":false,"targets":[{changed}]}}"#, 2 + self.changes);
        self.watch_ends = None;
        self.needs.list_bytes += list.len();
        self.world.answer(conn, "200 OK", &list);
    }

    fn take_answers(&mut self) {
        let answered = |(client, before): (&ConnId, &usize)| {
            let text = &self.world.sent_text_on(*client)[*before..];
            (!text.is_empty()).then(|| (*client, text.starts_with("HTTP/1.1 200")))
        };
        let answered: Vec<(ConnId, bool)> = self.busy.iter().filter_map(answered).collect();
        for (client, served) in answered {
            self.busy.remove(&client);
            self.free.push_back(client);
            self.needs.served += u64::from(served);
        }
    }
}

/// How long the last call on the list's connection asked to wait.
fn asked_wait(heard: &str) -> Micros {
    let wait = heard.rsplit("timeout_ms=").next().and_then(|rest| rest.split(' ').next());
    ms(wait.and_then(|wait| wait.parse().ok()).expect("a call that waits"))
}

/// Processor time of this thread so far.
fn thread_time_us() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000
}

/// Reads of the same data, wherever else targets are.
fn reads(request: u64) -> i64 {
    (request * 31 % SHARDS_IN_USE) as i64
}

/// The same, and new objects between them.
fn reads_and_new_objects(request: u64) -> i64 {
    if request.is_multiple_of(NEW_OBJECT_EVERY) { -1 } else { reads(request) }
}

fn played(targets: u64, shard_of: fn(u64) -> i64) -> Needs {
    let needs = Site::new(targets).play(shard_of);
    println!("{targets} targets: {needs:?}");
    needs
}

fn thousands(targets: u64) -> f64 {
    targets as f64 / 1000.0
}

fn holds_connections(few: Needs, many: Needs) {
    let dialled = (few.dialled, many.dialled);
    assert!(dialled.1 as f64 <= 2.5 * dialled.0 as f64 + 40.0, "connections made: {dialled:?}");
    let peak = (few.connections_peak, many.connections_peak);
    assert!(peak.1 <= 2 * peak.0 + 40, "connections at once: {peak:?}");
}

fn holds_list_memory_and_share(few: Needs, many: Needs, targets: u64) {
    let list_bytes = 2.0 * few.list_bytes as f64 + 65_536.0 + 500_000.0 * thousands(targets);
    assert!(many.list_bytes as f64 <= list_bytes, "{} bytes of the list", many.list_bytes);
    let peak_bytes = 1.5 * few.peak_bytes as f64 + 8.0 * MIB + 4.0 * MIB * thousands(targets);
    assert!(many.peak_bytes as f64 <= peak_bytes, "{} bytes at the peak", many.peak_bytes);
    assert!(few.served_share() > 0.95, "served {} of {}", few.served, few.asked);
    assert!(many.served_share() >= 0.85 * few.served_share(), "served {} of {}", many.served, many.asked);
}

/// The processor's part, by counts: work follows requests and changes, not targets.
fn holds_work(few: Needs, many: Needs) {
    assert!(many.nodes_visited as f64 <= 1.4 * few.nodes_visited as f64, "{} visited", many.nodes_visited);
    assert_eq!(many.connections_walked, few.connections_walked);
    assert!(many.allocations as f64 <= 1.4 * few.allocations as f64, "{} allocations", many.allocations);
}

#[test]
fn the_same_reads_among_sixteen_times_the_targets_need_hardly_more() {
    let few = played(FEW, reads);
    for targets in [SIXTEEN_TIMES, MANY] {
        let many = played(targets, reads);
        holds_connections(few, many);
        holds_list_memory_and_share(few, many, targets);
        holds_work(few, many);
    }
}

#[test]
fn new_objects_among_sixteen_times_the_targets_need_hardly_more_but_connections() {
    let few = played(FEW, reads_and_new_objects);
    let many = played(SIXTEEN_TIMES, reads_and_new_objects);
    holds_list_memory_and_share(few, many, SIXTEEN_TIMES);
    holds_work(few, many);
}

#[test]
fn new_objects_among_sixteen_times_the_targets_need_hardly_more_connections() {
    let few = played(FEW, reads_and_new_objects);
    let many = played(SIXTEEN_TIMES, reads_and_new_objects);
    holds_connections(few, many);
}

/// Bytes held for each target that is listed, by the core and the module.
#[test]
fn a_listed_target_holds_less_than_four_kilobytes() {
    const HELD_MOST: f64 = 4.0 * MIB / 1000.0;
    for targets in [FEW, SIXTEEN_TIMES, MANY] {
        let text = full_listing(targets, 2);
        let before = live_bytes();
        reset_peak();
        let mut core = listed_core(targets, &text);
        let now = ms(1_000_001);
        core.settle(now);
        drop(core.take_commands());
        let (held, peak) = (live_bytes() - before, peak_bytes() - before);
        println!("{targets} targets: {held} bytes held, {peak} at the peak");
        assert!((held as f64) < HELD_MOST * targets as f64 + 1.0 * MIB, "{held} bytes for {targets} targets");
        assert!((peak as f64) < HELD_MOST * targets as f64 + 8.0 * MIB, "{peak} bytes at the peak");
    }
}

fn listed_core(targets: u64, text: &str) -> Core {
    let mut core = Core::new(site_config(targets), None, ms(1_000_000)).expect("no saved list");
    let listing: Listing = serde_json::from_str(text).expect("a list");
    core.apply_platform_listing(ListScope::Full, &listing, ms(1_000_000));
    core
}

/// What a target's drain and its return cost.
#[derive(Clone, Copy, Debug)]
struct ChangeCost {
    visited: u64,
    walked: u64,
    lines: u64,
    allocations: u64,
}

/// A change costs the same however many targets are listed: nodes looked at, allocations, lines of the log.
#[test]
fn a_change_costs_the_same_among_200_as_among_25_000_targets() {
    let change = |targets: u64| {
        let mut core = listed_core(targets, &full_listing(targets, 2));
        core.settle(ms(1_000_001));
        drop(core.take_commands());
        let told = |state: &str| -> Listing {
            let text = format!(r#"{{"rev":3,"all":false,"targets":[{}]}}"#, target_json(7, state));
            serde_json::from_str(&text).expect("a list")
        };
        let (draining, up) = (told("draining"), told("up"));
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
    println!("a drain and back among {FEW}: {few:?}");
    for targets in [SIXTEEN_TIMES, MANY] {
        let many = change(targets);
        println!("among {targets}: {many:?}");
        assert_eq!((many.visited, many.walked, many.lines), (few.visited, few.walked, few.lines));
        assert!(many.allocations <= few.allocations + few.allocations / 4 + 8, "{few:?} and {many:?}");
    }
    assert!(few.visited < 30 && few.walked == 0 && few.lines <= 4, "{few:?}");
}
