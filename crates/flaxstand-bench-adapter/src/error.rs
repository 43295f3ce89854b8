//! Errors that end a session with the bench.

use flaxstand::api::NodeId;
use std::io;
use thiserror::Error;

/// The session could not be completed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// A line could not be handled.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// The cause.
        error: LineError,
    },
    /// The input ended within a batch.
    #[error("input ended inside a batch: eob is missing")]
    MissingBatchEnd,
}

/// A line could not be handled.
#[derive(Debug, Error)]
pub enum LineError {
    /// The input could not be read.
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    /// The line is empty.
    #[error("empty line")]
    Empty,
    /// The line is not a message that the adapter knows.
    #[error("malformed message: {0}")]
    Malformed(serde_json::Error),
    /// A batch starts within a batch.
    #[error("mark inside a batch: expected eob first")]
    NestedBatch,
    /// A message was received outside a batch.
    #[error("message outside a batch: expected mark first")]
    OutsideBatch,
    /// The parameters of an instance are not valid settings.
    #[error("invalid instance parameters: {0}")]
    Settings(String),
    /// A stop message names an instance that is not running.
    #[error("powerOff for unknown instance {0}")]
    StopOfUnknownInstance(String),
    /// An event names an instance that is not running.
    #[error("event for unknown instance {0}")]
    UnknownInstance(String),
    /// A request names a class that is not among its instance's parameters.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// A request names a plan that is not among its instance's parameters.
    #[error("unknown plan {0:?}")]
    UnknownPlan(Option<String>),
    /// An extent or a volume is not a 64-bit number in hex digits.
    #[error("invalid extent or volume: expected up to 16 hex digits, found {0:?}")]
    NotHexDigits(String),
    /// An outcome has a code that the adapter does not know.
    #[error("unknown outcome {0}: expected 1 to 8")]
    UnknownOutcome(u8),
    /// An action of the scheduler names a node that the bench has not named.
    #[error("scheduler action for unknown node {0:?}")]
    UnknownNode(NodeId),
    /// A command could not be serialised as JSON.
    #[error("cannot serialise a command: {0}")]
    Serialize(serde_json::Error),
    /// The output could not be written.
    #[error("cannot write to standard output: {0}")]
    Write(io::Error),
}
