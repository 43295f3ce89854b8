//! Final answers: how a request ended.

use crate::request::RequestId;
use flaxstand_proto::Refusal;
use thiserror::Error;

/// The answer to a request that succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A node executed the request.
    Served {
        /// Shard of that node.
        shard: u32,
        /// Data read; the parts of a streamed answer are concatenated.
        payload: Vec<u8>,
    },
    /// The write is durable at the initiator.
    Buffered,
}

/// Why a request was abandoned.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AbandonReason {
    /// Its timeout is over, or leaves no time for a further attempt.
    #[error("its time is up")]
    DeadlineExceeded,
    /// It may have been executed, and a retry is not, or no longer, safe.
    #[error("it may have run and must not be tried again")]
    RetryUnsafe,
    /// The client's retry budget is exhausted.
    #[error("the retry budget is used up")]
    RetryBudgetExhausted,
    /// [`crate::Config::max_requests_in_progress`] are in progress.
    #[error("too many calls are under way")]
    TooManyRequests,
    /// The initiator cannot process the request, or speaks another version of the protocol.
    #[error("the initiator does not take it")]
    Protocol,
}

/// A request that was abandoned.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "given up after {attempts} tries: {reason}{}",
    if *.may_have_executed { "; it may have run" } else { "; it has not run" }
)]
pub struct AbandonedRequest {
    /// Why it was abandoned.
    pub reason: AbandonReason,
    /// Attempts that were sent.
    pub attempts: u32,
    /// An attempt may have been executed, or may still be.
    pub may_have_executed: bool,
    /// Cause of the latest refusal, unless a later attempt failed.
    pub last_refusal: Option<Refusal>,
}

/// A request that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The request.
    pub request: RequestId,
    /// Its final answer.
    pub result: Result<Answer, AbandonedRequest>,
}
