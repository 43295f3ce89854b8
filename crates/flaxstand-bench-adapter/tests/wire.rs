//! Tests of the built adapter, which reads batches on standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SPAWN: &str = r#"{"cmd":"spawn","i":"initiator-0","initSeed":7,"params":{"balancers":1,"unknownKey":[1],"caps":{"cancel":true,"maxAttempts":3,"maxRetryAfterMs":500.0,"retryAfter":true,"secondCopies":false},"classes":[{"aimMs":250.0,"deadlineMs":1500.0,"dedupWindowMs":5000.0,"group":"all","lateValue":0.15,"name":"read","semantics":"repeatable","stream":false,"worth":3.0}],"familyInfo":{"coldBears":5.0,"fairWorth":0.35,"idleWorth":0.1,"mostUnits":8,"unitMean":2.14},"grades":[{"baseRate":3.6,"floorRate":0.0,"name":"basic","price":0.8,"weight":1.0}],"registryMode":"pushed","rules":{"askWithinMs":10000.0,"coldFrom":0.16,"coldMs":15000.0,"fallMs":1000.0,"fallMultiple":4.0},"tickMs":2.0}}"#;
const LIST: &str = r#"{"cmd":"endpoints","i":"initiator-0","serial":1,"scope":"C","elements":[{"bootTimeMs":null,"target":"10.0.0.1:80","readiness":"SERVING","size":1,"area":"room","kind":"std","pod":0}]}"#;
const ARRIVAL: &str = r#"{"cmd":"knock","i":"initiator-0","opId":2669718875574724,"class":"read","plan":"basic","extent":"91f03b7c55d20a64","validUntilMs":2500.0,"volume":"2b8e6401d9f37c10","priceUnits":2,"shard":0,"writers":1,"opts":1}"#;
const BATCH_START: &str = r#"{"cmd":"mark","atTimeMs":1000.0}"#;
const BATCH_END: &str = r#"{"cmd":"eob"}"#;
const BATCH_DONE: &str = r#"{"cmd":"next"}"#;

fn play(lines: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_flaxstand-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut text = lines.join("\n");
    text.push('\n');
    // The adapter may exit at an invalid line before all input is written.
    let _ = child.stdin.take().expect("standard input is piped").write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter exits")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

#[test]
fn a_batch_is_answered_by_its_commands_and_one_end_marker() {
    let output = play(&[BATCH_START, SPAWN, LIST, ARRIVAL, BATCH_END, BATCH_START, BATCH_END]);
    assert!(output.status.success());
    let text = stdout(&output);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines[0],
        r#"{"cmd":"assign","i":"initiator-0","opId":2669718875574724,"target":"10.0.0.1:80"}"#
    );
    assert_eq!(lines.iter().filter(|line| **line == BATCH_DONE).count(), 2);
    assert_eq!(lines.last(), Some(&BATCH_DONE));
}

#[test]
fn the_adapter_exits_successfully_at_the_end_of_input() {
    let output = play(&[BATCH_START, BATCH_END]);
    assert!(output.status.success());
    assert_eq!(stdout(&output), format!("{BATCH_DONE}\n"));
}

#[test]
fn an_instance_that_restarts_within_a_batch_loses_its_state() {
    let stop = r#"{"cmd":"powerOff","i":"initiator-0"}"#;
    let output = play(&[BATCH_START, SPAWN, LIST, ARRIVAL, stop, SPAWN, BATCH_END]);
    assert!(output.status.success());
    assert_eq!(stdout(&output), format!("{BATCH_DONE}\n"));
}

