//! Measurements of large fleets and of the size of the replicated state at its bounds. They print values for
//! `docs/CAPACITY.md` and check nothing.

use crate::fleet::{Fleet, HostRole, LEASE};
use crate::scenarios::{CHANGES_BEFORE, SEED, change_after, idle_costs, leader_loss, state_after};
use crate::{scenarios, tables};
use flaxstand_consensus::Micros;
use flaxstand_consensus::replica::MAX_STATE_BYTES;
use flaxstand_consensus::replicated_state::{
    Change, MAX_MEMBERS, MAX_RULES_BYTES, MAX_TEXT_BYTES, ReplicatedState, Version,
};
use flaxstand_consensus::rules::{Rules, Value};

/// Number of changes before the measured one in very large fleets, where each change takes long to simulate.
const FEW_CHANGES_BEFORE: usize = 1;

fn measure(size: usize, changes_before: usize) {
    let mut fleet = Fleet::started(size, SEED);
    let since = fleet.now;
    fleet.run_until("all hosts apply version 1", |f| f.hosts_on_version(1) == size);
    println!(
        "{size} members started within one request interval apply version 1 after {:.0} ms",
        fleet.now.since(since).ms()
    );
    for (role, traffic) in fleet.traffic() {
        if role == HostRole::Leader {
            println!("    messages and bytes sent by the leader until then: {:?}", traffic.sent);
        }
    }
    // Lets the last joins reach all replicas before the measurement starts.
    fleet.run_for(LEASE);
    let idle = idle_costs(&mut fleet);
    tables::print_idle(size, &idle);
    let change = change_after(&mut fleet, size, changes_before);
    tables::print_change(size, &change);
    println!(
        "    the leader's turns took {:.1} ms on this machine",
        change.leader_turn_time.as_secs_f64() * 1e3
    );
}

#[test]
#[ignore = "measurement only"]
fn measurement_processor_time_of_a_change() {
    for size in crate::SIZES {
        let change = scenarios::change(size);
        println!(
            "{size} members: the leader's turns took {:.1} ms",
            change.leader_turn_time.as_secs_f64() * 1e3
        );
    }
}

#[test]
#[ignore = "measurement only"]
fn measurement_1000_members() {
    measure(1_000, CHANGES_BEFORE);
    tables::print_leader_loss(1_000, &leader_loss(1_000));
}

#[test]
#[ignore = "measurement only; takes a minute and 2 GB of memory"]
fn measurement_4000_members() {
    measure(4_000, FEW_CHANGES_BEFORE);
}

/// Runs more hosts than `MAX_MEMBERS`. The hosts beyond the bound are rejected and repeat their lease
/// requests.
#[test]
#[ignore = "measurement only; takes a minute and 3 GB of memory"]
fn measurement_4600_members_of_which_some_are_beyond_max_members() {
    let size = 4_600;
    let mut fleet = Fleet::started(size, SEED);
    fleet.run_until("MAX_MEMBERS hosts apply version 1", |f| f.hosts_on_version(1) >= MAX_MEMBERS);
    fleet.reset_counters();
    let (since, log_before) = (fleet.now, fleet.last_index());
    fleet.run_for(Micros(750_000));
    println!(
        "{size} hosts: {} on version 1, {} on the fallback rules, {} admitted as members",
        fleet.hosts_on_version(1),
        fleet.hosts_on_fallback_rules(),
        fleet.member_count(0)
    );
    println!(
        "    {} log entries written in {:.0} ms",
        fleet.last_index() - log_before,
        fleet.now.since(since).ms()
    );
    tables::print_idle(size, &scenarios::Costs::of(&fleet, since));
}

#[test]
#[ignore = "measurement only"]
fn measurement_bytes_of_the_replicated_state() {
    for changes in [1, 6, 200] {
        for members in [0, 1_000, MAX_MEMBERS] {
            let bytes = state_after(changes, members).bytes().len();
            println!("{members} members after {changes} changes: {bytes} of at most {MAX_STATE_BYTES} bytes");
        }
    }
}

/// Uses the longest names that the settings permit, and the largest texts and rules that a proposal can have.
/// A state larger than `MAX_STATE_BYTES` makes every replica panic in `Replica::compact`.
#[test]
#[ignore = "measurement only"]
fn measurement_bytes_of_the_replicated_state_at_its_bounds() {
    /// Maximum length of a name in the settings (`initiator "NAME"`).
    const MAX_NAME_BYTES: usize = 100;
    for (name_bytes, rules_bytes) in
        [(14, 0), (MAX_NAME_BYTES, 0), (14, MAX_RULES_BYTES), (MAX_NAME_BYTES, MAX_RULES_BYTES)]
    {
        let mut state = ReplicatedState::default();
        for base in 0..6 {
            let mut rules = Rules::default();
            let large = "x".repeat(rules_bytes.saturating_sub(64));
            rules.values.insert("class.read.effect".into(), Value::Text(large));
            let version = Version { rules, text: "x".repeat(MAX_TEXT_BYTES), ..Version::default() };
            let number =
                state.apply(Change::Propose { base, version }).expect("the base is the newest version");
            // Fails for the first version, which is in force at once.
            let _ = state.apply(Change::InForce { number, why: String::new(), at: 0 });
        }
        for member in 0..MAX_MEMBERS {
            state.apply(Change::Join(format!("{member:0name_bytes$}"))).expect("below the bound on members");
        }
        let bytes = state.bytes().len();
        println!(
            "{MAX_MEMBERS} names of {name_bytes} bytes, texts of {MAX_TEXT_BYTES} bytes, \
             rules of {rules_bytes} bytes: {bytes} of at most {MAX_STATE_BYTES} bytes"
        );
    }
}
