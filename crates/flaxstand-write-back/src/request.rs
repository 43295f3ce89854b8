//! What the initiator's core tells the buffer, and what it is told to do.

use crate::record::Write;
use crate::writeout::Urgency;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;

/// The core's name for a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteHandle(pub u64);

/// A write-out that the core is told to bring about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOutId(pub u64);

/// A client's write.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The core's name for it.
    pub handle: WriteHandle,
    /// The write.
    pub write: Write,
}

/// How a write-out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutResult {
    /// The node confirmed it.
    Confirmed {
        /// Another attempt of it may still run.
        may_still_run: bool,
    },
    /// It was not executed.
    NotExecuted {
        /// The shard gets no other write-out before this has passed.
        retry_after: Micros,
    },
    /// It was cancelled by the buffer; no attempt of it had been sent.
    Cancelled,
    /// It may have been executed.
    Unknown,
}

/// A command to the core. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this batch, then call [`WriteBackBuffer::batch_stored`](crate::WriteBackBuffer::batch_stored).
    Store(Batch),
    /// Answer: the write is durable here.
    Buffered(WriteHandle),
    /// Send it to its node as an ordinary request.
    PassThrough(WriteHandle),
    /// Answer: rejected, it has not been executed.
    Rejected {
        /// The rejected request.
        handle: WriteHandle,
        /// Retry-After of the rejection.
        retry_after: Micros,
    },
    /// Answer: the barrier is in force.
    BarrierSet(WriteHandle),
    /// Answer: the flush is complete.
    Flushed(WriteHandle),
    /// Send this write to its node, then call
    /// [`WriteBackBuffer::write_out_ended`](crate::WriteBackBuffer::write_out_ended).
    SendWriteOut {
        /// Its name.
        id: WriteOutId,
        /// The write.
        write: Write,
        /// How urgent it is.
        urgency: Urgency,
        /// No attempt of it may be sent after this, if there is a bound.
        not_after: Option<Micros>,
    },
    /// Cancel it and report [`WriteOutResult::Cancelled`], unless an attempt of it has been sent.
    CancelWriteOut(WriteOutId),
}

/// What to answer a request whose deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The write is durable; only its acknowledgement was delayed.
    Buffered,
    /// It has not been executed and will not be.
    Reject,
    /// It may have been or may yet be executed; or what it waits for has not been seen.
    Fail,
    /// Nothing: it is not here, it was passed through.
    NotHere,
}

/// What a read finds in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferedRead {
    /// Nothing: the node's answer is right as it is.
    Miss,
    /// The whole extent.
    Complete {
        /// Shard that will hold it.
        shard: u32,
        /// Its data.
        data: Vec<u8>,
    },
    /// Parts of the extent: pass the node's answer to
    /// [`WriteBackBuffer::merge_read`](crate::WriteBackBuffer::merge_read).
    Partial,
}
