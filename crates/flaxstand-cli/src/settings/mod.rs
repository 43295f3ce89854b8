//! `flaxstand settings`: shows and changes the settings that initiators agree on. `initiators` sends requests
//! to the initiators, `status` prints and awaits the progress of a change.

mod initiators;
mod status;

use crate::args::{SettingsArgs, SettingsCommand};
use crate::error::CommandError;
use crate::files::{print_problems, read_text};
use flaxstand_consensus::participant::{OperatorRequest, RolloutBounds};
use flaxstand_consensus::replicated_state::{ReplicatedState, Version};
use flaxstand_consensus::rules::{ChangeKind, Rules, Value};
use flaxstand_gateway::settings::{read_daemon, read_rules};
use initiators::{Initiators, LEADER_TIMEOUT};
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Maximum time limit of a wait for a change, seconds.
const MAX_WAIT_SECONDS: f64 = 1e6;

/// Agreed settings could not be read or changed.
#[derive(Debug, Error)]
pub enum SettingsCommandError {
    /// The settings file has no agreement section.
    #[error("{file}: agreement is missing: each initiator of this site uses only its own settings file")]
    NoAgreement {
        /// Path of the settings file.
        file: String,
    },
    /// No initiator stores the version.
    #[error("version {number} is not stored, expected one of {}", join_numbers(.stored))]
    UnknownVersion {
        /// Number of the version.
        number: u64,
        /// Numbers of the stored versions.
        stored: Vec<u64>,
    },
    /// The leader rejected a request.
    #[error("the leader rejected the request: {0}")]
    Rejected(String),
    /// No leader was found in time.
    #[error("found no leader within {} s; last answer: {last_answer}", LEADER_TIMEOUT.as_secs())]
    NoLeader {
        /// Last answer of a voter, or why there was none.
        last_answer: String,
    },
    /// No initiator reports the replicated state.
    #[error("no initiator reports the agreed settings")]
    UnknownState,
    /// A change is not in force within the time limit.
    #[error("the change is not in force within the time limit: {cause}")]
    NotInForce {
        /// Conditions that block the change.
        cause: String,
    },
}

fn join_numbers(stored: &[u64]) -> String {
    let numbers: Vec<String> = stored.iter().map(u64::to_string).collect();
    numbers.join(", ")
}

/// Runs one command.
pub fn run(arguments: SettingsArgs) -> Result<(), CommandError> {
    let file = arguments.config.display().to_string();
    let daemon = print_problems(read_daemon(&file, &read_text(&arguments.config)?))?;
    let consensus = daemon.consensus.ok_or(SettingsCommandError::NoAgreement { file })?;
    let initiators = Initiators::from_config(&consensus.config);
    match arguments.command {
        SettingsCommand::Propose { file, dry_run, wait } => {
            let text = read_text(&file)?;
            let rules = print_problems(read_rules(&file.display().to_string(), &text))?;
            propose(&initiators, Proposal { rules, text }, dry_run, wait)
        }
        SettingsCommand::Status { json } => {
            status::print(&initiators, json);
            Ok(())
        }
        SettingsCommand::History => print_history(&initiators),
        SettingsCommand::Show { number } => print_version(&initiators, number),
        SettingsCommand::Withdraw { number } => withdraw(&initiators, number),
        SettingsCommand::Revert { number } => revert(&initiators, number),
        SettingsCommand::Wait { seconds } => Ok(status::wait(&initiators, wait_time(seconds))?),
        SettingsCommand::Forget { name } => forget(&initiators, name),
    }
}

fn wait_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT_SECONDS))
}

fn operator() -> String {
    std::env::var("USER").unwrap_or_else(|_| "an operator".into())
}

/// Microseconds since the Unix epoch by the host's clock.
fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn print_history(initiators: &Initiators) -> Result<(), CommandError> {
    for event in &initiators.replicated_state()?.history {
        let seconds = event.at / 1_000_000;
        println!("{seconds}  stage {}  version {}  {}", event.stage, event.number, event.description);
    }
    Ok(())
}

fn print_version(initiators: &Initiators, number: Option<u64>) -> Result<(), CommandError> {
    let state = initiators.replicated_state()?;
    print!("{}", find_version(&state, number.unwrap_or(state.in_force.number))?.text);
    Ok(())
}

