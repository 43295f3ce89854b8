//! `flaxstand settings status` and `wait`: who acts on which version, and what a change waits for.

use super::SettingsCommandError;
use super::initiators::{InitiatorStatus, Initiators, POLL_INTERVAL};
use flaxstand_consensus::participant::StatusReport;
use std::time::{Duration, Instant};

/// Prints what the initiators report.
pub fn print(initiators: &Initiators, json: bool) {
    let statuses = initiators.statuses();
    if json {
        let all: Vec<serde_json::Value> = statuses.iter().map(json_object).collect();
        println!("{}", serde_json::json!({ "initiators": all }));
        return;
    }
    statuses.iter().for_each(print_initiator);
    match leader(&statuses) {
        None => println!("no keeper leads: leases run out, and then the floor holds"),
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
                report.replica.as_ref().map(|replica| format!(", keeper: {replica}")).unwrap_or_default();
            let (rules, lease_ms) = (&report.active_rules, report.lease_ms);
            println!("{name}: acts on {rules}, for {lease_ms} ms yet{replica}");
        }
        Err(error) => println!("{name}: {error}"),
    }
}

/// The report of the initiator that leads.
fn leader(statuses: &[InitiatorStatus]) -> Option<&StatusReport> {
    let reports = statuses.iter().filter_map(|status| status.report.as_deref().ok());
    reports.into_iter().find(|report| report.leader.as_ref() == Some(&report.name))
}

fn print_leader(leader: &StatusReport) {
    println!("{} leads in term {}; voters: {}", leader.name, leader.term, leader.voters.join(" "));
    if !leader.unresponsive.is_empty() {
        println!("keepers that are not heard: {}", leader.unresponsive.join(" "));
    }
    match (leader.versions.in_force, leader.versions.next) {
        (0, _) => println!("no version yet: all act on the floor of their files"),
        (in_force, None) => println!("version {in_force} is in force"),
        (in_force, Some(next)) => println!("version {in_force} is in force, version {next} under way"),
    }
    for blocker in &leader.blockers {
        let ends = blocker.ends_ms.map(|ms| format!(", at most {ms} ms")).unwrap_or_default();
        println!("held up by {}: {}{ends}", blocker.who, blocker.why);
    }
}

/// Waits until no change is under way.
pub fn wait(initiators: &Initiators, longest: Duration) -> Result<(), SettingsCommandError> {
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
        if started.elapsed() >= longest {
            return Err(SettingsCommandError::NotInForce { cause: what_blocks(leader) });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn what_blocks(leader: Option<&StatusReport>) -> String {
    let Some(leader) = leader else { return "nobody leads".into() };
    let blockers: Vec<String> =
        leader.blockers.iter().map(|blocker| format!("{}: {}", blocker.who, blocker.why)).collect();
    blockers.join("; ")
}
