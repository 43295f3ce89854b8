//! What a log needs of a disk, and how a batch of it is carried out.

use std::io;

/// Segments by number. What was appended is durable once `sync` returned well, what was created or removed
/// once `sync_folder` did. After a failed sync nothing may be assumed of what it was to make durable, also
/// when a later one succeeds: the log gives such a segment up.
pub trait Storage: Send {
    /// Numbers of the segments that are there.
    fn segments(&mut self) -> io::Result<Vec<u64>>;
    /// A segment's bytes.
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>>;
    /// Makes an empty segment, in place of one of that number.
    fn create(&mut self, segment: u64) -> io::Result<()>;
    /// Adds bytes to its end.
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes its bytes durable.
    fn sync(&mut self, segment: u64) -> io::Result<()>;
    /// Makes durable which segments there are.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Removes it.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
    /// Takes it out of the log without destroying it.
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

/// What the storage is to do next, in order, up to the first failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The calls.
    pub ops: Vec<StorageOp>,
}

/// Carries a batch out, in order, up to the first failure.
///
/// # Errors
/// What the storage said; nothing of the batch may then be taken as durable.
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
