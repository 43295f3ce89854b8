//! Listening sockets: TCP, or Unix sockets, whose file is removed when the listener is dropped.

use super::{socket_buffers, timestamps};
use crate::machine::Address;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use rustix::net;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Maximum number of pending connections that the system queues.
const BACKLOG: i32 = 4096;
/// The same where memory is limited: pending connections hold what their peers send.
const LIMITED_BACKLOG: i32 = 512;

/// A listening socket.
pub(super) enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener, PathBuf),
}

impl Listener {
    /// Binds and listens. Returns the bound address; for port 0 it contains the port chosen by the system.
    ///
    /// `socket_buffer_bytes`: the size of the kernel's buffers of accepted TCP connections.
    pub(super) fn bind(
        address: &Address,
        socket_buffer_bytes: Option<usize>,
    ) -> io::Result<(Listener, Address)> {
        match address {
            Address::Tcp(address) => Self::bind_tcp(*address, socket_buffer_bytes),
            Address::Unix(path) => Ok((Self::bind_unix(path)?, address.clone())),
        }
    }

    fn bind_tcp(address: SocketAddr, socket_buffer_bytes: Option<usize>) -> io::Result<(Listener, Address)> {
        let listener = TcpListener::bind(address)?;
        socket_buffers::limit(&listener, socket_buffer_bytes);
        let backlog = if socket_buffer_bytes.is_some() { LIMITED_BACKLOG } else { BACKLOG };
        net::listen(&listener, backlog)?;
        listener.set_nonblocking(true)?;
        let bound = Address::Tcp(listener.local_addr()?);
        Ok((Listener::Tcp(listener), bound))
    }

    fn bind_unix(path: &Path) -> io::Result<Listener> {
        if path.exists() {
            if UnixStream::connect(path).is_ok() {
                return Err(io::Error::from(Errno::ADDRINUSE));
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        listener.set_nonblocking(true)?;
        Ok(Listener::Unix(listener, path.to_owned()))
    }

    /// Has the kernel record when bytes arrive at accepted sockets. Returns whether this is supported: for TCP.
    pub(super) fn record_arrivals(&self) -> bool {
        match self {
            Listener::Tcp(listener) => timestamps::enable(listener),
            Listener::Unix(..) => false,
        }
    }

    /// Returns the file descriptor.
    pub(super) fn fd(&self) -> BorrowedFd<'_> {
        match self {
            Listener::Tcp(listener) => listener.as_fd(),
            Listener::Unix(listener, _) => listener.as_fd(),
        }
    }

    /// Accepts the next connection as a non-blocking socket.
    pub(super) fn accept(&self) -> io::Result<OwnedFd> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept()?;
                stream.set_nodelay(true)?;
                stream.set_nonblocking(true)?;
                Ok(stream.into())
            }
            Listener::Unix(listener, _) => {
                let (stream, _) = listener.accept()?;
                stream.set_nonblocking(true)?;
                Ok(stream.into())
            }
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Listener::Unix(_, path) = self {
            let _ = std::fs::remove_file(path);
        }
    }
}
