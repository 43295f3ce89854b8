//! Lease requests and responses. Postcard encodes the fields in this order without names.

use crate::replicated_state::IndexedState;
use serde::{Deserialize, Serialize};

/// A member's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the member.
    pub name: String,
    /// Epoch of the member: increases with each of its starts.
    pub epoch: u64,
    /// Sequence number of the request within the epoch.
    pub seq: u64,
    /// Index of the member's copy of the replicated state.
    pub state_index: u64,
    /// The stage that the member acts on, with or without a lease.
    pub stage: u64,
    /// Digest of that stage as the member interprets it
    /// ([`crate::replicated_state::ReplicatedState::digest`]).
    pub digest: u64,
    /// Why the member can't act on the version that is being rolled out, for operators.
    pub unable_reason: Option<String>,
    /// Whether the member releases its lease.
    pub releases_lease: bool,
}

/// The leader's response to a lease request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Name of the requesting member.
    pub name: String,
    /// Epoch of the requesting member.
    pub epoch: u64,
    /// Sequence number of the request.
    pub seq: u64,
    /// Length of the lease in microseconds, counted from the request; `None` if no lease is granted.
    pub lease: Option<u64>,
    /// The stage that the lease is for.
    pub stage: u64,
    /// The replicated state, if the member's copy is older.
    pub newer_state: Option<IndexedState>,
}
