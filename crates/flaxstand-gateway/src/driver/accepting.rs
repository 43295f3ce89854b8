//! Connections that peers open: accepted, rejected with a last frame, or turned away for lack of descriptors.

use super::Driver;
use super::event_source::EventSource;
use super::socket::Socket;
use crate::machine::{Machine, Micros};
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use rustix::io::{Errno, write};
use rustix::net;
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use tracing::warn;

/// Most connections accepted from one listener in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// Most rejected connections that are kept open. Part of the descriptors that the platform's settings reserve.
const MAX_REJECTED: usize = 8;
/// How long a rejected connection is kept open, so that its peer can read why.
const REJECTED_OPEN_FOR: Micros = Micros(250_000);

/// Guards against a reset that takes the last frame along: a rejected connection that is closed at once over what
/// its peer has sent would be reset.
#[derive(Default)]
pub(super) struct RejectedConnections {
    open: VecDeque<RejectedConnection>,
}

struct RejectedConnection {
    rejected_at: Micros,
    /// Held to keep the connection open.
    _fd: OwnedFd,
}

impl RejectedConnections {
    /// Writes `last` and closes the connection a little later.
    fn add(&mut self, fd: OwnedFd, last: &[u8], now: Micros) {
        let _ = write(&fd, last);
        let _ = net::shutdown(&fd, net::Shutdown::Write);
        if self.open.len() >= MAX_REJECTED {
            self.open.pop_front();
        }
        self.open.push_back(RejectedConnection { rejected_at: now, _fd: fd });
    }

    /// Closes those that were open for long enough.
    pub(super) fn close_old(&mut self, now: Micros) {
        let is_old = |connection: &RejectedConnection| now.since(connection.rejected_at) >= REJECTED_OPEN_FOR;
        while self.open.front().is_some_and(is_old) {
            self.open.pop_front();
        }
    }
}

/// A descriptor that is given up for a moment when there are no others, to accept a client and close it.
pub(super) fn reserve_descriptor() -> Option<OwnedFd> {
    File::open("/dev/null").ok().map(OwnedFd::from)
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
}

impl<M: Machine> Driver<M> {
    /// Accepts connections that wait, a bounded number. Returns how many.
    pub(super) fn accept(&mut self, index: usize) -> usize {
        for count in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = self.listeners.get(index) else { return count };
            match listener.accept() {
                Ok(fd) => self.accepted(fd, index),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return count,
                Err(error) => {
                    if is_out_of_descriptors(&error) {
                        self.turn_away(index);
                    }
                    return count;
                }
            }
        }
        MAX_ACCEPTS_PER_TURN
    }

    /// Guards against a connection that waits and wakes the driver for ever while there are no descriptors.
    fn turn_away(&mut self, index: usize) {
        warn!("no descriptors left: a client is turned away");
        self.reserved_descriptor = None;
        drop(self.listeners[index].accept());
        self.reserved_descriptor = reserve_descriptor();
    }

    fn accepted(&mut self, fd: OwnedFd, listener: usize) {
        let conn = match self.machine.accepted(listener, self.now) {
            Ok(conn) => conn,
            Err(last) => return self.rejected.add(fd, &last, self.now),
        };
        let interest = epoll::EventFlags::IN;
        match epoll::add(&self.epoll, &fd, EventSource::Connection(conn).data(), interest) {
            Ok(()) => {
                self.sockets.insert(conn, Socket::connected(fd, interest));
            }
            Err(error) => self.machine.closed(conn, &error.to_string(), self.now),
        }
    }

    pub(super) fn stop_listening(&mut self) {
        // Guards against a reset of peers that have connected, and may have asked: they are accepted first.
        for index in 0..self.listeners.len() {
            while self.accept(index) == MAX_ACCEPTS_PER_TURN {}
        }
        for listener in &self.listeners {
            let _ = epoll::delete(&self.epoll, listener.fd());
        }
        self.listeners.clear();
    }
}
