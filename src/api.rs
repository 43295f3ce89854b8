//! Interface of the decision module: plain values, independent of transport. All times are milliseconds on
//! one monotonic clock; durations are milliseconds as well.

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/// A request of a client.
    RequestId, u64);
id!(/// A storage node, as named in the endpoint list.
    NodeId, u32);
id!(/// A volume.
    VolumeId, u64);
id!(/// The key of a data item.
    Key, u64);
id!(/// A partition of the data; served by one node at a time.
    ShardId, i64);
id!(/// Index into [`Settings::classes`].
    ClassId, usize);
id!(/// Index into [`Settings::plans`].
    PlanId, usize);
id!(/// A zone of the site.
    ZoneId, u32);
id!(/// Sequence number of an attempt within its request, starting at 0.
    AttemptNo, u32);

/// The set of nodes that share deduplication state for idempotency keys.
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
    /// Repeated execution has no further effect.
    Idempotent,
    /// Requests carry an idempotency key: nodes discard a duplicate that arrives within `window` after the
    /// first attempt that may have been executed.
    IdempotencyKey {
        /// The nodes that share deduplication state with the node of the first attempt.
        group: DeduplicationScope,
        /// How long those nodes retain the key, ms.
        window: Millis,
    },
    /// Must not be executed more than once.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency up to which a response has its full value, ms.
    pub latency_objective: Millis,
    /// The objective is extended by this multiple of the service time of the request.
    pub objective_stretch: f64,
    /// How long a client waits across all attempts, ms.
    pub deadline: Millis,
    /// Share of the value that a response has after the objective has passed, 0 to 1.
    pub late_value: f64,
    /// Weight of requests of this class relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// Requests with the same key are executed sequentially, in order of arrival.
    pub in_order: bool,
}

/// A service plan for volumes. Its rates apply to a volume across all initiators.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units per second that a volume is provisioned for.
    pub base_rate: f64,
    /// Units per second that have full weight.
    pub reserve_rate: f64,
    /// Refill rate of the limit's token bucket, units per second; 0: no limit.
    pub limit_rate: f64,
    /// Capacity of the token bucket, units.
    pub limit_burst: f64,
    /// Factor on the priority weight of requests.
    pub priority_factor: f64,
}

/// Budget for retries, that is, for all attempts after the first of each request.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Minimum number of retries allowed, regardless of traffic.
    pub floor: f64,
    /// Additional retries allowed per request that arrived.
    pub ratio: f64,
    /// Length of the sliding window in which arrivals and retries are counted, ms.
    pub span: Millis,
}

/// When a change of the endpoint list takes effect for an initiator that has not been notified of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NotificationTerms {
    /// Time after the discovery service had the change and was reachable, ms.
    pub notified_within: Millis,
    /// Time after the initiator was notified that the service moved to another address, ms.
    pub notified_after_move: Millis,
    /// How long requests may still be sent to a node after the change that drains it takes effect, ms.
    pub drain_grace: Millis,
}

/// The settings of an initiator, from the configuration of its site.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of initiators.
    pub initiators: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of volumes.
    pub plans: Vec<Plan>,
    /// Whether the endpoint list is polled; otherwise it is pushed.
    pub polls_list: bool,
    /// Time within which the initiator must have polled the list, ms.
    pub poll_within: Millis,
    /// When changes of the list take effect. `None`: not specified, and the list never expires.
    pub notification_terms: Option<NotificationTerms>,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of attempts of one request in flight at once, 1 or more; above 1, requests may be
    /// hedged.
    pub max_concurrent_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether nodes may be probed by health checks.
    pub may_probe: bool,
    /// Longest Retry-After that clients honour, ms; 0: rejections carry no Retry-After.
    pub max_retry_after: Millis,
    /// Share of its full capacity that a node has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// Time from the start of a node until it reaches full capacity, ms.
    pub warm_up_time: Millis,
    /// A node that is warming up fails if all initiators together send it more than this multiple of its
    /// current capacity within `slow_start_window`.
    pub overload_multiple: f64,
    /// Window over which the load of a node that is warming up is measured, ms.
    pub slow_start_window: Millis,
    /// Units within `slow_start_window`, from all initiators, that a node that is warming up can always
    /// handle.
    pub slow_start_min_units: f64,
    /// Cooldown of an ordered key after an attempt that may still be executing, ms.
    pub key_cooldown: Millis,
    /// Retry budget, if one is configured.
    pub retry_budget: Option<RetryBudget>,
    /// Mean number of units per request.
    pub mean_units: f64,
    /// Maximum number of units per request.
    pub max_units: f64,
    /// Factor on the weight of units beyond the reserve while the volume stays within its base rate, 0 to 1.
    pub shared_weight: f64,
    /// Factor on the weight of units beyond both the reserve and the base rate, 0 to 1.
    pub spare_weight: f64,
    /// Minimum interval between two evaluations, ms.
    pub tick: Millis,
}

