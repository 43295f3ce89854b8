//! Connections with their input and output buffers, and commands to the driver. The table records the peer
//! and the protocol of each connection, as variants of [`Peer`] and [`Protocol`], but does not interpret what
//! is received.

use super::agreement::AgreementPeer;
use super::clients::Client;
use super::http_connection::HttpServer;
use super::memory_use::MemoryUse;
use super::pooled_connection::PooledConnection;
use super::timers::{Timer, TimerQueue};
use crate::machine::{Address, Command, ConnId, Micros};
use flaxstand::api::NodeId;
use flaxstand_proto::{Frame, Inbox, Outbox, encode};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Peer of a connection.
#[derive(Debug)]
pub(super) enum Peer {
    Client(Client),
    Node(NodeId),
    /// The discovery service.
    Discovery,
    /// Another initiator in the agreement, or an operator.
    Agreement(AgreementPeer),
}

impl Peer {
    /// Returns the node's id if the peer is a node.
    pub(super) fn node(&self) -> Option<NodeId> {
        match self {
            Peer::Node(node) => Some(*node),
            _ => None,
        }
    }
}

/// Progress of a connection's establishment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The driver is opening the connection.
    Connecting,
    /// Connected; the peer's first frame is outstanding.
    Greeting,
    /// Frames or requests may be sent.
    Open,
}

/// Protocol of a connection, with partially received messages.
#[derive(Debug)]
pub(super) enum Protocol {
    Frames(Inbox),
    /// HTTP server side: requests of a client.
    HttpServer(HttpServer),
    /// HTTP client side: requests to a node.
    HttpClient(PooledConnection),
    /// HTTP client side: requests to the discovery service. Its reader is in the discovery state.
    DiscoveryPoll,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) peer: Peer,
    pub(super) stage: Stage,
    pub(super) protocol: Protocol,
    pub(super) outbox: Outbox,
    /// What the connection is charged for in the sums of the table.
    charged: MemoryUse,
}

/// All connections, and the commands queued for the driver.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    conns: BTreeMap<ConnId, Connection>,
    next_conn: u64,
    visited: Cell<u64>,
    /// Connections to nodes.
    upstream: BTreeSet<ConnId>,
    commands: Vec<Command>,
    /// Memory that the connections are charged for.
    memory: MemoryUse,
    /// Memory of each connection, for each kind of data, that is not charged, bytes.
    free_bytes: usize,
}

impl ConnectionTable {
    /// Sets how much each connection may hold of each kind of data without being charged, bytes. Applies to each
    /// connection from its next change on.
    pub(super) fn set_free_bytes(&mut self, free_bytes: usize) {
        self.free_bytes = free_bytes;
    }

    /// Adds a connection that the driver has accepted or will open.
    pub(super) fn open(&mut self, peer: Peer, stage: Stage, protocol: Protocol) -> ConnId {
        self.next_conn += 1;
        let id = ConnId(self.next_conn);
        if let Peer::Node(_) = peer {
            self.upstream.insert(id);
        }
        let charged = MemoryUse::default();
        self.conns.insert(id, Connection { peer, stage, protocol, outbox: Outbox::default(), charged });
        id
    }

    /// Connects to a peer. The connection must be open by `by`.
    pub(super) fn dial(
        &mut self,
        timers: &mut TimerQueue,
        peer: Peer,
        protocol: Protocol,
        address: Address,
        by: Micros,
    ) -> ConnId {
        let conn = self.open(peer, Stage::Connecting, protocol);
        timers.set(by, Timer::ConnectTimeout(conn));
        self.command(Command::Connect { conn, address });
        conn
    }

    /// Returns a connection.
    pub(super) fn get(&self, conn: ConnId) -> Option<&Connection> {
        self.conns.get(&conn)
    }

    /// Returns a connection for modification.
    pub(super) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.conns.get_mut(&conn)
    }

    /// Iterates over all connections. Each counts as visited.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnId, &Connection)> {
        self.conns.iter().map(|(id, conn)| {
            self.count_visited();
            (*id, conn)
        })
    }

    /// Iterates over the connections to nodes. Each counts as visited.
    pub(super) fn upstream(&self) -> impl Iterator<Item = (ConnId, &Connection)> {
        self.upstream.iter().filter_map(|id| {
            self.count_visited();
            Some((*id, self.conns.get(id)?))
        })
    }

    /// Counts a connection as visited in an iteration.
    pub(super) fn count_visited(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Returns how many connections were visited in iterations since the start.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Returns the number of connections, including those being opened.
    pub(super) fn len(&self) -> usize {
        self.conns.len()
    }

    /// Sets a connection's stage.
    pub(super) fn set_stage(&mut self, conn: ConnId, stage: Stage) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.stage = stage;
        }
    }

    /// Returns whether frames may be sent on a connection.
    pub(super) fn is_open(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| c.stage == Stage::Open)
    }

    /// Returns whether a connection uses the frame protocol rather than HTTP.
    pub(super) fn speaks_frames(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| matches!(c.protocol, Protocol::Frames(_)))
    }

    /// Appends a frame to a connection's outbox. Returns its end offset in the stream.
    pub(super) fn send_frame(&mut self, conn: ConnId, frame: &Frame<'_>) -> u64 {
        self.write(conn, |bytes| encode(frame, bytes))
    }

    /// Appends bytes to a connection's outbox. Returns their end offset in the stream.
    pub(super) fn write(&mut self, conn: ConnId, add: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let Some(c) = self.conns.get_mut(&conn) else { return u64::MAX };
        if c.outbox.is_empty() {
            self.commands.push(Command::Flush(conn));
        }
        let end_offset = c.outbox.write(add);
        self.update_charge(conn);
        end_offset
    }

    /// Records that `count` bytes of a connection's output were written.
    pub(super) fn record_written(&mut self, conn: ConnId, count: usize) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.outbox.advance(count);
        self.update_charge(conn);
    }

    /// Charges a connection for what it holds now. Called after each change of its buffers.
    pub(super) fn update_charge(&mut self, conn: ConnId) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let charge = MemoryUse::of_connection(c, self.free_bytes);
        self.memory.replace(c.charged, charge);
        c.charged = charge;
    }

    /// Returns the memory that a connection is charged for.
    pub(super) fn charge_of(&self, conn: ConnId) -> MemoryUse {
        self.conns.get(&conn).map(|c| c.charged).unwrap_or_default()
    }

    /// Returns the memory that all connections are charged for.
    pub(super) fn memory(&self) -> MemoryUse {
        self.memory
    }

    /// Closes a connection on which no other state depends.
    pub(super) fn discard(&mut self, conn: ConnId) {
        if self.remove(conn).is_some() {
            self.command(Command::Close { conn, last: Vec::new() });
        }
    }

    /// Removes a connection; it is no longer charged.
    pub(super) fn remove(&mut self, conn: ConnId) -> Option<Connection> {
        let removed = self.conns.remove(&conn)?;
        self.upstream.remove(&conn);
        self.memory.replace(removed.charged, MemoryUse::default());
        Some(removed)
    }

    /// Queues a command for the driver.
    pub(super) fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Takes the queued commands, in order.
    pub(super) fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}
