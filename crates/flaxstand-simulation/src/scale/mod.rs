//! What each role costs as a fleet grows: hollow initiators beside real processes, before a list service with many
//! nodes. `docs/scale.md` tells how it is used and what its figures mean.
//!
//! - [`plan`]: the file of a run; [`run`]: its steps; `schedule`: what is done when in a step; `collect`: the reports at its end
//! - `participants`: processes and their settings; `interrupt`: waits that end at Ctrl-C
//! - [`node_list`], [`hollow`]: the processes that are emulated or hold many initiators
//! - [`account`]: what the system says of a process; [`traffic`]: messages and bytes; [`lags`]: times until changes
//!   are in force; [`result`]: all figures

pub mod account;
mod collect;
pub mod hollow;
mod interrupt;
pub mod lags;
pub mod node_list;
mod participants;
pub mod plan;
pub mod result;
pub mod run;
mod schedule;
pub mod traffic;
