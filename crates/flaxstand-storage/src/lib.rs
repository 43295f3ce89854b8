//! Storage interface for durable logs. The write-back log and the consensus journal both write through it.
//!
//! - [`storage`]: numbered segments, and batches of operations on them
//! - [`folder`]: segments as files
//! - [`faulty`]: an in-memory disk with fault injection, for tests and for rehearsals on virtual time
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod faulty;
pub mod folder;
pub mod storage;

pub use folder::SegmentFolder;
pub use storage::{Batch, Storage, StorageOp, perform};
