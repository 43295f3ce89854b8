//! Random orders of events on the core: requests, also pipelined ones up to the limit on buffered input,
//! answers and late duplicates of them, list updates, connection events, clients that disconnect, and a
//! shutdown. The invariants are checked after each step; a failing schedule prints its seed. Faults inserted
//! into a recorded trace check the checker itself.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{ConnId, Control, Machine, Micros};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, address, http_request, ms, platform_config_with_keyed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const NODES: u64 = 3;
const DEDUPLICATION_WINDOW_MS: u64 = 250;
const CLIENTS: usize = 8;
const NODE_CONNECTIONS: usize = 6;
/// Limit on buffered input in every fourth schedule, bytes: a few requests.
const SMALL_PARTIAL_BYTES: usize = 600;
/// Requests that a client sends at once at most.
const MAX_PIPELINED: u64 = 6;
/// A duplicate of an answer arrives within this time after it.
const DUPLICATE_DELAY: Micros = Micros(20_000);

fn platform_config(seed: u64) -> Config {
    let mut c = platform_config_with_keyed(2500, DEDUPLICATION_WINDOW_MS as f64);
    c.seed = seed;
    (c.site.settings.may_probe, c.site.settings.max_concurrent_attempts) = (true, 2);
    (c.bounds.max_clients, c.bounds.max_node_connections) = (CLIENTS, NODE_CONNECTIONS);
    if seed % 4 == 1 {
        c.bounds.max_partial_request_bytes = SMALL_PARTIAL_BYTES;
    }
    c
}

/// An observed event.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A client sent a request: request number and class index.
    Submitted(u32, usize),
    /// The client of the request disconnected.
    ClientClosed(u32),
    /// The request received its final answer.
    Answered(u32),
    /// The request was served with the answer that a node made for this request.
    Served(u32, u32),
    /// The first byte of an attempt was sent to a node: request and node.
    AttemptStart(u32, u64),
    /// An attempt ended. The flag is set if the peer reported, or the connection proves, that it has not run.
    AttemptEnd(u32, bool),
    /// The core was notified that a node started or stopped draining.
    Draining(u64, bool),
}

/// Returns the first violated invariant of a trace, if any.
fn violation(trace: &[(Micros, Event)]) -> Option<String> {
    let (mut class, mut disconnected, mut answered) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let (mut draining, mut first, mut may_have_run) =
        (BTreeSet::new(), BTreeMap::new(), BTreeMap::<u32, u32>::new());
    for (at, event) in trace {
        match *event {
            Event::Submitted(id, class_index) => drop(class.insert(id, class_index)),
            Event::ClientClosed(id) => drop(disconnected.insert(id)),
            Event::Answered(id) if !answered.insert(id) => {
                return Some(format!("request {id} has two final answers"));
            }
            Event::Answered(_) => {}
            Event::Served(id, made_for) if id != made_for => {
                return Some(format!("request {id} is served with the answer to request {made_for}"));
            }
            Event::Served(..) => {}
            Event::Draining(node, true) => drop(draining.insert(node)),
            Event::Draining(node, false) => drop(draining.remove(&node)),
            Event::AttemptEnd(id, not_run) => {
                if not_run {
                    may_have_run.entry(id).and_modify(|n| *n = n.saturating_sub(1));
                }
            }
            Event::AttemptStart(id, node) => {
                if disconnected.contains(&id) {
                    return Some(format!("request {id} starts an attempt after its client disconnected"));
                }
                if answered.contains(&id) {
                    return Some(format!("request {id} starts an attempt after its final answer"));
                }
                if draining.contains(&node) {
                    return Some(format!("request {id} starts an attempt at draining node {node}"));
                }
                let earlier = may_have_run.entry(id).or_default();
                let first_start: Micros = *first.entry(id).or_insert(*at);
                match class.get(&id) {
                    None => return Some(format!("request {id} starts an attempt but was never submitted")),
                    Some(1) if *earlier > 0 => return Some(format!("request {id} may run twice")),
                    Some(2) if *earlier > 0 && at.since(first_start) >= ms(DEDUPLICATION_WINDOW_MS) => {
                        return Some(format!(
                            "request {id} is retried {} ms after its first attempt",
                            at.since(first_start).ms()
                        ));
                    }
                    _ => {}
                }
                *earlier += 1;
                if *earlier == 1 {
                    first.insert(id, *at);
                }
            }
        }
    }
    None
}

