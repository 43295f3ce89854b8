//! Clients of a flaxstand initiator that bound their own retries and reconnects, so that a crowd of them does
//! not overload an initiator that comes back.
//!
//! - [`client`]: the client without I/O; connection, pending requests and retry policy are private modules
//! - [`request`], [`answer`], [`config`]: what goes in, what comes out, and how the client behaves
//! - [`blocking`]: a driver that waits for each answer
//! - [`polled`]: a driver for a program's own event loop
//!
//! What a request is promised and when it is retried is in `docs/client.md`. An example runs with
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
