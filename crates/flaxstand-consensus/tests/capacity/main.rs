//! Growth of the consensus costs with the number of members. The costs are counts on virtual time: messages,
//! bytes, copies of the replicated state, examined members. `docs/CAPACITY.md` has the formulas. A test fails
//! when the *order* of growth changes, for the worse or for the better. Whoever changes a mechanism on
//! purpose updates its test and the page with it.
//!
//! `cargo test -p flaxstand-consensus --test capacity -- --nocapture` prints the tables. The measurements of
//! large fleets check nothing; run them with `--release -- --ignored --nocapture NAME`.

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

/// Numbers of hosts in the simulated fleets, including those with a replica.
const SIZES: [usize; 4] = [50, 100, 200, 400];

/// Results of a scenario by fleet size.
type Results<T> = OnceLock<BTreeMap<usize, T>>;

/// Runs a scenario for each fleet size, once for all tests.
fn run_once<T>(results: &'static Results<T>, scenario: fn(usize) -> T) -> &'static BTreeMap<usize, T> {
    results.get_or_init(|| SIZES.iter().map(|size| (*size, scenario(*size))).collect())
}

fn idle_costs() -> &'static BTreeMap<usize, Costs> {
    static RESULTS: Results<Costs> = OnceLock::new();
    run_once(&RESULTS, scenarios::idle)
}

fn change_costs() -> &'static BTreeMap<usize, ChangeCosts> {
    static RESULTS: Results<ChangeCosts> = OnceLock::new();
    run_once(&RESULTS, scenarios::change)
}

fn leader_losses() -> &'static BTreeMap<usize, LeaderLoss> {
    static RESULTS: Results<LeaderLoss> = OnceLock::new();
    run_once(&RESULTS, scenarios::leader_loss)
}

fn rejected_proposals() -> &'static BTreeMap<usize, Costs> {
    static RESULTS: Results<Costs> = OnceLock::new();
    run_once(&RESULTS, scenarios::rejected_proposal)
}

/// Pairs each fleet size with a value of its result.
fn points<T>(results: &BTreeMap<usize, T>, value: impl Fn(&T) -> f64) -> Vec<(f64, f64)> {
    results.iter().map(|(size, result)| (*size as f64, value(result))).collect()
}

fn assert_growth(name: &str, points: &[(f64, f64)], growth: &Growth) {
    let advice = "if a mechanism changed on purpose, update its test and docs/CAPACITY.md";
    let fit = growth.check(points).unwrap_or_else(|error| panic!("{name}: {error}; {advice}"));
    println!("{name} = {}", tables::formula(&fit));
}

fn assert_constant(name: &str, points: &[(f64, f64)]) {
    assert_growth(name, points, &Growth::Constant);
}

fn assert_linear(name: &str, points: &[(f64, f64)], slope: Range<f64>) {
    assert_growth(name, points, &Growth::Linear(slope));
}

fn assert_quadratic(name: &str, points: &[(f64, f64)], coefficient: Range<f64>) {
    assert_growth(name, points, &Growth::Quadratic(coefficient));
}

/// Tests the checks themselves: each accepts its own order of growth and rejects all others. The cubic term
/// makes up 6 % of the largest value.
#[test]
fn growth_checks_distinguish_the_orders_of_growth() {
    let curve = |value: fn(f64) -> f64| SIZES.map(|size| (size as f64, value(size as f64)));
    let constant = curve(|_| 500.0);
    let linear = curve(|m| 500.0 + 10.0 * m);
    let quadratic = curve(|m| 500.0 + 10.0 * m + 0.1 * m * m);
    let cubic = curve(|m| 500.0 + 10.0 * m + 0.1 * m * m + 0.00002 * m * m * m);
    let linearithmic = curve(|m| 500.0 * m * m.log2());
    let (expect_linear, expect_quadratic) = (Growth::Linear(9.0..11.0), Growth::Quadratic(0.09..0.11));
    assert!(Growth::Constant.check(&constant).is_ok());
    assert!(expect_linear.check(&linear).is_ok());
    assert!(expect_quadratic.check(&quadratic).is_ok());
    for other in [linear, quadratic, cubic, linearithmic] {
        assert!(Growth::Constant.check(&other).is_err(), "accepted as constant: {other:?}");
    }
    for other in [constant, quadratic, cubic, linearithmic] {
        assert!(expect_linear.check(&other).is_err(), "accepted as linear: {other:?}");
    }
    for other in [constant, linear, cubic, linearithmic] {
        assert!(expect_quadratic.check(&other).is_err(), "accepted as quadratic: {other:?}");
    }
}

#[test]
fn repeated_runs_of_a_fleet_give_the_same_counts() {
    let size = SIZES[1];
    assert_eq!(scenarios::idle(size), idle_costs()[&size]);
    assert_eq!(scenarios::change(size).deterministic_values(), change_costs()[&size].deterministic_values());
    assert_eq!(scenarios::leader_loss(size), leader_losses()[&size]);
}

