//! Answers of the list service that take their time: one that makes progress is waited for, and what does not end
//! is given up. On virtual time.

mod harness;

use flaxstand::api::NotificationTerms;
use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::ConnId;
use harness::*;

/// Targets of a large list, and bytes of an answer that tells them all.
const TARGETS: u64 = 3_200;
/// So long a stretch between two looks of a play, ms.
const STEP: u64 = 10;

fn platform() -> Config {
    let mut config = platform_config(2500);
    config.bounds.max_endpoints = 2 * TARGETS as usize;
    config
}

/// A core whose first call, of the whole list, is out.
fn asked_for_all() -> (Harness, ConnId) {
    let mut w = Harness::new(platform(), 0);
    w.holds_list_calls = true;
    // The list goes back, so that all of it is asked for.
    let conn = w.list_conn();
    w.answer(conn, "200 OK", r#"{"rev":0,"all":false,"targets":[]}"#);
    w.run(STEP);
    assert!(w.sent_text_on(conn).contains("GET /v1/endpoints HTTP"));
    (w, conn)
}

fn entry_text(node: u64) -> String {
    format!(
        r#"{{"az":"a","boot_ms":0,"capacity_hint":2.0,"endpoint":"127.0.0.1:{}","model":"m","pod_group":{node},"state":"up","uid":"s-{node}"}}"#,
        10_000 + node
    )
}

fn whole_list(revision: u64) -> String {
    let entries: Vec<String> = (0..TARGETS).map(entry_text).collect();
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, entries.join(","))
}

