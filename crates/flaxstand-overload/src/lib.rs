//! Retry and reconnect storms. `docs/storms.md` says what is done and why. No I/O, no clock, no randomness
//! of its own: draws come in with the calls.
//!
//! - [`repeats`]: which try repeats one that was refused or given up
//! - [`weather`]: is this calm, a surge of real demand, or a storm, by plan and by volume, and why
//! - [`damper`]: what becomes of a repeat, and what wait is advised
//! - [`arrivals`]: clients that come, in bounded steps
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod damper;
pub mod repeats;
pub mod weather;

pub use arrivals::{ArrivalRules, Arrivals};
pub use damper::{Damper, Rules, Treatment};
pub use flaxstand_proto::Micros;
pub use repeats::{Judged, Kind, Repeats, Try};
pub use weather::{Scope, Weather, WeatherReport};
