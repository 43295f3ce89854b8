//! For how long the endpoint list that this initiator has may be acted on.
//!
//! A change of the list binds an initiator at the latest some seconds after the discovery service had it and
//! could be reached, whether or not the initiator was notified of it. From then on a request may be sent to a
//! draining node for a short grace only. An initiator that has received nothing for that long may therefore
//! send nothing: any node of its list may be draining. While the service can't be reached no change binds, so
//! an outage of the service alone never makes the list too old.
//!
//! This module is told what becomes of each call of the service, and answers until when requests may be sent.
//! It is asked before each decision to send, and by the gateway before the first byte of an attempt leaves.

use crate::api::{DiscoveryCall, Millis, NotificationTerms};
use std::collections::VecDeque;

/// Kept back from every span, ms: the process may stall for 150 ms between reading its clock and writing, and
/// a list or a request may be some milliseconds on its way.
const SAFETY_MARGIN: Millis = 250.0;
/// The service counts as unreachable after so many unanswered calls in a row, made over
/// [`MIN_UNREACHABLE_SPAN`]: some lost calls, or one watch that went silent, may happen to a service that
/// works.
const UNREACHABLE_AFTER_CALLS: u32 = 3;
/// See [`UNREACHABLE_AFTER_CALLS`], ms.
const MIN_UNREACHABLE_SPAN: Millis = 2000.0;
/// The same where the service has moved, ms: a list at a new address binds sooner, so less counts as an
/// outage.
const MIN_UNREACHABLE_SPAN_AFTER_MOVE: Millis = 3000.0;
/// An immediate rejection shows a service that works, and outweighs so many unanswered calls.
const REJECTION_OUTWEIGHS_CALLS: u32 = 2;
/// A rejection later than this shows nothing: the call waited, at a busy service or at one that is down, ms.
const IMMEDIATE_REJECTION_TIMEOUT: Millis = 50.0;
/// The most moves of the service that are remembered. Of more than these the earliest and the last count.
const MAX_MOVES: usize = 16;

/// What is known of the age of the endpoint list.
#[derive(Debug)]
pub(crate) struct EndpointFreshness {
    /// None: this deployment states no such terms, and the list never grows too old.
    terms: Option<NotificationTerms>,
    /// The last moment at which the list had every change that bound this initiator: when it was last
    /// received, or when the service could not be reached.
    current_at: Millis,
    call: PendingCall,
    /// Calls in a row that showed no service, up to [`UNREACHABLE_AFTER_CALLS`].
    unanswered_calls: u32,
    /// When the first of them was made.
    unanswered_since: Millis,
    /// Since when a response has been arriving that is not complete. What it tells binds from then on.
    response_began_at: Option<Millis>,
    /// The same of the first response that was abandoned since the list was last received.
    abandoned_since: Option<Millis>,
    /// When this initiator was told that the service is at another address, in order. What the service has
    /// some seconds later binds then, whatever was received before; a move is forgotten once the list is from
    /// after that.
    moves: VecDeque<Millis>,
}

/// The call that was made last.
#[derive(Debug)]
struct PendingCall {
    started_at: Millis,
    /// How long it asked the service to wait for a change, ms.
    long_poll: Millis,
}

impl EndpointFreshness {
    /// For an initiator that starts now, perhaps with a cached list.
    pub(crate) fn new(terms: Option<NotificationTerms>, now: Millis) -> Self {
        EndpointFreshness {
            terms,
            current_at: now,
            call: PendingCall { started_at: now, long_poll: 0.0 },
            unanswered_calls: 0,
            unanswered_since: now,
            response_began_at: None,
            abandoned_since: None,
            moves: VecDeque::new(),
        }
    }

    /// The service told the list, or that it has no changes. The response may have been on its way for long:
    /// it was written at the earliest when the call was made, or without a change when its long poll ended.
    pub(crate) fn record_list(&mut self, has_changes: bool, now: Millis) {
        let waited = if has_changes { 0.0 } else { self.call.long_poll };
        let written_at = (self.call.started_at + waited).min(now);
        self.current_at = self.current_at.max(written_at);
        self.response_began_at = None;
        self.abandoned_since = None;
        self.unanswered_calls = 0;
        self.forget_moves();
    }

    /// Something became of a call.
    pub(crate) fn record_call(&mut self, call: DiscoveryCall, now: Millis) {
        match call {
            DiscoveryCall::Started { long_poll } => {
                self.call = PendingCall { started_at: now, long_poll };
            }
            DiscoveryCall::ResponseBegan => {
                self.response_began_at.get_or_insert(now);
            }
            DiscoveryCall::Rejected { elapsed } if elapsed <= IMMEDIATE_REJECTION_TIMEOUT => {
                self.response_began_at = None;
                self.unanswered_calls = self.unanswered_calls.saturating_sub(REJECTION_OUTWEIGHS_CALLS);
            }
            DiscoveryCall::Rejected { .. } | DiscoveryCall::Unanswered => self.record_unanswered_call(),
            DiscoveryCall::Abandoned => {
                self.unanswered_calls = 0;
                self.abandoned_since = self.abandoned_since.or(self.response_began_at);
                self.response_began_at = None;
            }
            DiscoveryCall::ServiceMoved => {
                self.unanswered_calls = 0;
                self.record_move(now);
            }
        }
    }

    /// After enough unanswered calls in a row the service was unreachable when the last of them was made.
    fn record_unanswered_call(&mut self) {
        let started_at = self.call.started_at;
        self.response_began_at = None;
        if self.unanswered_calls == 0 {
            self.unanswered_since = started_at;
        }
        self.unanswered_calls = (self.unanswered_calls + 1).min(UNREACHABLE_AFTER_CALLS);
        let span = started_at - self.unanswered_since;
        if self.unanswered_calls < UNREACHABLE_AFTER_CALLS || span < MIN_UNREACHABLE_SPAN {
            return;
        }
        self.current_at = self.current_at.max(started_at);
        if span >= MIN_UNREACHABLE_SPAN_AFTER_MOVE {
            self.moves.iter_mut().for_each(|moved_at| *moved_at = moved_at.max(started_at));
        }
    }

    fn record_move(&mut self, now: Millis) {
        if self.moves.len() >= MAX_MOVES {
            self.moves.pop_back();
        }
        self.moves.push_back(now);
    }

    /// Forgets moves after which the list was received late enough.
    fn forget_moves(&mut self) {
        let Some(terms) = self.terms else { return };
        let is_settled = |moved_at: &mut Millis| *moved_at + terms.notified_after_move <= self.current_at;
        while self.moves.pop_front_if(is_settled).is_some() {}
    }

    /// Until when requests may be sent on the list. It moves back when a response begins to arrive, and when
    /// the service moves.
    pub(crate) fn trusted_until(&self) -> Millis {
        let Some(terms) = self.terms else { return Millis::INFINITY };
        let by_age = self.current_at + terms.notified_within;
        let by_move = self.moves.front().map_or(Millis::INFINITY, |at| at + terms.notified_after_move);
        let by_response = self.abandoned_since.or(self.response_began_at).unwrap_or(Millis::INFINITY);
        by_age.min(by_move).min(by_response) + terms.drain_grace - SAFETY_MARGIN
    }

    /// Whether requests may be sent on the list now.
    pub(crate) fn is_trusted(&self, now: Millis) -> bool {
        now < self.trusted_until()
    }
}
