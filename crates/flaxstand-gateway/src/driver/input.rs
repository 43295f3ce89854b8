//! Reads standard input line by line.

use super::Driver;
use super::event_source::EventSource;
use crate::machine::{Control, Machine};
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use rustix::io::{Errno, read};
use std::io;

/// Registers standard input with epoll.
pub(super) fn register(epoll: &OwnedFd) -> io::Result<()> {
    let stdin = io::stdin();
    rustix::io::ioctl_fionbio(&stdin, true)?;
    match epoll::add(epoll, &stdin, EventSource::Input.data(), epoll::EventFlags::IN) {
        // epoll rejects regular files and /dev/null with EPERM; such input is not read.
        Ok(()) | Err(Errno::PERM) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

impl<M: Machine> Driver<M> {
    pub(super) fn read_input(&mut self, buffer: &mut [u8]) {
        match read(io::stdin(), &mut *buffer) {
            Ok(0) => {
                let _ = epoll::delete(&self.epoll, io::stdin());
                self.machine.control(Control::InputEnded, self.now);
            }
            Ok(count) => {
                self.partial_line.extend_from_slice(&buffer[..count]);
                self.take_lines();
            }
            Err(_) => {}
        }
    }

    fn take_lines(&mut self) {
        while let Some(end) = self.partial_line.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.partial_line.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line[..end]).into_owned();
            self.machine.control(Control::Line(line), self.now);
        }
    }
}
