//! Detects retry and reconnect storms and sheds the load that they add. `docs/storms.md` describes the
//! policy. The crate does no I/O and has no clock or random source: times and jitter are arguments.
//!
//! - [`retry_detection`]: classifies an attempt as a first attempt or a retry
//! - [`load_condition`]: classifies the load of a volume, of a plan or overall as calm, surge or retry storm
//! - [`retry_throttle`]: chooses the priority weight of an attempt, and rejects retries during a storm
//! - [`connection_rate`]: limits the rate of new connections
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod connection_rate;
pub mod load_condition;
pub mod retry_detection;
pub mod retry_throttle;

pub use connection_rate::{ConnectionRateLimit, ConnectionRateLimiter};
pub use flaxstand_proto::Micros;
pub use load_condition::{LoadCondition, LoadConditionReport, Scope};
pub use retry_detection::{AttemptKind, ClientAttempt, RetryDetectionCounts, RetryDetector};
pub use retry_throttle::{RetryThrottle, RetryThrottleConfig, ThrottleDecision};
