//! Clients that have gone: nothing begins for them, and an id that ran does not run again.

use crate::client::{ANSWER_TIMEOUT, Request, connect, status_of};
use crate::common::kernel_sockets::{KernelSocket, kernel_sockets};
use crate::common::loopback::LoopbackHost;
use crate::common::read_message;
use crate::initiator::{Deployment, Initiator};
use crate::node::{Behaviour, Node};
use rustix::process::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_millis(2500);
/// Longest time after the close of a client in which an attempt for it may still begin.
const MAX_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(100);
/// TCP state of an end whose peer has closed in an orderly way.
const CLOSE_WAIT: &str = "08";
/// A connection to a node that rested this long may be used again.
const REST: Duration = Duration::from_millis(50);

struct Scene {
    _host: LoopbackHost,
    node: Node,
    initiator: Initiator,
}

impl Scene {
    fn start(behaviour: Behaviour) -> Scene {
        let host = LoopbackHost::claim();
        let nodes = [Node::start(host.port(7000), behaviour)];
        let deployment = Deployment { deadline: DEADLINE, ..Deployment::default() };
        let initiator = Initiator::start(&host, &nodes, deployment);
        let [node] = nodes;
        Scene { _host: host, node, initiator }
    }

    fn client(&self) -> TcpStream {
        connect(self.initiator.address())
    }

    /// Leaves an idle connection to the node behind, so that a request can be sent at once.
    fn warm_up(&self) {
        assert_eq!(status_of(&mut self.client(), &request("warm-up")), Some(200));
        std::thread::sleep(REST);
    }

    /// Returns the process's end of a client's connection.
    fn own_end(&self, client: SocketAddr) -> Option<KernelSocket> {
        let at = self.initiator.address();
        kernel_sockets().into_iter().find(|socket| socket.is_local(at) && socket.is_remote(client))
    }

    /// Sends one more request and waits for its answer: all that came before it has been handled.
    fn settle(&self) {
        let id = format!("settle-{}", self.node.received().len());
        assert_eq!(status_of(&mut self.client(), &request(&id)), Some(200));
    }

    fn pause(&self) {
        self.initiator.signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(20));
    }

    fn resume(&self) {
        self.initiator.signal(Signal::CONT);
    }
}

