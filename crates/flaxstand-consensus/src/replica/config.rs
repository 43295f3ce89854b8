//! Configuration of a replica.

use flaxstand_proto::Micros;

/// Faults injected by tests to verify that the checks detect them. Never set in production.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// An entry of an earlier term is committed by counting its replicas.
    EarlierTermCommitted,
    /// Messages are sent before the state they depend on is durable.
    SentBeforeDurable,
    /// Votes are not persisted.
    VoteNotPersisted,
    /// A replica votes after a start without asking whether a later incarnation has been seen.
    StaleCopyVotes,
    /// A vote is granted to a candidate with an outdated log.
    StaleLogElected,
    /// A leader without contact with a majority does not step down.
    QuorumCheckSkipped,
    /// Entries are appended although the preceding entry is missing.
    LogGapAccepted,
    /// A version that is being rolled out takes effect without the transition stage.
    TransitionSkipped,
    /// An expired lease still counts as valid.
    LeaseExpiryIgnored,
    /// A lease is counted from its response instead of its request.
    LeaseFromResponse,
    /// A new leader does not wait for the leases of earlier leaders to expire.
    EarlierLeadersIgnored,
    /// A rollout does not wait for unconfirmed members that hold a lease.
    LeasesNotAwaited,
    /// An older replicated state replaces a newer one.
    OlderStateAccepted,
    /// The digest that a member confirms is not compared.
    DigestNotCompared,
}

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the replica; must be one of `names`.
    pub name: String,
    /// Names of all replicas, in the same order on each of them. The first one bootstraps the cluster when
    /// all are new.
    pub names: Vec<String>,
    /// Minimum time without contact with a leader before a replica starts an election. The actual time is
    /// random, up to twice this value.
    pub election_timeout: Micros,
    /// Interval between a leader's heartbeats; at most a quarter of `election_timeout`, so that single lost
    /// messages do not trigger elections.
    pub heartbeat_interval: Micros,
    /// Random seed; must differ at each start, or two incarnations draw the same nonce.
    pub seed: u64,
    /// Encoded application state of a new cluster.
    pub initial_state: Vec<u8>,
    /// Fault injected by tests.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}
