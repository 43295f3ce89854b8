//! Connections with what is read and written on them, and commands to the driver. The table knows whose a
//! connection is, and nothing of what is done with what comes on it: each kind of peer has a variant of
//! [`Peer`], and each protocol one of [`Protocol`].

use super::agreement::AgreementPeer;
use super::clients::Client;
use super::http_connection::HttpServer;
use super::pooled_connection::PooledConnection;
use super::timers::{Timer, TimerQueue};
use crate::machine::{Address, Command, ConnId, Micros};
use flaxstand::api::NodeId;
use flaxstand_proto::{Frame, Inbox, Outbox, encode};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Whose connection it is.
#[derive(Debug)]
pub(super) enum Peer {
    Client(Client),
    Node(NodeId),
    /// The discovery service.
    Discovery,
    /// Another initiator, or an operator, of the agreement.
    Agreement(AgreementPeer),
}

impl Peer {
    /// The node, if it is one.
    pub(super) fn node(&self) -> Option<NodeId> {
        match self {
            Peer::Node(node) => Some(*node),
            _ => None,
        }
    }
}

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The driver is opening it.
    Connecting,
    /// It is connected; the peer's first frame has not come.
    Greeting,
    /// Frames or requests may be sent.
    Open,
}

/// What is spoken on a connection, and what has come of it in part.
#[derive(Debug)]
pub(super) enum Protocol {
    Frames(Inbox),
    /// HTTP that a client asks of us.
    HttpServer(HttpServer),
    /// HTTP that we ask of a node.
    HttpClient(PooledConnection),
    /// HTTP that we ask of the discovery service; discovery has the reader.
    DiscoveryPoll,
}

/// A connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) peer: Peer,
    pub(super) stage: Stage,
    pub(super) protocol: Protocol,
    pub(super) outbox: Outbox,
}

/// Connections and commands.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    conns: BTreeMap<ConnId, Connection>,
    next_conn: u64,
    walked: Cell<u64>,
    /// Connections that lead to nodes.
    upstream: BTreeSet<ConnId>,
    commands: Vec<Command>,
    /// Bytes of requests that are not yet whole.
    partial_bytes: usize,
    /// Bytes of nodes' answers that are not yet whole.
    response_bytes: usize,
    /// Bytes of answers that clients who speak HTTP have not read.
    unread_bytes: usize,
}

impl ConnectionTable {
    /// Adds a connection that the driver has, or is opening.
    pub(super) fn open(&mut self, peer: Peer, stage: Stage, protocol: Protocol) -> ConnId {
        self.next_conn += 1;
        let id = ConnId(self.next_conn);
        if let Peer::Node(_) = peer {
            self.upstream.insert(id);
        }
        self.conns.insert(id, Connection { peer, stage, protocol, outbox: Outbox::default() });
        id
    }

    /// Connects to a peer. The connection has until `by` to be open.
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

    /// A connection.
    pub(super) fn get(&self, conn: ConnId) -> Option<&Connection> {
        self.conns.get(&conn)
    }

    /// A connection, to change it.
    pub(super) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.conns.get_mut(&conn)
    }

    /// All connections. For what concerns every connection; each counts as walked.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnId, &Connection)> {
        self.conns.iter().map(|(id, conn)| {
            self.count_walked();
            (*id, conn)
        })
    }

    /// Those that lead to nodes; each counts as walked.
    pub(super) fn upstream(&self) -> impl Iterator<Item = (ConnId, &Connection)> {
        self.upstream.iter().filter_map(|id| {
            self.count_walked();
            Some((*id, self.conns.get(id)?))
        })
    }

    /// Counts one more connection as walked.
    pub(super) fn count_walked(&self) {
        self.walked.set(self.walked.get() + 1);
    }

    /// How many connections were iterated over since the start.
    pub(super) fn walked(&self) -> u64 {
        self.walked.get()
    }

    /// How many connections there are, those being opened included.
    pub(super) fn len(&self) -> usize {
        self.conns.len()
    }

    /// Records how far a connection has come.
    pub(super) fn set_stage(&mut self, conn: ConnId, stage: Stage) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.stage = stage;
        }
    }

    /// Whether frames may pass on it.
    pub(super) fn is_open(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| c.stage == Stage::Open)
    }

    /// Whether frames are spoken on it, and not HTTP.
    pub(super) fn speaks_frames(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| matches!(c.protocol, Protocol::Frames(_)))
    }

    /// Puts a frame into a connection's outbox. Returns where it ends in the stream.
    pub(super) fn send_frame(&mut self, conn: ConnId, frame: &Frame<'_>) -> u64 {
        self.write(conn, |bytes| encode(frame, bytes))
    }

    /// Puts bytes into a connection's outbox. Returns where they end in the stream.
    pub(super) fn write(&mut self, conn: ConnId, add: impl FnOnce(&mut Vec<u8>)) -> u64 {
        let Some(c) = self.conns.get_mut(&conn) else { return u64::MAX };
        if c.outbox.is_empty() {
            self.commands.push(Command::Flush(conn));
        }
        let before = c.outbox.len();
        let ends = c.outbox.write(add);
        if let Protocol::HttpServer(_) = c.protocol {
            self.unread_bytes += c.outbox.len() - before;
        }
        ends
    }

    /// So many bytes of what waits on a connection were written.
    pub(super) fn record_written(&mut self, conn: ConnId, count: usize) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let before = c.outbox.len();
        c.outbox.advance(count);
        if let Protocol::HttpServer(_) = c.protocol {
            self.unread_bytes -= before - c.outbox.len();
        }
    }

    /// Bytes of requests that are not yet whole.
    pub(super) fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// So many more bytes of requests came that are not yet whole.
    pub(super) fn add_partial_bytes(&mut self, bytes: usize) {
        self.partial_bytes += bytes;
    }

    /// So many bytes of requests became whole, or were dropped.
    pub(super) fn sub_partial_bytes(&mut self, bytes: usize) {
        self.partial_bytes -= bytes;
    }

    /// Bytes of nodes' responses that are not yet whole.
    pub(super) fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// A connection held `before` bytes of a response that is not yet whole, and holds `after`.
    pub(super) fn record_response_bytes(&mut self, before: usize, after: usize) {
        self.response_bytes = self.response_bytes - before + after;
    }

    /// Bytes that wait for clients who speak HTTP to read them.
    pub(super) fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    /// Closes a connection that nothing depends on any more.
    pub(super) fn discard(&mut self, conn: ConnId) {
        if self.remove(conn).is_some() {
            self.command(Command::Close { conn, last: Vec::new() });
        }
    }

    /// Removes a connection; what it held of a message counts no more.
    pub(super) fn remove(&mut self, conn: ConnId) -> Option<Connection> {
        let removed = self.conns.remove(&conn)?;
        self.upstream.remove(&conn);
        match &removed.protocol {
            Protocol::HttpServer(http) => {
                self.partial_bytes -= http.partial_bytes();
                self.unread_bytes -= removed.outbox.len();
            }
            Protocol::HttpClient(pooled) => self.response_bytes -= pooled.partial_bytes(),
            Protocol::Frames(_) | Protocol::DiscoveryPoll => {}
        }
        Some(removed)
    }

    /// Wants something done by the driver.
    pub(super) fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Takes the commands for the driver, in order.
    pub(super) fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}
