//! Calls of the discovery service on the platform's wire: the full list where there is none, then long polls
//! for what is newer, each following the response to the last.
//!
//! Waits are short, so that a poll that stalled is noticed before what it missed binds this host, and they
//! differ, so that hosts that began together do not go on calling together. A response that is arriving is
//! waited for as long as it makes progress: the full list of thousands of endpoints from a busy service takes
//! its time. The service handles calls one after another, and a full list costs it as much as many calls: a
//! call names the current revision wherever there is one.

use super::call_outcome::{CallHistory, UNREADABLE_RESPONSE, outcome_of_status};
use super::response_progress::{ResponseProgress, response_timeout};
use super::{DiscoveryContext, EndpointDiscovery};
use crate::core::Wire;
use crate::core::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{DiscoveryCall, Event, NotificationTerms};
use flaxstand_http::{Response, ResponseReader, write_request};
use flaxstand_platform::{LongPoll, ParsedListing, list_request_target, parse_listing};
use rand_core::RngCore as _;
use std::collections::VecDeque;
use tracing::warn;

/// Smallest part of the longest wait that is asked for.
const MIN_WAIT_SHARE: f64 = 0.6;
/// Moves of the service whose times are remembered; of more the earliest and the last.
const MAX_MOVES: usize = 16;
/// Longest response of the service, bytes: 32,768 endpoints of some 500 bytes each.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The calls made so far, and the one in flight.
#[derive(Debug)]
pub(super) struct PlatformPoll {
    history: CallHistory,
    started_at: Micros,
    /// When what the service has binds this host, after each of its last moves: a wait for changes ends then.
    binding_at: VecDeque<Micros>,
    /// By when the connection that is being dialed has to be established.
    connect_deadline: Option<Micros>,
    /// Of the response that is arriving.
    progress: Option<ResponseProgress>,
    /// Reads the responses of the current connection.
    reader: ResponseReader,
}

impl Default for PlatformPoll {
    fn default() -> Self {
        PlatformPoll {
            history: CallHistory::default(),
            started_at: Micros(0),
            binding_at: VecDeque::new(),
            connect_deadline: None,
            progress: None,
            reader: ResponseReader::with_body_limit(MAX_RESPONSE_BYTES),
        }
    }
}

impl PlatformPoll {
    /// The service has another address: what was learned of its calls no longer holds.
    fn reset_for_move(&mut self, terms: Option<NotificationTerms>, now: Micros) {
        let mut binding_at = std::mem::take(&mut self.binding_at);
        if let Some(terms) = terms {
            if binding_at.len() >= MAX_MOVES {
                binding_at.pop_back();
            }
            binding_at.push_back(now.after(Micros::from_ms(terms.notified_after_move)));
        }
        *self = PlatformPoll { binding_at, ..PlatformPoll::default() };
    }
}

/// A list that the service answered with, to be applied before the next call.
#[derive(Debug)]
pub(in crate::core) struct PollResponse {
    conn: ConnId,
    /// The list as far as it can be read.
    pub(in crate::core) listing: ParsedListing,
    /// The connection may carry another call.
    keeps_connection: bool,
}

impl EndpointDiscovery {
    /// A connection is about to be dialed. Returns by when it has to be established.
    pub(super) fn start_poll_connection(&mut self, context: &mut DiscoveryContext<'_>) -> Micros {
        self.record_call_start(Micros(0), context);
        let deadline = context.now.after(self.response_timeout());
        self.poll.connect_deadline = Some(deadline);
        self.poll.reader = ResponseReader::with_body_limit(MAX_RESPONSE_BYTES);
        deadline
    }

    fn response_timeout(&self) -> Micros {
        response_timeout(self.poll.history.consecutive_unanswered, self.revision.is_none())
    }

