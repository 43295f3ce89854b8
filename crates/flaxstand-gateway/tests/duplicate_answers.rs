//! A client is served only with the answer made for its request: late duplicates of answers on the connections to
//! nodes, in virtual time. Nothing in an answer names its request.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{ConnId, Machine};
use harness::{Harness, platform_config_with_keyed, request_text};

fn platform_config() -> Config {
    platform_config_with_keyed(2500, 300.0)
}

/// Longest delay of a duplicate behind its answer, in milliseconds: a connection is not used again before.
const DUPLICATE_DELAY_MS: u64 = 20;

/// Guards against serving a request with the answer to the one before it: a duplicate of an answer arrives some
/// milliseconds late, when the next request has left.
#[test]
fn a_late_duplicate_answer_is_not_served_to_the_next_request_of_its_node() {
    for late in 0..DUPLICATE_DELAY_MS {
        let mut w = Harness::new(platform_config(), 1);
        let (client, link) = w.request_in_flight("r1", "once");
        w.run(40);
        w.answer(link, "200 OK", "first");
        w.turn();
        w.send_bytes(client, request_text("r2", "once").as_bytes());
        w.run(late);
        w.answer(link, "200 OK", "first");
        w.run(5);
        assert!(w.closed.contains(&link), "a connection with an unexpected answer is closed");
        assert_eq!(w.statuses(client), [200], "{late} ms: the second request waits for its own answer");
        let next = w.carrier("r2").expect("the second request was sent");
        assert_ne!(next, link);
        w.answer(next, "200 OK", "second");
        w.run(5);
        assert!(w.sent_text_on(client).ends_with("second"), "{}", w.sent_text_on(client));
        assert_eq!(w.attempts_sent("r2"), 1, "{late} ms");
    }
}

/// Guards against serving a client with the answer to a probe: a duplicate of it arrives some milliseconds late,
/// and probes use the connections of requests.
#[test]
fn a_late_duplicate_of_a_probes_answer_is_not_served_to_a_request() {
    let mut config = platform_config();
    (config.site.settings.max_concurrent_attempts, config.site.settings.may_probe) = (2, true);
    let mut w = Harness::new(config, 1);
    for n in 0..5 {
        let (_, link) = w.request_in_flight(&format!("r{n}"), "read");
        w.run(5);
        w.answer(link, "200 OK", "ok");
        w.run(30);
    }
    // An answer is lost: a later request is answered before it. Then the node is probed.
    let _ = w.request_in_flight("lost", "read");
    w.run(DUPLICATE_DELAY_MS);
    let (_, link) = w.request_in_flight("later", "read");
    w.answer(link, "200 OK", "ok");
    w.run(1100);
    let _ = w.request_in_flight("overdue", "read");
    let is_probed = |w: &Harness, link: &ConnId| {
        w.sent_text_on(*link).rsplit("GET ").next().unwrap().starts_with("/health")
    };
    let find_probe = |w: &Harness| w.conns_to(0).into_iter().find(|link| is_probed(w, link));
    for _ in 0..400 {
        if find_probe(&w).is_none() {
            w.run(1);
        }
    }
    let probe_link = find_probe(&w).expect("the node is probed");
    w.answer(probe_link, "200 OK", "up");
    w.turn();
    let (client, link) = w.request_in_flight("next", "read");
    assert_eq!(w.carrier("next"), Some(link));
    w.answer(probe_link, "200 OK", "up");
    w.run(5);
    assert!(w.statuses(client).is_empty() && w.closed.contains(&probe_link) && link != probe_link);
}

/// Guards against ending an attempt with bytes that arrived before its request was written: they belong to an
/// earlier one, and the request has not been executed.
#[test]
fn bytes_before_the_last_byte_of_a_request_is_written_prove_that_it_was_not_executed() {
    for early in ["HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "noise\r\n\r\n"] {
        let mut w = Harness::new(platform_config(), 1);
        let (client, link) = w.request_in_flight("r0", "once");
        w.answer(link, "200 OK", "ok");
        w.run(DUPLICATE_DELAY_MS + 5);
        w.blocked.insert(link);
        w.send_bytes(client, request_text("r1", "once").as_bytes());
        w.run(5);
        let part = w.core.outgoing(link).len() / 2;
        w.core.written(link, part, w.now);
        w.send_bytes(link, early.as_bytes());
        w.run(5);
        assert!(w.closed.contains(&link));
        assert_eq!(w.statuses(client), [200], "the second request is tried again");
        let next = w.carrier("r1").expect("the second request is sent again");
        assert_ne!(next, link, "{early}");
    }
}

/// A connection that has rested is used again, whatever its answers are: equal answers are usual for writes.
/// Requests that follow each other at once use two connections in turn.
#[test]
fn two_connections_carry_requests_that_follow_each_other_at_once_and_one_carries_the_others() {
    let mut w = Harness::new(platform_config(), 1);
    let (client, mut link) = w.request_in_flight("r0", "read");
    for n in 1..=50 {
        w.run(DUPLICATE_DELAY_MS);
        w.answer(link, "200 OK", "same");
        w.turn();
        assert_eq!(w.statuses(client).len(), n);
        w.send_bytes(client, request_text(&format!("r{n}"), "read").as_bytes());
        w.run(1);
        link = w.carrier(&format!("r{n}")).expect("the request was sent");
    }
    assert_eq!(w.conns_to(0).len(), 2);
    let mut w = Harness::new(platform_config(), 1);
    let (client, link) = w.request_in_flight("r0", "read");
    for n in 1..=50 {
        w.answer(link, "200 OK", "same");
        w.run(DUPLICATE_DELAY_MS);
        assert_eq!(w.statuses(client).len(), n);
        w.send_bytes(client, request_text(&format!("r{n}"), "read").as_bytes());
        w.run(1);
    }
    assert_eq!(w.conns_to(0).len(), 1);
}

/// A connection that has rested is used rather than a new one or one that just carried an answer.
#[test]
fn an_idle_connection_is_preferred_to_one_that_just_carried_an_answer() {
    let mut w = Harness::new(platform_config(), 1);
    let (_, first) = w.request_in_flight("r1", "read");
    let (second_client, second) = w.request_in_flight("r2", "read");
    w.answer(first, "200 OK", "first");
    w.run(25);
    w.answer(second, "200 OK", "second");
    w.send_bytes(second_client, request_text("r3", "read").as_bytes());
    w.run(5);
    assert!(w.sent_text_on(first).contains("X-Request-ID: r3\r\n"), "{}", w.sent_text_on(first));
    assert!(!w.sent_text_on(second).contains("X-Request-ID: r3\r\n"));
}
