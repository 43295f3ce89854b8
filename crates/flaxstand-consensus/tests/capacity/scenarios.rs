//! What is played to count costs: a fleet at rest, one change of settings, the loss of the leader.

use crate::fleet::{Count, Fleet, HostRole, LEASE, Traffic, host_name, version_after};
use flaxstand_consensus::Micros;
use flaxstand_consensus::participant::OperatorReply;
use flaxstand_consensus::replicated_state::{Change, ReplicatedState};
use std::time::Duration;

/// How long a fleet at rest is watched: a whole number of asks of each member.
const REST: Micros = Micros(5 * LEASE.0);
/// Changes before the one that is counted: as many older versions are kept as ever are.
pub const CHANGES_BEFORE: usize = 6;
/// How long after a proposal its leader is lost: it is committed, and some members act on it.
const LOST_AFTER: Micros = Micros(400_000);
pub const SEED: u64 = 20;

/// What the busiest host of a role had to do, each count by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Busiest {
    pub sent: Count,
    pub received: Count,
    pub states_received: u64,
    pub members_examined: u64,
}

impl Busiest {
    fn of(role: HostRole, traffic: &[(HostRole, Traffic)]) -> Busiest {
        let most = |of: fn(&Traffic) -> u64| {
            traffic.iter().filter(|(r, _)| *r == role).map(|(_, t)| of(t)).max().unwrap_or(0)
        };
        Busiest {
            sent: Count { messages: most(|t| t.sent.messages), bytes: most(|t| t.sent.bytes) },
            received: Count { messages: most(|t| t.received.messages), bytes: most(|t| t.received.bytes) },
            states_received: most(|t| t.states_received),
            members_examined: most(|t| t.members_examined),
        }
    }
}

/// The costs by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// On virtual time.
    pub lasted: Micros,
    pub leader: Busiest,
    pub replica: Busiest,
    pub member: Busiest,
}

impl Costs {
    /// What passed since the counters were set back, at that moment.
    pub fn of(fleet: &Fleet, since: Micros) -> Costs {
        let traffic = fleet.traffic();
        Costs {
            lasted: fleet.now.since(since),
            leader: Busiest::of(HostRole::Leader, &traffic),
            replica: Busiest::of(HostRole::Replica, &traffic),
            member: Busiest::of(HostRole::Member, &traffic),
        }
    }

    /// A count for each second.
    pub fn per_second(&self, count: u64) -> f64 {
        count as f64 * 1e6 / self.lasted.0 as f64
    }
}

/// How long a change took on virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub median: Micros,
    pub percentile_99: Micros,
    pub last: Micros,
}

impl InForce {
    fn of(since: &[Micros], proposed: Micros) -> InForce {
        let at = |part: f64| since[((since.len() - 1) as f64 * part).round() as usize].since(proposed);
        InForce { median: at(0.5), percentile_99: at(0.99), last: at(1.0) }
    }
}

/// One change of settings.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCosts {
    pub costs: Costs,
    pub in_force: InForce,
    /// From the proposal until the next one is taken.
    pub next_taken_after: Micros,
    /// Of a member, once it is in force.
    pub state_bytes: u64,
    /// The leader's, on the machine that played it. Never asserted.
    pub leader_busy: Duration,
}

impl ChangeCosts {
    /// All but what depends on the machine.
    pub fn counts(&self) -> (Costs, InForce, Micros, u64) {
        (self.costs, self.in_force, self.next_taken_after, self.state_bytes)
    }
}

/// The leader is killed while a change is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLoss {
    /// From the loss until another leads that has committed all that it knows of.
    pub led_after: Micros,
    /// From the loss until the change is in force everywhere.
    pub in_force_after: Micros,
    /// From the loss until the next change is taken: proposals before that are refused.
    pub next_taken_after: Micros,
    /// How many times a member lost its lease until the change was in force.
    pub leases_lost: u64,
    /// From the loss until the change is in force everywhere.
    pub costs: Costs,
}

pub fn rest(count: usize) -> Costs {
    let mut fleet = Fleet::at_rest(count, SEED);
    costs_at_rest(&mut fleet)
}

pub fn costs_at_rest(fleet: &mut Fleet) -> Costs {
    fleet.reset_counters();
    let since = fleet.now;
    fleet.run_for(REST);
    Costs::of(fleet, since)
}

pub fn change(count: usize) -> ChangeCosts {
    let mut fleet = Fleet::at_rest(count, SEED);
    change_after(&mut fleet, count, CHANGES_BEFORE)
}

/// The costs of one change after some others that are not counted.
pub fn change_after(fleet: &mut Fleet, count: usize, changes_before: usize) -> ChangeCosts {
    for _ in 0..changes_before {
        change_in_force(fleet, count);
        fleet.run_for(LEASE);
    }
    costs_of_change(fleet, count)
}

/// Proposes one change and goes on until `count` hosts act on it.
fn costs_of_change(fleet: &mut Fleet, count: usize) -> ChangeCosts {
    fleet.reset_counters();
    let since = fleet.now;
    let version = change_in_force(fleet, count);
    let leader = fleet.leader().expect("there is a leader");
    let (costs, leader_busy) = (Costs::of(fleet, since), fleet.busy(leader));
    let in_force = InForce::of(&fleet.acting_alone_since(version), since);
    let state_bytes = fleet.state_bytes(leader);
    fleet.propose_until_taken();
    let next_taken_after = fleet.now.since(since);
    ChangeCosts { costs, in_force, next_taken_after, state_bytes, leader_busy }
}

