//! Tests of the core on the platform's wire in virtual time: clients, targets and discovery exchange
//! handwritten HTTP messages.

mod harness;

use flaxstand_gateway::core::MemoryBounds;
use flaxstand_gateway::machine::{ConnId, Control, Machine, Reloaded};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, PATH, address, http_request, request_text, small_platform_config};

fn platform_world() -> Harness {
    Harness::new(small_platform_config(), 2)
}

#[test]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    let mut w = platform_world();
    let client = w.http_client();
    let text = format!(
        "PUT {PATH}?part=2 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r1\r\nX-Priority-Class: once\r\nX-Qos-Policy: plan\r\n\
         X-Timeout: 0.5\r\nX-Placement: units=1,shard=0,hosts=1\r\nIdempotency-Key: k-7\r\nContent-Length: 4\r\n\r\ndata"
    );
    // The request arrives byte by byte.
    for byte in text.as_bytes() {
        w.send_bytes(client, &[*byte]);
    }
    w.run(5);
    let link = w.conns_to(0)[0];
    let forwarded = w.sent_text_on(link).to_owned();
    assert!(forwarded.starts_with(&format!("PUT {PATH}?part=2 HTTP/1.1\r\n")), "{forwarded}");
    for field in
        ["X-Request-ID: r1\r\n", "Idempotency-Key: k-7\r\n", "Content-Length: 4\r\n", "X-Timeout: 0.4"]
    {
        assert!(forwarded.contains(field), "{field} in {forwarded}");
    }
    assert!(forwarded.ends_with("\r\n\r\ndata"));
    for byte in
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Iops-Used: ??\r\nContent-Length: 5\r\n\r\nb\0dy\n"
    {
        w.send_bytes(link, &[*byte]);
    }
    w.run(5);
    assert!(w.sent_text_on(client).starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(w.sent_text_on(client).ends_with("Content-Length: 5\r\n\r\nb\0dy\n"));
    assert!(!w.closed.contains(&link) && !w.closed.contains(&client), "both connections are kept");
}

#[test]
fn responses_and_connection_errors_map_to_the_platforms_outcomes() {
    // The class must run at most once: a refusal guarantees that the request has not run.
    let outcome_after = |event: &dyn Fn(&mut Harness, ConnId)| {
        let mut w = platform_world();
        let (client, link) = w.request_in_flight("r1", "once");
        event(&mut w, link);
        w.run(980);
        let sent =
            w.conns_to(0).iter().map(|l| w.sent_text_on(*l).matches("GET /api").count()).sum::<usize>();
        (sent, w.statuses(client))
    };
    let not_processed = |w: &mut Harness, link| {
        w.send_bytes(link, b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    assert_eq!(outcome_after(&not_processed).1, [503]);
    assert_eq!(outcome_after(&|w, link| w.answer(link, "503 Full", "")), (1, vec![500]));
    assert_eq!(outcome_after(&|w, link| w.answer(link, "500 No", "")), (1, vec![500]));
    assert_eq!(outcome_after(&|w, link| w.core.closed(link, "reset", w.now)), (1, vec![500]));
    assert_eq!(outcome_after(&|_, _| {}), (1, vec![]), "no answer yet");
    let mut w = platform_world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Refused);
    let client = w.http_client();
    w.send_bytes(client, request_text("r1", "once").as_bytes());
    w.run(300);
    assert!(
        w.conns_to(0).len() > 1,
        "a refused connection attempt proves that the request has not run, so it is retried"
    );
    w.run(1000);
    assert_eq!(w.statuses(client), [503]);
}

#[test]
fn malformed_answers_fail_the_attempt_close_the_connection_and_are_not_forwarded() {
    let malformed = [
        "\u{1}\u{2}noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxxxx\r\n",
        "HTTP/1.1 200 OK\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nX-Server-Load: in",
        "HTTP/9.9 xx\r\n\r\n",
    ];
    for text in malformed {
        let mut w = platform_world();
        let (client, link) = w.request_in_flight("r1", "once");
        w.send_bytes(link, text.as_bytes());
        w.run(300);
        assert_eq!(w.statuses(client), [500], "{text:?}");
        assert!(!w.sent_text_on(client).contains("xxxx"), "{text:?}");
        assert!(w.closed.contains(&link), "{text:?}");
        assert_eq!(w.core.pending_requests(), 0);
    }
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    w.send_bytes(link, format!("HTTP/1.1 200 OK\r\n{}", "X: y\r\n".repeat(3000)).as_bytes());
    w.run(5);
    assert_eq!(w.statuses(client), [500], "a response head over the size limit fails the attempt");
}

#[test]
fn a_large_answer_is_served_as_long_as_its_body_makes_progress() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    let body = "x".repeat(400_000);
    w.send_bytes(link, format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes());
    for part in body.as_bytes().chunks(100_000) {
        w.run(200);
        w.send_bytes(link, part);
    }
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.sent_text_on(client).ends_with(&body));
    assert_eq!(w.core.footprint().partial_bytes, 0);
    // An answer that stops is abandoned long before its client disconnects.
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r2", "once");
    w.send_bytes(link, b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\nxx");
    w.run(260);
    assert_eq!(w.statuses(client), [500]);
    assert_eq!(w.core.footprint().partial_bytes, 0);
}

