//! `flaxstand settings status` and `wait`: the version that each initiator acts on and the conditions that
//! block a change.

use super::SettingsCommandError;
use super::initiators::{InitiatorStatus, Initiators, POLL_INTERVAL};
use flaxstand_consensus::participant::StatusReport;
use std::time::{Duration, Instant};

/// Prints the status of all initiators.
pub fn print(initiators: &Initiators, json: bool) {
    let statuses = initiators.statuses();
    if json {
        let all: Vec<serde_json::Value> = statuses.iter().map(json_object).collect();
        println!("{}", serde_json::json!({ "initiators": all }));
        return;
    }
    statuses.iter().for_each(print_initiator);
    match leader(&statuses) {
        None => println!("no leader: leases expire, after which the floor of the settings applies"),
        Some(leader) => print_leader(leader),
    }
}

fn json_object(status: &InitiatorStatus) -> serde_json::Value {
    match &status.report {
        Ok(report) => serde_json::to_value(report).unwrap_or_default(),
        Err(error) => serde_json::json!({ "name": status.name, "unreachable": error.to_string() }),
    }
}

fn print_initiator(InitiatorStatus { name, report }: &InitiatorStatus) {
    match report {
        Ok(report) => {
            let replica =
                report.replica.as_ref().map(|replica| format!(", replica: {replica}")).unwrap_or_default();
            let (rules, lease_ms) = (&report.active_rules, report.lease_ms);
            println!("{name}: acts on {rules}, lease expires in {lease_ms} ms{replica}");
        }
        Err(error) => println!("{name}: {error}"),
    }
}

/// Returns the report of the leader.
fn leader(statuses: &[InitiatorStatus]) -> Option<&StatusReport> {
    let reports = statuses.iter().filter_map(|status| status.report.as_deref().ok());
    reports.into_iter().find(|report| report.leader.as_ref() == Some(&report.name))
}

fn print_leader(leader: &StatusReport) {
    println!("{} leads in term {}; voters: {}", leader.name, leader.term, leader.voters.join(" "));
    if !leader.unresponsive.is_empty() {
        println!("voters that do not respond: {}", leader.unresponsive.join(" "));
    }
    match (leader.versions.in_force, leader.versions.next) {
        (0, _) => println!("no version yet: all initiators act on the floor of their settings files"),
        (in_force, None) => println!("version {in_force} is in force"),
        (in_force, Some(next)) => {
            println!("version {in_force} is in force, version {next} is being rolled out")
        }
    }
    for blocker in &leader.blockers {
        let limit = blocker.ends_ms.map(|ms| format!(", at most {ms} ms")).unwrap_or_default();
        println!("blocked by {}: {}{limit}", blocker.who, blocker.why);
    }
}

/// Waits until no change is being rolled out.
pub fn wait(initiators: &Initiators, timeout: Duration) -> Result<(), SettingsCommandError> {
    let started = Instant::now();
    loop {
        let statuses = initiators.statuses();
        let leader = leader(&statuses);
        if let Some(leader) = leader
            && leader.versions.next.is_none()
            && leader.blockers.is_empty()
        {
            println!("version {} is in force", leader.versions.in_force);
            return Ok(());
        }
        if started.elapsed() >= timeout {
            return Err(SettingsCommandError::NotInForce { cause: describe_blockers(leader) });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn describe_blockers(leader: Option<&StatusReport>) -> String {
    let Some(leader) = leader else { return "there is no leader".into() };
    let blockers: Vec<String> =
        leader.blockers.iter().map(|blocker| format!("{}: {}", blocker.who, blocker.why)).collect();
    blockers.join("; ")
}
