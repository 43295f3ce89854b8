//! Typed representations of the platform's messages: client requests, target responses, listings of the
//! discovery service and the configuration of an initiator. The crate performs no I/O, makes no scheduling
//! decisions and does not depend on the gateway.
//!
//! - [`ClientRequest`]: a validated client request
//! - [`attempt_outcome`]: maps a target's response to the outcome of an attempt
//! - [`Listing`]: the list of targets or changes to it; [`parse_listing`] parses it entry by entry
//! - [`Configuration`], [`Params`]: the configuration file and the settings that it contains
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod configuration;
mod discovery;
mod request;
mod settings;
mod target_response;

pub use configuration::{Configuration, ConfigurationError, Limits};
pub use discovery::{
    InvalidEntry, Listing, ListingError, ListingErrorKind, LongPoll, MAX_REPORTED_ENTRIES, ParsedListing,
    Target, TargetState, list_request_target, parse_bounded_listing, parse_listing,
};
pub use request::{BadRequest, ClientRequest, RequestLimits};
pub use settings::{NOTIFIED_AFTER_MOVE_MS, NOTIFIED_WITHIN_MS, Params, ParamsError};
pub use target_response::attempt_outcome;

/// Path of an initiator's readiness check.
pub const READY_PATH: &str = "/ready";
/// Path of a target's health check.
pub const HEALTH_PATH: &str = "/health";

/// Names of the header fields that the platform defines or uses.
pub mod field {
    /// Request id, different for every attempt of a client.
    pub const ID: &str = "X-Request-ID";
    /// Class of the request.
    pub const CLASS: &str = "X-Priority-Class";
    /// Plan of the request's volume.
    pub const PLAN: &str = "X-Qos-Policy";
    /// Time-out of the client, decimal seconds.
    pub const TIMEOUT: &str = "X-Timeout";
    /// Units, shard and number of hosts: `units=`, `shard=` and `hosts=`.
    pub const PLACEMENT: &str = "X-Placement";
    /// Set to `1` on retries by clients that mark them.
    pub const RETRIED: &str = "X-Retried";
    /// Idempotency key, for classes whose requests are deduplicated by key.
    pub const KEY: &str = "Idempotency-Key";
    /// Set to `1` in the response if the target did not execute the request.
    pub const NOT_PROCESSED: &str = "X-Not-Processed";
}
