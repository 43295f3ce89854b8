//! Attempts of requests. The module requests their start and cancellation; the end of each attempt is
//! reported to it exactly once.

use super::Core;
use super::pending_request::{AttemptId, FinalResponse, HandOver, InFlightAttempt};
use crate::machine::{ConnId, Micros};
use flaxstand::api::{AttemptEnd, AttemptNo, Event, NodeId, Outcome, RequestId};
use flaxstand_proto::Frame;
use tracing::{debug, error};

impl Core {
    /// Starts an attempt on behalf of the module.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        node: NodeId,
        send_before: Micros,
        now: Micros,
    ) {
        let Some(pending) = self.requests.get_mut(request) else {
            error!(request = request.0, "the module sent a request that is not pending; ignored");
            return;
        };
        let number = AttemptNo(pending.attempts_started);
        let id = AttemptId { request, number };
        pending.attempts_started += 1;
        let attempt = InFlightAttempt { number, node, started_at: now, send_before, handed_over: None };
        pending.in_flight.push(attempt);
        debug!(request = request.0, attempt = number.0, node = node.0, "attempt started");
        let listed = self.nodes.get(node);
        let has_shard = listed.is_some_and(|n| pending.shard.is_none_or(|shard| shard == n.shard));
        if !self.may_send(id, now) || !has_shard {
            self.end_attempt(id, Outcome::NotSent, now);
        } else {
            self.send_attempt(id, node, now);
        }
    }

    /// Ends an attempt that was not served. The module decides whether the request is retried.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, now: Micros) {
        let Some(attempt) = self.requests.remove_attempt(id) else { return };
        let Some(pending) = self.requests.get_mut(id.request) else { return };
        // A partly streamed response can't be retried: the client has already received part of it.
        let is_final = pending.owner.is_none() || pending.is_streaming;
        pending.may_have_run |= match outcome {
            Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
            Outcome::Served | Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        };
        let latency = now.since(attempt.started_at).ms();
        debug!(
            request = id.request.0,
            attempt = id.number.0,
            ?outcome,
            latency_ms = latency,
            "attempt ended"
        );
        self.report_attempt_end(id, outcome, latency, is_final);
        if is_final && self.requests.is_unanswered(id.request) {
            self.fail_request(id.request, now);
        }
        self.remove_from_node(attempt.node, id, now);
        self.remove_if_finished(id.request, now);
    }

    /// Ends an attempt that was served. The response is queued to the client before the module is notified.
    pub(super) fn attempt_served(&mut self, id: AttemptId, shard: u32, payload: &[u8], now: Micros) {
        let Some(attempt) = self.requests.remove_attempt(id) else { return };
        let latency = now.since(attempt.started_at).ms();
        debug!(
            request = id.request.0,
            attempt = id.number.0,
            latency_ms = latency,
            bytes = payload.len(),
            "attempt served"
        );
        if let Some(pending) = self.requests.get_mut(id.request) {
            pending.has_run = true;
        }
        if self.requests.is_unanswered(id.request) {
            self.send_served(id.request, shard, payload, now);
        }
        if !self.on_platform() {
            self.discovery.record_use(attempt.node);
        }
        self.report_attempt_end(id, Outcome::Served, latency, true);
        self.remove_from_node(attempt.node, id, now);
        self.remove_if_finished(id.request, now);
    }

    fn send_served(&mut self, id: RequestId, shard: u32, payload: &[u8], now: Micros) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let streamed = std::mem::take(&mut pending.streamed.bytes);
        let is_merged = pending.merge_extent.is_some();
        let merged = is_merged.then(|| self.merge_buffered(id, [&streamed[..], payload].concat(), now));
        let payload = merged.as_deref().unwrap_or(payload);
        self.counts.served += u64::from(self.is_client_waiting(id));
        self.send_final_response(id, FinalResponse::Served, now, |id| Frame::Served { id, shard, payload });
    }

    /// Queues the event that reports an attempt's end to the module. `latency` is in ms.
    fn report_attempt_end(&mut self, id: AttemptId, outcome: Outcome, latency: f64, is_final: bool) {
        let AttemptId { request, number: attempt } = id;
        let end = AttemptEnd { request, attempt, outcome, latency, is_final };
        self.events.push_back(Event::AttemptEnded(end));
    }

    /// Ends an attempt whose connection was closed after `written` bytes of its stream. If the attempt's last
    /// byte was not written it can't have been executed; otherwise it may have been.
    pub(super) fn attempt_connection_lost(&mut self, id: AttemptId, conn: ConnId, written: u64, now: Micros) {
        let handed_over = self.requests.attempt(id).and_then(|attempt| attempt.handed_over);
        let was_sent = handed_over.is_some_and(|to| to.conn == conn && to.end_offset <= written);
        self.end_attempt(id, if was_sent { Outcome::Reset } else { Outcome::ConnectFailed }, now);
    }

    /// Cancels an attempt and notifies its node. An attempt that was never handed over has not been executed.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome, now: Micros) {
        let Some(handed_over) = self.requests.attempt(id).map(|attempt| attempt.handed_over) else { return };
        let Some(handed_over) = handed_over else {
            return self.end_attempt(id, Outcome::ConnectFailed, now);
        };
        if self.on_platform() {
            return self.close_abandoned_attempt(handed_over, id, outcome, now);
        }
        let HandOver { conn, .. } = handed_over;
        let cancel = Frame::Cancel { request: id.request.0, attempt: id.number.0 };
        self.connections.send_frame(conn, &cancel);
        self.end_attempt(id, outcome, now);
    }
}
