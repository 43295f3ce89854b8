//! Compatibility with recorded fixtures: settings files, saved endpoint lists and wire traffic are read and
//! written as by the earlier build that recorded them.

mod harness;

use flaxstand_fixture::{Fixtures, hex, values_of};
use flaxstand_gateway::core::{Config, SavedList, Timeouts, WriteBack};
use flaxstand_gateway::machine::{ConnId, Control, Machine};
use flaxstand_gateway::settings::{read_daemon, read_rules};
use flaxstand_proto::{Code, Entry, Extent, Frame, List, State};
use flaxstand_storage::faulty::FaultyDisk;
use flaxstand_write_back::recover;
use harness::{
    Harness, PATH, READ, SentFrame, address, config, entry, http_request, ms, small_platform_config,
};
use std::fmt::Write as _;

const SETTINGS: [&str; 2] = ["settings/every-key.kdl", "settings/buffered.kdl"];
/// A value of the wrong type.
const WRONG_VALUE: &str = "\"nonsense\"";

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn text_of(name: &str) -> String {
    String::from_utf8(fixtures().read(name)).expect("the fixture is UTF-8")
}

#[test]
fn each_key_of_a_settings_file_is_read_to_the_recorded_value() {
    for name in SETTINGS {
        let text = text_of(name);
        let daemon = read_daemon(name, &text).unwrap_or_else(|e| panic!("{e}: {:?}", e.problems));
        fixtures().assert_text(&format!("{name}.values"), &values_of(&format!("{daemon:?}")));
        let rules = read_rules(name, &text).expect("the settings are valid");
        fixtures()
            .assert_text(&format!("{name}.rules"), &format!("{:#?}", rules.values.keys()).replace(',', ""));
        fixtures().assert_text(&format!("{name}.rule-values"), &values_of(&format!("{rules:?}")));
    }
    let example = include_str!("../../../docs/example.kdl");
    let daemon = read_daemon("example.kdl", example).expect("the settings are valid");
    fixtures().assert_text("settings/example.values", &values_of(&format!("{daemon:?}")));
}

fn problems_of(text: &str) -> String {
    match read_daemon("file.kdl", text) {
        Ok(_) => "none".into(),
        Err(error) => {
            let problems = error.problems.iter().map(|p| format!("{}: {}", p.line, p.message));
            problems.collect::<Vec<_>>().join("\n    ")
        }
    }
}

