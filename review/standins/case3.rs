//! Case 3: clients that send much at once and go.
//!
//! Waves of clients each write as many read requests as the system takes at once on one connection, and close
//! it at once. With TROUBLE=0 the same clients send one request each and wait for its answer. Nothing may begin
//! at a target for a client more than 0.1 s (with the slack of 50 ms) after it closed its connection.
//! CONTROL=1: the clients go as well, but after one request.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TARGETS: u64 = 4;
/// Mean work of a read (`work_ms`, 21 to 34; `dist`, exp), and cores of a target (`small-2c`).
const WORK_MS: f64 = 24.0;
const CORES: usize = 2;
/// Clients of a wave ("hundreds of requests at once"; "connect by the hundred"), and waves.
const CLIENTS: u64 = 120;
const WAVES: u64 = 4;
/// Bytes that a client sends at most: far less than the 60 MB of the page.
const MOST_BYTES: usize = 1 << 20;
/// The rule's 0.1 s and the slack of 50 ms of every time limit.
const LATEST_MS: f64 = 150.0;

#[derive(Default)]
struct Cores {
    busy: Mutex<usize>,
    freed: Condvar,
}

impl Cores {
    fn run(&self, time: Duration) {
        let mut busy = self.busy.lock().unwrap();
        while *busy >= CORES {
            busy = self.freed.wait(busy).unwrap();
        }
        *busy += 1;
        drop(busy);
        thread::sleep(time);
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}

type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

fn serve(mut stream: TcpStream, uid: String, cores: Arc<Cores>, arrivals: Arrivals, record: Record, seed: u64) {
    let _ = stream.set_nodelay(true);
    let mut random = Random::new(seed);
    let mut reader = Reader::default();
    while let Ok(request) = reader.read(&mut stream) {
        if request.path() == "/health" {
            let _ = stream.write_all(&response(200, &[], b"up\n"));
            continue;
        }
        let id = request.field("x-request-id").to_owned();
        arrivals.lock().unwrap().push((id.clone(), Instant::now()));
        record.line(&format!("{uid}: {id} arrived, X-Timeout {}", request.field("x-timeout")));
        cores.run(ms(random.exponential(WORK_MS)));
        let body = format!("{uid} made this for {id}\n");
        if stream.write_all(&response(200, &[], body.as_bytes())).is_err() {
            return;
        }
    }
}

fn request(client: u64, number: u64) -> (String, String) {
    let id = format!("{:08x}{number:08x}", client + 1);
    let text = format!(
        "GET /api/{:016x}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: formula-read\r\nX-Qos-Policy: basic\r\nX-Timeout: 1.500\r\n\
         X-Placement: units=1,shard={},hosts=1\r\n\r\n",
        0x3b4d_60000 + client % 20,
        0x7f3a_0000 + number,
        client % TARGETS
    );
    (id, text)
}

fn main() {
    let record = Record::create(&std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set")));
    let is_control = std::env::var("CONTROL").is_ok_and(|v| v == "1");
    record.line(&format!("trouble {} control {is_control}", trouble()));
    let arrivals = Arrivals::default();
    let mut entries = Vec::new();
    for shard in 0..TARGETS {
        let listener = listen();
        let uid = format!("s-{shard:08x}");
        entries.push(Entry::up(&uid, listener.local_addr().unwrap(), "hall-a", shard as u32));
        let (record, cores, arrivals) = (record.clone(), Arc::new(Cores::default()), arrivals.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (uid, record, cores, arrivals) = (uid.clone(), record.clone(), cores.clone(), arrivals.clone());
                let seed = 1000 * shard + number as u64 + 1;
                thread::spawn(move || serve(stream, uid, cores, arrivals, record, seed));
            }
        });
    }
    let discovery = Discovery::start(entries, &record);
    let settings = addis_settings(1);
    let mut initiator =
        Initiator::start("n0", discovery.address, &discovery.known(), &settings, SMALL_LIMITS, &record);
    initiator.wait_ready();
    record.line("the initiator is ready");
    let address = initiator.address;
    let over = Arc::new(AtomicBool::new(false));
    let statuses: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();

