//! State files of a machine: atomic replacement and appends.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;

/// Replaces a file atomically: a reader sees either the old content or the new one.
///
/// # Errors
/// Writing or renaming the temporary file in the same directory fails.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(&next, path)
}

/// Appends bytes to an existing file.
pub(super) fn append(path: &Path, bytes: &[u8]) -> io::Result<()> {
    File::options().append(true).open(path)?.write_all(bytes)
}

/// Replaces a file atomically and durably: the new content survives a power failure.
pub(super) fn replace_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("next");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&next, path)?;
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
