//! Polls the discovery service on the platform's wire: requests the full list if there is none, then sends
//! long polls for changes, one after the response to the other.
//!
//! Long-poll waits are short, so that a stalled poll is detected before the changes that it missed take
//! effect for this host, and randomised, so that hosts that started together do not keep polling together. A
//! response is awaited as long as it makes progress, since the full list of thousands of endpoints may take a
//! busy service seconds. The service handles calls sequentially, and a full list costs it as much as many
//! polls, so a call states the current revision whenever there is one.

use super::call_outcome::{CallHistory, MALFORMED_RESPONSE, outcome_of_status};
use super::response_progress::{ResponseProgress, response_timeout};
use super::{DiscoveryContext, EndpointDiscovery};
use crate::core::Wire;
use crate::core::timers::Timer;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{DiscoveryCall, Event, NotificationTerms};
use flaxstand_http::{Response, ResponseReader, write_request};
use flaxstand_platform::{LongPoll, ParsedListing, list_request_target, parse_bounded_listing};
use rand_core::RngCore as _;
use std::collections::VecDeque;
use tracing::warn;

/// Lower bound of the randomised long-poll wait, as a fraction of the longest.
const MIN_WAIT_FRACTION: f64 = 0.6;
/// Maximum number of service moves whose times are stored. Beyond it the latest replaces the one before it.
const MAX_STORED_MOVES: usize = 16;
/// Maximum number of entries that are read of a list, as a multiple of the endpoints that may be listed. A list of
/// changes may also remove each of them.
const MAX_ENTRIES_PER_ENDPOINT: usize = 2;

/// State of the polls: history and the call in flight.
#[derive(Debug)]
pub(super) struct PlatformPoll {
    history: CallHistory,
    started_at: Micros,
    /// For each recent move of the service, the time from which this host counts as notified of the list. A
    /// long poll ends by then.
    notified_from: VecDeque<Micros>,
    /// Deadline for the connection that is being dialed.
    connect_deadline: Option<Micros>,
    /// Progress of the response that is arriving.
    progress: Option<ResponseProgress>,
    /// Reads the responses of the current connection; replaced for each connection.
    reader: ResponseReader,
}

impl Default for PlatformPoll {
    fn default() -> Self {
        PlatformPoll {
            history: CallHistory::default(),
            started_at: Micros(0),
            notified_from: VecDeque::new(),
            connect_deadline: None,
            progress: None,
            reader: ResponseReader::with_body_limit(0),
        }
    }
}

impl PlatformPoll {
    /// Resets the state after the service moved to another address: the call history no longer applies.
    fn reset_for_move(&mut self, terms: Option<NotificationTerms>, now: Micros) {
        let mut notified_from = std::mem::take(&mut self.notified_from);
        if let Some(terms) = terms {
            if notified_from.len() >= MAX_STORED_MOVES {
                notified_from.pop_back();
            }
            notified_from.push_back(now.after(Micros::from_ms(terms.notified_after_move)));
        }
        *self = PlatformPoll { notified_from, ..PlatformPoll::default() };
    }
}

/// A response with a list, to be applied before the next call.
#[derive(Debug)]
pub(in crate::core) struct PollResponse {
    conn: ConnId,
    /// The well-formed part of the list.
    pub(in crate::core) listing: ParsedListing,
    /// Whether the connection may be reused for the next call.
    keeps_connection: bool,
}

