//! What the driver listens at: TCP, or a socket file that is removed with it.

use crate::machine::Address;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;
use rustix::net;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Connections that the system holds for us until they are accepted, most.
const BACKLOG: i32 = 4096;

pub(super) enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener, PathBuf),
}

impl Listener {
    /// Listens; the address has the port that the system chose where 0 was asked for.
    pub(super) fn bind(address: &Address) -> io::Result<(Listener, Address)> {
        match address {
            Address::Tcp(address) => Self::bind_tcp(*address),
            Address::Unix(path) => Ok((Self::bind_unix(path)?, address.clone())),
        }
    }

    fn bind_tcp(address: SocketAddr) -> io::Result<(Listener, Address)> {
        let listener = TcpListener::bind(address)?;
        net::listen(&listener, BACKLOG)?;
        listener.set_nonblocking(true)?;
        let at = Address::Tcp(listener.local_addr()?);
        Ok((Listener::Tcp(listener), at))
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

    /// Its descriptor.
    pub(super) fn fd(&self) -> BorrowedFd<'_> {
        match self {
            Listener::Tcp(l) => l.as_fd(),
            Listener::Unix(l, _) => l.as_fd(),
        }
    }

    /// Takes the next connection; it blocks no one.
    pub(super) fn accept(&self) -> io::Result<OwnedFd> {
        match self {
            Listener::Tcp(l) => {
                let (stream, _) = l.accept()?;
                stream.set_nodelay(true)?;
                stream.set_nonblocking(true)?;
                Ok(stream.into())
            }
            Listener::Unix(l, _) => {
                let (stream, _) = l.accept()?;
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
