//! A member: any initiator, with a replica or without. It acts on the replicated state's rules as long as it
//! has a lease for the state's stage, and on the fallback rules otherwise.
//!
//! A lease counts from the moment of its *request*, on a clock that goes on while the process is stopped and
//! does not follow the calendar. The leader counts from the grant, which is later, and adds the clocks'
//! stated error: a lease never ends here after it ended there.

use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::replica::InjectedFault;
use crate::replicated_state::{IndexedState, ReplicatedState};
use crate::rules::Rules;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Requests whose responses may still come, most. The oldest is forgotten then.
const MAX_PENDING_REQUESTS: usize = 16;
/// How many times a lease is renewed in its span.
const RENEWALS_PER_LEASE: u64 = 4;

/// What a member acts on. Log lines and scripts hold these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActiveRules {
    /// The fallback rules: it has no lease.
    Fallback,
    /// The narrower of the version in force (first number) and the one being rolled out (second number).
    Transition(u64, u64),
    /// The version in force, by its number.
    Version(u64),
}

/// A member.
#[derive(Debug)]
pub struct Member {
    name: String,
    epoch: u64,
    replicated_state: Option<ReplicatedState>,
    /// The log index of that state; 0 without one.
    state_index: u64,
    /// Until when it acts on the state. A lease for an older stage holds for a newer one too: who acts on the
    /// newer contradicts nobody who may act on the older, and the older is no longer acted on here.
    lease_until: Option<Micros>,
    /// By number: when each request was sent whose response may still come.
    pending: BTreeMap<u64, Micros>,
    next_request: u64,
    request_at: Micros,
    lease_span: Micros,
    is_leaving: bool,
    /// The state has to be saved before its stage is confirmed.
    is_unsaved: bool,
    injected_fault: InjectedFault,
}

impl Member {
    /// A member that starts, with the state that it saved before. `lease_span` is how long a lease is
    /// expected to be, until the first response tells.
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
            is_leaving: false,
            is_unsaved: false,
            injected_fault,
        }
    }

    /// The replicated state as it is known here.
    pub fn replicated_state(&self) -> Option<&ReplicatedState> {
        self.replicated_state.as_ref()
    }

    /// The same with its index.
    pub fn indexed_state(&self) -> Option<IndexedState> {
        let state = self.replicated_state.clone()?;
        Some(IndexedState { index: self.state_index, state })
    }

    /// The stage of the replicated state; 0 without one.
    pub fn stage(&self) -> u64 {
        self.replicated_state.as_ref().map_or(0, |state| state.stage)
    }

    /// Takes a replicated state in place of an older one. Guards against a late response that takes the rules
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

    /// The state that is to be saved now, if it changed: before anything later is sent.
    pub fn take_unsaved(&mut self) -> Option<IndexedState> {
        let is_unsaved = std::mem::take(&mut self.is_unsaved);
        if is_unsaved { self.indexed_state() } else { None }
    }

    /// What it acts on at a moment.
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

    /// The rules that it acts on, given the rules of its own settings.
    pub fn rules(&self, started_with: &Rules, now: Micros) -> Rules {
        let Some(state) = &self.replicated_state else { return started_with.fallback_rules() };
        if self.active_rules(now) != ActiveRules::Fallback {
            return state.rules();
        }
        if state.in_force.number == 0 {
            return started_with.fallback_rules();
        }
        let fallback = state.in_force.rules.fallback_rules();
        match &state.next {
            // While the fallback rules change, the narrower of both.
            Some(next) => fallback.narrower(&next.rules.fallback_rules()),
            None => fallback,
        }
    }

    /// Until when the lease holds if no response comes; none: it never had one, or gave it back.
    pub fn lease_until(&self) -> Option<Micros> {
        self.lease_until
    }

    /// Gives the lease back with the next request, and acts on the fallback rules from now on.
    pub fn release_lease(&mut self, now: Micros) {
        self.is_leaving = true;
        self.lease_until = None;
        self.request_at = now;
    }

    /// The lease request that is due now, if one is. To be sent at once. None while the state is not saved:
    /// guards against a stage that is confirmed and forgotten.
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
            releases_lease: self.is_leaving,
        })
    }

    /// Why it can't act on the newest version, in words for operators: a newer build made keys that it does
    /// not know.
    fn unable_reason(&self) -> Option<String> {
        let state = self.replicated_state.as_ref()?;
        let newest = state.next.as_ref().unwrap_or(&state.in_force);
        let unknown_keys = newest.rules.unknown_keys().join(", ");
        (!unknown_keys.is_empty()).then(|| format!("it does not know {unknown_keys}"))
    }

    /// When the next request is due, or the lease ends.
    pub fn wake_at(&self, now: Micros) -> Micros {
        // A lease that has ended already wakes nobody.
        let ends = self.lease_until.filter(|until| now < *until);
        ends.map_or(self.request_at, |until| self.request_at.min(until))
    }

    /// Handles a response: a lease for the stage that it names, if that is the stage here by now.
    pub fn handle_lease_response(&mut self, response: &LeaseResponse, now: Micros) {
        let Some(requested_at) = self.pending.remove(&response.seq) else { return };
        if response.epoch != self.epoch || self.is_leaving {
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
