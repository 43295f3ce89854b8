//! The storage interface of a log, and the execution of batches of operations.

use std::io;

/// Append-only segments, identified by number.
///
/// Appended bytes are durable after a successful [`Storage::sync`]; created and removed segments are durable
/// after a successful [`Storage::sync_folder`]. After a failed sync the affected bytes are in an unknown
/// state, even if a later sync succeeds: the log must abandon such a segment.
pub trait Storage: Send {
    /// Returns the numbers of the existing segments.
    ///
    /// # Errors
    /// If the storage can't be read.
    fn segments(&mut self) -> io::Result<Vec<u64>>;
    /// Reads a segment.
    ///
    /// # Errors
    /// If the segment does not exist or can't be read.
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>>;
    /// Creates an empty segment. Replaces an existing segment of that number.
    ///
    /// # Errors
    /// If the segment can't be created.
    fn create(&mut self, segment: u64) -> io::Result<()>;
    /// Appends bytes to a segment.
    ///
    /// # Errors
    /// If the write fails; any part of the bytes may have been written. `ErrorKind::StorageFull` if the disk
    /// is full.
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the bytes of a segment durable.
    ///
    /// # Errors
    /// If the sync fails; any of the bytes appended since the last successful sync may be lost.
    fn sync(&mut self, segment: u64) -> io::Result<()>;
    /// Makes the creation and removal of segments durable.
    ///
    /// # Errors
    /// If the sync fails; segments created since the last successful call may be lost, and removed ones may
    /// reappear.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Removes a segment. Succeeds if the segment does not exist.
    ///
    /// # Errors
    /// If the removal fails; the segment may still exist.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
    /// Takes a damaged segment out of the log but keeps its bytes.
    ///
    /// # Errors
    /// If that fails; the segment may still be part of the log.
    fn quarantine(&mut self, segment: u64) -> io::Result<()>;
}

/// Operation on the storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageOp {
    /// See [`Storage::create`].
    Create(u64),
    /// See [`Storage::append`].
    Append(u64, Vec<u8>),
    /// See [`Storage::sync`].
    Sync(u64),
    /// See [`Storage::sync_folder`].
    SyncFolder,
    /// See [`Storage::remove`].
    Remove(u64),
}

/// Operations that are executed in order, up to the first failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Operations in order of execution.
    pub ops: Vec<StorageOp>,
}

/// Executes a batch in order, up to the first failure.
///
/// # Errors
/// The first error of the storage. No operation of the batch may then be assumed durable.
pub fn perform(storage: &mut dyn Storage, batch: &Batch) -> io::Result<()> {
    for op in &batch.ops {
        match op {
            StorageOp::Create(segment) => storage.create(*segment)?,
            StorageOp::Append(segment, bytes) => storage.append(*segment, bytes)?,
            StorageOp::Sync(segment) => storage.sync(*segment)?,
            StorageOp::SyncFolder => storage.sync_folder()?,
            StorageOp::Remove(segment) => storage.remove(*segment)?,
        }
    }
    Ok(())
}
