//! Guards against changes of how files are read and how days run: days, experiments and plans of scale runs
//! are read to the recorded values, and days on virtual time give the recorded results.

use flaxstand_audit::Record;
use flaxstand_fixture::{Fixtures, values_of};
use flaxstand_gateway::core::Policy;
use flaxstand_simulation::day::Day;
use flaxstand_simulation::experiment::Experiment;
use flaxstand_simulation::scale::plan::Plan;
use flaxstand_simulation::world::play;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Days that are played, and for how many seconds; each with every seed of `SEEDS`.
const PLAYED: [(&str, f64); 8] = [
    ("quiet.kdl", 3.0),
    ("bad-day.kdl", 9.0),
    ("barrier-trouble.kdl", 8.0),
    ("initiator-roll.kdl", 9.0),
    ("list-trouble.kdl", 9.0),
    ("lost-answers.kdl", 8.0),
    ("press.kdl", 6.0),
    ("move.kdl", 8.0),
];
const SEEDS: [u64; 3] = [1, 2, 3];

fn fixtures() -> Fixtures {
    Fixtures::of_package(env!("CARGO_MANIFEST_DIR"))
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn files(folder: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(root().join(folder)).expect("the folder exists");
    let mut files: Vec<PathBuf> = entries.map(|e| e.expect("a directory entry").path()).collect();
    files.retain(|path| path.extension().is_some_and(|e| e == "kdl"));
    files.sort();
    files
}

/// FNV-1a, 64 bits.
fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn name_of(path: &Path) -> String {
    path.file_name().expect("a path with a file name").to_string_lossy().into_owned()
}

#[test]
fn each_key_of_days_experiments_and_scale_files_is_read_to_the_recorded_value() {
    let mut days = String::new();
    for path in files("days").into_iter().chain(files("days/found")) {
        let read = Day::load(&path).map(|(day, _)| day);
        let Ok(day) = read else {
            let _ = writeln!(days, "{}: no day by itself", name_of(&path));
            continue;
        };
        let values = values_of(&format!("{day:?}"));
        let _ = writeln!(
            days,
            "{}: {} values, {:016x}",
            name_of(&path),
            values.lines().count(),
            checksum(values.as_bytes())
        );
    }
    fixtures().assert_text("days.txt", &days);
    let bad_day = Day::load(&root().join("days/bad-day.kdl")).expect("a day").0;
    fixtures().assert_text("bad-day.values", &values_of(&format!("{bad_day:?}")));
    for path in files("experiments") {
        let read = Experiment::load(&path).expect("an experiment");
        let (days, seeds, rest) =
            (read.days.len(), &read.seeds, (&read.name, &read.variants, read.seconds, &read.class));
        let text = format!("{days:?} {seeds:?} {rest:?}");
        fixtures().assert_text(&format!("experiments/{}.values", name_of(&path)), &values_of(&text));
    }
    for path in files("scale") {
        let text = std::fs::read_to_string(&path).expect("it can be read");
        let plan = Plan::read(&name_of(&path), &text).expect("a plan");
        fixtures().assert_text(&format!("scale/{}.values", name_of(&path)), &values_of(&format!("{plan:?}")));
    }
}

/// Returns the day's text with an invalid value at the end of one line, and with an unknown key on it.
fn with_mistakes(text: &str, number: usize) -> [String; 2] {
    let with = |edit: &dyn Fn(&str) -> String| {
        let line = |(at, line): (usize, &str)| if at == number { edit(line) } else { line.to_owned() };
        text.lines().enumerate().map(line).collect::<Vec<_>>().join("\n")
    };
    let value = with(&|line| match line.trim_end_matches(" {").rfind([' ', '=']) {
        Some(at) => format!("{} \"nonsense\"{}", &line[..=at], if line.ends_with(" {") { " {" } else { "" }),
        None => line.to_owned(),
    });
    let key = with(&|line| line.replacen(line.trim(), &format!("x{}", line.trim()), 1));
    [value, key]
}

/// Guards against a renamed key, and against an error that names another key or line than that of the
/// mistake.
#[test]
fn each_mistake_in_a_day_or_a_scale_file_is_reported_as_recorded() {
    let mut reported = String::new();
    for (folder, name) in
        [("days", "ordinary.kdl"), ("days", "buffered.kdl"), ("days", "bad-day.kdl"), ("scale", "faults.kdl")]
    {
        let text = std::fs::read_to_string(root().join(folder).join(name)).expect("it can be read");
        let base = std::fs::read_to_string(root().join("days/ordinary.kdl")).expect("it can be read");
        for (number, line) in text.lines().enumerate() {
            let trimmed = line.trim();
            if trimmed.is_empty() || trimmed.starts_with("//") || trimmed == "}" {
                continue;
            }
            let _ = writeln!(reported, "{name} line {}: {trimmed}", number + 1);
            for invalid in with_mistakes(&text, number) {
                let problems = if folder == "scale" {
                    Plan::read(name, &invalid).err().map(|e| e.problems)
                } else {
                    let base = (name == "bad-day.kdl").then_some(("ordinary.kdl", base.as_str()));
                    Day::read(name, &invalid, base).err().map(|e| e.problems)
                };
                let problems = problems.unwrap_or_default();
                let lines: Vec<String> =
                    problems.iter().map(|p| format!("{}: {}", p.line, p.message)).collect();
                let _ = writeln!(reported, "    {}", lines.join("\n    "));
            }
        }
    }
    fixtures().assert_text("mistakes.txt", &reported);
}

/// Guards against any change of the behaviour of the gateway, the write-back buffer or the scheduler: each
/// event is in the record.
#[test]
fn days_on_virtual_time_give_the_recorded_results() {
    let mut text = String::new();
    for (name, seconds) in PLAYED {
        for seed in SEEDS {
            let day = Day { seed, ..Day::load(&root().join("days").join(name)).expect("a day").0 };
            let played = play(&day, seconds, Policy::Module);
            let mut bytes = Vec::new();
            let records: &[Record] = &played.ledger.records;
            records.iter().for_each(|record| record.write(&mut bytes));
            let (events, service) = (played.events, played.report.service);
            let _ = writeln!(
                text,
                "{name}, seed {seed}: {} records, {:016x}, {events} events, service {service:.6}, report {:016x}",
                records.len(),
                checksum(&bytes),
                checksum(played.report.text().as_bytes())
            );
        }
    }
    fixtures().assert_text("played-days.txt", &text);
}
