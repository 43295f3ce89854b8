//! The write-back buffer: a write is acknowledged when it is durable on this host, and is written out to its node
//! later. `docs/write-back.md` states what is guaranteed. Nothing here touches a file or reads a clock: the
//! initiator's core owns a [`WriteBackBuffer`], its driver stores the batches (`flaxstand-storage`).
//!
//! - [`config`], [`request`], [`status`]: settings, calls and actions, figures for operators
//! - [`buffer`]: ties the parts together; what the core calls
//! - [`order`]: what may be sent to a node now: extents, barriers, cooldowns
//! - [`writeout`]: which of that is sent next and how urgently; [`retry_budget`]: how often again
//! - [`pressure`]: what becomes of a new write as space runs out
//! - [`image`]: writes merged with each other and laid over a node's data
//! - [`log`]: batches, segments, what may be removed; [`record`]: their bytes; [`recover`]: reading them back
//! - [`offline`]: what operators do with a log that no process uses
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod buffer;
pub mod config;
pub mod image;
pub mod log;
pub mod offline;
pub mod order;
pub mod pressure;
pub mod record;
pub mod recover;
pub mod request;
pub mod retry_budget;
pub mod status;
pub mod writeout;

pub use buffer::WriteBackBuffer;
pub use config::{BufferLimits, BufferingMode, Config};
pub use flaxstand_proto::Micros;
pub use offline::ParkedDecision;
pub use record::{ExtentId, Seq, Write};
pub use recover::{LiveRecord, LiveWrite, RecoverError, Recovered, recover, salvage};
pub use request::{Action, BufferedRead, Expired, WriteHandle, WriteOutId, WriteOutResult, WriteRequest};
pub use status::Status;
