//! Sockets of connections: opened, read, written, closed.

use super::Driver;
use super::event_source::EventSource;
use crate::machine::{Address, ConnId, Machine};
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use rustix::io::{Errno, read, write};
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

/// Most bytes read from one connection in a turn, so that none starves the others.
const MAX_READ_PER_TURN: usize = 256 * 1024;

/// A connection's socket.
pub(super) struct Socket {
    fd: OwnedFd,
    /// The connection is being opened.
    is_connecting: bool,
    /// The peer sends nothing more.
    peer_finished: bool,
    /// Nothing more is sent once all that waits is written.
    ends_after_write: bool,
    /// That has been, and the peer was told.
    is_shut_down: bool,
    /// What epoll reports.
    interest: epoll::EventFlags,
}

impl Socket {
    /// A socket that is connected.
    pub(super) fn connected(fd: OwnedFd, interest: epoll::EventFlags) -> Self {
        Socket {
            fd,
            is_connecting: false,
            peer_finished: false,
            ends_after_write: false,
            is_shut_down: false,
            interest,
        }
    }

    fn connecting(fd: OwnedFd, interest: epoll::EventFlags) -> Self {
        Socket { is_connecting: true, ..Socket::connected(fd, interest) }
    }

    fn shut_down_if_asked(&mut self) {
        if self.ends_after_write && !self.is_shut_down {
            self.is_shut_down = true;
            let _ = net::shutdown(&self.fd, net::Shutdown::Write);
        }
    }
}

/// Starts to open a connection.
fn open(address: &Address) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let (fd, started) = match address {
        Address::Tcp(at) => {
            let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
            let fd = net::socket_with(family, SocketType::STREAM, flags, None)?;
            sockopt::set_tcp_nodelay(&fd, true)?;
            let started = net::connect(&fd, at);
            (fd, started)
        }
        Address::Unix(path) => {
            let fd = net::socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
            let started = net::connect(&fd, &net::SocketAddrUnix::new(path)?);
            (fd, started)
        }
    };
    // A Unix socket whose backlog is full answers AGAIN at once: the peer takes no more.
    match started {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(fd),
        Err(error) => Err(error),
    }
}

/// Why a connection that was idle can't be used again; `None`: it can.
fn idle_fault(fd: &OwnedFd) -> Option<String> {
    loop {
        match read(fd, &mut [0; 1]) {
            Err(Errno::AGAIN) => return None,
            Err(Errno::INTR) => {}
            Ok(0) => return Some("closed by peer before it was used again".into()),
            Ok(_) => return Some("bytes came before it was used again".into()),
            Err(error) => return Some(error.to_string()),
        }
    }
}

impl<M: Machine> Driver<M> {
    pub(super) fn connect(&mut self, conn: ConnId, address: &Address) {
        let opened = open(address).and_then(|fd| {
            let interest = epoll::EventFlags::OUT;
            epoll::add(&self.epoll, &fd, EventSource::Connection(conn).data(), interest)?;
            Ok(Socket::connecting(fd, interest))
        });
        match opened {
            Ok(socket) => {
                self.sockets.insert(conn, socket);
            }
            Err(error) => self.machine.connect_failed(conn, &error.to_string(), self.now),
        }
    }

    pub(super) fn socket_event(&mut self, conn: ConnId, flags: epoll::EventFlags, buffer: &mut [u8]) {
        use epoll::EventFlags as F;
        let Some(socket) = self.sockets.get(&conn) else { return };
        if socket.is_connecting {
            if flags.intersects(F::OUT | F::ERR | F::HUP) {
                self.finish_connect(conn);
            }
            return;
        }
        if flags.contains(F::OUT) {
            self.flush(conn);
        }
        if flags.intersects(F::IN | F::HUP | F::ERR | F::RDHUP) {
            self.read(conn, flags, buffer);
        }
    }

    fn finish_connect(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        match sockopt::socket_error(&socket.fd) {
            Ok(Ok(())) => {
                socket.is_connecting = false;
                self.machine.connected(conn, self.now);
                self.flush(conn);
            }
            Ok(Err(error)) | Err(error) => {
                self.sockets.remove(&conn);
                self.machine.connect_failed(conn, &error.to_string(), self.now);
            }
        }
    }

