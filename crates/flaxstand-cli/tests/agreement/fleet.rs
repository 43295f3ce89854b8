//! Several processes of the program on loopback, a relay on every link between two of them, and what each one's log
//! says that it acted on.

use flaxstand_agree::agreement::{Reply, Report, Wish, Word};
use flaxstand_agree::book::{Book, Version};
use flaxstand_gateway::settings::read_rules;
use flaxstand_lab::relay::{Flow, Relay};
use flaxstand_proto::{Frame, Hello, Inbox, Role, VERSION, VERSION_OLDEST, encode};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long anything that is expected may take. Nothing waits for this to pass.
const BOUND: Duration = Duration::from_secs(40);
pub const LEASE_MS: u64 = 900;

/// What one process acted on from a moment on, by its own log.
#[derive(Clone, Debug, PartialEq)]
pub struct Acted {
    /// Seconds of the host's calendar.
    pub at: f64,
    /// `Floor`, `Alone(v)` or `Between(v, w)`.
    pub what: String,
    pub stage: u64,
}

pub struct Process {
    pub name: String,
    child: Option<Child>,
    listen: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    acted: Arc<Mutex<Vec<Acted>>>,
}

/// The processes of a site.
pub struct Fleet {
    folder: PathBuf,
    pub all: Vec<Process>,
    keepers: usize,
    relays: BTreeMap<(usize, usize), Relay>,
    /// When a process stood still: which, from when, to when.
    pauses: Vec<(usize, f64, f64)>,
}

pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64()
}

/// A port to listen at, also again after a restart: on an address of loopback from which no call is made, so that
/// none of the system's calls takes it meanwhile.
fn free(i: usize) -> SocketAddr {
    let near = std::process::id() % 200;
    TcpListener::bind((Ipv4Addr::new(127, 77, near as u8, i as u8 + 1), 0)).unwrap().local_addr().unwrap()
}

/// What all initiators of the test share.
pub fn shared(limit: u64, effect: &str) -> String {
    format!(
        "site {{\n initiators 9\n max-attempts 2\n}}\n\
         class \"read\" {{\n effect {effect:?}\n aim-ms 100\n deadline-ms 500\n}}\n\
         plan \"gold\" {{\n limit-rate {limit}\n limit-burst {limit}\n}}\n\
         floor {{\n set \"plan.gold.limit-rate\" 1\n set \"plan.gold.limit-burst\" 1\n}}\n"
    )
}

