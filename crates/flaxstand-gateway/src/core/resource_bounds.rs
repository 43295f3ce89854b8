//! Bounds of the platform's initiator, derived from the limits of its process. Every store that peers can fill
//! gets its bound here, so that all of them together stay within the memory of the process.
//!
//! Parts of the memory, at most:
//!
//! | store | part |
//! | --- | --- |
//! | incomplete requests of clients | 1/20 |
//! | accepted requests, and their copies that are being sent | 1/16 each |
//! | incomplete responses of nodes | 1/12 |
//! | responses that clients have not read | 1/14 |
//! | a response of the discovery service while it is read | 1/20 |
//! | endpoints | 1/10, at [`ENDPOINT_BYTES`] each |
//! | ids of executed requests | 1/24, at [`EXECUTED_ID_BYTES`] each |
//! | volumes | 1/48, at [`VOLUME_BYTES`] each |
//! | buffers of the kernel, and what each connection may hold without being charged | 1/4 |
//!
//! The rest is for the program itself.

use super::Bounds;

/// Descriptors reserved for epoll, signals, the listener, endpoint discovery, rejected connections and the log.
const RESERVED_DESCRIPTORS: usize = 24;
/// Memory of the process for each connection: with less, fewer connections are used than descriptors allow.
const MEMORY_PER_CONNECTION: usize = 48 * 1024;
/// Memory of a connection, for each kind of data, that is not charged. Small messages so are never refused for
/// the large ones of others.
const FREE_BYTES_PER_CONNECTION: usize = 1024;
/// Memory of a listed endpoint, in the endpoint table and in the decision module.
const ENDPOINT_BYTES: usize = 1024;
/// Memory of a volume's quota in the decision module.
const VOLUME_BYTES: usize = 96;
/// Memory of the id of an executed request, with the free places of its table.
const EXECUTED_ID_BYTES: usize = 18;
/// Smallest buffer of the kernel for one direction of a connection.
const MIN_SOCKET_BUFFER_BYTES: usize = 6 * 1024;
/// Largest buffer of the kernel for one direction of a connection.
const MAX_SOCKET_BUFFER_BYTES: usize = 256 * 1024;

/// Limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, with the kernel's buffers, bytes.
    pub memory_bytes: usize,
    /// Descriptors.
    pub descriptors: usize,
}

/// Bounds of the memory that peers can fill, beside those of [`Bounds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBounds {
    /// Memory of the content of accepted requests. Further ones are rejected.
    pub max_accepted_request_bytes: usize,
    /// Memory of responses that HTTP clients have not read. A response beyond it fails.
    pub max_unread_response_bytes: usize,
    /// Length of a response of the platform's discovery service. A longer one fails.
    pub max_list_bytes: usize,
    /// Ids of requests that may have been executed which are remembered. Beyond it the oldest are forgotten.
    pub max_executed_ids: usize,
    /// Memory that each HTTP connection may hold of each kind of data without being charged for it, bytes.
    pub free_bytes_per_connection: usize,
    /// Size of the kernel's buffer for each direction of a connection, bytes; `None` for the system's default.
    pub socket_buffer_bytes: Option<usize>,
}

impl Default for MemoryBounds {
    fn default() -> Self {
        MemoryBounds {
            max_accepted_request_bytes: 1 << 30,
            max_unread_response_bytes: 64 << 20,
            max_list_bytes: 16 << 20,
            max_executed_ids: 1 << 20,
            free_bytes_per_connection: 0,
            socket_buffer_bytes: None,
        }
    }
}

impl ProcessLimits {
    /// Returns how many connections to clients and nodes the limits allow.
    fn connections(self) -> usize {
        let usable = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        usable.min(self.memory_bytes / MEMORY_PER_CONNECTION)
    }

    /// Derives the bounds of the platform's initiator, whose connections carry one request at a time.
    pub fn bounds(self) -> Bounds {
        let connections = self.connections();
        let max_clients = connections.div_ceil(2);
        Bounds {
            max_clients,
            max_node_connections: connections - max_clients,
            max_partial_request_bytes: self.memory_bytes / 20,
            max_response_bytes: self.memory_bytes / 12,
            max_volumes: self.memory_bytes / 48 / VOLUME_BYTES,
            max_endpoints: (self.memory_bytes / 10 / ENDPOINT_BYTES).min(flaxstand_proto::MAX_LIST_ENTRIES),
            ..Bounds::default()
        }
    }

    /// Derives the further bounds of the platform's initiator.
    pub fn memory_bounds(self) -> MemoryBounds {
        let socket_buffer_bytes = self.memory_bytes / 4 / (2 * self.connections().max(1));
        MemoryBounds {
            max_accepted_request_bytes: self.memory_bytes / 16,
            max_unread_response_bytes: self.memory_bytes / 14,
            max_list_bytes: self.memory_bytes / 20,
            max_executed_ids: self.memory_bytes / 24 / EXECUTED_ID_BYTES,
            free_bytes_per_connection: FREE_BYTES_PER_CONNECTION,
            socket_buffer_bytes: Some(
                socket_buffer_bytes.clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES),
            ),
        }
    }
}
