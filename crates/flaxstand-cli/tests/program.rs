//! End-to-end tests of the program: exit codes, messages, sockets and signals.

mod common;

use common::read_message;
use flaxstand_proto::{
    CloseReason, Entry, Extent, Frame, Hello, Inbox, List, Refusal, Role, State, Submit, VERSION, encode,
};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("flaxstand-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
    fn socket(&self) -> PathBuf {
        self.0.join("s.sock")
    }
    /// Writes settings whose list service is unreachable; returns their path.
    fn settings(&self, extra_settings: &str) -> PathBuf {
        let folder = self.0.display();
        let text = format!(
            "initiator \"tested\" {{\n listen \"unix:{folder}/s.sock\"\n list \"unix:{folder}/none.sock\"\n \
             state \"{folder}/saved.list\"\n {extra_settings}\n}}\nsite {{\n initiators 1\n}}\n\
             class \"read\" {{\n effect \"repeatable\"\n aim-ms 100\n deadline-ms 500\n}}\nplan \"basic\"\n"
        );
        self.write("settings.kdl", &text)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn flaxstand(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_flaxstand")).args(arguments).stdin(Stdio::null()).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A running daemon that is ready; killed when dropped.
struct Daemon(Child);

impl Daemon {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_flaxstand"))
            .args(["run", "--with-parent", "--config"])
            .arg(settings)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("ready unix:"), "{line:?}");
        Daemon(child)
    }
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).unwrap();
    }
    /// Waits for the daemon to exit; returns its exit code and log.
    fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.0.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        (self.0.wait().unwrap().code(), log)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A minimal client that speaks the frame protocol.
struct Client {
    stream: UnixStream,
    inbox: Inbox,
}

impl Client {
    fn connect(socket: &Path) -> Self {
        let stream = UnixStream::connect(socket).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Client { stream, inbox: Inbox::default() }
    }
    fn write(&mut self, frame: &Frame<'_>, chunk_bytes: usize) {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes);
        bytes.chunks(chunk_bytes).for_each(|chunk| self.stream.write_all(chunk).unwrap());
    }
    fn send_hello(&mut self, chunk_bytes: usize) {
        let hello = Hello { role: Role::Client, versions: (VERSION, VERSION), id: 1, epoch: 1, name: "test" };
        self.write(&Frame::Hello(hello), chunk_bytes);
    }
    /// Reads frames until `select` returns a value; returns `None` if the connection ends or times out first.
    fn read_until<T>(&mut self, mut select: impl FnMut(&Frame<'_>) -> Option<T>) -> Option<T> {
        let mut buffer = [0; 4096];
        loop {
            let count = self.stream.read(&mut buffer).unwrap_or(0);
            if count == 0 {
                return None;
            }
            let mut found = None;
            let fed = self.inbox.feed(&buffer[..count], |frame| {
                found = select(&frame);
                found.is_none()
            });
            fed.unwrap();
            if found.is_some() {
                return found;
            }
        }
    }
    fn is_welcomed(&mut self) -> bool {
        self.read_until(|f| matches!(f, Frame::Welcome(_)).then_some(())).is_some()
    }
    fn submit(&mut self, id: u64, payload: &[u8]) {
        self.submit_with(id, 300_000, payload);
    }
    fn submit_within(&mut self, id: u64, time_left: u32) {
        self.submit_with(id, time_left, b"x");
    }
    fn submit_with(&mut self, id: u64, time_left: u32, payload: &[u8]) {
        let (class, plan, volume_initiators, try_no, units, volume) = (0, 0, 1, 0, 1, 5);
        let (extent, shard, operation, write) = (Some(id), Some(0), id, true);
        let submit = Submit {
            id,
            operation,
            class,
            plan,
            volume_initiators,
            try_no,
            write,
            volume,
            extent,
            shard,
            units,
            at: None,
            time_left,
            payload,
        };
        self.write(&Frame::Submit(submit), 1 << 16);
    }
}

#[test]
fn invalid_files_are_reported_with_line_numbers_and_exit_code_two() {
    let folder = Folder::new("check");
    let bad = folder.write("bad.kdl", "site {\n    initiators none\n}\n");
    for task in [&["check"][..], &["run", "--config"], &["rehearse"]] {
        let out = flaxstand(&[task, &[bad.to_str().unwrap()]].concat());
        assert_eq!(out.status.code(), Some(2), "{task:?}: {}", text(&out.stderr));
        assert!(text(&out.stderr).contains("bad.kdl:"), "{task:?}: {}", text(&out.stderr));
    }
    let missing = flaxstand(&["check", "/nowhere/at/all.kdl"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stderr).contains("cannot read /nowhere/at/all.kdl"));
    assert_eq!(flaxstand(&["dance"]).status.code(), Some(2));
    assert_eq!(flaxstand(&["--help"]).status.code(), Some(0));
}

#[test]
fn check_accepts_every_day_and_the_example_settings() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let all = ["days", "days/found"].into_iter().flat_map(|f| std::fs::read_dir(root.join(f)).unwrap());
    let days = all.map(|e| e.unwrap().path()).filter(|p| p.extension().is_some_and(|e| e == "kdl"));
    let days: Vec<PathBuf> =
        days.filter(|p| !p.ends_with("ordinary.kdl") && !p.ends_with("buffered.kdl")).collect();
    assert!(days.len() > 10);
    for file in days.into_iter().chain([root.join("docs/example.kdl")]) {
        let out = flaxstand(&["check", file.to_str().unwrap()]);
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    }
}

