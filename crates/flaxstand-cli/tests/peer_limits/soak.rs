//! Seeded soak: clients keep using their connections while nodes misbehave, signals come in series and, in some
//! runs, a crowd fills the descriptors, up to a shutdown that ends with SIGKILL at the earliest allowed time.
//!
//! `FLAXSTAND_SOAK_SEEDS=FIRST..LAST` plays other seeds, for example `1..50`.

use crate::client::{Request, connect, status_of, write_what_is_taken};
use crate::common::loopback::LoopbackHost;
use crate::initiator::{Deployment, Initiator};
use crate::node::{Behaviour, Node};
use rustix::process::Signal;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Seeds of a run without the variable.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=4;
const SEEDS_VARIABLE: &str = "FLAXSTAND_SOAK_SEEDS";
/// Time before the first SIGTERM.
const RUN_TIME: Duration = Duration::from_millis(2500);
/// SIGKILL comes the longest deadline, at most this, and [`KILL_AFTER`] after SIGTERM.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(700);
/// New connections come for this time after SIGTERM.
const CONNECT_AFTER_TERM: Duration = Duration::from_millis(300);
/// Time after its deadline in which a request may still get its final answer.
const MAX_LATE: Duration = Duration::from_millis(500);
/// Clients that keep their connections.
const CLIENTS: usize = 12;
/// Share of the requests before SIGTERM that has to be served, with half of the nodes bad.
const MIN_SERVED: f64 = 0.3;

/// A small generator of pseudo-random numbers (SplitMix64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// A request that a client wrote completely.
#[derive(Clone, Debug)]
struct SentRequest {
    id: String,
    sent_at: Instant,
    /// Status and time of the answer.
    answer: Option<(u16, Instant)>,
}

/// When clients stop opening connections, and stop altogether.
#[derive(Default)]
struct Phases {
    no_new_connections: AtomicBool,
    is_over: AtomicBool,
}

fn behaviour(random: &mut Random) -> Behaviour {
    match random.below(6) {
        0 => Behaviour::Silent,
        1 => Behaviour::StallInBody { body_bytes: 200_000 },
        2 => Behaviour::Serve { delay: random.millis(20, 120), body_bytes: 100_000 },
        _ => Behaviour::Serve { delay: random.millis(0, 20), body_bytes: 500 },
    }
}

fn run_client(
    at: SocketAddr,
    client: usize,
    seed: u64,
    deadline: Duration,
    shards: u64,
    phases: &Phases,
) -> Vec<SentRequest> {
    let mut random = Random(seed * 1000 + client as u64);
    let mut sent: Vec<SentRequest> = Vec::new();
    let mut connection: Option<TcpStream> = None;
    while !phases.is_over.load(Ordering::Relaxed) {
        if connection.is_none() {
            if phases.no_new_connections.load(Ordering::Relaxed) {
                break;
            }
            connection = TcpStream::connect(at).ok();
        }
        let Some(stream) = &mut connection else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(deadline + MAX_LATE + Duration::from_secs(1)));
        let id = format!("s{seed}-{client}-{}", sent.len());
        let body_bytes = (random.below(4) == 0).then(|| 100 + random.below(30_000) as usize);
        let request = Request {
            class: random.pick(&["read", "order"]),
            shard: random.below(shards) as i64,
            volume: random.below(50),
            extent: random.below(1000),
            body_bytes,
            ..Request::read(&id, deadline)
        };
        let sent_at = Instant::now();
        let status = status_of(stream, &request.bytes());
        sent.push(SentRequest { id, sent_at, answer: status.map(|status| (status, Instant::now())) });
        if status.is_none() {
            connection = None;
        }
        std::thread::sleep(random.millis(1, 40));
    }
    sent
}

/// A crowd that connects and stands still, half of it in the middle of a request.
fn crowd(at: SocketAddr, size: u64, deadline: Duration) -> Vec<TcpStream> {
    let half = Request { body_bytes: Some(60_000), ..Request::read("crowd", deadline) };
    let mut bytes = half.bytes();
    bytes.truncate(bytes.len() - 1);
    let join = |number: u64| {
        let mut client = connect(at);
        if number.is_multiple_of(2) {
            write_what_is_taken(&mut client, &bytes, bytes.len());
        }
        client
    };
    (0..size).map(join).collect()
}

