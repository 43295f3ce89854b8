//! Figures for operators.

use crate::log::LogCounts;
use flaxstand_proto::Micros;

/// State and counts of a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Buffered writes that are not confirmed by their nodes.
    pub writes: usize,
    /// Bytes of them.
    pub bytes: u64,
    /// Most bytes that may be buffered.
    pub max_bytes: u64,
    /// Bytes of the log's segments.
    pub log_bytes: u64,
    /// Age of the oldest write that isn't parked.
    pub oldest: Micros,
    /// Writes that wait for an operator's decision.
    pub parked: usize,
    /// Requests and barriers that wait here.
    pub waiting: usize,
    /// The log can't be written.
    pub log_failing: bool,
    /// Write-outs in flight, those that wait in the decision module included.
    pub write_outs_in_flight: usize,
    /// Writes acknowledged as buffered, since the start.
    pub acknowledged: u64,
    /// Writes that could have been buffered and were passed through or rejected, since the start.
    pub not_buffered: u64,
    /// Writes confirmed by their nodes, those replaced by a later one included, since the start.
    pub written_out: u64,
    /// Write-outs that brought them: fewer, as writes are merged. Since the start.
    pub write_outs: u64,
    /// Write-outs sent again after an attempt that may have been executed, since the start.
    pub write_out_retries: u64,
    /// Writes found in the log at the start.
    pub replayed: u64,
    /// Counts of the log.
    pub log: LogCounts,
}
