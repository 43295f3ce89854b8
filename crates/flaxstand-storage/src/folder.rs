//! A log on files: one folder, one file a segment, one process at a time.

use crate::storage::Storage;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// A folder of segments.
pub struct SegmentFolder {
    path: PathBuf,
    open: BTreeMap<u64, File>,
    /// Held for as long as this lives.
    _lock: Option<File>,
}

impl SegmentFolder {
    /// Opens the folder for this process alone; makes it where it is missing.
    ///
    /// # Errors
    /// It can't be made or written to; `ErrorKind::ResourceBusy`: another process has it.
    pub fn open(path: &Path) -> io::Result<SegmentFolder> {
        std::fs::create_dir_all(path)?;
        let lock = File::create(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => Ok(SegmentFolder { path: path.to_owned(), open: BTreeMap::new(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                format!("{} is in use by another process", path.display()),
            )),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Opens the folder to look at it, whoever has it. Nothing may be written.
    ///
    /// # Errors
    /// It is not there.
    pub fn look(path: &Path) -> io::Result<SegmentFolder> {
        std::fs::read_dir(path)?;
        Ok(SegmentFolder { path: path.to_owned(), open: BTreeMap::new(), _lock: None })
    }

    fn file(&self, segment: u64) -> PathBuf {
        self.path.join(format!("{segment:016x}.log"))
    }

    fn opened(&mut self, segment: u64) -> io::Result<&mut File> {
        let path = self.file(segment);
        match self.open.entry(segment) {
            std::collections::btree_map::Entry::Occupied(e) => Ok(e.into_mut()),
            std::collections::btree_map::Entry::Vacant(e) => {
                Ok(e.insert(OpenOptions::new().append(true).open(path)?))
            }
        }
    }
}

impl Storage for SegmentFolder {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let stem = name.to_str().and_then(|n| n.strip_suffix(".log"));
            all.extend(stem.and_then(|s| u64::from_str_radix(s, 16).ok()));
        }
        all.sort_unstable();
        Ok(all)
    }
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        std::fs::read(self.file(segment))
    }
    fn create(&mut self, segment: u64) -> io::Result<()> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(self.file(segment))?;
        // Only the segment that is written to stays open.
        self.open.clear();
        self.open.insert(segment, file);
        Ok(())
    }
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<()> {
        self.opened(segment)?.write_all(bytes)
    }
    fn sync(&mut self, segment: u64) -> io::Result<()> {
        self.opened(segment)?.sync_data()
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.open.remove(&segment);
        match std::fs::remove_file(self.file(segment)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }
    fn set_aside(&mut self, segment: u64) -> io::Result<()> {
        self.open.remove(&segment);
        let path = self.file(segment);
        std::fs::rename(&path, path.with_extension("damaged"))
    }
}