/// Lines of a batch of events at one time.
fn batch(at: f64, events: &[String]) -> Vec<String> {
    let mark = format!(r#"{{"cmd":"mark","atTimeMs":{at:.1}}}"#);
    [&[mark][..], events, &[BATCH_END.to_owned()]].concat()
}

fn arrival(id: u64, until: f64) -> String {
    let with_id = ARRIVAL.replace("2669718875574724", &id.to_string());
    with_id.replace("91f03b7c55d20a64", &format!("{id:016x}")).replace("2500.0", &format!("{until:.1}"))
}

fn attempt_ended(id: u64, go: u32, outcome: u8, lag: f64) -> String {
    let complete = outcome == 1;
    format!(
        r#"{{"cmd":"resolved","i":"initiator-0","opId":{id},"go":{go},"target":"10.0.0.1:80","outcome":{outcome},"lagMs":{lag:.1},"complete":{complete},"used":null,"fromOthers":null,"telemetry":null}}"#
    )
}

#[test]
fn probes_hedged_attempts_and_cancellations_are_written_as_commands() {
    let spawn = SPAWN.replace(r#""secondCopies":false"#, r#""secondCopies":true,"mayProbe":true"#);
    let probed = r#"{"cmd":"probeDone","i":"initiator-0","target":"10.0.0.1:80","lagMs":1.4,"outcome":1,"telemetry":null}"#;
    let tick = r#"{"cmd":"reminder","i":"initiator-0","token":0}"#.to_owned();
    let mut lines = batch(1000.0, &[spawn, LIST.to_owned(), arrival(1, 2500.0)]);
    lines.extend(batch(1005.0, &[arrival(2, 2505.0)]));
    // The later request is answered. The response to the first is lost: its attempt times out.
    lines.extend(batch(1025.0, &[attempt_ended(2, 0, 1, 20.0)]));
    lines.extend(batch(2500.0, &[attempt_ended(1, 0, 4, 1500.0)]));
    lines.extend(batch(2510.0, &[arrival(3, 4010.0)]));
    lines.extend(batch(2610.0, std::slice::from_ref(&tick)));
    lines.extend(batch(2612.0, &[probed.to_owned()]));
    lines.extend(batch(2680.0, &[tick]));
    lines.extend(batch(2700.0, &[attempt_ended(3, 1, 1, 20.0)]));
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let output = play(&lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = stdout(&output);
    let commands: Vec<&str> = text.lines().filter(|l| !l.contains("timer") && *l != BATCH_DONE).collect();
    let assign = |id| format!(r#"{{"cmd":"assign","i":"initiator-0","opId":{id},"target":"10.0.0.1:80"}}"#);
    let expected = [
        assign(1),
        assign(2),
        r#"{"cmd":"dropRequest","i":"initiator-0","opId":1}"#.to_owned(),
        assign(3),
        r#"{"cmd":"sample","i":"initiator-0","target":"10.0.0.1:80"}"#.to_owned(),
        assign(3),
        r#"{"cmd":"dropAttempt","i":"initiator-0","opId":3,"go":0}"#.to_owned(),
    ];
    assert_eq!(commands, expected);
}

#[test]
fn malformed_input_is_reported_on_standard_error_without_a_panic() {
    let unknown_instance = ARRIVAL.replace("initiator-0", "initiator-5");
    let no_id = ARRIVAL.replace(r#""opId":2669718875574724,"#, "");
    let unknown_class = ARRIVAL.replace(r#""class":"read""#, r#""class":"scan""#);
    let invalid_extent = ARRIVAL.replace("91f03b7c55d20a64", "not hex");
    let probed = r#"{"cmd":"probeDone","i":"initiator-0","target":"10.0.0.1:80","lagMs":1,"outcome":99}"#;
    let cases: [(&str, Vec<&str>); 10] = [
        ("not JSON", vec![BATCH_START, "{"]),
        ("unknown command", vec![BATCH_START, r#"{"cmd":"dance","i":"initiator-0"}"#]),
        ("missing field", vec![BATCH_START, SPAWN, &no_id, BATCH_END]),
        ("unknown instance", vec![BATCH_START, SPAWN, &unknown_instance, BATCH_END]),
        ("unknown class", vec![BATCH_START, SPAWN, &unknown_class, BATCH_END]),
        ("invalid extent", vec![BATCH_START, SPAWN, &invalid_extent, BATCH_END]),
        ("unknown outcome of a probe", vec![BATCH_START, SPAWN, LIST, probed, BATCH_END]),
        ("missing eob", vec![BATCH_START, SPAWN]),
        ("outside a batch", vec![BATCH_END]),
        ("mark in a batch", vec![BATCH_START, BATCH_START, BATCH_END]),
    ];
    for (case, lines) in cases {
        let output = play(&lines);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{case}: {message}");
        assert!(message.starts_with("flaxstand-drill: "), "{case}: {message}");
        assert!(!message.contains("panicked"), "{case}: {message}");
    }
}
