//! Majorities among the voters.

use crate::replica_id::ReplicaId;

/// Whether the predicate holds for a majority of the voters.
pub(super) fn is_majority(voters: &[ReplicaId], has: impl Fn(&ReplicaId) -> bool) -> bool {
    voters.iter().filter(|voter| has(voter)).count() > voters.len() / 2
}

/// The greatest value that a majority of the voters has reached; `None` without voters.
pub(super) fn majority_value<T: Ord + Copy>(
    voters: &[ReplicaId],
    value: impl Fn(&ReplicaId) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