#[test]
fn problems_are_reported_in_a_day_or_in_its_base_file() {
    let folder = Folder::new("days");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let base = std::fs::read_to_string(root.join("ordinary.kdl")).unwrap();
    folder.write("base.kdl", &base);
    folder.write("broken.kdl", &base.replace("rate 260", "rate -5"));
    let day = |base: &str, fault: &str| {
        let text = format!("day \"d\" {{\n    seconds 1\n}}\nbase \"{base}\"\n{fault}\n");
        let out = flaxstand(&["check", folder.write("day.kdl", &text).to_str().unwrap()]);
        (out.status.code(), text_of(&out))
    };
    fn text_of(out: &Output) -> String {
        text(&out.stderr)
    }
    assert_eq!(day("base.kdl", "").0, Some(0));
    for (fault, message) in [
        ("fault \"earthquake\" at=1", "no such fault"),
        ("fault \"slow\" at=1 times=2", "nodes is missing"),
        ("fault \"slow\" at=1 times=2 {\n nodes 99\n}", "expected whole numbers from 0 to 7"),
        ("fault \"burst\" at=-1 times=2", "at in fault \"burst\" is -1"),
        ("fault \"heavy\" at=1 class=\"cake\" times=2 {\n nodes 1\n}", "expected the name of a class"),
        ("fault \"plan-burst\" at=1 plan=\"none\" times=2", "expected the name of a plan"),
        ("fault \"drop\" at=1 share=7 {\n nodes 1\n}", "expected a number from 0 to 1"),
        ("fleet nodes=3", "unknown key \"fleet\""),
    ] {
        let (code, stderr) = day("base.kdl", fault);
        assert_eq!(code, Some(2), "{fault}");
        assert!(
            stderr.contains(message) && stderr.contains("day.kdl:5:") || stderr.contains("day.kdl:6:"),
            "{fault}: {stderr}"
        );
    }
    let (code, stderr) = day("broken.kdl", "");
    assert_eq!(code, Some(2));
    assert!(stderr.contains("broken.kdl:") && stderr.contains("rate in traffic is -5"), "{stderr}");
    let (code, stderr) = day("absent.kdl", "");
    assert!(code == Some(2) && stderr.contains("cannot read"), "{stderr}");
}

