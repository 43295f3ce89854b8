//! Sockets of connections: connect, read, write and close.

use super::event_source::EventSource;
use super::timestamps::{self, Received};
use super::{Driver, clock, socket_buffers};
use crate::machine::{Address, ConnId, Machine};
use rustix::event::{PollFd, PollFlags, Timespec, epoll, poll};
use rustix::fd::OwnedFd;
use rustix::io::{Errno, read, write};
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

/// Maximum number of bytes read from one connection per turn, so that none starves the others.
const MAX_READ_PER_TURN: usize = 256 * 1024;

/// Whether the arrival of received bytes is reported to the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrivals {
    /// Reported as the kernel recorded it, or else as the time of the read.
    Recorded,
    /// Reported as the time of the read: the system does not support recorded times.
    Unrecorded,
    /// Not reported.
    Ignored,
}

/// The socket of a connection.
pub(super) struct Socket {
    fd: OwnedFd,
    arrivals: Arrivals,
    /// The connection is being established.
    is_connecting: bool,
    /// The peer has closed its sending direction.
    peer_finished: bool,
    /// The sending direction is to be shut down once all pending output is written.
    shuts_down_after_write: bool,
    /// The sending direction has been shut down.
    is_shut_down: bool,
    /// Events registered with epoll.
    interest: epoll::EventFlags,
}

impl Socket {
    /// Creates the state of a connected socket.
    pub(super) fn connected(fd: OwnedFd, interest: epoll::EventFlags, arrivals: Arrivals) -> Self {
        Socket {
            fd,
            arrivals,
            is_connecting: false,
            peer_finished: false,
            shuts_down_after_write: false,
            is_shut_down: false,
            interest,
        }
    }

    fn connecting(fd: OwnedFd, interest: epoll::EventFlags) -> Self {
        Socket { is_connecting: true, ..Socket::connected(fd, interest, Arrivals::Ignored) }
    }

    /// Reads received bytes, with the time of their arrival unless that is ignored.
    fn receive(&mut self, buffer: &mut [u8]) -> Result<Received, Errno> {
        if self.arrivals == Arrivals::Recorded {
            match timestamps::receive(&self.fd, buffer) {
                Err(Errno::NOSYS | Errno::OPNOTSUPP | Errno::NOTSOCK) => self.arrivals = Arrivals::Unrecorded,
                received => return received,
            }
        }
        let count = read(&self.fd, buffer)?;
        let arrived_at = (self.arrivals == Arrivals::Unrecorded).then(timestamps::current_time);
        Ok(Received { count, arrived_at })
    }

    fn shut_down_if_requested(&mut self) {
        if self.shuts_down_after_write && !self.is_shut_down {
            self.is_shut_down = true;
            let _ = net::shutdown(&self.fd, net::Shutdown::Write);
        }
    }
}

/// Starts a non-blocking connect.
fn start_connect(address: &Address, socket_buffer_bytes: Option<usize>) -> Result<OwnedFd, Errno> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let (fd, started) = match address {
        Address::Tcp(at) => {
            let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
            let fd = net::socket_with(family, SocketType::STREAM, flags, None)?;
            sockopt::set_tcp_nodelay(&fd, true)?;
            socket_buffers::limit(&fd, socket_buffer_bytes);
            let started = net::connect(&fd, at);
            (fd, started)
        }
        Address::Unix(path) => {
            let fd = net::socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
            let started = net::connect(&fd, &net::SocketAddrUnix::new(path)?);
            (fd, started)
        }
    };
    // A Unix socket whose backlog is full fails with EAGAIN, which is an error here.
    match started {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(fd),
        Err(error) => Err(error),
    }
}

/// Returns why an idle connection can't be reused, or `None` if it can.
fn idle_fault(fd: &OwnedFd) -> Option<String> {
    loop {
        match read(fd, &mut [0; 1]) {
            Err(Errno::AGAIN) => return None,
            Err(Errno::INTR) => {}
            Ok(0) => return Some("idle connection closed by peer before it was used again".into()),
            Ok(_) => return Some("unexpected bytes came on an idle connection".into()),
            Err(error) => return Some(error.to_string()),
        }
    }
}

/// Returns the events by which the kernel tells that the peer of a socket has closed or reset the connection, of
/// those that have occurred.
fn departure_of(fd: &OwnedFd) -> epoll::EventFlags {
    let mut polled = [PollFd::new(fd, PollFlags::RDHUP)];
    if poll(&mut polled, Some(&Timespec::default())).is_err() {
        return epoll::EventFlags::empty();
    }
    let flag = |polled_flag, flag| {
        if polled[0].revents().contains(polled_flag) { flag } else { epoll::EventFlags::empty() }
    };
    flag(PollFlags::RDHUP, epoll::EventFlags::RDHUP)
        | flag(PollFlags::HUP, epoll::EventFlags::HUP)
        | flag(PollFlags::ERR, epoll::EventFlags::ERR)
}

