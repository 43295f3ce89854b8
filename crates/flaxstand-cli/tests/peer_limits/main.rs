//! An initiator process stays within its limits, and serves its other peers, whatever some peers do. Real
//! processes over loopback, with the limits of memory and descriptors in their configuration.

mod client;
#[path = "../common/mod.rs"]
mod common;
mod departed_clients;
mod initiator;
mod isolation;
mod memory;
mod node;
mod soak;
