//! `flaxstand`: the initiator daemon, operator commands and rehearsals.
//!
//! Exit codes: 0 success; 1 a rule was broken in a rehearsal or a log is damaged; 2 invalid arguments or an
//! invalid file; 3 any other failure, of the system or of a process.
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

use args::{Args, Command, LogFormat};
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
    match run(args.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run { config: Some(config), with_parent, .. } => {
            daemon::run(&config, Purpose::Serve { with_parent })
        }
        Command::Run { config: None, .. } => platform::run(),
        Command::Check { file } => check::run(&file),
        Command::Rehearse(arguments) => rehearsal::rehearse(arguments),
        Command::Report { day, folder, json, html } => {
            rehearsal::report(&day, &folder, json.as_deref(), html.as_deref())
        }
        Command::Swarm { first, days, threads, found } => rehearsal::swarm(first, days, threads, &found),
        Command::Experiment { file, resume, json, html, threads } => {
            rehearsal::experiment(&file, resume.as_deref(), json.as_deref(), html.as_deref(), threads)
        }
        Command::Load(arguments) => stand_in::load(arguments, true),
        Command::Measure { what, seconds, json } => rehearsal::measure(what, seconds, json.as_deref()),
        Command::Scale(arguments) => scale::run(&arguments),
        Command::Buffer(command) => buffer::run(command),
        Command::Settings(arguments) => settings::run(arguments),
        Command::StandIn(role) => stand_in::run(role),
    }
}
