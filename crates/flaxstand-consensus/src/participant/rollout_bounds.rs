//! Time bounds of a rollout, derived from the lease and election settings, for operators.

/// Time bounds in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// T: maximum time for which two initiators may act on contradicting rules. Leases expire on the member
    /// before the leader counts them as expired; what remains is one event-loop iteration that started with
    /// a valid lease, plus the error of a clock that drifts by twice the configured value.
    pub contradiction_ms: f64,
    /// Maximum time from the proposal of a version until it is in force, with a stable leader. A
    /// partitioned member blocks the rollout until its lease expires.
    pub rollout_ms: f64,
    /// The same bound if the leader is lost during the rollout: a new leader is elected and waits for the
    /// leases of the previous one to expire.
    pub rollout_without_leader_ms: f64,
}

/// Maximum length of an event-loop iteration in milliseconds, from the check of a lease to the last byte
/// sent.
const MAX_ITERATION_MS: f64 = 100.0;

impl RolloutBounds {
    /// Computes the bounds from the lease length and the election time-out in milliseconds, and the maximum
    /// clock drift as a fraction of a lease.
    pub fn of(lease_ms: f64, clock_error: f64, election_ms: f64) -> RolloutBounds {
        let counted_lease_ms = lease_ms * (1.0 + 2.0 * clock_error);
        RolloutBounds {
            contradiction_ms: (MAX_ITERATION_MS + 2.0 * clock_error * lease_ms).ceil(),
            rollout_ms: (counted_lease_ms + election_ms).ceil(),
            rollout_without_leader_ms: (2.0 * counted_lease_ms + 4.0 * election_ms).ceil(),
        }
    }
}
