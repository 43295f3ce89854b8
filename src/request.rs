//! State of a client request and its attempts.

use crate::api::{Arrival, AttemptNo, Millis, NodeId, ShardId, ZoneId};

/// Execution state of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// The attempt ended and was not executed.
    NotExecuted,
    /// The attempt ended and may have been executed or may still be executing.
    Unknown,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) shard: ShardId,
    pub(crate) zone: ZoneId,
    pub(crate) node: NodeId,
    pub(crate) sent_at: Millis,
    pub(crate) execution: Execution,
}

/// Deadlines of a request.
#[derive(Clone, Copy)]
pub(crate) struct Deadlines {
    /// Until then, a response has its full value.
    pub(crate) due_at: Millis,
    /// Until then, the request may be held without an attempt; its client still has time to retry elsewhere.
    pub(crate) hold_until: Millis,
    /// The client times out then.
    pub(crate) expires_at: Millis,
}

/// A request without a final response, or with attempts in flight.
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) deadlines: Deadlines,
    pub(crate) attempts: Vec<Attempt>,
    /// The assigned node: that of its shard, or for a new object the one drawn.
    pub(crate) node: Option<NodeId>,
    /// Whether it has its final response, or its client disconnected.
    pub(crate) is_over: bool,
    /// Whether its response is streaming to the client.
    pub(crate) is_streaming: bool,
    /// Whether it counts as a client's retry: a recent request for the same item was not served here.
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

    /// Returns whether no attempt was sent yet.
    pub(crate) fn has_no_attempt(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the numbers of the attempts in flight.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = AttemptNo> {
        let numbered = self.attempts.iter().enumerate();
        let in_flight = numbered.filter(|(_, attempt)| attempt.execution == Execution::InFlight);
        in_flight.map(|(number, _)| AttemptNo(number as u32))
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Returns whether it is waiting for its next attempt.
    pub(crate) fn is_held(&self) -> bool {
        !self.is_over && !self.has_attempt_in_flight()
    }

    /// Returns the first attempt that may have been executed.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
    }
}
