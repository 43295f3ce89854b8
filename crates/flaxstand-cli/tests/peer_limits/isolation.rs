//! Isolation: what one peer sends at full speed delays no other, and what it names is not kept.

use crate::client::{Request, UsualClient, assert_served_in_time};
use crate::common::loopback::LoopbackHost;
use crate::initiator::{Deployment, Initiator};
use crate::node::{Behaviour, Node};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A short deadline, as days of the panel may have.
const DEADLINE: Duration = Duration::from_millis(300);
/// How long the peer is at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Time for buffers to reach their size.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Growth of memory that is allowed after the warm-up, KiB: some MB over a day of minutes.
const MAX_GROWTH_KIB: u64 = 1024;
/// Part of the memory in which ids of executed requests are kept: it fills once, and then stays full.
const EXECUTED_IDS_KIB: u64 = 32 * 1024 / 24;
/// Share of the usual client's requests that has to be served.
const MIN_SERVED: f64 = 0.95;

/// Connections of a peer whose requests are decided on one by one, so that one connection alone is slow.
const CONNECTIONS_OF_A_PEER: u64 = 32;

/// Requests of a connection that may be written and not answered yet: many more than the process reads ahead. Without
/// a limit the flood fills megabytes of its own kernel's buffers first, and takes the processors for it.
const MAX_REQUESTS_AHEAD: u64 = 1024;
/// Interval at which a connection that is that far ahead looks for answers.
const AHEAD_INTERVAL: Duration = Duration::from_micros(200);

/// Floods an address, on each connection after the other, until it is stopped.
struct Flood {
    is_stopped: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
}

impl Flood {
    /// Starts clients that write what `batch` returns for ever new numbers, and read every answer.
    fn start(at: SocketAddr, connections: u64, batch: Batch) -> Flood {
        let flood = Flood { is_stopped: Arc::default(), answered: Arc::default() };
        for connection in 0..connections {
            let (is_stopped, answered) = (flood.is_stopped.clone(), flood.answered.clone());
            let numbers = (connection..).step_by(connections as usize);
            std::thread::spawn(move || write_batches(at, &is_stopped, &answered, batch, numbers));
        }
        flood
    }
}

/// Returns the requests of one write.
type Batch = fn(u64) -> Vec<u8>;