fn change_in_force(fleet: &mut Fleet, count: usize) -> u64 {
    let version = fleet.propose();
    fleet.run_until("the change is in force everywhere", |f| f.acting_alone(version) == count);
    version
}

pub fn leader_loss(count: usize) -> LeaderLoss {
    let mut fleet = Fleet::at_rest(count, SEED);
    let version = fleet.propose();
    fleet.run_for(LOST_AFTER);
    let lost = fleet.now;
    fleet.reset_counters();
    fleet.kill(fleet.leader().expect("there is a leader"));
    // The process that was killed is no lease that ran out.
    fleet.lost_leases = 0;
    fleet.run_until("another leads", |f| f.leader().is_some_and(|leader| f.takes_proposals(leader)));
    let led_after = fleet.now.since(lost);
    fleet.run_until("the change is in force everywhere", |f| f.acting_alone(version) == count - 1);
    let in_force_after = fleet.now.since(lost);
    let costs = Costs::of(&fleet, lost);
    let leases_lost = fleet.lost_leases;
    fleet.propose_until_taken();
    LeaderLoss { led_after, in_force_after, next_taken_after: fleet.now.since(lost), leases_lost, costs }
}

/// A proposal that is refused, since it was made from an older version: the costs until members asked again.
pub fn refused_proposal(count: usize) -> Costs {
    let mut fleet = Fleet::at_rest(count, SEED);
    fleet.reset_counters();
    let since = fleet.now;
    fleet.propose_from_older_version();
    fleet.run_for(LEASE);
    assert!(matches!(fleet.replies.last(), Some(OperatorReply::Refused(_))), "{:?}", fleet.replies.last());
    Costs::of(&fleet, since)
}

/// What follows when a host joins a fleet at rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinCosts {
    /// Copies of the whole replicated state that the newcomer was sent.
    pub newcomer_states: u64,
    /// Likewise all others, together.
    pub others_states: u64,
    /// Bytes that all hosts sent, together, until members asked again.
    pub bytes_sent: u64,
}

/// A host joins: the costs until members asked again.
pub fn join(count: usize) -> JoinCosts {
    let mut fleet = Fleet::at_rest(count, SEED);
    fleet.reset_counters();
    let newcomer = fleet.add_host();
    fleet.run_for(LEASE);
    assert_eq!(fleet.acting_alone(1), count + 1, "the newcomer has joined");
    assert_eq!(fleet.members_listed(0), count + 1, "replicas list it");
    let traffic = fleet.traffic();
    let all_states: u64 = traffic.iter().map(|(_, t)| t.states_received).sum();
    let newcomer_states = traffic[newcomer].1.states_received;
    JoinCosts {
        newcomer_states,
        others_states: all_states - newcomer_states,
        bytes_sent: traffic.iter().map(|(_, t)| t.sent.bytes).sum(),
    }
}

/// A fleet at rest in which leaders admit fewer members than there are hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeyondBound {
    pub costs: Costs,
    pub log_entries: u64,
    pub members_listed: usize,
    pub on_version: usize,
    pub fallback_rules: usize,
    /// Copies of the whole replicated state that hosts were sent, together.
    pub states_received: u64,
}

pub fn rest_beyond_bound(count: usize, max_members: usize) -> BeyondBound {
    let mut fleet = Fleet::at_rest_with_max_members(count, max_members, SEED);
    let log_before = fleet.last_entry();
    let costs = costs_at_rest(&mut fleet);
    BeyondBound {
        costs,
        log_entries: fleet.last_entry() - log_before,
        members_listed: fleet.members_listed(0),
        on_version: fleet.acting_alone(1),
        fallback_rules: fleet.fallback_rules(),
        states_received: fleet.traffic().iter().map(|(_, t)| t.states_received).sum(),
    }
}

/// Refused proposals until every replica has put the replicated state in the place of entries, a host that
/// joins, and the loss of the leader: then how many hosts act on a change that the next leader is sent.
pub fn change_after_entries_without_effect(count: usize, refused: usize) -> usize {
    let mut fleet = Fleet::at_rest(count, SEED);
    for _ in 0..refused {
        fleet.propose_from_older_version();
        fleet.run_for(Micros(LEASE.0 / 100));
    }
    fleet.add_host();
    fleet.run_for(LEASE);
    fleet.kill(fleet.leader().expect("there is a leader"));
    fleet.run_until("another leads", |f| f.leader().is_some_and(|leader| f.takes_proposals(leader)));
    // Leases of the leader before have ended then.
    fleet.run_for(Micros(2 * LEASE.0));
    let version = fleet.propose();
    fleet.run_for(Micros(2 * LEASE.0));
    fleet.acting_alone(version)
}

/// The replicated state after so many changes, with so many members.
pub fn state_after(changes: u64, members: usize) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for base in 0..changes {
        let number = state.apply(Change::Propose { base, version: version_after(base) }).expect("it follows");
        if number > 1 {
            let why = format!("confirmed by {members}");
            state.apply(Change::InForce { number, why, at: 0 }).expect("it is under way");
        }
    }
    for member in 0..members {
        state.apply(Change::Join(host_name(member))).expect("there is room");
    }
    state
}
