//! Limits and guarantees that an audit checks for a site. Durations are in microseconds.

/// Which nodes deduplicate requests with one idempotency key among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// Nodes of one zone.
    Zone,
    /// Nodes that hold one shard.
    Shard,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A second execution is harmless.
    Idempotent,
    /// Nodes of this scope drop a second request with the same key within this window, in microseconds.
    IdempotencyKey(DeduplicationScope, u64),
    /// Must never be executed twice.
    AtMostOnce,
}

/// Guarantees of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Whether its requests may be executed more than once.
    pub effect: Effect,
    /// Whether requests of one key are executed one after the other.
    pub in_order: bool,
    /// Whether its writes may be acknowledged before they are stored on their nodes.
    pub is_buffered: bool,
}

/// Rate limit of each of a plan's volumes, over all initiators.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanLimit {
    /// Units per second; 0: no limit.
    pub rate: f64,
    /// Largest burst, in units.
    pub burst: f64,
    /// Units by which the limit may be exceeded.
    pub slack: f64,
}

/// Load that a node tolerates while it is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRules {
    /// The node fails when it is sent more than this multiple of its current capacity within `window`.
    pub overload_multiple: f64,
    /// Length of the window in which the load is summed.
    pub window: u64,
    /// Units within `window` that the node always tolerates.
    pub min_units: f64,
}

/// Retry budget of an initiator.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetRules {
    /// Retries allowed regardless of the number of requests.
    pub floor: f64,
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Length of the window in which both are counted.
    pub window: u64,
}

/// Limits and guarantees of a site.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// Guarantees, indexed by class.
    pub classes: Vec<ClassRules>,
    /// Rate limits, indexed by plan.
    pub limits: Vec<PlanLimit>,
    /// Attempts of one request that may be in flight at once.
    pub max_concurrent_attempts: usize,
    /// How long an initiator may go on sending to a node after it was notified that the node is draining.
    pub drain_grace: u64,
    /// Load that nodes tolerate while they are warming up.
    pub slow_start: SlowStartRules,
    /// Cooldown of an ordered key after an attempt that may still be executed.
    pub key_cooldown: u64,
    /// Retry budget, if there is one.
    pub retry_budget: Option<RetryBudgetRules>,
    /// Longest time between the sending and the processing of a frame, scheduling delay of the receiver
    /// included. A frame sent this long before an event may be processed after it.
    pub transit: u64,
}

impl AuditRules {
    /// Guarantees of the class with this index.
    pub(crate) fn class(&self, class: u16) -> &ClassRules {
        &self.classes[usize::from(class)]
    }
}
