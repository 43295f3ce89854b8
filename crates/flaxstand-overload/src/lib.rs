//! Retry and reconnect storms. `docs/storms.md` says what is done and why. No I/O, no clock, no randomness
//! of its own: draws come in with the calls.
//!
//! - [`retry_detection`]: which try repeats one that was refused or given up
//! - [`load_condition`]: is this calm, a surge of real demand, or a storm, by plan and by volume, and why
//! - [`retry_throttle`]: what becomes of a repeat, and what wait is advised
//! - [`connection_rate`]: clients that come, in bounded steps
#![forbid(unsafe_code)]

pub mod connection_rate;
pub mod load_condition;
pub mod retry_detection;
pub mod retry_throttle;

pub use connection_rate::{ConnectionRateLimit, ConnectionRateLimiter};
pub use flaxstand_proto::Micros;
pub use load_condition::{LoadCondition, LoadConditionReport, Scope};
pub use retry_detection::{AttemptCounts, AttemptKind, ClientAttempt, RetryDetector};
pub use retry_throttle::{RetryThrottle, RetryThrottleConfig, ThrottleDecision};
