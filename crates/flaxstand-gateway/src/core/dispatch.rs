//! Dispatches received frames to their handlers by type of peer and stage of the connection.

use super::Core;
use super::agreement::AgreementPeer;
use super::connection_table::{Peer, Stage};
use super::peer_fault::PeerFault;
use super::timers::ProbeId;
use super::write_back::OrderingRequest;
use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, Outcome};
use flaxstand_proto::{Frame, Hello, Role, VERSION, VERSION_OLDEST};
use tracing::info;

impl Core {
    /// Sends the greeting on a connection that this initiator opened.
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

    /// Handles a received frame. Returns false if the connection was closed and no more is to be read.
    pub(super) fn frame_received(&mut self, conn: ConnId, frame: Frame<'_>, now: Micros) -> bool {
        let Some(c) = self.connections.get(conn) else { return false };
        if let Frame::Bye { close_reason, text, .. } = frame {
            info!(conn = conn.0, ?close_reason, text, "peer sent Bye; closing the connection");
            self.close(conn, "peer sent Bye", now);
            return false;
        }
        let stage = c.stage;
        let handled = match &c.peer {
            Peer::Client(_) => self.client_frame(conn, stage, &frame, now),
            Peer::Node(node) => {
                let node = *node;
                self.node_frame(conn, node, stage, &frame, now)
            }
            Peer::Discovery => self.discovery_frame(conn, stage, &frame, now),
            Peer::Agreement(peer) => {
                let is_unidentified = matches!(peer, AgreementPeer::Unidentified);
                self.agreement_frame(conn, is_unidentified, stage, &frame, now)
            }
        };
        if let Err(fault) = handled {
            self.close_for_fault(conn, &fault, now);
        }
        self.connections.get(conn).is_some()
    }

    fn client_frame(
        &mut self,
        conn: ConnId,
        stage: Stage,
        frame: &Frame<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        match (stage, frame) {
            (Stage::Greeting, Frame::Hello(hello)) => self.handle_client_hello(conn, hello),
            (Stage::Open, Frame::Submit(submit)) => self.submit(conn, submit, None, now),
            (Stage::Open, Frame::Barrier { id, volume, time_left }) => {
                self.submit_ordering_request(conn, *id, OrderingRequest::Barrier(*volume), *time_left, now)
            }
            (Stage::Open, Frame::Flush { id, volume, time_left }) => {
                self.submit_ordering_request(conn, *id, OrderingRequest::Flush(*volume), *time_left, now)
            }
            (Stage::Open, Frame::AskStatus { id }) => {
                self.send_buffer_status(conn, *id, now);
                Ok(())
            }
            _ => Err(PeerFault::unexpected(frame)),
        }
    }

    fn node_frame(
        &mut self,
        conn: ConnId,
        node: NodeId,
        stage: Stage,
        frame: &Frame<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        match (stage, frame) {
            (Stage::Greeting, Frame::Welcome(welcome)) => {
                return self.node_greeted(conn, node, welcome, now);
            }
            (Stage::Open, Frame::Done(done)) => self.attempt_done(conn, done, now),
            (Stage::Open, Frame::Chunk { request, attempt, payload }) => {
                self.attempt_chunk(conn, *request, *attempt, payload);
            }
            (Stage::Open, Frame::Probed { token, .. }) => {
                self.probe_ended(ProbeId { node, token: *token }, Outcome::Served);
            }
            _ => return Err(PeerFault::unexpected(frame)),
        }
        Ok(())
    }

    fn discovery_frame(
        &mut self,
        conn: ConnId,
        stage: Stage,
        frame: &Frame<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        match (stage, frame) {
            (Stage::Greeting, Frame::Welcome(welcome)) => return self.discovery_greeted(conn, welcome, now),
            (Stage::Open, Frame::List(list)) => self.endpoint_list_received(conn, list, now),
            (Stage::Open, Frame::ListFailed) => self.discovery_failed(now),
            _ => return Err(PeerFault::unexpected(frame)),
        }
        Ok(())
    }

    fn agreement_frame(
        &mut self,
        conn: ConnId,
        is_unidentified: bool,
        stage: Stage,
        frame: &Frame<'_>,
        now: Micros,
    ) -> Result<(), PeerFault> {
        match (stage, frame) {
            (Stage::Greeting, Frame::Hello(hello)) if is_unidentified => {
                self.agreement_peer_greeted(conn, hello)
            }
            (Stage::Greeting, Frame::Welcome(welcome)) => self.agreement_peer_welcomed(conn, welcome),
            (Stage::Open, Frame::Agreement { bytes }) => self.agreement_message_received(conn, bytes, now),
            _ => Err(PeerFault::unexpected(frame)),
        }
    }
}
