//! What follows from an agreement's settings, for operators.

/// What follows from the settings, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// T: how long two initiators may act on rules that contradict each other, ms. Leases end here before whoever
    /// gave them counts them as ended; what is left is a turn of the process in which a lease was good, and what a
    /// clock that runs twice as wrong as stated would add.
    pub contradiction_ms: f64,
    /// How long a change takes at most from its proposal until it is in force, with a leader, ms: a member that is
    /// cut off holds it up until its lease ends.
    pub passage_ms: f64,
    /// The same if the leader is lost meanwhile: another is elected, and waits for the leases of the one before.
    pub passage_without_leader_ms: f64,
}

/// The longest turn of a process, ms: from the check of a lease to the last byte that it lets go.
const TURN_MS: f64 = 100.0;

impl RolloutBounds {
    /// Of a lease, an election's time (ms) and a clocks' error.
    pub fn of(lease_ms: f64, clock_error: f64, election_ms: f64) -> RolloutBounds {
        let counted = lease_ms * (1.0 + 2.0 * clock_error);
        RolloutBounds {
            contradiction_ms: (TURN_MS + 2.0 * clock_error * lease_ms).ceil(),
            passage_ms: (counted + election_ms).ceil(),
            passage_without_leader_ms: (2.0 * counted + 4.0 * election_ms).ceil(),
        }
    }
}
