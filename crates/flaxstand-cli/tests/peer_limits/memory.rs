//! Memory: what peers send, leave unread or stop half way.

use crate::client::{Request, UsualClient, assert_served_in_time, connect, status_of, write_what_is_taken};
use crate::common::loopback::LoopbackHost;
use crate::initiator::{Deployment, Initiator};
use crate::node::{Behaviour, Node};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Largest body of a request that the protocol allows.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Fields that a head may have beside those of a request.
const FURTHER_FIELDS: usize = 55;
/// Share of a usual client's requests that has to be served while others misbehave.
const MIN_SERVED: f64 = 0.9;
/// Shards of listed nodes that do not exist, above those of the deployment's nodes.
const OTHER_SHARDS: usize = 1000;
const USUAL_INTERVAL: Duration = Duration::from_millis(20);

/// A deployment of one node for usual requests, shard 0, and several nodes for the crowd, from shard 1.
struct Scene {
    _host: LoopbackHost,
    nodes: Vec<Node>,
    initiator: Initiator,
    deployment: Deployment,
}

impl Scene {
    fn start(deployment: Deployment, crowd_nodes: u16, behaviour: Behaviour) -> Scene {
        let host = LoopbackHost::claim();
        let mut nodes = vec![Node::start(host.port(7000), Behaviour::QUICK)];
        nodes.extend((0..crowd_nodes).map(|number| Node::start(host.port(7001 + number), behaviour)));
        let initiator = Initiator::start(&host, &nodes, deployment);
        Scene { _host: host, nodes, initiator, deployment }
    }

    fn at(&self) -> SocketAddr {
        self.initiator.address()
    }

    fn usual_client(&self) -> UsualClient {
        UsualClient::start(self.at(), "usual", self.deployment.deadline, USUAL_INTERVAL)
    }

    /// Runs `crowd` beside a usual client, then checks the limits and the service of that client.
    fn run(mut self, crowd: impl FnOnce(&Scene)) {
        let usual = self.usual_client();
        // A client that comes while a crowd fills the descriptors may be turned away.
        hold(Duration::from_millis(100));
        crowd(&self);
        let exchanges = usual.finish();
        self.initiator.assert_within_limits();
        assert_served_in_time(&exchanges, self.deployment.deadline, MIN_SERVED);
    }

    /// Shard of a request of the crowd.
    fn crowd_shard(&self, number: usize) -> i64 {
        1 + (number % (self.nodes.len() - 1)) as i64
    }
}

/// Lets time pass in which peers stand still.
fn hold(time: Duration) {
    std::thread::sleep(time);
}

#[test]
fn clients_that_stop_half_way_through_large_requests_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 0, Behaviour::Silent);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = Vec::new();
        for number in 0..600 {
            let id = format!("half-{number}");
            let request =
                Request { body_bytes: Some(MAX_BODY_BYTES), ..Request::read(&id, scene.deployment.deadline) };
            let mut bytes = request.head_with_short_fields(FURTHER_FIELDS).into_bytes();
            bytes.resize(bytes.len() + MAX_BODY_BYTES - 1, b'b');
            let mut client = connect(scene.at());
            write_what_is_taken(&mut client, &bytes, bytes.len());
            clients.push(client);
        }
        hold(Duration::from_secs(1));
    });
}

#[test]
fn clients_that_write_heads_of_many_short_fields_slowly_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 0, Behaviour::Silent);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = (0..480).map(|_| connect(scene.at())).collect();
        let request = Request { body_bytes: Some(8), ..Request::read("many", scene.deployment.deadline) };
        let head = request.head_with_short_fields(FURTHER_FIELDS);
        // All but the last byte of the body, in eight steps.
        let bytes = [head.as_bytes(), b"1234567"].concat();
        for part in bytes.chunks(bytes.len().div_ceil(8)) {
            for client in &mut clients {
                let _ = client.write_all(part);
            }
            hold(Duration::from_millis(100));
        }
    });
}

#[test]
fn whole_large_requests_that_wait_for_silent_nodes_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 40, Behaviour::Silent);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = Vec::new();
        for number in 0..480 {
            let id = format!("whole-{number}");
            let request = Request {
                body_bytes: Some(MAX_BODY_BYTES),
                extent: number as u64,
                volume: number as u64,
                shard: scene.crowd_shard(number),
                ..Request::read(&id, scene.deployment.deadline)
            };
            let mut client = connect(scene.at());
            write_what_is_taken(&mut client, &request.bytes(), request.bytes().len());
            clients.push(client);
        }
        hold(Duration::from_millis(500));
    });
}

