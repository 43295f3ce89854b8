//! `flaxstand check`, `flaxstand rehearse`, and the processes of a rehearsal.

use crate::Failure;
use crate::args::{Files, Measured, Press, Rehearsal, Role};
use crate::scale;
use crate::settings::tell_terms;
use flaxstand_audit::AttemptLedger;
use flaxstand_gateway::settings::{SettingsError, read_daemon};
use flaxstand_simulation::day::{Day, DayError};
use flaxstand_simulation::experiment::Experiment;
use flaxstand_simulation::node::Identity;
use flaxstand_simulation::press::{self, Pressure};
use flaxstand_simulation::rehearse::{self, Plan, StandIn};
use flaxstand_simulation::report::Report;
use flaxstand_simulation::{measure, measure_buffer};
use flaxstand_simulation::{swarm, world};
use miette::GraphicalReportHandler;
use std::path::Path;
use std::time::Instant;

/// A file's text.
pub fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| {
        eprintln!("flaxstand: cannot read {}: {e}", path.display());
        Failure::File
    })
}

/// Tells all that is wrong with a file: a line each, then the places in it.
pub fn told<T>(read: Result<T, SettingsError>) -> Result<T, Failure> {
    read.map_err(|e| {
        eprintln!("{e}\n");
        let mut places = String::new();
        if GraphicalReportHandler::new().with_width(100).render_report(&mut places, &e).is_ok() {
            // The first lines repeat what was said above.
            let from = places.find('╭').or(places.find(",-")).unwrap_or(0);
            let from = places[..from].rfind('\n').map_or(0, |n| n + 1);
            eprintln!("{}", &places[from..]);
        }
        Failure::File
    })
}

/// Tells why a day, or what names days, can't be read.
fn unreadable<T>(e: DayError) -> Result<T, Failure> {
    match e {
        DayError::Settings(problems) => told(Err(problems)),
        DayError::Io { .. } => {
            eprintln!("flaxstand: {e}");
            Err(Failure::File)
        }
    }
}

/// What the system or a process would not do.
pub fn system(e: impl std::fmt::Display) -> Failure {
    Failure::System(e.to_string())
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|e| Failure::System(format!("cannot write {}: {e}", path.display())))
}

/// Prints a result for people and writes it as JSON where asked; `-` prints the JSON in place of the text.
pub fn told_result(json: serde_json::Result<String>, text: &str, to: Option<&Path>) -> Result<(), Failure> {
    let json = json.map_err(system)? + "\n";
    match to {
        Some(path) if path.as_os_str() == "-" => print!("{json}"),
        Some(path) => {
            write(path, &json)?;
            print!("{text}");
        }
        None => print!("{text}"),
    }
    Ok(())
}

fn read_day(path: &Path) -> Result<(Day, String), Failure> {
    Day::load(path).or_else(unreadable)
}

pub fn check(path: &Path) -> Result<(), Failure> {
    let text = read(path)?;
    let name = path.display();
    // A day says so; all else is taken for settings.
    if text.lines().any(|l| l.trim_start().starts_with("day ")) {
        let (day, _) = read_day(path)?;
        let (nodes, faults) = (day.fleet.nodes, day.faults.len());
        println!("{name}: a day of {} s with {nodes} nodes and {faults} faults", day.seconds);
    } else {
        let daemon = told(read_daemon(&name.to_string(), &text))?;
        println!("{name}: settings of initiator {}", daemon.config.name);
        if let Some(a) = daemon.consensus.map(|a| a.config) {
            tell_terms(path, a.lease_duration.ms(), a.max_clock_drift, a.election_timeout.ms());
        }
    }
    Ok(())
}

pub fn rehearse(r: Rehearsal) -> Result<(), Failure> {
    let (day, text) = read_day(&r.day)?;
    let seconds = r.seconds.unwrap_or(day.seconds).clamp(0.1, 86_400.0);
    if r.virtually && day.accord.is_some() {
        let day = r.day.display();
        return Err(Failure::System(format!(
            "{day}: initiators agree on this day: play it without --virtual"
        )));
    }
    if r.virtually {
        let played = world::play(&day, seconds, r.policy);
        if let Some(folder) = &r.keep {
            let mut lines = Vec::new();
            played.ledger.records.iter().for_each(|record| record.write(&mut lines));
            let kept = std::fs::create_dir_all(folder);
            kept.and_then(|()| std::fs::write(folder.join("records.jsonl"), lines)).map_err(system)?;
        }
        return told_report(&day, &played.ledger, &played.report, r.json.as_deref(), r.html.as_deref());
    }
    let program = std::env::current_exe().map_err(system)?;
    let folder = r.keep.clone().unwrap_or_else(rehearse::fresh_folder);
    let (file, policy) = (r.day.clone(), r.policy.name().to_owned());
    let plan = Plan { program, file, text, day, seconds, policy, folder: folder.clone() };
    let played = rehearse::rehearse(&plan);
    if r.keep.is_none() {
        if played.is_ok() {
            rehearse::clean(&folder);
        } else {
            eprintln!("flaxstand: logs and records are in {}", folder.display());
        }
    }
    let (report, ledger) = played.map_err(system)?;
    told_report(&plan.day, &ledger, &report, r.json.as_deref(), r.html.as_deref())
}

