//! Endpoint listings of the discovery service.

mod listing;
mod scanner;

pub use listing::{
    InvalidEntry, ListingError, ListingErrorKind, MAX_REPORTED_ENTRIES, ParsedListing, parse_bounded_listing,
    parse_listing,
};

use serde::Deserialize;

/// The list of targets, or changes to it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listing {
    /// Revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether this is the full list: targets that it does not contain are removed.
    #[serde(rename = "all")]
    pub is_full: bool,
    /// Entries of the list.
    pub targets: Vec<Target>,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// Name of the target, the same for all initiators.
    pub uid: String,
    /// Address at which this initiator reaches the target, `IP:PORT`.
    #[serde(default, rename = "endpoint")]
    pub address: String,
    /// Zone of the target.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The shard that the target holds.
    #[serde(default, rename = "pod_group")]
    pub shard: u32,
    /// State of the target.
    pub state: TargetState,
    /// Capacity relative to other targets; 0 if not specified.
    #[serde(default, rename = "capacity_hint")]
    pub size: f64,
    /// Start time, Unix time in ms; 0 if the target has been running for a long time.
    #[serde(default, rename = "boot_ms")]
    pub started_at_ms: u64,
}

/// State of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target accepts requests.
    Up,
    /// The target finishes its pending requests and accepts no new ones.
    Draining,
    /// The target is removed.
    Removed,
}

/// A long poll for changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    /// Revision of the list that the caller holds.
    pub since_revision: u64,
    /// Maximum time for which the service waits for changes, ms.
    pub timeout_ms: u64,
}

/// Returns the HTTP request target of a call: a long poll, or a request for the full list.
pub fn list_request_target(long_poll: Option<LongPoll>) -> String {
    match long_poll {
        None => "/v1/endpoints".into(),
        Some(LongPoll { since_revision, timeout_ms }) => {
            format!("/v1/endpoints?since={since_revision}&timeout_ms={timeout_ms}")
        }
    }
}
