//! The plumbing: connections and what reads and writes them, moments of the core's own, commands to the driver.
//! It knows whose a connection is and nothing of what is done with what comes on it: clients, nodes, the list and
//! later parts hang on here, each at its own variant of [`Peer`], [`Protocol`] and [`Timer`].

use super::agreement::Fellow;
use super::clients::Client;
use super::http_server::HttpServer;
use super::pool::Link;
use crate::machine::{Address, Command, ConnId, Micros};
use flaxstand::api::{NodeId, RequestId};
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
    /// Another initiator, or an operator, about what is agreed on.
    Fellow(Fellow),
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
    /// The system is still at it.
    Dialing,
    /// It stands; the peer's first frame has not come.
    Greeting,
    /// Frames pass.
    Open,
}

/// What is spoken on a connection, and what has come of it in part.
#[derive(Debug)]
pub(super) enum Protocol {
    Frames(Inbox),
    /// HTTP that a client asks of us.
    HttpServer(HttpServer),
    /// HTTP that we ask of a node.
    HttpClient(Link),
    /// HTTP that we ask of the discovery service; discovery has the reader.
    DiscoveryPoll,
}

#[derive(Debug)]
pub(super) struct Conn {
    pub(super) peer: Peer,
    pub(super) stage: Stage,
    pub(super) protocol: Protocol,
    pub(super) outbox: Outbox,
}

/// What is due at a moment of the core's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A request's client is about to give up.
    Deadline(RequestId),
    /// A connection should be open by now.
    Dial(ConnId),
    /// A connection to a node may have idled long enough.
    Idle(ConnId),
    /// A probe of a node has been out for long enough.
    Probe(NodeId, u64),
    /// A connection that speaks HTTP may have been at one thing for too long.
    Quiet(ConnId),
    /// A repeat that was handed to a connection may begin no longer.
    Begin(ConnId),
    /// Look for pooled connections that have idled long enough, and nodes long gone.
    Sweep,
    /// The time is over in which a stop changes nothing yet.
    GraceEnds,
    /// Call the discovery service.
    DiscoveryCall,
    /// The discovery service may have stalled.
    DiscoveryStalled,
    /// The list held may have grown too old to act on.
    ListTrust,
    /// The agreement has something to do.
    Agreement,
    /// A stop has lasted long enough.
    StopEnds,
}

/// Connections, moments and commands.
#[derive(Debug, Default)]
pub(super) struct Plumbing {
    conns: BTreeMap<ConnId, Conn>,
    next_conn: u64,
    walked: Cell<u64>,
    /// Those of them that lead to nodes.
    node_conns: BTreeSet<ConnId>,
    timers: BTreeSet<(Micros, Timer)>,
    commands: Vec<Command>,
    /// Bytes of requests that are not yet whole.
    pub(super) partial_bytes: usize,
    /// Bytes of nodes' answers that are not yet whole.
    pub(super) answer_bytes: usize,
    /// Bytes of answers that clients who speak HTTP have not read.
    unread_bytes: usize,
}

impl Plumbing {
    /// A connection that the system has, or is at.
    pub(super) fn open(&mut self, peer: Peer, stage: Stage, protocol: Protocol) -> ConnId {
        self.next_conn += 1;
        let id = ConnId(self.next_conn);
        if let Peer::Node(_) = peer {
            self.node_conns.insert(id);
        }
        self.conns.insert(id, Conn { peer, stage, protocol, outbox: Outbox::default() });
        id
    }

    /// Calls a peer, which has until `by` to be open.
    pub(super) fn dial(&mut self, peer: Peer, protocol: Protocol, address: Address, by: Micros) -> ConnId {
        let conn = self.open(peer, Stage::Dialing, protocol);
        self.at(by, Timer::Dial(conn));
        self.command(Command::Connect { conn, address });
        conn
    }

    pub(super) fn get(&self, conn: ConnId) -> Option<&Conn> {
        self.conns.get(&conn)
    }

    pub(super) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&conn)
    }

    /// All of them. For what concerns every connection; each counts as walked.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnId, &Conn)> {
        self.conns.iter().map(|(id, conn)| {
            self.count_walked();
            (*id, conn)
        })
    }

    /// Those that lead to nodes; each counts as walked.
    pub(super) fn to_nodes(&self) -> impl Iterator<Item = (ConnId, &Conn)> {
        self.node_conns.iter().filter_map(|id| {
            self.count_walked();
            Some((*id, self.conns.get(id)?))
        })
    }

    /// One more was looked at among several.
    pub(super) fn count_walked(&self) {
        self.walked.set(self.walked.get() + 1);
    }

    /// How many connections were gone through since the start.
    pub(super) fn walked(&self) -> u64 {
        self.walked.get()
    }

    pub(super) fn len(&self) -> usize {
        self.conns.len()
    }

    /// How far it has come.
    pub(super) fn is_at(&mut self, conn: ConnId, stage: Stage) {
        if let Some(c) = self.conns.get_mut(&conn) {
            c.stage = stage;
        }
    }

    /// Whether frames may pass on it.
    pub(super) fn is_open(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| c.stage == Stage::Open)
    }

    pub(super) fn speaks_frames(&self, conn: ConnId) -> bool {
        self.conns.get(&conn).is_some_and(|c| matches!(c.protocol, Protocol::Frames(_)))
    }

    /// Puts a frame into a connection's outbox. Returns where it ends in the stream.
    pub(super) fn push(&mut self, conn: ConnId, frame: &Frame<'_>) -> u64 {
        self.put(conn, |bytes| encode(frame, bytes))
    }

    /// Puts bytes into a connection's outbox. Returns where they end in the stream.
    pub(super) fn put(&mut self, conn: ConnId, add: impl FnOnce(&mut Vec<u8>)) -> u64 {
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
    pub(super) fn wrote(&mut self, conn: ConnId, count: usize) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let before = c.outbox.len();
        c.outbox.wrote(count);
        if let Protocol::HttpServer(_) = c.protocol {
            self.unread_bytes -= before - c.outbox.len();
        }
    }

    /// Bytes that wait for clients who speak HTTP to read them.
    pub(super) fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    /// Closes a connection from here that nothing hangs on any more.
    pub(super) fn drop_quietly(&mut self, conn: ConnId) {
        if self.take(conn).is_some() {
            self.command(Command::Close { conn, last: Vec::new() });
        }
    }

    /// Takes a connection out; what it held of a message is held no more.
    pub(super) fn take(&mut self, conn: ConnId) -> Option<Conn> {
        let gone = self.conns.remove(&conn)?;
        self.node_conns.remove(&conn);
        match &gone.protocol {
            Protocol::HttpServer(http) => {
                self.partial_bytes -= http.held();
                self.unread_bytes -= gone.outbox.len();
            }
            Protocol::HttpClient(link) => self.answer_bytes -= link.held(),
            Protocol::Frames(_) | Protocol::DiscoveryPoll => {}
        }
        Some(gone)
    }

    /// Wakes the core at a moment, for this.
    pub(super) fn at(&mut self, moment: Micros, timer: Timer) {
        self.timers.insert((moment, timer));
    }

    pub(super) fn cancel(&mut self, moment: Micros, timer: Timer) {
        self.timers.remove(&(moment, timer));
    }

    /// What is due by now, one after the other.
    pub(super) fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.timers.first().copied().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// When the next is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    pub(super) fn timers(&self) -> usize {
        self.timers.len()
    }

    /// Wants something done by the driver.
    pub(super) fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    pub(super) fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}
