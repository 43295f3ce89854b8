//! Frame definitions. Times on the wire are durations in microseconds: host clocks are not synchronised, so
//! absolute times are never sent to another host.

/// Oldest protocol version that this build negotiates.
pub const VERSION_OLDEST: u8 = 3;
/// Protocol version of the frames that this build encodes.
pub const VERSION: u8 = 3;
/// Oldest protocol version that this build decodes. Version 2 is needed for lists saved by the previous
/// release and for `Hello`, so that an old peer receives the reason why its connection is closed. List
/// entries of version 2 have neither a size nor a service time.
pub const VERSION_READ: u8 = 2;

/// Role of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Role {
    /// A client, which submits requests.
    Client = 1,
    /// An initiator, which schedules requests.
    Initiator = 2,
    /// A storage node.
    Node = 3,
    /// The endpoint discovery service, which provides the node list.
    List = 4,
}

/// Result of an attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Executed; the payload is the response.
    Served = 1,
    /// Failed before or during execution; may have been executed.
    Error = 2,
    /// Rejected without execution because the queue is full or the node is draining.
    Rejected = 3,
}

/// Reason why a request was rejected. A rejected request was not executed and can be retried safely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Refusal {
    /// Shed by the scheduler: there is no capacity to serve the request within its deadline.
    Load = 1,
    /// The initiator reached its limit of pending requests or of volumes.
    Held = 2,
    /// The client reached its limit of requests in flight.
    Client = 3,
    /// The initiator is stopping.
    Stopping = 4,
    /// The initiator has no write-back buffer and therefore does not support flushes and barriers.
    Unbuffered = 5,
    /// The write-back buffer is full, or the request would wait in it for too long.
    Buffer = 6,
    /// The request retries a rejected or abandoned attempt while the initiator throttles a retry storm.
    Storm = 7,
}

/// Requests that a rejection's Retry-After applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Scope {
    /// The rejected request only.
    Request = 1,
    /// All requests to its volume.
    Volume = 2,
    /// All requests to this initiator.
    All = 3,
}

/// Reason why a peer closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CloseReason {
    /// The peers have no common protocol version.
    Version = 1,
    /// A frame was malformed or unexpected.
    Protocol = 2,
    /// The peer at this address is not the expected one.
    WrongPeer = 3,
    /// A limit was reached.
    Bound = 4,
    /// The process is stopping.
    Stopping = 5,
    /// Too many peers connect at the same time; the peer should reconnect after the given wait.
    Turn = 6,
}

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// Accepts requests.
    Serving = 1,
    /// Finishes its pending requests and accepts no new ones.
    Draining = 2,
    /// Removed from the cluster.
    Removed = 3,
}

/// Whether a list frame is complete or incremental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Extent {
    /// All nodes.
    Full = 1,
    /// The entries that changed since revision `since`.
    Changes = 2,
}

/// First frame sent by the connecting peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hello<'a> {
    /// The sender's role.
    pub role: Role,
    /// Oldest and newest protocol version that the sender supports.
    pub versions: (u8, u8),
    /// Id of the sender: the index of an initiator or the number of a client.
    pub id: u64,
    /// Incarnation of the sender; increases with each start.
    pub epoch: u64,
    /// Name of the sender for logs, at most 255 bytes.
    pub name: &'a str,
}