#[test]
fn a_daemon_accepts_clients_refuses_unservable_requests_and_stops_on_a_signal() {
    let folder = Folder::new("run");
    let mut daemon = Daemon::start(&folder.settings(""));
    let mut client = Client::connect(&folder.socket());
    client.send_hello(1);
    assert!(client.is_welcomed(), "a hello that arrives byte by byte is welcomed");
    client.submit(1, &vec![7; 1 << 20]);
    let answer = client.read_until(|f| match f {
        Frame::Refused { id: 1, refusal, .. } => Some(*refusal),
        _ => None,
    });
    assert_eq!(answer, Some(Refusal::Load), "refused before its deadline, as no node is known");
    daemon.signal(Signal::HUP);
    daemon.signal(Signal::TERM);
    let close_reason = client.read_until(|f| match f {
        Frame::Bye { close_reason, .. } => Some(*close_reason),
        _ => None,
    });
    assert_eq!(close_reason, Some(CloseReason::Stopping));
    let (code, log) = daemon.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("new bounds") && log.contains("stopped"), "{log}");
    assert!(!folder.socket().exists(), "the socket file is removed");
}

#[test]
fn load_on_a_running_initiator_prints_its_counts() {
    let folder = Folder::new("load");
    let _daemon = Daemon::start(&folder.settings(""));
    let to = format!("--initiator=unix:{}", folder.socket().display());
    let out = flaxstand(&["load", &to, "--shards=1", "--rate=200", "--seconds=0.4"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let stdout = text(&out.stdout);
    assert!(stdout.starts_with("seen {") && stdout.contains("\"served\":0"), "no node is known: {stdout}");
    assert_eq!(
        flaxstand(&["load", &to, "--shards=1", "--seconds=1"]).status.code(),
        Some(2),
        "--rate or --window is required"
    );
}

#[test]
fn invalid_bytes_close_one_connection_and_the_next_client_is_served() {
    let folder = Folder::new("garbage");
    let mut daemon = Daemon::start(&folder.settings(""));
    let mut bad = Client::connect(&folder.socket());
    bad.stream.write_all(&[0xff; 64]).unwrap();
    let close_reason = bad.read_until(|f| match f {
        Frame::Bye { close_reason, .. } => Some(*close_reason),
        _ => None,
    });
    assert_eq!(close_reason, Some(CloseReason::Protocol));
    let mut good = Client::connect(&folder.socket());
    good.send_hello(100);
    assert!(good.is_welcomed());
    // Closing standard input, as when the parent process exits, stops the daemon.
    drop(daemon.0.stdin.take());
    let (code, log) = daemon.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(log.contains("closing a connection for what its peer sent"), "{log}");
}

#[test]
fn clients_are_rejected_without_free_descriptors_and_accepted_later() {
    let folder = Folder::new("files");
    let mut daemon = Daemon::start(&folder.settings("files 24"));
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(&folder.socket())).collect();
    clients.iter_mut().for_each(|c| {
        let _ = c.stream.write_all(&[]);
    });
    let mut welcomed = 0;
    for client in &mut clients {
        let hello = Hello { role: Role::Client, versions: (VERSION, VERSION), id: 1, epoch: 1, name: "test" };
        let mut bytes = Vec::new();
        encode(&Frame::Hello(hello), &mut bytes);
        if client.stream.write_all(&bytes).is_ok() && client.is_welcomed() {
            welcomed += 1;
        }
    }
    assert!((1..40).contains(&welcomed), "{welcomed} of 40 clients are welcomed, expected 1 to 39");
    drop(clients);
    // A client that connects before the daemon has handled these closes is still rejected.
    let is_accepted = |_| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut later = Client::connect(&folder.socket());
        later.send_hello(100);
        later.is_welcomed()
    };
    assert!((0..100).any(is_accepted));
    daemon.signal(Signal::TERM);
    let (code, log) = daemon.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(log.contains("no descriptors left"), "{log}");
}

