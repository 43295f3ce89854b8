//! Runs a machine on epoll: one thread, no runtime. The clock is read once a turn and never goes back.
//!
//! Each turn: wait for events or the machine's next moment, read the clock, hand over what came (a bounded
//! part of each connection, so that none starves the others), let the machine settle, do what it wants.

mod disk;
mod files;
mod listener;

pub use files::replace;

use crate::machine::{Address, Command, ConnId, Control, Machine, Micros, Reloaded, Sink};
use disk::{Disk, wake_pipe};
use files::{append, replace_durably};
use flaxstand_storage::Storage;
use listener::Listener;
use rustix::event::{Timespec, epoll};
use rustix::fd::OwnedFd;
use rustix::io::{Errno, read, write};
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, PipeReader, Write as _};
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// Most bytes read from one connection in a turn.
const READ_A_TURN: usize = 256 * 1024;
/// Most connections accepted from one listener in a turn.
const ACCEPT_A_TURN: usize = 64;
/// Events taken from the system in a turn.
const EVENTS_A_TURN: usize = 1024;
/// A turn that takes longer than this is settled again at its end, before anything of it is written.
const LONG_TURN: Micros = Micros(50_000);
/// Longest sleep without a moment of the machine's.
const LONGEST_SLEEP: Micros = Micros(3_600_000_000);

/// The monotonic clock, microseconds. The same for all processes of a host.
pub fn clock() -> Micros {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Micros(t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1000)
}

/// Connections that were refused with a word, most; each is kept until its peer has had time to read it. Part of the
/// descriptors that the platform's settings keep back.
const PARTING: usize = 8;
const PARTING_KEPT: Micros = Micros(250_000);

struct Socket {
    fd: OwnedFd,
    dialing: bool,
    /// The peer sends nothing more.
    finished: bool,
    /// Nothing more is sent once all that waits is written; and that has been.
    ends: bool,
    shut: bool,
    interest: epoll::EventFlags,
}

impl Socket {
    fn new(fd: OwnedFd, dialing: bool, interest: epoll::EventFlags) -> Self {
        Socket { fd, dialing, finished: false, ends: false, shut: false, interest }
    }
}

/// What an event of epoll is about; part of its number.
const LISTENER: u64 = 1 << 62;
const SIGNAL: u64 = 1 << 61;
const INPUT: u64 = 1 << 60;
const DISK: u64 = 1 << 59;
const KEEPER: u64 = 1 << 58;

/// Reads the settings anew; none: they stay.
pub type Reload = Box<dyn FnMut() -> Option<Reloaded> + Send>;

/// What a driver does beside running its machine.
#[derive(Default)]
pub struct Options {
    /// Where the machine's state is: `Save` replaces it as a whole, `AppendSaved` adds to it.
    pub saved: Option<PathBuf>,
    /// Where `Append` puts records.
    pub record: Option<File>,
    /// Where `Append` puts data.
    pub data: Option<File>,
    /// Read lines of standard input.
    pub input: bool,
    /// Where `Store` puts batches, on a thread of its own: the machine never waits for a disk.
    pub log: Option<Box<dyn Storage>>,
    /// Where `Keep` puts batches, on another thread.
    pub keeper: Option<Box<dyn Storage>>,
    /// Where `SaveBook` puts what was agreed on.
    pub book: Option<PathBuf>,
    /// Called at SIGHUP; what it reads is handed to the machine.
    pub reload: Option<Reload>,
}

/// A machine and its sockets.
pub struct Driver<M> {
    machine: M,
    epoll: OwnedFd,
    listeners: Vec<Listener>,
    sockets: BTreeMap<ConnId, Socket>,
    /// Given up for a moment when descriptors run out, to take a client and tell it goodbye.
    spare: Option<OwnedFd>,
    /// Refused connections: closed at once over what their peer has sent, they would be reset, and the refusal lost.
    close_reason: VecDeque<(Micros, OwnedFd)>,
    signals: Vec<(PipeReader, Signal)>,
    disk: Option<Disk>,
    keeper: Option<Disk>,
    input: Vec<u8>,
    options: Options,
    now: Micros,
    done: bool,
}

