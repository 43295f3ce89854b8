//! A client's request or a write-out from its arrival until it is answered and has no attempt in flight.

use super::http_connection::Origin;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{Arrival, AttemptNo, ClassId, Key, NodeId, PlanId, RequestId, ShardId, VolumeId};
use flaxstand_proto::Submit;
use flaxstand_write_back::{ExtentId, Write, WriteOutId};

/// Names an attempt among all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: AttemptNo,
}

/// The connection that an attempt was handed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HandOver {
    pub(super) conn: ConnId,
    /// Where in its stream the attempt ends, bytes; `u64::MAX` while that is not known.
    pub(super) end_offset: u64,
}

/// An attempt that has not ended, those that wait for their node's connection included.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) number: AttemptNo,
    pub(super) node: NodeId,
    pub(super) started_at: Micros,
    /// Its first byte must be sent before this.
    pub(super) send_before: Micros,
    pub(super) handed_over: Option<HandOver>,
}

/// Who is owed an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// A client, by its connection and its own number for the request.
    Client { conn: ConnId, client_id: u64 },
    /// The write-back buffer.
    Buffer(WriteOutId),
}

/// Who handles a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handler {
    /// The module. `passed_on`: the buffer had it before and is notified of its end.
    Module { passed_on: bool },
    /// The write-back buffer; it was not delivered to the module.
    Buffer,
}

/// What a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalAnswer {
    /// Nothing: nobody waited any more.
    None,
    Served,
    /// It was rejected, with this Retry-After.
    NotExecuted(Micros),
    Failed,
}

/// The parts of a streamed response that have come so far.
#[derive(Debug)]
pub(super) struct StreamedParts {
    pub(super) attempt: AttemptNo,
    pub(super) bytes: Vec<u8>,
}

/// A request that is not answered, or has attempts in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// Who is owed an answer. None: nobody any more.
    pub(super) owner: Option<Owner>,
    /// Whose it was at first.
    pub(super) original_owner: Owner,
    pub(super) handler: Handler,
    pub(super) final_answer: FinalAnswer,
    /// An attempt has ended that may still be executed.
    pub(super) may_have_run: bool,
    /// A read: what is buffered of this extent is laid over the node's response.
    pub(super) merge_extent: Option<ExtentId>,
    /// Of a response that is to be laid over.
    pub(super) streamed: StreamedParts,
    pub(super) operation: u64,
    pub(super) class: u16,
    pub(super) plan: u16,
    pub(super) is_write: bool,
    /// How often the client sent this operation before, as it says itself.
    pub(super) client_retries: u8,
    /// The admission gate took it for a retry.
    pub(super) is_retry: bool,
    /// The admission gate knows how it ended.
    pub(super) is_end_recorded: bool,
    /// A barrier or a flush.
    pub(super) is_ordering_request: bool,
    pub(super) volume: u64,
    pub(super) extent: Option<u64>,
    pub(super) shard: Option<u32>,
    pub(super) units: u32,
    pub(super) volume_initiators: u16,
    /// The byte of the extent at which a write begins; none: it replaces the extent.
    pub(super) offset: Option<u32>,
    pub(super) expires_at: Micros,
    pub(super) payload: Vec<u8>,
    /// How a client of the platform asked for it.
    pub(super) origin: Option<Box<Origin>>,
    /// How many attempts the module has asked for.
    pub(super) attempts_started: u32,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// The client has a part of the response.
    pub(super) is_streaming: bool,
}

impl PendingRequest {
    fn empty(owner: Owner, handler: Handler, expires_at: Micros) -> Self {
        PendingRequest {
            owner: Some(owner),
            original_owner: owner,
            handler,
            final_answer: FinalAnswer::None,
            may_have_run: false,
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
            origin: None,
            attempts_started: 0,
            in_flight: Vec::new(),
            is_streaming: false,
        }
    }

    /// A client's request.
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
                Handler::Module { passed_on: false },
                expires_at,
            )
        }
    }

    /// A client's barrier or flush.
    pub(super) fn ordering_request(conn: ConnId, client_id: u64, expires_at: Micros) -> Self {
        let owner = Owner::Client { conn, client_id };
        PendingRequest { is_ordering_request: true, ..Self::empty(owner, Handler::Buffer, expires_at) }
    }

    /// A write-out of the buffer's.
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
            ..Self::empty(Owner::Buffer(id), Handler::Module { passed_on: false }, expires_at)
        }
    }

    /// Its arrival, for the module; `class` is the module's.
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