/// The text with one line replaced, numbered from 0.
fn with_line_replaced(text: &str, number: usize, replacement: impl Fn(&str) -> String) -> String {
    let line = |(at, line): (usize, &str)| if at == number { replacement(line) } else { line.to_owned() };
    text.lines().enumerate().map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a renamed key and against an error that names the wrong key or line.
#[test]
fn each_mistake_in_a_settings_file_is_reported_as_recorded() {
    for name in SETTINGS {
        let text = text_of(name);
        let mut reports = String::new();
        for (number, line) in text.lines().enumerate() {
            let trimmed = line.trim();
            if trimmed.is_empty() || trimmed.starts_with("//") || trimmed == "}" {
                continue;
            }
            let wrong_value = with_line_replaced(&text, number, |line| {
                match line.trim_end_matches(" {").rsplit_once([' ', '=']) {
                    Some((before, value)) => line.replacen(
                        &format!("{before}{}{value}", &line[before.len()..=before.len()]),
                        &format!("{before}{}{WRONG_VALUE}", &line[before.len()..=before.len()]),
                        1,
                    ),
                    None => line.to_owned(),
                }
            });
            let unknown_key =
                with_line_replaced(&text, number, |line| line.replacen(trimmed, &format!("x{trimmed}"), 1));
            let _ = writeln!(reports, "line {}: {trimmed}", number + 1);
            let _ = writeln!(reports, "  wrong value:\n    {}", problems_of(&wrong_value));
            let _ = writeln!(reports, "  unknown key:\n    {}", problems_of(&unknown_key));
        }
        fixtures().assert_text(&format!("{name}.mistakes"), &reports);
    }
}

/// An initiator that receives lists only when the test delivers them: it sends no list requests after
/// silence.
fn config_without_list_requests() -> Config {
    let mut config = config();
    config.site.timeouts.discovery_idle_timeout = ms(3_600_000);
    config
}

/// A saved list: the full list, two appended changes, and a truncated third one.
fn saved_list() -> Vec<u8> {
    let mut w = Harness::new(config_without_list_requests(), 20);
    let client = w.client();
    w.submit(client, 1, READ, Some(3));
    w.run(5);
    let sent = *w.attempts(3).last().expect("an attempt was sent");
    w.done(w.node_conn(3), sent, Code::Served, b"");
    w.run(5);
    for (node, state) in [(1, State::Draining), (2, State::Removed), (0, State::Draining)] {
        let at = address(node);
        let changed =
            Entry { age: Some(5_000_000), zone: 2, size: 150, ..entry(node, state, node as u32, &at) };
        let since = w.revision;
        w.revision += 1;
        let list = List { extent: Extent::Changes, since, revision: w.revision, entries: vec![changed] };
        w.send_frame(w.list_conn(), &Frame::List(list));
        w.turn();
    }
    let mut bytes = w.saved.expect("the list was saved");
    bytes.truncate(bytes.len() - 7);
    bytes
}

/// Guards against an initiator that forgets draining endpoints when it restarts during an outage of the list
/// service.
#[test]
fn a_recorded_saved_list_is_read_and_applied() {
    fixtures().assert_bytes("saved.list", &saved_list());
    let bytes = fixtures().read("saved.list");
    let list = SavedList::read(&bytes).expect("a valid saved list");
    assert!(list.torn_bytes > 0);
    fixtures().assert_text("saved-list.values", &values_of(&format!("{list:?}")));
    let mut restarted = Harness::without_list_service(config_without_list_requests(), 20, &bytes);
    let client = restarted.client();
    (0..4).for_each(|node| restarted.submit(client, node, READ, Some(node as u32)));
    restarted.run(20);
    let sent: Vec<usize> = (0..4).map(|node| restarted.attempts(node).len()).collect();
    assert_eq!(
        sent,
        [1, 0, 0, 1],
        "node 1 is draining, node 2 is removed, the change of node 0 is truncated"
    );
}

/// The core's output by connection, in the order in which the connections were opened.
fn transcript(w: &Harness) -> String {
    let mut text = String::new();
    for (conn, bytes) in &w.sent_text {
        let to = w
            .connect_attempts
            .iter()
            .find(|(c, _)| c == conn)
            .map_or("a client".into(), |(_, a)| a.to_string());
        let closed = if w.closed.contains(conn) { ", closed" } else { "" };
        let _ = writeln!(text, "--- to {to}{closed}\n{}", bytes.replace("\r\n", "\\r\\n\n"));
    }
    text
}

fn put(id: &str) -> String {
    format!(
        "PUT {PATH}?part=2 HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\nX-Priority-Class: once\r\nX-Qos-Policy: plan\r\n\
         X-Timeout: 0.5\r\nX-Placement: units=1,shard=0,hosts=1\r\nIdempotency-Key: k-7\r\nX-Other: passes\r\n\
         Content-Length: 4\r\n\r\ndata"
    )
}

fn run_served(w: &mut Harness) {
    let client = w.http_client();
    w.send_bytes(client, put("r1").as_bytes());
    w.run(5);
    let link = *w.conns_to(0).last().expect("an attempt was sent");
    w.send_bytes(link, b"HTTP/1.1 200 OK\r\nX-Server-Load: inflight=2\r\nContent-Length: 4\r\n\r\nbody");
    w.run(5);
}

fn run_refused(w: &mut Harness) {
    let client = w.http_client();
    w.send_bytes(client, http_request("r2", "read", 99, "0.300").as_bytes());
    w.run(400);
    let (_, link) = w.request_in_flight("r3", "once");
    w.send_bytes(link, b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
    w.run(1100);
}

fn run_failed(w: &mut Harness) {
    let (_, link) = w.request_in_flight("r4", "once");
    w.answer(link, "500 No", "");
    w.run(25);
    let (client, _) = w.request_in_flight("r5", "read");
    w.core.closed(client, "closed by peer", w.now);
    w.run(50);
}

fn run_invalid_requests(w: &mut Harness) {
    let valid_request = http_request("r6", "read", 0, "1.000");
    for request in [
        valid_request.replace("X-Request-ID: r6\r\n", ""),
        valid_request.replace("X-Priority-Class: read", "X-Priority-Class: nobody"),
        valid_request.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"),
        valid_request.replace(PATH, "/elsewhere"),
        "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_owned(),
        "noise\r\n\r\n".to_owned(),
    ] {
        let client: ConnId = w.http_client();
        w.send_bytes(client, request.as_bytes());
        w.run(5);
        w.core.closed(client, "closed by peer", w.now);
        w.run(1);
    }
}

fn run_list_updates(w: &mut Harness) {
    w.run(6000);
    let list_conn = *w
        .connected
        .iter()
        .find(|(_, a)| a.to_string() == "127.0.0.1:1")
        .expect("the list service is connected")
        .0;
    w.answer(list_conn, "200 OK", r#"{"rev":2,"all":false,"targets":[{"uid":"s-1","state":"draining"}]}"#);
    w.run(50);
    w.answer(list_conn, "503 Busy", "");
    w.run(3000);
}

/// Guards against a changed header, status, path or time-out on the platform's wire, towards clients and
/// targets.
#[test]
fn traffic_on_the_platforms_wire_matches_the_recording() {
    type Scenario = fn(&mut Harness);
    let scenarios: [(&str, Scenario); 5] = [
        ("served", run_served),
        ("refused", run_refused),
        ("failed", run_failed),
        ("wrong", run_invalid_requests),
        ("listed", run_list_updates),
    ];
    for (name, run_scenario) in scenarios {
        let mut w = Harness::new(small_platform_config(), 2);
        run_scenario(&mut w);
        fixtures().assert_text(&format!("platform/{name}.txt"), &transcript(&w));
    }
    let mut w = Harness::new(small_platform_config(), 2);
    run_served(&mut w);
    w.core.control(Control::Stop, w.now);
    w.run(3000);
    assert!(w.exited);
    fixtures().assert_text("platform/stopped.txt", &transcript(&w));
}

/// Guards against a renamed field of `buffer status --json`.
#[test]
fn the_buffer_status_fields_have_the_recorded_names() {
    let mut c = config();
    c.site.write_back = Some(WriteBack::default());
    c.site.classes[0].is_buffered = true;
    let mut w = Harness::new(c, 1);
    let recovered = recover(&mut FaultyDisk::new(1)).expect("an empty log is recovered");
    w.core.attach(recovered, w.now);
    w.run(5);
    let client = w.client();
    w.send_frame(client, &Frame::AskStatus { id: 1 });
    w.run(5);
    let status = w.sent_frames_on(client).iter().find_map(|said| match said {
        SentFrame::Status(json) => Some(json.clone()),
        _ => None,
    });
    let status = status.expect("a Status frame was sent");
    let object: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&status).expect("the status is a JSON object");
    let names: Vec<&str> = object.keys().map(String::as_str).collect();
    fixtures().assert_text("buffer-figures.txt", &format!("{}\n", names.join("\n")));
}

/// Guards against frames sent in another order or with other fields than recorded.
#[test]
fn traffic_in_frames_matches_the_recording() {
    let mut c = config();
    c.site.timeouts = Timeouts { shutdown_timeout: ms(500), ..c.site.timeouts };
    let mut w = Harness::new(c, 3);
    let client = w.client();
    (1..=3).for_each(|id| w.submit(client, id, READ, Some(id as u32 - 1)));
    w.submit_within(client, 4, READ, Some(99), 200);
    w.run(20);
    let sent = *w.attempts(0).last().expect("an attempt was sent");
    w.done(w.node_conn(0), sent, Code::Served, b"answer");
    let sent = *w.attempts(1).last().expect("an attempt was sent");
    w.done(w.node_conn(1), sent, Code::Error, b"");
    w.run(300);
    w.core.control(Control::Stop, w.now);
    w.run(3000);
    let raw: String =
        w.sent_bytes.iter().map(|(conn, bytes)| format!("{}: {}\n", conn.0, hex(bytes))).collect();
    fixtures().assert_text("frames.txt", &raw);
    assert!(w.exited);
}
