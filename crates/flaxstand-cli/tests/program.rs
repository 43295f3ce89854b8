//! The program as a user meets it: exit codes, messages, sockets, signals.

mod common;

use common::message;
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
    /// Settings whose list service is out of reach.
    fn settings(&self, more: &str) -> PathBuf {
        let folder = self.0.display();
        let text = format!(
            "initiator \"tested\" {{\n listen \"unix:{folder}/s.sock\"\n list \"unix:{folder}/none.sock\"\n \
             state \"{folder}/saved.list\"\n {more}\n}}\nsite {{\n initiators 1\n}}\n\
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

/// A daemon that is ready; killed when dropped.
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
    /// Its exit code and log, once it has ended by itself.
    fn ended(&mut self) -> (Option<i32>, String) {
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

/// A client of few words.
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
    fn write(&mut self, frame: &Frame<'_>, piece: usize) {
        let mut bytes = Vec::new();
        encode(frame, &mut bytes);
        bytes.chunks(piece).for_each(|piece| self.stream.write_all(piece).unwrap());
    }
    fn hello(&mut self, piece: usize) {
        let hello = Hello { role: Role::Client, versions: (VERSION, VERSION), id: 1, epoch: 1, name: "test" };
        self.write(&Frame::Hello(hello), piece);
    }
    /// Reads until a frame is one that is looked for; none: the connection ended.
    fn until<T>(&mut self, mut look: impl FnMut(&Frame<'_>) -> Option<T>) -> Option<T> {
        let mut buffer = [0; 4096];
        loop {
            let count = self.stream.read(&mut buffer).unwrap_or(0);
            if count == 0 {
                return None;
            }
            let mut found = None;
            let looked = self.inbox.feed(&buffer[..count], |frame| {
                found = look(&frame);
                found.is_none()
            });
            looked.unwrap();
            if found.is_some() {
                return found;
            }
        }
    }
    fn welcomed(&mut self) -> bool {
        self.until(|f| matches!(f, Frame::Welcome(_)).then_some(())).is_some()
    }
    fn submit(&mut self, id: u64, payload: &[u8]) {
        self.submit_as(id, 300_000, payload);
    }
    fn submit_within(&mut self, id: u64, time_left: u32) {
        self.submit_as(id, time_left, b"x");
    }
    fn submit_as(&mut self, id: u64, time_left: u32, payload: &[u8]) {
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
fn files_with_problems_are_told_with_their_lines_and_exit_code_two() {
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
fn every_day_and_the_example_pass_the_check() {
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
fn a_days_problems_are_told_in_the_day_or_in_its_base() {
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
    for (fault, words) in [
        ("fault \"earthquake\" at=1", "no such fault"),
        ("fault \"slow\" at=1 times=2", "nodes is missing"),
        ("fault \"slow\" at=1 times=2 {\n nodes 99\n}", "expected whole numbers from 0 to 7"),
        ("fault \"burst\" at=-1 times=2", "at in fault \"burst\" is -1"),
        ("fault \"heavy\" at=1 class=\"cake\" times=2 {\n nodes 1\n}", "expected the name of a class"),
        ("fault \"plan-burst\" at=1 plan=\"none\" times=2", "expected the name of a plan"),
        ("fault \"drop\" at=1 share=7 {\n nodes 1\n}", "expected a number from 0 to 1"),
        ("fleet nodes=3", "unknown key \"fleet\""),
    ] {
        let (code, told) = day("base.kdl", fault);
        assert_eq!(code, Some(2), "{fault}");
        assert!(
            told.contains(words) && told.contains("day.kdl:5:") || told.contains("day.kdl:6:"),
            "{fault}: {told}"
        );
    }
    let (code, told) = day("broken.kdl", "");
    assert_eq!(code, Some(2));
    assert!(told.contains("broken.kdl:") && told.contains("rate in traffic is -5"), "{told}");
    let (code, told) = day("absent.kdl", "");
    assert!(code == Some(2) && told.contains("cannot read"), "{told}");
}

#[test]
fn a_daemon_takes_clients_refuses_what_it_cannot_serve_and_stops_at_a_signal() {
    let folder = Folder::new("run");
    let mut daemon = Daemon::start(&folder.settings(""));
    let mut client = Client::connect(&folder.socket());
    client.hello(1);
    assert!(client.welcomed(), "a greeting that comes byte by byte is one");
    client.submit(1, &vec![7; 1 << 20]);
    let answer = client.until(|f| match f {
        Frame::Refused { id: 1, refusal, .. } => Some(*refusal),
        _ => None,
    });
    assert_eq!(answer, Some(Refusal::Load), "no node is known: refused before its time is up");
    daemon.signal(Signal::HUP);
    daemon.signal(Signal::TERM);
    let close_reason = client.until(|f| match f {
        Frame::Bye { close_reason, .. } => Some(*close_reason),
        _ => None,
    });
    assert_eq!(close_reason, Some(CloseReason::Stopping));
    let (code, log) = daemon.ended();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("new bounds") && log.contains("stopped"), "{log}");
    assert!(!folder.socket().exists(), "its socket file is gone");
}

#[test]
fn load_presses_on_a_running_initiator_and_says_what_it_saw() {
    let folder = Folder::new("load");
    let _daemon = Daemon::start(&folder.settings(""));
    let to = format!("--initiator=unix:{}", folder.socket().display());
    let out = flaxstand(&["load", &to, "--shards=1", "--rate=200", "--seconds=0.4"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    let said = text(&out.stdout);
    assert!(said.starts_with("seen {") && said.contains("\"served\":0"), "no node is known: {said}");
    assert_eq!(
        flaxstand(&["load", &to, "--shards=1", "--seconds=1"]).status.code(),
        Some(2),
        "rate or window"
    );
}

#[test]
fn garbage_on_one_connection_is_told_and_the_next_client_is_served() {
    let folder = Folder::new("garbage");
    let mut daemon = Daemon::start(&folder.settings(""));
    let mut bad = Client::connect(&folder.socket());
    bad.stream.write_all(&[0xff; 64]).unwrap();
    let said = bad.until(|f| match f {
        Frame::Bye { close_reason, .. } => Some(*close_reason),
        _ => None,
    });
    assert_eq!(said, Some(CloseReason::Protocol));
    let mut good = Client::connect(&folder.socket());
    good.hello(100);
    assert!(good.welcomed());
    // Whoever started it is gone: it stops.
    drop(daemon.0.stdin.take());
    let (code, log) = daemon.ended();
    assert_eq!(code, Some(0));
    assert!(log.contains("closing a connection for what its peer sent"), "{log}");
}

#[test]
fn out_of_descriptors_clients_are_turned_away_and_come_in_again_later() {
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
        if client.stream.write_all(&bytes).is_ok() && client.welcomed() {
            welcomed += 1;
        }
    }
    assert!((1..40).contains(&welcomed), "{welcomed} of 40 clients got in");
    drop(clients);
    // As soon as the daemon has seen them go; one that comes before is still turned away.
    let again = |_| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut later = Client::connect(&folder.socket());
        later.hello(100);
        later.welcomed()
    };
    assert!((0..100).any(again));
    daemon.signal(Signal::TERM);
    let (code, log) = daemon.ended();
    assert_eq!(code, Some(0));
    assert!(log.contains("no descriptors left"), "{log}");
}

#[test]
fn a_damaged_saved_list_is_set_aside_and_a_taken_socket_is_an_error() {
    let folder = Folder::new("saved");
    folder.write("saved.list", "no list at all");
    let settings = folder.settings("");
    let mut daemon = Daemon::start(&settings);
    assert!(folder.0.join("saved.damaged").exists());
    let second = flaxstand(&["run", "--config", settings.to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(3));
    assert!(text(&second.stderr).contains("cannot listen at unix:"), "{}", text(&second.stderr));
    // Killed outright it leaves its socket file: the next start replaces it.
    daemon.0.kill().unwrap();
    daemon.0.wait().unwrap();
    assert!(folder.socket().exists());
    let mut next = Daemon::start(&settings);
    next.signal(Signal::INT);
    assert_eq!(next.ended().0, Some(0));
}

/// A saved list of one node, with the pace that an earlier life learnt, microseconds a unit.
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

/// Starts a daemon, gives it a request that has 60 ms left and stops it. Whether it tried it, and its log.
fn tries(folder: &Folder, settings: &Path) -> (bool, String) {
    let mut daemon = Daemon::start(settings);
    let mut client = Client::connect(&folder.socket());
    client.hello(1 << 16);
    assert!(client.welcomed());
    client.submit_within(1, 60_000);
    let answered = |f: &Frame<'_>| matches!(f, Frame::Refused { .. } | Frame::Failed { .. }).then_some(());
    assert!(client.until(answered).is_some());
    daemon.signal(Signal::TERM);
    let (code, log) = daemon.ended();
    assert_eq!(code, Some(0), "{log}");
    // Nobody listens at the node's address: a call there fails, and says so.
    (log.contains("connection to a node lost"), log)
}

#[test]
fn what_was_learnt_goes_through_a_switch_of_settings_and_its_first_request_knows_it() {
    let folder = Folder::new("switch");
    std::fs::write(folder.0.join("saved.list"), saved_list(Some(200_000))).unwrap();
    let settings = folder.settings("");
    assert!(!tries(&folder, &settings).0, "known to take longer than its client has");
    // The new settings; the state file is the one that the stop left.
    let moved = std::fs::read_to_string(&settings).unwrap().replace(
        "initiators 1\n",
        "initiators 1\n second-copies #true\n cancel #true\n probes #true\n unit-most 6\n",
    );
    std::fs::write(&settings, moved).unwrap();
    let (tried, log) = tries(&folder, &settings);
    assert!(!tried && log.contains("scope=Cached") && !log.contains("set aside"), "{log}");
    std::fs::write(folder.0.join("saved.list"), saved_list(None)).unwrap();
    assert!(tries(&folder, &settings).0, "nothing learnt: it is tried");
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
    let (code, log) = daemon.ended();
    assert!(code == Some(0) && log.contains("too old") && !log.contains("scope=Cached"), "{log}");
}

/// Settings whose writes are buffered, and the log's folder.
fn buffering(folder: &Folder) -> (PathBuf, String) {
    let log = folder.0.join("log");
    let file = folder.settings(&format!("log {log:?}"));
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, text.replace("aim-ms 100", "aim-ms 100\n buffered #true")).unwrap();
    (file, log.display().to_string())
}

fn buffer(task: &str, rest: &[&str]) -> (Option<i32>, String) {
    let out = flaxstand(&[&["--log", "off", "buffer", task], rest].concat());
    (out.status.code(), text(&out.stdout) + &text(&out.stderr))
}

#[test]
fn what_is_buffered_survives_a_kill_and_operators_see_it() {
    let folder = Folder::new("buffer");
    let (settings, log) = buffering(&folder);
    let daemon = Daemon::start(&settings);
    let mut client = Client::connect(&folder.socket());
    client.hello(100);
    assert!(client.welcomed());
    for id in 1..=3 {
        client.submit(id, b"seat 12");
        let answer = client.until(|f| match f {
            Frame::Buffered { id } => Some(*id),
            _ => None,
        });
        assert_eq!(answer, Some(id));
    }
    let socket = format!("--initiator=unix:{}", folder.socket().display());
    let (code, live) = buffer("status", &["--json", &socket]);
    assert_eq!(code, Some(0), "{live}");
    assert!(live.contains("\"writes\": 3") && live.contains("\"acknowledged_total\": 3"), "{live}");
    // No node is known: nothing can be brought anywhere.
    let (code, drained) = buffer("drain", &[&socket, "--seconds=0.3"]);
    assert_eq!(code, Some(3), "{drained}");
    assert!(drained.contains("not all that is buffered"), "{drained}");
    // Another with the same log is refused; looking at it is not.
    let out = flaxstand(&["run", "--config", settings.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(3));
    assert!(text(&out.stderr).contains("in use by another process"), "{}", text(&out.stderr));
    assert_eq!(buffer("verify", &[&log]).0, Some(0));
    drop(daemon);
    let (code, held) = buffer("status", &[&log]);
    assert_eq!(code, Some(0));
    assert!(held.lines().any(|l| l.starts_with("writes ") && l.ends_with(" 3")), "{held}");
    let (_, dump) = buffer("dump", &[&log]);
    assert_eq!(dump.lines().count(), 3);
    assert!(dump.contains("operation 1") && dump.contains("7 bytes") && dump.contains("started"), "{dump}");
    assert_eq!(buffer("dump", &["--parked", &log]), (Some(0), String::new()));
    let (code, decided) = buffer("decide", &[&log, "1", "done"]);
    assert_eq!(code, Some(3), "it does not wait for anyone");
    assert!(decided.contains("no write 1 waits for an operator"), "{decided}");
    let (code, drained) = buffer("drain", &["--config", settings.to_str().unwrap(), "--seconds=0.3"]);
    assert_eq!(code, Some(3));
    assert!(drained.contains("3 writes are still buffered"), "{drained}");
    assert!(buffer("status", &["--json", &log]).1.contains("\"writes\":3"), "they stay");
}

#[test]
fn the_client_library_is_served_over_a_restart_and_told_why_not() {
    use flaxstand_client::{
        AbandonReason, Address, Answer, BlockingClient, Config, Micros, Request, RetrySafety,
    };
    let folder = Folder::new("client");
    let (settings, _) = buffering(&folder);
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
    assert_eq!(client.send(request(2, true)), Ok(Answer::Buffered), "it has connected anew");
    let read = client.send(Request { extent: Some(1), ..request(3, false) });
    assert_eq!(read, Ok(Answer::Served { shard: 0, payload: b"seat 12".to_vec() }), "of the first life");
    // No node is known: the initiator says so in time, each try anew.
    let begun = std::time::Instant::now();
    let abandoned =
        client.send(Request { timeout: Micros(300_000), ..request(4, false) }).expect_err("no node");
    assert!(begun.elapsed() < Duration::from_millis(1000));
    let expected_reasons = [AbandonReason::DeadlineExceeded, AbandonReason::RetryBudgetExhausted];
    assert!(abandoned.attempts >= 1 && expected_reasons.contains(&abandoned.reason), "{abandoned}");
    drop(daemon);
}

#[test]
fn a_damaged_or_newer_log_is_refused_and_salvaged_on_word() {
    let folder = Folder::new("damage");
    let (settings, log) = buffering(&folder);
    let settings = settings.to_str().unwrap().to_owned();
    let daemon = Daemon::start(Path::new(&settings));
    let mut client = Client::connect(&folder.socket());
    client.hello(100);
    assert!(client.welcomed());
    for id in 1..=3 {
        client.submit(id, b"seat 12");
        assert!(client.until(|f| matches!(f, Frame::Buffered { .. }).then_some(())).is_some());
    }
    drop(daemon);
    let segment = PathBuf::from(&log).join("0000000000000001.log");
    let sound = std::fs::read(&segment).unwrap();
    let mut newer = sound.clone();
    newer[4] = 9;
    let crc = crc32c::crc32c(&newer[..36]).to_le_bytes();
    newer[36..40].copy_from_slice(&crc);
    std::fs::write(&segment, &newer).unwrap();
    let out = flaxstand(&["run", "--config", &settings]);
    assert_eq!(out.status.code(), Some(3));
    assert!(text(&out.stderr).contains("has version 9, this build reads 1 to 1"), "{}", text(&out.stderr));
    // A byte of the first of three batches.
    let mut damaged = sound;
    damaged[80] ^= 1;
    std::fs::write(&segment, &damaged).unwrap();
    let out = flaxstand(&["run", "--config", &settings]);
    assert_eq!(out.status.code(), Some(3));
    let said = text(&out.stderr);
    assert!(said.contains("segment 0000000000000001 is damaged at byte 40"), "{said}");
    let (code, verified) = buffer("verify", &[&log]);
    assert_eq!(code, Some(1));
    assert!(verified.contains("damaged at byte 40") && verified.contains("salvage"), "{verified}");
    let (code, salvaged) = buffer("salvage", &[&log]);
    assert_eq!(code, Some(0), "{salvaged}");
    assert!(salvaged.contains("2 writes and barriers are kept"), "{salvaged}");
    assert!(segment.with_extension("damaged").exists(), "nothing is destroyed");
    assert_eq!(buffer("verify", &[&log]).0, Some(0));
    let mut daemon = Daemon::start(Path::new(&settings));
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.ended().0, Some(0));
    assert!(buffer("status", &["--json", &log]).1.contains("\"writes\":2"));
}

/// A peer on loopback that speaks HTTP: `answer` has the body for the first line and the body of each request, or
/// none where it says nothing.
fn peer(answer: impl Fn(&str, &str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.unwrap(), Arc::clone(&answer));
            std::thread::spawn(move || {
                while let Some((head, body)) = message(&mut stream) {
                    let Some(said) = answer(head.lines().next().unwrap_or_default(), &body) else { continue };
                    let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{said}", said.len());
                }
            });
        }
    });
    at
}

fn on_platform(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
    command.args(["run", "--platform"]).env("RELAY_CONFIG", file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// The platform refuses Unix sockets, io_uring and further processes, and a thread beyond the driver's has nothing to
/// do there: what needs a disk, and with it the log's thread, is off.
fn holds_what_the_platform_allows(process: u32) {
    let own = |what: &str| PathBuf::from(format!("/proc/{process}/{what}"));
    let unix = std::fs::read_to_string(own("net/unix")).unwrap();
    let unix: Vec<&str> = unix.lines().skip(1).filter_map(|l| l.split_whitespace().nth(6)).collect();
    let mut sockets = 0;
    for descriptor in std::fs::read_dir(own("fd")).unwrap() {
        let descriptor = descriptor.unwrap();
        let leads = std::fs::read_link(descriptor.path()).unwrap();
        // What it was started with is whoever's started the tests: their output, say.
        if std::fs::read_link(PathBuf::from("/proc/self/fd").join(descriptor.file_name()))
            .is_ok_and(|l| l == leads)
        {
            continue;
        }
        let leads = leads.to_str().unwrap();
        assert!(!leads.contains("io_uring"), "{leads}");
        let regular = leads.starts_with('/') && !leads.starts_with("/dev/");
        assert!(!regular, "a file stays open: {leads}");
        if let Some(inode) = leads.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']')) {
            assert!(!unix.contains(&inode), "a Unix socket, inode {inode}");
            sockets += 1;
        }
    }
    assert!(sockets >= 3, "a listener, this client and discovery at least: {sockets}");
    let threads: Vec<String> = std::fs::read_dir(own("task"))
        .unwrap()
        .map(|t| std::fs::read_to_string(t.unwrap().path().join("comm")).unwrap().trim().to_owned())
        .collect();
    assert_eq!(threads, ["flaxstand"], "one thread");
    let children = std::fs::read_to_string(own(&format!("task/{process}/children"))).unwrap_or_default();
    assert_eq!(children.trim(), "", "no further process");
    // An ELF file that the system's loader completes: the platform's library could not be loaded into another.
    let maps = std::fs::read_to_string(own("maps")).unwrap();
    assert!(maps.contains("libc.so") || maps.contains("libc-"), "linked dynamically against the C library");
}

#[test]
fn an_initiator_on_the_platform_serves_over_a_reload_and_ends_at_a_signal() {
    let target = peer(|first, body| Some(format!("{first} had {body}")));
    let entry = format!(
        r#"{{"uid":"s-1","endpoint":"{target}","az":"a","pod_group":0,"state":"up","capacity_hint":1.0,"boot_ms":0}}"#
    );
    let listing = format!(r#"{{"rev":1,"all":true,"targets":[{entry}]}}"#);
    // A list is told at once, a watch is left to wait.
    let told = listing.clone();
    let discovery = peer(move |first, _| (!first.contains("since=")).then(|| told.clone()));
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
    let bad = on_platform(&file).output().unwrap();
    assert_eq!(bad.status.code(), Some(3));
    assert!(text(&bad.stderr).contains("config.json") && text(&bad.stderr).contains("socket address"));
    let file = folder.write("config.json", &configuration(&free.to_string()));
    let daemon = Daemon(on_platform(&file).spawn().unwrap());
    let started = Instant::now();
    let mut client = loop {
        match TcpStream::connect(free) {
            Ok(client) => break client,
            Err(e) => assert!(started.elapsed() < Duration::from_secs(10), "not listening: {e}"),
        }
    };
    let mut ask = |what: &str| {
        client.write_all(what.as_bytes()).unwrap();
        message(&mut client).expect("an answer")
    };
    while !ask("GET /ready HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 200") {
        assert!(started.elapsed() < Duration::from_secs(10), "never ready");
    }
    let put = |id: &str| {
        format!(
            "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: checkout\r\n\
             X-Qos-Policy: gold\r\nX-Timeout: 0.480\r\nX-Placement: units=2,shard=0,hosts=1\r\nContent-Length: 4\r\n\r\ndata"
        )
    };
    let served = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1 had data";
    assert_eq!(ask(&put("1")).1, served);
    holds_what_the_platform_allows(daemon.0.id());
    // A file that makes no sense changes nothing.
    folder.write("config.json", "{");
    daemon.signal(Signal::HUP);
    assert_eq!(ask(&put("2")).1, served);
    daemon.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    assert!(ask("GET /ready HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 503"));
    assert_eq!(ask(&put("3")).1, served, "who is connected is served on");
    let mut daemon = daemon;
    assert!(daemon.0.wait().unwrap().success());
}