fn play(seed: u64) {
    let mut random = Random(seed);
    let deadline = Duration::from_millis(random.pick(&[300, 600, 1200, 2500, 4000]));
    let sockets = random.pick(&[256, 1024]);
    let deployment = Deployment { sockets, deadline, ..Deployment::default() };
    let host = LoopbackHost::claim();
    let nodes: Vec<Node> = (0..6u16)
        .map(|number| {
            let good = Behaviour::Serve { delay: random.millis(0, 20), body_bytes: 500 };
            let behaviour = if number < 3 { good } else { behaviour(&mut random) };
            Node::start(host.port(7000 + number), behaviour)
        })
        .collect();
    let mut initiator = Initiator::start(&host, &nodes, deployment);
    let at = initiator.address();
    let phases = Arc::new(Phases::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (phases, shards) = (phases.clone(), nodes.len() as u64);
            std::thread::spawn(move || run_client(at, client, seed, deadline, shards, &phases))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let crowd = (random.below(2) == 0).then(|| crowd(at, sockets, deadline));
    let started = Instant::now();
    while started.elapsed() < RUN_TIME {
        std::thread::sleep(random.millis(50, 400));
        if random.below(2) == 0 {
            (0..1 + random.below(3)).for_each(|_| initiator.signal(Signal::HUP));
        }
        let changed = 3 + random.below(3) as usize;
        nodes[changed].set_behaviour(behaviour(&mut random));
    }
    initiator.assert_within_limits();
    let stopped_at = Instant::now();
    let kill_at = stopped_at + deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER;
    for _ in 0..1 + random.below(3) {
        initiator.signal(Signal::TERM);
        initiator.signal(Signal::HUP);
    }
    std::thread::sleep(CONNECT_AFTER_TERM);
    phases.no_new_connections.store(true, Ordering::Relaxed);
    let is_ended = initiator.exits_by(kill_at);
    let killed_at = Instant::now();
    initiator.kill();
    phases.is_over.store(true, Ordering::Relaxed);
    let sent: Vec<SentRequest> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    drop(crowd);
    check(seed, &sent, &nodes, deadline, stopped_at, killed_at);
    assert!(is_ended, "seed {seed}: SIGKILL found the process");
}

fn check(
    seed: u64,
    sent: &[SentRequest],
    nodes: &[Node],
    deadline: Duration,
    stopped_at: Instant,
    killed_at: Instant,
) {
    let executions = |id: &str| nodes.iter().map(|node| node.executions_of(id)).sum::<usize>();
    let unanswered: Vec<&SentRequest> = sent.iter().filter(|request| request.answer.is_none()).collect();
    let lost: Vec<&&SentRequest> = unanswered.iter().filter(|request| executions(&request.id) > 0).collect();
    let latest = deadline + MAX_LATE;
    let late = sent.iter().filter(|r| r.answer.is_some_and(|(_, at)| at > r.sent_at + latest)).count();
    let before: Vec<&SentRequest> = sent.iter().filter(|request| request.sent_at < stopped_at).collect();
    let served = before.iter().filter(|request| matches!(request.answer, Some((200, _)))).count();
    let early_loss = unanswered.iter().filter(|request| request.sent_at < stopped_at).count();
    println!(
        "seed {seed}: deadline {deadline:?}, {} sent, {served} of {} before SIGTERM served, {} without an answer, \
         {early_loss} of them sent before SIGTERM, {late} late, ended {:?} after SIGTERM",
        sent.len(),
        before.len(),
        unanswered.len(),
        killed_at - stopped_at
    );
    assert!(lost.is_empty(), "seed {seed}: forwarded and never answered: {lost:?}");
    assert_eq!(late, 0, "seed {seed}: answers later than the deadline and {MAX_LATE:?}");
    assert!(served as f64 >= MIN_SERVED * before.len() as f64, "seed {seed}: {served} of {}", before.len());
}

#[test]
fn soak_with_signals_crowds_and_bad_nodes_up_to_the_earliest_kill() {
    let seeds = match std::env::var(SEEDS_VARIABLE) {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("FIRST..LAST");
            first.parse().unwrap()..=last.parse().unwrap()
        }
        Err(_) => CI_SEEDS,
    };
    seeds.for_each(play);
}
