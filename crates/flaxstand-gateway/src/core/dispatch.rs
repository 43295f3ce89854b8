//! What comes on a connection, handed to whom it concerns, and what hangs on one that is no more.

use super::Core;
use super::agreement::AgreementPeer;
use super::plumbing::{Peer, Protocol, Stage};
use super::writeback::Mark;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::Outcome;
use flaxstand_proto::{CloseReason, Frame, Hello, Role, VERSION, VERSION_OLDEST};
use tracing::{info, warn};

impl Core {
    pub(super) fn greet(&mut self, conn: ConnId) {
        let hello = Hello {
            role: Role::Initiator,
            versions: (VERSION_OLDEST, VERSION),
            id: self.config.index.into(),
            epoch: self.config.epoch,
            name: &self.config.name,
        };
        self.plumbing.push(conn, &Frame::Hello(hello));
    }

    /// Closes a connection from here and settles what hung on it.
    pub(super) fn hang_up(&mut self, conn: ConnId, close_reason: CloseReason, text: &str, now: Micros) {
        if self.plumbing.speaks_frames(conn) {
            self.plumbing.push(conn, &Frame::Bye { close_reason, wait: 0, text });
        }
        self.lost(conn, text, true, now);
    }

    /// A connection is no more.
    pub(super) fn lost(&mut self, conn: ConnId, cause: &str, by_us: bool, now: Micros) {
        let Some(c) = self.plumbing.get(conn) else { return };
        // What is given up must not leave after all: with its last bytes it would run.
        let last = match c.protocol {
            Protocol::Frames(_) | Protocol::HttpServer(_) if by_us => Some(c.outbox.pending().to_vec()),
            _ => by_us.then(Vec::new),
        };
        self.gone(conn, cause, last, now);
    }

    /// The same, closed from here, and nothing that waits on it leaves.
    pub(super) fn lost_unsaid(&mut self, conn: ConnId, cause: &str, now: Micros) {
        self.gone(conn, cause, Some(Vec::new()), now);
    }

    /// Closes it with these last bytes, if it is to be closed, and settles what hung on it.
    fn gone(&mut self, conn: ConnId, cause: &str, last: Option<Vec<u8>>, now: Micros) {
        let Some(gone) = self.plumbing.take(conn) else { return };
        if let Some(last) = last {
            self.plumbing.command(Command::Close { conn, last });
        }
        if let Protocol::HttpServer(http) = &gone.protocol {
            self.places.remove(conn, http.queued);
        }
        match (gone.peer, gone.protocol) {
            (Peer::Client(client), _) => self.client_lost(conn, &client, cause, now),
            (Peer::Node(node), Protocol::HttpClient(link)) => {
                self.link_lost(conn, node, &link, gone.outbox.written(), cause, now);
            }
            (Peer::Node(node), _) => {
                self.node_lost(conn, node, gone.stage, gone.outbox.written(), cause, now)
            }
            (Peer::Agreement(peer), _) => self.agreement_peer_lost(&peer, cause, now),
            (Peer::Discovery, Protocol::DiscoveryPoll) => self.discovery_poll_lost(cause, now),
            (Peer::Discovery, _) => self.discovery_watch_lost(gone.stage, cause, now),
        }
    }

    /// A frame came. False: the connection is gone, read no further.
    pub(super) fn frame(&mut self, conn: ConnId, frame: Frame<'_>, now: Micros) -> bool {
        let Some(c) = self.plumbing.get(conn) else { return false };
        let stage = c.stage;
        let fault = match (&c.peer, frame) {
            (_, Frame::Bye { close_reason, text, .. }) => {
                info!(conn = conn.0, ?close_reason, text, "peer said goodbye");
                self.lost(conn, "peer said goodbye", true, now);
                return false;
            }
            (Peer::Agreement(AgreementPeer::Unidentified), Frame::Hello(h)) if stage == Stage::Greeting => {
                self.agreement_peer_greeted(conn, &h)
            }
            (Peer::Agreement(_), Frame::Welcome(w)) if stage == Stage::Greeting => {
                self.agreement_peer_welcomed(conn, &w)
            }
            (Peer::Agreement(_), Frame::Agreement { bytes }) if stage == Stage::Open => {
                self.agreement_message_received(conn, bytes, now)
            }
            (Peer::Client(_), Frame::Hello(h)) if stage == Stage::Greeting => self.client_greeted(conn, &h),
            (Peer::Client(_), Frame::Submit(s)) if stage == Stage::Open => {
                self.submitted(conn, &s, None, now)
            }
            (Peer::Client(_), Frame::Barrier { id, volume, time_left }) if stage == Stage::Open => {
                self.submitted_mark(conn, id, Mark::Barrier(volume), time_left, now)
            }
            (Peer::Client(_), Frame::Flush { id, volume, time_left }) if stage == Stage::Open => {
                self.submitted_mark(conn, id, Mark::Flush(volume), time_left, now)
            }
            (Peer::Client(_), Frame::AskStatus { id }) if stage == Stage::Open => {
                self.asked_status(conn, id, now);
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
                let node = *node;
                self.probed(node, token, Outcome::Served);
                Ok(())
            }
            (Peer::Discovery, Frame::Welcome(w)) if stage == Stage::Greeting => {
                self.discovery_greeted(conn, &w, now)
            }
            (Peer::Discovery, Frame::List(l)) if stage == Stage::Open => {
                self.endpoint_list_received(conn, &l, now);
                Ok(())
            }
            (Peer::Discovery, Frame::ListFailed) if stage == Stage::Open => {
                self.discovery_failed(now);
                Ok(())
            }
            (_, other) => Err((CloseReason::Protocol, format!("a frame that has no place here: {other:?}"))),
        };
        if let Err((close_reason, text)) = fault {
            self.protocol_fault(conn, close_reason, &text, now);
        }
        self.plumbing.get(conn).is_some()
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
        self.hang_up(conn, close_reason, &text, now);
    }
}
