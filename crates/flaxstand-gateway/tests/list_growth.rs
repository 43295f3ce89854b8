//! Cost of a list change, a save, a sweep, a probe and a request as the list grows, measured by counters
//! rather than by time: nodes visited, connections walked, bytes saved.

mod harness;

use flaxstand::api::ListScope;
use flaxstand_gateway::core::{Config, MemoryBounds, Policy};
use flaxstand_gateway::machine::{ConnId, Machine};
use flaxstand_platform::{Listing, Target, TargetState};
use flaxstand_proto::*;
use harness::*;

const SMALL: u64 = 100;
const LARGE: u64 = 25_000;
/// Number of entries per frame.
const ENTRIES_PER_FRAME: usize = 3_000;
/// Time in milliseconds after which a removed node is discarded.
const REMOVED_RETENTION_MS: u64 = 30_000;

/// Nodes visited, connections walked, bytes saved.
type WorkCounts = (u64, u64, u64);

fn work_counts(w: &Harness) -> WorkCounts {
    let counts = w.core.counts();
    (counts.nodes_visited, counts.connections_walked, counts.saved_bytes)
}

fn work_since(w: &Harness, before: WorkCounts) -> WorkCounts {
    let now = work_counts(w);
    (now.0 - before.0, now.1 - before.1, now.2 - before.2)
}

/// Uses the round-robin baseline, so that the decision module's work is not counted.
fn baseline(config: Config, node_count: u64) -> Config {
    let mut config = Config { policy: Policy::RoundRobin, ..config };
    config.bounds.max_endpoints = node_count as usize + 10;
    // Only the test delivers lists: no requests for the list after silence.
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config
}

/// Delivers changes as frames. All addresses have the same length, so all entries do.
fn deliver_changes(w: &mut Harness, nodes: &[u64], state: State) {
    let address_of = |node: &u64| format!("127.0.0.1:{}", 10_000 + node);
    let addresses: Vec<String> = nodes.iter().map(address_of).collect();
    let nodes_with_address = nodes.iter().zip(&addresses);
    let entries =
        nodes_with_address.map(|(node, address)| entry(*node, state, *node as u32, address)).collect();
    let since = w.revision;
    w.revision += 1;
    let list = List { extent: Extent::Changes, since, revision: w.revision, entries };
    w.send_frame(w.list_conn(), &Frame::List(list));
    w.turn();
}

/// A core on frames with the given number of nodes listed, all of them saved.
fn world_with_nodes(nodes: u64) -> Harness {
    let mut w = Harness::new(baseline(config(), nodes), 0);
    let all: Vec<u64> = (0..nodes).collect();
    all.chunks(ENTRIES_PER_FRAME).for_each(|part| deliver_changes(&mut w, part, State::Serving));
    // After a failed save the core saves the full list.
    w.core.save_failed(w.now);
    w.run(20_000);
    w.turn();
    assert_eq!(w.core.footprint().nodes, nodes as usize);
    w
}

fn target(node: u64, state: TargetState) -> Target {
    let (uid, endpoint, az) = (format!("s-{node}"), format!("127.0.0.1:{}", 10_000 + node), "a".into());
    Target { uid, address: endpoint, zone: az, shard: node as u32, state, started_at_ms: 1, size: 1.0 }
}

fn deliver_targets(w: &mut Harness, nodes: impl Iterator<Item = u64>, state: TargetState) {
    w.revision += 1;
    let targets = nodes.map(|node| target(node, state)).collect();
    let listing = Listing { revision: w.revision, is_full: false, targets };
    w.core.apply_platform_listing(ListScope::Changes, &listing, w.now);
    w.turn();
}

/// A core on the platform's wire with the given number of targets listed and clients that have each been
/// answered once.
fn platform_world(targets: u64, clients: usize) -> Harness {
    let mut w = Harness::new(baseline(platform_config(2500), targets), 0);
    deliver_targets(&mut w, 0..targets, TargetState::Up);
    for _ in 0..clients {
        let client = w.http_client();
        request_readiness(&mut w, client);
    }
    w
}

fn request_readiness(w: &mut Harness, client: ConnId) {
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    w.turn();
}

#[test]
fn a_change_on_frames_costs_the_same_with_100_nodes_listed_as_with_25_000() {
    let change = |nodes| {
        let mut w = world_with_nodes(nodes);
        let before = work_counts(&w);
        deliver_changes(&mut w, &[7], State::Draining);
        deliver_changes(&mut w, &[7], State::Removed);
        work_since(&w, before)
    };
    let small = change(SMALL);
    assert_eq!(small, change(LARGE));
    assert!(small.0 > 0 && small.0 < 30 && small.1 == 0 && small.2 > 0 && small.2 < 300, "{small:?}");
}

