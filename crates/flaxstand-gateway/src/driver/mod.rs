//! Event loop that runs a machine on epoll, with one thread and no async runtime. The clock is monotonic. It
//! is read at the start of a turn and after each read from a connection.
//!
//! Each turn waits for events or the machine's next wake-up, reads the clock, delivers the events (first the ends
//! of clients' connections, then a bounded number of bytes per connection, so that none starves the others),
//! settles the machine and executes its commands.
//!
//! - `accepting`, `listener`: incoming connections
//! - `socket`: reads and writes of all connections
//! - `socket_buffers`: sizes of the kernel's buffers
//! - `timestamps`: when received bytes arrived
//! - `commands`: execution of the machine's commands
//! - `storage_thread`, `state_files`: storage of batches and files
//! - `signals`, `input`: control from outside the connections
//! - `event_source`: epoll user data

mod accepting;
mod commands;
mod event_source;
mod input;
mod listener;
mod signals;
mod socket;
mod socket_buffers;
mod state_files;
mod storage_thread;
mod timestamps;

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

/// Maximum number of epoll events per turn.
const MAX_EVENTS_PER_TURN: usize = 1024;
/// Size of the buffer for reads from connections, bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// After a turn longer than this the machine is settled again before any output is written.
const LONG_TURN: Micros = Micros(50_000);
/// Longest wait for events, also without a wake-up requested by the machine.
const MAX_SLEEP: Micros = Micros(3_600_000_000);

/// Reads the monotonic clock, microseconds. All processes of a host share it.
pub fn clock() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1000)
}

/// Reloads the settings. Returns `None` if they stay unchanged.
pub type Reload = Box<dyn FnMut() -> Option<Reloaded> + Send>;

/// Options of a driver: files, logs and the reload of settings.
#[derive(Default)]
pub struct Options {
    /// File of the saved endpoint list: `SaveList` replaces it, `AppendList` appends to it.
    pub saved_list: Option<PathBuf>,
    /// File that `AppendOutput` appends records to.
    pub record: Option<File>,
    /// File that `AppendOutput` appends data to.
    pub data: Option<File>,
    /// Whether lines of standard input are passed to the machine.
    pub read_input: bool,
    /// Log in which `StoreWriteBack` stores batches, on a separate thread so that the machine never blocks on
    /// a disk.
    pub write_back_log: Option<Box<dyn Storage>>,
    /// Log in which `StoreConsensus` stores batches, on another separate thread.
    pub consensus_log: Option<Box<dyn Storage>>,
    /// File that `SaveReplicatedState` replaces.
    pub replicated_state: Option<PathBuf>,
    /// Size of the kernel's buffer for each direction of a TCP connection, bytes; `None` for the system's default.
    pub socket_buffer_bytes: Option<usize>,
    /// Called on SIGHUP; the reloaded settings are passed to the machine.
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
    /// Incomplete line read from standard input.
    partial_line: Vec<u8>,
    options: Options,
    /// Time reported to the machine.
    now: Micros,
    is_done: bool,
}