#[test]
fn a_damaged_saved_list_is_set_aside_and_a_socket_in_use_is_an_error() {
    let folder = Folder::new("saved");
    folder.write("saved.list", "no list at all");
    let settings = folder.settings("");
    let mut daemon = Daemon::start(&settings);
    assert!(folder.0.join("saved.damaged").exists());
    let second = flaxstand(&["run", "--config", settings.to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(3));
    assert!(text(&second.stderr).contains("cannot listen at unix:"), "{}", text(&second.stderr));
    // A killed daemon leaves its socket file, which the next start replaces.
    daemon.0.kill().unwrap();
    daemon.0.wait().unwrap();
    assert!(folder.socket().exists());
    let mut next = Daemon::start(&settings);
    next.signal(Signal::INT);
    assert_eq!(next.wait_for_exit().0, Some(0));
}

/// Encodes a saved list of one node, with the service time that an earlier process measured, microseconds per
/// unit.
fn saved_list(service_time: Option<u32>) -> Vec<u8> {
    let entry = Entry {
        node: 1,
        incarnation: 1,
        state: State::Serving,
        age: None,
        shard: 0,
        zone: 0,
        size: 100,
        service_time,
        address: "127.0.0.1:9",
    };
    let list = List { extent: Extent::Full, since: 3, revision: 3, entries: vec![entry] };
    let mut bytes = Vec::new();
    encode(&Frame::List(list), &mut bytes);
    bytes
}

/// Starts a daemon, sends it a request with 60 ms left and stops it. Returns whether the request was
/// attempted, and the log.
fn attempts_request(folder: &Folder, settings: &Path) -> (bool, String) {
    let mut daemon = Daemon::start(settings);
    let mut client = Client::connect(&folder.socket());
    client.send_hello(1 << 16);
    assert!(client.is_welcomed());
    client.submit_within(1, 60_000);
    let is_answer = |f: &Frame<'_>| matches!(f, Frame::Refused { .. } | Frame::Failed { .. }).then_some(());
    assert!(client.read_until(is_answer).is_some());
    daemon.signal(Signal::TERM);
    let (code, log) = daemon.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    // Nothing listens at the node's address, so an attempt is visible as a failed connection.
    (log.contains("connection to a node lost"), log)
}

#[test]
fn measured_service_times_survive_a_change_of_settings_and_apply_to_the_first_request() {
    let folder = Folder::new("switch");
    std::fs::write(folder.0.join("saved.list"), saved_list(Some(200_000))).unwrap();
    let settings = folder.settings("");
    assert!(!attempts_request(&folder, &settings).0, "the measured service time exceeds the time left");
    // The daemon restarts with new settings and the state file that it saved when it stopped.
    let moved = std::fs::read_to_string(&settings).unwrap().replace(
        "initiators 1\n",
        "initiators 1\n second-copies #true\n cancel #true\n probes #true\n unit-most 6\n",
    );
    std::fs::write(&settings, moved).unwrap();
    let (attempted, log) = attempts_request(&folder, &settings);
    assert!(!attempted && log.contains("scope=Cached") && !log.contains("set aside"), "{log}");
    std::fs::write(folder.0.join("saved.list"), saved_list(None)).unwrap();
    assert!(attempts_request(&folder, &settings).0, "attempted without a measured service time");
}

#[test]
fn a_saved_list_that_is_too_old_is_set_aside_with_a_warning() {
    let folder = Folder::new("old");
    let path = folder.0.join("saved.list");
    std::fs::write(&path, saved_list(None)).unwrap();
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_modified(std::time::SystemTime::now() - Duration::from_secs(7200)).unwrap();
    let mut daemon = Daemon::start(&folder.settings("state-age-most-s 3600"));
    assert!(folder.0.join("saved.old").exists());
    daemon.signal(Signal::TERM);
    let (code, log) = daemon.wait_for_exit();
    assert!(code == Some(0) && log.contains("too old") && !log.contains("scope=Cached"), "{log}");
}

/// Writes settings with buffered writes; returns their path and the log folder.
fn buffered_settings(folder: &Folder) -> (PathBuf, String) {
    let log = folder.0.join("log");
    let file = folder.settings(&format!("log {log:?}"));
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("aim-ms 100", "aim-ms 100\n buffered #true")).unwrap();
    (file, log.display().to_string())
}

fn buffer_command(command: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let out = flaxstand(&[&["--log", "off", "buffer", command], arguments].concat());
    (out.status.code(), text(&out.stdout) + &text(&out.stderr))
}

