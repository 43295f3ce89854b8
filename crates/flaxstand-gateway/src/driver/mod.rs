//! Runs a machine on epoll: one thread, no runtime. The clock is read once a turn and never goes back.
//!
//! Each turn: wait for events or the machine's next wake, read the clock, hand over what came (a bounded part of
//! each connection, so that none starves the others), let the machine settle, carry out its commands.
//!
//! `accepting` and `listener` have the connections that peers open, `socket` reads and writes all of them,
//! `commands` carries out commands, `storage_thread` stores batches, `state_files` writes files, `signals` and
//! `input` have what reaches a machine beside its connections, `event_source` names what epoll reports.

mod accepting;
mod commands;
mod event_source;
mod input;
mod listener;
mod signals;
mod socket;
mod state_files;
mod storage_thread;

use crate::machine::{Address, ConnId, Machine, Micros, Reloaded};
use accepting::{RejectedConnections, reserve_descriptor};
use event_source::EventSource;
use flaxstand_storage::Storage;
use listener::Listener;
use rustix::event::{Timespec, epoll};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use signals::SignalPipe;
use socket::Socket;
pub use state_files::replace;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use storage_thread::StorageThread;

/// Most events taken from the system in a turn.
const MAX_EVENTS_PER_TURN: usize = 1024;
/// Bytes of the buffer that connections are read into.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A turn that takes longer than this is settled again at its end, before anything of it is written.
const LONG_TURN: Micros = Micros(50_000);
/// Longest sleep without a wake that the machine asked for.
const MAX_SLEEP: Micros = Micros(3_600_000_000);

/// The monotonic clock, microseconds. The same for all processes of a host.
pub fn clock() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}

/// Reads the settings again; `None`: they stay as they are.
pub type Reload = Box<dyn FnMut() -> Option<Reloaded> + Send>;

/// What a driver does beside running its machine.
#[derive(Default)]
pub struct Options {
    /// File of the machine's saved state: `SaveList` replaces it, `AppendList` appends to it.
    pub saved_list: Option<PathBuf>,
    /// File that `AppendOutput` appends records to.
    pub record: Option<File>,
    /// File that `AppendOutput` appends data to.
    pub data: Option<File>,
    /// Read lines of standard input.
    pub read_input: bool,
    /// Where `StoreWriteBack` stores batches, on a thread of its own: the machine never waits for a disk.
    pub write_back_log: Option<Box<dyn Storage>>,
    /// Where `StoreConsensus` stores batches, on another thread.
    pub consensus_log: Option<Box<dyn Storage>>,
    /// File that `SaveReplicatedState` replaces.
    pub replicated_state: Option<PathBuf>,
    /// Called at SIGHUP; what it reads is handed to the machine.
    pub reload: Option<Reload>,
}

/// A machine and its sockets.
pub struct Driver<M> {
    machine: M,
    epoll: OwnedFd,
    listeners: Vec<Listener>,
    sockets: BTreeMap<ConnId, Socket>,
    reserved_descriptor: Option<OwnedFd>,
    rejected: RejectedConnections,
    signals: Vec<SignalPipe>,
    write_back_log: Option<StorageThread>,
    consensus_log: Option<StorageThread>,
    /// What was read of a line of standard input.
    partial_line: Vec<u8>,
    options: Options,
    /// Time of this turn.
    now: Micros,
    is_done: bool,
}

impl<M: Machine> Driver<M> {
    /// A driver that listens nowhere yet. SIGTERM and SIGINT stop the machine gracefully.
    ///
    /// # Errors
    /// The system gives no epoll, no pipe for signals or no thread.
    pub fn new(machine: M, mut options: Options) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let signals = signals::register(&epoll)?;
        let write_back_log =
            options.write_back_log.take().map(|log| StorageThread::start("log", log)).transpose()?;
        let consensus_log =
            options.consensus_log.take().map(|log| StorageThread::start("keeper", log)).transpose()?;
        watch_log(&epoll, &write_back_log, EventSource::WriteBackLog)?;
        watch_log(&epoll, &consensus_log, EventSource::ConsensusLog)?;
        if options.read_input {
            input::watch(&epoll)?;
        }
        Ok(Driver {
            machine,
            epoll,
            listeners: Vec::new(),
            sockets: BTreeMap::new(),
            reserved_descriptor: reserve_descriptor(),
            rejected: RejectedConnections::default(),
            signals,
            write_back_log,
            consensus_log,
            partial_line: Vec::new(),
            options,
            now: clock(),
            is_done: false,
        })
    }

    /// Listens; returns the address, with the port that the system chose where 0 was asked for. A socket file
    /// that no process listens on any more is replaced.
    ///
    /// # Errors
    /// The address is in use or not available.
    pub fn listen(&mut self, address: &Address) -> io::Result<Address> {
        let (listener, bound) = Listener::bind(address)?;
        let source = EventSource::Listener(self.listeners.len());
        epoll::add(&self.epoll, listener.fd(), source.data(), epoll::EventFlags::IN)?;
        self.listeners.push(listener);
        Ok(bound)
    }

    /// Runs until the machine is done, and returns it.
    ///
    /// # Errors
    /// Waiting for events fails. What concerns one connection only ends that one.
    pub fn run(mut self) -> io::Result<M> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut next_wake = self.settle();
        while !self.is_done {
            self.wait(next_wake, &mut events)?;
            self.now = clock().max(self.now);
            for event in &events {
                self.event(EventSource::of(event.data), event.flags, &mut buffer);
            }
            next_wake = self.settle();
        }
        Ok(self.machine)
    }

    fn wait(&self, next_wake: Option<Micros>, events: &mut Vec<epoll::Event>) -> io::Result<()> {
        let sleep = next_wake.map_or(MAX_SLEEP, |at| at.since(clock()).min(MAX_SLEEP));
        let timeout =
            Timespec { tv_sec: (sleep.0 / 1_000_000) as i64, tv_nsec: (sleep.0 % 1_000_000) as i64 * 1000 };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Lets the machine settle and carries out its commands, until it has none. Returns its next wake.
    fn settle(&mut self) -> Option<Micros> {
        self.rejected.close_old(self.now);
        loop {
            let mut next_wake = self.machine.settle(self.now);
            let mut commands = self.machine.take_commands();
            // Guards against a process that stood still inside a turn: what it decided by may be over by now.
            if clock().since(self.now) > LONG_TURN {
                self.now = clock();
                next_wake = self.machine.settle(self.now);
                commands.extend(self.machine.take_commands());
            }
            if commands.is_empty() || self.is_done {
                return next_wake;
            }
            // What writing or connecting leads to (a request read behind an answer, a connection refused at once)
            // is settled too: nothing else would wake the machine for it.
            for command in commands {
                self.carry_out(command);
            }
        }
    }

    fn event(&mut self, source: EventSource, flags: epoll::EventFlags, buffer: &mut [u8]) {
        match source {
            EventSource::Listener(index) => {
                self.accept(index);
            }
            EventSource::Signal(index) => self.signal(index),
            EventSource::WriteBackLog => self.write_back_batches_done(),
            EventSource::ConsensusLog => self.consensus_batches_done(),
            EventSource::Input => self.read_input(buffer),
            EventSource::Connection(conn) => self.socket_event(conn, flags, buffer),
        }
    }
}

/// Has epoll report when a log's batches are done.
fn watch_log(epoll: &OwnedFd, log: &Option<StorageThread>, source: EventSource) -> io::Result<()> {
    if let Some(log) = log {
        epoll::add(epoll, &log.wake, source.data(), epoll::EventFlags::IN)?;
    }
    Ok(())
}
