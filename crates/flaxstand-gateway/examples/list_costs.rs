//! What a change of the node list costs the gateway's core, by how many nodes are listed: processor time and
//! bytes saved. The decider is the round-robin baseline, so that the decision module's own part does not count.
//!
//! `cargo run --release -p flaxstand-gateway --example list_costs`

use flaxstand::api::{Class, Effect, ListScope, Plan, Settings};
use flaxstand_gateway::core::{Bounds, ClassInfo, Config, Core, Policy, Site, Waits, Wire};
use flaxstand_gateway::machine::{Command, ConnId, Machine, Micros};
use flaxstand_platform::{Listing, Target, TargetState};
use flaxstand_proto::{Entry, Extent, Frame, List, Role, State, VERSION, Welcome, encode};
use rustix::time::{ClockId, clock_gettime};

/// How many nodes are listed.
const LISTED: [u64; 4] = [100, 1_000, 3_000, 25_000];
/// Changes told one after the other, each in a turn of its own.
const CHANGES: u64 = 200;
/// Sweeps of the platform's pools that are measured.
const SWEEPS: u64 = 50;
/// Client connections held besides, on the platform's wire.
const CLIENTS: usize = 6_100;
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
}

/// Processor time of the process so far, microseconds.
fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

fn frames_change(listed: u64) {
    let mut now = Micros(1_000_000_000);
    let mut core = Core::new(config(Wire::Frames, listed), None, now).expect("no saved list");
    core.settle(now);
    let list = called(&core.take_commands());
    core.connected(list, now);
    let welcome = Welcome { version: VERSION, role: Role::List, id: 0, epoch: 0, name: "measured" };
    tell(&mut core, list, &Frame::Welcome(welcome), now);
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
                Command::Save(bytes) => {
                    whole += 1;
                    saved += bytes.len() as u64;
                }
                Command::AppendSaved(bytes) => saved += bytes.len() as u64,
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
    let saves = |command: &Command| matches!(command, Command::Save(_));
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
    core.take_platform_list(ListScope::Full, &listing(1, &all, TargetState::Up), now);
    core.settle(now);
    core.take_commands();
    let began = processor_time();
    for change in 0..CHANGES {
        now = now.after(Micros(1_000));
        let node = (change * 7919) % listed;
        let state = if change % 2 == 0 { TargetState::Draining } else { TargetState::Up };
        core.take_platform_list(ListScope::Changes, &listing(2 + change, &[node], state), now);
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
    let addresses: Vec<String> = nodes.iter().map(|node| address(*node)).collect();
    let mut entries = Vec::new();
    for (node, address) in nodes.iter().zip(&addresses) {
        let (node, shard) = (*node, *node as u32);
        entries.push(Entry {
            node,
            incarnation: 1,
            state,
            age: None,
            shard,
            zone: 0,
            size: 100,
            pace: None,
            address,
        });
    }
    let since = *revision;
    *revision += 1;
    tell(core, conn, &Frame::List(List { extent, since, revision: *revision, entries }), now);
}

fn listing(rev: u64, nodes: &[u64], state: TargetState) -> Listing {
    let target = |node: &u64| Target {
        uid: format!("s-{node}"),
        endpoint: address(*node),
        az: "a".into(),
        pod_group: *node as u32,
        state,
        boot_ms: 1,
        capacity_hint: 1.0,
    };
    Listing { rev, all: nodes.len() > 1, targets: nodes.iter().map(target).collect() }
}

fn address(node: u64) -> String {
    format!("10.{}.{}.{}:9000", node >> 16, (node >> 8) & 255, node & 255)
}

fn config(wire: Wire, listed: u64) -> Config {
    let class = Class {
        aim: 200.0,
        aim_stretch: 0.0,
        deadline: 1000.0,
        late_value: 0.2,
        worth: 1.0,
        effect: Effect::Repeatable,
        in_order: false,
    };
    let plan = Plan { base_rate: 100.0, reserve_rate: 100.0, limit_rate: 0.0, limit_burst: 0.0, price: 1.0 };
    let settings = Settings {
        initiators: 4_600,
        classes: vec![class],
        plans: vec![plan],
        list_on_request: wire == Wire::Platform,
        ask_within: 10_000.0,
        list_terms: None,
        max_attempts: 3,
        most_out: 1,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 300.0,
        cold_from: 0.2,
        cold_time: 5000.0,
        fall_multiple: 4.0,
        fall_time: 1000.0,
        cold_bears: 4.0,
        key_rest: 0.0,
        budget: None,
        unit_mean: 1.0,
        unit_most: 4.0,
        share_worth: 0.3,
        spare_worth: 0.1,
        tick: 1.0,
    };
    let bounds = Bounds { nodes: listed as usize, clients: CLIENTS, ..Bounds::default() };
    Config {
        name: "measured".into(),
        index: 0,
        epoch: 1,
        calendar: 0,
        seed: 3,
        list: "127.0.0.1:1".parse().expect("an address"),
        site: Site {
            settings,
            classes: vec![ClassInfo { name: "read".into(), stream: false, buffered: false }],
            plans: vec!["plan".into()],
            waits: Waits { list_silence: Micros(3_600_000_000), ..Waits::default() },
            write_back: None,
            storm: None,
        },
        bounds,
        policy: Policy::Pipe,
        wire,
        agreeing: None,
    }
}
