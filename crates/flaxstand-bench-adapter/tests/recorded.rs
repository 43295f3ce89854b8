//! Compares a session with the adapter, line by line, with the output of an earlier build.

use flaxstand_fixture::Fixtures;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Input of a session that contains each message and each field of the protocol.
const SESSION: &str = "session.jsonl";

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_flaxstand-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at an invalid line before all input is written.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Guards against renamed fields or commands and against changed decisions.
#[test]
fn a_session_produces_the_recorded_output() {
    let output = play(&fixtures().read(SESSION));
    assert!(output.status.success(), "{}", text(&output.stderr));
    fixtures().assert_text("session-answers.jsonl", &text(&output.stdout));
}

#[test]
fn each_malformed_session_fails_with_the_recorded_error() {
    let session = text(&fixtures().read(SESSION));
    let mut errors = String::new();
    for field in ["opId", "cmd", "target", "outcome", "class", "scope", "atTimeMs", "initSeed", "params"] {
        let output = play(session.replacen(&format!("\"{field}\":"), "\"unknown\":", 1).as_bytes());
        errors += &format!("{field}, exit code {:?}: {}", output.status.code(), text(&output.stderr));
    }
    fixtures().assert_text("refusals.txt", &errors);
}
