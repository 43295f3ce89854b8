//! Measures the cost of changes to the node list in the gateway's core by list length: processor time and
//! bytes saved. The round-robin baseline decides, so that the decision module's own work does not count.
//!
//! `cargo run --release -p flaxstand-gateway --example list_costs`

#[path = "../tests/harness/full_lists.rs"]
mod full_lists;
#[path = "../tests/harness/mod.rs"]
mod harness;

use flaxstand::api::ListScope;
use flaxstand_gateway::core::{Bounds, Config, Core, Policy, Wire};
use flaxstand_gateway::machine::{Command, ConnId, Machine, Micros};
use flaxstand_http::ResponseReader;
use flaxstand_platform::{Configuration, Listing, Target, TargetState};
use flaxstand_proto::{Entry, Extent, Frame, List, Role, State, VERSION, Welcome, encode};
use full_lists::{full_list_frame, full_listing, listed_address};
use harness::{entry, ms, platform_config};
use rustix::time::{ClockId, clock_gettime};
use std::fmt::Write as _;

/// Numbers of listed nodes.
const LIST_LENGTHS: [u64; 4] = [100, 1_000, 3_000, 25_000];
/// Number of changes applied in sequence, each in its own turn.
const CHANGES: u64 = 200;
/// Number of measured sweeps of the platform's connection pools.
const SWEEPS: u64 = 50;
/// Number of open client connections on the platform's wire.
const CLIENTS: usize = 6_100;
/// Lengths of the full lists.
const FULL_LIST_LENGTHS: [u64; 3] = [30, 3_200, 25_000];
/// Bytes per read where a list arrives in many reads: the payload of a TCP segment.
const READ_BYTES: usize = 1_448;
/// Bytes per chunk in chunked transfer encoding.
const CHUNK_BYTES: usize = 16 * 1_024;
/// Maximum number of entries in a frame.
const MAX_ENTRIES_PER_FRAME: u64 = 32_768;

fn main() {
    println!("frames: one change with its turn and its save");
    println!(
        "| listed | processor time per change, µs | bytes saved per change | full saves | one full save, µs |"
    );
    println!("| --- | --- | --- | --- | --- |");
    LIST_LENGTHS.into_iter().for_each(measure_frames_change);
    println!("platform, {CLIENTS} client connections: one change with its turn; one sweep");
    println!("| listed | one change, µs | one sweep, µs |");
    println!("| --- | --- | --- |");
    LIST_LENGTHS.into_iter().for_each(measure_platform_change);
    println!("a full list, received by a core without a list, µs in one turn; reads of {READ_BYTES} bytes");
    println!(
        "| listed | frames, read and applied | platform, applied | read with a length | read in chunks | settings reloaded |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    FULL_LIST_LENGTHS.into_iter().for_each(measure_full_list);
}

/// Processor time of a call in microseconds.
fn time_us(call: impl FnOnce()) -> f64 {
    let began = processor_time_us();
    call();
    processor_time_us() - began
}

fn measure_full_list(listed: u64) {
    let text = full_listing(listed, 1);
    let frames = time_full_frame(listed);
    let platform = time_full_listing(listed, &text);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    let mut chunked = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for chunk in text.as_bytes().chunks(CHUNK_BYTES) {
        let chunk = std::str::from_utf8(chunk).expect("the list is ASCII");
        let _ = write!(chunked, "{:x}\r\n{chunk}\r\n", chunk.len());
    }
    chunked.push_str("0\r\n\r\n");
    let read = [with_length, chunked].map(|answer| time_reading(&answer));
    let settings = settings_text(&text);
    let reload = time_us(|| drop(Configuration::read(&settings).expect("valid settings")));
    println!("| {listed} | {frames:.0} | {platform:.0} | {:.0} | {:.0} | {reload:.0} |", read[0], read[1]);
}

fn time_full_frame(listed: u64) -> f64 {
    let now = ms(1_000_000);
    let (mut core, list) = core_with_list_service(listed, now);
    let bytes = full_list_frame(listed, 1);
    time_us(|| {
        bytes.chunks(READ_BYTES).for_each(|piece| core.received(list, piece, now));
        core.settle(now);
    })
}

fn time_full_listing(listed: u64, text: &str) -> f64 {
    let now = ms(1_000_000);
    let mut core =
        Core::new(config(Wire::Platform, listed), None, now).expect("the core starts without a saved list");
    core.settle(now);
    time_us(|| {
        let listing: Listing = serde_json::from_str(text).expect("a valid list");
        core.apply_platform_listing(ListScope::Full, &listing, now);
        core.settle(now);
    })
}

fn time_reading(answer: &str) -> f64 {
    const MAX_REQUEST_BODY_BYTES: usize = 16 << 20;
    let mut reader = ResponseReader::with_body_limit(MAX_REQUEST_BODY_BYTES);
    time_us(|| {
        let mut response = None;
        for piece in answer.as_bytes().chunks(READ_BYTES) {
            reader.push(piece);
            response = response.or(reader.take().expect("a valid answer"));
        }
        assert!(response.is_some(), "the answer is complete");
    })
}

/// The settings file read at the start and at each reload, with the given known list.
fn settings_text(known: &str) -> String {
    let class = r#"{"name":"read","aimMs":200,"deadlineMs":1000,"worth":1,"semantics":"repeatable"}"#;
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},"known":{known},
        "settings":{{"balancers":3,"registryMode":"on_request","tickMs":2.0,"classes":[{class}],
        "grades":[{{"name":"plan","price":1.0}}],
        "caps":{{"maxAttempts":2,"dialTimeoutMs":250.0,"keepaliveMs":6000.0}},
        "rules":{{"askWithinMs":10000.0,"coldFrom":0.2,"coldMs":5000.0,"fallMs":1000.0,"fallMultiple":2.0}},
        "familyInfo":{{"unitMean":1.0,"mostUnits":8}}}}}}"#
    )
}

