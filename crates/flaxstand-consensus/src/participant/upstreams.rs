//! The initiators that a member may send its lease requests to, and the one that it uses.

use flaxstand_proto::Micros;
use tracing::debug;

/// A member's upstreams.
#[derive(Debug)]
pub(super) struct Upstreams {
    names: Vec<String>,
    current: usize,
    /// When the current one responded last, or was chosen.
    last_response_at: Micros,
}

impl Upstreams {
    /// Initiators with a replica, of which members choose their first by a hash of their own name, so that
    /// they spread over all; then neighbours, for a member that reaches no replica.
    pub(super) fn new(own_name: &str, voters: &[String], neighbours: &[String], now: Micros) -> Upstreams {
        let others = |names: &[String]| -> Vec<String> {
            names.iter().filter(|name| *name != own_name).cloned().collect()
        };
        let mut names = others(voters);
        let hash = own_name.bytes().fold(0usize, |sum, byte| sum.wrapping_mul(31) + usize::from(byte));
        let first = hash % names.len().max(1);
        names.rotate_left(first);
        names.extend(others(neighbours));
        Upstreams { names, current: 0, last_response_at: now }
    }

    pub(super) fn current(&self) -> Option<&String> {
        self.names.get(self.current)
    }

    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// Goes on to the next upstream if the current one has not responded for `timeout`.
    pub(super) fn leave_unresponsive(&mut self, timeout: Micros, now: Micros) {
        if now.since(self.last_response_at) <= timeout {
            return;
        }
        self.current = (self.current + 1) % self.names.len().max(1);
        self.last_response_at = now;
        debug!(upstream = self.current(), "another upstream");
    }
}