fn write_batches(
    at: SocketAddr,
    is_stopped: &AtomicBool,
    answered: &Arc<AtomicU64>,
    batch: Batch,
    mut numbers: impl Iterator<Item = u64>,
) {
    while !is_stopped.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(at) else { return };
        let Ok(reader) = stream.try_clone() else { return };
        let progress = Arc::new(Progress::default());
        let (answered, of_reader) = (answered.clone(), progress.clone());
        std::thread::spawn(move || count_answers(reader, &answered, &of_reader));
        let mut written = 0;
        while !is_stopped.load(Ordering::Relaxed) && !progress.is_ended.load(Ordering::Relaxed) {
            if written > progress.answered.load(Ordering::Relaxed) + MAX_REQUESTS_AHEAD {
                std::thread::sleep(AHEAD_INTERVAL);
                continue;
            }
            let Some(number) = numbers.next() else { return };
            let bytes = batch(number);
            written += bytes.windows(4).filter(|window| window == b"\r\n\r\n").count() as u64;
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// What the reader of a connection has seen.
#[derive(Default)]
struct Progress {
    answered: AtomicU64,
    is_ended: AtomicBool,
}

fn count_answers(mut stream: TcpStream, answered: &AtomicU64, progress: &Progress) {
    let mut chunk = vec![0; 64 * 1024];
    while let Ok(count) = stream.read(&mut chunk) {
        if count == 0 {
            break;
        }
        let starts = chunk[..count].windows(9).filter(|window| window == b"HTTP/1.1 ").count();
        answered.fetch_add(starts as u64, Ordering::Relaxed);
        progress.answered.fetch_add(starts as u64, Ordering::Relaxed);
    }
    progress.is_ended.store(true, Ordering::Relaxed);
}

/// Runs a flood beside a usual client, and checks that client's service and the process's memory.
fn play(connections: u64, batch: Batch, behaviour: Behaviour, max_growth_kib: u64) {
    let host = LoopbackHost::claim();
    let nodes = [Node::start(host.port(7000), Behaviour::QUICK), Node::start(host.port(7001), behaviour)];
    let deployment = Deployment { deadline: DEADLINE, ..Deployment::default() };
    let mut initiator = Initiator::start(&host, &nodes, deployment);
    let usual = UsualClient::start(initiator.address(), "usual", DEADLINE, Duration::from_millis(10));
    let flood = Flood::start(initiator.address(), connections, batch);
    std::thread::sleep(WARM_UP);
    let before = initiator.resident_kib();
    let asked = flood.answered.load(Ordering::Relaxed);
    std::thread::sleep(FLOOD_TIME - WARM_UP);
    let growth = initiator.resident_kib().saturating_sub(before);
    let answered = flood.answered.load(Ordering::Relaxed) - asked;
    drop(flood);
    let exchanges = usual.finish();
    println!("{answered} answers after the warm-up, {growth} KiB more than the {before} KiB then");
    initiator.assert_within_limits();
    assert_served_in_time(&exchanges, DEADLINE, MIN_SERVED);
    assert!(growth <= max_growth_kib, "memory grew by {growth} KiB during {answered} requests");
}

/// Repeats a request, so that one write carries many.
const REQUESTS_PER_WRITE: u64 = 64;

#[test]
fn unsound_requests_at_full_speed_on_one_connection_delay_no_other_client() {
    play(
        1,
        |_| b"GET / HTTP/1.1\r\n\r\n".repeat(REQUESTS_PER_WRITE as usize * 8),
        Behaviour::QUICK,
        MAX_GROWTH_KIB,
    );
}

#[test]
fn unsound_requests_under_ever_new_names_delay_no_other_client() {
    let batch: Batch = |number| {
        let names = number * REQUESTS_PER_WRITE..(number + 1) * REQUESTS_PER_WRITE;
        let request = |name| format!("GET /api/{name:016x} HTTP/1.1\r\nX-Request-ID: unsound-{name}\r\n\r\n");
        names.map(request).collect::<String>().into_bytes()
    };
    play(1, batch, Behaviour::QUICK, MAX_GROWTH_KIB);
}

/// Requests of ever new volumes, items and ids.
fn named_requests(number: u64, shard: i64, timeout: Duration) -> Vec<u8> {
    let names = number * REQUESTS_PER_WRITE..(number + 1) * REQUESTS_PER_WRITE;
    let request = |name| {
        let id = format!("name-{name}");
        let request = Request { volume: name, extent: name, shard, ..Request::read(&id, timeout) };
        request.bytes()
    };
    names.flat_map(request).collect()
}

#[test]
fn served_requests_under_ever_new_names_delay_no_other_client_and_leave_no_memory_behind() {
    play(
        CONNECTIONS_OF_A_PEER,
        |number| named_requests(number, 1, DEADLINE),
        Behaviour::QUICK,
        MAX_GROWTH_KIB + EXECUTED_IDS_KIB,
    );
}

#[test]
fn refused_requests_under_ever_new_names_delay_no_other_client_and_leave_no_memory_behind() {
    play(
        CONNECTIONS_OF_A_PEER,
        |number| named_requests(number, 1, Duration::from_millis(12)),
        Behaviour::Silent,
        MAX_GROWTH_KIB,
    );
}

/// Connects, sends and leaves again and again on the number of threads that keeps one peer busy.
#[test]
fn a_client_that_connects_sends_and_leaves_at_full_speed_delays_no_other_client() {
    let host = LoopbackHost::claim();
    let nodes =
        [Node::start(host.port(7000), Behaviour::QUICK), Node::start(host.port(7001), Behaviour::QUICK)];
    let deployment = Deployment { deadline: DEADLINE, ..Deployment::default() };
    let mut initiator = Initiator::start(&host, &nodes, deployment);
    let at = initiator.address();
    let usual = UsualClient::start(at, "usual", DEADLINE, Duration::from_millis(10));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stopped = is_stopped.clone();
    let leaver = std::thread::spawn(move || {
        let mut number = 0;
        while !stopped.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(at) else { continue };
            let id = format!("leaves-{number}");
            let request =
                Request { volume: number, extent: number, shard: 1, ..Request::read(&id, DEADLINE) };
            let _ = stream.write_all(&request.bytes());
            number += 1;
        }
        number
    });
    std::thread::sleep(WARM_UP);
    let before = initiator.resident_kib();
    std::thread::sleep(FLOOD_TIME - WARM_UP);
    let growth = initiator.resident_kib().saturating_sub(before);
    is_stopped.store(true, Ordering::Relaxed);
    let left = leaver.join().unwrap();
    let exchanges = usual.finish();
    println!("{left} clients left, {growth} KiB more than the {before} KiB after the warm-up");
    initiator.assert_within_limits();
    assert_served_in_time(&exchanges, DEADLINE, MIN_SERVED);
    assert!(growth <= MAX_GROWTH_KIB, "memory grew by {growth} KiB while {left} clients came and went");
}