    fn record_call_start(&mut self, wait: Micros, context: &mut DiscoveryContext<'_>) {
        self.poll.started_at = context.now;
        let call = DiscoveryCall::Started { long_poll: wait.ms() };
        context.events.push_back(Event::DiscoveryCall(call));
    }

    /// Makes the next call on an established connection. From now on its response is waited for.
    pub(in crate::core) fn start_poll(&mut self, conn: ConnId, context: &mut DiscoveryContext<'_>) {
        if let Some(deadline) = self.poll.connect_deadline.take() {
            context.timers.cancel(deadline, Timer::ConnectTimeout(conn));
        }
        self.poll.progress = None;
        let wait = self.next_wait(context);
        self.record_call_start(wait, context);
        let deadline = context.now.after(wait).after(self.response_timeout());
        self.schedule_stall_check(deadline, context.timers);
        let timeout_ms = wait.0 / 1000;
        let long_poll = self.revision.map(|since_revision| LongPoll { since_revision, timeout_ms });
        let target = list_request_target(long_poll);
        let host = context.config.discovery_address.to_string();
        context
            .connections
            .write(conn, |bytes| write_request(bytes, "GET", &target, &[("Host", &host)], None));
    }

    /// How long the next call asks the service to wait for changes: not at all after one that failed, since a
    /// connection that stalls as well would show only after the wait.
    fn next_wait(&mut self, context: &mut DiscoveryContext<'_>) -> Micros {
        if self.revision.is_none() || !self.poll.history.was_last_answered {
            return Micros(0);
        }
        let drawn = f64::from(context.rng.next_u32()) / f64::from(u32::MAX);
        let share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * drawn;
        let wait = Micros::from_ms(context.config.site.timeouts.max_long_poll.ms() * share);
        let binding_at = &mut self.poll.binding_at;
        let remembered = binding_at.len();
        while binding_at.pop_front_if(|at| *at <= context.now).is_some() {}
        match binding_at.front() {
            // What the service has now binds: it is asked for once without a wait.
            _ if binding_at.len() < remembered => Micros(0),
            Some(at) => wait.min(at.since(context.now)),
            None => wait,
        }
    }

    /// Bytes arrived from the service. Returns the response that they complete.
    pub(in crate::core) fn receive_bytes(
        &mut self,
        conn: ConnId,
        bytes: &[u8],
        context: &mut DiscoveryContext<'_>,
    ) -> Option<PollResponse> {
        if self.conn != Some(conn) {
            return None;
        }
        self.poll.reader.push(bytes);
        match self.poll.reader.take() {
            Ok(Some(answer)) => return self.complete_call(conn, &answer, context),
            Ok(None) if self.poll.reader.body_started() => {
                self.record_progress(bytes.len() as u64, context);
            }
            Ok(None) => {}
            Err(fault) => {
                warn!(%fault, "discovery response is malformed");
                self.fail_poll(conn, UNREADABLE_RESPONSE, "an answer that can't be read", context);
            }
        }
        None
    }

    /// A part of a response arrived. What it lists binds from its beginning on, and can't be read before its
    /// end.
    fn record_progress(&mut self, bytes: u64, context: &mut DiscoveryContext<'_>) {
        if let Some(progress) = &mut self.poll.progress {
            return progress.record(bytes, context.now);
        }
        let progress = ResponseProgress::begin(bytes, context.now);
        self.poll.progress = Some(progress);
        context.events.push_back(Event::DiscoveryCall(DiscoveryCall::ResponseBegan));
        self.schedule_stall_check(progress.deadline(), context.timers);
    }

