//! Calls to storage nodes. A handshake costs a node work, and a node that has just started bears little: of
//! the hosts that would call it at once each waits for a moment of its own, within a time in which the node
//! bears all their handshakes.

use flaxstand_proto::Micros;

/// When hosts call a node that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pacer {
    /// Hosts that may call it.
    pub hosts: f64,
    /// This host's place among them in time, 0 to 1: drawn once, at its start.
    pub phase: f64,
    /// Handshakes a second that a node bears once warm.
    pub bears: f64,
}

impl Pacer {
    /// How long this host waits before it calls a node that has so large a part of its capacity (0 to 1).
    /// Warm nodes are called at once.
    pub fn wait(&self, warmth: f64) -> Micros {
        if warmth >= 1.0 {
            return Micros(0);
        }
        let within = self.hosts.max(1.0) / (self.bears.max(1e-3) * warmth.clamp(0.01, 1.0));
        Micros::from_ms(1000.0 * within * self.phase.clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_calls_of_all_hosts_are_spread_over_what_the_node_bears() {
        let waits: Vec<f64> = (0..243)
            .map(|n| Pacer { hosts: 243.0, phase: (n as f64 + 0.5) / 243.0, bears: 1000.0 }.wait(0.2).ms())
            .collect();
        // 243 handshakes at a fifth of 1000 a second: 1.2 s, and never more than its rate in a window.
        assert!((1200.0..1230.0).contains(&waits[242]), "{}", waits[242]);
        for from in &waits {
            let within = waits.iter().filter(|w| **w >= *from && **w < from + 100.0).count();
            assert!(within <= 21, "{within} calls within 100 ms");
        }
        assert_eq!(Pacer { hosts: 243.0, phase: 0.9, bears: 1000.0 }.wait(1.0), Micros(0));
        assert_eq!(Pacer { hosts: 1.0, phase: 0.0, bears: 1000.0 }.wait(0.2), Micros(0));
    }
}