/// The simulation of one seed.
struct Simulation {
    w: Harness,
    rng: Pcg64Mcg,
    trace: Vec<(Micros, Event)>,
    /// Connected clients: the requests submitted on each, in order, and how many are answered.
    clients: BTreeMap<ConnId, (Vec<u32>, usize)>,
    /// The request in flight on each connection to a node, and the number of attempts started there.
    in_flight: BTreeMap<ConnId, Option<u32>>,
    attempts_started: BTreeMap<ConnId, usize>,
    next_request: u32,
    draining_nodes: BTreeSet<u64>,
    /// Duplicates of answers that have not arrived: time of arrival, connection and request.
    duplicates: BTreeSet<(Micros, ConnId, u32)>,
}

/// The request that a served answer was made for. Answers are split at the status line's start.
fn made_for(answer: &str) -> Option<u32> {
    answer.split_once("answer to ")?.1.trim().parse().ok()
}

impl Simulation {
    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn pick(&mut self, candidates: Vec<ConnId>) -> Option<ConnId> {
        let at = self.draw(candidates.len().max(1) as u64) as usize;
        candidates.get(at).copied()
    }

    /// Lets the core take its turns and records what it did.
    fn turn(&mut self) {
        (0..3).for_each(|_| self.w.turn());
        for node in 0..NODES {
            for link in self.w.conns_to(node) {
                let written = self.w.sent_text_on(link).to_owned();
                let ids: Vec<u32> = written
                    .split("X-Request-ID: r")
                    .skip(1)
                    .map(|t| t.split('\r').next().unwrap().parse().unwrap())
                    .collect();
                let recorded = self.attempts_started.entry(link).or_default();
                for id in &ids[*recorded..] {
                    self.trace.push((self.w.now, Event::AttemptStart(*id, node)));
                    self.in_flight.insert(link, Some(*id));
                }
                *recorded = ids.len();
                if self.w.closed.contains(&link) {
                    // The core gave the attempt up: it may still run.
                    self.in_flight.insert(link, None);
                }
            }
        }
        for (conn, (submitted, answered)) in &mut self.clients {
            let answers: Vec<&str> = self.w.sent_text_on(*conn).split("HTTP/1.1 ").skip(1).collect();
            for (id, answer) in submitted[*answered..answers.len()].iter().zip(&answers[*answered..]) {
                self.trace.push((self.w.now, Event::Answered(*id)));
                if let Some(made_for) = made_for(answer) {
                    self.trace.push((self.w.now, Event::Served(*id, made_for)));
                }
            }
            *answered = answers.len();
        }
        let closed: Vec<ConnId> =
            self.clients.keys().copied().filter(|c| self.w.closed.contains(c)).collect();
        for conn in closed {
            self.clients.remove(&conn);
        }
    }

    /// Records a new request of a client. Returns its text.
    fn submit(&mut self, conn: ConnId) -> String {
        let class = self.draw(3) as usize;
        let (id, shard) = (self.next_request, self.draw(NODES));
        self.next_request += 1;
        let name = ["read", "once", "keyed"][class];
        self.clients.get_mut(&conn).unwrap().0.push(id);
        self.trace.push((self.w.now, Event::Submitted(id, class)));
        http_request(&format!("r{id}"), name, shard as i64, "0.800")
    }

    /// A node serves a request; a duplicate of the answer may follow.
    fn serve(&mut self, conn: ConnId, id: u32) {
        self.w.answer(conn, "200 OK", &format!("answer to {id}"));
        if self.draw(3) == 0 {
            let arrives_at = self.w.now.after(Micros(self.draw(DUPLICATE_DELAY.0)));
            self.duplicates.insert((arrives_at, conn, id));
        }
    }

    /// Advances the clock; duplicates of answers arrive meanwhile.
    fn advance(&mut self, by: Micros) {
        let until = self.w.now.after(by);
        while let Some((at, conn, id)) = self.duplicates.pop_first() {
            if at > until {
                self.duplicates.insert((at, conn, id));
                break;
            }
            self.w.now = self.w.now.max(at);
            self.turn();
            if !self.w.closed.contains(&conn) {
                self.w.answer(conn, "200 OK", &format!("answer to {id}"));
                self.turn();
            }
        }
        self.w.now = until;
    }

