//! The write-back buffer: a write is acknowledged when it is durable on this host, and is written out to its
//! node later. `docs/write-back.md` states the guarantees. The crate does no I/O and reads no clock: the
//! initiator's core owns a [`WriteBackBuffer`], and its driver stores the batches (`flaxstand-storage`).
//!
//! - [`config`], [`request`], [`status`]: configuration; calls and actions; state and counts for operators
//! - [`buffer`]: the interface for the core, which combines the other modules
//! - [`order`]: ordering constraints: extents, barriers, cooldowns
//! - [`writeout`]: scheduling of write-outs; [`retry_budget`]: limit on their retries
//! - [`pressure`]: admission of new writes as space runs out
//! - [`merge`]: merging of writes, and application of writes to a node's data
//! - [`log`]: batches and segments; [`record`]: their encoding; [`recover`](mod@recover): recovery and
//!   salvage
//! - [`offline`]: operations on a log that no process uses
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod buffer;
pub mod config;
pub mod log;
pub mod merge;
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