#[test]
fn the_cost_tables_are_printed() {
    idle_costs().iter().for_each(|(size, costs)| tables::print_idle(*size, costs));
    change_costs().iter().for_each(|(size, costs)| tables::print_change(*size, costs));
    leader_losses().iter().for_each(|(size, loss)| tables::print_leader_loss(*size, loss));
    // The state holds at least the version in force and its predecessor.
    assert!(change_costs().values().all(|change| change.state_bytes > 2 * fleet::TEXT_BYTES as u64));
}

/// Each member sends four requests per lease of 3 s and the leader answers all of them: 4/3 messages per
/// second in each direction.
#[test]
fn idle_traffic_of_the_leader_grows_linearly() {
    let per_second = |count: fn(&Costs) -> u64| points(idle_costs(), |costs| costs.per_second(count(costs)));
    assert_linear("leader, sent messages/s", &per_second(|c| c.leader.sent.messages), 1.3..1.37);
    assert_linear("leader, received messages/s", &per_second(|c| c.leader.received.messages), 1.3..1.37);
    assert_linear("leader, sent bytes/s", &per_second(|c| c.leader.sent.bytes), 50.0..60.0);
    assert_linear("leader, received bytes/s", &per_second(|c| c.leader.received.bytes), 60.0..75.0);
}

/// Each of the other replicas forwards the requests of a fifth of the members, and the responses to them.
#[test]
fn idle_traffic_of_a_follower_grows_linearly() {
    let per_second = |count: fn(&Costs) -> u64| points(idle_costs(), |costs| costs.per_second(count(costs)));
    assert_linear("follower, sent messages/s", &per_second(|c| c.replica.sent.messages), 0.5..0.57);
    assert_linear("follower, sent bytes/s", &per_second(|c| c.replica.sent.bytes), 23.0..27.0);
    assert_linear("follower, received bytes/s", &per_second(|c| c.replica.received.bytes), 23.0..27.0);
}

#[test]
fn idle_traffic_of_a_member_without_a_replica_does_not_grow() {
    let member = |count: fn(&Costs) -> u64| points(idle_costs(), |costs| count(costs) as f64);
    assert_constant("member, sent messages", &member(|c| c.member.sent.messages));
    assert_constant("member, received messages", &member(|c| c.member.received.messages));
    assert_constant("member, sent bytes", &member(|c| c.member.sent.bytes));
    assert_constant("member, received bytes", &member(|c| c.member.received.bytes));
    assert!(
        idle_costs().values().all(|costs| costs.member.states_received == 0),
        "a state was sent without a change"
    );
    assert!(
        idle_costs().values().all(|costs| costs.leader.members_examined == 0),
        "members were examined although no change is being rolled out"
    );
}

/// Each change sends two copies of the replicated state to each member, one when it is proposed and one when
/// it comes into force. The state lists all members, which gives 2 * (name + 1) bytes for each pair of
/// members.
#[test]
fn bytes_that_the_leader_sends_for_a_change_grow_quadratically() {
    let bytes = points(change_costs(), |change| change.costs.leader.sent.bytes as f64);
    let bytes_per_pair = 2.0 * (NAME_BYTES as f64 + 1.0);
    assert_quadratic("leader, bytes sent for a change", &bytes, bytes_per_pair * 0.9..bytes_per_pair * 1.1);
}

/// During a rollout the leader examines all members in each turn, and each message causes a turn.
#[test]
fn members_that_the_leader_examines_for_a_change_grow_quadratically() {
    let examined = points(change_costs(), |change| change.costs.leader.members_examined as f64);
    assert_quadratic("leader, members examined for a change", &examined, 1.8..2.6);
}

#[test]
fn for_a_change_leader_messages_grow_linearly_and_follower_bytes_quadratically() {
    let leader = points(change_costs(), |change| change.costs.leader.sent.messages as f64);
    assert_linear("leader, messages sent for a change", &leader, 2.8..3.3);
    let replica = points(change_costs(), |change| change.costs.replica.sent.bytes as f64);
    assert_quadratic("follower, bytes sent for a change", &replica, 5.0..7.5);
}

/// A member sends at most four requests and receives the state twice. Only the size of the state grows.
#[test]
fn a_member_without_a_replica_sends_few_messages_and_receives_two_states_for_a_change() {
    for (size, change) in change_costs() {
        let member = &change.costs.member;
        assert!(member.sent.messages <= 4, "{size} members: {member:?}");
        assert_eq!(member.states_received, 2, "{size} members: {member:?}");
    }
    let bytes = points(change_costs(), |change| change.costs.member.received.bytes as f64);
    let bytes_per_member = 2.0 * (NAME_BYTES as f64 + 1.0);
    assert_linear(
        "member, bytes received for a change",
        &bytes,
        bytes_per_member * 0.9..bytes_per_member * 1.1,
    );
}

