//! Clients of a flaxstand initiator that make no storms.
//!
//! - [`core`]: the client without I/O: calls, tries, waits, budgets, one connection for all calls
//! - [`blocking`]: a face that waits for each answer
//! - [`polled`]: a face for a program's own event loop
//!
//! What a call is promised and when it is tried again is in `docs/client.md`. An example runs with
//! `cargo run -p flaxstand-client --example checkout`.
#![forbid(unsafe_code)]

pub mod blocking;
pub mod core;
pub mod polled;
mod retry;

pub use crate::core::{Answer, Call, CallId, Client, Command, Config, Done, GaveUp, Safety, Why};
pub use blocking::Blocking;
pub use flaxstand_proto::Micros;
pub use polled::Polled;
