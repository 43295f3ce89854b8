//! Files of a machine's state: replaced as a whole, or appended to.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;

/// Replaces a file: a reader sees the old bytes or the new ones, never a mixture.
///
/// # Errors
/// The folder can't be written to.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(&next, path)
}

/// Appends bytes to a file that is there.
pub(super) fn append(path: &Path, bytes: &[u8]) -> io::Result<()> {
    File::options().append(true).open(path)?.write_all(bytes)
}

/// The same, and the bytes are there after a loss of power.
pub(super) fn replace_durably(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("next");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&next, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
