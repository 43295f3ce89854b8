//! Case 3: writes of one key leave in another order than they were taken, after the initiator was held up.
//!
//! Two clients write the same document, one after the other: the first on a new connection, the second 30 ms
//! later on one that it keeps. With TROUBLE the initiator is held up (stopped and continued) for 0.1 s meanwhile.
//! The class keeps order: its target has to get the writes in the order in which they were taken.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TARGETS: u64 = 3;
/// Work of a write (`work_ms`, 44 to 70).
const WORK_MS: f64 = 50.0;
const ROUNDS: u64 = 60;
/// How long the initiator is held up, and the most that the page names.
const HELD_MS: f64 = 100.0;
const MOST_HELD_MS: f64 = 150.0;

/// Settings of a small twin of waitaha-docs.
const SETTINGS: &str = r#"{"balancers":1,"registryMode":"pushed","tickMs":2.0,
"classes":[
{"name":"doc-read","aimMs":300.0,"deadlineMs":2500.0,"lateValue":0.15,"worth":2.0,"semantics":"repeatable","group":"all","dedupWindowMs":5000.0,"stream":false},
{"name":"doc-write","aimMs":600.0,"deadlineMs":4000.0,"lateValue":0.2,"worth":3.0,"semantics":"once","inOrder":true,"stream":false},
{"name":"bulk-read","aimMs":1500.0,"deadlineMs":5000.0,"lateValue":0.2,"worth":1.0,"semantics":"repeatable","group":"all","dedupWindowMs":5000.0,"stream":false}],
"grades":[{"name":"standard","baseRate":20.0,"floorRate":0.0,"ceilingRate":120.0,"mostAtOnce":60.0,"price":0.8},{"name":"priority","baseRate":30.0,"floorRate":36.0,"price":1.2}],
"caps":{"maxAttempts":3,"maxRetryAfterMs":500.0,"retryAfter":true,"secondCopies":false,"cancel":true,"mayProbe":false,"dialTimeoutMs":250.0,"keepaliveMs":15000.0},
"rules":{"askWithinMs":10000.0,"coldFrom":0.27,"coldMs":18000.0,"fallMs":1500.0,"fallMultiple":3.0,"keyRestMs":0.0,"stopSendingWithinMs":2000.0},
"familyInfo":{"coldBears":8.0,"unitMean":2.0,"mostUnits":6.0,"fairWorth":0.3,"idleWorth":0.1}}"#;

