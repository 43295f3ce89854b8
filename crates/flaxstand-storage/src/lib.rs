//! What a durable log needs of a disk. The write-back log and the consensus journal both write through it.
//!
//! - [`storage`]: segments by number, and batches of calls on them
//! - [`folder`]: segments as files
//! - [`faulty`]: a disk with faults, for tests and for rehearsals on virtual time
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod faulty;
pub mod folder;
pub mod storage;

pub use folder::SegmentFolder;
pub use storage::{Batch, Storage, StorageOp, perform};
