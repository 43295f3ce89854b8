//! `flaxstand check`: validates a settings file or a day.

use crate::error::CommandError;
use crate::files::{print_problems, read_day, read_text};
use crate::settings::print_rollout_bounds;
use flaxstand_gateway::settings::read_daemon;
use std::path::Path;

/// Validates a settings file or a day.
pub fn run(path: &Path) -> Result<(), CommandError> {
    let text = read_text(path)?;
    // A file with a `day` node is a day, any other is a settings file.
    if text.lines().any(|line| line.trim_start().starts_with("day ")) {
        check_day(path)
    } else {
        check_settings(path, &text)
    }
}

fn check_day(path: &Path) -> Result<(), CommandError> {
    let (day, _) = read_day(path)?;
    let (nodes, faults) = (day.fleet.nodes, day.faults.len());
    println!("{}: a day of {} s with {nodes} nodes and {faults} faults", path.display(), day.seconds);
    Ok(())
}

fn check_settings(path: &Path, text: &str) -> Result<(), CommandError> {
    let name = path.display().to_string();
    let daemon = print_problems(read_daemon(&name, text))?;
    println!("{name}: settings of initiator {}", daemon.config.name);
    if let Some(consensus) = daemon.consensus.map(|consensus| consensus.config) {
        print_rollout_bounds(
            path,
            consensus.lease_duration.ms(),
            consensus.max_clock_drift,
            consensus.election_timeout.ms(),
        );
    }
    Ok(())
}
