//! Scenarios whose costs are measured: an idle fleet, one change of the settings, the loss of the leader, a
//! rejected proposal, a host that joins, and hosts beyond the bound on members.

use crate::fleet::{Count, Fleet, HostRole, LEASE, Traffic, host_name, version_after};
use flaxstand_consensus::Micros;
use flaxstand_consensus::participant::OperatorReply;
use flaxstand_consensus::replicated_state::{Change, ReplicatedState};
use std::time::Duration;

/// Time for which an idle fleet is measured: a multiple of the members' request interval.
const IDLE_DURATION: Micros = Micros(5 * LEASE.0);
/// Number of changes before the measured one. After them the replicated state holds the maximum number of
/// older versions.
pub const CHANGES_BEFORE: usize = 6;
/// Time from a proposal to the loss of the leader. By then the change is committed and some members apply it.
const LEADER_LOSS_DELAY: Micros = Micros(400_000);
pub const SEED: u64 = 20;

/// Maximum of each count over the hosts of a role. The maxima can come from different hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeakTraffic {
    pub sent: Count,
    pub received: Count,
    pub states_received: u64,
    pub members_examined: u64,
}

impl PeakTraffic {
    fn of(role: HostRole, traffic: &[(HostRole, Traffic)]) -> PeakTraffic {
        let max = |count: fn(&Traffic) -> u64| {
            traffic.iter().filter(|(r, _)| *r == role).map(|(_, t)| count(t)).max().unwrap_or(0)
        };
        PeakTraffic {
            sent: Count { messages: max(|t| t.sent.messages), bytes: max(|t| t.sent.bytes) },
            received: Count { messages: max(|t| t.received.messages), bytes: max(|t| t.received.bytes) },
            states_received: max(|t| t.states_received),
            members_examined: max(|t| t.members_examined),
        }
    }
}

/// Costs of a scenario by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// Virtual time from the start of the measurement to its end.
    pub duration: Micros,
    pub leader: PeakTraffic,
    pub replica: PeakTraffic,
    pub member: PeakTraffic,
}

impl Costs {
    /// The costs since the last reset of the counters, which was at `since`.
    pub fn of(fleet: &Fleet, since: Micros) -> Costs {
        let traffic = fleet.traffic();
        Costs {
            duration: fleet.now.since(since),
            leader: PeakTraffic::of(HostRole::Leader, &traffic),
            replica: PeakTraffic::of(HostRole::Replica, &traffic),
            member: PeakTraffic::of(HostRole::Member, &traffic),
        }
    }

    /// Converts a count to a rate per second.
    pub fn per_second(&self, count: u64) -> f64 {
        count as f64 * 1e6 / self.duration.0 as f64
    }
}

/// Virtual time from a proposal until hosts apply the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub median: Micros,
    pub percentile_99: Micros,
    pub last: Micros,
}

impl InForce {
    fn of(since: &[Micros], proposed: Micros) -> InForce {
        let quantile = |q: f64| since[((since.len() - 1) as f64 * q).round() as usize].since(proposed);
        InForce { median: quantile(0.5), percentile_99: quantile(0.99), last: quantile(1.0) }
    }
}

/// Costs of one change of the settings.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCosts {
    pub costs: Costs,
    pub in_force: InForce,
    /// Time from the proposal until the next proposal is committed.
    pub next_committed_after: Micros,
    /// Encoded size of the leader's replicated state in bytes once the change is in force.
    pub state_bytes: u64,
    /// Time that the leader's turns took on the machine that runs the test. Never asserted.
    pub leader_turn_time: Duration,
}

impl ChangeCosts {
    /// Returns all values that do not depend on the machine.
    pub fn deterministic_values(&self) -> (Costs, InForce, Micros, u64) {
        (self.costs, self.in_force, self.next_committed_after, self.state_bytes)
    }
}