#[test]
fn large_requests_to_nodes_that_read_nothing_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 40, Behaviour::Unread);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = (0..300).map(|_| connect(scene.at())).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("unread-{number}");
            let request = Request {
                body_bytes: Some(MAX_BODY_BYTES),
                shard: scene.crowd_shard(number),
                ..Request::read(&id, scene.deployment.deadline)
            };
            write_what_is_taken(client, &request.bytes(), request.bytes().len());
        }
        hold(Duration::from_millis(500));
    });
}

/// Sends requests of a crowd whose answers nobody reads.
fn ask_without_reading(scene: &Scene, clients: &mut [TcpStream], name: &str) {
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("{name}-{number}");
        let shard = scene.crowd_shard(number);
        let request = Request { shard, ..Request::read(&id, scene.deployment.deadline) };
        let _ = client.write_all(&request.bytes());
        if number % 16 == 15 {
            hold(Duration::from_millis(10));
        }
    }
}

#[test]
fn answers_that_clients_do_not_read_stay_within_the_memory_limit() {
    let behaviour = Behaviour::Serve { delay: Duration::ZERO, body_bytes: MAX_BODY_BYTES };
    let scene = Scene::start(Deployment::default(), 40, behaviour);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = (0..480).map(|_| connect(scene.at())).collect();
        ask_without_reading(scene, &mut clients, "unread-a");
        ask_without_reading(scene, &mut clients, "unread-b");
        hold(Duration::from_millis(500));
    });
}

#[test]
fn answers_that_stall_at_their_nodes_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 40, Behaviour::StallInBody { body_bytes: 1024 * 1024 });
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = (0..300).map(|_| connect(scene.at())).collect();
        ask_without_reading(scene, &mut clients, "stalled");
        hold(Duration::from_millis(500));
    });
}

#[test]
fn connections_that_carried_large_messages_return_their_memory() {
    let behaviour = Behaviour::Serve { delay: Duration::ZERO, body_bytes: 512 * 1024 };
    let mut scene = Scene::start(Deployment::default(), 20, behaviour);
    let at_rest = scene.initiator.memory_kib();
    let mut clients: Vec<TcpStream> = Vec::new();
    for number in 0..200 {
        let id = format!("large-{number}");
        let request = Request {
            shard: scene.crowd_shard(number),
            body_bytes: Some(MAX_BODY_BYTES),
            ..Request::read(&id, scene.deployment.deadline)
        };
        let mut client = connect(scene.at());
        assert_eq!(status_of(&mut client, &request.bytes()), Some(200), "request {number}");
        clients.push(client);
    }
    scene.initiator.assert_within_limits();
    let retained = scene.initiator.memory_kib().saturating_sub(at_rest);
    println!("{retained} KiB above the {at_rest} KiB at rest");
    assert!(retained < 4 * 1024, "{retained} KiB are retained for idle connections");
}

#[test]
fn requests_sent_behind_an_unanswered_one_stay_within_the_memory_limit() {
    let scene = Scene::start(Deployment::default(), 10, Behaviour::Silent);
    scene.run(|scene| {
        let mut clients: Vec<TcpStream> = (0..480).map(|_| connect(scene.at())).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("behind-{number}");
            let shard = scene.crowd_shard(number);
            let request = Request { shard, ..Request::read(&id, scene.deployment.deadline) };
            write_what_is_taken(client, &request.bytes(), 4 << 20);
        }
        hold(Duration::from_millis(200));
        for client in &mut clients {
            write_what_is_taken(client, b"GET /ready HTTP/1.1\r\n\r\n", 4 << 20);
        }
        hold(Duration::from_millis(200));
    });
}

#[test]
fn a_crowd_of_connections_stays_within_the_descriptors() {
    for sockets in [256, 1024] {
        let deployment = Deployment { sockets, ..Deployment::default() };
        let scene = Scene::start(deployment, 10, Behaviour::Silent);
        scene.run(|scene| {
            let mut clients: Vec<TcpStream> = Vec::new();
            for number in 0..sockets as usize {
                let mut client = connect(scene.at());
                if number % 3 == 0 {
                    let id = format!("crowd-{number}");
                    let shard = scene.crowd_shard(number);
                    let request = Request { shard, ..Request::read(&id, scene.deployment.deadline) };
                    let _ = client.write_all(&request.bytes());
                }
                clients.push(client);
            }
            hold(Duration::from_millis(600));
            // The crowd is replaced, so that connections are evicted by the dozen.
            clients.extend((0..sockets).map(|_| connect(scene.at())));
            hold(Duration::from_millis(300));
        });
    }
}