impl<M: Machine> Driver<M> {
    /// Creates a driver without listeners. SIGTERM and SIGINT stop the machine gracefully.
    ///
    /// # Errors
    /// Creating the epoll instance, a signal pipe or a storage thread fails.
    pub fn new(machine: M, mut options: Options) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let signals = signals::register(&epoll)?;
        let write_back_log =
            options.write_back_log.take().map(|log| StorageThread::start("log", log)).transpose()?;
        let consensus_log =
            options.consensus_log.take().map(|log| StorageThread::start("keeper", log)).transpose()?;
        register_log(&epoll, &write_back_log, EventSource::WriteBackLog)?;
        register_log(&epoll, &consensus_log, EventSource::ConsensusLog)?;
        if options.read_input {
            input::register(&epoll)?;
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

    /// Listens on an address. Returns the bound address; for port 0 it contains the port chosen by the
    /// system. A stale socket file, on which no process listens, is replaced.
    ///
    /// # Errors
    /// The address is in use or not available.
    pub fn listen(&mut self, address: &Address) -> io::Result<Address> {
        let (listener, bound) = Listener::bind(address, self.options.socket_buffer_bytes)?;
        let source = EventSource::Listener(self.listeners.len());
        epoll::add(&self.epoll, listener.fd(), source.data(), epoll::EventFlags::IN)?;
        self.listeners.push(listener);
        self.record_arrivals(self.listeners.len() - 1);
        Ok(bound)
    }

    /// Runs until the machine exits, and returns it.
    ///
    /// # Errors
    /// Waiting for events fails. An error of a single connection closes only that connection.
    pub fn run(mut self) -> io::Result<M> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS_PER_TURN);
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut next_wake = self.settle();
        while !self.is_done {
            let is_polled = self.wait(next_wake, &mut events)?;
            self.now = clock().max(self.now);
            let mut is_complete = is_polled && events.len() < MAX_EVENTS_PER_TURN;
            for event in &events {
                self.handle_departure(EventSource::of(event.data), event.flags);
            }
            for event in &events {
                let source = EventSource::of(event.data);
                is_complete &= self.handle_event(source, event.flags, &mut buffer);
            }
            if is_complete {
                self.machine.input_delivered(self.now);
            }
            next_wake = self.settle();
        }
        Ok(self.machine)
    }

    /// Waits for events. Returns false if a signal interrupted it.
    fn wait(&self, next_wake: Option<Micros>, events: &mut Vec<epoll::Event>) -> io::Result<bool> {
        let sleep = next_wake.map_or(MAX_SLEEP, |at| at.since(clock()).min(MAX_SLEEP));
        let timeout =
            Timespec { tv_sec: (sleep.0 / 1_000_000) as i64, tv_nsec: (sleep.0 % 1_000_000) as i64 * 1000 };
        events.clear();
        match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) => Ok(true),
            Err(Errno::INTR) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Settles the machine and executes its commands until there are none. Returns the next wake-up.
    fn settle(&mut self) -> Option<Micros> {
        self.rejected.close_expired(self.now);
        loop {
            let mut next_wake = self.machine.settle(self.now);
            let mut commands = self.machine.take_commands();
            // If the process was suspended within the turn, the state behind its decisions, such as a lease,
            // may have expired.
            if clock().since(self.now) > LONG_TURN {
                self.now = clock();
                next_wake = self.machine.settle(self.now);
                commands.extend(self.machine.take_commands());
            }
            if commands.is_empty() || self.is_done {
                return next_wake;
            }
            // Executing a command may cause new events (a request read after a response is written, a
            // connection refused immediately). They are settled in the next iteration, since nothing else
            // would wake the machine.
            for command in commands {
                self.execute(command);
            }
        }
    }

    /// Executes the commands that the machine has queued so far in this turn. Returns false if the turn has taken so
    /// long that the machine has to be settled first.
    fn execute_pending(&mut self) -> bool {
        if clock().since(self.now) > LONG_TURN {
            return false;
        }
        for command in self.machine.take_commands() {
            self.execute(command);
        }
        true
    }

    /// Reports the end of a connection whose machine wants to know of it before anything else: what other events
    /// of this turn bring about must not be begun for a peer that has gone.
    fn handle_departure(&mut self, source: EventSource, flags: epoll::EventFlags) {
        if let EventSource::Connection(conn) = source
            && self.machine.wants_peer_end(conn)
        {
            self.report_departure(conn, flags);
        }
    }

    /// Handles an event. Returns false if more connections may be pending than were accepted.
    fn handle_event(&mut self, source: EventSource, flags: epoll::EventFlags, buffer: &mut [u8]) -> bool {
        match source {
            EventSource::Listener(index) => {
                let accepted = self.accept_pending(index);
                let is_limited = accepted.is_limited();
                accepted.conns.into_iter().for_each(|conn| self.read_accepted(conn, buffer));
                return !is_limited;
            }
            EventSource::Signal(index) => self.handle_signal(index),
            EventSource::WriteBackLog => self.report_write_back_results(),
            EventSource::ConsensusLog => self.report_consensus_results(),
            EventSource::Input => self.read_input(buffer),
            EventSource::Connection(conn) => self.socket_event(conn, flags, buffer),
        }
        true
    }
}

/// Registers a log's wake pipe with epoll, which reports completed batches.
fn register_log(epoll: &OwnedFd, log: &Option<StorageThread>, source: EventSource) -> io::Result<()> {
    if let Some(log) = log {
        epoll::add(epoll, &log.wake, source.data(), epoll::EventFlags::IN)?;
    }
    Ok(())
}
