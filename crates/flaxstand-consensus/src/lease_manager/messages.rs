//! Lease requests and responses. Postcard writes the fields in this order and without names.

use crate::replicated_state::IndexedState;
use serde::{Deserialize, Serialize};

/// A member asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The member's name.
    pub name: String,
    /// Which start of it.
    pub epoch: u64,
    /// The request's number among those of this start.
    pub seq: u64,
    /// Index of the replicated state that it has.
    pub state_index: u64,
    /// The stage that it acts on, with a lease or without.
    pub stage: u64,
    /// What that stage means to it ([`crate::replicated_state::ReplicatedState::digest`]).
    pub digest: u64,
    /// Why it can't act on the version that is being rolled out, in words for operators.
    pub unable_reason: Option<String>,
    /// It gives its lease back.
    pub releases_lease: bool,
}

/// The leader's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Name of the member that asked.
    pub name: String,
    /// Which start of it.
    pub epoch: u64,
    /// The request's number.
    pub seq: u64,
    /// How long the lease is, counted from the request, microseconds; none: it gets none now.
    pub lease: Option<u64>,
    /// The stage that the lease is for.
    pub stage: u64,
    /// The replicated state, where the member has an older one.
    pub newer_state: Option<IndexedState>,
}
