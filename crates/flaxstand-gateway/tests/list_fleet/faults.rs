//! What goes wrong between hosts and the list service, and when.

use super::simulation::Simulation;
use flaxstand_gateway::machine::Micros;

/// So many calls of a host in a row may fail without a byte from the service: after more of them nobody could tell a
/// fault of the way from an outage, in which service goes on.
const LIFELESS_IN_A_ROW: u32 = 2;

/// How the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are accepted, and nothing is ever said on them.
    Silent,
    /// Connections are refused, and those that are open reset.
    Refused,
    /// Connections are accepted, and reset when a call comes.
    Reset,
    /// Calls are accepted, wait for up to a second and are turned away.
    TurnsAwayLate,
}

/// A fault of the way, while the service is up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A connection is refused.
    DialRefused,
    /// A connection never comes up.
    DialLost,
    /// The connection is reset as the call arrives.
    Reset,
    /// Nothing is ever said on the call.
    Silent,
    /// The answer's first byte is so late, ms.
    FirstByteLate(f64),
    /// The answer comes slowly, and with pauses of up to so many ms.
    SlowBody { bytes_per_second: f64, pause_most: f64 },
    /// The answer has no end.
    Endless,
    /// The connection is reset in the middle of the answer.
    CutOff,
    /// The answer comes in chunks.
    Chunked,
}

impl Fault {
    /// No byte of the service reaches the host.
    fn is_lifeless(self) -> bool {
        matches!(self, Fault::DialRefused | Fault::DialLost | Fault::Reset | Fault::Silent)
    }
}

/// A time in which a part of the calls meets a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    pub fault: Fault,
    pub from: Micros,
    pub to: Micros,
    pub part: f64,
}

impl Simulation {
    /// Draws a fault of this moment that `concerns` what a host does.
    pub(super) fn fault(&mut self, host: usize, concerns: impl Fn(Fault) -> bool) -> Option<Fault> {
        let lifeless = self.hosts[host].lifeless_calls;
        let fault = self
            .draw_fault(|fault| concerns(fault) && (!fault.is_lifeless() || lifeless < LIFELESS_IN_A_ROW));
        if fault.is_some_and(Fault::is_lifeless) {
            self.hosts[host].lifeless_calls += 1;
        }
        fault
    }

    fn draw_fault(&mut self, concerns: impl Fn(Fault) -> bool) -> Option<Fault> {
        let now = self.now;
        for at in 0..self.day.faults.len() {
            let span = self.day.faults[at];
            let holds = concerns(span.fault) && now >= span.from && now < span.to;
            if holds && self.draw.chance(span.part) {
                return Some(span.fault);
            }
        }
        None
    }
}
