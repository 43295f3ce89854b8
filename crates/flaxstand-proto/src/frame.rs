//! The frames. Times on the wire are durations in microseconds: the clocks of hosts differ, so no moment
//! of one clock is ever sent to another host.

/// Oldest version of the frames that this build speaks.
pub const VERSION_OLDEST: u8 = 3;
/// Version of the frames that this build writes.
pub const VERSION: u8 = 3;
/// Oldest version that this build reads: lists saved by the build before, and `Hello`, so that an old peer is
/// told why its connection is closed. Its entries have neither a size nor a service time.
pub const VERSION_READ: u8 = 2;

/// Who speaks on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Role {
    /// Submits requests.
    Client = 1,
    /// Schedules them.
    Initiator = 2,
    /// Stores data.
    Node = 3,
    /// Endpoint discovery: has the list of nodes.
    List = 4,
}

/// How an attempt ended at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Code {
    /// Executed; the payload is the answer.
    Served = 1,
    /// An error while it was executed, or before: it may have been executed.
    Error = 2,
    /// Rejected, not executed: the queue is full or the node is draining.
    Rejected = 3,
}

/// Why a request was rejected. A rejected request has not been executed: a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Refusal {
    /// The scheduler shed it: no capacity for it within its deadline.
    Load = 1,
    /// The initiator has as many pending requests, or knows as many volumes, as its bounds allow.
    Held = 2,
    /// This client has as many requests in flight as it may.
    Client = 3,
    /// The initiator is stopping.
    Stopping = 4,
    /// This initiator buffers no writes: it has no flushes and barriers.
    Unbuffered = 5,
    /// The write-back buffer is full, or the request would have waited in it for too long.
    Buffer = 6,
    /// It retries an attempt that was rejected or abandoned, in a retry storm.
    Storm = 7,
}

/// What a rejection's Retry-After applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Scope {
    /// This request only.
    Request = 1,
    /// Every request of its volume.
    Volume = 2,
    /// Every request to this initiator.
    All = 3,
}

/// Why a connection is closed by its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CloseReason {
    /// No common version.
    Version = 1,
    /// A frame that does not belong here, or a malformed one.
    Protocol = 2,
    /// Another peer was expected at this address.
    WrongPeer = 3,
    /// A limit was reached.
    Bound = 4,
    /// The process is stopping.
    Stopping = 5,
    /// Many connect at once: to be tried again after the stated wait.
    Turn = 6,
}

/// State of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum State {
    /// Accepts requests.
    Serving = 1,
    /// Finishes its requests and accepts no new ones.
    Draining = 2,
    /// Removed.
    Removed = 3,
}

/// What a list frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Extent {
    /// All nodes.
    Full = 1,
    /// What changed since revision `since`.
    Changes = 2,
}

/// First frame of the peer that connects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hello<'a> {
    /// The sender's role.
    pub role: Role,
    /// Oldest and newest version it reads.
    pub versions: (u8, u8),
    /// Number of the sender: an initiator's index, a client's number.
    pub id: u64,
    /// Incarnation of the sender: grows at each start.
    pub epoch: u64,
    /// A name for logs, at most 255 bytes.
    pub name: &'a str,
}

/// First frame of the peer that accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome<'a> {
    /// The version from here on.
    pub version: u8,
    /// The sender's role.
    pub role: Role,
    /// Number of the sender: a node's id in the list.
    pub id: u64,
    /// Its incarnation.
    pub epoch: u64,
    /// A name for logs, at most 255 bytes.
    pub name: &'a str,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submit<'a> {
    /// The client's number for this attempt; unused so far on this connection.
    pub id: u64,
    /// Idempotency id of the operation, the same for all its attempts: nodes drop repeats of it.
    pub operation: u64,
    /// Index into the site's classes.
    pub class: u16,
    /// Index into the site's plans.
    pub plan: u16,
    /// How many initiators the volume's requests use, 1 or more.
    pub volume_initiators: u16,
    /// 0 for a first attempt, then counted up with each retry.
    pub try_no: u8,
    /// It writes.
    pub write: bool,
    /// The volume.
    pub volume: u64,
    /// The extent; `None`: it names none.
    pub extent: Option<u64>,
    /// The shard that holds the extent; `None`: a new object.
    pub shard: Option<u32>,
    /// Units it counts, 1 or more.
    pub units: u32,
    /// Offset in the extent at which a write begins, bytes; `None`: it replaces the whole extent.
    pub at: Option<u32>,
    /// How long the client waits from now on, microseconds.
    pub time_left: u32,
    /// Data to be written.
    pub payload: &'a [u8],
}

/// An attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt<'a> {
    /// The initiator's number for the request.
    pub request: u64,
    /// Which attempt of it, from 0.
    pub attempt: u32,
    /// As in [`Submit`].
    pub operation: u64,
    /// As in [`Submit`].
    pub class: u16,
    /// As in [`Submit`].
    pub plan: u16,
    /// As in [`Submit`].
    pub write: bool,
    /// The answer is streamed.
    pub stream: bool,
    /// As in [`Submit`].
    pub volume: u64,
    /// As in [`Submit`].
    pub extent: Option<u64>,
    /// As in [`Submit`].
    pub units: u32,
    /// As in [`Submit`].
    pub at: Option<u32>,
    /// How long an answer is of use, microseconds.
    pub time_left: u32,
    /// As in [`Submit`].
    pub payload: &'a [u8],
}

