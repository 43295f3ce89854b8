//! Client library for a flaxstand initiator. Clients bound their retries and reconnects, so that many of them
//! do not overload an initiator that restarts.
//!
//! - [`client`]: the client without I/O; connection, pending requests and retry policy are private modules
//! - [`request`], [`answer`], [`config`]: requests, final answers and the configuration
//! - [`blocking`]: a driver that blocks until each answer
//! - [`polled`]: a driver for an application's event loop
//!
//! The guarantees for requests and the retry rules are described in `docs/client.md`. Run the example with
//! `cargo run -p flaxstand-client --example checkout`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod answer;
mod backoff;
pub mod blocking;
pub mod client;
pub mod config;
mod connection;
mod jitter;
mod pending;
pub mod polled;
pub mod request;
mod retry;

pub use answer::{AbandonReason, AbandonedRequest, Answer, Completion};
pub use blocking::BlockingClient;
pub use client::{Client, Command};
pub use config::Config;
pub use flaxstand_proto::Micros;
pub use polled::{Address, PolledClient, Progress};
pub use request::{Request, RequestId, RetrySafety};
