//! Gate between the stages of a rollout. The next stage may start once every member has confirmed the
//! current one or no longer holds a lease for an older one. Prevents two initiators from acting on stages
//! that are not consecutive.

use super::LeaseManager;
use super::member_lease::MemberLease;
use crate::replica::InjectedFault;
use crate::replicated_state::{Change, ReplicatedState};
use flaxstand_proto::Micros;
use serde::{Deserialize, Serialize};

/// Maximum number of unconfirmed members that a history entry names.
const MAX_NAMED_MEMBERS: usize = 8;

/// A condition that prevents the next stage from starting. Serialised, also as JSON, under these names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blocker {
    /// The member concerned, or a description of all members with leases from an earlier leader.
    pub who: String,
    /// The reason, for operators.
    pub why: String,
    /// Time in milliseconds until the condition ends by itself; `None` if it does not.
    pub ends_ms: Option<u64>,
}

impl LeaseManager {
    /// Conditions that prevent the next stage from starting; empty if it may start.
    pub fn blockers(&self, state: &ReplicatedState, now: Micros) -> Vec<Blocker> {
        let needs_all_members = state.needs_all_members();
        let mut blockers = Vec::new();
        // A new leader does not know which leases earlier leaders granted.
        if now < self.earlier_leases_until {
            blockers.push(Blocker {
                who: "the previous leader".to_owned(),
                why: "leases that it granted may not have expired".to_owned(),
                ends_ms: Some(ms_until(self.earlier_leases_until, now)),
            });
        }
        let members = state.members.keys();
        blockers.extend(members.filter_map(|name| self.member_blocker(name, state, needs_all_members, now)));
        blockers
    }

    /// Returns the condition, if any, by which a member prevents the next stage from starting. With
    /// `needs_all_members` each member has to confirm, even one without a lease.
    fn member_blocker(
        &self,
        name: &str,
        state: &ReplicatedState,
        needs_all_members: bool,
        now: Micros,
    ) -> Option<Blocker> {
        let lease = self.leases.get(name).filter(|_| self.stage == state.stage);
        let has_confirmed = lease.is_some_and(|lease| lease.has_confirmed);
        let has_earlier_start_ended = lease.is_some_and(|lease| now >= lease.earlier_start_until());
        if has_confirmed && has_earlier_start_ended {
            return None;
        }
        let older_stage_until = lease.map_or(Micros(0), MemberLease::older_stage_until);
        let awaits_leases = self.injected_fault != InjectedFault::LeasesNotAwaited;
        let (why, ends_ms) = if let Some(reason) = lease.and_then(|lease| lease.unable_reason.clone()) {
            (reason, None)
        } else if needs_all_members && !has_confirmed {
            ("the floor changes: this member has to confirm the version".to_owned(), None)
        } else if now < older_stage_until && awaits_leases {
            let why = "it may act on the previous rules until its lease expires".to_owned();
            (why, Some(ms_until(older_stage_until, now)))
        } else {
            return None;
        };
        Some(Blocker { who: name.to_owned(), why, ends_ms })
    }

    /// Returns the change that puts the version being rolled out in force, if there is one and nothing
    /// blocks it. `unix_time` is in microseconds and goes into the history.
    pub fn change_in_force(
        &mut self,
        state: &ReplicatedState,
        unix_time: u64,
        now: Micros,
    ) -> Option<Change> {
        let next = state.next.as_ref()?;
        self.members_examined += state.members.len() as u64;
        if !self.blockers(state, now).is_empty() {
            return None;
        }
        Some(Change::InForce { number: next.number, why: self.confirmations(state), at: unix_time })
    }

    /// Summary for the history: how many members confirmed, and which did not.
    fn confirmations(&self, state: &ReplicatedState) -> String {
        let has_confirmed = |name: &&String| self.leases.get(*name).is_some_and(|lease| lease.has_confirmed);
        let (confirmed, unconfirmed): (Vec<&String>, Vec<&String>) =
            state.members.keys().partition(has_confirmed);
        let mut text = format!("confirmed by {}", confirmed.len());
        if !unconfirmed.is_empty() {
            let named = unconfirmed.iter().take(MAX_NAMED_MEMBERS);
            let named: Vec<&str> = named.map(|name| name.as_str()).collect();
            text += &format!(", without a lease: {} ({})", unconfirmed.len(), named.join(" "));
        }
        text
    }
}

fn ms_until(deadline: Micros, now: Micros) -> u64 {
    deadline.since(now).0.div_ceil(1000)
}
