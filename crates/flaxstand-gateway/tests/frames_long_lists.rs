//! Long lists that arrive slowly as frames: bytes of an incomplete list count as activity of the list
//! service. A transfer that stops or trickles is abandoned.

mod harness;

use flaxstand_gateway::core::{Core, SavedList};
use flaxstand_gateway::driver::{Driver, Options, clock};
use flaxstand_gateway::machine::{Address, ConnId, Micros};
use flaxstand_proto::{Code, Extent, Frame, List, Role, State, VERSION, Welcome};
use harness::{Harness, READ, SentFrame, address, bytes_of, config, entry};
use std::io::Write as _;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time between two pieces of a frame.
const STEP_MS: u64 = 100;
/// A node that is listed and serving from the start.
const KNOWN: u64 = 0;

fn idle_timeout_ms() -> u64 {
    config().site.timeouts.discovery_idle_timeout.0 / 1000
}

/// A core with one listed node. Its list service reads nothing from now on, and the test sends in its place.
fn world_with_scripted_list_service() -> (Harness, ConnId) {
    let mut world = Harness::new(config(), 1);
    let list = world.list_conn();
    world.blocked.insert(list);
    (world, list)
}

/// The full list with the given number of nodes as one frame. The known node has the given state.
fn full_list_frame(nodes: u64, known_state: State) -> Vec<u8> {
    let addresses: Vec<String> = (0..nodes).map(|n| format!("127.0.{}.{}:7000", n >> 8, n & 255)).collect();
    let mut entries = vec![entry(KNOWN, known_state, KNOWN as u32, "127.0.0.1:100")];
    for (node, address) in (0..nodes).zip(&addresses).skip(1) {
        entries.push(entry(node, State::Serving, node as u32, address));
    }
    bytes_of(&Frame::List(List { extent: Extent::Full, since: 7, revision: 7, entries }))
}

/// Delivers the bytes in equal pieces over the given time, except for the last piece, which is returned.
fn deliver_all_but_last_piece<'a>(
    world: &mut Harness,
    list: ConnId,
    bytes: &'a [u8],
    over_ms: u64,
) -> &'a [u8] {
    let pieces = (over_ms / STEP_MS) as usize;
    let mut pieces: Vec<&[u8]> = bytes.chunks(bytes.len().div_ceil(pieces)).collect();
    let last = pieces.pop().expect("the frame is not empty");
    for piece in pieces {
        world.send_bytes(list, piece);
        world.run(STEP_MS);
    }
    last
}

/// Milliseconds until the connection is closed, or `None` if it is still open after `max_ms`.
fn time_until_closed(world: &mut Harness, list: ConnId, max_ms: u64) -> Option<u64> {
    for elapsed_ms in (0..=max_ms).step_by(STEP_MS as usize) {
        if world.closed.contains(&list) {
            return Some(elapsed_ms);
        }
        world.run(STEP_MS);
    }
    None
}

/// Attempts sent to a node, including those on connections that have been closed.
fn all_attempts(world: &Harness, node: u64) -> Vec<(u64, u32)> {
    world.conns_to(node).into_iter().flat_map(|conn| world.attempts_on(conn)).collect()
}

fn list_connections(world: &Harness) -> usize {
    let list = "127.0.0.1:1".parse().expect("a valid address");
    world.connect_attempts.iter().filter(|(_, called)| *called == list).count()
}

fn full_list_requests(world: &Harness, list: ConnId) -> usize {
    world.sent_frames_on(list).iter().filter(|said| **said == SentFrame::GetList).count()
}

