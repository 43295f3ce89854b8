//! How the costs of the agreement grow with the members, by counts on virtual time: messages, bytes, copies
//! of the replicated state, members looked at. `docs/CAPACITY.md` has the formulas. A test fails when the
//! *kind* of growth changes, for the worse or for the better: who mends one changes its test and the page
//! knowingly.
//!
//! `cargo test -p flaxstand-consensus --test capacity -- --nocapture` prints the tables. The measurements of
//! large fleets are no checks: `--release -- --ignored --nocapture NAME`.

mod fit;
mod fleet;
mod growth;
mod measurements;
mod scenarios;
mod tables;

use fleet::NAME_BYTES;
use growth::Growth;
use scenarios::{ChangeCosts, Costs, LeaderLoss};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::OnceLock;

/// Hosts of the fleets that are played, those with a replica included.
const SIZES: [usize; 4] = [50, 100, 200, 400];

type Played<T> = OnceLock<BTreeMap<usize, T>>;

/// Plays a scenario once for all tests.
fn played<T>(all: &'static Played<T>, scenario: fn(usize) -> T) -> &'static BTreeMap<usize, T> {
    all.get_or_init(|| SIZES.iter().map(|size| (*size, scenario(*size))).collect())
}

fn rests() -> &'static BTreeMap<usize, Costs> {
    static PLAYED: Played<Costs> = OnceLock::new();
    played(&PLAYED, scenarios::rest)
}

fn changes() -> &'static BTreeMap<usize, ChangeCosts> {
    static PLAYED: Played<ChangeCosts> = OnceLock::new();
    played(&PLAYED, scenarios::change)
}

fn leader_losses() -> &'static BTreeMap<usize, LeaderLoss> {
    static PLAYED: Played<LeaderLoss> = OnceLock::new();
    played(&PLAYED, scenarios::leader_loss)
}

fn refusals() -> &'static BTreeMap<usize, Costs> {
    static PLAYED: Played<Costs> = OnceLock::new();
    played(&PLAYED, scenarios::refused_proposal)
}

/// A value of each size.
fn points<T>(all: &BTreeMap<usize, T>, value: impl Fn(&T) -> f64) -> Vec<(f64, f64)> {
    all.iter().map(|(size, played)| (*size as f64, value(played))).collect()
}

fn assert_growth(what: &str, points: &[(f64, f64)], growth: &Growth) {
    let advice = "if a mechanism was changed, its test and docs/CAPACITY.md change with it";
    let fit = growth.check(points).unwrap_or_else(|why| panic!("{what}: {why}; {advice}"));
    println!("{what} = {}", tables::formula(&fit));
}

fn assert_no_growth(what: &str, points: &[(f64, f64)]) {
    assert_growth(what, points, &Growth::None);
}

fn assert_linear(what: &str, points: &[(f64, f64)], slope: Range<f64>) {
    assert_growth(what, points, &Growth::Linear(slope));
}

fn assert_square(what: &str, points: &[(f64, f64)], coefficient: Range<f64>) {
    assert_growth(what, points, &Growth::Square(coefficient));
}

/// The checks themselves: each kind of growth is taken for that kind alone. The cube makes 6 % of the largest
/// value.
#[test]
fn the_kinds_of_growth_are_told_apart() {
    let curve = |of: fn(f64) -> f64| SIZES.map(|size| (size as f64, of(size as f64)));
    let constant = curve(|_| 500.0);
    let line = curve(|m| 500.0 + 10.0 * m);
    let square = curve(|m| 500.0 + 10.0 * m + 0.1 * m * m);
    let cube = curve(|m| 500.0 + 10.0 * m + 0.1 * m * m + 0.00002 * m * m * m);
    let logarithm = curve(|m| 500.0 * m * m.log2());
    let (as_line, as_square) = (Growth::Linear(9.0..11.0), Growth::Square(0.09..0.11));
    assert!(Growth::None.check(&constant).is_ok());
    assert!(as_line.check(&line).is_ok());
    assert!(as_square.check(&square).is_ok());
    for grows in [line, square, cube, logarithm] {
        assert!(Growth::None.check(&grows).is_err(), "{grows:?}");
    }
    for other in [constant, square, cube, logarithm] {
        assert!(as_line.check(&other).is_err(), "{other:?}");
    }
    for other in [constant, line, cube, logarithm] {
        assert!(as_square.check(&other).is_err(), "{other:?}");
    }
}

#[test]
fn the_same_fleet_gives_the_same_counts_every_time() {
    let size = SIZES[1];
    assert_eq!(scenarios::rest(size), rests()[&size]);
    assert_eq!(scenarios::change(size).counts(), changes()[&size].counts());
    assert_eq!(scenarios::leader_loss(size), leader_losses()[&size]);
}

