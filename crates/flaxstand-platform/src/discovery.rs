//! What discovery lists.

mod listing;
mod scanner;

pub use listing::{EntryProblem, ListingError, ListingFault, PROBLEMS_MOST, ReadListing, read_listing};

use serde::Deserialize;

/// The list of targets, whole or what has changed of it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// It is the whole list: a target that is absent is gone.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// An entry.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Target {
    /// Its name, the same for all initiators.
    pub uid: String,
    /// Where this initiator reaches it, `IP:PORT`.
    #[serde(default)]
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// The shard it holds.
    #[serde(default)]
    pub pod_group: u32,
    /// Its state.
    pub state: TargetState,
    /// Its size against others'; 0: not told.
    #[serde(default)]
    pub capacity_hint: f64,
    /// When it started, Unix time in ms; 0: long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Removed,
}

/// Path and query of a call: the whole list, or a wait of so many ms for what is newer than a version.
pub fn list_call(watch: Option<(u64, u64)>) -> String {
    match watch {
        None => "/v1/endpoints".into(),
        Some((since, wait)) => format!("/v1/endpoints?since={since}&timeout_ms={wait}"),
    }
}