/// The writes that each document got, in their order at its target.
type Stored = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn serve(mut stream: TcpStream, uid: String, stored: Stored, record: Record) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::default();
    while let Ok(request) = reader.read(&mut stream) {
        let (id, path) = (request.field("x-request-id").to_owned(), request.path().to_owned());
        let text = String::from_utf8_lossy(&request.body).into_owned();
        record.line(&format!("{uid}: runs {id} {path}: {text}"));
        if request.method() == "PUT" {
            stored.lock().unwrap().entry(path).or_default().push(text);
        }
        thread::sleep(ms(WORK_MS));
        record.line(&format!("{uid}: {id} is done"));
        if stream.write_all(&response(200, &[], format!("{uid} did {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

fn write_request(id: &str, round: u64, shard: u64, text: &str) -> (String, Vec<u8>) {
    let path = format!("/api/{:016x}/{:016x}", 0x3b4d_60000 + round % 7, 0x7f3a_0000 + round);
    let head = format!(
        "PUT {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: doc-write\r\n\
         X-Qos-Policy: priority\r\nX-Timeout: 4.000\r\nX-Placement: units=1,shard={shard},hosts=1\r\n\
         Content-Length: {}\r\n\r\n{text}",
        text.len()
    );
    (path, head.into_bytes())
}

fn read_request(id: &str, round: u64, shard: u64) -> Vec<u8> {
    format!(
        "GET /api/{:016x}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: doc-read\r\nX-Qos-Policy: priority\r\nX-Timeout: 2.500\r\n\
         X-Placement: units=1,shard={shard},hosts=1\r\n\r\n",
        0x3b4d_60000 + round % 7,
        0x8f3a_0000 + round
    )
    .into_bytes()
}

fn main() {
    let record = Record::create(&std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set")));
    record.line(&format!("trouble {}", trouble()));
    let stored = Stored::default();
    let mut entries = Vec::new();
    for shard in 0..TARGETS {
        let listener = listen();
        let uid = format!("s-{shard:08x}");
        entries.push(Entry::up(&uid, listener.local_addr().unwrap(), "rolleston", shard as u32));
        let (stored, record) = (stored.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (uid, stored, record) = (uid.clone(), stored.clone(), record.clone());
                thread::spawn(move || serve(stream, uid, stored, record));
            }
        });
    }
    let discovery = Discovery::start(entries, &record);
    let mut initiator = Initiator::start("n0", discovery.address, &discovery.known(), SETTINGS, SMALL_LIMITS, &record);
    initiator.wait_ready();
    record.line("the initiator is ready");

    let Ok(mut kept) = TcpStream::connect(initiator.address) else { not_run("cannot connect") };
    let _ = kept.set_nodelay(true);
    let _ = kept.set_read_timeout(Some(Duration::from_millis(4600)));
    let mut kept_reader = Reader::default();
    let (mut broken, mut both_served, mut left_out) = (Vec::new(), 0, 0);
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(60));
        let shard = round % TARGETS;
        // The second client reads something first, on the connection that it keeps.
        let read = kept.write_all(&read_request(&format!("{round:08x}00000000"), round, shard));
        if read.is_err() || kept_reader.read(&mut kept).is_err() {
            not_run("a read on the kept connection has no answer");
        }
        thread::sleep(Duration::from_millis(30));
        let held = Instant::now();
        if trouble() {
            signal(&initiator.child, SIGSTOP);
        }
        thread::sleep(Duration::from_millis(20));
        let (path, one) = write_request(&format!("{round:08x}00000001"), round, shard, "first");
        let (_, two) = write_request(&format!("{round:08x}00000002"), round, shard, "second");
        let Ok(mut new) = TcpStream::connect(initiator.address) else { not_run("cannot connect") };
        let _ = new.set_nodelay(true);
        let _ = new.set_read_timeout(Some(Duration::from_millis(4600)));
        let is_written = new.write_all(&one).is_ok();
        record.line(&format!("first client: wrote {round:08x}00000001 on a new connection: {is_written}"));
        thread::sleep(Duration::from_millis(30));
        let is_written = kept.write_all(&two).is_ok();
        record.line(&format!("second client: wrote {round:08x}00000002 on its kept connection: {is_written}"));
        sleep_until(held + ms(HELD_MS));
        if trouble() {
            signal(&initiator.child, SIGCONT);
        }
        let held_ms = held.elapsed().as_secs_f64() * 1e3;
        let first = Reader::default().read(&mut new).map_or(0, |answer| answer.status());
        let second = kept_reader.read(&mut kept).map_or(0, |answer| answer.status());
        record.line(&format!("held up {held_ms:.1} ms; first client gets {first}, second client gets {second}"));
        if trouble() && held_ms > MOST_HELD_MS {
            left_out += 1;
            continue;
        }
        both_served += u64::from(first == 200 && second == 200);
        let order = stored.lock().unwrap().get(&path).cloned().unwrap_or_default();
        if order == ["second", "first"] {
            broken.push(format!(
                "BROKEN: {path} got {order:?}; the first was taken 30 ms before the second; answers {first}, {second}"
            ));
        }
    }
    let alive = initiator.child.try_wait().ok().flatten().is_none();
    initiator.end();
    broken.iter().for_each(|line| record.line(line));
    record.say(&format!(
        "{ROUNDS} rounds, {left_out} left out (held up too long), both writes served in {both_served}; initiator alive {alive}"
    ));
    broken.iter().take(3).for_each(|line| println!("{line}"));
    if both_served < 20 {
        not_run("both writes were served in fewer than 20 rounds");
    }
    record.say(&format!("{} documents got their writes in the wrong order", broken.len()));
    std::process::exit(if broken.is_empty() { EXIT_HELD } else { EXIT_BROKEN });
}
