//! What a driver and the machine that it runs say to each other. The initiator's core is such a machine,
//! and so is each stand-in of the laboratory: one driver serves them all.

pub use flaxstand_proto::Micros;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use thiserror::Error;

/// A connection. Numbers are not used again, so that word of an old one can't be taken for a new one's.
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

/// A text that is no address.
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

/// A file that only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sink {
    /// What was seen.
    Record,
    /// What is stored.
    Data,
}

/// What a machine wants done. Carried out in order, after each turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a connection; `connected` or `connect_failed` follows.
    Connect {
        /// Its number.
        conn: ConnId,
        /// Where to.
        address: Address,
    },
    /// Look again at what this connection has to write and whether it may be read.
    Flush(ConnId),
    /// Write what of `last` goes at once and close. Nothing more is told of this connection.
    Close {
        /// Its number.
        conn: ConnId,
        /// Bytes that its outbox still held.
        last: Vec<u8>,
    },
    /// Send nothing more on this connection once all that waits is written; its peer may still send, and is read.
    ShutdownWrite(ConnId),
    /// Put these bytes into the machine's saved state, in place of what is there.
    SaveList(Vec<u8>),
    /// Add these bytes to the machine's saved state, behind what is there. A crash may leave a part of them.
    AppendList(Vec<u8>),
    /// Add these bytes to one of the machine's files. A stand-in's records, written before its answers.
    AppendOutput(Sink, Vec<u8>),
    /// Carry this batch out on the machine's log; `stored` follows. One at a time.
    StoreWriteBack(flaxstand_storage::Batch),
    /// Carry this batch out on the keeper's folder, beside the machine's log; `kept` follows. One at a time.
    StoreConsensus(flaxstand_storage::Batch),
    /// Put these bytes, durably, into the file of what was agreed on, in place of what is there.
    SaveReplicatedState(Vec<u8>),
    /// Take no more connections.
    StopListening,
    /// Write a line to standard output.
    Print(String),
    /// The machine is done.
    Exit,
}

/// What may change while a process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloaded {
    /// Its bounds.
    pub bounds: crate::core::Bounds,
    /// Where the list service is.
    pub list: Address,
}

/// What reaches a machine beside its connections.
#[derive(Clone, Debug, PartialEq)]
pub enum Control {
    /// Stop in good order.
    Stop,
    /// What the settings say now.
    Reload(Reloaded),
    /// A line of standard input, where the driver reads it.
    Line(String),
    /// Standard input ended.
    InputEnded,
}

/// A state machine that a driver runs. All calls of one turn carry the same moment, and moments never go
/// back. The driver calls `settle` after all else of a turn, then takes the commands.
pub trait Machine {
    /// A peer connected to the so manieth address listened at. An error refuses it: its bytes are written if
    /// they go at once, then the connection is closed.
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>>;
    /// A connection that the machine asked for stands.
    fn connected(&mut self, conn: ConnId, now: Micros);
    /// It does not stand; nothing more is told of it.
    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// Bytes came.
    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros);
    /// The peer ended its stream, all of which has been told, but may still read. A reset is no such end. False: close
    /// the connection.
    fn finished(&mut self, conn: ConnId, now: Micros) -> bool;
    /// The connection broke or was closed; nothing more is told of it.
    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// What waits to be written.
    fn outgoing(&self, conn: ConnId) -> &[u8];
    /// So many bytes of that were written.
    fn wrote(&mut self, conn: ConnId, count: usize, now: Micros);
    /// Whether the connection may be read now.
    fn wants_read(&self, conn: ConnId) -> bool;
    /// Whether an end of the peer's stream is to be told at once, although bytes before it are not read now.
    fn wants_end(&self, _conn: ConnId) -> bool {
        false
    }
    /// Whether the connection has rested since its last message. Then whatever came meanwhile, or its end, is looked
    /// for before anything is written: it is of no further use, and nothing of what waits has left.
    fn rested(&self, _conn: ConnId) -> bool {
        false
    }
    /// How the batch went that was to be stored.
    fn stored(&mut self, _well: bool, _now: Micros) {}
    /// How the batch went that was to be kept.
    fn kept(&mut self, _well: bool, _now: Micros) {}
    /// The saved state could not be replaced or added to: what it holds now is not known.
    fn save_failed(&mut self, _now: Micros) {}
    /// Word from outside the connections.
    fn control(&mut self, control: Control, now: Micros);
    /// Everything of this moment has been told. Returns when to call again at the latest.
    fn settle(&mut self, now: Micros) -> Option<Micros>;
    /// What is to be done, in order.
    fn take_commands(&mut self) -> Vec<Command>;
}
