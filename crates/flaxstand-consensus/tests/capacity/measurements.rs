//! Measurements of large fleets, and of what bounds hold: printed for `docs/CAPACITY.md`, no checks.

use crate::fleet::{Fleet, HostRole, LEASE};
use crate::scenarios::{CHANGES_BEFORE, SEED, change_after, costs_at_rest, leader_loss, state_after};
use crate::{scenarios, tables};
use flaxstand_consensus::Micros;
use flaxstand_consensus::replica::MAX_STATE_BYTES;
use flaxstand_consensus::replicated_state::{
    Change, MAX_MEMBERS, MAX_RULES_BYTES, MAX_TEXT_BYTES, ReplicatedState, Version,
};
use flaxstand_consensus::rules::{Rules, Value};

/// Changes before the one that is measured, in large fleets: each takes its time to play.
const FEW_CHANGES: usize = 1;

fn measure(size: usize, changes_before: usize) {
    let mut fleet = Fleet::started(size, SEED);
    let since = fleet.now;
    fleet.run_until("all act on the first version", |f| f.acting_alone(1) == size);
    println!("{size} members started within one ask's time act on the first version {:.0} ms later", {
        fleet.now.since(since).ms()
    });
    for (role, traffic) in fleet.traffic() {
        if role == HostRole::Leader {
            println!("    the leader sent {:?} until then", traffic.sent);
        }
    }
    // Some have yet to hear of the last that joined.
    fleet.run_for(LEASE);
    let rest = costs_at_rest(&mut fleet);
    tables::print_rest(size, &rest);
    let change = change_after(&mut fleet, size, changes_before);
    tables::print_change(size, &change);
    println!("    the leader's turns took {:.1} ms here", change.leader_busy.as_secs_f64() * 1e3);
}

#[test]
#[ignore = "a measurement, no check"]
fn measurement_processor_time_of_a_change() {
    for size in crate::SIZES {
        let change = scenarios::change(size);
        println!("{size} members: the leader's turns took {:.1} ms", change.leader_busy.as_secs_f64() * 1e3);
    }
}

#[test]
#[ignore = "a measurement, no check"]
fn measurement_1000_members() {
    measure(1_000, CHANGES_BEFORE);
    tables::print_leader_loss(1_000, &leader_loss(1_000));
}

#[test]
#[ignore = "a measurement, no check: a minute and 2 GB"]
fn measurement_4000_members() {
    measure(4_000, FEW_CHANGES);
}

/// More than the replicated state lists: those beyond are refused, and ask again.
#[test]
#[ignore = "a measurement, no check: a minute and 3 GB"]
fn measurement_4600_members_of_which_some_are_beyond_max_members() {
    let size = 4_600;
    let mut fleet = Fleet::started(size, SEED);
    fleet.run_until("as many as are listed act on the first version", |f| f.acting_alone(1) >= MAX_MEMBERS);
    fleet.reset_counters();
    let (since, log_before) = (fleet.now, fleet.last_entry());
    fleet.run_for(Micros(750_000));
    println!(
        "{size} members: {} on a version, {} on the floor, {} listed",
        fleet.acting_alone(1),
        fleet.fallback_rules(),
        fleet.members_listed(0)
    );
    println!(
        "    {} entries were written in {:.0} ms",
        fleet.last_entry() - log_before,
        fleet.now.since(since).ms()
    );
    tables::print_rest(size, &scenarios::Costs::of(&fleet, since));
}

#[test]
#[ignore = "a measurement, no check"]
fn measurement_bytes_of_the_replicated_state() {
    for changes in [1, 6, 200] {
        for members in [0, 1_000, MAX_MEMBERS] {
            let bytes = state_after(changes, members).bytes().len();
            println!("{members} members after {changes} changes: {bytes} bytes of {MAX_STATE_BYTES}");
        }
    }
}

/// Names as long as the settings let them be, and files and rules as large as a proposal may have them: a
/// state beyond `MAX_STATE_BYTES` ends every replica at `Replica::compact`.
#[test]
#[ignore = "a measurement, no check"]
fn measurement_bytes_of_the_replicated_state_at_its_bounds() {
    /// Of the settings (`initiator "NAME"`).
    const LONGEST_NAME: usize = 100;
    for (name_bytes, rules_bytes) in
        [(14, 0), (LONGEST_NAME, 0), (14, MAX_RULES_BYTES), (LONGEST_NAME, MAX_RULES_BYTES)]
    {
        let mut state = ReplicatedState::default();
        for base in 0..6 {
            let mut rules = Rules::default();
            let large = "x".repeat(rules_bytes.saturating_sub(64));
            rules.values.insert("class.read.effect".into(), Value::Text(large));
            let version = Version { rules, text: "x".repeat(MAX_TEXT_BYTES), ..Version::default() };
            let number = state.apply(Change::Propose { base, version }).expect("it follows");
            let _first_is_in_force = state.apply(Change::InForce { number, why: String::new(), at: 0 });
        }
        for member in 0..MAX_MEMBERS {
            state.apply(Change::Join(format!("{member:0name_bytes$}"))).expect("there is room");
        }
        let bytes = state.bytes().len();
        println!(
            "{MAX_MEMBERS} names of {name_bytes} bytes, texts of {MAX_TEXT_BYTES}, rules of {rules_bytes}: \
             {bytes} bytes of {MAX_STATE_BYTES}"
        );
    }
}