impl Settings {
    /// Returns the tightest latency objective of all classes, ms; infinite if there are no classes.
    pub fn tightest_objective(&self) -> Millis {
        self.classes.iter().map(|class| class.latency_objective).fold(Millis::INFINITY, Millis::min)
    }

    /// Returns the largest weight that any combination of class and plan gives a request.
    pub fn max_priority_weight(&self) -> f64 {
        let priority_factor = self.plans.iter().map(|plan| plan.priority_factor).fold(0.0, f64::max);
        self.classes.iter().map(|class| class.priority_weight * priority_factor).fold(0.0, f64::max)
    }
}

/// Readiness of a node according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts requests.
    Serving,
    /// Completes requests in flight and accepts no new ones.
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
    /// When its process last started; `None` if that was long ago.
    pub started_at: Option<Millis>,
    /// Its nominal size relative to other nodes; 0: not specified.
    pub size: f64,
    /// Service time of a unit without queueing, ms, as measured by an earlier process of this host; `None`:
    /// unknown.
    pub service_time: Option<Millis>,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it serves.
    pub shard: ShardId,
}

/// How a received list relates to the current list of the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only entries that changed.
    Changes,
    /// All entries; nodes that are absent from it have been removed.
    Full,
    /// The list that this host last persisted; may be stale.
    Cached,
    /// The call failed or the subscription was interrupted; the list is unchanged.
    Failed,
}

/// Progress or result of a call to the discovery service, apart from any list that it returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCall {
    /// The call was sent.
    Started {
        /// How long the service may delay its response until the list changes (long poll), ms.
        long_poll: Millis,
    },
    /// The first bytes of the response arrived; the response is incomplete.
    ResponseBegan,
    /// The service, or a proxy in front of it, responded that the list is currently unavailable.
    Rejected {
        /// Time since the call was sent, ms.
        elapsed: Millis,
    },
    /// The response arrived too slowly and was abandoned.
    Abandoned,
    /// No response: the service was unreachable or did not answer, or the connection broke.
    Unanswered,
    /// The service moved to another address.
    ServiceMoved,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The service plan of its volume.
    pub plan: PlanId,
    /// The key of its data item, if it names one.
    pub key: Option<Key>,
    /// When the client stops waiting.
    pub expires_at: Millis,
    /// Its volume.
    pub volume: VolumeId,
    /// Its cost in units of work.
    pub units: f64,
    /// The shard that holds its data; `None`: a new object.
    pub shard: Option<ShardId>,
    /// Number of initiators that share the volume.
    pub volume_initiators: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node returned an error; the request may have been executed.
    Error,
    /// Rejected without being executed: the queue of the node is full, or the node is draining.
    Rejected,
    /// Timed out; the request may still be executed.
    TimedOut,
    /// The connection could not be established; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// Cancelled; the request may have been executed.
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
    /// Time since the attempt was sent, ms.
    pub latency: Millis,
    /// Whether the request is complete and needs no further attempt.
    pub is_final: bool,
}

/// Input events of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Entries of the endpoint list.
    EndpointList(ListScope, Vec<NodeEntry>),
    /// Progress or result of a call to the discovery service, where the deployment specifies
    /// [`NotificationTerms`].
    DiscoveryCall(DiscoveryCall),
    /// A request arrived.
    RequestArrived(Arrival),
    /// Streaming of the response to the client started; the scheduler must neither cancel nor answer the
    /// request any more.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe of a node ended, successfully or not.
    ProbeEnded(NodeId, Outcome),
    /// The client of this request disconnected.
    ClientDisconnected(RequestId),
    /// New settings. They also apply to requests that are queued or in flight. The indices of classes and
    /// plans stay the same.
    SettingsChanged(Box<Settings>),
    /// A timer fired, or all events of the current batch have been delivered: evaluate.
    Evaluate,
}

/// Actions that the scheduler requests, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The destination.
        node: NodeId,
        /// Its first byte must be written before this time, or the attempt ends as [`Outcome::NotSent`]:
        /// establishing a connection may take too long.
        until: Millis,
    },
    /// Cancel an attempt. It ends as cancelled unless another outcome comes first.
    Cancel {
        /// The request; it may already have ended.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Probe a node. Exactly one [`Event::ProbeEnded`] follows.
    Probe {
        /// Which one.
        node: NodeId,
    },
    /// Final response: rejected. The request was not executed, or a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After, ms; 0: none.
        retry_after: Millis,
    },
    /// Final response: failed. The request may or may not have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Deliver [`Event::Evaluate`] again after this delay.
    SetTimer {
        /// Delay from now, ms.
        after: Millis,
    },
    /// Poll the endpoint list.
    PollList,
}
