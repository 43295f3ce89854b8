//! The platform's names and units as typed values: what clients ask, what targets answer, what discovery
//! lists, what an initiator is told at its start. No I/O, no decisions; it knows no core.
//!
//! - [`ClientRequest`]: a client's request, checked
//! - [`outcome_of`]: what a target's answer says of an attempt
//! - [`Listing`]: the list of targets, whole or changes; [`read_listing`] reads it entry by entry
//! - [`Configuration`], [`Params`]: the configuration and the settings in it
#![forbid(unsafe_code)]

mod answer;
mod configuration;
mod discovery;
mod request;
mod settings;

pub use answer::outcome_of;
pub use configuration::{Configuration, ConfigurationError, Limits};
pub use discovery::{
    EntryProblem, Listing, ListingError, ListingFault, PROBLEMS_MOST, ReadListing, Target, TargetState,
    list_call, read_listing,
};
pub use request::{BadRequest, ClientRequest, Terms};
pub use settings::{Params, TOLD_AFTER_MOVE_MS, TOLD_WITHIN_MS};

/// Asked by whoever wants to know whether an initiator may be used.
pub const READY: &str = "/ready";
/// Asked of a target as a probe.
pub const HEALTH: &str = "/health";

/// Fields of heads that carry the platform's meaning.
pub mod field {
    /// A request's id, new with every try of a client.
    pub const ID: &str = "X-Request-ID";
    /// Its class.
    pub const CLASS: &str = "X-Priority-Class";
    /// The plan of its volume.
    pub const PLAN: &str = "X-Qos-Policy";
    /// Seconds, with decimals, for which the sender waits.
    pub const TIMEOUT: &str = "X-Timeout";
    /// Units, shard and hosts.
    pub const PLACEMENT: &str = "X-Placement";
    /// 1: a client's own retry, where clients mark them.
    pub const RETRIED: &str = "X-Retried";
    /// Key of a class whose repeats are dropped.
    pub const KEY: &str = "Idempotency-Key";
    /// 1: the target has not run it.
    pub const NOT_RUN: &str = "X-Not-Processed";
}
