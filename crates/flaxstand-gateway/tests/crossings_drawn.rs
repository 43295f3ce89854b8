//! Events in random order on the core: requests, answers, lists, connections, clients that leave, a stop. What must hold
//! is looked at after each; a schedule that fails prints its seed. Faults that are planted into what was seen are caught.

mod harness;

use flaxstand_gateway::core::Config;
use flaxstand_gateway::machine::{ConnId, Control, Machine, Micros};
use flaxstand_proto::State;
use harness::{ConnectOutcome, Harness, address, http_request, ms, platform_config_with_keyed};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const NODES: u64 = 3;
const WINDOW: u64 = 250;
const CLIENTS: usize = 8;
const LINKS: usize = 6;

fn platform(seed: u64) -> Config {
    let mut c = platform_config_with_keyed(2500, WINDOW as f64);
    c.seed = seed;
    (c.site.settings.may_probe, c.site.settings.max_concurrent_attempts) = (true, 2);
    (c.bounds.max_clients, c.bounds.max_node_connections) = (CLIENTS, LINKS);
    c
}

/// One thing that was seen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    /// A client asked: request, class by its number.
    Asked(u32, usize),
    /// The client of a request has gone.
    Gone(u32),
    /// A request had a final answer.
    Answered(u32),
    /// An attempt's first byte left for a node.
    Begun(u32, u64),
    /// An attempt ended; never: its peer said, or its connection proves, that it has not run.
    AttemptEnd(u32, bool),
    /// The core was told that a node takes nothing new, or does again.
    Drains(u64, bool),
}

