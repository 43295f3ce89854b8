//! The initiators that a member may send its lease requests to, and the current choice.

use flaxstand_proto::Micros;
use tracing::debug;

/// Upstreams of a member.
#[derive(Debug)]
pub(super) struct Upstreams {
    names: Vec<String>,
    current: usize,
    /// Time of the last response, or of the switch to the current upstream.
    last_response_at: Micros,
}

impl Upstreams {
    /// The list starts with the initiators that have a replica, rotated by a hash of the member's own name
    /// to spread the load; neighbours follow, for members that reach no replica.
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

    /// Switches to the next upstream if the current one has not responded for `timeout`.
    pub(super) fn switch_if_unresponsive(&mut self, timeout: Micros, now: Micros) {
        if now.since(self.last_response_at) <= timeout {
            return;
        }
        self.current = (self.current + 1) % self.names.len().max(1);
        self.last_response_at = now;
        debug!(upstream = self.current(), "upstream did not respond; switching to the next one");
    }
}
