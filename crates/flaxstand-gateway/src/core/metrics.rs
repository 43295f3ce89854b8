//! Metrics of the core: counts since the start, and what is pending now.

/// Counts since the start. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that came from clients, rejected ones included.
    pub accepted: u64,
    /// Requests that ended served.
    pub served: u64,
    /// Writes acknowledged as buffered.
    pub buffered: u64,
    /// Reads answered from the buffer alone; they count as served too.
    pub served_from_buffer: u64,
    /// Requests that the module rejected.
    pub rejected: u64,
    /// Requests rejected at a bound, by the buffer or while stopping, unseen by the module.
    pub rejected_at_bound: u64,
    /// Retries rejected under overload, unseen by the module.
    pub retries_rejected: u64,
    /// Requests that ended failed.
    pub failed: u64,
    /// Requests whose client went before its answer.
    pub abandoned: u64,
    /// Attempts handed to a node's connection.
    pub attempts: u64,
    /// Ends of attempts that nobody waited for any more.
    pub late_outcomes: u64,
    /// Connections closed for what their peer sent.
    pub protocol_faults: u64,
    /// Nodes looked at: for requests, probes, changes of the list, saves and sweeps.
    pub nodes_visited: u64,
    /// Connections looked at where several were iterated over.
    pub connections_walked: u64,
    /// Bytes of the node list that were saved.
    pub saved_bytes: u64,
    /// How often all of the list was saved; the other saves hold what changed.
    pub whole_saves: u64,
    /// Requests that the module had not ended at their deadline. More than 0 is a fault of the module.
    pub overdue: u64,
}

/// How much is pending at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Connections, those being opened included.
    pub connections: usize,
    /// Requests.
    pub requests: usize,
    /// Ids of clients' requests.
    pub client_request_ids: usize,
    /// Nodes.
    pub nodes: usize,
    /// Timers.
    pub timers: usize,
    /// Bytes of requests and answers that are not yet whole.
    pub partial_bytes: usize,
}
