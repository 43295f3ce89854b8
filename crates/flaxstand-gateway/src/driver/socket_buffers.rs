//! Sizes of the kernel's buffers of TCP sockets. What peers send and the process has not read, and what it has
//! written and peers have not read, takes the memory of the process's host.

use rustix::fd::AsFd;
use rustix::net::sockopt;
use tracing::debug;

/// The kernel doubles the sizes that are set, for its own bookkeeping.
const KERNEL_FACTOR: usize = 2;

/// Limits the buffers of both directions of a socket, and of those that a listener accepts later. Where the system
/// does not support this, its default applies.
pub(super) fn limit(socket: impl AsFd, buffer_bytes: Option<usize>) {
    let Some(bytes) = buffer_bytes else { return };
    let size = bytes / KERNEL_FACTOR;
    let result = sockopt::set_socket_recv_buffer_size(&socket, size)
        .and_then(|()| sockopt::set_socket_send_buffer_size(&socket, size));
    if let Err(error) = result {
        debug!(%error, size, "cannot limit the buffers of a socket; using the default of the system");
    }
}
