//! What has a place in the order.

use crate::record::{ExtentId, WallClock, Write};
use crate::request::WriteHandle;
use flaxstand_proto::Micros;

/// How far a buffered write has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// On its way to the disk.
    Logging,
    /// Durable.
    Ready,
    /// It may have been executed and must not be repeated: an operator decides.
    Parked,
}

/// A buffered write.
#[derive(Clone, Debug)]
pub struct BufferedWrite {
    /// The write.
    pub write: Write,
    /// When it was accepted.
    pub accepted: Micros,
    /// The same on the host's calendar.
    pub accepted_wall: WallClock,
    /// When its first attempt may have been executed, once that is durable.
    pub started: Option<WallClock>,
    /// How far it has come.
    pub stage: Stage,
}

/// A write that is passed through, or another request that its volume's barriers concern.
#[derive(Clone, Copy, Debug)]
pub struct PassThrough {
    /// The core's name for it.
    pub handle: WriteHandle,
    /// Its volume.
    pub volume: u64,
    /// Extent that it writes; `None`: it names none.
    pub extent_id: Option<ExtentId>,
    /// It was released to its node.
    pub is_released: bool,
}

/// What has a place in the order.
#[derive(Clone, Debug)]
pub enum Item {
    /// A buffered write.
    Write(BufferedWrite),
    /// A request that is not buffered.
    PassThrough(PassThrough),
    /// A barrier that has not been passed.
    Barrier {
        /// Its volume.
        volume: u64,
    },
}
