//! Case 3: writes whose length is too small.
//!
//! Clients send a write in one go whose `Content-Length` is a few bytes less than its body. Such a client is
//! owed an error or a close; it must not be answered as if its request had run. With TROUBLE=0 the same clients
//! send the same bodies with the right length.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const TARGETS: u64 = 4;
/// Mean work of a write (`work_ms`, 25 to 40; `dist`, exp).
const WORK_MS: f64 = 30.0;
/// Clients with a wrong length, of each form.
const CLIENTS: u64 = 20;

/// Bodies as they are meant, and how many of their last bytes the length leaves out.
const FORMS: [(&str, &str, usize); 4] = [
    ("letters", "BATCH-RED-OXIDE-LINSEED-CHALK-UMBER-OCHRE-SIENNA", 12),
    ("one letter", "BATCH-RED-OXIDE-LINSEED-CHALK-UMBER-OCHRE-SIENNA", 1),
    ("line end", "red oxide 12\r\nlinseed oil 40\r\nchalk 7\r\nOCHRE", 7),
    ("digits", "0071 0012 0040 0007 0031 0099 0004 0023 0018 0055", 9),
];

type Received = Arc<Mutex<BTreeMap<String, Vec<u8>>>>;

fn serve(mut stream: TcpStream, uid: String, received: Received, record: Record, seed: u64) {
    let _ = stream.set_nodelay(true);
    let mut random = Random::new(seed);
    let mut reader = Reader::default();
    while let Ok(request) = reader.read(&mut stream) {
        if request.path() == "/health" {
            let _ = stream.write_all(&response(200, &[], b"up\n"));
            continue;
        }
        let id = request.field("x-request-id").to_owned();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        record.line(&format!("{uid}: runs {id} with a body of {} bytes: {text:?}", request.body.len()));
        received.lock().unwrap().insert(id.clone(), request.body.clone());
        thread::sleep(ms(random.exponential(WORK_MS)));
        if stream.write_all(&response(200, &[], format!("{uid} stored {id}\n").as_bytes())).is_err() {
            return;
        }
    }
}

fn request(client: u64, number: u64, body: &str, left_out: usize) -> (String, Vec<u8>) {
    let id = format!("{:08x}{number:08x}", client + 1);
    let head = format!(
        "PUT /api/{:016x}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: batch-write\r\nX-Qos-Policy: basic\r\nX-Timeout: 1.500\r\nIdempotency-Key: {id}\r\n\
         X-Placement: units=1,shard={},hosts=1\r\nContent-Length: {}\r\n\r\n",
        0x3b4d_60000 + client % 20,
        0x7f3a_0000 + number,
        client % TARGETS,
        body.len() - left_out
    );
    (id, [head.as_bytes(), body.as_bytes()].concat())
}

fn main() {
    let record = Record::create(&std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set")));
    record.line(&format!("trouble {}", trouble()));
    let received = Received::default();
    let mut entries = Vec::new();
    for shard in 0..TARGETS {
        let listener = listen();
        let uid = format!("s-{shard:08x}");
        entries.push(Entry::up(&uid, listener.local_addr().unwrap(), "hall-a", shard as u32));
        let (received, record) = (received.clone(), record.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (uid, received, record) = (uid.clone(), received.clone(), record.clone());
                let seed = 1000 * shard + number as u64 + 1;
                thread::spawn(move || serve(stream, uid, received, record, seed));
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
    let answers: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();

    // A usual client beside them; its lengths are right.
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
                let (_, bytes) = request(1_000_000, number, FORMS[0].1, 0);
                let answer = socket.write_all(&bytes).ok().and_then(|()| reader.read(socket).ok());
                let seen = answer.as_ref().map_or("none".into(), |answer| answer.status().to_string());
                *answers.lock().unwrap().entry(format!("usual client: {seen}")).or_default() += 1;
                if answer.is_none() {
                    stream = None;
                }
            }
        })
    };

    let mut broken = Vec::new();
    let mut number = 0;
    for round in 0..CLIENTS {
        for (form, body, left_out) in FORMS {
            number += 1;
            thread::sleep(Duration::from_millis(50));
            let left_out = if trouble() { left_out } else { 0 };
            let (id, bytes) = request(number, round, body, left_out);
            let Ok(mut stream) = TcpStream::connect(address) else { not_run("cannot connect") };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(3000)));
            record.line(&format!("client {id}: writes a body of {} bytes, length {}", body.len(), body.len() - left_out));
            let answer = stream.write_all(&bytes).ok().and_then(|()| Reader::default().read(&mut stream).ok());
            let status = answer.as_ref().map_or(0, Message::status);
            let seen = answer.as_ref().map_or("closed or nothing".into(), |answer| answer.status().to_string());
            record.line(&format!("client {id}: gets {seen}"));
            *answers.lock().unwrap().entry(format!("{form}, {left_out} left out: {seen}")).or_default() += 1;
            let stored = received.lock().unwrap().get(&id).map(Vec::len);
            if left_out > 0 && status == 200 {
                broken.push(format!(
                    "BROKEN: {id} ({form}) wrote {} bytes, its target ran it with {}, and it was answered 200",
                    body.len(),
                    stored.unwrap_or(0)
                ));
            }
        }
    }
    over.store(true, Ordering::Relaxed);
    let _ = usual.join();
    let alive = initiator.child.try_wait().ok().flatten().is_none();
    initiator.end();
    let answers = answers.lock().unwrap();
    broken.iter().for_each(|line| record.line(line));
    record.say(&format!("{answers:?}; initiator alive {alive}"));
    broken.iter().take(4).for_each(|line| println!("{line}"));
    if answers.get("usual client: 200").copied().unwrap_or(0) < 50 {
        not_run("fewer than 50 usual requests were served");
    }
    record.say(&format!("{} writes with a wrong length were answered as if they had run", broken.len()));
    std::process::exit(if broken.is_empty() { EXIT_HELD } else { EXIT_BROKEN });
}
