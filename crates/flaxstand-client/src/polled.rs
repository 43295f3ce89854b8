//! A face for a program's own event loop: a socket to be watched, a moment to be woken at.

use crate::core::{Call, CallId, Client, Command, Config, Done};
use flaxstand_proto::Micros;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Where an initiator listens.
#[derive(Clone, Debug)]
pub enum Address {
    /// Address and port.
    Tcp(SocketAddr),
    /// A socket file.
    Unix(PathBuf),
}

#[derive(Debug)]
pub(crate) enum Socket {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl Socket {
    fn open(address: &Address, within: Duration) -> io::Result<Socket> {
        Ok(match address {
            Address::Tcp(at) => {
                let stream = TcpStream::connect_timeout(at, within)?;
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
            Socket::Tcp(s) => s.read(buffer),
            Socket::Unix(s) => s.read(buffer),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Socket::Tcp(s) => s.write(bytes),
            Socket::Unix(s) => s.write(bytes),
        }
    }

    fn fd(&self) -> BorrowedFd<'_> {
        match self {
            Socket::Tcp(s) => s.as_fd(),
            Socket::Unix(s) => s.as_fd(),
        }
    }

    /// Waits for something to read, or to be writable again if that is wanted, at most so long.
    pub(crate) fn wait(&self, writable: bool, most: Duration) {
        let fd = self.fd();
        let flags = if writable { PollFlags::IN | PollFlags::OUT } else { PollFlags::IN };
        let timeout = Timespec { tv_sec: most.as_secs() as i64, tv_nsec: most.subsec_nanos().into() };
        // What is wrong shows at the next turn.
        let _ = poll(&mut [PollFd::new(&fd, flags)], Some(&timeout));
    }
}

/// A client and its socket.
#[derive(Debug)]
pub struct Polled {
    client: Client,
    address: Address,
    dial: Duration,
    pub(crate) socket: Option<Socket>,
    begun: Instant,
}

impl Polled {
    /// A client of the initiator at an address. It connects when there is something to send.
    pub fn new(address: Address, config: Config) -> Self {
        let dial = Duration::from_micros(config.dial.0);
        Polled { client: Client::new(config), address, dial, socket: None, begun: Instant::now() }
    }

    /// The time as the client counts it.
    pub fn now(&self) -> Micros {
        Micros(self.begun.elapsed().as_micros() as u64)
    }

    /// Begins a call. Call [`Polled::turn`] next.
    pub fn call(&mut self, call: Call) -> CallId {
        self.client.call(call, self.now())
    }

    /// The socket to watch: for reading always, for writing while [`Polled::wants_write`].
    pub fn socket(&self) -> Option<BorrowedFd<'_>> {
        self.socket.as_ref().map(Socket::fd)
    }

    /// Bytes wait that did not go.
    pub fn wants_write(&self) -> bool {
        !self.client.outgoing().is_empty()
    }

    /// Does what there is to do now, without waiting (but for a TCP connection being made, at most
    /// [`Config::dial`]). Returns what is over and how long at most until the next turn.
    pub fn turn(&mut self) -> (Vec<Done>, Option<Duration>) {
        self.read();
        let wake = loop {
            let now = self.now();
            let wake = self.client.settle(now);
            let commands = self.client.take_commands();
            if commands.is_empty() {
                break wake;
            }
            commands.into_iter().for_each(|command| self.carry_out(command));
        };
        self.write();
        let wait = wake.map(|at| Duration::from_micros(at.since(self.now()).0));
        (self.client.take_done(), wait)
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Connect => match Socket::open(&self.address, self.dial) {
                Ok(socket) => {
                    self.socket = Some(socket);
                    self.client.connected(self.now());
                }
                Err(_) => self.client.closed(self.now()),
            },
            Command::Close => self.socket = None,
        }
    }

    fn lost(&mut self) {
        self.socket = None;
        self.client.closed(self.now());
    }

    fn read(&mut self) {
        let mut buffer = [0; 16 * 1024];
        while let Some(socket) = &mut self.socket {
            match socket.read(&mut buffer) {
                Ok(0) => self.lost(),
                Ok(count) => {
                    let now = self.now();
                    self.client.received(&buffer[..count], now);
                    for command in self.client.take_commands() {
                        self.carry_out(command);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.lost(),
            }
        }
    }

    fn write(&mut self) {
        while let Some(socket) = &mut self.socket {
            let bytes = self.client.outgoing();
            if bytes.is_empty() {
                return;
            }
            match socket.write(bytes) {
                Ok(count) => self.client.wrote(count),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.lost(),
            }
        }
    }
}
