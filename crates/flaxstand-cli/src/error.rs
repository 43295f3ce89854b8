//! Errors of commands and their exit codes.

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

/// A command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file is invalid; its problems have been printed.
    #[error("invalid file")]
    InvalidFile,
    /// A rule was broken in a rehearsal, or a log is damaged; the details have been printed.
    #[error("a rule was broken")]
    RuleBroken,
    /// A system call failed.
    #[error("{context}: {source}")]
    Io {
        /// The operation that failed.
        context: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A system call failed, without context.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A write-back log can't be read or written.
    #[error("write-back log {}: {source}", .folder.display())]
    Log {
        /// Folder of the log.
        folder: PathBuf,
        /// The cause.
        source: LogError,
    },
    /// An initiator's write-back log can't be opened.
    #[error("cannot open write-back log {}: {source}; see `flaxstand buffer verify`", .folder.display())]
    OpenLog {
        /// Folder of the log.
        folder: PathBuf,
        /// The cause.
        source: LogError,
    },
    /// A decision names a write that is not parked.
    #[error("write-back log {}: no parked write has number {number}", .folder.display())]
    NotParked {
        /// Folder of the log.
        folder: PathBuf,
        /// Number of the write.
        number: u64,
    },
    /// The initiator to drain has no write-back log.
    #[error("{}: cannot drain: no class is buffered", .0.display())]
    NothingBuffered(PathBuf),
    /// The drain ended before all writes were written out.
    #[error("{writes} writes are still buffered, {parked} of them parked")]
    StillBuffered {
        /// Number of buffered writes.
        writes: usize,
        /// Number of those that wait for a decision of an operator.
        parked: usize,
    },
    /// Virtual time does not support days on which initiators agree on settings.
    #[error("{}: agreement is not supported on virtual time: play this day without --virtual", .0.display())]
    AgreementOnVirtualTime(PathBuf),
    /// A saved endpoint list is invalid.
    #[error(transparent)]
    SavedList(#[from] SavedListError),
    /// A call to a running initiator failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Agreed settings could not be read or changed.
    #[error(transparent)]
    Settings(#[from] SettingsCommandError),
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A rehearsal failed to run.
    #[error(transparent)]
    Rehearsal(#[from] RehearsalError),
    /// A result could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An HTML page could not be rendered.
    #[error("cannot render the HTML page: {0}")]
    Page(String),
}

/// A write-back log can't be used.
#[derive(Debug, Error)]
pub enum LogError {
    /// A file operation in its folder failed.
    #[error(transparent)]
    Folder(#[from] io::Error),
    /// Its contents can't be recovered.
    #[error(transparent)]
    Content(#[from] RecoverError),
}

impl CommandError {
    /// Adds context to an error of the system.
    pub fn io(context: impl Into<String>) -> impl FnOnce(io::Error) -> CommandError {
        let context = context.into();
        move |source| CommandError::Io { context, source }
    }

    /// Prints the error and returns its exit code. Errors with exit code 1 or 2 have been printed already.
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