#[test]
fn tables_of_the_fleets_played_here() {
    rests().iter().for_each(|(size, costs)| tables::print_rest(*size, costs));
    changes().iter().for_each(|(size, costs)| tables::print_change(*size, costs));
    leader_losses().iter().for_each(|(size, loss)| tables::print_leader_loss(*size, loss));
    // A version that was in force before and the one that it gave way to, at the least.
    assert!(changes().values().all(|change| change.state_bytes > 2 * fleet::TEXT_BYTES as u64));
}

/// Each member asks four times in a lease of 3 s, and the leader answers all: 4/3 messages a second each way.
#[test]
fn at_rest_the_leaders_messages_and_bytes_grow_linearly() {
    let per_second = |of: fn(&Costs) -> u64| points(rests(), |costs| costs.per_second(of(costs)));
    assert_linear("leader, sent messages/s", &per_second(|c| c.leader.sent.messages), 1.3..1.37);
    assert_linear("leader, received messages/s", &per_second(|c| c.leader.received.messages), 1.3..1.37);
    assert_linear("leader, sent bytes/s", &per_second(|c| c.leader.sent.bytes), 50.0..60.0);
    assert_linear("leader, received bytes/s", &per_second(|c| c.leader.received.bytes), 60.0..75.0);
}

/// Another replica forwards the requests of a fifth of the members, and the responses.
#[test]
fn at_rest_another_replicas_messages_and_bytes_grow_linearly() {
    let per_second = |of: fn(&Costs) -> u64| points(rests(), |costs| costs.per_second(of(costs)));
    assert_linear("keeper, sent messages/s", &per_second(|c| c.replica.sent.messages), 0.5..0.57);
    assert_linear("keeper, sent bytes/s", &per_second(|c| c.replica.sent.bytes), 23.0..27.0);
    assert_linear("keeper, received bytes/s", &per_second(|c| c.replica.received.bytes), 23.0..27.0);
}

#[test]
fn at_rest_a_plain_members_messages_and_bytes_do_not_grow() {
    let member = |of: fn(&Costs) -> u64| points(rests(), |costs| of(costs) as f64);
    assert_no_growth("member, sent messages", &member(|c| c.member.sent.messages));
    assert_no_growth("member, received messages", &member(|c| c.member.received.messages));
    assert_no_growth("member, sent bytes", &member(|c| c.member.sent.bytes));
    assert_no_growth("member, received bytes", &member(|c| c.member.received.bytes));
    assert!(rests().values().all(|costs| costs.member.states_received == 0));
    assert!(rests().values().all(|costs| costs.leader.members_examined == 0), "no change is under way");
}

/// Two copies of the whole replicated state go to each member at each change, one as it is proposed and one
/// as it comes into force, and that state lists all members: 2 * (name + 1) bytes for each pair of members.
#[test]
fn a_changes_bytes_at_the_leader_grow_as_the_square_of_the_members_today() {
    let bytes = points(changes(), |change| change.costs.leader.sent.bytes as f64);
    let pair = 2.0 * (NAME_BYTES as f64 + 1.0);
    assert_square("leader, bytes sent for a change", &bytes, pair * 0.9..pair * 1.1);
}

/// While a change is under way the leader looks at all members in each turn, and has a turn for each message.
#[test]
fn members_that_the_leader_examines_for_a_change_grow_as_the_square_today() {
    let examined = points(changes(), |change| change.costs.leader.members_examined as f64);
    assert_square("leader, members examined for a change", &examined, 1.8..2.6);
}

#[test]
fn a_changes_messages_at_the_leader_and_bytes_at_a_replica_grow_no_faster_than_stated() {
    let leader = points(changes(), |change| change.costs.leader.sent.messages as f64);
    assert_linear("leader, messages sent for a change", &leader, 2.8..3.3);
    let replica = points(changes(), |change| change.costs.replica.sent.bytes as f64);
    assert_square("keeper, bytes sent for a change", &replica, 5.0..7.5);
}

/// It asks at most four times, and is sent the whole state twice: that state's size is all that grows.
#[test]
fn a_plain_member_takes_part_in_a_change_with_few_messages_and_two_states_today() {
    for (size, change) in changes() {
        let member = &change.costs.member;
        assert!(member.sent.messages <= 4, "{size} members: {member:?}");
        assert_eq!(member.states_received, 2, "{size} members: {member:?}");
    }
    let bytes = points(changes(), |change| change.costs.member.received.bytes as f64);
    let both = 2.0 * (NAME_BYTES as f64 + 1.0);
    assert_linear("member, bytes received for a change", &bytes, both * 0.9..both * 1.1);
}

