//! Lease management on the leader (leases as described by Gray and Cheriton): grants leases to members and
//! tracks which member has confirmed which rollout stage.
//!
//! - `messages`: lease requests and responses
//! - `member_lease`: lease state of one member
//! - `rollout_gate`: decides when the next stage may start

mod member_lease;
mod messages;
mod rollout_gate;

pub use messages::{LeaseRequest, LeaseResponse};
pub use rollout_gate::Blocker;

use crate::replica::InjectedFault;
use crate::replicated_state::{IndexedState, ReplicatedState};
use flaxstand_proto::Micros;
use member_lease::MemberLease;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Outcome of a lease request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Response to send to the member.
    pub response: LeaseResponse,
    /// Whether the sender is not a member yet and should be proposed as one.
    pub wants_to_join: bool,
    /// Whether the sender did not confirm the current stage. Its copy of the replicated state may then be
    /// from another cluster.
    pub is_unconfirmed: bool,
}

/// A member as seen by the leader, for operators. Serialised, also as JSON, as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, bool, bool, u64)", into = "(String, bool, bool, u64)")]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Whether it holds a lease for any stage.
    pub has_lease: bool,
    /// Whether it has confirmed the current stage.
    pub has_confirmed: bool,
    /// Time since its last request in milliseconds.
    pub last_contact_ms: u64,
}

impl From<(String, bool, bool, u64)> for MemberStatus {
    fn from((name, has_lease, has_confirmed, last_contact_ms): (String, bool, bool, u64)) -> MemberStatus {
        MemberStatus { name, has_lease, has_confirmed, last_contact_ms }
    }
}

impl From<MemberStatus> for (String, bool, bool, u64) {
    fn from(status: MemberStatus) -> (String, bool, bool, u64) {
        (status.name, status.has_lease, status.has_confirmed, status.last_contact_ms)
    }
}

/// Lease state of a leader. Leases are kept in memory only: a new leader waits until all leases that
/// earlier leaders granted have expired.
#[derive(Debug)]
pub struct LeaseManager {
    /// Leases granted by earlier leaders may be valid until this time.
    earlier_leases_until: Micros,
    /// Length of a lease as granted to the member.
    span: Micros,
    /// Length of a lease as counted by the leader: `span` extended by the clock error.
    counted_span: Micros,
    stage: u64,
    leases: BTreeMap<String, MemberLease>,
    /// See `LeaseManager::members_examined`.
    members_examined: u64,
    injected_fault: InjectedFault,
}

impl LeaseManager {
    /// Creates the lease manager of a leader elected at `now`. Leases last `span`; two clocks diverge by at
    /// most the fraction `clock_error` of it over that time.
    pub fn new(span: Micros, clock_error: f64, injected_fault: InjectedFault, now: Micros) -> LeaseManager {
        // The error counts twice: the member's clock may be slow by it while the leader's clock is fast by
        // it.
        let counted_span = Micros((span.0 as f64 * (1.0 + 2.0 * clock_error)).ceil() as u64);
        // Prevents a stage from starting while a member holds a lease from an earlier leader.
        let awaits_earlier_leaders = injected_fault != InjectedFault::EarlierLeadersIgnored;
        LeaseManager {
            earlier_leases_until: if awaits_earlier_leaders { now.after(counted_span) } else { now },
            span,
            counted_span,
            stage: 0,
            leases: BTreeMap::new(),
            members_examined: 0,
            injected_fault,
        }
    }

    /// Sets the current rollout stage. If it has changed, all existing leases become leases for an older
    /// stage.
    pub fn set_stage(&mut self, stage: u64) {
        if stage != self.stage {
            self.stage = stage;
            self.leases.values_mut().for_each(MemberLease::begin_stage);
        }
    }

    /// Decides on a lease request.
    ///
    /// A member whose copy of the replicated state is older than `index` is sent `state`. Until
    /// `leads_until` no other replica can become leader; no lease is granted after that time, since a later
    /// leader would not wait for it.
    pub fn decide(
        &mut self,
        request: &LeaseRequest,
        index: u64,
        state: &ReplicatedState,
        leads_until: Micros,
        now: Micros,
    ) -> Decision {
        self.set_stage(state.stage);
        let is_member = state.members.contains_key(&request.name);
        let lease = self.leases.entry(request.name.clone()).or_default();
        let mut response = LeaseResponse {
            name: request.name.clone(),
            epoch: request.epoch,
            seq: request.seq,
            lease: None,
            stage: state.stage,
            newer_state: None,
        };
        if lease.epoch > request.epoch {
            // A later start of this member has already sent a request.
            return Decision { response, wants_to_join: false, is_unconfirmed: false };
        }
        if lease.epoch != request.epoch {
            lease.restart(request.epoch);
        }
        lease.last_contact_at = now;
        let confirmation = Confirmation::of(request, state, self.injected_fault);
        lease.has_confirmed = confirmation == Confirmation::Confirmed;
        let is_unconfirmed = !lease.has_confirmed;
        lease.unable_reason = confirmation.unable_reason();
        let may_grant =
            is_member && now < leads_until && lease.unable_reason.is_none() && state.in_force.number > 0;
        if request.releases_lease {
            lease.release();
        } else if may_grant {
            response.lease = Some(self.span.0);
            // Counted from the grant and extended by the clock error, while the member counts from its
            // earlier request: the lease expires on the member first.
            lease.grant(now.after(self.counted_span));
        }
        if request.state_index < index {
            response.newer_state = Some(IndexedState { index, state: state.clone() });
        }
        let wants_to_join = !is_member && !request.releases_lease;
        Decision { response, wants_to_join, is_unconfirmed }
    }

    /// Number of members examined so far to decide whether a version may come into force. Lets tests check
    /// how the cost of a rollout grows with the number of members.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.members_examined
    }

    /// Status of each initiator that has requested a lease.
    pub fn members(&self, now: Micros) -> Vec<MemberStatus> {
        let status = |(name, lease): (&String, &MemberLease)| MemberStatus {
            name: name.clone(),
            has_lease: now < lease.leased_until(),
            has_confirmed: lease.has_confirmed,
            last_contact_ms: now.since(lease.last_contact_at).0 / 1000,
        };
        self.leases.iter().map(status).collect()
    }
}

/// Whether a request confirms the current stage.
#[derive(Debug, PartialEq, Eq)]
enum Confirmation {
    /// The member acts on the current stage, or on the fallback rules, and interprets the stage as the
    /// leader does.
    Confirmed,
    /// The member is at another stage.
    NotYet,
    /// The member can't act on the current stage; holds the reason, for operators.
    Unable(String),
}

impl Confirmation {
    fn of(request: &LeaseRequest, state: &ReplicatedState, injected_fault: InjectedFault) -> Confirmation {
        if let Some(reason) = &request.unable_reason {
            return Confirmation::Unable(reason.clone());
        }
        if request.stage != state.stage {
            return Confirmation::NotYet;
        }
        // Detects builds that interpret the same rules differently.
        let compares_digests = injected_fault != InjectedFault::DigestNotCompared;
        if request.digest != state.digest() && compares_digests {
            return Confirmation::Unable(
                "it runs another build, which interprets the rules differently".to_owned(),
            );
        }
        Confirmation::Confirmed
    }

    fn unable_reason(self) -> Option<String> {
        match self {
            Confirmation::Unable(reason) => Some(reason),
            Confirmation::Confirmed | Confirmation::NotYet => None,
        }
    }
}
