//! The storage of a log, and how a batch of calls on it is carried out.

use std::io;

/// Segments by number.
///
/// What was appended is durable once [`Storage::sync`] succeeded, what was created or removed once
/// [`Storage::sync_folder`] did. After a failed sync nothing may be assumed of what it was to make durable,
/// also when a later one succeeds: the log gives such a segment up.
pub trait Storage: Send {
    /// Numbers of the segments that are there.
    ///
    /// # Errors
    /// The storage can't be read.
    fn segments(&mut self) -> io::Result<Vec<u64>>;
    /// A segment's bytes.
    ///
    /// # Errors
    /// There is no such segment, or it can't be read.
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>>;
    /// Makes an empty segment, in place of one of that number.
    ///
    /// # Errors
    /// It can't be made.
    fn create(&mut self, segment: u64) -> io::Result<()>;
    /// Adds bytes to the end of a segment.
    ///
    /// # Errors
    /// Some of the bytes may be there, and some not; `ErrorKind::StorageFull`: the disk is full.
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes a segment's bytes durable.
    ///
    /// # Errors
    /// Any of the bytes appended since the last sync may be lost.
    fn sync(&mut self, segment: u64) -> io::Result<()>;
    /// Makes durable which segments there are.
    ///
    /// # Errors
    /// Segments created since the last call may be lost, and removed ones come back.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Removes a segment. One that is not there is no error.
    ///
    /// # Errors
    /// It may be there still.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
    /// Takes a damaged segment out of the log without destroying it.
    ///
    /// # Errors
    /// It may be part of the log still.
    fn set_aside(&mut self, segment: u64) -> io::Result<()>;
}

/// One call of the storage.
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

/// Calls to carry out in order, up to the first failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The calls.
    pub ops: Vec<StorageOp>,
}

/// Carries a batch out, in order, up to the first failure.
///
/// # Errors
/// The storage's error; nothing of the batch may then be taken as durable.
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
