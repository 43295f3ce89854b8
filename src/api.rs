//! The decision module's interface: plain values, no transport. All times are milliseconds on one
//! monotonic clock; all durations are milliseconds too.

/// A moment or a duration in milliseconds.
pub type Millis = f64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/// One attempt of a client to have an operation done.
    RequestId, u64);
id!(/// A storage node's process, as the node list names it.
    NodeId, u32);
id!(/// A volume.
    VolumeId, u64);
id!(/// An item of data.
    Key, u64);
id!(/// A part of the data; one node holds it at a time.
    ShardId, i64);
id!(/// Index into [`Settings::classes`].
    ClassId, usize);
id!(/// Index into [`Settings::plans`].
    PlanId, usize);
id!(/// A zone of the site.
    ZoneId, u32);
id!(/// Number of a request's attempt, from 0 in the order of sending.
    AttemptNo, u32);

/// Which nodes deduplicate requests with one idempotency key among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    All,
    /// Nodes of one zone.
    Zone,
    /// Nodes that hold one shard.
    Shard,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A second execution is harmless.
    Idempotent,
    /// Requests carry an idempotency key: nodes drop a second one for `window` after the first attempt that
    /// may have been executed.
    IdempotencyKey {
        /// Which nodes know of the first attempt.
        group: DeduplicationScope,
        /// How long they remember it, ms.
        window: Millis,
    },
    /// Must never be executed twice.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency within which an answer has its full value, ms.
    pub latency_objective: Millis,
    /// The objective grows by this multiple of the request's own service time.
    pub objective_stretch: f64,
    /// How long a client waits over all its attempts, ms.
    pub deadline: Millis,
    /// Share of the value that an answer after the objective has, 0 to 1.
    pub late_value: f64,
    /// Weight of a request of this class against those of others.
    pub priority_weight: f64,
    /// Whether it may be executed more than once.
    pub effect: Effect,
    /// Requests with one key are executed one after the other.
    pub in_order: bool,
}

/// A service plan of volumes; its rates count for a volume over all initiators.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second a volume is sized for.
    pub base_rate: f64,
    /// Units a second that have full value.
    pub reserve_rate: f64,
    /// Units a second at which the limit's token bucket fills; 0: no limit.
    pub limit_rate: f64,
    /// Capacity of that bucket, units.
    pub limit_burst: f64,
    /// Factor on the priority weight of requests.
    pub priority_factor: f64,
}

/// The budget of retries: attempts beyond each request's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed however light the traffic.
    pub floor: f64,
    /// Retries allowed for each request that arrived.
    pub ratio: f64,
    /// Length of the window in which both are counted, ms.
    pub span: Millis,
}

/// When a change of the endpoint list binds an initiator that was not notified of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotificationTerms {
    /// So long after the discovery service had it and could be reached, ms.
    pub notified_within: Millis,
    /// So long after the initiator was told that the service is at another address, ms.
    pub notified_after_move: Millis,
    /// Requests may go to a node for so long after the change that drains it binds, ms.
    pub drain_grace: Millis,
}

/// The settings of an initiator, as its site states them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many initiators there are.
    pub initiators: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of volumes.
    pub plans: Vec<Plan>,
    /// The endpoint list is polled; else it is pushed.
    pub polls_list: bool,
    /// The initiator must have polled the list within this, ms.
    pub poll_within: Millis,
    /// When changes of the list bind; none: not stated, and no list is ever too old to act on.
    pub notification_terms: Option<NotificationTerms>,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Attempts of one request that may be in flight at once, 1 or more; above 1 requests may be hedged.
    pub max_concurrent_attempts: u32,
    /// An attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// Nodes may be probed by health checks.
    pub may_probe: bool,
    /// Longest Retry-After that clients honour, ms; 0: rejections carry none.
    pub max_retry_after: Millis,
    /// Share of its capacity that a node has at its start, 0 to 1.
    pub initial_capacity: f64,
    /// Time from a node's start until it has its full capacity, ms.
    pub warm_up_time: Millis,
    /// A node that is warming up fails when all initiators together send it more than this multiple of its
    /// present capacity within `slow_start_window`.
    pub overload_multiple: f64,
    /// Window in which the load of a node that is warming up is counted, ms.
    pub slow_start_window: Millis,
    /// Units within `slow_start_window`, from all initiators, that it always bears.
    pub slow_start_min_units: f64,
    /// Pause of an ordered key after an attempt that may still be executed, ms.
    pub key_cooldown: Millis,
    /// Budget of retries, where one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Largest number of units of a request.
    pub max_units: f64,
    /// Factor on the weight of units beyond the reserve, within the volume's share, 0 to 1.
    pub shared_weight: f64,
    /// Factor on the weight of units beyond reserve and share, 0 to 1.
    pub spare_weight: f64,
    /// Shortest interval between two evaluations, ms.
    pub tick: Millis,
}

