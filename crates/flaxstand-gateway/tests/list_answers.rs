//! Slow answers of the list service, in virtual time: an answer that makes progress is awaited, one that does
//! not complete is abandoned.

mod harness;

use flaxstand::api::NotificationTerms;
use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::ConnId;
use harness::*;

/// Number of targets in a large list.
const TARGETS: u64 = 3_200;
/// Simulation step in milliseconds.
const STEP_MS: u64 = 10;

fn platform_config() -> Config {
    let mut config = harness::platform_config(2500);
    config.bounds.max_endpoints = 2 * TARGETS as usize;
    config
}

/// A core whose request for the full list is in flight.
fn world_with_full_list_request() -> (Harness, ConnId) {
    let mut w = Harness::new(platform_config(), 0);
    w.holds_list_calls = true;
    // The revision goes backwards, so the full list is requested.
    let conn = w.list_conn();
    w.answer(conn, "200 OK", r#"{"rev":0,"all":false,"targets":[]}"#);
    w.run(STEP_MS);
    assert!(w.sent_text_on(conn).contains("GET /v1/endpoints HTTP"));
    (w, conn)
}

fn target_json(node: u64) -> String {
    format!(
        r#"{{"az":"a","boot_ms":0,"capacity_hint":2.0,"endpoint":"127.0.0.1:{}","model":"m","pod_group":{node},"state":"up","uid":"s-{node}"}}"#,
        10_000 + node
    )
}

fn full_list_json(revision: u64) -> String {
    let entries: Vec<String> = (0..TARGETS).map(target_json).collect();
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, entries.join(","))
}

fn http_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Delivers the bytes at a constant rate over the given number of milliseconds.
fn deliver_over(w: &mut Harness, conn: ConnId, bytes: &[u8], millis: u64) {
    let steps = millis / STEP_MS;
    for step in 0..steps {
        let (from, to) = (bytes.len() as u64 * step / steps, bytes.len() as u64 * (step + 1) / steps);
        w.send_bytes(conn, &bytes[from as usize..to as usize]);
        w.run(STEP_MS);
    }
}

fn listed_nodes(w: &Harness) -> usize {
    w.core.footprint().nodes
}

#[test]
fn a_list_that_arrives_slowly_is_applied() {
    let (mut w, conn) = world_with_full_list_request();
    deliver_over(&mut w, conn, &http_response(&full_list_json(2)), 5_000);
    assert_eq!(listed_nodes(&w), TARGETS as usize);
    assert!(!w.closed.contains(&conn), "the connection is kept for the next request");
}

#[test]
fn a_chunked_list_that_arrives_slowly_is_applied() {
    let (mut w, conn) = world_with_full_list_request();
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in full_list_json(2).as_bytes().chunks(700) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    deliver_over(&mut w, conn, &bytes, 5_000);
    assert_eq!(listed_nodes(&w), TARGETS as usize);
}

#[test]
fn a_list_with_pauses_in_its_transfer_is_applied() {
    let (mut w, conn) = world_with_full_list_request();
    for part in http_response(&full_list_json(2)).chunks(100_000) {
        w.send_bytes(conn, part);
        w.run(600);
    }
    assert_eq!(listed_nodes(&w), TARGETS as usize);
}

#[test]
fn a_full_list_that_the_service_sends_after_some_seconds_is_applied() {
    let (mut w, conn) = world_with_full_list_request();
    w.run(3_500);
    w.send_bytes(conn, &http_response(&full_list_json(2)));
    w.run(STEP_MS);
    assert_eq!(listed_nodes(&w), TARGETS as usize);
}

/// A proxy may send the head of a response at once and the body when there is a change.
#[test]
fn a_response_head_long_before_its_body_is_accepted() {
    let (mut w, conn) = world_with_full_list_request();
    w.send_bytes(conn, &http_response(&full_list_json(2)));
    w.run(STEP_MS);
    let body = r#"{"rev":2,"all":false,"targets":[]}"#;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    w.send_bytes(conn, head.as_bytes());
    w.run(1_400);
    assert!(!w.closed.contains(&conn));
    w.send_bytes(conn, body.as_bytes());
    w.run(STEP_MS);
    assert!(!w.closed.contains(&conn));
}

