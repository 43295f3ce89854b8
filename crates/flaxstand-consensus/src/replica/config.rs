//! What a keeper is told of itself and the others.

use flaxstand_proto::Micros;

/// Faults that tests plant to see that they would be caught. Never set in service.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// None.
    #[default]
    None,
    /// An entry of an earlier term counts as committed by the number of its holders.
    EarlierTermCommitted,
    /// Messages do not wait for the disk.
    ToldBeforeDurable,
    /// Votes are not written down.
    VoteNotWritten,
    /// After a start nobody is asked whether a later life was seen.
    OldCopyVotes,
    /// A vote is given to a candidate whose log is older.
    OlderLogElected,
    /// A leader that hears no majority stays.
    LeaderStaysAlone,
    /// An entry that does not fit what is here is taken all the same.
    GapTaken,
    /// A version that is under way is acted on alone at once.
    OneStep,
    /// A lease that ran out is acted on.
    LeaseNotChecked,
    /// A lease counts from its answer, not from when it was asked for.
    LeaseFromAnswer,
    /// A new leader does not wait for leases that others gave.
    StrangersIgnored,
    /// A member that has a lease and has not confirmed is not waited for.
    LeasesNotAwaited,
    /// An older book is taken in place of a newer.
    OlderBookTaken,
    /// What a member understood is not compared.
    DigestNotCompared,
}

/// What a keeper is told of itself and the others.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Names of all keepers. The first of them founds the agreement when all are new.
    pub names: Vec<String>,
    /// A keeper that hears no leader for this long, and up to twice as long by lot, wants to be elected.
    pub election: Micros,
    /// How often a leader speaks; a quarter of `election` or less.
    pub heartbeat: Micros,
    /// Seed of its random numbers; another one at each start.
    pub seed: u64,
    /// What a new agreement begins with.
    pub initial_state: Vec<u8>,
    /// A planted fault.
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}
