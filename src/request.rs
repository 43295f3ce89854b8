//! A client's request: its attempts, and what is known of their execution.

use crate::api::{Arrival, AttemptNo, Millis, NodeId, ShardId, ZoneId};

/// What is known of an attempt's execution.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Execution {
    /// It has not ended.
    InFlight,
    /// It ended and certainly was not executed.
    NotExecuted,
    /// It ended and may have been, or may still be, executed.
    Unknown,
}

/// One attempt to have a request executed.
pub(crate) struct Attempt {
    pub(crate) shard: ShardId,
    pub(crate) zone: ZoneId,
    pub(crate) node: NodeId,
    pub(crate) sent_at: Millis,
    pub(crate) execution: Execution,
}

/// The times that bound a request.
#[derive(Clone, Copy)]
pub(crate) struct Deadlines {
    /// An answer has its full value until then.
    pub(crate) due_at: Millis,
    /// It is held without an attempt until then; its client still has time to try elsewhere.
    pub(crate) hold_until: Millis,
    /// Its client stops waiting then.
    pub(crate) expires_at: Millis,
}

/// A request without a final answer, or with attempts in flight.
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) deadlines: Deadlines,
    pub(crate) attempts: Vec<Attempt>,
    /// Where it waits: the node of its shard, or for a new object the one drawn.
    pub(crate) node: Option<NodeId>,
    /// It has its final answer, or nobody waits for it.
    pub(crate) is_over: bool,
    /// Its answer has started, so the client owns the attempt.
    pub(crate) is_streaming: bool,
    /// Its client asks again for an item that was not served here recently.
    pub(crate) is_client_retry: bool,
}

impl Request {
    pub(crate) fn new(arrival: Arrival, deadlines: Deadlines, is_client_retry: bool) -> Self {
        Request {
            arrival,
            deadlines,
            attempts: Vec::new(),
            node: None,
            is_over: false,
            is_streaming: false,
            is_client_retry,
        }
    }

    /// Whether nothing was sent for it yet.
    pub(crate) fn has_no_attempt(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Numbers of the attempts in flight.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = AttemptNo> {
        let numbered = self.attempts.iter().enumerate();
        let in_flight = numbered.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
        in_flight.map(|(number, _)| AttemptNo(number as u32))
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether it waits here for its next attempt.
    pub(crate) fn is_held(&self) -> bool {
        !self.is_over && !self.has_attempt_in_flight()
    }

    /// The first attempt that may have been executed.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
    }
}