/// What must hold of what was seen: nothing, or what does not hold.
fn breach(seen: &[(Micros, Seen)]) -> Option<String> {
    let (mut class, mut gone, mut answered) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let (mut drains, mut first, mut may_have_run) =
        (BTreeSet::new(), BTreeMap::new(), BTreeMap::<u32, u32>::new());
    for (at, what) in seen {
        match *what {
            Seen::Asked(id, of) => drop(class.insert(id, of)),
            Seen::Gone(id) => drop(gone.insert(id)),
            Seen::Answered(id) if !answered.insert(id) => return Some(format!("{id} has two final answers")),
            Seen::Answered(_) => {}
            Seen::Drains(node, true) => drop(drains.insert(node)),
            Seen::Drains(node, false) => drop(drains.remove(&node)),
            Seen::AttemptEnd(id, never) => {
                if never {
                    may_have_run.entry(id).and_modify(|n| *n = n.saturating_sub(1));
                }
            }
            Seen::Begun(id, node) => {
                if gone.contains(&id) {
                    return Some(format!("{id} begins after its client has gone"));
                }
                if answered.contains(&id) {
                    return Some(format!("{id} begins after its final answer"));
                }
                if drains.contains(&node) {
                    return Some(format!("{id} begins at node {node}, which drains"));
                }
                let earlier = may_have_run.entry(id).or_default();
                let began: Micros = *first.entry(id).or_insert(*at);
                match class.get(&id) {
                    None => return Some(format!("{id} begins and nobody asked")),
                    Some(1) if *earlier > 0 => return Some(format!("{id} may run twice")),
                    Some(2) if *earlier > 0 && at.since(began) >= ms(WINDOW) => {
                        return Some(format!("{id} is repeated {} ms after its first", at.since(began).ms()));
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

/// A play of one seed.
struct Play {
    w: Harness,
    rng: Pcg64Mcg,
    seen: Vec<(Micros, Seen)>,
    /// Clients that are connected, with the requests asked on each, in their order, and how many are answered.
    clients: BTreeMap<ConnId, (Vec<u32>, usize)>,
    /// The request that is open at each connection to a node, and how many have begun there.
    open: BTreeMap<ConnId, Option<u32>>,
    begun: BTreeMap<ConnId, usize>,
    next: u32,
    drained: BTreeSet<u64>,
}

impl Play {
    fn draw(&mut self, of: u64) -> u64 {
        self.rng.next_u64() % of
    }

    fn pick(&mut self, of: Vec<ConnId>) -> Option<ConnId> {
        let at = self.draw(of.len().max(1) as u64) as usize;
        of.get(at).copied()
    }

    /// Lets the core act, and notes what it did.
    fn turn(&mut self) {
        (0..3).for_each(|_| self.w.turn());
        for node in 0..NODES {
            for link in self.w.conns_to(node) {
                let heard = self.w.sent_text_on(link).to_owned();
                let ids: Vec<u32> = heard
                    .split("X-Request-ID: r")
                    .skip(1)
                    .map(|t| t.split('\r').next().unwrap().parse().unwrap())
                    .collect();
                let known = self.begun.entry(link).or_default();
                for id in &ids[*known..] {
                    self.seen.push((self.w.now, Seen::Begun(*id, node)));
                    self.open.insert(link, Some(*id));
                }
                *known = ids.len();
                if self.w.closed.contains(&link) {
                    // Given up from here: it may run yet.
                    self.open.insert(link, None);
                }
            }
        }
        for (conn, (asked, answered)) in &mut self.clients {
            let now = self.w.sent_text_on(*conn).matches("HTTP/1.1 ").count();
            for id in &asked[*answered..now] {
                self.seen.push((self.w.now, Seen::Answered(*id)));
            }
            *answered = now;
        }
        let closed: Vec<ConnId> =
            self.clients.keys().copied().filter(|c| self.w.closed.contains(c)).collect();
        for conn in closed {
            self.clients.remove(&conn);
        }
    }

    fn step(&mut self) {
        let clients: Vec<ConnId> = self.clients.keys().copied().collect();
        let busy: Vec<ConnId> = self
            .open
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
                let class = self.draw(3) as usize;
                let (id, shard) = (self.next, self.draw(NODES));
                self.next += 1;
                let name = ["read", "once", "keyed"][class];
                let text = http_request(&format!("r{id}"), name, shard as i64, "0.800");
                self.clients.get_mut(&conn).unwrap().0.push(id);
                self.seen.push((self.w.now, Seen::Asked(id, class)));
                self.w.send_bytes(conn, text.as_bytes());
            }
            6 => {
                let Some(conn) = self.pick(clients) else { return };
                let (asked, answered) = self.clients.remove(&conn).unwrap();
                asked[answered..].iter().for_each(|id| self.seen.push((self.w.now, Seen::Gone(*id))));
                if !self.w.core.peer_finished(conn, self.w.now) {
                    self.w.core.closed(conn, "closed by peer", self.w.now);
                }
            }
            7..=10 => {
                let Some(conn) = self.pick(busy) else { return };
                let id = self.open.insert(conn, None).flatten().unwrap();
                let now = self.w.now;
                match self.draw(12) {
                    0..=7 => self.w.answer(conn, "200 OK", &format!("answer to {id}")),
                    8 => {
                        self.seen.push((now, Seen::AttemptEnd(id, true)));
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
                // A node's calls are lost, refused or stand; one that was lost stands late.
                let (node, how) = (
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
                let how = how[self.draw(6) as usize];
                self.w.connect_outcomes.insert(address(node).parse().unwrap(), how);
                let lost: Vec<ConnId> = self
                    .w
                    .conns_to(node)
                    .into_iter()
                    .filter(|c| {
                        !self.w.connected.contains_key(c)
                            && !self.w.closed.contains(c)
                            && !self.open.contains_key(c)
                    })
                    .collect();
                if let Some(conn) = self.pick(lost) {
                    self.w.connected.insert(conn, address(node).parse().unwrap());
                    self.w.core.connected(conn, self.w.now);
                }
            }
            12 => {
                let node = self.draw(NODES);
                let list =
                    self.w.connected.iter().find(|(_, a)| a.to_string() == "127.0.0.1:1").map(|(c, _)| *c);
                let Some(conn) = list else { return };
                let drains = !self.drained.remove(&node);
                if drains {
                    self.drained.insert(node);
                }
                self.w.list[node as usize].1 = if drains { State::Draining } else { State::Serving };
                self.w.revision += 1;
                let changes = self.w.listing(false);
                self.w.answer(conn, "200 OK", &changes);
                self.seen.push((self.w.now, Seen::Drains(node, drains)));
            }
            13 => {
                let links: Vec<ConnId> =
                    self.begun.keys().copied().filter(|c| !self.w.closed.contains(c)).collect();
                let Some(conn) = self.pick(links) else { return };
                if !self.w.blocked.remove(&conn) {
                    self.w.blocked.insert(conn);
                } else {
                    self.w.drain(conn);
                }
            }
            _ => {
                self.w.now = Micros(self.w.now.0 + 1 + self.draw(60_000));
            }
        }
    }
}

fn play(seed: u64) -> Vec<(Micros, Seen)> {
    let w = Harness::new(platform(seed), NODES);
    let mut p = Play {
        w,
        rng: Pcg64Mcg::seed_from_u64(seed),
        seen: Vec::new(),
        clients: BTreeMap::new(),
        open: BTreeMap::new(),
        begun: BTreeMap::new(),
        next: 0,
        drained: BTreeSet::new(),
    };
    for step in 0..400 {
        p.step();
        p.turn();
        if let Some(what) = breach(&p.seen) {
            panic!("seed {seed}, step {step}: {what}");
        }
        let held = p.w.core.footprint();
        assert!(held.connections <= CLIENTS + LINKS + 1, "seed {seed}, step {step}: {held:?}");
    }
    // A stop, in the middle of all that: everything is answered, and nothing is left.
    p.w.core.control(Control::Stop, p.w.now);
    for _ in 0..400 {
        if p.w.exited {
            break;
        }
        p.w.now = Micros(p.w.now.0 + 5000);
        p.turn();
    }
    assert!(p.w.exited, "seed {seed}: it does not end");
    if let Some(what) = breach(&p.seen) {
        panic!("seed {seed}, in the stop: {what}");
    }
    let held = p.w.core.footprint();
    assert_eq!((held.connections, held.partial_bytes), (0, 0), "seed {seed}: {held:?}");
    let answered = |id: &u32| p.seen.iter().any(|(_, s)| *s == Seen::Answered(*id));
    // What stands behind an unanswered request of a client is not read.
    for (asked, _) in p.clients.values() {
        let unanswered = asked.iter().filter(|id| !answered(id)).count();
        assert!(unanswered <= 1, "seed {seed}: {unanswered} of {asked:?} without an answer");
    }
    p.seen
}

#[test]
fn whatever_the_order_of_events_each_request_ends_once_and_nothing_begins_that_must_not() {
    let (mut begun, mut answered) = (0, 0);
    for seed in 0..120 {
        let seen = play(seed);
        begun += seen.iter().filter(|(_, s)| matches!(s, Seen::Begun(..))).count();
        answered += seen.iter().filter(|(_, s)| matches!(s, Seen::Answered(_))).count();
    }
    assert!(
        begun > 2000 && answered > 2000,
        "{begun} attempts, {answered} answers: hardly anything happened"
    );
}

#[test]
fn planted_faults_are_caught_one_for_each_thing_that_must_hold() {
    let seen = play(1);
    assert_eq!(breach(&seen), None);
    let end = seen.last().unwrap().0;
    let with = |more: &[Seen]| {
        let more = more.iter().map(|s| (end, *s));
        breach(&seen.iter().copied().chain(more).collect::<Vec<_>>()).expect("a planted fault")
    };
    use Seen::*;
    assert!(with(&[Asked(9001, 0), Answered(9001), Answered(9001)]).contains("two final answers"));
    assert!(with(&[Asked(9001, 0), Gone(9001), Begun(9001, 9)]).contains("has gone"));
    assert!(with(&[Asked(9001, 0), Answered(9001), Begun(9001, 9)]).contains("final answer"));
    assert!(with(&[Asked(9001, 0), Drains(9, true), Begun(9001, 9)]).contains("drains"));
    assert!(with(&[Asked(9001, 1), Begun(9001, 9), Begun(9001, 9)]).contains("twice"));
    assert!(with(&[Begun(9001, 9)]).contains("nobody asked"));
    let late = [(end, Asked(9001, 2)), (end, Begun(9001, 9)), (end.after(ms(WINDOW)), Begun(9001, 9))];
    assert!(breach(&late).unwrap().contains("after its first"));
    let inside = [(end, Asked(9001, 2)), (end, Begun(9001, 9)), (end.after(ms(WINDOW - 5)), Begun(9001, 9))];
    assert_eq!(breach(&inside), None);
}
