//! Connections of the agreement: to other initiators, from them, and from operators' commands. Messages are
//! sent on them and counted by nobody: whatever matters is sent again, so a message that can't leave is
//! dropped.

use super::super::Backoff;
use super::super::config::Config;
use super::super::config::ConsensusPeer;
use super::super::connection_table::{Connection, ConnectionTable, Peer, Protocol, Stage};
use super::super::peer_fault::PeerFault;
use super::super::timers::{Timer, TimerQueue};
use crate::machine::{Address, ConnId, Micros};
use flaxstand_consensus::participant::{Destination, PeerMessage};
use flaxstand_proto::{CloseReason, Frame, Hello, Inbox, Role, VERSION, VERSION_OLDEST, Welcome};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};
use tracing::{debug, info, warn};

/// Messages that wait for one connection to open, most. The oldest is dropped.
const MAX_WAITING_MESSAGES: usize = 64;
/// Bytes that wait for one peer to read, most. Further messages to it are dropped.
const MAX_UNREAD_BYTES: usize = 4 << 20;
/// Connections of other initiators and operators at a time, most.
const MAX_ACCEPTED: usize = 1024;
/// First wait before an initiator is dialed again.
const MIN_REDIAL_DELAY: Micros = Micros(50_000);
/// Longest wait before an initiator is dialed again.
const MAX_REDIAL_DELAY: Micros = Micros(1_000_000);
/// Bytes of a frame that a message can't use.
const MAX_FRAME_HEADER_BYTES: usize = 64;

/// Who is at the other end of a connection of the agreement.
#[derive(Debug)]
pub(in super::super) enum AgreementPeer {
    /// Accepted; it has not said who it is.
    Unidentified,
    /// An initiator that dialed.
    Initiator(String),
    /// An operator's command.
    Operator,
    /// An initiator that was dialed.
    Dialed(String),
}

/// Another initiator, and the connection to it.
#[derive(Debug)]
struct DialedPeer {
    address: Address,
    connection: Option<ConnId>,
    /// Not dialed before then.
    redial_at: Micros,
    backoff: Backoff,
    /// Messages for when the connection opens.
    waiting: VecDeque<Vec<u8>>,
}

impl DialedPeer {
    fn new(address: Address, now: Micros) -> DialedPeer {
        DialedPeer {
            address,
            connection: None,
            redial_at: now,
            backoff: Backoff::new(MIN_REDIAL_DELAY, MAX_REDIAL_DELAY),
            waiting: VecDeque::new(),
        }
    }

    fn wait(&mut self, bytes: Vec<u8>) {
        if self.waiting.len() >= MAX_WAITING_MESSAGES {
            self.waiting.pop_front();
        }
        self.waiting.push_back(bytes);
    }
}

/// The other initiators, and the connections of the agreement.
#[derive(Debug)]
pub(super) struct AgreementPeers {
    /// Which of the listeners is the agreement's.
    listener: usize,
    dialed: BTreeMap<String, DialedPeer>,
    /// How many connections are accepted now.
    accepted: usize,
}

