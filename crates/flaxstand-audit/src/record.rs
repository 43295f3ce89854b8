//! What each party saw. One JSON object a line; moments and durations are microseconds of one clock.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead};
use std::path::Path;
use thiserror::Error;

/// A final answer, as the client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Done, by the node of this shard.
    Served {
        /// The shard.
        shard: u32,
        /// For a read: which operation's data it found; none: nothing was there.
        found: Option<u64>,
    },
    /// Has not run.
    Refused {
        /// Advised wait.
        wait: u32,
    },
    /// May have run.
    Failed,
    /// Durable at the initiator; it will reach its node.
    Buffered,
}

/// A client's mark in the order of its writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// Nothing of the volume after it before all that is before it.
    Barrier,
    /// Answered when all that is before it is on its nodes.
    Flush,
}

/// How an attempt ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It ran, and the answer was written.
    Served,
    /// It may have run, and an error was written.
    Error,
    /// Turned away unseen, and that was written.
    Full,
    /// It ran, and its answer was lost.
    Lost,
}

/// A node's state, as an initiator was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListState {
    /// Takes work.
    Serving,
    /// Nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One thing that one party saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "is")]
pub enum Record {
    /// A client wrote a request.
    Submitted {
        /// When.
        at: u64,
        /// Number of the client's connection; not used again.
        client: u64,
        /// The client's number for this try.
        id: u64,
        /// What the client wants done: the same over its tries.
        op: u64,
        /// To whom.
        initiator: u32,
        /// Index of the class.
        class: u16,
        /// Index of the plan.
        plan: u16,
        /// The volume.
        volume: u64,
        /// The item of data.
        extent: u64,
        /// Units.
        units: u32,
        /// It writes.
        write: bool,
        /// 0 for a first try.
        try_no: u8,
        /// When the client gives this try up.
        until: u64,
    },
    /// A client read a final answer.
    Answered {
        /// When.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client could not submit what it wanted done: its initiator was out of reach.
    Unreachable {
        /// When.
        at: u64,
        /// As in `Submitted`.
        op: u64,
        /// As in `Submitted`.
        class: u16,
        /// As in `Submitted`.
        plan: u16,
    },
    /// A client wrote a barrier or a flush of a volume.
    Marked {
        /// When.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
        /// As in `Submitted`.
        volume: u64,
        /// Which.
        mark: Mark,
    },
    /// A client read that its barrier stands, or its flush is complete.
    MarkStands {
        /// When.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// As in `Submitted`.
        id: u64,
    },
    /// A node stored what a write brought.
    Stored {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
        /// As in `Submitted`.
        op: u64,
        /// As in `Submitted`.
        volume: u64,
        /// As in `Submitted`.
        extent: u64,
    },
    /// A client's connection ended.
    Lost {
        /// When.
        at: u64,
        /// As in `Submitted`.
        client: u64,
        /// The client closed it.
        by_client: bool,
    },
    /// An initiator was killed, or told to stop.
    Killed {
        /// When.
        at: u64,
        /// Which.
        initiator: u32,
    },
    /// A node's process started.
    NodeUp {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
        /// Which start of it.
        incarnation: u64,
        /// The shard that it holds.
        shard: u32,
        /// Its zone.
        zone: u32,
        /// Work it does in a microsecond once warm, in microseconds of a core of speed 1.
        power: f64,
        /// Share of that at its start.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// When it is warm; 0: it is so from its start.
        warm_after: u64,
    },
    /// An attempt reached a node.
    Arrived {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
        /// Which start of it.
        incarnation: u64,
        /// The connection; not used again by this node.
        conn: u64,
        /// From whom.
        initiator: u32,
        /// Which life of it.
        epoch: u64,
        /// The initiator's number of the request.
        request: u64,
        /// Which attempt.
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
        /// When.
        at: u64,
        /// Which node.
        node: u64,
        /// As in `Arrived`.
        initiator: u32,
        /// As in `Arrived`.
        epoch: u64,
        /// As in `Arrived`.
        request: u64,
        /// As in `Arrived`.
        attempt: u32,
        /// How.
        end: End,
    },
    /// A node read that nobody waits for an attempt any more.
    Cancelled {
        /// When.
        at: u64,
        /// Which node.
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
    Hung {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
        /// As in `Arrived`.
        conn: u64,
    },
    /// A node's process was killed.
    NodeDown {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
    },
    /// A cold node fell over.
    Fell {
        /// When.
        at: u64,
        /// Which node.
        node: u64,
    },
    /// The list service wrote word of a node to an initiator.
    Told {
        /// When.
        at: u64,
        /// To whom.
        initiator: u32,
        /// Which life of it.
        epoch: u64,
        /// Of which node.
        node: u64,
        /// Which start of it.
        incarnation: u64,
        /// Its state.
        state: ListState,
    },
}

impl Record {
    /// When it was seen.
    pub fn at(&self) -> u64 {
        match self {
            Record::Submitted { at, .. }
            | Record::Answered { at, .. }
            | Record::Unreachable { at, .. }
            | Record::Lost { at, .. }
            | Record::Marked { at, .. }
            | Record::MarkStands { at, .. }
            | Record::Stored { at, .. }
            | Record::Killed { at, .. }
            | Record::NodeUp { at, .. }
            | Record::Arrived { at, .. }
            | Record::Ended { at, .. }
            | Record::Cancelled { at, .. }
            | Record::Hung { at, .. }
            | Record::NodeDown { at, .. }
            | Record::Fell { at, .. }
            | Record::Told { at, .. } => *at,
        }
    }

    /// Adds its line.
    pub fn write(&self, out: &mut Vec<u8>) {
        serde_json::to_writer(&mut *out, self).expect("a record is plain data");
        out.push(b'\n');
    }
}

/// Why records can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The system says so.
    #[error("{path}: {cause}")]
    Io {
        /// The file.
        path: String,
        /// The cause.
        cause: io::Error,
    },
    /// A line is no record.
    #[error("{path}:{line}: {cause}")]
    Line {
        /// The file.
        path: String,
        /// From 1.
        line: usize,
        /// The cause.
        cause: serde_json::Error,
    },
}

/// Every record in the `.jsonl` files of a folder, in the order of time. The last line of a file may have
/// been cut short by its writer's end and is then left out.
///
/// # Errors
/// A file can't be read, or a line before the last is no record.
pub fn read_folder(folder: &Path) -> Result<Vec<Record>, RecordError> {
    let name = |p: &Path| p.display().to_string();
    let io = |path: &Path| {
        let path = name(path);
        move |cause| RecordError::Io { path, cause }
    };
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .map_err(io(folder))?
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "jsonl"))
        .collect();
    paths.sort();
    let mut all = Vec::new();
    for path in paths {
        let file = std::fs::File::open(&path).map_err(io(&path))?;
        let lines: Vec<String> =
            io::BufReader::new(file).lines().collect::<Result<_, _>>().map_err(io(&path))?;
        for (index, line) in lines.iter().enumerate() {
            match serde_json::from_str(line) {
                Ok(record) => all.push(record),
                Err(_) if index + 1 == lines.len() => {}
                Err(cause) => return Err(RecordError::Line { path: name(&path), line: index + 1, cause }),
            }
        }
    }
    all.sort_by_key(Record::at);
    Ok(all)
}