/// First frame sent by the accepting peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome<'a> {
    /// Protocol version of all further frames on this connection.
    pub version: u8,
    /// The sender's role.
    pub role: Role,
    /// Id of the sender; for a node, its id in the node list.
    pub id: u64,
    /// Incarnation of the sender.
    pub epoch: u64,
    /// Name of the sender for logs, at most 255 bytes.
    pub name: &'a str,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submit<'a> {
    /// Id that the client assigned to this attempt, unique on this connection.
    pub id: u64,
    /// Idempotency id of the operation, shared by all its attempts; nodes use it for deduplication.
    pub operation: u64,
    /// Index into the site's classes.
    pub class: u16,
    /// Index into the site's plans.
    pub plan: u16,
    /// Number of initiators that serve requests to this volume, at least 1.
    pub volume_initiators: u16,
    /// Attempt number: 0 for the first attempt, incremented with each retry.
    pub try_no: u8,
    /// Whether the request is a write.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent, or `None` if the request specifies none.
    pub extent: Option<u64>,
    /// The shard that holds the extent, or `None` for a new object.
    pub shard: Option<u32>,
    /// Cost of the request in units, at least 1.
    pub units: u32,
    /// Start offset of a write in the extent, bytes; `None` if the write replaces the entire extent.
    pub at: Option<u32>,
    /// Remaining time until the client's time-out, microseconds.
    pub time_left: u32,
    /// Data to write.
    pub payload: &'a [u8],
}

/// An attempt of a request, sent to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// Id that the initiator assigned to the request.
    pub request: u64,
    /// Index of the attempt within the request, from 0.
    pub attempt: u32,
    /// As in [`Submit`].
    pub operation: u64,
    /// As in [`Submit`].
    pub class: u16,
    /// As in [`Submit`].
    pub plan: u16,
    /// As in [`Submit`].
    pub write: bool,
    /// Whether the response is streamed.
    pub stream: bool,
    /// As in [`Submit`].
    pub volume: u64,
    /// As in [`Submit`].
    pub extent: Option<u64>,
    /// As in [`Submit`].
    pub units: u32,
    /// As in [`Submit`].
    pub at: Option<u32>,
    /// Remaining time until the response is no longer needed, microseconds.
    pub time_left: u32,
    /// As in [`Submit`].
    pub payload: &'a [u8],
}

/// Load report of a node on itself and on one volume, attached to responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Units served for the volume by all nodes during the last completed period, in percent of its plan's
    /// rate.
    pub used: Option<u32>,
    /// Units that this node served for the volume through other initiators since its last response to this
    /// one.
    pub from_others: u32,
    /// Requests in flight, as last measured.
    pub inflight: Option<u32>,
    /// Queued requests, as last measured.
    pub queue: Option<u32>,
    /// CPU utilisation in thousandths, as last measured.
    pub busy: Option<u32>,
}

/// Completion of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done<'a> {
    /// As in [`Attempt`].
    pub request: u64,
    /// As in [`Attempt`].
    pub attempt: u32,
    /// Result of the attempt.
    pub code: Code,
    /// The load report.
    pub report: Report,
    /// Data read.
    pub payload: &'a [u8],
}

/// An entry of the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Id of the node. Unchanged by a process restart; a replacement machine gets a new id.
    pub node: u64,
    /// Incarnation of the node; increases with each start.
    pub incarnation: u64,
    /// State of the node.
    pub state: State,
    /// Time since the node last started, microseconds; `None` if it has been running for a long time.
    pub age: Option<u64>,
    /// The shard that the node holds.
    pub shard: u32,
    /// Zone of the node.
    pub zone: u32,
    /// Nominal capacity relative to other nodes, in hundredths; 0 if unknown.
    pub size: u32,
    /// Service time of one unit on an idle node, microseconds, as estimated by an initiator. Set only in the
    /// list that the initiator saves.
    pub service_time: Option<u32>,
    /// Listen address, `host:port` or `unix:` followed by a path, at most 255 bytes.
    pub address: &'a str,
}