fn find_version(state: &ReplicatedState, number: u64) -> Result<&Version, SettingsCommandError> {
    let versions = state.previous.iter().chain([&state.in_force]).chain(&state.next);
    let stored: Vec<&Version> = versions.filter(|version| version.number > 0).collect();
    let found = stored.iter().find(|version| version.number == number).copied();
    found.ok_or_else(|| SettingsCommandError::UnknownVersion {
        number,
        stored: stored.iter().map(|version| version.number).collect(),
    })
}

fn withdraw(initiators: &Initiators, number: u64) -> Result<(), CommandError> {
    initiators.ask_leader(&OperatorRequest::Withdraw { number, by: operator(), at: wall_clock() })?;
    println!("version {number} is withdrawn");
    Ok(())
}

fn revert(initiators: &Initiators, number: u64) -> Result<(), CommandError> {
    let state = initiators.replicated_state()?;
    let Version { rules, text, .. } = find_version(&state, number)?.clone();
    propose(initiators, Proposal { rules, text }, false, None)
}

fn forget(initiators: &Initiators, name: String) -> Result<(), CommandError> {
    initiators.ask_leader(&OperatorRequest::Forget(name.clone()))?;
    println!("{name} is removed from the members");
    Ok(())
}

/// Rules proposed as the next version, with the text of their file.
struct Proposal {
    rules: Rules,
    text: String,
}

fn propose(
    initiators: &Initiators,
    Proposal { rules, text }: Proposal,
    dry_run: bool,
    wait_seconds: Option<f64>,
) -> Result<(), CommandError> {
    let in_force = initiators.replicated_state().map(|state| state.in_force).unwrap_or_default();
    if in_force.number > 0 {
        print_changes(&in_force.rules, &rules);
        let objections = rules.objections(&in_force.rules);
        objections.iter().for_each(|objection| println!("not allowed: {objection}"));
        if !objections.is_empty() {
            return Err(CommandError::InvalidFile);
        }
        if in_force.rules == rules {
            println!("no change: these rules are in force already");
            return Ok(());
        }
    }
    if dry_run {
        return Ok(());
    }
    let version = Version { number: 0, rules, text, by: operator(), at: wall_clock() };
    let number = initiators.ask_leader(&OperatorRequest::Propose { base: in_force.number, version })?;
    println!("version {number} is committed");
    match wait_seconds {
        Some(seconds) => Ok(status::wait(initiators, wait_time(seconds))?),
        None => Ok(()),
    }
}

/// Prints the changes of a proposal, one per line.
fn print_changes(from: &Rules, to: &Rules) {
    for change in from.changes(to) {
        let meaning = match change.kind {
            ChangeKind::Narrows => {
                "narrows: takes effect on each initiator as soon as it receives the version"
            }
            ChangeKind::Widens => "widens: takes effect once no initiator acts on the old value",
            ChangeKind::Blocks => {
                "blocks: has no effect until the version is in force, as no value is compatible with both"
            }
            ChangeKind::Unordered => "compatible: does not contradict the old value",
        };
        let (old, new) = (value_text(change.before.as_ref()), value_text(change.after.as_ref()));
        println!("{}: {old} -> {new}  {meaning}", change.key);
    }
    for (key, value) in &to.fallback {
        let old = from.fallback.get(key);
        if old != Some(value) {
            println!("floor of {key}: {} -> {value}", value_text(old));
        }
    }
}

fn value_text(value: Option<&Value>) -> String {
    value.map_or("none".into(), ToString::to_string)
}

/// Prints the time bounds of a rollout under the agreement of a settings file, for `check`.
pub fn print_rollout_bounds(path: &Path, lease_ms: f64, clock_error: f64, election_ms: f64) {
    let bounds = RolloutBounds::of(lease_ms, clock_error, election_ms);
    println!(
        "{}: two initiators act on contradicting rules for at most {} ms; a change is in force within {} ms of \
         its proposal with a stable leader, within {} ms if the leader is lost",
        path.display(),
        bounds.contradiction_ms,
        bounds.rollout_ms,
        bounds.rollout_without_leader_ms
    );
}