/// Answers the next call of discovery with this body.
fn answer_discovery(listener: &std::net::TcpListener, body: &[u8]) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut chunk = [0; 4096];
    let _ = stream.read(&mut chunk).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    // A list beyond the bound may be cut off by a close.
    let _ = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body));
}

/// Returns a whole list of the scene's nodes and of further entries, up to this length.
fn long_list(scene: &Scene, entry: impl Fn(usize) -> String, max_bytes: usize) -> String {
    let mut list = String::from(r#"{"rev":9,"all":true,"targets":["#);
    for (shard, node) in scene.nodes.iter().enumerate() {
        let address = node.address();
        list += &format!(
            r#"{{"uid":"s-{shard:08x}","endpoint":"{address}","az":"a","pod_group":{shard},"state":"up"}},"#
        );
    }
    let mut number = 0;
    loop {
        let next = entry(number);
        if list.len() + next.len() + 2 > max_bytes {
            break;
        }
        list += &next;
        list.push(',');
        number += 1;
    }
    list.pop();
    list + "]}"
}

/// Lengths of lists: beyond any bound, and just within that of the length.
const LIST_BYTES: [usize; 2] = [15 << 20, 1_600_000];

fn play_lists(entry: impl Fn(usize) -> String) {
    LIST_BYTES.into_iter().for_each(|max_bytes| play_list(&entry, max_bytes));
}

fn play_list(entry: impl Fn(usize) -> String, max_bytes: usize) {
    let scene = Scene::start(Deployment::default(), 1, Behaviour::QUICK);
    let listener = std::net::TcpListener::bind(scene.initiator.discovery_address()).unwrap();
    scene.run(|scene| {
        let list = long_list(scene, entry, max_bytes);
        answer_discovery(&listener, list.as_bytes());
        hold(Duration::from_millis(500));
    });
}

#[test]
fn a_list_of_very_many_short_entries_stays_within_the_memory_limit() {
    let address = LoopbackHost::claim().port(9000);
    play_lists(|number| {
        format!(r#"{{"uid":"x{number}","endpoint":"{address}","pod_group":999,"state":"up"}}"#)
    });
}

#[test]
fn a_list_with_very_long_names_stays_within_the_memory_limit() {
    let address = LoopbackHost::claim().port(9000);
    let long = "n".repeat(100_000);
    play_lists(|number| {
        format!(
            r#"{{"uid":"{long}{number}","endpoint":"{address}","az":"{long}","pod_group":999,"state":"up"}}"#
        )
    });
}

#[test]
fn a_list_of_unreadable_entries_stays_within_the_memory_limit() {
    play_lists(|number| format!(r#"{{"uid":"u{number}"}}"#));
}

/// Lists of the largest fleet that the pages name have to be taken with the least memory.
#[test]
fn a_list_of_the_largest_fleet_is_taken_with_the_least_memory() {
    let host = LoopbackHost::claim();
    let address = host.port(9000);
    let scene = Scene::start(Deployment::default(), 1, Behaviour::QUICK);
    let listener = std::net::TcpListener::bind(scene.initiator.discovery_address()).unwrap();
    scene.run(|scene| {
        let entry = |number: usize| {
            format!(
                "{{\n  \"uid\": \"t-{number:08x}\",\n  \"endpoint\": \"{address}\",\n  \"az\": \"hall-a\",\n  \
                 \"model\": \"m2\",\n  \"pod_group\": {},\n  \"state\": \"up\",\n  \
                 \"capacity_hint\": 1.0,\n  \"boot_ms\": 1764892800000\n}}",
                number + OTHER_SHARDS
            )
        };
        let whole = long_list(scene, entry, 3200 * entry(0).len());
        answer_discovery(&listener, whole.as_bytes());
        let started = Instant::now();
        while !scene.initiator.log().contains("scope=Full") {
            assert!(started.elapsed() < Duration::from_secs(10), "the list is not taken");
            hold(Duration::from_millis(10));
        }
        hold(Duration::from_millis(300));
    });
    drop(host);
}
