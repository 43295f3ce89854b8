//! The write-back buffer: a write is acknowledged when it is durable on this host, and goes out to its node
//! later. `docs/write-back.md` states what is promised. Nothing here touches a file or
//! reads a clock: the initiator's core owns a [`WriteBackBuffer`], its driver carries out the batches (`flaxstand-storage`).
//!
//! - [`buffer`]: ties the parts together; what the core calls
//! - [`order`]: what may go to a node now: places, barriers, rests
//! - [`writeout`]: which of that goes next, how urgently, and how often again
//! - [`pressure`]: what becomes of a new write as space runs out
//! - [`image`]: writes laid over each other and over a node's data
//! - [`log`]: batches, segments, what may be removed; [`record`]: their bytes; [`recover`]: reading them back
//! - [`offline`]: what operators do with a log that no process uses
#![forbid(unsafe_code)]

pub mod buffer;
pub mod image;
pub mod log;
pub mod offline;
pub mod order;
pub mod pressure;
pub mod record;
pub mod recover;
pub mod writeout;

pub use buffer::{
    Action, BufferLimits, BufferedRead, Config, Expired, Status, WriteBackBuffer, WriteHandle, WriteOutId,
    WriteOutResult, WriteRequest,
};
pub use flaxstand_proto::Micros;
pub use offline::ParkedDecision;
pub use record::{ExtentId, Seq, Write};
pub use recover::{LiveRecord, RecoverError, Recovered, recover, salvage};