/// Load report: what a node reports of itself and of a volume with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Units served for the volume everywhere in a finished period, in percent of its plan's rate.
    pub used: Option<u32>,
    /// Units served for the volume here through other initiators since the last answer to this one.
    pub from_others: u32,
    /// Requests in flight, as last measured.
    pub inflight: Option<u32>,
    /// Queued requests, as last measured.
    pub queue: Option<u32>,
    /// How busy the cores are, in thousandths, as last measured.
    pub busy: Option<u32>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Done<'a> {
    /// As in [`Attempt`].
    pub request: u64,
    /// As in [`Attempt`].
    pub attempt: u32,
    /// How it ended.
    pub code: Code,
    /// The load report.
    pub report: Report,
    /// Data read.
    pub payload: &'a [u8],
}

/// A node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The node: the same when its process restarts, another when a machine replaces it.
    pub node: u64,
    /// Its incarnation: grows at each start.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
    /// Time since its latest start, microseconds; `None`: long ago.
    pub age: Option<u64>,
    /// The shard it holds.
    pub shard: u32,
    /// Its zone.
    pub zone: u32,
    /// Its nominal size relative to others, in hundredths; 0: not known.
    pub size: u32,
    /// Service time of a unit without load, microseconds, as an initiator estimated it: in its saved list only.
    pub service_time: Option<u32>,
    /// Where it listens: `host:port`, or `unix:` and a path; at most 255 bytes.
    pub address: &'a str,
}

/// The list of nodes, or changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct List<'a> {
    /// Whether it is the whole list.
    pub extent: Extent,
    /// The revision that changes apply to; the list's own for a full one.
    pub since: u64,
    /// The revision that this leads to.
    pub revision: u64,
    /// The entries.
    pub entries: Vec<Entry<'a>>,
}

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame<'a> {
    /// Opens a connection.
    Hello(Hello<'a>),
    /// Accepts it.
    Welcome(Welcome<'a>),
    /// Closes the connection and says why.
    Bye {
        /// The cause.
        close_reason: CloseReason,
        /// Retry-After, microseconds; 0: none.
        wait: u32,
        /// The cause as text, at most 255 bytes.
        text: &'a str,
    },
    /// Client to initiator: a request.
    Submit(Submit<'a>),
    /// Initiator to client: the request was served.
    Served {
        /// The client's number of the attempt.
        id: u64,
        /// The shard that served it.
        shard: u32,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to client: rejected. It has not been executed, and a retry is harmless.
    Refused {
        /// The client's number of the attempt.
        id: u64,
        /// Retry-After, microseconds; 0: none.
        wait: u32,
        /// Why.
        refusal: Refusal,
        /// What the wait applies to.
        scope: Scope,
    },
    /// Initiator to client: abandoned; it may have been executed.
    Failed {
        /// The client's number of the attempt.
        id: u64,
    },
    /// Initiator to client: a part of a streamed answer; `Served` or `Failed` ends it.
    Part {
        /// The client's number of the attempt.
        id: u64,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to client: the write is durable at the initiator and will reach its node.
    Buffered {
        /// The client's number of the attempt.
        id: u64,
    },
    /// Client to initiator: nothing of this volume accepted from now on is sent before all accepted so far is
    /// confirmed.
    Barrier {
        /// The client's number for it.
        id: u64,
        /// The volume.
        volume: u64,
        /// How long the client waits from now on, microseconds.
        time_left: u32,
    },
    /// Initiator to client: the barrier is in force.
    Barred {
        /// The client's number of it.
        id: u64,
    },
    /// Client to initiator: answer when all that was accepted so far is on its nodes.
    Flush {
        /// The client's number for it.
        id: u64,
        /// Of this volume only; `None`: of all.
        volume: Option<u64>,
        /// How long the client waits from now on, microseconds.
        time_left: u32,
    },
    /// Initiator to client: the flush is complete.
    Flushed {
        /// The client's number of it.
        id: u64,
    },
    /// Client to initiator: asks for the status of the write-back buffer.
    AskStatus {
        /// The client's number for it.
        id: u64,
    },
    /// Initiator to client: the status, a JSON object.
    Status {
        /// The client's number of it.
        id: u64,
        /// The text.
        json: &'a [u8],
    },
    /// Initiator to node: an attempt.
    Attempt(Attempt<'a>),
    /// Initiator to node: the attempt is cancelled.
    Cancel {
        /// The initiator's number for the request.
        request: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Node to initiator: the end of an attempt.
    Done(Done<'a>),
    /// Node to initiator: a part of a streamed answer; `Done` ends it.
    Chunk {
        /// The initiator's number for the request.
        request: u64,
        /// Which attempt.
        attempt: u32,
        /// Data read.
        payload: &'a [u8],
    },
    /// Initiator to node: a health check.
    Probe {
        /// Comes back as given.
        token: u64,
    },
    /// Node to initiator: the answer to a health check.
    Probed {
        /// As given.
        token: u64,
        /// The load report.
        report: Report,
    },
    /// Initiator to discovery service: the whole list, once.
    GetList,
    /// Initiator to discovery service: the list and all its changes.
    Watch,
    /// List service to initiator.
    List(List<'a>),
    /// List service to initiator: a call failed.
    ListFailed,
    /// Between initiators, and between an operator and an initiator: a message of `flaxstand-consensus`, in its
    /// serde format.
    Agreement {
        /// The message.
        bytes: &'a [u8],
    },
}
