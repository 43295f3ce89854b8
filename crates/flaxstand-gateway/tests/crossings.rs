//! Rare moments on the platform's wire, on virtual time: a list, a connection, a client or a timer crosses what
//! the core has decided. Events come in the order that does harm; what needs the kernel is in the program's tests.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{Address, ConnId, Control, Machine, Micros, Reloaded};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, address, http_request, ms, platform_config_with_keyed};
use std::collections::BTreeMap;

/// From when on a change counts as told, after discovery had it.
const TOLD: Micros = Micros(6_000_000);
/// How long repeats of the class "keyed" are dropped.
const WINDOW: f64 = 300.0;

fn platform() -> Config {
    platform_config_with_keyed(2500, WINDOW)
}

fn seeded(seed: u64) -> Config {
    Config { seed, ..platform() }
}

fn ask(id: &str, class: &str) -> String {
    http_request(id, class, 0, "1.000")
}

/// Attempts of a request that node 0 was sent, over all its connections.
fn sent(w: &Harness, id: &str) -> usize {
    w.conns_to(0).iter().map(|l| w.sent_text_on(*l).matches(&format!("X-Request-ID: {id}\r\n")).count()).sum()
}

fn list_address() -> Address {
    "127.0.0.1:1".parse().unwrap()
}

/// Calls to the list service so far, by connection.
fn list_calls(w: &Harness) -> BTreeMap<ConnId, usize> {
    let lists = w.connect_attempts.iter().filter(|(_, a)| *a == list_address());
    lists.map(|(c, _)| (*c, w.sent_text_on(*c).matches("GET /v1/endpoints").count())).collect()
}

/// Guards against a change that counts as told before it is heard. The watch is silent from its first moment, and at
/// that moment a node begins to drain; after that the list service turns the first calls away.
#[test]
fn a_silent_watch_and_busy_calls_after_it_are_over_before_the_change_counts_as_told() {
    for (seed, turned_away) in (0..120).flat_map(|seed| [0, 1, 2, 3].map(|n| (seed, n))) {
        let mut w = Harness::new(seeded(seed), 2);
        // The watch that is open now is the one that falls silent.
        let silent = w.list_conn();
        let began = w.now;
        w.list[0].1 = State::Draining;
        w.revision += 1;
        let (mut away, mut heard) = (turned_away, None);
        while heard.is_none() && w.now < began.after(ms(20_000)) {
            w.run(1);
            let open = w.connected.iter().find(|(_, a)| **a == list_address()).map(|(c, _)| *c);
            let Some(conn) = open.filter(|c| *c != silent) else { continue };
            if w.sent_text_on(conn).is_empty() {
                continue;
            }
            if away > 0 {
                away -= 1;
                w.answer(conn, "503 Busy", "");
            } else {
                let changes = w.listing(false);
                w.answer(conn, "200 OK", &changes);
                heard = Some(w.now);
            }
        }
        let heard = heard.expect("the list is asked for again");
        assert!(
            heard.since(began) < TOLD,
            "seed {seed}, {turned_away} turned away: {} ms",
            heard.since(began).ms()
        );
    }
}

/// A call that is made anew after a silent one is answered at once or is silent too: it must not wait in its turn.
#[test]
fn the_call_after_a_failed_one_does_not_wait() {
    let mut w = Harness::new(platform(), 2);
    let first = w.list_conn();
    let other_than = |w: &mut Harness, old: ConnId| {
        let until = w.now.after(ms(4000));
        while w.now < until {
            w.run(1);
            let open = w.connected.iter().find(|(_, a)| **a == list_address()).map(|(c, _)| *c);
            if let Some(conn) = open.filter(|c| *c != old) {
                return conn;
            }
        }
        panic!("the list service was not called again");
    };
    let second = other_than(&mut w, first);
    assert!(w.closed.contains(&first), "silent beyond its wait");
    assert!(w.sent_text_on(second).contains("since=1&timeout_ms=0 "), "{}", w.sent_text_on(second));
    let called = w.now;
    let third = other_than(&mut w, second);
    assert!(w.closed.contains(&second) && w.now.since(called) < ms(1500), "it is silent too");
    let changes = r#"{"rev":1,"all":false,"targets":[]}"#;
    w.answer(third, "200 OK", changes);
    w.run(5);
    assert!(
        !w.sent_text_on(third).ends_with("timeout_ms=0 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n"),
        "it waits again"
    );
}

