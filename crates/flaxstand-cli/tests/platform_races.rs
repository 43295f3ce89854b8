//! Races of `flaxstand run --platform` with signals, peers and kernel buffers, over loopback. To present two
//! events at once, a test pauses the process until the kernel holds both. Tests wait for events, with a
//! time-out.

mod common;

use common::kernel_sockets::kernel_sockets;
use common::loopback::LoopbackHost;
use common::read_message;
use flaxstand_fixture::RecordedArrivals;
use rustix::process::{Pid, Resource, Rlimit, Signal, WaitOptions, kill_process, prlimit, waitpid};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until `condition` holds.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "timed out waiting until {what}");
        std::thread::yield_now();
    }
}

/// A request that a peer received, and the connection to answer it on.
struct ReceivedRequest {
    head: String,
    stream: TcpStream,
}

impl ReceivedRequest {
    fn answer(&mut self, body: &str) {
        write!(self.stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    }
    fn id(&self) -> &str {
        self.head.lines().find_map(|l| l.strip_prefix("X-Request-ID: ")).unwrap_or_default()
    }
}

/// Runs a peer that passes each received request to the test, which answers it.
fn serve(listener: TcpListener) -> Receiver<ReceivedRequest> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), sender): (_, Sender<ReceivedRequest>) = (stream, sender.clone()) else {
                return;
            };
            std::thread::spawn(move || {
                while let Some((head, _)) = read_message(&mut stream) {
                    let Ok(stream) = stream.try_clone() else { return };
                    if sender.send(ReceivedRequest { head, stream }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    receiver
}

/// An initiator process with one node, which the configuration lists.
struct Harness {
    process: Child,
    at: SocketAddr,
    node_requests: Receiver<ReceivedRequest>,
    discovery: SocketAddr,
    folder: PathBuf,
    /// Keeps the addresses from other tests.
    _host: LoopbackHost,
}

impl Harness {
    /// Starts the process; nothing listens at the address of the list service yet.
    fn start(name: &str) -> Harness {
        Self::start_with_classes(name, "")
    }
    /// Starts the process with further classes, in JSON, each after a comma.
    fn start_with_classes(name: &str, classes: &str) -> Harness {
        let host = LoopbackHost::claim();
        let (endpoint, at, discovery) = (host.port(7000), host.port(8000), host.port(8500));
        let node_listener = TcpListener::bind(endpoint).unwrap();
        let configuration = format!(
            r#"{{"name":"n0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":128}},
            "known":{{"rev":0,"all":true,"targets":[{{"uid":"s-1","endpoint":"{endpoint}","az":"a","pod_group":0,
            "state":"up","capacity_hint":1.0,"boot_ms":0}}]}},
            "settings":{{"balancers":1,"registryMode":"on_request","tickMs":2.0,
            "classes":[{{"name":"read","aimMs":2000.0,"deadlineMs":2500.0,"worth":1.0,"semantics":"repeatable"}},
            {{"name":"order","aimMs":2000.0,"deadlineMs":2500.0,"worth":1.0,"semantics":"once"}}{classes}],
            "grades":[{{"name":"gold","price":1.0}}],
            "caps":{{"maxAttempts":3,"dialTimeoutMs":250.0,"keepaliveMs":60000.0}},
            "rules":{{"askWithinMs":10000.0}},"familyInfo":{{"unitMean":1.0,"mostUnits":8}}}}}}"#
        );
        let folder = std::env::temp_dir().join(format!("flaxstand-races-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, configuration).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
        command.args(["run", "--platform"]).env("RELAY_CONFIG", file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let process = command.spawn().unwrap();
        let node_requests = serve(node_listener);
        let harness = Harness { process, at, node_requests, discovery, folder, _host: host };
        wait_until("the process listens", || TcpStream::connect(at).is_ok());
        harness
    }
    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).unwrap();
    }
    /// Pauses the process with SIGSTOP; the kernel buffers what arrives.
    fn pause(&self) {
        self.signal(Signal::STOP);
        waitpid(Some(Pid::from_child(&self.process)), WaitOptions::UNTRACED).unwrap();
    }
    fn resume(&self) {
        self.signal(Signal::CONT);
    }
    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream
    }
    /// Returns the next request that reaches the node.
    fn next_request(&self) -> ReceivedRequest {
        self.node_requests.recv_timeout(EVENT_TIMEOUT).expect("the node receives a request")
    }
    /// Serves the first request of a client, then pauses the process while the kernel buffers the second.
    /// Returns the client and the first request with its idle connection to the node.
    fn second_request_while_paused(&self) -> (TcpStream, ReceivedRequest) {
        let mut client = self.client();
        client.write_all(get("first", "order").as_bytes()).unwrap();
        let mut received = self.next_request();
        received.answer("one");
        assert_eq!(read_message(&mut client).unwrap().1, "one");
        self.pause();
        let second = get("second", "order");
        client.write_all(second.as_bytes()).unwrap();
        self.wait_for_unread(&client, second.len());
        (client, received)
    }
    /// Waits until the kernel holds this many bytes of a client that the paused process has not read.
    fn wait_for_unread(&self, client: &TcpStream, bytes: usize) {
        let from = client.local_addr().unwrap();
        wait_until("the kernel holds the bytes", || {
            self.kernel_state(self.at, from).is_some_and(|(_, unread)| unread >= bytes as u64)
        });
    }
    /// Returns the TCP state and the number of unread bytes of the process's side of a connection, from the
    /// kernel's table; `None` if there is no such connection.
    fn kernel_state(&self, local: SocketAddr, remote: SocketAddr) -> Option<(String, u64)> {
        let sockets = kernel_sockets();
        let own = sockets.into_iter().find(|socket| socket.is_local(local) && socket.is_remote(remote))?;
        Some((own.state, own.unread))
    }
    fn wait_for_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        panic!("the process does not exit");
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// TCP state CLOSE_WAIT in `/proc/net/tcp`: the peer has closed the connection and this side has not.
const CLOSE_WAIT: &str = "08";

fn get(id: &str, class: &str) -> String {
    format!(
        "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Qos-Policy: gold\r\nX-Timeout: 2.400\r\nX-Placement: units=1,shard=0,hosts=1\r\n\r\n"
    )
}

/// A class whose requests run in order.
const ORDERED_CLASS: &str =
    r#",{"name":"write","aimMs":2000.0,"deadlineMs":2500.0,"worth":1.0,"semantics":"once","inOrder":true}"#;

/// A client whose connection is accepted: it was served once.
fn served_client(harness: &Harness, id: &str) -> TcpStream {
    let mut client = harness.client();
    client.write_all(get(id, "read").as_bytes()).unwrap();
    harness.next_request().answer("read");
    read_message(&mut client).expect("the client is served");
    client
}

/// Guards against an older write that lies over a newer one: after the process was held up it met the older one
/// later, on a new connection.
#[test]
fn requests_of_a_key_run_in_order_of_arrival_after_a_pause_also_from_new_connections() {
    let _recording = RecordedArrivals::wait();
    let harness = Harness::start_with_classes("order-new", ORDERED_CLASS);
    let mut kept = served_client(&harness, "kept");
    harness.pause();
    let mut new = harness.client();
    for (client, id) in [(&mut new, "first"), (&mut kept, "second")] {
        let request = get(id, "write");
        client.write_all(request.as_bytes()).unwrap();
        harness.wait_for_unread(client, request.len());
    }
    harness.resume();
    for id in ["first", "second"] {
        let mut request = harness.next_request();
        assert_eq!(request.id(), id);
        request.answer(id);
    }
    assert_eq!(read_message(&mut kept).unwrap().1, "second");
    assert_eq!(read_message(&mut new).unwrap().1, "first");
}

/// Guards against the same with a request that begins first and ends last: its connection is ready first.
#[test]
fn requests_of_a_key_run_in_order_of_their_last_bytes_after_a_pause() {
    let _recording = RecordedArrivals::wait();
    let harness = Harness::start_with_classes("order-last", ORDERED_CLASS);
    let (mut slow, mut quick) = (served_client(&harness, "slow"), served_client(&harness, "quick"));
    let (slow_request, quick_request) = (get("ends-last", "write"), get("ends-first", "write"));
    let (begin, end) = slow_request.as_bytes().split_at(40);
    harness.pause();
    slow.write_all(begin).unwrap();
    harness.wait_for_unread(&slow, begin.len());
    quick.write_all(quick_request.as_bytes()).unwrap();
    harness.wait_for_unread(&quick, quick_request.len());
    slow.write_all(end).unwrap();
    harness.wait_for_unread(&slow, slow_request.len());
    harness.resume();
    for id in ["ends-first", "ends-last"] {
        let mut request = harness.next_request();
        assert_eq!(request.id(), id);
        request.answer(id);
    }
}

#[test]
fn a_request_whose_client_closed_before_it_was_read_is_not_forwarded() {
    let harness = Harness::start("closed");
    let mut closed = harness.client();
    let from = closed.local_addr().unwrap();
    harness.pause();
    closed.write_all(get("closed", "order").as_bytes()).unwrap();
    drop(closed);
    wait_until("the kernel holds the request and the FIN", || {
        harness
            .kernel_state(harness.at, from)
            .is_some_and(|(state, unread)| state == CLOSE_WAIT && unread > 1)
    });
    harness.resume();
    wait_until("the process has closed its side", || {
        harness.kernel_state(harness.at, from).is_none_or(|(state, _)| state != CLOSE_WAIT)
    });
    let mut next = harness.client();
    next.write_all(get("next", "order").as_bytes()).unwrap();
    let mut received = harness.next_request();
    assert_eq!(received.id(), "next");
    received.answer("ok");
    assert_eq!(read_message(&mut next).unwrap().1, "ok");
    assert!(harness.node_requests.try_recv().is_err(), "the node receives no other request");
}

#[test]
fn a_once_request_survives_a_pooled_connection_that_the_node_closed() {
    let harness = Harness::start("stale");
    let (mut client, received) = harness.second_request_while_paused();
    let (local, remote) = (received.stream.peer_addr().unwrap(), received.stream.local_addr().unwrap());
    received.stream.shutdown(std::net::Shutdown::Both).unwrap();
    wait_until("the kernel holds the FIN of the node", || {
        harness.kernel_state(local, remote).is_some_and(|(state, _)| state == CLOSE_WAIT)
    });
    harness.resume();
    let mut received = harness.next_request();
    assert_eq!(received.id(), "second");
    received.answer("two");
    assert_eq!(
        read_message(&mut client).unwrap(),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n".into(), "two".into())
    );
    assert!(harness.node_requests.try_recv().is_err(), "the request is sent once");
}

/// A node sends a second response on an idle connection just before the next request is sent on it.
#[test]
fn bytes_received_on_an_idle_connection_do_not_answer_the_next_request() {
    let harness = Harness::start("unsolicited");
    let (mut client, mut received) = harness.second_request_while_paused();
    let (local, remote) = (received.stream.peer_addr().unwrap(), received.stream.local_addr().unwrap());
    received.answer("one");
    wait_until("the kernel holds the second response", || {
        harness.kernel_state(local, remote).is_some_and(|(_, unread)| unread > 0)
    });
    harness.resume();
    let mut received = harness.next_request();
    assert_eq!(received.id(), "second");
    received.answer("two");
    assert_eq!(read_message(&mut client).unwrap().1, "two");
}

#[test]
fn a_request_during_shutdown_is_not_forwarded_and_no_response_is_lost_to_a_reset() {
    let mut harness = Harness::start("stop");
    let (mut idle, mut busy) = (harness.client(), harness.client());
    idle.write_all(get("first", "read").as_bytes()).unwrap();
    harness.next_request().answer("one");
    assert_eq!(read_message(&mut idle).unwrap().1, "one");
    // The node does not answer the first request, and the client sends another one behind it.
    busy.write_all((get("hangs", "order") + &get("behind", "order")).as_bytes()).unwrap();
    let hangs = harness.next_request();
    assert_eq!(hangs.id(), "hangs");
    harness.signal(Signal::TERM);
    // A second SIGTERM and a SIGHUP do not change the shutdown.
    harness.signal(Signal::TERM);
    harness.signal(Signal::HUP);
    // The request without an answer fails before the process exits.
    let answer = read_message(&mut busy).expect("an answer");
    assert!(answer.0.starts_with("HTTP/1.1 500"), "{}", answer.0);
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).expect("no reset");
    assert!(rest.is_empty(), "the idle connection is closed without further bytes");
    // The client ignores the end of the stream and sends a request.
    let _ = idle.write_all(get("after-close", "order").as_bytes());
    drop(hangs);
    busy.read_to_end(&mut rest).expect("no reset");
    drop((idle, busy));
    assert_eq!(harness.wait_for_exit(), Some(0));
    let late: Vec<String> = harness.node_requests.try_iter().map(|a| a.id().to_owned()).collect();
    assert!(!late.contains(&"after-close".to_owned()), "{late:?}");
}

#[test]
fn clients_in_the_backlog_of_a_closing_listener_are_answered() {
    let mut harness = Harness::start("backlog");
    let mut first = harness.client();
    first.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    assert!(read_message(&mut first).unwrap().0.starts_with("HTTP/1.1 200"));
    let stopped_at = Instant::now();
    harness.signal(Signal::TERM);
    wait_until("the process has handled SIGTERM", || {
        first.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        read_message(&mut first).unwrap().0.starts_with("HTTP/1.1 503")
    });
    harness.pause();
    // The kernel accepts these connections and their requests while the time for new requests elapses.
    let mut late: Vec<TcpStream> = (0..3).map(|_| harness.client()).collect();
    late.iter_mut().for_each(|l| l.write_all(get("late", "read").as_bytes()).unwrap());
    wait_until("the time for new requests has elapsed", || {
        stopped_at.elapsed() > Duration::from_millis(2950)
    });
    harness.resume();
    for mut stream in late {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("no reset");
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("Connection: close"), "{answer:?}");
    }
    assert!(harness.node_requests.try_recv().is_err());
    drop(first);
    assert_eq!(harness.wait_for_exit(), Some(0));
}

