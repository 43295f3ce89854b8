//! What a change of the node list costs the gateway's core, by how many nodes are listed: processor time and
//! bytes saved. The decider is the round-robin baseline, so that the decision module's own part does not count.
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

/// How many nodes are listed.
const LISTED: [u64; 4] = [100, 1_000, 3_000, 25_000];
/// Changes told one after the other, each in a turn of its own.
const CHANGES: u64 = 200;
/// Sweeps of the platform's pools that are measured.
const SWEEPS: u64 = 50;
/// Client connections held besides, on the platform's wire.
const CLIENTS: usize = 6_100;
/// Sizes at which whole lists are told.
const WHOLE_LISTS: [u64; 3] = [30, 3_200, 25_000];
/// Bytes that one read brings where a list comes in many: a segment of TCP.
const SEGMENT: usize = 1_448;
/// Bytes of a chunk where a list comes in chunks.
const CHUNK: usize = 16 * 1_024;
/// Entries that one frame of the wire may hold.
const ENTRIES_A_FRAME: u64 = 32_768;

fn main() {
    println!("frames: a change told, its turn and its save");
    println!(
        "| listed | processor time a change, µs | bytes saved a change | whole saves | a whole save, µs |"
    );
    println!("| --- | --- | --- | --- | --- |");
    LISTED.into_iter().for_each(frames_change);
    println!("platform, {CLIENTS} client connections: a change told and its turn; a sweep");
    println!("| listed | a change, µs | a sweep, µs |");
    println!("| --- | --- | --- |");
    LISTED.into_iter().for_each(platform_change);
    println!("a whole list, told to a core that holds none, µs in one turn; reads are of {SEGMENT} bytes");
    println!(
        "| listed | frames, read and taken | platform, taken | read with a length | read in chunks | settings read anew |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    WHOLE_LISTS.into_iter().for_each(whole_list);
}

/// Processor time that a call takes, microseconds.
fn spent(call: impl FnOnce()) -> f64 {
    let began = processor_time();
    call();
    processor_time() - began
}

fn whole_list(listed: u64) {
    let text = full_listing(listed, 1);
    let frames = spent_on_a_whole_frame(listed);
    let platform = spent_on_a_whole_listing(listed, &text);
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
    let mut chunked = String::from("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for chunk in text.as_bytes().chunks(CHUNK) {
        let chunk = std::str::from_utf8(chunk).expect("the list is ASCII");
        let _ = write!(chunked, "{:x}\r\n{chunk}\r\n", chunk.len());
    }
    chunked.push_str("0\r\n\r\n");
    let read = [with_length, chunked].map(|answer| spent_on_reading(&answer));
    let settings = settings_text(&text);
    let reload = spent(|| drop(Configuration::read(&settings).expect("settings")));
    println!("| {listed} | {frames:.0} | {platform:.0} | {:.0} | {:.0} | {reload:.0} |", read[0], read[1]);
}

fn spent_on_a_whole_frame(listed: u64) -> f64 {
    let now = ms(1_000_000);
    let (mut core, list) = watching(listed, now);
    let bytes = full_list_frame(listed, 1);
    spent(|| {
        bytes.chunks(SEGMENT).for_each(|piece| core.received(list, piece, now));
        core.settle(now);
    })
}

fn spent_on_a_whole_listing(listed: u64, text: &str) -> f64 {
    let now = ms(1_000_000);
    let mut core = Core::new(config(Wire::Platform, listed), None, now).expect("no saved list");
    core.settle(now);
    spent(|| {
        let listing: Listing = serde_json::from_str(text).expect("a list");
        core.apply_platform_listing(ListScope::Full, &listing, now);
        core.settle(now);
    })
}

fn spent_on_reading(answer: &str) -> f64 {
    const MAX_REQUEST_BODY_BYTES: usize = 16 << 20;
    let mut reader = ResponseReader::with_body_limit(MAX_REQUEST_BODY_BYTES);
    spent(|| {
        let mut whole = None;
        for piece in answer.as_bytes().chunks(SEGMENT) {
            reader.push(piece);
            whole = whole.or(reader.take().expect("an answer"));
        }
        assert!(whole.is_some(), "the answer is whole");
    })
}

/// The file that is read at the start and at each reload, with this list as the known one.
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

/// Processor time of the process so far, microseconds.
fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// A core on frames that watches the list, and the connection to its service.
fn watching(listed: u64, now: Micros) -> (Core, ConnId) {
    let mut core = Core::new(config(Wire::Frames, listed), None, now).expect("no saved list");
    core.settle(now);
    let list = called(&core.take_commands());
    core.connected(list, now);
    let welcome = Welcome { version: VERSION, role: Role::List, id: 0, epoch: 0, name: "measured" };
    tell(&mut core, list, &Frame::Welcome(welcome), now);
    (core, list)
}

fn frames_change(listed: u64) {
    let mut now = Micros(1_000_000_000);
    let (mut core, list) = watching(listed, now);
    let nodes: Vec<u64> = (0..listed).collect();
    let mut revision = 0;
    for (part, nodes) in nodes.chunks(ENTRIES_A_FRAME as usize).enumerate() {
        let extent = if part == 0 { Extent::Full } else { Extent::Changes };
        tell_entries(&mut core, list, extent, &mut revision, nodes, State::Serving, now);
    }
    core.settle(now);
    core.take_commands();
    let (mut saved, mut whole) = (0, 0);
    let began = processor_time();
    for change in 0..CHANGES {
        now = now.after(Micros(500_000));
        let node = (change * 7919) % listed;
        let state = if change % 2 == 0 { State::Draining } else { State::Serving };
        tell_entries(&mut core, list, Extent::Changes, &mut revision, &[node], state, now);
        core.settle(now);
        for command in core.take_commands() {
            match command {
                Command::SaveList(bytes) => {
                    whole += 1;
                    saved += bytes.len() as u64;
                }
                Command::AppendList(bytes) => saved += bytes.len() as u64,
                _ => {}
            }
        }
    }
    let spent = (processor_time() - began) / CHANGES as f64;
    let whole_save = whole_save(&mut core, now);
    println!("| {listed} | {spent:.1} | {} | {whole} | {whole_save:.0} |", saved / CHANGES);
}

/// Processor time of a turn in which all of the list is encoded anew, as when the appended changes have grown as long.
fn whole_save(core: &mut Core, now: Micros) -> f64 {
    core.save_failed(now);
    let now = now.after(Micros(60_000_000));
    let began = processor_time();
    core.settle(now);
    let spent = processor_time() - began;
    let saves = |command: &Command| matches!(command, Command::SaveList(_));
    assert!(core.take_commands().iter().any(saves), "the list is saved whole after a save that failed");
    spent
}

fn platform_change(listed: u64) {
    let mut now = Micros(1_000_000_000);
    let mut core = Core::new(config(Wire::Platform, listed), None, now).expect("no saved list");
    for _ in 0..CLIENTS {
        core.accepted(0, now).expect("there is room");
    }
    let all: Vec<u64> = (0..listed).collect();
    core.apply_platform_listing(ListScope::Full, &listing(1, &all, TargetState::Up), now);
    core.settle(now);
    core.take_commands();
    let began = processor_time();
    for change in 0..CHANGES {
        now = now.after(Micros(1_000));
        let node = (change * 7919) % listed;
        let state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Up };
        core.apply_platform_listing(ListScope::Changes, &listing(2 + change, &[node], state), now);
        core.settle(now);
        core.take_commands();
    }
    let change = (processor_time() - began) / CHANGES as f64;
    // The clients' own time to ask is over before: it is not measured.
    now = now.after(Micros(3_600_000_000));
    core.settle(now);
    core.take_commands();
    let mut spent = 0.0;
    for _ in 0..SWEEPS {
        now = now.after(Micros(1_000_001));
        let began = processor_time();
        core.settle(now);
        spent += processor_time() - began;
        core.take_commands();
    }
    println!("| {listed} | {change:.1} | {:.1} |", spent / SWEEPS as f64);
}

fn called(commands: &[Command]) -> ConnId {
    let connect =
        |command: &Command| if let Command::Connect { conn, .. } = command { Some(*conn) } else { None };
    commands.iter().find_map(connect).expect("the list service is called")
}

fn tell(core: &mut Core, conn: ConnId, frame: &Frame<'_>, now: Micros) {
    let mut bytes = Vec::new();
    encode(frame, &mut bytes);
    core.received(conn, &bytes, now);
}

fn tell_entries(
    core: &mut Core,
    conn: ConnId,
    extent: Extent,
    revision: &mut u64,
    nodes: &[u64],
    state: State,
    now: Micros,
) {
    let addresses: Vec<String> = nodes.iter().map(|node| listed_address(*node)).collect();
    let told = nodes.iter().zip(&addresses);
    let entries = told
        .map(|(node, address)| Entry { size: 100, ..entry(*node, state, *node as u32, address) })
        .collect();
    let since = *revision;
    *revision += 1;
    tell(core, conn, &Frame::List(List { extent, since, revision: *revision, entries }), now);
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

/// The tests' site with the baseline as its decider, as one of many initiators.
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