impl<M: Machine> Driver<M> {
    pub(super) fn connect(&mut self, conn: ConnId, address: &Address) {
        let opened = start_connect(address, self.options.socket_buffer_bytes).and_then(|fd| {
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

    /// Reads a connection accepted in this turn: what it sent is not to be taken for later than what others
    /// sent after it.
    pub(super) fn read_accepted(&mut self, conn: ConnId, buffer: &mut [u8]) {
        self.check_departure(conn);
        self.read(conn, epoll::EventFlags::empty(), buffer);
    }

    /// Reports the end of a connection if the kernel knows of it already.
    fn check_departure(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get(&conn) {
            let flags = departure_of(&socket.fd);
            self.report_departure(conn, flags);
        }
    }

    /// Reports the end of a connection that these events tell of, regardless of bytes that were not read.
    pub(super) fn report_departure(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        use epoll::EventFlags as F;
        let Some(socket) = self.sockets.get(&conn) else { return };
        if flags.intersects(F::HUP | F::ERR) {
            self.drop_connection(conn, "connection reset or closed in both directions");
        } else if flags.contains(F::RDHUP) && !socket.peer_finished && self.machine.wants_peer_end(conn) {
            self.handle_peer_end(conn, flags);
        }
    }

    fn read(&mut self, conn: ConnId, flags: epoll::EventFlags, buffer: &mut [u8]) {
        let mut total = 0;
        while total < MAX_READ_PER_TURN {
            let Some(socket) = self.sockets.get_mut(&conn) else { return };
            if socket.peer_finished || !self.machine.wants_read(conn) {
                return self.report_departure(conn, flags);
            }
            match socket.receive(&mut *buffer) {
                Ok(Received { count: 0, .. }) => return self.handle_peer_end(conn, flags),
                Ok(Received { count, arrived_at }) => {
                    total += count;
                    // Not earlier than the arrival of the bytes, however long the turn has taken so far.
                    self.now = clock().max(self.now);
                    let bytes = &buffer[..count];
                    match arrived_at {
                        Some(at) => self.machine.received_with_time(conn, bytes, at, self.now),
                        None => self.machine.received(conn, bytes, self.now),
                    }
                    if count < buffer.len() {
                        return;
                    }
                }
                Err(Errno::AGAIN | Errno::INTR) => return,
                Err(error) => return self.drop_connection(conn, &error.to_string()),
            }
        }
    }

    /// Handles the end of the peer's stream.
    fn handle_peer_end(&mut self, conn: ConnId, flags: epoll::EventFlags) {
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        socket.peer_finished = true;
        let is_closed = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
        if is_closed || !self.machine.peer_finished(conn, self.now) {
            self.drop_connection(conn, "closed by peer");
        } else {
            self.flush(conn);
        }
    }

    /// Closes a failed connection and notifies the machine.
    fn drop_connection(&mut self, conn: ConnId, cause: &str) {
        if self.sockets.remove(&conn).is_some() {
            self.machine.closed(conn, cause, self.now);
        }
    }

    /// Writes pending output as far as possible without blocking and updates the epoll interest.
    pub(super) fn flush(&mut self, conn: ConnId) {
        if self.write_pending(conn) {
            self.update_interest(conn);
        }
    }

    /// Writes pending output, at most as much as the kernel's buffer is to hold: the kernel itself would take more
    /// than that at once. Returns false if the connection is not open or failed.
    fn write_pending(&mut self, conn: ConnId) -> bool {
        let mut left = self.options.socket_buffer_bytes.unwrap_or(usize::MAX);
        loop {
            let Some(socket) = self.sockets.get_mut(&conn).filter(|socket| !socket.is_connecting) else {
                return false;
            };
            let pending = self.machine.outgoing(conn);
            if pending.is_empty() {
                socket.shut_down_if_requested();
                return true;
            }
            // The peer may have closed an idle connection or sent data on it. A request written after that
            // could be lost without a known outcome, or receive a response that belongs to another request.
            if self.machine.is_idle(conn)
                && let Some(cause) = idle_fault(&socket.fd)
            {
                self.drop_connection(conn, &cause);
                return false;
            }
            if let Some(client) = self.machine.begins_for(conn) {
                self.check_departure(client);
                if self.machine.begins_for(conn).is_none() {
                    continue;
                }
            }
            let Some(socket) = self.sockets.get_mut(&conn) else { return false };
            let pending = self.machine.outgoing(conn);
            match write(&socket.fd, &pending[..pending.len().min(left)]) {
                Ok(count) => {
                    left -= count;
                    self.machine.written(conn, count, self.now);
                    if left == 0 && !self.machine.outgoing(conn).is_empty() {
                        return true;
                    }
                }
                Err(Errno::AGAIN) => return true,
                Err(Errno::INTR) => {}
                Err(error) => {
                    self.drop_connection(conn, &error.to_string());
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
        }
        if !socket.peer_finished && self.machine.wants_peer_end(conn) {
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
            self.drop_connection(conn, &error.to_string());
        }
    }

    /// Shuts down the sending direction once all pending output is written.
    pub(super) fn shut_down_write(&mut self, conn: ConnId) {
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.shuts_down_after_write = true;
            self.flush(conn);
        }
    }

    /// Closes a connection after one non-blocking attempt to write `final_frame`.
    pub(super) fn close(&mut self, conn: ConnId, final_frame: &[u8]) {
        if let Some(socket) = self.sockets.remove(&conn)
            && !socket.is_connecting
        {
            let _ = write(&socket.fd, final_frame);
        }
    }
}
