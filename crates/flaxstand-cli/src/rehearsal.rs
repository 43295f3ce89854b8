//! `flaxstand rehearse`, `report`, `swarm`, `experiment` and `measure`.

use crate::args::{Measurement, RehearseArgs};
use crate::error::CommandError;
use crate::files::{print_result, print_unreadable, read_day, write_text};
use flaxstand_audit::AttemptLedger;
use flaxstand_gateway::core::Policy;
use flaxstand_simulation::day::Day;
use flaxstand_simulation::experiment::Experiment;
use flaxstand_simulation::rehearse::{self, Plan};
use flaxstand_simulation::report::Report;
use flaxstand_simulation::{html, measure, measure_buffer, swarm, world};
use std::path::Path;
use std::time::Instant;

/// Range of the duration of a rehearsal, seconds.
const MIN_REHEARSAL_SECONDS: f64 = 0.1;
const MAX_REHEARSAL_SECONDS: f64 = 86_400.0;
/// Range of the duration of one measurement, seconds.
const MIN_MEASURE_SECONDS: f64 = 0.5;
const MAX_MEASURE_SECONDS: f64 = 600.0;
/// Number of pairs of runs with agreement on and off.
const AGREEMENT_ROUNDS: u32 = 5;

/// Plays a day, on virtual time or on loopback, and audits it.
pub fn rehearse(arguments: RehearseArgs) -> Result<(), CommandError> {
    let (day, text) = read_day(&arguments.day)?;
    let seconds = arguments.seconds.unwrap_or(day.seconds);
    let seconds = seconds.clamp(MIN_REHEARSAL_SECONDS, MAX_REHEARSAL_SECONDS);
    if arguments.virtual_time {
        rehearse_on_virtual_time(&arguments, &day, seconds)
    } else {
        rehearse_on_loopback(&arguments, day, text, seconds)
    }
}

fn rehearse_on_virtual_time(arguments: &RehearseArgs, day: &Day, seconds: f64) -> Result<(), CommandError> {
    if day.agreement.is_some() {
        return Err(CommandError::AgreementOnVirtualTime(arguments.day.clone()));
    }
    let outcome = world::play(day, seconds, arguments.policy);
    if let Some(folder) = &arguments.keep {
        keep_records(folder, &outcome.ledger)?;
    }
    let (json, html) = (arguments.json.as_deref(), arguments.html.as_deref());
    print_report(day, &outcome.ledger, &outcome.report, json, html)
}

fn keep_records(folder: &Path, ledger: &AttemptLedger) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    ledger.records.iter().for_each(|record| record.write(&mut lines));
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("records.jsonl"), lines)?;
    Ok(())
}

fn rehearse_on_loopback(
    arguments: &RehearseArgs,
    day: Day,
    text: String,
    seconds: f64,
) -> Result<(), CommandError> {
    let program = std::env::current_exe()?;
    let folder = arguments.keep.clone().unwrap_or_else(rehearse::fresh_folder);
    let (file, policy) = (arguments.day.clone(), arguments.policy.name().to_owned());
    let plan = Plan { program, file, text, day, seconds, policy, folder: folder.clone() };
    let outcome = rehearse::rehearse(&plan);
    if arguments.keep.is_none() {
        if outcome.is_ok() {
            rehearse::clean(&folder);
        } else {
            eprintln!("flaxstand: logs and records are in {}", folder.display());
        }
    }
    let (report, ledger) = outcome?;
    print_report(&plan.day, &ledger, &report, arguments.json.as_deref(), arguments.html.as_deref())
}

/// Audits the records that a rehearsal kept in a folder.
pub fn report(
    day: &Path,
    folder: &Path,
    json: Option<&Path>,
    html: Option<&Path>,
) -> Result<(), CommandError> {
    let (day, _) = read_day(day)?;
    let (report, ledger) = rehearse::audit_folder(&day, folder)?;
    print_report(&day, &ledger, &report, json, html)
}

fn print_report(
    day: &Day,
    ledger: &AttemptLedger,
    report: &Report,
    json: Option<&Path>,
    html: Option<&Path>,
) -> Result<(), CommandError> {
    if let Some(path) = html {
        let page = html::page(day, ledger, report).map_err(|error| CommandError::Page(error.to_string()))?;
        write_text(path, &page)?;
    }
    print_result(serde_json::to_string_pretty(report), &report.text(), json)?;
    if report.passed() { Ok(()) } else { Err(CommandError::RuleBroken) }
}

/// Plays random days until one breaks a rule, and minimises that day.
pub fn swarm(first: u64, days: u64, threads: usize, folder: &Path) -> Result<(), CommandError> {
    let started = Instant::now();
    let search = swarm::search(Policy::Module, first, days, threads, |played| {
        if played % 500 == 0 {
            eprintln!("{played} days, {:.0} s", started.elapsed().as_secs_f64());
        }
    });
    let (played, tries) = (search.days, search.tries);
    let seconds = started.elapsed().as_secs_f64();
    println!("{played} days from seed {first} on, {tries} client tries, {seconds:.0} s");
    let Some(found) = search.found else {
        println!("no rule broken");
        return Ok(());
    };
    let path = folder.join(format!("{}.kdl", found.generated.seed));
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, found.shrunk.text()));
    written.map_err(CommandError::io(format!("cannot write {}", path.display())))?;
    let (faults, small_faults) = (found.generated.faults.len(), found.shrunk.faults.len());
    let (seconds, small_seconds) = (found.generated.seconds, found.shrunk.seconds);
    println!("seed {}: {}", found.generated.seed, found.failure);
    println!(
        "minimised from {faults} faults to {small_faults}, {seconds:.1} s to {small_seconds:.1} s: {}",
        path.display()
    );
    Err(CommandError::RuleBroken)
}

/// Runs all variants of an experiment and compares their results.
pub fn experiment(
    file: &Path,
    resume: Option<&Path>,
    json: Option<&Path>,
    html: Option<&Path>,
    threads: usize,
) -> Result<(), CommandError> {
    let plan = Experiment::load(file).or_else(print_unreadable)?;
    let started = Instant::now();
    let outcome = plan.run(resume, threads, |done, all| {
        if done % 10 == 0 || done == all {
            eprintln!("{done} of {all} runs, {:.0} s", started.elapsed().as_secs_f64());
        }
    })?;
    if let Some(path) = html {
        let page = html::experiment_page(&outcome).map_err(|error| CommandError::Page(error.to_string()))?;
        write_text(path, &page)?;
    }
    print_result(serde_json::to_string_pretty(&outcome), &outcome.text(), json)
}

/// Measures the cost of an initiator.
pub fn measure(what: Measurement, seconds: f64, json: Option<&Path>) -> Result<(), CommandError> {
    let program = std::env::current_exe()?;
    let folder = rehearse::fresh_folder();
    let seconds = seconds.clamp(MIN_MEASURE_SECONDS, MAX_MEASURE_SECONDS);
    if what == Measurement::Buffer {
        let measured = measure_buffer::measure(&program, &folder, seconds)?;
        rehearse::clean(&folder);
        return print_result(serde_json::to_string_pretty(&measured), &measured.text(), json);
    }
    let measured = match what {
        Measurement::Agreement => measure::measure_agreement(&program, &folder, seconds, AGREEMENT_ROUNDS)?,
        Measurement::Requests | Measurement::Buffer => measure::measure(&program, &folder, seconds)?,
    };
    rehearse::clean(&folder);
    print_result(serde_json::to_string_pretty(&measured), &measured.text(), json)
}
