//! Settings files: the example is valid, and each mistake is reported with its line and the expected value.

use flaxstand_gateway::settings::{SettingsError, read_daemon, shared_part};

const VALID: &str = r#"initiator "left" {
    listen "unix:/tmp/x.sock"
    list "127.0.0.1:7100"
}
site {
    initiators 2
    unit-most 4
}
class "read" {
    effect "repeatable"
    aim-ms 250
    deadline-ms 1500
}
plan "basic"
"#;

fn problems(text: &str) -> Vec<(usize, String)> {
    let error: SettingsError = read_daemon("test.kdl", text).expect_err("the settings are invalid");
    assert!(error.to_string().starts_with("test.kdl:"), "{error}");
    error.problems.into_iter().map(|p| (p.line, p.message)).collect()
}

#[track_caller]
fn assert_problem(from: &str, to: &str, line: usize, expected_text: &str) {
    assert!(VALID.contains(from));
    let found = problems(&VALID.replacen(from, to, 1));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].0 == line && found[0].1.contains(expected_text), "{found:?}");
}

#[test]
fn a_valid_file_is_read() {
    let daemon = read_daemon("test.kdl", VALID).unwrap();
    assert_eq!(daemon.config.name, "left");
    assert_eq!(daemon.config.site.settings.initiators, 2);
    assert_eq!(daemon.listen.len(), 1);
    let example = include_str!("../../../docs/example.kdl");
    let daemon = read_daemon("example.kdl", example).unwrap();
    assert_eq!((daemon.listen.len(), daemon.config.bounds.max_clients), (2, 500));
    assert_eq!(daemon.config.site.settings.initial_capacity, 0.2);
}

#[test]
fn each_mistake_is_reported_with_its_line() {
    assert_problem(
        "aim-ms 250",
        "aim-ms \"soon\"",
        11,
        "aim-ms in class \"read\" is soon, expected a number",
    );
    assert_problem("aim-ms 250", "aim-ms -1", 11, "is -1, expected a number from 0.1");
    assert_problem("aim-ms 250", "aim-ms 1e999", 11, "expected a number");
    assert_problem("aim-ms 250", "aim-ms 2000", 9, "aim-ms is 2000, expected at most deadline-ms, 1500");
    assert_problem("aim-ms 250", "aim-ms 250 300", 11, "expected one value");
    assert_problem("    aim-ms 250\n", "", 9, "aim-ms is missing");
    assert_problem("aim-ms 250", "aim-ms 250\n    aim-mss 3", 12, "unknown key \"aim-mss\"");
    assert_problem(
        "\"repeatable\"",
        "\"sometimes\"",
        10,
        "expected one of \"repeatable\", \"keyed\", \"once\"",
    );
    let twice = "initiators 2\n    max-attempts 1\n    second-copies #true";
    assert_problem("initiators 2", twice, 5, "second-copies is #true, expected max-attempts 2 or more");
    assert_problem(
        "plan \"basic\"",
        "plan \"basic\" limit-rate=9 limit-burst=3",
        14,
        "limit-burst is 3, expected at least unit-most, 4",
    );
    assert_problem(
        "initiators 2",
        "initiators 2\n    probes 1",
        7,
        "probes in site is 1, expected #true or #false",
    );
    assert_problem("initiators 2", "initiators 0", 6, "whole number from 1");
    assert_problem("initiators 2", "initiators 99999999999999999999", 6, "whole number from 1");
    assert_problem("initiators 2", "initiators 2.5", 6, "whole number");
    assert_problem("127.0.0.1:7100", "localhost:7100", 3, "expected \"IP:PORT\" or \"unix:PATH\"");
    assert_problem("unix:/tmp/x.sock", "unix:", 2, "expected \"IP:PORT\"");
    assert_problem("plan \"basic\"", "plan \"basic\"\nplan \"basic\"", 1, "given twice");
    assert_problem("plan \"basic\"", "plan", 14, "expected one name");
    assert_problem("plan \"basic\"", "", 1, "plan is missing");
    assert_problem("plan \"basic\"", "plan \"basic\"\nsites", 15, "unknown key \"sites\"");
    assert_problem(
        "unit-most 4",
        "unit-most 4\n    unit-mean 5",
        5,
        "unit-mean is 5, expected at most unit-most, 4",
    );
    assert_problem("list \"127.0.0.1:7100\"", "list \"127.0.0.1:7100\"\n    index 2", 1, "index is 2");
    assert_problem(
        "plan \"basic\"",
        "plan \"basic\"\nbounds client-bytes=9 client-bytes-most=3",
        15,
        "at most client-bytes-most",
    );
    assert_problem(
        "plan \"basic\"",
        "plan \"basic\"\nbounds nodes=32769",
        15,
        "nodes in bounds is 32769, expected a whole number from 1 to 32768",
    );
}