fn list_arriving_over_six_idle_timeouts_is_applied(nodes: u64) {
    let (mut world, list) = world_with_scripted_list_service();
    let bytes = full_list_frame(nodes, State::Serving);
    let last = deliver_all_but_last_piece(&mut world, list, &bytes, 6 * idle_timeout_ms());
    assert!(!world.closed.contains(&list), "{nodes} nodes: connection closed during the transfer");
    world.send_bytes(list, last);
    world.run(5);
    assert_eq!(world.core.footprint().nodes as u64, nodes);
    assert_eq!(list_connections(&world), 1);
    world.blocked.remove(&list);
    world.drain(list);
    assert_eq!(full_list_requests(&world, list), 0, "a list in transfer is not requested again");
}

#[test]
fn a_list_of_3_200_nodes_that_arrives_over_six_idle_timeouts_is_applied() {
    list_arriving_over_six_idle_timeouts_is_applied(3_200);
}

#[test]
fn a_list_of_25_000_nodes_that_arrives_over_six_idle_timeouts_is_applied() {
    list_arriving_over_six_idle_timeouts_is_applied(25_000);
}

#[test]
fn an_answer_that_begins_late_and_arrives_slowly_is_applied() {
    let (mut world, list) = world_with_scripted_list_service();
    // The service is silent, receives a query, and begins its answer just before the time-out.
    world.run(2 * idle_timeout_ms() - 200);
    let bytes = full_list_frame(3_200, State::Serving);
    let last = deliver_all_but_last_piece(&mut world, list, &bytes, 4 * idle_timeout_ms());
    assert!(!world.closed.contains(&list), "connection closed during the transfer");
    world.send_bytes(list, last);
    world.run(5);
    assert_eq!(world.core.footprint().nodes, 3_200);
}

#[test]
fn a_service_that_stops_within_a_frame_is_reconnected() {
    for sent_bytes in [1, 12, 40, 100_000] {
        let (mut world, list) = world_with_scripted_list_service();
        let bytes = full_list_frame(3_200, State::Serving);
        world.run(idle_timeout_ms() / 2);
        world.send_bytes(list, &bytes[..sent_bytes]);
        let closed = time_until_closed(&mut world, list, 2 * idle_timeout_ms());
        assert!(
            closed.is_some(),
            "connection still open after a transfer that stopped at {sent_bytes} bytes"
        );
        world.run(idle_timeout_ms());
        assert!(list_connections(&world) > 1, "the list service is reconnected");
    }
}

#[test]
fn a_service_that_stops_after_a_long_transfer_is_disconnected() {
    let (mut world, list) = world_with_scripted_list_service();
    let bytes = full_list_frame(25_000, State::Serving);
    deliver_all_but_last_piece(&mut world, list, &bytes, 4 * idle_timeout_ms());
    assert!(!world.closed.contains(&list));
    assert!(time_until_closed(&mut world, list, 2 * idle_timeout_ms()).is_some());
}

#[test]
fn a_trickling_frame_is_abandoned_within_three_idle_timeouts() {
    for bytes_per_step in [1, 100] {
        let (mut world, list) = world_with_scripted_list_service();
        let bytes = full_list_frame(25_000, State::Serving);
        let mut pieces = bytes.chunks(bytes_per_step);
        let mut steps = 0;
        while !world.closed.contains(&list) {
            world.send_bytes(list, pieces.next().expect("the transfer is abandoned before its end"));
            world.run(STEP_MS);
            steps += 1;
        }
        let elapsed_ms = steps * STEP_MS;
        assert!(
            elapsed_ms <= 3 * idle_timeout_ms(),
            "{bytes_per_step} bytes per step: abandoned after {elapsed_ms} ms"
        );
    }
}

/// A frame takes effect as soon as it is complete and its checksum is valid.
#[test]
fn a_drain_in_a_slow_frame_takes_effect_once_the_frame_is_complete() {
    let (mut world, list) = world_with_scripted_list_service();
    let client = world.client();
    world.submit(client, 1, READ, Some(KNOWN as u32));
    world.run(5);
    let first = all_attempts(&world, KNOWN)[0];
    world.done(world.node_conn(KNOWN), first, Code::Served, b"");
    let bytes = full_list_frame(3_200, State::Draining);
    let last = deliver_all_but_last_piece(&mut world, list, &bytes, 3 * idle_timeout_ms());
    world.send_bytes(list, last);
    world.submit(client, 2, READ, Some(KNOWN as u32));
    world.run(900);
    assert_eq!(all_attempts(&world, KNOWN), [first], "no attempt is sent to a draining node");
}