/// Costs of a change during which the leader is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLoss {
    /// Time from the loss until a new leader has committed all entries of its log.
    pub new_leader_after: Micros,
    /// Time from the loss until the change is in force on all hosts.
    pub in_force_after: Micros,
    /// Time from the loss until the next proposal is committed. Earlier proposals are rejected.
    pub next_committed_after: Micros,
    /// Number of leases that members lost until the change was in force.
    pub leases_lost: u64,
    /// Costs from the loss until the change is in force on all hosts.
    pub costs: Costs,
}

pub fn idle(count: usize) -> Costs {
    let mut fleet = Fleet::idle(count, SEED);
    idle_costs(&mut fleet)
}

pub fn idle_costs(fleet: &mut Fleet) -> Costs {
    fleet.reset_counters();
    let since = fleet.now;
    fleet.run_for(IDLE_DURATION);
    Costs::of(fleet, since)
}

pub fn change(count: usize) -> ChangeCosts {
    let mut fleet = Fleet::idle(count, SEED);
    change_after(&mut fleet, count, CHANGES_BEFORE)
}

/// The costs of one change after `changes_before` others that are not measured.
pub fn change_after(fleet: &mut Fleet, count: usize, changes_before: usize) -> ChangeCosts {
    for _ in 0..changes_before {
        roll_out_change(fleet, count);
        fleet.run_for(LEASE);
    }
    change_costs(fleet, count)
}

/// Proposes one change and runs until `count` hosts apply it.
fn change_costs(fleet: &mut Fleet, count: usize) -> ChangeCosts {
    fleet.reset_counters();
    let since = fleet.now;
    let version = roll_out_change(fleet, count);
    let leader = fleet.leader().expect("there is a leader");
    let (costs, leader_turn_time) = (Costs::of(fleet, since), fleet.turn_time(leader));
    let in_force = InForce::of(&fleet.on_version_since(version), since);
    let state_bytes = fleet.state_bytes(leader);
    fleet.propose_until_committed();
    let next_committed_after = fleet.now.since(since);
    ChangeCosts { costs, in_force, next_committed_after, state_bytes, leader_turn_time }
}

/// Proposes one change and runs until `count` hosts apply it. Returns the number of its version.
fn roll_out_change(fleet: &mut Fleet, count: usize) -> u64 {
    let version = fleet.propose();
    fleet.run_until("the change is in force on all hosts", |f| f.hosts_on_version(version) == count);
    version
}

pub fn leader_loss(count: usize) -> LeaderLoss {
    let mut fleet = Fleet::idle(count, SEED);
    let version = fleet.propose();
    fleet.run_for(LEADER_LOSS_DELAY);
    let lost_at = fleet.now;
    fleet.reset_counters();
    fleet.kill(fleet.leader().expect("there is a leader"));
    // The killed leader is not a lost lease.
    fleet.leases_lost = 0;
    fleet.run_until("there is a new leader that accepts proposals", |f| {
        f.leader().is_some_and(|leader| f.accepts_proposals(leader))
    });
    let new_leader_after = fleet.now.since(lost_at);
    fleet.run_until("the change is in force on all hosts", |f| f.hosts_on_version(version) == count - 1);
    let in_force_after = fleet.now.since(lost_at);
    let costs = Costs::of(&fleet, lost_at);
    let leases_lost = fleet.leases_lost;
    fleet.propose_until_committed();
    LeaderLoss {
        new_leader_after,
        in_force_after,
        next_committed_after: fleet.now.since(lost_at),
        leases_lost,
        costs,
    }
}

/// The costs of a proposal that is rejected because of its stale base version. Measured for one lease
/// duration, in which every member sends lease requests again.
pub fn rejected_proposal(count: usize) -> Costs {
    let mut fleet = Fleet::idle(count, SEED);
    fleet.reset_counters();
    let since = fleet.now;
    fleet.propose_from_stale_base();
    fleet.run_for(LEASE);
    assert!(matches!(fleet.replies.last(), Some(OperatorReply::Refused(_))), "{:?}", fleet.replies.last());
    Costs::of(&fleet, since)
}

