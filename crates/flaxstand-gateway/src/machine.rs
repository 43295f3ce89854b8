//! The interface between a driver, which does the I/O, and the state machine that it runs, which does none. The
//! initiator's core is such a machine, and so is each simulated peer of a rehearsal: one driver runs them all.

pub use flaxstand_proto::Micros;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use thiserror::Error;

/// A connection. Numbers are not used again, so that an event of an old one can't be taken for a new one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Where a peer listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    /// A numeric address and port. Names are not looked up: that would block.
    Tcp(std::net::SocketAddr),
    /// A socket file.
    Unix(PathBuf),
}

/// A text that is not an address.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is no address: expected \"IP:PORT\" or \"unix:PATH\"")]
pub struct AddressError(pub String);

impl FromStr for Address {
    type Err = AddressError;
    fn from_str(text: &str) -> Result<Self, AddressError> {
        match text.strip_prefix("unix:") {
            // A socket file's name holds at most 107 bytes on Linux.
            Some(path) if !path.is_empty() && path.len() < 108 && !path.contains('\0') => {
                Ok(Address::Unix(PathBuf::from(path)))
            }
            Some(_) => Err(AddressError(text.into())),
            None => text.parse().map(Address::Tcp).map_err(|_| AddressError(text.into())),
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Tcp(address) => write!(f, "{address}"),
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// A file that is only appended to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Events that were observed.
    Record,
    /// Data of a simulated node.
    Data,
}

/// A command of a machine to its driver. Commands are carried out in order, after each turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a connection; [`Machine::connected`] or [`Machine::connect_failed`] follows.
    Connect {
        /// Its number.
        conn: ConnId,
        /// Address of the peer.
        address: Address,
    },
    /// Look again at what this connection has to write and whether it may be read.
    Flush(ConnId),
    /// Write what of `last` goes at once and close. No further event of this connection follows.
    Close {
        /// Its number.
        conn: ConnId,
        /// Bytes that its outbox still held.
        last: Vec<u8>,
    },
    /// Send nothing more on this connection once all that waits is written; its peer may still send, and is read.
    ShutdownWrite(ConnId),
    /// Replace the machine's saved state by these bytes.
    SaveList(Vec<u8>),
    /// Append these bytes to the machine's saved state. A crash may leave a part of them.
    AppendList(Vec<u8>),
    /// Append these bytes to one of a simulated peer's files, before its answers are written.
    AppendOutput(Sink, Vec<u8>),
    /// Store this batch in the write-back log; [`Machine::write_back_stored`] follows. One at a time.
    StoreWriteBack(flaxstand_storage::Batch),
    /// Store this batch in the consensus log; [`Machine::consensus_stored`] follows. One at a time.
    StoreConsensus(flaxstand_storage::Batch),
    /// Replace the file of the replicated state by these bytes, durably.
    SaveReplicatedState(Vec<u8>),
    /// Accept no more connections.
    StopListening,
    /// Write a line to standard output.
    Print(String),
    /// The machine is done.
    Exit,
}

/// What may change while a process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloaded {
    /// Limits.
    pub bounds: crate::core::Bounds,
    /// Address of the endpoint discovery service.
    pub list: Address,
}

/// What reaches a machine beside its connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Control {
    /// Stop gracefully.
    Stop,
    /// What the settings say now.
    Reload(Reloaded),
    /// A line of standard input, where the driver reads it.
    Line(String),
    /// Standard input ended.
    InputEnded,
}

/// A state machine that a driver runs. All calls of one turn have the same time, and time never goes back. The
/// driver calls [`settle`](Machine::settle) after all else of a turn, then takes the commands.
pub trait Machine {
    /// A peer connected to a listener, by the order in which the driver was told to listen.
    ///
    /// # Errors
    /// The connection is rejected: the bytes are written if they go at once, then it is closed.
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>>;
    /// A connection that the machine asked for is open.
    fn connected(&mut self, conn: ConnId, now: Micros);
    /// It could not be opened; no further event of it follows.
    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// Bytes were received.
    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros);
    /// The peer ended its stream, all of which was received, but may still read. A reset is no such end. Returns
    /// false to have the connection closed.
    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool;
    /// The connection broke or was closed; no further event of it follows.
    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// Bytes that wait to be written.
    fn outgoing(&self, conn: ConnId) -> &[u8];
    /// This many of them were written.
    fn written(&mut self, conn: ConnId, count: usize, now: Micros);
    /// Whether the connection may be read now.
    fn wants_read(&self, conn: ConnId) -> bool;
    /// Whether the end of the peer's stream is to be reported at once, although bytes before it are not read now.
    fn wants_peer_end(&self, _conn: ConnId) -> bool {
        false
    }
    /// Whether the connection was idle since its last message. Then the driver checks, before it writes, whether
    /// anything was received or the peer has closed it: it is of no further use, and nothing was sent.
    fn is_idle(&self, _conn: ConnId) -> bool {
        false
    }
    /// A batch of the write-back log was stored, or failed.
    fn write_back_stored(&mut self, _is_stored: bool, _now: Micros) {}
    /// A batch of the consensus log was stored, or failed.
    fn consensus_stored(&mut self, _is_stored: bool, _now: Micros) {}
    /// The saved state could not be replaced or appended to: what it holds now is not known.
    fn save_failed(&mut self, _now: Micros) {}
    /// An event from outside the connections.
    fn control(&mut self, control: Control, now: Micros);
    /// Every event of this moment was reported. Returns when to call again at the latest.
    fn settle(&mut self, now: Micros) -> Option<Micros>;
    /// Takes the commands, in order.
    fn take_commands(&mut self) -> Vec<Command>;
}