#[test]
fn a_change_on_the_platform_costs_the_same_with_many_targets_and_clients() {
    let change = |targets, clients| {
        let mut w = platform_world(targets, clients);
        let before = work_counts(&w);
        deliver_targets(&mut w, 7..8, TargetState::Draining);
        deliver_targets(&mut w, 7..8, TargetState::Removed);
        work_since(&w, before)
    };
    let small = change(SMALL, 1);
    assert_eq!(small, change(LARGE, 300));
    assert!(small.0 > 0 && small.0 < 30 && small.1 == 0 && small.2 == 0, "{small:?}");
}

#[test]
fn saved_bytes_depend_on_the_changes_and_not_on_the_list_length() {
    // Enough changes that a small list is rewritten many times.
    const CHANGES: u64 = 2_000;
    let changes = |nodes| {
        let mut w = world_with_nodes(nodes);
        let (full_list_bytes, before) = (w.saved.as_ref().map_or(0, Vec::len) as u64, work_counts(&w));
        for change in 0..CHANGES {
            let state = if change % 2 == 0 { State::Draining } else { State::Serving };
            deliver_changes(&mut w, &[change % SMALL], state);
        }
        (full_list_bytes, work_since(&w, before).2)
    };
    let (full_list_bytes, small) = changes(SMALL);
    let (_, large) = changes(LARGE);
    // The large list has not been rewritten yet: this is the size of the appended changes.
    assert!(large > 0 && large < CHANGES * 150, "{large} bytes saved for {CHANGES} changes");
    assert!(small <= 2 * large + full_list_bytes, "{small} bytes saved, the changes alone take {large}");
}

#[test]
fn a_sweep_visits_only_nodes_that_are_due() {
    let sweeps = |targets, removed: u64| {
        let mut w = platform_world(targets, 20);
        deliver_targets(&mut w, 0..removed, TargetState::Removed);
        w.run(REMOVED_RETENTION_MS - 2_000);
        assert_eq!(w.core.footprint().nodes, targets as usize);
        let before = work_counts(&w);
        w.run(1_000);
        assert_eq!(work_since(&w, before), (0, 0, 0), "no node is due");
        w.run(2_000);
        assert_eq!(
            w.core.footprint().nodes,
            (targets - removed) as usize,
            "removed nodes are discarded when due"
        );
        work_since(&w, before)
    };
    let small = sweeps(SMALL, 5);
    assert_eq!(small, sweeps(LARGE, 5));
    assert!(small.0 >= 5 && small.0 < 50 && small.1 == 0, "{small:?}");
}

#[test]
fn the_readiness_check_visits_no_targets() {
    for targets in [SMALL, LARGE] {
        let mut w = platform_world(targets, 0);
        let client = w.http_client();
        for (state, status) in [(TargetState::Draining, 503), (TargetState::Up, 200)] {
            deliver_targets(&mut w, 0..targets, state);
            let before = work_counts(&w);
            request_readiness(&mut w, client);
            assert_eq!(w.statuses(client).last(), Some(&status));
            assert_eq!(work_since(&w, before), (0, 0, 0));
        }
    }
}

#[test]
fn the_longest_idle_node_connection_is_evicted_without_a_walk() {
    let eviction_work = |targets| {
        let mut c = baseline(platform_config(2500), targets);
        c.bounds.max_node_connections = 3;
        let mut w = Harness::new(c, 0);
        deliver_targets(&mut w, 0..targets, TargetState::Up);
        for node in 0..4 {
            w.connect_outcomes.insert(
                format!("127.0.0.1:{}", 10_000 + node).parse().unwrap(),
                ConnectOutcome::Welcomes(node),
            );
        }
        let served = |w: &mut Harness, node: u64| {
            let client = w.http_client();
            w.send_bytes(client, http_request(&format!("{node}"), "read", node as i64, "1.000").as_bytes());
            w.run(5);
            let link = w.connect_attempts.last().unwrap().0;
            w.answer(link, "200 OK", "");
            w.run(5);
            assert_eq!(w.statuses(client), [200]);
            link
        };
        let first = served(&mut w, 0);
        served(&mut w, 1);
        served(&mut w, 2);
        let before = work_counts(&w);
        served(&mut w, 3);
        assert!(w.closed.contains(&first), "the longest idle connection is closed");
        work_since(&w, before)
    };
    let small = eviction_work(SMALL);
    assert_eq!(small, eviction_work(LARGE));
    assert!(small.0 < 30 && small.1 == 0, "{small:?}");
}