/// Costs of a host that joins an idle fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinCosts {
    /// Copies of the replicated state that the new host received.
    pub new_host_states: u64,
    /// Copies of the replicated state that all other hosts received, in total.
    pub other_hosts_states: u64,
    /// Bytes that all hosts sent, in total.
    pub bytes_sent: u64,
}

/// The costs of a host that joins an idle fleet. Measured for one lease duration, in which every member sends
/// lease requests again.
pub fn join(count: usize) -> JoinCosts {
    let mut fleet = Fleet::idle(count, SEED);
    fleet.reset_counters();
    let new_host = fleet.add_host();
    fleet.run_for(LEASE);
    assert_eq!(fleet.hosts_on_version(1), count + 1, "the new host does not apply version 1");
    assert_eq!(fleet.member_count(0), count + 1, "the new host is not in the member list");
    let traffic = fleet.traffic();
    let all_states: u64 = traffic.iter().map(|(_, t)| t.states_received).sum();
    let new_host_states = traffic[new_host].1.states_received;
    JoinCosts {
        new_host_states,
        other_hosts_states: all_states - new_host_states,
        bytes_sent: traffic.iter().map(|(_, t)| t.sent.bytes).sum(),
    }
}

/// An idle fleet in which leaders admit fewer members than there are hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostsBeyondBound {
    pub costs: Costs,
    /// Entries written to the log while idle.
    pub log_entries: u64,
    pub member_count: usize,
    pub hosts_on_version: usize,
    pub hosts_on_fallback_rules: usize,
    /// Copies of the replicated state that hosts received, in total.
    pub states_received: u64,
}

pub fn idle_beyond_bound(count: usize, max_members: usize) -> CostsBeyondBound {
    let mut fleet = Fleet::idle_with_max_members(count, max_members, SEED);
    let log_before = fleet.last_index();
    let costs = idle_costs(&mut fleet);
    CostsBeyondBound {
        costs,
        log_entries: fleet.last_index() - log_before,
        member_count: fleet.member_count(0),
        hosts_on_version: fleet.hosts_on_version(1),
        hosts_on_fallback_rules: fleet.hosts_on_fallback_rules(),
        states_received: fleet.traffic().iter().map(|(_, t)| t.states_received).sum(),
    }
}

/// Sends `rejected` proposals with a stale base, enough for every replica to compact its log, then adds a
/// host, kills the leader and proposes a change to the next leader. Returns the number of hosts that apply
/// the change.
pub fn change_after_entries_without_effect(count: usize, rejected: usize) -> usize {
    let mut fleet = Fleet::idle(count, SEED);
    for _ in 0..rejected {
        fleet.propose_from_stale_base();
        fleet.run_for(Micros(LEASE.0 / 100));
    }
    fleet.add_host();
    fleet.run_for(LEASE);
    fleet.kill(fleet.leader().expect("there is a leader"));
    fleet.run_until("there is a new leader that accepts proposals", |f| {
        f.leader().is_some_and(|leader| f.accepts_proposals(leader))
    });
    // Waits until the leases of the previous leader have expired.
    fleet.run_for(Micros(2 * LEASE.0));
    let version = fleet.propose();
    fleet.run_for(Micros(2 * LEASE.0));
    fleet.hosts_on_version(version)
}

/// Builds a replicated state with the given numbers of changes and members.
pub fn state_after(changes: u64, members: usize) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for base in 0..changes {
        let number = state
            .apply(Change::Propose { base, version: version_after(base) })
            .expect("the base is the newest version");
        if number > 1 {
            let why = format!("confirmed by {members}");
            state.apply(Change::InForce { number, why, at: 0 }).expect("the version is being rolled out");
        }
    }
    for member in 0..members {
        state.apply(Change::Join(host_name(member))).expect("below the bound on members");
    }
    state
}
