//! `flaxstand run --platform` over loopback, where a signal, the kernel or a peer crosses it. A process that is to find
//! two things at once is stopped until the kernel holds both, and then goes on. Waits are for events, with a bound.

mod common;

use common::message;
use rustix::process::{Pid, Resource, Rlimit, Signal, WaitOptions, kill_process, prlimit, waitpid};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const BOUND: Duration = Duration::from_secs(20);

/// Waits for something to hold.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < BOUND, "not in time: {what}");
        std::thread::yield_now();
    }
}

/// What a peer was asked, and the connection to answer on.
struct Asked {
    head: String,
    stream: TcpStream,
}

impl Asked {
    fn answer(&mut self, body: &str) {
        write!(self.stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    }
    fn id(&self) -> &str {
        self.head.lines().find_map(|l| l.strip_prefix("X-Request-ID: ")).unwrap_or_default()
    }
}

/// A peer whose answers are the test's: each message that comes is handed over.
fn serve(listener: TcpListener) -> Receiver<Asked> {
    let (tell, told) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), tell): (_, Sender<Asked>) = (stream, tell.clone()) else { return };
            std::thread::spawn(move || {
                while let Some((head, _)) = message(&mut stream) {
                    let Ok(stream) = stream.try_clone() else { return };
                    if tell.send(Asked { head, stream }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    told
}

/// An initiator with one target, which it knows from its start.
struct Rig {
    process: Child,
    at: SocketAddr,
    target: Receiver<Asked>,
    discovery: SocketAddr,
    folder: PathBuf,
}

impl Rig {
    /// The list service is a port at which nobody listens yet.
    fn start(name: &str) -> Rig {
        let target = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = target.local_addr().unwrap();
        let free = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let (at, discovery) = (free(), free());
        let configuration = format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},
            "known":{{"rev":0,"all":true,"targets":[{{"uid":"s-1","endpoint":"{endpoint}","az":"a","pod_group":0,
            "state":"up","capacity_hint":1.0,"boot_ms":0}}]}},
            "settings":{{"balancers":1,"registryMode":"on_request","tickMs":2.0,
            "classes":[{{"name":"read","aimMs":2000.0,"deadlineMs":2500.0,"worth":1.0,"semantics":"repeatable"}},
            {{"name":"order","aimMs":2000.0,"deadlineMs":2500.0,"worth":1.0,"semantics":"once"}}],
            "grades":[{{"name":"gold","price":1.0}}],
            "caps":{{"maxAttempts":3,"dialTimeoutMs":250.0,"keepaliveMs":60000.0}},
            "rules":{{"askWithinMs":10000.0}},"familyInfo":{{"unitMean":1.0,"mostUnits":8}}}}}}"#
        );
        let folder = std::env::temp_dir().join(format!("flaxstand-crossing-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
        command.args(["run", "--platform"]).env("RELAY_CONFIG", file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let process = command.spawn().unwrap();
        let rig = Rig { process, at, target: serve(target), discovery, folder };
        until("it listens", || TcpStream::connect(at).is_ok());
        rig
    }
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }
    /// The process stands still: what comes is held by the kernel.
    fn stand_still(&self) {
        self.signal(Signal::STOP);
        waitpid(Some(Pid::from_child(&self.process)), WaitOptions::UNTRACED).unwrap();
    }
    fn go_on(&self) {
        self.signal(Signal::CONT);
    }
    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        stream
    }
    /// The next request that reaches the target.
    fn asked(&self) -> Asked {
        self.target.recv_timeout(BOUND).expect("the target is asked")
    }
    /// A client whose first request was served, and whose second the kernel holds while the process stands still; and the
    /// connection to the target, which rests.
    fn asked_again_while_it_stands_still(&self) -> (TcpStream, Asked) {
        let mut client = self.client();
        client.write_all(get("first", "order").as_bytes()).unwrap();
        let mut asked = self.asked();
        asked.answer("one");
        assert_eq!(message(&mut client).unwrap().1, "one");
        self.stand_still();
        let from = client.local_addr().unwrap();
        client.write_all(get("second", "order").as_bytes()).unwrap();
        until("the request is there", || self.held(self.at, from).is_some_and(|(_, unread)| unread > 1));
        (client, asked)
    }
    /// The kernel's word of the process' side of a connection: its state and bytes unread; none: there is none.
    fn held(&self, ours: SocketAddr, peers: SocketAddr) -> Option<(String, u64)> {
        let hex = |at: SocketAddr| {
            let SocketAddr::V4(at) = at else { panic!("IPv4") };
            format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
        };
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table.lines().skip(1).find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let found = fields[1] == hex(ours) && fields[2] == hex(peers);
            let unread = u64::from_str_radix(fields[4].split(':').nth(1)?, 16).ok()?;
            found.then(|| (fields[3].to_owned(), unread))
        })
    }
    fn ended(&mut self) -> Option<i32> {
        let began = Instant::now();
        while began.elapsed() < BOUND {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        panic!("it does not end");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The state in which a peer has closed and this side has not.
const CLOSE_WAIT: &str = "08";

fn get(id: &str, class: &str) -> String {
    format!(
        "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Qos-Policy: gold\r\nX-Timeout: 2.400\r\nX-Placement: units=1,shard=0,hosts=1\r\n\r\n"
    )
}

#[test]
fn a_request_whose_client_has_closed_before_it_was_read_reaches_nobody() {
    let rig = Rig::start("gone");
    let mut gone = rig.client();
    let from = gone.local_addr().unwrap();
    rig.stand_still();
    gone.write_all(get("gone", "order").as_bytes()).unwrap();
    drop(gone);
    until("the kernel has the request and the close", || {
        rig.held(rig.at, from).is_some_and(|(state, unread)| state == CLOSE_WAIT && unread > 1)
    });
    rig.go_on();
    until("the process has closed too", || {
        rig.held(rig.at, from).is_none_or(|(state, _)| state != CLOSE_WAIT)
    });
    let mut next = rig.client();
    next.write_all(get("next", "order").as_bytes()).unwrap();
    let mut asked = rig.asked();
    assert_eq!(asked.id(), "next");
    asked.answer("ok");
    assert_eq!(message(&mut next).unwrap().1, "ok");
    assert!(rig.target.try_recv().is_err(), "nothing else came");
}

#[test]
fn a_connection_that_its_target_closed_costs_no_request_that_must_run_once() {
    let rig = Rig::start("stale");
    let (mut client, asked) = rig.asked_again_while_it_stands_still();
    let (ours, theirs) = (asked.stream.peer_addr().unwrap(), asked.stream.local_addr().unwrap());
    asked.stream.shutdown(std::net::Shutdown::Both).unwrap();
    until("and the close", || rig.held(ours, theirs).is_some_and(|(state, _)| state == CLOSE_WAIT));
    rig.go_on();
    let mut asked = rig.asked();
    assert_eq!(asked.id(), "second");
    asked.answer("two");
    assert_eq!(
        message(&mut client).unwrap(),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n".into(), "two".into())
    );
    assert!(rig.target.try_recv().is_err(), "sent once");
}

/// Half a line, or the tail of a second answer, on a connection that rests, while a request for it comes.
#[test]
fn what_came_on_a_resting_connection_is_no_answer_to_the_request_that_comes_with_it() {
    let rig = Rig::start("half-line");
    let (mut client, mut asked) = rig.asked_again_while_it_stands_still();
    let (ours, theirs) = (asked.stream.peer_addr().unwrap(), asked.stream.local_addr().unwrap());
    asked.answer("one");
    until("and the second answer", || rig.held(ours, theirs).is_some_and(|(_, unread)| unread > 0));
    rig.go_on();
    let mut asked = rig.asked();
    assert_eq!(asked.id(), "second");
    asked.answer("two");
    assert_eq!(message(&mut client).unwrap().1, "two");
}

#[test]
fn a_request_that_crosses_the_end_of_a_stop_is_not_sent_on_and_no_answer_is_reset_away() {
    let mut rig = Rig::start("stop");
    let (mut resting, mut busy) = (rig.client(), rig.client());
    resting.write_all(get("first", "read").as_bytes()).unwrap();
    rig.asked().answer("one");
    assert_eq!(message(&mut resting).unwrap().1, "one");
    // Its target hangs, and its client sends one more behind it.
    busy.write_all((get("hangs", "order") + &get("behind", "order")).as_bytes()).unwrap();
    let hangs = rig.asked();
    assert_eq!(hangs.id(), "hangs");
    rig.signal(Signal::TERM);
    // A second signal, and one to read the configuration anew, change nothing of it.
    rig.signal(Signal::TERM);
    rig.signal(Signal::HUP);
    // The hanging one has its answer before the end.
    let answer = message(&mut busy).expect("an answer");
    assert!(answer.0.starts_with("HTTP/1.1 500"), "{}", answer.0);
    let mut rest = Vec::new();
    resting.read_to_end(&mut rest).expect("no reset");
    assert!(rest.is_empty(), "its stream is ended in good order");
    // It has seen the end, and asks all the same.
    let _ = resting.write_all(get("crossed", "order").as_bytes());
    drop(hangs);
    busy.read_to_end(&mut rest).expect("no reset");
    drop((resting, busy));
    assert_eq!(rig.ended(), Some(0));
    let late: Vec<String> = rig.target.try_iter().map(|a| a.id().to_owned()).collect();
    assert!(!late.contains(&"crossed".to_owned()), "{late:?}");
}

#[test]
fn who_connects_and_asks_as_the_listener_closes_is_told() {
    let mut rig = Rig::start("backlog");
    let mut first = rig.client();
    first.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    assert!(message(&mut first).unwrap().0.starts_with("HTTP/1.1 200"));
    let asked_at = Instant::now();
    rig.signal(Signal::TERM);
    until("it has heard the signal", || {
        first.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        message(&mut first).unwrap().0.starts_with("HTTP/1.1 503")
    });
    rig.stand_still();
    // Accepted by the kernel, and with their request there, while the time in which new ones are served passes.
    let mut late: Vec<TcpStream> = (0..3).map(|_| rig.client()).collect();
    late.iter_mut().for_each(|l| l.write_all(get("late", "read").as_bytes()).unwrap());
    until("the time is over", || asked_at.elapsed() > Duration::from_millis(2950));
    rig.go_on();
    for mut stream in late {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("no reset");
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Connection: close"), "{answer:?}");
    }
    assert!(rig.target.try_recv().is_err());
    drop(first);
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn idle_clients_that_fill_the_descriptors_do_not_keep_the_list_from_being_heard() {
    let rig = Rig::start("full");
    let limit = Rlimit { current: Some(128), maximum: Some(128) };
    prlimit(Some(Pid::from_child(&rig.process)), Resource::Nofile, limit).unwrap();
    let crowd: Vec<TcpStream> = (0..300).map(|_| rig.client()).collect();
    // Clients hold all their places; the list service is not there yet, and comes back.
    let listener = TcpListener::bind(rig.discovery).unwrap();
    let back = Instant::now();
    let calls = serve(listener);
    let mut call = calls.recv_timeout(BOUND).expect("it is called");
    assert!(back.elapsed() < Duration::from_secs(6), "after {:?}", back.elapsed());
    // What is newer than the list that it was started with.
    assert!(call.head.starts_with("GET /v1/endpoints?since=0&timeout_ms=0 HTTP/1.1\r\n"), "{}", call.head);
    let listing = r#"{"rev":7,"all":true,"targets":[]}"#;
    call.answer(listing);
    let watch = calls.recv_timeout(BOUND).expect("it is watched");
    assert!(watch.head.contains("since=7&timeout_ms="), "{}", watch.head);
    let wait =
        watch.head.split("timeout_ms=").nth(1).unwrap().split(' ').next().unwrap().parse::<u64>().unwrap();
    assert!((1..=2500).contains(&wait), "short enough to hear of a silent watch in time: {wait}");
    drop(crowd);
    let mut client = rig.client();
    client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    assert!(message(&mut client).unwrap().0.starts_with("HTTP/1.1 503"), "the list heard has no target");
}

/// A client that closes behind more than one request's bytes is seen to leave, and its request is not tried again.
#[test]
fn a_client_that_leaves_behind_bytes_that_are_not_read_is_seen() {
    let rig = Rig::start("behind");
    let mut client = rig.client();
    let from = client.local_addr().unwrap();
    client.write_all(get("left", "read").as_bytes()).unwrap();
    let mut asked = rig.asked();
    // More than is held of a client; a part of it stays with the kernel.
    let much = get("more", "read").repeat(1000);
    client.write_all(&much.as_bytes()[..160_000]).unwrap();
    until("what is held is full", || rig.held(rig.at, from).is_some_and(|(_, unread)| unread > 0));
    drop(client);
    until("its leaving is seen", || rig.held(rig.at, from).is_none_or(|(state, _)| state != CLOSE_WAIT));
    // Its attempt ends; what it sent behind it is nobody's.
    asked.answer("ok");
    let mut next = rig.client();
    next.write_all(get("next", "read").as_bytes()).unwrap();
    assert_eq!(rig.asked().id(), "next");
    assert!(rig.target.try_recv().is_err());
}
