//! Lease holder: any initiator, with or without a replica. It acts on the replicated rules while it holds a
//! lease for the current stage, and on the fallback rules otherwise.
//!
//! The member counts a lease from the time it sent the *request*, on a monotonic clock that also advances
//! while the process is suspended. The leader counts from the later grant and adds the configured clock
//! error, so a lease always expires on the member before it expires on the leader.

use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::replica::InjectedFault;
use crate::replicated_state::{IndexedState, ReplicatedState};
use crate::rules::Rules;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Maximum number of requests in flight. Beyond it the oldest one is dropped.
const MAX_PENDING_REQUESTS: usize = 16;
/// Number of renewals per lease period.
const RENEWALS_PER_LEASE: u64 = 4;

/// The rules that a member acts on. Log lines and scripts contain the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActiveRules {
    /// The fallback rules: the member has no lease.
    Fallback,
    /// The narrower of the version in force (first number) and the version being rolled out (second
    /// number).
    Transition(u64, u64),
    /// The version in force, by its number.
    Version(u64),
}

/// Lease state of one initiator.
#[derive(Debug)]
pub struct Member {
    name: String,
    epoch: u64,
    replicated_state: Option<ReplicatedState>,
    /// Log index of the replicated state; 0 without one.
    state_index: u64,
    /// Expiry of the lease. A lease for an older stage also covers a newer one: the rules of the newer
    /// stage contradict nobody who may still act on the older one, and this member no longer acts on the
    /// older one.
    lease_until: Option<Micros>,
    /// Requests in flight by sequence number, with the time each was sent.
    pending: BTreeMap<u64, Micros>,
    next_request: u64,
    request_at: Micros,
    lease_span: Micros,
    is_releasing_lease: bool,
    /// Whether the replicated state has to be saved before its stage may be confirmed.
    is_unsaved: bool,
    injected_fault: InjectedFault,
}

impl Member {
    /// Creates a member from the state it saved before. `lease_span` is the expected length of a lease
    /// until the first response arrives.
    pub fn new(
        name: String,
        epoch: u64,
        saved: Option<IndexedState>,
        lease_span: Micros,
        injected_fault: InjectedFault,
        now: Micros,
    ) -> Member {
        let state_index = saved.as_ref().map_or(0, |saved| saved.index);
        Member {
            name,
            epoch,
            replicated_state: saved.map(|saved| saved.state),
            state_index,
            lease_until: None,
            pending: BTreeMap::new(),
            next_request: 1,
            request_at: now,
            lease_span,
            is_releasing_lease: false,
            is_unsaved: false,
            injected_fault,
        }
    }

    /// The local copy of the replicated state.
    pub fn replicated_state(&self) -> Option<&ReplicatedState> {
        self.replicated_state.as_ref()
    }

    /// The local copy of the replicated state with its log index.
    pub fn indexed_state(&self) -> Option<IndexedState> {
        let state = self.replicated_state.clone()?;
        Some(IndexedState { index: self.state_index, state })
    }

    /// Stage of the replicated state; 0 without one.
    pub fn stage(&self) -> u64 {
        self.replicated_state.as_ref().map_or(0, |state| state.stage)
    }

    /// Replaces the replicated state if the given one is newer. A delayed response must not move the rules
    /// back to an earlier stage.
    pub fn update_state(&mut self, index: u64, state: &ReplicatedState) {
        let accepts_older =
            self.injected_fault == InjectedFault::OlderStateAccepted && index < self.state_index;
        if index > self.state_index || self.replicated_state.is_none() || accepts_older {
            self.is_unsaved |= self.replicated_state.as_ref() != Some(state);
            self.state_index = index;
            self.replicated_state = Some(state.clone());
        }
    }

    /// Returns the replicated state if it has changed since the last call. It must be saved before any
    /// later message is sent.
    pub fn take_unsaved(&mut self) -> Option<IndexedState> {
        let is_unsaved = std::mem::take(&mut self.is_unsaved);
        if is_unsaved { self.indexed_state() } else { None }
    }

