//! Faults and outages between hosts and the list service.

use super::simulation::Simulation;
use flaxstand_gateway::machine::Micros;

/// Maximum number of consecutive calls of a host that get no byte from the service. A host cannot tell a
/// longer series of network faults from an outage, during which it keeps using its list.
const MAX_CONSECUTIVE_UNRESPONSIVE: u32 = 2;

/// How the list service fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are accepted but never answered.
    Silent,
    /// New connections are refused and open ones are reset.
    Refused,
    /// Connections are accepted, and reset when a call arrives.
    Reset,
    /// Calls are accepted and rejected after up to a second.
    RejectsLate,
}

/// A network fault while the service is up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The connection is refused.
    ConnectRefused,
    /// The connection is never established.
    ConnectHangs,
    /// The connection is reset when the call arrives.
    Reset,
    /// The call is never answered.
    Silent,
    /// The response's first byte is delayed by up to this many milliseconds.
    FirstByteDelayed(f64),
    /// The response is slow, with pauses.
    SlowBody { bytes_per_second: f64, max_pause_ms: f64 },
    /// The response never ends.
    Endless,
    /// The connection is reset in the middle of the response.
    Truncated,
    /// The response uses chunked encoding.
    Chunked,
}

impl Fault {
    /// Returns whether the host receives no byte of a response.
    fn is_unresponsive(self) -> bool {
        matches!(self, Fault::ConnectRefused | Fault::ConnectHangs | Fault::Reset | Fault::Silent)
    }
}

/// A period in which calls are affected by a fault with a given probability.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    pub fault: Fault,
    pub from: Micros,
    pub to: Micros,
    pub probability: f64,
}

impl Simulation {
    /// Draws the fault, if any, that affects an operation of a host now, among those that satisfy `applies`.
    pub(super) fn fault(&mut self, host: usize, applies: impl Fn(Fault) -> bool) -> Option<Fault> {
        let unresponsive = self.hosts[host].unresponsive_calls;
        let fault = self.pick_fault(|fault| {
            applies(fault) && (!fault.is_unresponsive() || unresponsive < MAX_CONSECUTIVE_UNRESPONSIVE)
        });
        if fault.is_some_and(Fault::is_unresponsive) {
            self.hosts[host].unresponsive_calls += 1;
        }
        fault
    }

    fn pick_fault(&mut self, applies: impl Fn(Fault) -> bool) -> Option<Fault> {
        let now = self.now;
        for at in 0..self.day.faults.len() {
            let span = self.day.faults[at];
            let is_current = applies(span.fault) && now >= span.from && now < span.to;
            if is_current && self.random.chance(span.probability) {
                return Some(span.fault);
            }
        }
        None
    }
}
