//! Agreement connections: to other initiators, from them, and from operators' commands. Delivery is best
//! effort: the protocol retransmits what matters, so a message that can't be sent is dropped.

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

/// Maximum number of messages queued for a connection that is opening. Beyond it the oldest is dropped.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Maximum number of unsent bytes per connection. Further messages to that peer are dropped.
const MAX_UNSENT_BYTES: usize = 4 << 20;
/// Maximum number of connections accepted from other initiators and operators at a time.
const MAX_ACCEPTED: usize = 1024;
/// Initial back-off before an initiator is dialed again.
const MIN_REDIAL_DELAY: Micros = Micros(50_000);
/// Longest back-off before an initiator is dialed again.
const MAX_REDIAL_DELAY: Micros = Micros(1_000_000);
/// Bytes of a frame reserved for its header.
const MAX_FRAME_HEADER_BYTES: usize = 64;

/// The peer of an agreement connection.
#[derive(Debug)]
pub(in super::super) enum AgreementPeer {
    /// Accepted; its hello has not been received.
    Unidentified,
    /// An initiator that connected to this one.
    Initiator(String),
    /// An operator's command.
    Operator,
    /// An initiator that this one dialed.
    Dialed(String),
}

/// Another initiator and the outgoing connection to it.
#[derive(Debug)]
struct DialedPeer {
    address: Address,
    connection: Option<ConnId>,
    /// Earliest time of the next dial.
    redial_at: Micros,
    backoff: Backoff,
    /// Messages to send once the connection is open.
    queued: VecDeque<Vec<u8>>,
}

impl DialedPeer {
    fn new(address: Address, now: Micros) -> DialedPeer {
        DialedPeer {
            address,
            connection: None,
            redial_at: now,
            backoff: Backoff::new(MIN_REDIAL_DELAY, MAX_REDIAL_DELAY),
            queued: VecDeque::new(),
        }
    }

    fn enqueue(&mut self, bytes: Vec<u8>) {
        if self.queued.len() >= MAX_QUEUED_MESSAGES {
            self.queued.pop_front();
        }
        self.queued.push_back(bytes);
    }
}

/// The other initiators and all agreement connections.
#[derive(Debug)]
pub(super) struct AgreementPeers {
    /// Index of the listener for agreement peers.
    listener: usize,
    dialed: BTreeMap<String, DialedPeer>,
    /// Number of open connections that were accepted.
    accepted: usize,
}

impl AgreementPeers {
    /// Creates the table of peers. They may be dialed from `now` on.
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

    /// Accepts a connection, whose hello has to arrive within `greeting_timeout`. Returns none if the limit
    /// on accepted connections is reached.
    pub(super) fn accept(
        &mut self,
        connections: &mut ConnectionTable,
        timers: &mut TimerQueue,
        greeting_timeout: Micros,
        now: Micros,
    ) -> Option<ConnId> {
        if self.accepted >= MAX_ACCEPTED {
            return None;
        }
        self.accepted += 1;
        let peer = Peer::Agreement(AgreementPeer::Unidentified);
        let connection = connections.open(peer, Stage::Greeting, Protocol::Frames(Inbox::default()));
        timers.set(now.after(greeting_timeout), Timer::ConnectTimeout(connection));
        Some(connection)
    }

    /// Handles the hello on an accepted connection. Rejects an initiator that is missing from the settings:
    /// it would not be a member and would act on rules of its own.
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
                format!(
                    "peer supports versions {oldest} to {newest}, expected {VERSION_OLDEST} to {VERSION}"
                ),
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
                    format!("{role:?} {:?} is not in the agreement settings", hello.name),
                ));
            }
        };
        debug!(conn = connection.0, ?peer, "agreement peer connected");
        if let Some(open) = connections.get_mut(connection) {
            open.peer = Peer::Agreement(peer);
            open.stage = Stage::Open;
        }
        connections.send_frame(connection, &Frame::Welcome(config.welcome(newest)));
        Ok(())
    }

    /// Handles the welcome of a dialed initiator and sends the messages queued for it.
    pub(super) fn handle_welcome(
        &mut self,
        connections: &mut ConnectionTable,
        connection: ConnId,
        welcome: &Welcome<'_>,
    ) -> Result<(), PeerFault> {
        let Some(Connection { peer: Peer::Agreement(AgreementPeer::Dialed(name)), .. }) =
            connections.get(connection)
        else {
            return Err(PeerFault::protocol("unexpected welcome on a connection that was not dialed"));
        };
        if welcome.role != Role::Initiator || welcome.name != name {
            return Err(PeerFault::new(
                CloseReason::WrongPeer,
                format!("expected initiator {name:?}, found {:?} {:?}", welcome.role, welcome.name),
            ));
        }
        let peer = self.dialed.get_mut(name);
        connections.set_stage(connection, Stage::Open);
        if let Some(peer) = peer {
            peer.backoff.reset();
            for bytes in &std::mem::take(&mut peer.queued) {
                connections.send_frame(connection, &Frame::Agreement { bytes });
            }
        }
        Ok(())
    }

    /// Handles the loss of a connection: a dialed initiator may be dialed again after a back-off.
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
            debug!(name, cause, "connection to initiator lost; it may be dialed again after a back-off");
            peer.connection = None;
            peer.redial_at = now.after(peer.backoff.next_delay(rng));
            peer.queued.clear();
        }
    }

    /// Sends a message, or drops it if that is not possible. Dials the destination if there is no connection;
    /// it has to be open within `dial_timeout`.
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
                warn!(?to, "agreement message exceeds the frame limit; dropping it");
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
            Some(_) => peer.enqueue(bytes),
            None if now < peer.redial_at => {}
            None => {
                peer.enqueue(bytes);
                let dialed = Peer::Agreement(AgreementPeer::Dialed(name.to_owned()));
                let protocol = Protocol::Frames(Inbox::default());
                peer.connection =
                    Some(connections.dial(timers, dialed, protocol, peer.address.clone(), open_by));
                info!(name, address = %peer.address, "dialing initiator");
            }
        }
    }
}

fn send_on(connections: &mut ConnectionTable, connection: ConnId, bytes: &[u8]) {
    if connections.get(connection).is_some_and(|open| open.outbox.len() < MAX_UNSENT_BYTES) {
        connections.send_frame(connection, &Frame::Agreement { bytes });
    }
}

/// Returns the name of the initiator at the other end of an identified connection, or none for an operator.
pub(super) fn sender(connections: &ConnectionTable, connection: ConnId) -> Result<Option<String>, PeerFault> {
    match connections.get(connection).map(|open| &open.peer) {
        Some(Peer::Agreement(AgreementPeer::Initiator(name) | AgreementPeer::Dialed(name))) => {
            Ok(Some(name.clone()))
        }
        Some(Peer::Agreement(AgreementPeer::Operator)) => Ok(None),
        _ => Err(PeerFault::protocol("agreement message from a peer that has not identified itself")),
    }
}
