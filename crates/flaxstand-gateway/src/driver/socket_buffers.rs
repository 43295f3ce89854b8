//! Sizes of the kernel's buffers of TCP sockets. What peers send and the process has not read, and what it has
//! written and peers have not read, takes the memory of the process's host.

use rustix::fd::AsFd;
use socket2::SockRef;
use tracing::debug;

/// The kernel doubles the size of a receive buffer that is set, for its own bookkeeping.
const KERNEL_FACTOR: usize = 2;

/// Limits what the kernel holds for a socket in each direction, and for those that a listener accepts later. Where
/// the system does not support this, its default applies.
///
/// The send buffer keeps its size, since what was sent and not acknowledged needs room: only what was not sent yet,
/// as the peer does not read, is limited.
pub(super) fn limit(socket: impl AsFd, buffer_bytes: Option<usize>) {
    let Some(bytes) = buffer_bytes else { return };
    let socket = SockRef::from(&socket);
    let unsent = u32::try_from(bytes).unwrap_or(u32::MAX);
    let result = socket
        .set_recv_buffer_size(bytes / KERNEL_FACTOR)
        .and_then(|()| socket.set_tcp_notsent_lowat(unsent));
    if let Err(error) = result {
        debug!(%error, bytes, "cannot limit the buffers of a socket; using the default of the system");
    }
}