fn request(id: &str) -> Vec<u8> {
    Request { class: "order", ..Request::read(id, DEADLINE) }.bytes()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < ANSWER_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_request_whose_client_closed_before_it_was_read_is_not_sent_on_an_idle_connection() {
    let scene = Scene::start(Behaviour::QUICK);
    scene.warm_up();
    let mut client = scene.client();
    let from = client.local_addr().unwrap();
    scene.pause();
    client.write_all(&request("gone")).unwrap();
    drop(client);
    wait_until("the kernel has the close", || {
        scene.own_end(from).is_some_and(|socket| socket.state == CLOSE_WAIT)
    });
    scene.resume();
    scene.settle();
    assert_eq!(scene.node.executions_of("gone"), 0, "a request of a client that had closed was sent");
}

#[test]
fn a_request_whose_client_reset_the_connection_before_it_was_read_is_not_sent() {
    let scene = Scene::start(Behaviour::QUICK);
    scene.warm_up();
    let mut client = scene.client();
    let from = client.local_addr().unwrap();
    client.write_all(&request("answered")).unwrap();
    wait_until("the answer has come", || client.peek(&mut [0; 8]).is_ok_and(|count| count > 0));
    std::thread::sleep(REST);
    scene.pause();
    client.write_all(&request("reset")).unwrap();
    // Closing with an unread answer resets the connection.
    drop(client);
    wait_until("the kernel has the reset", || scene.own_end(from).is_none());
    scene.resume();
    scene.settle();
    assert_eq!(scene.node.executions_of("reset"), 0, "a request of a client that had reset was sent");
}

#[test]
fn requests_behind_an_answer_are_not_begun_after_their_client_has_left() {
    let scene = Scene::start(Behaviour::Serve { delay: Duration::from_millis(30), body_bytes: 2 });
    scene.warm_up();
    let mut client = scene.client();
    let many: Vec<u8> = (0..3000).flat_map(|number| request(&format!("many-{number}"))).collect();
    // The kernels of both sides hold more than the process reads ahead.
    crate::client::write_what_is_taken(&mut client, &many, many.len());
    wait_until("the third request is at the node", || scene.node.executions_of("many-2") == 1);
    let closed_at = Instant::now();
    drop(client);
    std::thread::sleep(Duration::from_millis(400));
    let begun = scene.node.received().into_iter().filter(|request| request.id.starts_with("many-"));
    let late: Vec<String> = begun
        .filter(|request| request.at > closed_at + MAX_BEGIN_AFTER_CLOSE)
        .map(|request| request.id)
        .collect();
    assert!(late.is_empty(), "begun after the client left: {late:?}");
}

#[test]
fn a_held_up_process_begins_nothing_for_clients_that_left_meanwhile() {
    let scene = Scene::start(Behaviour::QUICK);
    scene.warm_up();
    for round in 0..20 {
        let mut clients: Vec<TcpStream> = (0..8).map(|_| scene.client()).collect();
        std::thread::sleep(REST);
        scene.pause();
        for (number, client) in clients.iter_mut().enumerate() {
            client.write_all(&request(&format!("held-up-{round}-{number}"))).unwrap();
        }
        drop(clients);
        scene.resume();
        scene.settle();
    }
    let begun: Vec<String> = scene.node.received().into_iter().map(|request| request.id).collect();
    let begun: Vec<&String> = begun.iter().filter(|id| id.starts_with("held-up")).collect();
    assert!(begun.is_empty(), "begun for clients that had gone: {begun:?}");
}

#[test]
fn an_id_whose_client_left_does_not_run_again() {
    let scene = Scene::start(Behaviour::Serve { delay: Duration::from_millis(150), body_bytes: 2 });
    let mut client = scene.client();
    client.write_all(&request("twice")).unwrap();
    wait_until("the request is at the node", || scene.node.executions_of("twice") == 1);
    drop(client);
    // The node answers, and the attempt ends.
    std::thread::sleep(Duration::from_millis(300));
    let again = status_of(&mut scene.client(), &request("twice"));
    assert_eq!(scene.node.executions_of("twice"), 1, "the id ran again, answered {again:?}");
    assert!(again.is_some_and(|status| status >= 400), "{again:?}");
}

#[test]
fn an_id_that_was_served_does_not_run_again() {
    let scene = Scene::start(Behaviour::QUICK);
    assert_eq!(status_of(&mut scene.client(), &request("served")), Some(200));
    let again = status_of(&mut scene.client(), &request("served"));
    assert_eq!(scene.node.executions_of("served"), 1, "the id ran again, answered {again:?}");
    assert!(again.is_some_and(|status| status >= 400), "{again:?}");
}

#[test]
fn an_id_that_failed_after_it_may_have_run_does_not_run_again() {
    let scene = Scene::start(Behaviour::Silent);
    let short = Request { class: "order", ..Request::read("silent", Duration::from_millis(1500)) }.bytes();
    assert_eq!(status_of(&mut scene.client(), &short), Some(500));
    assert_eq!(scene.node.executions_of("silent"), 1);
    scene.node.set_behaviour(Behaviour::QUICK);
    let mut attempt = 0;
    wait_until("the node is used again", || {
        attempt += 1;
        status_of(&mut scene.client(), &request(&format!("other-{attempt}"))) == Some(200)
    });
    let again = status_of(&mut scene.client(), &short);
    assert_eq!(scene.node.executions_of("silent"), 1, "the id ran again, answered {again:?}");
    assert!(again.is_some_and(|status| status >= 400), "{again:?}");
}

/// A refused id has not run: its client may send it again.
#[test]
fn an_id_that_was_refused_may_come_again() {
    let scene = Scene::start(Behaviour::QUICK);
    let mut client = scene.client();
    let no_such_shard = Request { shard: 9, ..Request::read("refused", Duration::from_millis(100)) }.bytes();
    assert_eq!(status_of(&mut client, &no_such_shard), Some(503));
    client.write_all(&request("refused")).unwrap();
    let (head, _) = read_message(&mut client).expect("an answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
}
