//! Messages to the bench. The serde attributes map the bench's names for commands and fields.

use crate::error::LineError;
use crate::names::NameTable;
use flaxstand::api::Action;
use serde::Serialize;
use std::io::Write;

/// Id of an instance's only timer.
const TIMER_TOKEN: u64 = 0;

/// A line to the bench.
#[derive(Serialize)]
#[serde(tag = "cmd")]
pub enum Command<'a> {
    /// Send an attempt to a node.
    #[serde(rename = "assign")]
    Send {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// The request.
        #[serde(rename = "opId")]
        request: u64,
        /// The node's name.
        #[serde(rename = "target")]
        node: &'a str,
    },
    /// Cancel an attempt.
    #[serde(rename = "dropAttempt")]
    Cancel {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// The request.
        #[serde(rename = "opId")]
        request: u64,
        /// Number of the attempt.
        #[serde(rename = "go")]
        attempt: u32,
    },
    /// Probe a node.
    #[serde(rename = "sample")]
    Probe {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// The node's name.
        #[serde(rename = "target")]
        node: &'a str,
    },
    /// Final answer: rejected.
    #[serde(rename = "reject")]
    Reject {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// The request.
        #[serde(rename = "opId")]
        request: u64,
        /// Retry-After, ms; 0: none.
        #[serde(rename = "backoffMs")]
        retry_after: f64,
    },
    /// Final answer: failed.
    #[serde(rename = "dropRequest")]
    Fail {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// The request.
        #[serde(rename = "opId")]
        request: u64,
    },
    /// Set the instance's timer.
    #[serde(rename = "timer")]
    SetTimer {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// Time until it fires, ms.
        #[serde(rename = "inMs")]
        after: f64,
        /// Id of the timer; always [`TIMER_TOKEN`].
        token: u64,
    },
    /// Poll the endpoint list.
    #[serde(rename = "observe")]
    PollList {
        /// The instance.
        #[serde(rename = "i")]
        instance: &'a str,
        /// Always true.
        active: bool,
    },
    /// All commands for the batch have been written.
    #[serde(rename = "next")]
    BatchDone,
}

impl<'a> Command<'a> {
    /// The command for an action of an instance's scheduler.
    pub fn from_action(instance: &'a str, action: &Action, names: &'a NameTable) -> Result<Self, LineError> {
        Ok(match *action {
            Action::Send { request, node, .. } => {
                Command::Send { instance, request: request.0, node: names.node_name(node)? }
            }
            Action::Cancel { request, attempt } => {
                Command::Cancel { instance, request: request.0, attempt: attempt.0 }
            }
            Action::Probe { node } => Command::Probe { instance, node: names.node_name(node)? },
            Action::Reject { request, retry_after } => {
                Command::Reject { instance, request: request.0, retry_after }
            }
            Action::Fail { request } => Command::Fail { instance, request: request.0 },
            Action::SetTimer { after } => Command::SetTimer { instance, after, token: TIMER_TOKEN },
            Action::PollList => Command::PollList { instance, active: true },
        })
    }

    /// Writes the command as one line.
    pub fn write(&self, output: &mut impl Write) -> Result<(), LineError> {
        serde_json::to_writer(&mut *output, self).map_err(LineError::Serialize)?;
        output.write_all(b"\n").map_err(LineError::Write)
    }
}
