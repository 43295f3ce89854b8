//! Graceful shutdown: requests are accepted during a grace period; then no new ones are accepted and pending
//! ones are answered; then the process exits.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol};
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::RequestId;
use flaxstand_proto::CloseReason;
use tracing::{info, warn};

/// Time before the shutdown time-out at which the last responses are due.
const ANSWER_MARGIN: Micros = Micros(50_000);

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    #[default]
    Running,
    /// Grace period after a stop request: requests are still accepted.
    Draining,
    /// No new requests are accepted; the process exits once pending ones are answered.
    Stopping,
    Stopped,
}

/// The state of a shutdown.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    phase: Phase,
    /// Time by which the last response must be sent, once a stop was requested.
    answer_by: Option<Micros>,
}

impl Shutdown {
    /// Returns the phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Caps a request's deadline at the end of the shutdown, if one has started.
    pub(super) fn deadline(&self, deadline: Micros) -> Micros {
        self.answer_by.map_or(deadline, |by| deadline.min(by))
    }
}

impl Core {
    /// Starts the shutdown unless it has already started.
    pub(super) fn stop(&mut self, now: Micros) {
        if self.shutdown.phase != Phase::Running {
            return;
        }
        let timeouts = &self.config.site.timeouts;
        self.timers.set(now.after(timeouts.shutdown_timeout), Timer::ShutdownTimeout);
        self.timers.set(now.after(timeouts.shutdown_grace), Timer::ShutdownGraceEnds);
        info!(
            pending = self.requests.len(),
            grace_ms = timeouts.shutdown_grace.ms(),
            "stop requested; shutting down"
        );
        self.shutdown.phase = Phase::Draining;
        self.shutdown.answer_by = Some(now.after(timeouts.shutdown_timeout.since(ANSWER_MARGIN)));
        if timeouts.shutdown_grace == Micros(0) {
            self.stop_accepting(now);
        }
    }

    /// Stops accepting requests at the end of the grace period; pending ones are still answered.
    pub(super) fn stop_accepting(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Draining {
            self.shutdown.phase = Phase::Stopping;
            self.connections.command(Command::StopListening);
            self.drain_buffer(now);
            self.drain_http_clients(now);
        }
    }

    /// Exits once all pending requests are answered and the responses received by their clients.
    pub(super) fn exit_if_done(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Stopping && self.has_delivered_all() {
            self.exit(now);
        }
    }

    /// Returns whether all responses are delivered and the buffer is drained. An HTTP client confirms receipt
    /// by closing its connection; closing it from this side could reset it while the client still sends, and
    /// lose the response.
    fn has_delivered_all(&self) -> bool {
        let is_undelivered = |(_, c): (ConnId, &Connection)| {
            matches!(c.protocol, Protocol::HttpServer(_))
                || matches!(c.peer, Peer::Client(_)) && !c.outbox.is_empty()
        };
        self.requests.unanswered().next().is_none()
            && !self.connections.iter().any(is_undelivered)
            && self.buffer_drained()
    }

    /// Handles the shutdown time-out: fails the pending requests and exits.
    pub(super) fn shutdown_timed_out(&mut self, now: Micros) {
        let unanswered: Vec<RequestId> = self.requests.unanswered().collect();
        warn!(owed = unanswered.len(), "shutdown timed out; failing pending requests");
        unanswered.into_iter().for_each(|id| self.fail_request(id, now));
        self.exit(now);
    }

    fn exit(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Stopped {
            return;
        }
        self.shutdown.phase = Phase::Stopped;
        // The lease was needed until here, to act on the agreed rules.
        self.release_lease(now);
        let conns: Vec<ConnId> = self.connections.iter().map(|(conn, _)| conn).collect();
        conns.into_iter().for_each(|conn| self.disconnect(conn, CloseReason::Stopping, "stopping", now));
        // Saves what was learned about the nodes since the last save, for the next start.
        if self.nodes.listed() > 0 && !self.on_platform() {
            self.save_all_endpoints(now);
        }
        self.connections.command(Command::Exit);
        let (buffer, attempts) = (self.buffer_status(now), self.attempt_counts());
        info!(counts = ?self.counts(), ?buffer, ?attempts, "stopped");
    }
}
