//! Requests in progress and their attempts in flight.

use crate::answer::{AbandonReason, AbandonedRequest};
use crate::request::{Request, RequestId, RetrySafety};
use flaxstand_proto::{Micros, Refusal, Submit};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that was sent and is not yet answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// Its number on the wire.
    pub(crate) id: u64,
    /// Where its frame ends in the connection's stream, in bytes.
    pub(crate) stream_end: u64,
    /// When it was sent.
    pub(crate) sent_at: Micros,
}

/// An attempt that is no longer in flight, and its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: InFlightAttempt,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    request: Request,
    /// When it is abandoned.
    pub(crate) deadline: Micros,
    /// Attempts that were sent.
    pub(crate) attempts: u32,
    /// The attempt that is not yet answered; at most one.
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// When the first attempt was sent that may have been executed.
    pub(crate) may_have_executed_since: Option<Micros>,
    /// Parts of a streamed answer that came so far.
    pub(crate) answer_parts: Vec<u8>,
    /// Cause of the latest refusal, unless a later attempt failed.
    pub(crate) last_refusal: Option<Refusal>,
}

impl PendingRequest {
    pub(crate) fn new(request: Request, now: Micros) -> Self {
        PendingRequest {
            deadline: now.after(request.timeout),
            request,
            attempts: 0,
            in_flight: None,
            may_have_executed_since: None,
            answer_parts: Vec::new(),
            last_refusal: None,
        }
    }

    pub(crate) fn volume(&self) -> u64 {
        self.request.volume
    }

    /// Whether a further attempt cannot execute a request twice that is not idempotent.
    pub(crate) fn is_safe_to_execute_again(&self) -> bool {
        let is_idempotent = self.request.retry_safety != RetrySafety::NotIdempotent;
        is_idempotent || self.may_have_executed_since.is_none()
    }

    /// Until when an attempt may take: the deadline, or the end of the idempotency window if that is earlier.
    pub(crate) fn retryable_until(&self) -> Micros {
        match (self.request.retry_safety, self.may_have_executed_since) {
            (RetrySafety::IdempotencyKey { window }, Some(since)) => self.deadline.min(since.after(window)),
            _ => self.deadline,
        }
    }

    /// Notes that an attempt may have been executed. The first one counts.
    pub(crate) fn record_possible_execution(&mut self, attempt: InFlightAttempt) {
        self.may_have_executed_since.get_or_insert(attempt.sent_at);
    }

    /// The frame of the next attempt.
    pub(crate) fn submit_frame(&self, attempt_id: u64, now: Micros) -> Submit<'_> {
        let request = &self.request;
        Submit {
            id: attempt_id,
            operation: request.operation,
            class: request.class,
            plan: request.plan,
            volume_initiators: request.volume_initiators,
            // Guards against hidden retries: the initiator accounts for an attempt by its number.
            try_no: u8::try_from(self.attempts).unwrap_or(u8::MAX),
            write: request.write,
            volume: request.volume,
            extent: request.extent,
            shard: request.shard,
            units: request.units,
            at: request.write_offset,
            // Guards against work for a client that no longer waits.
            time_left: u32::try_from(self.retryable_until().since(now).0).unwrap_or(u32::MAX),
            payload: &request.payload,
        }
    }

    /// The request's end, if it is abandoned now.
    pub(crate) fn abandoned(&self, reason: AbandonReason) -> AbandonedRequest {
        AbandonedRequest {
            reason,
            attempts: self.attempts,
            may_have_executed: self.may_have_executed_since.is_some() || self.in_flight.is_some(),
            last_refusal: self.last_refusal,
        }
    }
}

/// A time at which something is to be done for a request. Ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    request: RequestId,
}

/// All requests in progress, by their id, by their attempt in flight, and by time.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The requests with an attempt in flight, by that attempt's id.
    by_attempt: BTreeMap<u64, RequestId>,
    /// When the next attempt of a request is due.
    due: BTreeSet<Timer>,
    deadlines: BTreeSet<Timer>,
}

impl PendingRequests {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Ids of all requests.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Ids of the requests with an attempt in flight, in the order of the attempts.
    pub(crate) fn ids_in_flight(&self) -> Vec<RequestId> {
        self.by_attempt.values().copied().collect()
    }

    /// Adds a request. Its deadline is watched from now on.
    pub(crate) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.deadlines.insert(Timer { at: request.deadline, request: id });
        self.requests.insert(id, request);
    }

    /// Removes a request with its timers and its attempt in flight.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.deadlines.remove(&Timer { at: request.deadline, request: id });
        self.due.retain(|timer| timer.request != id);
        if let Some(attempt) = request.in_flight {
            self.by_attempt.remove(&attempt.id);
        }
        Some(request)
    }

    /// Makes the next attempt of a request due at a time.
    pub(crate) fn schedule_attempt(&mut self, id: RequestId, at: Micros) {
        self.due.insert(Timer { at, request: id });
    }

    /// Takes the next request whose attempt is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<RequestId> {
        let timer = *self.due.first().filter(|timer| timer.at <= now)?;
        self.due.remove(&timer);
        Some(timer.request)
    }

    /// The next request whose deadline has passed.
    pub(crate) fn first_expired(&self, now: Micros) -> Option<RequestId> {
        self.deadlines.first().filter(|timer| timer.at <= now).map(|timer| timer.request)
    }

    /// When the next attempt is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|timer| timer.at)
    }

    /// The next deadline of a request.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|timer| timer.at)
    }

    /// The request of an attempt in flight.
    pub(crate) fn id_of_attempt(&self, attempt_id: u64) -> Option<RequestId> {
        self.by_attempt.get(&attempt_id).copied()
    }

    /// Records that an attempt of a request was sent.
    pub(crate) fn start_attempt(&mut self, id: RequestId, attempt: InFlightAttempt) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts += 1;
            request.in_flight = Some(attempt);
            self.by_attempt.insert(attempt.id, id);
        }
    }

    /// Takes an attempt out of flight. Returns it with the request it belongs to.
    pub(crate) fn end_attempt(&mut self, attempt_id: u64) -> Option<EndedAttempt> {
        let request = self.by_attempt.remove(&attempt_id)?;
        let attempt = self.requests.get_mut(&request)?.in_flight.take()?;
        Some(EndedAttempt { request, attempt })
    }

    /// Takes all attempts out of flight, in the order of their ids.
    pub(crate) fn end_all_attempts(&mut self) -> Vec<EndedAttempt> {
        let attempt_ids: Vec<u64> = self.by_attempt.keys().copied().collect();
        attempt_ids.into_iter().filter_map(|id| self.end_attempt(id)).collect()
    }
}