#[test]
fn replicated_state_grows_by_the_same_bytes_for_each_member() {
    let sizes = [100, 1_000, 2_000, 4_000];
    let bytes = |members: usize| scenarios::state_after(0, members).bytes().len() as f64;
    let points: Vec<(f64, f64)> = sizes.iter().map(|members| (*members as f64, bytes(*members))).collect();
    let name = NAME_BYTES as f64 + 1.0;
    assert_linear("replicated state, bytes", &points, name - 0.01..name + 0.01);
}

#[test]
fn replicated_state_stops_growing_with_the_number_of_changes() {
    let bytes = |changes: u64| scenarios::state_after(changes, 100).bytes().len();
    let (full, later) = (bytes(200), bytes(400));
    // Numbers of three digits take no more bytes, whichever they are.
    assert!(later.abs_diff(full) <= 1_024, "{full} bytes after 200 changes, {later} after 400");
}

#[test]
fn after_the_loss_of_a_leader_its_followers_messages_grow_linearly_and_no_lease_is_lost() {
    let messages = points(leader_losses(), |loss| loss.costs.leader.sent.messages as f64);
    assert_linear("next leader, messages sent until in force", &messages, 4.5..5.3);
    for (size, loss) in leader_losses() {
        assert_eq!(loss.leases_lost, 0, "{size} members");
    }
}

/// A proposal that is refused changes nothing that anybody has to know: nobody is sent a state, and the
/// leader sends what it sends at rest and one entry to each other replica.
#[test]
fn a_refused_proposal_brings_nobody_the_state() {
    for (size, costs) in refusals() {
        assert_eq!(costs.member.states_received, 0, "{size} members");
        assert_eq!(costs.replica.states_received, 0, "{size} members");
        let more_than_at_rest = |of: fn(&Costs) -> u64| {
            let rest = &rests()[size];
            of(costs) as f64 - rest.per_second(of(rest)) * costs.lasted.0 as f64 / 1e6
        };
        let member = more_than_at_rest(|c| c.member.received.bytes);
        let leader = more_than_at_rest(|c| c.leader.sent.bytes);
        println!("{size} members, a refused proposal: the leader sends {leader:.0} bytes more than at rest");
        assert!(member < 1.0, "{size} members: one receives {member} bytes more than at rest");
        // The entry, at most twice to each other replica (again until it is known to be there), and its
        // headers.
        let entries = 2 * (fleet::REPLICAS - 1) * (fleet::TEXT_BYTES + 500);
        assert!(
            leader <= entries as f64,
            "{size} members: the leader sends {leader} bytes more than at rest"
        );
    }
}

/// Only replicas act on the list of members.
#[test]
fn a_host_that_joins_brings_no_other_the_state() {
    for size in [SIZES[0], SIZES[1]] {
        let join = scenarios::join(size);
        println!("{size} members and one that joins: {join:?}");
        assert_eq!(join.others_states, 0, "{size} members: {join:?}");
        assert_eq!(join.newcomer_states, 1, "{size} members: {join:?}");
    }
}

/// Hosts beyond the bound on members cost what members cost at rest, or less: their requests write no
/// entries, and nobody is sent a state for them.
#[test]
fn hosts_beyond_the_bound_on_members_leave_the_traffic_of_the_others_as_it_was() {
    let (hosts, max_members) = (SIZES[1], SIZES[0]);
    let beyond = scenarios::rest_beyond_bound(hosts, max_members);
    println!("{beyond:?}");
    assert_eq!(beyond.members_listed, max_members);
    assert_eq!(beyond.on_version, max_members);
    assert_eq!(beyond.fallback_rules, hosts - max_members);
    assert_eq!(beyond.log_entries, 0);
    assert_eq!(beyond.states_received, 0);
    // As many hosts that are all members.
    let all_members = &rests()[&hosts];
    for (refused, admitted) in [
        (beyond.costs.leader, all_members.leader),
        (beyond.costs.replica, all_members.replica),
        (beyond.costs.member, all_members.member),
    ] {
        assert_eq!(refused.sent.messages, admitted.sent.messages);
        assert_eq!(refused.received.messages, admitted.received.messages);
        assert!(refused.sent.bytes <= admitted.sent.bytes, "{refused:?}, {admitted:?}");
        assert!(refused.received.bytes <= admitted.received.bytes, "{refused:?}, {admitted:?}");
    }
}

/// Entries that change nothing leave no host behind: over snapshots and another leader a change reaches all.
#[test]
fn a_change_after_entries_without_effect_reaches_every_host() {
    let (size, more_than_a_snapshot_takes) = (SIZES[0], 150);
    let active_rules = scenarios::change_after_entries_without_effect(size, more_than_a_snapshot_takes);
    // All that were started, one that joined, one that was killed.
    assert_eq!(active_rules, size);
}