impl EndpointDiscovery {
    /// Prepares a connection that is about to be dialed. Returns its connect deadline.
    pub(super) fn start_poll_connection(&mut self, context: &mut DiscoveryContext<'_>) -> Micros {
        self.record_call_start(Micros(0), context);
        let deadline = context.now.after(self.response_timeout());
        self.poll.connect_deadline = Some(deadline);
        self.poll.reader = ResponseReader::with_body_limit(context.max_list_bytes);
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

    /// Sends the next call on an established connection and schedules its stall check.
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

    /// Returns how long the next call asks the service to wait for changes. After a failed call that is zero,
    /// since another stall would be detected only after the wait.
    fn next_wait(&mut self, context: &mut DiscoveryContext<'_>) -> Micros {
        if self.revision.is_none() || !self.poll.history.was_last_answered {
            return Micros(0);
        }
        let random = f64::from(context.rng.next_u32()) / f64::from(u32::MAX);
        let fraction = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * random;
        let wait = Micros::from_ms(context.config.site.timeouts.max_long_poll.ms() * fraction);
        let notified_from = &mut self.poll.notified_from;
        let stored = notified_from.len();
        while notified_from.pop_front_if(|at| *at <= context.now).is_some() {}
        match notified_from.front() {
            // The current list of the service is in effect for this host: request it once without a wait.
            _ if notified_from.len() < stored => Micros(0),
            Some(at) => wait.min(at.since(context.now)),
            None => wait,
        }
    }

    /// Handles received bytes. Returns the response if they complete it.
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
            Ok(Some(response)) => return self.complete_call(conn, &response, context),
            Ok(None) if self.poll.reader.body_started() => {
                self.record_progress(bytes.len() as u64, context);
            }
            Ok(None) => {}
            Err(fault) => {
                warn!(%fault, "malformed HTTP response from discovery; closing the connection");
                self.fail_poll(conn, MALFORMED_RESPONSE, "malformed HTTP response", context);
            }
        }
        None
    }

    /// Records that a part of a response arrived. The listed state takes effect for this host at the
    /// beginning of the response, although it can be parsed only at its end.
    fn record_progress(&mut self, bytes: u64, context: &mut DiscoveryContext<'_>) {
        if let Some(progress) = &mut self.poll.progress {
            return progress.record(bytes, context.now);
        }
        let progress = ResponseProgress::begin(bytes, context.now);
        self.poll.progress = Some(progress);
        context.events.push_back(Event::DiscoveryCall(DiscoveryCall::ResponseBegan));
        self.schedule_stall_check(progress.deadline(), context.timers);
    }

    /// Handles an orderly end of the stream, which completes a response without a length.
    pub(in crate::core) fn receive_end(
        &mut self,
        conn: ConnId,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<PollResponse> {
        if self.conn != Some(conn) || context.config.wire != Wire::Platform {
            return None;
        }
        let response = self.poll.reader.end()?;
        self.complete_call(conn, &response, context)
    }

    fn complete_call(
        &mut self,
        conn: ConnId,
        response: &Response,
        context: &mut DiscoveryContext<'_>,
    ) -> Option<PollResponse> {
        if response.status != 200 {
            warn!(status = response.status, "discovery call rejected; closing the connection");
            let outcome = outcome_of_status(response.status, context.now.since(self.poll.started_at));
            self.fail_poll(conn, outcome, "status other than 200", context);
            return None;
        }
        let max_entries = context.config.bounds.max_endpoints.saturating_mul(MAX_ENTRIES_PER_ENDPOINT);
        let listing = match parse_bounded_listing(&response.body, max_entries) {
            Ok(listing) => listing,
            Err(cause) => {
                warn!(%cause, "malformed endpoint list from discovery; closing the connection");
                self.fail_poll(conn, MALFORMED_RESPONSE, "malformed endpoint list", context);
                return None;
            }
        };
        self.poll.history.record_success();
        self.poll.progress = None;
        Some(PollResponse { conn, listing, keeps_connection: response.keeps_alive })
    }

    /// Sends the next call after a response has been applied.
    pub(in crate::core) fn poll_again(
        &mut self,
        response: &PollResponse,
        context: &mut DiscoveryContext<'_>,
    ) {
        if response.keeps_connection {
            self.start_poll(response.conn, context);
        } else {
            // The service is up and only closes this connection, so the module is not notified of a failure.
            self.conn = None;
            self.cancel_stall_check(context.timers);
            context.connections.discard(response.conn);
            self.connect(context);
        }
    }

    /// Handles a connection that failed or whose peer violated the protocol.
    pub(in crate::core) fn poll_lost(&mut self, cause: &str, context: &mut DiscoveryContext<'_>) {
        self.conn = None;
        self.record_call_failure(DiscoveryCall::Unanswered, cause, context);
    }

    /// Closes the connection and fails its call with this outcome.
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

    /// Records a call that ended without a list. The current list stays in use for as long as the decision
    /// module allows it.
    fn record_call_failure(
        &mut self,
        outcome: DiscoveryCall,
        cause: &str,
        context: &mut DiscoveryContext<'_>,
    ) {
        let elapsed_ms = context.now.since(self.poll.started_at).ms();
        warn!(cause, ?outcome, elapsed_ms, "discovery call failed; keeping the current endpoint list");
        self.poll.history.record_failure(outcome);
        self.poll.progress = None;
        self.cancel_stall_check(context.timers);
        context.events.push_back(Event::DiscoveryCall(outcome));
        self.schedule_retry(context);
    }

    /// Fails a call that passed its deadline, unless its response is still making progress.
    pub(super) fn check_poll_stalled(&mut self, conn: ConnId, context: &mut DiscoveryContext<'_>) {
        let (outcome, cause) = match self.poll.progress {
            Some(progress) if context.now < progress.deadline() => {
                return self.schedule_stall_check(progress.deadline(), context.timers);
            }
            Some(progress) if !progress.has_stalled(context.now) => {
                (DiscoveryCall::Abandoned, "response arrives below the minimum rate")
            }
            Some(_) => (DiscoveryCall::Unanswered, "response stalled before its end"),
            None => (DiscoveryCall::Unanswered, "no response from the discovery service"),
        };
        self.fail_poll(conn, outcome, cause, context);
    }

    /// Handles a new address of the service. Closes the old connection, whose list could go stale undetected.
    /// Both addresses normally share their revisions; after a decreased revision the full list is requested
    /// (see `accept_listing`).
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