#[test]
fn buffered_writes_survive_a_kill_and_are_shown_to_operators() {
    let folder = Folder::new("buffer");
    let (settings, log) = buffered_settings(&folder);
    let daemon = Daemon::start(&settings);
    let mut client = Client::connect(&folder.socket());
    client.send_hello(100);
    assert!(client.is_welcomed());
    for id in 1..=3 {
        client.submit(id, b"seat 12");
        let answer = client.read_until(|f| match f {
            Frame::Buffered { id } => Some(*id),
            _ => None,
        });
        assert_eq!(answer, Some(id));
    }
    let socket = format!("--initiator=unix:{}", folder.socket().display());
    let (code, figures) = buffer_command("status", &["--json", &socket]);
    assert_eq!(code, Some(0), "{figures}");
    assert!(figures.contains("\"writes\": 3") && figures.contains("\"acknowledged_total\": 3"), "{figures}");
    // No node is known, so no write can be written out.
    let (code, drained) = buffer_command("drain", &[&socket, "--seconds=0.3"]);
    assert_eq!(code, Some(3), "{drained}");
    assert!(drained.contains("not all buffered writes reached their nodes"), "{drained}");
    // A second daemon can't open the log; read-only commands can.
    let out = flaxstand(&["run", "--config", settings.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(3));
    assert!(text(&out.stderr).contains("in use by another process"), "{}", text(&out.stderr));
    assert_eq!(buffer_command("verify", &[&log]).0, Some(0));
    drop(daemon);
    let (code, status) = buffer_command("status", &[&log]);
    assert_eq!(code, Some(0));
    assert!(status.lines().any(|l| l.starts_with("writes ") && l.ends_with(" 3")), "{status}");
    let (_, dump) = buffer_command("dump", &[&log]);
    assert_eq!(dump.lines().count(), 3);
    assert!(dump.contains("operation 1") && dump.contains("7 bytes") && dump.contains("started"), "{dump}");
    assert_eq!(buffer_command("dump", &["--parked", &log]), (Some(0), String::new()));
    let (code, decided) = buffer_command("decide", &[&log, "1", "done"]);
    assert_eq!(code, Some(3), "the write is not parked");
    assert!(decided.contains("no parked write has number 1"), "{decided}");
    let (code, drained) = buffer_command("drain", &["--config", settings.to_str().unwrap(), "--seconds=0.3"]);
    assert_eq!(code, Some(3));
    assert!(drained.contains("3 writes are still buffered"), "{drained}");
    assert!(
        buffer_command("status", &["--json", &log]).1.contains("\"writes\":3"),
        "the writes stay in the log"
    );
}

#[test]
fn the_client_library_reconnects_after_a_restart_and_reports_abandoned_requests() {
    use flaxstand_client::{
        AbandonReason, Address, Answer, BlockingClient, Config, Micros, Request, RetrySafety,
    };
    let folder = Folder::new("client");
    let (settings, _) = buffered_settings(&folder);
    let daemon = Daemon::start(&settings);
    let mut client =
        BlockingClient::new(Address::Unix(folder.socket()), Config { seed: 5, ..Config::default() });
    let request = |operation: u64, write: bool| Request {
        operation,
        class: 0,
        plan: 0,
        volume_initiators: 1,
        write,
        volume: 5,
        extent: Some(operation),
        shard: Some(0),
        write_offset: None,
        units: 1,
        payload: b"seat 12".to_vec(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Micros(3_000_000),
    };
    assert_eq!(client.send(request(1, true)), Ok(Answer::Buffered));
    drop(daemon);
    let daemon = Daemon::start(&settings);
    assert_eq!(client.send(request(2, true)), Ok(Answer::Buffered), "the client has reconnected");
    let read = client.send(Request { extent: Some(1), ..request(3, false) });
    assert_eq!(
        read,
        Ok(Answer::Served { shard: 0, payload: b"seat 12".to_vec() }),
        "the write accepted before the restart"
    );
    // No node is known, so the initiator refuses each try before the deadline.
    let started = std::time::Instant::now();
    let abandoned =
        client.send(Request { timeout: Micros(300_000), ..request(4, false) }).expect_err("no node");
    assert!(started.elapsed() < Duration::from_millis(1000));
    let expected_reasons = [AbandonReason::DeadlineExceeded, AbandonReason::RetryBudgetExhausted];
    assert!(abandoned.attempts >= 1 && expected_reasons.contains(&abandoned.reason), "{abandoned}");
    drop(daemon);
}

#[test]
fn a_damaged_or_newer_log_is_rejected_and_a_damaged_one_can_be_salvaged() {
    let folder = Folder::new("damage");
    let (settings, log) = buffered_settings(&folder);
    let settings = settings.to_str().unwrap().to_owned();
    let daemon = Daemon::start(Path::new(&settings));
    let mut client = Client::connect(&folder.socket());
    client.send_hello(100);
    assert!(client.is_welcomed());
    for id in 1..=3 {
        client.submit(id, b"seat 12");
        assert!(client.read_until(|f| matches!(f, Frame::Buffered { .. }).then_some(())).is_some());
    }
    drop(daemon);
    let segment = PathBuf::from(&log).join("0000000000000001.log");
    let intact = std::fs::read(&segment).unwrap();
    let mut newer = intact.clone();
    newer[4] = 9;
    let crc = crc32c::crc32c(&newer[..36]).to_le_bytes();
    newer[36..40].copy_from_slice(&crc);
    std::fs::write(&segment, &newer).unwrap();
    let out = flaxstand(&["run", "--config", &settings]);
    assert_eq!(out.status.code(), Some(3));
    assert!(text(&out.stderr).contains("has version 9, this build reads 1 to 1"), "{}", text(&out.stderr));
    // Flip a bit in the first of three batches.
    let mut damaged = intact;
    damaged[80] ^= 1;
    std::fs::write(&segment, &damaged).unwrap();
    let out = flaxstand(&["run", "--config", &settings]);
    assert_eq!(out.status.code(), Some(3));
    let stderr = text(&out.stderr);
    assert!(stderr.contains("segment 0000000000000001 is damaged at byte 40"), "{stderr}");
    let (code, verified) = buffer_command("verify", &[&log]);
    assert_eq!(code, Some(1));
    assert!(verified.contains("damaged at byte 40") && verified.contains("salvage"), "{verified}");
    let (code, salvaged) = buffer_command("salvage", &[&log]);
    assert_eq!(code, Some(0), "{salvaged}");
    assert!(salvaged.contains("2 writes and barriers are kept"), "{salvaged}");
    assert!(segment.with_extension("damaged").exists(), "the damaged segment is kept");
    assert_eq!(buffer_command("verify", &[&log]).0, Some(0));
    let mut daemon = Daemon::start(Path::new(&settings));
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait_for_exit().0, Some(0));
    assert!(buffer_command("status", &["--json", &log]).1.contains("\"writes\":2"));
}

/// Runs an HTTP server on loopback. `answer` maps the request line and the body of each request to the body
/// of the response; with `None` the request stays unanswered.
fn http_server(answer: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.unwrap(), Arc::clone(&answer));
            std::thread::spawn(move || {
                while let Some((head, body)) = read_message(&mut stream) {
                    let Some(response) = answer(head.lines().next().unwrap_or_default(), &body) else {
                        continue;
                    };
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{response}",
                        response.len()
                    );
                }
            });
        }
    });
    at
}

