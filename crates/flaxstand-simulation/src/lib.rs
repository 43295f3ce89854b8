//! The laboratory. Emulated peers, each a [`flaxstand_gateway::machine::Machine`] that the same driver
//! runs as the initiator: [`node`] on its [`model`], [`list`], and the clients of [`load`]. A [`day`] says
//! what there is and what goes wrong; [`rehearse`] plays it with real processes on loopback, [`world`] in one process on virtual time;
//! [`agreed`] is about days on which initiators agree, with a [`relay`] on each link between them;
//! [`swarm`] looks for
//! a day on which something breaks, [`experiment`] tells what a change does; [`measure`] tells what an initiator costs,
//! [`scale`] what each role costs as a fleet grows.
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

/// A draw from 0 to 1.
pub fn random(rng: &mut impl rand_core::RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A draw from a range.
pub(crate) fn between(rng: &mut impl rand_core::RngCore, (low, high): (f64, f64)) -> f64 {
    low + (high - low) * random(rng)
}