    fn read(&mut self, conn: ConnId, flags: epoll::EventFlags, buffer: &mut [u8]) {
        let mut total = 0;
        while total < MAX_READ_PER_TURN {
            let Some(socket) = self.sockets.get(&conn) else { return };
            if socket.peer_finished || !self.machine.wants_read(conn) {
                return self.report_end_unread(conn, flags);
            }
            match read(&socket.fd, &mut *buffer) {
                Ok(0) => return self.peer_finished(conn, flags),
                Ok(count) => {
                    total += count;
                    self.machine.received(conn, &buffer[..count], self.now);
                    if count < buffer.len() {
                        return;
                    }
                }
                Err(Errno::AGAIN | Errno::INTR) => return,
                Err(error) => return self.broken(conn, &error.to_string()),
            }
        }
    }

    /// A connection that is not to be read now is closed if its peer is gone in both directions, or if the machine
    /// wants to know of the end of its stream.
    fn report_end_unread(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        use epoll::EventFlags as F;
        if flags.intersects(F::HUP | F::ERR) {
            self.broken(conn, "connection lost");
        } else if flags.contains(F::RDHUP) && self.machine.wants_peer_end(conn) {
            self.broken(conn, "closed by peer behind what is not read");
        }
    }

    /// The peer ended its stream.
    fn peer_finished(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        socket.peer_finished = true;
        let is_gone = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        if is_gone || !self.machine.peer_finished(conn, self.now) {
            self.broken(conn, "closed by peer");
        } else {
            self.flush(conn);
        }
    }

    fn broken(&mut self, conn: ConnId, cause: &str) {
        if self.sockets.remove(&conn).is_some() {
            self.machine.closed(conn, cause, self.now);
        }
    }

    /// Writes what waits, as far as it goes, and sets what epoll reports.
    pub(super) fn flush(&mut self, conn: ConnId) {
        if self.write_pending(conn) {
            self.update_interest(conn);
        }
    }

    /// Returns false if the connection is not open, or broke.
    fn write_pending(&mut self, conn: ConnId) -> bool {
        loop {
            let Some(socket) = self.sockets.get_mut(&conn).filter(|socket| !socket.is_connecting) else {
                return false;
            };
            let pending = self.machine.outgoing(conn);
            if pending.is_empty() {
                socket.shut_down_if_asked();
                return true;
            }
            // Guards against a connection that its peer closes, or sends on, in the moment in which it is used
            // again: a request that crosses that may have run, or is served with another's answer.
            if self.machine.is_idle(conn)
                && let Some(cause) = idle_fault(&socket.fd)
            {
                self.broken(conn, &cause);
                return false;
            }
            match write(&socket.fd, pending) {
                Ok(count) => self.machine.written(conn, count, self.now),
                Err(Errno::AGAIN) => return true,
                Err(Errno::INTR) => {}
                Err(error) => {
                    self.broken(conn, &error.to_string());
                    return false;
                }
            }
        }
    }

    fn update_interest(&mut self, conn: ConnId) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        let mut interest = epoll::EventFlags::empty();
        if !socket.peer_finished && self.machine.wants_read(conn) {
            interest |= epoll::EventFlags::IN;
        } else if !socket.peer_finished && self.machine.wants_peer_end(conn) {
            interest |= epoll::EventFlags::RDHUP;
        }
        if !self.machine.outgoing(conn).is_empty() {
            interest |= epoll::EventFlags::OUT;
        }
        if interest == socket.interest {
            return;
        }
        socket.interest = interest;
        let data = EventSource::Connection(conn).data();
        if let Err(error) = epoll::modify(&self.epoll, &socket.fd, data, interest) {
            self.broken(conn, &error.to_string());
        }
    }

    /// Sends nothing more on a connection once all that waits is written.
    pub(super) fn shut_down_write(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.ends_after_write = true;
            self.flush(conn);
        }
    }

    /// Closes a connection. `last` is written if that goes at once; it is not waited for.
    pub(super) fn close(&mut self, conn: ConnId, last: &[u8]) {
        if let Some(socket) = self.sockets.remove(&conn)
            && !socket.is_connecting
        {
            let _ = write(&socket.fd, last);
        }
    }
}