/// Processor time of the process so far, in microseconds.
fn processor_time_us() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// A core on frames with a greeted list service. Returns the core and the connection to the list service.
fn core_with_list_service(listed: u64, now: Micros) -> (Core, ConnId) {
    let mut core =
        Core::new(config(Wire::Frames, listed), None, now).expect("the core starts without a saved list");
    core.settle(now);
    let list = list_connection(&core.take_commands());
    core.connected(list, now);
    let welcome = Welcome { version: VERSION, role: Role::List, id: 0, epoch: 0, name: "measured" };
    deliver(&mut core, list, &Frame::Welcome(welcome), now);
    (core, list)
}

fn measure_frames_change(listed: u64) {
    let mut now = Micros(1_000_000_000);
    let (mut core, list) = core_with_list_service(listed, now);
    let nodes: Vec<u64> = (0..listed).collect();
    let mut revision = 0;
    for (part, nodes) in nodes.chunks(MAX_ENTRIES_PER_FRAME as usize).enumerate() {
        let extent = if part == 0 { Extent::Full } else { Extent::Changes };
        deliver_entries(&mut core, list, extent, &mut revision, nodes, State::Serving, now);
    }
    core.settle(now);
    core.take_commands();
    let (mut saved_bytes, mut full_saves) = (0, 0);
    let began = processor_time_us();
    for change in 0..CHANGES {
        now = now.after(Micros(500_000));
        let node = (change * 7919) % listed;
        let state = if change % 2 == 0 { State::Draining } else { State::Serving };
        deliver_entries(&mut core, list, Extent::Changes, &mut revision, &[node], state, now);
        core.settle(now);
        for command in core.take_commands() {
            match command {
                Command::SaveList(bytes) => {
                    full_saves += 1;
                    saved_bytes += bytes.len() as u64;
                }
                Command::AppendList(bytes) => saved_bytes += bytes.len() as u64,
                _ => {}
            }
        }
    }
    let change_us = (processor_time_us() - began) / CHANGES as f64;
    let full_save_us = time_full_save(&mut core, now);
    println!("| {listed} | {change_us:.1} | {} | {full_saves} | {full_save_us:.0} |", saved_bytes / CHANGES);
}

