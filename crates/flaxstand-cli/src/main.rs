//! `flaxstand`: the daemon and its rehearsal kit.
//!
//! Exit codes: 0 all is well; 1 a rule was broken in a rehearsal; 2 wrong arguments or a file with problems;
//! 3 the system or a process failed.
#![forbid(unsafe_code)]

mod args;
mod buffer;
mod caller;
mod daemon;
mod kit;
mod platform;
mod scale;
mod settings;

use args::{Args, LogFormat, Task};
use clap::Parser;
use daemon::Purpose;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Why a task ended badly, and with which exit code.
enum Failure {
    /// A file with problems; already told.
    File,
    /// A rule was broken; already told.
    Rule,
    /// The system, or another process.
    System(String),
}

fn log(args: &Args) {
    let filter = EnvFilter::try_new(&args.log).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log_format {
        LogFormat::Text => builder.with_target(false).with_ansi(false).init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    log(&args);
    let done = match args.task {
        Task::Run { config: Some(config), with_parent, .. } => {
            daemon::run(&config, Purpose::Serve { with_parent })
        }
        Task::Run { config: None, .. } => platform::run(),
        Task::Check { file } => kit::check(&file),
        Task::Rehearse(rehearsal) => kit::rehearse(rehearsal),
        Task::Report { day, folder, json, html } => {
            kit::report(&day, &folder, json.as_deref(), html.as_deref())
        }
        Task::Swarm { first, days, threads, found } => kit::swarm(first, days, threads, &found),
        Task::Experiment { file, resume, json, html, threads } => {
            kit::experiment(&file, resume.as_deref(), json.as_deref(), html.as_deref(), threads)
        }
        Task::Load(press) => kit::load(press, true),
        Task::Measure { what, seconds, json } => kit::measure(what, seconds, json.as_deref()),
        Task::Scale(arguments) => scale::run(&arguments),
        Task::Buffer(task) => buffer::run(task),
        Task::Settings(task) => settings::run(task),
        Task::StandIn(role) => kit::stand_in(role),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Rule) => ExitCode::from(1),
        Err(Failure::File) => ExitCode::from(2),
        Err(Failure::System(message)) => {
            eprintln!("flaxstand: {message}");
            ExitCode::from(3)
        }
    }
}