pub fn report(day: &Path, folder: &Path, json: Option<&Path>, html: Option<&Path>) -> Result<(), Failure> {
    let (day, _) = read_day(day)?;
    let (report, ledger) = rehearse::audited(&day, folder).map_err(system)?;
    told_report(&day, &ledger, &report, json, html)
}

fn told_report(
    day: &Day,
    ledger: &AttemptLedger,
    report: &Report,
    to: Option<&Path>,
    html: Option<&Path>,
) -> Result<(), Failure> {
    if let Some(path) = html {
        write(path, &flaxstand_simulation::html::page(day, ledger, report).map_err(system)?)?;
    }
    told_result(serde_json::to_string_pretty(report), &report.text(), to)?;
    if report.kept() { Ok(()) } else { Err(Failure::Rule) }
}

pub fn swarm(first: u64, days: u64, threads: usize, folder: &Path) -> Result<(), Failure> {
    let begun = Instant::now();
    let searched = swarm::search(flaxstand_gateway::core::Policy::Module, first, days, threads, |played| {
        if played % 500 == 0 {
            eprintln!("{played} days, {:.0} s", begun.elapsed().as_secs_f64());
        }
    });
    let (played, tries) = (searched.days, searched.tries);
    println!("{played} days from seed {first} on, {tries} tries, {:.0} s", begun.elapsed().as_secs_f64());
    let Some(found) = searched.found else {
        println!("no rule broken");
        return Ok(());
    };
    let path = folder.join(format!("{}.kdl", found.drawn.seed));
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, found.small.text()));
    written.map_err(|e| Failure::System(format!("cannot write {}: {e}", path.display())))?;
    let (faults, small) = (found.drawn.faults.len(), found.small.faults.len());
    println!("seed {}: {}", found.drawn.seed, found.what);
    println!(
        "cut from {faults} faults to {small}, {:.1} s to {:.1} s: {}",
        found.drawn.seconds,
        found.small.seconds,
        path.display()
    );
    Err(Failure::Rule)
}

pub fn experiment(
    file: &Path,
    resume: Option<&Path>,
    json: Option<&Path>,
    html: Option<&Path>,
    threads: usize,
) -> Result<(), Failure> {
    let plan = Experiment::load(file).or_else(unreadable)?;
    let begun = Instant::now();
    let outcome = plan
        .run(resume, threads, |done, all| {
            if done % 10 == 0 || done == all {
                eprintln!("{done} of {all} runs, {:.0} s", begun.elapsed().as_secs_f64());
            }
        })
        .map_err(system)?;
    if let Some(path) = html {
        write(path, &flaxstand_simulation::html::experiment_page(&outcome).map_err(system)?)?;
    }
    told_result(serde_json::to_string_pretty(&outcome), &outcome.text(), json)
}

pub fn measure(what: Measured, seconds: f64, json: Option<&Path>) -> Result<(), Failure> {
    let program = std::env::current_exe().map_err(system)?;
    let folder = rehearse::fresh_folder();
    if what == Measured::Buffer {
        let measured =
            measure_buffer::measure(&program, &folder, seconds.clamp(0.5, 600.0)).map_err(system)?;
        rehearse::clean(&folder);
        return told_result(serde_json::to_string_pretty(&measured), &measured.text(), json);
    }
    let seconds = seconds.clamp(0.5, 600.0);
    let figures = match what {
        Measured::Agreement => measure::measure_agreement(&program, &folder, seconds, 5),
        _ => measure::measure(&program, &folder, seconds),
    };
    let figures = figures.map_err(system)?;
    rehearse::clean(&folder);
    told_result(serde_json::to_string_pretty(&figures), &figures.text(), json)
}

pub fn load(p: Press, alone: bool) -> Result<(), Failure> {
    let Press { initiator, shards, clients, window, rate, write, seconds } = p;
    let pressure = Pressure { initiator, shards, clients, window, rate, write, seconds };
    press::serve_press(pressure, alone).map_err(system)
}

pub fn stand_in(role: Role) -> Result<(), Failure> {
    let what = |f: Files| StandIn { listen: f.listen, record: f.record, data: f.data, alone: false };
    let served = match role {
        Role::List { files } => rehearse::serve_list(&what(files)),
        Role::Node { day, node, shard, incarnation, cold, files } => {
            let (day, _) = read_day(&day)?;
            let id = Identity { node, incarnation, shard, zone: shard % day.fleet.zones };
            rehearse::serve_node(&day, id, cold, &what(files))
        }
        Role::Echo { mute, files } => press::serve_echo(mute, &what(files)),
        Role::NodeList(arguments) => return scale::node_list(arguments),
        Role::Hollow(arguments) => return scale::hollow(arguments),
        Role::Press(press) => return load(press, false),
        Role::Load { day, seconds, initiator, files } => {
            let (day, _) = read_day(&day)?;
            rehearse::serve_load(day, seconds, initiator, &what(files))
        }
    };
    served.map_err(system)
}
