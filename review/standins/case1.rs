//! Case 1: answers that bring a second copy, some milliseconds late, over a link between two halls.
//!
//! Targets in hall-b, the initiator in hall-a, 2.5 ms one way between them. Clients read one piece after the
//! other. With TROUBLE a share of the answers is followed by a second copy of itself, which a target sends only
//! if nothing else waits on the connection then. A client must never be served with an answer that no target
//! made for its request.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// One way between the halls (`cross_ms`, 1.4 to 2.6).
const ONE_WAY_MS: f64 = 2.5;
/// Mean work of a read (`work_ms`, 21 to 34; `dist`, exp).
const WORK_MS: f64 = 24.0;
/// Cores of a target (`small-2c`).
const CORES: usize = 2;
/// Share of the answers that bring a second copy, and how late it is, ms.
const COPY_SHARE: f64 = 0.05;
const COPY_LATE_MS: (f64, f64) = (2.0, 7.0);
const TARGETS: u32 = 4;
const CLIENTS_PER_SHARD: u64 = 1;
const LENGTH: Duration = Duration::from_secs(30);

/// What targets did: the bodies they made, by request id.
#[derive(Default)]
struct Made {
    bodies: Mutex<BTreeMap<String, BTreeSet<Vec<u8>>>>,
    runs: AtomicU64,
    copies: AtomicU64,
    copies_left_out: AtomicU64,
}

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

