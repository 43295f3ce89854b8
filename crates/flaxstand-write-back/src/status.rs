//! State and counts for operators.

use crate::log::LogCounts;
use flaxstand_proto::Micros;

/// State and counts of a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Buffered writes that are not confirmed by their nodes.
    pub writes: usize,
    /// Bytes of the unconfirmed writes.
    pub bytes: u64,
    /// Limit of `bytes`.
    pub max_bytes: u64,
    /// Total length of the log's segments.
    pub log_bytes: u64,
    /// Age of the oldest unconfirmed write that is not parked.
    pub oldest: Micros,
    /// Writes that wait for an operator's decision.
    pub parked: usize,
    /// Requests and barriers that wait in the buffer.
    pub waiting: usize,
    /// Whether the last batch of log records failed.
    pub log_failing: bool,
    /// Write-outs in flight, including those that wait in the decision module.
    pub write_outs_in_flight: usize,
    /// Writes acknowledged as buffered, since the start.
    pub acknowledged: u64,
    /// Writes of buffered classes that were passed through or rejected, since the start.
    pub not_buffered: u64,
    /// Writes confirmed by their nodes, including those replaced by a later one, since the start.
    pub written_out: u64,
    /// Confirmed write-outs, since the start. Fewer than `written_out`, because writes are merged.
    pub write_outs: u64,
    /// Write-outs sent again after an attempt that may have been executed, since the start.
    pub write_out_retries: u64,
    /// Writes replayed from the log at the start.
    pub replayed: u64,
    /// Counts of the log.
    pub log: LogCounts,
}