/// Guards against waits that grow although calls between the failures were answered: an answer without a change was
/// not told to the module, and each failure counted as one more in a row.
#[test]
fn an_answer_that_changes_nothing_ends_a_row_of_failures() {
    let mut w = Harness::new(platform(), 2);
    for _ in 0..8 {
        let conn = w.list_conn();
        w.answer(conn, "200 OK", r#"{"rev":1,"all":false,"targets":[]}"#);
        w.run(5);
        w.answer(conn, "503 Busy", "");
        w.run(250);
        assert_ne!(w.list_conn(), conn, "called again within the first wait");
    }
}

/// After a reload the old list service closes, and what the new one has counts as told 4 s later.
#[test]
fn a_reload_with_a_call_in_flight_is_heard_in_time_although_the_new_service_is_busy() {
    for seed in 0..40 {
        let mut w = Harness::new(seeded(seed), 2);
        // Failures at the old one, so that the module would wait long.
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
        let reloaded = Reloaded { bounds: platform().bounds, list: new.clone() };
        w.core.control(Control::Reload(reloaded), w.now);
        while w.listed_at <= began && w.now < began.after(ms(10_000)) {
            w.run(1);
        }
        assert_eq!(w.rejections_left, 0);
        assert!(w.listed_at > began, "seed {seed}: the new one is called until it answers");
        let took = w.listed_at.since(began);
        assert!(took < ms(4000), "seed {seed}: {} ms", took.ms());
    }
}

/// Guards the list service against a fleet that calls in step: all begin together, and lists do not change.
#[test]
fn calls_of_a_whole_fleet_spread_out() {
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    for seed in 0..300 {
        let mut w = Harness::new(seeded(seed), 2);
        let start = w.now;
        let mut made = 0;
        let mut due: Option<(ConnId, Micros)> = None;
        while w.now < start.after(ms(30_000)) {
            w.run(10);
            let now: usize = list_calls(&w).values().sum();
            *calls.entry(w.now.since(start).0 / 1_000_000).or_default() += now - made;
            if now > made {
                made = now;
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
    // Waits are 2 s in the mean: 150 a second, however they began.
    let later: Vec<usize> = calls.range(10..29).map(|(_, n)| *n).collect();
    assert!(later.iter().all(|n| (100..220).contains(n)), "{calls:?}");
}

/// Guards against wakes that are lost: one that comes a part of a microsecond early finds nothing due, and of two that
/// are asked for both have to come.
#[test]
fn while_a_request_waits_the_module_is_looked_to_every_few_milliseconds() {
    for seed in 0..60 {
        let mut w = Harness::new(seeded(seed), 1);
        // Offsets that milliseconds in floating point do not hold exactly.
        w.now = Micros(w.now.0 + 7 + seed * 131);
        w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Refused);
        let mut clients = Vec::new();
        for n in 0..12 {
            let client = w.http_client();
            w.send_bytes(client, ask(&format!("r{n}"), "read").as_bytes());
            clients.push(client);
            for _ in 0..(1 + (seed + n) % 5) {
                w.now = Micros(w.now.0 + 613);
                w.turn();
                // What a call that failed at once led to, as the driver does.
                w.turn();
            }
            let waits = clients.iter().any(|c| w.statuses(*c).is_empty());
            let next = w.next_wake().map_or(u64::MAX, |at| at.since(w.now).0);
            assert!(!waits || next <= 12_000, "seed {seed}, request {n}: next look in {next} us");
        }
    }
}

/// Guards the rule on effects: nodes drop repeats for a while after the first attempt, and the connection of a repeat
/// comes up after that.
#[test]
fn a_repeat_whose_window_ends_while_its_connection_comes_up_is_not_sent() {
    for late in [false, true] {
        let mut w = Harness::new(platform(), 1);
        let (client, link) = w.request_in_flight("r1", "keyed");
        w.run(90);
        w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
        w.core.closed(link, "reset", w.now);
        w.connected.remove(&link);
        w.run(60);
        let again = *w.conns_to(0).last().unwrap();
        assert_ne!(again, link, "it is repeated inside the window");
        w.run(if late { 170 } else { 100 });
        w.core.connected(again, w.now);
        w.run(5);
        assert_eq!(sent(&w, "r1"), if late { 1 } else { 2 }, "late {late}: first sent 5 ms after it came");
        if late {
            w.run(1000);
            assert_eq!(sent(&w, "r1"), 1);
            assert_eq!(w.statuses(client), [500], "it may have run");
        }
    }
}

/// The same for the client's time, and for a client that left.
#[test]
fn nothing_is_sent_on_a_connection_that_comes_up_for_nobody() {
    let mut w = Harness::new(platform(), 1);
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let (client, link) = w.request_in_flight("r1", "once");
    w.core.closed(client, "closed by peer", w.now);
    w.core.connected(link, w.now);
    w.run(5);
    assert_eq!(w.sent_text_on(link), "");
    // The connection is kept: the next request has it.
    w.run(25);
    let (_, used) = w.request_in_flight("r2", "once");
    assert_eq!(used, link);
    assert_eq!(sent(&w, "r2"), 1);
}

/// Guards against a request that is begun for a client that has gone: it stood behind one whose answer was not yet
/// wholly written when the client closed.
#[test]
fn what_a_client_sent_behind_its_last_answer_is_not_begun_once_it_has_gone() {
    let mut w = Harness::new(platform(), 1);
    let (client, link) = w.request_in_flight("r1", "read");
    w.blocked.insert(client);
    w.answer(link, "200 OK", "ok");
    w.run(30);
    w.send_bytes(client, ask("r2", "read").as_bytes());
    assert!(w.core.peer_finished(client, w.now), "its answer still goes out");
    w.blocked.remove(&client);
    w.drain(client);
    w.run(100);
    assert_eq!(w.statuses(client), [200]);
    assert_eq!(sent(&w, "r2"), 0);
    assert!(w.closed.contains(&client), "nothing hangs on it any more");
}

/// Guards against an attempt that begins long after its client has gone, because its node read nothing until then.
#[test]
fn an_attempt_that_has_not_wholly_left_does_not_follow_its_client() {
    let mut w = Harness::new(platform(), 1);
    let (first, link) = w.request_in_flight("r0", "read");
    w.answer(link, "200 OK", "ok");
    w.run(30);
    w.blocked.insert(link);
    w.send_bytes(first, ask("r1", "once").as_bytes());
    w.run(5);
    assert!(!w.core.outgoing(link).is_empty(), "it waits to be written");
    w.core.closed(first, "closed by peer", w.now);
    w.run(5);
    assert!(w.closed.contains(&link));
    assert_eq!(sent(&w, "r1"), 0);
    assert_eq!(w.core.pending_requests(), 0);
}

/// Guards against serving a request with another's answer: a second copy of an answer comes some milliseconds behind
/// the first, and nothing in it says whose it is.
#[test]
fn a_second_answer_some_milliseconds_late_is_no_answer_to_the_next_request() {
    for late in [0, 1, 4, 10, 15] {
        let mut w = Harness::new(platform(), 1);
        let (client, link) = w.request_in_flight("r1", "read");
        w.run(40);
        w.answer(link, "200 OK", "first");
        w.turn();
        w.send_bytes(client, ask("r2", "read").as_bytes());
        w.run(late);
        assert!(late < 4 || sent(&w, "r2") == 1);
        w.answer(link, "200 OK", "first");
        w.run(5);
        assert_eq!(w.statuses(client), [200], "{late} ms: the second request waits for its own answer");
        assert!(w.closed.contains(&link), "a connection that brings more than belongs to it");
        w.run(100);
        let next = *w.conns_to(0).last().unwrap();
        w.answer(next, "200 OK", "second");
        w.run(5);
        assert!(w.sent_text_on(client).ends_with("second"), "{}", w.sent_text_on(client));
    }
    // Another answer, however soon, and the same one later are good; and where all come soon, the same one always.
    let mut w = Harness::new(platform(), 1);
    let (client, link) = w.request_in_flight("r1", "read");
    w.run(40);
    let answers = [(5, "first"), (5, "second"), (25, "second"), (5, "third"), (5, "third"), (4, "third")];
    for (n, (wait, body)) in answers.into_iter().enumerate() {
        w.run(wait);
        w.answer(link, "200 OK", body);
        w.turn();
        w.send_bytes(client, ask(&format!("s{n}"), "read").as_bytes());
        w.run(1);
        assert_eq!(w.statuses(client).len(), n + 1, "{body}");
    }
    assert_eq!(w.conns_to(0).len(), 1);
}

/// One that has rested is preferred to the newest: a second copy shows on that one as what nobody asked for.
#[test]
fn a_connection_that_has_rested_is_used_before_one_that_was_just_answered_on() {
    let mut w = Harness::new(platform(), 1);
    let (_, first) = w.request_in_flight("r1", "read");
    let (second_client, second) = w.request_in_flight("r2", "read");
    w.answer(first, "200 OK", "first");
    w.run(25);
    w.answer(second, "200 OK", "second");
    w.send_bytes(second_client, ask("r3", "read").as_bytes());
    w.run(5);
    assert!(w.sent_text_on(first).contains("X-Request-ID: r3\r\n"), "{}", w.sent_text_on(first));
    assert!(!w.sent_text_on(second).contains("X-Request-ID: r3\r\n"));
}

/// An answer that says no length and that its connection ends with it is whole at the end of the stream; a reset is
/// no end.
#[test]
fn an_answer_without_a_length_is_whole_at_the_end_of_its_stream_and_never_at_a_reset() {
    let begun = |w: &mut Harness| {
        let (client, link) = w.request_in_flight("r1", "once");
        w.send_bytes(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal");
        w.run(100);
        w.send_bytes(link, b"f and half");
        w.run(100);
        assert!(w.statuses(client).is_empty());
        (client, link)
    };
    let mut w = Harness::new(platform(), 1);
    let (client, link) = begun(&mut w);
    // What a driver does at the end of a stream.
    if !w.core.peer_finished(link, w.now) {
        w.core.closed(link, "closed by peer", w.now);
    }
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.sent_text_on(client).ends_with("half and half"));
    assert_eq!(w.core.footprint().partial_bytes, 0);
    let mut w = Harness::new(platform(), 1);
    let (client, link) = begun(&mut w);
    w.core.closed(link, "reset by peer", w.now);
    w.run(5);
    assert_eq!(w.statuses(client), [500], "it may have run, and is not to run again");
    assert_eq!(w.core.footprint().partial_bytes, 0);
    // One that stands still does not hold its client.
    let mut w = Harness::new(platform(), 1);
    let (client, _) = begun(&mut w);
    w.run(300);
    assert_eq!(w.statuses(client), [500]);
}

/// Guards against answers that a close over unread bytes takes away, and against requests that are begun after the
/// shutdown: resting clients are shut first and read to their end, and what they send then is dropped.
#[test]
fn at_the_end_of_a_stop_resting_clients_are_shut_and_what_crosses_is_not_sent_on() {
    let mut w = Harness::new(platform(), 1);
    let (resting, link) = w.request_in_flight("r1", "read");
    w.answer(link, "200 OK", "ok");
    w.run(30);
    let new = w.http_client();
    w.core.control(Control::Stop, w.now);
    w.run(1380);
    let last = w.http_client();
    w.run(30);
    assert!(
        w.write_closed.contains(&resting) && w.write_closed.contains(&new) && !w.closed.contains(&resting)
    );
    w.send_bytes(resting, ask("r2", "read").as_bytes());
    w.send_bytes(last, ask("r3", "read").as_bytes());
    w.run(20);
    assert_eq!(sent(&w, "r2") + sent(&w, "r3"), 0);
    assert_eq!(w.statuses(last), [503], "who came last is told");
    assert!(w.sent_text_on(last).contains("Connection: close") && w.write_closed.contains(&last));
    assert!(!w.exited, "they may still be reading");
    for conn in [resting, new, last] {
        w.core.closed(conn, "closed by peer", w.now);
    }
    w.run(1);
    assert!(w.exited, "nobody is left: it does not wait out its time");
}

/// What a client sent behind its last request is dropped, and its answer is not taken away by that.
#[test]
fn the_last_answer_of_a_stop_is_read_although_more_was_sent_behind_its_request() {
    let mut w = Harness::new(platform(), 1);
    let (client, link) = w.request_in_flight("r1", "read");
    w.send_bytes(client, ask("r2", "read").as_bytes());
    w.core.control(Control::Stop, w.now);
    w.answer(link, "200 OK", "ok");
    w.run(1460);
    assert_eq!(w.statuses(client), [200, 500], "the second is answered before the end");
    let asked = sent(&w, "r2");
    assert!(w.write_closed.contains(&client) && !w.closed.contains(&client));
    w.send_bytes(client, ask("r3", "read").as_bytes());
    w.run(50);
    assert!(!w.closed.contains(&client) && !w.exited, "it is read until its client closes");
    assert_eq!((sent(&w, "r2"), sent(&w, "r3")), (asked, 0));
    w.run(200);
    assert!(w.exited, "but not for ever");
}