fn with_head(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Says bytes at an even pace over so many ms.
fn says_over(w: &mut Harness, conn: ConnId, bytes: &[u8], millis: u64) {
    let steps = millis / STEP;
    for step in 0..steps {
        let (from, to) = (bytes.len() as u64 * step / steps, bytes.len() as u64 * (step + 1) / steps);
        w.send_bytes(conn, &bytes[from as usize..to as usize]);
        w.run(STEP);
    }
}

fn listed(w: &Harness) -> usize {
    w.core.footprint().nodes
}

#[test]
fn a_list_that_comes_slowly_is_heard() {
    let (mut w, conn) = asked_for_all();
    says_over(&mut w, conn, &with_head(&whole_list(2)), 5_000);
    assert_eq!(listed(&w), TARGETS as usize);
    assert!(!w.closed.contains(&conn), "the next call follows on the same connection");
}

#[test]
fn a_list_that_comes_slowly_in_chunks_is_heard() {
    let (mut w, conn) = asked_for_all();
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in whole_list(2).as_bytes().chunks(700) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    says_over(&mut w, conn, &bytes, 5_000);
    assert_eq!(listed(&w), TARGETS as usize);
}

#[test]
fn a_list_that_pauses_on_its_way_is_heard() {
    let (mut w, conn) = asked_for_all();
    for part in with_head(&whole_list(2)).chunks(100_000) {
        w.send_bytes(conn, part);
        w.run(600);
    }
    assert_eq!(listed(&w), TARGETS as usize);
}

#[test]
fn a_whole_list_that_takes_the_service_some_seconds_is_heard() {
    let (mut w, conn) = asked_for_all();
    w.run(3_500);
    w.send_bytes(conn, &with_head(&whole_list(2)));
    w.run(STEP);
    assert_eq!(listed(&w), TARGETS as usize);
}

/// A proxy may send the head of its answer at once, and the rest when there is something to tell.
#[test]
fn a_head_that_comes_long_before_its_body_is_no_trouble() {
    let (mut w, conn) = asked_for_all();
    w.send_bytes(conn, &with_head(&whole_list(2)));
    w.run(STEP);
    let body = r#"{"rev":2,"all":false,"targets":[]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    w.send_bytes(conn, head.as_bytes());
    w.run(1_400);
    assert!(!w.closed.contains(&conn));
    w.send_bytes(conn, body.as_bytes());
    w.run(STEP);
    assert!(!w.closed.contains(&conn));
}

#[test]
fn an_answer_that_stands_still_is_given_up() {
    let (mut w, conn) = asked_for_all();
    let bytes = with_head(&whole_list(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(1_400);
    assert!(!w.closed.contains(&conn));
    w.run(200);
    assert!(w.closed.contains(&conn));
    w.run(1_000);
    assert_ne!(w.list_conn(), conn, "the list is asked for again");
}

#[test]
fn an_answer_that_trickles_is_given_up() {
    let (mut w, conn) = asked_for_all();
    w.send_bytes(conn, &with_head(&whole_list(2))[..200]);
    let mut passed = 0;
    while !w.closed.contains(&conn) {
        w.send_bytes(conn, b"      ");
        w.run(500);
        passed += 500;
        assert!(passed < 10_000, "it would go on for ever");
    }
    assert!(passed > 3_000, "{passed} ms: a slow beginning is let be");
}

#[test]
fn an_answer_without_an_end_is_given_up() {
    let (mut w, conn) = asked_for_all();
    w.send_bytes(conn, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, " ".repeat(1 << 20));
    let mut chunks = 0;
    while !w.closed.contains(&conn) {
        w.send_bytes(conn, chunk.as_bytes());
        w.run(STEP);
        chunks += 1;
        assert!(chunks < 40, "more than any list has");
    }
}

/// What nodes have on their way in is bounded; the list has a bound of its own.
#[test]
fn large_answers_of_nodes_do_not_cost_the_list() {
    let mut config = platform();
    config.bounds.max_response_bytes = 1 << 20;
    let mut w = Harness::new(config, 2);
    let (_, link) = w.request_in_flight("r1", "read");
    let conn = w.list_conn();
    let half = [b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n".as_slice(), &[b'x'; 900_000]].concat();
    w.send_bytes(link, &half);
    let bytes = with_head(&whole_list(2));
    for part in bytes.chunks(100_000) {
        w.send_bytes(conn, part);
        w.run(STEP);
    }
    assert_eq!(listed(&w), TARGETS as usize);
    assert!(!w.closed.contains(&conn));
}

/// While an answer is arriving nothing is known of what it tells: requests are sent for the grace of drains alone.
#[test]
fn what_an_answer_tells_counts_while_it_is_arriving() {
    let mut config = platform();
    config.site.settings.notification_terms = Some(NotificationTerms {
        notified_within: 6_000.0,
        notified_after_move: 4_000.0,
        drain_grace: 1_000.0,
    });
    let mut w = Harness::new(config, 2);
    let conn = w.list_conn();
    let bytes = with_head(&whole_list(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(500);
    let (client, _) = w.request_in_flight("r1", "read");
    assert!(w.statuses(client).is_empty(), "it was sent");
    w.run(400);
    let client = w.http_client();
    w.send_bytes(client, http_request("r2", "read", 1, "1.000").as_bytes());
    w.run(STEP);
    assert_eq!(w.statuses(client), [503]);
    w.send_bytes(conn, &bytes[bytes.len() / 2..]);
    w.run(STEP);
    let client = w.http_client();
    w.send_bytes(client, http_request("r3", "read", 1, "1.000").as_bytes());
    w.run(STEP);
    assert!(w.statuses(client).is_empty(), "it was sent");
}

/// An attempt that waits in our own buffer when the list becomes too old does not begin.
fn waiting_attempt_is_taken_back(drain_grace: f64, after_ms: u64) {
    let mut config = platform();
    config.site.settings.notification_terms =
        Some(NotificationTerms { notified_within: 6_000.0, notified_after_move: 4_000.0, drain_grace });
    let mut w = Harness::new(config, 2);
    let (_, link) = w.request_in_flight("r1", "read");
    w.answer(link, "200 OK", "ok");
    w.run(50);
    w.blocked.insert(link);
    let client = w.http_client();
    w.send_bytes(client, http_request("r2", "read", 0, "5.000").as_bytes());
    w.run(STEP);
    assert!(!w.closed.contains(&link) && !w.sent_text_on(link).contains("r2"), "it waits to be written");
    let conn = w.list_conn();
    let bytes = with_head(&whole_list(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(after_ms);
    assert!(w.closed.contains(&link), "it is taken back");
    assert_eq!(w.statuses(client), [503]);
}

#[test]
fn a_waiting_attempt_is_taken_back_when_the_list_becomes_too_old() {
    waiting_attempt_is_taken_back(1_000.0, 800);
}

/// A grace that is shorter than what is kept back of it is over at once.
#[test]
fn a_waiting_attempt_is_taken_back_where_the_grace_is_short() {
    waiting_attempt_is_taken_back(100.0, STEP);
}
