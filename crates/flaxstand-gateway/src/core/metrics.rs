//! Metrics of the core: counters since the start, and current sizes.

use super::memory_use::MemoryUse;

/// Counters since the start. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests received from clients, including rejected ones.
    pub accepted: u64,
    /// Requests that ended served.
    pub served: u64,
    /// Writes acknowledged as buffered.
    pub buffered: u64,
    /// Reads answered from the buffer alone; also counted in `served`.
    pub served_from_buffer: u64,
    /// Requests that the module rejected.
    pub rejected: u64,
    /// Requests rejected at a limit, by the buffer or while stopping, without reaching the module.
    pub rejected_at_bound: u64,
    /// Retries rejected under overload, without reaching the module.
    pub retries_rejected: u64,
    /// Requests that ended failed.
    pub failed: u64,
    /// Requests whose client disconnected before the response.
    pub abandoned: u64,
    /// Attempts handed to a node's connection.
    pub attempts: u64,
    /// Outcomes received for attempts that were no longer in flight.
    pub late_outcomes: u64,
    /// Protocol faults of peers.
    pub protocol_faults: u64,
    /// Lookups of nodes, for requests, probes, changes of the list, saves and sweeps.
    pub nodes_visited: u64,
    /// Connections visited in iterations over several.
    pub connections_walked: u64,
    /// Bytes of the endpoint list written to the saved state.
    pub saved_bytes: u64,
    /// Full saves of the endpoint list; other saves append changes.
    pub whole_saves: u64,
    /// Requests that the module had not ended by their deadline. Any value above 0 indicates a fault of the
    /// module.
    pub overdue: u64,
}

/// Current sizes of the core's tables and buffers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Connections, including those being opened.
    pub connections: usize,
    /// Pending requests.
    pub requests: usize,
    /// Client request ids in use.
    pub client_request_ids: usize,
    /// Client request ids that may have been executed and are remembered.
    pub executed_ids: usize,
    /// Volumes whose quotas are kept.
    pub volumes: usize,
    /// Nodes.
    pub nodes: usize,
    /// Pending timers.
    pub timers: usize,
    /// Bytes of incomplete requests and responses.
    pub partial_bytes: usize,
    /// Memory of the data of peers.
    pub memory: MemoryUse,
}
