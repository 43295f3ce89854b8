//! What a change of the list, a save, a sweep, a probe and a request cost as the list grows, by counts and never
//! by time: nodes looked at, connections gone through, bytes saved.

mod harness;

use flaxstand::api::ListScope;
use flaxstand_gateway::core::{Config, Policy};
use flaxstand_gateway::machine::{ConnId, Machine};
use flaxstand_platform::{Listing, Target, TargetState};
use flaxstand_proto::*;
use harness::*;

const SMALL: u64 = 100;
const LARGE: u64 = 25_000;
/// Entries told in one frame.
const PART: usize = 3_000;
/// A node that is gone is forgotten after this.
const REMEMBERED_MS: u64 = 30_000;

/// Nodes looked at, connections gone through, bytes saved.
type Work = (u64, u64, u64);

fn work(w: &Harness) -> Work {
    let counts = w.core.counts();
    (counts.nodes_visited, counts.connections_walked, counts.saved_bytes)
}

fn since(w: &Harness, before: Work) -> Work {
    let now = work(w);
    (now.0 - before.0, now.1 - before.1, now.2 - before.2)
}

/// The baseline decides: what the module does is not counted here.
fn baseline(config: Config, listed: u64) -> Config {
    let mut config = Config { policy: Policy::RoundRobin, ..config };
    config.bounds.max_endpoints = listed as usize + 10;
    // The list is told by the test alone.
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config
}

/// Tells changes on frames. All addresses have one length, so that entries have.
fn tell_changes(w: &mut Harness, nodes: &[u64], state: State) {
    let address_of = |node: &u64| format!("127.0.0.1:{}", 10_000 + node);
    let addresses: Vec<String> = nodes.iter().map(address_of).collect();
    let told = nodes.iter().zip(&addresses);
    let entries = told.map(|(node, address)| entry(*node, state, *node as u32, address)).collect();
    let since = w.revision;
    w.revision += 1;
    let list = List { extent: Extent::Changes, since, revision: w.revision, entries };
    w.send_frame(w.list_conn(), &Frame::List(list));
    w.turn();
}

