//! Race conditions on the platform's wire, in virtual time: a list update, a connection event, a client's
//! action or a timer coincides with a decision of the core. Events arrive in the harmful order. Races that
//! need the kernel are in the tests that run the program.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{Address, ConnId, Control, Machine, Micros, Reloaded};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, address, ms, platform_config_with_keyed, request_text};
use std::collections::BTreeMap;

/// The time after which an initiator must have been notified of a change that discovery has.
const NOTIFIED_WITHIN: Micros = Micros(6_000_000);
/// Deduplication window of the class "keyed", in milliseconds.
const DEDUPLICATION_WINDOW_MS: f64 = 300.0;

fn platform_config() -> Config {
    platform_config_with_keyed(2500, DEDUPLICATION_WINDOW_MS)
}

fn config_with_seed(seed: u64) -> Config {
    Config { seed, ..platform_config() }
}

fn list_address() -> Address {
    "127.0.0.1:1".parse().unwrap()
}

/// Number of list requests so far, by connection to the list service.
fn list_requests(w: &Harness) -> BTreeMap<ConnId, usize> {
    let lists = w.connect_attempts.iter().filter(|(_, a)| *a == list_address());
    lists.map(|(c, _)| (*c, w.sent_text_on(*c).matches("GET /v1/endpoints").count())).collect()
}

/// Guards against an initiator that learns of a drain only after the notification deadline. The long poll is
/// silent from its start, a node begins to drain at the same time, and the list service then rejects the
/// first requests.
#[test]
fn a_change_arrives_within_the_deadline_after_a_silent_long_poll_and_rejected_requests() {
    for (seed, rejections) in (0..120).flat_map(|seed| [0, 1, 2, 3].map(|n| (seed, n))) {
        let mut w = Harness::new(config_with_seed(seed), 2);
        // The long poll that is open now is the one that stays silent.
        let silent = w.list_conn();
        let began = w.now;
        w.list[0].1 = State::Draining;
        w.revision += 1;
        let (mut rejections_left, mut received) = (rejections, None);
        while received.is_none() && w.now < began.after(ms(20_000)) {
            w.run(1);
            let open = w.connected.iter().find(|(_, a)| **a == list_address()).map(|(c, _)| *c);
            let Some(conn) = open.filter(|c| *c != silent) else { continue };
            if w.sent_text_on(conn).is_empty() {
                continue;
            }
            if rejections_left > 0 {
                rejections_left -= 1;
                w.answer(conn, "503 Busy", "");
            } else {
                let changes = w.listing(false);
                w.answer(conn, "200 OK", &changes);
                received = Some(w.now);
            }
        }
        let received = received.expect("the list is requested again");
        assert!(
            received.since(began) < NOTIFIED_WITHIN,
            "seed {seed}, {rejections} rejections: received after {} ms",
            received.since(began).ms()
        );
    }
}

/// The list request after one that timed out must not be a long poll: either it is answered at once, or the
/// service is known to be silent.
#[test]
fn the_list_request_after_a_failed_one_is_not_a_long_poll() {
    let mut w = Harness::new(platform_config(), 2);
    let first = w.list_conn();
    let next_list_conn = |w: &mut Harness, old: ConnId| {
        let until = w.now.after(ms(4000));
        while w.now < until {
            w.run(1);
            let open = w.connected.iter().find(|(_, a)| **a == list_address()).map(|(c, _)| *c);
            if let Some(conn) = open.filter(|c| *c != old) {
                return conn;
            }
        }
        panic!("the list service was not connected again within 4 s");
    };
    let second = next_list_conn(&mut w, first);
    assert!(w.closed.contains(&first), "the silent long poll timed out");
    assert!(w.sent_text_on(second).contains("since=1&timeout_ms=0 "), "{}", w.sent_text_on(second));
    let connected_at = w.now;
    let third = next_list_conn(&mut w, second);
    assert!(
        w.closed.contains(&second) && w.now.since(connected_at) < ms(1500),
        "the immediate request timed out"
    );
    let changes = r#"{"rev":1,"all":false,"targets":[]}"#;
    w.answer(third, "200 OK", changes);
    w.run(5);
    assert!(
        !w.sent_text_on(third).ends_with("timeout_ms=0 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"),
        "the next request is a long poll"
    );
}

