//! How connections are closed, and what is settled then.

use super::Core;
use super::connection_table::{Peer, Protocol};
use super::peer_fault::PeerFault;
use crate::machine::{Command, ConnId, Micros};
use flaxstand_proto::{CloseReason, Frame};
use tracing::warn;

/// Longest text of a fault, characters: it may quote what the peer sent.
const MAX_FAULT_TEXT: usize = 200;

impl Core {
    /// Closes a connection for what its peer sent.
    pub(super) fn close_for_fault(&mut self, conn: ConnId, fault: &PeerFault, now: Micros) {
        let close_reason = fault.close_reason;
        let text: String = fault.text.chars().take(MAX_FAULT_TEXT).collect();
        warn!(conn = conn.0, ?close_reason, text, "closing a connection for what its peer sent");
        self.counts.protocol_faults += 1;
        self.disconnect(conn, close_reason, &text, now);
    }

    /// Closes a connection after telling the peer why, where the protocol has a frame for that.
    pub(super) fn disconnect(&mut self, conn: ConnId, close_reason: CloseReason, text: &str, now: Micros) {
        if self.connections.speaks_frames(conn) {
            self.connections.send_frame(conn, &Frame::Bye { close_reason, wait: 0, text });
        }
        self.close(conn, text, now);
    }

    /// Closes a connection and settles what depended on it.
    pub(super) fn close(&mut self, conn: ConnId, cause: &str, now: Micros) {
        let Some(c) = self.connections.get(conn) else { return };
        let last = match c.protocol {
            Protocol::Frames(_) | Protocol::HttpServer(_) => c.outbox.pending().to_vec(),
            // An abandoned request must not be sent after all: with its last bytes it would be executed.
            Protocol::HttpClient(_) | Protocol::DiscoveryPoll => Vec::new(),
        };
        self.close_with_output(conn, last, cause, now);
    }

    /// Closes a connection, and nothing that waits on it is sent.
    pub(super) fn close_discarding_output(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.close_with_output(conn, Vec::new(), cause, now);
    }

    fn close_with_output(&mut self, conn: ConnId, last: Vec<u8>, cause: &str, now: Micros) {
        if self.connections.get(conn).is_some() {
            self.connections.command(Command::Close { conn, last });
            self.connection_closed(conn, cause, now);
        }
    }

    /// A connection is closed: removes it and settles what depended on it.
    pub(super) fn connection_closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        let Some(closed) = self.connections.remove(conn) else { return };
        if let Protocol::HttpServer(http) = &closed.protocol {
            self.clients.slots.remove(conn, http.queued);
        }
        let written = closed.outbox.written();
        match (closed.peer, closed.protocol) {
            (Peer::Client(client), _) => self.client_disconnected(conn, &client, cause, now),
            (Peer::Node(node), Protocol::HttpClient(pooled)) => {
                self.pooled_closed(conn, node, &pooled, written, cause, now);
            }
            (Peer::Node(node), _) => self.node_disconnected(conn, node, closed.stage, written, cause, now),
            (Peer::Agreement(peer), _) => self.consensus_peer_lost(&peer, cause, now),
            (Peer::Discovery, Protocol::DiscoveryPoll) => self.discovery_poll_lost(cause, now),
            (Peer::Discovery, _) => self.discovery_watch_lost(closed.stage, cause, now),
        }
    }
}
