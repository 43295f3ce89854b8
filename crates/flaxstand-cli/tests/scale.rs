//! End-to-end tests of `flaxstand scale`: results, exit codes, and removal of its processes and files.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// The temporary folder of a run; its path in the environment identifies the processes of the run.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("flaxstand-scale-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
        command.arg("scale").args(arguments).env("TMPDIR", &self.0).stdin(Stdio::null());
        command
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Writes a plan with few processes and a duration of 600 s; returns its path.
    fn long_plan(&self) -> String {
        let text = short_plan().replace("seconds 2", "seconds 600");
        let path = self.0.join("long.kdl");
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Returns the ids of running processes that a run in this folder has started.
    fn processes(&self) -> Vec<String> {
        let name = self.0.display().to_string();
        let all = std::fs::read_dir("/proc").unwrap().flatten();
        let started_here = all.filter(|entry| {
            // Child processes inherit the environment of the run.
            std::fs::read(entry.path().join("environ"))
                .is_ok_and(|environ| String::from_utf8_lossy(&environ).contains(&format!("TMPDIR={name}")))
        });
        started_here.map(|entry| entry.file_name().to_string_lossy().into_owned()).collect()
    }

    fn files(&self) -> Vec<PathBuf> {
        std::fs::read_dir(&self.0).unwrap().flatten().map(|entry| entry.path()).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn short_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scale/short.kdl")
}

fn short_plan() -> String {
    std::fs::read_to_string(short_path()).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn find_by<'a>(entries: &'a Value, key: &str, name: &str) -> &'a Value {
    let found = entries.as_array().unwrap().iter().find(|one| one[key] == name);
    found.unwrap_or_else(|| panic!("no entry with {key} {name} in {entries}"))
}

#[test]
fn a_short_run_has_consistent_counts_and_leaves_no_processes_or_files() {
    let folder = Folder::new("short");
    let out = folder.run(&[&short_path().display().to_string(), "--json", "-"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    assert!(text(&out.stderr).contains("step 1 of 2: steady"), "{}", text(&out.stderr));
    let result: Value = serde_json::from_slice(&out.stdout).unwrap();
    let steps = result["steps"].as_array().unwrap();
    assert_eq!(steps.len(), 2);
    for step in steps {
        assert_eq!(step["does_not_fit"], serde_json::json!([]), "{step}");
        for (role, initiators) in [("leader", 1), ("keeper", 2), ("real", 1), ("hollow", 6)] {
            let figures = find_by(&step["roles"], "role", role);
            assert_eq!(figures["initiators"], initiators, "{figures}");
            assert!(figures["processor_percent"].as_f64().unwrap() > 0.0, "{figures}");
            assert!(figures["resident_mib_most"].as_f64().unwrap() > 0.0, "{figures}");
        }
        // Every change reaches every initiator.
        for lags in step["node_changes"].as_array().unwrap() {
            let (changes, initiators) =
                (lags["changes"].as_u64().unwrap(), lags["initiators"].as_u64().unwrap());
            assert!(changes > 0, "{lags}");
            assert_eq!(lags["reached"], changes * initiators, "{lags}");
        }
    }
    let steady = &steps[0];
    // The list service sends each change once to each watcher. Its only other messages answer requests for
    // the full list, which a watcher sends after a silence that began before the first change.
    let changes = find_by(&steady["node_changes"], "role", "hollow")["changes"].as_u64().unwrap();
    let watchers = 6 + 1 + 3;
    let list = &find_by(&steady["roles"], "role", "list")["list"];
    let full_list_requests = list["messages_in"].as_u64().unwrap();
    assert!(full_list_requests <= watchers, "{steady}");
    assert_eq!(list["messages_out"], changes * watchers + full_list_requests, "{steady}");
    assert!(steady["load"]["served"].as_u64().unwrap() > 0, "{steady}");
    let restarts = &steps[1]["fault_reports"][0];
    assert_eq!((&restarts["struck"], &restarts["ready"]), (&3.into(), &3.into()), "{restarts}");
    assert_eq!(folder.processes(), Vec::<String>::new());
    assert_eq!(folder.files(), Vec::<PathBuf>::new());
}

#[test]
fn an_invalid_plan_is_rejected_with_line_numbers() {
    let folder = Folder::new("problems");
    let path = folder.0.join("bad.kdl");
    let plan = short_plan().replace("keepers 3", "keepers 3\n    colour 1").replace("share=0.5", "share=5");
    std::fs::write(&path, &plan).unwrap();
    let out = folder.run(&[&path.display().to_string()]);
    assert_eq!(out.status.code(), Some(2));
    assert_eq!(text(&out.stdout), "");
    for wrong in ["colour", "share=5"] {
        let line = plan.lines().position(|line| line.contains(wrong)).unwrap() + 1;
        let place = format!("{}:{line}: ", path.display());
        assert!(text(&out.stderr).contains(&place), "{place} not in {}", text(&out.stderr));
    }
    let out = folder.run(&["nowhere.kdl"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("cannot read nowhere.kdl"), "{}", text(&out.stderr));
}

#[test]
fn an_interrupted_run_stops_all_its_processes() {
    let folder = Folder::new("interrupted");
    let mut child = folder.command(&[&folder.long_plan()]).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("ready after")), "the run did not become ready");
    // The run, the list service, the nodes, three voters, a real initiator and the hollow initiators.
    assert!(folder.processes().len() >= 8, "{:?}", folder.processes());
    kill_process(Pid::from_child(&child), Signal::INT).unwrap();
    let output: Vec<String> = lines.collect();
    assert_eq!(child.wait().unwrap().code(), Some(3), "{output:?}");
    assert!(output.iter().any(|line| line.contains("interrupted")), "{output:?}");
    assert_eq!(folder.processes(), Vec::<String>::new());
    let remaining: Vec<PathBuf> =
        folder.files().into_iter().filter(|path| !path.ends_with("long.kdl")).collect();
    assert_eq!(remaining, Vec::<PathBuf>::new());
}