fn platform_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
    command.args(["run", "--platform"]).env("RELAY_CONFIG", file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Asserts that a process uses only what the platform permits: no Unix sockets, no io_uring and no child
/// processes. It also has only the thread of the driver, as features that need a disk, such as the log with
/// its thread, are off.
fn assert_platform_restrictions(process: u32) {
    let own = |entry: &str| PathBuf::from(format!("/proc/{process}/{entry}"));
    let unix = std::fs::read_to_string(own("net/unix")).unwrap();
    let unix: Vec<&str> = unix.lines().skip(1).filter_map(|l| l.split_whitespace().nth(6)).collect();
    let mut sockets = 0;
    for descriptor in std::fs::read_dir(own("fd")).unwrap() {
        let descriptor = descriptor.unwrap();
        let target = std::fs::read_link(descriptor.path()).unwrap();
        // Skip descriptors inherited from the test process, such as its output.
        if std::fs::read_link(PathBuf::from("/proc/self/fd").join(descriptor.file_name()))
            .is_ok_and(|l| l == target)
        {
            continue;
        }
        let target = target.to_str().unwrap();
        assert!(!target.contains("io_uring"), "{target}");
        let regular = target.starts_with('/') && !target.starts_with("/dev/");
        assert!(!regular, "a file stays open: {target}");
        if let Some(inode) = target.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) {
            assert!(!unix.contains(&inode), "a Unix socket, inode {inode}");
            sockets += 1;
        }
    }
    assert!(sockets >= 3, "a listener, this client and discovery at least: {sockets}");
    let threads: Vec<String> = std::fs::read_dir(own("task"))
        .unwrap()
        .map(|t| std::fs::read_to_string(t.unwrap().path().join("comm")).unwrap().trim().to_owned())
        .collect();
    assert_eq!(threads, ["flaxstand"], "the process has one thread");
    let children = std::fs::read_to_string(own(&format!("task/{process}/children"))).unwrap_or_default();
    assert_eq!(children.trim(), "", "the process has no child processes");
    // The platform preloads a library, which requires a dynamically linked executable.
    let maps = std::fs::read_to_string(own("maps")).unwrap();
    assert!(maps.contains("libc.so") || maps.contains("libc-"), "linked dynamically against the C library");
}

