//! When the next stage of a rollout may begin: once every member has confirmed the present one, or has no
//! lease for an older one any more. Guards against two initiators that act on stages which do not follow each
//! other.

use super::LeaseManager;
use super::member_lease::MemberLease;
use crate::replica::InjectedFault;
use crate::replicated_state::{Change, ReplicatedState};
use flaxstand_proto::Micros;
use serde::{Deserialize, Serialize};

/// Members without confirmation that the history names, most.
const MAX_NAMED_MEMBERS: usize = 8;

/// What keeps the next stage from beginning. Sent, and shown as JSON, under these names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blocker {
    /// The member, or all that an earlier leader granted leases to.
    pub who: String,
    /// Why, in words for operators.
    pub why: String,
    /// In how long that ends by itself, milliseconds; none: it does not.
    pub ends_ms: Option<u64>,
}

impl LeaseManager {
    /// What keeps the next stage from beginning; empty: nothing does.
    pub fn blockers(&self, state: &ReplicatedState, now: Micros) -> Vec<Blocker> {
        let needs_everyone = state.needs_everyone();
        let mut blockers = Vec::new();
        // A new leader does not know which leases earlier leaders granted.
        if now < self.earlier_leaders_until {
            blockers.push(Blocker {
                who: "the change of leader".to_owned(),
                why: "leases that the leader before gave may not have ended".to_owned(),
                ends_ms: Some(ms_until(self.earlier_leaders_until, now)),
            });
        }
        let members = state.members.keys();
        blockers.extend(members.filter_map(|name| self.member_blocker(name, state, needs_everyone, now)));
        blockers
    }

    /// Whether a member keeps the next stage from beginning. With `needs_everyone` each member has to
    /// confirm.
    fn member_blocker(
        &self,
        name: &str,
        state: &ReplicatedState,
        needs_everyone: bool,
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
        } else if needs_everyone && !has_confirmed {
            ("the floor changes: its own word is needed".to_owned(), None)
        } else if now < older_stage_until && awaits_leases {
            let why = "it may act on what was before until its lease ends".to_owned();
            (why, Some(ms_until(older_stage_until, now)))
        } else {
            return None;
        };
        Some(Blocker { who: name.to_owned(), why, ends_ms })
    }

    /// The change that puts the version being rolled out in force, if there is one and nothing blocks it.
    /// `calendar`: microseconds since 1970, for the history.
    pub fn change_in_force(&mut self, state: &ReplicatedState, calendar: u64, now: Micros) -> Option<Change> {
        let next = state.next.as_ref()?;
        self.members_examined += state.members.len() as u64;
        if !self.blockers(state, now).is_empty() {
            return None;
        }
        Some(Change::InForce { number: next.number, why: self.confirmations(state), at: calendar })
    }

    /// How many members confirmed, and which did not, in words for the history.
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

fn ms_until(moment: Micros, now: Micros) -> u64 {
    moment.since(now).0.div_ceil(1000)
}
