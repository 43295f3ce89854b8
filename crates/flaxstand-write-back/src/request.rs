//! Types of the interface between the initiator's core and the buffer.

use crate::record::Write;
use crate::writeout::Urgency;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;

/// Handle of a client request, assigned by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteHandle(pub u64);

/// Identifies a write-out that the core executes for the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOutId(pub u64);

/// A client's write.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// Handle of the request.
    pub handle: WriteHandle,
    /// The write.
    pub write: Write,
}

/// Result of a write-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutResult {
    /// The node confirmed the write.
    Confirmed {
        /// Whether another attempt may still run.
        may_still_run: bool,
    },
    /// The write was not executed.
    NotExecuted {
        /// Minimum time before the next write-out to the shard.
        retry_after: Micros,
    },
    /// The buffer cancelled the write-out before any attempt was sent.
    Cancelled,
    /// The write may have been executed.
    Unknown,
}

/// Action for the core. Actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this batch, then call [`WriteBackBuffer::batch_stored`](crate::WriteBackBuffer::batch_stored).
    Store(Batch),
    /// Respond to the client: the write is durable on this host.
    Buffered(WriteHandle),
    /// Send the request to its node as an ordinary request.
    PassThrough(WriteHandle),
    /// Respond to the client: the request was rejected and has not been executed.
    Rejected {
        /// The rejected request.
        handle: WriteHandle,
        /// Retry-After of the rejection.
        retry_after: Micros,
    },
    /// Respond to the client: the barrier is in force.
    BarrierSet(WriteHandle),
    /// Respond to the client: the flush is complete.
    Flushed(WriteHandle),
    /// Send this write to its node, then call
    /// [`WriteBackBuffer::write_out_ended`](crate::WriteBackBuffer::write_out_ended).
    SendWriteOut {
        /// Identifier of the write-out.
        id: WriteOutId,
        /// Write to send.
        write: Write,
        /// Urgency of the write-out.
        urgency: Urgency,
        /// Latest time at which an attempt may be sent, if there is a limit.
        not_after: Option<Micros>,
    },
    /// Cancel the write-out and report [`WriteOutResult::Cancelled`], unless an attempt has been sent.
    CancelWriteOut(WriteOutId),
}

/// Response to a request whose deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The write is durable; only its acknowledgement was delayed.
    Buffered,
    /// The request has not been executed and will not be.
    Reject,
    /// The request may have been executed or may yet be, or the event that it waits for has not occurred.
    Fail,
    /// None: the buffer does not hold the request, for example because it was passed through.
    NotPending,
}

/// Result of a read in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferedRead {
    /// No buffered data: the node's response is up to date.
    Miss,
    /// The complete extent.
    Complete {
        /// Shard that will hold the extent.
        shard: u32,
        /// Data of the extent.
        data: Vec<u8>,
    },
    /// Parts of the extent: pass the node's response to
    /// [`WriteBackBuffer::merge_read`](crate::WriteBackBuffer::merge_read).
    Partial,
}
