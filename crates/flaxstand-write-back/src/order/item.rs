//! Items of the order: buffered writes, passed-through requests and barriers.

use crate::record::{ExtentId, WallClock, Write};
use crate::request::WriteHandle;
use flaxstand_proto::Micros;

/// Stage of a buffered write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet durable in the log.
    Logging,
    /// Durable in the log.
    Ready,
    /// May have been executed and must not be retried: an operator decides.
    Parked,
}

/// A buffered write.
#[derive(Clone, Debug)]
pub struct BufferedWrite {
    /// The write.
    pub write: Write,
    /// Time of acceptance.
    pub accepted: Micros,
    /// Wall-clock time of acceptance.
    pub accepted_wall: WallClock,
    /// Recorded start: earliest time at which an attempt may have been executed.
    pub started: Option<WallClock>,
    /// Stage of the write.
    pub stage: Stage,
}

/// A passed-through write, or another unbuffered request that is subject to the barriers of its volume.
#[derive(Clone, Copy, Debug)]
pub struct PassThrough {
    /// Handle of the request.
    pub handle: WriteHandle,
    /// Volume of the request.
    pub volume: u64,
    /// Extent that the request writes; `None` if it names none.
    pub extent_id: Option<ExtentId>,
    /// Whether the request was released to its node.
    pub is_released: bool,
}

/// An item of the order.
#[derive(Clone, Debug)]
pub enum Item {
    /// A buffered write.
    Write(BufferedWrite),
    /// A request that is not buffered.
    PassThrough(PassThrough),
    /// A barrier that has not been passed.
    Barrier {
        /// Volume of the barrier.
        volume: u64,
    },
}