    fn step(&mut self) {
        let clients: Vec<ConnId> = self.clients.keys().copied().collect();
        let busy: Vec<ConnId> = self
            .in_flight
            .iter()
            .filter(|(c, r)| r.is_some() && !self.w.closed.contains(*c) && !self.w.blocked.contains(*c))
            .map(|(c, _)| *c)
            .collect();
        match self.draw(16) {
            0 | 1 if clients.len() < CLIENTS => {
                let conn = self.w.http_client();
                self.clients.insert(conn, (Vec::new(), 0));
            }
            2..=5 => {
                let Some(conn) = self.pick(clients) else { return };
                let count = if self.draw(4) == 0 { 1 + self.draw(MAX_PIPELINED) } else { 1 };
                let text: String = (0..count).map(|_| self.submit(conn)).collect();
                self.w.send_bytes(conn, text.as_bytes());
            }
            6 => {
                let Some(conn) = self.pick(clients) else { return };
                let (submitted, answered) = self.clients.remove(&conn).unwrap();
                submitted[answered..]
                    .iter()
                    .for_each(|id| self.trace.push((self.w.now, Event::ClientClosed(*id))));
                if !self.w.core.peer_finished(conn, self.w.now) {
                    self.w.core.closed(conn, "closed by peer", self.w.now);
                }
            }
            7..=10 => {
                let Some(conn) = self.pick(busy) else { return };
                let id = self.in_flight.insert(conn, None).flatten().unwrap();
                let now = self.w.now;
                match self.draw(12) {
                    0..=7 => self.serve(conn, id),
                    8 => {
                        self.trace.push((now, Event::AttemptEnd(id, true)));
                        self.w.send_bytes(
                            conn,
                            b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
                        );
                    }
                    9 => self.w.answer(conn, "500 No", ""),
                    10 => {
                        self.w.connected.remove(&conn);
                        self.w.core.closed(conn, "reset", now);
                        self.w.closed.insert(conn);
                    }
                    _ => {
                        self.w.send_bytes(conn, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
                        if self.draw(2) == 0 && !self.w.core.peer_finished(conn, now) {
                            self.w.core.closed(conn, "closed by peer", now);
                            self.w.closed.insert(conn);
                            self.w.connected.remove(&conn);
                        }
                    }
                }
            }
            11 => {
                // Connection attempts to a node get no answer, are refused or succeed; one without an answer
                // may succeed late.
                let (node, outcome) = (
                    self.draw(NODES),
                    [
                        ConnectOutcome::NoReply,
                        ConnectOutcome::Refused,
                        ConnectOutcome::Silent,
                        ConnectOutcome::Silent,
                        ConnectOutcome::Silent,
                        ConnectOutcome::Silent,
                    ],
                );
                let outcome = outcome[self.draw(6) as usize];
                self.w.connect_outcomes.insert(address(node).parse().unwrap(), outcome);
                let unanswered: Vec<ConnId> = self
                    .w
                    .conns_to(node)
                    .into_iter()
                    .filter(|c| {
                        !self.w.connected.contains_key(c)
                            && !self.w.closed.contains(c)
                            && !self.in_flight.contains_key(c)
                    })
                    .collect();
                if let Some(conn) = self.pick(unanswered) {
                    self.w.connected.insert(conn, address(node).parse().unwrap());
                    self.w.core.connected(conn, self.w.now);
                }
            }
            12 => {
                let node = self.draw(NODES);
                let list =
                    self.w.connected.iter().find(|(_, a)| a.to_string() == "127.0.0.1:1").map(|(c, _)| *c);
                let Some(conn) = list else { return };
                let draining = !self.draining_nodes.remove(&node);
                if draining {
                    self.draining_nodes.insert(node);
                }
                self.w.list[node as usize].1 = if draining { State::Draining } else { State::Serving };
                self.w.revision += 1;
                let changes = self.w.listing(false);
                self.w.answer(conn, "200 OK", &changes);
                self.trace.push((self.w.now, Event::Draining(node, draining)));
            }
            13 => {
                let links: Vec<ConnId> =
                    self.attempts_started.keys().copied().filter(|c| !self.w.closed.contains(c)).collect();
                let Some(conn) = self.pick(links) else { return };
                if !self.w.blocked.remove(&conn) {
                    self.w.blocked.insert(conn);
                } else {
                    self.w.drain(conn);
                }
            }
            _ => {
                let by = Micros(1 + self.draw(60_000));
                self.advance(by);
            }
        }
    }
}

fn simulate(seed: u64) -> Vec<(Micros, Event)> {
    let w = Harness::new(platform_config(seed), NODES);
    let mut p = Simulation {
        w,
        rng: Pcg64Mcg::seed_from_u64(seed),
        trace: Vec::new(),
        clients: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        attempts_started: BTreeMap::new(),
        next_request: 0,
        draining_nodes: BTreeSet::new(),
        duplicates: BTreeSet::new(),
    };
    for step in 0..400 {
        p.step();
        p.turn();
        if let Some(violation) = violation(&p.trace) {
            panic!("seed {seed}, step {step}: {violation}");
        }
        let footprint = p.w.core.footprint();
        assert!(
            footprint.connections <= CLIENTS + NODE_CONNECTIONS + 1,
            "seed {seed}, step {step}: {footprint:?}"
        );
    }
    // A shutdown in the middle of the schedule: everything is answered, and no connection is left.
    p.w.core.control(Control::Stop, p.w.now);
    for _ in 0..400 {
        if p.w.exited {
            break;
        }
        p.w.now = Micros(p.w.now.0 + 5000);
        p.turn();
    }
    assert!(p.w.exited, "seed {seed}: the core does not exit");
    if let Some(violation) = violation(&p.trace) {
        panic!("seed {seed}, during the shutdown: {violation}");
    }
    let footprint = p.w.core.footprint();
    assert_eq!((footprint.connections, footprint.partial_bytes), (0, 0), "seed {seed}: {footprint:?}");
    let answered = |id: &u32| p.trace.iter().any(|(_, s)| *s == Event::Answered(*id));
    // Requests pipelined behind an unanswered one are not read.
    for (submitted, _) in p.clients.values() {
        let unanswered = submitted.iter().filter(|id| !answered(id)).count();
        assert!(unanswered <= 1, "seed {seed}: {unanswered} of {submitted:?} have no answer");
    }
    p.trace
}

#[test]
fn invariants_hold_for_random_orders_of_events() {
    let (mut attempts_started, mut answered) = (0, 0);
    for seed in 0..150 {
        let trace = simulate(seed);
        attempts_started += trace.iter().filter(|(_, s)| matches!(s, Event::AttemptStart(..))).count();
        answered += trace.iter().filter(|(_, s)| matches!(s, Event::Answered(_))).count();
    }
    assert!(
        attempts_started > 2000 && answered > 2000,
        "{attempts_started} attempts, {answered} answers: too few events to test anything"
    );
}

#[test]
fn the_checker_detects_a_violation_of_each_invariant() {
    let trace = simulate(1);
    assert_eq!(violation(&trace), None);
    let end = trace.last().unwrap().0;
    let violation_with = |events: &[Event]| {
        let appended = events.iter().map(|event| (end, *event));
        violation(&trace.iter().copied().chain(appended).collect::<Vec<_>>())
            .expect("the violation is detected")
    };
    use Event::*;
    assert!(
        violation_with(&[Submitted(9001, 0), Answered(9001), Answered(9001)]).contains("two final answers")
    );
    assert!(
        violation_with(&[Submitted(9001, 0), Answered(9001), Served(9001, 9000)])
            .contains("the answer to request 9000")
    );
    assert!(
        violation_with(&[Submitted(9001, 0), ClientClosed(9001), AttemptStart(9001, 9)])
            .contains("after its client disconnected")
    );
    assert!(
        violation_with(&[Submitted(9001, 0), Answered(9001), AttemptStart(9001, 9)])
            .contains("after its final answer")
    );
    assert!(
        violation_with(&[Submitted(9001, 0), Draining(9, true), AttemptStart(9001, 9)])
            .contains("at draining node")
    );
    assert!(
        violation_with(&[Submitted(9001, 1), AttemptStart(9001, 9), AttemptStart(9001, 9)])
            .contains("may run twice")
    );
    assert!(violation_with(&[AttemptStart(9001, 9)]).contains("never submitted"));
    let late = [
        (end, Submitted(9001, 2)),
        (end, AttemptStart(9001, 9)),
        (end.after(ms(DEDUPLICATION_WINDOW_MS)), AttemptStart(9001, 9)),
    ];
    assert!(violation(&late).unwrap().contains("after its first attempt"));
    let inside = [
        (end, Submitted(9001, 2)),
        (end, AttemptStart(9001, 9)),
        (end.after(ms(DEDUPLICATION_WINDOW_MS - 5)), AttemptStart(9001, 9)),
    ];
    assert_eq!(violation(&inside), None);
}
