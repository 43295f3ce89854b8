//! The decision module's interface: plain values, no transport. All times are milliseconds on one
//! clock that never goes back; all durations are milliseconds too.

/// A moment or a duration in milliseconds.
pub type Ms = f64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/// One try of a client.
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

/// Within which nodes repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every node.
    All,
    /// Nodes of one zone.
    Zone,
    /// Nodes that hold one shard.
    Cell,
}

/// Whether a request of a class may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Repeating is harmless.
    Repeatable,
    /// A group of nodes drops repeats for `window` after the first attempt that may have run.
    Keyed {
        /// Which nodes know of the first attempt.
        group: RepeatGroup,
        /// How long they remember it.
        window: Ms,
    },
    /// Must never run twice.
    Once,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this earns full worth.
    pub aim: Ms,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Ms,
    /// Share of the worth earned by an answer after the aim.
    pub late_value: f64,
    /// Worth of a request.
    pub worth: f64,
    /// May it run again.
    pub effect: Effect,
    /// Requests with one key take turns.
    pub in_order: bool,
}

/// A plan that volumes stand on; its figures count for a volume over all initiators.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second a volume is sized for.
    pub base_rate: f64,
    /// Units a second that earn full worth.
    pub reserve_rate: f64,
    /// Units a second at which the limit's store fills; 0: no limit.
    pub limit_rate: f64,
    /// Most units the limit's store holds.
    pub limit_burst: f64,
    /// Worth factor.
    pub price: f64,
}

/// The budget of attempts beyond each request's first.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Allowed however light the traffic.
    pub floor: f64,
    /// Allowed for each request taken.
    pub ratio: f64,
    /// How far back both counts look.
    pub span: Ms,
}

/// When a change of the node list binds an initiator that has not heard of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListTerms {
    /// So long after the list service had it and could be reached.
    pub told_within: Ms,
    /// So long after the initiator was told that the service is at another address.
    pub told_after_move: Ms,
    /// Requests may go to a node for so long after the change that drains it binds.
    pub drain_grace: Ms,
}

/// What a site tells an initiator when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many initiators there are.
    pub initiators: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of volumes.
    pub plans: Vec<Plan>,
    /// The list answers only when asked.
    pub list_on_request: bool,
    /// The initiator must have asked for the list within this.
    pub ask_within: Ms,
    /// When changes of the list bind; none: not stated, and no list is too old to act on.
    pub list_terms: Option<ListTerms>,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Attempts of one request that may be out at once, 1 or more.
    pub most_out: u32,
    /// An attempt that is out may be called off.
    pub may_cancel: bool,
    /// Nodes may be probed.
    pub may_probe: bool,
    /// Longest advised wait that clients honour; 0: advice does not reach them.
    pub max_retry_after: Ms,
    /// A node starts at this share of its capacity or more.
    pub cold_from: f64,
    /// A node is warm after this.
    pub cold_time: Ms,
    /// A cold node falls when sent more than this many times its present capacity
    pub fall_multiple: f64,
    /// for this long.
    pub fall_time: Ms,
    /// Units within `fall_time`, from all initiators, that a cold node always bears.
    pub cold_bears: f64,
    /// Rest of a key after an attempt that may still run.
    pub key_rest: Ms,
    /// Budget of further attempts, where one is stated.
    pub budget: Option<Budget>,
    /// Mean units of a request.
    pub unit_mean: f64,
    /// Most units of a request.
    pub unit_most: f64,
    /// Worth of units beyond the reserve, within the share.
    pub share_worth: f64,
    /// Worth of units beyond reserve and share.
    pub spare_worth: f64,
    /// Instances act at most this often.
    pub tick: Ms,
}

impl Settings {
    /// The tightest aim of a class, ms; infinite without a class.
    pub fn tightest_aim(&self) -> Ms {
        self.classes.iter().map(|class| class.aim).fold(Ms::INFINITY, Ms::min)
    }

    /// The most worth that a request may have, for its class and plan.
    pub fn most_worth(&self) -> f64 {
        let price = self.plans.iter().map(|plan| plan.price).fold(0.0, f64::max);
        self.classes.iter().map(|class| class.worth * price).fold(0.0, f64::max)
    }
}

/// A node's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Serving,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// An entry of the node list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub readiness: Readiness,
    /// Its latest start, unless long past.
    pub booted_at: Option<Ms>,
    /// Its nominal size, against others'; 0: not told.
    pub size: f64,
    /// Unloaded time of a unit there, ms, as an earlier life of this host learnt it; none: not known.
    pub pace: Option<Ms>,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard it holds.
    pub shard: ShardId,
}

/// How a list relates to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries.
    Changes,
    /// All entries; an absent node is gone.
    Full,
    /// The list as this host last held it; may be stale.
    Saved,
    /// The call failed or the subscription dropped; nothing changes.
    Failed,
}

/// What became of a call of the list service, beside the list that it may bring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListCall {
    /// It was made.
    Made {
        /// How long the service is asked to wait for a change.
        waits: Ms,
    },
    /// Its answer has begun to arrive and is not complete.
    AnswerBegan,
    /// The service answered that it cannot tell the list now.
    TurnedAway,
    /// It had no answer: the service could not be reached, was silent, or the connection broke.
    Unanswered,
    /// The service is at another address from now on.
    Moved,
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
    /// When the client gives this try up.
    pub valid_until: Ms,
    /// Its volume.
    pub volume: VolumeId,
    /// Units it counts.
    pub units: f64,
    /// The shard that holds its data; none: a new object.
    pub shard: Option<ShardId>,
    /// Initiators that share the volume.
    pub writers: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may run yet.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection lost; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub lag: Ms,
    /// The request is over.
    pub complete: bool,
}

/// What the brain is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Word of the node list.
    List(ListScope, Vec<NodeEntry>),
    /// What became of a call of the list service, where the deployment has [`ListTerms`].
    ListCall(ListCall),
    /// A request arrived.
    Arrived(Arrival),
    /// A streamed answer started: the attempt belongs to the client now.
    AnswerStarted(RequestId),
    /// An attempt ended.
    Ended(Ended),
    /// A probe of a node ended, well or not.
    Probed(NodeId, Outcome),
    /// Nobody waits for this request any more.
    ClientGone(RequestId),
    /// Rules that hold from now on, also for what is held or out. Classes and plans keep their numbers.
    Rules(Box<Settings>),
    /// A timer fired, or all that happened at this moment has been told: decide.
    Decide,
}

/// What the brain wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// Its first byte must leave before this, or it ends as [`Outcome::Moot`]: a connection may come up late.
        until: Ms,
    },
    /// Call an attempt off; it ends as cancelled unless it ends otherwise first.
    Cancel {
        /// The request; it may be over.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Probe a node; one `Probed` comes back.
    Probe {
        /// Which one.
        node: NodeId,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advised wait; 0: none.
        retry_after: Ms,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Say `Decide` again after this long.
    Wake {
        /// How long from now.
        after: Ms,
    },
    /// Subscribe to changes of the list.
    Subscribe,
}
