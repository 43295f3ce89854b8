//! `flaxstand scale` as a user meets it: figures, exit codes, and nothing left behind.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// A folder that everything of a run is in; its name tells the run's processes from all others.
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

    /// A plan of few processes that goes on for long.
    fn long_plan(&self) -> String {
        let text = short_plan().replace("seconds 2", "seconds 600");
        let path = self.0.join("long.kdl");
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Ids of processes that were started by a run in this folder and have not ended.
    fn processes(&self) -> Vec<String> {
        let name = self.0.display().to_string();
        let all = std::fs::read_dir("/proc").unwrap().flatten();
        let started_here = all.filter(|entry| {
            // Every child has the environment of its run.
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

fn of<'a>(all: &'a Value, key: &str, name: &str) -> &'a Value {
    let found = all.as_array().unwrap().iter().find(|one| one[key] == name);
    found.unwrap_or_else(|| panic!("no {key} {name} in {all}"))
}

#[test]
fn a_short_run_has_sane_counts_and_leaves_nothing_behind() {
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
            let figures = of(&step["roles"], "role", role);
            assert_eq!(figures["initiators"], initiators, "{figures}");
            assert!(figures["processor_percent"].as_f64().unwrap() > 0.0, "{figures}");
            assert!(figures["resident_mib_most"].as_f64().unwrap() > 0.0, "{figures}");
        }
        // Every change is in force at every initiator.
        for lags in step["node_changes"].as_array().unwrap() {
            let (changes, initiators) =
                (lags["changes"].as_u64().unwrap(), lags["initiators"].as_u64().unwrap());
            assert!(changes > 0, "{lags}");
            assert_eq!(lags["reached"], changes * initiators, "{lags}");
        }
    }
    let steady = &steps[0];
    // The list service says each change once to each that watches, and nothing else but the answer to each that asks
    // for the whole list, after a silence that began before the first change.
    let changes = of(&steady["node_changes"], "role", "hollow")["changes"].as_u64().unwrap();
    let watchers = 6 + 1 + 3;
    let list = &of(&steady["roles"], "role", "list")["list"];
    let asked = list["messages_in"].as_u64().unwrap();
    assert!(asked <= watchers, "{steady}");
    assert_eq!(list["messages_out"], changes * watchers + asked, "{steady}");
    assert!(steady["load"]["served"].as_u64().unwrap() > 0, "{steady}");
    let restarts = &steps[1]["fault_reports"][0];
    assert_eq!((&restarts["struck"], &restarts["ready"]), (&3.into(), &3.into()), "{restarts}");
    assert_eq!(folder.processes(), Vec::<String>::new());
    assert_eq!(folder.files(), Vec::<PathBuf>::new());
}

#[test]
fn a_plan_with_problems_is_refused_with_their_places() {
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
fn an_interrupted_run_ends_all_that_it_started() {
    let folder = Folder::new("interrupted");
    let mut child = folder.command(&[&folder.long_plan()]).stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("ready after")), "it never was ready");
    // The list, the nodes, three keepers, a real initiator, the hollow ones, and the run itself.
    assert!(folder.processes().len() >= 8, "{:?}", folder.processes());
    kill_process(Pid::from_child(&child), Signal::INT).unwrap();
    let said: Vec<String> = lines.collect();
    assert_eq!(child.wait().unwrap().code(), Some(3), "{said:?}");
    assert!(said.iter().any(|line| line.contains("interrupted")), "{said:?}");
    assert_eq!(folder.processes(), Vec::<String>::new());
    let left: Vec<PathBuf> = folder.files().into_iter().filter(|path| !path.ends_with("long.kdl")).collect();
    assert_eq!(left, Vec::<PathBuf>::new());
}
