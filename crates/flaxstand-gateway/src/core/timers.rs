//! Timers of the gateway's core.

use crate::machine::{ConnId, Micros};
use flaxstand::api::{NodeId, RequestId};
use std::collections::BTreeSet;

/// Kind of timer. Timers that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A request's deadline.
    Deadline(RequestId),
    /// Time limit for opening a connection.
    ConnectTimeout(ConnId),
    /// Check the idle time-out of a connection to a node.
    IdleTimeout(ConnId),
    /// Time-out of a probe.
    ProbeTimeout(ProbeId),
    /// Process the next request that an HTTP client has already sent.
    NextRequest(ConnId),
    /// Check whether an HTTP connection makes progress.
    StallCheck(ConnId),
    /// End of the time in which a retry that was handed to a connection may be sent.
    SendWindowEnds(ConnId),
    /// Periodic removal of idle pooled connections and of nodes removed from the list.
    Sweep,
    /// End of the grace period of a shutdown.
    ShutdownGraceEnds,
    /// Call the discovery service.
    DiscoveryCall,
    /// Check whether the discovery service has stalled.
    DiscoveryStalled,
    /// Expiry of the endpoint list.
    EndpointsExpire,
    /// Next step of the agreement.
    Agreement,
    /// Time-out of a shutdown.
    ShutdownTimeout,
}

/// Identifies a probe of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProbeId {
    pub(super) node: NodeId,
    pub(super) token: u64,
}

/// Pending timers, ordered by due time.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    timers: BTreeSet<(Micros, Timer)>,
}

impl TimerQueue {
    /// Sets a timer. The same timer may be set for several times.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Cancels a timer that was set for this time.
    pub(super) fn cancel(&mut self, at: Micros, timer: Timer) {
        self.timers.remove(&(at, timer));
    }

    /// Takes the first timer that is due.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.timers.first().copied().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&first);
        Some(first.1)
    }

    /// Returns when the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns the number of pending timers.
    pub(super) fn len(&self) -> usize {
        self.timers.len()
    }
}