/// Guards against a back-off that grows although requests between the failures were answered: an answer
/// without a change was not reported to the decision module, so each failure counted as one more in a row.
#[test]
fn an_answer_without_changes_resets_the_back_off() {
    let mut w = Harness::new(platform_config(), 2);
    for _ in 0..8 {
        let conn = w.list_conn();
        w.answer(conn, "200 OK", r#"{"rev":1,"all":false,"targets":[]}"#);
        w.run(5);
        w.answer(conn, "503 Busy", "");
        w.run(250);
        assert_ne!(w.list_conn(), conn, "reconnected within the initial back-off");
    }
}

/// After a reload the connection to the old list service closes, and 4 s later changes at the new service
/// must have arrived.
#[test]
fn a_reload_during_a_list_request_gets_the_new_list_in_time_although_the_new_service_is_busy() {
    for seed in 0..40 {
        let mut w = Harness::new(config_with_seed(seed), 2);
        // Failures at the old service, so that the back-off has grown.
        w.list_up = false;
        let old = w.list_conn();
        w.core.closed(old, "reset", w.now);
        w.connected.remove(&old);
        w.run(9000);
        let new: Address = "127.0.0.1:2".parse().unwrap();
        w.connect_outcomes.insert(new.clone(), ConnectOutcome::Silent);
        w.rejections_left = 2;
        w.answers_polls = true;
        let began = w.now;
        let reloaded = Reloaded { bounds: platform_config().bounds, memory_bounds: None, list: new.clone() };
        w.core.control(Control::Reload(reloaded), w.now);
        while w.listed_at <= began && w.now < began.after(ms(10_000)) {
            w.run(1);
        }
        assert_eq!(w.rejections_left, 0);
        assert!(w.listed_at > began, "seed {seed}: the new service is retried until it answers");
        let took = w.listed_at.since(began);
        assert!(took < ms(4000), "seed {seed}: list received after {} ms", took.ms());
    }
}

/// Guards the list service against synchronised polling: all initiators start together, and the list does not
/// change.
#[test]
fn list_requests_of_a_fleet_spread_out() {
    let mut requests_by_second: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..300 {
        let mut w = Harness::new(config_with_seed(seed), 2);
        let start = w.now;
        let mut requests_before = 0;
        let mut due: Option<(ConnId, Micros)> = None;
        while w.now < start.after(ms(30_000)) {
            w.run(10);
            let requests: usize = list_requests(&w).values().sum();
            *requests_by_second.entry(w.now.since(start).0 / 1_000_000).or_default() +=
                requests - requests_before;
            if requests > requests_before {
                requests_before = requests;
                let conn = w.list_conn();
                let wait: u64 = w
                    .sent_text_on(conn)
                    .rsplit("timeout_ms=")
                    .next()
                    .unwrap()
                    .split(' ')
                    .next()
                    .unwrap()
                    .parse()
                    .unwrap();
                due = Some((conn, w.now.after(ms(wait))));
            }
            if let Some((conn, _)) = due.take_if(|(_, at)| *at <= w.now) {
                w.answer(conn, "200 OK", r#"{"rev":1,"all":false,"targets":[]}"#);
            }
        }
    }
    // Long polls last 2 s on average: 150 requests a second, however the polls began.
    let later: Vec<usize> = requests_by_second.range(10..29).map(|(_, n)| *n).collect();
    assert!(later.iter().all(|n| (100..220).contains(n)), "{requests_by_second:?}");
}

/// Guards against lost wake-ups: one that fires a fraction of a microsecond early finds nothing due, and of
/// two that are requested both have to fire.
#[test]
fn while_a_request_is_queued_the_core_wakes_every_few_milliseconds() {
    for seed in 0..60 {
        let mut w = Harness::new(config_with_seed(seed), 1);
        // Offsets that are not exact as floating-point milliseconds.
        w.now = Micros(w.now.0 + 7 + seed * 131);
        w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Refused);
        let mut clients = Vec::new();
        for n in 0..12 {
            let client = w.http_client();
            w.send_bytes(client, request_text(&format!("r{n}"), "read").as_bytes());
            clients.push(client);
            for _ in 0..(1 + (seed + n) % 5) {
                w.now = Micros(w.now.0 + 613);
                w.turn();
                // A second turn for the connection that failed at once, as the driver takes one.
                w.turn();
            }
            let is_queued = clients.iter().any(|c| w.statuses(*c).is_empty());
            let next = w.next_wake().map_or(u64::MAX, |at| at.since(w.now).0);
            assert!(!is_queued || next <= 12_000, "seed {seed}, request {n}: next wake-up in {next} us");
        }
    }
}

/// Guards the idempotency rule: nodes drop duplicates for a limited time after the first attempt, and the
/// connection for a retry may only be established after that.
#[test]
fn a_retry_whose_deduplication_window_ends_while_it_connects_is_not_sent() {
    for late in [false, true] {
        let mut w = Harness::new(platform_config(), 1);
        let (client, link) = w.request_in_flight("r1", "keyed");
        w.run(90);
        w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
        w.core.closed(link, "reset", w.now);
        w.connected.remove(&link);
        w.run(60);
        let again = *w.conns_to(0).last().unwrap();
        assert_ne!(again, link, "the retry begins within the window");
        w.run(if late { 170 } else { 100 });
        w.core.connected(again, w.now);
        w.run(5);
        assert_eq!(
            w.attempts_sent("r1"),
            if late { 1 } else { 2 },
            "late {late}: first sent 5 ms after it arrived"
        );
        if late {
            w.run(1000);
            assert_eq!(w.attempts_sent("r1"), 1);
            assert_eq!(w.statuses(client), [500], "the first attempt may have run");
        }
    }
}

/// The same for a request whose client disconnects while the connection is being established.
#[test]
fn nothing_is_sent_on_a_connection_established_after_the_client_disconnected() {
    let mut w = Harness::new(platform_config(), 1);
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let (client, link) = w.request_in_flight("r1", "once");
    w.core.closed(client, "closed by peer", w.now);
    w.core.connected(link, w.now);
    w.run(5);
    assert_eq!(w.sent_text_on(link), "");
    // The connection is kept: the next request uses it.
    w.run(25);
    let (_, used) = w.request_in_flight("r2", "once");
    assert_eq!(used, link);
    assert_eq!(w.attempts_sent("r2"), 1);
}

/// Guards against starting a request for a client that has disconnected: it is pipelined behind one whose
/// answer was not fully written when the client closed its side.
#[test]
fn a_pipelined_request_is_not_started_after_its_client_has_closed() {
    let mut w = Harness::new(platform_config(), 1);
    let (client, link) = w.request_in_flight("r1", "read");
    w.blocked.insert(client);
    w.answer(link, "200 OK", "ok");
    w.run(30);
    w.send_bytes(client, request_text("r2", "read").as_bytes());
    assert!(w.core.peer_finished(client, w.now), "the pending answer is still written");
    w.blocked.remove(&client);
    w.drain(client);
    w.run(100);
    assert_eq!(w.statuses(client), [200]);
    assert_eq!(w.attempts_sent("r2"), 0);
    assert!(w.closed.contains(&client), "the connection closes once the answer is written");
}

/// Guards against an attempt that starts long after its client has disconnected because its node did not read
/// until then.
#[test]
fn an_attempt_not_fully_written_is_dropped_when_its_client_disconnects() {
    let mut w = Harness::new(platform_config(), 1);
    let (first, link) = w.request_in_flight("r0", "read");
    w.answer(link, "200 OK", "ok");
    w.run(30);
    w.blocked.insert(link);
    w.send_bytes(first, request_text("r1", "once").as_bytes());
    w.run(5);
    assert!(!w.core.outgoing(link).is_empty(), "the attempt is queued for writing");
    w.core.closed(first, "closed by peer", w.now);
    w.run(5);
    assert!(w.closed.contains(&link));
    assert_eq!(w.attempts_sent("r1"), 0);
    assert_eq!(w.core.pending_requests(), 0);
}

/// An answer without a length that ends with its connection is complete at the end of the stream; after a
/// reset it is incomplete.
#[test]
fn an_answer_without_a_length_is_complete_at_the_end_of_stream_and_never_at_a_reset() {
    let begin_answer = |w: &mut Harness| {
        let (client, link) = w.request_in_flight("r1", "once");
        w.send_bytes(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal");
        w.run(100);
        w.send_bytes(link, b"f and half");
        w.run(100);
        assert!(w.statuses(client).is_empty());
        (client, link)
    };
    let mut w = Harness::new(platform_config(), 1);
    let (client, link) = begin_answer(&mut w);
    // As the driver does at the end of a stream.
    if !w.core.peer_finished(link, w.now) {
        w.core.closed(link, "closed by peer", w.now);
    }
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.sent_text_on(client).ends_with("half and half"));
    assert_eq!(w.core.footprint().partial_bytes, 0);
    let mut w = Harness::new(platform_config(), 1);
    let (client, link) = begin_answer(&mut w);
    w.core.closed(link, "reset by peer", w.now);
    w.run(5);
    assert_eq!(w.statuses(client), [500], "the request may have run and must run at most once");
    assert_eq!(w.core.footprint().partial_bytes, 0);
    // An answer that makes no progress fails the request.
    let mut w = Harness::new(platform_config(), 1);
    let (client, _) = begin_answer(&mut w);
    w.run(300);
    assert_eq!(w.statuses(client), [500]);
}

/// Guards against answers that are lost when a connection with unread bytes is closed, and against requests
/// that start after the shutdown: the write side of idle client connections is shut down first, they are read
/// to the end of the stream, and the bytes they send are dropped.
#[test]
fn at_the_end_of_a_shutdown_idle_clients_are_half_closed_and_their_new_requests_are_dropped() {
    let mut w = Harness::new(platform_config(), 1);
    let (idle, link) = w.request_in_flight("r1", "read");
    w.answer(link, "200 OK", "ok");
    w.run(30);
    let new = w.http_client();
    w.core.control(Control::Stop, w.now);
    w.run(1380);
    let last = w.http_client();
    w.run(30);
    assert!(w.write_closed.contains(&idle) && w.write_closed.contains(&new) && !w.closed.contains(&idle));
    w.send_bytes(idle, request_text("r2", "read").as_bytes());
    w.send_bytes(last, request_text("r3", "read").as_bytes());
    w.run(20);
    assert_eq!(w.attempts_sent("r2") + w.attempts_sent("r3"), 0);
    assert_eq!(w.statuses(last), [503], "the last client gets an error answer");
    assert!(w.sent_text_on(last).contains("Connection: close") && w.write_closed.contains(&last));
    assert!(!w.exited, "clients may still be reading");
    for conn in [idle, new, last] {
        w.core.closed(conn, "closed by peer", w.now);
    }
    w.run(1);
    assert!(w.exited, "with all clients closed the core exits before the time-out");
}

/// Bytes that a client sends after its last request are dropped, and its pending answer is still delivered.
#[test]
fn the_last_answer_of_a_shutdown_is_delivered_although_more_requests_follow() {
    let mut w = Harness::new(platform_config(), 1);
    let (client, link) = w.request_in_flight("r1", "read");
    w.send_bytes(client, request_text("r2", "read").as_bytes());
    w.core.control(Control::Stop, w.now);
    w.answer(link, "200 OK", "ok");
    w.run(1460);
    assert_eq!(w.statuses(client), [200, 500], "the second request is answered before the exit");
    let attempts = w.attempts_sent("r2");
    assert!(w.write_closed.contains(&client) && !w.closed.contains(&client));
    w.send_bytes(client, request_text("r3", "read").as_bytes());
    w.run(50);
    assert!(!w.closed.contains(&client) && !w.exited, "the connection is read until its client closes");
    assert_eq!((w.attempts_sent("r2"), w.attempts_sent("r3")), (attempts, 0));
    w.run(200);
    assert!(w.exited, "the shutdown time-out ends the wait");
}
