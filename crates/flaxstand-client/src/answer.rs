//! Final answers to requests.

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
        /// Data that was read; the parts of a streamed answer are concatenated.
        payload: Vec<u8>,
    },
    /// The write is durable at the initiator.
    Buffered,
}

/// Why a request was abandoned.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AbandonReason {
    /// Its time-out has expired, or leaves no time for another attempt.
    #[error("deadline exceeded")]
    DeadlineExceeded,
    /// An attempt may have been executed, and a retry is not safe or no longer safe.
    #[error("an attempt may have been executed and a retry is not safe")]
    RetryUnsafe,
    /// The client's retry budget is exhausted.
    #[error("retry budget exhausted")]
    RetryBudgetExhausted,
    /// The limit [`crate::Config::max_requests_in_progress`] is reached.
    #[error("too many requests in progress")]
    TooManyRequests,
    /// The initiator cannot process the request, or does not support the client's protocol version.
    #[error("rejected by the initiator as a protocol error")]
    Protocol,
}

/// A request that was abandoned.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error(
    "request abandoned after {attempts} attempts: {reason}; {}",
    if *.may_have_executed { "it may have been executed" } else { "it was not executed" }
)]
pub struct AbandonedRequest {
    /// Why it was abandoned.
    pub reason: AbandonReason,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Whether an attempt may have been executed, or may still be.
    pub may_have_executed: bool,
    /// Reason of the last refusal, unless a later attempt failed.
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