impl Fleet {
    /// `keepers` of `count` processes are keepers; all start.
    pub fn start(name: &str, keepers: usize, count: usize) -> Fleet {
        let folder = std::env::temp_dir().join(format!("flaxstand-agree-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let process = |i: usize| Process {
            name: format!("i{i}"),
            child: None,
            listen: free(i),
            log: Arc::default(),
            acted: Arc::default(),
        };
        let all: Vec<Process> = (0..count).map(process).collect();
        let mut relays = BTreeMap::new();
        for i in 0..count {
            for j in (0..count).filter(|j| *j != i) {
                relays.insert((i, j), Relay::start(all[j].listen).unwrap());
            }
        }
        let mut fleet = Fleet { folder, all, keepers, relays, pauses: Vec::new() };
        (0..count).for_each(|i| fleet.write_settings(i));
        (0..count).for_each(|i| fleet.run(i));
        fleet
    }

    pub fn file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("i{i}.kdl"))
    }

    pub fn own_folder(&self, i: usize) -> PathBuf {
        self.folder.join(format!("i{i}"))
    }

    fn write_settings(&self, i: usize) {
        let folder = self.folder.display();
        let kind = |j: usize| if j < self.keepers { "keeper" } else { "initiator" };
        // Each is told of the others at the relays on its own links.
        let at = |j: usize| self.relays.get(&(i, j)).map_or(self.all[j].listen, Relay::address);
        let others: String =
            (0..self.all.len()).map(|j| format!(" {} \"i{j}\" at=\"{}\"\n", kind(j), at(j))).collect();
        let text = format!(
            "initiator \"i{i}\" {{\n listen \"unix:{folder}/i{i}.sock\"\n list \"unix:{folder}/none.sock\"\n seed {i}\n}}\n\
             {}agreement {{\n listen \"{}\"\n folder \"{}\"\n lease-ms {LEASE_MS}\n election-ms 250\n{others}}}\n",
            shared(100, "repeatable"),
            self.all[i].listen,
            self.own_folder(i).display(),
        );
        std::fs::write(self.file(i), text).unwrap();
    }

    pub fn run(&mut self, i: usize) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_flaxstand"))
            .args(["run", "--with-parent", "--config"])
            .arg(self.file(i))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (log, acted) = (Arc::clone(&self.all[i].log), Arc::clone(&self.all[i].acted));
        if !line.starts_with("ready ") {
            let said: Vec<String> = stderr.lines().map_while(Result::ok).collect();
            panic!("i{i} did not start: {line:?} {said:?}");
        }
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                acted.lock().unwrap().extend(acted_of(&line));
                log.lock().unwrap().push(line);
            }
        });
        self.all[i].child = Some(child);
    }

    fn signal(&self, i: usize, signal: Signal) {
        if let Some(child) = &self.all[i].child {
            kill_process(Pid::from_child(child), signal).unwrap();
        }
    }

    /// SIGKILL: what it acted on ends with it.
    pub fn kill(&mut self, i: usize) {
        self.end(i, Signal::KILL);
    }

    /// SIGTERM, and waits for its end.
    pub fn stop(&mut self, i: usize) {
        self.end(i, Signal::TERM);
    }

    fn end(&mut self, i: usize, signal: Signal) {
        self.signal(i, signal);
        if let Some(mut child) = self.all[i].child.take() {
            child.wait().unwrap();
            self.all[i].acted.lock().unwrap().push(Acted { at: now(), what: "Gone".into(), stage: 0 });
        }
    }

    pub fn pause(&mut self, i: usize) -> f64 {
        self.signal(i, Signal::STOP);
        now()
    }

    pub fn go_on(&mut self, i: usize, since: f64) {
        self.pauses.push((i, since, now()));
        self.signal(i, Signal::CONT);
    }

    /// One direction: what `from` says does not reach `to`, on whichever connection.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.relays[&(from, to)].set(Flow::Stall, Flow::Pass);
        self.relays[&(to, from)].set(Flow::Pass, Flow::Stall);
    }

    pub fn cut(&self, a: usize, b: usize) {
        self.link(a, b, Flow::Stall);
    }

    pub fn link(&self, a: usize, b: usize, flow: Flow) {
        self.relays[&(a, b)].set(flow, flow);
        self.relays[&(b, a)].set(flow, flow);
    }

    /// Breaks the connections that stand between two now.
    pub fn reset(&self, a: usize, b: usize) {
        self.relays[&(a, b)].reset();
        self.relays[&(b, a)].reset();
    }

    pub fn isolate(&self, i: usize) {
        (0..self.all.len()).filter(|j| *j != i).for_each(|j| self.cut(i, j));
    }

    pub fn heal(&self) {
        for relay in self.relays.values() {
            relay.set(Flow::Pass, Flow::Pass);
        }
    }

    /// An operator's word to one initiator.
    pub fn say(&self, i: usize, wish: &Wish) -> Option<Reply> {
        ask(self.all[i].listen, wish).ok()?
    }

    pub fn report(&self, i: usize) -> Option<Box<Report>> {
        match self.say(i, &Wish::Status)? {
            Reply::Status(report) => Some(report),
            _ => None,
        }
    }

    pub fn book(&self, i: usize) -> Option<Book> {
        match self.say(i, &Wish::Book)? {
            Reply::Book(book) => book.map(|b| b.1),
            _ => None,
        }
    }

    /// Waits for something; tells what it saw last if that does not come.
    #[track_caller]
    pub fn until<T>(&self, what: &str, mut look: impl FnMut(&Fleet) -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = look(self) {
                return found;
            }
            if started.elapsed() > BOUND {
                let reports: Vec<_> = (0..self.all.len()).map(|i| self.report(i)).collect();
                let logs: Vec<String> = self.all.iter().map(|p| p.tail(25)).collect();
                panic!("waited in vain for {what}: {reports:#?}\n{}", logs.join("\n"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Who leads, once somebody does of those asked.
    #[track_caller]
    pub fn leader_of(&self, some: &[usize]) -> usize {
        self.until("a leader", |f| {
            some.iter().copied().find(|i| {
                f.report(*i).is_some_and(|r| {
                    r.leader.as_ref() == Some(&r.name) && r.keeper.as_deref() == Some("leader")
                })
            })
        })
    }

    #[track_caller]
    pub fn leader(&self) -> usize {
        let all: Vec<usize> = (0..self.keepers).collect();
        self.leader_of(&all)
    }

    /// Proposes by whichever keeper leads, until it is taken. The version's number.
    #[track_caller]
    pub fn propose(&self, base: u64, text: &str) -> u64 {
        let wish = Wish::Propose(base, version(text));
        self.until("a proposal to be agreed on", |f| {
            (0..f.keepers).find_map(|i| match f.say(i, &wish)? {
                Reply::Agreed(number) => Some(number),
                // It was taken, and its answer lost with its leader.
                Reply::Refused(why) if why.contains("is under way") || why.contains("is in force") => {
                    let book = f.book(i)?;
                    let ours = |v: &Version| v.text == text && v.number > base;
                    book.next.iter().chain([&book.acting]).find(|v| ours(v)).map(|v| v.number)
                }
                _ => None,
            })
        })
    }

    /// Waits until some act on one version alone.
    #[track_caller]
    pub fn until_acting(&self, some: &[usize], what: &str) {
        self.until(&format!("{some:?} to act on {what}"), |f| {
            some.iter().all(|i| f.all[*i].acts().is_some_and(|a| a.what == what)).then_some(())
        });
    }

    pub fn everyone(&self) -> Vec<usize> {
        (0..self.all.len()).collect()
    }

    pub fn command(&self, i: usize, arguments: &[&str]) -> Output {
        let file = self.file(i);
        let mut all = vec!["settings", "--config", file.to_str().unwrap()];
        all.extend(arguments);
        Command::new(env!("CARGO_BIN_EXE_flaxstand")).args(all).stdin(Stdio::null()).output().unwrap()
    }

    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// The longest time for which two processes acted on rules that contradict each other, seconds, and which two:
    /// rules of stages that do not follow each other. The floor contradicts nothing; who stands still acts on nothing.
    pub fn contradiction(&self) -> (f64, String) {
        let mut worst = (0.0, String::new());
        let spans: Vec<Vec<(f64, f64, u64)>> = (0..self.all.len()).map(|i| self.spans(i)).collect();
        for i in 0..spans.len() {
            for j in i + 1..spans.len() {
                for (from, to, stage) in &spans[i] {
                    for (other_from, other_to, other) in &spans[j] {
                        let together = to.min(*other_to) - from.max(*other_from);
                        if stage.abs_diff(*other) > 1 && together > worst.0 {
                            worst = (together, format!("i{i} on stage {stage} and i{j} on stage {other}"));
                        }
                    }
                }
            }
        }
        worst
    }

    /// When a process acted on which stage with a lease, less the time for which it stood still.
    fn spans(&self, i: usize) -> Vec<(f64, f64, u64)> {
        let acted = self.all[i].acted.lock().unwrap().clone();
        let mut spans = Vec::new();
        for (at, a) in acted.iter().enumerate() {
            let until = acted.get(at + 1).map_or(now(), |next| next.at);
            if a.what == "Floor" || a.what == "Gone" {
                continue;
            }
            let mut pieces = vec![(a.at, until)];
            for (_, from, to) in self.pauses.iter().filter(|(p, ..)| *p == i) {
                pieces = pieces
                    .into_iter()
                    .flat_map(|(s, e)| [(s, e.min(*from)), (s.max(*to), e)])
                    .filter(|(s, e)| e > s)
                    .collect();
            }
            spans.extend(pieces.into_iter().map(|(s, e)| (s, e, a.stage)));
        }
        spans
    }

    /// Fails if two acted on rules that contradict each other for longer than the settings allow.
    #[track_caller]
    pub fn no_contradiction(&self) {
        let terms = flaxstand_agree::agreement::Terms::of(LEASE_MS as f64, 0.001, 250.0);
        let (longest, who) = self.contradiction();
        assert!(longest * 1000.0 <= terms.contradiction_ms, "{longest} s: {who}");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.all {
            if let Some(mut child) = process.child.take() {
                let _ = kill_process(Pid::from_child(&child), Signal::CONT);
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Process {
    /// What it acts on now, by its log.
    pub fn acts(&self) -> Option<Acted> {
        self.acted.lock().unwrap().last().cloned()
    }

    pub fn acted(&self) -> Vec<Acted> {
        self.acted.lock().unwrap().clone()
    }

    pub fn logged(&self, what: &str) -> bool {
        self.log.lock().unwrap().iter().any(|l| l.contains(what))
    }

    fn tail(&self, lines: usize) -> String {
        let log = self.log.lock().unwrap();
        let from = log.len().saturating_sub(lines);
        format!("--- {}\n{}", self.name, log[from..].join("\n"))
    }
}

/// The passage that a line of the log tells.
fn acted_of(line: &str) -> Option<Acted> {
    let (head, rest) = line.split_once(" INFO rules ")?;
    let at = seconds(head.trim())?;
    let what = rest.split_once("to=")?.1;
    let end = what.find(" stage=")?;
    let stage = what[end + 7..].split_whitespace().next()?.parse().ok()?;
    Some(Acted { at, what: what[..end].to_owned(), stage })
}

/// Seconds since 1970 of a log's `2026-12-02T00:46:34.581734Z`; within one day of now.
fn seconds(stamp: &str) -> Option<f64> {
    let time = stamp.split_once('T')?.1.strip_suffix('Z')?;
    let mut parts = time.split(':').map(|p| p.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    let today = now();
    let in_day = h * 3600.0 + m * 60.0 + s;
    let day = ((today - in_day) / 86_400.0).round() * 86_400.0;
    Some(day + in_day)
}

pub fn version(text: &str) -> Version {
    let rules = read_rules("proposed", text).unwrap();
    Version { number: 0, rules, text: text.to_owned(), by: "a test".into(), at: (now() * 1e6) as u64 }
}

/// One word to an initiator, and its answer.
pub fn ask(to: SocketAddr, wish: &Wish) -> std::io::Result<Option<Reply>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let (role, versions) = (Role::Client, (VERSION_OLDEST, VERSION));
    let mut bytes = Vec::new();
    encode(&Frame::Hello(Hello { role, versions, id: 0, epoch: 0, name: "test" }), &mut bytes);
    let word = postcard::to_stdvec(&Word::Wish(wish.clone())).unwrap();
    encode(&Frame::Agreement { bytes: &word }, &mut bytes);
    stream.write_all(&bytes)?;
    let (mut inbox, mut buffer, mut found) = (Inbox::default(), [0; 64 * 1024], None);
    while found.is_none() {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        let fed = inbox.feed(&buffer[..count], |frame| {
            if let Frame::Agreement { bytes } = frame
                && let Ok(Word::Reply(reply)) = postcard::from_bytes(bytes)
            {
                found = Some(reply);
            }
            true
        });
        if fed.is_err() {
            break;
        }
    }
    Ok(found)
}

/// Copies a folder as it lies there.
pub fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}
