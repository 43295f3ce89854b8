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
        lingers: bool,
    },
    /// It was not executed.
    NotRun {
        /// The shard gets no other write-out before this has passed.
        wait: Micros,
    },
    /// It was cancelled by the buffer; no attempt of it had been sent.
    Withdrawn,
    /// It may have been executed.
    Unsure,
}

/// A command to the core. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this batch, then call [`WriteBackBuffer::stored`](crate::WriteBackBuffer::stored).
    Store(Batch),
    /// Answer: the write is durable here.
    Buffered(WriteHandle),
    /// Send it to its node as an ordinary request.
    Through(WriteHandle),
    /// Answer: rejected, it has not been executed.
    Refused {
        /// The rejected request.
        handle: WriteHandle,
        /// Retry-After of the rejection.
        wait: Micros,
    },
    /// Answer: the barrier is in force.
    Barred(WriteHandle),
    /// Answer: the flush is complete.
    Flushed(WriteHandle),
    /// Send this write to its node, then call
    /// [`WriteBackBuffer::try_ended`](crate::WriteBackBuffer::try_ended).
    Send {
        /// Its name.
        id: WriteOutId,
        /// The write.
        write: Write,
        /// How urgent it is.
        level: Urgency,
        /// No attempt of it may be sent after this, if there is a bound.
        until: Option<Micros>,
    },
    /// Cancel it and report [`WriteOutResult::Withdrawn`], unless an attempt of it has been sent.
    Withdraw(WriteOutId),
}

/// What to answer a request whose deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expired {
    /// The write is durable; only its acknowledgement was delayed.
    Buffered,
    /// It has not been executed and will not be.
    Refuse,
    /// It may have been or may yet be executed; or what it waits for has not been seen.
    Fail,
    /// Nothing: it is not here, it was passed through.
    Elsewhere,
}

/// What a read finds in the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BufferedRead {
    /// Nothing: the node's answer is right as it is.
    Plain,
    /// The whole extent.
    Whole {
        /// Shard that will hold it.
        shard: u32,
        /// Its data.
        data: Vec<u8>,
    },
    /// Parts of the extent: pass the node's answer to
    /// [`WriteBackBuffer::merge`](crate::WriteBackBuffer::merge).
    Merge,
}
