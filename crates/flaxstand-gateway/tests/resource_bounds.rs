//! Bounds derived from the limits of the process.

use flaxstand_gateway::core::ProcessLimits;

const MIB: usize = 1 << 20;

fn limits(memory_mb: usize, descriptors: usize) -> ProcessLimits {
    ProcessLimits { memory_bytes: memory_mb * MIB, descriptors }
}

/// Limits that the pages name, least and most, and all combinations of them.
fn named_limits() -> impl Iterator<Item = (usize, usize)> {
    [32, 64, 192, 2048].into_iter().flat_map(|memory| [256, 1024, 4096].map(|sockets| (memory, sockets)))
}

#[test]
fn the_bounds_of_all_stores_together_stay_within_the_memory() {
    const PROGRAM_BYTES: usize = 6 * MIB;
    for (memory, sockets) in named_limits() {
        let (b, m) = (limits(memory, sockets).bounds(), limits(memory, sockets).memory_bounds());
        let connections = b.max_clients + b.max_node_connections;
        // A client's kernel buffers can be full in both directions for long; what a node has not read of a
        // request counts as its copy.
        let kernel = m.socket_buffer_bytes.unwrap() * (2 * b.max_clients + b.max_node_connections);
        let parts = [
            b.max_partial_request_bytes,
            2 * m.max_accepted_request_bytes,
            b.max_response_bytes,
            m.max_unread_response_bytes,
            m.max_list_bytes,
            m.max_executed_ids * 18,
            b.max_volumes * 96,
            b.max_endpoints * 1024,
            // Input and output of each connection, and the content of each client's request.
            (2 * connections + b.max_clients) * m.free_bytes_per_connection,
            kernel,
            PROGRAM_BYTES,
        ];
        let sum: usize = parts.iter().sum();
        // Allocators lose some of it between the blocks.
        assert!(
            sum + sum / 32 <= memory * MIB,
            "{memory} MB, {sockets} sockets: {parts:?} are {} KiB",
            sum / 1024
        );
    }
}

#[test]
fn connections_stay_within_the_descriptors_and_reach_a_third_of_them_for_clients() {
    for (memory, sockets) in named_limits().filter(|(memory, sockets)| memory * MIB / 1024 / sockets >= 32) {
        let b = limits(memory, sockets).bounds();
        assert!(b.max_clients + b.max_node_connections + 24 <= sockets, "{memory} MB, {sockets} sockets");
        assert!(b.max_clients >= sockets / 3, "{memory} MB, {sockets} sockets: {} clients", b.max_clients);
    }
}

#[test]
fn the_largest_fleet_fits_into_the_least_memory() {
    let (least, memory) = (limits(32, 256).bounds(), limits(32, 256).memory_bounds());
    assert!(least.max_endpoints >= 3200, "{}", least.max_endpoints);
    assert!(memory.max_list_bytes >= 3200 * 500, "{}", memory.max_list_bytes);
}
