//! Reads the `bounds` block.

use super::reader::Block;
use crate::core::Bounds;
use flaxstand_overload::ConnectionRateLimit;

pub(super) fn read_bounds(block: &Block<'_>) -> Bounds {
    let defaults = Bounds::default();
    let integer = |key, default: usize| block.integer(key, 1..=1 << 40, Some(default as u64)) as usize;
    let bounds = Bounds {
        max_clients: integer("clients", defaults.max_clients),
        max_requests: integer("held", defaults.max_requests),
        max_requests_per_client: integer("per-client", defaults.max_requests_per_client),
        client_pause_bytes: integer("client-bytes", defaults.client_pause_bytes),
        max_client_bytes: integer("client-bytes-most", defaults.max_client_bytes),
        max_node_bytes: integer("node-bytes", defaults.max_node_bytes),
        max_endpoints: read_max_endpoints(block, defaults.max_endpoints),
        max_volumes: integer("volumes", defaults.max_volumes),
        connection_rate: ConnectionRateLimit {
            rate: block.number("arrivals-a-second", 0.1..=1e6, Some(defaults.connection_rate.rate)),
            burst: block.number("arrivals-at-once", 1.0..=1e6, Some(defaults.connection_rate.burst)),
            ..defaults.connection_rate
        },
        ..defaults
    };
    if bounds.client_pause_bytes > bounds.max_client_bytes {
        let (pause, max) = (bounds.client_pause_bytes, bounds.max_client_bytes);
        block.report(format!("client-bytes is {pause}, expected at most client-bytes-most, {max}"));
    }
    block.reject_unknown_keys();
    bounds
}

/// Limits the list to the number of entries that a saved frame can hold.
fn read_max_endpoints(block: &Block<'_>, default: usize) -> usize {
    let max = flaxstand_proto::MAX_LIST_ENTRIES as u64;
    block.integer("nodes", 1..=max, Some(default as u64)) as usize
}
