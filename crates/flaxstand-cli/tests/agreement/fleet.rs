//! A fleet of initiator processes on loopback, with a relay on each link between two of them. The rules that
//! each process acts on are taken from its log.

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

/// Maximum time for an expected event; a passing test never waits for it to elapse.
const EVENT_TIMEOUT: Duration = Duration::from_secs(40);
pub const LEASE_MS: u64 = 900;
const ELECTION_MS: u64 = 250;
const MAX_CLOCK_DRIFT: f64 = 0.001;

pub struct Process {
    pub name: String,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    transitions: Arc<Mutex<Vec<ActiveRules>>>,
}

/// The processes of a site.
pub struct Fleet {
    folder: PathBuf,
    pub all: Vec<Process>,
    voters: usize,
    /// One relay per link between two processes.
    pub links: LinkRelays,
    /// Pauses of processes: index, start and end in seconds.
    pauses: Vec<(usize, f64, f64)>,
}

/// Settings that all initiators of a test share.
pub fn shared_settings(limit: u64, effect: &str) -> String {
    format!(
        "site {{\n initiators 9\n max-attempts 2\n}}\n\
         class \"read\" {{\n effect {effect:?}\n aim-ms 100\n deadline-ms 500\n}}\n\
         plan \"gold\" {{\n limit-rate {limit}\n limit-burst {limit}\n}}\n\
         floor {{\n set \"plan.gold.limit-rate\" 1\n set \"plan.gold.limit-burst\" 1\n}}\n"
    )
}

