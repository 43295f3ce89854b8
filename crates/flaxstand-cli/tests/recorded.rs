//! Compares commands with recorded fixtures: help texts, exit codes and messages, and the fields of JSON
//! output.

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

/// Path of a recorded write-back log, and its former path, which the fixtures contain.
const LOG: &str = "crates/flaxstand-write-back/tests/fixtures/log";
const LOG_PATH_IN_FIXTURES: &str = "crates/flaxstand-buffer/tests/fixtures/log";

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

/// A temporary folder of one test, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("flaxstand-recorded-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
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
fn help_texts_match_the_fixture() {
    let mut output_text = String::new();
    for command in COMMANDS {
        let output = flaxstand(&[command, &["--help"]].concat());
        let _ = writeln!(
            output_text,
            "=== flaxstand {}: exit code {:?}",
            command.join(" "),
            output.status.code()
        );
        output_text += &text(&output.stdout);
    }
    fixtures().assert_text("help.txt", &output_text);
}

fn transcript(arguments: &[&str], folder: &Folder) -> String {
    let output = flaxstand(arguments);
    let normalize = |text: &str| {
        text.replace(&folder.0.display().to_string(), "FOLDER").replace(LOG, LOG_PATH_IN_FIXTURES)
    };
    let normalized_text = |bytes: &[u8]| normalize(&text(bytes));
    format!(
        "=== {}: exit code {:?}\n{}--- standard error\n{}",
        normalize(&arguments.join(" ")),
        output.status.code(),
        normalized_text(&output.stdout),
        normalized_text(&output.stderr)
    )
}

/// Guards against unintended changes of exit codes and messages that operators' scripts rely on.
#[test]
fn exit_codes_and_messages_match_the_fixture() {
    let folder = Folder::new("codes");
    let bad = folder.path("bad.kdl");
    std::fs::write(&bad, "site {\n    initiators none\n}\n").expect("the file can be written");
    let empty = folder.path("empty");
    std::fs::create_dir_all(&empty).expect("the folder can be created");
    let mut output_text = String::new();
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
        output_text += &transcript(arguments, &folder);
    }
    fixtures().assert_text("exit-codes.txt", &output_text);
}

/// Collects the paths of all fields in a JSON value with the types of their values. All entries of an array
/// share one path.
fn collect_fields(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| collect_fields(value, &format!("{at}.{key}"), found));
        }
        Value::Array(list) => list.iter().for_each(|value| collect_fields(value, &format!("{at}[]"), found)),
        Value::Null => drop(found.insert(format!("{at}: none"))),
        Value::Bool(_) => drop(found.insert(format!("{at}: flag"))),
        Value::Number(_) => drop(found.insert(format!("{at}: number"))),
        Value::String(_) => drop(found.insert(format!("{at}: text"))),
    }
}

fn fields(json: &str) -> String {
    let value: Value = serde_json::from_str(json).unwrap_or_else(|e| panic!("{e}: {json}"));
    let mut found = BTreeSet::new();
    collect_fields(&value, "", &mut found);
    found.into_iter().map(|field| field + "\n").collect()
}

fn json_output(arguments: &[&str]) -> String {
    let output = flaxstand(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", text(&output.stderr));
    text(&output.stdout)
}

#[test]
fn a_json_report_matches_the_fixture() {
    let report = json_output(&["rehearse", "--virtual", "--seconds", "6", "--json", "-", "days/bad-day.kdl"]);
    fixtures().assert_text("report.json", &report);
    let folder = Folder::new("report");
    let kept = folder.path("kept");
    json_output(&["rehearse", "--virtual", "--seconds", "3", "--keep", &kept, "days/quiet.kdl"]);
    let again = json_output(&["report", "days/quiet.kdl", &kept, "--json", "-"]);
    fixtures().assert_text("report-of-kept.json", &again);
    let records = std::fs::read_to_string(format!("{kept}/records.jsonl")).expect("records are kept");
    let mut kinds = BTreeSet::new();
    records.lines().for_each(|line| kinds.extend(fields(line).lines().map(str::to_owned)));
    let kinds: String = kinds.into_iter().map(|kind| kind + "\n").collect();
    fixtures().assert_text("records.fields", &kinds);
}

#[test]
fn a_json_experiment_matches_the_fixture() {
    let folder = Folder::new("experiment");
    let path = folder.path("short.kdl");
    for day in ["ordinary.kdl", "quiet.kdl"] {
        std::fs::copy(root().join("days").join(day), folder.path(day)).expect("the day can be copied");
    }
    let short = "experiment \"short\" {\n    day \"quiet.kdl\"\n    seeds 1 2\n    seconds 2\n    variant \"module\"\n    \
                 variant \"pipe\" policy=\"pipe\" rate=1.5 tick-ms=2 initiators=3\n}\n";
    std::fs::write(&path, short).expect("the file can be written");
    fixtures().assert_text("experiment.json", &json_output(&["experiment", &path, "--json", "-"]));
}

#[test]
fn json_figures_of_a_buffer_have_the_recorded_fields() {
    let status = json_output(&["buffer", "status", "--json", LOG]);
    let dump: String =
        json_output(&["buffer", "dump", "--json", LOG]).lines().map(|line| fields(line) + "\n").collect();
    let lines = json_output(&["buffer", "dump", "--parked", LOG]);
    let shape: Vec<&str> = lines.lines().filter_map(|line| line.rsplit("  ").next()).collect();
    fixtures().assert_text("buffer.txt", &format!("{}\n{dump}\n{}\n", fields(&status), shape.join("\n")));
}

/// Later runs are compared with the results under `docs/capacity/`, so their fields must stay the same.
#[test]
fn a_json_scale_result_has_the_fields_of_the_stored_results() {
    let mut stored = String::new();
    for name in ["connections", "faults", "initiators", "nodes"] {
        let path = root().join(format!("docs/capacity/{name}.json"));
        let json = std::fs::read_to_string(path).expect("the stored result is readable");
        let _ = writeln!(stored, "=== {name}\n{}", fields(&json));
    }
    fixtures().assert_text("capacity.fields", &stored);
    let now = fields(&json_output(&["scale", "scale/short.kdl", "--json", "-"]));
    // The type of a value can depend on the outcome of the run, so only names are compared.
    let name = |line: &str| line.split(": ").next().unwrap_or_default().to_owned();
    let known: BTreeSet<String> = stored.lines().map(name).collect();
    let unknown: Vec<String> = now.lines().map(name).filter(|field| !known.contains(field)).collect();
    assert!(unknown.is_empty(), "fields that are in no stored result: {unknown:?}");
    for needed in
        [".name: text", ".steps[].roles[].processor_percent: number", ".steps[].faults[].kind.kind: text"]
    {
        assert!(now.lines().any(|line| line == needed), "{needed}");
    }
}
