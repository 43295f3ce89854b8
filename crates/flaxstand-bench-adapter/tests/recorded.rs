//! A session with the adapter, line by line as an earlier build answered it.

use flaxstand_fixture::Fixtures;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The lines of a session that names each message and each field of the wire.
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
    // A rejected line may close the pipe before all is written.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

/// Guards against a renamed field or command, and against a decision that differs.
#[test]
fn a_session_is_answered_as_recorded() {
    let output = play(&fixtures().read(SESSION));
    assert!(output.status.success(), "{}", text(&output.stderr));
    fixtures().assert_text("session-answers.jsonl", &text(&output.stdout));
}

#[test]
fn each_malformed_session_is_rejected_as_recorded() {
    let session = text(&fixtures().read(SESSION));
    let mut errors = String::new();
    for cut in ["opId", "cmd", "target", "outcome", "class", "scope", "atTimeMs", "initSeed", "params"] {
        let output = play(session.replacen(&format!("\"{cut}\":"), "\"unknown\":", 1).as_bytes());
        errors += &format!("{cut}, exit code {:?}: {}", output.status.code(), text(&output.stderr));
    }
    fixtures().assert_text("refusals.txt", &errors);
}
