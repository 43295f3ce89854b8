//! What the rules ask at a site. Durations are microseconds.

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
    /// Nodes of this scope drop a second request with the same key for so many microseconds.
    IdempotencyKey(DeduplicationScope, u64),
    /// Must never be executed twice.
    AtMostOnce,
}

/// What is asked of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Whether its requests may be executed more than once.
    pub effect: Effect,
    /// Requests of one key are executed one after the other.
    pub in_order: bool,
    /// Its writes may be acknowledged before they are on their nodes.
    pub is_buffered: bool,
}

/// The limit of a plan's volumes over all initiators.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanLimit {
    /// Units a second; 0: no limit.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
    /// Units by which the limit may be passed.
    pub slack: f64,
}

/// What a node that is warming up bears.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRules {
    /// It fails when it is sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// within this window.
    pub window: u64,
    /// Units within the window that it always bears.
    pub min_units: f64,
}

/// The budget of an initiator's retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetRules {
    /// Retries allowed however light the traffic.
    pub floor: f64,
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Length of the window in which both are counted.
    pub window: u64,
}

/// What the rules ask at a site.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// By class.
    pub classes: Vec<ClassRules>,
    /// By plan.
    pub limits: Vec<PlanLimit>,
    /// Attempts of a request that may be in flight at once.
    pub max_concurrent_attempts: usize,
    /// So long after it was notified of a drain may an initiator send to the node.
    pub drain_grace: u64,
    /// What nodes that are warming up bear.
    pub slow_start: SlowStartRules,
    /// Pause of an ordered key after an attempt that may still be executed.
    pub key_cooldown: u64,
    /// The budget of retries, where there is one.
    pub retry_budget: Option<RetryBudgetRules>,
    /// How long a frame may be under way, and a process wait for its turn: what was written so long before
    /// a moment may arrive after it.
    pub transit: u64,
}

impl AuditRules {
    /// Rules of a class, by its index.
    pub(crate) fn class(&self, class: u16) -> &ClassRules {
        &self.classes[usize::from(class)]
    }
}
