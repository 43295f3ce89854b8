//! Bounds that follow from the settings of leases and elections, for operators.

/// Bounds that follow from the settings, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// T: how long two initiators may act on rules that contradict each other. Leases end at the member
    /// before the leader counts them as ended; what is left is a turn of the process in which a lease was
    /// good, and what a clock that runs twice as wrong as stated would add.
    pub contradiction_ms: f64,
    /// How long a version takes at most from its proposal until it is in force, with a leader: a member that
    /// is cut off blocks it until its lease ends.
    pub rollout_ms: f64,
    /// The same if the leader is lost meanwhile: another is elected, and waits for leases of the one before.
    pub rollout_without_leader_ms: f64,
}

/// The longest turn of a process, milliseconds: from the check of a lease to the last byte that it sends.
const MAX_TURN_MS: f64 = 100.0;

impl RolloutBounds {
    /// The bounds for a lease's length and an election timeout, milliseconds, and the part of a lease by
    /// which clocks may differ.
    pub fn of(lease_ms: f64, clock_error: f64, election_ms: f64) -> RolloutBounds {
        let counted_lease_ms = lease_ms * (1.0 + 2.0 * clock_error);
        RolloutBounds {
            contradiction_ms: (MAX_TURN_MS + 2.0 * clock_error * lease_ms).ceil(),
            rollout_ms: (counted_lease_ms + election_ms).ceil(),
            rollout_without_leader_ms: (2.0 * counted_lease_ms + 4.0 * election_ms).ceil(),
        }
    }
}
