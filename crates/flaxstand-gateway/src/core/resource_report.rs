//! Log of the use of resources: what the stores hold, and how often each limit was reached. At most one line a
//! second, however often peers reach a limit.

use super::Core;
use super::metrics::{Counts, Footprint};
use crate::machine::Micros;
use tracing::{info, warn};

/// Interval at which the use of resources is logged, if there was any traffic since.
const REPORT_INTERVAL: Micros = Micros(10_000_000);

/// How often each limit was reached since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitCounts {
    /// Connections of clients rejected or evicted for want of a free one.
    pub clients: u64,
    /// Requests rejected, since all requests or volumes that may be pending are.
    pub requests: u64,
    /// Clients whose input was rejected for want of memory for incomplete requests.
    pub incomplete_requests: u64,
    /// Requests rejected for want of memory for accepted requests.
    pub accepted_requests: u64,
    /// Responses of nodes discarded for want of memory for incomplete ones.
    pub incomplete_responses: u64,
    /// Responses that failed, or clients closed, for want of memory for unread ones.
    pub unread_responses: u64,
    /// Attempts not sent, since all connections to nodes were in use.
    pub node_connections: u64,
    /// Clients closed because they made no progress.
    pub stalled_clients: u64,
    /// Requests rejected because their id has run.
    pub repeated_ids: u64,
}

/// What was logged last.
#[derive(Debug, Default)]
pub(super) struct ResourceReport {
    logged_limits: LimitCounts,
    logged_accepted: u64,
    next_report_at: Micros,
}

impl ResourceReport {
    /// Logs the limits that were reached since the last call, and from time to time what the stores hold.
    fn log(&mut self, limits: LimitCounts, counts: Counts, footprint: Footprint, now: Micros) {
        if limits != self.logged_limits {
            warn!(?limits, memory = ?footprint.memory, "limits were reached");
            self.logged_limits = limits;
        }
        if now >= self.next_report_at && counts.accepted != self.logged_accepted {
            info!(?counts, ?footprint, "use of resources");
            self.logged_accepted = counts.accepted;
            self.next_report_at = now.after(REPORT_INTERVAL);
        }
    }
}

impl Core {
    /// Logs the use of resources. Called once a second.
    pub(super) fn report_resources(&mut self, now: Micros) {
        let (counts, footprint) = (self.counts(), self.footprint());
        self.resource_report.log(self.limit_counts, counts, footprint, now);
    }
}