    /// The rules that the member acts on at `now`.
    pub fn active_rules(&self, now: Micros) -> ActiveRules {
        let Some(state) = self.replicated_state.as_ref().filter(|_| self.has_lease(now)) else {
            return ActiveRules::Fallback;
        };
        let in_force = state.in_force.number;
        match &state.next {
            _ if in_force == 0 => ActiveRules::Fallback,
            Some(next) if self.injected_fault == InjectedFault::TransitionSkipped => {
                ActiveRules::Version(next.number)
            }
            Some(next) => ActiveRules::Transition(in_force, next.number),
            None => ActiveRules::Version(in_force),
        }
    }

    fn has_lease(&self, now: Micros) -> bool {
        let ignores_expiry = self.injected_fault == InjectedFault::LeaseExpiryIgnored;
        self.lease_until.is_some_and(|until| now < until || ignores_expiry)
    }

    /// The values of the active rules. `local_rules` are those of the initiator's own settings.
    pub fn rules(&self, local_rules: &Rules, now: Micros) -> Rules {
        let Some(state) = &self.replicated_state else { return local_rules.fallback_rules() };
        if self.active_rules(now) != ActiveRules::Fallback {
            return state.rules();
        }
        if state.in_force.number == 0 {
            return local_rules.fallback_rules();
        }
        let fallback = state.in_force.rules.fallback_rules();
        match &state.next {
            // While the fallback rules change, the narrower of both applies.
            Some(next) => fallback.narrower(&next.rules.fallback_rules()),
            None => fallback,
        }
    }

    /// Expiry of the lease if it is not renewed; `None` if there is no lease or it was released.
    pub fn lease_until(&self) -> Option<Micros> {
        self.lease_until
    }

    /// Releases the lease with the next request and acts on the fallback rules from now on.
    pub fn release_lease(&mut self, now: Micros) {
        self.is_releasing_lease = true;
        self.lease_until = None;
        self.request_at = now;
    }

    /// Returns the lease request that is due, if any; it must be sent at once. Returns none while the state
    /// is unsaved: a restart could otherwise lose a stage that was confirmed.
    pub fn lease_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.request_at || self.is_unsaved {
            return None;
        }
        self.request_at = now.after(Micros(self.lease_span.0 / RENEWALS_PER_LEASE));
        let seq = self.next_request;
        self.next_request += 1;
        self.pending.insert(seq, now);
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        Some(LeaseRequest {
            name: self.name.clone(),
            epoch: self.epoch,
            seq,
            state_index: self.state_index,
            stage: self.stage(),
            digest: self.replicated_state.as_ref().map_or(0, ReplicatedState::digest),
            unable_reason: self.unable_reason(),
            releases_lease: self.is_releasing_lease,
        })
    }

    /// Why the member can't act on the latest version, for operators: a newer build introduced keys that
    /// this one does not support.
    fn unable_reason(&self) -> Option<String> {
        let state = self.replicated_state.as_ref()?;
        let newest = state.next.as_ref().unwrap_or(&state.in_force);
        let unknown_keys = newest.rules.unknown_keys().join(", ");
        (!unknown_keys.is_empty()).then(|| format!("its build does not support {unknown_keys}"))
    }

    /// When the next request is due or the lease expires.
    pub fn wake_at(&self, now: Micros) -> Micros {
        // An expired lease needs no timer.
        let ends = self.lease_until.filter(|until| now < *until);
        ends.map_or(self.request_at, |until| self.request_at.min(until))
    }

    /// Handles a lease response. The lease is accepted only if it is for the stage that the member is at.
    pub fn handle_lease_response(&mut self, response: &LeaseResponse, now: Micros) {
        let Some(requested_at) = self.pending.remove(&response.seq) else { return };
        if response.epoch != self.epoch || self.is_releasing_lease {
            return;
        }
        if let Some(newer) = &response.newer_state {
            self.update_state(newer.index, &newer.state);
        }
        let stage = self.stage();
        let Some(span) = response.lease.map(Micros).filter(|_| response.stage == stage && stage > 0) else {
            return;
        };
        self.lease_span = span;
        let counts_from_response = self.injected_fault == InjectedFault::LeaseFromResponse;
        let counted_from = if counts_from_response { now } else { requested_at };
        self.lease_until = self.lease_until.max(Some(counted_from.after(span)));
    }
}
