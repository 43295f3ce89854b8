//! What the cases share: a record, a small HTTP/1.1 reader, a discovery service, and the initiator's process.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Kills a process that this test started.
pub fn kill_process(pid: u32) {
    unsafe { kill(pid as i32, 9) };
}

/// Sends a signal to a process that this test started.
pub fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

/// The record of a run: one line an event, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| not_run(&format!("cannot write {path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }
    pub fn now(&self) -> f64 {
        self.ms(Instant::now())
    }
    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.2} {text}");
    }
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(EXIT_NOT_RUN);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A small random generator; the seed is printed in the record.
pub struct Random(u64);
impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

pub fn sleep_until(at: Instant) {
    let now = Instant::now();
    if at > now {
        thread::sleep(at - now);
    }
}

pub fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1e3)
}

/// A message that was read: head line and fields (names in lower case), and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
}

/// Why no message was read.
#[derive(Debug)]
pub enum NoMessage {
    /// The stream ended between messages.
    End,
    /// The stream ended or broke inside a message, or the message makes no sense.
    Broken(String),
    TimedOut,
}

/// Reads messages from a connection; keeps what came behind a message for the next one.
#[derive(Default)]
pub struct Reader {
    pub held: Vec<u8>,
}

impl Reader {
    pub fn read(&mut self, stream: &mut TcpStream) -> Result<Message, NoMessage> {
        let mut buffer = [0u8; 65536];
        loop {
            if let Some(message) = self.take()? {
                return Ok(message);
            }
            match stream.read(&mut buffer) {
                Ok(0) if self.held.is_empty() => return Err(NoMessage::End),
                Ok(0) => return Err(NoMessage::Broken("the stream ended inside a message".into())),
                Ok(n) => self.held.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock || e.kind() == std::io::ErrorKind::TimedOut => {
                    return Err(NoMessage::TimedOut);
                }
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => return Err(NoMessage::Broken(e.to_string())),
            }
        }
    }

    fn take(&mut self) -> Result<Option<Message>, NoMessage> {
        let Some(end) = self.held.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(None) };
        let head = String::from_utf8_lossy(&self.held[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let mut fields = BTreeMap::new();
        for field in lines {
            if let Some((name, value)) = field.split_once(':') {
                fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length: usize = match fields.get("content-length") {
            None => 0,
            Some(text) => text.parse().map_err(|_| NoMessage::Broken(format!("length {text}")))?,
        };
        if self.held.len() < end + 4 + length {
            return Ok(None);
        }
        let body = self.held[end + 4..end + 4 + length].to_vec();
        self.held.drain(..end + 4 + length);
        Ok(Some(Message { line, fields, body }))
    }
}

pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        400 => "Bad Request",
        _ => "Unavailable",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| not_run(&format!("cannot listen: {e}")))
}

/// An address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub shard: u32,
    pub state: &'static str,
    pub boot_ms: u64,
    changed_at: u64,
}

impl Entry {
    pub fn up(uid: &str, endpoint: SocketAddr, zone: &str, shard: u32) -> Entry {
        Entry { uid: uid.into(), endpoint, zone: zone.into(), shard, state: "up", boot_ms: 0, changed_at: 0 }
    }
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"small-2c","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.zone, self.shard, self.state, self.boot_ms
        )
    }
}

struct DiscoveryState {
    revision: u64,
    entries: Vec<Entry>,
}

/// A discovery service that answers calls and watches as the page says. `delay` holds back each answer.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// The service works through calls one after another; each takes this long.
    pub work: Arc<Mutex<Duration>>,
    turn: Arc<Mutex<()>>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = listen();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(DiscoveryState { revision: 41, entries }), Condvar::new())),
            work: Arc::new(Mutex::new(Duration::ZERO)),
            turn: Arc::new(Mutex::new(())),
            record: record.clone(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes one entry.
    pub fn change(&self, uid: &str, change: impl FnOnce(&mut Entry)) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if let Some(entry) = state.entries.iter_mut().find(|entry| entry.uid == uid) {
            change(entry);
            entry.changed_at = revision;
            self.record.line(&format!("discovery: rev {revision} {}", entry.json()));
        }
        changed.notify_all();
    }

    /// The whole list, as the configuration's `known`.
    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        Self::list(&state, None)
    }

    fn list(state: &DiscoveryState, since: Option<u64>) -> String {
        let entries = state.entries.iter().filter(|entry| since.is_none_or(|since| entry.changed_at > since));
        let entries: Vec<String> = entries.map(Entry::json).collect();
        let is_full = since.is_none();
        format!(r#"{{"rev":{},"all":{},"targets":[{}]}}"#, state.revision, is_full, entries.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(request) = reader.read(&mut stream) {
            let query = request.path().split('?').nth(1).unwrap_or("").to_owned();
            let number = |name: &str| {
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (since, wait) = (number("since"), number("timeout_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + Duration::from_millis(wait);
            let (state, changed) = &*self.state;
            let mut held = state.lock().unwrap();
            while since.is_some_and(|since| held.revision <= since) {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                held = changed.wait_timeout(held, left).unwrap().0;
            }
            drop(held);
            let work = *self.work.lock().unwrap();
            if !work.is_zero() {
                let _turn = self.turn.lock().unwrap();
                thread::sleep(work);
            }
            let body = Self::list(&state.lock().unwrap(), since);
            let is_written = stream.write_all(&response(200, &[], body.as_bytes())).is_ok();
            self.record.line(&format!("discovery: {} -> written {is_written} {} bytes", request.path(), body.len()));
            if !is_written {
                return;
            }
        }
    }
}

/// An initiator's process, started with the command of the deploy file.
pub struct Initiator {
    pub child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

/// Root of the repository: the stand-ins are started by `run.sh`, which sets it.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| not_run("ROOT is not set")))
}

/// The line `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))
        .unwrap_or_else(|e| not_run(&format!("deploy/balancer.toml: {e}")));
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).unwrap_or_else(|| not_run("no run line"));
    line.split('"').next().unwrap_or_default().to_owned()
}

