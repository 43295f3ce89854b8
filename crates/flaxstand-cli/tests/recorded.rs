//! Commands as an earlier build had them: help, exit codes, and the fields of what is written as JSON.

use flaxstand_fixture::Fixtures;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A recorded write-back log, and where it lay when the messages about it were recorded.
const LOG: &str = "crates/flaxstand-write-back/tests/fixtures/log";
const LOG_WHEN_RECORDED: &str = "crates/flaxstand-buffer/tests/fixtures/log";

fn flaxstand(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxstand"));
    command
        .args(arguments)
        .current_dir(root())
        .env("COLUMNS", "100")
        .env("FLAXSTAND_LOG", "error")
        .stdin(Stdio::null());
    command.output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A folder of this test's own, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("flaxstand-recorded-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be made");
        Folder(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const COMMANDS: [&[&str]; 28] = [
    &[],
    &["run"],
    &["check"],
    &["rehearse"],
    &["swarm"],
    &["report"],
    &["experiment"],
    &["load"],
    &["measure"],
    &["scale"],
    &["buffer"],
    &["buffer", "status"],
    &["buffer", "verify"],
    &["buffer", "dump"],
    &["buffer", "drain"],
    &["buffer", "decide"],
    &["buffer", "salvage"],
    &["settings"],
    &["settings", "propose"],
    &["settings", "status"],
    &["settings", "history"],
    &["settings", "show"],
    &["settings", "withdraw"],
    &["settings", "revert"],
    &["settings", "wait"],
    &["settings", "forget"],
    &["stand-in"],
    &["stand-in", "node"],
];

#[test]
fn the_help_of_each_command_is_the_recorded_one() {
    let mut told = String::new();
    for command in COMMANDS {
        let output = flaxstand(&[command, &["--help"]].concat());
        let _ = writeln!(told, "=== flaxstand {}: exit code {:?}", command.join(" "), output.status.code());
        told += &text(&output.stdout);
    }
    fixtures().assert_text("help.txt", &told);
}

fn line(arguments: &[&str], folder: &Folder) -> String {
    let output = flaxstand(arguments);
    let named =
        |text: &str| text.replace(&folder.0.display().to_string(), "FOLDER").replace(LOG, LOG_WHEN_RECORDED);
    let hidden = |bytes: &[u8]| named(&text(bytes));
    format!(
        "=== {}: exit code {:?}\n{}--- standard error\n{}",
        named(&arguments.join(" ")),
        output.status.code(),
        hidden(&output.stdout),
        hidden(&output.stderr)
    )
}

/// Guards against scripts of operators that meet another exit code or another message.
#[test]
fn exit_codes_and_messages_are_the_recorded_ones() {
    let folder = Folder::new("codes");
    let bad = folder.path("bad.kdl");
    std::fs::write(&bad, "site {\n    initiators none\n}\n").expect("it can be written");
    let empty = folder.path("empty");
    std::fs::create_dir_all(&empty).expect("it can be made");
    let mut told = String::new();
    for arguments in [
        &["dance"][..],
        &["run"],
        &["run", "--platform", "--with-parent"],
        &["check", &bad],
        &["check", "docs/example.kdl"],
        &["check", "days/bad-day.kdl"],
        &["check", "/nowhere/at/all.kdl"],
        &["rehearse", &bad],
        &["rehearse", "--policy", "guess", "days/quiet.kdl"],
        &["rehearse", "--virtual", "days/agreement-short.kdl"],
        &["rehearse", "--virtual", "--seconds", "2", "days/quiet.kdl"],
        &["experiment", &bad],
        &["scale", &bad],
        &["load", "--initiator=unix:/nowhere/s.sock", "--shards=1", "--seconds=1"],
        &["load", "--initiator=unix:/nowhere/s.sock", "--shards=1", "--rate=10", "--window=1", "--seconds=1"],
        &["buffer", "verify", LOG],
        &["buffer", "verify", "/nowhere"],
        &["buffer", "dump", "/nowhere"],
        &["buffer", "status"],
        &["buffer", "status", "--initiator=unix:/nowhere/s.sock"],
        &["buffer", "status", &empty],
        &["buffer", "decide", &empty, "1", "done"],
        &["buffer", "salvage", &empty],
        &["settings", "--config", &bad, "status"],
        &["settings", "--config", "docs/example.kdl", "status"],
    ] {
        told += &line(arguments, &folder);
    }
    fixtures().assert_text("exit-codes.txt", &told);
}

/// Paths of all fields in a JSON value, with the kind of what stands there; entries of an array are one.
fn fields_of(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| fields_of(value, &format!("{at}.{key}"), found));
        }
        Value::Array(list) => list.iter().for_each(|value| fields_of(value, &format!("{at}[]"), found)),
        Value::Null => drop(found.insert(format!("{at}: none"))),
        Value::Bool(_) => drop(found.insert(format!("{at}: flag"))),
        Value::Number(_) => drop(found.insert(format!("{at}: number"))),
        Value::String(_) => drop(found.insert(format!("{at}: text"))),
    }
}

