//! State that an initiator restores after a restart: the saved endpoint list, the write-back log, the
//! replicated settings and the consensus log.

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

/// Extension of a saved list that has exceeded its maximum age.
const EXPIRED_EXTENSION: &str = "old";
/// Extension of a saved file that could not be decoded.
const DAMAGED_EXTENSION: &str = "damaged";

/// An opened storage and the state recovered from it.
pub struct Opened<T> {
    pub storage: Box<dyn Storage>,
    pub recovered: T,
}

/// Sets a saved list aside if it is older than `max_age`.
pub fn set_aside_if_expired(path: &Path, max_age: Duration) -> Result<(), CommandError> {
    let modified = std::fs::metadata(path).and_then(|metadata| metadata.modified());
    let Some(age) = modified.ok().and_then(|at| at.elapsed().ok()) else { return Ok(()) };
    if age <= max_age {
        return Ok(());
    }
    let cause = format!("too old: {} s, expected at most {} s", age.as_secs(), max_age.as_secs());
    set_aside(path, EXPIRED_EXTENSION, &cause)
}

/// Renames a saved file that is not used to another extension, so that it is kept for inspection.
fn set_aside(path: &Path, extension: &str, cause: &dyn Display) -> Result<(), CommandError> {
    let aside = path.with_extension(extension);
    warn!(%cause, path = %path.display(), aside = %aside.display(), "saved file set aside: starting without it");
    std::fs::rename(path, &aside).map_err(CommandError::io(format!("cannot rename {}", path.display())))
}

/// Sets a saved file aside that could not be decoded.
pub fn set_aside_damaged(path: &Path, cause: &dyn Display) -> Result<(), CommandError> {
    set_aside(path, DAMAGED_EXTENSION, cause)
}

/// Reads the saved list. If that fails, the initiator starts without it.
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

/// Opens a write-back log exclusively and recovers it. A log that is in use, damaged or of a newer version is
/// an error and stays unchanged.
pub fn open_write_back_log(folder: &Path) -> Result<Opened<Recovered>, CommandError> {
    recover_write_back_log(folder)
        .map_err(|source| CommandError::OpenLog { folder: folder.to_owned(), source })
}

fn recover_write_back_log(folder: &Path) -> Result<Opened<Recovered>, LogError> {
    let mut storage = SegmentFolder::open(folder)?;
    let recovered = recover(&mut storage)?;
    Ok(Opened { storage: Box::new(storage), recovered })
}

/// Reads the replicated state that the previous process saved, with its log index. A damaged file is set
/// aside: the state is fetched from other initiators, and the fallback rules apply until then.
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

/// Opens the log folder of a replica exclusively. If it is empty or damaged, its earlier votes are lost, so
/// the process starts as a new replica and asks to join again.
pub fn open_consensus_log(folder: &Path) -> Result<Opened<StoredReplica>, CommandError> {
    recover_consensus_log(folder)
        .map_err(CommandError::io(format!("cannot open the consensus log {}", folder.display())))
}

fn recover_consensus_log(folder: &Path) -> io::Result<Opened<StoredReplica>> {
    let mut storage = SegmentFolder::open(folder)?;
    let segments = storage.segments()?;
    let state = match flaxstand_consensus::recover(&mut storage)? {
        flaxstand_consensus::RecoveredState::Intact(state) => Some(*state),
        flaxstand_consensus::RecoveredState::Empty => None,
        flaxstand_consensus::RecoveredState::Damaged(cause) => {
            warn!(cause, folder = %folder.display(), "consensus log is damaged: joining as a new replica");
            None
        }
    };
    Ok(Opened { storage: Box::new(storage), recovered: StoredReplica { state, segments } })
}
