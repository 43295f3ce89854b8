//! flaxstand: a host-side scheduler for a shared disk pool.
//!
//! [`api`] is the interface (settings, events, actions, ids); [`scheduler`] holds every decision, but for how long
//! the node list may be acted on, which is decided in `list_freshness`.
//! Neither does I/O, reads a clock or keeps global state.
#![forbid(unsafe_code)]

pub mod api;
mod list_freshness;
pub mod scheduler;
