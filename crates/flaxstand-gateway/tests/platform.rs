//! The core on the platform's wire: clients, targets and discovery speak HTTP by hand, on virtual time.

mod harness;

use flaxstand_gateway::core::{Bounds, Config};
use flaxstand_gateway::machine::{ConnId, Control, Machine, Reloaded};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, PATH, address, http_request, platform_config};

fn platform() -> Config {
    let c = platform_config(5000);
    Config { bounds: Bounds { max_clients: 8, max_node_connections: 6, ..c.bounds }, ..c }
}

fn world() -> Harness {
    Harness::new(platform(), 2)
}

fn ask(id: &str) -> String {
    http_request(id, "once", 0, "1.000")
}

/// A client whose request is out at node 0, and the connection that carries it.
fn asked(w: &mut Harness, id: &str) -> (ConnId, ConnId) {
    w.request_in_flight(id, "once")
}

#[test]
fn a_request_passes_unchanged_and_so_does_its_answer() {
    let mut w = world();
    let client = w.http_client();
    let text = format!(
        "PUT {PATH}?part=2 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r1\r\nX-Priority-Class: once\r\nX-Qos-Policy: plan\r\n\
         X-Timeout: 0.5\r\nX-Placement: units=1,shard=0,hosts=1\r\nIdempotency-Key: k-7\r\nContent-Length: 4\r\n\r\ndata"
    );
    // Whatever the pieces.
    for byte in text.as_bytes() {
        w.send_bytes(client, &[*byte]);
    }
    w.run(5);
    let link = w.conns_to(0)[0];
    let passed = w.sent_text_on(link).to_owned();
    assert!(passed.starts_with(&format!("PUT {PATH}?part=2 HTTP/1.1\r\n")), "{passed}");
    for field in
        ["X-Request-ID: r1\r\n", "Idempotency-Key: k-7\r\n", "Content-Length: 4\r\n", "X-Timeout: 0.4"]
    {
        assert!(passed.contains(field), "{field} in {passed}");
    }
    assert!(passed.ends_with("\r\n\r\ndata"));
    for byte in
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Iops-Used: ??\r\nContent-Length: 5\r\n\r\nb\0dy\n"
    {
        w.send_bytes(link, &[*byte]);
    }
    w.run(5);
    assert!(w.sent_text_on(client).starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(w.sent_text_on(client).ends_with("Content-Length: 5\r\n\r\nb\0dy\n"));
    assert!(!w.closed.contains(&link) && !w.closed.contains(&client), "both are kept");
}

#[test]
fn what_comes_back_is_the_outcome_that_the_platform_means() {
    // Of a class that must never run twice: a refusal promises that it has never run.
    let after = |what: &dyn Fn(&mut Harness, ConnId)| {
        let mut w = world();
        let (client, link) = asked(&mut w, "r1");
        what(&mut w, link);
        w.run(980);
        let sent =
            w.conns_to(0).iter().map(|l| w.sent_text_on(*l).matches("GET /api").count()).sum::<usize>();
        (sent, w.statuses(client))
    };
    let never = |w: &mut Harness, link| {
        w.send_bytes(link, b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    assert_eq!(after(&never).1, [503]);
    assert_eq!(after(&|w, link| w.answer(link, "503 Full", "")), (1, vec![500]));
    assert_eq!(after(&|w, link| w.answer(link, "500 No", "")), (1, vec![500]));
    assert_eq!(after(&|w, link| w.core.closed(link, "reset", w.now)), (1, vec![500]));
    assert_eq!(after(&|_, _| {}), (1, vec![]), "nothing came yet");
    let mut w = world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::Refused);
    let client = w.http_client();
    w.send_bytes(client, ask("r1").as_bytes());
    w.run(300);
    assert!(w.conns_to(0).len() > 1, "a connection refused: it has never run, and is tried again");
    w.run(1000);
    assert_eq!(w.statuses(client), [503]);
}

#[test]
fn spoilt_answers_end_their_attempt_and_their_connection_and_show_nowhere() {
    let spoilt = [
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
    for text in spoilt {
        let mut w = world();
        let (client, link) = asked(&mut w, "r1");
        w.send_bytes(link, text.as_bytes());
        w.run(300);
        assert_eq!(w.statuses(client), [500], "{text:?}");
        assert!(!w.sent_text_on(client).contains("xxxx"), "{text:?}");
        assert!(w.closed.contains(&link), "{text:?}");
        assert_eq!(w.core.pending_requests(), 0);
    }
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    w.send_bytes(link, format!("HTTP/1.1 200 OK\r\n{}", "X: y\r\n".repeat(3000)).as_bytes());
    w.run(5);
    assert_eq!(w.statuses(client), [500], "a head that never ends is cut off at its bound");
}

#[test]
fn a_large_answer_is_served_however_slowly_its_body_comes_as_long_as_it_does() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
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
    // One that stops short is given up long before its client leaves.
    let mut w = world();
    let (client, link) = asked(&mut w, "r2");
    w.send_bytes(link, b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\nxx");
    w.run(260);
    assert_eq!(w.statuses(client), [500]);
    assert_eq!(w.core.footprint().partial_bytes, 0);
}

#[test]
fn large_answers_that_clients_do_not_read_have_a_bound() {
    let mut c = platform();
    c.bounds.max_response_bytes = 1_000_000;
    let mut w = Harness::new(c, 2);
    let answered: Vec<ConnId> = (0..4)
        .map(|n| {
            let (client, link) = asked(&mut w, &format!("r{n}"));
            w.blocked.insert(client);
            w.answer(link, "200 OK", &"x".repeat(400_000));
            w.run(5);
            client
        })
        .collect();
    let waits = |conn: &ConnId| w.core.outgoing(*conn).len();
    assert!(answered[..2].iter().all(|c| waits(c) > 400_000));
    assert!(answered[2..].iter().all(|c| w.core.outgoing(*c).starts_with(b"HTTP/1.1 500")));
}

#[test]
fn a_good_answer_with_bytes_behind_it_is_served_and_its_connection_not_used_again() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    w.send_bytes(
        link,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    );
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert!(w.closed.contains(&link));
    let (client, link) = asked(&mut w, "r2");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    w.send_bytes(link, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assert!(
        {
            w.turn();
            w.closed.contains(&link)
        },
        "bytes on an idle connection close it"
    );
}

#[test]
fn what_can_not_be_served_gets_an_error_and_reaches_no_node() {
    let good = ask("r1");
    let bad = [
        (good.replace("X-Request-ID: r1\r\n", ""), 400, true),
        (good.replace("once", "nobody"), 400, true),
        (good.replace("X-Timeout: 1.000", "X-Timeout: soon"), 400, true),
        (good.replace("hosts=1", "hosts=99"), 400, true),
        (good.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"), 405, true),
        (good.replace(PATH, "/elsewhere"), 404, true),
        (
            good.replace("\r\n\r\n", "\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            501,
            false,
        ),
        (good.replace("\r\n\r\n", "\r\nContent-Length: -1\r\n\r\n"), 400, false),
        (good.replace("\r\n\r\n", "\r\nContent-Length: 99999999999999999999\r\n\r\n"), 413, false),
        (
            good.replace("GET", "PUT").replace("\r\n\r\n", "\r\nContent-Length: 62914560\r\n\r\nxx"),
            413,
            false,
        ),
        (good.replace("GET", "PUT").replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\ntoo long"), 400, false),
        (good.replace("GET", "PUT"), 411, false),
        ("\u{3}\u{4}noise\r\n\r\n".into(), 400, false),
        (format!("GET / HTTP/1.1\r\n{}", "X: y\r\n".repeat(3000)), 431, false),
    ];
    for (text, status, kept) in bad {
        let mut w = world();
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

#[test]
fn an_id_that_is_open_is_refused_and_free_again_after() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    let other = w.http_client();
    w.send_bytes(other, ask("r1").as_bytes());
    w.run(5);
    assert_eq!(w.statuses(other), [409]);
    w.answer(link, "200 OK", "ok");
    w.run(5);
    w.send_bytes(other, ask("r1").as_bytes());
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    assert_eq!(w.core.pending_requests(), 1, "it is served this time");
}

#[test]
fn requests_behind_one_another_wait_their_turn() {
    let mut w = world();
    let client = w.http_client();
    w.send_bytes(client, (ask("r1") + &ask("r2") + &ask("r3")).as_bytes());
    for done in 1..=3 {
        w.run(5);
        assert_eq!(w.core.pending_requests(), 1, "one at a time");
        let link = *w.conns_to(0).last().unwrap();
        w.answer(link, "200 OK", "ok");
        w.run(5);
        assert_eq!(w.statuses(client).len(), done);
    }
    assert_eq!(w.conns_to(0).len(), 1, "one connection served them all");
}

#[test]
fn connections_that_do_not_come_to_a_request_are_closed() {
    let mut w = world();
    let (silent, half, slow) = (w.http_client(), w.http_client(), w.http_client());
    w.send_bytes(half, b"PUT /api/x HTTP/1.1\r\nContent-Le");
    for _ in 0..19 {
        w.send_bytes(slow, b"G");
        w.run(100);
    }
    assert!(![silent, half].iter().any(|c| w.closed.contains(c)));
    w.run(700);
    assert!([silent, half, slow].iter().all(|c| w.closed.contains(c)));
    assert_eq!(w.statuses(half), [408]);
    assert_eq!(w.core.clients(), 0);
    // One that has asked may hold its connection, and ask again.
    let (client, link) = asked(&mut w, "r1");
    w.answer(link, "200 OK", "ok");
    w.run(20_000);
    assert!(!w.closed.contains(&client));
    w.send_bytes(client, b"GET /ready HTTP/1.1\r\n\r\n");
    w.run(5);
    assert_eq!(w.statuses(client), [200, 200]);
}

#[test]
fn a_crowd_of_silent_connections_gives_way_to_clients_that_ask() {
    let mut w = world();
    let (busy, _) = asked(&mut w, "r1");
    let silent: Vec<ConnId> = (0..7).map(|_| w.http_client()).collect();
    assert!(w.core.accepted(0, w.now).is_err(), "as many as may be, and none of them waits for long");
    w.run(300);
    let (other, _) = asked(&mut w, "r2");
    assert_eq!(silent.iter().filter(|c| w.closed.contains(c)).count(), 1);
    assert!(![busy, other].iter().any(|c| w.closed.contains(c)));
}

#[test]
fn clients_that_ask_once_and_stay_give_way_to_those_that_come() {
    let mut w = world();
    // More a second than there are places: each is served, though none goes by itself.
    for n in 0..40 {
        let (client, link) = asked(&mut w, &format!("r{n}"));
        w.answer(link, "200 OK", "ok");
        w.run(30);
        assert_eq!(w.statuses(client), [200], "client {n}");
    }
    assert_eq!(w.core.clients(), 8);
}

#[test]
fn a_client_that_leaves_is_told_to_the_module_and_its_attempt_runs_to_its_end() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    w.core.closed(client, "gone", w.now);
    w.run(5);
    assert_eq!(w.core.pending_requests(), 1);
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!((w.core.pending_requests(), w.core.counts().abandoned), (0, 1));
    assert!(!w.closed.contains(&link));
}

#[test]
fn giving_up_closes_that_attempts_connection_alone() {
    let mut w = world();
    let (first, out) = asked(&mut w, "r1");
    let (second, other) = asked(&mut w, "r2");
    assert_ne!(out, other);
    w.run(500);
    w.answer(other, "200 OK", "ok");
    w.run(500);
    assert_eq!((w.statuses(first), w.statuses(second)), (vec![500], vec![200]));
    assert!(w.closed.contains(&out) && !w.closed.contains(&other));
}

#[test]
fn an_attempt_given_up_before_it_left_has_never_run_and_never_does() {
    let mut w = world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    w.send_bytes(client, ask("r1").as_bytes());
    w.run(240);
    assert_eq!(w.conns_to(0).len(), 1, "still being called");
    w.run(1000);
    assert_eq!(w.statuses(client), [503]);
    assert!(w.conns_to(0).iter().all(|l| w.sent_text_on(*l).is_empty()));
    // Written in part: what is left must not follow when the connection is closed.
    let mut w = world();
    let (_, link) = asked(&mut w, "r0");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    w.blocked.insert(link);
    let client = w.http_client();
    w.send_bytes(client, ask("r1").as_bytes());
    w.run(1100);
    assert_eq!(w.statuses(client).len(), 1);
    assert_eq!(w.sent_text_on(link).matches("GET /api").count(), 1, "only the first");
}

#[test]
fn connections_are_used_newest_first_closed_when_idle_and_bounded() {
    let mut w = world();
    let pairs: Vec<_> = (0..3).map(|n| asked(&mut w, &format!("r{n}"))).collect();
    for (_, link) in &pairs {
        w.answer(*link, "200 OK", "ok");
    }
    w.run(5);
    let newest = pairs[2].1;
    for n in 0..15 {
        let client = pairs[0].0;
        w.send_bytes(client, ask(&format!("s{n}")).as_bytes());
        w.run(5);
        w.answer(newest, "200 OK", "ok");
        w.run(1500);
    }
    assert_eq!(w.sent_text_on(newest).matches("GET /api").count(), 16);
    assert!(w.closed.contains(&pairs[0].1) && w.closed.contains(&pairs[1].1), "idle for 20 s");
    assert!(!w.closed.contains(&newest));
}

#[test]
fn idle_connections_are_looked_through_by_one_timer_however_often_the_last_is_closed() {
    let mut w = world();
    for n in 0..40 {
        let (_, link) = asked(&mut w, &format!("r{n}"));
        w.send_bytes(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        w.run(300);
    }
    w.run(3000);
    assert!(w.core.footprint().timers <= 2, "{:?}: the list's, and one that sweeps", w.core.footprint());
}

#[test]
fn a_node_that_drains_while_it_is_called_is_not_sent_to() {
    let mut w = world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    w.send_bytes(client, ask("r1").as_bytes());
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
fn the_list_is_watched_and_a_watch_that_fails_is_taken_up_again() {
    let mut w = world();
    let list = w.list_conn();
    let calls = |w: &Harness, conn| w.sent_text_on(conn).matches("GET ").count();
    let wait = |w: &Harness, conn| -> u64 {
        let calls = w.sent_text_on(conn).rsplit("timeout_ms=").next().expect("a watch");
        calls.split(' ').next().and_then(|ms| ms.parse().ok()).expect("a wait")
    };
    assert!(w.sent_text_on(list).contains("GET /v1/endpoints?since=1&timeout_ms="));
    assert!((3000..=5000).contains(&wait(&w, list)), "{}", w.sent_text_on(list));
    w.list.truncate(1);
    w.revision = 2;
    let all = w.listing(true);
    w.answer(list, "200 OK", &all);
    w.run(5);
    assert!(w.sent_text_on(list).contains("since=2&"), "the next call follows at once");
    assert_eq!(calls(&w, list), 3);
    // It fails: the module asks again, ever more rarely, for the whole list or what is newer, and does not wait.
    w.answer(list, "503 Down", "");
    w.run(5);
    assert!(w.closed.contains(&list));
    w.run(1000);
    let again = w.list_conn();
    assert!(w.sent_text_on(again).contains("since=2&timeout_ms=0 "));
    // Silence for longer than it may wait is a failure too.
    w.run(1000);
    assert!(w.closed.contains(&again));
    w.run(1000);
    assert_ne!(w.list_conn(), again);
    // What can't be read is not taken.
    let conn = w.list_conn();
    w.answer(conn, "200 OK", "{\"rev\":3,");
    w.run(1000);
    assert!(w.closed.contains(&conn));
    let client = w.http_client();
    w.send_bytes(client, ask("r1").as_bytes());
    w.run(5);
    assert_eq!(w.conns_to(0).len(), 1, "the list held stays in use");
}

/// Answers that tell of no change keep the list fresh too: after a long quiet time a watch that fell silent is opened
/// anew as soon as after a busy one.
#[test]
fn a_watch_that_falls_silent_after_a_quiet_time_is_opened_anew_at_once() {
    let mut w = world();
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
        assert!(silent_for < 7000, "a silent watch is given up");
    }
    w.run(200);
    assert_ne!(w.list_conn(), list, "called again within 0.2 s");
}

#[test]
fn a_reload_moves_to_the_new_list_service_and_disturbs_nothing_else() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    let (old, new) = (w.list_conn(), "127.0.0.1:2".parse().unwrap());
    w.connect_outcomes.insert("127.0.0.1:2".parse().unwrap(), ConnectOutcome::Welcomes(0));
    let bounds = platform().bounds;
    w.answers_polls = true;
    w.core.control(Control::Reload(Reloaded { bounds, list: new }), w.now);
    w.run(5);
    assert!(w.closed.contains(&old));
    let (conn, at) = w.connect_attempts.last().cloned().unwrap();
    assert_eq!(at.to_string(), "127.0.0.1:2");
    let calls: Vec<&str> = w.sent_text_on(conn).split("GET ").skip(1).collect();
    assert_eq!(calls.len(), 2, "{calls:?}");
    let first = "/v1/endpoints?since=1&timeout_ms=0 ";
    assert!(calls[0].starts_with(first), "what is newer than the list held, at once: {calls:?}");
    let then = "/v1/endpoints?since=1&timeout_ms=";
    assert!(calls[1].starts_with(then) && !calls[1].starts_with(first), "a watch: {calls:?}");
    w.answer(link, "200 OK", "ok");
    w.run(5);
    assert_eq!(w.statuses(client), [200]);
    w.core.control(Control::Reload(Reloaded { bounds, list: "127.0.0.1:2".parse().unwrap() }), w.now);
    w.run(5);
    assert!(!w.closed.contains(&conn), "the same address: nothing changes");
}

#[test]
fn after_a_stop_connected_clients_are_served_until_shortly_before_the_end() {
    let mut w = world();
    let (client, link) = asked(&mut w, "r1");
    w.core.control(Control::Stop, w.now);
    w.run(200);
    let late = w.http_client();
    w.send_bytes(late, b"GET /ready HTTP/1.1\r\n\r\n");
    w.run(5);
    assert_eq!(w.statuses(late), [503]);
    w.answer(link, "200 OK", "ok");
    w.run(900);
    w.send_bytes(client, ask("r2").as_bytes());
    w.run(5);
    assert_eq!(w.sent_text_on(link).matches("GET /api").count(), 2, "still served");
    w.run(300);
    assert!(
        w.write_closed.contains(&late) && !w.closed.contains(&late),
        "it waits for nothing, and closes in its turn"
    );
    w.core.closed(late, "closed by peer", w.now);
    assert!(!w.write_closed.contains(&client) && !w.closed.contains(&client) && !w.exited);
    assert_eq!(w.statuses(client), [200]);
    w.run(150);
    assert_eq!(w.statuses(client), [200, 500], "answered before the end, though its second is not over");
    assert!(w.sent_text_on(client).contains("Connection: close"));
    w.run(50);
    assert!(w.exited);
}

#[test]
fn nothing_grows_over_thousands_of_replacements_and_requests() {
    let mut w = world();
    let mut at_half = None;
    for n in 0..2000u64 {
        // A new target takes the place of one of the two.
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
        let link = *w.conns_to(node).last().expect("it was sent");
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
    let (half, end) = (at_half.unwrap(), w.core.footprint());
    assert!(end.nodes < 60 && end.connections < 40 && end.timers < 200, "{end:?}");
    assert!(end.nodes <= half.nodes + 2 && end.connections <= half.connections + 4, "{half:?} {end:?}");
    assert_eq!((end.client_request_ids, end.partial_bytes), (w.core.pending_requests(), 0));
}

#[test]
fn a_request_whose_client_left_while_its_node_was_called_is_not_sent_without_its_data() {
    let mut w = world();
    w.connect_outcomes.insert(address(0).parse().unwrap(), ConnectOutcome::NoReply);
    let client = w.http_client();
    let put = ask("r1").replace("GET", "PUT").replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\ndata");
    w.send_bytes(client, put.as_bytes());
    w.run(5);
    w.core.closed(client, "gone", w.now);
    let link = w.conns_to(0)[0];
    w.core.connected(link, w.now);
    w.run(5);
    assert_eq!(w.sent_text_on(link), "");
    assert_eq!(w.core.pending_requests(), 0);
}
