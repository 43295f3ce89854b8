//! Segments as files: one folder, one file per segment, used by one process at a time.

use crate::storage::Storage;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// File whose lock excludes other processes.
const LOCK_FILE: &str = "lock";
const SEGMENT_EXTENSION: &str = "log";
/// Extension of a quarantined segment.
const DAMAGED_EXTENSION: &str = "damaged";

/// A folder of segments.
pub struct SegmentFolder {
    path: PathBuf,
    open: BTreeMap<u64, File>,
    /// Holds the lock until this value is dropped. `None` if read-only.
    _lock: Option<File>,
}

impl SegmentFolder {
    /// Opens the folder for exclusive use by this process. Creates it if it is missing.
    ///
    /// # Errors
    /// If the folder can't be created or written to. `ErrorKind::ResourceBusy` if another process uses it.
    pub fn open(path: &Path) -> io::Result<SegmentFolder> {
        std::fs::create_dir_all(path)?;
        let lock = File::create(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(SegmentFolder { path: path.to_owned(), open: BTreeMap::new(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                format!("{} is in use by another process", path.display()),
            )),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Opens the folder for reading, without the lock. The caller must not write to it.
    ///
    /// # Errors
    /// If the folder does not exist or can't be read.
    pub fn open_read_only(path: &Path) -> io::Result<SegmentFolder> {
        std::fs::read_dir(path)?;
        Ok(SegmentFolder { path: path.to_owned(), open: BTreeMap::new(), _lock: None })
    }

    fn segment_path(&self, segment: u64) -> PathBuf {
        self.path.join(format!("{segment:016x}.{SEGMENT_EXTENSION}"))
    }

    /// Returns the file of a segment, opened for appending.
    fn segment_file(&mut self, segment: u64) -> io::Result<&mut File> {
        let path = self.segment_path(segment);
        match self.open.entry(segment) {
            Entry::Occupied(entry) => Ok(entry.into_mut()),
            Entry::Vacant(entry) => Ok(entry.insert(OpenOptions::new().append(true).open(path)?)),
        }
    }
}

/// Parses a segment's file name. Returns `None` if it is not the name of a segment.
fn segment_number(file_name: &str) -> Option<u64> {
    let stem = file_name.strip_suffix(SEGMENT_EXTENSION)?.strip_suffix('.')?;
    u64::from_str_radix(stem, 16).ok()
}

impl Storage for SegmentFolder {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        let mut segments = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            segments.extend(name.to_str().and_then(segment_number));
        }
        segments.sort_unstable();
        Ok(segments)
    }

    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        std::fs::read(self.segment_path(segment))
    }

    fn create(&mut self, segment: u64) -> io::Result<()> {
        let path = self.segment_path(segment);
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path)?;
        // Only the current segment stays open.
        self.open.clear();
        self.open.insert(segment, file);
        Ok(())
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        self.segment_file(segment)?.write_all(bytes)
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        self.segment_file(segment)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.open.remove(&segment);
        match std::fs::remove_file(self.segment_path(segment)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }

    fn quarantine(&mut self, segment: u64) -> io::Result<()> {
        self.open.remove(&segment);
        let path = self.segment_path(segment);
        std::fs::rename(&path, path.with_extension(DAMAGED_EXTENSION))
    }
}
