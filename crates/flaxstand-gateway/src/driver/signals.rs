//! Signal handling: SIGTERM and SIGINT stop the machine, SIGHUP reloads its settings.

use super::Driver;
use super::event_source::EventSource;
use super::storage_thread::{drain_wake_pipe, wake_pipe};
use crate::machine::{Control, Machine};
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use std::io::{self, PipeReader};
use tracing::info;

#[derive(Clone, Copy)]
enum SignalKind {
    Stop,
    Reload,
}

const SIGNALS: [SignalRegistration; 3] = [
    SignalRegistration { number: signal_hook::consts::SIGTERM, kind: SignalKind::Stop },
    SignalRegistration { number: signal_hook::consts::SIGINT, kind: SignalKind::Stop },
    SignalRegistration { number: signal_hook::consts::SIGHUP, kind: SignalKind::Reload },
];

struct SignalRegistration {
    number: i32,
    kind: SignalKind,
}

/// The read end of a pipe that a signal handler writes to.
pub(super) struct SignalPipe {
    reader: PipeReader,
    kind: SignalKind,
}

/// Registers a handler for each signal and its pipe with epoll.
pub(super) fn register(epoll: &OwnedFd) -> io::Result<Vec<SignalPipe>> {
    let mut pipes = Vec::new();
    for (index, signal) in SIGNALS.iter().enumerate() {
        let (reader, writer) = wake_pipe()?;
        signal_hook::low_level::pipe::register(signal.number, writer)?;
        epoll::add(epoll, &reader, EventSource::Signal(index).data(), epoll::EventFlags::IN)?;
        pipes.push(SignalPipe { reader, kind: signal.kind });
    }
    Ok(pipes)
}

impl<M: Machine> Driver<M> {
    pub(super) fn handle_signal(&mut self, index: usize) {
        let SignalPipe { reader, kind } = &self.signals[index];
        drain_wake_pipe(reader);
        match kind {
            SignalKind::Stop => self.machine.control(Control::Stop, self.now),
            SignalKind::Reload => self.reload(),
        }
    }

    fn reload(&mut self) {
        info!("SIGHUP received; reloading the settings");
        if let Some(reloaded) = self.options.reload.as_mut().and_then(|reload| reload()) {
            self.machine.control(Control::Reload(reloaded), self.now);
        }
    }
}