/// A core on frames with so many nodes listed, all of them saved.
fn listed(nodes: u64) -> Harness {
    let mut w = Harness::new(baseline(config(), nodes), 0);
    let all: Vec<u64> = (0..nodes).collect();
    all.chunks(PART).for_each(|part| tell_changes(&mut w, part, State::Serving));
    // A life that was told of the whole anew saves it whole.
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

fn tell_targets(w: &mut Harness, nodes: impl Iterator<Item = u64>, state: TargetState) {
    w.revision += 1;
    let targets = nodes.map(|node| target(node, state)).collect();
    let listing = Listing { revision: w.revision, is_full: false, targets };
    w.core.apply_platform_listing(ListScope::Changes, &listing, w.now);
    w.turn();
}

/// A core on the platform with so many targets listed, and so many clients that have been answered once.
fn platform(targets: u64, clients: usize) -> Harness {
    let mut w = Harness::new(baseline(platform_config(2500), targets), 0);
    tell_targets(&mut w, 0..targets, TargetState::Up);
    for _ in 0..clients {
        let client = w.http_client();
        ask_ready(&mut w, client);
    }
    w
}

fn ask_ready(w: &mut Harness, client: ConnId) {
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
    w.turn();
}

#[test]
fn a_change_on_frames_costs_the_same_with_100_nodes_listed_as_with_25_000() {
    let change = |nodes| {
        let mut w = listed(nodes);
        let before = work(&w);
        tell_changes(&mut w, &[7], State::Draining);
        tell_changes(&mut w, &[7], State::Removed);
        since(&w, before)
    };
    let small = change(SMALL);
    assert_eq!(small, change(LARGE));
    assert!(small.0 > 0 && small.0 < 30 && small.1 == 0 && small.2 > 0 && small.2 < 300, "{small:?}");
}

#[test]
fn a_change_on_the_platform_goes_through_no_more_with_many_targets_and_clients() {
    let change = |targets, clients| {
        let mut w = platform(targets, clients);
        let before = work(&w);
        tell_targets(&mut w, 7..8, TargetState::Draining);
        tell_targets(&mut w, 7..8, TargetState::Removed);
        since(&w, before)
    };
    let small = change(SMALL, 1);
    assert_eq!(small, change(LARGE, 300));
    assert!(small.0 > 0 && small.0 < 30 && small.1 == 0 && small.2 == 0, "{small:?}");
}

#[test]
fn bytes_saved_follow_the_changes_and_not_the_list() {
    // So many changes that a small list is rewritten many times.
    const CHANGES: u64 = 2_000;
    let changes = |nodes| {
        let mut w = listed(nodes);
        let (whole, before) = (w.saved.as_ref().map_or(0, Vec::len) as u64, work(&w));
        for change in 0..CHANGES {
            let state = if change % 2 == 0 { State::Draining } else { State::Serving };
            tell_changes(&mut w, &[change % SMALL], state);
        }
        (whole, since(&w, before).2)
    };
    let (whole, small) = changes(SMALL);
    let (_, large) = changes(LARGE);
    // Nothing is rewritten in a large list yet: this is what the changes themselves take.
    assert!(large > 0 && large < CHANGES * 150, "{large} bytes for {CHANGES} changes");
    assert!(small <= 2 * large + whole, "{small} bytes where the changes alone are {large}");
}

#[test]
fn a_sweep_looks_at_what_is_due_only() {
    let sweeps = |targets, gone: u64| {
        let mut w = platform(targets, 20);
        tell_targets(&mut w, 0..gone, TargetState::Removed);
        w.run(REMEMBERED_MS - 2_000);
        assert_eq!(w.core.footprint().nodes, targets as usize);
        let before = work(&w);
        w.run(1_000);
        assert_eq!(since(&w, before), (0, 0, 0), "nothing is due");
        w.run(2_000);
        assert_eq!(w.core.footprint().nodes, (targets - gone) as usize, "the due ones are forgotten");
        since(&w, before)
    };
    let small = sweeps(SMALL, 5);
    assert_eq!(small, sweeps(LARGE, 5));
    assert!(small.0 >= 5 && small.0 < 50 && small.1 == 0, "{small:?}");
}

#[test]
fn whether_any_target_serves_is_known_without_a_look_at_them() {
    for targets in [SMALL, LARGE] {
        let mut w = platform(targets, 0);
        let client = w.http_client();
        for (state, status) in [(TargetState::Draining, 503), (TargetState::Up, 200)] {
            tell_targets(&mut w, 0..targets, state);
            let before = work(&w);
            ask_ready(&mut w, client);
            assert_eq!(w.statuses(client).last(), Some(&status));
            assert_eq!(since(&w, before), (0, 0, 0));
        }
    }
}

#[test]
fn the_longest_idle_connection_gives_its_place_without_a_walk() {
    let room = |targets| {
        let mut c = baseline(platform_config(2500), targets);
        c.bounds.max_node_connections = 3;
        let mut w = Harness::new(c, 0);
        tell_targets(&mut w, 0..targets, TargetState::Up);
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
        let before = work(&w);
        served(&mut w, 3);
        assert!(w.closed.contains(&first), "the longest idle is closed");
        since(&w, before)
    };
    let small = room(SMALL);
    assert_eq!(small, room(LARGE));
    assert!(small.0 < 30 && small.1 == 0, "{small:?}");
}

#[test]
fn whether_a_large_answer_has_room_is_known_without_a_walk_over_the_clients() {
    const LARGE_ANSWER: usize = 70_000;
    let mut c = baseline(platform_config(2500), 1);
    c.bounds.max_response_bytes = 2 * LARGE_ANSWER;
    let mut w = Harness::new(c, 0);
    w.connect_outcomes.insert("127.0.0.1:10000".parse().unwrap(), ConnectOutcome::Welcomes(0));
    tell_targets(&mut w, 0..1, TargetState::Up);
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
    let before = work(&w);
    let clients = ["1", "2", "3"].map(|id| served(&mut w, id));
    assert_eq!(since(&w, before).1, 0);
    let sizes = clients.map(|client| w.core.outgoing(client).len() / LARGE_ANSWER);
    assert_eq!(sizes, [1, 0, 0], "head and body of two are more than may wait");
    // What was read, or will never be, waits no longer.
    w.blocked.clear();
    w.drain(clients[0]);
    let fourth = served(&mut w, "4");
    assert_eq!(w.core.outgoing(fourth).len() / LARGE_ANSWER, 1);
    w.core.closed(fourth, "gone", w.now);
    let fifth = served(&mut w, "5");
    assert_eq!(w.core.outgoing(fifth).len() / LARGE_ANSWER, 1);
}

/// A core on the platform that may probe its one target, and has this many idle connections to it.
fn probing(idle: u64) -> Harness {
    let mut c = platform_config(2500);
    (c.site.settings.max_concurrent_attempts, c.site.settings.may_probe) = (2, true);
    let mut w = Harness::new(c, 0);
    w.connect_outcomes.insert("127.0.0.1:10000".parse().unwrap(), ConnectOutcome::Welcomes(0));
    tell_targets(&mut w, 0..1, TargetState::Up);
    for id in (0..5).map(|round| 10 * round) {
        (id..id + idle).for_each(|id| ask(&mut w, id));
        for id in id..id + idle {
            answer_attempt(&mut w, id);
        }
        w.run(30);
    }
    w
}

/// A new client asks the first target for something.
fn ask(w: &mut Harness, id: u64) {
    let client = w.http_client();
    w.send_bytes(client, http_request(&format!("{id}"), "read", 0, "1.000").as_bytes());
    w.run(10);
}

/// The newest open connection whose last message has these words.
fn carrying(w: &Harness, words: &str) -> Option<ConnId> {
    let last_message = |conn: &ConnId| w.sent_text_on(*conn).rsplit("\r\n\r\n").nth(1);
    let open = w.connect_attempts.iter().rev().map(|(conn, _)| *conn).filter(|conn| !w.closed.contains(conn));
    let mut carrying = open.filter(|conn| last_message(conn).is_some_and(|text| text.contains(words)));
    carrying.next()
}

fn answer_attempt(w: &mut Harness, id: u64) {
    let link = carrying(w, &format!("X-Request-ID: {id}\r\n")).expect("it was sent");
    w.answer(link, "200 OK", "");
}

/// A probe goes out. Where, and whether it was on a connection that had been called before.
fn probe_sent(w: &mut Harness) -> (ConnId, bool) {
    let called = w.connect_attempts.len();
    for _ in 0..400 {
        if let Some(conn) = carrying(w, "/health") {
            return (conn, w.connect_attempts[..called].iter().any(|(before, _)| *before == conn));
        }
        w.run(1);
    }
    panic!("no probe for an attempt that is out for too long");
}

#[test]
fn a_probe_that_is_not_answered_is_hung_up_on_without_a_walk() {
    for (idle, again) in [(1, false), (3, true)] {
        let mut w = probing(idle);
        // An answer is lost: a later request overtakes it.
        ask(&mut w, 100);
        ask(&mut w, 101);
        answer_attempt(&mut w, 101);
        w.run(1_100);
        for _ in 0..50 {
            w.http_client();
        }
        ask(&mut w, 200);
        let (probe, on_old) = probe_sent(&mut w);
        assert_eq!(on_old, again, "{idle} idle connections");
        let before = work(&w);
        w.run(255);
        assert!(w.closed.contains(&probe), "it is not waited for any longer");
        assert_eq!(since(&w, before).1, 0, "no connection was gone through for it");
    }
}

/// What waits for a save after one that failed is written once, whole, and not at every turn.
#[test]
fn a_save_that_failed_is_made_again_whole_and_not_at_once() {
    let mut w = listed(SMALL);
    let before = w.core.counts();
    w.core.save_failed(w.now);
    tell_changes(&mut w, &[3], State::Draining);
    tell_changes(&mut w, &[4], State::Draining);
    assert_eq!(w.core.counts().saved_bytes, before.saved_bytes, "not yet");
    w.run(11_000);
    let after = w.core.counts();
    assert_eq!(after.whole_saves, before.whole_saves + 1);
}