#[test]
fn the_total_size_of_unread_large_answers_is_bounded() {
    let mut w = Harness::new(small_platform_config(), 2);
    w.core
        .set_memory_bounds(MemoryBounds { max_unread_response_bytes: 1_000_000, ..MemoryBounds::default() });
    let answered: Vec<ConnId> = (0..4)
        .map(|n| {
            let (client, link) = w.request_in_flight(&format!("r{n}"), "once");
            w.blocked.insert(client);
            w.answer(link, "200 OK", &"x".repeat(400_000));
            w.run(25);
            client
        })
        .collect();
    let pending = |conn: &ConnId| w.core.outgoing(*conn).len();
    assert!(answered[..2].iter().all(|c| pending(c) > 400_000));
    assert!(answered[2..].iter().all(|c| w.core.outgoing(*c).starts_with(b"HTTP/1.1 500")));
}

#[test]
fn a_valid_answer_with_trailing_bytes_is_served_and_its_connection_closed() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    w.send_bytes(
        link,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.closed.contains(&link));
    let (client, link) = w.request_in_flight("r2", "once");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    w.send_bytes(link, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert!(
        {
            w.turn();
            w.closed.contains(&link)
        },
        "unexpected bytes on an idle connection close it"
    );
}

#[test]
fn the_attempt_of_a_disconnected_client_completes_and_the_request_is_abandoned() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    w.core.closed(client, "closed by peer", w.now);
    w.run(5);
    assert_eq!(w.core.pending_requests(), 1);
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!((w.core.pending_requests(), w.core.counts().abandoned), (0, 1));
    assert!(!w.closed.contains(&link));
}

#[test]
fn a_timed_out_attempt_closes_only_its_own_connection() {
    let mut w = platform_world();
    let (first, first_link) = w.request_in_flight("r1", "once");
    let (second, second_link) = w.request_in_flight("r2", "once");
    assert_ne!(first_link, second_link);
    w.run(500);
    w.answer(second_link, "200 OK", "ok");
    w.run(500);
    assert_eq!((w.statuses(first), w.statuses(second)), (vec![500], vec![200]));
    assert!(w.closed.contains(&first_link) && !w.closed.contains(&second_link));
}

#[test]
fn an_attempt_cancelled_before_it_was_sent_is_refused_and_never_runs() {
    let mut w = platform_world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    w.send_bytes(client, request_text("r1", "once").as_bytes());
    w.run(240);
    assert_eq!(w.conns_to(0).len(), 1, "the connection attempt is still pending");
    w.run(1000);
    assert_eq!(w.statuses(client), [503]);
    assert!(w.conns_to(0).iter().all(|l| w.sent_text_on(*l).is_empty()));
    // An attempt still queued for writing must not be sent when the connection is closed.
    let mut w = platform_world();
    let (_, link) = w.request_in_flight("r0", "once");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    w.blocked.insert(link);
    let client = w.http_client();
    w.send_bytes(client, request_text("r1", "once").as_bytes());
    w.run(1100);
    assert_eq!(w.statuses(client).len(), 1);
    assert_eq!(w.sent_text_on(link).matches("GET /api").count(), 1, "only the first request was sent");
}

#[test]
fn the_newest_idle_connection_is_reused_and_others_close_after_the_idle_timeout() {
    let mut w = platform_world();
    let pairs: Vec<_> = (0..3).map(|n| w.request_in_flight(&format!("r{n}"), "once")).collect();
    for (_, link) in &pairs {
        w.answer(*link, "200 OK", "ok");
    }
    w.run(25);
    let newest = pairs[2].1;
    for n in 0..15 {
        let client = pairs[0].0;
        w.send_bytes(client, request_text(&format!("s{n}"), "once").as_bytes());
        w.run(5);
        w.answer(newest, "200 OK", "ok");
        w.run(1500);
    }
    assert_eq!(w.sent_text_on(newest).matches("GET /api").count(), 16);
    assert!(
        w.closed.contains(&pairs[0].1) && w.closed.contains(&pairs[1].1),
        "both were idle for 20 s, longer than the idle timeout of 18 s"
    );
    assert!(!w.closed.contains(&newest));
}

