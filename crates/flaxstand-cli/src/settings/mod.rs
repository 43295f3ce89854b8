//! `flaxstand settings`: the settings that initiators agree on. `initiators` asks them, `status` reports on them.

mod initiators;
mod status;

use crate::args::{SettingsArgs, SettingsTask};
use crate::error::CommandError;
use crate::files::{print_problems, read_text};
use flaxstand_consensus::participant::{OperatorRequest, RolloutBounds};
use flaxstand_consensus::replicated_state::{ReplicatedState, Version};
use flaxstand_consensus::rules::{ChangeKind, Rules, Value};
use flaxstand_gateway::settings::{read_daemon, read_rules};
use initiators::Initiators;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Longest that a change is waited for, seconds.
const MAX_WAIT_SECONDS: f64 = 1e6;

/// Why settings that initiators agree on could not be read or changed.
#[derive(Debug, Error)]
pub enum SettingsCommandError {
    /// The site's initiators do not agree on settings.
    #[error("{file}: no agreement: initiators of this site read their files alone")]
    NoAgreement {
        /// The settings file.
        file: String,
    },
    /// A version that no initiator has.
    #[error("version {number} is not kept, only {}", numbers(.stored))]
    UnknownVersion {
        /// Its number.
        number: u64,
        /// Numbers of the versions that there are.
        stored: Vec<u64>,
    },
    /// The leader rejected a request.
    #[error("refused: {0}")]
    Rejected(String),
    /// No leader was found.
    #[error("no keeper leads; the last word: {last_answer}")]
    NoLeader {
        /// What was answered last.
        last_answer: String,
    },
    /// Nobody knows the replicated state.
    #[error("no initiator knows what was agreed on")]
    UnknownState,
    /// A change is not in force in its time.
    #[error("not in force yet: {cause}")]
    NotInForce {
        /// What it waits for.
        cause: String,
    },
}

fn numbers(stored: &[u64]) -> String {
    let numbers: Vec<String> = stored.iter().map(u64::to_string).collect();
    numbers.join(", ")
}

/// Carries out one task.
pub fn run(arguments: SettingsArgs) -> Result<(), CommandError> {
    let file = arguments.config.display().to_string();
    let daemon = print_problems(read_daemon(&file, &read_text(&arguments.config)?))?;
    let consensus = daemon.consensus.ok_or(SettingsCommandError::NoAgreement { file })?;
    let initiators = Initiators::of(&consensus.config);
    match arguments.task {
        SettingsTask::Propose { file, dry_run, wait } => {
            let text = read_text(&file)?;
            let rules = print_problems(read_rules(&file.display().to_string(), &text))?;
            propose(&initiators, Proposal { rules, text }, dry_run, wait)
        }
        SettingsTask::Status { json } => {
            status::print(&initiators, json);
            Ok(())
        }
        SettingsTask::History => print_history(&initiators),
        SettingsTask::Show { number } => print_version(&initiators, number),
        SettingsTask::Withdraw { number } => withdraw(&initiators, number),
        SettingsTask::Revert { number } => revert(&initiators, number),
        SettingsTask::Wait { seconds } => Ok(status::wait(&initiators, wait_time(seconds))?),
        SettingsTask::Forget { name } => forget(&initiators, name),
    }
}

fn wait_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_WAIT_SECONDS))
}

fn operator() -> String {
    std::env::var("USER").unwrap_or_else(|_| "an operator".into())
}

/// The host's calendar, microseconds since 1970.
fn calendar() -> u64 {
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
    print!("{}", version(&state, number.unwrap_or(state.in_force.number))?.text);
    Ok(())
}

fn version(state: &ReplicatedState, number: u64) -> Result<&Version, SettingsCommandError> {
    let all = state.previous.iter().chain([&state.in_force]).chain(&state.next);
    let stored: Vec<&Version> = all.filter(|version| version.number > 0).collect();
    let found = stored.iter().find(|version| version.number == number).copied();
    found.ok_or_else(|| SettingsCommandError::UnknownVersion {
        number,
        stored: stored.iter().map(|version| version.number).collect(),
    })
}

fn withdraw(initiators: &Initiators, number: u64) -> Result<(), CommandError> {
    initiators.ask_leader(&OperatorRequest::Withdraw { number, by: operator(), at: calendar() })?;
    println!("version {number} is withdrawn");
    Ok(())
}

fn revert(initiators: &Initiators, number: u64) -> Result<(), CommandError> {
    let state = initiators.replicated_state()?;
    let Version { rules, text, .. } = version(&state, number)?.clone();
    propose(initiators, Proposal { rules, text }, false, None)
}

fn forget(initiators: &Initiators, name: String) -> Result<(), CommandError> {
    initiators.ask_leader(&OperatorRequest::Forget(name.clone()))?;
    println!("{name} is no member any more");
    Ok(())
}

/// Rules that are proposed as the next version, with the file that they were read from.
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
        print_steps(&in_force.rules, &rules);
        let objections = rules.objections(&in_force.rules);
        objections.iter().for_each(|why| println!("not possible: {why}"));
        if !objections.is_empty() {
            return Err(CommandError::InvalidFile);
        }
        if in_force.rules == rules {
            println!("nothing changes");
            return Ok(());
        }
    }
    if dry_run {
        return Ok(());
    }
    let version = Version { number: 0, rules, text, by: operator(), at: calendar() };
    let number = initiators.ask_leader(&OperatorRequest::Propose { base: in_force.number, version })?;
    println!("version {number} is agreed on");
    match wait_seconds {
        Some(seconds) => Ok(status::wait(initiators, wait_time(seconds))?),
        None => Ok(()),
    }
}

/// What a proposal changes, a line each.
fn print_steps(from: &Rules, to: &Rules) {
    for step in from.changes(to) {
        let meaning = match step.kind {
            ChangeKind::Narrows => "narrows: acted on as soon as it is heard",
            ChangeKind::Widens => "widens: acted on once nobody acts on the old value any more",
            ChangeKind::Blocks => "has no value between: nothing of the kind is done until it is in force",
            ChangeKind::Unordered => "contradicts nothing",
        };
        let (old, new) = (text_of(step.before.as_ref()), text_of(step.after.as_ref()));
        println!("{}: {old} -> {new}  {meaning}", step.key);
    }
    for (key, value) in &to.fallback {
        let old = from.fallback.get(key);
        if old != Some(value) {
            println!("floor of {key}: {} -> {value}", text_of(old));
        }
    }
}

fn text_of(value: Option<&Value>) -> String {
    value.map_or("none".into(), ToString::to_string)
}

/// Prints how long a change takes under a file's agreement, for `check`.
pub fn print_rollout_bounds(path: &Path, lease_ms: f64, clock_error: f64, election_ms: f64) {
    let bounds = RolloutBounds::of(lease_ms, clock_error, election_ms);
    println!(
        "{}: two initiators act on rules that contradict each other for {} ms at most; a change is in force within \
         {} ms of its proposal where a leader lives, {} ms where it is lost",
        path.display(),
        bounds.contradiction_ms,
        bounds.rollout_ms,
        bounds.rollout_without_leader_ms
    );
}