#[test]
fn replicated_state_grows_by_the_same_bytes_for_each_member() {
    let sizes = [100, 1_000, 2_000, 4_000];
    let bytes = |members: usize| scenarios::state_after(0, members).bytes().len() as f64;
    let points: Vec<(f64, f64)> = sizes.iter().map(|members| (*members as f64, bytes(*members))).collect();
    let bytes_per_member = NAME_BYTES as f64 + 1.0;
    assert_linear("replicated state, bytes", &points, bytes_per_member - 0.01..bytes_per_member + 0.01);
}

#[test]
fn replicated_state_does_not_grow_with_the_number_of_changes() {
    let bytes = |changes: u64| scenarios::state_after(changes, 100).bytes().len();
    // All version numbers after 200 changes have three digits, so their encoded size stays the same.
    let (after_200, after_400) = (bytes(200), bytes(400));
    assert!(
        after_400.abs_diff(after_200) <= 1_024,
        "{after_200} bytes after 200 changes, {after_400} bytes after 400"
    );
}

#[test]
fn after_a_leader_loss_the_new_leaders_messages_grow_linearly_and_no_lease_is_lost() {
    let messages = points(leader_losses(), |loss| loss.costs.leader.sent.messages as f64);
    assert_linear("new leader, messages sent until the change is in force", &messages, 4.5..5.3);
    for (size, loss) in leader_losses() {
        assert_eq!(loss.leases_lost, 0, "leases lost, {size} members");
    }
}

/// A rejected proposal does not change the replicated state, so no host is sent one. In addition to its idle
/// traffic, the leader only sends the log entry to each other replica.
#[test]
fn a_rejected_proposal_sends_no_host_the_state() {
    for (size, costs) in rejected_proposals() {
        assert_eq!(costs.member.states_received, 0, "{size} members");
        assert_eq!(costs.replica.states_received, 0, "{size} members");
        let above_idle = |count: fn(&Costs) -> u64| {
            let idle = &idle_costs()[size];
            count(costs) as f64 - idle.per_second(count(idle)) * costs.duration.0 as f64 / 1e6
        };
        let member = above_idle(|c| c.member.received.bytes);
        let leader = above_idle(|c| c.leader.sent.bytes);
        println!("rejected proposal, {size} members: the leader sends {leader:.0} bytes more than when idle");
        assert!(member < 1.0, "{size} members: a member receives {member} bytes more than when idle");
        // The entry with its headers, at most twice to each other replica: the leader repeats it until it is
        // acknowledged.
        let max_bytes = 2 * (fleet::REPLICAS - 1) * (fleet::TEXT_BYTES + 500);
        assert!(
            leader <= max_bytes as f64,
            "{size} members: the leader sends {leader} bytes more than when idle, bound {max_bytes}"
        );
    }
}

/// Only replicas use the member list, so a join does not send the state to the other members.
#[test]
fn a_joining_host_causes_no_other_host_to_be_sent_the_state() {
    for size in [SIZES[0], SIZES[1]] {
        let join = scenarios::join(size);
        println!("one host joins {size} members: {join:?}");
        assert_eq!(join.other_hosts_states, 0, "{size} members: {join:?}");
        assert_eq!(join.new_host_states, 1, "{size} members: {join:?}");
    }
}

/// A host beyond the bound on members costs at most as much as an idle member: its requests write no log
/// entries and cause no state to be sent.
#[test]
fn hosts_beyond_the_bound_on_members_cost_no_more_than_members() {
    let (hosts, max_members) = (SIZES[1], SIZES[0]);
    let beyond = scenarios::idle_beyond_bound(hosts, max_members);
    println!("{beyond:?}");
    assert_eq!(beyond.member_count, max_members);
    assert_eq!(beyond.hosts_on_version, max_members);
    assert_eq!(beyond.hosts_on_fallback_rules, hosts - max_members);
    assert_eq!(beyond.log_entries, 0);
    assert_eq!(beyond.states_received, 0);
    // A fleet of the same size in which all hosts are members.
    let all_members = &idle_costs()[&hosts];
    for (bounded, unbounded) in [
        (beyond.costs.leader, all_members.leader),
        (beyond.costs.replica, all_members.replica),
        (beyond.costs.member, all_members.member),
    ] {
        assert_eq!(bounded.sent.messages, unbounded.sent.messages);
        assert_eq!(bounded.received.messages, unbounded.received.messages);
        assert!(
            bounded.sent.bytes <= unbounded.sent.bytes,
            "with hosts beyond the bound {bounded:?}, without {unbounded:?}"
        );
        assert!(
            bounded.received.bytes <= unbounded.received.bytes,
            "with hosts beyond the bound {bounded:?}, without {unbounded:?}"
        );
    }
}

/// Guards against hosts that miss a change after entries without effect, a snapshot and a change of leader.
#[test]
fn a_change_after_entries_without_effect_reaches_every_host() {
    // More entries than a replica keeps before it compacts its log.
    let (size, rejected) = (SIZES[0], 150);
    let hosts_on_change = scenarios::change_after_entries_without_effect(size, rejected);
    // The initial hosts, plus the one that joined, minus the killed leader.
    assert_eq!(hosts_on_change, size);
}