#[test]
fn idle_clients_that_exhaust_descriptors_do_not_block_endpoint_discovery() {
    let harness = Harness::start("full");
    let limit = Rlimit { current: Some(128), maximum: Some(128) };
    prlimit(Some(Pid::from_child(&harness.process)), Resource::Nofile, limit).unwrap();
    let clients: Vec<TcpStream> = (0..300).map(|_| harness.client()).collect();
    // Clients use all connections that are allowed; only now does the list service start to listen.
    let listener = TcpListener::bind(harness.discovery).unwrap();
    let available_at = Instant::now();
    let calls = serve(listener);
    let mut call = calls.recv_timeout(EVENT_TIMEOUT).expect("the list service is called");
    assert!(available_at.elapsed() < Duration::from_secs(6), "after {:?}", available_at.elapsed());
    // The call asks for changes since the configured list.
    assert!(call.head.starts_with("GET /v1/endpoints?since=0&timeout_ms=0 HTTP/1.1\r\n"), "{}", call.head);
    let listing = r#"{"rev":7,"all":true,"targets":[]}"#;
    call.answer(listing);
    let watch = calls.recv_timeout(EVENT_TIMEOUT).expect("the process opens a watch");
    assert!(watch.head.contains("since=7&timeout_ms="), "{}", watch.head);
    let wait =
        watch.head.split("timeout_ms=").nth(1).unwrap().split(' ').next().unwrap().parse::<u64>().unwrap();
    assert!(
        (1..=2500).contains(&wait),
        "a watch of {wait} ms, expected 1 to 2500 to detect a silent watch in time"
    );
    drop(clients);
    let mut client = harness.client();
    client.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    assert!(
        read_message(&mut client).unwrap().0.starts_with("HTTP/1.1 503"),
        "the received list has no node"
    );
}

/// The close of a client is detected behind unread bytes of further requests, and its request is not retried.
#[test]
fn a_client_that_closes_behind_unread_bytes_is_detected() {
    let harness = Harness::start("behind");
    let mut client = harness.client();
    let from = client.local_addr().unwrap();
    client.write_all(get("left", "read").as_bytes()).unwrap();
    let mut received = harness.next_request();
    // More than the process buffers per client; the rest stays in the kernel's buffer.
    let requests = get("more", "read").repeat(1000);
    client.write_all(&requests.as_bytes()[..160_000]).unwrap();
    wait_until("the buffer of the process is full", || {
        harness.kernel_state(harness.at, from).is_some_and(|(_, unread)| unread > 0)
    });
    drop(client);
    wait_until("the process has closed its side", || {
        harness.kernel_state(harness.at, from).is_none_or(|(state, _)| state != CLOSE_WAIT)
    });
    // The attempt ends; the requests behind it are dropped.
    received.answer("ok");
    let mut next = harness.client();
    next.write_all(get("next", "read").as_bytes()).unwrap();
    assert_eq!(harness.next_request().id(), "next");
    assert!(harness.node_requests.try_recv().is_err());
}
