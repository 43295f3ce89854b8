//! Events recorded by clients, nodes and the discovery service, stored as one JSON object per line. Times and
//! durations are in microseconds of one clock.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead};
use std::path::Path;
use thiserror::Error;

/// A final answer, as the client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Executed by a node.
    Served {
        /// Shard of that node.
        shard: u32,
        /// For a read: the operation that wrote the returned data; none if there was no data.
        found: Option<u64>,
    },
    /// Rejected without execution.
    Refused {
        /// Wait before a retry that the initiator advised.
        wait: u32,
    },
    /// Failed; it may have been executed.
    Failed,
    /// Durable at the initiator, which writes it to its node later.
    Buffered,
}

/// An ordering request of a client for a volume's buffered writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// Later writes of the volume are stored only after all earlier ones.
    Barrier,
    /// Completes when all earlier writes of the volume are stored on their nodes.
    Flush,
}

/// How an attempt ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Executed; the answer was written.
    Served,
    /// It may have been executed; an error was written.
    Error,
    /// Rejected before execution; the rejection was written.
    #[serde(rename = "Full")]
    Rejected,
    /// Executed; the answer was lost.
    Lost,
}

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListState {
    /// Accepts requests.
    Serving,
    /// Must not be sent new requests.
    Draining,
    /// Removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// An event that a client, a node or the discovery service recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is")]
pub enum Record {
    /// A client wrote a request.
    Submitted {
        /// Time of the event.
        at: u64,
        /// Number of the client's connection; never reused.
        client: u64,
        /// The client's number for this attempt.
        id: u64,
        /// Identifies the operation; the same for all its attempts.
        op: u64,
        /// The initiator that it was sent to.
        initiator: u32,
        /// Index of the class.
        class: u16,
        /// Index of the plan.
        plan: u16,
        /// The volume.
        volume: u64,
        /// The extent.
        extent: u64,
        /// Cost in units.
        units: u32,
        /// Whether it is a write.
        write: bool,
        /// Number of the attempt; 0 for the first.
        try_no: u8,
        /// When the client stops waiting for this attempt.
        until: u64,
    },
    /// A client read a final answer.
    Answered {
        /// Time of the event.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client could not submit an operation because its initiator was unreachable.
    Unreachable {
        /// Time of the event.
        at: u64,
        /// As in `Submitted`.
        op: u64,
        /// As in `Submitted`.
        class: u16,
        /// As in `Submitted`.
        plan: u16,
    },
    /// A client submitted a barrier or a flush of a volume.
    Marked {
        /// Time of the event.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
        /// As in `Submitted`.
        volume: u64,
        /// Barrier or flush.
        mark: Mark,
    },
    /// A client read that its barrier is in force, or its flush complete.
    #[serde(rename = "MarkStands")]
    MarkCompleted {
        /// Time of the event.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
    },
    /// A node stored a write.
    Stored {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// As in `Submitted`.
        op: u64,
        /// As in `Submitted`.
        volume: u64,
        /// As in `Submitted`.
        extent: u64,
    },
    /// A client's connection ended.
    #[serde(rename = "Lost")]
    ClientDisconnected {
        /// Time of the event.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// Whether the client closed it.
        by_client: bool,
    },
    /// An initiator was killed or asked to stop.
    Killed {
        /// Time of the event.
        at: u64,
        /// The initiator.
        initiator: u32,
    },
    /// A node's process started.
    NodeUp {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// Incarnation of the node.
        incarnation: u64,
        /// Shard of the node.
        shard: u32,
        /// Its zone.
        zone: u32,
        /// Work done per microsecond once warm, in microseconds of a core of speed 1.
        power: f64,
        /// Share of `power` available at the start.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// Time from the start until it is warm; 0: it is warm from the start.
        warm_after: u64,
    },
    /// An attempt reached a node.
    Arrived {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// Incarnation of the node.
        incarnation: u64,
        /// The connection; the node never reuses the number.
        conn: u64,
        /// The initiator that sent it.
        initiator: u32,
        /// Epoch of the initiator.
        epoch: u64,
        /// The initiator's number of the request.
        request: u64,
        /// Number of the attempt within the request.
        attempt: u32,
        /// As in `Submitted`.
        op: u64,
        /// As in `Submitted`.
        class: u16,
        /// As in `Submitted`.
        plan: u16,
        /// As in `Submitted`.
        volume: u64,
        /// As in `Submitted`.
        extent: u64,
        /// As in `Submitted`.
        units: u32,
        /// Its work, in microseconds of a core of speed 1.
        work: u64,
    },
    /// An attempt ended at a node.
    Ended {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// As in `Arrived`.
        initiator: u32,
        /// As in `Arrived`.
        epoch: u64,
        /// As in `Arrived`.
        request: u64,
        /// As in `Arrived`.
        attempt: u32,
        /// Outcome.
        end: End,
    },
    /// A node read the cancellation of an attempt.
    Cancelled {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// As in `Arrived`.
        initiator: u32,
        /// As in `Arrived`.
        epoch: u64,
        /// As in `Arrived`.
        request: u64,
        /// As in `Arrived`.
        attempt: u32,
    },
    /// An initiator's connection to a node ended.
    #[serde(rename = "Hung")]
    NodeConnectionClosed {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
        /// As in `Arrived`.
        conn: u64,
    },
    /// A node's process was killed.
    NodeDown {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
    },
    /// A node failed under overload while it was warming up.
    #[serde(rename = "Fell")]
    NodeOverloaded {
        /// Time of the event.
        at: u64,
        /// The node.
        node: u64,
    },
    /// The discovery service sent an initiator the state of a node.
    #[serde(rename = "Told")]
    Notified {
        /// Time of the event.
        at: u64,
        /// The initiator.
        initiator: u32,
        /// Epoch of the initiator.
        epoch: u64,
        /// The node.
        node: u64,
        /// Incarnation of the node.
        incarnation: u64,
        /// State of the node.
        state: ListState,
    },
}

impl Record {
    /// Time of the event.
    pub fn at(&self) -> u64 {
        match self {
            Record::Submitted { at, .. }
            | Record::Answered { at, .. }
            | Record::Unreachable { at, .. }
            | Record::ClientDisconnected { at, .. }
            | Record::Marked { at, .. }
            | Record::MarkCompleted { at, .. }
            | Record::Stored { at, .. }
            | Record::Killed { at, .. }
            | Record::NodeUp { at, .. }
            | Record::Arrived { at, .. }
            | Record::Ended { at, .. }
            | Record::Cancelled { at, .. }
            | Record::NodeConnectionClosed { at, .. }
            | Record::NodeDown { at, .. }
            | Record::NodeOverloaded { at, .. }
            | Record::Notified { at, .. } => *at,
        }
    }

    /// Appends the record as one line of JSON.
    pub fn write(&self, out: &mut Vec<u8>) {
        serde_json::to_writer(&mut *out, self).expect("records serialise to JSON without errors");
        out.push(b'\n');
    }
}

/// Records could not be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// A folder or file could not be read.
    #[error("cannot read records from {path}: {cause}")]
    Io {
        /// Path of the folder or file.
        path: String,
        /// The cause.
        cause: io::Error,
    },
    /// A line is not a valid record.
    #[error("{path}:{line}: invalid record: {cause}")]
    Line {
        /// Path of the file.
        path: String,
        /// Number of the line, from 1.
        line: usize,
        /// The cause.
        cause: serde_json::Error,
    },
}

/// Reads all records in the `.jsonl` files of a folder, in time order. The last line of a file is left out if
/// it is truncated, as when its writer was killed.
///
/// # Errors
/// A file cannot be read, or a line before the last is not a valid record.
pub fn read_folder(folder: &Path) -> Result<Vec<Record>, RecordError> {
    let display = |path: &Path| path.display().to_string();
    let io_error = |path: &Path| {
        let path = display(path);
        move |cause| RecordError::Io { path, cause }
    };
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .map_err(io_error(folder))?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "jsonl"))
        .collect();
    paths.sort();
    let mut records = Vec::new();
    for path in paths {
        let file = std::fs::File::open(&path).map_err(io_error(&path))?;
        let lines: Vec<String> =
            io::BufReader::new(file).lines().collect::<Result<_, _>>().map_err(io_error(&path))?;
        for (index, line) in lines.iter().enumerate() {
            match serde_json::from_str(line) {
                Ok(record) => records.push(record),
                Err(_) if index + 1 == lines.len() => {}
                Err(cause) => return Err(RecordError::Line { path: display(&path), line: index + 1, cause }),
            }
        }
    }
    records.sort_by_key(Record::at);
    Ok(records)
}
