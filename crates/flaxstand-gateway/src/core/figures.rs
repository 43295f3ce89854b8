//! What the core counts and holds.

/// Counts since the start. All only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken from clients, refused ones included.
    pub taken: u64,
    /// Requests that ended served.
    pub served: u64,
    /// Writes acknowledged as buffered.
    pub buffered: u64,
    /// Reads answered from the buffer alone; they count as served too.
    pub read_back: u64,
    /// Requests that ended refused, by the module.
    pub refused: u64,
    /// Requests that ended refused at a bound, by the buffer or while stopping, unseen by the module.
    pub turned_away: u64,
    /// Repeats that were refused in a storm, unseen by the module.
    pub damped: u64,
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
    /// Connections looked at where several were gone through, one by one.
    pub connections_walked: u64,
    /// Bytes of the node list that were saved.
    pub saved_bytes: u64,
    /// How often all of the list was saved; the other saves hold what changed.
    pub whole_saves: u64,
    /// Requests that the module had not ended at their deadline. More than 0 is a fault of the module.
    pub overdue: u64,
}

/// How much is held at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Connections, those being opened included.
    pub conns: usize,
    /// Requests.
    pub requests: usize,
    /// Ids of clients' requests.
    pub ids: usize,
    /// Nodes.
    pub nodes: usize,
    /// Timers.
    pub timers: usize,
    /// Bytes of requests and answers that are not yet whole.
    pub partial_bytes: usize,
}
