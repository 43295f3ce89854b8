//! `flaxstand`: the daemon, what operators do with it, and rehearsals.
//!
//! Exit codes: 0 all is well; 1 a rule was broken in a rehearsal; 2 wrong arguments or a file with problems;
//! 3 the system or a process failed.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod args;
mod buffer;
mod check;
mod connection;
mod daemon;
mod error;
mod files;
mod platform;
mod rehearsal;
mod scale;
mod settings;
mod stand_in;

use args::{Args, LogFormat, Task};
use clap::Parser;
use daemon::Purpose;
use error::CommandError;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

fn start_logging(args: &Args) {
    let filter = EnvFilter::try_new(&args.log).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log_format {
        LogFormat::Text => builder.with_target(false).with_ansi(false).init(),
        LogFormat::Json => builder.json().init(),
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    start_logging(&args);
    match run(args.task) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn run(task: Task) -> Result<(), CommandError> {
    match task {
        Task::Run { config: Some(config), with_parent, .. } => {
            daemon::run(&config, Purpose::Serve { with_parent })
        }
        Task::Run { config: None, .. } => platform::run(),
        Task::Check { file } => check::run(&file),
        Task::Rehearse(rehearsal) => rehearsal::rehearse(rehearsal),
        Task::Report { day, folder, json, html } => {
            rehearsal::report(&day, &folder, json.as_deref(), html.as_deref())
        }
        Task::Swarm { first, days, threads, found } => rehearsal::swarm(first, days, threads, &found),
        Task::Experiment { file, resume, json, html, threads } => {
            rehearsal::experiment(&file, resume.as_deref(), json.as_deref(), html.as_deref(), threads)
        }
        Task::Load(press) => stand_in::load(press, true),
        Task::Measure { what, seconds, json } => rehearsal::measure(what, seconds, json.as_deref()),
        Task::Scale(arguments) => scale::run(&arguments),
        Task::Buffer(task) => buffer::run(task),
        Task::Settings(task) => settings::run(task),
        Task::StandIn(role) => stand_in::run(role),
    }
}