/// Processor time of a turn that encodes the full list again, as when the appended changes have grown as long
/// as the list.
fn time_full_save(core: &mut Core, now: Micros) -> f64 {
    core.save_failed(now);
    let now = now.after(Micros(60_000_000));
    let began = processor_time_us();
    core.settle(now);
    let elapsed_us = processor_time_us() - began;
    let saves = |command: &Command| matches!(command, Command::SaveList(_));
    assert!(core.take_commands().iter().any(saves), "the full list is saved after a failed save");
    elapsed_us
}

fn measure_platform_change(listed: u64) {
    let mut now = Micros(1_000_000_000);
    let mut core =
        Core::new(config(Wire::Platform, listed), None, now).expect("the core starts without a saved list");
    for _ in 0..CLIENTS {
        core.accepted(0, now).expect("the connection is accepted");
    }
    let all: Vec<u64> = (0..listed).collect();
    core.apply_platform_listing(ListScope::Full, &listing(1, &all, TargetState::Up), now);
    core.settle(now);
    core.take_commands();
    let began = processor_time_us();
    for change in 0..CHANGES {
        now = now.after(Micros(1_000));
        let node = (change * 7919) % listed;
        let state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Up };
        core.apply_platform_listing(ListScope::Changes, &listing(2 + change, &[node], state), now);
        core.settle(now);
        core.take_commands();
    }
    let change_us = (processor_time_us() - began) / CHANGES as f64;
    // The clients' request time-outs expire before the measurement.
    now = now.after(Micros(3_600_000_000));
    core.settle(now);
    core.take_commands();
    let mut sweeps_us = 0.0;
    for _ in 0..SWEEPS {
        now = now.after(Micros(1_000_001));
        let began = processor_time_us();
        core.settle(now);
        sweeps_us += processor_time_us() - began;
        core.take_commands();
    }
    println!("| {listed} | {change_us:.1} | {:.1} |", sweeps_us / SWEEPS as f64);
}

fn list_connection(commands: &[Command]) -> ConnId {
    let connect =
        |command: &Command| if let Command::Connect { conn, .. } = command { Some(*conn) } else { None };
    commands.iter().find_map(connect).expect("the list service is connected")
}

fn deliver(core: &mut Core, conn: ConnId, frame: &Frame<'_>, now: Micros) {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    core.received(conn, &bytes, now);
}

fn deliver_entries(
    core: &mut Core,
    conn: ConnId,
    extent: Extent,
    revision: &mut u64,
    nodes: &[u64],
    state: State,
    now: Micros,
) {
    let addresses: Vec<String> = nodes.iter().map(|node| listed_address(*node)).collect();
    let nodes_with_address = nodes.iter().zip(&addresses);
    let entries = nodes_with_address
        .map(|(node, address)| Entry { size: 100, ..entry(*node, state, *node as u32, address) })
        .collect();
    let since = *revision;
    *revision += 1;
    deliver(core, conn, &Frame::List(List { extent, since, revision: *revision, entries }), now);
}

fn listing(rev: u64, nodes: &[u64], state: TargetState) -> Listing {
    let target = |node: &u64| Target {
        uid: format!("s-{node}"),
        address: listed_address(*node),
        zone: "a".into(),
        shard: *node as u32,
        state,
        started_at_ms: 1,
        size: 1.0,
    };
    Listing { revision: rev, is_full: nodes.len() > 1, targets: nodes.iter().map(target).collect() }
}

/// The tests' site with the round-robin baseline, as one of many initiators.
fn config(wire: Wire, listed: u64) -> Config {
    let mut config = match wire {
        Wire::Frames => harness::config(),
        Wire::Platform => platform_config(2_500),
    };
    config.policy = Policy::RoundRobin;
    config.bounds = Bounds { max_endpoints: listed as usize, max_clients: CLIENTS, ..Bounds::default() };
    config.site.settings.initiators = 4_600;
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config
}
