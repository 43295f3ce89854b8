//! The platform's names and units as typed values: requests of clients, responses of targets, listings of the
//! discovery service and the configuration of an initiator. No I/O, no decisions; it does not depend on the
//! gateway.
//!
//! - [`ClientRequest`]: a client's request, checked
//! - [`outcome_of`]: the outcome of an attempt by a target's response
//! - [`Listing`]: the list of targets, in full or changes; [`read_listing`] reads it entry by entry
//! - [`Configuration`], [`Params`]: the configuration and the settings in it
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answer;
mod configuration;
mod discovery;
mod request;
mod settings;

pub use answer::outcome_of;
pub use configuration::{Configuration, ConfigurationError, Limits};
pub use discovery::{
    EntryProblem, Listing, ListingError, ListingFault, LongPoll, MAX_PROBLEMS, ReadListing, Target,
    TargetState, list_call, read_listing,
};
pub use request::{BadRequest, ClientRequest, RequestLimits};
pub use settings::{NOTIFIED_AFTER_MOVE_MS, NOTIFIED_WITHIN_MS, Params, ParamsError};

/// Path of an initiator's readiness check.
pub const READY: &str = "/ready";
/// Path of a target's health check.
pub const HEALTH: &str = "/health";

/// Header fields to which the platform gives a meaning.
pub mod field {
    /// A request's id, new with every attempt of a client.
    pub const ID: &str = "X-Request-ID";
    /// Its class.
    pub const CLASS: &str = "X-Priority-Class";
    /// The plan of its volume.
    pub const PLAN: &str = "X-Qos-Policy";
    /// Seconds, with decimals, for which the client waits.
    pub const TIMEOUT: &str = "X-Timeout";
    /// Units, shard and hosts.
    pub const PLACEMENT: &str = "X-Placement";
    /// 1: a client's own retry, where clients mark them.
    pub const RETRIED: &str = "X-Retried";
    /// Idempotency key, of a class whose repeats are deduplicated.
    pub const KEY: &str = "Idempotency-Key";
    /// 1: the target has not run it.
    pub const NOT_RUN: &str = "X-Not-Processed";
}