    // A usual client beside them, which asks one thing after the other.
    let usual = {
        let (over, statuses) = (over.clone(), statuses.clone());
        thread::spawn(move || {
            let mut stream: Option<(TcpStream, Reader)> = None;
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
                if stream.is_none() {
                    stream = TcpStream::connect(address).ok().map(|stream| (stream, Reader::default()));
                }
                let Some((socket, reader)) = stream.as_mut() else { continue };
                let _ = socket.set_read_timeout(Some(Duration::from_millis(2100)));
                number += 1;
                let (_, text) = request(1_000_000, number);
                let answer = socket.write_all(text.as_bytes()).ok().and_then(|()| reader.read(socket).ok());
                let seen = answer.as_ref().map_or("none".into(), |answer| answer.status().to_string());
                *statuses.lock().unwrap().entry(format!("usual client {seen}")).or_default() += 1;
                if answer.is_none() {
                    stream = None;
                }
            }
        })
    };

    let closed: Arc<Mutex<BTreeMap<u64, (Instant, usize)>>> = Arc::default();
    for wave in 0..WAVES {
        thread::sleep(Duration::from_secs(2));
        record.line(&format!("wave {wave}"));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let client = wave * CLIENTS + n;
                let (closed, record, statuses) = (closed.clone(), record.clone(), statuses.clone());
                thread::spawn(move || {
                    let Ok(mut stream) = TcpStream::connect(address) else { return };
                    let _ = stream.set_nodelay(true);
                    if !trouble() {
                        let _ = stream.set_read_timeout(Some(Duration::from_millis(2100)));
                        let (_, text) = request(client, 0);
                        let _ = stream.write_all(text.as_bytes());
                        let answer = Reader::default().read(&mut stream);
                        let seen = answer.map_or("none".into(), |answer| answer.status().to_string());
                        *statuses.lock().unwrap().entry(format!("waiting client {seen}")).or_default() += 1;
                        return;
                    }
                    let _ = stream.set_nonblocking(true);
                    let mut text = String::new();
                    for number in 0.. {
                        text.push_str(&request(client, number).1);
                        if is_control || text.len() >= MOST_BYTES {
                            break;
                        }
                    }
                    let bytes = text.as_bytes();
                    let mut sent = 0;
                    while sent < bytes.len() {
                        match stream.write(&bytes[sent..]) {
                            Ok(count) => sent += count,
                            Err(_) => break,
                        }
                    }
                    // What has come is read, so that the close is an ordinary one.
                    let mut buffer = [0; 65536];
                    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
                    drop(stream);
                    let at = Instant::now();
                    closed.lock().unwrap().insert(client, (at, sent));
                    record.line(&format!("client {client:#x}: sent {sent} bytes and closed"));
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    }
    thread::sleep(Duration::from_secs(4));
    over.store(true, Ordering::Relaxed);
    let _ = usual.join();
    let alive = initiator.child.try_wait().ok().flatten().is_none();
    initiator.end();

    let closed = closed.lock().unwrap();
    let mut late = Vec::new();
    let arrivals = arrivals.lock().unwrap();
    for (id, at) in arrivals.iter() {
        let client = u64::from_str_radix(&id[..8], 16).unwrap_or(0).wrapping_sub(1);
        let Some((closed_at, _)) = closed.get(&client) else { continue };
        let after = at.saturating_duration_since(*closed_at).as_secs_f64() * 1e3;
        if after > LATEST_MS {
            late.push(format!("BROKEN: {id} came to its target {after:.0} ms after its client had closed"));
        }
    }
    late.iter().for_each(|line| record.line(line));
    let least = closed.values().map(|(_, sent)| *sent).min().unwrap_or(0);
    record.say(&format!(
        "clients gone {}, sent at least {least} bytes; requests at targets {}; {:?}; initiator alive {alive}",
        closed.len(),
        arrivals.len(),
        statuses.lock().unwrap()
    ));
    late.iter().take(5).for_each(|line| println!("{line}"));
    if arrivals.len() < 50 {
        not_run("fewer than 50 requests came to targets");
    }
    record.say(&format!("{} attempts began more than {LATEST_MS} ms after their client had closed", late.len()));
    std::process::exit(if late.is_empty() { EXIT_HELD } else { EXIT_BROKEN });
}