    /// The service ended its stream in good order: a response without a length is complete.
    pub(in crate::core) fn receive_end(
        &mut self,
        conn: ConnId,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<PollResponse> {
        if self.conn != Some(conn) || context.config.wire != Wire::Platform {
            return None;
        }
        let answer = self.poll.reader.end()?;
        self.complete_call(conn, &answer, context)
    }

    fn complete_call(
        &mut self,
        conn: ConnId,
        answer: &Response,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<PollResponse> {
        if answer.status != 200 {
            warn!(status = answer.status, "discovery call was rejected");
            let outcome = outcome_of_status(answer.status, context.now.since(self.poll.started_at));
            self.fail_poll(conn, outcome, "the list service could not answer", context);
            return None;
        }
        let listing = match parse_listing(&answer.body) {
            Ok(listing) => listing,
            Err(cause) => {
                warn!(%cause, "discovery listing is malformed");
                self.fail_poll(conn, UNREADABLE_RESPONSE, "a list that can't be read", context);
                return None;
            }
        };
        self.poll.history.record_success();
        self.poll.progress = None;
        Some(PollResponse { conn, listing, keeps_connection: answer.keeps_alive })
    }

    /// Makes the call that follows a response which has been applied.
    pub(in crate::core) fn poll_again(
        &mut self,
        response: &PollResponse,
        context: &mut DiscoveryContext<'_>,
    ) {
        if response.keeps_connection {
            self.start_poll(response.conn, context);
        } else {
            // The service works, and only this connection ends: not a failure that the module should hear of.
            self.conn = None;
            self.cancel_stall_check(context.timers);
            context.connections.discard(response.conn);
            self.connect(context);
        }
    }

    /// The connection broke, or its peer broke the protocol.
    pub(in crate::core) fn poll_lost(&mut self, cause: &str, context: &mut DiscoveryContext<'_>) {
        self.conn = None;
        self.record_call_failure(DiscoveryCall::Unanswered, cause, context);
    }

    /// Closes a connection under its call, which ends with this outcome.
    fn fail_poll(
        &mut self,
        conn: ConnId,
        outcome: DiscoveryCall,
        cause: &str,
        context: &mut DiscoveryContext<'_>,
    ) {
        context.connections.discard(conn);
        self.conn = None;
        self.record_call_failure(outcome, cause, context);
    }

    /// A call ended without a list. The list in use stays so for as long as the decision module trusts it.
    fn record_call_failure(
        &mut self,
        outcome: DiscoveryCall,
        cause: &str,
        context: &mut DiscoveryContext<'_>,
    ) {
        let elapsed_ms = context.now.since(self.poll.started_at).ms();
        warn!(cause, ?outcome, elapsed_ms, "discovery call failed");
        self.poll.history.record_failure(outcome);
        self.poll.progress = None;
        self.cancel_stall_check(context.timers);
        context.events.push_back(Event::DiscoveryCall(outcome));
        self.schedule_retry(context);
    }

    /// A call has been in flight for long: it has failed, unless its response is arriving.
    pub(super) fn check_poll_stalled(&mut self, conn: ConnId, context: &mut DiscoveryContext<'_>) {
        let (outcome, cause) = match self.poll.progress {
            Some(progress) if context.now < progress.deadline() => {
                return self.schedule_stall_check(progress.deadline(), context.timers);
            }
            Some(progress) if !progress.has_stalled(context.now) => {
                (DiscoveryCall::Abandoned, "the list comes too slowly")
            }
            Some(_) => (DiscoveryCall::Unanswered, "the list does not come whole"),
            None => (DiscoveryCall::Unanswered, "the list service is silent"),
        };
        self.fail_poll(conn, outcome, cause, context);
    }

    /// The service has another address now. Guards against a list that goes stale unseen: the old connection
    /// closes. Both count the same revisions; one that does not is asked for its full list (see
    /// `accept_listing`).
    pub(in crate::core) fn move_service(&mut self, context: &mut DiscoveryContext<'_>) {
        if let Some(conn) = self.conn.take() {
            context.connections.discard(conn);
        }
        self.cancel_stall_check(context.timers);
        self.poll.reset_for_move(context.config.site.settings.notification_terms, context.now);
        context.events.push_back(Event::DiscoveryCall(DiscoveryCall::ServiceMoved));
        self.connect(context);
    }
}
