//! Measures the cost of each role as a fleet grows. A run combines real processes with hollow initiators
//! (many in one process), both connected to an emulated list service with many nodes. `docs/scale.md`
//! describes how to use it and how to read its figures.
//!
//! - [`plan`]: the plan file of a run
//! - [`run`]: runs the steps of a plan; `schedule`: the timed actions of a step; `collect`: the final reports
//! - `participants`: the processes of a step and their settings
//! - `interrupt`: waits that end at SIGINT or SIGTERM
//! - [`node_list`], [`hollow`]: the emulated list service and the processes of hollow initiators
//! - [`process_usage`]: resource usage of a process; [`traffic`]: message and byte counts
//! - [`lags`]: delays until changes take effect; [`result`]: the report of a run

mod collect;
pub mod hollow;
mod interrupt;
pub mod lags;
pub mod node_list;
mod participants;
pub mod plan;
pub mod process_usage;
pub mod result;
pub mod run;
mod schedule;
pub mod traffic;