fn fields(json: &str) -> String {
    let value: Value = serde_json::from_str(json).unwrap_or_else(|e| panic!("{e}: {json}"));
    let mut found = BTreeSet::new();
    fields_of(&value, "", &mut found);
    found.into_iter().map(|field| field + "\n").collect()
}

fn json_of(arguments: &[&str]) -> String {
    let output = flaxstand(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", text(&output.stderr));
    text(&output.stdout)
}

#[test]
fn a_report_as_json_has_the_recorded_fields_and_figures() {
    let report = json_of(&["rehearse", "--virtual", "--seconds", "6", "--json", "-", "days/bad-day.kdl"]);
    fixtures().assert_text("report.json", &report);
    let folder = Folder::new("report");
    let kept = folder.path("kept");
    json_of(&["rehearse", "--virtual", "--seconds", "3", "--keep", &kept, "days/quiet.kdl"]);
    let again = json_of(&["report", "days/quiet.kdl", &kept, "--json", "-"]);
    fixtures().assert_text("report-of-kept.json", &again);
    let records = std::fs::read_to_string(format!("{kept}/records.jsonl")).expect("records were kept");
    let mut kinds = BTreeSet::new();
    records.lines().for_each(|line| kinds.extend(fields(line).lines().map(str::to_owned)));
    let kinds: String = kinds.into_iter().map(|kind| kind + "\n").collect();
    fixtures().assert_text("records.fields", &kinds);
}

#[test]
fn an_experiment_as_json_has_the_recorded_fields() {
    let folder = Folder::new("experiment");
    let path = folder.path("short.kdl");
    for day in ["ordinary.kdl", "quiet.kdl"] {
        std::fs::copy(root().join("days").join(day), folder.path(day)).expect("it can be copied");
    }
    let short = "experiment \"short\" {\n    day \"quiet.kdl\"\n    seeds 1 2\n    seconds 2\n    variant \"module\"\n    \
                 variant \"pipe\" policy=\"pipe\" rate=1.5 tick-ms=2 initiators=3\n}\n";
    std::fs::write(&path, short).expect("it can be written");
    fixtures().assert_text("experiment.json", &json_of(&["experiment", &path, "--json", "-"]));
}

#[test]
fn the_buffers_figures_as_json_have_the_recorded_fields() {
    let status = json_of(&["buffer", "status", "--json", LOG]);
    let dump: String =
        json_of(&["buffer", "dump", "--json", LOG]).lines().map(|line| fields(line) + "\n").collect();
    let lines = json_of(&["buffer", "dump", "--parked", LOG]);
    let shape: Vec<&str> = lines.lines().filter_map(|line| line.rsplit("  ").next()).collect();
    fixtures().assert_text("buffer.txt", &format!("{}\n{dump}\n{}\n", fields(&status), shape.join("\n")));
}

/// The fields of results under `docs/capacity/`, which later runs are compared with.
#[test]
fn a_scale_run_as_json_has_the_fields_of_the_results_that_are_kept() {
    let mut kept = String::new();
    for name in ["connections", "faults", "initiators", "nodes"] {
        let path = root().join(format!("docs/capacity/{name}.json"));
        let json = std::fs::read_to_string(path).expect("a result");
        let _ = writeln!(kept, "=== {name}\n{}", fields(&json));
    }
    fixtures().assert_text("capacity.fields", &kept);
    let now = fields(&json_of(&["scale", "scale/short.kdl", "--json", "-"]));
    // What kind of value stands there depends on what the run came to.
    let name = |line: &str| line.split(": ").next().unwrap_or_default().to_owned();
    let known: BTreeSet<String> = kept.lines().map(name).collect();
    let unknown: Vec<String> = now.lines().map(name).filter(|field| !known.contains(field)).collect();
    assert!(unknown.is_empty(), "fields that no kept result has: {unknown:?}");
    for needed in
        [".name: text", ".steps[].roles[].processor_percent: number", ".steps[].faults[].kind.kind: text"]
    {
        assert!(now.lines().any(|line| line == needed), "{needed}");
    }
}
