//! What comes on a connection, handed_over to whom it concerns, and what hangs on one that is no more.

use super::Core;
use super::agreement::Fellow;
use super::connection_table::{Peer, Protocol, Stage};
use super::timers::ProbeId;
use super::write_back::OrderingRequest;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::Outcome;
use flaxstand_proto::{CloseReason, Frame, Hello, Role, VERSION, VERSION_OLDEST};
use tracing::{info, warn};

impl Core {
    pub(super) fn send_hello(&mut self, conn: ConnId) {
        let hello = Hello {
            role: Role::Initiator,
            versions: (VERSION_OLDEST, VERSION),
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name,
        };
        self.connections.send_frame(conn, &Frame::Hello(hello));
    }

    /// Closes a connection from here and settles what hung on it.
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
            // What is abandoned must not be sent after all: with its last bytes it would run.
            Protocol::HttpClient(_) | Protocol::ListClient(_) => Vec::new(),
        };
        self.settle_closed(conn, cause, Some(last), now);
    }

    /// The peer or the driver has closed a connection.
    pub(super) fn connection_closed(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.settle_closed(conn, cause, None, now);
    }

    /// Closes a connection, and nothing that waits on it is sent.
    pub(super) fn close_discarding_output(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.settle_closed(conn, cause, Some(Vec::new()), now);
    }

    /// Closes it with these last bytes, if it is to be closed, and settles what hung on it.
    fn settle_closed(&mut self, conn: ConnId, cause: &str, last: Option<Vec<u8>>, now: Micros) {
        let Some(gone) = self.connections.remove(conn) else { return };
        if let Some(last) = last {
            self.connections.command(Command::Close { conn, last });
        }
        if let Protocol::HttpServer(http) = &gone.protocol {
            self.clients.slots.remove(conn, http.queued);
        }
        match (gone.peer, gone.protocol) {
            (Peer::Client(client), _) => self.client_disconnected(conn, &client, cause, now),
            (Peer::Node(node), Protocol::HttpClient(link)) => {
                self.pooled_closed(conn, node, &link, gone.outbox.written(), cause, now);
            }
            (Peer::Node(node), _) => {
                self.node_lost(conn, node, gone.stage, gone.outbox.written(), cause, now)
            }
            (Peer::Fellow(fellow), _) => self.fellow_lost(&fellow, cause, now),
            (Peer::List, Protocol::ListClient(_)) => self.list_connection_lost(cause, now),
            (Peer::List, _) => self.list_lost(gone.stage, cause, now),
        }
    }

    /// A frame came. False: the connection is gone, read no further.
    pub(super) fn frame(&mut self, conn: ConnId, frame: Frame<'_>, now: Micros) -> bool {
        let Some(c) = self.connections.get(conn) else { return false };
        let stage = c.stage;
        let fault = match (&c.peer, frame) {
            (_, Frame::Bye { close_reason, text, .. }) => {
                info!(conn = conn.0, ?close_reason, text, "peer said goodbye");
                self.close(conn, "peer said goodbye", now);
                return false;
            }
            (Peer::Fellow(Fellow::Unknown), Frame::Hello(h)) if stage == Stage::Greeting => {
                self.fellow_greeted(conn, &h)
            }
            (Peer::Fellow(_), Frame::Welcome(w)) if stage == Stage::Greeting => {
                self.fellow_welcomed(conn, &w)
            }
            (Peer::Fellow(_), Frame::Agreement { bytes }) if stage == Stage::Open => {
                self.fellow_said(conn, bytes, now)
            }
            (Peer::Client(_), Frame::Hello(h)) if stage == Stage::Greeting => {
                self.client_said_hello(conn, &h)
            }
            (Peer::Client(_), Frame::Submit(s)) if stage == Stage::Open => self.submit(conn, &s, None, now),
            (Peer::Client(_), Frame::Barrier { id, volume, time_left }) if stage == Stage::Open => {
                self.submit_ordering_request(conn, id, OrderingRequest::Barrier(volume), time_left, now)
            }
            (Peer::Client(_), Frame::Flush { id, volume, time_left }) if stage == Stage::Open => {
                self.submit_ordering_request(conn, id, OrderingRequest::Flush(volume), time_left, now)
            }
            (Peer::Client(_), Frame::AskStatus { id }) if stage == Stage::Open => {
                self.send_buffer_status(conn, id, now);
                Ok(())
            }
            (Peer::Node(node), Frame::Welcome(w)) if stage == Stage::Greeting => {
                let node = *node;
                self.node_greeted(conn, node, &w, now)
            }
            (Peer::Node(_), Frame::Done(d)) if stage == Stage::Open => {
                self.attempt_done(conn, &d, now);
                Ok(())
            }
            (Peer::Node(_), Frame::Chunk { request, attempt, payload }) if stage == Stage::Open => {
                self.attempt_chunk(conn, request, attempt, payload);
                Ok(())
            }
            (Peer::Node(node), Frame::Probed { token, .. }) if stage == Stage::Open => {
                let probe = ProbeId { node: *node, token };
                self.probe_ended(probe, Outcome::Served);
                Ok(())
            }
            (Peer::List, Frame::Welcome(w)) if stage == Stage::Greeting => self.list_greeted(conn, &w, now),
            (Peer::List, Frame::List(l)) if stage == Stage::Open => {
                self.listed(conn, &l, now);
                Ok(())
            }
            (Peer::List, Frame::ListFailed) if stage == Stage::Open => {
                self.list_call_failed(now);
                Ok(())
            }
            (_, other) => Err((CloseReason::Protocol, format!("a frame that has no place here: {other:?}"))),
        };
        if let Err((close_reason, text)) = fault {
            self.protocol_fault(conn, close_reason, &text, now);
        }
        self.connections.get(conn).is_some()
    }

    pub(super) fn protocol_fault(
        &mut self,
        conn: ConnId,
        close_reason: CloseReason,
        text: &str,
        now: Micros,
    ) {
        let text: String = text.chars().take(200).collect();
        warn!(conn = conn.0, ?close_reason, text, "closing a connection for what its peer sent");
        self.counts.protocol_faults += 1;
        self.disconnect(conn, close_reason, &text, now);
    }
}
