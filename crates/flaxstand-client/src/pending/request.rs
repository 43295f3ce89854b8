//! One request in progress: its attempts, and what is known of their execution.

use crate::answer::{AbandonReason, AbandonedRequest};
use crate::request::{Request, RetrySafety};
use flaxstand_proto::{Micros, Refusal, Submit};

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

/// A request in progress.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    request: Request,
    /// When it is abandoned.
    pub(super) deadline: Micros,
    /// Attempts that were sent.
    pub(super) attempts: u32,
    /// The attempt that is not yet answered; at most one.
    pub(super) in_flight: Option<InFlightAttempt>,
    /// When the first attempt was sent that may have been executed.
    may_have_executed_since: Option<Micros>,
    /// Parts of a streamed answer that came so far.
    answer_parts: Vec<u8>,
    /// Cause of the latest refusal, unless a later attempt failed.
    last_refusal: Option<Refusal>,
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

    /// Whether the next attempt is a retry.
    pub(crate) fn is_retry(&self) -> bool {
        self.attempts > 0
    }

    /// Attempts that were sent.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether its idempotency window ends before its deadline.
    pub(crate) fn expires_before_deadline(&self) -> bool {
        self.retryable_until() < self.deadline
    }

    /// An attempt was refused: it was not executed, or executing it again is harmless.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) {
        self.last_refusal = Some(refusal);
    }

    /// An attempt failed: it may have been executed.
    pub(crate) fn record_failure(&mut self, attempt: InFlightAttempt) {
        self.answer_parts.clear();
        self.last_refusal = None;
        self.record_possible_execution(attempt);
    }

    /// An attempt's connection was lost after `written` bytes of its stream were handed to the system.
    pub(crate) fn record_connection_loss(&mut self, attempt: InFlightAttempt, written: u64) {
        self.answer_parts.clear();
        // An attempt whose last byte was not handed to the system cannot have been executed.
        if attempt.stream_end <= written {
            self.record_possible_execution(attempt);
        }
    }

    /// Adds a part of a streamed answer.
    pub(crate) fn append_answer_part(&mut self, part: &[u8]) {
        self.answer_parts.extend_from_slice(part);
    }

    /// The payload of the answer, given its last part.
    pub(crate) fn complete_answer(&self, last_part: &[u8]) -> Vec<u8> {
        [&self.answer_parts[..], last_part].concat()
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

    /// Notes that an attempt may have been executed. The first one counts.
    fn record_possible_execution(&mut self, attempt: InFlightAttempt) {
        self.may_have_executed_since.get_or_insert(attempt.sent_at);
    }
}
