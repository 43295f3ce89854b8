//! flaxstand: a host-side scheduler for a shared disk pool.
//!
//! [`api`] is the interface (settings, events, actions, ids); [`scheduler`] processes events and returns
//! actions. Each rule is implemented in its own module, named after the decision it makes. No module does
//! I/O, reads a clock or keeps global state.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
pub mod api;
mod concurrency_limit;
mod deadlines;
mod dispatch;
mod endpoint_freshness;
mod endpoint_polling;
mod estimates;
mod evaluation_timer;
mod hedging;
mod in_flight;
mod key_order;
mod loss_detection;
mod node;
mod node_health;
mod placement;
mod random;
mod recent;
mod request;
mod request_table;
mod retries;
pub mod scheduler;
mod service_time;
mod slow_start;
