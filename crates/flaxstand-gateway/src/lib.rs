//! The initiator. [`core`] takes what happened and says what to do; it never touches a socket, a file or a
//! clock. [`driver`] runs any such [`machine::Machine`] on epoll; [`settings`] reads its files.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod core;
pub mod driver;
pub mod machine;
pub mod settings;
