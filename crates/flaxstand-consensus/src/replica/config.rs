//! The configuration of a replica.

use flaxstand_proto::Micros;

/// Faults that tests inject to see that they would be caught. Never set in service.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// An entry of an earlier term counts as committed by the number of its holders.
    EarlierTermCommitted,
    /// Messages are sent before what they tell is durable.
    SentBeforeDurable,
    /// Votes are not written down.
    VoteNotPersisted,
    /// After a start a replica votes without asking whether a later incarnation was seen.
    StaleCopyVotes,
    /// A vote is granted to a candidate whose log is older.
    StaleLogElected,
    /// A leader that no majority answers goes on leading.
    QuorumCheckSkipped,
    /// Entries that do not follow the local log are appended all the same.
    LogGapAccepted,
    /// A version that is being rolled out is acted on alone at once.
    TransitionSkipped,
    /// A lease that has expired is acted on.
    LeaseExpiryIgnored,
    /// A lease counts from its response, not from its request.
    LeaseFromResponse,
    /// A new leader does not wait for leases that earlier leaders granted.
    EarlierLeadersIgnored,
    /// A member that has a lease and has not confirmed is not waited for.
    LeasesNotAwaited,
    /// An older replicated state takes the place of a newer one.
    OlderStateAccepted,
    /// What a member understood is not compared.
    DigestNotCompared,
}

/// The configuration of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name; one of `names`.
    pub name: String,
    /// Names of all replicas, the same and in the same order on each. The first of them bootstraps the
    /// cluster when all are new.
    pub names: Vec<String>,
    /// A replica that has had no contact with a leader for this long, and up to twice as long at random,
    /// campaigns.
    pub election_timeout: Micros,
    /// How often a leader sends heartbeats; a quarter of `election_timeout` or less, so that single losses do
    /// not start elections.
    pub heartbeat_interval: Micros,
    /// Seed of its random numbers; another one at each start, or two incarnations draw the same nonce.
    pub seed: u64,
    /// The owner's state that a new cluster begins with, bytes.
    pub initial_state: Vec<u8>,
    /// A fault that tests inject.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}
