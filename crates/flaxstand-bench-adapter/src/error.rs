//! What ends a session with the bench.

use flaxstand::api::NodeId;
use std::io;
use thiserror::Error;

/// The session ended early.
#[derive(Debug, Error)]
pub enum SessionError {
    /// A line could not be handled.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: usize,
        /// What is wrong with it.
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
    #[error("cannot read: {0}")]
    Read(io::Error),
    /// The line is empty.
    #[error("empty line")]
    Empty,
    /// It is no message that the adapter knows.
    #[error("malformed message: {0}")]
    Malformed(serde_json::Error),
    /// A batch starts within a batch.
    #[error("mark inside a batch")]
    NestedBatch,
    /// A message that belongs into a batch stands outside of one.
    #[error("message outside a batch")]
    OutsideBatch,
    /// The settings of an instance that starts contradict each other.
    #[error("{0}")]
    Settings(String),
    /// An instance that is not running is to stop.
    #[error("powerOff for unknown instance {0}")]
    StopOfUnknownInstance(String),
    /// An event names an instance that is not running.
    #[error("event for unknown instance {0}")]
    UnknownInstance(String),
    /// A request names a class that its instance was not told of.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// A request names a plan that its instance was not told of.
    #[error("unknown plan {0:?}")]
    UnknownPlan(Option<String>),
    /// A key or a volume is not a number of 64 bits in hex digits.
    #[error("not a key of hex digits: {0:?}")]
    NotHexDigits(String),
    /// An outcome's number is none that the adapter knows.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The scheduler named a node that the bench did not.
    #[error("unknown node {0:?}")]
    UnknownNode(NodeId),
    /// A command could not be written as JSON.
    #[error("cannot write: {0}")]
    Serialize(serde_json::Error),
    /// The output could not be written.
    #[error("cannot write: {0}")]
    Write(io::Error),
}
