//! Incoming connections: accepted, rejected with a final frame, or closed for lack of file descriptors.

use super::Driver;
use super::event_source::EventSource;
use super::socket::{Arrivals, Socket};
use crate::machine::{ConnId, Machine, Micros};
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use rustix::io::{Errno, write};
use rustix::net;
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use tracing::{debug, warn};

/// Maximum number of connections accepted from one listener per turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Maximum number of rejected connections kept open. The platform's settings reserve descriptors for them.
const MAX_REJECTED: usize = 8;
/// How long a rejected connection is kept open, so that its peer can read the final frame.
const REJECTED_LINGER: Micros = Micros(250_000);

/// Rejected connections that are kept open for a short time. Closing a socket with unread received data
/// resets the connection, which would discard the final frame.
#[derive(Default)]
pub(super) struct RejectedConnections {
    open: VecDeque<RejectedConnection>,
}

struct RejectedConnection {
    rejected_at: Micros,
    /// Keeps the connection open until dropped.
    _fd: OwnedFd,
}

impl RejectedConnections {
    /// Writes the final frame and keeps the connection open. It is closed in the first turn after
    /// [`REJECTED_LINGER`], or when more than [`MAX_REJECTED`] are open.
    fn add(&mut self, fd: OwnedFd, final_frame: &[u8], now: Micros) {
        let _ = write(&fd, final_frame);
        let _ = net::shutdown(&fd, net::Shutdown::Write);
        if self.open.len() >= MAX_REJECTED {
            self.open.pop_front();
        }
        self.open.push_back(RejectedConnection { rejected_at: now, _fd: fd });
    }

    /// Closes the connections whose linger time has passed.
    pub(super) fn close_expired(&mut self, now: Micros) {
        let is_expired =
            |connection: &RejectedConnection| now.since(connection.rejected_at) >= REJECTED_LINGER;
        while self.open.front().is_some_and(is_expired) {
            self.open.pop_front();
        }
    }
}

/// Connections accepted in a turn.
#[derive(Default)]
pub(super) struct Accepted {
    /// Accepted connections, including rejected ones.
    pub(super) count: usize,
    /// Connections that the machine took.
    pub(super) conns: Vec<ConnId>,
    /// Accepting ended before its limit, since the turn has taken too long.
    is_cut_short: bool,
}

impl Accepted {
    /// Returns whether more connections may be pending.
    pub(super) fn is_limited(&self) -> bool {
        self.is_cut_short || self.count == MAX_ACCEPTS_PER_TURN
    }
}

/// Opens a reserve descriptor. When no others are left it is released, so that a pending connection can be
/// accepted and closed.
pub(super) fn reserve_descriptor() -> Option<OwnedFd> {
    File::open("/dev/null").ok().map(OwnedFd::from)
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
}

impl<M: Machine> Driver<M> {
    /// Accepts pending connections, up to [`MAX_ACCEPTS_PER_TURN`].
    pub(super) fn accept_pending(&mut self, index: usize) -> Accepted {
        let mut accepted = Accepted::default();
        self.record_arrivals(index);
        while !accepted.is_limited() {
            let Some(listener) = self.listeners.get(index) else { break };
            match listener.accept() {
                Ok(fd) => {
                    accepted.count += 1;
                    accepted.conns.extend(self.register_accepted(fd, index));
                    // The connection that was evicted for this one is closed before the next one is accepted, so that
                    // both together never take more descriptors than there are.
                    if !self.execute_pending() {
                        accepted.is_cut_short = true;
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => {
                    if is_out_of_descriptors(&error) {
                        self.close_pending(index);
                    }
                    break;
                }
            }
        }
        accepted
    }

    /// Has the kernel record when bytes arrive at the connections of a listener, if the machine wants to know. It
    /// may begin to want it when its settings change.
    pub(super) fn record_arrivals(&self, index: usize) {
        if let Some(listener) = self.listeners.get(index)
            && self.machine.wants_arrival_times()
            && !listener.record_arrivals()
        {
            debug!(listener = index, "the arrival of bytes is not recorded; using the time of reading");
        }
    }

    /// Closes one pending connection when no descriptors are left. Otherwise it would stay in the backlog and
    /// wake the driver continuously.
    fn close_pending(&mut self, index: usize) {
        warn!("no descriptors left; closing a pending connection of listener {index}");
        self.reserved_descriptor = None;
        drop(self.listeners[index].accept());
        self.reserved_descriptor = reserve_descriptor();
    }

    /// Registers an accepted connection. Returns its id if the machine took it.
    fn register_accepted(&mut self, fd: OwnedFd, listener: usize) -> Option<ConnId> {
        let conn = match self.machine.accepted(listener, self.now) {
            Ok(conn) => conn,
            Err(final_frame) => {
                self.rejected.add(fd, &final_frame, self.now);
                return None;
            }
        };
        let end = if self.machine.wants_peer_end(conn) {
            epoll::EventFlags::RDHUP
        } else {
            epoll::EventFlags::empty()
        };
        let interest = epoll::EventFlags::IN | end;
        if let Err(error) = epoll::add(&self.epoll, &fd, EventSource::Connection(conn).data(), interest) {
            self.machine.closed(conn, &error.to_string(), self.now);
            return None;
        }
        let arrivals =
            if self.machine.wants_arrival_times() { Arrivals::Recorded } else { Arrivals::Ignored };
        self.sockets.insert(conn, Socket::connected(fd, interest, arrivals));
        Some(conn)
    }

    pub(super) fn stop_listening(&mut self) {
        // Pending connections are accepted first: closing the listener would reset peers that may already
        // have sent requests.
        for index in 0..self.listeners.len() {
            while self.accept_pending(index).is_limited() {}
        }
        for listener in &self.listeners {
            let _ = epoll::delete(&self.epoll, listener.fd());
        }
        self.listeners.clear();
    }
}
