//! Tests of what clients send on the platform's wire, in virtual time: invalid, pipelined, incomplete and excess
//! input, and clients that hold their connections.

mod harness;

use flaxstand_gateway::machine::{ConnId, Machine};
use harness::{ConnectOutcome, Harness, PATH, address, request_text, small_platform_config};

fn platform_world() -> Harness {
    Harness::new(small_platform_config(), 2)
}

#[test]
fn an_invalid_request_gets_an_error_and_reaches_no_node() {
    let valid = request_text("r1", "once");
    let invalid = [
        (valid.replace("X-Request-ID: r1\r\n", ""), 400, true),
        (valid.replace("once", "nobody"), 400, true),
        (valid.replace("X-Timeout: 1.000", "X-Timeout: soon"), 400, true),
        (valid.replace("hosts=1", "hosts=99"), 400, true),
        (valid.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"), 405, true),
        (valid.replace(PATH, "/elsewhere"), 404, true),
        (
            valid.replace("\r\n\r\n", "\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            501,
            false,
        ),
        (valid.replace("\r\n\r\n", "\r\nContent-Length: -1\r\n\r\n"), 400, false),
        (valid.replace("\r\n\r\n", "\r\nContent-Length: 99999999999999999999\r\n\r\n"), 413, false),
        (
            valid.replace("GET", "PUT").replace("\r\n\r\n", "\r\nContent-Length: 62914560\r\n\r\nxx"),
            413,
            false,
        ),
        (
            valid.replace("GET", "PUT").replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\ntoo long"),
            400,
            false,
        ),
        (valid.replace("GET", "PUT"), 411, false),
        ("\u{3}\u{4}noise\r\n\r\n".into(), 400, false),
        (format!("GET / HTTP/1.1\r\n{}", "X: y\r\n".repeat(3000)), 431, false),
    ];
    for (text, status, kept) in invalid {
        let mut w = platform_world();
        let client = w.http_client();
        w.send_bytes(client, text.as_bytes());
        w.run(5);
        assert_eq!(w.statuses(client), [status], "{text:?}");
        assert_eq!((w.core.pending_requests(), w.conns_to(0).len()), (0, 0), "{text:?}");
        w.run(600);
        assert_eq!(!w.closed.contains(&client), kept, "{text:?}");
        assert_eq!(w.core.footprint().partial_bytes, 0);
    }
}

/// An id may come again after a refusal, which has run nowhere, and not after its request has run.
#[test]
fn a_request_id_in_flight_or_executed_is_refused_and_reusable_after_a_refusal() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    let other = w.http_client();
    w.send_bytes(other, request_text("r1", "once").as_bytes());
    w.run(5);
    assert_eq!(w.statuses(other), [409]);
    w.answer(link, "200 OK", "ok");
    w.run(5);
    w.send_bytes(other, request_text("r1", "once").as_bytes());
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert_eq!(w.statuses(other), [409, 409], "the id has run");
    assert_eq!(w.core.pending_requests(), 0);
    w.send_bytes(other, request_text("r2", "once").replace("shard=0", "shard=77").as_bytes());
    w.run(2500);
    assert_eq!(w.statuses(other), [409, 409, 503], "no node has the shard");
    w.send_bytes(other, request_text("r2", "once").as_bytes());
    w.run(5);
    assert_eq!(w.core.pending_requests(), 1, "the id is accepted again");
}

/// Guards against a refusal of a request that is sent afterwards, or is being executed: the input behind it exceeds
/// the limit, and an error response for that is taken for the answer to the request.
#[test]
fn input_beyond_the_limit_does_not_answer_the_unanswered_request_before_it() {
    const LIMIT: usize = 1000;
    for (is_sent, is_served) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut c = small_platform_config();
        c.bounds.max_partial_request_bytes = LIMIT;
        let mut w = Harness::new(c, 1);
        if !is_sent {
            // The connection to the node does not come up: the request is held.
            w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
        }
        let (client, link) = w.request_in_flight("r1", "once");
        let pipelined: String = (2..100).map(|n| request_text(&format!("r{n}"), "once")).collect();
        w.send_bytes(client, pipelined.as_bytes());
        w.run(5);
        assert!(w.statuses(client).is_empty(), "the request has no answer yet");
        assert_eq!(w.core.footprint().partial_bytes, 0, "the input behind it is discarded");
        if !is_sent && is_served {
            w.connected.insert(link, address(0).parse().unwrap());
            w.core.connected(link, w.now);
            w.run(5);
        }
        if is_served {
            w.answer(link, "200 OK", "ok");
            w.run(5);
            assert_eq!(w.statuses(client), [200]);
        } else {
            w.run(1100);
            assert_eq!(w.statuses(client).len(), 1, "one final answer at the end of its time");
        }
        assert!(w.sent_text_on(client).contains("Connection: close") && w.write_closed.contains(&client));
        w.run(1000);
        assert_eq!(w.statuses(client).len(), 1);
        let sent: String = w.conns_to(0).iter().map(|link| w.sent_text_on(*link)).collect();
        assert!(!sent.contains("X-Request-ID: r2\r\n"), "requests behind the last one are not executed");
        assert_eq!(sent.matches("X-Request-ID").count(), usize::from(is_sent || is_served));
    }
}