#[test]
fn an_answer_that_stops_is_abandoned() {
    let (mut w, conn) = world_with_full_list_request();
    let bytes = http_response(&full_list_json(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(1_400);
    assert!(!w.closed.contains(&conn));
    w.run(200);
    assert!(w.closed.contains(&conn));
    w.run(1_000);
    assert_ne!(w.list_conn(), conn, "the list is requested again");
}

#[test]
fn a_trickling_answer_is_abandoned() {
    let (mut w, conn) = world_with_full_list_request();
    w.send_bytes(conn, &http_response(&full_list_json(2))[..200]);
    let mut elapsed_ms = 0;
    while !w.closed.contains(&conn) {
        w.send_bytes(conn, b"      ");
        w.run(500);
        elapsed_ms += 500;
        assert!(elapsed_ms < 10_000, "a trickling answer is still awaited after {elapsed_ms} ms");
    }
    assert!(elapsed_ms > 3_000, "abandoned after {elapsed_ms} ms, too early for a slow start");
}

#[test]
fn an_endless_answer_is_abandoned() {
    let (mut w, conn) = world_with_full_list_request();
    w.send_bytes(conn, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, " ".repeat(1 << 20));
    let mut chunks = 0;
    while !w.closed.contains(&conn) {
        w.send_bytes(conn, chunk.as_bytes());
        w.run(STEP_MS);
        chunks += 1;
        assert!(chunks < 40, "more than {chunks} MiB accepted, more than any list has");
    }
}

/// The limit on partial answers of nodes does not apply to the list, which has its own limit.
#[test]
fn large_partial_answers_of_nodes_do_not_displace_the_list() {
    let mut config = platform_config();
    config.bounds.max_response_bytes = 1 << 20;
    let mut w = Harness::new(config, 2);
    let (_, link) = w.request_in_flight("r1", "read");
    let conn = w.list_conn();
    let half = [b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n".as_slice(), &[b'x'; 900_000]].concat();
    w.send_bytes(link, &half);
    let bytes = http_response(&full_list_json(2));
    for part in bytes.chunks(100_000) {
        w.send_bytes(conn, part);
        w.run(STEP_MS);
    }
    assert_eq!(listed_nodes(&w), TARGETS as usize);
    assert!(!w.closed.contains(&conn));
}

/// While an answer is arriving its changes are unknown, but must count as notified: requests are sent only
/// for the drain grace period.
#[test]
fn an_incomplete_list_answer_stops_new_attempts_after_the_drain_grace_period() {
    let mut config = platform_config();
    config.site.settings.notification_terms = Some(NotificationTerms {
        notified_within: 6_000.0,
        notified_after_move: 4_000.0,
        drain_grace: 1_000.0,
    });
    let mut w = Harness::new(config, 2);
    let conn = w.list_conn();
    let bytes = http_response(&full_list_json(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(500);
    let (client, _) = w.request_in_flight("r1", "read");
    assert!(w.statuses(client).is_empty(), "the request was sent");
    w.run(400);
    let client = w.http_client();
    w.send_bytes(client, http_request("r2", "read", 1, "1.000").as_bytes());
    w.run(STEP_MS);
    assert_eq!(w.statuses(client), [503]);
    w.send_bytes(conn, &bytes[bytes.len() / 2..]);
    w.run(STEP_MS);
    let client = w.http_client();
    w.send_bytes(client, http_request("r3", "read", 1, "1.000").as_bytes());
    w.run(STEP_MS);
    assert!(w.statuses(client).is_empty(), "the request was sent");
}

/// An attempt that is still in the initiator's output buffer when the list becomes stale does not start.
fn buffered_attempt_is_withdrawn(drain_grace: f64, after_ms: u64) {
    let mut config = platform_config();
    config.site.settings.notification_terms =
        Some(NotificationTerms { notified_within: 6_000.0, notified_after_move: 4_000.0, drain_grace });
    let mut w = Harness::new(config, 2);
    let (_, link) = w.request_in_flight("r1", "read");
    w.answer(link, "200 OK", "ok");
    w.run(50);
    w.blocked.insert(link);
    let client = w.http_client();
    w.send_bytes(client, http_request("r2", "read", 0, "5.000").as_bytes());
    w.run(STEP_MS);
    assert!(
        !w.closed.contains(&link) && !w.sent_text_on(link).contains("r2"),
        "the attempt is queued for writing"
    );
    let conn = w.list_conn();
    let bytes = http_response(&full_list_json(2));
    w.send_bytes(conn, &bytes[..bytes.len() / 2]);
    w.run(after_ms);
    assert!(w.closed.contains(&link), "the attempt is withdrawn");
    assert_eq!(w.statuses(client), [503]);
}

#[test]
fn a_buffered_attempt_is_withdrawn_when_the_list_becomes_stale() {
    buffered_attempt_is_withdrawn(1_000.0, 800);
}

/// A grace period shorter than its safety margin ends at once.
#[test]
fn a_buffered_attempt_is_withdrawn_at_once_with_a_short_grace_period() {
    buffered_attempt_is_withdrawn(100.0, STEP_MS);
}