impl Initiator {
    pub fn start(name: &str, discovery: SocketAddr, known: &str, settings: &str, limits: &str, record: &Record) -> Initiator {
        let address = free_address();
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| not_run("WORK is not set"))).join(name);
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| not_run(&e.to_string()));
        let initiator_config = configuration(name, address, discovery, known, settings, limits);
        let file = folder.join("config.json");
        std::fs::write(&file, initiator_config).unwrap_or_else(|e| not_run(&e.to_string()));
        let log = File::create(folder.join("log.txt")).unwrap_or_else(|e| not_run(&e.to_string()));
        let errors = log.try_clone().unwrap_or_else(|e| not_run(&e.to_string()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root());
        command.env("RELAY_NAME", name).env("RELAY_LISTEN", address.to_string());
        command.env("RELAY_DISCOVERY", discovery.to_string()).env("RELAY_CONFIG", &file).env("TMPDIR", &folder);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // The process ends with this one, however this one ends.
        unsafe { command.pre_exec(|| (prctl(PR_SET_PDEATHSIG, 9u64), Ok(())).1) };
        let child = command.spawn().unwrap_or_else(|e| not_run(&format!("cannot start: {e}")));
        record.line(&format!("initiator {name} started at {address}"));
        Initiator { child, address, folder }
    }

    /// Waits until `GET /ready` is 200.
    pub fn wait_ready(&mut self) {
        let by = Instant::now() + Duration::from_secs(10);
        while Instant::now() < by {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                if Reader::default().read(&mut stream).is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.end();
        not_run("the initiator is not ready within 10 s");
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Initiator {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn configuration(name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str, settings: &str, limits: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{limits},"known":{known},"settings":{settings}}}"#
    )
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of a small twin of addis-main. `balancers` initiators.
pub fn addis_settings(balancers: u32) -> String {
    format!(
        r#"{{"balancers":{balancers},"registryMode":"on_request","tickMs":2.0,
"classes":[
{{"name":"formula-read","aimMs":200.0,"deadlineMs":1500.0,"lateValue":0.15,"worth":2.0,"semantics":"repeatable","group":"all","dedupWindowMs":5000.0,"stream":false}},
{{"name":"batch-write","aimMs":250.0,"deadlineMs":1500.0,"lateValue":0.15,"worth":3.0,"semantics":"by_key","group":"cell","dedupWindowMs":1500.0,"stream":false}},
{{"name":"export-scan","aimMs":1000.0,"deadlineMs":3000.0,"lateValue":0.3,"worth":1.0,"semantics":"repeatable","group":"all","dedupWindowMs":5000.0,"stream":false}}],
"grades":[{{"name":"basic","baseRate":20.0,"floorRate":6.0,"price":0.96}},{{"name":"priority","baseRate":40.0,"floorRate":48.0,"price":1.0}}],
"caps":{{"maxAttempts":4,"maxRetryAfterMs":500.0,"retryAfter":true,"secondCopies":true,"cancel":true,"mayProbe":true,"dialTimeoutMs":250.0,"keepaliveMs":30000.0}},
"rules":{{"askWithinMs":5000.0,"coldFrom":0.16,"coldMs":18000.0,"fallMs":1500.0,"fallMultiple":2.0,"extraFloor":3.0,"furtherRatio":0.15,"budgetSpanMs":5000.0,"keyRestMs":0.0,"stopSendingWithinMs":1000.0}},
"familyInfo":{{"coldBears":8.0,"unitMean":2.5,"mostUnits":8.0,"fairWorth":0.3,"idleWorth":0.05}}}}"#
    )
}

pub const SMALL_LIMITS: &str = r#"{"cores":1.0,"memory_mb":128,"sockets":512}"#;