impl Settings {
    /// The tightest latency objective of a class, ms; infinite without a class.
    pub fn tightest_objective(&self) -> Millis {
        self.classes.iter().map(|class| class.latency_objective).fold(Millis::INFINITY, Millis::min)
    }

    /// The largest weight that a request may have, for its class and plan.
    pub fn max_priority_weight(&self) -> f64 {
        let priority_factor = self.plans.iter().map(|plan| plan.priority_factor).fold(0.0, f64::max);
        self.classes.iter().map(|class| class.priority_weight * priority_factor).fold(0.0, f64::max)
    }
}

/// A node's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Serving,
    /// Finishes its work; nothing new.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub readiness: Readiness,
    /// When its process started last, unless long past.
    pub started_at: Option<Millis>,
    /// Its nominal size relative to others; 0: not stated.
    pub size: f64,
    /// Unloaded service time of a unit there, ms, as an earlier process of this host learnt it; none:
    /// unknown.
    pub service_time: Option<Millis>,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard it holds.
    pub shard: ShardId,
}

/// How a list relates to the one that the module has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries.
    Changes,
    /// All entries; an absent node is gone.
    Full,
    /// The list as this host last saved it; may be stale.
    Cached,
    /// The call failed or the subscription dropped; nothing changes.
    Failed,
}

/// What became of a call of the discovery service, beside the list that it may bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCall {
    /// It was made.
    Started {
        /// How long the service may hold it until something changes (long poll), ms.
        long_poll: Millis,
    },
    /// Its response has begun to arrive and is not complete.
    ResponseBegan,
    /// The service, or something before it, answered that it cannot tell the list now.
    Rejected {
        /// How long after the call was made, ms.
        elapsed: Millis,
    },
    /// Its response was arriving so slowly that it was given up.
    Abandoned,
    /// It had no response: the service could not be reached, was silent, or the connection broke.
    Unanswered,
    /// The service is at another address from now on.
    ServiceMoved,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The plan of its volume.
    pub plan: PlanId,
    /// Its item of data, if it names one.
    pub key: Option<Key>,
    /// When the client stops waiting.
    pub expires_at: Millis,
    /// Its volume.
    pub volume: VolumeId,
    /// Units of work that it counts as.
    pub units: f64,
    /// The shard that holds its data; none: a new object.
    pub shard: Option<ShardId>,
    /// Initiators that share the volume.
    pub volume_initiators: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node returned an error; it may have been executed.
    Error,
    /// Rejected without being executed: the node's queue is full, or it drains.
    Rejected,
    /// No answer in time; it may still be executed.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// Connection lost; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, ms.
    pub latency: Millis,
    /// The request has its answer: nothing more is to be sent for it.
    pub is_final: bool,
}

/// What the scheduler is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// Entries of the endpoint list.
    EndpointList(ListScope, Vec<NodeEntry>),
    /// What became of a call of the discovery service, where the deployment has [`NotificationTerms`].
    DiscoveryCall(DiscoveryCall),
    /// A request arrived.
    RequestArrived(Arrival),
    /// A streamed answer started: the attempt belongs to the client now.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe of a node ended, well or not.
    ProbeEnded(NodeId, Outcome),
    /// Nobody waits for this request any more.
    ClientGone(RequestId),
    /// Settings that hold from now on, also for what is queued or in flight. Classes and plans keep their
    /// numbers.
    SettingsChanged(Box<Settings>),
    /// A timer fired, or all events of this moment have been handed in: evaluate.
    Evaluate,
}

/// What the scheduler wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// Its first byte must leave before this, or it ends as [`Outcome::NotSent`]: a connection may come
        /// up late.
        until: Millis,
    },
    /// Cancel an attempt; it ends as cancelled unless it ends otherwise first.
    Cancel {
        /// The request; it may be over.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Probe a node; one [`Event::ProbeEnded`] comes back.
    Probe {
        /// Which one.
        node: NodeId,
    },
    /// Final answer: rejected; it was not executed, or a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After, ms; 0: none.
        retry_after: Millis,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Hand in [`Event::Evaluate`] again after this long.
    SetTimer {
        /// How long from now, ms.
        after: Millis,
    },
    /// Poll the endpoint list.
    PollList,
}
