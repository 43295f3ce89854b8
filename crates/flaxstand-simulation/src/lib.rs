//! Test laboratory: emulated peers, each a [`flaxstand_gateway::machine::Machine`] that runs on the same
//! driver as the initiator: [`node`] with its resource [`model`], [`list`], and the clients of [`load`].
//!
//! A [`day`] describes the fleet, the traffic and the faults. [`rehearse`] plays it with real processes on
//! loopback, [`world`] in one process on virtual time. [`agreed`] checks days on which initiators run
//! consensus, with a [`relay`] on each link between them. [`swarm`] generates days and searches for one
//! that breaks a rule. [`experiment`] compares variants of the settings. [`measure`] measures the cost of
//! an initiator, [`scale`] the cost of each role as a fleet grows.
#![forbid(unsafe_code)]

pub mod agreed;
pub mod day;
pub mod experiment;
pub mod html;
pub mod list;
pub mod load;
pub mod measure;
pub mod measure_buffer;
pub mod model;
pub mod node;
pub mod press;
pub mod process;
pub mod recovery;
pub mod rehearse;
pub mod relay;
pub mod report;
pub mod scale;
pub mod script;
pub mod shell;
pub mod swarm;
pub mod world;

/// Returns a uniform random number in [0, 1).
pub fn random(rng: &mut impl rand_core::RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a uniform random number in a range.
pub(crate) fn between(rng: &mut impl rand_core::RngCore, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * random(rng)
}
