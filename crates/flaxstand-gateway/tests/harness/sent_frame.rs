//! Frames that the core wrote.

use flaxstand_proto::*;

/// An owned copy of a frame that the core wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum SentFrame {
    Hello,
    Welcome,
    Bye(CloseReason),
    Served(u64, u32, Vec<u8>),
    Refused(u64, Refusal),
    Failed(u64),
    Part(u64, Vec<u8>),
    Attempt { request: u64, attempt: u32, operation: u64 },
    Cancel(u64),
    Probe(u64),
    Buffered(u64),
    Barred(u64),
    Flushed(u64),
    Status(String),
    Agreement(Vec<u8>),
    Watch,
    GetList,
    Other,
}

impl SentFrame {
    /// Copies a frame.
    pub fn of(frame: &Frame<'_>) -> SentFrame {
        match *frame {
            Frame::Hello(_) => SentFrame::Hello,
            Frame::Welcome(_) => SentFrame::Welcome,
            Frame::Bye { close_reason, .. } => SentFrame::Bye(close_reason),
            Frame::Served { id, shard, payload } => SentFrame::Served(id, shard, payload.to_vec()),
            Frame::Refused { id, refusal, .. } => SentFrame::Refused(id, refusal),
            Frame::Failed { id } => SentFrame::Failed(id),
            Frame::Part { id, payload } => SentFrame::Part(id, payload.to_vec()),
            Frame::Attempt(a) => {
                SentFrame::Attempt { request: a.request, attempt: a.attempt, operation: a.operation }
            }
            Frame::Cancel { request, .. } => SentFrame::Cancel(request),
            Frame::Probe { token } => SentFrame::Probe(token),
            Frame::Buffered { id } => SentFrame::Buffered(id),
            Frame::Barred { id } => SentFrame::Barred(id),
            Frame::Flushed { id } => SentFrame::Flushed(id),
            Frame::Status { json, .. } => SentFrame::Status(String::from_utf8_lossy(json).into_owned()),
            Frame::Agreement { bytes } => SentFrame::Agreement(bytes.to_vec()),
            Frame::Watch => SentFrame::Watch,
            Frame::GetList => SentFrame::GetList,
            _ => SentFrame::Other,
        }
    }
}