#[derive(Clone, Copy)]
enum Signal {
    Stop,
    Reload,
}

impl<M: Machine> Driver<M> {
    /// A driver that listens nowhere yet. SIGTERM and SIGINT stop the machine in good order.
    ///
    /// # Errors
    /// The system gives no epoll or no pipe for signals.
    pub fn new(machine: M, mut options: Options) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let mut signals = Vec::new();
        for (number, signal) in [
            (signal_hook::consts::SIGTERM, Signal::Stop),
            (signal_hook::consts::SIGINT, Signal::Stop),
            (signal_hook::consts::SIGHUP, Signal::Reload),
        ] {
            let (ours, theirs) = wake_pipe()?;
            signal_hook::low_level::pipe::register(number, theirs)?;
            let data = epoll::EventData::new_u64(SIGNAL | signals.len() as u64);
            epoll::add(&epoll, &ours, data, epoll::EventFlags::IN)?;
            signals.push((ours, signal));
        }
        let disk = options.log.take().map(|s| Disk::start("log", s)).transpose()?;
        let keeper = options.keeper.take().map(|s| Disk::start("keeper", s)).transpose()?;
        for (disk, data) in [(&disk, DISK), (&keeper, KEEPER)] {
            if let Some(disk) = disk {
                epoll::add(&epoll, &disk.done_pipe, epoll::EventData::new_u64(data), epoll::EventFlags::IN)?;
            }
        }
        if options.input {
            let stdin = io::stdin();
            rustix::io::ioctl_fionbio(&stdin, true)?;
            match epoll::add(&epoll, &stdin, epoll::EventData::new_u64(INPUT), epoll::EventFlags::IN) {
                // A file or /dev/null can't be waited on; there is nobody at its other end.
                Ok(()) | Err(Errno::PERM) => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(Driver {
            machine,
            epoll,
            listeners: Vec::new(),
            sockets: BTreeMap::new(),
            spare: spare(),
            close_reason: VecDeque::new(),
            signals,
            disk,
            keeper,
            input: Vec::new(),
            options,
            now: clock(),
            done: false,
        })
    }

    /// Listens; returns the address, with the port that the system chose where 0 was asked for. A socket
    /// file that no process listens on any more is replaced.
    ///
    /// # Errors
    /// The address is in use or not to be had.
    pub fn listen(&mut self, address: &Address) -> io::Result<Address> {
        let (listener, at) = Listener::bind(address)?;
        let data = epoll::EventData::new_u64(LISTENER | self.listeners.len() as u64);
        epoll::add(&self.epoll, listener.fd(), data, epoll::EventFlags::IN)?;
        self.listeners.push(listener);
        Ok(at)
    }

    /// Runs until the machine is done.
    ///
    /// # Errors
    /// Waiting for events fails. What concerns one connection only ends that one.
    pub fn run(mut self) -> io::Result<M> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(EVENTS_A_TURN);
        let mut buffer = vec![0; 64 * 1024];
        let mut next = self.turn();
        while !self.done {
            let sleep = next.map_or(LONGEST_SLEEP, |at| at.since(clock()).min(LONGEST_SLEEP));
            let timeout = Timespec {
                tv_sec: (sleep.0 / 1_000_000) as i64,
                tv_nsec: (sleep.0 % 1_000_000) as i64 * 1000,
            };
            events.clear();
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
                Ok(_) | Err(Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
            self.now = clock().max(self.now);
            for event in &events {
                self.event(event.data.u64(), event.flags, &mut buffer);
            }
            next = self.turn();
        }
        Ok(self.machine)
    }

    fn turn(&mut self) -> Option<Micros> {
        while self.close_reason.front().is_some_and(|(at, _)| self.now.since(*at) >= PARTING_KEPT) {
            self.close_reason.pop_front();
        }
        loop {
            let mut next = self.machine.settle(self.now);
            let mut commands = self.machine.take_commands();
            // Guards against a process that stood still inside a turn: what it decided by may be over by now.
            if clock().since(self.now) > LONG_TURN {
                self.now = clock();
                next = self.machine.settle(self.now);
                commands.extend(self.machine.take_commands());
            }
            if commands.is_empty() || self.done {
                return next;
            }
            // What writing or calling leads to (a request read behind an answer, a connection refused at once) is
            // settled too: nothing else would wake the machine for it.
            commands.into_iter().for_each(|command| self.carry_out(command));
        }
    }

    fn event(&mut self, data: u64, flags: epoll::EventFlags, buffer: &mut [u8]) {
        let index = (data & 0xffff) as usize;
        if data & LISTENER != 0 {
            let _ = self.accept(index);
        } else if data & SIGNAL != 0 {
            self.signal(index);
        } else if data == DISK || data == KEEPER {
            self.stored(data);
        } else if data == INPUT {
            self.read_input(buffer);
        } else {
            self.socket_event(ConnId(data), flags, buffer);
        }
    }

    fn socket_event(&mut self, conn: ConnId, flags: epoll::EventFlags, buffer: &mut [u8]) {
        use epoll::EventFlags as F;
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        if socket.dialing {
            if flags.intersects(F::OUT | F::ERR | F::HUP) {
                match sockopt::socket_error(&socket.fd) {
                    Ok(Ok(())) => {
                        socket.dialing = false;
                        self.machine.connected(conn, self.now);
                        self.flush(conn);
                    }
                    Ok(Err(e)) | Err(e) => {
                        self.sockets.remove(&conn);
                        self.machine.connect_failed(conn, &e.to_string(), self.now);
                    }
                }
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

    fn read(&mut self, conn: ConnId, flags: epoll::EventFlags, buffer: &mut [u8]) {
        let mut taken = 0;
        while taken < READ_A_TURN {
            let Some(socket) = self.sockets.get_mut(&conn) else { return };
            if socket.finished || !self.machine.wants_read(conn) {
                // Not to be read now; but a peer that is wholly gone is told of, and one whose end is waited for.
                use epoll::EventFlags as F;
                if flags.intersects(F::HUP | F::ERR) {
                    self.broken(conn, "connection lost");
                } else if flags.contains(F::RDHUP) && self.machine.wants_end(conn) {
                    self.broken(conn, "closed by peer behind what is not read");
                }
                return;
            }
            match read(&socket.fd, &mut *buffer) {
                Ok(0) => {
                    socket.finished = true;
                    let gone = flags.intersects(epoll::EventFlags::HUP | epoll::EventFlags::ERR);
                    if gone || !self.machine.finished(conn, self.now) {
                        self.broken(conn, "closed by peer");
                    } else {
                        self.flush(conn);
                    }
                    return;
                }
                Ok(count) => {
                    taken += count;
                    self.machine.received(conn, &buffer[..count], self.now);
                    if count < buffer.len() {
                        return;
                    }
                }
                Err(Errno::AGAIN | Errno::INTR) => return,
                Err(e) => return self.broken(conn, &e.to_string()),
            }
        }
    }

    fn broken(&mut self, conn: ConnId, cause: &str) {
        if self.sockets.remove(&conn).is_some() {
            self.machine.closed(conn, cause, self.now);
        }
    }

    /// Writes what waits, as far as it goes, and sets what epoll is to tell of.
    fn flush(&mut self, conn: ConnId) {
        loop {
            let Some(socket) = self.sockets.get_mut(&conn).filter(|s| !s.dialing) else { return };
            let waits = self.machine.outgoing(conn);
            if waits.is_empty() {
                if socket.ends && !socket.shut {
                    socket.shut = true;
                    let _ = net::shutdown(&socket.fd, net::Shutdown::Write);
                }
                break;
            }
            // Guards against a connection that its peer closes, or speaks on, in the moment in which it is used again:
            // a request that crosses that is taken for one that may have run, or is served with another's answer.
            if self.machine.rested(conn) {
                match read(&socket.fd, &mut [0; 1]) {
                    Err(Errno::AGAIN) => {}
                    Err(Errno::INTR) => continue,
                    Ok(0) => return self.broken(conn, "closed by peer before it was used again"),
                    Ok(_) => return self.broken(conn, "bytes came before it was used again"),
                    Err(e) => return self.broken(conn, &e.to_string()),
                }
            }
            match write(&socket.fd, waits) {
                Ok(count) => self.machine.wrote(conn, count, self.now),
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(e) => return self.broken(conn, &e.to_string()),
            }
        }
        let Some(socket) = self.sockets.get_mut(&conn) else { return };
        let mut interest = epoll::EventFlags::empty();
        if !socket.finished && self.machine.wants_read(conn) {
            interest |= epoll::EventFlags::IN;
        } else if !socket.finished && self.machine.wants_end(conn) {
            interest |= epoll::EventFlags::RDHUP;
        }
        if !self.machine.outgoing(conn).is_empty() {
            interest |= epoll::EventFlags::OUT;
        }
        if interest != socket.interest {
            socket.interest = interest;
            if let Err(e) =
                epoll::modify(&self.epoll, &socket.fd, epoll::EventData::new_u64(conn.0), interest)
            {
                self.broken(conn, &e.to_string());
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Connect { conn, address } => self.connect(conn, &address),
            Command::Flush(conn) => self.flush(conn),
            Command::ShutdownWrite(conn) => {
                if let Some(socket) = self.sockets.get_mut(&conn) {
                    socket.ends = true;
                    self.flush(conn);
                }
            }
            Command::Close { conn, last } => {
                if let Some(socket) = self.sockets.remove(&conn)
                    && !socket.dialing
                {
                    // A goodbye that does not go at once is not waited for.
                    let _ = write(&socket.fd, &last);
                }
            }
            Command::SaveList(bytes) => {
                self.save(|path| replace(path, &bytes));
            }
            Command::AppendList(bytes) => self.save(|path| append(path, &bytes)),
            Command::AppendOutput(sink, bytes) => {
                let file = match sink {
                    Sink::Record => &mut self.options.record,
                    Sink::Data => &mut self.options.data,
                };
                if let Some(file) = file
                    && let Err(error) = file.write_all(&bytes)
                {
                    warn!(%error, ?sink, "cannot append");
                }
            }
            Command::StoreWriteBack(batch) => {
                let sent = self.disk.as_ref().is_some_and(|disk| disk.batches.send(batch).is_ok());
                if !sent {
                    self.machine.stored(false, self.now);
                }
            }
            Command::StoreConsensus(batch) => {
                let sent = self.keeper.as_ref().is_some_and(|disk| disk.batches.send(batch).is_ok());
                if !sent {
                    self.machine.kept(false, self.now);
                }
            }
            Command::SaveReplicatedState(bytes) => {
                if let Some(path) = &self.options.book
                    && let Err(error) = replace_durably(path, &bytes)
                {
                    warn!(%error, path = %path.display(), "cannot save what was agreed on");
                }
            }
            Command::StopListening => {
                // Who has connected, and may have asked, is heard: closed unaccepted it would be reset.
                for index in 0..self.listeners.len() {
                    while self.accept(index) == ACCEPT_A_TURN {}
                }
                self.listeners.iter().for_each(|l| {
                    let _ = epoll::delete(&self.epoll, l.fd());
                });
                self.listeners.clear();
            }
            Command::Print(line) => {
                let mut out = io::stdout().lock();
                let _ = writeln!(out, "{line}").and_then(|()| out.flush());
            }
            Command::Exit => self.done = true,
        }
    }

    /// Changes the saved state, if there is a place for it.
    fn save(&mut self, change: impl FnOnce(&Path) -> io::Result<()>) {
        let Some(path) = &self.options.saved else { return };
        if let Err(error) = change(path) {
            warn!(%error, path = %path.display(), "cannot save");
            self.machine.save_failed(self.now);
        }
    }

    fn connect(&mut self, conn: ConnId, address: &Address) {
        let opened = (|| {
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
                Err(e) => Err(e),
            }
        })();
        let added = opened.and_then(|fd| {
            let interest = epoll::EventFlags::OUT;
            epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(conn.0), interest)?;
            Ok(Socket::new(fd, true, interest))
        });
        match added {
            Ok(socket) => {
                self.sockets.insert(conn, socket);
            }
            Err(e) => self.machine.connect_failed(conn, &e.to_string(), self.now),
        }
    }

    /// Accepts who waits, so many at most. Returns how many it were.
    fn accept(&mut self, index: usize) -> usize {
        for count in 0..ACCEPT_A_TURN {
            let Some(listener) = self.listeners.get(index) else { return count };
            match listener.accept() {
                Ok(fd) => self.accepted(fd, index),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return count,
                Err(e) => {
                    let code = e.raw_os_error();
                    if code == Some(Errno::MFILE.raw_os_error()) || code == Some(Errno::NFILE.raw_os_error())
                    {
                        // Out of descriptors: what waits would wake us for ever. Take one and close it.
                        warn!("no descriptors left: a client is turned away");
                        self.spare = None;
                        drop(listener.accept());
                        self.spare = spare();
                    }
                    return count;
                }
            }
        }
        ACCEPT_A_TURN
    }

    fn accepted(&mut self, fd: OwnedFd, listener: usize) {
        match self.machine.accepted(listener, self.now) {
            Ok(conn) => {
                let interest = epoll::EventFlags::IN;
                match epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(conn.0), interest) {
                    Ok(()) => {
                        self.sockets.insert(conn, Socket::new(fd, false, interest));
                    }
                    Err(e) => self.machine.closed(conn, &e.to_string(), self.now),
                }
            }
            Err(last) => {
                let _ = write(&fd, &last);
                let _ = net::shutdown(&fd, net::Shutdown::Write);
                if self.close_reason.len() >= PARTING {
                    self.close_reason.pop_front();
                }
                self.close_reason.push_back((self.now, fd));
            }
        }
    }

    fn signal(&mut self, index: usize) {
        let (stream, signal) = &self.signals[index];
        let mut byte = [0; 64];
        while matches!(read(stream, &mut byte), Ok(n) if n > 0) {}
        match signal {
            Signal::Stop => self.machine.control(Control::Stop, self.now),
            Signal::Reload => {
                info!("reload asked for");
                if let Some(reloaded) = self.options.reload.as_mut().and_then(|reload| reload()) {
                    self.machine.control(Control::Reload(reloaded), self.now);
                }
            }
        }
    }

    fn stored(&mut self, data: u64) {
        let Some(disk) = (if data == DISK { &self.disk } else { &self.keeper }) else { return };
        let mut byte = [0; 64];
        while matches!(read(&disk.done_pipe, &mut byte), Ok(n) if n > 0) {}
        while let Ok(done) = disk.done.try_recv() {
            if let Err(error) = &done {
                warn!(%error, "cannot store");
            }
            match data {
                DISK => self.machine.stored(done.is_ok(), self.now),
                _ => self.machine.kept(done.is_ok(), self.now),
            }
        }
    }

    fn read_input(&mut self, buffer: &mut [u8]) {
        match read(io::stdin(), &mut *buffer) {
            Ok(0) => {
                let _ = epoll::delete(&self.epoll, io::stdin());
                self.machine.control(Control::InputEnded, self.now);
            }
            Ok(count) => {
                self.input.extend_from_slice(&buffer[..count]);
                while let Some(end) = self.input.iter().position(|b| *b == b'\n') {
                    let line: Vec<u8> = self.input.drain(..=end).collect();
                    let line = String::from_utf8_lossy(&line[..end]).into_owned();
                    self.machine.control(Control::Line(line), self.now);
                }
            }
            Err(_) => {}
        }
    }
}

fn spare() -> Option<OwnedFd> {
    File::open("/dev/null").ok().map(OwnedFd::from)
}
