//! Closes connections and cleans up the state that depends on them.

use super::Core;
use super::connection_table::{Peer, Protocol};
use super::peer_fault::PeerFault;
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand_proto::{CloseReason, Frame};
use tracing::warn;

/// Maximum length of a fault's text in characters: it may quote what the peer sent.
const MAX_FAULT_TEXT: usize = 200;

impl Core {
    /// Closes a connection because of a protocol fault of its peer.
    pub(super) fn close_for_fault(&mut self, conn: ConnId, fault: &PeerFault, now: Micros) {
        let close_reason = fault.close_reason;
        let text: String = fault.text.chars().take(MAX_FAULT_TEXT).collect();
        warn!(conn = conn.0, ?close_reason, text, "closing a connection for what its peer sent");
        self.counts.protocol_faults += 1;
        self.disconnect(conn, close_reason, &text, now);
    }

    /// Closes a connection; on the frame protocol, a `Bye` frame gives the reason to the peer.
    pub(super) fn disconnect(&mut self, conn: ConnId, close_reason: CloseReason, text: &str, now: Micros) {
        if self.connections.speaks_frames(conn) {
            self.connections.send_frame(conn, &Frame::Bye { close_reason, wait: 0, text });
        }
        self.close(conn, text, now);
    }

    /// Closes a connection and cleans up the state that depends on it.
    pub(super) fn close(&mut self, conn: ConnId, cause: &str, now: Micros) {
        let Some(c) = self.connections.get(conn) else { return };
        let last = match c.protocol {
            Protocol::Frames(_) | Protocol::HttpServer(_) => c.outbox.pending().to_vec(),
            // Sending the last bytes of an abandoned request would have it executed.
            Protocol::HttpClient(_) | Protocol::DiscoveryPoll => Vec::new(),
        };
        self.close_with_output(conn, last, cause, now);
    }

    /// Closes a connection without sending its pending output.
    pub(super) fn close_discarding_output(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.close_with_output(conn, Vec::new(), cause, now);
    }

    fn close_with_output(&mut self, conn: ConnId, last: Vec<u8>, cause: &str, now: Micros) {
        if self.connections.get(conn).is_some() {
            self.connections.command(Command::Close { conn, last });
            self.connection_closed(conn, cause, now);
        }
    }

    /// Removes a closed connection and cleans up the state that depends on it.
    pub(super) fn connection_closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        let Some(closed) = self.connections.remove(conn) else { return };
        if let Protocol::HttpServer(http) = &closed.protocol {
            self.clients.slots.remove(conn, http.queued_at);
            if let Some(queued) = http.unread_since {
                self.clients.unread.remove(conn, queued);
            }
            if let Some(at) = http.stall_check_at {
                self.timers.cancel(at, Timer::StallCheck(conn));
            }
        }
        let written = closed.outbox.written();
        match (closed.peer, closed.protocol) {
            (Peer::Client(client), _) => self.client_disconnected(conn, &client, cause, now),
            (Peer::Node(node), Protocol::HttpClient(pooled)) => {
                self.pooled_closed(conn, node, &pooled, written, cause, now);
            }
            (Peer::Node(node), _) => self.node_disconnected(conn, node, closed.stage, written, cause, now),
            (Peer::Agreement(peer), _) => self.agreement_peer_lost(&peer, cause, now),
            (Peer::Discovery, Protocol::DiscoveryPoll) => self.discovery_poll_lost(cause, now),
            (Peer::Discovery, _) => self.discovery_watch_lost(closed.stage, cause, now),
        }
    }
}