impl Fleet {
    /// Starts `count` processes, of which the first `voters` are voters.
    pub fn start(name: &str, voters: usize, count: usize) -> Fleet {
        let folder = std::env::temp_dir().join(format!("flaxstand-consensus-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let process = |i: usize| Process {
            name: format!("i{i}"),
            child: None,
            log: Arc::default(),
            transitions: Arc::default(),
        };
        let all: Vec<Process> = (0..count).map(process).collect();
        let links = LinkRelays::new(count).unwrap();
        let mut fleet = Fleet { folder, all, voters, links, pauses: Vec::new() };
        (0..count).for_each(|i| fleet.write_settings(i));
        (0..count).for_each(|i| fleet.start_process(i));
        fleet
    }

    pub fn settings_path(&self, i: usize) -> PathBuf {
        self.folder.join(format!("i{i}.kdl"))
    }

    pub fn state_folder(&self, i: usize) -> PathBuf {
        self.folder.join(format!("i{i}"))
    }

    fn write_settings(&self, i: usize) {
        let folder = self.folder.display();
        let ms = |n: u64| Micros(n * 1000);
        let (keepers, lease, election) = (self.voters as u32, ms(LEASE_MS), ms(ELECTION_MS));
        let accord = AgreementSettings { keepers, lease, election, clock_error: MAX_CLOCK_DRIFT };
        let text = format!(
            "initiator \"i{i}\" {{\n listen \"unix:{folder}/i{i}.sock\"\n list \"unix:{folder}/none.sock\"\n seed {i}\n}}\n\
             {}{}",
            shared_settings(100, "repeatable"),
            self.links.settings(i, &accord, |j| format!("i{j}"), &self.state_folder(i)),
        );
        std::fs::write(self.settings_path(i), text).unwrap();
    }

    pub fn start_process(&mut self, i: usize) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_flaxstand"))
            .args(["run", "--with-parent", "--config"])
            .arg(self.settings_path(i))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (log, transitions) = (Arc::clone(&self.all[i].log), Arc::clone(&self.all[i].transitions));
        if !line.starts_with("ready ") {
            let output: Vec<String> = stderr.lines().map_while(Result::ok).collect();
            panic!("i{i} did not start: {line:?} {output:?}");
        }
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                transitions.lock().unwrap().extend(parse_rules_event(&line));
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

    /// Kills a process with SIGKILL and records that it stops acting on any rules.
    pub fn kill(&mut self, i: usize) {
        self.end(i, Signal::KILL);
    }

    /// Stops a process with SIGTERM and waits until it has exited.
    pub fn stop(&mut self, i: usize) {
        self.end(i, Signal::TERM);
    }

    fn end(&mut self, i: usize, signal: Signal) {
        self.signal(i, signal);
        if let Some(mut child) = self.all[i].child.take() {
            child.wait().unwrap();
            self.all[i].transitions.lock().unwrap().push(ActiveRules {
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

    pub fn resume(&mut self, i: usize, since: f64) {
        self.pauses.push((i, since, unix_time()));
        self.signal(i, Signal::CONT);
    }

    /// Sends an operator request to one initiator; returns `None` if it does not answer.
    pub fn request(&self, i: usize, operator_request: &OperatorRequest) -> Option<OperatorReply> {
        send_operator_request(self.links.listen(i), operator_request).ok()?
    }

    pub fn report(&self, i: usize) -> Option<Box<StatusReport>> {
        match self.request(i, &OperatorRequest::Status)? {
            OperatorReply::Status(report) => Some(report),
            _ => None,
        }
    }

    pub fn replicated_state(&self, i: usize) -> Option<ReplicatedState> {
        match self.request(i, &OperatorRequest::ReplicatedState)? {
            OperatorReply::ReplicatedState(state) => state.map(|indexed| indexed.state),
            _ => None,
        }
    }

    /// Calls `poll` until it returns a value; panics after the time-out with the status and log of each process.
    #[track_caller]
    pub fn wait_for<T>(&self, what: &str, mut poll: impl FnMut(&Fleet) -> Option<T>) -> T {
        let started = Instant::now();
        loop {
            if let Some(found) = poll(self) {
                return found;
            }
            if started.elapsed() > EVENT_TIMEOUT {
                let reports: Vec<_> = (0..self.all.len()).map(|i| self.report(i)).collect();
                let logs: Vec<String> = self.all.iter().map(|p| p.tail(25)).collect();
                panic!("timed out waiting for {what}: {reports:#?}\n{}", logs.join("\n"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until one of these initiators leads and returns its index.
    #[track_caller]
    pub fn leader_among(&self, some: &[usize]) -> usize {
        self.wait_for("a leader", |f| {
            some.iter().copied().find(|i| {
                f.report(*i).is_some_and(|r| {
                    r.leader.as_ref() == Some(&r.name) && r.replica.as_deref() == Some("leader")
                })
            })
        })
    }

    #[track_caller]
    pub fn leader(&self) -> usize {
        let all: Vec<usize> = (0..self.voters).collect();
        self.leader_among(&all)
    }

    /// Proposes a version through the current leader until it is committed; returns the number of the
    /// version.
    #[track_caller]
    pub fn propose(&self, base: u64, text: &str) -> u64 {
        let operator_request = OperatorRequest::Propose { base, version: version(text) };
        self.wait_for("a proposal to be committed", |f| {
            (0..f.voters).find_map(|i| match f.request(i, &operator_request)? {
                OperatorReply::Committed(number) => Some(number),
                // The proposal was committed, but the reply was lost with the leader.
                OperatorReply::Refused(why)
                    if why.contains("is being rolled out") || why.contains("is in force") =>
                {
                    let state = f.replicated_state(i)?;
                    let is_proposed = |v: &Version| v.text == text && v.number > base;
                    state.next.iter().chain([&state.in_force]).find(|v| is_proposed(v)).map(|v| v.number)
                }
                _ => None,
            })
        })
    }

    /// Waits until these initiators act on `what`, for example `Version(2)`.
    #[track_caller]
    pub fn wait_until_acting(&self, some: &[usize], what: &str) {
        self.wait_for(&format!("{some:?} to act on {what}"), |f| {
            some.iter().all(|i| f.all[*i].active_rules().is_some_and(|a| a.what == what)).then_some(())
        });
    }

    pub fn all_indices(&self) -> Vec<usize> {
        (0..self.all.len()).collect()
    }

    pub fn command(&self, i: usize, arguments: &[&str]) -> Output {
        let file = self.settings_path(i);
        let mut all = vec!["settings", "--config", file.to_str().unwrap()];
        all.extend(arguments);
        Command::new(env!("CARGO_BIN_EXE_flaxstand")).args(all).stdin(Stdio::null()).output().unwrap()
    }

    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Returns the longest time in seconds for which two processes acted on contradicting rules, and which
    /// two.
    pub fn contradiction(&self) -> (f64, String) {
        let of = |i: usize| {
            let pauses: Vec<Pause> =
                self.pauses.iter().filter(|(p, ..)| *p == i).map(|(_, a, b)| (*a, *b)).collect();
            active_intervals(&self.all[i].transitions(), &pauses, unix_time())
        };
        contradiction(&(0..self.all.len()).map(of).collect::<Vec<_>>())
    }

    /// Asserts that no two processes acted on contradicting rules for longer than the rollout bounds allow.
    #[track_caller]
    pub fn assert_contradictions_within_bound(&self) {
        let bounds = RolloutBounds::of(LEASE_MS as f64, MAX_CLOCK_DRIFT, ELECTION_MS as f64);
        let (longest, who) = self.contradiction();
        assert!(longest * 1000.0 <= bounds.contradiction_ms, "{longest} s: {who}");
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
    /// Returns the rules that the process acts on now, according to its log.
    pub fn active_rules(&self) -> Option<ActiveRules> {
        self.transitions.lock().unwrap().last().cloned()
    }

    pub fn transitions(&self) -> Vec<ActiveRules> {
        self.transitions.lock().unwrap().clone()
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

/// Copies the files of a folder.
pub fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        std::fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}
