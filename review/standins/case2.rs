//! Case 2: a write that runs is refused, and runs again when its client comes back.
//!
//! A hundred clients each send hundreds of writes at once on one connection, and read what they are sent. A client
//! whose first write is refused (503) sends that one again, alone, on a new connection. Once a request has its
//! final answer, nothing more is sent for it, and one that is out is not refused. With TROUBLE=0 the same clients
//! send one write at a time.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TARGETS: u64 = 4;
/// Mean work of a write (`work_ms`, 25 to 40; `dist`, exp), and cores of a target (`small-2c`).
const WORK_MS: f64 = 30.0;
const CORES: usize = 2;
/// Clients that send at once, writes that each sends, length of a body, and waves.
const CLIENTS: u64 = 100;
const WRITES: u64 = 300;
const BODY: usize = 1024;
const WAVES: u64 = 4;
/// An attempt that comes to its target so soon after the client had the 503 is not counted: it may have crossed it.
const CROSSING: Duration = Duration::from_millis(50);
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":64,"sockets":512}"#;

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

/// What ran, by what is written (volume and piece): the ids of the requests that wrote it.
type Ran = Arc<Mutex<BTreeMap<String, Vec<(String, Instant)>>>>;

fn serve(mut stream: TcpStream, uid: String, cores: Arc<Cores>, ran: Ran, record: Record, seed: u64) {
    let _ = stream.set_nodelay(true);
    let mut random = Random::new(seed);
    let mut reader = Reader::default();
    while let Ok(request) = reader.read(&mut stream) {
        if request.path() == "/health" {
            let _ = stream.write_all(&response(200, &[], b"up\n"));
            continue;
        }
        let id = request.field("x-request-id").to_owned();
        record.line(&format!("{uid}: runs {id} {}", request.path()));
        ran.lock().unwrap().entry(request.path().to_owned()).or_default().push((id.clone(), Instant::now()));
        cores.run(ms(random.exponential(WORK_MS)));
        if stream.write_all(&response(200, &[], format!("{uid} stored {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

/// A write: its path, its id and its bytes. `tries` counts the client's tries of it.
fn request(client: u64, number: u64, tries: u64) -> (String, String, Vec<u8>) {
    let id = format!("{:06x}{number:08x}{tries:02x}", client + 1);
    let path = format!("/api/{:016x}/{:016x}", 0x3b4d_60000 + client, 0x7f3a_0000 + number);
    let head = format!(
        "PUT {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: batch-write\r\nX-Qos-Policy: basic\r\nX-Timeout: 1.500\r\n\
         X-Placement: units=1,shard={},hosts=1\r\nContent-Length: {BODY}\r\n\r\n",
        client % TARGETS,
    );
    (path, id, [head.as_bytes(), &[b'w'; BODY]].concat())
}

fn main() {
    let record = Record::create(&std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set")));
    record.line(&format!("trouble {}", trouble()));
    let ran = Ran::default();
    let mut entries = Vec::new();
    for shard in 0..TARGETS {
        let listener = listen();
        let uid = format!("s-{shard:08x}");
        entries.push(Entry::up(&uid, listener.local_addr().unwrap(), "hall-a", shard as u32));
        let (ran, record, cores) = (ran.clone(), record.clone(), Arc::new(Cores::default()));
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (uid, ran, record, cores) = (uid.clone(), ran.clone(), record.clone(), cores.clone());
                let seed = 1000 * shard + number as u64 + 1;
                thread::spawn(move || serve(stream, uid, cores, ran, record, seed));
            }
        });
    }
    let discovery = Discovery::start(entries, &record);
    // As on a short day, whose settings may give a class another effect: the writes must never run twice.
    let keyed = r#""semantics":"by_key","group":"cell","dedupWindowMs":1500.0"#;
    let settings = addis_settings(1).replace(keyed, r#""semantics":"once""#);
    let mut initiator = Initiator::start("n0", discovery.address, &discovery.known(), &settings, LIMITS, &record);
    initiator.wait_ready();
    record.line("the initiator is ready");
    let address = initiator.address;
    let over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let refused: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();

    // A usual client beside them.
    let usual = {
        let (over, answers) = (over.clone(), answers.clone());
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
                let answer =
                    socket.write_all(&request(1_000_000, number, 0).2).ok().and_then(|()| reader.read(socket).ok());
                let seen = answer.as_ref().map_or("none".into(), |answer| answer.status().to_string());
                *answers.lock().unwrap().entry(format!("usual client: {seen}")).or_default() += 1;
                if answer.is_none() {
                    stream = None;
                }
            }
        })
    };

    for wave in 0..WAVES {
        thread::sleep(Duration::from_secs(1));
        record.line(&format!("wave {wave}"));
        let start = Arc::new(Barrier::new(CLIENTS as usize));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (answers, refused, start, record) =
                    (answers.clone(), refused.clone(), start.clone(), record.clone());
                let client = wave * CLIENTS + n;
                thread::spawn(move || {
                    let writes = if trouble() { WRITES } else { 1 };
                    let (_, first, _) = request(client, 0, 0);
                    let bytes: Vec<u8> = (0..writes).flat_map(|number| request(client, number, 0).2).collect();
                    let stream = TcpStream::connect(address);
                    start.wait();
                    let Ok(mut stream) = stream else { return };
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(3000)));
                    let mut writer = stream.try_clone().unwrap();
                    record.line(&format!("client: sends {first} and {} more writes behind it", writes - 1));
                    // It sends at full speed and reads meanwhile.
                    let sender = thread::spawn(move || {
                        let _ = writer.set_write_timeout(Some(Duration::from_millis(3000)));
                        let _ = writer.write_all(&bytes);
                    });
                    let answer = Reader::default().read(&mut stream);
                    let answered_at = Instant::now();
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.line(&format!("client: {first} -> {status}"));
                    *answers.lock().unwrap().entry(format!("first write of many: {status}")).or_default() += 1;
                    if status == 503 {
                        refused.lock().unwrap().insert(first, answered_at);
                        // Trying again is harmless, it was told.
                        let (_, id, bytes) = request(client, 0, 1);
                        record.line(&format!("client: sends {id}, the same write again"));
                        let again = TcpStream::connect(address).ok().and_then(|mut stream| {
                            let _ = stream.set_read_timeout(Some(Duration::from_millis(3000)));
                            stream.write_all(&bytes).ok()?;
                            Reader::default().read(&mut stream).ok()
                        });
                        let status = again.as_ref().map_or(0, Message::status);
                        record.line(&format!("client: {id}, the same write again -> {status}"));
                        *answers.lock().unwrap().entry(format!("the same again: {status}")).or_default() += 1;
                    }
                    // Gone after 3 s at the latest.
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    let _ = sender.join();
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    }
    let by = Instant::now() + Duration::from_secs(2);
    sleep_until(by);
    over.store(true, Ordering::Relaxed);
    let _ = usual.join();
    let alive = initiator.child.try_wait().ok().flatten().is_none();
    initiator.end();
    let (answers, refused, ran) = (answers.lock().unwrap(), refused.lock().unwrap(), ran.lock().unwrap());
    let mut broken = Vec::new();
    let (mut afterwards, mut while_out, mut crossed, mut twice) = (0, 0, 0, 0);
    for (path, runs) in ran.iter() {
        for (id, ran_at) in runs {
            let Some(refused_at) = refused.get(id) else { continue };
            let after = ran_at.saturating_duration_since(*refused_at);
            let how = if *ran_at < *refused_at {
                while_out += 1;
                "was refused while it was out".to_owned()
            } else if after > CROSSING {
                afterwards += 1;
                format!("was refused, and came to its target {} ms afterwards", after.as_millis())
            } else {
                crossed += 1;
                continue;
            };
            twice += u64::from(runs.len() > 1);
            let ids: Vec<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
            broken.push(format!("BROKEN: {id} {how}; {path} ran as {ids:?}"));
        }
    }
    broken.iter().for_each(|line| record.line(line));
    record.say(&format!("{answers:?}; initiator alive {alive}"));
    broken.iter().take(3).for_each(|line| println!("{line}"));
    if answers.get("usual client: 200").copied().unwrap_or(0) < 50 {
        not_run("fewer than 50 usual requests were served");
    }
    record.say(&format!(
        "refused writes that ran: {afterwards} sent afterwards, {while_out} while out, {crossed} not counted; {twice} of the counted ran twice"
    ));
    std::process::exit(if broken.is_empty() { EXIT_HELD } else { EXIT_BROKEN });
}