#[test]
fn an_initiator_on_the_platform_serves_across_a_reload_and_stops_on_a_signal() {
    let target = http_server(|request_line, body| Some(format!("{request_line} had {body}")));
    let entry = format!(
        r#"{{"uid":"s-1","endpoint":"{target}","az":"a","pod_group":0,"state":"up","capacity_hint":1.0,"boot_ms":0}}"#
    );
    let listing = format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#);
    // The list is returned at once; a watch stays unanswered.
    let response = listing.clone();
    let discovery =
        http_server(move |request_line, _| (!request_line.contains("since=")).then(|| response.clone()));
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let configuration = |listen: &str| {
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},"known":{{"rev":0,"all":true,"targets":[]}},
            "settings":{{"balancers":1,"registryMode":"on_request","tickMs":2.0,
            "classes":[{{"name":"checkout","aimMs":200.0,"deadlineMs":500.0,"worth":1.0,"semantics":"repeatable"}}],
            "grades":[{{"name":"gold","price":1.0}}],
            "caps":{{"maxAttempts":2,"dialTimeoutMs":250.0,"keepaliveMs":30000.0}},
            "rules":{{"askWithinMs":10000.0}},"familyInfo":{{"unitMean":1.0,"mostUnits":8}}}}}}"#
        )
    };
    let folder = Folder::new("platform");
    let file = folder.write("config.json", &configuration("nowhere"));
    let bad = platform_command(&file).output().unwrap();
    assert_eq!(bad.status.code(), Some(3));
    assert!(text(&bad.stderr).contains("config.json") && text(&bad.stderr).contains("socket address"));
    let file = folder.write("config.json", &configuration(&free.to_string()));
    let daemon = Daemon(platform_command(&file).spawn().unwrap());
    let started = Instant::now();
    let mut client = loop {
        match TcpStream::connect(free) {
            Ok(client) => break client,
            Err(e) => assert!(started.elapsed() < Duration::from_secs(10), "not listening: {e}"),
        }
    };
    let mut send = |request: &str| {
        client.write_all(request.as_bytes()).unwrap();
        read_message(&mut client).expect("a response")
    };
    while !send("GET /ready HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 200") {
        assert!(started.elapsed() < Duration::from_secs(10), "not ready after 10 s");
    }
    let put = |id: &str| {
        format!(
            "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: checkout\r\n\
             X-Qos-Policy: gold\r\nX-Timeout: 0.480\r\nX-Placement: units=2,shard=0,hosts=1\r\nContent-Length: 4\r\n\r\ndata"
        )
    };
    let served = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1 had data";
    assert_eq!(send(&put("1")).1, served);
    assert_platform_restrictions(daemon.0.id());
    // An invalid configuration changes nothing.
    folder.write("config.json", "{");
    daemon.signal(Signal::HUP);
    assert_eq!(send(&put("2")).1, served);
    daemon.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    assert!(send("GET /ready HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 503"));
    assert_eq!(send(&put("3")).1, served, "connected clients are served during the shutdown");
    let mut daemon = daemon;
    assert!(daemon.0.wait().unwrap().success());
}
