//! Why a command failed, and with which exit code.

use crate::connection::CallError;
use crate::platform::PlatformError;
use crate::settings::SettingsCommandError;
use flaxstand_gateway::core::SavedListError;
use flaxstand_simulation::process::RehearsalError;
use flaxstand_write_back::RecoverError;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file has problems; they were printed.
    #[error("a file has problems")]
    InvalidFile,
    /// A rule was broken in a rehearsal, or a log is damaged; it was printed.
    #[error("a rule was broken")]
    RuleBroken,
    /// The system reports a failure.
    #[error("{context}: {source}")]
    Io {
        /// What could not be done.
        context: String,
        /// What the system reports.
        source: io::Error,
    },
    /// The same, where there is nothing to add.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A write-back log can't be read or written.
    #[error("{}: {source}", .folder.display())]
    Log {
        /// The log's folder.
        folder: PathBuf,
        /// What is wrong.
        source: LogError,
    },
    /// An initiator's write-back log can't be opened.
    #[error("{}: {source}; see `flaxstand buffer verify`", .folder.display())]
    OpenLog {
        /// The log's folder.
        folder: PathBuf,
        /// What is wrong.
        source: LogError,
    },
    /// A decision on a write that isn't parked.
    #[error("{}: no write {number} waits for an operator", .folder.display())]
    NotParked {
        /// The log's folder.
        folder: PathBuf,
        /// Number of the write.
        number: u64,
    },
    /// An initiator that buffers nothing is to be drained.
    #[error("{}: no class is buffered", .0.display())]
    NothingBuffered(PathBuf),
    /// Draining ended before all was written out.
    #[error("{writes} writes are still buffered, {parked} of them parked")]
    StillBuffered {
        /// Buffered writes.
        writes: usize,
        /// Of those, writes that wait for an operator.
        parked: usize,
    },
    /// A day whose initiators agree can't be played on virtual time.
    #[error("{}: initiators agree on this day: play it without --virtual", .0.display())]
    AgreementOnVirtualTime(PathBuf),
    /// A saved endpoint list can't be used.
    #[error(transparent)]
    SavedList(#[from] SavedListError),
    /// A running initiator did not answer as expected.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Settings that initiators agree on could not be read or changed.
    #[error(transparent)]
    Settings(#[from] SettingsCommandError),
    /// The platform's configuration can't be used.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A rehearsal could not be run.
    #[error(transparent)]
    Rehearsal(#[from] RehearsalError),
    /// A result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A page with plots can't be made.
    #[error("{0}")]
    Page(String),
}

/// What is wrong with a write-back log.
#[derive(Debug, Error)]
pub enum LogError {
    /// Its folder can't be used.
    #[error(transparent)]
    Folder(#[from] io::Error),
    /// Its content can't be used.
    #[error(transparent)]
    Content(#[from] RecoverError),
}

impl CommandError {
    /// Adds what could not be done to what the system reports.
    pub fn io(context: impl Into<String>) -> impl FnOnce(io::Error) -> CommandError {
        let context = context.into();
        move |source| CommandError::Io { context, source }
    }

    /// The exit code. What has one of its own was printed where it was found; all else is printed here.
    pub fn report(&self) -> ExitCode {
        match self {
            CommandError::RuleBroken => ExitCode::from(1),
            CommandError::InvalidFile => ExitCode::from(2),
            error => {
                eprintln!("flaxstand: {error}");
                ExitCode::from(3)
            }
        }
    }
}
