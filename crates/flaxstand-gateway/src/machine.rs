//! Interface between a driver, which does the I/O, and the state machine that it runs, which does none. The
//! initiator's core and each simulated peer of a rehearsal are such machines; the same driver runs them all.

pub use flaxstand_proto::Micros;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use thiserror::Error;

/// Id of a connection. Ids are not reused, so that an event of a closed connection can't be attributed to a
/// new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Time at which bytes arrived at this host, nanoseconds since the Unix epoch. Only good for ordering: the clock
/// may be set in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ArrivalTime(pub u64);

/// Address at which a peer listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    /// A numeric address and port. Host names are not supported: resolving them would block.
    Tcp(std::net::SocketAddr),
    /// Path of a Unix domain socket.
    Unix(PathBuf),
}

/// The text is not a valid address.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a valid address: expected \"IP:PORT\" or \"unix:PATH\"")]
pub struct AddressError(pub String);

impl FromStr for Address {
    type Err = AddressError;
    fn from_str(text: &str) -> Result<Self, AddressError> {
        match text.strip_prefix("unix:") {
            // Linux limits the path of a socket to 107 bytes.
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

/// An append-only file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sink {
    /// Observed events.
    Record,
    /// Data of a simulated node.
    Data,
}

/// A command of a machine to its driver. Commands are executed in order, after each turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Open a connection; [`Machine::connected`] or [`Machine::connect_failed`] follows.
    Connect {
        /// Id of the connection.
        conn: ConnId,
        /// Address of the peer.
        address: Address,
    },
    /// Check again what this connection has to write and whether it may be read.
    Flush(ConnId),
    /// Write as much of `last` as possible without blocking, then close. No further event of this connection
    /// follows.
    Close {
        /// Id of the connection.
        conn: ConnId,
        /// Remaining output of the connection.
        last: Vec<u8>,
    },
    /// Shut down the sending side of this connection once its pending output is written. The peer may still
    /// send, and is read.
    ShutdownWrite(ConnId),
    /// Replace the machine's saved state with these bytes.
    SaveList(Vec<u8>),
    /// Append these bytes to the machine's saved state. After a crash, a part of them
    /// may be present.
    AppendList(Vec<u8>),
    /// Append these bytes to one of a simulated peer's files, before its responses are written.
    AppendOutput(Sink, Vec<u8>),
    /// Store this batch in the write-back log; [`Machine::write_back_stored`] follows. One at a time.
    StoreWriteBack(flaxstand_storage::Batch),
    /// Store this batch in the consensus log; [`Machine::consensus_stored`] follows. One at a time.
    StoreConsensus(flaxstand_storage::Batch),
    /// Durably replace the file of the replicated state with these bytes.
    SaveReplicatedState(Vec<u8>),
    /// Stop accepting connections.
    StopListening,
    /// Write a line to standard output.
    Print(String),
    /// The machine has finished; stop running it.
    Exit,
}

/// Settings that can be changed at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloaded {
    /// Resource limits.
    pub bounds: crate::core::Bounds,
    /// Bounds of memory; `None` leaves them unchanged.
    pub memory_bounds: Option<crate::core::MemoryBounds>,
    /// Address of the endpoint discovery service.
    pub list: Address,
}

/// An event that does not belong to a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Control {
    /// Stop gracefully.
    Stop,
    /// Apply reloaded settings.
    Reload(Reloaded),
    /// A line of standard input, if the driver reads it.
    Line(String),
    /// Standard input ended.
    InputEnded,
}

/// A state machine that a driver runs. Time never decreases, and bytes are reported at a time not earlier than
/// their arrival. At the end of a turn the driver calls [`settle`](Machine::settle), then takes the commands.
pub trait Machine {
    /// Reports that a peer connected to a listener. `listener` is the index in the driver's list of
    /// listeners.
    ///
    /// # Errors
    /// The connection is rejected. The driver writes as many of these bytes as possible without blocking,
    /// then closes it.
    fn accepted(&mut self, listener: usize, now: Micros) -> Result<ConnId, Vec<u8>>;
    /// Reports that a connection requested by [`Command::Connect`] is open.
    fn connected(&mut self, conn: ConnId, now: Micros);
    /// Reports that a connection could not be opened. No further event of it follows.
    fn connect_failed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// Reports received bytes.
    fn received(&mut self, conn: ConnId, bytes: &[u8], now: Micros);
    /// Reports received bytes with the time at which the last of them arrived. Called in place of
    /// [`received`](Machine::received) for accepted connections, if the machine wants these times.
    fn received_with_time(&mut self, conn: ConnId, bytes: &[u8], _arrived_at: ArrivalTime, now: Micros) {
        self.received(conn, bytes, now);
    }
    /// Returns whether the machine wants to know when bytes arrived.
    fn wants_arrival_times(&self) -> bool {
        false
    }
    /// Reports that all connections and bytes that had arrived when this turn began were reported. Called at
    /// most once per turn, before the machine is settled.
    fn input_delivered(&mut self, _now: Micros) {}
    /// Reports that the peer shut down its sending side and all its data was received. The peer may still
    /// read. Not called for a reset. Returns false to have the connection closed.
    fn peer_finished(&mut self, conn: ConnId, now: Micros) -> bool;
    /// Reports that a connection broke or was closed. No further event of it follows.
    fn closed(&mut self, conn: ConnId, cause: &str, now: Micros);
    /// Returns the pending output of a connection.
    fn outgoing(&self, conn: ConnId) -> &[u8];
    /// Reports that this many bytes of the pending output were written.
    fn written(&mut self, conn: ConnId, count: usize, now: Micros);
    /// Returns whether the connection may be read now.
    fn wants_read(&self, conn: ConnId) -> bool;
    /// Returns whether the peer's end of its stream is to be reported at once, also before bytes that it sent
    /// earlier and that were not read: nothing is begun for a peer that has gone.
    fn wants_peer_end(&self, _conn: ConnId) -> bool {
        false
    }
    /// Returns whether the connection has been idle since its last message. If so, the driver checks before
    /// writing whether data was received or the peer has closed the connection; in that case it is unusable,
    /// and nothing is sent.
    fn is_idle(&self, _conn: ConnId) -> bool {
        false
    }
    /// Returns the client on whose behalf the first byte of a request is about to be written to this connection. The
    /// driver checks before whether that client has closed its connection, and reports it if so.
    fn begins_for(&self, _conn: ConnId) -> Option<ConnId> {
        None
    }
    /// Reports whether a batch of the write-back log was stored.
    fn write_back_stored(&mut self, _is_stored: bool, _now: Micros) {}
    /// Reports whether a batch of the consensus log was stored.
    fn consensus_stored(&mut self, _is_stored: bool, _now: Micros) {}
    /// Reports that replacing or appending to the saved state failed. Its content is now undefined.
    fn save_failed(&mut self, _now: Micros) {}
    /// Reports an event that does not belong to a connection.
    fn control(&mut self, control: Control, now: Micros);
    /// Completes a turn, after all its events were reported. Returns the latest time of the next call.
    fn settle(&mut self, now: Micros) -> Option<Micros>;
    /// Takes the queued commands, in order.
    fn take_commands(&mut self) -> Vec<Command>;
}
