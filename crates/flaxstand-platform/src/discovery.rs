//! Listings of the discovery service.

mod listing;
mod scanner;

pub use listing::{EntryProblem, ListingError, ListingFault, MAX_PROBLEMS, ReadListing, read_listing};

use serde::Deserialize;

/// The list of targets, in full or what has changed of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listing {
    /// Its revision.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// It is the full list: a target that is absent is removed.
    #[serde(rename = "all")]
    pub is_full: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// Its name, the same for all initiators.
    pub uid: String,
    /// Where this initiator reaches it, `IP:PORT`.
    #[serde(default, rename = "endpoint")]
    pub address: String,
    /// Its zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The shard that it holds.
    #[serde(default, rename = "pod_group")]
    pub shard: u32,
    /// Its state.
    pub state: TargetState,
    /// Its size against others'; 0: not stated.
    #[serde(default, rename = "capacity_hint")]
    pub size: f64,
    /// When it started, Unix time in ms; 0: long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_at_ms: u64,
}

/// Whether a target takes requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It does.
    Up,
    /// It finishes what it has, and takes no more.
    Draining,
    /// It is no longer there.
    Removed,
}

/// A long poll for what is newer than a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    /// Revision of the list that the caller has.
    pub since_revision: u64,
    /// How long the service may wait for changes, ms.
    pub timeout_ms: u64,
}

/// Path and query of a call: of the full list, or a long poll.
pub fn list_call(long_poll: Option<LongPoll>) -> String {
    match long_poll {
        None => "/v1/endpoints".into(),
        Some(LongPoll { since_revision, timeout_ms }) => {
            format!("/v1/endpoints?since={since_revision}&timeout_ms={timeout_ms}")
        }
    }
}
