//! A graceful shutdown: for a grace period nothing changes, then no new requests are accepted and what is pending is
//! answered, and then the process exits.

use super::Core;
use super::connection_table::{Connection, Peer, Protocol};
use super::timers::Timer;
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::RequestId;
use flaxstand_proto::CloseReason;
use tracing::{info, warn};

/// Answers leave this long before the shutdown times out.
const ANSWER_MARGIN: Micros = Micros(50_000);

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    #[default]
    Running,
    /// A stop was asked for, and clients that do not know yet are still served as before.
    Draining,
    /// No new requests; what is pending is answered, then the process exits.
    Stopping,
    Stopped,
}

/// The state of a shutdown.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    phase: Phase,
    /// Once a stop was asked for: when the last answer must have left.
    answer_by: Option<Micros>,
}

impl Shutdown {
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// The deadline of a request that would have this one while nothing stops.
    pub(super) fn deadline(&self, deadline: Micros) -> Micros {
        self.answer_by.map_or(deadline, |by| deadline.min(by))
    }
}

impl Core {
    pub(super) fn stop(&mut self, now: Micros) {
        if self.shutdown.phase != Phase::Running {
            return;
        }
        let waits = &self.config.site.timeouts;
        self.timers.set(now.after(waits.shutdown_timeout), Timer::ShutdownTimeout);
        self.timers.set(now.after(waits.shutdown_grace), Timer::ShutdownGraceEnds);
        info!(held = self.requests.len(), grace_ms = waits.shutdown_grace.ms(), "stopping");
        self.shutdown.phase = Phase::Draining;
        self.shutdown.answer_by = Some(now.after(waits.shutdown_timeout.since(ANSWER_MARGIN)));
        if waits.shutdown_grace == Micros(0) {
            self.stop_accepting(now);
        }
    }

    /// No new requests from now on; what is pending is answered.
    pub(super) fn stop_accepting(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Draining {
            self.shutdown.phase = Phase::Stopping;
            self.connections.command(Command::StopListening);
            self.drain_buffer(now);
            self.drain_http_clients(now);
        }
    }

    /// Exits once all that was pending has been answered and read by its client.
    pub(super) fn exit_if_done(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Stopping && self.has_answered_all() {
            self.exit(now);
        }
    }

    /// A client that speaks HTTP has read when it closes in its turn: over what it still sends, a close from here would
    /// take its answer with it.
    fn has_answered_all(&self) -> bool {
        let is_owed = |(_, c): (ConnId, &Connection)| {
            matches!(c.protocol, Protocol::HttpServer(_))
                || matches!(c.peer, Peer::Client(_)) && !c.outbox.is_empty()
        };
        self.requests.owed().next().is_none()
            && !self.connections.iter().any(is_owed)
            && self.buffer_drained()
    }

    /// The shutdown has timed out: what is still pending is failed.
    pub(super) fn stop_ends(&mut self, now: Micros) {
        let owed: Vec<RequestId> = self.requests.owed().collect();
        warn!(owed = owed.len(), "the stop has lasted long enough: what is still held is failed");
        owed.into_iter().for_each(|id| self.fail_request(id, now));
        self.exit(now);
    }

    fn exit(&mut self, now: Micros) {
        if self.shutdown.phase == Phase::Stopped {
            return;
        }
        self.shutdown.phase = Phase::Stopped;
        // Until then it acts, and needs its lease.
        self.release_lease(now);
        let conns: Vec<ConnId> = self.connections.iter().map(|(conn, _)| conn).collect();
        conns.into_iter().for_each(|conn| self.disconnect(conn, CloseReason::Stopping, "stopping", now));
        // What was learnt of the nodes since the list last changed is kept for the next start.
        if self.nodes.listed() > 0 && !self.on_platform() {
            self.save_all_endpoints(now);
        }
        self.connections.command(Command::Exit);
        let (buffer, repeats) = (self.buffer_status(now), self.attempt_counts());
        info!(counts = ?self.counts(), ?buffer, ?repeats, "stopped");
    }
}