/// The node list, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct List<'a> {
    /// Whether the list is complete or incremental.
    pub extent: Extent,
    /// The revision to which the changes apply; equal to `revision` in a full list.
    pub since: u64,
    /// The revision after this list is applied.
    pub revision: u64,
    /// Entries of the list.
    pub entries: Vec<Entry<'a>>,
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame<'a> {
    /// First frame of the connecting peer.
    Hello(Hello<'a>),
    /// First frame of the accepting peer.
    Welcome(Welcome<'a>),
    /// Closes the connection and gives the reason.
    Bye {
        /// Reason for closing the connection.
        close_reason: CloseReason,
        /// Retry-After, microseconds; 0 if none.
        wait: u32,
        /// Description of the reason, at most 255 bytes.
        text: &'a str,
    },
    /// Client to initiator: a request.
    Submit(Submit<'a>),
    /// Initiator to client: the request was served.
    Served {
        /// Id that the client assigned to the attempt.
        id: u64,
        /// The shard that served the request.
        shard: u32,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to client: the request was rejected. It was not executed and can be retried safely.
    Refused {
        /// Id that the client assigned to the attempt.
        id: u64,
        /// Retry-After, microseconds; 0 if none.
        wait: u32,
        /// Reason for the rejection.
        refusal: Refusal,
        /// Requests that the wait applies to.
        scope: Scope,
    },
    /// Initiator to client: the request was abandoned; it may have been executed.
    Failed {
        /// Id that the client assigned to the attempt.
        id: u64,
    },
    /// Initiator to client: a part of a streamed response, which ends with `Served` or `Failed`.
    Part {
        /// Id that the client assigned to the attempt.
        id: u64,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to client: the write is durable in the write-back buffer and will be written to its node.
    Buffered {
        /// Id that the client assigned to the attempt.
        id: u64,
    },
    /// Client to initiator: requests a write barrier. Writes to the volume accepted after the barrier are
    /// sent only after all writes accepted before it are confirmed.
    Barrier {
        /// Id that the client assigned to the call.
        id: u64,
        /// The volume.
        volume: u64,
        /// Remaining time until the client's time-out, microseconds.
        time_left: u32,
    },
    /// Initiator to client: the barrier is set.
    Barred {
        /// Id that the client assigned to the call.
        id: u64,
    },
    /// Client to initiator: requests a response once all writes accepted so far are written to their nodes.
    Flush {
        /// Id that the client assigned to the call.
        id: u64,
        /// The volume to flush, or `None` for all volumes.
        volume: Option<u64>,
        /// Remaining time until the client's time-out, microseconds.
        time_left: u32,
    },
    /// Initiator to client: the flush is complete.
    Flushed {
        /// Id that the client assigned to the call.
        id: u64,
    },
    /// Client to initiator: requests the status of the write-back buffer.
    AskStatus {
        /// Id that the client assigned to the call.
        id: u64,
    },
    /// Initiator to client: the status of the write-back buffer as a JSON object.
    Status {
        /// Id that the client assigned to the call.
        id: u64,
        /// The JSON text.
        json: &'a [u8],
    },
    /// Initiator to node: executes an attempt.
    Attempt(Attempt<'a>),
    /// Initiator to node: cancels an attempt.
    Cancel {
        /// Id that the initiator assigned to the request.
        request: u64,
        /// Index of the attempt within the request.
        attempt: u32,
    },
    /// Node to initiator: an attempt is complete.
    Done(Done<'a>),
    /// Node to initiator: a part of a streamed response, which ends with `Done`.
    Chunk {
        /// Id that the initiator assigned to the request.
        request: u64,
        /// Index of the attempt within the request.
        attempt: u32,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to node: a health check.
    Probe {
        /// Token that the node returns unchanged.
        token: u64,
    },
    /// Node to initiator: the response to a health check.
    Probed {
        /// Token of the health check.
        token: u64,
        /// The load report.
        report: Report,
    },
    /// Initiator to discovery service: requests the full list once.
    GetList,
    /// Initiator to discovery service: requests the full list and all subsequent changes.
    Watch,
    /// Discovery service to initiator: the full list or changes.
    List(List<'a>),
    /// Discovery service to initiator: the request for the list failed.
    ListFailed,
    /// Between initiators, or between an operator and an initiator: a message of `flaxstand-consensus` in its
    /// serde format.
    Agreement {
        /// The encoded message.
        bytes: &'a [u8],
    },
}