/// A drain of a known node takes effect even if the address in the entry is invalid.
#[test]
fn a_draining_entry_with_an_invalid_address_drains_a_known_node() {
    let (mut world, list) = world_with_scripted_list_service();
    let draining_entry = entry(KNOWN, State::Draining, KNOWN as u32, "invalid address");
    let (since, revision) = (world.revision, world.revision + 1);
    world.send_frame(
        list,
        &Frame::List(List { extent: Extent::Changes, since, revision, entries: vec![draining_entry] }),
    );
    let client = world.client();
    world.submit(client, 1, READ, Some(KNOWN as u32));
    world.run(900);
    assert_eq!(all_attempts(&world, KNOWN), []);
    assert!(!world.closed.contains(&list));
    assert!(
        world
            .connect_attempts
            .iter()
            .all(|(_, called)| *called != address(KNOWN).parse().expect("a valid address"))
    );
}

/// Sends the full list over a socket in pieces over the given time. Returns the number of connections
/// accepted.
fn serve_slowly(listener: &TcpListener, list: &[u8], duration: Duration) -> usize {
    const PIECES: u32 = 50;
    listener.set_nonblocking(true).expect("the listener is set to non-blocking");
    let mut stream =
        accepted_within(listener, Duration::from_secs(10)).expect("the list service is connected");
    stream.set_nonblocking(false).expect("the stream is set to blocking");
    let welcome = Welcome { version: VERSION, role: Role::List, id: 0, epoch: 1, name: "slow" };
    stream.write_all(&bytes_of(&Frame::Welcome(welcome))).expect("the greeting is written");
    for piece in list.chunks(list.len().div_ceil(PIECES as usize)) {
        std::thread::sleep(duration / PIECES);
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    let second_connection = accepted_within(listener, Duration::from_millis(300));
    1 + usize::from(second_connection.is_some())
}

fn accepted_within(listener: &TcpListener, timeout: Duration) -> Option<TcpStream> {
    let began = Instant::now();
    while began.elapsed() < timeout {
        if let Ok((stream, _)) = listener.accept() {
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}

/// The same over sockets: the driver reads the list in many turns, and the core saves the full list.
#[test]
fn a_list_of_25_000_nodes_over_five_idle_timeouts_is_received_by_the_driver() {
    // Long enough that a busy machine does not keep the sending thread from running for two of them.
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    let saved = std::env::temp_dir().join(format!("flaxstand-long-list-{}", std::process::id()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let mut site = config();
    site.discovery_address = Address::Tcp(listener.local_addr().expect("a valid address"));
    site.site.timeouts.discovery_idle_timeout = Micros(IDLE_TIMEOUT.as_micros() as u64);
    let options = Options { saved_list: Some(saved.clone()), ..Options::default() };
    // The driver runs until the test process ends.
    std::thread::spawn(move || {
        let core = Core::new(site, None, clock()).expect("the core starts without a saved list");
        Driver::new(core, options).expect("the driver starts").run()
    });
    let connections = serve_slowly(&listener, &full_list_frame(25_000, State::Serving), 5 * IDLE_TIMEOUT);
    assert_eq!(connections, 1, "the service is not reconnected during the transfer");
    let began = Instant::now();
    while !saved.exists() && began.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let bytes = std::fs::read(&saved).expect("the list is saved");
    std::fs::remove_file(&saved).expect("the saved list is removed");
    assert_eq!(SavedList::read(&bytes).expect("a valid saved list").entries.len(), 25_000);
}
