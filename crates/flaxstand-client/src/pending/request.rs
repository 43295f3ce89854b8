//! A request in progress: its attempts, and whether one of them may have been executed.

use crate::answer::{AbandonReason, AbandonedRequest};
use crate::request::{Request, RetrySafety};
use flaxstand_proto::{Micros, Refusal, Submit};

/// An attempt that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// Id of the attempt on the wire.
    pub(crate) id: u64,
    /// Offset of the end of its frame in the connection's stream, in bytes.
    pub(crate) stream_end: u64,
    /// When it was sent.
    pub(crate) sent_at: Micros,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    request: Request,
    /// When the request is abandoned.
    pub(super) deadline: Micros,
    /// Number of attempts sent.
    pub(super) attempts: u32,
    /// The attempt in flight; at most one.
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Send time of the first attempt that may have been executed.
    may_have_executed_since: Option<Micros>,
    /// Parts of a streamed answer received so far.
    answer_parts: Vec<u8>,
    /// Reason of the last refusal, unless a later attempt failed.
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

    /// Whether another attempt is safe: the request is idempotent, or no attempt can have been executed.
    pub(crate) fn is_safe_to_execute_again(&self) -> bool {
        let is_idempotent = self.request.retry_safety != RetrySafety::NotIdempotent;
        is_idempotent || self.may_have_executed_since.is_none()
    }

    /// Time by which an attempt must be answered: the deadline, or the end of the idempotency window if that
    /// is earlier.
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

    /// Number of attempts sent.
    pub(crate) fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the idempotency window ends before the deadline.
    pub(crate) fn expires_before_deadline(&self) -> bool {
        self.retryable_until() < self.deadline
    }

    /// Records a refused attempt: it was not executed, or executing it again is harmless.
    pub(crate) fn record_refusal(&mut self, refusal: Refusal) {
        self.last_refusal = Some(refusal);
    }

    /// Records a failed attempt: it may have been executed.
    pub(crate) fn record_failure(&mut self, attempt: InFlightAttempt) {
        self.answer_parts.clear();
        self.last_refusal = None;
        self.record_possible_execution(attempt);
    }

    /// Records that the connection of an attempt was lost after `written` bytes of its stream were passed to
    /// the operating system.
    pub(crate) fn record_connection_loss(&mut self, attempt: InFlightAttempt, written: u64) {
        self.answer_parts.clear();
        // An attempt whose last byte was not passed to the operating system cannot have been executed.
        if attempt.stream_end <= written {
            self.record_possible_execution(attempt);
        }
    }

    /// Appends a part of a streamed answer.
    pub(crate) fn append_answer_part(&mut self, part: &[u8]) {
        self.answer_parts.extend_from_slice(part);
    }

    /// The complete payload of the answer, given its last part.
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
            // The initiator must be able to tell retries from first attempts in its accounting.
            try_no: u8::try_from(self.attempts).unwrap_or(u8::MAX),
            write: request.write,
            volume: request.volume,
            extent: request.extent,
            shard: request.shard,
            units: request.units,
            at: request.write_offset,
            // The initiator must not work for a client that has stopped waiting.
            time_left: u32::try_from(self.retryable_until().since(now).0).unwrap_or(u32::MAX),
            payload: &request.payload,
        }
    }

    /// The result of abandoning the request now.
    pub(crate) fn abandoned(&self, reason: AbandonReason) -> AbandonedRequest {
        AbandonedRequest {
            reason,
            attempts: self.attempts,
            may_have_executed: self.may_have_executed_since.is_some() || self.in_flight.is_some(),
            last_refusal: self.last_refusal,
        }
    }

    /// Records that an attempt may have been executed, unless an earlier one is recorded already.
    fn record_possible_execution(&mut self, attempt: InFlightAttempt) {
        self.may_have_executed_since.get_or_insert(attempt.sent_at);
    }
}
