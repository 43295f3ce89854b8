//! State of a client's request or a write-out, from its arrival until it is answered and has no attempt in
//! flight.

use super::http_connection::ForwardedHead;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{Arrival, AttemptNo, ClassId, Key, NodeId, PlanId, RequestId, ShardId, VolumeId};
use flaxstand_proto::Submit;
use flaxstand_write_back::{ExtentId, Write, WriteOutId};

/// Identifies an attempt among all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: AttemptNo,
}

/// Position of an attempt in the output of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HandOver {
    pub(super) conn: ConnId,
    /// End offset of the attempt in the connection's stream, in bytes; `u64::MAX` until it is written to the
    /// outbox.
    pub(super) end_offset: u64,
}

/// An attempt that has not ended; it may still be queued for its node's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) number: AttemptNo,
    pub(super) node: NodeId,
    pub(super) started_at: Micros,
    /// Time before which the first byte must be sent.
    pub(super) send_before: Micros,
    pub(super) handed_over: Option<HandOver>,
}

/// Recipient of a request's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A client, by its connection and its request number.
    Client { conn: ConnId, client_id: u64 },
    /// The write-back buffer.
    Buffer(WriteOutId),
}

/// Component that currently handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handler {
    /// The module. `passed_through`: the buffer passed it through and is notified of its end.
    Module { passed_through: bool },
    /// The write-back buffer; the module has not been notified of it.
    Buffer,
}

/// Final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalResponse {
    /// No response was sent.
    None,
    Served,
    /// Rejected without execution, with the Retry-After that the module set; 0 if the module did not decide
    /// it. A client may be sent a shorter one.
    NotExecuted(Micros),
    Failed,
}

/// Parts of a streamed response received so far.
#[derive(Debug)]
pub(super) struct StreamedParts {
    pub(super) attempt: AttemptNo,
    pub(super) bytes: Vec<u8>,
}

/// A request that is unanswered or has attempts in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// Recipient of the response; `None` once answered or abandoned.
    pub(super) owner: Option<Owner>,
    /// Recipient at arrival.
    pub(super) original_owner: Owner,
    pub(super) handler: Handler,
    pub(super) final_response: FinalResponse,
    /// An ended attempt that was not served may have been executed, or may still be.
    pub(super) may_have_run: bool,
    /// An attempt was served.
    pub(super) has_run: bool,
    /// For a read: extent whose buffered writes are overlaid on the node's response.
    pub(super) merge_extent: Option<ExtentId>,
    /// Partial response of a read with `merge_extent`.
    pub(super) streamed: StreamedParts,
    pub(super) operation: u64,
    pub(super) class: u16,
    pub(super) plan: u16,
    pub(super) is_write: bool,
    /// Number of earlier attempts of this operation, as reported by the client.
    pub(super) client_retries: u8,
    /// Classified as a retry by the admission gate.
    pub(super) is_retry: bool,
    /// The result was already reported to the retry throttle.
    pub(super) is_end_recorded: bool,
    /// A barrier or a flush.
    pub(super) is_ordering_request: bool,
    pub(super) volume: u64,
    pub(super) extent: Option<u64>,
    pub(super) shard: Option<u32>,
    pub(super) units: u32,
    pub(super) volume_initiators: u16,
    /// Offset of a write within the extent in bytes; `None` if it replaces the extent.
    pub(super) offset: Option<u32>,
    pub(super) expires_at: Micros,
    pub(super) payload: Vec<u8>,
    /// For a platform client: parts of the HTTP request to forward.
    pub(super) forwarded_head: Option<Box<ForwardedHead>>,
    /// Number of attempts started.
    pub(super) attempts_started: u32,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Part of the response was sent to the client.
    pub(super) is_streaming: bool,
}

impl PendingRequest {
    fn empty(owner: Owner, handler: Handler, expires_at: Micros) -> Self {
        PendingRequest {
            owner: Some(owner),
            original_owner: owner,
            handler,
            final_response: FinalResponse::None,
            may_have_run: false,
            has_run: false,
            merge_extent: None,
            streamed: StreamedParts { attempt: AttemptNo(0), bytes: Vec::new() },
            operation: 0,
            class: 0,
            plan: 0,
            is_write: false,
            client_retries: 0,
            is_retry: false,
            is_end_recorded: false,
            is_ordering_request: false,
            volume: 0,
            extent: None,
            shard: None,
            units: 1,
            volume_initiators: 1,
            offset: None,
            expires_at,
            payload: Vec::new(),
            forwarded_head: None,
            attempts_started: 0,
            in_flight: Vec::new(),
            is_streaming: false,
        }
    }

    /// Creates the state of a client's request.
    pub(super) fn new(conn: ConnId, s: &Submit<'_>, expires_at: Micros) -> Self {
        PendingRequest {
            operation: s.operation,
            class: s.class,
            plan: s.plan,
            is_write: s.write,
            client_retries: s.try_no,
            volume: s.volume,
            extent: s.extent,
            shard: s.shard,
            units: s.units,
            volume_initiators: s.volume_initiators,
            offset: s.at,
            payload: s.payload.to_vec(),
            ..Self::empty(
                Owner::Client { conn, client_id: s.id },
                Handler::Module { passed_through: false },
                expires_at,
            )
        }
    }

    /// Creates the state of a client's barrier or flush.
    pub(super) fn ordering_request(conn: ConnId, client_id: u64, expires_at: Micros) -> Self {
        let owner = Owner::Client { conn, client_id };
        PendingRequest { is_ordering_request: true, ..Self::empty(owner, Handler::Buffer, expires_at) }
    }

    /// Creates the state of a write-out.
    pub(super) fn write_out(id: WriteOutId, w: Write, expires_at: Micros) -> Self {
        PendingRequest {
            operation: w.operation,
            class: w.class,
            plan: w.plan,
            is_write: true,
            volume: w.extent_id.volume,
            extent: Some(w.extent_id.extent),
            shard: Some(w.shard),
            units: w.units,
            volume_initiators: w.volume_initiators,
            offset: w.at,
            payload: w.payload,
            ..Self::empty(Owner::Buffer(id), Handler::Module { passed_through: false }, expires_at)
        }
    }

    /// Returns the memory of the client's data, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.payload.len() + self.forwarded_head.as_ref().map_or(0, |head| head.memory_bytes())
    }

    /// Releases what is only needed for further attempts.
    pub(super) fn release_content(&mut self) {
        self.payload = Vec::new();
        if let Some(head) = &mut self.forwarded_head {
            head.target = String::new();
        }
    }

    /// Returns the arrival event's data for the module. `class` is the module's class.
    pub(super) fn arrival(&self, id: RequestId, class: usize) -> Arrival {
        Arrival {
            id,
            class: ClassId(class),
            plan: PlanId(self.plan.into()),
            key: self.extent.map(Key),
            expires_at: self.expires_at.ms(),
            volume: VolumeId(self.volume),
            units: self.units.into(),
            shard: self.shard.map(|shard| ShardId(shard.into())),
            volume_initiators: u32::from(self.volume_initiators.max(1)),
        }
    }
}
