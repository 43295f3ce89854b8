//! Determines how long the current endpoint list may be used for sending requests.
//!
//! A change of the list takes effect for an initiator at the latest some seconds after the discovery service
//! had it and was reachable, whether or not the initiator was notified. From then on, requests may be sent to
//! a draining node for a short grace period only. An initiator that has received nothing for that long must
//! therefore stop sending, because any node of its list may be draining. While the service is unreachable, no
//! change takes effect, so an outage of the service alone never makes the list expire.
//!
//! This module is notified of the progress and result of each call to the service and computes until when
//! requests may be sent. The scheduler checks this before each send decision, and the gateway before it
//! writes the first byte of an attempt.

use crate::api::{DiscoveryCall, Millis, NotificationTerms};
use std::collections::VecDeque;

/// Safety margin subtracted from every time span, ms: the process may stall for 150 ms between reading its
/// clock and writing, and a list or a request may take some milliseconds in transit.
const SAFETY_MARGIN: Millis = 250.0;
/// The service is considered unreachable after this many consecutive unanswered calls over at least
/// [`MIN_UNREACHABLE_SPAN`]. A few lost calls, or one watch without a response, also occur when the service
/// works.
const UNREACHABLE_AFTER_CALLS: u32 = 3;
/// Minimum time span of the calls counted by [`UNREACHABLE_AFTER_CALLS`], ms.
const MIN_UNREACHABLE_SPAN: Millis = 2000.0;
/// The same after the service has moved, ms. A list at a new address takes effect sooner, so a longer span of
/// unanswered calls is required before they count as an outage.
const MIN_UNREACHABLE_SPAN_AFTER_MOVE: Millis = 3000.0;
/// An immediate rejection shows that the service is reachable and subtracts this from the number of
/// unanswered calls.
const REJECTION_OUTWEIGHS_CALLS: u32 = 2;
/// Maximum time from call to rejection for the rejection to count as immediate, ms. A later one does not show
/// that the service is reachable: the call may have waited at a service that is overloaded or down.
const IMMEDIATE_REJECTION_TIMEOUT: Millis = 50.0;
/// Maximum number of moves of the service that are kept. When there are more, the earliest ones and the
/// latest one are kept.
const MAX_MOVES: usize = 16;

/// Tracks the age of the endpoint list.
#[derive(Debug)]
pub(crate) struct EndpointFreshness {
    /// `None`: this deployment specifies no terms, and the list never expires.
    terms: Option<NotificationTerms>,
    /// Last time at which the list is known to include every change that had taken effect: when it was last
    /// received, or when the service was unreachable.
    current_at: Millis,
    call: PendingCall,
    /// Consecutive unanswered calls, up to [`UNREACHABLE_AFTER_CALLS`].
    unanswered_calls: u32,
    /// When the first of them was sent.
    unanswered_since: Millis,
    /// When the first bytes of an incomplete response arrived, if one is arriving. The changes in it take
    /// effect from then on.
    response_began_at: Option<Millis>,
    /// When the first bytes arrived of the first response that was abandoned since the list was last
    /// received.
    abandoned_since: Option<Millis>,
    /// Times at which this initiator was notified of moves of the service, in order. The list at the new
    /// address takes effect [`NotificationTerms::notified_after_move`] after the move, whatever was received
    /// before. A move is removed once `current_at` is at least that much later.
    moves: VecDeque<Millis>,
}

/// The most recent call.
#[derive(Debug)]
struct PendingCall {
    started_at: Millis,
    /// How long the service may delay the response until the list changes, ms.
    long_poll: Millis,
}

impl EndpointFreshness {
    /// Creates the state of an initiator that starts now, possibly with a cached list.
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

    /// Records a response with the list, or without changes. The response may have been in transit for long:
    /// it was written at the earliest when the call was sent, or, without a change, when its long poll ended.
    pub(crate) fn record_list(&mut self, has_changes: bool, now: Millis) {
        let waited = if has_changes { 0.0 } else { self.call.long_poll };
        let written_at = (self.call.started_at + waited).min(now);
        self.current_at = self.current_at.max(written_at);
        self.response_began_at = None;
        self.abandoned_since = None;
        self.unanswered_calls = 0;
        self.prune_moves();
    }

    /// Records the progress or result of a call.
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

    /// Records an unanswered call. After enough of them in a row, the service was unreachable when the last
    /// one was sent.
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

    /// Removes the moves whose list took effect by `current_at`.
    fn prune_moves(&mut self) {
        let Some(terms) = self.terms else { return };
        let is_superseded = |moved_at: &mut Millis| *moved_at + terms.notified_after_move <= self.current_at;
        while self.moves.pop_front_if(is_superseded).is_some() {}
    }

    /// Returns the time until which requests may be sent based on the list. It moves back when a response
    /// starts to arrive and when the service moves.
    pub(crate) fn trusted_until(&self) -> Millis {
        let Some(terms) = self.terms else { return Millis::INFINITY };
        let by_age = self.current_at + terms.notified_within;
        let by_move = self.moves.front().map_or(Millis::INFINITY, |at| at + terms.notified_after_move);
        let by_response = self.abandoned_since.or(self.response_began_at).unwrap_or(Millis::INFINITY);
        by_age.min(by_move).min(by_response) + terms.drain_grace - SAFETY_MARGIN
    }

    /// Returns whether requests may be sent based on the list now.
    pub(crate) fn is_trusted(&self, now: Millis) -> bool {
        now < self.trusted_until()
    }
}
