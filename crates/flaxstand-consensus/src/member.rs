//! A member: any initiator, keepers included. It acts on the book's rules as long as it has a lease for the book's
//! stage, and on the floor otherwise.
//!
//! A lease counts from the moment at which it was *asked for*, on a clock that goes on through a stopped process and
//! does not follow the calendar; whoever gave it counts from when he gave it, which is later, and adds the clocks'
//! stated error. So it never runs out here after it ran out there.

use crate::lease_manager::{LeaseRequest, LeaseResponse};
use crate::replica::InjectedFault;
use crate::replicated_state::ReplicatedState;
use crate::rules::Rules;
use flaxstand_proto::Micros;
use std::collections::BTreeMap;

/// Requests whose responses may still come, most. The oldest is forgotten then.
const PENDING_MOST: usize = 16;
/// A lease is renewed so many times in its span.
const RENEWALS: u64 = 4;

/// What a member acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActiveRules {
    /// The fallback rules: it has no lease.
    Fallback,
    /// What the version in force and the one that is being rolled out both allow.
    Transition(u64, u64),
    /// The version in force.
    Version(u64),
}

/// A member.
#[derive(Debug)]
pub struct Member {
    name: String,
    epoch: u64,
    replicated_state: Option<ReplicatedState>,
    /// The book's index in the log.
    index: u64,
    /// Until when it acts on the book. A lease for an older stage holds for the newer one too: who acts on that
    /// contradicts nobody who may act on the older, and the older is no longer acted on here.
    lease: Option<Micros>,
    /// By number: when each request was sent whose response may still come.
    pending: BTreeMap<u64, Micros>,
    next_request: u64,
    request_at: Micros,
    span: Micros,
    leaving: bool,
    /// The book that has to be saved before its stage is confirmed.
    unsaved: bool,
    injected_fault: InjectedFault,
}

impl Member {
    /// A member that starts, with the book it saved in an earlier life. `span` is how long a lease is expected to
    /// be, until the first tells.
    pub fn new(
        name: String,
        epoch: u64,
        saved: Option<(u64, ReplicatedState)>,
        span: Micros,
        injected_fault: InjectedFault,
        now: Micros,
    ) -> Member {
        let (index, replicated_state) =
            saved.map_or((0, None), |(index, replicated_state)| (index, Some(replicated_state)));
        Member {
            name,
            epoch,
            replicated_state,
            index,
            lease: None,
            pending: BTreeMap::new(),
            next_request: 1,
            request_at: now,
            span,
            leaving: false,
            unsaved: false,
            injected_fault,
        }
    }

    /// The book, and its index.
    pub fn replicated_state(&self) -> Option<(u64, &ReplicatedState)> {
        self.replicated_state.as_ref().map(|b| (self.index, b))
    }

    /// A newer book.
    pub fn learn(&mut self, index: u64, replicated_state: &ReplicatedState) {
        let older = self.injected_fault == InjectedFault::OlderBookTaken && index < self.index;
        if index > self.index || self.replicated_state.is_none() || older {
            self.unsaved |= self.replicated_state.as_ref() != Some(replicated_state);
            (self.index, self.replicated_state) = (index, Some(replicated_state.clone()));
        }
    }

    /// The book that is to be saved now, if it changed: before anything later is said.
    pub fn take_unsaved(&mut self) -> Option<(u64, &ReplicatedState)> {
        let unsaved = std::mem::take(&mut self.unsaved);
        self.replicated_state.as_ref().filter(|_| unsaved).map(|b| (self.index, b))
    }

    /// What it acts on at a moment.
    pub fn active_rules(&self, now: Micros) -> ActiveRules {
        let unchecked = self.injected_fault == InjectedFault::LeaseNotChecked;
        let leased = self.lease.is_some_and(|until| now < until || unchecked);
        match &self.replicated_state {
            Some(replicated_state) if leased && replicated_state.in_force.number > 0 => {
                match &replicated_state.next {
                    Some(next) if self.injected_fault == InjectedFault::OneStep => {
                        ActiveRules::Version(next.number)
                    }
                    Some(next) => ActiveRules::Transition(replicated_state.in_force.number, next.number),
                    None => ActiveRules::Version(replicated_state.in_force.number),
                }
            }
            _ => ActiveRules::Fallback,
        }
    }

    /// The rules that it acts on, given the rules it was started with.
    pub fn rules(&self, started_with: &Rules, now: Micros) -> Rules {
        match (self.active_rules(now), &self.replicated_state) {
            (ActiveRules::Fallback, Some(replicated_state)) if replicated_state.in_force.number > 0 => {
                let fallback = replicated_state.in_force.rules.fallback_rules();
                // Of a floor that is being changed the narrower of both.
                replicated_state
                    .next
                    .as_ref()
                    .map_or(fallback.clone(), |next| fallback.narrower(&next.rules.fallback_rules()))
            }
            (ActiveRules::Fallback, _) => started_with.fallback_rules(),
            (_, Some(replicated_state)) => replicated_state.rules(),
            (_, None) => started_with.fallback_rules(),
        }
    }

    /// Until when that holds if nothing comes.
    pub fn lease_until(&self) -> Option<Micros> {
        self.lease
    }

    /// Gives the lease back at the next request, and acts on the floor from now on.
    pub fn leave(&mut self, now: Micros) {
        self.leaving = true;
        self.lease = None;
        self.request_at = now;
    }

    /// The lease request that is due now, if one is. To be sent at once.
    pub fn lease_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.request_at || self.unsaved {
            return None;
        }
        self.request_at = now.after(Micros(self.span.0 / RENEWALS));
        let seq = self.next_request;
        self.next_request += 1;
        self.pending.insert(seq, now);
        while self.pending.len() > PENDING_MOST {
            self.pending.pop_first();
        }
        let unknown = self.replicated_state.as_ref().map(|b| {
            let next = b.next.as_ref().unwrap_or(&b.in_force);
            next.rules.unknown().join(", ")
        });
        Some(LeaseRequest {
            name: self.name.clone(),
            epoch: self.epoch,
            seq,
            index: self.index,
            stage: self.replicated_state.as_ref().map_or(0, |b| b.stage),
            digest: self.replicated_state.as_ref().map_or(0, ReplicatedState::digest),
            cannot: unknown.filter(|keys| !keys.is_empty()).map(|keys| format!("it does not know {keys}")),
            leaves: self.leaving,
        })
    }

    /// When the next request is due, or the lease ends.
    pub fn wake(&self, now: Micros) -> Micros {
        // One that ran out ends nothing any more.
        let ends = self.lease.filter(|until| now < *until);
        ends.map_or(self.request_at, |until| self.request_at.min(until))
    }

    /// A response came: a lease for the stage that it names, if that is the book's here by now.
    pub fn lease_response(&mut self, response: &LeaseResponse, now: Micros) {
        let Some(requested_at) = self.pending.remove(&response.seq) else { return };
        if response.epoch != self.epoch || self.leaving {
            return;
        }
        if let Some((index, replicated_state)) = &response.replicated_state {
            self.learn(*index, replicated_state);
        }
        let stage = self.replicated_state.as_ref().map_or(0, |b| b.stage);
        if let Some(span) = response.lease.map(Micros).filter(|_| response.stage == stage && stage > 0) {
            self.span = span;
            let from = if self.injected_fault == InjectedFault::LeaseFromAnswer { now } else { requested_at };
            self.lease = self.lease.max(Some(from.after(span)));
        }
    }
}
