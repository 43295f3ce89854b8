//! How long the node list that this host holds may be acted on.
//!
//! A change of the list binds a host at the latest some seconds after the list service had it and could be
//! reached, whether or not the host has heard of it. From then on a request may be sent to a node that
//! drains for a short grace only. A host that has heard nothing for that long may therefore send nothing:
//! any node of its list may be one of those. While the service cannot be reached no change binds, so an
//! outage of the service alone never makes the list too old.
//!
//! This module is told what becomes of each call of the service and answers one question, until when
//! requests may be sent on the list held. It is asked before each decision to send, and again by the
//! gateway before the first byte of an attempt leaves.

use crate::api::{DiscoveryCall, Millis, NotificationTerms};
use std::collections::VecDeque;

/// Kept back from every span: a turn may be held up for 150 ms between reading its clock and writing, and a
/// list or a request may be some milliseconds on its way.
const MARGIN: Millis = 250.0;
/// The service counts as unreachable after so many calls in a row without an answer, made over so long a
/// time. A watch that went silent, or some calls that were lost, may happen to a service that works.
const UNREACHABLE_CALLS: u32 = 3;
/// A call that is turned away at once shows a service that works, and outweighs so many without an answer.
/// More than the threshold are not remembered, so that one lost call after it is no outage again.
const TURNED_AWAY_WEIGHS: u32 = 2;
/// A call that is turned away later than this shows nothing: it waited, at a service that is busy or at one
/// that is down (503 answers came within 20 ms from a crowded service, and spread over a second in an
/// outage).
const AT_ONCE: Millis = 50.0;
const UNREACHABLE_SPAN: Millis = 2000.0;
/// The same where the service has moved: a new configuration binds sooner, so less is taken for an outage.
const UNREACHABLE_SPAN_AFTER_MOVE: Millis = 3000.0;
/// Moves that are remembered until what the service has some seconds later is known. Of more than so many
/// within these seconds the earliest and the last count.
const MOVES_MOST: usize = 16;

/// What is known of the age of the list.
#[derive(Debug)]
pub(crate) struct ListFreshness {
    /// None: this deployment states no such terms, and the list never grows too old.
    terms: Option<NotificationTerms>,
    /// The last moment at which every change that bound this host was in the list held: when the list was
    /// last heard, or when the service could not be reached.
    current_at: Millis,
    /// When the call that is out was made, and how long it asked the service to wait for a change.
    call_made_at: Millis,
    call_waits: Millis,
    /// Calls in a row that showed no service, and when the first of them was made.
    unanswered: u32,
    unanswered_since: Millis,
    /// Since when an answer has been arriving that is not complete. What it tells binds from then on.
    answer_began_at: Option<Millis>,
    /// The same of the first answer that was given up since the list was last heard.
    abandoned_since: Option<Millis>,
    /// When this host was told that the service is at another address, in order. What the service has some
    /// seconds later binds then, whatever was heard before; a move is forgotten once the list held is from
    /// after that.
    moves: VecDeque<Millis>,
}

impl ListFreshness {
    /// For a host that starts now, perhaps with a saved list.
    pub(crate) fn new(terms: Option<NotificationTerms>, now: Millis) -> Self {
        ListFreshness {
            terms,
            current_at: now,
            call_made_at: now,
            call_waits: 0.0,
            unanswered: 0,
            unanswered_since: now,
            answer_began_at: None,
            abandoned_since: None,
            moves: VecDeque::new(),
        }
    }

    /// The service told the list, or that nothing has changed. When it wrote the answer is not known, which
    /// may have been on its way for long: at the earliest when the call was made, or, if nothing changed,
    /// when its wait ended.
    pub(crate) fn list_heard(&mut self, changed: bool, now: Millis) {
        let waited = if changed { 0.0 } else { self.call_waits };
        let written_at = (self.call_made_at + waited).min(now);
        self.current_at = self.current_at.max(written_at);
        self.answer_began_at = None;
        self.abandoned_since = None;
        self.unanswered = 0;
        self.forget_moves();
    }

    /// Something became of a call.
    pub(crate) fn call_changed(&mut self, call: DiscoveryCall, now: Millis) {
        match call {
            DiscoveryCall::Started { long_poll } => {
                self.call_made_at = now;
                self.call_waits = long_poll;
            }
            DiscoveryCall::ResponseBegan => {
                self.answer_began_at.get_or_insert(now);
            }
            DiscoveryCall::Rejected { elapsed } if elapsed <= AT_ONCE => {
                self.answer_began_at = None;
                self.unanswered = self.unanswered.saturating_sub(TURNED_AWAY_WEIGHS);
            }
            DiscoveryCall::Rejected { .. } | DiscoveryCall::Unanswered => self.call_unanswered(),
            DiscoveryCall::Abandoned => {
                self.unanswered = 0;
                self.abandoned_since = self.abandoned_since.or(self.answer_began_at);
                self.answer_began_at = None;
            }
            DiscoveryCall::ServiceMoved => {
                self.unanswered = 0;
                self.moved(now);
            }
        }
    }

    /// Nobody answered. After a row of such calls the service was unreachable when the last of them was
    /// made.
    fn call_unanswered(&mut self) {
        self.answer_began_at = None;
        if self.unanswered == 0 {
            self.unanswered_since = self.call_made_at;
        }
        self.unanswered = (self.unanswered + 1).min(UNREACHABLE_CALLS);
        let span = self.call_made_at - self.unanswered_since;
        if self.unanswered < UNREACHABLE_CALLS || span < UNREACHABLE_SPAN {
            return;
        }
        self.current_at = self.current_at.max(self.call_made_at);
        if span >= UNREACHABLE_SPAN_AFTER_MOVE {
            self.moves.iter_mut().for_each(|moved_at| *moved_at = moved_at.max(self.call_made_at));
        }
    }

    fn moved(&mut self, now: Millis) {
        if self.moves.len() >= MOVES_MOST {
            self.moves.pop_back();
        }
        self.moves.push_back(now);
    }

    fn forget_moves(&mut self) {
        let Some(terms) = self.terms else { return };
        let known = |moved_at: &mut Millis| *moved_at + terms.notified_after_move <= self.current_at;
        while self.moves.pop_front_if(known).is_some() {}
    }

    /// Until when requests may be sent on the list held. It moves back where an answer begins to arrive, or
    /// the service moves.
    pub(crate) fn trusted_until(&self) -> Millis {
        let Some(terms) = self.terms else { return Millis::INFINITY };
        let unheard = self.current_at + terms.notified_within;
        let moved = self.moves.front().map_or(Millis::INFINITY, |at| at + terms.notified_after_move);
        let arriving = self.abandoned_since.or(self.answer_began_at).unwrap_or(Millis::INFINITY);
        unheard.min(moved).min(arriving) + terms.drain_grace - MARGIN
    }

    /// Whether requests may be sent on the list held now.
    pub(crate) fn is_trusted(&self, now: Millis) -> bool {
        now < self.trusted_until()
    }
}
