//! A driver for an application's event loop, which polls the client's socket and wakes the client at set
//! times.

use crate::answer::Completion;
use crate::client::{Client, Command};
use crate::config::Config;
use crate::request::{Request, RequestId};
use flaxstand_proto::Micros;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Address of an initiator.
#[derive(Clone, Debug)]
pub enum Address {
    /// IP address and port.
    Tcp(SocketAddr),
    /// Path of a Unix socket.
    Unix(PathBuf),
}

const READ_BUFFER_SIZE: usize = 16 * 1024;

/// A connected socket of either kind, in non-blocking mode.
#[derive(Debug)]
pub(crate) enum Socket {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Socket {
    fn open(address: &Address, connect_timeout: Duration) -> io::Result<Socket> {
        Ok(match address {
            Address::Tcp(address) => {
                let stream = TcpStream::connect_timeout(address, connect_timeout)?;
                stream.set_nodelay(true)?;
                stream.set_nonblocking(true)?;
                Socket::Tcp(stream)
            }
            Address::Unix(path) => {
                let stream = UnixStream::connect(path)?;
                stream.set_nonblocking(true)?;
                Socket::Unix(stream)
            }
        })
    }

    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Socket::Tcp(stream) => stream.read(buffer),
            Socket::Unix(stream) => stream.read(buffer),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Socket::Tcp(stream) => stream.write(bytes),
            Socket::Unix(stream) => stream.write(bytes),
        }
    }

    fn fd(&self) -> BorrowedFd<'_> {
        match self {
            Socket::Tcp(stream) => stream.as_fd(),
            Socket::Unix(stream) => stream.as_fd(),
        }
    }

    /// Waits until the socket is readable, or writable if `wants_write`, for at most the time-out.
    pub(crate) fn wait_until_ready(&self, wants_write: bool, timeout: Duration) {
        let fd = self.fd();
        let flags = if wants_write { PollFlags::IN | PollFlags::OUT } else { PollFlags::IN };
        let timeout = Timespec { tv_sec: timeout.as_secs() as i64, tv_nsec: timeout.subsec_nanos().into() };
        // A socket error is reported by the next read or write.
        let _ = poll(&mut [PollFd::new(&fd, flags)], Some(&timeout));
    }
}

/// Result of a call of [`PolledClient::drive`].
#[derive(Debug)]
pub struct Progress {
    /// Requests that ended.
    pub completions: Vec<Completion>,
    /// Longest time until the next call; none: until the socket is ready or a request is submitted.
    pub next_wake_in: Option<Duration>,
}

/// A client and its socket.
#[derive(Debug)]
pub struct PolledClient {
    client: Client,
    address: Address,
    connect_timeout: Duration,
    pub(crate) socket: Option<Socket>,
    started_at: Instant,
}

impl PolledClient {
    /// Creates a client of the initiator at an address. It connects when there is a request to send.
    pub fn new(address: Address, config: Config) -> Self {
        let connect_timeout = Duration::from_micros(config.connect_timeout.0);
        let client = Client::new(config);
        PolledClient { client, address, connect_timeout, socket: None, started_at: Instant::now() }
    }

    /// Time since the client was created.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Submits a request. Call [`PolledClient::drive`] next.
    pub fn submit(&mut self, request: Request) -> RequestId {
        self.client.submit(request, self.now())
    }

    /// The socket to poll: always for reading, and also for writing while [`PolledClient::wants_write`].
    pub fn socket(&self) -> Option<BorrowedFd<'_>> {
        self.socket.as_ref().map(Socket::fd)
    }

    /// Whether there are bytes that the socket has not accepted yet.
    pub fn wants_write(&self) -> bool {
        !self.client.pending_bytes().is_empty()
    }

    /// Reads, processes due timers, and writes, without blocking. Only a TCP connect may block, for at most
    /// [`Config::connect_timeout`].
    pub fn drive(&mut self) -> Progress {
        self.read();
        let next_wake = self.advance();
        self.write();
        let next_wake_in = next_wake.map(|at| Duration::from_micros(at.since(self.now()).0));
        Progress { completions: self.client.take_completions(), next_wake_in }
    }

    /// Advances the client until it has no more commands. Returns the time of its next wake-up.
    fn advance(&mut self) -> Option<Micros> {
        loop {
            let now = self.now();
            let next_wake = self.client.advance(now);
            let commands = self.client.take_commands();
            if commands.is_empty() {
                return next_wake;
            }
            self.execute_all(commands);
        }
    }

    fn execute_all(&mut self, commands: Vec<Command>) {
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Connect => match Socket::open(&self.address, self.connect_timeout) {
                Ok(socket) => {
                    self.socket = Some(socket);
                    self.client.handle_connected(self.now());
                }
                Err(_) => self.client.handle_disconnected(self.now()),
            },
            Command::Close => self.socket = None,
        }
    }

    fn drop_connection(&mut self) {
        self.socket = None;
        self.client.handle_disconnected(self.now());
    }

    fn read(&mut self) {
        let mut buffer = [0; READ_BUFFER_SIZE];
        while let Some(socket) = &mut self.socket {
            match socket.read(&mut buffer) {
                Ok(0) => self.drop_connection(),
                Ok(count) => {
                    let now = self.now();
                    self.client.handle_bytes(&buffer[..count], now);
                    let commands = self.client.take_commands();
                    self.execute_all(commands);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.drop_connection(),
            }
        }
    }

    fn write(&mut self) {
        while let Some(socket) = &mut self.socket {
            let bytes = self.client.pending_bytes();
            if bytes.is_empty() {
                return;
            }
            match socket.write(bytes) {
                Ok(count) => self.client.mark_written(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.drop_connection(),
            }
        }
    }
}