/// Guards against a final answer that is lost because its client goes on sending at full speed: what it sends
/// behind its last request is discarded, and beyond a limit stays unread.
#[test]
fn a_client_that_goes_on_sending_behind_its_last_request_gets_its_answer() {
    let mut w = platform_world();
    let client = w.http_client();
    let last_request = request_text("r1", "once").replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n");
    w.send_bytes(client, (last_request + &request_text("r2", "once")).as_bytes());
    w.run(5);
    assert_eq!(w.core.footprint().partial_bytes, 0);
    let mut sent = 0;
    while w.core.wants_read(client) {
        w.send_bytes(client, &[b'x'; 64 * 1024]);
        sent += 64 * 1024;
        assert_eq!(w.core.footprint().partial_bytes, 0);
        assert!(sent <= 2 << 20, "reading stops");
    }
    w.run(5);
    assert!(!w.closed.contains(&client) && w.core.wants_peer_end(client), "its end would still be noticed");
    let link = *w.conns_to(0).last().unwrap();
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.core.wants_read(client), "after the answer it is read again until it closes");
}

/// Guards against a request that outlives its client's connection, whatever closes that.
#[test]
fn a_held_request_ends_with_the_connection_that_it_came_on() {
    let mut w = platform_world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let (client, link) = w.request_in_flight("r1", "once");
    assert_eq!(w.core.pending_requests(), 1);
    w.core.closed(client, "reset by peer", w.now);
    w.connected.insert(link, address(0).parse().unwrap());
    w.core.connected(link, w.now);
    w.run(1200);
    assert_eq!(w.core.pending_requests(), 0);
    assert!(w.conns_to(0).iter().all(|link| w.sent_text_on(*link).is_empty()));
}

#[test]
fn pipelined_requests_are_processed_in_order() {
    let mut w = platform_world();
    let client = w.http_client();
    w.send_bytes(
        client,
        (request_text("r1", "once") + &request_text("r2", "once") + &request_text("r3", "once")).as_bytes(),
    );
    for done in 1..=3 {
        w.run(25);
        assert_eq!(w.core.pending_requests(), 1, "one request at a time is pending");
        let links = w.conns_to(0);
        // The next request follows at once, when a duplicate of the last answer may still come.
        let link = links[(done - 1) % 2];
        assert!(w.sent_text_on(link).contains(&format!("X-Request-ID: r{done}\r\n")));
        w.answer(link, "200 OK", "ok");
        w.run(5);
        assert_eq!(w.statuses(client).len(), done);
    }
    assert_eq!(w.conns_to(0).len(), 2, "two connections in turn carry all requests");
}

#[test]
fn connections_without_a_complete_request_are_closed() {
    let mut w = platform_world();
    let (silent, partial, slow) = (w.http_client(), w.http_client(), w.http_client());
    w.send_bytes(partial, b"PUT /api/x HTTP/1.1\r\nContent-Le");
    for _ in 0..19 {
        w.send_bytes(slow, b"G");
        w.run(100);
    }
    assert!(![silent, partial].iter().any(|c| w.closed.contains(c)));
    w.run(700);
    assert!([silent, partial, slow].iter().all(|c| w.closed.contains(c)));
    assert_eq!(w.statuses(partial), [408]);
    assert_eq!(w.core.clients(), 0);
    // A client that has sent a request may keep its connection and send another.
    let (client, link) = w.request_in_flight("r1", "once");
    w.answer(link, "200 OK", "ok");
    w.run(20_000);
    assert!(!w.closed.contains(&client));
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\n\r\n");
    w.run(5);
    assert_eq!(w.statuses(client), [200, 200]);
}

#[test]
fn silent_connections_are_evicted_for_clients_that_send_requests() {
    let mut w = platform_world();
    let (busy, _) = w.request_in_flight("r1", "once");
    let silent: Vec<ConnId> = (0..7).map(|_| w.http_client()).collect();
    assert!(
        w.core.accepted(0, w.now).is_err(),
        "the limit is reached and no connection is idle for long enough"
    );
    w.run(300);
    let (other, _) = w.request_in_flight("r2", "once");
    assert_eq!(silent.iter().filter(|c| w.closed.contains(c)).count(), 1);
    assert!(![busy, other].iter().any(|c| w.closed.contains(c)));
}

#[test]
fn idle_clients_are_evicted_for_new_ones() {
    let mut w = platform_world();
    // More new clients per second than max_clients: each is served, though none disconnects by itself.
    for n in 0..40 {
        let (client, link) = w.request_in_flight(&format!("r{n}"), "once");
        w.answer(link, "200 OK", "ok");
        w.run(30);
        assert_eq!(w.statuses(client), [200], "client {n}");
    }
    assert_eq!(w.core.clients(), 8);
}