impl AgreementPeers {
    /// Peers by name and address, reached and accepted from now on.
    pub(super) fn new<'a>(
        listener: usize,
        peers: impl Iterator<Item = &'a ConsensusPeer>,
        now: Micros,
    ) -> AgreementPeers {
        let dialed = peers.map(|peer| (peer.name.clone(), DialedPeer::new(peer.address.clone(), now)));
        AgreementPeers { listener, dialed: dialed.collect(), accepted: 0 }
    }

    pub(super) fn is_listener(&self, listener: usize) -> bool {
        self.listener == listener
    }

    /// Accepts a connection, which has `greeting` to say who it is; none: there are as many as may be.
    pub(super) fn accept(
        &mut self,
        connections: &mut ConnectionTable,
        timers: &mut TimerQueue,
        greeting: Micros,
        now: Micros,
    ) -> Option<ConnId> {
        if self.accepted >= MAX_ACCEPTED {
            return None;
        }
        self.accepted += 1;
        let peer = Peer::Agreement(AgreementPeer::Unidentified);
        let connection = connections.open(peer, Stage::Greeting, Protocol::Frames(Inbox::default()));
        timers.set(now.after(greeting), Timer::ConnectTimeout(connection));
        Some(connection)
    }

    /// Handles the greeting of an accepted connection. Guards against an initiator that is not in the
    /// settings here: it would be no member, and act on rules of its own.
    pub(super) fn handle_hello(
        &self,
        connections: &mut ConnectionTable,
        config: &Config,
        connection: ConnId,
        hello: &Hello<'_>,
    ) -> Result<(), PeerFault> {
        let (oldest, newest) = hello.versions;
        if oldest > VERSION || newest < VERSION_OLDEST {
            return Err(PeerFault::new(
                CloseReason::Version,
                format!("versions {oldest} to {newest}, {VERSION} is spoken here"),
            ));
        }
        let peer = match hello.role {
            Role::Initiator if self.dialed.contains_key(hello.name) => {
                AgreementPeer::Initiator(hello.name.to_owned())
            }
            Role::Client => AgreementPeer::Operator,
            role => {
                return Err(PeerFault::new(
                    CloseReason::WrongPeer,
                    format!("{role:?} {:?} is not in the list", hello.name),
                ));
            }
        };
        debug!(conn = connection.0, ?peer, "a peer of the agreement has connected");
        if let Some(open) = connections.get_mut(connection) {
            open.peer = Peer::Agreement(peer);
            open.stage = Stage::Open;
        }
        connections.send_frame(connection, &Frame::Welcome(config.welcome(newest)));
        Ok(())
    }

    /// Handles the greeting of an initiator that was dialed, and sends what waits for it.
    pub(super) fn handle_welcome(
        &mut self,
        connections: &mut ConnectionTable,
        connection: ConnId,
        welcome: &Welcome<'_>,
    ) -> Result<(), PeerFault> {
        let Some(Connection { peer: Peer::Agreement(AgreementPeer::Dialed(name)), .. }) =
            connections.get(connection)
        else {
            return Err(PeerFault::protocol("a welcome that nobody waits for"));
        };
        if welcome.role != Role::Initiator || welcome.name != name {
            return Err(PeerFault::new(
                CloseReason::WrongPeer,
                format!("expected initiator {name:?}, met {:?} {:?}", welcome.role, welcome.name),
            ));
        }
        let peer = self.dialed.get_mut(name);
        connections.set_stage(connection, Stage::Open);
        if let Some(peer) = peer {
            peer.backoff.reset();
            for bytes in &std::mem::take(&mut peer.waiting) {
                connections.send_frame(connection, &Frame::Agreement { bytes });
            }
        }
        Ok(())
    }

    /// A connection is gone.
    pub(super) fn handle_lost(
        &mut self,
        peer: &AgreementPeer,
        cause: &str,
        rng: &mut impl RngCore,
        now: Micros,
    ) {
        let AgreementPeer::Dialed(name) = peer else {
            self.accepted -= 1;
            return;
        };
        if let Some(peer) = self.dialed.get_mut(name) {
            debug!(name, cause, "no connection to an initiator");
            peer.connection = None;
            peer.redial_at = now.after(peer.backoff.next_delay(rng));
            peer.waiting.clear();
        }
    }

    /// Sends a message, or drops it. An initiator that is dialed for it has `dial_timeout` to be open.
    pub(super) fn send(
        &mut self,
        connections: &mut ConnectionTable,
        timers: &mut TimerQueue,
        to: Destination,
        message: &PeerMessage,
        dial_timeout: Micros,
        now: Micros,
    ) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= flaxstand_proto::MAX_BODY_BYTES - MAX_FRAME_HEADER_BYTES => bytes,
            _ => {
                warn!(?to, "a message that does not fit a frame is dropped");
                return;
            }
        };
        match to {
            Destination::Connection(connection) => send_on(connections, ConnId(connection), &bytes),
            Destination::Peer(name) => {
                self.send_to(connections, timers, &name, bytes, now.after(dial_timeout), now)
            }
        }
    }

    fn send_to(
        &mut self,
        connections: &mut ConnectionTable,
        timers: &mut TimerQueue,
        name: &str,
        bytes: Vec<u8>,
        open_by: Micros,
        now: Micros,
    ) {
        let Some(peer) = self.dialed.get_mut(name) else { return };
        match peer.connection {
            Some(connection) if connections.is_open(connection) => send_on(connections, connection, &bytes),
            Some(_) => peer.wait(bytes),
            None if now < peer.redial_at => {}
            None => {
                peer.wait(bytes);
                let dialed = Peer::Agreement(AgreementPeer::Dialed(name.to_owned()));
                let protocol = Protocol::Frames(Inbox::default());
                peer.connection =
                    Some(connections.dial(timers, dialed, protocol, peer.address.clone(), open_by));
                info!(name, address = %peer.address, "calling an initiator");
            }
        }
    }
}

fn send_on(connections: &mut ConnectionTable, connection: ConnId, bytes: &[u8]) {
    if connections.get(connection).is_some_and(|open| open.outbox.len() < MAX_UNREAD_BYTES) {
        connections.send_frame(connection, &Frame::Agreement { bytes });
    }
}

/// The initiator at the other end of an identified connection, none for an operator.
pub(super) fn sender(connections: &ConnectionTable, connection: ConnId) -> Result<Option<String>, PeerFault> {
    match connections.get(connection).map(|open| &open.peer) {
        Some(Peer::Agreement(AgreementPeer::Initiator(name) | AgreementPeer::Dialed(name))) => {
            Ok(Some(name.clone()))
        }
        Some(Peer::Agreement(AgreementPeer::Operator)) => Ok(None),
        _ => Err(PeerFault::protocol("a word of a stranger")),
    }
}
