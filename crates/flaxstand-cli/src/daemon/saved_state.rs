//! What an initiator goes on with after a restart: the saved endpoint list, the write-back log, and its part in the
//! consensus.

use crate::error::{CommandError, LogError};
use flaxstand_consensus::participant::StoredReplica;
use flaxstand_consensus::replicated_state::IndexedState;
use flaxstand_storage::{SegmentFolder, Storage};
use flaxstand_write_back::{Recovered, recover};
use std::fmt::Display;
use std::io;
use std::path::Path;
use std::time::Duration;
use tracing::warn;

/// Extension of a saved list that was too old to be used.
const TOO_OLD: &str = "old";
/// Extension of a saved file that could not be read.
const DAMAGED: &str = "damaged";

/// A storage with what was recovered from it.
pub struct Opened<T> {
    pub storage: Box<dyn Storage>,
    pub recovered: T,
}

/// Sets a saved list aside that is older than it may be.
pub fn set_aside_if_old(path: &Path, max_age: Duration) -> Result<(), CommandError> {
    let modified = std::fs::metadata(path).and_then(|metadata| metadata.modified());
    let Some(age) = modified.ok().and_then(|at| at.elapsed().ok()) else { return Ok(()) };
    if age <= max_age {
        return Ok(());
    }
    set_aside(path, TOO_OLD, &format!("it is too old: {} s", age.as_secs()))
}

/// Keeps a saved file that is not used beside its place, under another extension.
fn set_aside(path: &Path, extension: &str, cause: &dyn Display) -> Result<(), CommandError> {
    let aside = path.with_extension(extension);
    warn!(%cause, path = %path.display(), aside = %aside.display(), "the saved list is set aside");
    std::fs::rename(path, &aside).map_err(CommandError::io("cannot set the saved list aside"))
}

/// Sets a saved file aside that can't be read.
pub fn set_aside_damaged(path: &Path, cause: &dyn Display) -> Result<(), CommandError> {
    set_aside(path, DAMAGED, cause)
}

/// Bytes of the saved list. One that can't be read is started without.
pub fn read_saved_list(path: &Path) -> Option<Vec<u8>> {
    match std::fs::read(path) {
        Ok(bytes) => Some(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            warn!(%error, path = %path.display(), "cannot read the saved list: starting without it");
            None
        }
    }
}

/// Opens a write-back log for this process alone and recovers it. A log that is in use, damaged or of a newer
/// version is left as it is.
pub fn open_write_back_log(folder: &Path) -> Result<Opened<Recovered>, CommandError> {
    recover_write_back_log(folder)
        .map_err(|source| CommandError::OpenLog { folder: folder.to_owned(), source })
}

fn recover_write_back_log(folder: &Path) -> Result<Opened<Recovered>, LogError> {
    let mut storage = SegmentFolder::open(folder)?;
    let recovered = recover(&mut storage)?;
    Ok(Opened { storage: Box::new(storage), recovered })
}

/// The replicated state that an earlier process knew, with its index. A file that can't be read is set aside: the
/// state is learnt again, and until then the fallback rules hold.
pub fn read_replicated_state(path: &Path) -> Result<Option<IndexedState>, CommandError> {
    match std::fs::read(path) {
        Ok(bytes) => match IndexedState::read(&bytes) {
            Ok(state) => Ok(Some(state)),
            Err(cause) => set_aside_damaged(path, &cause).map(|()| None),
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(CommandError::io(format!("cannot read {}", path.display()))(error)),
    }
}

/// Opens a replica's folder for this process alone. One that is empty or damaged makes a new replica: what it
/// voted before is lost, and it asks to be admitted again.
pub fn open_consensus_log(folder: &Path) -> Result<Opened<StoredReplica>, CommandError> {
    recover_consensus_log(folder).map_err(CommandError::io(format!("cannot use {}", folder.display())))
}

fn recover_consensus_log(folder: &Path) -> io::Result<Opened<StoredReplica>> {
    let mut storage = SegmentFolder::open(folder)?;
    let segments = storage.segments()?;
    let state = match flaxstand_consensus::recover(&mut storage)? {
        flaxstand_consensus::RecoveredState::Intact(state) => Some(*state),
        flaxstand_consensus::RecoveredState::Empty => None,
        flaxstand_consensus::RecoveredState::Damaged(cause) => {
            warn!(cause, folder = %folder.display(), "a keeper's folder is damaged: coming back as a new keeper");
            None
        }
    };
    Ok(Opened { storage: Box::new(storage), recovered: StoredReplica { state, segments } })
}