#[test]
fn the_limit_on_buffered_answers_is_checked_without_a_walk_over_the_clients() {
    const LARGE_ANSWER: usize = 70_000;
    let mut w = Harness::new(baseline(platform_config(2500), 1), 0);
    let max_unread_response_bytes = 2 * LARGE_ANSWER;
    w.core.set_memory_bounds(MemoryBounds { max_unread_response_bytes, ..MemoryBounds::default() });
    w.connect_outcomes.insert("127.0.0.1:10000".parse().unwrap(), ConnectOutcome::Welcomes(0));
    deliver_targets(&mut w, 0..1, TargetState::Up);
    let served = |w: &mut Harness, id: &str| {
        let client = w.http_client();
        w.send_bytes(client, http_request(id, "read", 0, "1.000").as_bytes());
        w.run(5);
        w.blocked.insert(client);
        let link = w.connect_attempts.last().unwrap().0;
        w.answer(link, "200 OK", &"x".repeat(LARGE_ANSWER));
        w.run(30);
        client
    };
    for _ in 0..50 {
        w.http_client();
    }
    let before = work_counts(&w);
    let clients = ["1", "2", "3"].map(|id| served(&mut w, id));
    assert_eq!(work_since(&w, before).1, 0);
    let sizes = clients.map(|client| w.core.outgoing(client).len() / LARGE_ANSWER);
    assert_eq!(sizes, [1, 0, 0], "two answers with their heads exceed max_unread_response_bytes");
    // An answer that was read, or whose client disconnected, no longer counts.
    w.blocked.clear();
    w.drain(clients[0]);
    let fourth = served(&mut w, "4");
    assert_eq!(w.core.outgoing(fourth).len() / LARGE_ANSWER, 1);
    w.core.closed(fourth, "closed by peer", w.now);
    let fifth = served(&mut w, "5");
    assert_eq!(w.core.outgoing(fifth).len() / LARGE_ANSWER, 1);
}

/// A core on the platform's wire that may probe its only target and has the given number of idle connections
/// to it.
fn probing_world(idle: u64) -> Harness {
    let mut c = platform_config(2500);
    (c.site.settings.max_concurrent_attempts, c.site.settings.may_probe) = (2, true);
    let mut w = Harness::new(c, 0);
    w.connect_outcomes.insert("127.0.0.1:10000".parse().unwrap(), ConnectOutcome::Welcomes(0));
    deliver_targets(&mut w, 0..1, TargetState::Up);
    for id in (0..5).map(|round| 10 * round) {
        (id..id + idle).for_each(|id| submit_request(&mut w, id));
        for id in id..id + idle {
            answer_attempt(&mut w, id);
        }
        w.run(30);
    }
    w
}

/// A new client sends a request for the first target.
fn submit_request(w: &mut Harness, id: u64) {
    let client = w.http_client();
    w.send_bytes(client, http_request(&format!("{id}"), "read", 0, "1.000").as_bytes());
    w.run(10);
}

/// The newest open connection whose last message contains the text.
fn newest_conn_with(w: &Harness, text: &str) -> Option<ConnId> {
    let last_message = |conn: &ConnId| w.sent_text_on(*conn).rsplit("\r\n\r\n").nth(1);
    let open = w.connect_attempts.iter().rev().map(|(conn, _)| *conn).filter(|conn| !w.closed.contains(conn));
    let mut matching = open.filter(|conn| last_message(conn).is_some_and(|message| message.contains(text)));
    matching.next()
}

fn answer_attempt(w: &mut Harness, id: u64) {
    let link = newest_conn_with(w, &format!("X-Request-ID: {id}\r\n")).expect("the attempt was sent");
    w.answer(link, "200 OK", "");
}

/// Waits until a probe is sent. Returns its connection and whether that connection had been opened before.
fn wait_for_probe(w: &mut Harness) -> (ConnId, bool) {
    let dialled_before = w.connect_attempts.len();
    for _ in 0..400 {
        if let Some(conn) = newest_conn_with(w, "/health") {
            return (conn, w.connect_attempts[..dialled_before].iter().any(|(before, _)| *before == conn));
        }
        w.run(1);
    }
    panic!("no probe was sent for an overdue attempt within 400 ms");
}

#[test]
fn the_connection_of_an_unanswered_probe_is_closed_without_a_walk() {
    for (idle, reuses_connection) in [(1, false), (3, true)] {
        let mut w = probing_world(idle);
        // An answer is lost: a later request is answered before it.
        submit_request(&mut w, 100);
        submit_request(&mut w, 101);
        answer_attempt(&mut w, 101);
        w.run(1_100);
        for _ in 0..50 {
            w.http_client();
        }
        submit_request(&mut w, 200);
        let (probe, on_existing) = wait_for_probe(&mut w);
        assert_eq!(on_existing, reuses_connection, "{idle} idle connections");
        let before = work_counts(&w);
        w.run(255);
        assert!(w.closed.contains(&probe), "the probe has timed out");
        assert_eq!(work_since(&w, before).1, 0, "closing it walks no connections");
    }
}

/// Changes that are unsaved after a failed save are written once, as the full list, and not at every turn.
#[test]
fn a_failed_save_is_retried_once_with_the_full_list_after_a_delay() {
    let mut w = world_with_nodes(SMALL);
    let before = w.core.counts();
    w.core.save_failed(w.now);
    deliver_changes(&mut w, &[3], State::Draining);
    deliver_changes(&mut w, &[4], State::Draining);
    assert_eq!(w.core.counts().saved_bytes, before.saved_bytes, "no save before the retry delay");
    w.run(11_000);
    let after = w.core.counts();
    assert_eq!(after.whole_saves, before.whole_saves + 1);
}
