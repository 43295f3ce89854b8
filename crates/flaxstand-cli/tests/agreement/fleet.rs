//! Several processes of the program on loopback, a relay on every link between two of them, and what each one's log
//! says that it acted on.

use flaxstand_consensus::participant::{OperatorReply, OperatorRequest, RolloutBounds, StatusReport};
use flaxstand_consensus::replicated_state::{ReplicatedState, Version};
use flaxstand_gateway::machine::Micros;
use flaxstand_gateway::settings::read_rules;
use flaxstand_simulation::agreed::{
    ActiveRules, AgreementSettings, LinkRelays, Pause, active_intervals, contradiction, parse_rules_event,
    send_operator_request, unix_time,
};
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long anything that is expected may take. Nothing waits for this to pass.
const BOUND: Duration = Duration::from_secs(40);
pub const LEASE_MS: u64 = 900;
const ELECTION_MS: u64 = 250;
const ERROR: f64 = 0.001;

pub struct Process {
    pub name: String,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    acted: Arc<Mutex<Vec<ActiveRules>>>,
}

/// The processes of a site.
pub struct Fleet {
    folder: PathBuf,
    pub all: Vec<Process>,
    keepers: usize,
    /// A relay on each link between two.
    pub links: LinkRelays,
    /// When a process stood still: which, from when, to when.
    pauses: Vec<(usize, f64, f64)>,
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
        let folder = std::env::temp_dir().join(format!("flaxstand-consensus-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let process = |i: usize| Process {
            name: format!("i{i}"),
            child: None,
            log: Arc::default(),
            acted: Arc::default(),
        };
        let all: Vec<Process> = (0..count).map(process).collect();
        let links = LinkRelays::new(count).unwrap();
        let mut fleet = Fleet { folder, all, keepers, links, pauses: Vec::new() };
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
        let ms = |n: u64| Micros(n * 1000);
        let (keepers, lease, election) = (self.keepers as u32, ms(LEASE_MS), ms(ELECTION_MS));
        let accord = AgreementSettings { keepers, lease, election, clock_error: ERROR };
        let text = format!(
            "initiator \"i{i}\" {{\n listen \"unix:{folder}/i{i}.sock\"\n list \"unix:{folder}/none.sock\"\n seed {i}\n}}\n\
             {}{}",
            shared(100, "repeatable"),
            self.links.settings(i, &accord, |j| format!("i{j}"), &self.own_folder(i)),
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
                acted.lock().unwrap().extend(parse_rules_event(&line));
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
            self.all[i].acted.lock().unwrap().push(ActiveRules {
                at: unix_time(),
                what: "Gone".into(),
                stage: 0,
            });
        }
    }

    pub fn pause(&mut self, i: usize) -> f64 {
        self.signal(i, Signal::STOP);
        unix_time()
    }

    pub fn go_on(&mut self, i: usize, since: f64) {
        self.pauses.push((i, since, unix_time()));
        self.signal(i, Signal::CONT);
    }

    /// An operator's word to one initiator.
    pub fn say(&self, i: usize, operator_request: &OperatorRequest) -> Option<OperatorReply> {
        send_operator_request(self.links.listen(i), operator_request).ok()?
    }

    pub fn report(&self, i: usize) -> Option<Box<StatusReport>> {
        match self.say(i, &OperatorRequest::Status)? {
            OperatorReply::Status(report) => Some(report),
            _ => None,
        }
    }

    pub fn book(&self, i: usize) -> Option<ReplicatedState> {
        match self.say(i, &OperatorRequest::ReplicatedState)? {
            OperatorReply::ReplicatedState(book) => book.map(|known| known.state),
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
                    r.leader.as_ref() == Some(&r.name) && r.replica.as_deref() == Some("leader")
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
        let operator_request = OperatorRequest::Propose { base, version: version(text) };
        self.until("a proposal to be agreed on", |f| {
            (0..f.keepers).find_map(|i| match f.say(i, &operator_request)? {
                OperatorReply::Committed(number) => Some(number),
                // It was taken, and its answer lost with its leader.
                OperatorReply::Refused(why)
                    if why.contains("is under way") || why.contains("is in force") =>
                {
                    let book = f.book(i)?;
                    let ours = |v: &Version| v.text == text && v.number > base;
                    book.next.iter().chain([&book.in_force]).find(|v| ours(v)).map(|v| v.number)
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

    /// The longest time for which two processes acted on rules that contradict each other, seconds, and which two.
    pub fn contradiction(&self) -> (f64, String) {
        let of = |i: usize| {
            let pauses: Vec<Pause> =
                self.pauses.iter().filter(|(p, ..)| *p == i).map(|(_, a, b)| (*a, *b)).collect();
            active_intervals(&self.all[i].acted(), &pauses, unix_time())
        };
        contradiction(&(0..self.all.len()).map(of).collect::<Vec<_>>())
    }

    /// Fails if two acted on rules that contradict each other for longer than the settings allow.
    #[track_caller]
    pub fn no_contradiction(&self) {
        let terms = RolloutBounds::of(LEASE_MS as f64, ERROR, ELECTION_MS as f64);
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
    pub fn acts(&self) -> Option<ActiveRules> {
        self.acted.lock().unwrap().last().cloned()
    }

    pub fn acted(&self) -> Vec<ActiveRules> {
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

pub fn version(text: &str) -> Version {
    let rules = read_rules("proposed", text).unwrap();
    Version { number: 0, rules, text: text.to_owned(), by: "a test".into(), at: (unix_time() * 1e6) as u64 }
}

/// Copies a folder as it lies there.
pub fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}