#[test]
fn one_sweep_timer_serves_all_idle_connections_however_often_the_last_one_closes() {
    let mut w = platform_world();
    for n in 0..40 {
        let (_, link) = w.request_in_flight(&format!("r{n}"), "once");
        w.send_bytes(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        w.run(300);
    }
    w.run(3000);
    assert!(
        w.core.footprint().timers <= 2,
        "{:?}: expected the list's timer and one sweep timer",
        w.core.footprint()
    );
}

#[test]
fn a_node_that_drains_while_it_is_being_connected_gets_no_attempt() {
    let mut w = platform_world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    w.send_bytes(client, request_text("r1", "once").as_bytes());
    w.run(100);
    let list = w.list_conn();
    w.list[0].1 = State::Draining;
    w.revision = 2;
    let changes = w.listing(false);
    w.answer(list, "200 OK", &changes);
    w.run(5);
    let link = w.conns_to(0)[0];
    w.core.connected(link, w.now);
    w.run(5);
    assert_eq!(w.sent_text_on(link), "");
}

#[test]
fn the_list_is_long_polled_and_a_failed_long_poll_is_retried() {
    let mut w = platform_world();
    let list = w.list_conn();
    let request_count = |w: &Harness, conn| w.sent_text_on(conn).matches("GET ").count();
    let long_poll_ms = |w: &Harness, conn| -> u64 {
        let timeout = w.sent_text_on(conn).rsplit("timeout_ms=").next().expect("a long poll");
        timeout.split(' ').next().and_then(|ms| ms.parse().ok()).expect("a long-poll time-out")
    };
    assert!(w.sent_text_on(list).contains("GET /v1/endpoints?since=1&timeout_ms="));
    assert!((3000..=5000).contains(&long_poll_ms(&w, list)), "{}", w.sent_text_on(list));
    w.list.truncate(1);
    w.revision = 2;
    let all = w.listing(true);
    w.answer(list, "200 OK", &all);
    w.run(5);
    assert!(w.sent_text_on(list).contains("since=2&"), "the next request follows at once");
    assert_eq!(request_count(&w, list), 3);
    // After a failure the decision module requests the list again with a growing back-off, for the full list
    // or newer changes, and without a long poll.
    w.answer(list, "503 Down", "");
    w.run(5);
    assert!(w.closed.contains(&list));
    w.run(1000);
    let again = w.list_conn();
    assert!(w.sent_text_on(again).contains("since=2&timeout_ms=0 "));
    // Silence beyond the time-out is a failure too.
    w.run(1000);
    assert!(w.closed.contains(&again));
    w.run(1000);
    assert_ne!(w.list_conn(), again);
    // An invalid list is discarded.
    let conn = w.list_conn();
    w.answer(conn, "200 OK", "{\"rev\":3,");
    w.run(1000);
    assert!(w.closed.contains(&conn));
    let client = w.http_client();
    w.send_bytes(client, request_text("r1", "once").as_bytes());
    w.run(5);
    assert_eq!(w.conns_to(0).len(), 1, "the current list stays in use");
}

/// Answers without a change keep the list fresh too: after a long time without changes a silent long poll is
/// reopened as quickly as after frequent changes.
#[test]
fn a_long_poll_that_falls_silent_after_a_time_without_changes_is_reopened_quickly() {
    let mut w = platform_world();
    let list = w.list_conn();
    for _ in 0..20 {
        w.answer(list, "200 OK", r#"{"rev":1,"all":false,"targets":[]}"#);
        w.run(1000);
    }
    assert!(!w.closed.contains(&list));
    let mut silent_for = 0;
    while !w.closed.contains(&list) {
        w.run(10);
        silent_for += 10;
        assert!(silent_for < 7000, "a silent long poll is closed within its time-out");
    }
    w.run(200);
    assert_ne!(w.list_conn(), list, "the list service is reconnected within 0.2 s");
}

#[test]
fn a_reload_switches_the_list_service_and_affects_nothing_else() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    let (old, new) = (w.list_conn(), "127.0.0.1:2".parse().unwrap());
    w.connect_outcomes.insert("127.0.0.1:2".parse().unwrap(), ConnectOutcome::Welcomes(0));
    let bounds = small_platform_config().bounds;
    w.answers_polls = true;
    w.core.control(Control::Reload(Reloaded { bounds, memory_bounds: None, list: new }), w.now);
    w.run(5);
    assert!(w.closed.contains(&old));
    let (conn, at) = w.connect_attempts.last().cloned().unwrap();
    assert_eq!(at.to_string(), "127.0.0.1:2");
    let requests: Vec<&str> = w.sent_text_on(conn).split("GET ").skip(1).collect();
    assert_eq!(requests.len(), 2, "{requests:?}");
    let first = "/v1/endpoints?since=1&timeout_ms=0 ";
    assert!(requests[0].starts_with(first), "an immediate request for newer changes: {requests:?}");
    let then = "/v1/endpoints?since=1&timeout_ms=";
    assert!(requests[1].starts_with(then) && !requests[1].starts_with(first), "a long poll: {requests:?}");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    w.core.control(
        Control::Reload(Reloaded { bounds, memory_bounds: None, list: "127.0.0.1:2".parse().unwrap() }),
        w.now,
    );
    w.run(5);
    assert!(!w.closed.contains(&conn), "the connection is kept for the same address");
}

#[test]
fn during_a_shutdown_connected_clients_are_served_until_shortly_before_the_time_out() {
    let mut w = platform_world();
    let (client, link) = w.request_in_flight("r1", "once");
    w.core.control(Control::Stop, w.now);
    w.run(200);
    let late = w.http_client();
    w.send_bytes(late, b"GET /ready HTTP/1.1\r\n\r\n");
    w.run(5);
    assert_eq!(w.statuses(late), [503]);
    w.answer(link, "200 OK", "ok");
    w.run(900);
    w.send_bytes(client, request_text("r2", "once").as_bytes());
    w.run(5);
    assert_eq!(w.sent_text_on(link).matches("GET /api").count(), 2, "the request is still sent to the node");
    w.run(300);
    assert!(
        w.write_closed.contains(&late) && !w.closed.contains(&late),
        "without a pending answer the connection is half-closed"
    );
    w.core.closed(late, "closed by peer", w.now);
    assert!(!w.write_closed.contains(&client) && !w.closed.contains(&client) && !w.exited);
    assert_eq!(w.statuses(client), [200]);
    w.run(150);
    assert_eq!(w.statuses(client), [200, 500], "the pending second request is answered before the exit");
    assert!(w.sent_text_on(client).contains("Connection: close"));
    w.run(50);
    assert!(w.exited);
}

#[test]
fn resource_use_does_not_grow_over_thousands_of_replacements_and_requests() {
    let mut w = platform_world();
    let mut at_half = None;
    for n in 0..2000u64 {
        // A new target replaces one of the two.
        let slot = (n % 2) as usize;
        let node = 10 + n;
        w.list[slot] = (node, State::Serving, slot as u32, address(node));
        w.connect_outcomes.insert(address(node).parse().unwrap(), ConnectOutcome::Welcomes(node));
        w.revision += 1;
        let (list, all) = (w.list_conn(), w.listing(true));
        w.answer(list, "200 OK", &all);
        w.run(5);
        let client = w.http_client();
        w.send_bytes(client, http_request(&format!("r{n}"), "read", slot as i64, "1.0").as_bytes());
        w.run(5);
        let link = *w.conns_to(node).last().expect("an attempt was sent");
        match n % 5 {
            0 => w.send_bytes(link, b"noise"),
            1 => {}
            _ => w.answer(link, "200 OK", "ok"),
        }
        w.run(50);
        if n % 3 != 0 {
            w.core.closed(client, "closed by peer", w.now);
        }
        w.connect_attempts.clear();
        w.sent_text.clear();
        w.run(1500);
        if n == 1000 {
            at_half = Some(w.core.footprint());
        }
    }
    let (halfway, end) = (at_half.unwrap(), w.core.footprint());
    assert!(end.nodes < 60 && end.connections < 40 && end.timers < 200, "{end:?}");
    assert!(
        end.nodes <= halfway.nodes + 2 && end.connections <= halfway.connections + 4,
        "halfway: {halfway:?}, at the end: {end:?}"
    );
    assert_eq!((end.client_request_ids, end.partial_bytes), (w.core.pending_requests(), 0));
}

#[test]
fn a_request_whose_client_disconnects_while_its_node_is_being_connected_is_not_sent() {
    let mut w = platform_world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    let put = request_text("r1", "once")
        .replace("GET", "PUT")
        .replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\ndata");
    w.send_bytes(client, put.as_bytes());
    w.run(5);
    w.core.closed(client, "closed by peer", w.now);
    let link = w.conns_to(0)[0];
    w.core.connected(link, w.now);
    w.run(5);
    assert_eq!(w.sent_text_on(link), "");
    assert_eq!(w.core.pending_requests(), 0);
}