/// Serves a connection. The reader notes when each request left the initiator; all is one way later here.
fn serve(stream: TcpStream, uid: String, shard: u32, cores: Arc<Cores>, made: Arc<Made>, record: Record, seed: u64) {
    let _ = stream.set_nodelay(true);
    let way = ms(ONE_WAY_MS);
    let (sender, receiver) = mpsc::channel::<(Message, Instant)>();
    let left: Arc<Mutex<VecDeque<Instant>>> = Arc::default();
    let (mut input, noted) = (stream.try_clone().unwrap(), left.clone());
    thread::spawn(move || {
        let mut reader = Reader::default();
        while let Ok(request) = reader.read(&mut input) {
            let at = Instant::now();
            noted.lock().unwrap().push_back(at);
            if sender.send((request, at)).is_err() {
                return;
            }
        }
    });
    let mut random = Random::new(seed);
    let mut output = stream;
    while let Ok((request, sent_at)) = receiver.recv() {
        sleep_until(sent_at + way);
        left.lock().unwrap().pop_front();
        let id = request.field("x-request-id").to_owned();
        if request.path() == "/health" {
            cores.run(ms(0.3));
            sleep_until(Instant::now() + way);
            let _ = output.write_all(&response(200, &[], b"up\n"));
            continue;
        }
        cores.run(ms(random.exponential(WORK_MS)));
        let body = format!("{uid} shard {shard} made this for {id} {}\n", request.path()).into_bytes();
        made.bodies.lock().unwrap().entry(id.clone()).or_default().insert(body.clone());
        made.runs.fetch_add(1, Ordering::Relaxed);
        let answered_at = Instant::now();
        let answer = response(200, &[("X-Server-Load", "inflight=1,queue=0")], &body);
        record.line(&format!("{uid}: ran {id}, answers"));
        sleep_until(answered_at + way);
        if output.write_all(&answer).is_err() {
            return;
        }
        if !trouble() || random.unit() >= COPY_SHARE {
            continue;
        }
        // The copy leaves here at `copied_at`, if no other request has arrived by then, which is one that left
        // the initiator one way earlier. It comes to the initiator one way later.
        let copied_at = answered_at + ms(random.between(COPY_LATE_MS.0, COPY_LATE_MS.1));
        sleep_until(copied_at);
        let waits = left.lock().unwrap().front().is_some_and(|at| *at + way <= copied_at);
        if waits {
            made.copies_left_out.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        sleep_until(copied_at + way);
        made.copies.fetch_add(1, Ordering::Relaxed);
        let late = (copied_at - answered_at).as_secs_f64() * 1e3;
        record.line(&format!("{uid}: second copy of the answer to {id}, {late:.2} ms late, nothing waited"));
        if output.write_all(&answer).is_err() {
            return;
        }
    }
}

fn main() {
    let record = Record::create(&std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set")));
    record.line(&format!("trouble {}", trouble()));
    let made = Arc::new(Made::default());
    let mut entries = Vec::new();
    for shard in 0..TARGETS {
        let listener = listen();
        let uid = format!("s-{shard:08x}");
        entries.push(Entry::up(&uid, listener.local_addr().unwrap(), "hall-b", shard));
        let (made, record, cores) = (made.clone(), record.clone(), Arc::new(Cores::default()));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (uid, made, record, cores) = (uid.clone(), made.clone(), record.clone(), cores.clone());
                let seed = 1000 * u64::from(shard) + number as u64 + 1;
                thread::spawn(move || serve(stream, uid, shard, cores, made, record, seed));
            }
        });
    }
    let discovery = Discovery::start(entries, &record);
    let settings = addis_settings(1);
    let mut initiator =
        Initiator::start("n0", discovery.address, &discovery.known(), &settings, SMALL_LIMITS, &record);
    initiator.wait_ready();
    record.line("the initiator is ready");

    let over = Arc::new(AtomicBool::new(false));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let address = initiator.address;
    let clients: Vec<_> = (0..u64::from(TARGETS) * CLIENTS_PER_SHARD)
        .map(|client| {
            let (over, foreign, counts, made) = (over.clone(), foreign.clone(), counts.clone(), made.clone());
            let record = record.clone();
            thread::spawn(move || {
                let shard = client % u64::from(TARGETS);
                let mut stream: Option<(TcpStream, Reader)> = None;
                let mut number = 0u64;
                while !over.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{:08x}{number:08x}", client + 1);
                    let volume = 0x3b4d_60000 + client;
                    let extent = 0x7f3a_0000 + number % 50;
                    let head = format!(
                        "GET /api/{volume:016x}/{extent:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
                         X-Priority-Class: formula-read\r\nX-Qos-Policy: basic\r\nX-Timeout: 1.500\r\n\
                         X-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
                    );
                    if stream.is_none() {
                        let Ok(opened) = TcpStream::connect(address) else {
                            thread::sleep(Duration::from_millis(20));
                            continue;
                        };
                        let _ = opened.set_nodelay(true);
                        let _ = opened.set_read_timeout(Some(Duration::from_millis(2100)));
                        stream = Some((opened, Reader::default()));
                    }
                    let (socket, reader) = stream.as_mut().unwrap();
                    if socket.write_all(head.as_bytes()).is_err() {
                        stream = None;
                        continue;
                    }
                    record.line(&format!("client: sent {id} shard {shard}"));
                    match reader.read(socket) {
                        Ok(answer) => {
                            *counts.lock().unwrap().entry(answer.status()).or_default() += 1;
                            let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                            record.line(&format!("client: {id} shard {shard} -> {} {text}", answer.status()));
                            let bodies = made.bodies.lock().unwrap();
                            let is_own = bodies.get(&id).is_some_and(|bodies| bodies.contains(&answer.body));
                            if answer.status() == 200 && !is_own {
                                let line = format!("BROKEN: {id} was served with: {text}");
                                record.line(&line);
                                foreign.lock().unwrap().push(line);
                            }
                        }
                        Err(e) => {
                            record.line(&format!("client: {id} -> no answer: {e:?}"));
                            stream = None;
                        }
                    }
                    // The next piece is asked for as soon as this one is there.
                }
            })
        })
        .collect();
    thread::sleep(LENGTH);
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let alive = initiator.child.try_wait().ok().flatten().is_none();
    initiator.end();
    let foreign = foreign.lock().unwrap();
    record.say(&format!(
        "answers by status {:?}; runs at targets {}; second copies sent {}, left out since a request waited {}; initiator alive {alive}",
        counts.lock().unwrap(),
        made.runs.load(Ordering::Relaxed),
        made.copies.load(Ordering::Relaxed),
        made.copies_left_out.load(Ordering::Relaxed),
    ));
    for line in foreign.iter().take(5) {
        record.say(line);
    }
    if counts.lock().unwrap().get(&200).copied().unwrap_or(0) < 100 {
        not_run("fewer than 100 requests were served");
    }
    record.say(&format!("{} requests were served with an answer made for another request", foreign.len()));
    std::process::exit(if foreign.is_empty() { EXIT_HELD } else { EXIT_BROKEN });
}
