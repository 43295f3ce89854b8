//! Retry and reconnect storms: detecting them and shedding the load that they add. `docs/storms.md` describes
//! the policy. No I/O, no clock, no random source: times and draws are arguments.
//!
//! - [`retry_detection`]: is an attempt a first one, or a retry of one that was rejected or abandoned
//! - [`load_condition`]: is a volume's, a plan's or all load calm, a surge of new demand, or a retry storm
//! - [`retry_throttle`]: at what priority weight an attempt is admitted, and which retries are rejected
//! - [`connection_rate`]: how fast clients may connect
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
