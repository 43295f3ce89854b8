//! The initiator. [`core`] is a state machine that handles events and emits commands, without access to
//! sockets, files or clocks. [`driver`] runs any such [`machine::Machine`] on epoll; [`settings`] reads the
//! settings files.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod core;
pub mod driver;
pub mod machine;
pub mod settings;
