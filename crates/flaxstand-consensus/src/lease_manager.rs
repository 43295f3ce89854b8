//! The lease manager: the leader's part in leases and rollouts (leases after Gray and Cheriton). It grants
//! leases and records which member confirmed which stage.
//!
//! - `messages`: lease requests and responses
//! - `member_lease`: what the leader knows of one member
//! - `rollout_gate`: when the next stage may begin

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

/// What a leader decides on a lease request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What the member is sent.
    pub response: LeaseResponse,
    /// It is no member yet and asks to be one.
    pub wants_to_join: bool,
    /// It did not confirm the present stage: its copy of the replicated state may be another cluster's.
    pub is_unconfirmed: bool,
}

/// A member as its leader sees it, for operators. Sent, and shown as JSON, as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, bool, bool, u64)", into = "(String, bool, bool, u64)")]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// It has a lease of any stage.
    pub has_lease: bool,
    /// It confirmed the present stage.
    pub has_confirmed: bool,
    /// How long ago its last request came, milliseconds.
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

/// A leader's lease manager. Its leases live in memory: a new leader waits until all that others granted have
/// ended.
#[derive(Debug)]
pub struct LeaseManager {
    /// Leases of earlier leaders may last until then.
    earlier_leaders_until: Micros,
    /// How long a lease is for its member.
    span: Micros,
    /// How long it counts here: the same with the clocks' error on top.
    counted_span: Micros,
    stage: u64,
    leases: BTreeMap<String, MemberLease>,
    /// See `LeaseManager::members_examined`.
    members_examined: u64,
    injected_fault: InjectedFault,
}

impl LeaseManager {
    /// Of a leader that begins to lead now. Leases last `span`; two clocks differ by at most `clock_error` of
    /// it over that time.
    pub fn new(span: Micros, clock_error: f64, injected_fault: InjectedFault, now: Micros) -> LeaseManager {
        // Twice: the member's clock may be slow by the error, and the clock here fast by it.
        let counted_span = Micros((span.0 as f64 * (1.0 + 2.0 * clock_error)).ceil() as u64);
        // Guards against a stage that begins while a member acts on a lease of the leader before.
        let awaits_earlier_leaders = injected_fault != InjectedFault::EarlierLeadersIgnored;
        LeaseManager {
            earlier_leaders_until: if awaits_earlier_leaders { now.after(counted_span) } else { now },
            span,
            counted_span,
            stage: 0,
            leases: BTreeMap::new(),
            members_examined: 0,
            injected_fault,
        }
    }

    /// The replicated state is at this stage. If that is another than before, leases so far were for an older
    /// one.
    pub fn set_stage(&mut self, stage: u64) {
        if stage != self.stage {
            self.stage = stage;
            self.leases.values_mut().for_each(MemberLease::begin_stage);
        }
    }

    /// Decides on a request.
    ///
    /// A member whose copy of the replicated state is older than `index` is sent `state`. Until `leads_until`
    /// no other replica can lead: guards against a lease that a later leader does not wait for.
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
            // A later start of the member took its place.
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
            // Counted from the grant, with the clocks' error on top; the member counts from its request,
            // which is earlier. So a lease ends at its member first.
            lease.grant(now.after(self.counted_span));
        }
        if request.state_index < index {
            response.newer_state = Some(IndexedState { index, state: state.clone() });
        }
        let wants_to_join = !is_member && !request.releases_lease;
        Decision { response, wants_to_join, is_unconfirmed }
    }

    /// How many members were examined so far to decide whether a version may come into force: for tests of
    /// how the work of a rollout grows with the members.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.members_examined
    }

    /// Each initiator that has asked for a lease.
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

/// Whether a request confirms the present stage.
#[derive(Debug, PartialEq, Eq)]
enum Confirmation {
    /// The member acts on the present stage, or on the fallback rules, and knows what the stage means.
    Confirmed,
    /// It is at another stage.
    NotYet,
    /// It can't act on the present stage: why, in words for operators.
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
        // Guards against a build that reads the same rules otherwise.
        let compares_digests = injected_fault != InjectedFault::DigestNotCompared;
        if request.digest != state.digest() && compares_digests {
            return Confirmation::Unable("it understands the rules otherwise: another build".to_owned());
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