#[test]
fn all_mistakes_are_reported_at_once_in_file_order() {
    let text = VALID.replace("aim-ms 250", "aim-ms 0").replace("initiators 2", "initiators \"two\"");
    let lines: Vec<usize> = problems(&text).into_iter().map(|(line, _)| line).collect();
    assert_eq!(lines, [6, 11]);
    assert!(problems("").len() >= 3);
    assert_eq!(problems(&VALID.replace("plan \"basic\"", "plan \"basic\" {"))[0].0, 14);
    assert!(!problems("\"").is_empty() && !problems("a {").is_empty() && !problems("\u{0}").is_empty());
}

#[test]
fn the_shared_part_of_a_file_omits_the_initiators_own_settings() {
    let shared = shared_part(VALID);
    assert!(!shared.contains("initiator \"left\"") && shared.contains("deadline-ms 1500"));
    let other_file =
        format!("initiator \"other\" {{\n listen \"127.0.0.1:0\"\n list \"127.0.0.1:1\"\n}}\n{shared}");
    assert!(read_daemon("test.kdl", &other_file).is_ok());
}

#[test]
fn mistakes_in_an_agreement_are_reported_with_their_line() {
    let with_agreement = |keepers: &str, more: &str| {
        format!(
            "{VALID}agreement {{\n    listen \"127.0.0.1:7300\"\n    folder \"/tmp/none\"\n{keepers}}}\nfloor {{\n{more}}}\n"
        )
    };
    let three = "    keeper \"left\" at=\"127.0.0.1:1\"\n    keeper \"b\" at=\"127.0.0.1:2\"\n    keeper \"c\" at=\"127.0.0.1:3\"\n";
    let daemon =
        read_daemon("test.kdl", &with_agreement(three, "    set \"plan.basic.limit-rate\" 3\n")).unwrap();
    let consensus = daemon.consensus.expect("the agreement block is read").config;
    assert_eq!(consensus.voters.len(), 3);
    assert_eq!(consensus.initial_rules.fallback.len(), 1);
    let two = "    keeper \"left\" at=\"127.0.0.1:1\"\n    keeper \"b\" at=\"127.0.0.1:2\"\n";
    let without_this_initiator = three.replace("left", "right");
    for (keepers, floor, line, expected_text) in [
        (two, "", 15, "2 keepers, expected 3 or 5"),
        (&without_this_initiator[..], "", 15, "\"left\" is neither a keeper nor an initiator"),
        (
            &format!("{three}    lease-ms 600\n")[..],
            "",
            15,
            "lease-ms is 600, expected at least twice election-ms, 500",
        ),
        (three, "    set \"plan.basic.price\" 3\n", 23, "\"plan.basic.price\" has no narrower value"),
        (three, "    set \"site.limits\" 3\n", 23, "is not a rule key"),
        (three, "    set \"class.read.effect\" \"twice\"\n", 23, "expected one of once, keyed, repeatable"),
    ] {
        let found = problems(&with_agreement(keepers, floor));
        assert!(found.len() == 1 && found[0].0 == line && found[0].1.contains(expected_text), "{found:?}");
    }
    let buffered =
        with_agreement(three, "").replace("deadline-ms 1500", "deadline-ms 1500\n    buffered #true");
    let buffered =
        buffered.replace("list \"127.0.0.1:7100\"", "list \"127.0.0.1:7100\"\n    log \"/tmp/none\"");
    assert!(
        problems(&buffered)[0].1.contains("expected no class that is buffered"),
        "{:?}",
        problems(&buffered)
    );
}
